"""The way of a process to the instance of the fleet beside it: the other end of `beside.py`.

Nothing here blocks. Where the instance is silent, what is said is lost, as on a link.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeAlias

import msgspec

from .counts.terms import Added
from .orders.messages import BookPage, PollReply
from .place import Datagrams, Place
from .rights.messages import Hello, ToHolder
from .verdicts.messages import VerdictSnapshot

HELLO_S = 0.5
NUMBER_BITS = 53

Heard: TypeAlias = ToHolder | Added | PollReply | BookPage | VerdictSnapshot
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
        self.socket: Datagrams | None = None
        self.unsent = 0

    async def open(self) -> None:
        """Raises OSError where the folder can't be written."""
        self.socket = await Place(self.path).datagrams(self)
        self._hello()

    def close(self) -> None:
        if self.hello is not None:
            self.hello.cancel()
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def _hello(self) -> None:
        self.send(Hello(self.number))
        self.hello = asyncio.get_running_loop().call_later(HELLO_S, self._hello)

    def send(self, body: Any) -> None:
        if self.socket is None:
            return
        try:
            self.socket.send(ENCODER.encode(body), str(self.instance))
        except OSError:
            self.unsent += 1  # no instance there just now, or it reads too slowly: as if lost on a link

    def datagram_received(self, data: bytes, addr: object) -> None:
        try:
            body = DECODER.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return
        for listener in self.listeners:
            listener(body)
