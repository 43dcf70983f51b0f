"""A gateway worker's link to the instance on its machine; the counterpart of `worker_socket.py`.

Nothing here blocks. Messages to an instance that does not run are lost, as on a network.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeAlias

import msgspec

from .counts.messages import AddReply
from .orders.messages import BookPage, PollReply
from .rights.messages import Hello, ToHolder
from .unix_socket import DatagramSocket, SocketPath
from .verdicts.messages import VerdictSnapshot

HELLO_INTERVAL_S = 0.5
WORKER_ID_BITS = 53

AgentMessage: TypeAlias = ToHolder | AddReply | PollReply | BookPage | VerdictSnapshot
DECODER: msgspec.msgpack.Decoder[AgentMessage] = msgspec.msgpack.Decoder(AgentMessage)
ENCODER = msgspec.msgpack.Encoder()


class AgentLink(asyncio.DatagramProtocol):
    """Sends and receives Unix datagrams under a random worker number.

    `socket_path`: the socket of the instance, `NAME.beside` in the directory of the fleet's sockets.
    """

    def __init__(self, socket_path: Path) -> None:
        self.agent_path = socket_path
        self.worker_id = secrets.randbits(WORKER_ID_BITS) or 1
        self.path = socket_path.with_name(f"{socket_path.name}.{self.worker_id:x}")
        self.listeners: list[Callable[[AgentMessage], None]] = []
        self.hello_timer: asyncio.TimerHandle | None = None
        self.socket: DatagramSocket | None = None
        self.send_failures = 0

    async def open(self) -> None:
        """Bind a socket and begin to send hellos. Raises OSError if the directory is not writable."""
        self.socket = await SocketPath(self.path).open_datagram_socket(self)
        self._send_hello()

    def close(self) -> None:
        if self.hello_timer is not None:
            self.hello_timer.cancel()
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def _send_hello(self) -> None:
        self.send(Hello(self.worker_id))
        self.hello_timer = asyncio.get_running_loop().call_later(HELLO_INTERVAL_S, self._send_hello)

    def send(self, body: Any) -> None:
        """Send a message to the instance. It may be lost; failures are only counted."""
        if self.socket is None:
            return
        try:
            self.socket.send(ENCODER.encode(body), str(self.agent_path))
        except OSError:
            # The instance does not run or reads too slowly. The datagram is lost, as on a network.
            self.send_failures += 1

    def datagram_received(self, data: bytes, addr: object) -> None:
        try:
            body = DECODER.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return
        for listener in self.listeners:
            listener(body)
