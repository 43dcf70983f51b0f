"""Closes that race with what a client sends, over real connections; each test forces one order of events.

`RawClient` uses a blocking socket: what it writes is in the gateway's kernel before the event loop continues.
So a test that writes and then acts without yielding decides which of the two the gateway sees first.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest
from loopback import LOCAL, Backend, Reply, World, encode, in_loop, request, running, server_seen, until

from roadpulley.core.clock import now_ms
from roadpulley.edges import connection, resp_server
from roadpulley.edges.resp_server import RespServer

SERVED = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
VALUE, BUSY = b"$5\r\nvalue\r\n", b"-BUSY 500\r\n"


class RawClient:
    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection((LOCAL, port))
        self.socket.settimeout(5)
        self.reset = False

    def write(self, data: bytes) -> None:
        self.socket.sendall(data)

    async def read_to_end(self) -> bytes:
        """Read to the end; `reset` then says whether the connection was reset."""
        return await asyncio.to_thread(self._read_to_end)

    def _read_to_end(self) -> bytes:
        got = b""
        try:
            while data := self.socket.recv(65536):
                got += data
        except ConnectionResetError:
            self.reset = True
        return got

    async def read(self, count: int) -> bytes:
        return await asyncio.to_thread(self._read, count)

    def _read(self, count: int) -> bytes:
        got = b""
        while len(got) < count and (data := self.socket.recv(count - len(got))):
            got += data
        return got


def run_scenario(
    scenario: Callable[[World, RespServer], Awaitable[None]], backend: Backend | None = None, **limits: int
) -> None:
    async def run() -> None:
        with server_seen() as seen:
            async with running(World(backend or Backend(), **limits)) as world:
                await scenario(world, seen[0])

    in_loop(run)


class GatedScript:
    """A backend's script that answers once `go_on` is set."""

    def __init__(self) -> None:
        self.go_on = asyncio.Event()

    async def __call__(self, command: list[bytes]) -> Reply:
        await self.go_on.wait()
        return SERVED


# ---- the listener ----


def test_connections_in_the_backlog_of_a_closing_listener_are_accepted_and_answered() -> None:
    """Closing a listener resets its backlog. Only 32 connections of it used to be accepted before."""

    async def scenario(world: World, server: RespServer) -> None:
        waiting = [RawClient(world.port) for _ in range(100)]
        for number, client in enumerate(waiting):
            client.write(encode(*request(b"%d" % number)))
        server.set_admission(answers_ping=True, accepts=False, keeps_idle=False)
        answers = await asyncio.gather(*(client.read_to_end() for client in waiting))
        assert set(answers) == {VALUE, BUSY}  # a single backend admits a limited number at once
        assert not any(client.reset for client in waiting)

    run_scenario(scenario)


def test_the_backlog_is_accepted_although_idle_connections_fill_the_limit() -> None:
    async def scenario(world: World, server: RespServer) -> None:
        server.max_connections = 8
        resting = [RawClient(world.port) for _ in range(8)]
        for client in resting:
            client.write(encode(b"PING"))
        assert [await client.read(7) for client in resting] == [b"+PONG\r\n"] * 8
        await until(lambda: len(server.connections) == 8)
        for accepted in list(server.connections):
            server.note_request(accepted)
        waiting = [RawClient(world.port) for _ in range(6)]
        for number, client in enumerate(waiting):
            client.write(encode(*request(b"%d" % number)))
        server.set_admission(answers_ping=True, accepts=False, keeps_idle=False)
        assert set(await asyncio.gather(*(client.read_to_end() for client in waiting))) <= {VALUE, BUSY}

    run_scenario(scenario)


# ---- unread bytes at the end of a connection ----


