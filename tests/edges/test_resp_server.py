"""The client side of a running gateway, over loopback sockets."""

from __future__ import annotations

import asyncio
import errno
import socket

import hiredis
import pytest
from loopback import Backend, Peer, Reply, World, encode, in_loop, request, running, server_seen, until

from roadpulley.core.clock import now_ms
from roadpulley.edges import connection, resp_server
from roadpulley.edges.connection import FLUSHING, MAX_PENDING_COMMANDS, MAX_UNSENT_BYTES


def array(value: bytes) -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


def failed(reply: object) -> bool:
    return isinstance(reply, hiredis.ReplyError) and str(reply).startswith("ERR")


def test_answers_come_in_the_order_of_the_commands() -> None:
    async def scenario() -> None:
        second_served = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            if command[2] == b"first":
                await second_served.wait()
            else:
                second_served.set()
            return array(command[2])

        async with running(World(Backend(script))) as world:
            peer = await world.client()
            peer.send(*request(b"first"))
            peer.send(*request(b"second"))
            peer.send(b"PING")
            assert [await peer.receive() for _ in range(3)] == [b"first", b"second", b"PONG"]

    in_loop(scenario)


def test_commands_may_come_in_pieces_and_together() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            for byte in encode(*request(b"one")):
                peer.writer.write(bytes([byte]))
                await peer.writer.drain()
                await asyncio.sleep(0)
            assert await peer.receive() == b"value"
            numbers = [b"%d" % n for n in range(100)]
            peer.writer.write(b"".join(encode(b"PING", n) for n in numbers) + encode(*request(b"two")))
            assert [await peer.receive() for _ in range(101)] == [*numbers, b"value"]

    in_loop(scenario)


def test_values_and_bodies_pass_untouched_and_backends_learn_the_time_left() -> None:
    blob = bytes(range(256)) * 256  # 64 KiB, the largest
    # Line ends inside values would show an answer or a command that is put together carelessly.

    async def script(command: list[bytes]) -> Reply:
        return array(blob)

    async def scenario() -> None:
        async with running(World(Backend(script))) as world:
            peer = await world.client()
            assert await world.ask(peer, name=b"wipe", body=blob) == blob
            verb, customer, id, listed, body = world.backends[0].got[0]
            assert (verb, customer, id, body) == (b"API.WRITE", *request()[1:3], blob)
            before, given, after = listed.partition(b"d=")
            left, comma, rest = after.partition(b",")
            assert before + given == b"c=wipe,t=free,d=" and rest == b"units=1,spread=1,first=0"
            assert 2000 < int(left) <= 3000

    in_loop(scenario)


LISTED = b"c=view,t=free,d=480,units=1,spread=1,first=0"
CUSTOMER = b"00000000b4d65521"


def changed(old: bytes, new: bytes, verb: bytes = b"API.READ") -> tuple[bytes, ...]:
    assert old in LISTED
    return verb, CUSTOMER, b"b", LISTED.replace(old, new)


