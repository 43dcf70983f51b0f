"""The client of the counter service, over loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from loopback import LOCAL, Backend, Reply, World, in_loop, request, running, until
from loopback import Counter as Service

from mintford.interface import Outcome
from roadpulley.core import counter as module
from roadpulley.core.clock import Timers
from roadpulley.core.counter import CounterClient, parse_answer

CallOutcome = tuple[str, Outcome, float]


class Calls:
    """Adds to a counter and collects the outcomes."""

    def __init__(self, counter: CounterClient) -> None:
        self.counter, self.outcomes = counter, list[CallOutcome]()

    def add(self, name: str = "n", amount: float = 1.0) -> None:
        self.counter.add(name, amount, 4000.0, lambda *ending: self.outcomes.append(ending))

    async def ended(self, count: int) -> list[CallOutcome]:
        await until(lambda: len(self.outcomes) >= count)
        return self.outcomes


@asynccontextmanager
async def calling(service: Service, wait: float = 2_000.0) -> AsyncIterator[Calls]:
    loop = asyncio.get_running_loop()
    await service.start()
    counter = CounterClient(loop, Timers(loop), (LOCAL, service.port), wait)
    try:
        yield Calls(counter)
    finally:
        counter.close()
        await service.stop()


def test_calls_are_answered_in_order_with_their_totals() -> None:
    async def scenario() -> None:
        service = Service()
        async with calling(service) as calls:
            for amount in (1.0, 2.5, -0.5):
                calls.add(amount=amount)
            assert await calls.ended(3) == [("n", Outcome.OK, t) for t in (1.0, 3.5, 3.0)]
            assert service.got[1] == [b"tally", b"n", b"2.500000", b"4000"]
            assert service.accepted == 1

    in_loop(scenario)


def test_a_late_answer_is_not_taken_for_the_next_call_s() -> None:
    """The next call would otherwise get a total of another time or another name."""

    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(words: list[bytes]) -> Reply:
            if words[2] == b"1.000000":
                await go_on.wait()
                return b"ok 111\r\n"
            return b"ok 222\r\n"

        async with calling(Service(script), wait=300.0) as calls:
            calls.add(amount=1.0)
            assert await calls.ended(1) == [("n", Outcome.TIMED_OUT, 0.0)]
            calls.add(amount=2.0)
            await asyncio.sleep(0)
            go_on.set()
            assert (await calls.ended(2))[1:] == [("n", Outcome.OK, 222.0)]

    in_loop(scenario)


def test_a_refused_call_ends_as_full() -> None:
    async def scenario() -> None:
        async def script(words: list[bytes]) -> Reply:
            return b"busy\r\n"

        async with calling(Service(script)) as calls:
            calls.add()
            assert await calls.ended(1) == [("n", Outcome.FULL, 0.0)]

    in_loop(scenario)


def test_a_refused_connection_ends_calls_as_connect_and_is_retried() -> None:
    async def scenario() -> None:
        service = Service()
        async with calling(service) as calls:
            service.server.close()
            calls.add()
            assert await calls.ended(1) == [("n", Outcome.CONNECT, 0.0)]
            await service.start()
            calls.counter.address = (LOCAL, service.port)
            calls.add()
            assert (await calls.ended(2))[1:] == [("n", Outcome.OK, 1.0)]

    in_loop(scenario)


def test_a_connection_lost_after_the_call_ends_it_as_timed_out() -> None:
    async def scenario() -> None:
        async def script(words: list[bytes]) -> Reply:
            return b""

        async with calling(Service(script)) as calls:
            calls.add()
            assert await calls.ended(1) == [("n", Outcome.TIMED_OUT, 0.0)]

    in_loop(scenario)


def test_a_silent_connection_with_unanswered_calls_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    """If the counter's machine fails, its connections stay open and silent for ever."""
    monkeypatch.setattr(module, "SILENCE_TIMEOUT_MS", 50.0)

    async def scenario() -> None:
        silent = True

        async def script(words: list[bytes]) -> Reply:
            return None if silent else b"ok 5\r\n"

        service = Service(script)
        async with calling(service, wait=100.0) as calls:
            calls.add()
            await calls.ended(1)
            silent = False
            calls.add()
            assert (await calls.ended(2))[1:] == [("n", Outcome.OK, 5.0)]
            assert service.accepted == 2

    in_loop(scenario)


