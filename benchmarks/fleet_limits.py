"""Limits of the whole fleet: drawn histories, rights beside the even split, and real processes under faults.

    python benchmarks/fleet_limits.py --drawn 5000
    python benchmarks/fleet_limits.py --against
    python benchmarks/fleet_limits.py --processes 20 --seconds 20
    python benchmarks/fleet_limits.py --gateways 8 --seconds 20

What is spent is judged beside one exact store; `used` is the part of the burst that was used at once at the
most, of all that is promised 1. Seconds and shares are of this machine, a limit that is kept is not.
"""

from __future__ import annotations

import argparse
import asyncio
import heapq
import random
import sys
import tempfile
import time
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import uvloop
from report import markdown, quantile, report, side_by_side

from mintford.ceilings import Ceiling
from mintford.interface import Plan as QuotaPlan
from roadpulley.fleet.peers.envelope import MAC_BYTES
from roadpulley.fleet.rights.allocator import Allocator
from roadpulley.fleet.rights.holder import Holder
from roadpulley.fleet.rights.messages import Limit, RightsReply, RightsRequest, Times
from roadpulley.testbed.auditor import Bucket
from roadpulley.testbed.fleet import Fleet, FleetPlan, Load
from roadpulley.testbed.installation import Installation, Outcome
from roadpulley.testbed.limits import Holds, Spent, use
from roadpulley.testbed.quotas import uses
from roadpulley.testbed.rights_world import World, draw_adversarial_plan, draw_plan
from roadpulley.testbed.scenario import DiscoveryKind, Fault, Scenario
from roadpulley.testbed.scenario import Load as ClientLoad

OUT = Path(__file__).resolve().parent / "out"
KEY = "paid/acme"
TRIP_S = 0.001  # between two instances, one way
HEAD_BYTES = 60 + MAC_BYTES  # of a datagram around its bodies
SETTLED_S = 5.0

# The dearest plan of the fleet benchmark: quota, ceiling and the units of a request.
DEAREST = QuotaPlan("large", rate=9.5, burst=24.0, ceiling_rate=19.0, ceiling_burst=48.0)
UNITS = (0.5, 0.5, 1.0, 1.0, 2.0)
FLOOR = 0.3  # of a ceiling: split evenly, spent without a right


# ---- drawn histories ----


def history(job: tuple[str, int]) -> dict[str, Any]:
    kind, seed = job
    world = World((draw_plan if kind == "drawn" else draw_adversarial_plan)(seed), seed)
    found = world.run()
    return {"kind": kind, "seed": seed, "over": found.over, "used": found.tight, "spent": found.units}


