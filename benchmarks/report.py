"""What benchmarks share: runs side by side, and how each ends: a table for a reader, its rows in a file."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any, TypeVar

Job = TypeVar("Job")
Done = TypeVar("Done")


def side_by_side(once: Callable[[Job], Done], jobs: list[Job]) -> list[Done]:
    """What `once` makes of each job, in their order, on all cores; tells on standard error how far it is."""
    done: list[Done] = []
    with ProcessPoolExecutor() as pool:
        for one in pool.map(once, jobs):
            done.append(one)
            print(f"{len(done)} of {len(jobs)} runs", file=sys.stderr, flush=True)
    return done


def markdown(rows: list[dict[str, Any]]) -> str:
    """A table whose columns are the keys of the first row."""
    columns = list(rows[0])
    lines = [columns, ["---"] * len(columns), *([str(r[c]) for c in columns] for r in rows)]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def quantile(values: list[float], share: float) -> float:
    """The value below which so many are; no number where there are none."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else float("nan")


def report(table: str, rows: list[dict[str, Any]], out: Path, **more: object) -> int:
    """Print the table, write the rows; gives the exit code."""
    print(table)
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps({"cpus": os.cpu_count(), **more, "rows": rows}, indent=1))
    return 0
