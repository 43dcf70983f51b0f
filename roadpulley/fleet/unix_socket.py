"""A path at which a process of this machine listens: taken from whoever had it, left if it is still ours."""

from __future__ import annotations

import asyncio
import os
import socket
from contextlib import suppress
from pathlib import Path


class SocketPath:
    def __init__(self, path: Path) -> None:
        self.path, self.inode = path, 0

    def remove_existing(self) -> None:
        """Make room, also where a process has it that still runs: the newer one listens. Raises OSError."""
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self.path.unlink(missing_ok=True)

    def record_ownership(self) -> None:
        """Something listens there now: for our user alone."""
        os.chmod(self.path, 0o600)
        self.inode = self.path.stat().st_ino

    def remove_if_owned(self) -> None:
        with suppress(OSError):
            if self.path.stat().st_ino == self.inode:  # else another process has it by now
                self.path.unlink()

    async def open_datagram_socket(self, protocol: asyncio.DatagramProtocol) -> DatagramSocket:
        """Listen there. Raises OSError."""
        self.remove_existing()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(str(self.path))
        self.record_ownership()
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: protocol, sock=sock)
        return DatagramSocket(self, transport, sock)


class DatagramSocket:
    """Sends at once or not at all; what event loops add to that is not needed on one machine."""

    def __init__(self, path: SocketPath, transport: asyncio.DatagramTransport, sock: socket.socket) -> None:
        self.socket_path, self.transport, self.sock = path, transport, sock

    def send(self, data: bytes, to: str) -> None:
        """Raises BlockingIOError where it is read too slowly, OSError where nobody listens."""
        self.sock.sendto(data, to)

    def close(self) -> None:
        self.transport.close()
        self.socket_path.remove_if_owned()
