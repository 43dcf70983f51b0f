"""The time of a long answer: until when it is waited for, and whether its backend still gives.

Pure: events and the time go in, deadlines come out. No other part of the program ends a long answer by a time
of its own. Whether a backend gives is judged by the bytes alone. The time of the request doesn't count, as an
answer that has begun has no deadline, and neither does the state of the process.
"""

from __future__ import annotations

import math

# Without a byte for this long, the backend has stopped. Backends may pause for seconds between two pieces.
STALL_TIMEOUT_MS = 5_000.0


class LongAnswer:
    """When the backend of one long answer last gave, and whether its client is waited for instead."""

    __slots__ = ("is_paused", "last_byte_at")

    def __init__(self, now: float) -> None:
        self.last_byte_at = now
        self.is_paused = False

    def record_bytes(self, now: float) -> None:
        """Bytes have come from the backend."""
        self.last_byte_at = now

    def pause(self) -> None:
        """The backend isn't read, because the client or memory is waited for. Its silence says nothing."""
        self.is_paused = True

    def resume(self, now: float) -> None:
        """The backend is read again. Its time begins anew."""
        self.is_paused = False
        self.last_byte_at = now

    def get_stall_deadline(self) -> float:
        """When the backend counts as stopped unless it gives a byte before, in Unix milliseconds."""
        return math.inf if self.is_paused else self.last_byte_at + STALL_TIMEOUT_MS
