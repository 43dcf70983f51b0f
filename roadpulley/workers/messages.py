"""Heartbeats of a worker to its supervisor, one line each.

| release | line | meaning |
| --- | --- | --- |
| since 2026-12 | `beat MILLISECONDS overdue` | for how long a request is past the time by which it must end |
| before | `beat MILLISECONDS` | the age of the oldest open request |

During an upgrade the two meet. A supervisor of the earlier release reads the first number only, and takes a
worker for hung above 5,000. The age in an earlier heartbeat is ignored: without the deadline of that request,
which only the worker knows, it is no sign of a hung worker.
"""

from __future__ import annotations

OVERDUE_MARK = b"overdue"


def encode_heartbeat(overdue_ms: float) -> str:
    """A heartbeat, without its line end."""
    return f"beat {overdue_ms:.0f} {OVERDUE_MARK.decode()}"


def parse_overdue_s(fields: list[bytes]) -> float:
    """For how long a request of the worker is overdue, in seconds, by the fields of its heartbeat."""
    return float(fields[1]) / 1000 if fields[2:] == [OVERDUE_MARK] else 0.0
