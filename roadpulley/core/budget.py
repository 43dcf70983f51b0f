"""A budget of memory for what has to be held whole: granted before it comes, in the order of asking. Pure.

Danger: memory that is taken piece by piece by many who each need much ends with all of it taken and none of
them whole. So each asks for all that it needs, and is not read until it has it; whoever has it can finish.
"""

from __future__ import annotations

from collections.abc import Callable


class MemoryBudget:
    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0
        self.waiting: dict[object, tuple[int, Callable[[], object]]] = {}  # in the order of asking

    def ask(self, who: object, size: int, go: Callable[[], object]) -> bool:
        """Whether so much is granted at once; else `go` is called when it is.

        Raises ValueError for more than there is in all.
        """
        if not 0 < size <= self.most:
            raise ValueError(f"{size} of {self.most}")
        if not self.waiting and self.held + size <= self.most:
            self.held += size
            return True
        self.waiting[who] = size, go
        return False

    def give_back(self, size: int) -> None:
        self.held -= size
        self._grant()

    def leave(self, who: object) -> None:
        """Who waits does not any more."""
        if self.waiting.pop(who, None) is not None:
            self._grant()  # those behind may fit

    def _grant(self) -> None:
        while self.waiting:
            who, (size, go) = next(iter(self.waiting.items()))
            if self.held + size > self.most:
                return
            del self.waiting[who]
            self.held += size
            go()
