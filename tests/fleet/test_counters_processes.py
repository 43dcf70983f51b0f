"""Replicated counters over real processes: additions at each, link faults, convergence after healing."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import uvloop

from mintford.interface import Outcome
from roadpulley.core.clock import Timers
from roadpulley.fleet.agent_link import AgentLink
from roadpulley.fleet.counts.client import ReplicatedCounter
from roadpulley.testbed.fleet import Fleet, FleetPlan

pytestmark = pytest.mark.timeout(90)

NAMES = ("s1:a", "s1:b", "s1:c")
KEEP_MS = 60_000.0
WAIT_MS = 200.0
PLAN = FleetPlan(voters=3, others=2, duties=0, counts=True)
CONVERGENCE_TIMEOUT_S = 8.0  # allows for a machine under load


class Adder:
    """A worker of one instance; records confirmed additions and those whose outcome is unknown."""

    def __init__(self, link: AgentLink, counter: ReplicatedCounter) -> None:
        self.link, self.counter = link, counter
        self.confirmed: dict[str, float] = dict.fromkeys(NAMES, 0.0)
        self.uncertain: dict[str, float] = dict.fromkeys(NAMES, 0.0)

    async def add(self, name: str, amount: float) -> float | None:
        done: asyncio.Future[tuple[Outcome, float]] = asyncio.get_running_loop().create_future()
        self.counter.add(
            name, amount, KEEP_MS, lambda _, outcome, reading: done.set_result((outcome, reading))
        )
        outcome, reading = await done
        confirmed = outcome is Outcome.OK
        (self.confirmed if confirmed else self.uncertain)[name] += amount
        return reading if confirmed else None


async def start_adders(fleet: Fleet) -> list[Adder]:
    timers, adders = Timers(asyncio.get_running_loop()), []
    for name in fleet.plan.names:
        link = AgentLink(fleet.folder / f"run-{name}" / f"{name}.beside")
        await link.open()
        adders.append(Adder(link, ReplicatedCounter(link, timers, WAIT_MS)))
    return adders


async def add_randomly(fleet: Fleet, adders: list[Adder], rounds: int) -> None:
    for _ in range(rounds):
        await asyncio.gather(
            *(a.add(fleet.rng.choice(NAMES), fleet.rng.choice((0.5, 1.0, 2.0))) for a in adders)
        )
        await asyncio.sleep(0.01)


async def wait_until_equal(fleet: Fleet, adders: list[Adder]) -> dict[str, float]:
    """Wait until all replicas agree; returns the totals."""
    end = asyncio.get_running_loop().time() + CONVERGENCE_TIMEOUT_S
    while True:
        views = [[await a.add(name, 0.0) for name in NAMES] for a in adders]
        if None not in views[0] and all(view == views[0] for view in views):
            return {name: total for name, total in zip(NAMES, views[0], strict=True) if total is not None}
        assert asyncio.get_running_loop().time() < end, views
        await asyncio.sleep(0.05)


def run_fleet(folder: Path, play: Callable[[Fleet, list[Adder]], Awaitable[None]]) -> None:
    async def run() -> None:
        async with Fleet(PLAN, folder) as fleet:
            await fleet.start()
            adders = await start_adders(fleet)
            for adder in adders:
                while await adder.add(NAMES[0], 0.0) is None:
                    await asyncio.sleep(0.05)
            await play(fleet, adders)
            for adder in adders:
                adder.link.close()

    uvloop.run(run())


def confirmed_bounds(adders: list[Adder]) -> tuple[dict[str, float], dict[str, float]]:
    """Bounds of the totals: confirmed additions, and those plus the additions of unknown outcome."""
    confirmed = {name: sum(a.confirmed[name] for a in adders) for name in NAMES}
    return confirmed, {name: confirmed[name] + sum(a.uncertain[name] for a in adders) for name in NAMES}


def test_both_sides_of_a_partition_add_and_converge_after_healing(tmp_path: Path) -> None:
    async def play(fleet: Fleet, adders: list[Adder]) -> None:
        await add_randomly(fleet, adders, 20)
        fleet.links.part(fleet.plan.names[:2], fleet.plan.names[2:])
        await add_randomly(fleet, adders, 30)
        fleet.links.heal()
        views = await wait_until_equal(fleet, adders)
        confirmed, maximum = confirmed_bounds(adders)
        assert all(confirmed[name] <= views[name] <= maximum[name] for name in NAMES)
        assert sum(views.values()) > 200

    run_fleet(tmp_path, play)


def test_additions_over_lossy_reordering_links_count_once(tmp_path: Path) -> None:
    async def play(fleet: Fleet, adders: list[Adder]) -> None:
        fleet.links.disturb(loss=0.4, delay_ms=1, jitter_ms=150, repeats=0.4)
        await add_randomly(fleet, adders, 40)
        fleet.links.disturb()
        views = await wait_until_equal(fleet, adders)
        confirmed, maximum = confirmed_bounds(adders)
        assert all(confirmed[name] <= views[name] <= maximum[name] for name in NAMES)

    run_fleet(tmp_path, play)


def test_replicated_additions_of_a_killed_instance_stay_counted(tmp_path: Path) -> None:
    """It restarts without state under another boot; the parts that other replicas received stay counted."""

    async def play(fleet: Fleet, adders: list[Adder]) -> None:
        await add_randomly(fleet, adders, 20)
        before = await wait_until_equal(fleet, adders)
        killed = fleet.plan.names[0]
        fleet.kill(killed)
        await fleet.gone(killed)
        await fleet.start(killed)
        while await adders[0].add(NAMES[0], 0.0) is None:
            await asyncio.sleep(0.05)
        after = await wait_until_equal(fleet, adders)
        assert after == before
        await add_randomly(fleet, adders, 10)
        views = await wait_until_equal(fleet, adders)
        confirmed, maximum = confirmed_bounds(adders)
        assert all(confirmed[name] <= views[name] <= maximum[name] for name in NAMES)

    run_fleet(tmp_path, play)
