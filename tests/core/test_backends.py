"""Attempts on backend connections, over loopback sockets."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from loopback import LOCAL, Backend, Reply, Server, World, encode, in_loop, request, running, until

from mintford.interface import BackendState, Outcome
from roadpulley.core import backends as module
from roadpulley.core.backends import BackendPools
from roadpulley.core.clock import Timers, now_ms
from roadpulley.core.connection import Attempt
from roadpulley.core.outcomes import EndReason

VALUE = b"*3\r\n$5\r\nvalue\r\n"
SERVED = VALUE + b"$-1\r\n$-1\r\n"
SPOILT = [
    b"?\r\n",
    b"+OK\r\n",
    b":1\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
    b"*2\r\n$5\r\nvalue\r\n$-1\r\n",
    b"*3\r\n+value\r\n$-1\r\n$-1\r\n",
    b"*3\r\n$4\r\nvalue\r\n$-1\r\n$-1\r\n",
    b"*3\r\n$7\r\nvalue\r\n$-1\r\n$-1\r\n",
    b"*3\r\n$3000000000\r\n",  # and it would keep coming
    b"*3\r\n$4194305\r\n",
    b"*3\r\n$-5\r\n",
    b"*4294967295\r\n",
    b"*1\r\n" * 50,
    b"%1\r\n*1\r\n:1\r\n:2\r\n",
    b"x" * 2000,
    b"-" + b"x" * 2000,
]
UNREADABLE = [
    b":what\r\n$-1\r\n",
    b"$-1\r\n$-7\r\n",
    b"$-1\r\n?\r\n",
    b"$2\r\nlong\r\n$-1\r\n",
    b"$-1\r\n$99999\r\n",
]


@asynccontextmanager
async def pool(*servers: Server, **given: Any) -> AsyncIterator[BackendPools]:
    loop = asyncio.get_running_loop()
    values: dict[str, Any] = dict(
        connect_timeout_ms=250, keepalive_ms=15_000, drain_grace_ms=1_000, max_connections=50
    )
    values["memory_bytes"] = 10_000_000
    made = BackendPools(loop, Timers(loop), **{**values, **given})
    for number, server in enumerate(servers):
        await server.start()
        made.update(number, (LOCAL, server.port), BackendState.READY)
    try:
        yield made
    finally:
        made.close()
        for server in servers:
            await server.stop()


async def rested(pool: BackendPools) -> None:
    """Until the idle connections may be used again."""
    idle = [connection for host in pool.hosts.values() for connection in host.idle]
    await until(lambda: all(now_ms() - connection.idle_since > module.REUSE_DELAY_MS for connection in idle))


class Try:
    """An attempt and how it ended."""

    def __init__(self, pool: BackendPools, backend: int = 0, wait: float = 3000, body: bytes = b"") -> None:
        self.endings: list[tuple[Outcome, bytes]] = []
        self.over = asyncio.Event()
        self.attempt = Attempt(backend, self.encode, now_ms() + wait, self.ended)
        self.body = body
        pool.send(self.attempt)

    def encode(self, wait: int) -> bytes:
        return encode(*request(wait=wait, body=self.body))

    def ended(self, attempt: Attempt, outcome: Outcome, value: bytes) -> None:
        self.endings.append((outcome, value))
        self.over.set()

    async def result(self) -> tuple[Outcome, bytes]:
        await self.over.wait()
        (ending,) = self.endings
        return ending


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (SERVED, Outcome.OK),
        (b"-BUSY\r\n", Outcome.FULL),
        (b"-BUSY queue\r\n", Outcome.FULL),
        (b"-ERR failed\r\n", Outcome.FAILED),
        (b"-ERR failed inflight=7\r\n", Outcome.FAILED),
        (b"-OTHER\r\n", Outcome.FAILED),
        (b"", Outcome.RESET),
        *((spoilt, Outcome.RESET) for spoilt in SPOILT),
        *((VALUE + after, Outcome.OK) for after in UNREADABLE),
    ],
)
def test_what_comes_back_tells_the_outcome(reply: bytes, outcome: Outcome) -> None:
    async def script(command: list[bytes]) -> Reply:
        return reply

    async def scenario() -> None:
        async with pool(Backend(script)) as made:
            assert (await Try(made).result())[0] is outcome

    in_loop(scenario)


@pytest.mark.parametrize("reply", [*(r for r in SPOILT), b"-OTHER\r\n", *(VALUE + u for u in UNREADABLE)])
def test_a_connection_that_brought_more_or_else_than_an_answer_is_not_used_again(reply: bytes) -> None:
    """The rest of it would be taken for the answer to the next request, or keep that one waiting."""

    async def script(command: list[bytes]) -> Reply:
        return reply

    async def scenario() -> None:
        server = Backend(script)
        async with pool(server) as made:
            await Try(made).result()
            assert not made.connections and not made.hosts[0].idle
            server.script = server.serve
            assert await Try(made).result() == (Outcome.OK, b"value")

    in_loop(scenario)


@pytest.mark.parametrize("reply", [SERVED, b"-BUSY\r\n", b"-ERR failed\r\n"])
def test_an_answer_in_pieces_leaves_its_connection_usable(reply: bytes) -> None:
    async def script(command: list[bytes]) -> Reply:
        (writer,) = server.open
        for byte in reply:
            writer.write(bytes([byte]))
            await writer.drain()
            await asyncio.sleep(0)
        return None

    server = Backend(script)

    async def scenario() -> None:
        async with pool(server) as made:
            for _ in range(2):
                await Try(made).result()
                await rested(made)
            assert server.accepted == 1

    in_loop(scenario)


def test_what_follows_an_answer_later_is_no_later_request_s() -> None:
    """A second copy or noise may come after the read that brought the answer."""

    async def scenario() -> None:
        server = Backend()
        async with pool(server) as made:
            assert (await Try(made).result())[0] is Outcome.OK
            (connection,), (writer,) = made.hosts[0].idle, server.open
            made.loop.remove_reader(connection.fd)  # as if the event loop had not yet come to it
            writer.write(b"*3\r\n$5\r\nother\r\n$-1\r\n$-1\r\n")
            await until(lambda: not connection.is_alive())
            assert await Try(made).result() == (Outcome.OK, b"value")
            # Not even the copy that is still under way: a connection rests before it is used again.
            made.hosts[0].idle[-1].idle_since = now_ms() + 60_000
            assert await Try(made).result() == (Outcome.OK, b"value")
            assert server.accepted == 3

    in_loop(scenario)


def test_connections_are_used_no_longer_than_they_turn_out_to_hold() -> None:
    """Backends may drop idle connections unheard long before the time in the settings."""

    async def scenario() -> None:
        seen: set[asyncio.StreamWriter] = set()

        async def only_once(command: list[bytes]) -> Reply:
            used = server.open & seen
            seen.update(server.open)
            return b"" if used else SERVED

        server = Backend(only_once)
        async with pool(server) as made:
            outcomes = []
            for _ in range(12):
                for connection in made.hosts[0].idle:
                    connection.idle_since -= 300
                outcomes.append((await Try(made).result())[0])
            assert outcomes.count(Outcome.RESET) <= 3 and outcomes[-5:] == [Outcome.OK] * 5
            assert made.idle_limit.limit == 200
            for _ in range(60):
                made.idle_limit.decay()
            assert made.idle_limit.limit == float("inf")  # it may hold longer by now

    in_loop(scenario)


def test_losses_that_new_connections_share_say_nothing_of_age() -> None:
    freshness = module.IdleLimit()
    for turn in range(100):
        for age in (None, 50.0, 300.0):
            freshness.record(age, lost=turn % 5 == 0)
    assert freshness.limit == float("inf")


def test_large_values_pass_and_together_stay_within_their_memory() -> None:
    """Values of several hundred kilobytes do come; many halves of them at once must not fill the memory."""

    async def scenario() -> None:
        value = b"x" * 400_000
        go_on, seen = asyncio.Event(), set[asyncio.StreamWriter]()

        async def script(command: list[bytes]) -> Reply:
            (writer,) = server.open - seen
            seen.add(writer)
            writer.write(b"*3\r\n$400000\r\n" + value[1:])
            await go_on.wait()
            return b"x\r\n$-1\r\n$-1\r\n"

        server = Backend(script)
        async with pool(server, memory_bytes=700_000) as made:
            first = Try(made)
            await until(lambda: made.buffered_bytes > 390_000)
            second = Try(made)
            assert (await second.result())[0] is Outcome.RESET
            go_on.set()
            assert await first.result() == (Outcome.OK, value)
            assert made.buffered_bytes == 0

    in_loop(scenario)


def test_a_refused_connection_never_ran() -> None:
    async def scenario() -> None:
        server = Backend()
        async with pool(server) as made:
            server.server.close()
            assert await Try(made).result() == (Outcome.CONNECT, b"")
            assert await Try(made, backend=9).result() == (Outcome.CONNECT, b"")  # never listed

    in_loop(scenario)


def test_a_break_before_the_last_byte_never_ran() -> None:
    """Nobody reads, so the tail of a large request stays in the process until the connection breaks."""

    class Deaf(Server):
        async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            go_on = self.go_on = asyncio.Event()
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await go_on.wait()
            writer.transport.abort()

    async def scenario() -> None:
        server = Deaf()
        async with pool(server) as made:
            tried = Try(made, body=b"x" * 32_000_000)
            connection = tried.attempt.connection
            assert connection is not None
            await until(lambda: server.accepted and connection.writing)
            server.go_on.set()
            assert (await tried.result())[0] is Outcome.CONNECT

    in_loop(scenario)


def test_a_large_request_goes_out_whole() -> None:
    async def scenario() -> None:
        server = Backend()
        async with pool(server) as made:
            assert (await Try(made, body=b"x" * 8_000_000).result())[0] is Outcome.OK
            assert server.got[0][4] == b"x" * 8_000_000

    in_loop(scenario)


def test_the_connection_used_last_is_used_again() -> None:
    async def scenario() -> None:
        server = Backend()
        async with pool(server) as made:
            await asyncio.gather(Try(made).result(), Try(made).result())
            assert server.accepted == 2
            for _ in range(5):
                await rested(made)
                assert (await Try(made).result())[0] is Outcome.OK
            assert server.accepted == 2

    in_loop(scenario)


def test_a_connection_that_the_backend_has_closed_is_not_written_to() -> None:
    """The end of a pooled connection may lie unread; a request written to it would end as a reset."""

    async def scenario() -> None:
        server = Backend()
        async with pool(server) as made:
            assert (await Try(made).result())[0] is Outcome.OK
            (connection,) = made.hosts[0].idle
            made.loop.remove_reader(connection.fd)  # as if the event loop had not yet come to it
            server.hang_up()
            await until(lambda: not connection.is_alive())
            assert (await Try(made).result())[0] is Outcome.OK
            assert server.accepted == 2 and len(server.got) == 2

    in_loop(scenario)


def test_an_idle_connection_is_retired_before_the_backend_closes_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "SWEEP_INTERVAL_MS", 5.0)

    async def scenario() -> None:
        server = Backend()
        async with pool(server) as made:
            assert (await Try(made).result())[0] is Outcome.OK
            (connection,) = made.hosts[0].idle
            connection.idle_since -= made.max_idle_ms - 20
            await until(lambda: server.ended)
            assert not made.connections and made.max_idle_ms < 15_000 * 0.8

    in_loop(scenario)


def test_a_given_up_attempt_is_closed_before_its_end_is_told() -> None:
    """What follows a given-up attempt is sent at once, and two must never be out together."""

    async def silent(command: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        server = Backend(silent)
        async with pool(server) as made:
            tried = Try(made)
            await until(lambda: server.got)
            connection = tried.attempt.connection
            assert connection is not None
            closed: list[bool] = []
            tried.attempt.on_end = lambda *_: closed.append(connection.socket.fileno() == -1)
            made.cancel_attempt(tried.attempt, EndReason.ABANDONED)
            assert closed == [True]
            await until(lambda: server.ended)

    in_loop(scenario)


def test_a_drain_heard_while_connecting_keeps_the_request_back() -> None:
    """The cutoff holds at the first byte written, not when the attempt was asked for."""

    async def scenario() -> None:
        server = Backend()
        async with pool(server, drain_grace_ms=0) as made:
            tried = Try(made)  # the connection is not up yet
            made.update(0, (LOCAL, server.port), BackendState.DRAINING)
            assert (await tried.result())[0] is Outcome.CONNECT
            assert (await Try(made).result())[0] is Outcome.CONNECT
            await until(lambda: not server.open)
            assert not server.got

    in_loop(scenario)


def test_a_process_held_up_between_its_clock_and_its_write_honours_a_drain() -> None:
    """STANDING allows 0.15 s between reading the clock and writing, and the grace of a drain has to cover it.

    With a margin of 50 ms a first byte that was judged 60 ms before the end of the grace left 90 ms after it.
    """
    grace_ms, held_up_s = 400.0, 0.15

    class HeldUp(Try):
        def encode(self, wait: int) -> bytes:
            time.sleep(held_up_s)
            return super().encode(wait)

    async def scenario() -> None:
        server = Backend()
        async with pool(server, drain_grace_ms=grace_ms) as made:
            made.update(0, (LOCAL, server.port), BackendState.DRAINING)
            await asyncio.sleep((grace_ms - 60) / 1000)
            assert (await HeldUp(made).result())[0] is Outcome.CONNECT
            assert not server.got

    in_loop(scenario)


def test_a_request_that_ended_while_connecting_is_not_sent() -> None:
    async def scenario() -> None:
        server = Backend()
        async with pool(server) as made:
            assert (await Try(made, wait=0).result())[0] is Outcome.IGNORED
            assert not server.got

    in_loop(scenario)


def test_a_time_out_before_the_connection_is_up_never_ran() -> None:
    async def scenario() -> None:
        server = Backend()
        async with pool(server) as made:
            tried = Try(made)
            made.cancel_attempt(tried.attempt, EndReason.ATTEMPT_TIMEOUT)
            assert (await tried.result())[0] is Outcome.CONNECT

    in_loop(scenario)


def test_a_backend_is_not_blamed_for_a_connect_time_out_that_the_loop_s_own_lag_made() -> None:
    """The loop looks at its sockets before its timers; were it otherwise, all would be blamed at once."""

    async def scenario() -> None:
        server = Backend()
        async with pool(server, connect_timeout_ms=50) as made:
            tried = Try(made)
            await asyncio.sleep(0)
            time.sleep(0.2)  # the kernel has accepted meanwhile, and the loop has not looked
            assert (await tried.result())[0] is Outcome.OK

    in_loop(scenario)


def test_a_backend_that_accepts_nobody_is_given_up_on_in_time_whether_or_not_the_loop_lags() -> None:
    async def scenario() -> None:
        with socket.create_server((LOCAL, 0), backlog=0) as full:
            waiting = [socket.socket() for _ in range(4)]
            for each in waiting:
                each.setblocking(False)
                each.connect_ex(full.getsockname())
            async with pool(connect_timeout_ms=50) as made:
                made.update(0, full.getsockname(), BackendState.READY)
                for lag in (0.0, 0.2):
                    tried = Try(made)
                    time.sleep(lag)
                    assert (await tried.result())[0] is Outcome.CONNECT
            for each in waiting:
                each.close()

    in_loop(scenario)


def test_the_bound_closes_idle_connections_and_then_turns_away() -> None:
    async def silent(command: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        first, second = Backend(), Backend(silent)
        async with pool(first, second, max_connections=1) as made:
            assert (await Try(made).result())[0] is Outcome.OK
            held = Try(made, backend=1)
            await until(lambda: second.got)
            await until(lambda: first.ended)
            assert (await Try(made).result())[0] is Outcome.CONNECT
            assert not held.endings and len(made.connections) == 1

    in_loop(scenario)


def test_a_changed_address_is_followed() -> None:
    async def scenario() -> None:
        old, new = Backend(), Backend()
        async with pool(old) as made:
            await new.start()
            assert (await Try(made).result())[0] is Outcome.OK
            made.update(0, (LOCAL, new.port), BackendState.READY)
            assert (await Try(made).result())[0] is Outcome.OK
            assert len(old.got) == len(new.got) == 1
            await until(lambda: old.ended)
            await new.stop()

    in_loop(scenario)


def test_a_reset_is_tried_again_elsewhere_by_the_module() -> None:
    async def scenario() -> None:
        broke: list[bytes] = []

        async def script(command: list[bytes]) -> Reply:
            if not broke:
                broke.append(command[2])
                return b""
            return SERVED

        async with running(World(Backend(script), Backend(script))) as world:
            assert await world.ask(await world.client()) == b"value"
            assert sorted(len(b.got) for b in world.backends) == [1, 1]

    in_loop(scenario)


def test_unsafe_work_that_may_have_run_is_failed_and_not_sent_again() -> None:
    async def script(command: list[bytes]) -> Reply:
        return b""

    async def scenario() -> None:
        async with running(World(Backend(script), Backend(script))) as world:
            reply = await world.ask(await world.client(), name=b"wipe", body=b"x")
            assert str(reply) == "ERR failed"
            assert sum(len(b.got) for b in world.backends) == 1

    in_loop(scenario)
