"""`roadpulley usage COMMAND`: what customers have used, by plan version, class and hour."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

from roadpulley.checks import Bad

if TYPE_CHECKING:
    from roadpulley.usage.books import Books
    from roadpulley.usage.settings import UsageSettings

HOUR_S = 3_600


def add(commands: Any) -> None:
    usage: argparse.ArgumentParser = commands.add_parser(
        "usage", help="what customers have used", description=__doc__
    )
    usage.add_argument("--settings", type=Path, default=Path("deploy/usage.toml"), metavar="FILE")
    parts = usage.add_subparsers(title="commands", metavar="COMMAND", required=True)
    for name, (act, words) in ACTS.items():
        part = parts.add_parser(name, help=words, description=words)
        if name == "show":
            part.add_argument("--customer")
        if name == "close":
            part.add_argument("hour", help="the first that stays open, as 2027-01-01T00")
        part.set_defaults(run=run, act=act)


def run(args: argparse.Namespace) -> int:
    """0: done; 1: batches could not be read; 2: it could not be done."""
    try:
        from roadpulley.store import StoreError
        from roadpulley.usage.settings import read_settings
    except ImportError as error:
        print(f"roadpulley usage: {error.name} is missing: install roadpulley[store]", file=sys.stderr)
        return 2
    try:
        settings = read_settings(args.settings)
        with opened(settings) as books:
            act: Callable[[Books, UsageSettings, argparse.Namespace], int] = args.act
            return act(books, settings, args)
    except (Bad, StoreError, OSError) as error:
        print(f"roadpulley usage: {error}", file=sys.stderr)
        return 2


@contextmanager
def opened(settings: UsageSettings) -> Iterator[Books]:
    from roadpulley.store import Store
    from roadpulley.usage.books import Books

    settings.store.parent.mkdir(parents=True, exist_ok=True)
    with Store.open(settings.store) as store:
        yield Books(store)


def collect(books: Books, settings: UsageSettings, args: argparse.Namespace) -> int:
    from roadpulley.usage.spool import collect as taken

    new, known, bad = taken(settings.spool, books)
    print(f"{new} batches taken in, {known} were known, {bad} set aside as damaged")
    return 1 if bad else 0


def show(books: Books, settings: UsageSettings, args: argparse.Namespace) -> int:
    print(
        f"{'hour':<17} {'customer':<17} {'plan':<12} {'version':>7} {'class':<14} {'tries':>9} {'units':>12}"
    )
    for kind, mark in ((b"row", ""), (b"adjust", "  after it was closed")):
        for row, total in books.rows(kind):
            if args.customer not in (None, row.customer):
                continue
            version = f"{row.version}+{row.override}" if row.override else str(row.version)
            print(
                f"{hour_text(row.hour):<17} {row.customer:<17} {row.plan:<12} {version:>7} {row.kind:<14} "
                f"{total.tries:>9,} {total.units / 1000:>12,.3f}{mark}"
            )
    return 0


def close(books: Books, settings: UsageSettings, args: argparse.Namespace) -> int:
    try:
        at = datetime.strptime(args.hour, "%Y-%m-%dT%H").replace(tzinfo=UTC)
    except ValueError as error:
        raise Bad("hour", f"is {args.hour!r}", "give it in UTC, as 2027-01-01T00") from error
    if at > datetime.now(UTC):
        raise Bad("hour", f"{args.hour} is still to come", "close hours once they are over")
    books.close(int(at.timestamp()) // HOUR_S)
    print(f"all hours before {args.hour} are closed")
    return 0


def hour_text(hour: int) -> str:
    return datetime.fromtimestamp(hour * HOUR_S, UTC).strftime("%Y-%m-%dT%H:00Z")


ACTS: dict[str, tuple[Callable[[Books, UsageSettings, argparse.Namespace], int], str]] = {
    "collect": (collect, "take in the batches that gateways have written"),
    "show": (show, "sums by hour, customer, plan version and class"),
    "close": (close, "end hours for billing: what comes for them later is an adjustment"),
}
