"""Judges one history of a fleet: who believed that it held what, and what was acted on under which fence.
Pure.

A process believes from `holds` until `stops`, and no longer than the last `until` that it wrote down: a
process that was stopped writes nothing, and its clock still ends its belief. All times are of one clock of
the machine.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from .register import Act


@dataclass
class Belief:
    process: str  # name and boot
    duty: str
    fence: int
    since: float
    until: float

    def words(self) -> str:
        return f"{self.process} held {self.duty} under {self.fence} from {self.since:.3f} to {self.until:.3f}"


@dataclass
class Judgement:
    broken: list[str] = field(default_factory=list)
    holdings: int = 0
    acts: int = 0
    refused: int = 0  # acts under a fence that was too low: late, and harmless
    gaps: dict[str, list[tuple[float, float]]] = field(default_factory=dict)  # by duty: from, until


def read_lines(lines: Iterable[bytes]) -> list[dict[str, Any]]:
    """What one process wrote. A last line that was cut off by its end is passed over."""
    found = []
    for line in lines:
        try:
            raw = json.loads(line)
        except ValueError:
            continue
        if isinstance(raw, dict) and "event" in raw:
            found.append(raw)
    return found


def beliefs(name: str, events: Iterable[dict[str, Any]]) -> list[Belief]:
    """Of one instance, all its processes after each other or side by side."""
    out: list[Belief] = []
    open_: dict[tuple[str, int], Belief] = {}
    untils: dict[tuple[str, int, int], float] = {}
    for e in events:
        if e["event"] not in ("holds", "renews", "stops"):
            continue
        at, duty, boot, fence = float(e["true_s"]), str(e["duty"]), int(e["boot"]), int(e["fence"])
        key = (duty, boot)
        if e["event"] == "renews":
            untils[duty, boot, fence] = max(untils.get((duty, boot, fence), 0.0), float(e["until"]))
            if key in open_ and open_[key].fence == fence:
                open_[key].until = untils[duty, boot, fence]
        elif e["event"] == "holds":
            until = untils.get((duty, boot, fence), math.inf)
            open_[key] = Belief(f"{name}.{boot}", duty, fence, at, until)
            out.append(open_[key])
        elif key in open_:
            held = open_.pop(key)
            held.until = min(held.until, at)
    return out


def judge(held: Iterable[Belief], acts: Iterable[Act], least_gap: float = 0.0) -> Judgement:
    """`least_gap`: seconds without an act of a duty from which on it counts as a gap."""
    found = Judgement()
    by_duty: dict[str, list[Belief]] = {}
    for belief in held:
        found.holdings += 1
        by_duty.setdefault(belief.duty, []).append(belief)
    for rows in by_duty.values():
        _no_overlap(sorted(rows, key=lambda b: b.since), found)
    _fences_rise(acts, found, least_gap)
    return found


def _no_overlap(rows: list[Belief], found: Judgement) -> None:
    last: Belief | None = None
    for belief in rows:
        if belief.until <= belief.since:
            continue
        if last is not None and belief.since < last.until and belief.process != last.process:
            found.broken.append(f"two holders at once: {last.words()}; {belief.words()}")
        if last is not None and belief.fence <= last.fence:
            found.broken.append(f"a fence that did not rise: {last.words()}; {belief.words()}")
        if last is None or belief.until >= last.until:
            last = belief


def _fences_rise(acts: Iterable[Act], found: Judgement, least_gap: float) -> None:
    last: dict[str, Act] = {}
    for act in acts:
        if not act.taken:
            found.refused += 1
            continue
        found.acts += 1
        before = last.get(act.duty)
        if before is not None and act.fence < before.fence:
            found.broken.append(
                f"{act.duty}: {act.words} was taken up under {act.fence}, "
                f"after {before.words} under {before.fence}"
            )
        if before is not None and least_gap and act.at - before.at >= least_gap:
            found.gaps.setdefault(act.duty, []).append((before.at, act.at))
        last[act.duty] = act
