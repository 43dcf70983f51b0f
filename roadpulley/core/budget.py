"""A budget of memory for what has to be held whole: granted before it comes, in the order of asking. Pure.

Danger: memory that is taken piece by piece by many who each need much ends with all of it taken and none of
them whole. So each asks for all that it needs, and is not read until it has it; whoever has it can finish.
"""

from __future__ import annotations

from collections.abc import Callable


class MemoryBudget:
    def __init__(self, capacity: int) -> None:
        self.capacity, self.reserved = capacity, 0
        self.waiters: dict[object, tuple[int, Callable[[], object]]] = {}  # in the order of asking

    def acquire(self, who: object, size: int, go: Callable[[], object]) -> bool:
        """Whether so much is granted at once; else `go` is called when it is.

        Raises ValueError for more than there is in all.
        """
        if not 0 < size <= self.capacity:
            raise ValueError(f"{size} of {self.capacity}")
        if not self.waiters and self.reserved + size <= self.capacity:
            self.reserved += size
            return True
        self.waiters[who] = size, go
        return False

    def release(self, size: int) -> None:
        self.reserved -= size
        self._grant()

    def cancel_wait(self, who: object) -> None:
        """Who waits does not any more."""
        if self.waiters.pop(who, None) is not None:
            self._grant()  # those behind may fit

    def _grant(self) -> None:
        while self.waiters:
            who, (size, go) = next(iter(self.waiters.items()))
            if self.reserved + size > self.capacity:
                return
            del self.waiters[who]
            self.reserved += size
            go()
