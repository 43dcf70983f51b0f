"""Counts over several real processes: additions at each, faults between them, what all see after healing."""

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
HEALED_S = 8.0  # until all see the same, on a machine under load; told by the benchmark in quiet


class Adder:
    """Beside one instance; remembers what was surely added."""

    def __init__(self, line: AgentLink, counter: ReplicatedCounter) -> None:
        self.line, self.counter = line, counter
        self.sure: dict[str, float] = dict.fromkeys(NAMES, 0.0)
        self.unsure: dict[str, float] = dict.fromkeys(NAMES, 0.0)

    async def add(self, name: str, amount: float) -> float | None:
        done: asyncio.Future[tuple[Outcome, float]] = asyncio.get_running_loop().create_future()
        self.counter.add(
            name, amount, KEEP_MS, lambda _, outcome, reading: done.set_result((outcome, reading))
        )
        outcome, reading = await done
        sure = outcome is Outcome.OK
        (self.sure if sure else self.unsure)[name] += amount
        return reading if sure else None


async def adders(fleet: Fleet) -> list[Adder]:
    timers, found = Timers(asyncio.get_running_loop()), []
    for name in fleet.plan.names:
        line = AgentLink(fleet.folder / f"run-{name}" / f"{name}.beside")
        await line.open()
        found.append(Adder(line, ReplicatedCounter(line, timers, WAIT_MS)))
    return found


async def some(fleet: Fleet, who: list[Adder], rounds: int) -> None:
    for _ in range(rounds):
        await asyncio.gather(
            *(a.add(fleet.rng.choice(NAMES), fleet.rng.choice((0.5, 1.0, 2.0))) for a in who)
        )
        await asyncio.sleep(0.01)


async def alike(fleet: Fleet, who: list[Adder]) -> dict[str, float]:
    """What all see, once they see the same."""
    end = asyncio.get_running_loop().time() + HEALED_S
    while True:
        views = [[await a.add(name, 0.0) for name in NAMES] for a in who]
        if None not in views[0] and all(view == views[0] for view in views):
            return {name: total for name, total in zip(NAMES, views[0], strict=True) if total is not None}
        assert asyncio.get_running_loop().time() < end, views
        await asyncio.sleep(0.05)


def played(folder: Path, play: Callable[[Fleet, list[Adder]], Awaitable[None]]) -> None:
    async def run() -> None:
        async with Fleet(PLAN, folder) as fleet:
            await fleet.start()
            who = await adders(fleet)
            for adder in who:
                while await adder.add(NAMES[0], 0.0) is None:
                    await asyncio.sleep(0.05)
            await play(fleet, who)
            for adder in who:
                adder.line.close()

    uvloop.run(run())


def sums(who: list[Adder]) -> tuple[dict[str, float], dict[str, float]]:
    """What is surely there, and what may be there as well."""
    sure = {name: sum(a.sure[name] for a in who) for name in NAMES}
    return sure, {name: sure[name] + sum(a.unsure[name] for a in who) for name in NAMES}


def test_two_halves_add_by_themselves_and_come_together(tmp_path: Path) -> None:
    async def play(fleet: Fleet, who: list[Adder]) -> None:
        await some(fleet, who, 20)
        fleet.links.part(fleet.plan.names[:2], fleet.plan.names[2:])
        await some(fleet, who, 30)
        fleet.links.heal()
        views = await alike(fleet, who)
        sure, most = sums(who)
        assert all(sure[name] <= views[name] <= most[name] for name in NAMES)
        assert sum(views.values()) > 200

    played(tmp_path, play)


def test_what_links_lose_repeat_and_reorder_is_added_once(tmp_path: Path) -> None:
    async def play(fleet: Fleet, who: list[Adder]) -> None:
        fleet.links.disturb(loss=0.4, delay_ms=1, jitter_ms=150, repeats=0.4)
        await some(fleet, who, 40)
        fleet.links.disturb()
        views = await alike(fleet, who)
        sure, most = sums(who)
        assert all(sure[name] <= views[name] <= most[name] for name in NAMES)

    played(tmp_path, play)


def test_an_instance_that_is_killed_takes_nothing_back_that_it_had_told(tmp_path: Path) -> None:
    """It restarts with nothing, under another boot; what it had added before stays counted."""

    async def play(fleet: Fleet, who: list[Adder]) -> None:
        await some(fleet, who, 20)
        before = await alike(fleet, who)
        killed = fleet.plan.names[0]
        fleet.kill(killed)
        await fleet.gone(killed)
        await fleet.start(killed)
        while await who[0].add(NAMES[0], 0.0) is None:
            await asyncio.sleep(0.05)
        after = await alike(fleet, who)
        assert after == before
        await some(fleet, who, 10)
        views = await alike(fleet, who)
        sure, most = sums(who)
        assert all(sure[name] <= views[name] <= most[name] for name in NAMES)

    played(tmp_path, play)
