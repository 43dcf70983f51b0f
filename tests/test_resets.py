"""Connections that are reset while bytes of theirs lie unread, at one gateway as a process.

The gateway is suspended while the peer writes and resets, so that it finds both at once.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import struct
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest
from long_value_backends import encode_reply, make_value
from loopback import LOCAL, Backend, Peer, World, encode, in_loop, request
from test_process import connect, launched

from roadpulley.core.backends import REUSE_DELAY_MS
from roadpulley.testbed.server import Server

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_NOTICE_S = 0.5  # from the reset until its consequence is seen
FIRST_PART_BYTES = 40_000  # of a long value: more than it takes to begin


@contextmanager
def suspended(process: asyncio.subprocess.Process) -> Iterator[None]:
    process.send_signal(signal.SIGSTOP)
    while Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()[0] != "T":
        time.sleep(0.001)
    try:
        yield
    finally:
        process.send_signal(signal.SIGCONT)


def reset(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


class ResettingBackend(Server):
    """Writes a part of the first answer, and the next part together with a reset when it is told to.

    Later requests are answered whole.
    """

    def __init__(self, answer: bytes, first_bytes: int) -> None:
        super().__init__()
        self.answer, self.first_bytes = answer, first_bytes
        self.received: list[float] = []
        self.writer: asyncio.StreamWriter | None = None

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        while await peer.receive() is not None:
            self.received.append(time.monotonic())
            if len(self.received) == 1:
                self.writer = writer
                writer.write(self.answer[: self.first_bytes])
                await asyncio.Event().wait()
            writer.write(encode_reply(b"whole"))

    async def reset_after(self, length: int) -> None:
        """Write so many further bytes of the answer, as far as the gateway's kernel takes them, and reset."""
        assert self.writer is not None
        descriptor = self.writer.get_extra_info("socket").fileno()
        os.write(descriptor, self.answer[self.first_bytes : self.first_bytes + length])
        with socket.socket(fileno=os.dup(descriptor)) as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.writer.transport.abort()
        await self.writer.wait_closed()


async def read_until_end(peer: Peer) -> bytes:
    received = b""
    try:
        while data := await peer.reader.read(65536):
            received += data
    except ConnectionError:
        pass
    return received


# Report c39a3a: the client of a long value waited for good after its backend had reset the connection.
@pytest.mark.parametrize("unread_bytes", [1_000, 100_000])
def test_a_reset_behind_unread_bytes_of_a_long_value_ends_its_client(
    unread_bytes: int, tmp_path: Path
) -> None:
    async def scenario() -> None:
        backend = ResettingBackend(encode_reply(make_value(300_000)), FIRST_PART_BYTES)
        async with launched(World(backend), tmp_path) as (process, _, port):  # type: ignore[arg-type]
            peer = await connect(port)
            peer.send(*request())
            begun = await peer.reader.readexactly(20_000)
            with suspended(process):
                await backend.reset_after(unread_bytes)
            ended = asyncio.create_task(read_until_end(peer))
            await asyncio.wait({ended}, timeout=MAX_NOTICE_S)
            assert ended.done(), "the client still waits"
            assert len(begun + ended.result()) < 300_000

    in_loop(scenario)


# Report c39a3a, related: a short answer that breaks off was retried only at the time-out of its attempt.
def test_a_reset_behind_half_a_short_answer_is_retried_at_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = ResettingBackend(encode_reply(make_value(1_000)), 0)
        other = Backend()
        async with launched(World(backend, other), tmp_path) as (process, _, port):  # type: ignore[arg-type]
            peer = await connect(port)
            number = 0
            while not backend.received:  # the gateway chooses the backend
                number += 1
                peer.send(*request(id=b"%016x" % number, wait=2500))
                answered = asyncio.create_task(peer.receive())
                while not (answered.done() or backend.received):
                    await asyncio.sleep(0.001)
                if not backend.received:
                    await answered
            with suspended(process):
                await backend.reset_after(500)
            await asyncio.wait({answered}, timeout=MAX_NOTICE_S)
            assert answered.done(), "not retried"
            assert answered.result() in (b"value", b"whole")

    in_loop(scenario)


class SuspendableBackend(Backend):
    """Answers, or keeps what it receives until the gateway closes the connection."""

    def __init__(self) -> None:
        super().__init__()
        self.answers = True
        self.kept_open = 0  # connections with a request that was received and not answered

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        while (command := await peer.receive()) is not None:
            self.got.append(command)
            if self.answers:
                writer.write(encode_reply(b"value"))
                continue
            self.kept_open += 1
            await peer.receive()
            self.kept_open -= 1
            return


# Report c39a3a, related: requests of a client whose reset was not seen went on until their time was over.
@pytest.mark.parametrize("count", [1, 300])
def test_a_reset_behind_unread_commands_ends_the_requests_of_its_client(count: int, tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = SuspendableBackend()
        async with launched(World(backend), tmp_path) as (process, _, port):
            other = await connect(port)
            for number in range(8):  # connections to the backend that are ready for the next request
                other.send(*request(id=b"%016x" % (10_000 + number)))
                assert await other.receive() == b"value"
            await asyncio.sleep(REUSE_DELAY_MS / 1000 * 2)
            backend.answers, answered = False, len(backend.got)
            client = socket.create_connection((LOCAL, port))
            with suspended(process):
                requests = (encode(*request(id=b"%016x" % number, wait=3000)) for number in range(count))
                client.sendall(b"".join(requests))
                reset(client)
            await asyncio.sleep(MAX_NOTICE_S)
            assert backend.kept_open == 0, "requests of a client that has left are still out"
            received = len(backend.got)
            other.send(b"PING")
            assert await other.receive() == b"PONG"
            await asyncio.sleep(MAX_NOTICE_S)
            assert len(backend.got) == received, "sent on long after its client had left"
            assert received - answered <= 32, "sent on after the reset was known"
            other.close()

    in_loop(scenario)


# Report c39a3a, related: the reset of a client that sends half a request kept its connection for 2.4 s.
def test_a_reset_behind_half_a_request_frees_its_connection(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with launched(World(Backend()), tmp_path) as (process, _, port):
            other = await connect(port)
            other.send(b"PING")
            assert await other.receive() == b"PONG"
            descriptors = Path(f"/proc/{process.pid}/fd")
            client = socket.create_connection((LOCAL, port))
            client.sendall(encode(b"PING"))
            assert client.recv(64).startswith(b"+PONG")
            before = len(list(descriptors.iterdir()))
            with suspended(process):
                client.sendall(encode(*request())[:50])
                reset(client)
            deadline = time.monotonic() + MAX_NOTICE_S
            while len(list(descriptors.iterdir())) >= before and time.monotonic() < deadline:
                await asyncio.sleep(0.01)
            assert len(list(descriptors.iterdir())) == before - 1, "the connection is still open"
            other.close()

    in_loop(scenario)
