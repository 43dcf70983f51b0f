"""Scenarios of a fleet: instances, duties and a timeline of faults, from TOML, checked before anything
starts."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from roadpulley.checks import Table, ValidationError, read_toml

from .fleet import Fleet, FleetPlan
from .holders import Judgement
from .timelines import KINDS, Event, one

FOLDER = Path(__file__).parent / "fleets"
HOLDER = "holder"  # as a target: who holds the first duty when the fault begins
GAP_S = 0.25  # without an act of a duty, from which on it is told


@dataclass(frozen=True)
class FleetScenario:
    name: str
    about: str
    seconds: float
    plan: FleetPlan
    faults: tuple[Event, ...]


def shipped() -> dict[str, Path]:
    return {path.stem: path for path in sorted(FOLDER.glob("*.toml"))}


def load(path: Path) -> FleetScenario:
    """Raises ValidationError with the file and the key."""

    return read_toml(path, lambda raw: read(Table(raw)))


def read(table: Table) -> FleetScenario:
    plan = read_plan(table.read_table("fleet"))
    name, about = table.read_text("name"), table.read_text("about", "")
    seconds = table.read_number("seconds", 10.0, 1, 3600)
    faults = tuple(read_fault(each, plan, seconds) for each in table.read_tables("fault"))
    table.reject_unknown_keys()
    return FleetScenario(name, about, seconds, plan, faults)


def read_plan(table: Table) -> FleetPlan:
    voters, others = table.read_int("voters", 3, 3, 15), table.read_int("others", 0, 0, 64)
    duties, lease = table.read_int("duties", 2, 1, 512), table.read_number("lease_s", 1.5, 0.6, 60)
    seed = table.read_int("seed", 1)
    table.reject_unknown_keys()
    if voters % 2 == 0:
        raise ValidationError(
            table.path_of("voters"), f"is {voters}", "give an odd number, four bear no more than three"
        )
    return FleetPlan(voters=voters, others=others, duties=duties, lease=lease, seed=seed)


def read_fault(table: Table, plan: FleetPlan, seconds: float) -> Event:
    at = table.read_number("at", minimum=0, maximum=seconds)
    kind = table.read_text("kind", choices=KINDS)
    target = table.read_text("target", HOLDER, choices=(HOLDER, *plan.names))
    lasts = table.read_number("for", 1.0, 0.01, 3600)
    part = table.read_number("part", 1.0, 0, 1)
    table.reject_unknown_keys()
    return Event(at, kind, target, lasts, part)


async def run(
    scenario: FleetScenario, say: Callable[[str], None], stop: asyncio.Event, seed: int | None = None
) -> Judgement:
    """Play it, or as much as comes before `stop`; every history is judged whole."""
    with tempfile.TemporaryDirectory() as place:
        async with Fleet(scenario.plan, Path(place)) as fleet:
            await fleet.start()
            lease = scenario.plan.lease
            say(f"{len(scenario.plan.names)} instances begin; voters keep silent for {lease:g} s")
            await fleet.all_held()
            say("every duty is acted on")
            clocks = dict.fromkeys(scenario.plan.names, 1.0)
            work = asyncio.ensure_future(faults(fleet, scenario, clocks, say))
            stopped = asyncio.ensure_future(stop.wait())
            await asyncio.wait({work, stopped}, return_when=asyncio.FIRST_COMPLETED)
            stopped.cancel()
            if work.done():
                work.result()
                await fleet.all_held()
            work.cancel()
            return fleet.judge(GAP_S)


async def faults(
    fleet: Fleet, scenario: FleetScenario, clocks: dict[str, float], say: Callable[[str], None]
) -> None:
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def each(event: Event) -> None:
        await asyncio.sleep(max(0.0, began + event.at - loop.time()))
        who = fleet.holder(fleet.plan.duty_names[0]) if event.who == HOLDER else event.who
        found = Event(event.at, event.kind, who or fleet.plan.names[0], event.seconds, event.part)
        say(f"{found.kind} {found.who}, for {found.seconds:g} s")
        await one(fleet, found, 0.0, clocks)
        say(f"{found.kind} is over")

    await asyncio.gather(*(each(event) for event in scenario.faults))
    await asyncio.sleep(max(0.0, began + scenario.seconds - loop.time()))


def summary(found: Judgement) -> list[str]:
    lines = [f"{found.holdings} holdings, {found.acts} acts, {found.refused} late ones refused"]
    for duty, gaps in sorted(found.gaps.items()):
        longest = ", ".join(f"{until - since:.2f} s" for since, until in gaps)
        lines.append(f"{duty}: nobody acted for {longest}")
    return [*lines, *found.broken]
