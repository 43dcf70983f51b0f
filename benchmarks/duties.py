"""Drawn timelines of faults over fleets of real processes, and how long nobody holds a duty after each kind.

    python benchmarks/duties.py --timelines 500 --jobs 8
    python benchmarks/duties.py --explore          # the lease machine in larger small worlds

Every history is judged: no act taken up under a lower fence after a higher one, no two holders that both
believe it by their clocks. Seconds of gaps are of this machine; safety is not.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any

from report import markdown, quantile, report

from roadpulley.fleet.duties.terms import LeaseTimes
from roadpulley.testbed.fleet import Fleet, FleetPlan
from roadpulley.testbed.lease_model import Broken, Limits, Model
from roadpulley.testbed.timelines import drawn, play, rates

OUT = Path(__file__).resolve().parent / "out"
SIZES = (3, 5, 9)
SECONDS = 5.0  # in which the faults of a timeline begin
LONGEST_S = 120.0  # of one timeline: what takes longer is stuck
GAP_KINDS = ("SIGKILL", "SIGSTOP", "cut off", "planned")
LEASE = 2.0  # of the plays that measure gaps

WORLDS = {
    "nothing fails": Limits(ticks=7, restarts=0, tries=2, asks=3, late=0, lost=0),
    "one lost": Limits(ticks=5, restarts=0, tries=1, asks=2, late=0, lost=1),
    "two lost": Limits(ticks=4, restarts=0, tries=1, asks=2, late=0, lost=2),
    "one late": Limits(ticks=4, restarts=0, tries=1, asks=2, late=1, lost=0),
    "one late and once more": Limits(ticks=4, restarts=0, repeats=1, tries=1, asks=1, late=1, lost=0),
    "one lost, one late": Limits(ticks=3, restarts=0, tries=1, asks=1, late=1, lost=1),
    "a voter restarts": Limits(ticks=6, restarts=1, tries=1, asks=2, late=0, lost=0),
    "two restarts": Limits(ticks=5, restarts=2, tries=1, asks=1, late=0, lost=0),
    "all voters restart": Limits(ticks=7, restarts=0, wipes=1, tries=1, asks=2, late=0, lost=0),
    "a candidate restarts": Limits(ticks=5, restarts=0, reboots=1, tries=1, asks=2, late=0, lost=0),
    "a restart and a loss": Limits(ticks=5, restarts=1, tries=1, asks=1, late=0, lost=1),
}


def plan_of(size: int, seed: int, **more: Any) -> FleetPlan:
    voters = 3 if size < 5 else 5
    return FleetPlan(voters=voters, others=size - voters, duties=4, seed=seed, **more)


def timeline(size: int, seed: int) -> dict[str, Any]:
    """One play; what it showed."""
    plan = plan_of(size, seed, state=bool(seed % 2), pause=0.0 if seed % 3 else 0.08)
    events = drawn(plan, seed, SECONDS)
    found: dict[str, Any] = {"size": size, "seed": seed, "events": [e.words() for e in events]}

    async def run(folder: Path) -> None:
        async with Fleet(plan, folder) as fleet:
            async with asyncio.timeout(LONGEST_S):
                await play(fleet, events, rates(plan, seed))
            judged = fleet.judge()
            found.update(
                broken=judged.broken, holdings=judged.holdings, acts=judged.acts, refused=judged.refused
            )

    with tempfile.TemporaryDirectory() as place:
        try:
            asyncio.run(run(Path(place)))
        except TimeoutError as error:
            found["stuck"] = str(error)
    return found


def gaps(kind: str, seed: int) -> list[float]:
    """Seconds without an act of each duty of a holder to whom this happens."""
    out: list[float] = []

    async def run(folder: Path) -> None:
        plan = FleetPlan(duties=6, lease=LEASE, seed=seed, every=0.01)
        async with Fleet(plan, folder) as fleet:
            await fleet.start()
            await fleet.all_held()
            await asyncio.sleep(1 + random.Random(seed).random())
            holder = fleet.holder("duty-0")
            assert holder is not None
            theirs = [d for d in plan.duty_names if fleet.holder(d) == holder]
            rest = [n for n in plan.names if n != holder]
            began = time.clock_gettime(time.CLOCK_BOOTTIME)
            if kind == "SIGKILL":
                fleet.kill(holder)
            elif kind == "SIGSTOP":
                fleet.stop(holder)
            elif kind == "cut off":
                fleet.links.part((holder,), rest)
            else:
                fleet.members[holder].signal(signal.SIGTERM)
            await fleet.until(lambda: all(fleet.holder(d) != holder for d in theirs), "all taken over")
            await fleet.all_held()
            for duty in theirs:
                at = [a.at for a in fleet.register.acts if a.duty == duty and a.taken]
                out.append(max(y - x for x, y in zip(at, at[1:], strict=False) if y > began))

    with tempfile.TemporaryDirectory() as place:
        asyncio.run(run(Path(place)))
    return out


def explore(name: str, most: int) -> tuple[str, int, int, bool, str]:
    times = LeaseTimes(lease=3.0, drift=0.0, margin=0.0, answer=1.0, claim=100.0)
    try:
        return name, *Model(times, WORLDS[name]).explore(most), ""
    except Broken as broken:
        return name, 0, 0, False, str(broken)


def play_all(args: argparse.Namespace) -> dict[str, Any]:
    results, began = [], time.monotonic()
    with ProcessPoolExecutor(args.jobs) as pool:
        todo = [
            pool.submit(timeline, size, args.seed + n * 10)
            for n in range(args.timelines // len(SIZES) + 1)
            for size in SIZES
        ]
        for done in as_completed(todo):
            results.append(done.result())
            last = results[-1]
            if last.get("broken") or last.get("stuck"):
                print(last, flush=True)
            if len(results) % 50 == 0:
                print(f"{len(results)} timelines after {time.monotonic() - began:.0f} s", flush=True)
    rows = []
    for size in SIZES:
        of = [r for r in results if r["size"] == size]
        kinds = Counter(e.split()[2] for r in of for e in r["events"])
        rows.append(
            {
                "processes": size,
                "timelines": len(of),
                "faults": sum(kinds.values()),
                "holdings": sum(r.get("holdings", 0) for r in of),
                "acts": sum(r.get("acts", 0) for r in of),
                "late acts refused": sum(r.get("refused", 0) for r in of),
                "broken": sum(len(r.get("broken", ())) for r in of),
                "stuck": sum("stuck" in r for r in of),
            }
        )
    return {"rows": rows, "plays": results}


def gaps_all(args: argparse.Namespace) -> list[dict[str, Any]]:
    rows = []
    with ProcessPoolExecutor(max(1, args.jobs // 2)) as pool:
        for kind in GAP_KINDS:
            found = [g for each in pool.map(gaps, [kind] * args.gaps, range(args.gaps)) for g in each]
            rows.append(
                {
                    "fault": kind,
                    "gaps": len(found),
                    "p50 s": round(quantile(found, 0.5), 3),
                    "p99 s": round(quantile(found, 0.99), 3),
                    "most s": round(max(found), 3),
                    "lease s": LEASE,
                }
            )
            print(rows[-1], flush=True)
    return rows


def explore_all(args: argparse.Namespace) -> list[dict[str, Any]]:
    rows = []
    with ProcessPoolExecutor(args.jobs) as pool:
        for done in as_completed([pool.submit(explore, name, args.states) for name in WORLDS]):
            name, states, depth, whole, broken = done.result()
            rows.append({"world": name, "states": states, "depth": depth, "whole": whole, "broken": broken})
            print(rows[-1], flush=True)
    return rows


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--timelines", type=int, default=500)
    parser.add_argument("--gaps", type=int, default=30, help="plays of each kind")
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--explore", action="store_true", help="the lease machine, and nothing else")
    parser.add_argument("--states", type=int, default=4_000_000, help="of one world, at most")
    args = parser.parse_args()
    if args.explore:
        rows = explore_all(args)
        return report(markdown(rows), rows, OUT / "duties-explored.json")
    rows = gaps_all(args) if args.gaps else []
    played = play_all(args) if args.timelines else {"rows": [], "plays": []}
    words = "\n\n".join(markdown(each) for each in (rows, played["rows"]) if each)
    return report(words, rows + played["rows"], OUT / "duties.json", plays=played["plays"])


if __name__ == "__main__":
    sys.exit(main())
