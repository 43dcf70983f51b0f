"""The RESP server of a running gateway, over loopback sockets."""

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


def encode_reply(value: bytes) -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


def is_error(reply: object) -> bool:
    return isinstance(reply, hiredis.ReplyError) and str(reply).startswith("ERR")


def test_replies_are_in_the_order_of_the_commands() -> None:
    async def scenario() -> None:
        second_served = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            if command[2] == b"first":
                await second_served.wait()
            else:
                second_served.set()
            return encode_reply(command[2])

        async with running(World(Backend(script))) as world:
            peer = await world.client()
            peer.send(*request(b"first"))
            peer.send(*request(b"second"))
            peer.send(b"PING")
            assert [await peer.receive() for _ in range(3)] == [b"first", b"second", b"PONG"]

    in_loop(scenario)


def test_commands_are_parsed_byte_by_byte_and_in_batches() -> None:
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


def test_values_and_bodies_are_forwarded_unchanged_with_the_remaining_time() -> None:
    blob = bytes(range(256)) * 256  # 64 KiB, the largest
    # The values contain CRLF, which would break replies or commands that are not framed by length.

    async def script(command: list[bytes]) -> Reply:
        return encode_reply(blob)

    async def scenario() -> None:
        async with running(World(Backend(script))) as world:
            peer = await world.client()
            assert await world.ask(peer, name=b"wipe", body=blob) == blob
            verb, customer, id, attributes, body = world.backends[0].got[0]
            assert (verb, customer, id, body) == (b"API.WRITE", *request()[1:3], blob)
            before, wait_key, after = attributes.partition(b"d=")
            left, comma, rest = after.partition(b",")
            assert before + wait_key == b"c=wipe,t=free,d=" and rest == b"units=1,spread=1,first=0"
            assert 2000 < int(left) <= 3000

    in_loop(scenario)


ATTRIBUTES = b"c=view,t=free,d=480,units=1,spread=1,first=0"
CUSTOMER = b"00000000b4d65521"


def replace_attribute(old: bytes, new: bytes, verb: bytes = b"API.READ") -> tuple[bytes, ...]:
    assert old in ATTRIBUTES
    return verb, CUSTOMER, b"b", ATTRIBUTES.replace(old, new)


@pytest.mark.parametrize(
    "command",
    [
        (b"API.READ",),
        (b"API.READ", CUSTOMER, b"b", b"nonsense"),
        (b"API.READ", CUSTOMER, b"b", ATTRIBUTES, b"body", b"more"),
        (b"API.READ", b"a", b"b", ATTRIBUTES),
        (b"API.READ", b"0000000200000000", b"b", ATTRIBUTES),  # 2^33
        (b"API.READ", b"+0000000b4d65521", b"b", ATTRIBUTES),
        (b"API.READ", b"\xff" * 16, b"b", ATTRIBUTES),
        (b"API.READ", CUSTOMER, b"", ATTRIBUTES),
        (b"API.READ", CUSTOMER, b"a b", ATTRIBUTES),
        (b"API.READ", CUSTOMER, b"x" * 65, ATTRIBUTES),
        (b"API.WRITE", CUSTOMER, b"b", ATTRIBUTES),
        (b"API.READ", CUSTOMER, b"b", ATTRIBUTES.replace(b"view", b"wipe")),
        (b"API.WRITE", CUSTOMER, b"b", ATTRIBUTES.replace(b"view", b"keyed")),  # without k
        (b"API.READ", CUSTOMER, b"b", ATTRIBUTES + b",d=3"),
        replace_attribute(b",d=480", b""),
        *(replace_attribute(b"480", new) for new in (b"", b"-3", b"0", b"1e3", b"1_0", b" 5")),
        *(replace_attribute(b"480", new) for new in (b"999999999", b"nan", b"inf", b"soon")),
        *(replace_attribute(b"view", new) for new in (b"", b"views", b"\xff")),
        *(replace_attribute(b"free", new) for new in (b"", b"golden")),
        *(
            replace_attribute(b"units=1", b"units=" + new)
            for new in (b"", b"0", b"-1", b"2", b"1_0", b"nan", b"x")
        ),
        *(replace_attribute(b"spread=1", b"spread=" + new) for new in (b"", b"0", b"2", b"-1", b"x", b"1.0")),
        *(replace_attribute(b"first=0", b"first=" + new) for new in (b"", b"1", b"-1", b"x")),
        (b"HELLO", b"3"),
        (b"",),
    ],
)
def test_an_invalid_command_gets_an_error_and_the_next_one_succeeds(command: tuple[bytes, ...]) -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            peer.send(*command)
            peer.send(*request())
            assert is_error(await peer.receive())
            assert await peer.receive() == b"value"
            assert len(world.backends[0].got) == 1

    in_loop(scenario)


