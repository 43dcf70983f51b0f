"""`roadpulley usage COMMAND`: what customers have used, by plan version, class and hour."""

from __future__ import annotations

import argparse
import json
import os
import socket
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING

import click

from roadpulley.checks import ValidationError
from roadpulley.usage.billing_calendar import HOUR_S

from . import frame
from .frame import FOLDER, argument, option

if TYPE_CHECKING:
    from roadpulley.usage.ledger import UsageLedger
    from roadpulley.usage.settings import UsageSettings


def command() -> click.Command:
    settings = option("--settings", type=FOLDER, default=Path("deploy/usage.toml"), metavar="FILE")
    parts = [
        frame.command(name, frame.inherits(run), words, options(name), act=act)
        for name, (act, words) in ACTS.items()
    ]
    return frame.group("usage", "What customers have used.", [settings], parts)


def options(name: str) -> list[click.Parameter]:
    params: list[click.Parameter] = []
    if name == "show":
        params.append(option("--customer"))
    if name in ("close", "adjust", "export", "verify"):
        params.append(argument("period"))
    if name == "close":
        params.append(option("--from", "start", required=True, metavar="HOUR", help="As 2027-01-01T00."))
        params.append(option("--to", "end", required=True, metavar="HOUR", help="The first one after it."))
    if name == "push":
        params.append(option("--for", "seconds", type=float, default=60.0, metavar="SECONDS"))
    if name == "export":
        params.append(option("--to", type=FOLDER, required=True, metavar="FOLDER"))
    return params


def run(args: argparse.Namespace) -> int:
    """0: done; 1: a batch was damaged, or a signature does not fit; 2: it could not be done."""
    try:
        from roadpulley.store import StoreError
        from roadpulley.usage.settings import read_settings
    except ImportError as error:
        print(f"roadpulley usage: {error.name} is missing: install roadpulley[store]", file=sys.stderr)
        return 2
    try:
        settings = read_settings(args.settings)
        with opened(settings) as books:
            act: Callable[[UsageLedger, UsageSettings, argparse.Namespace], int] = args.act
            return act(books, settings, args)
    except (ValidationError, StoreError, OSError) as error:
        print(f"roadpulley usage: {error}", file=sys.stderr)
        return 2


@contextmanager
def opened(settings: UsageSettings) -> Iterator[UsageLedger]:
    from roadpulley.store import Store
    from roadpulley.usage.ledger import UsageLedger

    settings.store.parent.mkdir(parents=True, exist_ok=True)
    with Store.open(settings.store) as store:
        yield UsageLedger(store)


def collect(books: UsageLedger, settings: UsageSettings, args: argparse.Namespace) -> int:
    from roadpulley.usage.spool import collect as taken

    new, known, bad = taken(settings.spool, books)
    print(f"{new} batches taken in, {known} were known, {bad} set aside as damaged")
    return 1 if bad else 0


def show(books: UsageLedger, settings: UsageSettings, args: argparse.Namespace) -> int:
    print(
        f"{'hour':<17} {'customer':<17} {'plan':<12} {'version':>7} {'class':<14} {'tries':>9} {'units':>12}"
    )
    for kind, mark in ((b"row", ""), (b"adjust", "  after it was closed")):
        for row, total in books.rows(kind):
            if args.customer not in (None, row.customer):
                continue
            version = f"{row.version}+{row.override}" if row.override else str(row.version)
            print(
                f"{hour_text(row.hour):<17} {row.customer:<17} {row.plan:<12} {version:>7} "
                f"{row.request_class:<14} {total.tries:>9,} {total.units / 1000:>12,.3f}{mark}"
            )
    return 0


def close(books: UsageLedger, settings: UsageSettings, args: argparse.Namespace) -> int:
    from roadpulley.usage.periods import BillingPeriods

    now = datetime.now(UTC)
    start, end = hour(args.start, "--from"), hour(args.end, "--to")
    period = BillingPeriods(books).close(args.period, start, end, hour_of(now), int(now.timestamp() * 1000))
    print(f"{period.name}: {period.lines} lines, sealed by {period.digest}")
    return 0


def adjust(books: UsageLedger, settings: UsageSettings, args: argparse.Namespace) -> int:
    from roadpulley.usage.periods import BillingPeriods

    periods = BillingPeriods(books)
    now = int(datetime.now(UTC).timestamp() * 1000)
    made = periods.create_adjustment(periods.find(args.period), key_of(settings), now)
    print(
        f"adjustment {made.number} of {made.period}: {len(made.lines)} lines" if made else "nothing came late"
    )
    return 0


