"""`deploy/plans.toml`: where the book and the feed are, and how often a gateway looks."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path

from roadpulley.checks import Bad, Table

from .terms import MOST


@dataclass(frozen=True)
class PlanSettings:
    store: Path
    feed: Path
    look_ms: float
    pool: float  # units a second that may be reserved on top of plans, all customers together


def read_settings(path: Path) -> PlanSettings:
    """Paths are relative to the file. Raises Bad with the file and the key."""
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise Bad(str(path), f"cannot be read ({error.strerror})", "name a file that is there") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise Bad(str(path), f"is no TOML: {error}", "mend that line") from error
    try:
        table = Table(raw)
        store, feed = table.text("store"), table.text("feed")
        look = table.number("look_ms", 200.0, 10, 60_000)
        pool = table.number("pool", 0.0, 0, MOST)
        table.done()
    except Bad as error:
        raise Bad(f"{path}: {error.path}", *str(error).partition(": ")[2].split("; ", 1)) from error
    return PlanSettings(path.parent / store, path.parent / feed, look, pool)
