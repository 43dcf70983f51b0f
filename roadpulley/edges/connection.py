"""One client's connection: its commands, the answers in their order, and its end.

| state     | takes commands | writes answers | reads                        | becomes                 |
| --------- | -------------- | -------------- | ---------------------------- | ----------------------- |
| OPEN      | yes            | yes            | unless it is stuck           | LAST, LINGERING, CLOSED |
| LAST      | no             | those it owes  | no                           | LINGERING, CLOSED       |
| LINGERING | no             | no: FIN is out | to the end, and drops it all | CLOSED                  |
| CLOSED    | no             | no             | no                           | -                       |

A state only ever rises. All ends pass `close`, where what the connection held goes back, once.

| event                                    | OPEN                          | LAST       | LINGERING       |
| ---------------------------------------- | ----------------------------- | ---------- | --------------- |
| bytes                                    | commands, in order            | stay unread | dropped         |
| end, reset, or the kernel tells of one   | CLOSED                        | CLOSED     | CLOSED          |
| QUIT, malformed bytes, time of a command | LAST                          | -          | -               |
| the time until its first command         | read once more; LINGERING at rest | -      | -               |
| the last answer is written               | LINGERING in a drain, at rest | LINGERING  | -               |
| drain, idle for long                     | read once more; LINGERING at rest | -      | -               |
| room is short                            | CLOSED if unused              | -          | CLOSED          |
| its time, its bytes                      | answers left unread: CLOSED   | the same   | CLOSED          |
| the process ends                         | LAST                          | -          | -               |

Danger: closing over unread bytes resets a connection, and takes along answers that are still on their way.
So the sending side ends first (a lingering close, RFC 9112, 9.6), and what comes then is read and never
acted on: a client that is told the end without an answer sends its request again elsewhere.
"""

from __future__ import annotations

import socket
from collections import deque
from typing import TYPE_CHECKING

from roadpulley.core.clock import now_ms
from roadpulley.core.resp import CommandReader, MalformedError, encode_bulk

from .request_parser import REQUEST_VERBS
from .slots import Slot, StreamingReply

if TYPE_CHECKING:
    from .resp_server import RespServer

MAX_PENDING_COMMANDS = (
    32  # commands of one connection that may wait for their answers before it is read no further
)
MAX_PENDING_COMMAND_BYTES = 128 * 1024  # bytes of these commands, likewise
MAX_UNSENT_BYTES = 128 * 1024  # bytes of answers that a client may leave unread, likewise
BODY_TIMEOUT_MS = 30_000.0  # for all of a long body, and for the room that it needs
# From connecting, or from its first byte, until a command has to be whole. A client may take 2 s for a head,
# and one that never ends it is owed an end within 3 s of connecting; a sweep comes between.
COMMAND_TIMEOUT_MS = 2_400.0
WRITE_STALL_TIMEOUT_MS = 5_000.0  # how long a client may leave answers unread without taking any
# The same in a long value, of which little is held here: a kernel tells of room only when much of its buffer
# is free, so that a reader of some KiB a second seems to stand still for long.
STREAM_STALL_TIMEOUT_MS = 30_000.0
IDLE_TIMEOUT_MS = 30_000.0  # unused for this long: closed
FIRST_COMMAND_GRACE_MS = (
    400.0  # in a drain, from being taken in until its first command: a round trip and a slow client
)
# From FIN until it is closed at the latest: far over a round trip, so that the last answer has arrived, and
# short beside a drain. What a flood may send in it is bounded too.
LINGER_TIMEOUT_MS, MAX_LINGER_BYTES = 500.0, 256 * 1024
SETUP_COMMANDS = {b"CLIENT", b"SELECT"}  # commands of connection set-up
OPEN, FLUSHING, LINGERING, CLOSED = range(4)
TCP_ESTABLISHED = 1  # of the states of TCP, as the kernel numbers them