@pytest.mark.parametrize(
    "command",
    [
        (b"API.READ",),
        (b"API.READ", CUSTOMER, b"b", b"nonsense"),
        (b"API.READ", CUSTOMER, b"b", LISTED, b"body", b"more"),
        (b"API.READ", b"a", b"b", LISTED),
        (b"API.READ", b"0000000200000000", b"b", LISTED),  # 2^33
        (b"API.READ", b"+0000000b4d65521", b"b", LISTED),
        (b"API.READ", b"\xff" * 16, b"b", LISTED),
        (b"API.READ", CUSTOMER, b"", LISTED),
        (b"API.READ", CUSTOMER, b"a b", LISTED),
        (b"API.READ", CUSTOMER, b"x" * 65, LISTED),
        (b"API.WRITE", CUSTOMER, b"b", LISTED),
        (b"API.READ", CUSTOMER, b"b", LISTED.replace(b"view", b"wipe")),
        (b"API.WRITE", CUSTOMER, b"b", LISTED.replace(b"view", b"keyed")),  # without k
        (b"API.READ", CUSTOMER, b"b", LISTED + b",d=3"),
        changed(b",d=480", b""),
        *(changed(b"480", new) for new in (b"", b"-3", b"0", b"1e3", b"1_0", b" 5")),
        *(changed(b"480", new) for new in (b"999999999", b"nan", b"inf", b"soon")),
        *(changed(b"view", new) for new in (b"", b"views", b"\xff")),
        *(changed(b"free", new) for new in (b"", b"golden")),
        *(changed(b"units=1", b"units=" + new) for new in (b"", b"0", b"-1", b"2", b"1_0", b"nan", b"x")),
        *(changed(b"spread=1", b"spread=" + new) for new in (b"", b"0", b"2", b"-1", b"x", b"1.0")),
        *(changed(b"first=0", b"first=" + new) for new in (b"", b"1", b"-1", b"x")),
        (b"HELLO", b"3"),
        (b"",),
    ],
)
def test_a_malformed_command_fails_alone(command: tuple[bytes, ...]) -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            peer.send(*command)
            peer.send(*request())
            assert failed(await peer.receive())
            assert await peer.receive() == b"value"
            assert len(world.backends[0].got) == 1

    in_loop(scenario)


def test_a_broken_protocol_ends_its_own_connection_only() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            good, bad = await world.client(), await world.client()
            bad.writer.write(encode(*request(b"early")) + b"?what\r\n" + encode(*request(b"late")))
            assert await bad.receive() == b"value"  # what came before still gets its answer
            assert failed(await bad.receive())
            assert await bad.receive() is None
            assert await world.ask(good) == b"value"
            assert [c[2] for c in world.backends[0].got] == [b"early", request()[2]]

    in_loop(scenario)


