"""One client connection: its commands, their replies in order, and the end of the connection.

| state     | handles commands | writes replies | reads                      | next states                 |
| --------- | ---------------- | -------------- | -------------------------- | --------------------------- |
| OPEN      | yes              | yes            | unless it is blocked       | FLUSHING, LINGERING, CLOSED |
| FLUSHING  | no               | outstanding    | no                         | LINGERING, CLOSED           |
| LINGERING | no               | no: FIN sent   | to the end, discards it    | CLOSED                      |
| CLOSED    | no               | no             | no                         | -                           |

A state only advances. Every end passes `close`, which releases the resources of the connection once.

| event                                 | OPEN                              | FLUSHING     | LINGERING |
| ------------------------------------- | --------------------------------- | ------------ | --------- |
| bytes arrive                          | commands, in order                | stay unread  | discarded |
| end or reset, read or reported by TCP | CLOSED                            | CLOSED       | CLOSED    |
| QUIT, malformed bytes, late command   | FLUSHING                          | -            | -         |
| timeout of the first command          | read once more; LINGERING if idle | -            | -         |
| the last reply is written             | LINGERING if draining and idle    | LINGERING    | -         |
| a streamed value breaks               | FLUSHING                          | LINGERING    | -         |
| idle timeout                          | read once more; LINGERING if idle | -            | -         |
| drain, after the time for a request   | read once more; LINGERING if idle | -            | -         |
| room is needed                        | CLOSED if unused                  | -            | CLOSED    |
| replies unread for too long           | CLOSED                            | CLOSED       | -         |
| linger timeout, linger bytes exceeded | -                                 | -            | CLOSED    |
| the process ends                      | FLUSHING                          | -            | -         |

Closing a socket with unread bytes resets the connection and destroys replies that are still in flight. So the
sending side is shut down first (a lingering close, RFC 9112, section 9.6). Bytes that arrive after that are
read and never acted on: a client that sees the end without a reply sends its request again elsewhere.
"""

from __future__ import annotations

import math
import socket
from collections import deque
from typing import TYPE_CHECKING

from roadpulley.core.clock import now_ms
from roadpulley.core.event_ring import EventKind
from roadpulley.core.resp import MAX_VALUE_BYTES, CommandReader, MalformedError, encode_bulk
from roadpulley.core.socket_watcher import TCP_ESTABLISHED, UNKNOWN_STATE, SocketWatcher, get_tcp_state

from .body_grant import BodyGrant, get_wait_ms
from .close_reasons import CloseReason
from .request_parser import REQUEST_VERBS
from .slots import Slot, StreamingReply

if TYPE_CHECKING:
    from .resp_server import RespServer

# A connection is not read while it exceeds one of the next three bounds.
MAX_PENDING_COMMANDS = 32  # commands without a reply
# The same while many requests are open: a few connections leave no room to all others otherwise.
MAX_CROWDED_PENDING_COMMANDS = 4
MAX_PENDING_COMMAND_BYTES = 128 * 1024  # total size of these commands
MAX_UNSENT_BYTES = 128 * 1024  # replies that the client has not read
# Commands that are handled at once. The others on the connection wait until other connections had a turn:
# a client that sends at full speed would otherwise hold up all others.
MAX_COMMANDS_PER_TURN = 16
MAX_PROMPT_BYTES = 2 * 1024  # received at once, and handled at once although others wait for their turn
# From the connection's start, or a command's first byte, until the command is complete. A client may take 2 s
# for the head of a request, and an incomplete one must end within 3 s of connecting, including a sweep
# interval.
COMMAND_TIMEOUT_MS = 2_400.0
WRITE_STALL_TIMEOUT_MS = 5_000.0  # without any progress of a client that has replies to read
# The same for streamed replies, which hold little memory. The kernel reports a socket as writable only when
# much of its buffer is free, so a client that reads a few KiB a second makes no visible progress for long.
STREAM_STALL_TIMEOUT_MS = 30_000.0
# The same while the process ends: it waits for no client that takes nothing for this long.
FINISHING_STALL_TIMEOUT_MS = WRITE_STALL_TIMEOUT_MS
IDLE_TIMEOUT_MS = 30_000.0
# A drain leaves a connection without a request open for this long after it was accepted or last answered.
UNUSED_CONNECTION_GRACE_MS = 400.0
# One that never sent a request or PING is left open for `COMMAND_TIMEOUT_MS` instead, up to this time after
# the drain began: its client may be slow, and could not know whether its request was read. Operators check
# 4 s after a PAUSE that no client's connection is idle.
MAX_FIRST_REQUEST_WAIT_MS = 3_000.0
# From FIN until the socket is closed: well over a round trip, so that the last reply arrives, and short
# compared to a drain. The bytes that a client may send in that time are bounded too.
LINGER_TIMEOUT_MS = 500.0
MAX_LINGER_BYTES = 256 * 1024
SETUP_COMMANDS = {b"CLIENT", b"SELECT"}  # sent by client libraries when they connect; answered with OK
OPEN = 0
FLUSHING = 1
LINGERING = 2
CLOSED = 3


