"""The RESP server that clients connect to.

The sockets are driven directly: connections that come by hundreds are taken in as there is room for them, and
what each may make the process hold is bounded.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter as Tally
from collections import deque
from typing import Protocol

from roadpulley.core.budget import Budget
from roadpulley.core.clock import Timer, Timers, now_ms
from roadpulley.core.command import Command
from roadpulley.core.resp import LARGEST_BODY, CommandReader, Malformed, bulk
from roadpulley.core.tallies import Tallies

from .slots import LEAST_WATER, MOST_WATER, LongReply, Slot
from .terms import NAMED, PLAIN, VERBS, Terms

log = logging.getLogger(__name__)

MOST_WAITING = 32  # commands of one connection that may wait for their answers before it is read no further
MOST_HELD = 128 * 1024  # bytes of these commands, likewise
MOST_UNREAD = 128 * 1024  # bytes of answers that a client may leave unread, likewise
BODY_MS = 30_000.0  # for all of a long body, and for the room that it needs
READ_BYTES = 32 * 1024
BACKLOG = 1024  # connections that wait to be taken in, at no cost in descriptors
TAKEN_AT_ONCE = 32  # so that those taken in are also read between
TAKEN_OF_SHARED = 2  # so that a rush does not all go to the worker that woke first
SWEEP_MS, SUMMARY_MS = 250.0, 1_000.0
# From connecting, or from its first byte, until a command has to be whole. A client may take 2 s for a head,
# and one that never ends it is owed an end within 3 s of connecting; a sweep comes between.
WHOLE_MS = 2_400.0
SLOW_MS = 5_000.0  # how long a client may leave answers unread without taking any
# The same in a long value, of which little is held here: a kernel tells of room only when much of its buffer
# is free, so that a reader of some KiB a second seems to stand still for long.
LONG_SLOW_MS = 30_000.0
SPARE_MS = 2_000.0  # unused for this long: may be closed when room is short
IDLE_MS = 30_000.0  # unused for this long: closed
FIRST_MS = 400.0  # in a drain, from being taken in until its first command: a round trip and a slow client
YOUNG_MS = 100.0  # in which a new connection is let say something, however short room is
RETRY_MS = 20.0  # until there may be room, or a descriptor, again
HARMLESS = {b"CLIENT", b"SELECT"}  # commands of connection set-up


class Handler(Protocol):
    strained: bool  # some requests are turned away at the door

    def turn_away(self, request_class: str) -> bytes | None: ...

    def on_command(self, command: Command, slot: Slot) -> None: ...

    def on_client_gone(self, request: str) -> None: ...


class ClientConnection:
    def __init__(self, server: ClientServer, accepted: socket.socket) -> None:
        self.server, self.socket, self.fd = server, accepted, accepted.fileno()
        self.reader = CommandReader()
        self.slots: deque[Slot] = deque()
        self.held = 0  # bytes of the commands in `slots`
        self.long = 0  # long values under way
        self.granted = 0  # bytes of the budget, for a long body that is not whole
        self.granted_at = 0.0
        self.unsent = bytearray()
        self.reading = self.writing = self.closing = self.closed = self.pumping = self.unread = False
        self.used_at = self.moved_at = now_ms()  # moved: answers were last taken by the client
        self.due: float | None = self.used_at + WHOLE_MS  # of a command that is owed; None: between commands
        self._throttle()

    # ---- from the event loop ----

    def _readable(self) -> None:
        try:
            count = self.socket.recv_into(self.server.buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            count = 0
        if not count:
            return self.close()  # a client that closes has gone away
        self.received(self.server.view[:count])

    def received(self, data: bytes | memoryview) -> None:
        if self.closing:
            return  # nothing more is answered here, and it must not pile up either
        self.reader.feed(data)
        self.unread = True
        self.pump()

    def _writable(self) -> None:
        self._send()
        if self.slots and not self.closed and (long := self.slots[0].long) and long.started:
            long.room()
        self.pump()

    # ---- commands ----

    def pump(self) -> None:
        """Take commands and write answers, as far as both go; answers given at once are written together."""
        if self.pumping or self.closed:
            return
        self.pumping = True
        try:
            if self.slots:
                self._write()
            while self.unread and not self._stuck():
                self._take()
                self._write()
        finally:
            self.pumping = False
        if not self.slots and not self.unsent and (self.closing or (self.server.draining and self.at_rest)):
            self.close()
        self._throttle()

    def _stuck(self) -> bool:
        # Danger: a long value that breaks takes its connection along. What was read behind it would be lost,
        # what was not is sent again by the client.
        return (
            self.closing
            or self.closed
            or self.long > 0
            or self.held > MOST_HELD
            or len(self.slots) >= MOST_WAITING
            or len(self.unsent) > MOST_UNREAD
            or self.reader.wants > 0
        )

    def _take(self) -> None:
        """Take what commands the bytes read so far hold."""
        try:
            while not self._stuck():
                args = self.reader.next()
                if args is None:
                    if self.reader.wants and self._ask():
                        continue
                    self.unread = False
                    if self.reader.wants or self.reader.long:
                        # A long body has its time from its last piece, and in all.
                        if not self.reader.wants:
                            self.due = min(now_ms() + WHOLE_MS, self.granted_at + BODY_MS)
                    elif not self.reader.held:
                        self.due = None
                    elif self.due is None:
                        self.due = now_ms() + WHOLE_MS
                    return
                self.due = None
                self.command(args)
        except Malformed as error:
            self.refuse_protocol(str(error))

    def _ask(self) -> bool:
        """Ask for the room that a long body needs; whether it is granted at once."""
        size = self.reader.wants
        try:
            granted = self.server.bodies.ask(self, size, self._granted)
        except ValueError:
            raise Malformed("length of an argument") from None
        if granted:
            self._grant(size)
        else:
            self.due = now_ms() + BODY_MS
        return granted

    def _grant(self, size: int) -> None:
        self.granted, self.granted_at = size, now_ms()
        self.reader.grant()

    def _granted(self) -> None:
        self._grant(self.reader.wants)
        self.unread = True
        self.pump()

    def _write(self) -> None:
        """Write the answers that are due, in the order of the commands."""
        due: list[bytes] = []
        while self.slots and self.slots[0].reply is not None:
            slot = self.slots.popleft()
            self.held -= slot.size
            due.append(slot.reply or b"")
        if due and not self.closed:
            waiting, before = bool(self.unsent), len(self.unsent)
            self.unsent += due[0] if len(due) == 1 else b"".join(due)
            self.server.unsent += len(self.unsent) - before
            if not waiting:
                self.moved_at = now_ms()
                self._send()
            self.server.used(self)
            if self.server.unsent > self.server.most_unsent:
                self.server.drop_slowest()
        if self.slots and not self.closed and (long := self.slots[0].long) and not long.started:
            long.start()

    def push(self, long: LongReply, data: bytes | bytearray | memoryview) -> None:
        """Write a piece of the value whose turn it is."""
        waiting = bool(self.unsent)
        self.unsent += data
        self.server.unsent += len(data)
        if not waiting:
            self.moved_at = now_ms()
            self._send()
        if not self.closed and len(self.unsent) > self.server.water():
            long.pause()

    def _send(self) -> None:
        try:
            sent = self.socket.send(self.unsent)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            return self.close()
        if sent:
            self.moved_at = now_ms()
        del self.unsent[:sent]
        self.server.unsent -= sent
        if bool(self.unsent) != self.writing:
            self.writing = not self.writing
            if self.writing:
                self.server.loop.add_writer(self.fd, self._writable)
            else:
                self.server.loop.remove_writer(self.fd)

    def _throttle(self) -> None:
        if not self.closed and (go := not self._stuck()) != self.reading:
            self.reading = go
            if go:
                self.server.loop.add_reader(self.fd, self._readable)
            else:
                self.server.loop.remove_reader(self.fd)

    def refuse_protocol(self, reason: str) -> None:
        # What follows cannot be told from the rest of a command; earlier requests still get their answers.
        slot = Slot(self)
        slot.answered, slot.reply = True, b"-ERR protocol error\r\n"
        self.slots.append(slot)
        self.closing = True
        self.server.refused[reason] += 1

    def command(self, args: list[bytes]) -> None:
        body = self.reader.take_body()
        slot = Slot(self, sum(map(len, args)) + (len(body) if body else 0))
        slot.granted, self.granted = self.granted, 0
        self.held += slot.size
        self.slots.append(slot)
        verb = args[0].upper()
        if verb in VERBS:
            if self.server.handler.strained and (away := self.server.turn_away(args)):
                slot.kind, reply = away
                return slot.answer(reply)
            try:
                command = self.server.terms.parse(args, body)
            except ValueError as error:
                self.server.refused[str(error)] += 1
                slot.kind = self.server.named(args)
                return slot.answer(b"-ERR %b\r\n" % str(error).encode())
            self.server.asked(self)
            slot.request, slot.kind = command.id, command.request_class
            self.server.handler.on_command(command, slot)
        elif verb == b"PING":
            if not self.server.says_yes:
                slot.answer(b"-ERR takes no clients now\r\n")
            else:
                slot.answer(bulk(args[1]) if len(args) > 1 else b"+PONG\r\n")
        elif verb in HARMLESS:
            slot.answer(b"+OK\r\n")
        elif verb == b"QUIT":
            slot.answer(b"+OK\r\n")
            self.closing = True
        else:
            slot.answer(b"-ERR unknown command\r\n")

    # ---- the end ----

    @property
    def idle(self) -> bool:
        return not self.slots and not self.unsent and not self.closed

    @property
    def waits_for_bytes(self) -> bool:
        """A command has begun and it is its client's turn, or it waits for room."""
        return self.reading or self.reader.wants > 0

    @property
    def at_rest(self) -> bool:
        """Nothing is open here, and no command has begun to come."""
        return self.idle and not self.reader.held

    def retire(self) -> bool:
        """Close unless something is open here, also what has come and was not read yet."""
        if self.idle and self.reading:
            self._readable()
        if self.idle and not (self.server.draining and self.reader.held):
            self.close()
        return self.closed

    def leave(self) -> None:
        """The server drains: close once nothing is open here.

        Danger: one just taken in has its first command under way; closed now, its client could not know
        whether that was read.
        """
        if self.closed or not self.server.draining:
            return
        if self in self.server.silent and (due := self.used_at + FIRST_MS) > now_ms():
            self.server.timers.at(due, self.leave)
        else:
            self.retire()

    def check(self, now: float) -> None:
        """End what the client has begun and does not go on with."""
        if self.unsent and now - self.moved_at > (LONG_SLOW_MS if self.long else SLOW_MS):
            self.server.refused["answers left unread"] += 1
            self.close()
        elif self.due is not None and now > self.due and not self.closing and self.waits_for_bytes:
            self.refuse_protocol("command not whole in time")
            self.pump()
        elif self.idle and now - self.used_at > IDLE_MS:
            self.retire()

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.server.loop.remove_reader(self.fd)
        self.server.loop.remove_writer(self.fd)
        self.socket.close()
        self.server.forget(self)
        self.server.unsent -= len(self.unsent)
        slots, self.slots, self.unsent = self.slots, deque(), bytearray()
        self.server.long -= self.long
        self.long = 0
        self.server.bodies.leave(self)
        if self.granted:
            self.server.bodies.give_back(self.granted)
            self.granted = 0
        for slot in slots:
            slot.answered, slot.long = True, None
            if slot.granted:
                slot.give_back()
            if slot.request is not None:
                self.server.handler.on_client_gone(slot.request)


