"""An id that comes again: what it may have done is not done a second time."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import hiredis
import pytest
from loopback import LOCAL, Backend, Peer, Reply, World, in_loop, request, until
from operations.test_inherited_listener import start as start_with_listener
from test_process import connect, launched
from test_resets import RESET_ON_CLOSE

REQUEST_ID = b"00000000000000aa"
SERVED = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


class SlowBackend(Backend):
    """Answers after `delay_s`, first as `first_replies` say."""

    def __init__(self, delay_s: float, *first_replies: bytes) -> None:
        super().__init__()
        self.delay_s, self.replies = delay_s, list(first_replies)

    async def serve(self, command: list[bytes]) -> Reply:
        await asyncio.sleep(self.delay_s)
        return self.replies.pop(0) if self.replies else SERVED


def effect_request(name: bytes) -> tuple[bytes, ...]:
    """A request of a class, with an idempotency key where the class has them."""
    verb, customer, id, listed = request(id=REQUEST_ID, name=name, wait=2000)
    key = b",k=5c0f6e1a2b3d4c59" if name == b"keyed" else b""
    return verb, customer, id, listed.replace(b",units", key + b",units")


def leave(peer: Peer, how: str) -> None:
    connection = peer.writer.get_extra_info("socket")
    if how == "reset":
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        peer.writer.transport.abort()
    else:
        peer.close()


async def send_again(port: int, name: bytes) -> object:
    peer = await connect(port)
    peer.send(*effect_request(name))
    reply = await peer.receive()
    peer.close()
    return reply


# Report c39a3a, picture (d): an id ran a second time when it came again after its client had left.
@pytest.mark.parametrize("name", [b"wipe", b"keyed"])
@pytest.mark.parametrize("how", ["end", "reset", "answered"])
def test_an_id_that_may_have_run_is_not_sent_on_again(name: bytes, how: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = SlowBackend(0.02 if how == "answered" else 0.4)
        async with launched(World(backend), tmp_path) as (_, _, port):
            peer = await connect(port)
            peer.send(*effect_request(name))
            await until(lambda: backend.got)
            if how == "answered":
                assert await peer.receive() == b"value"
            leave(peer, how)
            await asyncio.sleep(0.1)
            reply = await send_again(port, name)
            assert len(backend.got) == 1, "an effect ran twice"
            assert isinstance(reply, hiredis.ReplyError) and str(reply).startswith("ERR")

    in_loop(scenario)


@pytest.mark.parametrize("name", [b"wipe", b"keyed"])
def test_an_id_that_was_refused_without_running_may_come_again(name: bytes, tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = SlowBackend(0.0, b"-BUSY\r\n", b"-BUSY\r\n", b"-BUSY\r\n")
        async with launched(World(backend), tmp_path) as (_, _, port):
            assert str(await send_again(port, name)).startswith("BUSY")
            backend.replies.clear()
            assert await send_again(port, name) == b"value"

    in_loop(scenario)


def test_an_id_of_a_safe_class_may_come_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with launched(World(SlowBackend(0.0)), tmp_path) as (_, _, port):
            assert await send_again(port, b"view") == b"value"
            assert await send_again(port, b"view") == b"value"

    in_loop(scenario)


@asynccontextmanager
async def upgraded(
    backend: Backend, folder: Path
) -> AsyncIterator[tuple[asyncio.subprocess.Process, asyncio.subprocess.Process, Peer]]:
    """Two processes at one listener, and a client of the old one."""
    world = World(backend)
    servers = [backend, world.counter, world.discovery]
    for server in servers:
        await server.start()
    listener = socket.create_server((LOCAL, 0))
    config = folder / "config.json"
    config.write_text(json.dumps({**world.config(), "listen": f"{LOCAL}:{listener.getsockname()[1]}"}))
    processes = [await start_with_listener(config, listener)]
    peer = await connect(listener.getsockname()[1])
    peer.send(b"PING")
    assert await peer.receive() == b"PONG"
    processes.append(await start_with_listener(config, listener))
    try:
        yield processes[0], processes[1], peer
    finally:
        for process in processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        listener.close()
        for server in servers:
            await server.stop()


# Report c39a3a, picture (d): an id ran a second time at the other process of an upgrade.
@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM])
def test_an_id_that_may_have_run_is_known_to_the_next_process(
    signal_number: signal.Signals, tmp_path: Path
) -> None:
    async def scenario() -> None:
        backend = SlowBackend(0.1)
        async with upgraded(backend, tmp_path) as (old, _, peer):
            port = peer.writer.get_extra_info("peername")[1]
            peer.send(*effect_request(b"wipe"))
            await until(lambda: backend.got)
            leave(peer, "reset")
            old.send_signal(signal_number)
            await old.wait()
            reply = await send_again(port, b"wipe")
            assert len(backend.got) == 1, "an effect ran twice"
            assert str(reply).startswith("ERR")

    in_loop(scenario)
