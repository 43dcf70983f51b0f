"""An older build beside this one: on the same files, at the two ends of an upgrade, and in one fleet.

    python benchmarks/mixed_versions.py OLD [--only NAME]

OLD is a checkout of the project. Processes of both builds run in the environment of this script. Each row
is one check; the exit code is 1 where one failed.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
import uvloop
from report import markdown, report

from mintford.interface import Outcome
from roadpulley.checks import ValidationError
from roadpulley.core.clock import Timers, now_ms
from roadpulley.core.discovery import hash_host_name
from roadpulley.fleet.agent_link import AgentLink
from roadpulley.fleet.control import call_agent
from roadpulley.fleet.counts.client import ReplicatedCounter
from roadpulley.fleet.orders.messages import Order
from roadpulley.fleet.rights.messages import Limit
from roadpulley.testbed import terms
from roadpulley.testbed.fleet import Fleet, FleetPlan, Load, Member, Spender
from roadpulley.testbed.installation import Installation
from roadpulley.testbed.limits import Holds, use
from roadpulley.testbed.processes import GatewayProcess
from roadpulley.testbed.scenario import DiscoveryKind, Fault, Scenario
from roadpulley.testbed.scenario import Load as ClientLoad

ROOT = Path(__file__).resolve().parent.parent
OUT = ROOT / "benchmarks" / "out"
TIMEOUT_S = 60.0
POLL_S = 0.05


class CheckFailedError(Exception):
    """A check found a difference between the builds; the text says which."""


@dataclass(frozen=True)
class Build:
    name: str
    folder: Path

    @property
    def environment(self) -> dict[str, str]:
        """Python's, so that `-m roadpulley` is this build's, whatever folder a process starts in."""
        return {"PYTHONPATH": str(self.folder), "PYTHONSAFEPATH": "1"}

    def select(self) -> None:
        """Processes that are started from now on are of this build."""
        os.environ.update(self.environment)

    def run(self, *arguments: str | Path) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "roadpulley.cli", *map(str, arguments)],
            env={**os.environ, **self.environment},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )

    def output(self, *arguments: str | Path) -> str:
        """What a command prints. Raises CheckFailedError if it fails."""
        done = self.run(*arguments)
        if done.returncode:
            command = " ".join(map(str, arguments))
            raise CheckFailedError(
                f"{self.name}: `roadpulley {command}` gave {done.returncode}: {done.stderr.strip()}"
            )
        return done.stdout

    def verify(self) -> None:
        """Raises CheckFailedError if another build's modules would run."""
        code = "import mintford, roadpulley; print(mintford.__file__, roadpulley.__file__)"
        environment = {**os.environ, **self.environment}
        found = subprocess.run(
            [sys.executable, "-c", code], env=environment, capture_output=True, text=True
        ).stdout
        if not all(Path(path).is_relative_to(self.folder) for path in found.split()) or not found.split():
            raise CheckFailedError(f"{self.name}: not from {self.folder}: {found}")


def expect(condition: bool, message: str) -> None:
    if not condition:
        raise CheckFailedError(message)


# ---- settings and stored data ----


def check_settings(builds: Sequence[Build], folder: Path) -> str:
    """Both builds judge every shipped file, and a gateway's configuration, alike."""
    config = folder / "gateway.json"
    settings = terms.DEPLOYMENTS["tiles"].settings(0, 3)
    config.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "127.0.0.1:7001",
                "discovery": "127.0.0.1:7002",
                "counter": "127.0.0.1:7003",
                "seed": f"{7:016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"seq": 1, "hosts": []},
                "settings": settings,
            }
        )
    )
    files = [
        config,
        *sorted((ROOT / "roadpulley" / "testbed").rglob("*.toml")),
        ROOT / "deploy" / "fleet.toml",
    ]
    for file in files:
        codes = [build.run("check", file).returncode for build in builds]
        expect(codes[0] == codes[1], f"{file.name}: {codes}")
    return f"{len(files)} files"


CUSTOMER = "00000000b4d65521"


def write_plans(build: Build, settings: Path) -> None:
    plan: tuple[str | Path, ...] = ("plan", "--settings", settings)
    build.output(*plan, "set", "basic", "--rate=2", "--burst=8", "--price=0.25")
    build.output(*plan, "schedule", "basic", "--rate=3", "--from", "+2h")
    build.output(*plan, "assign", CUSTOMER, "basic", "--note", build.name)
    build.output(*plan, "override", CUSTOMER, "--burst=120", "--until", "+3h")
    build.output("reserve", "--settings", settings, "make", CUSTOMER, "2", "--from", "+1h", "--until", "+2h")


