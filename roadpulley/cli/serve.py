"""`roadpulley serve`: one gateway as several workers on one address, kept running by a supervisor."""

from __future__ import annotations

import argparse
import logging
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import uvloop

from roadpulley.checks import ValidationError
from roadpulley.core.validation import validate_gateway_config

from . import frame
from .check import parsed
from .frame import option

if TYPE_CHECKING:
    from roadpulley.fleet.agent import Agent

MAX_WORKERS = 256


def command() -> click.Command:
    params = [
        option("--config", metavar="FILE", help="As LB_CONFIG; the default is what that names."),
        option("--workers", metavar="N or FILE", default="1", help="Read again on SIGHUP if a file."),
        option("--plans", metavar="FILE", help="Follow the feed of plans that deploy/plans.toml names."),
        option("--usage", metavar="FILE", help="Count use into the spool that deploy/usage.toml names."),
        option("--fleet", metavar="FILE", help="Take part in the fleet that deploy/fleet.toml names."),
        option("--name", metavar="NAME", help="Which instance of the fleet this gateway is."),
    ]
    return frame.command("serve", run, "Run a gateway as several workers on one address.", params)


def workers(given: str) -> int:
    """The number of workers, from a number or from a file that holds one. Raises ValidationError."""
    text = given
    if not given.isdecimal():
        try:
            text = Path(given).read_text().strip()
        except OSError as error:
            right = "give a number or a file that holds one"
            raise ValidationError("--workers", f"is {given!r} ({error.strerror})", right) from error
    if not text.isdecimal() or not 1 <= int(text) <= MAX_WORKERS:
        raise ValidationError("--workers", f"is {text!r}", f"give a number from 1 to {MAX_WORKERS}")
    return int(text)


def run(args: argparse.Namespace) -> int:
    from roadpulley.core.settings import ConfigError
    from roadpulley.workers.service import SupervisorService

    from .fleet import workers_use

    path = args.config or os.environ.get("LB_CONFIG")
    form = "%(asctime)s %(levelname)s %(name)s: %(message)s"
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format=form)

    agent: Agent | None = None

    def check_settings(settings: dict[str, Any]) -> None:
        if agent is None:
            return
        found = agent.settings
        if any(part is not None for part in (found.rights, found.counts, found.orders, found.verdicts)):
            workers_use(agent, settings)

    async def supervise() -> None:
        service = SupervisorService(str(path), lambda: workers(args.workers), check_settings=check_settings)
        if agent is not None:
            from .fleet import beside

            await beside(service, agent)
        else:
            await service.run()

    try:
        if not path:
            raise ValidationError(
                "--config", "is missing, and LB_CONFIG is not set", "name the gateway's configuration"
            )
        raw = parsed(Path(path))
        validate_gateway_config(raw).reject_unknown_keys()
        workers(args.workers)
        if args.plans:
            from roadpulley.plans.settings import read_settings

            read_settings(Path(args.plans))
            os.environ["ROADPULLEY_PLANS"] = str(Path(args.plans).resolve())  # for the workers
        if args.usage:
            from roadpulley.usage.settings import read_settings as read_usage

            read_usage(Path(args.usage))
            os.environ["ROADPULLEY_USAGE"] = str(Path(args.usage).resolve())
        if args.fleet:
            from .fleet import instance, structured

            agent = instance(Path(args.fleet), args.name)
            check_settings(raw["settings"])
            structured()
        uvloop.run(supervise())
    except (ValidationError, ConfigError) as error:
        print(f"roadpulley serve: {error}", file=sys.stderr)
        return 2
    return 0
