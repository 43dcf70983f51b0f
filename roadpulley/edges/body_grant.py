"""The memory that one client connection holds for a long request body that is being received.

| state    | memory              | ended by                                                    |
| -------- | ------------------- | ----------------------------------------------------------- |
| none     | -                   | a command whose body is long                                |
| waiting  | none granted yet    | the grant, in the order of asking; `cancel`; `give_up` of a |
|          |                     | short body, which is then skipped and its request refused   |
| granted  | granted             | `hand_over` to the slot of the complete command; `cancel`   |
"""

from __future__ import annotations

from collections.abc import Callable

from roadpulley.core.budget import MemoryBudget
from roadpulley.core.clock import now_ms
from roadpulley.core.resp import MAX_VALUE_BYTES

BODY_TIMEOUT_MS = 30_000.0  # for receiving a long body, and for the wait until its memory is granted
SHORT_BODY_WAIT_MS = 1_000.0  # until the memory of a body of up to MAX_VALUE_BYTES is granted


def get_wait_ms(size: int) -> float:
    """How long a body may wait for its memory.

    A short one is refused after that, while its client still waits for the answer.
    """
    return BODY_TIMEOUT_MS if size > MAX_VALUE_BYTES else SHORT_BODY_WAIT_MS


class BodyGrant:
    """Asks a memory budget for one long body at a time. `get_budget`: the budget of bodies of a size."""

    __slots__ = ("budget", "get_budget", "granted_at", "granted_bytes")

    def __init__(self, get_budget: Callable[[int], MemoryBudget]) -> None:
        self.get_budget = get_budget
        self.budget: MemoryBudget | None = None  # of the body that is being received
        self.granted_bytes = 0
        self.granted_at = 0.0

    def request(self, size: int, on_granted: Callable[[], None]) -> bool:
        """Ask for `size` bytes; return whether they are granted at once, without a call of `on_granted`.

        Raises ValueError if the budget can never grant them.
        """

        def grant_later() -> None:
            self._note_grant(size)
            on_granted()

        self.budget = self.get_budget(size)
        is_granted = self.budget.acquire(self, size, grant_later)
        if is_granted:
            self._note_grant(size)
        return is_granted

    def _note_grant(self, size: int) -> None:
        self.granted_bytes, self.granted_at = size, now_ms()

    def get_deadline(self, piece_timeout_ms: float) -> float:
        """Until when the next piece has to come.

        A long body has a timeout between two pieces and one in total, a short one the first of them in total.
        """
        if self.granted_bytes <= MAX_VALUE_BYTES:
            return self.granted_at + piece_timeout_ms
        return min(now_ms() + piece_timeout_ms, self.granted_at + BODY_TIMEOUT_MS)

    def hand_over(self) -> int:
        """The body is complete. Return the granted bytes, which the caller owns from now on."""
        granted_bytes, self.granted_bytes = self.granted_bytes, 0
        return granted_bytes

    def give_up(self) -> None:
        """Withdraw the request for memory. The body is skipped from now on."""
        self.cancel()
        self.granted_at = now_ms()

    def cancel(self) -> None:
        """Return the memory of an incomplete body, or withdraw the request for it."""
        if self.budget is None:
            return
        self.budget.cancel_wait(self)
        if self.granted_bytes:
            self.budget.release(self.hand_over())
