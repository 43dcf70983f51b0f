"""`deploy/usage.toml`: where the books and the spool are."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from roadpulley.checks import Bad, Table, read_toml


@dataclass(frozen=True)
class UsageSettings:
    store: Path
    spool: Path
    key: Path | None  # a file with the key that adjustments are signed with
    sink: str  # the address that billing files are pushed under; "": none
    token: Path | None  # a file with what the sink knows this installation by
    timeout_s: float  # of one push with its answer


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
        table.done()
        return UsageSettings(
            path.parent / store,
            path.parent / spool,
            path.parent / key if key else None,
            url,
            path.parent / token if token else None,
            timeout_s,
        )

    return read_toml(path, read)
