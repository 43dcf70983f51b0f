"""How long connections to backends may stand idle, as learned from what became of requests. Pure."""

from __future__ import annotations

import bisect

IDLE_BUCKETS_MS = (100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, float("inf"))
PRIOR_REQUESTS, MAX_EXCESS_LOSS_RATIO, DECAY_RATIO = (
    5.0,
    0.15,
    0.9,
)  # requests that say nothing yet; losses over the usual; kept each sweep


class IdleLimit:
    """How long a connection may stand idle before a request on it is likely to be lost, as learned.

    Backends close idle connections at the latest after the time in the settings, and some of them, or what
    lies between, drop them unheard after a fraction of it. What becomes of the requests tells: more losses
    than on connections that were new, from some age on, and connections are used no longer than that.
    """

    def __init__(self) -> None:
        self.tried = [0.0] * (
            len(IDLE_BUCKETS_MS) + 1
        )  # of late, by age; the last are connections that were new
        self.lost = [0.0] * (len(IDLE_BUCKETS_MS) + 1)
        self.limit = IDLE_BUCKETS_MS[-1]

    def note(self, age: float | None, lost: bool) -> None:
        """Take in what became of a request; the age is that of its connection when it was sent."""
        place = -1 if age is None else bisect.bisect_left(IDLE_BUCKETS_MS, age, hi=len(IDLE_BUCKETS_MS) - 1)
        self.tried[place] += 1
        self.lost[place] += lost
        if lost:
            self.judge()

    def fade(self) -> None:
        """Forget slowly, so that a longer age is tried again."""
        self.tried = [DECAY_RATIO * count for count in self.tried]
        self.lost = [DECAY_RATIO * count for count in self.lost]
        self.judge()

    def judge(self) -> None:
        usual = self.lost[-1] / (self.tried[-1] + PRIOR_REQUESTS)
        self.limit = IDLE_BUCKETS_MS[-1]
        for place in range(1, len(IDLE_BUCKETS_MS)):
            if self.lost[place] / (self.tried[place] + PRIOR_REQUESTS) > usual + MAX_EXCESS_LOSS_RATIO:
                self.limit = IDLE_BUCKETS_MS[place - 1]
                break
