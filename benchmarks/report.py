"""How every benchmark ends: its table for a reader, its rows in a file."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any


def report(table: str, rows: list[dict[str, Any]], out: Path, **more: object) -> int:
    """Print the table, write the rows; gives the exit code."""
    print(table)
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps({"cpus": os.cpu_count(), **more, "rows": rows}, indent=1))
    return 0
