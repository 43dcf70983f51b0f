"""Orders over real processes: until they are acknowledged and followed, also when who publishes dies.

    python benchmarks/orders.py [--sizes 5,20] [--orders 30] [--kills 5]
    python benchmarks/orders.py --drawn 2000       # histories in virtual time, judged

Seconds are of this machine. `followed`: at the last instance, by the instances' own logs.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

from report import markdown, quantile, report, side_by_side

from roadpulley.fleet.clock import Clock
from roadpulley.fleet.control import call_agent
from roadpulley.fleet.orders.messages import Order
from roadpulley.fleet.rights.messages import Limit
from roadpulley.testbed import open_world, orders_world
from roadpulley.testbed.fleet import Fleet, FleetPlan
from roadpulley.testbed.holders import read_lines

OUT = Path(__file__).resolve().parent / "out"
LEASE = 2.0
LINKS = {"good": {}, "a tenth lost, 1 to 41 ms": {"loss": 0.1, "delay_ms": 1, "jitter_ms": 40}}


class Play:
    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    async def begun(self, names: list[str]) -> None:
        sockets = [self.fleet.folder / f"run-{name}" / f"{name}.sock" for name in names]
        await self.fleet.until(lambda: all(path.exists() for path in sockets), "all answer operators")

    async def order(self, name: str, order: Order) -> list[int]:
        folder = self.fleet.folder / f"run-{name}"
        values = [getattr(order, field) for field in order.__struct_fields__]
        status = await asyncio.to_thread(call_agent, folder, name, "order", order=values, lift=False)
        while status["step"] == "waiting":
            await asyncio.sleep(0.005)
            status = await asyncio.to_thread(
                call_agent, folder, name, "order-status", ticket=status["ticket"]
            )
        if status["step"] != "done":
            raise RuntimeError(str(status))
        return list(status["id"])

    def lines(self, event: str) -> list[tuple[str, dict[str, Any]]]:
        found = []
        for name, member in self.fleet.members.items():
            if member.log.exists():
                rows = read_lines(member.log.read_bytes().splitlines())
                found += [(name, row) for row in rows if row["event"] == event]
        return found

    def at(self, event: str, id: list[int]) -> dict[str, float]:
        """When each instance first wrote that of a book."""
        seen: dict[str, float] = {}
        for name, row in self.lines(event):
            if row["id"] == id:
                seen.setdefault(name, float(row["true_s"]))
        return seen


async def once(size: int, orders: int, kills: int, links: dict[str, float], folder: Path) -> dict[str, Any]:
    voters = 3 if size < 9 else 5
    plan = FleetPlan(voters=voters, others=size - voters, duties=0, lease=LEASE, orders=True)
    plan = replace(plan, limit=Limit(40.0, 20.0), answer=0.1, period=0.3 if size < 9 else 0.6)
    asked, followed, gaps = [], [], []
    async with Fleet(plan, folder) as fleet:
        play = Play(fleet)
        await fleet.start()
        await play.begun(plan.names)
        await play.order(plan.names[-1], Order("block", "customer", "first"))
        if links:
            fleet.links.disturb(**links)
        now = Clock().unscaled_now
        for n in range(orders):
            began = now()
            id = await play.order(plan.names[n % size], Order("block", "customer", f"c{n % 40}", why=str(n)))
            asked.append(now() - began)
            while len(seen := play.at("orders", id)) < size:
                await asyncio.sleep(0.01)
            followed.append(max(seen.values()) - began)
        fleet.links.disturb()
        for n in range(kills):
            first = max((float(row["true_s"]), name) for name, row in play.lines("publishes orders"))[1]
            other = next(name for name in plan.names if name != first)
            fleet.kill(first)
            began = now()
            await play.order(other, Order("block", "customer", f"k{n}"))
            gaps.append(now() - began)
            await fleet.gone(first)
            await fleet.start(first)
            await play.begun([first])
            await asyncio.sleep(2 * LEASE)

    def ms(values: list[float], share: float) -> str:
        return f"{1000 * quantile(values, share):.0f}"

    return {
        "instances": size,
        "links": next(name for name, each in LINKS.items() if each == links),
        "orders": orders,
        "acknowledged ms p50": ms(asked, 0.5),
        "p99": ms(asked, 0.99),
        "followed by all ms p50": ms(followed, 0.5),
        "p99 ": ms(followed, 0.99),
        "publisher killed: next acknowledged s, p50": f"{quantile(gaps, 0.5):.2f}",
        "most": f"{max(gaps, default=float('nan')):.2f}",
    }


def history(job: tuple[str, int]) -> dict[str, Any]:
    kind, seed = job
    if kind == "open":
        found = open_world.World(open_world.draw_plan(seed), seed).run()
        return {"kind": kind, "broken": found.over > 0, "blank": 0, "tight": found.tight, "done": found.units}
    draw = {
        "usual": orders_world.Draw(),
        "hasty": orders_world.Draw(
            voters=5, others=0, holding=1.0, wishes=4.0, loss=0.25, late=0.25, restarts=0.01
        ),
        "without disks": orders_world.Draw(disk=0.0, restarts=0.04, holding=2.0, wishes=3.0),
    }[kind]
    world = orders_world.World(draw, seed).run()
    done = float(len(world.acknowledged))
    return {"kind": kind, "broken": bool(world.broken), "blank": world.read_blank, "tight": 0.0, "done": done}


def drawn(number: int) -> list[dict[str, Any]]:
    kinds = ("usual", "hasty", "without disks", "open")
    found = side_by_side(history, [(kind, seed) for kind in kinds for seed in range(number)])
    rows = []
    for kind in kinds:
        these = [one for one in found if one["kind"] == kind]
        rows.append(
            {
                "histories": kind,
                "played": len(these),
                "books, or requests": f"{sum(one['done'] for one in these):.0f}",
                "broken": sum(one["broken"] for one in these),
                "of them after voters lost their memory": sum(
                    one["broken"] and one["blank"] > 0 for one in these
                ),
                "the limit used at most": f"{max(one['tight'] for one in these):.2f}",
            }
        )
    return rows


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--sizes", default="5,20")
    parser.add_argument("--orders", type=int, default=30)
    parser.add_argument("--kills", type=int, default=5)
    parser.add_argument("--drawn", type=int, default=0)
    args = parser.parse_args()
    if args.drawn:
        rows = drawn(args.drawn)
        return report(markdown(rows), rows, OUT / "orders_drawn.json")
    rows = []
    for size in map(int, args.sizes.split(",")):
        for links in LINKS.values():
            with tempfile.TemporaryDirectory() as place:
                rows.append(asyncio.run(once(size, args.orders, args.kills, links, Path(place))))
            print(rows[-1], file=sys.stderr, flush=True)
    return report(markdown(rows), rows, OUT / "orders.json")


if __name__ == "__main__":
    sys.exit(main())
