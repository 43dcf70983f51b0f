"""The client side of a running gateway, over loopback sockets."""

from __future__ import annotations

import asyncio

import hiredis
import pytest
from loopback import Backend, Peer, Reply, World, encode, in_loop, request, running, until

from roadpulley import clients


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


@pytest.mark.parametrize(
    "command",
    [
        (b"API.READ",),
        (b"API.READ", b"a", b"b", b"nonsense"),
        (b"API.READ", b"a", b"b", b"c=view,t=free"),
        (b"API.READ", b"a", b"b", b"c=view,d=-3"),
        (b"API.READ", b"a", b"b", b"c=view,d=nan"),
        (b"API.READ", b"a", b"b", b"c=view,d=3,units=x"),
        (b"API.READ", b"\xff", b"b", b"c=view,d=3"),
        (b"API.READ", b"a", b"", b"c=view,d=3"),
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
    server: list[clients.ClientServer] = []
    keep = clients.ClientServer.opened

    def opened(self: clients.ClientServer, connection: clients.ClientConnection) -> None:
        server[:] = [self]
        keep(self, connection)

    monkeypatch.setattr(clients.ClientServer, "opened", opened)

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            echo = encode(b"PING", b"x" * 65536)
            await until(lambda: server)
            (connection,) = server[0].connections
            written = 0
            while not connection.stopped:
                peer.writer.write(echo)
                written += 1
                await asyncio.sleep(0)
            assert connection.transport is not None
            held = connection.transport.get_write_buffer_size() + sum(
                len(slot.reply or b"") for slot in connection.slots
            )
            assert held <= clients.MOST_UNREAD + (clients.MOST_WAITING + 2) * 66_000
            for _ in range(written):  # once it reads, it gets all of them
                assert await peer.receive() == b"x" * 65536

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
            count = clients.MOST_WAITING * 2
            ids = [b"%04d" % n for n in range(count)]
            peer.writer.write(b"".join(encode(*request(id)) for id in ids))
            await until(lambda: backend.got)
            go_on.set()
            answers = [await peer.receive() for _ in ids]
            refused = [str(a) for a in answers if not isinstance(a, bytes)]  # the rest: each its own value
            assert all(a == id for id, a in zip(ids, answers, strict=True) if isinstance(a, bytes))
            assert answers[0] == ids[0] and all(text.startswith("BUSY") for text in refused)

    in_loop(scenario)


def test_at_the_bound_an_unused_connection_makes_room() -> None:
    async def scenario() -> None:
        async with running(World(Backend(), sockets=6)) as world:
            peers: list[Peer] = [await world.client() for _ in range(3)]
            for peer in peers:
                assert await world.ask(peer) == b"value"
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


def test_what_follows_a_broken_protocol_does_not_pile_up() -> None:
    """The connection stays for its earlier answers, and a client may go on writing to it."""

    async def scenario() -> None:
        go_on = asyncio.Event()

        async def script(command: list[bytes]) -> Reply:
            await go_on.wait()
            return array(b"value")

        connection = clients.ClientConnection(clients.ClientServer(None, 10))  # type: ignore[arg-type]
        connection.data_received(b"?what\r\n")
        for _ in range(100):
            connection.data_received(b"x" * 65536)
        assert connection.closing and connection.unparsed < 1000
        backend = Backend(script)
        async with running(World(backend)) as world:
            peer = await world.client()
            peer.writer.write(encode(*request()) + b"?what\r\n")
            await until(lambda: backend.got)
            go_on.set()
            assert await peer.receive() == b"value"
            assert failed(await peer.receive())

    in_loop(scenario)
