"""The interface between a held duty and its work. Every act carries the fence of the holding."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Protocol

from roadpulley.fences import StaleFenceError

from .terms import UNKNOWN_FENCE, MonotonicTime

__all__ = ["HeldDuty", "StaleFenceError", "Work", "WorkCompleted", "WorkError"]


class WorkError(Exception):
    """The work can't be done on this instance or at this time; the message is one line for operators."""


class WorkCompleted(Exception):
    """Nothing remains to be done: the duty is released, and no instance has to acquire it."""


class HeldDuty:
    """One holding of a duty, for use by its work. Its methods are thread-safe.

    `previous_fence`: no holding between that fence and this one has existed, unless a voter that granted it
    has restarted since. Such a voter doesn't vote for the `min_silence` of the lease times.
    """

    def __init__(
        self,
        name: str,
        fence: int,
        until: Callable[[], MonotonicTime],
        clock: Callable[[], MonotonicTime],
        previous_fence: int = UNKNOWN_FENCE,
    ) -> None:
        self.name, self.fence, self._until, self._clock = name, fence, until, clock
        self.previous_fence = previous_fence
        self.ended = threading.Event()

    def is_still_held(self) -> bool:
        """Whether the duty is held now; call it right before each act.

        The process may be paused between this check and the act, until another process acts. The register
        rejects the late act by its fence.
        """
        return not self.ended.is_set() and self._clock() < self._until()


class Work(Protocol):
    """The task of a duty. Methods may block: they run in a worker thread, one at a time for each duty."""

    def claim(self, fence: int, owner: str) -> int | None:
        """Claims the fence at all registers; returns None, or the highest fence of one that rejects it.

        `owner` distinguishes a repeated claim of one holding from another claim of the same fence.
        Raises WorkError if a register can't be reached.
        """

    def act(self, duty: HeldDuty) -> float | None:
        """Runs one round; returns the seconds until the next one, or None for the interval of the settings.

        Raises StaleFenceError, WorkError.
        """
