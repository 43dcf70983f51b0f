"""A long value that is held in memory, and sent to its client once it is whole or may be held no longer.

A streamed value that breaks can only be reported by the end of the client's connection, and that loses the
answers of the commands behind it. A value with commands behind it is therefore held at first. It is the sink
of its backend connection, and once it is sent it is the source of a streamed reply, too.

| state      | memory                                   | next states                     |
| ---------- | ---------------------------------------- | ------------------------------- |
| WAITING    | none granted yet; the backend isn't read | RECEIVING, FORWARDING, RELEASED |
| RECEIVING  | granted                                  | WHOLE, FORWARDING, RELEASED     |
| WHOLE      | granted                                  | RELEASED                        |
| FORWARDING | granted until what was held is sent; the | RELEASED                        |
|            | backend isn't read before that           |                                 |
| RELEASED   | returned                                 | -                               |

When it is forwarded is decided by `core/long_answer.py`.
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
    FORWARDING = "forwarding"
    RELEASED = "released"


SENDING_STATES = (State.WHOLE, State.FORWARDING)


class HeldValue:
    """Collects `length` bytes from `source` under a memory budget, then sends them under flow control."""

    def __init__(self, budget: MemoryBudget, length: int, source: Source) -> None:
        """Raises ValueError if `length` exceeds the whole budget."""
        self.budget, self.length, self.source = budget, length, source
        self.data = bytearray()
        self.state = State.WAITING
        self.reserved_bytes = 0  # of the budget
        self.sink: Sink | None = None  # of the client, while the value is sent
        self.sent_bytes = 0  # of `data`
        self.is_paused = self.is_sending = False  # towards the client
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
        """Keep the next piece of the value, or send it."""
        if self.state in (State.WAITING, State.RECEIVING):
            self.data += data
        elif self.state is State.FORWARDING and self.sink is not None:
            self.sink.feed(data)  # nothing is left of what was held, as the backend is not read before

    def free_bytes(self) -> int:
        """How many bytes can be accepted at a time."""
        return READ_BYTES if self.sink is None else self.sink.free_bytes()

    def finish(self) -> None:
        """The value is complete."""
        if self.state is State.FORWARDING:
            self.state = State.RELEASED
            if self.sink is not None:
                self.sink.finish()
        if self.state is State.WAITING:  # all of it was read before the source could be paused
            self.budget.cancel_wait(self)
        if self.state is not State.RELEASED:
            self.state = State.WHOLE

    def abort(self) -> None:
        """The value was cut off."""
        was_forwarding = self.state is State.FORWARDING
        self.release()
        if was_forwarding and self.sink is not None:
            self.sink.abort()

    # ---- source of the client's reply ----

    def send_to(self, sink: Sink) -> None:
        """Send the whole value to the client. The memory is returned once all of it was accepted."""
        self.sink = sink
        self._send()

    def forward_to(self, sink: Sink) -> None:
        """Send what came so far, and then everything else as it comes."""
        self.sink = sink
        if self.state is State.WAITING:
            self.budget.cancel_wait(self)
        if self.state is not State.WHOLE:
            self.state = State.FORWARDING
            self.source.pause()
        self._send()

    def pause(self) -> None:
        """Stop sending until `resume`."""
        self.is_paused = True
        if self.state is State.FORWARDING:
            self.source.pause()

    def resume(self) -> None:
        """Continue sending after `pause`."""
        self.is_paused = False
        self._send()

    def _send(self) -> None:
        if self.sink is None or self.is_sending:
            return
        self.is_sending = True
        try:
            if self._send_held_part(self.sink):
                self._continue_after_held_part(self.sink)
        finally:
            self.is_sending = False

    def _send_held_part(self, sink: Sink) -> bool:
        """Send of what was held as much as the client takes; return whether that is all."""
        view = memoryview(self.data)
        while not self.is_paused and self.state in SENDING_STATES and self.sent_bytes < len(view):
            piece = view[self.sent_bytes : self.sent_bytes + sink.free_bytes()]
            self.sent_bytes += len(piece)
            sink.feed(piece)
        return self.state in SENDING_STATES and self.sent_bytes == len(view)

    def _continue_after_held_part(self, sink: Sink) -> None:
        if self.state is State.WHOLE:
            self.release()
            return sink.finish()
        self._return_memory()
        if not self.is_paused:
            self.source.resume()

    def _return_memory(self) -> None:
        self.data, self.sent_bytes = bytearray(), 0
        reserved, self.reserved_bytes = self.reserved_bytes, 0
        if reserved:
            self.budget.release(reserved)

    def release(self) -> None:
        """Return the memory. Later calls have no effect."""
        state, self.state = self.state, State.RELEASED
        if state is State.RELEASED:
            return
        if state is State.WAITING:
            self.budget.cancel_wait(self)
        self._return_memory()
