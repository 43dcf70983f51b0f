"""`roadpulley quota-error CONFIG`: how far limits can be off when links fail, by plan and event."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from typing import Any

import click

from mintford import interface as api
from mintford.reading import read_settings
from roadpulley.checks import ValidationError
from roadpulley.core.validation import validate_gateway_config
from roadpulley.limits.bounds import (
    CHANGES,
    EVENTS,
    Scenario,
    compute_lone_ceiling_ratio,
    compute_sensitivity,
)

from . import frame
from .check import parsed
from .frame import argument, option

WORDS = "How far quotas and ceilings can be off when links fail."


def command() -> click.Command:
    params: list[click.Parameter] = [
        argument("config", type=click.Path(path_type=Path)),
        option("--gateways", type=click.IntRange(1, 10_000), help="That a customer's requests come to."),
        option("--seconds", type=click.FloatRange(0.1, 86_400), default=60.0, help="Of the event."),
        option("--parted", type=click.IntRange(1, 10_000), default=1, help="Gateways that it happens to."),
        option("--json", "as_json", is_flag=True, help="One JSON object on standard output."),
    ]
    return frame.command("quota-error", run, WORDS, params)


def run(args: argparse.Namespace) -> int:
    try:
        raw = parsed(args.config)
        validate_gateway_config(raw).reject_unknown_keys()
        settings = read_settings(raw["settings"])
        rows = [row for plan in settings.plans if plan.rate for row in rows_of(plan, settings, args)]
    except ValidationError as error:
        print(f"roadpulley quota-error: {args.config}: {error}", file=sys.stderr)
        return 2
    ceilings = [ceiling(plan, settings, args) for plan in settings.plans if plan.ceiling_rate]
    if args.as_json:
        print(json.dumps({"quotas": rows, "ceilings": ceilings}))
        return 0
    for row in rows:
        print(words(row))
    for each in ceilings:
        print(
            f"{each['plan']}, hard ceiling: never over; one gateway alone can send on "
            f"{each['alone']:.0%} of it whatever fails"
        )
    return 0


def case_of(plan: api.Plan, settings: api.Settings, args: argparse.Namespace) -> Scenario:
    return Scenario(
        plan, args.gateways or settings.gateways, settings.max_request_units, args.seconds, args.parted
    )


def rows_of(plan: api.Plan, settings: api.Settings, args: argparse.Namespace) -> list[dict[str, Any]]:
    case = case_of(plan, settings, args)
    due = plan.burst + plan.rate * args.seconds
    return [
        {
            "plan": plan.name,
            "event": event,
            "over": round(bound(case).excess_units, 1),
            "over_of_due": round(bound(case).excess_units / due, 3),
            "less": round(min(due, bound(case).shortfall_units), 1),
            "changes": compute_sensitivity(bound, case),
        }
        for event, bound in EVENTS.items()
    ]


def ceiling(plan: api.Plan, settings: api.Settings, args: argparse.Namespace) -> dict[str, Any]:
    alone = compute_lone_ceiling_ratio(case_of(plan, settings, args), settings.rights_ratio)
    return {"plan": plan.name, "over": 0.0, "alone": round(alone, 4)}


def words(row: dict[str, Any]) -> str:
    moved = ", ".join(f"{name} {row['changes'][name]:+.0%}" for name in CHANGES if row["changes"][name])
    return (
        f"{row['plan']}, {row['event']}: up to {row['over']:g} units over ({row['over_of_due']:.0%} of what "
        f"is due), {row['less']:g} less" + (f"; over with {moved}" if moved else "")
    )
