"""The way of a process to the instance of the fleet beside it: the other end of `beside.py`.

Nothing here blocks. Where the instance is silent, what is said is lost, as on a link.
"""

from __future__ import annotations

import asyncio
import os
import secrets
import socket
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, TypeAlias

import msgspec

from .counts.terms import Added
from .rights.terms import Hello, ToHolder

HELLO_S = 0.5
NUMBER_BITS = 53

Heard: TypeAlias = ToHolder | Added
DECODER: msgspec.msgpack.Decoder[Heard] = msgspec.msgpack.Decoder(Heard)
ENCODER = msgspec.msgpack.Encoder()


class Line(asyncio.DatagramProtocol):
    """`instance`: its socket, `NAME.beside` in the folder of the fleet's sockets. `number`: this process."""

    def __init__(self, instance: Path) -> None:
        self.instance = instance
        self.number = secrets.randbits(NUMBER_BITS) or 1
        self.path = instance.with_name(f"{instance.name}.{self.number:x}")
        self.listeners: list[Callable[[Heard], None]] = []
        self.hello: asyncio.TimerHandle | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.sock: socket.socket | None = None
        self.unsent = 0

    async def open(self) -> None:
        """Raises OSError where the folder can't be written."""
        self.path.parent.mkdir(parents=True, exist_ok=True)  # the instance may not have started yet
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(str(self.path))
        os.chmod(self.path, 0o600)
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=self.sock)
        self._hello()

    def close(self) -> None:
        if self.hello is not None:
            self.hello.cancel()
        if self.transport is not None:
            self.transport.close()
            self.sock = None
            with suppress(OSError):
                self.path.unlink()

    def _hello(self) -> None:
        self.send(Hello(self.number))
        self.hello = asyncio.get_running_loop().call_later(HELLO_S, self._hello)

    def send(self, body: Any) -> None:
        if self.sock is None:
            return
        try:
            self.sock.sendto(ENCODER.encode(body), str(self.instance))
        except OSError:
            self.unsent += 1  # no instance there just now, or it reads too slowly: as if lost on a link

    def datagram_received(self, data: bytes, addr: object) -> None:
        try:
            body = DECODER.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return
        for listener in self.listeners:
            listener(body)
