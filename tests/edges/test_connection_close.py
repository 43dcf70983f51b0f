"""Closes that cross what a client sends, over real connections; each order is made to happen.

`Raw` is a client on a blocking socket: what it writes lies in the gateway's kernel before the loop goes on.
So a test that writes and then acts in one turn decides which of the two the gateway sees first.
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


class Raw:
    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection((LOCAL, port))
        self.socket.settimeout(5)
        self.reset = False

    def write(self, data: bytes) -> None:
        self.socket.sendall(data)

    async def rest(self) -> bytes:
        """All that comes up to the end, and in `reset` whether that was a reset."""
        return await asyncio.to_thread(self._rest)

    def _rest(self) -> bytes:
        got = b""
        try:
            while data := self.socket.recv(65536):
                got += data
        except ConnectionResetError:
            self.reset = True
        return got

    async def take(self, count: int) -> bytes:
        return await asyncio.to_thread(self._take, count)

    def _take(self, count: int) -> bytes:
        got = b""
        while len(got) < count and (data := self.socket.recv(count - len(got))):
            got += data
        return got


def played(
    scenario: Callable[[World, RespServer], Awaitable[None]], backend: Backend | None = None, **limits: int
) -> None:
    async def run() -> None:
        with server_seen() as seen:
            async with running(World(backend or Backend(), **limits)) as world:
                await scenario(world, seen[0])

    in_loop(run)


class Held:
    """A backend's script that answers once it may."""

    def __init__(self) -> None:
        self.go_on = asyncio.Event()

    async def __call__(self, command: list[bytes]) -> Reply:
        await self.go_on.wait()
        return SERVED


# ---- the listener ----


def test_all_that_wait_at_a_closing_listener_are_taken_and_answered() -> None:
    """A listener that closes resets its backlog; 32 of it were taken before."""

    async def scenario(world: World, server: RespServer) -> None:
        waiting = [Raw(world.port) for _ in range(100)]
        for number, client in enumerate(waiting):
            client.write(encode(*request(b"%d" % number)))
        server.set_admission(answers_ping=True, accepts=False, keeps_idle=False)
        answers = await asyncio.gather(*(client.rest() for client in waiting))
        assert set(answers) == {VALUE, BUSY}  # a single backend takes only so many at once
        assert not any(client.reset for client in waiting)

    played(scenario)


def test_the_backlog_is_taken_in_though_all_places_are_held_by_clients_at_rest() -> None:
    async def scenario(world: World, server: RespServer) -> None:
        server.max_connections = 8
        resting = [Raw(world.port) for _ in range(8)]
        for client in resting:
            client.write(encode(b"PING"))
        assert [await client.take(7) for client in resting] == [b"+PONG\r\n"] * 8
        await until(lambda: len(server.connections) == 8)
        for one in list(server.connections):
            server.note_request(one)
        waiting = [Raw(world.port) for _ in range(6)]
        for number, client in enumerate(waiting):
            client.write(encode(*request(b"%d" % number)))
        server.set_admission(answers_ping=True, accepts=False, keeps_idle=False)
        assert set(await asyncio.gather(*(client.rest() for client in waiting))) <= {VALUE, BUSY}

    played(scenario)


# ---- what lies unread as a connection ends ----


@pytest.mark.parametrize(
    ("said", "answer"), [(encode(b"QUIT"), b"+OK\r\n"), (b"?what\r\n", b"-ERR protocol error\r\n")]
)
def test_an_answer_arrives_though_much_is_unread_behind_the_last_command(said: bytes, answer: bytes) -> None:
    """Closed over it, the connection is reset, and the answer may be lost with what is still on its way."""

    async def scenario(world: World, server: RespServer) -> None:
        client = Raw(world.port)
        client.write(said + b"x" * (2 * resp_server.READ_BUFFER_BYTES))
        assert await client.rest() == answer
        assert not client.reset

    played(scenario)


