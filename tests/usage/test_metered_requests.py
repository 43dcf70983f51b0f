"""Which requests are metered: each that has come whole to a backend, once, and no other."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from loopback import Backend, Reply, World, in_loop, running

from roadpulley.core.command import Command
from roadpulley.core.driver import Driver

REQUEST_COUNT = 40


class RecordingMeter:
    """Records the ids of the requests that are metered."""

    def __init__(self) -> None:
        self.ids: Counter[bytes] = Counter()

    def attach(self, driver: Driver) -> None:
        driver.meter = self

    def record_sent(self, command: Command) -> str:
        self.ids[command.id.encode()] += 1
        return command.id

    def record_settled(self, record: str, command: Command, actual_units: float) -> None:
        pass


async def fail_often(command: list[bytes]) -> Reply:
    """Every third attempt fails, and every third is reset."""
    number = int(command[2])
    return (b"-ERR failed\r\n", b"", b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")[number % 3]


@pytest.mark.parametrize("name", [b"view", b"wipe"])
@pytest.mark.parametrize("refusing", [1, 2, 3])
def test_requests_that_came_whole_to_a_backend_are_metered_once_and_no_others(
    name: bytes, refusing: int
) -> None:
    """Guards against use that is billed for requests of a rush that were refused and never sent on.

    Of three backends one or two refuse connections, or all do.
    """

    async def scenario() -> None:
        meter, backends = RecordingMeter(), [Backend(fail_often) for _ in range(3)]
        async with running(World(*backends), attach=meter.attach) as w:
            for backend in backends[:refusing]:
                await backend.stop()

            async def ask(number: int) -> None:
                peer = await w.client()
                assert await w.ask(peer, id=b"%d" % number, name=name, wait=1_000) is not None

            await asyncio.gather(*(ask(number) for number in range(REQUEST_COUNT)))
        received = {command[2] for backend in backends for command in backend.got}
        assert meter.ids == Counter(received)
        assert bool(received) == (refusing < 3)

    in_loop(scenario)
