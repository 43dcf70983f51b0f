"""Settings of `deploy/plans.toml`: paths of the plan store and the feed, and the polling interval."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from roadpulley.checks import Table, read_toml

from .terms import MAX_AMOUNT


@dataclass(frozen=True)
class PlanSettings:
    """Settings of plans; `pool` is in units per second."""

    store: Path
    feed: Path
    poll_interval_ms: float
    pool: float  # rate that all customers together may reserve on top of their plans
    fleet: Path | None = None  # settings of the fleet whose instance publishes the feed; None: commands do


def read_settings(path: Path) -> PlanSettings:
    """Read the settings; paths are relative to the file. Raises ValidationError with the file and the key."""

    def read(raw: dict[str, Any]) -> PlanSettings:
        table = Table(raw)
        store, feed = table.read_text("store"), table.read_text("feed")
        poll_interval_ms = table.read_number("look_ms", 200.0, 10, 60_000)
        pool = table.read_number("pool", 0.0, 0, MAX_AMOUNT)
        fleet = table.read_text("fleet", "")
        table.reject_unknown_keys()
        fleet_settings = path.parent / fleet if fleet else None
        return PlanSettings(path.parent / store, path.parent / feed, poll_interval_ms, pool, fleet_settings)

    return read_toml(path, read)
