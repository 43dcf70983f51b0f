"""The overdue watch: each kind of wait is made to miss its end, and is named, counted and ended."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import pytest
from long_value_backends import encode_reply, make_value
from loopback import Backend, Peer, Reply, World, in_loop, request, running, server_seen, until

from roadpulley.core.driver import Driver
from roadpulley.edges.resp_server import RespServer
from roadpulley.operations import overdue_watch
from roadpulley.operations.overdue_watch import SubjectKind

LOOK_INTERVAL_MS = 50.0
MAX_END_S = 3.0
REQUEST_ID = b"00000000000000aa"


class Scene:
    """A gateway with one request, which has begun or waits."""

    def __init__(self, world: World, server: RespServer, peer: Peer) -> None:
        self.world, self.server, self.peer = world, server, peer
        assert isinstance(server.handler, Driver)
        self.driver = server.handler
        self.request = self.driver.requests[REQUEST_ID.decode()]


def lose_deadline(scene: Scene) -> None:
    """The timers of a request and of its attempt are lost."""
    for timer in (scene.request.timer, *(a.timer for a in scene.request.open_attempts.values())):
        if timer is not None:
            timer.cancel()


def lose_stall_check(scene: Scene) -> None:
    """Nothing calls the backend connection's reader, and nothing looks at its limit."""
    (connection,) = scene.driver.backends.long_values
    connection.watcher.close()
    connection.pool.long_values.clear()
    assert connection.long_answer is not None
    connection.long_answer.last_byte_at -= 5_000


def lose_request(scene: Scene) -> None:
    """A request ends, and an attempt of it stays open."""
    owner = scene.driver.requests.pop(REQUEST_ID.decode())
    lose_deadline(scene)
    owner.slot.answer(b"-ERR failed\r\n")


def lose_linger_timeout(scene: Scene) -> None:
    """A client's connection lingers, and nobody ends it."""
    connection = next(iter(scene.server.connections))
    connection.start_lingering()
    connection.check_timeouts = lambda now: None  # type: ignore[method-assign]


class StalledBackend(Backend):
    """Begins a long value, or gives nothing."""

    def __init__(self, first_bytes: int) -> None:
        super().__init__()
        self.first_bytes = first_bytes

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        self.got.append(await peer.receive())
        writer.write(encode_reply(make_value(300_000))[: self.first_bytes])
        await peer.receive()


@pytest.mark.patches_inside
@pytest.mark.parametrize(
    ("kind", "lose", "first_bytes"),
    [
        (SubjectKind.REQUEST, lose_deadline, 0),
        (SubjectKind.STREAM, lose_stall_check, 100_000),
        (SubjectKind.ATTEMPT, lose_request, 0),
        (SubjectKind.CLIENT_CONNECTION, lose_linger_timeout, 0),
    ],
)
def test_a_wait_that_misses_its_end_is_named_counted_and_ended(
    kind: SubjectKind,
    lose: Callable[[Scene], None],
    first_bytes: int,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    monkeypatch.setattr(overdue_watch, "LOOK_INTERVAL_MS", LOOK_INTERVAL_MS)

    async def scenario() -> None:
        backend = StalledBackend(first_bytes)
        with server_seen() as servers:
            async with running(World(backend)) as world:
                peer = await world.client()
                peer.send(*request(id=REQUEST_ID, wait=600))
                if first_bytes:
                    await peer.reader.readexactly(first_bytes // 2)
                await until(lambda: backend.got)
                scene = Scene(world, servers[0], peer)
                scene.driver.gateway.handle = lambda now, event: []  # type: ignore[method-assign]
                lose(scene)
                async with asyncio.timeout(MAX_END_S):
                    await until(lambda: servers[0].request_stats.overdue.get(kind.value))
                    await until(lambda: not scene.request.open_attempts)
                assert not scene.driver.requests

    in_loop(scenario)
    assert any(f"its {kind.value} is overdue" in record.getMessage() for record in caplog.records)


async def value(command: list[bytes]) -> Reply:
    await asyncio.sleep(0.02)
    return encode_reply(b"value")


def test_a_gateway_in_order_has_nothing_overdue(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answers, refusals, resting connections and a client that stops in the middle of a request."""
    monkeypatch.setattr(overdue_watch, "LOOK_INTERVAL_MS", 20.0)
    monkeypatch.setattr(overdue_watch, "MARGIN_MS", 300.0)

    async def scenario() -> None:
        with server_seen() as servers:
            async with running(World(Backend(value))) as world:
                stopping = await world.client()
                stopping.writer.write(b"*4\r\n$8\r\nAPI")
                for number in range(40):
                    peer = await world.client()
                    peer.send(*request(id=b"%016x" % number))
                    await peer.receive()
                await stopping.receive()
                assert servers[0].request_stats.overdue == {}
                assert math.isinf(next(iter(servers[0].connections)).get_latest_end())

    in_loop(scenario)
