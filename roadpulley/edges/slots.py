"""Where an answer goes: its place among those of a connection, whole or in the pieces of a long value."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roadpulley.core.command import Sink, Source

if TYPE_CHECKING:
    from .connection import ClientConnection

MIN_HIGH_WATER_BYTES, MAX_HIGH_WATER_BYTES = (
    4 * 1024,
    64 * 1024,
)  # of a long value that may wait here, however many there are


class Slot:
    """The place of one command among the answers of its connection."""

    __slots__ = (
        "answered",
        "connection",
        "body_grant_bytes",
        "class_name",
        "stream",
        "reply",
        "request",
        "size",
    )

    def __init__(self, connection: ClientConnection, size: int = 0) -> None:
        self.connection, self.size = connection, size
        self.reply: bytes | None = None
        self.request: str | None = None  # the id of a request that is still open
        self.class_name: str | None = None  # the class it names, where that is known
        self.answered = False
        self.body_grant_bytes = 0  # bytes of the budget that its body holds
        self.stream: StreamingReply | None = None  # its answer, where that comes in pieces

    def begin_streaming(self, length: int, source: Source) -> Sink:
        """The client that leaves is told of as before: `request` stays until the value has ended."""
        self.answered = True
        self.stream = StreamingReply(self, length, source)
        self.connection.streaming_replies += 1
        self.connection.server.streaming_replies += 1
        return self.stream

    def answer(self, reply: bytes) -> None:
        if not self.answered:
            self.answered, self.reply, self.request = True, reply, None
            if self.class_name is not None:
                self.connection.server.tallies.record_answer(self.class_name, reply)
            if self.body_grant_bytes:
                self.release_body_grant()
            self.connection.pump()

    def is_client_gone(self, ask: bool) -> bool:
        connection = self.connection
        return connection.is_closed or (
            (ask or not connection.is_reading) and connection.close_if_disconnected()
        )

    def release_body_grant(self) -> None:
        granted, self.body_grant_bytes = self.body_grant_bytes, 0
        self.connection.server.body_budget.release(granted)


class StreamingReply:
    """A long value on its way to a client, a piece at a time; what waits for the client is bounded."""

    __slots__ = ("is_paused", "pending", "slot", "source", "is_started")

    def __init__(self, slot: Slot, length: int, source: Source) -> None:
        self.slot, self.source = slot, source
        self.pending = bytearray(b"$%d\r\n" % length)  # what waits for the answers before it
        self.is_started = self.is_paused = False

    def feed(self, data: bytes | memoryview) -> None:
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
        connection = self.slot.connection
        return max(
            MIN_HIGH_WATER_BYTES,
            connection.server.high_water_bytes() - len(connection.unsent) - len(self.pending),
        )

    def start(self) -> None:
        """The answers before it are written."""
        data, self.pending, self.is_started = self.pending, bytearray(), True
        self.slot.connection.write_chunk(self, data)
        self.resume_if_drained()

    def pause_source(self) -> None:
        if not self.is_paused:
            self.is_paused = True
            self.source.pause()

    def resume_if_drained(self) -> None:
        if (
            self.is_paused
            and len(self.slot.connection.unsent) <= self.slot.connection.server.high_water_bytes() // 2
        ):
            self.is_paused = False
            self.source.resume()

    def release(self, reply: bytes) -> None:
        slot, connection = self.slot, self.slot.connection
        if slot.stream is None:
            return  # the client has gone
        slot.stream, slot.request = None, None
        if slot.body_grant_bytes:
            slot.release_body_grant()
        connection.streaming_replies -= 1
        connection.server.streaming_replies -= 1
        if slot.class_name is not None:
            connection.server.tallies.record_answer(slot.class_name, reply)

    def finish(self) -> None:
        self.release(b"$")
        self.slot.reply = bytes(self.pending) + b"\r\n"
        self.slot.connection.pump()

    def abort(self) -> None:
        """The client can tell only by the end of its connection."""
        if self.slot.stream is not None:
            self.release(b"-ERR")
            self.slot.connection.server.refusals["a long value that broke"] += 1
            self.slot.connection.close()