@pytest.mark.parametrize(
    ("data", "answer"), [(encode(b"QUIT"), b"+OK\r\n"), (b"?what\r\n", b"-ERR protocol error\r\n")]
)
def test_the_last_reply_arrives_although_bytes_behind_its_command_are_unread(
    data: bytes, answer: bytes
) -> None:
    """If the socket were closed with unread bytes, the reset could destroy the reply in flight."""

    async def scenario(world: World, server: RespServer) -> None:
        client = RawClient(world.port)
        client.write(data + b"x" * (2 * resp_server.READ_BUFFER_BYTES))
        assert await client.read_to_end() == answer
        assert not client.reset

    run_scenario(scenario)


def test_a_command_that_arrives_with_the_last_reply_of_a_drain_is_answered() -> None:
    gated = GatedScript()

    async def scenario(world: World, server: RespServer) -> None:
        client = RawClient(world.port)
        client.write(encode(*request(b"first")))
        await until(lambda: world.backends[0].got)
        server.set_admission(answers_ping=True, accepts=True, keeps_idle=False)
        (accepted,) = server.connections
        gated.go_on.set()
        client.write(encode(*request(b"second")))  # unread when the previous reply is written
        accepted.slots[0].answer(VALUE)
        assert await client.read_to_end() == VALUE * 2
        assert not client.reset

    run_scenario(scenario, Backend(gated))


def test_fin_follows_the_last_reply_of_a_drain_at_once() -> None:
    """One loop iteration later, the client may have sent its next request on the idle connection."""

    async def scenario(world: World, server: RespServer) -> None:
        client = RawClient(world.port)
        client.write(encode(*request(b"last")))
        await until(lambda: world.backends[0].got)
        server.set_admission(answers_ping=True, accepts=True, keeps_idle=False)
        (accepted,) = server.connections
        accepted.slots[0].answer(VALUE)
        assert accepted.state == connection.LINGERING  # in this call
        assert await client.read_to_end() == VALUE and not client.reset

    run_scenario(scenario, Backend(silent))


def test_a_request_after_fin_is_not_forwarded_and_does_not_reset_the_connection() -> None:
    async def scenario(world: World, server: RespServer) -> None:
        client = RawClient(world.port)
        client.write(encode(*request(b"first")))
        assert await client.read(len(VALUE)) == VALUE
        server.set_admission(answers_ping=True, accepts=True, keeps_idle=False)
        client.write(encode(*request(b"late")))  # the gateway sent FIN in the call before
        assert await client.read_to_end() == b"" and not client.reset
        client.socket.close()
        await until(lambda: not server.connections)
        assert [got[2] for got in world.backends[0].got] == [b"first"]

    run_scenario(scenario)