def test_a_client_that_leaves_calls_off_what_is_out() -> None:
    async def silent(command: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        backend = Backend(silent)
        async with running(World(backend)) as world:
            peer = await world.client()
            peer.send(*request())
            await until(lambda: backend.got)
            peer.close()
            await until(lambda: backend.ended)
            # The id is free again, so nothing of the request is left.
            backend.script = backend.serve
            assert await world.ask(await world.client()) == b"value"

    in_loop(scenario)


def test_an_id_in_use_is_not_taken_twice() -> None:
    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await go_on.wait()
            return array(b"value")

        backend = Backend(script)
        async with running(World(backend)) as world:
            first, second = await world.client(), await world.client()
            first.send(*request())
            await until(lambda: backend.got)
            assert failed(await world.ask(second))
            second.close()
            go_on.set()
            assert await first.receive() == b"value"

    in_loop(scenario)


def test_a_slow_reader_does_not_grow_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client that asks and never reads is read no further, so that its answers stay few."""

    async def scenario() -> None:
        with server_seen() as seen:
            async with running(World(Backend())) as world:
                peer = await world.client()
                await until(lambda: seen[0].connections)
                (connection,) = seen[0].connections
                echo = encode(b"PING", b"x" * 65536)
                written = 0
                while connection.is_reading:
                    peer.writer.write(echo)
                    written += 1
                    await asyncio.sleep(0)
                held = len(connection.unsent) + sum(len(slot.reply or b"") for slot in connection.slots)
                assert held <= MAX_UNSENT_BYTES + 2 * 66_000
                for _ in range(written):  # once it reads, it gets all of them
                    assert await peer.receive() == b"x" * 65536

    in_loop(scenario)


def test_clients_that_leave_much_unread_together_are_given_up() -> None:
    async def scenario() -> None:
        with server_seen() as seen:
            async with running(World(Backend(), memory_mb=5)) as world:
                peers = [await world.client() for _ in range(40)]
                for peer in peers:
                    peer.writer.transport.pause_reading()  # type: ignore[attr-defined]
                await until(lambda: len(seen[0].connections) == 40)
                while len(seen[0].connections) > 30:
                    for peer in peers:
                        if not peer.writer.transport.is_closing():  # that one was given up, and knows it
                            peer.send(b"PING", b"x" * 65536)
                    await asyncio.sleep(0)
                    assert seen[0].unsent_bytes <= seen[0].max_unsent_bytes + 70_000
                late = await world.client()
                assert await world.ask(late) == b"value"
                for peer in peers:
                    peer.writer.transport.abort()
        await until(lambda: not seen[0].connections)
        assert seen[0].unsent_bytes == 0

    in_loop(scenario)


def test_a_client_that_never_reads_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "WRITE_STALL_TIMEOUT_MS", 50.0)
    monkeypatch.setattr(resp_server, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario() -> None:
        with server_seen() as seen:
            async with running(World(Backend())) as world:
                peer = await world.client()
                peer.writer.transport.pause_reading()  # type: ignore[attr-defined]
                await until(lambda: seen[0].connections)
                while seen[0].connections:
                    peer.send(b"PING", b"x" * 65536)
                    await asyncio.sleep(0)

    in_loop(scenario)


@pytest.mark.parametrize(
    "said",
    [
        b"*",
        b"*3\r\n$8\r\nAPI",
        encode(*request(b"early")) + b"*4\r\n",
        b"*1\r\n$65536\r\n" + b"x" * 60_000,
    ],
)
def test_what_is_not_whole_in_time_is_closed(monkeypatch: pytest.MonkeyPatch, said: bytes) -> None:
    """Half a command would hold a descriptor for ever."""
    monkeypatch.setattr(connection, "COMMAND_TIMEOUT_MS", 500.0)
    monkeypatch.setattr(resp_server, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            asked = await world.client()
            assert await world.ask(asked) == b"value"
            peer = await world.client()
            peer.writer.write(said)
            if b"early" in said:
                assert await peer.receive() == b"value"
            assert failed(await peer.receive())
            assert await peer.receive() is None
            assert await world.ask(asked, id=b"later") == b"value"  # idle between commands is no offence

    in_loop(scenario)


@pytest.mark.parametrize(
    "data",
    [
        b"x" * 50,
        b"\r\n",
        b"*-1\r\n",
        b"*0\r\n",
        b"*1000\r\n",
        b"*+1\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$65537\r\n",
        b"*2\r\n$60000\r\n" + b"x" * 60_000 + b"\r\n$60000\r\n",
        b"*1\r\n$62914560\r\n",
        b"*1\r\n$3\r\nPINGS",
        b"*1\r\n:3\r\n",
        b"*1\r\n*1\r\n",
        b"$" + b"1" * 50,
    ],
)
def test_what_can_become_no_command_is_refused_at_once(data: bytes) -> None:
    """Not only at the end of a line that may never end, or once 60 MB have come."""

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            peer.writer.write(data)
            assert failed(await peer.receive())
            assert await peer.receive() is None

    in_loop(scenario)


def test_silent_clients_by_hundreds_do_not_keep_others_out() -> None:
    async def scenario() -> None:
        async with running(World(Backend(), sockets=60)) as world:
            asked = await world.client()
            assert await world.ask(asked) == b"value"
            silent = [await world.client() for _ in range(100)]
            late = await world.client()
            assert await world.ask(late, id=b"late") == b"value"
            assert await world.ask(asked, id=b"again") == b"value"  # one that asked is not given up for them
            for peer in silent[:50]:
                assert await peer.receive() is None

    in_loop(scenario)


def test_running_out_of_descriptors_is_survived(monkeypatch: pytest.MonkeyPatch) -> None:
    class Short:
        """A listener that finds no descriptor left for a while."""

        def __init__(self, listener: socket.socket) -> None:
            self.listener, self.short = listener, 3

        def accept(self) -> tuple[socket.socket, object]:
            self.short -= 1
            if self.short >= 0:
                raise OSError(errno.EMFILE, "too many open files")
            return self.listener.accept()

        def __getattr__(self, name: str) -> object:
            return getattr(self.listener, name)

    async def scenario() -> None:
        with server_seen() as seen:
            async with running(World(Backend())) as world:
                assert seen[0].listener is not None
                seen[0].listener = Short(seen[0].listener)  # type: ignore[assignment]
                assert await world.ask(await world.client()) == b"value"

    in_loop(scenario)


def test_too_many_pipelined_commands_wait_unread() -> None:
    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await go_on.wait()
            return array(command[2])

        backend = Backend(script)
        async with running(World(backend)) as world:
            peer = await world.client()
            count = MAX_PENDING_COMMANDS * 2
            ids = [b"%04d" % n for n in range(count)]
            peer.writer.write(b"".join(encode(*request(id)) for id in ids))
            await until(lambda: backend.got)
            go_on.set()
            answers = [await peer.receive() for _ in ids]
            refused = [str(a) for a in answers if not isinstance(a, bytes)]  # the rest: each its own value
            assert all(a == id for id, a in zip(ids, answers, strict=True) if isinstance(a, bytes))
            assert answers[0] == ids[0] and all(text.startswith("BUSY") for text in refused)

    in_loop(scenario)


def test_at_the_bound_an_unused_connection_makes_room(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(resp_server, "MIN_EVICTABLE_IDLE_MS", 0.0)

    async def scenario() -> None:
        async with running(World(Backend(), sockets=6)) as world:
            peers: list[Peer] = [await world.client() for _ in range(3)]
            for number, peer in enumerate(peers):
                assert await world.ask(peer, id=b"%d" % number) == b"value"
            fourth = await world.client()
            assert await world.ask(fourth) == b"value"
            assert await peers[0].receive() is None
            assert await world.ask(peers[1]) == b"value"

    in_loop(scenario)


def test_set_up_commands_of_client_libraries() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            for command in (b"CLIENT", b"SELECT", b"QUIT"):
                peer.send(command)
                assert await peer.receive() == b"OK"
            assert await peer.receive() is None

    in_loop(scenario)


def test_many_small_commands_in_one_read_are_all_answered() -> None:
    """Taken by calls within calls, each round of waiting commands would deepen the stack."""

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            count = 60_000
            peer.writer.write(encode(b"") * count)
            for _ in range(count):
                assert failed(await peer.receive())
            assert await world.ask(peer) == b"value"

    in_loop(scenario)


@pytest.mark.parametrize("data", [b"*5\r\n$999999\r\n" + b"x" * 200_000, b"*4294967294\r\n$1\r\na\r\n"])
def test_a_command_beyond_all_bounds_ends_its_connection(data: bytes) -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            good, bad = await world.client(), await world.client()
            bad.writer.write(data)
            assert failed(await bad.receive())
            assert await bad.receive() is None
            assert await world.ask(good) == b"value"

    in_loop(scenario)


def test_what_follows_a_broken_protocol_does_not_pile_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection stays for its earlier answers, and a client may go on writing to it."""

    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await go_on.wait()
            return array(b"value")

        backend = Backend(script)
        with server_seen() as seen:
            async with running(World(backend)) as world:
                peer = await world.client()
                await until(lambda: seen[0].connections)
                (connection,) = seen[0].connections
                peer.writer.write(encode(*request()) + b"?what\r\n" + b"x" * 10_000_000)
                await until(lambda: backend.got)
                assert connection.state == FLUSHING and not connection.is_reading
                assert connection.reader.buffered_bytes <= resp_server.READ_BUFFER_BYTES
                go_on.set()
                assert await peer.receive() == b"value"
                assert failed(await peer.receive())

    in_loop(scenario)


def test_a_connection_just_taken_in_has_its_first_command_answered_in_a_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        with server_seen() as seen:
            async with running(World(Backend())) as world:
                used, young, quiet = await world.client(), await world.client(), await world.client()
                assert await world.ask(used) == b"value"
                await until(lambda: len(seen[0].connections) == 3)
                for connection in seen[0].without_request:
                    connection.last_used_at = now_ms()  # however slowly this test got here
                seen[0].set_admission(answers_ping=True, accepts=False, keeps_idle=False)
                assert await used.receive() is None
                assert await world.ask(young) == b"value"
                assert await young.receive() is None
                assert await quiet.receive() is None  # not for ever

    in_loop(scenario)
