"""What a holder does, and what tells it whether it may: each act goes under the fence of its holding."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Protocol

from roadpulley.fences import StaleFenceError

from .terms import MonotonicTime

__all__ = ["HeldDuty", "StaleFenceError", "Work", "WorkCompleted", "WorkError"]


class WorkError(Exception):
    """It can't be done here, or now: one line for people."""


class WorkCompleted(Exception):
    """There is nothing left to do: the duty is let go of, and nobody has to take it."""


class HeldDuty:
    """One holding, as its work sees it, from any thread."""

    def __init__(
        self, name: str, fence: int, until: Callable[[], MonotonicTime], clock: Callable[[], MonotonicTime]
    ) -> None:
        self.name, self.fence, self._until, self._clock = name, fence, until, clock
        self.ended = threading.Event()

    def is_still_held(self) -> bool:
        """Ask it right before each act. Danger: the process may be stopped between this and the act, for as
        long as it takes another to act; what refuses the act then is the fence that goes with it."""
        return not self.ended.is_set() and self._clock() < self._until()


class Work(Protocol):
    """Blocking calls, made from a thread of their own, one at a time for one duty."""

    def claim(self, fence: int, owner: str) -> int | None:
        """Have all registers take the fence up. None: they did; else the highest that one had taken up.

        `owner` tells a holding's own claim, asked again, from another that came by the same number.
        Raises WorkError where one can't be reached.
        """

    def act(self, duty: HeldDuty) -> float | None:
        """One round; gives the seconds until the next, None for as set.

        Raises StaleFenceError, WorkError.
        """
