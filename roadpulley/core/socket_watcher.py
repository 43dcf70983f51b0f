"""Watches one connection for its owner, also after the kernel has reported an error on it.

uvloop calls a reader once when a descriptor has an error, and then never again: libuv stops to poll it. A
reset that comes while bytes lie unread is such an error, so an owner that reads those bytes would wait for
the end of the connection for ever. The contract here is that of asyncio's own loop:

| state of the connection | reading | the owner is called                                    |
| ----------------------- | ------- | ------------------------------------------------------ |
| open                    | on      | when bytes or the end can be read                      |
| open                    | off     | never                                                  |
| broken                  | on      | again and again, until it turns reading off or closes  |
| broken                  | off     | never; as above once it turns reading on               |

Broken is a connection on which the kernel has reported an error. No read waits on it any more: an owner that
reads gets what lies unread, and then the end. The error itself is kept in `error`, as the kernel tells it
once. A writer needs none of this: an error of the descriptor calls it as well, and its next `send` fails.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from socket import SO_ERROR, SOL_SOCKET  # by name, as they are needed for every read

TCP_ESTABLISHED = 1  # of the states in the kernel's struct tcp_info
UNKNOWN_STATE = -1

Callback = Callable[[], None]


def get_tcp_state(connection: socket.socket) -> int:
    """The state of the connection in the kernel, or UNKNOWN_STATE if it is no TCP socket."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return UNKNOWN_STATE
    return info[0] if info else UNKNOWN_STATE


class SocketWatcher:
    """Calls its owner when the socket can be read or written. The owner closes the socket after `close`."""

    __slots__ = ("_call_handle", "_fd", "_has_writer", "_loop", "_on_readable", "_socket", "error")

    def __init__(self, loop: asyncio.AbstractEventLoop, watched: socket.socket) -> None:
        self._loop, self._socket, self._fd = loop, watched, watched.fileno()
        self._on_readable: Callback | None = None
        self._has_writer = False
        self._call_handle: asyncio.Handle | None = None  # the next call on a broken connection
        self.error = 0  # the `errno` with which the connection broke

    def start_reading(self, on_readable: Callback) -> None:
        """Calls `on_readable` from now on, in place of any reader before."""
        if self._on_readable is None:
            self._loop.add_reader(self._fd, self._read)
        self._on_readable = on_readable

    def stop_reading(self) -> None:
        """Calls the reader no more, until `start_reading`."""
        if self._on_readable is None:
            return
        self._on_readable = None
        self._loop.remove_reader(self._fd)
        if self._call_handle is not None:
            self._call_handle.cancel()
            self._call_handle = None

    def start_writing(self, on_writable: Callback) -> None:
        """Calls `on_writable` whenever the socket takes bytes, or has an error."""
        self._has_writer = True
        self._loop.add_writer(self._fd, on_writable)

    def stop_writing(self) -> None:
        """Calls the writer no more."""
        if self._has_writer:
            self._has_writer = False
            self._loop.remove_writer(self._fd)

    def close(self) -> None:
        """Ends the watch. Later calls have no effect."""
        self.stop_reading()
        self.stop_writing()

    def _read(self) -> None:
        try:
            if self._on_readable is not None:
                self._on_readable()
        finally:
            if self._on_readable is not None:
                if not self.error:
                    self.error = self._socket.getsockopt(SOL_SOCKET, SO_ERROR)
                if self.error:
                    self._call_again()

    def _call_again(self) -> None:
        if self._call_handle is None:
            self._call_handle = self._loop.call_soon(self._read_again)

    def _read_again(self) -> None:
        self._call_handle = None
        self._read()
