"""Ports that stay one's own, and what all stand-ins that listen have in common."""

from __future__ import annotations

import asyncio
import errno
import socket
from bisect import bisect_left
from collections import deque
from typing import Any

LOCAL = "127.0.0.1"
MAX_MARKS = 4_096  # pieces that one connection may have under way


class Port:
    """A loopback port kept for one owner, whether or not it listens just now.

    Danger: a port that is closed for a restart may be handed to any outgoing connection meanwhile. A bound
    socket that never listens holds it; connects to it are refused, and the owner may listen beside it.
    """

    def __init__(self, number: int = 0) -> None:
        """Raises OSError where a given number is taken."""
        self.holder = self._bound(number)
        self.number: int = self.holder.getsockname()[1]

    @staticmethod
    def _bound(number: int) -> socket.socket:
        made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            made.bind((LOCAL, number))
        except OSError:
            made.close()
            raise
        return made

    def listener(self, backlog: int = 1024) -> socket.socket:
        """A socket that listens there; the caller owns it."""
        made = self._bound(self.number)
        made.listen(backlog)
        made.setblocking(False)
        return made

    def free(self) -> None:
        """Give the port up."""
        self.holder.close()

    @property
    def address(self) -> str:
        """Host and port, as settings have them."""
        return f"{LOCAL}:{self.number}"


class DatagramPort:
    """A loopback datagram port kept for one owner, whether or not it listens just now.

    A datagram socket can't hold its port for another process. A bound stream socket of the same number does
    it for all who reserve by this class, as the kernel gives no such number out a second time.
    """

    def __init__(self) -> None:
        self.holder = Port()
        while not self._is_unused():
            refused, self.holder = self.holder, Port()
            refused.free()
        self.number = self.holder.number

    def _is_unused(self) -> bool:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            try:
                probe.bind((LOCAL, self.holder.number))
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                return False
        return True

    def free(self) -> None:
        """Give the port up."""
        self.holder.free()

    @property
    def address(self) -> str:
        """Host and port, as settings have them."""
        return f"{LOCAL}:{self.number}"


class Departures:
    """When the bytes of one direction of a connection were handed to the link, however long it held them."""

    def __init__(self) -> None:
        self.total = 0  # bytes so far
        # Total and time, after each piece. Bounded, as only nodes ask: links to others would keep all.
        self.marks: deque[tuple[int, float]] = deque(maxlen=MAX_MARKS)

    def record(self, count: int, now: float) -> None:
        """Note that so many more bytes departed."""
        self.total += count
        self.marks.append((self.total, now))

    def departed_at(self, total: int) -> float | None:
        """When the byte with this number, counted from 1, departed; earlier numbers are not asked again."""
        while self.marks and self.marks[0][0] < total:
            self.marks.popleft()
        return self.marks[0][1] if self.marks else None

    def find(self, total: int) -> float | None:
        """When the byte with this number, counted from 1, departed; None if it has not yet."""
        place = bisect_left(self.marks, (total, 0.0))
        return self.marks[place][1] if place < len(self.marks) else None


# The client's port and the server's port of a connection. The kernel gives the same local port to connections
# with different servers at the same time, so one of them alone does not tell connections apart.
Ends = tuple[int, int]


def ends_at_client(transport: asyncio.BaseTransport) -> Ends:
    """The ports of a connection, as seen by its client."""
    return transport.get_extra_info("sockname")[1], transport.get_extra_info("peername")[1]


def ends_at_server(transport: Any) -> Ends:
    """The ports of a connection, as seen by its server; zeros if its client has left already."""
    peer = transport.get_extra_info("peername")
    return (peer[1], transport.get_extra_info("sockname")[1]) if peer else (0, 0)


class Origins:
    """Who is behind a connection that came through a relay: the relay's end of it tells.

    All come from one address here, so a stand-in can't tell the gateways apart by it.
    """

    def __init__(self) -> None:
        self.names: dict[Ends, str] = {}
        self.ended: dict[Ends, float] = {}  # when the gateway's own end of it was closed
        self.departures: dict[Ends, Departures] = {}  # of what the gateway has written

    def name(self, transport: Any) -> str:
        """The gateway behind a connection; "" for one that came directly."""
        return self.names.get(ends_at_server(transport), "")


class Server:
    """Listens on a port of its own and hands every connection to `talk`."""

    def __init__(self) -> None:
        self.open: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.accepted = 0
        self.port = 0
        self.server: asyncio.Server | None = None
        self.kept: Port | None = None

    async def start(self) -> None:
        """Listen on the port that is kept, or on a new one."""
        if self.kept is None:
            self.kept = Port()
        self.server = await asyncio.start_server(self._accept, sock=self.kept.listener())
        self.port = self.kept.number

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.open.add(writer)
        self.accepted += 1
        try:
            await self.talk(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # time-outs are among these
        finally:
            self.open.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError

    def hang_up(self) -> None:
        """Close what is open, and go on listening."""
        for writer in list(self.open):
            writer.close()

    def shut(self) -> None:
        """Listen no more and reset what is open, as a process that dies does; `start` opens again."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.open):
            writer.transport.abort()

    async def stop(self) -> None:
        """Close all connections and give the port up."""
        if self.server is not None:
            self.server.close()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        if self.kept is not None:
            self.kept.free()
            self.kept = None
