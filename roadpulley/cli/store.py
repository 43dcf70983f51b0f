"""`roadpulley store COMMAND FOLDER`: looks after a store. Only `compact` changes one that is there."""

from __future__ import annotations

import argparse
import base64
import json
import sys
import time
from collections.abc import Callable
from typing import Any

import click

from . import frame
from .frame import FOLDER, argument, option

EVERY_S = 1.0  # between words on how far it is


def command() -> click.Command:
    parts = []
    for name, (act, words) in ACTS.items():
        params: list[click.Parameter] = [argument("folder", type=FOLDER, metavar="FOLDER")]
        if name in ("backup", "restore", "repair"):
            params.append(option("--to", type=FOLDER, metavar="FOLDER", required=name != "repair"))
        if name == "repair":
            params.append(option("--dry-run", is_flag=True, help="Only say what could be saved."))
        if name == "dump":
            params.append(option("--prefix", default="", help="Only keys that begin so."))
        parts.append(frame.command(name, run, words, params, act=act))
    return frame.group("store", "Look after a store.", [], parts)


def run(args: argparse.Namespace) -> int:
    """0: well; 1: damaged; 2: it could not be done."""
    try:
        from roadpulley.store import DamagedError, StoreError
    except ImportError as error:
        print(f"roadpulley store: {error.name} is missing: install roadpulley[store]", file=sys.stderr)
        return 2
    if not args.folder.is_dir():
        print(f"roadpulley store: {args.folder} is no folder", file=sys.stderr)
        return 2
    try:
        act: Callable[[argparse.Namespace], int] = args.act
        return act(args)
    except DamagedError as error:
        for each in error.damage:
            print(each, file=sys.stderr)
        print("nothing was changed; see `roadpulley store repair --dry-run`", file=sys.stderr)
        return 1
    except (StoreError, OSError) as error:
        print(f"roadpulley store: {error}", file=sys.stderr)
        return 2


class Said:
    """Progress, a line a second on standard error."""

    def __init__(self, what: str) -> None:
        self.what, self.at = what, time.monotonic()

    def __call__(self, done: int, of: int) -> None:
        now = time.monotonic()
        if now - self.at >= EVERY_S:
            self.at = now
            print(f"{self.what}: {done / max(1, of):.0%} of {of:,}", file=sys.stderr, flush=True)


def verify(args: argparse.Namespace) -> int:
    from roadpulley.store import LockedError
    from roadpulley.store.care import inspect_store
    from roadpulley.store.files import DiskFiles

    files = DiskFiles(args.folder)
    if not files.lock():
        raise LockedError(f"{args.folder} is open in another process: verify a backup of it")
    try:
        found = inspect_store(files, Said("read"))
    finally:
        files.unlock()
    for each in found.damage:
        print(each)
    live = sum(record.kind == 1 for record in found.readable.values())
    print(f"{found.segments} segments, {found.batches} batches, {found.records} records, {live} keys")
    if found.torn_bytes:
        print(f"{found.torn_bytes} bytes of a torn end, which nobody was told of: opening cuts them off")
    print("damaged" if found.damage else "whole")
    return 1 if found.damage else 0


def dump(args: argparse.Namespace) -> int:
    from roadpulley.store import Store

    with Store.open(args.folder) as store:
        for record in store.scan(args.prefix.encode()):
            line = {"key": text(record.key), "value": text(record.value), "version": record.version}
            print(json.dumps(line, ensure_ascii=False))
    return 0


def text(raw: bytes) -> Any:
    """As text where it is some, else in base64."""
    try:
        return raw.decode()
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(raw).decode()}


def stat(args: argparse.Namespace) -> int:
    from roadpulley.store import Store

    with Store.open(args.folder) as store:
        got = store.stat()
    dead = 1 - got.bytes_live / got.bytes_on_disk
    print(f"keys     {got.keys:,}\nversion  {got.version:,}\nsegments {got.segments:,}")
    print(
        f"bytes    {got.bytes_on_disk:,} on disk, {got.bytes_live:,} of records that count ({dead:.0%} other)"
    )
    return 0


def compact(args: argparse.Namespace) -> int:
    from roadpulley.store import Store

    with Store.open(args.folder) as store:
        before = store.stat().bytes_on_disk
        said, looked, of = Said("looked at records"), 0, store.stat().keys

        def note() -> bool:
            nonlocal looked
            looked += 1
            said(looked, max(looked, of))
            return False

        store.compact(stop=note)
        print(f"{before:,} bytes before, {store.stat().bytes_on_disk:,} now")
    return 0


def repair(args: argparse.Namespace) -> int:
    from roadpulley.store.care import inspect_store, write_salvaged
    from roadpulley.store.files import DiskFiles

    if args.to is None and not args.dry_run:
        print("roadpulley store: give --to FOLDER for what can be saved, or --dry-run", file=sys.stderr)
        return 2
    found = inspect_store(DiskFiles(args.folder), Said("read"))
    for each in found.damage:
        print(each)
    keys = sum(record.kind == 1 for record in found.readable.values())
    print(f"{keys} keys can be saved, of {found.batches} batches that can be read")
    if args.dry_run:
        return 0
    if args.to.exists() and any(args.to.iterdir()):
        print(f"roadpulley store: {args.to} is not empty: name a new folder", file=sys.stderr)
        return 2
    print(f"{write_salvaged(found, DiskFiles(args.to), Said('written'))} keys are in {args.to}")
    return 0


def backup(args: argparse.Namespace) -> int:
    from roadpulley.store.backup import backup as copied
    from roadpulley.store.files import DiskFiles

    version = copied(DiskFiles(args.folder), DiskFiles(args.to), Said("copied"))
    print(f"{args.to} holds all up to version {version}")
    return 0


ACTS: dict[str, tuple[Callable[[argparse.Namespace], int], str]] = {
    "verify": (verify, "read every byte and say what is damaged"),
    "dump": (dump, "print all records, one JSON object a line"),
    "stat": (stat, "print sizes"),
    "compact": (compact, "write what counts anew, and remove the rest"),
    "repair": (repair, "save what can be read into a new folder"),
    "backup": (backup, "copy it whole, while it is written to"),
    "restore": (backup, "copy a backup into a new folder, having read all of it"),
}