def histories(number: int, first: int) -> list[dict[str, Any]]:
    jobs = [(kind, seed) for kind in ("drawn", "sharp") for seed in range(first, first + number // 2)]
    done = side_by_side(history, jobs)
    rows = []
    for kind in ("drawn", "sharp"):
        mine = [d for d in done if d["kind"] == kind]
        rows.append(
            {
                "histories": kind,
                "played": len(mine),
                "over": sum(d["over"] > 0 for d in mine),
                "used at most": round(max(d["used"] for d in mine), 3),
                "used p50": round(quantile([d["used"] for d in mine], 0.5), 3),
                "seeds over": [d["seed"] for d in mine if d["over"] > 0][:9],
            }
        )
    return rows


# ---- rights beside the even split ----


@dataclass(order=True)
class Try:
    at: float
    gateway: int
    units: float


@dataclass
class Tally:
    tries: int = 0
    within: int = 0  # that an exact store of the quota had the units for
    refused: int = 0  # of these
    messages: int = 0
    size: int = 0
    spends: list[Spent] = field(default_factory=list)


def tries(seed: int, gateways: int, seconds: float, load: float, skew: float) -> list[Try]:
    """At one gateway by rank to the power of `skew`; which is first changes every ten seconds."""
    rng, out, at = random.Random(seed), [], 0.0
    weights = [1 / (rank + 1) ** skew for rank in range(gateways)]
    mean = sum(UNITS) / len(UNITS)
    while (at := at + rng.expovariate(load * DEAREST.rate / mean)) < seconds:
        shift = int(at / 10) * 7
        gateway = (rng.choices(range(gateways), weights)[0] + shift) % gateways
        out.append(Try(at, gateway, rng.choice(UNITS)))
    return out


class Split:
    """As today: an even part of the ceiling at each gateway, shared further only where that is no sliver."""

    def __init__(self, gateways: int, part: float = 1.0) -> None:
        unit = max(UNITS)
        terms = DEAREST if part == 1 else scaled(part)
        self.stores = [Ceiling(terms, 1 / gateways, part == 1, 0.0, unit) for _ in range(gateways)]
        self.at = [0.0] * gateways

    def take(self, one: Try) -> bool:
        store = self.stores[one.gateway]
        store.refill(one.at - self.at[one.gateway])
        self.at[one.gateway] = one.at
        if not store.can_pay(one.units, False):
            return False
        store.take(one.units, False)
        return True


def scaled(part: float) -> QuotaPlan:
    rate, burst = part * DEAREST.ceiling_rate, part * DEAREST.ceiling_burst
    return QuotaPlan("part", ceiling_rate=rate, ceiling_burst=burst)


class Rights:
    """A part of the ceiling split evenly, the rest as rights: one allocator, a trip away from each."""

    def __init__(self, gateways: int, floor: float, times: Times) -> None:
        self.floor = Split(gateways, floor) if floor else None
        rest = Limit((1 - floor) * DEAREST.ceiling_rate, (1 - floor) * DEAREST.ceiling_burst)
        self.allocator = Allocator(1, -100.0, {"paid": rest}, times, random.Random(1))
        self.holders = [Holder(n + 1, 1, times) for n in range(gateways)]
        for holder in self.holders:
            holder.handle_announcement(0.0, 0, 1, 1e9)
        self.due: list[tuple[float, int]] = []
        self.messages = self.size = 0

    def take(self, one: Try) -> bool:
        self.pass_time(one.at)
        if self.floor is not None and self.floor.take(one):
            return True
        holder = self.holders[one.gateway]
        paid = holder.try_spend(one.at, KEY, one.units)
        ask = holder.prepare_request(one.at, KEY)
        if ask is not None:
            self.exchange(one.at, holder, ask)
            paid = paid or holder.try_spend(one.at + 2 * TRIP_S, KEY, one.units, is_new=False)
        heapq.heappush(self.due, (holder.next_check_at(), one.gateway))
        return paid

    def pass_time(self, now: float) -> None:
        while self.due and self.due[0][0] <= now:
            at, place = heapq.heappop(self.due)
            holder = self.holders[place]
            for ask in holder.tick(at):
                self.exchange(at, holder, ask)
            if (again := holder.next_check_at()) < float("inf"):
                heapq.heappush(self.due, (max(again, at + 0.005), place))

    def exchange(self, now: float, holder: Holder, ask: RightsRequest) -> None:
        given: RightsReply | None = self.allocator.handle_request(now + TRIP_S, ask)
        assert given is not None
        holder.handle_reply(now + 2 * TRIP_S, given)
        self.messages += 2
        self.size += 2 * HEAD_BYTES + len(msgspec.msgpack.encode(ask)) + len(msgspec.msgpack.encode(given))


def compared(job: tuple[int, float, float, int, float]) -> dict[str, Any]:
    gateways, load, skew, seed, seconds = job
    arrivals = tries(seed, gateways, seconds, load, skew)
    kinds = {
        "even split": Split(gateways),
        f"{FLOOR:g} split, rights": Rights(gateways, FLOOR, Times()),
        "rights alone": Rights(gateways, 0.0, Times()),
    }
    row: dict[str, Any] = {"gateways": gateways, "load": load, "skew": skew, "seed": seed}
    for name, kind in kinds.items():
        found, quota = Tally(), Bucket(DEAREST.rate, DEAREST.burst, 0.0)
        for one in arrivals:
            taken = kind.take(one)
            within = quota.fill(1000 * one.at) >= one.units
            quota.level -= one.units if within else 0.0
            if taken:
                found.spends.append(Spent(one.at, KEY, one.units, name))
            if one.at > SETTLED_S:
                found.tries += 1
                found.within += within
                found.refused += within and not taken
        exact = use(found.spends, [Holds(0.0, DEAREST.ceiling_rate, DEAREST.ceiling_burst)]).least
        row[name] = {
            "within": found.within,
            "refused": found.refused,
            "tries": found.tries,
            "least": exact,
            "messages": getattr(kind, "messages", 0),
            "size": getattr(kind, "size", 0),
        }
    return row


def against(seeds: list[int], seconds: float) -> list[dict[str, Any]]:
    jobs = [
        (gateways, load, skew, seed, seconds)
        for gateways in (20, 40)
        for load in (0.7, 1.0)
        for skew in (0.0, 1.0, 2.0)
        for seed in seeds
    ]
    done = side_by_side(compared, jobs)
    rows = []
    for gateways, load, skew in dict.fromkeys((d["gateways"], d["load"], d["skew"]) for d in done):
        mine = [d for d in done if (d["gateways"], d["load"], d["skew"]) == (gateways, load, skew)]
        row: dict[str, Any] = {"gateways": gateways, "load": load, "skew": skew}
        for name in (n for n in mine[0] if isinstance(mine[0][n], dict)):
            total = {
                k: sum(d[name][k] for d in mine) for k in ("within", "refused", "tries", "messages", "size")
            }
            row[f"{name}: refused %"] = round(100 * total["refused"] / total["within"], 2)
            if total["messages"]:
                row[f"{name}: messages, bytes a try"] = (
                    f"{total['messages'] / total['tries']:.2f}, {total['size'] / total['tries']:.0f}"
                )
            row[f"{name}: over"] = sum(d[name]["least"] < -1e-6 for d in mine)
        rows.append(row)
    return rows


# ---- real processes ----


async def faults(fleet: Fleet, kind: str, seconds: float) -> None:
    """One kind of fault, again and again."""
    names, rng = fleet.plan.names, fleet.rng
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        await asyncio.sleep(0.5 + rng.random())
        some = rng.sample(names, max(1, len(names) // 3))
        if kind == "kill":
            fleet.kill(*some)
            await fleet.gone(*some)
            await fleet.start(*some)
        elif kind == "stop":
            fleet.stop(*some)
            await asyncio.sleep(0.5 + rng.random() * 2)
            fleet.go_on(*some)
        elif kind == "cut":
            fleet.links.part(some, [n for n in names if n not in some])
            await asyncio.sleep(0.5 + rng.random() * 2)
            fleet.links.heal()
        elif kind == "bad links":
            fleet.links.disturb(loss=0.3, delay_ms=2, jitter_ms=150, repeats=0.3)
        elif kind == "spenders restart":
            for spender in rng.sample(fleet.spenders, max(1, len(fleet.spenders) // 3)):
                spender.signal(9)  # type: ignore[arg-type]
                assert spender.process is not None
                await spender.process.wait()
                await fleet.spend_again(spender)


async def under_faults(size: int, kind: str, seconds: float, seed: int, folder: Path) -> dict[str, Any]:
    limit = Limit(60.0, 40.0)
    plan = FleetPlan(voters=5, others=size - 5, duties=0, limit=limit, seed=seed, drift=0.02, lease=2.0)
    async with Fleet(plan, folder) as fleet:
        await fleet.start()
        loads = [60.0, *([90.0 / size] * (size - 1))]  # most of it at one
        for name, load in zip(plan.names, loads, strict=True):
            await fleet.spend(name, Load(load))
        await fleet.until(lambda: len(fleet.spends(KEY)) > 50, "fifty are paid", 60)
        began = time.clock_gettime(time.CLOCK_BOOTTIME)
        if kind != "none":
            await faults(fleet, kind, seconds)
        else:
            await asyncio.sleep(seconds)
        lasted = time.clock_gettime(time.CLOCK_BOOTTIME) - began
        fleet.links.heal()
        fleet.links.disturb()
        await asyncio.sleep(3)
        spends, wishes = fleet.spends(KEY), fleet.wishes()
        found = use(spends, [Holds(0.0, limit.rate, limit.burst)])
        during = [w for w in wishes if began <= w.at < began + lasted]
        paid = [w for w in during if w.paid]
        return {
            "processes": 2 * size,
            "fault": kind,
            "seconds": round(lasted, 1),
            "over": found.over,
            "used": round(found.tight, 2),
            "of the limit": round(sum(w.units for w in paid) / (limit.rate * lasted), 2),
            "paid after p50 ms": round(1000 * quantile([w.after for w in paid], 0.5), 2),
            "p99 ms": round(1000 * quantile([w.after for w in paid], 0.99), 2),
        }


def processes(size: int, seconds: float, seed: int) -> list[dict[str, Any]]:
    rows = []
    for kind in ("none", "kill", "stop", "cut", "bad links", "spenders restart"):
        with tempfile.TemporaryDirectory() as place:
            rows.append(asyncio.run(under_faults(size, kind, seconds, seed, Path(place))))
        print(rows[-1], file=sys.stderr, flush=True)
    return rows


# ---- gateways that serve clients ----

MODES = {
    "counter, even split": {},
    "counter, rights": {"rights": 0.7},
    "peers, even split": {"counts": True},
    "peers, rights": {"counts": True, "rights": 0.7},
}


def served(size: int, mode: str, fault: str, seconds: float, seed: int) -> dict[str, Any]:
    """What customers were let in beside one exact store of each, and whether every rule held."""
    faults = (Fault(0.3 * seconds, fault, seconds=0.4 * seconds),) if fault else ()
    scenario = Scenario(
        name="limits",
        seconds=seconds,
        seed=seed,
        gateways=size,
        workers="1",
        nodes=2 * size,
        discovery=DiscoveryKind(notice_ms=0.0),
        load=ClientLoad(rate=12.0 * size, heavy=0.33, spread=size, retries=1),
        faults=faults,
        **MODES[mode],
    )

    async def work() -> Outcome:
        async with Installation(scenario) as world:
            return await world.run()

    outcome = uvloop.run(work())
    row: dict[str, Any] = {"gateways": size, "mode": mode, "fault": fault or "none"}
    for plan, used in uses(outcome.ledger, outcome.terms, 1000 * SETTLED_S).items():
        row[f"{plan}: let in of due"] = round(used.share, 3)
    row["served"] = round(outcome.stats.all.ends["served"] / outcome.stats.all.asked, 3)
    row["rules"] = "held" if outcome.verdict.ok else "; ".join(outcome.verdict.lines())
    row["over"] = 0 if outcome.verdict.rules["ceilings"].ok else 1
    return row


def gateways(size: int, seconds: float, seeds: list[int]) -> list[dict[str, Any]]:
    rows = []
    for fault in ("", "counter-lost"):
        for mode in MODES:
            rows.append(served(size, mode, fault, seconds, seeds[0]))
            print(rows[-1], file=sys.stderr, flush=True)
    return rows


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--drawn", type=int, default=0, help="histories in virtual time")
    parser.add_argument("--against", action="store_true", help="beside the even split")
    parser.add_argument("--processes", type=int, default=0, help="instances, each with a process that spends")
    parser.add_argument("--gateways", type=int, default=0, help="that serve clients, each with one worker")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument("--out", type=Path, default=OUT / "fleet_limits.json")
    args = parser.parse_args()
    todo = [partial(histories, args.drawn, args.seeds[0])] if args.drawn else []
    todo += [partial(against, args.seeds, 120.0)] if args.against else []
    todo += [partial(processes, args.processes, args.seconds, args.seeds[0])] if args.processes else []
    todo += [partial(gateways, args.gateways, args.seconds, args.seeds)] if args.gateways else []
    code = 0
    for one in todo:
        rows = one()
        code |= report(markdown(rows), rows, args.out)
        code |= any(row.get("over") for row in rows)
    return code


if __name__ == "__main__":
    sys.exit(main())
