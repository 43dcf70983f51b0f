"""Sends and receives datagrams over one UDP socket.

Messages to one receiver are batched until the end of an iteration of the event loop. Datagrams are counted.
"""

from __future__ import annotations

import asyncio
import ipaddress
import socket
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from .envelope import Codec, DropReason, Envelope

SEND_BUFFER_BYTES = 256 * 1024  # kernel send buffer; datagrams beyond it are lost, as on the network

Route = tuple[str, int]  # address and boot of an instance

# Called with an accepted envelope and the sender's address; returns why the datagram is dropped after all.
EnvelopeHandler = Callable[[Envelope, str], DropReason | None]


class DatagramEndpoint(asyncio.DatagramProtocol):
    """The UDP socket of one instance. Accepted envelopes go to `handler`."""

    def __init__(self, codec: Codec, handler: EnvelopeHandler) -> None:
        self.codec, self.envelope_handler = codec, handler
        self.transport: asyncio.DatagramTransport | None = None
        self.pending: dict[tuple[str, int], list[msgspec.Raw]] = {}
        self.dropped: Counter[str] = Counter()
        self.sent = self.sent_bytes = self.received = self.received_bytes = 0
        self.errors: Counter[str] = Counter()
        self.flush_scheduled = False

    async def open(self, address: str) -> None:
        """Bind the socket to `address`. Raises OSError, also if another process is bound to it."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            # SO_REUSEADDR is not set: with it, two processes could vote under one name, and the vote of one
            # voter would be counted twice.
            sock.bind((host, int(port)))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        except OSError:
            sock.close()
            raise
        transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=sock)
        self.transport = transport

    @property
    def address(self) -> str:
        """The bound address as `host:port`. The socket must be open."""
        assert self.transport is not None
        host, port = self.transport.get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    def send(self, address: str, receiver_boot: int, body: Any) -> None:
        """Queue a message; it is sent at the end of this iteration of the event loop, batched by receiver."""
        if not address:
            self.errors["no address"] += 1
            return
        self.pending.setdefault((address, receiver_boot), []).append(self.codec.encode_body(body))
        if not self.flush_scheduled:
            self.flush_scheduled = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Send all queued messages now."""
        self.flush_scheduled = False
        batches, self.pending = self.pending, {}
        if self.transport is None or self.transport.is_closing():
            return
        for (address, receiver_boot), bodies in batches.items():
            host, _, port = address.rpartition(":")
            for data in self.codec.pack(receiver_boot, bodies):
                self.sent += 1
                self.sent_bytes += len(data)
                self.transport.sendto(data, (host, int(port)))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.received += 1
        self.received_bytes += len(data)
        if self.codec.key is None and not ipaddress.ip_address(addr[0]).is_loopback:
            self.dropped[DropReason.REMOTE_WITHOUT_KEY.value] += 1
            return
        result = self.codec.unpack(data)
        reason = (
            result
            if isinstance(result, DropReason)
            else self.envelope_handler(result, f"{addr[0]}:{addr[1]}")
        )
        if reason is not None:
            self.dropped[reason.value] += 1

    def error_received(self, exc: Exception) -> None:
        # Such as ConnectionRefusedError if nothing listens at the destination.
        self.errors[type(exc).__name__] += 1

    def close(self) -> None:
        """Send what is queued and close the socket."""
        if self.transport is not None:
            self.flush()
            self.transport.close()
            self.transport = None
