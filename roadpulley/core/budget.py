"""A memory budget for messages that have to be buffered whole. It does no I/O.

Memory is reserved before a message is read, in the order of the requests. If many large messages reserved
memory piece by piece, the whole budget could be in use with none of them complete. So each message reserves
all that it needs and is read only after that, and a message that has its reservation can always be completed.
"""

from __future__ import annotations

from collections.abc import Callable


class MemoryBudget:
    """Grants reservations up to `capacity` bytes, first come, first served."""

    def __init__(self, capacity: int) -> None:
        self.capacity, self.reserved = capacity, 0
        self.waiters: dict[object, tuple[int, Callable[[], object]]] = {}  # FIFO: size and callback by owner

    def acquire(self, owner: object, size: int, on_granted: Callable[[], object]) -> bool:
        """Reserves `size` bytes. Returns whether they were granted immediately.

        Otherwise `on_granted` is called once they are. Raises ValueError for more than the whole budget.
        """
        if not 0 < size <= self.capacity:
            raise ValueError(f"{size} of {self.capacity}")
        if not self.waiters and self.reserved + size <= self.capacity:
            self.reserved += size
            return True
        self.waiters[owner] = size, on_granted
        return False

    def release(self, size: int) -> None:
        """Returns a reservation, which may grant waiting ones."""
        self.reserved -= size
        self._grant()

    def cancel_wait(self, owner: object) -> None:
        """Removes the owner from the queue, if it is waiting."""
        if self.waiters.pop(owner, None) is not None:
            self._grant()  # the next waiters may fit now

    def _grant(self) -> None:
        while self.waiters:
            owner, (size, on_granted) = next(iter(self.waiters.items()))
            if self.reserved + size > self.capacity:
                return
            del self.waiters[owner]
            self.reserved += size
            on_granted()