def test_a_protocol_error_ends_only_its_own_connection() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            good, bad = await world.client(), await world.client()
            bad.writer.write(encode(*request(b"early")) + b"?what\r\n" + encode(*request(b"late")))
            assert await bad.receive() == b"value"  # the earlier command still gets its reply
            assert is_error(await bad.receive())
            assert await bad.receive() is None
            assert await world.ask(good) == b"value"
            assert [c[2] for c in world.backends[0].got] == [b"early", request()[2]]

    in_loop(scenario)


def test_a_client_disconnect_cancels_its_attempt() -> None:
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
            # The id is free again, so the request was removed.
            backend.script = backend.serve
            assert await world.ask(await world.client()) == b"value"

    in_loop(scenario)


def test_a_request_with_an_id_in_use_is_refused() -> None:
    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await go_on.wait()
            return encode_reply(b"value")

        backend = Backend(script)
        async with running(World(backend)) as world:
            first, second = await world.client(), await world.client()
            first.send(*request())
            await until(lambda: backend.got)
            assert is_error(await world.ask(second))
            second.close()
            go_on.set()
            assert await first.receive() == b"value"

    in_loop(scenario)


def test_a_client_that_does_not_read_is_not_read_either(monkeypatch: pytest.MonkeyPatch) -> None:
    """The server stops reading commands of a client that leaves replies unread, which bounds their memory."""

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
                for _ in range(written):  # when it reads again, it gets all replies
                    assert await peer.receive() == b"x" * 65536

    in_loop(scenario)


