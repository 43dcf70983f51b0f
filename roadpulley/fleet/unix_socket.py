"""Unix sockets whose path a newer process takes over; the older one then leaves the path alone."""

from __future__ import annotations

import asyncio
import os
import socket
from contextlib import suppress
from pathlib import Path


class SocketPath:
    """The path of a listening socket, with the inode that this process created there."""

    def __init__(self, path: Path) -> None:
        self.path, self.inode = path, 0

    def remove_existing(self) -> None:
        """Remove the socket at the path, even if its process still runs: the newer process takes over.

        Raises OSError.
        """
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self.path.unlink(missing_ok=True)

    def record_ownership(self) -> None:
        """Restrict the bound socket to the own user and remember its inode."""
        os.chmod(self.path, 0o600)
        self.inode = self.path.stat().st_ino

    def remove_if_owned(self) -> None:
        """Remove the socket unless another process took the path over. Errors are ignored."""
        with suppress(OSError):
            if self.path.stat().st_ino == self.inode:  # otherwise another process took the path over
                self.path.unlink()

    async def open_datagram_socket(self, protocol: asyncio.DatagramProtocol) -> DatagramSocket:
        """Bind a datagram socket to the path. Raises OSError."""
        self.remove_existing()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(str(self.path))
        self.record_ownership()
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: protocol, sock=sock)
        return DatagramSocket(self, transport, sock)


class DatagramSocket:
    """A bound socket that sends without queueing.

    The send queue of asyncio's transport is not used: a datagram that cannot be sent at once is an error.
    """

    def __init__(self, path: SocketPath, transport: asyncio.DatagramTransport, sock: socket.socket) -> None:
        self.socket_path, self.transport, self.sock = path, transport, sock

    def send(self, data: bytes, to: str) -> None:
        """Send to the socket at path `to`.

        Raises BlockingIOError if the receiver's buffer is full, OSError if nothing listens there.
        """
        self.sock.sendto(data, to)

    def close(self) -> None:
        """Close the socket and remove its path if this process still owns it."""
        self.transport.close()
        self.socket_path.remove_if_owned()