def read_plans(build: Build, settings: Path) -> list[str]:
    plan: tuple[str | Path, ...] = ("plan", "--settings", settings)
    found = [
        build.output(*plan, *words) for words in (("list",), ("history", "basic"), ("history", CUSTOMER))
    ]
    return [*found, build.output("reserve", "--settings", settings, "list", "--customer", CUSTOMER)]


def check_plans(builds: Sequence[Build], folder: Path) -> str:
    """Plans, reservations, the store under them and the feed: each build reads what the other wrote."""
    for first, second in (builds, builds[::-1]):
        place = folder / f"plans-{first.name}"
        place.mkdir()
        settings = place / "plans.toml"
        settings.write_text('store = "book"\nfeed = "feed.json"\npool = 1000\n')
        for writer in (first, second, first):
            write_plans(writer, settings)
            seen = [read_plans(build, settings) for build in builds]
            expect(seen[0] == seen[1], f"after {writer.name}: {seen}")
            dumps = [build.output("store", "dump", place / "book") for build in builds]
            expect(dumps[0] == dumps[1] and bool(dumps[0]), f"after {writer.name}: dumps differ")
            for build in builds:
                build.output("store", "verify", place / "book")
        second.output("store", "compact", place / "book")
        expect(read_plans(first, settings) == seen[0], f"after {second.name} compacted")
    return "written by each, read by both, three turns each way"


def check_usage(builds: Sequence[Build], folder: Path) -> str:
    """Use that one build's gateways count is taken in, shown, closed and verified by the other."""
    settings = folder / "usage.toml"
    settings.write_text('store = "books"\nspool = "spool"\n')
    usage: tuple[str | Path, ...] = ("usage", "--settings", settings)
    scenario = Scenario(
        name="use", seconds=3.0, gateways=1, workers="2", nodes=4, load=ClientLoad(rate=60.0, spread=1)
    )
    before = ""
    os.environ["ROADPULLEY_USAGE"] = str(settings)
    try:
        for counting, billing in (builds, builds[::-1]):
            with selected(lambda _, build=counting: build):
                uvloop.run(played(scenario, stop_gateways=True))
            billing.output(*usage, "collect")
            shown = [build.output(*usage, "show") for build in builds]
            expect(shown[0] == shown[1], f"counted by {counting.name}: {shown}")
            expect(bool(shown[0]) and shown[0] != before, f"counted by {counting.name}: nothing was taken in")
            before = shown[0]
    finally:
        del os.environ["ROADPULLEY_USAGE"]
    first, second = builds
    first.output(*usage, "close", "period-1", "--from", "2020-01-01T00", "--to", "2020-01-02T00")
    for build in builds:
        build.output(*usage, "verify", "period-1")
    second.output(*usage, "close", "period-2", "--from", "2020-01-02T00", "--to", "2020-01-03T00")
    first.output(*usage, "verify", "period-2")
    return f"{len(before.splitlines())} sums from gateways of both"


# ---- gateways ----


@contextlib.contextmanager
def selected(choose: Callable[[str], Build]) -> Iterator[list[str]]:
    """Each start of a gateway is of the build chosen for its name; gives the starts in their order."""
    starts: list[str] = []
    start = GatewayProcess.start

    async def start_chosen(process: GatewayProcess) -> None:
        build = choose(process.name)
        build.select()  # read before the first await of `start`
        starts.append(f"{process.name}:{build.name}")
        await start(process)

    with mock.patch.object(GatewayProcess, "start", start_chosen):
        yield starts


async def played(scenario: Scenario, stop_gateways: bool = False) -> dict[str, Any]:
    """What a scenario brought. Raises CheckFailedError if a rule was broken."""
    async with asyncio.timeout(TIMEOUT_S), Installation(scenario) as world:
        outcome = await world.run()
        expect(outcome.verdict.ok, "\n".join(outcome.verdict.lines()))
        for process in world.gateways.values() if stop_gateways else ():
            process.terminate()
            expect(await process.ended(TIMEOUT_S), f"{process.name} did not end")
        logs = "".join(log.read_text() for log in world.folder.glob("*.log"))
        asks = [one for one in world.ledger.asks if one.how in ("lost", "unreachable")]
        return {"logs": logs, "lost": len(asks), "served": outcome.stats.all.asked}


def check_upgrade(builds: Sequence[Build], folder: Path) -> str:
    """A gateway goes from one build to the other and back under load; no request is lost."""
    faults = tuple(Fault(at, "upgrade", "n0") for at in (2.0, 6.0, 10.0))
    scenario = Scenario(
        name="upgrade", seconds=14.0, gateways=2, faults=faults, load=ClientLoad(rate=80.0), nodes=6
    )
    turns = itertools.cycle(builds)
    with selected(lambda name: next(turns) if name == "n0" else builds[1]) as starts:
        found = uvloop.run(played(scenario))
    handed = found["logs"].count("leases taken over")
    expect(found["lost"] == 0, f"{found['lost']} requests were lost")
    expect(handed >= len(faults), f"{handed} hand-overs of {len(faults)}: {starts}")
    return f"{found['served']} requests, none lost; {' '.join(starts)}; leases taken over {handed} times"


