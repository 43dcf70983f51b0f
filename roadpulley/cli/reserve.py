"""`roadpulley reserve COMMAND`: units promised to a customer for a time, out of its plan or on top of it."""

from __future__ import annotations

import argparse
import secrets
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from roadpulley.checks import Bad

from . import plan

if TYPE_CHECKING:
    from roadpulley.plans.reserve import Reservation
    from roadpulley.plans.shelf import Shelf


def add(commands: Any) -> None:
    reserve: argparse.ArgumentParser = commands.add_parser(
        "reserve", help="units promised to a customer for a time", description=__doc__
    )
    reserve.add_argument("--settings", type=Path, default=Path("deploy/plans.toml"), metavar="FILE")
    parts = reserve.add_subparsers(title="commands", metavar="COMMAND", required=True)
    part = parts.add_parser("make", help="promise units, or say why not and what would fit")
    part.add_argument("customer")
    part.add_argument("units")
    part.add_argument("--from", dest="at", metavar="TIME", help="now, where it is not given")
    part.add_argument("--until", required=True, metavar="TIME")
    part.add_argument("--on-top", action="store_true", help="beyond its plan, out of the pool")
    part.add_argument("--id", help="asked again under the same one, it is one promise")
    part.add_argument("--class", dest="kind", default="", help="kept with it, for billing")
    part.add_argument("--batch", default="", help="likewise")
    part.set_defaults(run=plan.run, prog="reserve", act=make)
    part = parts.add_parser("list", help="what is promised and has not ended")
    part.add_argument("--customer")
    part.set_defaults(run=plan.run, prog="reserve", act=listed)
    part = parts.add_parser("cancel", help="end one; its place is free from now on")
    part.add_argument("id")
    part.set_defaults(run=plan.run, prog="reserve", act=cancel)


def make(shelf: Shelf, args: argparse.Namespace) -> None:
    from roadpulley.plans.records import reservation_id
    from roadpulley.plans.reserve import No, Reservation
    from roadpulley.plans.terms import customer_id

    if not args.units.isdecimal():
        raise Bad("units", f"is {args.units!r}", "give a whole number")
    start = plan.moment(args.at, "--from") or plan.now()
    end = plan.moment(args.until, "--until") or 0
    id = reservation_id(args.id or secrets.token_hex(8))
    customer = customer_id(args.customer)
    answer = shelf.reserve(
        Reservation(id, customer, int(args.units), start, end, args.on_top, args.kind, args.batch)
    )
    if isinstance(answer, No):
        fits = [f"{answer.units:,} units fit into that time"] if answer.units else []
        fits += [f"all of it fits from {plan.shown(answer.start)}"] if answer.start else []
        right = " and ".join(fits) or "no time that was looked at has room"
        raise Bad(f"from {plan.shown(answer.at)}", answer.why, right)
    print(in_words(answer))


def listed(shelf: Shelf, args: argparse.Namespace) -> None:
    rows = [r for r in shelf.desk.by_id.values() if args.customer in (None, r.customer)]
    for r in sorted(rows, key=lambda r: (r.start, r.id)):
        print(in_words(r))
    for customer, at in shelf.desk.short(plan.now()):
        print(f"{customer}: its plan bears less than was promised from {plan.shown(at)}", file=sys.stderr)


def cancel(shelf: Shelf, args: argparse.Namespace) -> None:
    print(in_words(shelf.cancel(args.id)))


def in_words(r: Reservation) -> str:
    words = f"{r.id}  {r.customer}  {r.units:,} units from {plan.shown(r.start)} to {plan.shown(r.end)}"
    words += f", {r.rate / 1e6:g} a second {'on top of' if r.on_top else 'out of'} its plan"
    return words + (f" (ended at {plan.shown(r.until)})" if r.ended_at else "")
