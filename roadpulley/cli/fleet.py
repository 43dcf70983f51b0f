"""`roadpulley fleet COMMAND`: instances that know each other, duties that one of them holds at a time."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from roadpulley.checks import Bad

SETTINGS = Path("deploy/fleet.toml")


def add(commands: Any) -> None:
    words = "instances that know each other, and the duties that one of them holds at a time"
    commands.add_parser("fleet", help=words, add_help=False)


def run(given: Sequence[str]) -> int:
    """0: done; 1: the answer is no; 2: it could not be done."""
    try:
        from .fleet_commands import group
    except ImportError as error:
        print(f"roadpulley fleet: {error.name} is missing: install roadpulley[fleet]", file=sys.stderr)
        return 2
    try:
        return int(group.main(list(given), "roadpulley fleet", standalone_mode=False) or 0)
    except Bad as error:
        print(f"roadpulley fleet: {error}", file=sys.stderr)
        return 2
    except Exception as error:
        import click

        if isinstance(error, click.ClickException):
            error.show()
            return 2
        if isinstance(error, click.exceptions.Exit):
            return error.exit_code
        if isinstance(error, click.Abort):
            return 130
        if isinstance(error, OSError):
            print(f"roadpulley fleet: {error}", file=sys.stderr)
            return 2
        raise


def structured() -> None:
    """Logs of this subsystem: one JSON object a line, on standard error; ROADPULLEY_LOG=debug tells more."""
    least = logging.DEBUG if os.environ.get("ROADPULLEY_LOG") == "debug" else logging.INFO
    import structlog

    from roadpulley.fleet.clock import Clock

    clock = Clock()

    def times(_: Any, __: str, event: Any) -> Any:
        event["true_s"] = round(clock.true(), 4)
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


def agent(settings: Path, name: str) -> int:
    """Run one instance until SIGTERM or SIGINT. Raises Bad, OSError."""
    from roadpulley.fleet.agent import Agent
    from roadpulley.fleet.settings import read_settings
    from roadpulley.fleet.works import works

    found = read_settings(settings)
    structured()
    doable = works(found, name)

    async def serve() -> None:
        stop, loop = asyncio.Event(), asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)
        await Agent(found, name, doable).run(stop)

    import uvloop

    uvloop.run(serve())
    return 0
