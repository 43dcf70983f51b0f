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

    __slots__ = ("answered", "connection", "granted", "kind", "long", "reply", "request", "size")

    def __init__(self, connection: ClientConnection, size: int = 0) -> None:
        self.connection, self.size = connection, size
        self.reply: bytes | None = None
        self.request: str | None = None  # the id of a request that is still open
        self.kind: str | None = None  # the class it names, where that is known
        self.answered = False
        self.granted = 0  # bytes of the budget that its body holds
        self.long: StreamingReply | None = None  # its answer, where that comes in pieces

    def begin(self, length: int, source: Source) -> Sink:
        """The client that leaves is told of as before: `request` stays until the value has ended."""
        self.answered = True
        self.long = StreamingReply(self, length, source)
        self.connection.long += 1
        self.connection.server.long += 1
        return self.long

    def answer(self, reply: bytes) -> None:
        if not self.answered:
            self.answered, self.reply, self.request = True, reply, None
            if self.kind is not None:
                self.connection.server.tallies.answered(self.kind, reply)
            if self.granted:
                self.give_back()
            self.connection.pump()

    def gone(self, ask: bool) -> bool:
        connection = self.connection
        return connection.closed or ((ask or not connection.reading) and connection.gone())

    def give_back(self) -> None:
        granted, self.granted = self.granted, 0
        self.connection.server.bodies.give_back(granted)


class StreamingReply:
    """A long value on its way to a client, a piece at a time; what waits for the client is bounded."""

    __slots__ = ("paused", "pending", "slot", "source", "started")

    def __init__(self, slot: Slot, length: int, source: Source) -> None:
        self.slot, self.source = slot, source
        self.pending = bytearray(b"$%d\r\n" % length)  # what waits for the answers before it
        self.started = self.paused = False

    def feed(self, data: bytes | memoryview) -> None:
        connection = self.slot.connection
        if connection.closed:
            return
        if self.started:
            return connection.push(self, data)
        self.pending += data
        if connection.slots[0] is self.slot:
            self.start()
        else:
            self.pause()

    def wants(self) -> int:
        connection = self.slot.connection
        return max(
            MIN_HIGH_WATER_BYTES, connection.server.water() - len(connection.unsent) - len(self.pending)
        )

    def start(self) -> None:
        """The answers before it are written."""
        data, self.pending, self.started = self.pending, bytearray(), True
        self.slot.connection.push(self, data)
        self.room()

    def pause(self) -> None:
        if not self.paused:
            self.paused = True
            self.source.pause()

    def room(self) -> None:
        if self.paused and len(self.slot.connection.unsent) <= self.slot.connection.server.water() // 2:
            self.paused = False
            self.source.resume()

    def leave(self, reply: bytes) -> None:
        slot, connection = self.slot, self.slot.connection
        if slot.long is None:
            return  # the client has gone
        slot.long, slot.request = None, None
        if slot.granted:
            slot.give_back()
        connection.long -= 1
        connection.server.long -= 1
        if slot.kind is not None:
            connection.server.tallies.answered(slot.kind, reply)

    def done(self) -> None:
        self.leave(b"$")
        self.slot.reply = bytes(self.pending) + b"\r\n"
        self.slot.connection.pump()

    def broken(self) -> None:
        """The client can tell only by the end of its connection."""
        if self.slot.long is not None:
            self.leave(b"-ERR")
            self.slot.connection.server.refused["a long value that broke"] += 1
            self.slot.connection.close()
