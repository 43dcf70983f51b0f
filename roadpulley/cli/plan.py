"""`roadpulley plan COMMAND`: the book of plans. A change holds on all gateways within a second."""

from __future__ import annotations

import argparse
import re
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from roadpulley.checks import Table, ValidationError

from . import frame
from .frame import FOLDER, argument, option

if TYPE_CHECKING:
    from roadpulley.plans.catalog import Version
    from roadpulley.plans.plan_store import PlanStore

SPAN = re.compile(r"\+(\d{1,9})(ms|s|m|h|d)")
UNIT_MS = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000, "d": 86_400_000}
TERMS = ("rate", "burst", "open-limit", "ceiling-rate", "ceiling-burst", "price", "spread")


def command() -> click.Command:
    parts = [
        frame.command(name, frame.inherits(run), words, options(name, arguments), act=act, prog="plan")
        for name, (act, words, arguments) in ACTS.items()
    ]
    return frame.group("plan", "Plans and who has them, changed in service.", [settings()], parts)


def settings() -> click.Option:
    return option("--settings", type=FOLDER, default=Path("deploy/plans.toml"), metavar="FILE")


def options(name: str, arguments: str) -> list[click.Parameter]:
    params: list[click.Parameter] = [argument(each) for each in arguments.split()]
    if name in ("set", "schedule", "override"):
        params += [option(f"--{term}", metavar="N") for term in TERMS]
    if name in ("set", "schedule", "assign", "override"):
        params.append(option("--expect", type=int, metavar="N", help="Only if that is its last version."))
        params.append(option("--note", default="", help="Kept with the version."))
    if name in ("schedule", "assign", "override"):
        params.append(option("--from", "at", required=name == "schedule", metavar="TIME"))
    if name == "override":
        params.append(option("--until", metavar="TIME"))
    return params


def run(args: argparse.Namespace) -> int:
    """0: done; 1: somebody else was first; 2: it could not be done."""
    try:
        from roadpulley.plans.catalog import VersionConflictError
        from roadpulley.store import StoreError
    except ImportError as error:
        print(f"roadpulley {args.prog}: {error.name} is missing: install roadpulley[store]", file=sys.stderr)
        return 2
    try:
        with opened(args.settings) as plan_store:
            act: Callable[[PlanStore, argparse.Namespace], None] = args.act
            act(plan_store, args)
    except VersionConflictError as error:
        print(f"roadpulley {args.prog}: {error}", file=sys.stderr)
        return 1
    except (ValidationError, StoreError, OSError) as error:
        print(f"roadpulley {args.prog}: {error}", file=sys.stderr)
        return 2
    return 0


@contextmanager
def opened(settings: Path) -> Iterator[PlanStore]:
    from roadpulley.plans.plan_store import PlanStore
    from roadpulley.plans.settings import read_settings
    from roadpulley.store import Store

    found = read_settings(settings)
    found.store.parent.mkdir(parents=True, exist_ok=True)
    with Store.open(found.store) as store:
        plan_store = PlanStore(store, found.feed, now, found.pool, publishes_on_write=found.fleet is None)
        # An empty store needs no message: version 0 has nothing that the feed could lack.
        if plan_store.publishes_on_write and plan_store.publish_if_behind() and store.version:
            print(f"{found.feed} was behind the book, and is written anew", file=sys.stderr)
        yield plan_store
    if found.fleet is not None:
        print(asked(found.fleet, "plans-publish"), file=sys.stderr)


def asked(fleet: Path, work: str) -> str:
    """Have the instance whose duty it is do it now, if it runs on this machine; gives what came of it."""
    from roadpulley.fleet.duty_trigger import trigger_duty
    from roadpulley.fleet.settings import read_settings as read_fleet

    return trigger_duty(read_fleet(fleet), work)[1]


def now() -> int:
    return int(time.time() * 1000)


def moment(text: str | None, path: str) -> int | None:
    """A time in milliseconds from ISO 8601 with its zone, or from now on as `+90s`, `+2h`.

    Raises ValidationError.
    """
    if text is None:
        return None
    if span := SPAN.fullmatch(text):
        return now() + int(span[1]) * UNIT_MS[span[2]]
    try:
        at = datetime.fromisoformat(text)
    except ValueError:
        at = None
    if at is None or at.tzinfo is None:
        right = "give a time with its zone, as 2027-01-01T00:00:00+00:00, or one from now on, as +2h"
        raise ValidationError(path, f"is {text!r}", right)
    return int(at.timestamp() * 1000)


def shown(at: int) -> str:
    return datetime.fromtimestamp(at / 1000, UTC).isoformat(timespec="milliseconds")


def given(args: argparse.Namespace) -> dict[str, Any]:
    """The terms that were named, as numbers. Raises ValidationError."""
    found: dict[str, Any] = {}
    for term in TERMS:
        name = term.replace("-", "_")
        text = getattr(args, name)
        if text is None:
            continue
        if name == "price":
            found[name] = text
            continue
        try:
            found[name] = int(text) if name in ("open_limit", "spread") else float(text)
        except ValueError as error:
            raise ValidationError(f"--{term}", f"is {text!r}", "give a number") from error
    return found


# ---- commands ----


