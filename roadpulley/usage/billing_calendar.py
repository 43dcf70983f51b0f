"""Which billing periods are over and not closed: by the calendar, in UTC. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

HOUR_S = 3_600
PERIOD_LENGTHS = ("day", "month")
MOST_AT_ONCE = 62  # periods that one round closes, oldest first; the next round goes on


@dataclass(frozen=True)
class Calendar:
    """`start`: the first hour that is billed, since 1970; `grace`: hours that late use is waited for."""

    period_length: str
    first_hour: int
    grace_hours: int


@dataclass(frozen=True)
class DuePeriod:
    """Hours since 1970, the end is the first after it."""

    name: str
    start: int
    end: int


def list_due_periods(calendar: Calendar, closed: int, now_hour: int) -> list[DuePeriod]:
    """Those to close, oldest first; `closed`: the first hour that is not closed yet, 0 where none is.

    Danger: a period that is closed before its use has come makes all of that an adjustment.
    """
    found: list[DuePeriod] = []
    at = max(calendar.first_hour, closed)
    while len(found) < MOST_AT_ONCE:
        name, end = find_period(calendar.period_length, at)
        if end + calendar.grace_hours > now_hour:
            break
        found.append(DuePeriod(name, at, end))
        at = end
    return found


def find_period(every: str, hour: int) -> tuple[str, int]:
    """The name of the period that an hour is in, and the first hour after it."""
    at = datetime.fromtimestamp(hour * HOUR_S, UTC)
    day = at.replace(hour=0, minute=0, second=0, microsecond=0)
    if every == "day":
        name, after = f"{day:%Y-%m-%d}", day + timedelta(days=1)
    else:
        first = day.replace(day=1)
        name, after = f"{first:%Y-%m}", (first + timedelta(days=32)).replace(day=1)
    return name, int(after.timestamp()) // HOUR_S
