"""The shell's side of its own strain: the lag is seen, the door is cheap, and the counter is not blamed."""

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
    """The drivers that are made from now on."""
    made: list[Driver] = []
    real = Driver.__init__

    def init(self: Driver, *args: Any) -> None:
        real(self, *args)
        made.append(self)

    monkeypatch.setattr(Driver, "__init__", init)
    return made


@pytest.mark.patches_inside
def test_a_loop_that_lags_tells_the_module_and_says_when_it_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    made = drivers(monkeypatch)

    async def scenario() -> None:
        async with running(World(Backend())):
            (driver,) = made
            told: list[float] = []
            real = driver.gateway.handle

            def handle(now: float, event: api.Event) -> api.Actions:
                if isinstance(event, api.LoopLagMeasured):
                    told.append(event.lag)
                return real(now, event)

            driver.gateway.handle = handle  # type: ignore[method-assign]
            time.sleep(0.2)  # the loop stands still
            await until(lambda: told)
            assert told[0] > 100
            await until(lambda: told[-1] == 0.0 and not driver.was_lagging)

    in_loop(scenario)


def test_under_strain_requests_are_refused_at_the_door_without_an_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made = drivers(monkeypatch)

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            assert await world.ask(peer) == b"value"
            (driver,) = made
            driver.gateway.loop_lag.shed_level, driver.is_shedding = 1.0, True  # nothing is worth that much
            peer.send(*request(b"r2"))
            assert str(await peer.receive()) == "BUSY 500"
            assert not driver.requests and len(world.backends[0].got) == 1
            # What was never seen to be right is read in full: a wrong one is still told why.
            peer.send(*request(b"r3", plan=b"golden"))
            assert str(await peer.receive()) == "ERR unknown plan"
            driver.gateway.loop_lag.shed_level, driver.is_shedding = 0.0, False
            assert await world.ask(peer, id=b"r4") == b"value"

    in_loop(scenario)


def test_a_counter_s_answer_that_lay_unread_in_a_stall_still_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    """The time-out comes first after a stall, and would call a counter silent that had answered at once."""
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
        time.sleep(0.25)  # the answer is there, and nobody reads it
        await until(lambda: len(got) == 2)
        assert got == [Outcome.OK, Outcome.OK] and not counter.dropped
        counter.close()
        await service.stop()

    in_loop(scenario)


def test_a_counter_that_is_silent_still_times_out_after_a_stall() -> None:
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