def check_verdicts(builds: Sequence[Build], folder: Path) -> str:
    """Five gateways, two of them old: all hold a verdict on a node that fails."""
    old, new = builds
    of = {f"n{number}": old if number in (1, 3) else new for number in range(5)}
    scenario = Scenario(
        name="verdicts",
        seconds=10.0,
        gateways=len(of),
        workers="1",
        verdicts=True,
        nodes=10,
        discovery=DiscoveryKind(notice_ms=0.0),
        load=ClientLoad(rate=200.0, spread=len(of)),
        faults=(Fault(3.0, "node-fail", "t3", seconds=4.0),),
    )
    failing, held_by = hash_host_name("t3"), set[str]()

    async def watch(world: Installation) -> None:
        while True:
            for name in world.gateways:
                with contextlib.suppress(ValidationError):
                    found = await asyncio.to_thread(call_agent, world.folder / "fleet", name, "verdicts")
                    rows = [row["backend"] for row in found["verdicts"] if row["level"] != "none"]
                    held_by.update({name} if failing in rows else ())
            await asyncio.sleep(POLL_S)

    async def work() -> None:
        async with asyncio.timeout(TIMEOUT_S), Installation(scenario) as world:
            watching = asyncio.create_task(watch(world))
            outcome = await world.run()
            watching.cancel()
            expect(outcome.verdict.ok, "\n".join(outcome.verdict.lines()))

    with selected(of.__getitem__):
        uvloop.run(work())
    expect(held_by == set(of), f"held by {sorted(held_by)} only")
    return "held by all five"


# ---- a fleet ----


class MixedFleet(Fleet):
    """Each instance, and who spends beside it, is of the build that stands for its name."""

    builds: dict[str, Build]

    async def _spawn(self, member: Member) -> asyncio.subprocess.Process:
        self.builds[member.name].select()
        return await super()._spawn(member)

    async def spend_again(self, spender: Spender) -> None:
        self.builds[spender.name].select()
        await super().spend_again(spender)


LIMIT = Limit(40.0, 20.0)
KEY = "paid/acme"
COUNTED = "s1:a"
KEEP_MS = 600_000.0  # longer than the play
PLAN = FleetPlan(voters=5, duties=3, state=True, limit=LIMIT, orders=True, counts=True, orders_holds=4.0)


async def call(fleet: Fleet, name: str, what: str, **args: Any) -> dict[str, Any]:
    end = time.monotonic() + TIMEOUT_S
    while True:
        try:
            return await asyncio.to_thread(call_agent, fleet.folder / f"run-{name}", name, what, **args)
        except ValidationError:
            if time.monotonic() > end:
                raise
        await asyncio.sleep(POLL_S)


async def give(fleet: Fleet, name: str, order: Order) -> None:
    status = await call(fleet, name, "order", order=list(msgspec.to_builtins(order)), lift=False)
    end = time.monotonic() + TIMEOUT_S
    while status["step"] == "waiting" and time.monotonic() < end:
        await asyncio.sleep(POLL_S)
        status = await call(fleet, name, "order-status", ticket=status["ticket"])
    expect(status["step"] == "done", f"order at {name}: {status}")


async def ordered_everywhere(fleet: Fleet, customers: set[str]) -> None:
    end = time.monotonic() + TIMEOUT_S
    while True:
        rows = [(await call(fleet, name, "orders"))["orders"] for name in fleet.plan.names]
        found = [{row["of"].split()[1] for row in each} for each in rows]
        if found == [customers] * len(found):
            return
        expect(time.monotonic() < end, f"orders: {found}")
        await asyncio.sleep(POLL_S)


class Adder:
    """Adds to one counter at one instance, and remembers what was surely added."""

    def __init__(self, line: AgentLink) -> None:
        self.line, self.sure, self.tried = line, 0.0, 0.0
        self.counter = ReplicatedCounter(line, Timers(asyncio.get_running_loop()), 200.0)

    async def add(self, amount: float) -> float | None:
        done: asyncio.Future[tuple[Outcome, float]] = asyncio.get_running_loop().create_future()
        self.counter.add(
            COUNTED, amount, KEEP_MS, lambda _, outcome, total: done.set_result((outcome, total))
        )
        outcome, total = await done
        self.tried += amount
        if outcome is not Outcome.OK:
            return None
        self.sure += amount
        return total


