"""The parts of ordered rates that each gateway spends without asking. Pure.

A gateway of n has 1/n of what allocators do not give out. It begins with nothing: one that restarted does
not know what it sent before, and time gives it back what that can have been.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from roadpulley.fleet.duties.terms import MonotonicTime

from .messages import Order


@dataclass(slots=True)
class TokenBucket:
    """Units; `rate` a second."""

    rate: float
    burst: float
    level: float
    filled_at: MonotonicTime

    def fill(self, now: MonotonicTime) -> None:
        self.level = min(self.burst, self.level + max(0.0, now - self.filled_at) * self.rate)
        self.filled_at = max(now, self.filled_at)


class EvenShares:
    """`part`: of each rate that is split evenly, among so many processes."""

    def __init__(self, share_ratio: float, among: int) -> None:
        self.part = share_ratio / max(1, among)
        self.buckets: dict[str, TokenBucket] = {}

    def set_orders(self, now: MonotonicTime, orders: Iterable[Order]) -> None:
        """Other orders: what is spent of a limit stays spent, also where it is lifted and ordered again."""
        for order in orders:
            if order.kind != "rate":
                continue
            rate, burst = self.part * order.rate, self.part * order.burst
            bucket = self.buckets.setdefault(order.limit_name, TokenBucket(rate, burst, 0.0, now))
            bucket.fill(now)
            bucket.level += burst - bucket.burst if burst < bucket.burst else 0.0
            bucket.rate, bucket.burst = rate, burst

    def try_take(self, now: MonotonicTime, limit: str, units: float) -> bool:
        bucket = self.buckets.get(limit)
        if bucket is None:
            return False
        bucket.fill(now)
        if bucket.level < units:
            return False
        bucket.level -= units
        return True

    def put_back(self, limit: str, units: float) -> None:
        """What was taken for a request that another limit refused."""
        bucket = self.buckets[limit]
        bucket.level = min(bucket.burst, bucket.level + units)
