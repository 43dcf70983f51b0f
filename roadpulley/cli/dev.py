"""`roadpulley dev`: a whole installation on this machine, with load, faults on demand and a verdict."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import sys
from dataclasses import asdict, replace
from pathlib import Path

import click
import uvloop

from roadpulley.checks import ValidationError
from roadpulley.testbed.installation import Installation, Outcome, SetupError
from roadpulley.testbed.processes import GatewayExitError
from roadpulley.testbed.scenario import FOLDER, Scenario, find, load, shipped

from . import frame
from .frame import option
from .live import View, make_view

INTERRUPTED = 130
FLEETS = FOLDER.parent / "fleets"
SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)


def command() -> click.Command:
    known = ", ".join(shipped())
    params = [
        option("--scenario", default="calm", metavar="FILE", help=f"A file, or one of: {known}."),
        option("--list", is_flag=True, help="Say what the scenarios that ship are, and end."),
        option("--gateways", type=int, metavar="N"),
        option("--nodes", type=int, metavar="N"),
        option("--rate", type=float, metavar="R", help="Requests a second, all plans together."),
        option("--for", "seconds", type=float, metavar="SECONDS", help="Faults scale with it."),
        option("--seed", type=int, metavar="N"),
        option("--listen", type=int, metavar="PORT", help="Let clients of yours reach gateway n0 here."),
        option("--json", is_flag=True, help="One JSON object on standard output, at the end."),
        option("--plain", is_flag=True, help="Lines, also on a terminal."),
        option("--ledger", metavar="FILE", help="Write what the stand-ins saw, as JSON."),
    ]
    return frame.command("dev", run, "Run an installation on this machine and judge it.", params)


def run(args: argparse.Namespace) -> int:
    try:
        if args.list:
            for path in shipped().values():
                scenario = load(path)
                print(f"{scenario.name:<20} {scenario.seconds:>4.0f} s  {scenario.about}")
            return list_fleets()
        if (found := of_a_fleet(args.scenario)) is not None:
            return uvloop.run(play_fleet(found, args))
        scenario = chosen(args)
        if args.listen is not None and not 1 <= args.listen <= 65535:
            raise ValidationError("--listen", f"is {args.listen}", "give a port from 1 to 65535")
        return uvloop.run(play(scenario, args))
    except (ValidationError, SetupError, GatewayExitError) as error:
        print(f"roadpulley dev: {error}", file=sys.stderr)
        return 2


def list_fleets() -> int:
    try:
        from roadpulley.testbed import fleet_scenario
    except ImportError as error:
        print(f"scenarios of a fleet need {error.name}: install roadpulley[dev]", file=sys.stderr)
        return 0
    for path in fleet_scenario.shipped().values():
        fleet = fleet_scenario.load(path)
        print(f"{fleet.name:<20} {fleet.seconds:>4.0f} s  {fleet.about}")
    return 0


def of_a_fleet(name: str) -> Path | None:
    """The file of a scenario that is played by instances of a fleet, None for one of gateways."""
    own = FLEETS / f"{name}.toml"
    if own.is_file():
        return own
    path = Path(name)
    return path if path.is_file() and "\n[fleet]" in path.read_text(errors="replace") else None


async def play_fleet(path: Path, args: argparse.Namespace) -> int:
    try:
        from roadpulley.testbed import fleet_scenario
    except ImportError as error:
        raise ValidationError(str(path), f"needs {error.name}", "install roadpulley[dev]") from error
    scenario = fleet_scenario.load(path)
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for signum in SIGNALS:
        loop.add_signal_handler(signum, stop.set)
    began = loop.time()

    def say(words: str) -> None:
        print(
            f"{loop.time() - began:6.1f} s  {words}", file=sys.stderr if args.json else sys.stdout, flush=True
        )

    try:
        found = await fleet_scenario.run(scenario, say, stop)
    except TimeoutError as error:
        print(f"roadpulley dev: {error}", file=sys.stderr)
        return 1
    if args.json:
        print(json.dumps(asdict(found)))
    else:
        print("\n".join(fleet_scenario.summary(found)))
        print("every rule held" if not found.broken else "A RULE BROKE", flush=True)
    if found.broken:
        return 1
    return INTERRUPTED if stop.is_set() else 0


def chosen(args: argparse.Namespace) -> Scenario:
    """The scenario that the flags name, checked whole before anything starts."""
    scenario = find(args.scenario)
    for flag, least, most in (
        ("gateways", 1, 64),
        ("nodes", 1, 500),
        ("rate", 0.1, 1e5),
        ("seconds", 1, 86400),
    ):
        value = getattr(args, flag)
        if value is not None and not least <= value <= most:
            name = "for" if flag == "seconds" else flag
            raise ValidationError(f"--{name}", f"is {value:g}", f"give a number from {least:g} to {most:g}")
    if args.seconds is not None:
        scenario = scenario.scaled(args.seconds)
    if args.rate is not None:
        scenario = scenario.with_(load=replace(scenario.load, rate=args.rate))
    return scenario.with_(gateways=args.gateways, nodes=args.nodes, seed=args.seed)


async def play(scenario: Scenario, args: argparse.Namespace) -> int:
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    view = make_view(scenario, quiet=args.json, plain=args.plain)
    for signum in SIGNALS:
        loop.add_signal_handler(signum, stop.set)
    work = asyncio.ensure_future(installed(scenario, args, view, stop))
    stopped = asyncio.ensure_future(stop.wait())
    await asyncio.wait({work, stopped}, return_when=asyncio.FIRST_COMPLETED)
    if not work.done() and not view.started:
        work.cancel()  # nothing has been asked yet: nothing to judge
    try:
        outcome = await work
    except asyncio.CancelledError:
        return INTERRUPTED
    finally:
        stopped.cancel()
        view.close()
    if args.ledger:
        with open(args.ledger, "w") as file:
            json.dump(outcome.ledger.to_json(), file)
    if args.json:
        print(json.dumps(outcome.to_json()))
    else:
        view.summary(outcome)
    if not outcome.verdict.ok:
        return 1
    return INTERRUPTED if stop.is_set() else 0


async def installed(scenario: Scenario, args: argparse.Namespace, view: View, stop: asyncio.Event) -> Outcome:
    async with Installation(scenario, view.event) as world:
        if args.listen is not None:
            await world.open_door(args.listen)
        view.begin(world)
        ticking = asyncio.ensure_future(view.tick())
        try:
            return await world.run(stop)
        finally:
            ticking.cancel()
