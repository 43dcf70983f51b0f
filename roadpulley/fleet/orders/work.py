"""Publishing orders as a duty: one instance does it. What it touches are the voters, which keep books."""

from __future__ import annotations

from collections.abc import Callable

from roadpulley.fleet.duties.work import HeldDuty, StaleFenceError

DUTY = "fleet.orders"
FENCE_CHECK_INTERVAL_S = 0.5  # between two looks whether voters refuse the fence


class PublisherWork:
    """`begins` and `highest` are the instance's own: the loop of the instance does all else."""

    def __init__(self) -> None:
        self.on_start: Callable[[HeldDuty], None] | None = None
        self.highest_fence: Callable[[], int] = lambda: 0
        self.duty: HeldDuty | None = None
        self.promised_fence = 0  # a higher fence that voters have promised

    def claim(self, fence: int, owner: str) -> int | None:
        """Voters refuse a fence below one that they promised; what is known of that here is told at once."""
        highest = self.highest_fence()
        return highest if highest >= fence else None

    def act(self, duty: HeldDuty) -> float | None:
        if duty is not self.duty and self.on_start is not None:
            self.duty = duty
            self.on_start(duty)
        if self.promised_fence > duty.fence:
            # Danger: a fence that voters refuse would be held, and renewed, while nobody publishes.
            raise StaleFenceError(self.promised_fence)
        return FENCE_CHECK_INTERVAL_S
