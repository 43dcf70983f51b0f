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
MALFORMED = [
    b"?\r\n",
    b"+OK\r\n",
    b":1\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
    b"*2\r\n$5\r\nvalue\r\n$-1\r\n",
    b"*3\r\n+value\r\n$-1\r\n$-1\r\n",
    b"*3\r\n$4\r\nvalue\r\n$-1\r\n$-1\r\n",
    b"*3\r\n$7\r\nvalue\r\n$-1\r\n$-1\r\n",
    b"*3\r\n$3000000000\r\n",  # a value of gigabytes
    b"*3\r\n$4194305\r\n",
    b"*3\r\n$-5\r\n",
    b"*4294967295\r\n",
    b"*1\r\n" * 50,
    b"%1\r\n*1\r\n:1\r\n:2\r\n",
    b"x" * 2000,
    b"-" + b"x" * 2000,
]
UNREADABLE_EXTRAS = [
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
    pools = BackendPools(loop, Timers(loop), **{**values, **given})
    for number, server in enumerate(servers):
        await server.start()
        pools.update(number, (LOCAL, server.port), BackendState.READY)
    try:
        yield pools
    finally:
        pools.close()
        for server in servers:
            await server.stop()


async def wait_until_reusable(pool: BackendPools) -> None:
    """Waits until the idle connections may be reused."""
    idle = [connection for host in pool.hosts.values() for connection in host.idle]
    await until(lambda: all(now_ms() - connection.idle_since > module.REUSE_DELAY_MS for connection in idle))


class TrackedAttempt:
    """An attempt and its outcome."""

    def __init__(self, pool: BackendPools, backend: int = 0, wait: float = 3000, body: bytes = b"") -> None:
        self.reported_outcomes: list[tuple[Outcome, bytes]] = []
        self.ended_event = asyncio.Event()
        self.attempt = Attempt(backend, self.encode, now_ms() + wait, self.ended)
        self.body = body
        pool.send(self.attempt)

    def encode(self, wait: int) -> bytes:
        return encode(*request(wait=wait, body=self.body))

    def ended(self, attempt: Attempt, outcome: Outcome, value: bytes) -> None:
        self.reported_outcomes.append((outcome, value))
        self.ended_event.set()

    async def result(self) -> tuple[Outcome, bytes]:
        await self.ended_event.wait()
        (reported,) = self.reported_outcomes
        return reported


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
        *((malformed, Outcome.RESET) for malformed in MALFORMED),
        *((VALUE + after, Outcome.OK) for after in UNREADABLE_EXTRAS),
    ],
)
def test_the_answer_determines_the_outcome(reply: bytes, outcome: Outcome) -> None:
    async def script(command: list[bytes]) -> Reply:
        return reply

    async def scenario() -> None:
        async with pool(Backend(script)) as pools:
            assert (await TrackedAttempt(pools).result())[0] is outcome

    in_loop(scenario)


@pytest.mark.parametrize(
    "reply", [*(r for r in MALFORMED), b"-OTHER\r\n", *(VALUE + u for u in UNREADABLE_EXTRAS)]
)
def test_a_connection_with_unexpected_data_is_not_reused(reply: bytes) -> None:
    """The remaining data would be taken for the answer to the next request, or delay that request."""

    async def script(command: list[bytes]) -> Reply:
        return reply

    async def scenario() -> None:
        server = Backend(script)
        async with pool(server) as pools:
            await TrackedAttempt(pools).result()
            assert not pools.connections and not pools.hosts[0].idle
            server.script = server.serve
            assert await TrackedAttempt(pools).result() == (Outcome.OK, b"value")

    in_loop(scenario)


@pytest.mark.parametrize("reply", [SERVED, b"-BUSY\r\n", b"-ERR failed\r\n"])
def test_an_answer_in_pieces_leaves_its_connection_reusable(reply: bytes) -> None:
    async def script(command: list[bytes]) -> Reply:
        (writer,) = server.open
        for byte in reply:
            writer.write(bytes([byte]))
            await writer.drain()
            await asyncio.sleep(0)
        return None

    server = Backend(script)

    async def scenario() -> None:
        async with pool(server) as pools:
            for _ in range(2):
                await TrackedAttempt(pools).result()
                await wait_until_reusable(pools)
            assert server.accepted == 1

    in_loop(scenario)


