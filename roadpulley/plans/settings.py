"""`deploy/plans.toml`: where the book and the feed are, and how often a gateway looks."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from roadpulley.checks import Table, read_toml

from .terms import MAX_AMOUNT


@dataclass(frozen=True)
class PlanSettings:
    store: Path
    feed: Path
    poll_interval_ms: float
    pool: float  # units a second that may be reserved on top of plans, all customers together
    fleet: Path | None = None  # its settings, where an instance of a fleet publishes the feed


def read_settings(path: Path) -> PlanSettings:
    """Paths are relative to the file. Raises ValidationError with the file and the key."""

    def read(raw: dict[str, Any]) -> PlanSettings:
        table = Table(raw)
        store, feed = table.read_text("store"), table.read_text("feed")
        look = table.read_number("look_ms", 200.0, 10, 60_000)
        pool = table.read_number("pool", 0.0, 0, MAX_AMOUNT)
        fleet = table.read_text("fleet", "")
        table.reject_unknown_keys()
        shared = path.parent / fleet if fleet else None
        return PlanSettings(path.parent / store, path.parent / feed, look, pool, shared)

    return read_toml(path, read)
