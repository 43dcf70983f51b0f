"""The shell of the datagrams: one UDP socket, bodies that wait for the end of a turn, and counts of all."""

from __future__ import annotations

import asyncio
import ipaddress
import socket
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from .envelope import Codec, DropReason, Envelope

SEND_BUFFER_BYTES = (
    256 * 1024
)  # bytes that the kernel may hold for us; beyond that datagrams are lost, as on a link

Route = tuple[str, int]  # address and boot of an instance

EnvelopeHandler = Callable[
    [Envelope, str], DropReason | None
]  # with the sender's address; gives why it was dropped after all


class DatagramEndpoint(asyncio.DatagramProtocol):
    def __init__(self, codec: Codec, handler: EnvelopeHandler) -> None:
        self.codec, self.envelope_handler = codec, handler
        self.transport: asyncio.DatagramTransport | None = None
        self.pending: dict[tuple[str, int], list[msgspec.Raw]] = {}
        self.dropped: Counter[str] = Counter()
        self.sent = self.sent_bytes = self.received = self.received_bytes = 0
        self.errors: Counter[str] = Counter()
        self.flush_scheduled = False

    async def open(self, address: str) -> None:
        """Listen there. Raises OSError, where another process has it too."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            # Danger: no reuse of the address. Two processes that vote under one name would be one vote twice.
            sock.bind((host, int(port)))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        except OSError:
            sock.close()
            raise
        transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=sock)
        self.transport = transport

    @property
    def address(self) -> str:
        assert self.transport is not None
        host, port = self.transport.get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    def send(self, address: str, to_boot: int, body: Any) -> None:
        """With everything else that goes there by the end of this turn of the loop."""
        if not address:
            self.errors["no address"] += 1
            return
        self.pending.setdefault((address, to_boot), []).append(self.codec.encode_body(body))
        if not self.flush_scheduled:
            self.flush_scheduled = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        self.flush_scheduled = False
        waiting, self.pending = self.pending, {}
        if self.transport is None or self.transport.is_closing():
            return
        for (address, to_boot), bodies in waiting.items():
            host, _, port = address.rpartition(":")
            for data in self.codec.pack(to_boot, bodies):
                self.sent += 1
                self.sent_bytes += len(data)
                self.transport.sendto(data, (host, int(port)))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.received += 1
        self.received_bytes += len(data)
        if self.codec.key is None and not ipaddress.ip_address(addr[0]).is_loopback:
            self.dropped[DropReason.REMOTE_WITHOUT_KEY.value] += 1
            return
        found = self.codec.unpack(data)
        cause = (
            found if isinstance(found, DropReason) else self.envelope_handler(found, f"{addr[0]}:{addr[1]}")
        )
        if cause is not None:
            self.dropped[cause.value] += 1

    def error_received(self, exc: Exception) -> None:
        self.errors[type(exc).__name__] += 1  # such as refused: nobody is there just now

    def close(self) -> None:
        if self.transport is not None:
            self.flush()
            self.transport.close()
            self.transport = None
