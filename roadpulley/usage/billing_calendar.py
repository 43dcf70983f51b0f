"""Lists the billing periods that have ended and are not closed, by the calendar in UTC. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

HOUR_S = 3_600
PERIOD_LENGTHS = ("day", "month")
MAX_PERIODS_PER_ROUND = 62  # a round closes the oldest; the next round continues


@dataclass(frozen=True)
class Calendar:
    """When periods end and are closed.

    `period_length` is one of PERIOD_LENGTHS. `first_hour` is the first that is billed, in hours since 1970.
    `grace_hours` is how long late usage is awaited after the end of a period.
    """

    period_length: str
    first_hour: int
    grace_hours: int


@dataclass(frozen=True)
class DuePeriod:
    """A period to close. `start` and the exclusive `end` are in hours since 1970."""

    name: str
    start: int
    end: int


def list_due_periods(calendar: Calendar, closed_until: int, now_hour: int) -> list[DuePeriod]:
    """Returns the periods to close, oldest first.

    `closed_until` is the first hour that is not closed yet, 0 if none is closed. If a period were closed
    before its usage has arrived, all of that usage would become an adjustment.
    """
    found: list[DuePeriod] = []
    at = max(calendar.first_hour, closed_until)
    while len(found) < MAX_PERIODS_PER_ROUND:
        name, end = find_period(calendar.period_length, at)
        if end + calendar.grace_hours > now_hour:
            break
        found.append(DuePeriod(name, at, end))
        at = end
    return found


def find_period(period_length: str, hour: int) -> tuple[str, int]:
    """Returns the name of the period that contains the hour, and the first hour after the period."""
    at = datetime.fromtimestamp(hour * HOUR_S, UTC)
    day = at.replace(hour=0, minute=0, second=0, microsecond=0)
    if period_length == "day":
        name, after = f"{day:%Y-%m-%d}", day + timedelta(days=1)
    else:
        first = day.replace(day=1)
        name, after = f"{first:%Y-%m}", (first + timedelta(days=32)).replace(day=1)
    return name, int(after.timestamp()) // HOUR_S