def test_what_comes_as_the_last_answer_of_a_drain_is_written_is_answered_too() -> None:
    held = Held()

    async def scenario(world: World, server: RespServer) -> None:
        client = Raw(world.port)
        client.write(encode(*request(b"first")))
        await until(lambda: world.backends[0].got)
        server.set_admission(answers_ping=True, accepts=True, keeps_idle=False)
        (one,) = server.connections
        held.go_on.set()
        client.write(encode(*request(b"second")))  # unread as the answer before it is written
        one.slots[0].answer(VALUE)
        assert await client.rest() == VALUE * 2
        assert not client.reset

    played(scenario, Backend(held))


def test_the_end_of_a_drain_goes_out_with_the_last_answer() -> None:
    """A turn later its client has taken the connection for free, and sent its next request on it."""

    async def scenario(world: World, server: RespServer) -> None:
        client = Raw(world.port)
        client.write(encode(*request(b"last")))
        await until(lambda: world.backends[0].got)
        server.set_admission(answers_ping=True, accepts=True, keeps_idle=False)
        (one,) = server.connections
        one.slots[0].answer(VALUE)
        assert one.state == connection.LINGERING  # in this call
        assert await client.rest() == VALUE and not client.reset

    played(scenario, Backend(silent))


def test_what_comes_after_the_end_was_told_is_never_sent_on_and_resets_nothing() -> None:
    async def scenario(world: World, server: RespServer) -> None:
        client = Raw(world.port)
        client.write(encode(*request(b"first")))
        assert await client.take(len(VALUE)) == VALUE
        server.set_admission(answers_ping=True, accepts=True, keeps_idle=False)
        client.write(encode(*request(b"late")))  # its sending side has ended in the turn before
        assert await client.rest() == b"" and not client.reset
        client.socket.close()
        await until(lambda: not server.connections)
        assert [got[2] for got in world.backends[0].got] == [b"first"]

    played(scenario)