class ClientConnection:
    def __init__(self, server: RespServer, accepted: socket.socket) -> None:
        self.server, self.socket, self.fd = server, accepted, accepted.fileno()
        self.reader = CommandReader()
        self.slots: deque[Slot] = deque()
        self.pending_bytes = 0  # bytes of the commands in `slots`
        self.discarded_bytes = 0  # bytes, while it lingers
        self.streaming_replies = 0  # long values under way
        self.body_grant_bytes = 0  # bytes of the budget, for a long body that is not whole
        self.body_granted_at = 0.0
        self.unsent = bytearray()
        self.state = OPEN
        self.is_reading = self.is_writing = self.is_pumping = self.has_unparsed_bytes = False
        self.last_used_at = self.last_progress_at = now_ms()  # moved: answers were last taken by the client
        self.command_deadline: float | None = (
            self.last_used_at + COMMAND_TIMEOUT_MS
        )  # of a command that is owed; None: between commands
        self._update_reading()

    # ---- from the event loop ----

    def _on_readable(self) -> None:
        try:
            count = self.socket.recv_into(self.server.read_buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            count = 0
        if not count:
            return self.close()  # a client that closes has gone away
        self.receive(self.server.read_view[:count])

    def receive(self, data: bytes | memoryview) -> None:
        if self.state != OPEN:
            return  # nothing more is answered here, and it must not pile up either
        self.reader.feed(data)
        self.has_unparsed_bytes = True
        self.pump()

    def _on_writable(self) -> None:
        self._send()
        if self.slots and self.state < LINGERING and (long := self.slots[0].stream) and long.is_started:
            long.resume_if_drained()
        self.pump()

    # ---- commands ----

    def pump(self) -> None:
        """Take commands and write answers, as far as both go; answers given at once are written together."""
        if self.is_pumping or self.state >= LINGERING:
            return
        self.is_pumping = True
        try:
            if self.slots:
                self._write_replies()
                if self.server.draining and self.is_at_rest:
                    self._on_readable()
            while self.has_unparsed_bytes and not self._is_blocked():
                self._process_commands()
                self._write_replies()
                # Danger: the end of a drain goes out with the last answer. A turn later its client
                # has taken the connection for free and sent its next request, which would be turned back.
                if self.server.draining and self.is_at_rest:
                    self._on_readable()
        finally:
            self.is_pumping = False
        if not self.slots and not self.unsent:
            if self.state == FLUSHING:
                self.start_lingering()
            elif self.server.draining and self.is_at_rest:
                self.close_for_drain()
        self._update_reading()

    def _is_blocked(self) -> bool:
        # Danger: a long value that breaks takes its connection along. What was read behind it would be lost,
        # what was not is sent again by the client.
        return (
            self.state != OPEN
            or self.streaming_replies > 0
            or self.pending_bytes > MAX_PENDING_COMMAND_BYTES
            or len(self.slots) >= MAX_PENDING_COMMANDS
            or len(self.unsent) > MAX_UNSENT_BYTES
            or self.reader.wanted_body_bytes > 0
        )

    def _process_commands(self) -> None:
        """Take what commands the bytes read so far hold."""
        try:
            while not self._is_blocked():
                args = self.reader.next_command()
                if args is None:
                    if self.reader.wanted_body_bytes and self._request_body_grant():
                        continue
                    self.has_unparsed_bytes = False
                    if self.reader.wanted_body_bytes or self.reader.is_reading_body:
                        # A long body has its time from its last piece, and in all.
                        if not self.reader.wanted_body_bytes:
                            self.command_deadline = min(
                                now_ms() + COMMAND_TIMEOUT_MS, self.body_granted_at + BODY_TIMEOUT_MS
                            )
                    elif not self.reader.buffered_bytes:
                        self.command_deadline = None
                    elif self.command_deadline is None:
                        self.command_deadline = now_ms() + COMMAND_TIMEOUT_MS
                    return
                self.command_deadline = None
                self.handle_command(args)
        except MalformedError as error:
            self.refuse_protocol(str(error))

    def _request_body_grant(self) -> bool:
        """Ask for the room that a long body needs; whether it is granted at once."""
        size = self.reader.wanted_body_bytes
        try:
            granted = self.server.body_budget.acquire(self, size, self._on_body_granted)
        except ValueError:
            raise MalformedError("length of an argument") from None
        if granted:
            self._start_body(size)
        else:
            self.command_deadline = now_ms() + BODY_TIMEOUT_MS
        return granted

    def _start_body(self, size: int) -> None:
        self.body_grant_bytes, self.body_granted_at = size, now_ms()
        self.reader.grant_body()

    def _on_body_granted(self) -> None:
        self._start_body(self.reader.wanted_body_bytes)
        self.has_unparsed_bytes = True
        self.pump()

    def _write_replies(self) -> None:
        """Write the answers that are due, in the order of the commands."""
        due: list[bytes] = []
        while self.slots and self.slots[0].reply is not None:
            slot = self.slots.popleft()
            self.pending_bytes -= slot.size
            due.append(slot.reply or b"")
        if due and self.state < LINGERING:
            waiting, before = bool(self.unsent), len(self.unsent)
            self.unsent += due[0] if len(due) == 1 else b"".join(due)
            self.server.unsent_bytes += len(self.unsent) - before
            if not waiting:
                self.last_progress_at = now_ms()
                self._send()
            self.server.note_use(self)
            if self.server.unsent_bytes > self.server.max_unsent_bytes:
                self.server.close_slowest_reader()
        if self.slots and self.state < LINGERING and (long := self.slots[0].stream) and not long.is_started:
            long.start()

    def write_chunk(self, long: StreamingReply, data: bytes | bytearray | memoryview) -> None:
        """Write a piece of the value whose turn it is."""
        waiting = bool(self.unsent)
        self.unsent += data
        self.server.unsent_bytes += len(data)
        if not waiting:
            self.last_progress_at = now_ms()
            self._send()
        if self.state < LINGERING and len(self.unsent) > self.server.high_water_bytes():
            long.pause_source()

    def _send(self) -> None:
        try:
            sent = self.socket.send(self.unsent)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            return self.close()
        if sent:
            self.last_progress_at = now_ms()
        del self.unsent[:sent]
        self.server.unsent_bytes -= sent
        if bool(self.unsent) != self.is_writing:
            self.is_writing = not self.is_writing
            if self.is_writing:
                self.server.loop.add_writer(self.fd, self._on_writable)
            else:
                self.server.loop.remove_writer(self.fd)

    def _update_reading(self) -> None:
        if self.state < LINGERING and (go := not self._is_blocked()) != self.is_reading:
            self.is_reading = go
            if go:
                self.server.loop.add_reader(self.fd, self._on_readable)
            else:
                self.server.loop.remove_reader(self.fd)

    def refuse_protocol(self, reason: str) -> None:
        # What follows cannot be told from the rest of a command; earlier requests still get their answers.
        slot = Slot(self)
        slot.answered, slot.reply = True, b"-ERR protocol error\r\n"
        self.slots.append(slot)
        self.state = FLUSHING
        self.server.refusals[reason] += 1

    def handle_command(self, args: list[bytes]) -> None:
        body = self.reader.take_body()
        slot = Slot(self, sum(map(len, args)) + (len(body) if body else 0))
        slot.body_grant_bytes, self.body_grant_bytes = self.body_grant_bytes, 0
        self.pending_bytes += slot.size
        self.slots.append(slot)
        verb = args[0].upper()
        if verb in REQUEST_VERBS:
            if self.server.handler.is_shedding and (away := self.server.refuse_early(args)):
                slot.class_name, reply = away
                return slot.answer(reply)
            try:
                command = self.server.parser.parse(args, body)
            except ValueError as error:
                self.server.refusals[str(error)] += 1
                slot.class_name = self.server.find_class(args)
                return slot.answer(b"-ERR %b\r\n" % str(error).encode())
            self.server.note_request(self)
            slot.request, slot.class_name = command.id, command.request_class
            self.server.handler.on_command(command, slot)
        elif verb == b"PING":
            if not self.server.answers_ping:
                slot.answer(b"-ERR takes no clients now\r\n")
            else:
                slot.answer(encode_bulk(args[1]) if len(args) > 1 else b"+PONG\r\n")
        elif verb in SETUP_COMMANDS:
            slot.answer(b"+OK\r\n")
        elif verb == b"QUIT":
            self.state = FLUSHING
            slot.answer(b"+OK\r\n")
        else:
            slot.answer(b"-ERR unknown command\r\n")

    # ---- the end ----

    @property
    def is_closed(self) -> bool:
        return self.state == CLOSED

    @property
    def is_idle(self) -> bool:
        return self.state == OPEN and not self.slots and not self.unsent

    def is_overdue(self, now: float) -> bool:
        return self.state == OPEN and self.command_deadline is not None and now > self.command_deadline

    @property
    def is_awaiting_input(self) -> bool:
        """A command has begun and it is its client's turn, or it waits for room."""
        return self.is_reading or self.reader.wanted_body_bytes > 0

    @property
    def is_at_rest(self) -> bool:
        """Nothing is open here, and no command has begun to come."""
        return self.is_idle and not self.reader.buffered_bytes

    def close_if_disconnected(self) -> bool:
        """Whether its client has left; closes then.

        Danger: a connection that is stuck is not read, nor is one in time while the loop is late, and its end
        may lie behind bytes that must wait. Only the kernel knows of it.
        """
        if self.state < LINGERING:
            try:
                told = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
            except OSError:
                return False  # not TCP: only reading tells
            if told and told[0] != TCP_ESTABLISHED:
                self.close()
        return self.state >= LINGERING

    def close_if_idle(self, room: bool = False) -> None:
        """End it unless something is open here, also what has come and was not read yet.

        `room`: its descriptor is needed now. What it was answered last arrived long ago.
        """
        if self.is_idle and self.is_reading:
            self._on_readable()
        if self.is_at_rest or (room and self.is_idle and not self.server.draining):
            if room:
                self.close()
            else:
                self.start_lingering()

    def close_for_drain(self) -> None:
        """The server drains: end it once nothing is open here.

        Danger: one just taken in has its first command under way; closed now, its client could not know
        whether that was read.
        """
        if self.state != OPEN or not self.server.draining:
            return
        if (
            self in self.server.without_request
            and (due := self.last_used_at + FIRST_COMMAND_GRACE_MS) > now_ms()
        ):
            self.server.timers.call_at(due, self.close_for_drain)
        else:
            self.close_if_idle()

    def finish_commands(self) -> None:
        """Take what has come, and no more commands; it ends with the answers that it owes."""
        if self.state == OPEN and self.is_reading:
            self._on_readable()
        if self.state == OPEN:
            self.state = FLUSHING
            self.pump()

    def check_timeouts(self, now: float) -> None:
        """End what the client has begun and does not go on with, and what it has left."""
        if self.state == LINGERING:
            if now > self.last_progress_at + LINGER_TIMEOUT_MS:
                self.close()
        elif not self.is_reading and self.close_if_disconnected():
            return
        elif self.unsent and now - self.last_progress_at > (
            STREAM_STALL_TIMEOUT_MS if self.streaming_replies else WRITE_STALL_TIMEOUT_MS
        ):
            self.server.refusals["answers left unread"] += 1
            self.close()
        elif self.is_overdue(now) and self.is_awaiting_input:
            if self.is_reading:
                self._on_readable()  # while the loop was late the rest may have come
            if self.is_at_rest:
                # Danger: an error now would be read as the answer to the first request, if that is under way.
                self.close_if_idle()
            elif self.is_overdue(now):
                self.refuse_protocol("command not whole in time")
                self.pump()
        elif self.is_idle and now - self.last_used_at > IDLE_TIMEOUT_MS:
            self.close_if_idle()

    def start_lingering(self) -> None:
        """End the sending side, then read to the end: what comes is dropped."""
        self.state, self.command_deadline, self.last_progress_at = LINGERING, None, now_ms()
        self.reader = CommandReader()
        self._release_body_grant()
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            return self.close()  # the client was first
        self.server.add_lingering(self)
        if not self.is_reading:
            self.is_reading = True
        else:
            self.server.loop.remove_reader(self.fd)
        self.server.loop.add_reader(self.fd, self._discard)

    def _release_body_grant(self) -> None:
        """The room of a long body that is not whole, or the wish for it."""
        self.server.body_budget.cancel_wait(self)
        if self.body_grant_bytes:
            self.server.body_budget.release(self.body_grant_bytes)
            self.body_grant_bytes = 0

    def _discard(self) -> None:
        try:
            count = self.socket.recv_into(self.server.read_buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            count = 0
        self.discarded_bytes += count
        if not count or self.discarded_bytes > MAX_LINGER_BYTES:
            self.close()

    def close(self) -> None:
        if self.is_closed:
            return
        self.state = CLOSED
        self.server.loop.remove_reader(self.fd)
        self.server.loop.remove_writer(self.fd)
        self.socket.close()
        self.server.remove_connection(self)
        self.server.unsent_bytes -= len(self.unsent)
        slots, self.slots, self.unsent = self.slots, deque(), bytearray()
        self.server.streaming_replies -= self.streaming_replies
        self.streaming_replies = 0
        self._release_body_grant()
        for slot in slots:
            slot.answered, slot.stream = True, None
            if slot.body_grant_bytes:
                slot.release_body_grant()
            if slot.request is not None:
                self.server.handler.on_client_gone(slot.request)
