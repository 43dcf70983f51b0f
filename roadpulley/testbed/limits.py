"""Judges what all processes together spent of one limit, over every stretch of time. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .auditor import Bucket

ROUNDING = 1e-4  # units, of many sums


@dataclass(frozen=True)
class Spent:
    """`at`: seconds that all processes agree on, right before the act."""

    at: float
    limit: str
    units: float
    by: str


@dataclass(frozen=True)
class Holds:
    """From `since` on a limit has these terms."""

    since: float
    rate: float
    burst: float


@dataclass
class Use:
    """`least`: the lowest that an exact store stood; under 0 by what was spent beyond the limit."""

    units: float = 0.0
    least: float = 0.0
    least_at: float = 0.0
    burst: float = 0.0

    @property
    def over(self) -> float:
        return max(0.0, -self.least - ROUNDING)

    @property
    def tight(self) -> float:
        """How much of the burst was ever used at once: 1 is all that is promised, above it is too much."""
        return 1 - self.least / self.burst


def use(spends: Iterable[Spent], terms: Sequence[Holds]) -> Use:
    """Beside one exact store: it stands at the least where, over some stretch of time, most was spent."""
    now, rest = terms[0], list(terms[1:])
    store = Bucket(now.rate, now.burst, 1000 * now.since)
    found = Use(least=now.burst, burst=now.burst)
    for spent in sorted(spends, key=lambda s: s.at):
        while rest and rest[0].since <= spent.at:
            now, before = rest.pop(0), now
            store.fill(1000 * now.since)
            store.level += max(0.0, now.burst - before.burst)  # what is owed stays owed, and no more
            store.rate, store.burst = now.rate, now.burst
            found.burst = max(found.burst, now.burst)
        store.fill(1000 * spent.at)
        store.level -= spent.units
        found.units += spent.units
        if store.level < found.least:
            found.least, found.least_at = store.level, spent.at
    return found
