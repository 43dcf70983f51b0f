"""Reply slots of a client connection: replies are written in the order of the commands, whole or streamed."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from roadpulley.core.command import HeldSink, Sink, Source

from .close_reasons import CloseReason
from .held_value import HeldValue

if TYPE_CHECKING:
    from .connection import ClientConnection

# Bounds of the high-water mark of a streamed value, however many values are streamed at once.
MIN_HIGH_WATER_BYTES = 4 * 1024
MAX_HIGH_WATER_BYTES = 64 * 1024


class Slot:
    """The reply of one command, in its place among the replies of the connection.

    `size`: bytes of the command.
    """

    __slots__ = (
        "answered",
        "connection",
        "body_grant_bytes",
        "class_name",
        "held_value",
        "stream",
        "reply",
        "request",
        "size",
    )

    def __init__(self, connection: ClientConnection, size: int = 0) -> None:
        self.connection, self.size = connection, size
        self.reply: bytes | None = None
        self.request: str | None = None  # id of the request while it is open
        self.class_name: str | None = None  # class of the request, if known
        self.answered = False
        self.body_grant_bytes = 0  # bytes that its body holds of the memory budget
        self.stream: StreamingReply | None = None  # the reply, if it is streamed
        self.held_value: HeldValue | None = None  # the source of the stream, if it is held in memory

    def has_commands_behind(self) -> bool:
        """Whether a value that breaks while it is sent takes the answers of other commands with it."""
        return self.connection.has_commands_behind(self)

    def begin_streaming(self, length: int, source: Source) -> Sink:
        """Start a streamed reply of `length` bytes.

        `request` stays set until the stream ends, so that a disconnect is still reported to the handler.
        """
        return self._start_stream(length, source)

    def get_stream_deadline(self) -> float:
        """When the connection is closed unless the client takes a byte before.

        Infinite while the stream waits for earlier replies: these have deadlines of their own.
        """
        if self.stream is None or not self.stream.is_started:
            return math.inf
        return self.connection.stall_deadline()

    def close_connection(self) -> None:
        """End the connection at once, as the answer can't go on."""
        self.connection.close(CloseReason.OVERDUE)

    def hold_value(self, length: int, source: Source) -> HeldValue:
        """Start to receive a value that is not sent yet. Any other answer may still be given."""
        return HeldValue(self.connection.server.held_value_budget, length, source)

    def answer_held(self, value: HeldSink) -> None:
        """Give a whole value that was held. Later replies are ignored."""
        assert isinstance(value, HeldValue)
        if self.answered:
            return value.release()
        self.request, self.held_value = None, value
        stream = self._start_stream(value.length, value)
        stream.pause_source()  # until the earlier replies are written
        value.send_to(stream)
        self.connection.advance()

    def pass_on(self, value: HeldSink) -> None:
        """Send a value that was held as it comes from now on. Later replies are ignored."""
        assert isinstance(value, HeldValue)
        if self.answered:
            return value.release()
        self.held_value = value
        stream = self._start_stream(value.length, value)
        stream.pause_source()  # until the earlier replies are written
        value.forward_to(stream)
        self.connection.advance()

    def _start_stream(self, length: int, source: Source) -> StreamingReply:
        self.answered = True
        self.stream = StreamingReply(self, length, source)
        self.connection.streaming_replies += 1
        self.connection.server.streaming_replies += 1
        return self.stream

    def answer(self, reply: bytes) -> None:
        """Give the whole reply, as RESP. Later replies are ignored."""
        if not self.answered:
            self.answered, self.reply, self.request = True, reply, None
            if self.class_name is not None:
                self.connection.server.request_stats.record_answer(self.class_name, reply)
            if self.body_grant_bytes:
                self.release_body_grant()
            self.connection.advance()

    def is_client_gone(self, ask: bool) -> bool:
        """Whether the client has disconnected.

        `ask`: query the kernel even if the connection is being read, as the end may not have been read yet.
        """
        connection = self.connection
        return connection.is_closed or (
            (ask or not connection.is_reading) and connection.close_if_disconnected()
        )

    def discard(self) -> None:
        """Return all memory, as the connection has been closed. No answer is possible afterwards."""
        self.answered, self.stream = True, None
        if self.body_grant_bytes:
            self.release_body_grant()
        if self.held_value is not None:
            self.held_value.release()

    def release_body_grant(self) -> None:
        """Return the memory of the request body to the budget."""
        size, self.body_grant_bytes = self.body_grant_bytes, 0
        self.connection.server.get_body_budget(size).release(size)


class StreamingReply:
    """A reply that is streamed from a backend to a client. The bytes that wait for the client are bounded."""

    __slots__ = ("is_paused", "pending", "slot", "source", "is_started")

    def __init__(self, slot: Slot, length: int, source: Source) -> None:
        self.slot, self.source = slot, source
        self.pending = bytearray(b"$%d\r\n" % length)  # bytes that wait until the earlier replies are written
        self.is_started = self.is_paused = False

    def feed(self, data: bytes | memoryview) -> None:
        """Write a chunk, or keep it until the earlier replies are written."""
        connection = self.slot.connection
        if connection.is_closed:
            return
        if self.is_started:
            return connection.write_chunk(self, data)
        self.pending += data
        if connection.slots[0] is self.slot:
            self.start()
        else:
            self.pause_source()

    def free_bytes(self) -> int:
        """How many bytes may be fed now."""
        connection = self.slot.connection
        return max(
            MIN_HIGH_WATER_BYTES,
            connection.server.high_water_bytes() - len(connection.unsent) - len(self.pending),
        )

    def start(self) -> None:
        """Begin to write: the earlier replies are written."""
        data, self.pending, self.is_started = self.pending, bytearray(), True
        self.slot.connection.write_chunk(self, data)
        self.resume_if_drained()

    def pause_source(self) -> None:
        """Make the backend connection stop reading, once the high-water mark is exceeded."""
        if not self.is_paused:
            self.is_paused = True
            self.source.pause()

    def resume_if_drained(self) -> None:
        """Resume the backend connection at half of the high-water mark."""
        if (
            self.is_paused
            and len(self.slot.connection.unsent) <= self.slot.connection.server.high_water_bytes() // 2
        ):
            self.is_paused = False
            self.source.resume()

    def release(self, reply: bytes) -> None:
        """End the stream: return what it holds, and count the reply under its class."""
        slot, connection = self.slot, self.slot.connection
        if slot.stream is None:
            return  # the client disconnected
        slot.stream, slot.request = None, None
        if slot.body_grant_bytes:
            slot.release_body_grant()
        connection.streaming_replies -= 1
        connection.has_streamed = True
        connection.server.streaming_replies -= 1
        if slot.class_name is not None:
            connection.server.request_stats.record_answer(slot.class_name, reply)

    def finish(self) -> None:
        """All chunks were fed."""
        self.release(b"$")
        self.slot.reply = bytes(self.pending) + b"\r\n"
        self.slot.connection.advance()

    def abort(self) -> None:
        """The backend failed within the value.

        If a part of the value was sent, the client can only learn it from the end of the connection, and no
        later command of the connection can be answered. So no command is handled behind a streamed value.
        """
        slot, connection = self.slot, self.slot.connection
        if slot.stream is None:
            return
        self.release(b"-ERR")
        connection.server.refusals["a long value that broke"] += 1
        if self.is_started:
            connection.end_within_value()
        else:
            slot.reply = b"-ERR failed\r\n"
            connection.advance()