def set_terms(plan_store: PlanStore, args: argparse.Namespace) -> None:
    from roadpulley.plans.terms import read_terms, validate_plan_name

    name = validate_plan_name(args.plan)
    at = moment(getattr(args, "at", None), "--from")
    before = plan_store.catalog.get_version_at(name, at or now())
    terms = read_terms(Table(given(args), f"plan {name}"), before.terms if before else None)
    say(plan_store.write(plan_store.catalog.schedule(now(), name, terms, at, args.expect, args.note)))


def assign(plan_store: PlanStore, args: argparse.Namespace) -> None:
    from roadpulley.plans.terms import validate_customer_id, validate_plan_name

    customer, plan = (
        validate_customer_id(args.customer),
        "" if args.plan == "none" else validate_plan_name(args.plan),
    )
    at = moment(args.at, "--from")
    say(plan_store.write(plan_store.catalog.assign(now(), customer, plan, at, args.expect, args.note)))


def override(plan_store: PlanStore, args: argparse.Namespace) -> None:
    from roadpulley.plans.records import read_changes
    from roadpulley.plans.terms import validate_customer_id

    customer = validate_customer_id(args.customer)
    changes = read_changes(Table(given(args), f"customer {customer}"))
    at, until = moment(args.at, "--from"), moment(args.until, "--until") or 0
    say(
        plan_store.write(
            plan_store.catalog.override(now(), customer, changes, at, until, args.expect, args.note)
        )
    )


def cancel(plan_store: PlanStore, args: argparse.Namespace) -> None:
    number = int(args.number) if args.number.isdecimal() else 0
    rows, subject = of(plan_store, args.name)
    say(
        plan_store.write(
            plan_store.catalog.cancel_version(now(), plan_store.catalog.get_version(rows, number, subject))
        )
    )


def of(plan_store: PlanStore, name: str) -> tuple[Any, str]:
    if name in plan_store.catalog.plans:
        return plan_store.catalog.plans[name], f"plan {name}"
    if name in plan_store.catalog.customers:
        return plan_store.catalog.customers[name], f"customer {name}"
    known = ", ".join(sorted(plan_store.catalog.plans)) or "none yet"
    raise ValidationError(name, "is no plan and no customer of the book", f"the plans are: {known}")


def listed(plan_store: PlanStore, args: argparse.Namespace) -> None:
    at = now()
    for name in sorted(plan_store.catalog.plans):
        version = plan_store.catalog.get_version_at(name, at)
        print(f"{name:<20} {in_words(version) if version else 'does not hold yet'}")
    print(f"{len(plan_store.catalog.customers)} customers with a plan of their own")


def show(plan_store: PlanStore, args: argparse.Namespace) -> None:
    rows, _ = of(plan_store, args.name)
    if rows is plan_store.catalog.customers.get(args.name):
        held = plan_store.catalog.get_effective_terms(args.name, "", now())
        terms = (
            " ".join(f"{k}={v}" for k, v in vars(held.terms).items())
            if held.terms
            else "as its requests name"
        )
        print(f"{args.name}  {held.plan or 'no plan assigned'} version {held.version}, "
              f"override {held.override or 'none'}: {terms}")  # fmt: skip
        return
    version = plan_store.catalog.get_version_at(args.name, now())
    print(in_words(version) if version else "does not hold yet")


def history(plan_store: PlanStore, args: argparse.Namespace) -> None:
    for version in of(plan_store, args.name)[0]:
        print(in_words(version))


def publish(plan_store: PlanStore, args: argparse.Namespace) -> None:
    if not plan_store.publishes_on_write:
        return  # whose duty it is, is asked in the end
    doc = plan_store.publish()
    print(f"{plan_store.feed_file}: {len(doc.plans)} plans and {len(doc.customers)} customers at {doc.seq}")


def say(version: Version) -> None:
    print(f"{version.subject}: {in_words(version)}")


def in_words(version: Version) -> str:
    from roadpulley.plans.catalog import PlanVersion

    words = f"version {version.number} from {shown(version.effective_from)}"
    if isinstance(version, PlanVersion):
        words += ": " + " ".join(f"{k}={v}" for k, v in vars(version.terms).items())
    elif version.assigned_plan is not None:
        words += f": plan {version.assigned_plan or 'that its requests name'}"
    else:
        words += f" until {shown(version.until)}" if version.until else ""
        words += ": " + (" ".join(f"{k}={v}" for k, v in version.changes) or "nothing is overridden")
    if version.cancelled_at:
        words += f" (called off at {shown(version.cancelled_at)})"
    return words + (f"  # {version.note}" if version.note else "")


ACTS: dict[str, tuple[Callable[[PlanStore, argparse.Namespace], None], str, str]] = {
    "list": (listed, "all plans as they hold now", ""),
    "show": (show, "what holds now for a plan or a customer", "name"),
    "set": (set_terms, "new terms of a plan from now on; what is not named stays", "plan"),
    "schedule": (set_terms, "new terms of a plan from a time on", "plan"),
    "assign": (
        assign,
        "another plan for a customer; `none`: the one that its requests name",
        "customer plan",
    ),
    "override": (override, "single terms of one customer's own; with none named they end", "customer"),
    "cancel": (cancel, "call off a version that has not begun", "name number"),
    "history": (history, "all versions of a plan or a customer", "name"),
    "publish": (publish, "write the feed anew", ""),
}
