"""A long value that is held in memory until it is whole, and only then sent to its client.

A streamed value that breaks can only be reported by the end of the client's connection, and that loses the
answers of the commands behind it. A value with commands behind it is therefore held. While it is received it
is the sink of its backend connection, and afterwards it is the source of a streamed reply.

| state     | memory              | next states         |
| --------- | ------------------- | ------------------- |
| WAITING   | none granted yet    | RECEIVING, RELEASED |
| RECEIVING | granted             | WHOLE, RELEASED     |
| WHOLE     | granted             | RELEASED            |
| RELEASED  | returned            | -                   |

The wait for memory and the transfer are bounded by the deadline of the request, which ends the attempt.
"""

from __future__ import annotations

from enum import Enum

from roadpulley.core.budget import MemoryBudget
from roadpulley.core.command import Sink, Source

READ_BYTES = 64 * 1024  # accepted at a time while a value is received


class State(Enum):
    """State of a held value."""

    WAITING = "waiting"
    RECEIVING = "receiving"
    WHOLE = "whole"
    RELEASED = "released"


class HeldValue:
    """Collects `length` bytes from `source` under a memory budget, then sends them under flow control."""

    def __init__(self, budget: MemoryBudget, length: int, source: Source) -> None:
        """Raises ValueError if `length` exceeds the whole budget."""
        self.budget, self.length, self.source = budget, length, source
        self.data = bytearray()
        self.state = State.WAITING
        self.reserved_bytes = 0  # of the budget
        self.sink: Sink | None = None  # of the client, while the value is sent
        self.sent_bytes = 0
        self.is_paused = self.is_sending = False
        if budget.acquire(self, length, self._on_granted):
            self._reserve()
        else:
            source.pause()

    def _reserve(self) -> None:
        self.state, self.reserved_bytes = State.RECEIVING, self.length

    def _on_granted(self) -> None:
        self._reserve()
        self.source.resume()

    # ---- sink of the backend connection ----

    def feed(self, data: bytes | memoryview) -> None:
        """Keep the next piece of the value."""
        if self.state in (State.WAITING, State.RECEIVING):
            self.data += data

    def free_bytes(self) -> int:
        """How many bytes can be accepted at a time."""
        return READ_BYTES

    def finish(self) -> None:
        """The value is complete."""
        if self.state is State.WAITING:  # all of it was read before the source could be paused
            self.budget.cancel_wait(self)
        if self.state is not State.RELEASED:
            self.state = State.WHOLE

    def abort(self) -> None:
        """The value was cut off. Nothing of it was sent."""
        self.release()

    # ---- source of the client's reply ----

    def send_to(self, sink: Sink) -> None:
        """Send the whole value to the client. The memory is returned once all of it was accepted."""
        self.sink = sink
        self._send()

    def pause(self) -> None:
        """Stop sending until `resume`."""
        self.is_paused = True

    def resume(self) -> None:
        """Continue sending after `pause`."""
        self.is_paused = False
        self._send()

    def _send(self) -> None:
        if self.sink is None or self.is_sending:
            return
        self.is_sending = True
        view = memoryview(self.data)
        try:
            while not self.is_paused and self.state is State.WHOLE and self.sent_bytes < len(view):
                piece = view[self.sent_bytes : self.sent_bytes + self.sink.free_bytes()]
                self.sent_bytes += len(piece)
                self.sink.feed(piece)
            if self.state is State.WHOLE and self.sent_bytes == len(view):
                self.release()
                self.sink.finish()
        finally:
            self.is_sending = False

    def release(self) -> None:
        """Return the memory. Later calls have no effect."""
        state, self.state = self.state, State.RELEASED
        if state is State.RELEASED:
            return
        self.data = bytearray()
        if state is State.WAITING:
            self.budget.cancel_wait(self)
        elif self.reserved_bytes:
            self.budget.release(self.reserved_bytes)
