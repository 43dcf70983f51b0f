"""The reader of a watched socket comes to the end of the connection, whatever lies unread before it."""

from __future__ import annotations

import asyncio
import random
import socket
import struct

import pytest
import uvloop
from loopback import LOCAL

from roadpulley.core.socket_watcher import SocketWatcher

PLAYS = 60
MAX_WAIT_S = 2.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Owner:
    """Reads pieces, and may stop between two of them for a while."""

    def __init__(self, rng: random.Random, watched: socket.socket) -> None:
        self.rng, self.socket = rng, watched
        self.watcher = SocketWatcher(asyncio.get_running_loop(), watched)
        self.piece_bytes = rng.choice((1_000, 16_384, 1_000_000))
        self.pause_ratio = rng.choice((0.0, 0.3))
        self.received = 0
        self.ended = asyncio.Event()

    def start(self) -> None:
        self.watcher.start_reading(self.on_readable)

    def on_readable(self) -> None:
        try:
            data = self.socket.recv(self.piece_bytes)
        except BlockingIOError:
            return
        except ConnectionError:
            data = b""
        self.received += len(data)
        if not data:
            self.watcher.close()
            self.ended.set()
        elif self.rng.random() < self.pause_ratio:
            self.watcher.stop_reading()
            asyncio.get_running_loop().call_later(0.001, self.start)


def connected_pair() -> tuple[socket.socket, socket.socket]:
    with socket.create_server((LOCAL, 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    near.setblocking(False)
    return near, far


async def play(seed: int) -> None:
    rng = random.Random(seed)
    near, far = connected_pair()
    owner = Owner(rng, near)
    is_reading_first = rng.random() < 0.5
    if is_reading_first:
        owner.start()
        await asyncio.sleep(0.001)
    unread_bytes = rng.choice((0, 1, 5_000, 60_000))
    far.sendall(bytes(unread_bytes))
    if is_reset := rng.random() < 0.7:
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    far.close()
    if not is_reading_first:
        owner.start()
    await asyncio.wait({ended := asyncio.ensure_future(owner.ended.wait())}, timeout=MAX_WAIT_S)
    near.close()
    assert ended.done(), f"seed {seed}: the end is not seen, reset {is_reset}, {unread_bytes} bytes unread"
    assert owner.received == unread_bytes, f"seed {seed}"


# Report c39a3a: a reader was not called again after a reset that lies behind unread bytes.
@pytest.mark.parametrize("loop_factory", [uvloop.new_event_loop, asyncio.new_event_loop])
def test_a_reader_comes_to_the_end_whatever_lies_unread_before_it(loop_factory: object) -> None:
    async def plays() -> None:
        for seed in range(PLAYS):
            await play(seed)

    with asyncio.Runner(loop_factory=loop_factory) as runner:  # type: ignore[arg-type]
        runner.run(plays())


def test_a_watch_that_was_closed_calls_nobody() -> None:
    async def scenario() -> None:
        near, far = connected_pair()
        owner = Owner(random.Random(1), near)
        owner.piece_bytes, owner.pause_ratio = 10, 0.0
        owner.start()
        far.sendall(bytes(100))
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        far.close()
        while not owner.received:
            await asyncio.sleep(0)
        owner.watcher.close()
        received = owner.received
        await asyncio.sleep(0.01)
        assert owner.received == received
        near.close()

    uvloop.run(scenario())