def test_data_after_an_answer_is_not_taken_for_the_next_answer() -> None:
    """A duplicate answer or garbage may arrive after the answer was read."""

    async def scenario() -> None:
        server = Backend()
        async with pool(server) as pools:
            assert (await TrackedAttempt(pools).result())[0] is Outcome.OK
            (connection,), (writer,) = pools.hosts[0].idle, server.open
            pools.loop.remove_reader(connection.fd)  # as if the event loop had not polled it yet
            writer.write(b"*3\r\n$5\r\nother\r\n$-1\r\n$-1\r\n")
            await until(lambda: not connection.is_alive())
            assert await TrackedAttempt(pools).result() == (Outcome.OK, b"value")
            # A duplicate that is still on its way does no harm: a connection is not reused immediately.
            pools.hosts[0].idle[-1].idle_since = now_ms() + 60_000
            assert await TrackedAttempt(pools).result() == (Outcome.OK, b"value")
            assert server.accepted == 3

    in_loop(scenario)


def test_connections_are_not_reused_above_the_learned_idle_limit() -> None:
    """Backends may silently drop idle connections long before the keep-alive time of the settings."""

    async def scenario() -> None:
        seen: set[asyncio.StreamWriter] = set()

        async def only_once(command: list[bytes]) -> Reply:
            used = server.open & seen
            seen.update(server.open)
            return b"" if used else SERVED

        server = Backend(only_once)
        async with pool(server) as pools:
            outcomes = []
            for _ in range(12):
                for connection in pools.hosts[0].idle:
                    connection.idle_since -= 300
                outcomes.append((await TrackedAttempt(pools).result())[0])
            assert outcomes.count(Outcome.RESET) <= 3 and outcomes[-5:] == [Outcome.OK] * 5
            assert pools.idle_limit.limit == 200
            for _ in range(60):
                pools.idle_limit.decay()
            # The counts have decayed, so longer idle times are tried again.
            assert pools.idle_limit.limit == float("inf")

    in_loop(scenario)


def test_losses_shared_by_new_connections_do_not_lower_the_idle_limit() -> None:
    idle_limit = module.IdleLimit()
    for turn in range(100):
        for age in (None, 50.0, 300.0):
            idle_limit.record(age, lost=turn % 5 == 0)
    assert idle_limit.limit == float("inf")


def test_large_values_stay_within_the_buffer_limit() -> None:
    """Values of several hundred kilobytes occur. Many incomplete ones at once must not fill the memory."""

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
        async with pool(server, memory_bytes=700_000) as pools:
            first = TrackedAttempt(pools)
            await until(lambda: pools.buffered_bytes > 390_000)
            second = TrackedAttempt(pools)
            assert (await second.result())[0] is Outcome.RESET
            go_on.set()
            assert await first.result() == (Outcome.OK, value)
            assert pools.buffered_bytes == 0

    in_loop(scenario)


def test_a_refused_connection_ends_as_connect() -> None:
    async def scenario() -> None:
        server = Backend()
        async with pool(server) as pools:
            server.server.close()
            assert await TrackedAttempt(pools).result() == (Outcome.CONNECT, b"")
            assert await TrackedAttempt(pools, backend=9).result() == (Outcome.CONNECT, b"")  # never listed

    in_loop(scenario)


def test_a_connection_lost_before_the_last_byte_ends_as_connect() -> None:
    """The backend doesn't read, so the end of a large request is unsent when the connection breaks."""

    class Deaf(Server):
        async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            go_on = self.go_on = asyncio.Event()
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await go_on.wait()
            writer.transport.abort()

    async def scenario() -> None:
        server = Deaf()
        async with pool(server) as pools:
            attempt_under_test = TrackedAttempt(pools, body=b"x" * 32_000_000)
            connection = attempt_under_test.attempt.connection
            assert connection is not None
            await until(lambda: server.accepted and connection.writing)
            server.go_on.set()
            assert (await attempt_under_test.result())[0] is Outcome.CONNECT

    in_loop(scenario)


def test_a_large_request_is_sent_completely() -> None:
    async def scenario() -> None:
        server = Backend()
        async with pool(server) as pools:
            assert (await TrackedAttempt(pools, body=b"x" * 8_000_000).result())[0] is Outcome.OK
            assert server.got[0][4] == b"x" * 8_000_000

    in_loop(scenario)