async def counted_everywhere(adders: list[Adder]) -> None:
    end = time.monotonic() + TIMEOUT_S
    while True:
        totals = [await adder.add(0.0) for adder in adders]
        sure, tried = sum(a.sure for a in adders), sum(a.tried for a in adders)
        if None not in totals and len(set(totals)) == 1 and sure <= (totals[0] or 0.0) <= tried:
            return
        expect(time.monotonic() < end, f"counted {totals}, added {sure} to {tried}")
        await asyncio.sleep(POLL_S)


async def swap(fleet: MixedFleet, builds: Sequence[Build], adders: list[Adder]) -> None:
    """Replace one instance after another by the other build, on the state that the first left.

    Counters are in memory only: the next instance ends once the one before has what the others have counted.
    """
    for name in fleet.plan.names:
        await fleet.end(name)
        fleet.builds[name] = builds[fleet.builds[name] is builds[0]]
        await fleet.start(name)
        await fleet.all_held()
        await counted_everywhere(adders)


async def mixed_fleet(builds: Sequence[Build], folder: Path) -> str:
    old, new = builds
    fleet = MixedFleet(PLAN, folder)
    fleet.builds = {name: old if number in (1, 3) else new for number, name in enumerate(PLAN.names)}
    async with fleet:
        await fleet.start()
        await fleet.all_held()
        adders = []
        for name in PLAN.names:
            line = AgentLink(fleet.folder / f"run-{name}" / f"{name}.beside")
            await line.open()
            adders.append(Adder(line))
        for name in PLAN.names[:3]:
            await fleet.spend(name, Load(20.0))
        customers = set[str]()
        for turn in range(3):
            for name in PLAN.names[:2]:
                customers.add(f"customer-{turn}-{name}")
                await give(fleet, name, Order("block", "customer", f"customer-{turn}-{name}"))
            await ordered_everywhere(fleet, customers)
            for _ in range(20):
                await asyncio.gather(*(adder.add(1.0) for adder in adders))
            await counted_everywhere(adders)
            holder = fleet.holder(PLAN.duty_names[0])
            if turn == 0 and holder is not None:  # another instance, of either build, follows it
                fleet.kill(holder)
                await fleet.gone(holder)
                await fleet.start(holder)
                await fleet.all_held()
            if turn == 1:
                await swap(fleet, builds, adders)
        paid = len([wish for wish in fleet.wishes() if wish.paid])
        spent = use(fleet.spends(KEY), [Holds(0.0, LIMIT.rate, LIMIT.burst)])
        expect(spent.over == 0 and spent.units > 0, f"over its limit by {spent.over} of {spent.units} units")
        judged = fleet.judge()
        expect(not judged.broken, "\n".join(judged.broken))
        for adder in adders:
            adder.line.close()
        acts = f"{judged.holdings} holdings, {judged.acts} acts"
        return f"{acts}, {paid} wishes paid, {len(customers)} orders; each instance swapped once"


def check_fleet(builds: Sequence[Build], folder: Path) -> str:
    """Five instances, two of them old: duties, rights, counts, orders; then on each other's state."""
    place = folder / "fleet"
    place.mkdir()
    return asyncio.run(mixed_fleet(builds, place))


CHECKS: dict[str, Callable[[Sequence[Build], Path], str]] = {
    "settings": check_settings,
    "plans and store": check_plans,
    "usage": check_usage,
    "upgrade": check_upgrade,
    "verdicts": check_verdicts,
    "fleet": check_fleet,
}


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("old", type=Path, metavar="OLD")
    parser.add_argument("--only", choices=CHECKS)
    options = parser.parse_args()
    builds = Build("old", options.old.resolve()), Build("new", ROOT)
    for build in builds:
        build.verify()
    rows = []
    for name, check in CHECKS.items():
        if options.only in (None, name):
            with tempfile.TemporaryDirectory(prefix="mixed-") as folder:
                began = now_ms()
                try:
                    result, found = "passed", check(builds, Path(folder))
                except (
                    CheckFailedError,
                    ValidationError,
                    TimeoutError,
                    subprocess.TimeoutExpired,
                    OSError,
                ) as error:
                    traceback.print_exc()
                    result, found = "FAILED", f"{type(error).__name__}: {error}"
                rows.append(
                    {
                        "check": name,
                        "result": result,
                        "s": round((now_ms() - began) / 1000, 1),
                        "found": found,
                    }
                )
                print(f"{name}: {result}: {found}", file=sys.stderr, flush=True)
    report(markdown(rows), rows, OUT / "mixed_versions.json", old=str(options.old))
    return 1 if any(row["result"] != "passed" for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