class ClientConnection:
    """Reads commands from one client socket and writes their replies."""

    def __init__(self, server: RespServer, accepted: socket.socket) -> None:
        self.server, self.socket, self.fd = server, accepted, accepted.fileno()
        self.watcher = SocketWatcher(server.loop, accepted)
        self.reader = CommandReader()
        self.slots: deque[Slot] = deque()
        self.pending_bytes = 0  # total size of the commands in `slots`
        self.counted_unparsed_bytes = 0  # in the server's sum
        self.discarded_bytes = 0  # read in state LINGERING
        self.streaming_replies = 0  # replies being streamed
        self.has_streamed = False  # a streamed reply has ended
        self.body_grant = BodyGrant(server.get_body_budget)  # for a long body that is incomplete
        self.unsent = bytearray()
        self.state = OPEN
        self.is_reading = self.is_writing = self.is_advancing = self.has_unparsed_bytes = False
        self.is_deferred = False  # commands wait for the next turn of this connection
        self.has_turn = False  # commands may be handled although other connections wait
        self.commands_in_turn = 0
        self.awaits_first_request = True  # neither a request nor a PING was received
        self.last_used_at = self.last_progress_at = now_ms()  # progress: the client read replies
        # For the command that is being received, or the first one; None between commands.
        self.command_deadline: float | None = self.last_used_at + COMMAND_TIMEOUT_MS
        self._update_reading()

    # ---- event loop callbacks ----

    def _on_readable(self) -> None:
        try:
            count = self.socket.recv_into(self.server.read_buffer, self.server.get_read_size())
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            count = 0
        if not count:
            return self.close(CloseReason.CLIENT_LEFT)  # a half-closed connection counts as closed
        self.receive(self.server.read_view[:count])

    def receive(self, data: bytes | memoryview) -> None:
        """Parse bytes from the client and handle the commands in them."""
        if self.state != OPEN:
            return  # not handled any more, and must not accumulate
        self.reader.feed(data)
        self.has_unparsed_bytes = True
        self.has_turn = len(data) <= MAX_PROMPT_BYTES
        self.advance()

    def _count_unparsed(self) -> None:
        """Keep the server's sum of what was received and not parsed."""
        unparsed_bytes = self.reader.unparsed_bytes
        self.server.unparsed_bytes += unparsed_bytes - self.counted_unparsed_bytes
        self.counted_unparsed_bytes = unparsed_bytes

    def _on_writable(self) -> None:
        self._send()
        if (
            self.slots
            and self.state < LINGERING
            and (streaming_reply := self.slots[0].stream)
            and streaming_reply.is_started
        ):
            streaming_reply.resume_if_drained()
        self.advance()

    # ---- commands ----

    def advance(self) -> None:
        """Handle commands and write replies as far as possible; replies given at once are batched."""
        if self.is_advancing or self.state >= LINGERING:
            return
        self.is_advancing, self.commands_in_turn = True, 0
        try:
            if self.slots:
                self._write_replies()
                if self.server.draining and self.is_at_rest:
                    self._on_readable()
            if self.server.turns.waiting and not self.has_turn and self.has_unparsed_bytes:
                if not self._is_blocked():
                    self._defer()
            while self.has_unparsed_bytes and not self._is_blocked():
                self._process_commands()
                self._write_replies()
                # In a drain, FIN follows the last reply at once. One iteration of the event loop later, the
                # client may already have sent its next request on the idle connection, and would see it fail.
                if self.server.draining and self.is_at_rest:
                    self._on_readable()
        finally:
            self.is_advancing = self.has_turn = False
        if not self.slots and not self.unsent:
            if self.state == FLUSHING:
                self.start_lingering()
            elif self.server.draining and self.is_at_rest:
                self.close_for_drain()
        if not self.is_closed:
            self._count_unparsed()
        self._update_reading()

    def _is_blocked(self) -> bool:
        # No commands are read behind a streamed reply: if its backend fails, the connection ends within the
        # value, while the client sends unread commands again elsewhere. A value is held at first if
        # commands that were read stand behind it: see `has_commands_behind`.
        return (
            self.state != OPEN
            or self.is_deferred
            or self.streaming_replies > 0
            or self.pending_bytes > MAX_PENDING_COMMAND_BYTES
            or (
                len(self.slots) >= MAX_CROWDED_PENDING_COMMANDS
                and (len(self.slots) >= MAX_PENDING_COMMANDS or self.server.handler.is_crowded())
            )
            or len(self.unsent) > MAX_UNSENT_BYTES
            or self.reader.wanted_body_bytes > 0
        )

    def _process_commands(self) -> None:
        """Handle the complete commands among the bytes read so far."""
        try:
            while not self._is_blocked():
                args = self.reader.next_command()
                if args is None:
                    if self.reader.wanted_body_bytes and self._request_body_grant():
                        continue
                    self.has_unparsed_bytes = False
                    if self.reader.wanted_body_bytes or self.reader.is_reading_body:
                        if not self.reader.wanted_body_bytes:
                            self.command_deadline = self.body_grant.get_deadline(COMMAND_TIMEOUT_MS)
                    elif not self.reader.buffered_bytes:
                        self.command_deadline = None
                    elif self.command_deadline is None:
                        self.command_deadline = now_ms() + COMMAND_TIMEOUT_MS
                    return
                self.command_deadline = None
                self.handle_command(args)
                self._count_command()
        except MalformedError as error:
            self.refuse_protocol(str(error))

    def _count_command(self) -> None:
        """End the turn of this connection if it has handled enough commands and may have more."""
        self.commands_in_turn += 1
        if self.commands_in_turn >= MAX_COMMANDS_PER_TURN and self.state == OPEN and self.has_unparsed_bytes:
            self._defer()

    def _defer(self) -> None:
        self.is_deferred = True
        self.server.turns.add(self)

    def take_turn(self) -> None:
        """Handle further commands that were received before."""
        self.is_deferred, self.has_turn = False, True
        self.advance()

    def _request_body_grant(self) -> bool:
        """Request memory for a long body; returns whether it was granted at once."""
        try:
            granted = self.body_grant.request(self.reader.wanted_body_bytes, self._on_body_granted)
        except ValueError:
            raise MalformedError("length of an argument") from None
        if granted:
            self.reader.grant_body()
        else:
            self.command_deadline = now_ms() + get_wait_ms(self.reader.wanted_body_bytes)
        return granted

    def _skip_body(self) -> None:
        """Discard a body that there is no memory for, and refuse its request once it has come."""
        self.body_grant.give_up()
        self.reader.skip_body()
        self.command_deadline = self.body_grant.get_deadline(COMMAND_TIMEOUT_MS)
        self.has_unparsed_bytes = True
        self.advance()

    def _on_body_granted(self) -> None:
        self.reader.grant_body()
        self.has_unparsed_bytes = True
        self.advance()

    def has_commands_behind(self, slot: Slot) -> bool:
        """Whether anything that the client sent behind the command of this slot has been read."""
        return self.slots[-1] is not slot or self.reader.buffered_bytes > 0

    def _write_replies(self) -> None:
        """Write the replies that are complete and begin those that are streamed, in the commands' order."""
        self._write_whole_replies()
        while stream := self._next_unstarted_stream():
            stream.start()  # may also finish, if the value is held in memory
            self._write_whole_replies()

    def _next_unstarted_stream(self) -> StreamingReply | None:
        """The streamed reply that is next in order, if it is not begun."""
        if not self.slots or self.state >= LINGERING:
            return None
        stream = self.slots[0].stream
        return stream if stream is not None and not stream.is_started else None

    def _write_whole_replies(self) -> None:
        replies: list[bytes] = []
        while self.slots and self.slots[0].reply is not None:
            slot = self.slots.popleft()
            self.pending_bytes -= slot.size
            replies.append(slot.reply or b"")
        if replies and self.state < LINGERING:
            had_unsent, unsent_before = bool(self.unsent), len(self.unsent)
            self.unsent += replies[0] if len(replies) == 1 else b"".join(replies)
            self.server.unsent_bytes += len(self.unsent) - unsent_before
            if not had_unsent:
                self.last_progress_at = now_ms()
                self._send()
            self.server.note_use(self)
            if self.server.unsent_bytes > self.server.max_unsent_bytes:
                self.server.close_slowest_reader()

    def write_chunk(self, streaming_reply: StreamingReply, data: bytes | bytearray | memoryview) -> None:
        """Write a piece of the streamed reply that is next in order."""
        had_unsent = bool(self.unsent)
        self.unsent += data
        self.server.unsent_bytes += len(data)
        if not had_unsent:
            self.last_progress_at = now_ms()
            self._send()
        if self.state < LINGERING and len(self.unsent) > self.server.high_water_bytes():
            streaming_reply.pause_source()

    def _send(self) -> None:
        try:
            sent = self.socket.send(self.unsent)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            return self.close(CloseReason.CLIENT_LEFT)
        if sent:
            self.last_progress_at = now_ms()
        del self.unsent[:sent]
        self.server.unsent_bytes -= sent
        if bool(self.unsent) != self.is_writing:
            self.is_writing = not self.is_writing
            if self.is_writing:
                self.watcher.start_writing(self._on_writable)
            else:
                self.watcher.stop_writing()

    def _update_reading(self) -> None:
        if self.state < LINGERING and (should_read := not self._is_blocked()) != self.is_reading:
            self.is_reading = should_read
            if should_read:
                self.watcher.start_reading(self._on_readable)
            else:
                self.watcher.stop_reading()

    def refuse_protocol(self, reason: str) -> None:
        """Refuse malformed input with an error reply; earlier commands still get their replies.

        Later input cannot be parsed, as the boundary of the command is unknown.
        """
        slot = Slot(self)
        slot.answered, slot.reply = True, b"-ERR protocol error\r\n"
        self.slots.append(slot)
        self.state = FLUSHING
        self.server.refusals[reason] += 1

    def handle_command(self, args: list[bytes]) -> None:
        """Handle one complete command: a request goes to the handler, anything else is answered here."""
        body, was_skipped = self.reader.take_body(), self.reader.take_skipped()
        slot = Slot(self, sum(map(len, args)) + (len(body) if body else 0))
        if body is not None:
            slot.body_grant_bytes = self.body_grant.hand_over()
        self.pending_bytes += slot.size
        self.slots.append(slot)
        verb = args[0].upper()
        self.awaits_first_request = self.awaits_first_request and verb in SETUP_COMMANDS
        if verb in REQUEST_VERBS:
            if was_skipped:
                self.server.refusals["no memory for its value"] += 1
                self.server.note_request(self)
                slot.class_name = self.server.find_class(args)
                is_repeat = len(args) > 2 and self.server.may_have_run(args[2])
                return slot.answer(b"-ERR failed\r\n" if is_repeat else b"-BUSY\r\n")
            if self.server.handler.is_shedding and (early_refusal := self.server.refuse_early(args)):
                slot.class_name, reply = early_refusal
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

    # ---- end of the connection ----

    def end_within_value(self) -> None:
        """End the connection after what is written of a streamed value that broke.

        Earlier replies may still be unsent, or in flight: an immediate close would destroy them.
        """
        self._record_unanswered(CloseReason.VALUE_BROKEN, len(self.slots) - 1)
        self._abandon_commands(CloseReason.VALUE_BROKEN)
        self.state = max(self.state, FLUSHING)
        self.advance()

    @property
    def is_closed(self) -> bool:
        return self.state == CLOSED

    def is_passing_value(self, now: float) -> bool:
        """Whether a long value is under way: its backend gives, or its client takes what was given.

        A backend that gives nothing is noticed by its own connection, which then ends the value.
        """
        if not self.streaming_replies and not (self.has_streamed and self.unsent):
            return False
        return not self.unsent or now - self.last_progress_at <= FINISHING_STALL_TIMEOUT_MS

    @property
    def is_idle(self) -> bool:
        """No command is open or waits for its turn, and no reply is unsent."""
        return self.state == OPEN and not self.slots and not self.unsent and not self.is_deferred

    def is_overdue(self, now: float) -> bool:
        """Whether a command is incomplete after its deadline."""
        return self.state == OPEN and self.command_deadline is not None and now > self.command_deadline

    @property
    def is_awaiting_input(self) -> bool:
        """A command is incomplete, and waits for the client or for memory."""
        return self.is_reading or self.reader.wanted_body_bytes > 0

    @property
    def is_at_rest(self) -> bool:
        """Idle, and no command is partly received."""
        return self.is_idle and not self.reader.buffered_bytes

    def close_if_disconnected(self) -> bool:
        """Close the connection if its client has disconnected; returns whether it has ended.

        A blocked connection is not read, and no connection is read in time while the event loop is late; the
        end may also lie behind unread bytes. Only the kernel's TCP state shows it.
        """
        if self.state < LINGERING:
            if get_tcp_state(self.socket) not in (TCP_ESTABLISHED, UNKNOWN_STATE):
                self.close(CloseReason.CLIENT_LEFT)
        return self.state >= LINGERING

    def close_if_idle(self, room: bool = False) -> None:
        """Read what has arrived, then end the connection if it is idle.

        `room`: its descriptor is needed, so it is closed without lingering; its last reply arrived long ago.
        """
        if self.is_idle and self.is_reading:
            self._on_readable()
        if self.is_at_rest or (room and self.is_idle and not self.server.draining):
            if room:
                self.close(CloseReason.ROOM_NEEDED)
            else:
                self.start_lingering()

    def close_for_drain(self) -> None:
        """End the connection in a drain, if it is idle and its client has had time for a first request."""
        if self.state != OPEN or not self.server.draining:
            return
        deadline = self._first_request_deadline()
        if deadline > now_ms():
            self.server.timers.call_at(deadline, self.close_for_drain)
        else:
            self.close_if_idle()

    def _first_request_deadline(self) -> float:
        """Until when a drain waits for the first request of this connection.

        The request may be in flight: if the connection were closed, its client could not know whether it was
        read.
        """
        if self not in self.server.without_request:
            return -math.inf
        grace_ends_at = self.last_used_at + UNUSED_CONNECTION_GRACE_MS
        if not self.awaits_first_request:
            return grace_ends_at
        latest = self.server.drain_began_at + MAX_FIRST_REQUEST_WAIT_MS
        return max(grace_ends_at, min(self.last_used_at + COMMAND_TIMEOUT_MS, latest))

    def finish_commands(self) -> None:
        """Read what has arrived and handle no later commands; the connection ends after its last reply."""
        while self.state == OPEN and self.is_deferred:
            self.take_turn()
        if self.state == OPEN and self.is_reading:
            self._on_readable()
        while self.state == OPEN and self.is_deferred:
            self.take_turn()
        if self.state == OPEN:
            self.state = FLUSHING
            self.advance()

    def check_timeouts(self, now: float) -> None:
        """Apply all timeouts, and detect a client that has disconnected."""
        if self.state == LINGERING:
            if now > self.last_progress_at + LINGER_TIMEOUT_MS:
                self.close(CloseReason.LINGER_ENDED)
        elif not self.is_reading and self.close_if_disconnected():
            return
        elif self.unsent and now > self.stall_deadline():
            self.server.refusals["client does not read its replies"] += 1
            self.close(CloseReason.REPLIES_UNREAD)
        elif self.is_overdue(now) and self.is_awaiting_input:
            if 0 < self.reader.wanted_body_bytes <= MAX_VALUE_BYTES:
                return self._skip_body()
            if self.is_reading:
                self._on_readable()  # the rest may have arrived while the event loop was late
            if self.is_at_rest:
                # No error reply: if the first request is in flight, the client would take the error for its
                # reply.
                self.close_if_idle()
            elif self.is_overdue(now):
                self.refuse_protocol("command timeout")
                self.advance()
        elif self.is_idle and now - self.last_used_at > IDLE_TIMEOUT_MS:
            self.close_if_idle()

    def get_latest_end(self) -> float:
        """When the present state must have ended, in Unix milliseconds. Infinite while only requests wait."""
        if self.state == LINGERING:
            return self.last_progress_at + LINGER_TIMEOUT_MS
        if self.unsent:
            return self.stall_deadline()
        if self.state == FLUSHING and not self.slots:
            return self.last_progress_at
        if self.state == OPEN and self.command_deadline is not None and self.is_awaiting_input:
            return self.command_deadline
        return math.inf

    def stall_deadline(self) -> float:
        """When the connection is closed unless the client reads something of its replies before."""
        timeout_ms = STREAM_STALL_TIMEOUT_MS if self.streaming_replies else WRITE_STALL_TIMEOUT_MS
        return self.last_progress_at + timeout_ms

    def start_lingering(self) -> None:
        """Shut down the sending side, then discard what arrives until the client closes."""
        self.state, self.command_deadline, self.last_progress_at = LINGERING, None, now_ms()
        self.reader = CommandReader()
        self._count_unparsed()
        self.body_grant.cancel()
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            return self.close(CloseReason.CLIENT_LEFT)
        self.server.add_lingering(self)
        self.is_reading = True
        self.watcher.start_reading(self._discard)

    def _discard(self) -> None:
        try:
            count = self.socket.recv_into(self.server.read_buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            count = 0
        self.discarded_bytes += count
        if not count or self.discarded_bytes > MAX_LINGER_BYTES:
            self.close(CloseReason.LINGER_ENDED)

    def close(self, reason: CloseReason) -> None:
        """Close the socket, release all resources, and report open requests to the handler."""
        if self.is_closed:
            return
        self._record_unanswered(reason, len(self.slots) + bool(self.unsent))
        self.state = CLOSED
        self.watcher.close()
        self.socket.close()
        self.server.remove_connection(self)
        self.server.unsent_bytes -= len(self.unsent)
        self.unsent = bytearray()
        self.server.streaming_replies -= self.streaming_replies
        self.streaming_replies = 0
        self.reader = CommandReader()
        self._count_unparsed()
        self.body_grant.cancel()
        self._abandon_commands(reason)

    def _record_unanswered(self, reason: CloseReason, count: int) -> None:
        if count:
            self.server.request_stats.record_unanswered(reason.value, count)

    def _abandon_commands(self, reason: CloseReason) -> None:
        """Give up all commands without a reply, and report open requests to the handler."""
        slots, self.slots = self.slots, deque()
        for slot in slots:
            slot.discard()
            if slot.request is not None:
                self.server.request_stats.events.record(EventKind.CLIENT_CLOSED, slot.request, reason.value)
                self.server.handler.on_client_gone(slot.request)
