"""The memory that one client connection holds for a long request body that is being received.

| state    | memory              | ended by                                                    |
| -------- | ------------------- | ----------------------------------------------------------- |
| none     | -                   | a command whose body is long                                |
| waiting  | none granted yet    | the grant, in the order of asking; `cancel`                 |
| granted  | granted             | `hand_over` to the slot of the complete command; `cancel`   |
"""

from __future__ import annotations

from collections.abc import Callable

from roadpulley.core.budget import MemoryBudget
from roadpulley.core.clock import now_ms

BODY_TIMEOUT_MS = 30_000.0  # for receiving a long body, and for the wait until its memory is granted


class BodyGrant:
    """Asks a memory budget for one long body at a time."""

    __slots__ = ("budget", "granted_at", "granted_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.granted_bytes = 0
        self.granted_at = 0.0

    def request(self, size: int, on_granted: Callable[[], None]) -> bool:
        """Ask for `size` bytes; return whether they are granted at once, without a call of `on_granted`.

        Raises ValueError if the budget can never grant them.
        """

        def grant_later() -> None:
            self._note_grant(size)
            on_granted()

        is_granted = self.budget.acquire(self, size, grant_later)
        if is_granted:
            self._note_grant(size)
        return is_granted

    def _note_grant(self, size: int) -> None:
        self.granted_bytes, self.granted_at = size, now_ms()

    def get_deadline(self, piece_timeout_ms: float) -> float:
        """Until when the next piece has to come: there is a timeout between two pieces and one in total."""
        return min(now_ms() + piece_timeout_ms, self.granted_at + BODY_TIMEOUT_MS)

    def hand_over(self) -> int:
        """The body is complete. Return the granted bytes, which the caller owns from now on."""
        granted_bytes, self.granted_bytes = self.granted_bytes, 0
        return granted_bytes

    def cancel(self) -> None:
        """Return the memory of an incomplete body, or withdraw the request for it."""
        self.budget.cancel_wait(self)
        if self.granted_bytes:
            self.budget.release(self.hand_over())