def export(books: UsageLedger, settings: UsageSettings, args: argparse.Namespace) -> int:
    """Each file is written whole under its name; again it gives the same bytes."""
    from roadpulley.usage.periods import BillingPeriods, encode_csv

    periods = BillingPeriods(books)
    period = periods.find(args.period)
    adjustments = periods.list_adjustments(period)
    files = {f"{period.name}.csv": encode_csv(periods.read_lines(period))}
    files |= {f"{period.name}.adjustment-{a.number}.csv": encode_csv(a.lines) for a in adjustments}
    seals = {
        "period": asdict(period),
        "adjustments": [
            {"number": a.number, "made_at": a.created_at_ms, "signature": a.signature} for a in adjustments
        ],
    }
    files[f"{period.name}.json"] = json.dumps(seals, indent=1).encode() + b"\n"
    args.to.mkdir(parents=True, exist_ok=True)
    for name, data in files.items():
        part = args.to / (name + ".part")
        part.write_bytes(data)
        part.replace(args.to / name)
        print(args.to / name)
    return 0


def verify(books: UsageLedger, settings: UsageSettings, args: argparse.Namespace) -> int:
    from roadpulley.usage.periods import BillingPeriods, is_signature_valid

    periods = BillingPeriods(books)
    period = periods.find(args.period)
    periods.read_lines(period)
    forged = [
        a.number for a in periods.list_adjustments(period) if not is_signature_valid(key_of(settings), a)
    ]
    for number in forged:
        print(f"adjustment {number} of {period.name} is not signed with this key")
    print(f"{period.name}: {period.lines} lines as sealed by {period.digest}")
    return 1 if forged else 0


def push(books: UsageLedger, settings: UsageSettings, args: argparse.Namespace) -> int:
    import httpx

    from roadpulley.usage.export_runner import ExportRunner

    if settings.fleet is not None:
        from roadpulley.fleet.duty_trigger import trigger_duty
        from roadpulley.fleet.settings import read_settings as read_fleet

        begun, words = trigger_duty(read_fleet(settings.fleet), "usage-push")
        print(words)
        return 0 if begun else 1
    if not settings.sink:
        raise ValidationError(
            "sink.url", "is missing in the settings", "name the address that billing files are put under"
        )
    headers = {}
    if settings.token is not None:
        headers["Authorization"] = f"Bearer {settings.token.read_text().strip()}"
    seconds: float = args.seconds
    end = time.monotonic() + seconds

    def sleep(ms: int) -> bool:
        left = end - time.monotonic()
        time.sleep(max(0.0, min(ms / 1000, left)))
        return time.monotonic() < end

    holder = f"{socket.gethostname()}:{os.getpid()}"
    with httpx.Client(base_url=settings.sink, headers=headers, timeout=settings.timeout_s) as client:
        done = ExportRunner(books, client, holder, lambda: int(time.time() * 1000), sleep).run()
    print(f"{done.pushed} files pushed, {done.parked} parked, {done.remaining} left")
    return 1 if done.remaining or done.parked else 0


def key_of(settings: UsageSettings) -> bytes:
    if settings.key is None:
        raise ValidationError(
            "key", "is missing in the settings", "name a file of 32 bytes or more that signs adjustments"
        )
    return settings.key.read_bytes()


def hour(text: str, path: str) -> int:
    try:
        return hour_of(datetime.strptime(text, "%Y-%m-%dT%H").replace(tzinfo=UTC))
    except ValueError as error:
        raise ValidationError(path, f"is {text!r}", "give an hour in UTC, as 2027-01-01T00") from error


def hour_of(at: datetime) -> int:
    return int(at.timestamp()) // HOUR_S


def hour_text(hour: int) -> str:
    return datetime.fromtimestamp(hour * HOUR_S, UTC).strftime("%Y-%m-%dT%H:00Z")


ACTS: dict[str, tuple[Callable[[UsageLedger, UsageSettings, argparse.Namespace], int], str]] = {
    "collect": (collect, "take in the batches that gateways have written"),
    "show": (show, "sums by hour, customer, plan version and class"),
    "close": (close, "end a billing period and seal it: what comes for it later is an adjustment"),
    "adjust": (adjust, "sign what came for a period after it was closed"),
    "export": (export, "write a closed period and its adjustments as CSV, with their seals"),
    "push": (push, "put closed periods and adjustments to the billing sink, each until its receipt is kept"),
    "verify": (verify, "compare a period with its seal, and its adjustments with their signatures"),
}
