"""The duty of the publisher of orders: one instance holds it.

Voters refuse its writes under a lower fence.
"""

from __future__ import annotations

from collections.abc import Callable

from roadpulley.fleet.duties.work import HeldDuty, StaleFenceError

DUTY = "fleet.orders"
FENCE_CHECK_INTERVAL_S = 0.5  # between two checks whether voters refuse the fence


class PublisherWork:
    """`on_start` and `highest_fence` are callbacks of the instance, whose event loop does the rest."""

    def __init__(self) -> None:
        self.on_start: Callable[[HeldDuty], None] | None = None
        self.highest_fence: Callable[[], int] = lambda: 0
        self.duty: HeldDuty | None = None
        self.promised_fence = 0  # a fence above ours that voters have promised

    def claim(self, fence: int, owner: str) -> int | None:
        """Returns a fence that voters would refuse this one for, as far as known here; else None."""
        highest = self.highest_fence()
        return highest if highest >= fence else None

    def act(self, duty: HeldDuty) -> float | None:
        """Starts a publisher once a holding of the duty.

        Raises StaleFenceError if voters have promised a higher fence.
        """
        if duty is not self.duty and self.on_start is not None:
            self.duty = duty
            self.on_start(duty)
        if self.promised_fence > duty.fence:
            # Otherwise the duty would be held and renewed under a fence that voters refuse, while no
            # instance can publish.
            raise StaleFenceError(self.promised_fence)
        return FENCE_CHECK_INTERVAL_S