def test_an_idle_connection_ends_without_a_reset(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "IDLE_TIMEOUT_MS", 50.0)
    monkeypatch.setattr(resp_server, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario(world: World, server: RespServer) -> None:
        client = Raw(world.port)
        client.write(encode(b"PING"))
        assert await client.rest() == b"+PONG\r\n" and not client.reset

    played(scenario)


WHOLE = encode(*request())


@pytest.mark.parametrize(
    ("before", "unread", "answer"),
    [
        # An error would be read as the answer to the first request, if that is under way just then.
        pytest.param(b"", b"", b"", id="never asked"),
        pytest.param(b"", WHOLE, VALUE, id="a request crosses"),
        # The loop was late: its timers are due before it has read what came meanwhile.
        pytest.param(WHOLE[:20], WHOLE[20:], VALUE, id="the rest lies unread"),
        pytest.param(WHOLE[:20], b"", b"-ERR protocol error\r\n", id="half a command"),
    ],
)
def test_what_is_told_at_the_time_of_a_command(
    before: bytes, unread: bytes, answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection, "COMMAND_TIMEOUT_MS", 50.0)
    monkeypatch.setattr(resp_server, "SWEEP_INTERVAL_MS", 60_000.0)  # the check is the test's

    async def scenario(world: World, server: RespServer) -> None:
        client = Raw(world.port)
        client.write(before)
        await until(lambda: [c for c in server.connections if bool(c.reader.buffered_bytes) == bool(before)])
        (one,) = server.connections
        await until(lambda: one.is_overdue(now_ms()))
        client.write(unread)
        one.check_timeouts(now_ms())
        stays = answer == VALUE
        assert one.state == (connection.OPEN if stays else connection.LINGERING)
        assert await (client.take(len(VALUE)) if stays else client.rest()) == answer
        assert not client.reset

    played(scenario)


# ---- bounds of a lingering close ----


def test_a_client_that_never_closes_is_closed_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "LINGER_TIMEOUT_MS", 50.0)
    monkeypatch.setattr(resp_server, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario(world: World, server: RespServer) -> None:
        client = Raw(world.port)
        client.write(encode(b"QUIT"))
        assert await client.rest() == b"+OK\r\n"
        assert server.lingering
        await until(lambda: not server.connections and not server.lingering)

    played(scenario)


def test_a_client_that_floods_after_the_end_is_closed_by_its_bytes() -> None:
    async def scenario(world: World, server: RespServer) -> None:
        client = Raw(world.port)
        client.write(encode(b"QUIT"))
        assert await client.rest() == b"+OK\r\n"

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

    played(scenario)


def test_those_that_linger_are_few_and_make_room_first() -> None:
    async def scenario(world: World, server: RespServer) -> None:
        server.max_connections = 8
        ended = [Raw(world.port) for _ in range(8)]
        for client in ended:
            client.write(encode(b"QUIT"))
        assert await asyncio.gather(*(client.rest() for client in ended)) == [b"+OK\r\n"] * 8
        assert len(server.lingering) == 8 // resp_server.MAX_LINGERING_DIVISOR
        server.max_connections = len(server.connections)
        client = Raw(world.port)
        client.write(encode(*request()))
        assert await client.take(len(VALUE)) == VALUE

    played(scenario)


# ---- the end of the process ----


async def silent(command: list[bytes]) -> Reply:
    return None


def test_every_command_taken_by_the_end_is_answered_however_many_wait_on_one_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Answers given at the end make room for further commands, which nobody answered before."""
    monkeypatch.setattr("roadpulley.__main__.compute_drain_times", lambda settings: (0.05, 0.15))
    count = 3 * connection.MAX_PENDING_COMMANDS

    async def scenario(world: World, server: RespServer) -> None:
        client = Raw(world.port)
        client.write(b"".join(encode(*request(b"%d" % n)) for n in range(count)))
        await until(lambda: any(len(c.slots) == connection.MAX_PENDING_COMMANDS for c in server.connections))
        world.stop.set()
        answers = (await client.rest()).splitlines()
        assert not client.reset
        assert len(answers) == count and {answer[:5] for answer in answers} <= {b"-ERR ", b"-BUSY"}
        # What was taken at the end went nowhere.
        assert {int(got[2]) for got in world.backends[0].got} <= set(range(connection.MAX_PENDING_COMMANDS))

    played(scenario, Backend(silent))


def test_half_a_command_at_the_end_was_never_taken_and_its_connection_ends_without_a_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("roadpulley.__main__.compute_drain_times", lambda settings: (0.05, 0.15))

    async def scenario(world: World, server: RespServer) -> None:
        client = Raw(world.port)
        whole = encode(*request(b"whole"))
        client.write(whole + encode(*request(b"half"))[:30])
        assert await client.take(len(VALUE)) == VALUE
        world.stop.set()
        assert await client.rest() == b"" and not client.reset
        assert len(world.backends[0].got) == 1

    played(scenario)


@pytest.mark.parametrize("granted", [False, True])
def test_the_room_of_a_long_body_comes_back_once_as_its_connection_ends(granted: bool) -> None:
    """Also where the end comes while the body waits for that room."""
    length = 100_000

    async def scenario(world: World, server: RespServer) -> None:
        taken = 0 if granted else server.body_budget.capacity
        server.body_budget.reserved = taken  # by others
        client = Raw(world.port)
        client.write(encode(*request(b"long", name=b"keyed", body=b"x" * length)).split(b"x" * 64)[0])
        await until(lambda: any(c.body_grant_bytes or c.reader.wanted_body_bytes for c in server.connections))
        (one,) = server.connections
        one.finish_commands()
        assert await client.rest() == b"" and not client.reset
        assert server.body_budget.reserved == taken and not server.body_budget.waiters
        client.socket.close()
        await until(lambda: not server.connections)
        assert server.body_budget.reserved == taken

    played(scenario)
