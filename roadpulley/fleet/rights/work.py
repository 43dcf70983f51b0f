"""The duty of an allocator: one instance holds it for each partition of the limits."""

from __future__ import annotations

from collections.abc import Callable

from roadpulley.fleet.duties.work import HeldDuty

DUTY = "fleet.rights."  # followed by the number of the partition

StartCallback = Callable[[int, HeldDuty], None]


class AllocatorWork:
    """It has no registers. Its replies carry the fence, and holders refuse a lower one."""

    def __init__(self, partition: int) -> None:
        self.partition = partition
        # Callback of the instance; called in the thread of the work.
        self.on_start: StartCallback | None = None
        self.duty: HeldDuty | None = None

    def claim(self, fence: int, owner: str) -> int | None:
        """Accepts every fence, as there are no registers."""
        return None

    def act(self, duty: HeldDuty) -> float | None:
        """Starts an allocator once a holding of the duty; the event loop of the instance does the rest."""
        if duty is not self.duty and self.on_start is not None:
            self.duty = duty
            self.on_start(self.partition, duty)
        return None
