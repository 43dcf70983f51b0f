"""Reads `deploy/usage.toml`: the paths of the ledger and the spool, the billing sink, and the calendar."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from roadpulley.checks import Table, ValidationError, read_toml

from .billing_calendar import HOUR_S, PERIOD_LENGTHS, Calendar


@dataclass(frozen=True)
class UsageSettings:
    """Settings of usage metering and billing. Optional settings are None or empty."""

    store: Path  # of the ledger
    spool: Path
    key: Path | None  # a file with the key that signs adjustments
    sink: str  # the base URL that billing files are pushed to, "" if there is none
    token: Path | None  # a file with the bearer token that the sink identifies this installation by
    timeout_s: float  # of one push with its answer
    fleet: Path | None = None  # settings of the fleet, if one of its instances pushes
    calendar: Calendar | None = None  # if an instance of the fleet closes the periods


def read_calendar(table: Table) -> Calendar:
    """Raises ValidationError with the path of the key."""
    period_length, text = table.read_text("every", choices=PERIOD_LENGTHS), table.read_text("from")
    grace_hours = table.read_int("grace_h", 2, 0, 24 * 31)
    table.reject_unknown_keys()
    try:
        start = datetime.strptime(text, "%Y-%m-%dT%H").replace(tzinfo=UTC)
    except ValueError as error:
        raise ValidationError(
            table.path_of("from"), f"is {text!r}", "give an hour in UTC, as 2027-01-01T00"
        ) from error
    return Calendar(period_length, int(start.timestamp()) // HOUR_S, grace_hours)


def read_settings(path: Path) -> UsageSettings:
    """Reads a file; paths are relative to it. Raises ValidationError with the file and the key."""

    def read(raw: dict[str, Any]) -> UsageSettings:
        table = Table(raw)
        store, spool, key = table.read_text("store"), table.read_text("spool"), table.read_text("key", "")
        sink = table.read_table("sink")
        url, token = sink.read_text("url", ""), sink.read_text("token", "")
        if url and not url.startswith(("https://", "http://")):
            raise ValidationError(
                sink.path_of("url"), f"is {url!r}", "give an address that begins with https:// or http://"
            )
        # At most half of a lease, as a push that outlasts the lease could overlap with another exporter's.
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
