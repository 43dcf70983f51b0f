"""`roadpulley fleet COMMAND`: instances that know each other, duties that one of them holds at a time."""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import os
import signal
import sys
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from roadpulley.checks import ValidationError

from . import frame

if TYPE_CHECKING:
    from roadpulley.fleet.agent import Agent
    from roadpulley.workers.service import SupervisorService

END_S = 8.0  # that an ending gateway waits until its duties are handed over
WORDS = "Instances that know each other, and the duties that one of them holds at a time."
SETTINGS = Path("deploy/fleet.toml")


def command() -> click.Command:
    try:
        from .fleet_orders import group
    except ImportError as error:
        return missing(str(error.name))
    return group


def missing(name: str) -> click.Command:
    """In its place where its libraries are not installed."""

    def run(args: argparse.Namespace) -> int:
        print(f"roadpulley fleet: {name} is missing: install roadpulley[fleet]", file=sys.stderr)
        return 2

    rest = click.Argument(["rest"], nargs=-1, type=click.UNPROCESSED)
    made = frame.command("fleet", run, WORDS, [rest])
    made.ignore_unknown_options = True
    return made


def structured() -> None:
    """Logs of this subsystem: one JSON object a line, on standard error; ROADPULLEY_LOG=debug tells more."""
    import structlog

    from roadpulley.fleet.clock import Clock

    least = logging.DEBUG if os.environ.get("ROADPULLEY_LOG") == "debug" else logging.INFO
    clock = Clock()

    def times(_: Any, __: str, event: Any) -> Any:
        event["true_s"] = round(clock.unscaled_now(), 4)
        return event

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            times,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(least),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def instance(settings: Path, name: str | None) -> Agent:
    """An instance of the fleet, judged whole before anything starts. Raises ValidationError."""
    try:
        from roadpulley.fleet.agent import Agent
        from roadpulley.fleet.settings import check_name, read_settings
        from roadpulley.fleet.works import create_works
    except ImportError as error:
        raise ValidationError("--fleet", f"needs {error.name}", "install roadpulley[fleet]") from error
    found = read_settings(settings)
    if name is None:
        raise ValidationError(
            "--name", "is missing", f"name one of {', '.join(found.known_addresses)}, or another of its own"
        )
    return Agent(found, check_name(name, "--name"), create_works(found, name))


def workers_use(agent: Agent, settings: dict[str, Any]) -> None:
    """Tell the workers of a gateway what of the fleet is for them. Raises ValidationError."""
    from roadpulley.workers.worker import AGENT_SOCKET_ENV, COUNTER_ENV, ORDERS_ENV, VERDICT_INTERVAL_ENV

    os.environ[AGENT_SOCKET_ENV] = str(agent.worker_socket.path.resolve())
    if agent.settings.counts is not None:
        os.environ[COUNTER_ENV] = "1"
    if agent.settings.rights is not None:
        rights(agent, settings)
    if (verdicts := agent.settings.verdicts) is not None:
        os.environ[VERDICT_INTERVAL_ENV] = str(verdicts.report_interval_s)
    if (orders := agent.settings.orders) is not None:
        os.environ[ORDERS_ENV] = json.dumps(asdict(orders.follower_settings))
        lasts(settings, orders.open_lease_s)


def lasts(settings: dict[str, Any], lease: float) -> None:
    """Rights to have a request open have to outlast every request. Raises ValidationError."""
    longest = max((float(c.get("deadline") or 0) for c in settings.get("classes") or ()), default=0.0) / 1000
    if longest * 1.2 > lease:
        right = f"give {longest * 1.2:.1f} or more: a class has a deadline of {longest:g} s"
        raise ValidationError("orders.open_lease_s", f"is {lease:g}", right)


def rights(agent: Agent, settings: dict[str, Any]) -> None:
    """Have the workers of a gateway spend by rights, if its ceilings are those of the fleet.

    Raises ValidationError.
    """
    from roadpulley.workers.worker import RIGHTS_ENV, apply_rights

    found = agent.settings.rights
    assert found is not None
    told = {
        "part": found.ceiling_ratio,
        "limits": {n: [one.rate, one.burst] for n, one in found.limits.items()},
    }
    try:
        apply_rights(settings, told)
    except ValueError as error:
        wrong, _, right = str(error).partition("; ")
        raise ValidationError("rights.limits", wrong, right) from error
    os.environ[RIGHTS_ENV] = json.dumps(told)


async def beside(service: SupervisorService, agent: Agent) -> None:
    """A gateway's supervisor, with an instance of the fleet on the same loop.

    No request passes here, and no worker waits for it: if it breaks, the gateway goes on without.
    """
    running = asyncio.ensure_future(agent.run(service.stopping))
    running.add_done_callback(ended)
    try:
        await service.run()
    finally:
        service.stopping.set()
        await asyncio.wait({running}, timeout=END_S)


def ended(running: asyncio.Future[None]) -> None:
    if not running.cancelled() and (error := running.exception()):
        logging.getLogger("roadpulley.fleet").error("no instance of the fleet any more", exc_info=error)


def agent(settings: Path, name: str) -> int:
    """Run one instance until SIGTERM or SIGINT. Raises ValidationError, OSError."""
    found = instance(settings, name)
    structured()

    async def serve() -> None:
        stop, loop = asyncio.Event(), asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)
        await found.run(stop)

    import uvloop

    uvloop.run(serve())
    return 0
