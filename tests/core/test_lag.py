"""Lag of the event loop: it is reported, early refusals make no attempt, and the counter doesn't time out."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest
from loopback import Backend, Reply, World, in_loop, request, running, until

from mintford import interface as api
from mintford.interface import Outcome
from roadpulley.core import counter as counter_module
from roadpulley.core.driver import Driver
from roadpulley.testbed.counter import Counter as Service


def drivers(monkeypatch: pytest.MonkeyPatch) -> list[Driver]:
    """The drivers that are created from now on."""
    created: list[Driver] = []
    real = Driver.__init__

    def init(self: Driver, *args: Any) -> None:
        real(self, *args)
        created.append(self)

    monkeypatch.setattr(Driver, "__init__", init)
    return created


@pytest.mark.patches_inside
def test_loop_lag_and_its_end_are_reported_to_the_module(monkeypatch: pytest.MonkeyPatch) -> None:
    created = drivers(monkeypatch)

    async def scenario() -> None:
        async with running(World(Backend())):
            (driver,) = created
            reported_lags: list[float] = []
            real = driver.gateway.handle

            def handle(now: float, event: api.Event) -> api.Actions:
                if isinstance(event, api.LoopLagMeasured):
                    reported_lags.append(event.lag)
                return real(now, event)

            driver.gateway.handle = handle  # type: ignore[method-assign]
            time.sleep(0.2)  # blocks the event loop
            await until(lambda: reported_lags)
            assert reported_lags[0] > 100
            await until(lambda: reported_lags[-1] == 0.0 and not driver.was_lagging)

    in_loop(scenario)


def test_shed_requests_are_refused_without_an_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    created = drivers(monkeypatch)

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            assert await world.ask(peer) == b"value"
            (driver,) = created
            driver.gateway.loop_lag.shed_level, driver.is_shedding = 1.0, True  # nothing is worth that much
            peer.send(*request(b"r2"))
            assert str(await peer.receive()) == "BUSY 500"
            assert not driver.requests and len(world.backends[0].got) == 1
            # Unknown attributes are parsed completely, so an invalid request gets its specific error.
            peer.send(*request(b"r3", plan=b"golden"))
            assert str(await peer.receive()) == "ERR unknown plan"
            driver.gateway.loop_lag.shed_level, driver.is_shedding = 0.0, False
            assert await world.ask(peer, id=b"r4") == b"value"

    in_loop(scenario)


@pytest.mark.parametrize("delay_s", [0.03, 0.3])
def test_a_late_answer_of_the_only_backend_is_waited_for(delay_s: float) -> None:
    """Guards against a refusal by a gateway with nothing to do: an overdue attempt was cancelled.

    A machine that runs a backend late by 30 ms makes its attempts overdue, as an answer usually takes 1 ms.
    """
    delays_s = [0.0] * 20 + [delay_s]

    async def scenario() -> None:
        async def answer(command: list[bytes]) -> Reply:
            await asyncio.sleep(delays_s.pop(0))
            return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

        async with running(World(Backend(answer))) as world:
            peer = await world.client()
            while delays_s:
                assert await world.ask(peer, id=b"r%d" % len(delays_s)) == b"value"

    in_loop(scenario)


def test_a_counter_answer_that_waits_during_a_stall_is_not_a_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a stall the timeout fires before the sockets are read, although the counter has answered."""
    monkeypatch.setattr(counter_module, "SILENCE_TIMEOUT_MS", 50.0)

    async def scenario() -> None:
        service, got = Service(), list[Outcome]()
        await service.start()
        loop = asyncio.get_running_loop()
        from roadpulley.core.clock import Timers

        counter = counter_module.CounterClient(loop, Timers(loop), ("127.0.0.1", service.port), 100.0)
        counter.add("n", 1.0, 4_000.0, lambda name, outcome, total: got.append(outcome))
        await until(lambda: got)
        counter.add("n", 1.0, 4_000.0, lambda name, outcome, total: got.append(outcome))
        await until(lambda: len(service.got) == 2)
        time.sleep(0.25)  # the answer arrives while the loop is blocked
        await until(lambda: len(got) == 2)
        assert got == [Outcome.OK, Outcome.OK] and not counter.dropped
        counter.close()
        await service.stop()

    in_loop(scenario)


def test_a_silent_counter_still_times_out_after_a_stall() -> None:
    async def silent(words: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        service, got = Service(silent), list[Outcome]()
        await service.start()
        loop = asyncio.get_running_loop()
        from roadpulley.core.clock import Timers

        counter = counter_module.CounterClient(loop, Timers(loop), ("127.0.0.1", service.port), 50.0)
        counter.add("n", 1.0, 4_000.0, lambda name, outcome, total: got.append(outcome))
        await until(lambda: service.got)
        time.sleep(0.15)
        await until(lambda: got)
        assert got == [Outcome.TIMED_OUT]
        counter.close()
        await service.stop()

    in_loop(scenario)
