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
    key: Path | None  # a file with the key that adjustments are signed with


def read_settings(path: Path) -> UsageSettings:
    """Paths are relative to the file. Raises Bad with the file and the key."""
    try:
        table = Table(tomllib.loads(path.read_text()))
        store, spool, key = table.text("store"), table.text("spool"), table.text("key", "")
        found = UsageSettings(path.parent / store, path.parent / spool, path.parent / key if key else None)
        table.done()
    except OSError as error:
        raise Bad(str(path), f"cannot be read ({error.strerror})", "name a file that is there") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise Bad(str(path), f"is no TOML: {error}", "mend that line") from error
    except Bad as error:
        raise Bad(f"{path}: {error.path}", *str(error).partition(": ")[2].split("; ", 1)) from error
    return found