class ClientServer:
    """Listens, and bounds the connections of clients and what they may hold."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        handler: Handler,
        terms: Terms,
        most: int,
        memory: int,
        tallies: Tallies | None = None,
    ) -> None:
        self.loop, self.timers, self.handler, self.most = loop, timers, handler, most
        self.tallies = tallies or Tallies()
        self.retune(terms)
        self.long = 0  # long values under way
        self.bodies = Budget(max(LARGEST_BODY, memory // 2))
        self.most_unsent, self.unsent = memory, 0  # bytes of answers that are not taken yet, of all clients
        self.buffer = bytearray(READ_BYTES)  # of all connections: each takes out at once what it has read
        self.view = memoryview(self.buffer)
        self.connections: dict[ClientConnection, None] = {}  # the longest unused first
        self.silent: dict[ClientConnection, None] = {}  # of these, those that never asked, the oldest first
        self.refused: Tally[str] = Tally()  # since the last line of the log, by reason
        self.told_at = 0.0
        self.draining = self.accepting = self.shared = False
        self.says_yes = True  # to PING
        self.listener: socket.socket | None = None
        self.waiting: Timer | None = None  # to accept again
        self.empty = asyncio.Event()
        self.empty.set()

    def listen(self, host: str, port: int, given: socket.socket | None = None) -> int:
        """Start to accept; gives the port. A socket that is given is bound; other processes have it too."""
        self.shared = given is not None
        self.listener = given or socket.create_server((host, port), backlog=BACKLOG)
        self.listener.setblocking(False)
        self._accept_more()
        self.sweep()
        return int(self.listener.getsockname()[1])

    # ---- accepting ----

    def _accept_more(self) -> None:
        self.waiting = None
        if self.listener is not None and not self.accepting:
            self.accepting = True
            if self.shared:
                # Danger: the supervisor has it refuse once nobody accepts, which may cross the start of this
                # one: it would serve and never be reached. Asked again, it listens again.
                self.listener.listen(BACKLOG)
            self.loop.add_reader(self.listener.fileno(), self._accept)

    def _pause(self) -> None:
        """Those that wait in the kernel's queue cost nothing; closing them would fail their requests."""
        if self.listener is not None and self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.listener.fileno())
            self.waiting = self.timers.at(now_ms() + RETRY_MS, self._accept_more)

    def _accept(self) -> None:
        for turn in range(TAKEN_OF_SHARED if self.shared else TAKEN_AT_ONCE):
            if self.listener is None:
                return
            if len(self.connections) >= self.most:
                if turn:
                    return  # room is made only for one that is known to wait, as on the first turn
                if not self.make_room():
                    return self._pause()
            try:
                accepted, _address = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self.refused[f"not accepted: {error.strerror}"] += 1
                return self._pause()
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = ClientConnection(self, accepted)
            self.connections[connection] = self.silent[connection] = None
            self.empty.clear()
            if self.draining:
                connection.leave()

    def make_room(self) -> bool:
        """Give up a connection that nobody is using; one that never asked goes first."""
        now = now_ms()
        oldest = next((c for c in self.silent if c.idle), None)
        if oldest is not None and now - oldest.used_at > YOUNG_MS and oldest.retire():
            return True
        spare = next((c for c in self.connections if c.idle and c not in self.silent), None)
        return spare is not None and now - spare.used_at > SPARE_MS and spare.retire()

    # ---- connections ----

    def asked(self, connection: ClientConnection) -> None:
        self.silent.pop(connection, None)

    def used(self, connection: ClientConnection) -> None:
        connection.used_at = now_ms()
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None

    def turn_away(self, args: list[bytes]) -> tuple[str, bytes] | None:
        """Class and refusal of a request that is not worth reading whole just now, if seen before."""
        plain = PLAIN.fullmatch(args[3]) if len(args) > 3 else None
        known = self.terms.right.get((args[0], *plain.group(2, 3, 7, 8, 9))) if plain else None
        reply = self.handler.turn_away(known[0].name) if known else None
        return (known[0].name, reply) if known and reply else None

    def named(self, args: list[bytes]) -> str | None:
        """The class that a wrong request names, if it is or was one."""
        found = NAMED.search(args[3]) if len(args) > 3 else None
        name = found[1].decode(errors="replace") if found else ""
        return name if name in self.tallies.answers else None

    def water(self) -> int:
        """Bytes of a long value that may wait for its client: of all of them together, half of the budget."""
        return max(LEAST_WATER, min(MOST_WATER, self.most_unsent // (2 * max(1, self.long))))

    def forget(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)
        self.silent.pop(connection, None)
        if not self.connections:
            self.empty.set()

    def drop_slowest(self) -> None:
        """Give up the client that has taken nothing for the longest time, before memory runs out."""
        waiting = (c for c in self.connections if c.unsent and not c.long)  # long values are held back
        slowest = min(waiting, key=lambda c: c.moved_at, default=None)
        if slowest is not None:
            self.refused["answers left unread"] += 1
            slowest.close()

    def sweep(self) -> None:
        now = now_ms()
        for connection in list(self.connections):
            connection.check(now)
        if self.refused and now - self.told_at >= SUMMARY_MS:  # one line tells of all
            log.warning("refused: %s", dict(self.refused))
            self.refused.clear()
            self.told_at = now
        self.timers.at(now + SWEEP_MS, self.sweep)

    def retune(self, terms: Terms) -> None:
        """Other terms from the next request on. What was counted of a class that is dropped stays."""
        self.terms = terms
        for name in terms.classes:
            self.tallies.know(name.decode())

    def stand(self, says_yes: bool, accepts: bool, keeps: bool) -> None:
        """What this server is to its clients from now on.

        `says_yes`: to PING. `accepts`: not to accept is final. `keeps`: connections at rest; where they are
        not kept, each is closed as soon as it has its answers.
        """
        self.says_yes = says_yes
        if not accepts and self.listener is not None:
            if len(self.connections) < self.most and not self.shared:
                self._accept()
            self._pause()
            # What still waits at one that is shared is taken by the others; at one's own it is refused.
            self.listener.close()
            self.listener = None
        self.draining = not keeps
        if not keeps:
            for connection in list(self.connections):
                connection.leave()