def test_an_idle_connection_ends_without_a_reset(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "IDLE_TIMEOUT_MS", 50.0)
    monkeypatch.setattr(resp_server, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario(world: World, server: RespServer) -> None:
        client = RawClient(world.port)
        client.write(encode(b"PING"))
        assert await client.read_to_end() == b"+PONG\r\n" and not client.reset

    run_scenario(scenario)


WHOLE = encode(*request())


@pytest.mark.parametrize(
    ("first", "unread", "answer"),
    [
        # An error reply would be taken for the reply to the first request, if that is in flight.
        pytest.param(b"", b"", b"", id="no command"),
        pytest.param(b"", WHOLE, VALUE, id="a request is in flight"),
        # The event loop was late: its timers fire before it has read what arrived meanwhile.
        pytest.param(WHOLE[:20], WHOLE[20:], VALUE, id="the rest is unread"),
        pytest.param(WHOLE[:20], b"", b"-ERR protocol error\r\n", id="half a command"),
    ],
)
def test_the_command_timeout_reads_once_more_and_reports_only_incomplete_commands(
    first: bytes, unread: bytes, answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection, "COMMAND_TIMEOUT_MS", 50.0)
    monkeypatch.setattr(resp_server, "SWEEP_INTERVAL_MS", 60_000.0)  # the test calls the check itself

    async def scenario(world: World, server: RespServer) -> None:
        client = RawClient(world.port)
        client.write(first)
        await until(lambda: [c for c in server.connections if bool(c.reader.buffered_bytes) == bool(first)])
        (accepted,) = server.connections
        await until(lambda: accepted.is_overdue(now_ms()))
        client.write(unread)
        accepted.check_timeouts(now_ms())
        stays_open = answer == VALUE
        assert accepted.state == (connection.OPEN if stays_open else connection.LINGERING)
        assert await (client.read(len(VALUE)) if stays_open else client.read_to_end()) == answer
        assert not client.reset

    run_scenario(scenario)


SETUP = encode(b"CLIENT", b"SETNAME", b"tiles")


@pytest.mark.parametrize(
    ("first", "answer", "idle_ms", "drain_ms", "is_kept"),
    [
        pytest.param(b"", b"", 500, 500, True, id="a client slower than 0.4 s"),
        pytest.param(b"", b"", 2_300, 2_300, True, id="the time for a first command"),
        pytest.param(b"", b"", 2_500, 2_500, False, id="no command in that time"),
        pytest.param(b"", b"", 500, 3_100, False, id="accepted late in the drain"),
        pytest.param(b"", b"", 300, 3_900, True, id="accepted just now"),
        pytest.param(SETUP, b"+OK\r\n", 500, 500, True, id="after setup commands"),
        pytest.param(encode(b"PING"), b"+PONG\r\n", 300, 300, True, id="just after a PING"),
        pytest.param(encode(b"PING"), b"+PONG\r\n", 500, 500, False, id="a PING only"),
        pytest.param(WHOLE, VALUE, 0, 0, False, id="after a request"),
    ],
)
def test_a_drain_leaves_a_connection_the_time_for_its_first_request(
    first: bytes, answer: bytes, idle_ms: float, drain_ms: float, is_kept: bool
) -> None:
    """A drain closed new connections after 0.4 s and discarded requests that arrived 10 to 90 ms later."""

    async def scenario(world: World, server: RespServer) -> None:
        client = RawClient(world.port)
        client.write(first)
        assert await client.read(len(answer)) == answer
        await until(lambda: server.connections)
        server.set_admission(answers_ping=True, accepts=True, keeps_idle=False)
        (accepted,) = server.connections
        accepted.last_used_at = now_ms() - idle_ms
        server.drain_began_at = now_ms() - drain_ms
        accepted.close_for_drain()
        assert (accepted.state == connection.OPEN) == is_kept
        client.write(encode(*request(b"second")))
        assert await client.read_to_end() == (VALUE if is_kept else b"")
        assert not client.reset

    run_scenario(scenario)


def test_a_first_request_that_arrives_with_the_end_of_its_time_is_answered() -> None:
    async def scenario(world: World, server: RespServer) -> None:
        client = RawClient(world.port)
        await until(lambda: server.connections)
        server.set_admission(answers_ping=True, accepts=True, keeps_idle=False)
        (accepted,) = server.connections
        accepted.last_used_at = now_ms() - connection.COMMAND_TIMEOUT_MS
        client.write(WHOLE)  # unread
        accepted.close_for_drain()
        assert await client.read_to_end() == VALUE and not client.reset

    run_scenario(scenario)


# ---- bounds of a lingering close ----


def test_a_client_that_never_closes_is_closed_after_the_linger_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection, "LINGER_TIMEOUT_MS", 50.0)
    monkeypatch.setattr(resp_server, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario(world: World, server: RespServer) -> None:
        client = RawClient(world.port)
        client.write(encode(b"QUIT"))
        assert await client.read_to_end() == b"+OK\r\n"
        assert server.lingering
        await until(lambda: not server.connections and not server.lingering)

    run_scenario(scenario)


def test_a_client_that_floods_after_fin_is_closed_at_the_byte_limit() -> None:
    async def scenario(world: World, server: RespServer) -> None:
        client = RawClient(world.port)
        client.write(encode(b"QUIT"))
        assert await client.read_to_end() == b"+OK\r\n"

        def flood() -> int:
            sent = 0
            try:
                while sent < 64 * connection.MAX_LINGER_BYTES:
                    sent += client.socket.send(b"x" * 65536)
            except OSError:
                pass
            return sent

        assert await asyncio.to_thread(flood) < 64 * connection.MAX_LINGER_BYTES
        assert not server.connections

    run_scenario(scenario)


def test_lingering_connections_are_limited_and_evicted_first() -> None:
    async def scenario(world: World, server: RespServer) -> None:
        server.max_connections = 8
        ended = [RawClient(world.port) for _ in range(8)]
        for client in ended:
            client.write(encode(b"QUIT"))
        assert await asyncio.gather(*(client.read_to_end() for client in ended)) == [b"+OK\r\n"] * 8
        assert len(server.lingering) == 8 // resp_server.MAX_LINGERING_DIVISOR
        server.max_connections = len(server.connections)
        client = RawClient(world.port)
        client.write(encode(*request()))
        assert await client.read(len(VALUE)) == VALUE

    run_scenario(scenario)


# ---- the end of the process ----


async def silent(command: list[bytes]) -> Reply:
    return None


def test_at_the_process_end_every_command_of_a_pipeline_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Replies given at the end unblock further commands of the pipeline, which once got no reply."""
    monkeypatch.setattr("roadpulley.__main__.compute_drain_times", lambda settings: (0.05, 0.15))
    count = 3 * connection.MAX_PENDING_COMMANDS

    async def scenario(world: World, server: RespServer) -> None:
        client = RawClient(world.port)
        client.write(b"".join(encode(*request(b"%d" % n)) for n in range(count)))
        await until(lambda: any(len(c.slots) == connection.MAX_PENDING_COMMANDS for c in server.connections))
        world.stop.set()
        answers = (await client.read_to_end()).splitlines()
        assert not client.reset
        assert len(answers) == count and {answer[:5] for answer in answers} <= {b"-ERR ", b"-BUSY"}
        # Commands read at the end were not forwarded.
        assert {int(got[2]) for got in world.backends[0].got} <= set(range(connection.MAX_PENDING_COMMANDS))

    run_scenario(scenario, Backend(silent))


def test_an_incomplete_command_at_the_process_end_is_ignored_without_a_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("roadpulley.__main__.compute_drain_times", lambda settings: (0.05, 0.15))

    async def scenario(world: World, server: RespServer) -> None:
        client = RawClient(world.port)
        whole = encode(*request(b"whole"))
        client.write(whole + encode(*request(b"half"))[:30])
        assert await client.read(len(VALUE)) == VALUE
        world.stop.set()
        assert await client.read_to_end() == b"" and not client.reset
        assert len(world.backends[0].got) == 1

    run_scenario(scenario)


@pytest.mark.parametrize("granted", [False, True])
def test_the_memory_of_a_long_body_is_released_once_when_its_connection_ends(granted: bool) -> None:
    """Also if the connection ends while the body waits for its memory."""
    length = 100_000

    async def scenario(world: World, server: RespServer) -> None:
        reserved_elsewhere = 0 if granted else server.body_budget.capacity
        server.body_budget.reserved = reserved_elsewhere  # reserved by others
        client = RawClient(world.port)
        client.write(encode(*request(b"long", name=b"keyed", body=b"x" * length)).split(b"x" * 64)[0])
        await until(
            lambda: any(c.body_grant.granted_bytes or c.reader.wanted_body_bytes for c in server.connections)
        )
        (accepted,) = server.connections
        accepted.finish_commands()
        assert await client.read_to_end() == b"" and not client.reset
        assert server.body_budget.reserved == reserved_elsewhere and not server.body_budget.waiters
        client.socket.close()
        await until(lambda: not server.connections)
        assert server.body_budget.reserved == reserved_elsewhere

    run_scenario(scenario)
