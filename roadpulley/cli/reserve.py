"""`roadpulley reserve COMMAND`: units promised to a customer for a time, out of its plan or on top of it."""

from __future__ import annotations

import argparse
import secrets
import sys
from typing import TYPE_CHECKING, Any

import click

from roadpulley.checks import ValidationError

from . import frame, plan
from .frame import argument, option

if TYPE_CHECKING:
    from roadpulley.plans.plan_store import PlanStore
    from roadpulley.plans.reservations import Reservation


def command() -> click.Command:
    promise = [
        argument("customer"),
        argument("units"),
        option("--from", "at", metavar="TIME", help="Now, where it is not given."),
        option("--until", required=True, metavar="TIME"),
        option("--on-top", is_flag=True, help="Beyond its plan, out of the pool."),
        option("--id", help="Asked again under the same one, it is one promise."),
        option("--class", "kind", default="", help="Kept with it, for billing."),
        option("--batch", default="", help="Likewise."),
    ]
    parts = [
        part("make", make, "Promise units, or say why not and what would fit.", promise),
        part("list", listed, "What is promised and has not ended.", [option("--customer")]),
        part("cancel", cancel, "End one; its place is free from now on.", [argument("id")]),
    ]
    return frame.group("reserve", "Units promised to a customer for a time.", [plan.settings()], parts)


def part(name: str, act: Any, words: str, params: list[click.Parameter]) -> click.Command:
    return frame.command(name, frame.inherits(plan.run), words, params, act=act, prog="reserve")


def make(plan_store: PlanStore, args: argparse.Namespace) -> None:
    from roadpulley.plans.records import validate_reservation_id
    from roadpulley.plans.reservations import Rejection, Reservation
    from roadpulley.plans.terms import validate_customer_id

    if not args.units.isdecimal():
        raise ValidationError("units", f"is {args.units!r}", "give a whole number")
    start = plan.moment(args.at, "--from") or plan.now()
    end = plan.moment(args.until, "--until") or 0
    id = validate_reservation_id(args.id or secrets.token_hex(8))
    customer = validate_customer_id(args.customer)
    answer = plan_store.reserve(
        Reservation(id, customer, int(args.units), start, end, args.on_top, args.kind, args.batch)
    )
    if isinstance(answer, Rejection):
        fits = [f"{answer.available_units:,} units fit into that time"] if answer.available_units else []
        fits += [f"all of it fits from {plan.shown(answer.next_start)}"] if answer.next_start else []
        right = " and ".join(fits) or "no time that was looked at has room"
        raise ValidationError(f"from {plan.shown(answer.exceeded_at)}", answer.reason, right)
    print(in_words(answer))


def listed(plan_store: PlanStore, args: argparse.Namespace) -> None:
    rows = [r for r in plan_store.reservations.by_id.values() if args.customer in (None, r.customer)]
    for r in sorted(rows, key=lambda r: (r.start, r.id)):
        print(in_words(r))
    for customer, at in plan_store.reservations.find_overcommitted(plan.now()):
        print(f"{customer}: its plan bears less than was promised from {plan.shown(at)}", file=sys.stderr)


def cancel(plan_store: PlanStore, args: argparse.Namespace) -> None:
    print(in_words(plan_store.cancel(args.id)))


def in_words(r: Reservation) -> str:
    words = f"{r.id}  {r.customer}  {r.units:,} units from {plan.shown(r.start)} to {plan.shown(r.end)}"
    words += f", {r.rate_micro / 1e6:g} a second {'on top of' if r.on_top else 'out of'} its plan"
    return words + (f" (ended at {plan.shown(r.effective_end)})" if r.ended_at else "")
