"""`deploy/usage.toml`: where the books and the spool are."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from roadpulley.checks import Table, ValidationError, read_toml

from .billing_calendar import HOUR_S, PERIOD_LENGTHS, Calendar


@dataclass(frozen=True)
class UsageSettings:
    store: Path
    spool: Path
    key: Path | None  # a file with the key that adjustments are signed with
    sink: str  # the address that billing files are pushed under; "": none
    token: Path | None  # a file with what the sink knows this installation by
    timeout_s: float  # of one push with its answer
    fleet: Path | None = None  # its settings, where an instance of a fleet pushes
    calendar: Calendar | None = None  # by which periods are closed, where an instance of a fleet does it


def read_calendar(table: Table) -> Calendar:
    every, text = table.read_text("every", choices=PERIOD_LENGTHS), table.read_text("from")
    grace = table.read_int("grace_h", 2, 0, 24 * 31)
    table.reject_unknown_keys()
    try:
        start = datetime.strptime(text, "%Y-%m-%dT%H").replace(tzinfo=UTC)
    except ValueError as error:
        raise ValidationError(
            table.path_of("from"), f"is {text!r}", "give an hour in UTC, as 2027-01-01T00"
        ) from error
    return Calendar(every, int(start.timestamp()) // HOUR_S, grace)


def read_settings(path: Path) -> UsageSettings:
    """Paths are relative to the file. Raises ValidationError with the file and the key."""

    def read(raw: dict[str, Any]) -> UsageSettings:
        table = Table(raw)
        store, spool, key = table.read_text("store"), table.read_text("spool"), table.read_text("key", "")
        sink = table.read_table("sink")
        url, token = sink.read_text("url", ""), sink.read_text("token", "")
        if url and not url.startswith(("https://", "http://")):
            raise ValidationError(
                sink.path_of("url"), f"is {url!r}", "give an address that begins with https:// or http://"
            )
        # Under half of a lease: a push that is still out when the lease ends could cross another exporter's.
        timeout_s = sink.read_number("timeout_s", 10.0, 0.1, 15.0)
        sink.reject_unknown_keys()
        calendar = read_calendar(table.read_table("close")) if table.has("close") else None
        fleet = table.read_text("fleet", "")
        table.reject_unknown_keys()
        return UsageSettings(
            path.parent / store,
            path.parent / spool,
            path.parent / key if key else None,
            url,
            path.parent / token if token else None,
            timeout_s,
            path.parent / fleet if fleet else None,
            calendar,
        )

    return read_toml(path, read)