def test_slowest_readers_are_closed_when_unread_replies_exceed_the_memory_limit() -> None:
    async def scenario() -> None:
        with server_seen() as seen:
            async with running(World(Backend(), memory_mb=5)) as world:
                peers = [await world.client() for _ in range(40)]
                for peer in peers:
                    peer.writer.transport.pause_reading()  # type: ignore[attr-defined]
                await until(lambda: len(seen[0].connections) == 40)
                while len(seen[0].connections) > 30:
                    for peer in peers:
                        if not peer.writer.transport.is_closing():  # the server closed that one
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
    "data",
    [
        b"*",
        b"*3\r\n$8\r\nAPI",
        encode(*request(b"early")) + b"*4\r\n",
        b"*1\r\n$65536\r\n" + b"x" * 60_000,
    ],
)
def test_an_incomplete_command_times_out(monkeypatch: pytest.MonkeyPatch, data: bytes) -> None:
    """Without the timeout, an incomplete command would hold a descriptor for ever."""
    monkeypatch.setattr(connection, "COMMAND_TIMEOUT_MS", 500.0)
    monkeypatch.setattr(resp_server, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            active = await world.client()
            assert await world.ask(active) == b"value"
            peer = await world.client()
            peer.writer.write(data)
            if b"early" in data:
                assert await peer.receive() == b"value"
            assert is_error(await peer.receive())
            assert await peer.receive() is None
            # The timeout does not apply between commands.
            assert await world.ask(active, id=b"later") == b"value"

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
def test_input_that_cannot_become_a_command_is_refused_at_once(data: bytes) -> None:
    """The refusal does not wait for the end of a line, or for the announced 60 MB to arrive."""

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            peer.writer.write(data)
            assert is_error(await peer.receive())
            assert await peer.receive() is None

    in_loop(scenario)


def test_hundreds_of_unused_connections_do_not_block_new_clients() -> None:
    async def scenario() -> None:
        async with running(World(Backend(), sockets=60)) as world:
            active = await world.client()
            assert await world.ask(active) == b"value"
            unused = [await world.client() for _ in range(100)]
            late = await world.client()
            assert await world.ask(late, id=b"late") == b"value"
            # A connection that sent a request is not evicted for them.
            assert await world.ask(active, id=b"again") == b"value"
            for peer in unused[:50]:
                assert await peer.receive() is None

    in_loop(scenario)


def test_accepting_resumes_after_running_out_of_descriptors(monkeypatch: pytest.MonkeyPatch) -> None:
    class Short:
        """A listener whose first calls of `accept` fail for lack of descriptors."""

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


def test_pipelined_commands_beyond_the_limit_are_not_read() -> None:
    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await go_on.wait()
            return encode_reply(command[2])

        backend = Backend(script)
        async with running(World(backend)) as world:
            peer = await world.client()
            count = MAX_PENDING_COMMANDS * 2
            ids = [b"%04d" % n for n in range(count)]
            peer.writer.write(b"".join(encode(*request(id)) for id in ids))
            await until(lambda: backend.got)
            go_on.set()
            answers = [await peer.receive() for _ in ids]
            refused = [str(a) for a in answers if not isinstance(a, bytes)]  # all others are values
            assert all(a == id for id, a in zip(ids, answers, strict=True) if isinstance(a, bytes))
            assert answers[0] == ids[0] and all(text.startswith("BUSY") for text in refused)

    in_loop(scenario)


def test_at_the_connection_limit_the_least_recently_used_connection_is_evicted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
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


def test_setup_commands_of_client_libraries_are_answered_with_ok() -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            for command in (b"CLIENT", b"SELECT", b"QUIT"):
                peer.send(command)
                assert await peer.receive() == b"OK"
            assert await peer.receive() is None

    in_loop(scenario)


def test_many_small_commands_in_one_read_do_not_exhaust_the_stack() -> None:
    """If commands were handled recursively, each batch of pending commands would deepen the stack."""

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            count = 60_000
            peer.writer.write(encode(b"") * count)
            for _ in range(count):
                assert is_error(await peer.receive())
            assert await world.ask(peer) == b"value"

    in_loop(scenario)


@pytest.mark.parametrize("data", [b"*5\r\n$999999\r\n" + b"x" * 200_000, b"*4294967294\r\n$1\r\na\r\n"])
def test_an_oversized_command_ends_its_connection(data: bytes) -> None:
    async def scenario() -> None:
        async with running(World(Backend())) as world:
            good, bad = await world.client(), await world.client()
            bad.writer.write(data)
            assert is_error(await bad.receive())
            assert await bad.receive() is None
            assert await world.ask(good) == b"value"

    in_loop(scenario)


def test_input_after_a_protocol_error_is_not_buffered(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection stays open for its earlier replies, while the client may go on writing to it."""

    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await go_on.wait()
            return encode_reply(b"value")

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
                assert is_error(await peer.receive())

    in_loop(scenario)


def test_a_new_connection_has_its_first_command_answered_in_a_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        with server_seen() as seen:
            async with running(World(Backend())) as world:
                used, new, quiet = await world.client(), await world.client(), await world.client()
                assert await world.ask(used) == b"value"
                await until(lambda: len(seen[0].connections) == 3)
                for connection in seen[0].without_request:
                    connection.last_used_at = now_ms()  # the grace starts now, however slow the test is
                seen[0].set_admission(answers_ping=True, accepts=False, keeps_idle=False)
                assert await used.receive() is None
                assert await world.ask(new) == b"value"
                assert await new.receive() is None
                assert await quiet.receive() is None  # the grace ends

    in_loop(scenario)
