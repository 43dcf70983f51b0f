"""`deploy/usage.toml`: where the books and the spool are."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path

from roadpulley.checks import Bad, Table


@dataclass(frozen=True)
class UsageSettings:
    store: Path
    spool: Path


def read_settings(path: Path) -> UsageSettings:
    """Paths are relative to the file. Raises Bad with the file and the key."""
    try:
        table = Table(tomllib.loads(path.read_text()))
        found = UsageSettings(path.parent / table.text("store"), path.parent / table.text("spool"))
        table.done()
    except OSError as error:
        raise Bad(str(path), f"cannot be read ({error.strerror})", "name a file that is there") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise Bad(str(path), f"is no TOML: {error}", "mend that line") from error
    except Bad as error:
        raise Bad(f"{path}: {error.path}", *str(error).partition(": ")[2].split("; ", 1)) from error
    return found
