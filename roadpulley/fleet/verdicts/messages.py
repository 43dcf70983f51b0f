"""What instances tell each other of backends.

A report is what one instance (its name and boot: an observer) saw of one backend lately. Only the observer
makes its reports, each with a higher version than the one before; everybody else keeps the highest that it
was told. So merging is commutative, associative and idempotent, and an older report does nothing.

| who      | remembers                                    | refuses                                         |
| -------- | -------------------------------------------- | ----------------------------------------------- |
| observer | what it saw in the last moments, by its      | to report at all, while most of what it uses    |
|          | workers; its last version                    | seems to fail: then the fault is likely its own |
| instance | the reports of all, with when they came; for | a report of a version that is not above the one |
|          | a while also those that have ended           | known; one whose time was over when it came     |
| gateway  | the verdicts told last, with their age       | one of an earlier start of a backend; one from  |
|          |                                              | before its own last answer; any that was not    |
|          |                                              | told again within `told_s`                      |

Staleness: a report counts for `life` from when its evidence was seen, by the wall clocks of observer and
reader, and for no longer than `life` from when it came, by the reader's own; so nobody acts on one that is
older than `life` and the skew of the two clocks. Safety does not rest on it: a verdict makes a backend dear,
and verdicts never take more than a stated share of them.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from roadpulley.fleet.duties.terms import ProcessId

MAX_REPORTS_PER_BATCH = 12  # reports in one datagram's body
MAX_ROWS = 64  # backends that one process tells of, the ones that fail most first


class HealthReport(msgspec.Struct, array_like=True, frozen=True):
    """Tries and failures in the observer's window; `seen_ms`: wall clock of the last of them.

    `run`: consecutive failures up to the last try; 0 if that was served, or its observer does not tell.
    """

    backend: int
    started: float  # of the backend's process: reports on an earlier one say nothing
    version: int
    tries: float
    failures: float
    seen_ms: int
    failure_run: float = 0.0


class HealthReportBatch(msgspec.Struct, tag="v-claims", array_like=True, frozen=True):
    """Of one observer, from itself."""

    owner: ProcessId
    reports: tuple[HealthReport, ...]


Body: TypeAlias = HealthReportBatch


# ---- between an instance and the processes beside it ----


class ObservationRow(msgspec.Struct, array_like=True, frozen=True):
    backend: int
    started: float
    tries: float
    failures: float
    age_ms: int  # of the last try
    failure_run: float = 0.0  # consecutive failures up to it


class ObservationBatch(msgspec.Struct, tag="v-saw", array_like=True, frozen=True):
    """What a gateway's process saw lately. `ready`: backends that it knows to be there."""

    holder: int
    ready: int
    rows: tuple[ObservationRow, ...]


class Verdict(msgspec.Struct, array_like=True, frozen=True):
    """`level`: how likely it fails, 0 to 1."""

    backend: int
    started: float
    level: float
    age_ms: int


class VerdictSnapshot(msgspec.Struct, tag="v-told", array_like=True, frozen=True):
    """All verdicts that hold now; told again and again, as none is kept without."""

    verdicts: tuple[Verdict, ...]
