"""The RESP server that clients connect to."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from dataclasses import dataclass
from typing import Protocol, cast

import hiredis

log = logging.getLogger(__name__)

REQUESTS = {b"API.READ", b"API.WRITE"}
MOST_WAITING = 32  # commands of one connection that may wait for their answers before it is read no further
MOST_UNREAD = 128 * 1024  # bytes of answers that a client may leave unread, likewise
LARGEST = 128 * 1024  # bytes of a command that is not whole yet; values hold 64 KiB at most
BACKLOG = 200  # connections that may come at one stroke, within the headroom of descriptors
HARMLESS = {b"CLIENT", b"SELECT"}  # commands of connection set-up


@dataclass(slots=True)
class Command:
    """A request as it came; all but the time left is passed on unchanged."""

    head: bytes  # encoded: command, customer, id
    before: bytes  # of the attributes, what stands before the time left
    after: bytes
    body: bytes  # encoded: what follows the attributes
    length: int  # arguments in all
    id: str
    customer: str
    attributes: dict[bytes, bytes]
    wait: float  # how long the client waits, in milliseconds

    def encode(self, wait: int) -> bytes:
        """The command with the time left that a backend is told."""
        attributes = b"%b%d%b" % (self.before, wait, self.after)
        return b"*%d\r\n%b%b%b" % (self.length, self.head, bulk(attributes), self.body)


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def parse_command(args: list[bytes]) -> Command:
    """Raises ValueError, with the reason, for what is not a request."""
    if not 4 <= len(args) <= 5:
        raise ValueError("wrong number of arguments")
    verb, customer, request, listed = args[:4]
    attributes: dict[bytes, bytes] = {}
    before = after = None
    items = listed.split(b",")
    for place, item in enumerate(items):
        name, equals, value = item.partition(b"=")
        if not equals or name in attributes:
            raise ValueError("malformed attributes")
        attributes[name] = value
        if name == b"d":
            before = b",".join([*items[:place], b"d="])
            after = b"".join(b"," + other for other in items[place + 1 :])
    if before is None or after is None or b"c" not in attributes:
        raise ValueError("class or time left missing")
    wait = float(attributes[b"d"])
    if not (math.isfinite(wait) and wait > 0):
        raise ValueError("no time left")
    head = bulk(verb) + bulk(customer) + bulk(request)
    body = b"".join(bulk(arg) for arg in args[4:])
    names = request.decode("ascii"), customer.decode("ascii")
    if not all(names):
        raise ValueError("id or customer missing")
    return Command(head, before, after, body, len(args), *names, attributes, wait)


class Slot:
    """The place of one command among the answers of its connection."""

    __slots__ = ("answered", "connection", "reply", "request")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.reply: bytes | None = None
        self.request: str | None = None  # the id of a request that is still open
        self.answered = False

    def answer(self, reply: bytes) -> None:
        if not self.answered:
            self.answered, self.reply, self.request = True, reply, None
            self.connection.pump()


class Handler(Protocol):
    def on_command(self, command: Command, slot: Slot) -> None: ...

    def on_client_gone(self, request: str) -> None: ...


class ClientConnection(asyncio.Protocol):
    def __init__(self, server: ClientServer) -> None:
        self.server = server
        self.reader = hiredis.Reader(notEnoughData=Ellipsis)
        self.slots: deque[Slot] = deque()
        self.transport: asyncio.Transport | None = None
        self.slow = self.stopped = self.closing = self.pumping = self.unread = False
        self.unparsed = 0

    # ---- from the event loop ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.transport.set_write_buffer_limits(high=MOST_UNREAD)
        self.server.opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.server.closed(self)
        slots, self.slots = self.slots, deque()
        for slot in slots:
            slot.answered = True
            if slot.request is not None:
                self.server.handler.on_client_gone(slot.request)

    def pause_writing(self) -> None:
        # A client that asks and does not read would make us hold all of its answers.
        self.slow = True
        self._throttle()

    def resume_writing(self) -> None:
        self.slow = False
        self.pump()

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return  # nothing more is answered here, and it must not pile up either
        self.unparsed += len(data)
        self.reader.feed(data)
        self.unread = True
        self.pump()

    # ---- commands ----

    def pump(self) -> None:
        """Take commands and write answers, as far as both go; answers given at once are written together."""
        if self.pumping:
            return
        self.pumping = True
        try:
            self._write()
            while self.unread and not self._stuck():
                self._take()
                self._write()
        finally:
            self.pumping = False
        if self.transport is not None and not self.slots and (self.closing or self.server.draining):
            self.transport.close()
        self._throttle()

    def _stuck(self) -> bool:
        return self.slow or self.closing or len(self.slots) >= MOST_WAITING

    def _take(self) -> None:
        """Take what commands the bytes read so far hold."""
        try:
            while not self._stuck():
                args = self.reader.gets()
                if args is Ellipsis:
                    self.unread = False
                    if self.unparsed > LARGEST:
                        raise hiredis.ProtocolError("command too long")
                    return
                self.unparsed = 0
                self.command(args)
        except (hiredis.ProtocolError, MemoryError) as error:
            self.refuse_protocol(error)

    def _write(self) -> None:
        """Write the answers that are due, in the order of the commands."""
        due: list[bytes] = []
        while self.slots and self.slots[0].reply is not None:
            due.append(self.slots.popleft().reply or b"")
        if due and self.transport is not None:
            self.transport.write(due[0] if len(due) == 1 else b"".join(due))
            self.server.used(self)

    def _throttle(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if (stop := self._stuck()) != self.stopped:
            self.stopped = stop
            (self.transport.pause_reading if stop else self.transport.resume_reading)()

    def refuse_protocol(self, error: Exception) -> None:
        # What follows cannot be told from the rest of a command; earlier requests still get their answers.
        slot = Slot(self)
        slot.answered, slot.reply = True, b"-ERR protocol error\r\n"
        self.slots.append(slot)
        self.closing = True
        log.warning("client broke the protocol: %s", " ".join(str(error).split()))

    def command(self, args: object) -> None:
        if not isinstance(args, list) or not args or not all(isinstance(arg, bytes) for arg in args):
            return self.refuse_protocol(ValueError("not an array of bulk strings"))
        slot = Slot(self)
        self.slots.append(slot)
        verb = args[0].upper()
        if verb in REQUESTS:
            try:
                command = parse_command(args)
            except ValueError as error:
                return slot.answer(b"-ERR %b\r\n" % " ".join(str(error).split()).encode())
            slot.request = command.id
            self.server.handler.on_command(command, slot)
        elif verb == b"PING":
            slot.answer(bulk(args[1]) if len(args) > 1 else b"+PONG\r\n")
        elif verb in HARMLESS:
            slot.answer(b"+OK\r\n")
        elif verb == b"QUIT":
            slot.answer(b"+OK\r\n")
            self.closing = True
        else:
            slot.answer(b"-ERR unknown command\r\n")

    @property
    def idle(self) -> bool:
        return not self.slots and self.transport is not None and not self.transport.is_closing()


class ClientServer:
    """Listens, and bounds the connections of clients."""

    def __init__(self, handler: Handler, most: int) -> None:
        self.handler, self.most = handler, most
        self.connections: dict[ClientConnection, None] = {}  # the longest unused first
        self.draining = False
        self.listener: asyncio.Server | None = None
        self.empty = asyncio.Event()
        self.empty.set()

    async def listen(self, host: str, port: int) -> int:
        """Start to accept; gives the port."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=BACKLOG, reuse_address=True
        )
        return int(self.listener.sockets[0].getsockname()[1])

    def opened(self, connection: ClientConnection) -> None:
        self.connections[connection] = None
        self.empty.clear()
        if len(self.connections) > self.most:
            # Out of descriptors nothing works any more, so give up a connection that nobody is using.
            spare = next((c for c in self.connections if c.idle), connection)
            if spare.transport is not None:
                spare.transport.close()
        elif self.draining and connection.transport is not None:
            connection.transport.close()

    def used(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)
        self.connections[connection] = None

    def closed(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)
        if not self.connections:
            self.empty.set()

    def drain(self) -> None:
        """Accept nothing more, and close each connection as soon as it has its answers."""
        self.draining = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.idle:
                connection.pump()
