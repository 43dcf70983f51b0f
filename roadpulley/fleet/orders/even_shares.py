"""Each gateway's even share of the rates that operators have ordered, spent without a request. Pure.

Each of n gateways has 1/n of the part that allocators do not grant. Its bucket starts empty: a restarted
gateway does not know what it has spent, and its refill covers what that can have been.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from roadpulley.fleet.duties.terms import MonotonicTime

from .messages import Order


@dataclass(slots=True)
class TokenBucket:
    """`burst` and `level` in units, `rate` in units a second."""

    rate: float
    burst: float
    level: float
    filled_at: MonotonicTime

    def fill(self, now: MonotonicTime) -> None:
        """Refills the bucket up to now."""
        self.level = min(self.burst, self.level + max(0.0, now - self.filled_at) * self.rate)
        self.filled_at = max(now, self.filled_at)


class EvenShares:
    """Splits the ratio `share_ratio` of each ordered rate evenly among `process_count` processes."""

    def __init__(self, share_ratio: float, process_count: int) -> None:
        self.process_share = share_ratio / max(1, process_count)
        self.buckets: dict[str, TokenBucket] = {}

    def set_orders(self, now: MonotonicTime, orders: Iterable[Order]) -> None:
        """Applies changed orders. Spent units stay spent, even if an order is lifted and given again."""
        for order in orders:
            if order.kind != "rate":
                continue
            rate, burst = self.process_share * order.rate, self.process_share * order.burst
            bucket = self.buckets.setdefault(order.limit_name, TokenBucket(rate, burst, 0.0, now))
            bucket.fill(now)
            bucket.level += burst - bucket.burst if burst < bucket.burst else 0.0
            bucket.rate, bucket.burst = rate, burst

    def try_take(self, now: MonotonicTime, limit: str, units: float) -> bool:
        """Takes units from the share of a limit; False if the limit is not ordered or it is too small."""
        bucket = self.buckets.get(limit)
        if bucket is None:
            return False
        bucket.fill(now)
        if bucket.level < units:
            return False
        bucket.level -= units
        return True

    def put_back(self, limit: str, units: float) -> None:
        """Puts units back that were taken for a request that another limit refused."""
        bucket = self.buckets[limit]
        bucket.level = min(bucket.burst, bucket.level + units)
