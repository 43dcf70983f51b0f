"""Learns how long a connection to a backend may be idle before a request on it is likely to be lost."""

from __future__ import annotations

import bisect

IDLE_BUCKETS_MS = (100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, float("inf"))
PRIOR_REQUESTS = 5.0  # added to each bucket as requests without a loss: a few losses are no evidence
MAX_EXCESS_LOSS_RATIO = 0.15  # above the loss ratio of new connections
DECAY_RATIO = 0.9  # of the counts that remains after each sweep


class IdleLimit:
    """The idle time after which a connection is no longer used, learned from the loss of requests.

    Backends close idle connections at the latest after the keep-alive time of the settings. Some of them, or
    middleboxes, drop them silently much earlier. If requests on connections above some idle time are lost
    more often than on new connections, connections are only reused below that idle time.
    """

    def __init__(self) -> None:
        # Decayed counts by idle time. The last entry is for new connections.
        self.requests = [0.0] * (len(IDLE_BUCKETS_MS) + 1)
        self.losses = [0.0] * (len(IDLE_BUCKETS_MS) + 1)
        self.limit = IDLE_BUCKETS_MS[-1]

    def record(self, idle_ms: float | None, lost: bool) -> None:
        """Records whether a request was lost on a connection that had been idle for `idle_ms`; None: new."""
        bucket = (
            -1
            if idle_ms is None
            else bisect.bisect_left(IDLE_BUCKETS_MS, idle_ms, hi=len(IDLE_BUCKETS_MS) - 1)
        )
        self.requests[bucket] += 1
        self.losses[bucket] += lost
        if lost:
            self.update_limit()

    def decay(self) -> None:
        """Ages the counts, so that longer idle times are tried again."""
        self.requests = [DECAY_RATIO * count for count in self.requests]
        self.losses = [DECAY_RATIO * count for count in self.losses]
        self.update_limit()

    def update_limit(self) -> None:
        """Sets the limit to the bucket below the first one with too many losses."""
        baseline = self.losses[-1] / (self.requests[-1] + PRIOR_REQUESTS)
        self.limit = IDLE_BUCKETS_MS[-1]
        for bucket in range(1, len(IDLE_BUCKETS_MS)):
            if (
                self.losses[bucket] / (self.requests[bucket] + PRIOR_REQUESTS)
                > baseline + MAX_EXCESS_LOSS_RATIO
            ):
                self.limit = IDLE_BUCKETS_MS[bucket - 1]
                break
