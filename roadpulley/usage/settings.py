"""`deploy/usage.toml`: where the books and the spool are."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from roadpulley.checks import Bad, Table, read_toml

from .closing import EVERY, HOUR_S, Calendar


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
    every, text = table.text("every", among=EVERY), table.text("from")
    grace = table.whole("grace_h", 2, 0, 24 * 31)
    table.done()
    try:
        start = datetime.strptime(text, "%Y-%m-%dT%H").replace(tzinfo=UTC)
    except ValueError as error:
        raise Bad(table.at("from"), f"is {text!r}", "give an hour in UTC, as 2027-01-01T00") from error
    return Calendar(every, int(start.timestamp()) // HOUR_S, grace)


def read_settings(path: Path) -> UsageSettings:
    """Paths are relative to the file. Raises Bad with the file and the key."""

    def read(raw: dict[str, Any]) -> UsageSettings:
        table = Table(raw)
        store, spool, key = table.text("store"), table.text("spool"), table.text("key", "")
        sink = table.table("sink")
        url, token = sink.text("url", ""), sink.text("token", "")
        if url and not url.startswith(("https://", "http://")):
            raise Bad(sink.at("url"), f"is {url!r}", "give an address that begins with https:// or http://")
        # Under half of a lease: a push that is still out when the lease ends could cross another exporter's.
        timeout_s = sink.number("timeout_s", 10.0, 0.1, 15.0)
        sink.done()
        calendar = read_calendar(table.table("close")) if table.has("close") else None
        fleet = table.text("fleet", "")
        table.done()
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
