"""Giving out rights as a duty: one instance does it for each part of the limits."""

from __future__ import annotations

from collections.abc import Callable

from roadpulley.fleet.duties.work import HeldDuty

DUTY = "fleet.rights."  # and the number of the part

Begins = Callable[[int, HeldDuty], None]


class AllocatorWork:
    """It has no registers: what acts under its fence are its answers, and holders refuse lower ones."""

    def __init__(self, partition: int) -> None:
        self.partition = partition
        self.on_start: Begins | None = None  # of the instance, called from a thread
        self.duty: HeldDuty | None = None

    def claim(self, fence: int, owner: str) -> int | None:
        return None

    def act(self, duty: HeldDuty) -> float | None:
        """The first round of a holding makes an allocator; the loop of the instance does all else."""
        if duty is not self.duty and self.on_start is not None:
            self.duty = duty
            self.on_start(self.partition, duty)
        return None
