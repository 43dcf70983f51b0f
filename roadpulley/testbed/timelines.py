"""Drawn timelines of faults over a fleet: one seed gives one timeline, in words."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Iterable
from dataclasses import dataclass

from .fleet import Fleet, FleetPlan

KINDS = (
    "kill",
    "stop",
    "cut-off",
    "one-way",
    "halves",
    "thirds",
    "lossy",
    "late",
    "planned",
    "all-restart",
    "twin",
    "busy",
)
STEP_BACK_MS = 3_600_000


@dataclass(frozen=True)
class Event:
    at: float
    kind: str
    who: str
    seconds: float
    part: float = 0.0  # of a loss, or how far a cut goes

    def words(self) -> str:
        return f"{self.at:.2f} s {self.kind} {self.who} for {self.seconds:.2f} s ({self.part:.2f})"


def drawn(plan: FleetPlan, seed: int, seconds: float) -> list[Event]:
    rng = random.Random(seed)
    events = [
        Event(
            rng.uniform(0, seconds),
            rng.choice(KINDS),
            rng.choice(plan.names),
            rng.choice((rng.uniform(0.05, 0.5), rng.uniform(0.5, 3.0))) * plan.lease,
            rng.random(),
        )
        for _ in range(rng.randint(2, 5))
    ]
    return sorted(events, key=lambda e: e.at)


def rates(plan: FleetPlan, seed: int) -> dict[str, float]:
    """Clocks of the processes, as far apart as the settings allow."""
    rng = random.Random(seed + 1)
    return {name: 1 + rng.choice((-1, 1, rng.uniform(-1, 1))) * plan.drift for name in plan.names}


async def play(fleet: Fleet, events: Iterable[Event], clocks: dict[str, float]) -> None:
    """All of them, each in its time, then everything healed and every duty acted on again."""
    loop = asyncio.get_running_loop()
    for name, rate in clocks.items():
        await fleet.start(name, rate=rate)
    await fleet.all_held()
    began = loop.time()
    tasks = [loop.create_task(one(fleet, event, began + event.at, clocks)) for event in events]
    await asyncio.gather(*tasks)
    fleet.links.heal()
    fleet.links.disturb()
    for name, member in fleet.members.items():
        fleet.go_on(name)
        if not member.runs:
            await fleet.start(name, rate=clocks[name])
    await fleet.all_held()


async def one(fleet: Fleet, event: Event, at: float, clocks: dict[str, float]) -> None:
    await asyncio.sleep(max(0.0, at - asyncio.get_running_loop().time()))
    who, rest = event.who, [n for n in fleet.plan.names if n != event.who]
    match event.kind:
        case "kill":
            ending = fleet.members[who].process
            fleet.kill(who)
            await asyncio.sleep(event.seconds)
            await again(fleet, who, clocks, ending)
        case "stop":
            fleet.stop(who)
            await asyncio.sleep(event.seconds)
            fleet.go_on(who)
        case "busy":
            fleet.stall(who)
        case "planned":
            ending = fleet.members[who].process
            fleet.members[who].signal(signal.SIGTERM)
            await asyncio.sleep(event.seconds)
            await again(fleet, who, clocks, ending)
        case "twin":
            if fleet.members[who].runs:
                second = await fleet.start_beside(who)
                await asyncio.sleep(event.seconds)
                second.signal(signal.SIGKILL)
        case "all-restart":
            fleet.kill(*fleet.plan.names)
            await fleet.gone(*fleet.plan.names)
            offset = -STEP_BACK_MS if event.part < 0.5 else 0
            for name in fleet.plan.names:
                if not fleet.members[name].runs:
                    await fleet.start(name, rate=clocks[name], offset_ms=offset)
        case _:
            disturb(fleet, event, who, rest)
            await asyncio.sleep(event.seconds)
            fleet.links.heal()
            fleet.links.disturb()


def disturb(fleet: Fleet, event: Event, who: str, rest: list[str]) -> None:
    if event.kind == "cut-off":
        fleet.links.part((who,), rest)
    elif event.kind == "one-way":
        for other in rest:
            fleet.links.cut(*((who, other) if event.part < 0.5 else (other, who)))
    elif event.kind == "thirds":
        names = fleet.plan.names
        fleet.links.part(names[0::3], names[1::3], names[2::3])
    elif event.kind == "halves":
        cut = max(1, int(len(fleet.plan.names) * event.part))
        fleet.links.part(fleet.plan.names[:cut], fleet.plan.names[cut:])
    elif event.kind == "lossy":
        fleet.links.disturb(loss=event.part * 0.6, repeats=0.2, jitter_ms=60)
    else:
        fleet.links.disturb(delay_ms=event.part * 900, jitter_ms=400, repeats=0.2)


async def again(
    fleet: Fleet, name: str, clocks: dict[str, float], ending: asyncio.subprocess.Process | None
) -> None:
    """Once the one that was told to end is gone; another event may have started the next already."""
    if ending is not None:
        await ending.wait()
    if not fleet.members[name].runs:
        await fleet.start(name, rate=clocks[name])
