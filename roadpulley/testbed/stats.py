"""Counts and latencies of what clients asked, by class and plan. Pure."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field

OUTCOMES = ("served", "refused", "failed", "unanswered")
STEP = 1.02  # each bin of a latency is this much wider than the one before: quantiles are 2% exact
MIN_MS = 0.1


@dataclass
class Latencies:
    """A histogram with bins in a fixed ratio: its size does not grow with the run."""

    bins: dict[int, int] = field(default_factory=dict)
    count: int = 0

    def add(self, ms: float) -> None:
        place = max(0, int(math.log(max(ms, MIN_MS) / MIN_MS) / math.log(STEP)))
        self.bins[place] = self.bins.get(place, 0) + 1
        self.count += 1

    def quantile(self, share: float) -> float:
        """Milliseconds; 0 where nothing was added."""
        seen, wanted = 0, share * self.count
        for place in sorted(self.bins):
            seen += self.bins[place]
            if seen >= wanted:
                return float(MIN_MS * STEP ** (place + 0.5))
        return 0.0


@dataclass
class Row:
    asked: int = 0
    ends: dict[str, int] = field(default_factory=lambda: dict.fromkeys(OUTCOMES, 0))
    served: Latencies = field(default_factory=Latencies)

    def add(self, how: str, ms: float) -> None:
        self.asked += 1
        self.ends[how] += 1
        if how == "served":
            self.served.add(ms)


class Stats:
    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], Row] = defaultdict(Row)  # by class and plan
        self.all = Row()

    def add(self, kind: str, plan: str, how: str, ms: float) -> None:
        self.rows[kind, plan].add(how, ms)
        self.all.add(how, ms)

    def to_json(self) -> dict[str, object]:
        by = [
            {"class": kind, "plan": plan, "asked": row.asked, **row.ends, **self.figures(row)}
            for (kind, plan), row in sorted(self.rows.items())
        ]
        return {"asked": self.all.asked, **self.all.ends, **self.figures(self.all), "by": by}

    @staticmethod
    def figures(row: Row) -> dict[str, float]:
        return {
            "p50_ms": round(row.served.quantile(0.5), 1),
            "p99_ms": round(row.served.quantile(0.99), 1),
        }