def test_idle_connections_are_reused() -> None:
    async def scenario() -> None:
        server = Backend()
        async with pool(server) as pools:
            await asyncio.gather(TrackedAttempt(pools).result(), TrackedAttempt(pools).result())
            assert server.accepted == 2
            for _ in range(5):
                await wait_until_reusable(pools)
                assert (await TrackedAttempt(pools).result())[0] is Outcome.OK
            assert server.accepted == 2

    in_loop(scenario)


def test_a_connection_closed_by_the_backend_is_not_reused() -> None:
    """The end of a pooled connection may be unread, and a request written to it would end as a reset."""

    async def scenario() -> None:
        server = Backend()
        async with pool(server) as pools:
            assert (await TrackedAttempt(pools).result())[0] is Outcome.OK
            (connection,) = pools.hosts[0].idle
            pools.loop.remove_reader(connection.fd)  # as if the event loop had not polled it yet
            server.hang_up()
            await until(lambda: not connection.is_alive())
            assert (await TrackedAttempt(pools).result())[0] is Outcome.OK
            assert server.accepted == 2 and len(server.got) == 2

    in_loop(scenario)


def test_an_idle_connection_is_closed_before_the_keepalive_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "SWEEP_INTERVAL_MS", 5.0)

    async def scenario() -> None:
        server = Backend()
        async with pool(server) as pools:
            assert (await TrackedAttempt(pools).result())[0] is Outcome.OK
            (connection,) = pools.hosts[0].idle
            connection.idle_since -= pools.max_idle_ms - 20
            await until(lambda: server.ended)
            assert not pools.connections and pools.max_idle_ms < 15_000 * 0.8

    in_loop(scenario)