@pytest.mark.parametrize(
    ("line", "ending"),
    [
        (b"ok 12.5", (Outcome.OK, 12.5)),
        (b"busy", (Outcome.FULL, 0.0)),
        (b"error", (Outcome.FULL, 0.0)),
        (b"ok -0.5\r", (Outcome.OK, -0.5)),
        (b"ok 1.5e+07", (Outcome.OK, 1.5e7)),
        *((line, None) for line in (b"ok", b"ok x", b"what", b"", b"ok nan", b"ok inf", b"ok 1_0", b"ok  1")),
    ],
)
def test_answer_lines_are_parsed(line: bytes, ending: tuple[Outcome, float] | None) -> None:
    assert parse_answer(line) == ending


def test_a_malformed_answer_ends_its_connection() -> None:
    """The amount was added, and the following data must not be taken for the answer to a later call."""

    async def scenario() -> None:
        async def script(words: list[bytes]) -> Reply:
            return b"ok \r\nok 999\r\n" if words[1] == b"spoilt" else b"ok 7\r\n"

        service = Service(script)
        async with calling(service) as calls:
            calls.counter.lanes[1:] = [calls.counter.lanes[0]] * 3
            calls.add("spoilt")
            calls.add("behind")
            assert await calls.ended(2) == [(n, Outcome.TIMED_OUT, 0.0) for n in ("spoilt", "behind")]
            calls.add("next")
            assert (await calls.ended(3))[2:] == [("next", Outcome.OK, 7.0)]
            assert service.accepted == 2

    in_loop(scenario)


def test_a_new_address_gets_new_calls_and_the_old_one_still_answers() -> None:
    async def scenario() -> None:
        go_on = asyncio.Event()

        async def slow(words: list[bytes]) -> Reply:
            await go_on.wait()
            return b"ok 111\r\n"

        async def quick(words: list[bytes]) -> Reply:
            return b"ok 222\r\n"

        old, new = Service(slow), Service(quick)
        await new.start()
        async with calling(old) as calls:
            calls.add("n")
            await until(lambda: old.got)
            calls.counter.move((LOCAL, new.port))
            calls.add("other")
            assert await calls.ended(1) == [("other", Outcome.OK, 222.0)]
            calls.add("n")
            await until(lambda: len(new.got) == 2)
            assert len(calls.outcomes) == 1  # reported now, it would be taken for the older call's
            go_on.set()
            assert (await calls.ended(3))[1:] == [("n", Outcome.OK, 111.0), ("n", Outcome.OK, 222.0)]
            assert not calls.counter.calls
            old.hang_up()
            await until(lambda: not calls.counter.draining_connections)
        await new.stop()

    in_loop(scenario)


def test_a_quota_is_enforced_with_the_counter() -> None:
    async def scenario() -> None:
        async with running(World(*(Backend() for _ in range(4)))) as world:
            peer = await world.client()
            replies = []
            for number in range(8):
                replies.append(await world.ask(peer, id=b"%d" % number, plan=b"basic"))
            served = [r for r in replies if r == b"value"]
            refused = [str(r) for r in replies if r != b"value"]
            assert 1 <= len(served) <= 4 and all(r.startswith("BUSY ") for r in refused)
            assert world.counter.got

    in_loop(scenario)


def test_a_silent_counter_delays_requests_only_briefly() -> None:
    async def silent(words: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        async with running(World(Backend(), counter=Service(silent))) as world:
            peer = await world.client()
            peer.send(*request(plan=b"basic"))
            assert await peer.receive() == b"value"

    in_loop(scenario)