def test_a_cancelled_attempt_closes_its_connection_before_it_ends() -> None:
    """The next attempt is sent immediately, and two attempts must never be open at the same time."""

    async def silent(command: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        server = Backend(silent)
        async with pool(server) as pools:
            attempt_under_test = TrackedAttempt(pools)
            await until(lambda: server.got)
            connection = attempt_under_test.attempt.connection
            assert connection is not None
            closed: list[bool] = []
            attempt_under_test.attempt.on_end = lambda *_: closed.append(connection.socket.fileno() == -1)
            pools.cancel_attempt(attempt_under_test.attempt, EndReason.ABANDONED)
            assert closed == [True]
            await until(lambda: server.ended)

    in_loop(scenario)


def test_a_drain_received_while_connecting_stops_the_request() -> None:
    """The end of the drain grace applies to the first byte that is written, not to the call of `send`."""

    async def scenario() -> None:
        server = Backend()
        async with pool(server, drain_grace_ms=0) as pools:
            attempt_under_test = TrackedAttempt(pools)  # the connection is not established yet
            pools.update(0, (LOCAL, server.port), BackendState.DRAINING)
            assert (await attempt_under_test.result())[0] is Outcome.CONNECT
            assert (await TrackedAttempt(pools).result())[0] is Outcome.CONNECT
            await until(lambda: not server.open)
            assert not server.got

    in_loop(scenario)


def test_a_stall_between_clock_and_write_respects_the_drain_grace() -> None:
    """A process may be suspended for 0.15 s between reading the clock and writing.

    The margin before the end of a drain's grace has to cover that. With a margin of 50 ms a first byte that
    was checked 60 ms before the end of the grace was sent 90 ms after it.
    """
    grace_ms, stall_s = 400.0, 0.15

    class StalledAttempt(TrackedAttempt):
        def encode(self, wait: int) -> bytes:
            time.sleep(stall_s)
            return super().encode(wait)

    async def scenario() -> None:
        server = Backend()
        async with pool(server, drain_grace_ms=grace_ms) as pools:
            pools.update(0, (LOCAL, server.port), BackendState.DRAINING)
            await asyncio.sleep((grace_ms - 60) / 1000)
            assert (await StalledAttempt(pools).result())[0] is Outcome.CONNECT
            assert not server.got

    in_loop(scenario)


def test_a_request_that_expired_while_connecting_is_not_sent() -> None:
    async def scenario() -> None:
        server = Backend()
        async with pool(server) as pools:
            assert (await TrackedAttempt(pools, wait=0).result())[0] is Outcome.IGNORED
            assert not server.got

    in_loop(scenario)


def test_a_timeout_while_connecting_ends_as_connect() -> None:
    async def scenario() -> None:
        server = Backend()
        async with pool(server) as pools:
            attempt_under_test = TrackedAttempt(pools)
            pools.cancel_attempt(attempt_under_test.attempt, EndReason.ATTEMPT_TIMEOUT)
            assert (await attempt_under_test.result())[0] is Outcome.CONNECT

    in_loop(scenario)


def test_loop_lag_does_not_cause_a_connect_timeout() -> None:
    """The loop polls sockets before it runs timers. Otherwise lag would time out all connects at once."""

    async def scenario() -> None:
        server = Backend()
        async with pool(server, connect_timeout_ms=50) as pools:
            attempt_under_test = TrackedAttempt(pools)
            await asyncio.sleep(0)
            time.sleep(0.2)  # the kernel accepts meanwhile, and the loop hasn't polled
            assert (await attempt_under_test.result())[0] is Outcome.OK

    in_loop(scenario)


def test_a_backend_that_accepts_no_connection_times_out() -> None:
    async def scenario() -> None:
        with socket.create_server((LOCAL, 0), backlog=0) as full:
            waiting = [socket.socket() for _ in range(4)]
            for each in waiting:
                each.setblocking(False)
                each.connect_ex(full.getsockname())
            async with pool(connect_timeout_ms=50) as pools:
                pools.update(0, full.getsockname(), BackendState.READY)
                for lag in (0.0, 0.2):
                    attempt_under_test = TrackedAttempt(pools)
                    time.sleep(lag)
                    assert (await attempt_under_test.result())[0] is Outcome.CONNECT
            for each in waiting:
                each.close()

    in_loop(scenario)


def test_the_connection_limit_closes_idle_ones_then_fails_attempts() -> None:
    async def silent(command: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        first, second = Backend(), Backend(silent)
        async with pool(first, second, max_connections=1) as pools:
            assert (await TrackedAttempt(pools).result())[0] is Outcome.OK
            held = TrackedAttempt(pools, backend=1)
            await until(lambda: second.got)
            await until(lambda: first.ended)
            assert (await TrackedAttempt(pools).result())[0] is Outcome.CONNECT
            assert not held.reported_outcomes and len(pools.connections) == 1

    in_loop(scenario)


def test_a_changed_address_is_used() -> None:
    async def scenario() -> None:
        old, new = Backend(), Backend()
        async with pool(old) as pools:
            await new.start()
            assert (await TrackedAttempt(pools).result())[0] is Outcome.OK
            pools.update(0, (LOCAL, new.port), BackendState.READY)
            assert (await TrackedAttempt(pools).result())[0] is Outcome.OK
            assert len(old.got) == len(new.got) == 1
            await until(lambda: old.ended)
            await new.stop()

    in_loop(scenario)


def test_a_reset_is_retried_on_another_backend() -> None:
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


def test_unsafe_work_that_may_have_run_is_failed_and_not_repeated() -> None:
    async def script(command: list[bytes]) -> Reply:
        return b""

    async def scenario() -> None:
        async with running(World(Backend(script), Backend(script))) as world:
            reply = await world.ask(await world.client(), name=b"wipe", body=b"x")
            assert str(reply) == "ERR failed"
            assert sum(len(b.got) for b in world.backends) == 1

    in_loop(scenario)


def test_a_shorter_grace_counts_for_a_backend_that_drains_already_and_a_longer_one_does_not() -> None:
    """Guards against a request to a backend whose grace, by the settings in force, is over."""

    async def scenario() -> None:
        async with pool(Backend(), Backend(), drain_grace_ms=1_000) as pools:
            began = now_ms()
            pools.retire(0, began)
            draining, ready = pools.hosts[0], pools.hosts[1]
            assert draining.new_requests_until == began + 1_000 - module.CUTOFF_MARGIN_MS
            for grace_ms, expected_ms in ((500, 500), (2_000, 500)):
                pools.set_timeouts(250, 15_000, grace_ms)
                assert draining.new_requests_until == began + expected_ms - module.CUTOFF_MARGIN_MS
            assert ready.accepts_new_requests(began + 60_000)
            pools.update(0, draining.address, BackendState.READY)
            assert draining.accepts_new_requests(began + 60_000)

    in_loop(scenario)
