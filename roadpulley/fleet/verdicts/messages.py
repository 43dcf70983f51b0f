"""Messages about the health of backends, between instances and to their gateway processes.

A report is what one instance (an observer, identified by name and boot) has recently observed of one backend.
Only the observer creates its reports, each with a higher version than the one before; all others keep the
highest version. So merging is commutative, associative and idempotent, and an older report has no effect.

| role     | remembers                                  | refuses                                           |
| -------- | ------------------------------------------ | ------------------------------------------------- |
| observer | the recent observations of its workers;    | to report failures while most backends that it    |
|          | its last version                           | uses seem to fail: the fault is likely its own    |
| instance | the reports of all, with their time of     | a report whose version is not above the known     |
|          | receipt, for a while also expired ones     | one; a report that had expired when it arrived    |
| gateway  | the last snapshot of verdicts, with their  | a verdict on an earlier process of a backend; one |
|          | age                                        | older than its own last response from the         |
|          |                                            | backend; all, if no snapshot arrives for some     |
|          |                                            | report intervals                                  |

Staleness: a report counts for its lifetime (`VerdictSettings.report_lifetime_s`) from its last observation,
by the wall clocks of observer and reader, and no longer than its lifetime from its receipt, by the reader's
monotonic clock. So no instance acts on a report older than its lifetime plus the skew of the two clocks.
Safety does not depend on that: a verdict only makes a backend less preferred, and verdicts never affect more
than a set ratio of the backends.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from roadpulley.fleet.duties.terms import ProcessId

MAX_REPORTS_PER_BATCH = 12  # a batch has to fit into a datagram
MAX_ROWS = 64  # backends in one batch; those with the most failures come first


class HealthReport(msgspec.Struct, array_like=True, frozen=True):
    """Decayed tries and failures of one observer; `last_try_ms` is the wall clock time of the last try.

    `failure_run`: consecutive failures up to the last try; 0 if that succeeded or an older version sent this.
    """

    backend: int
    started: float  # start of the backend's process; reports on an earlier one don't count
    version: int
    tries: float
    failures: float
    last_try_ms: int
    failure_run: float = 0.0


class HealthReportBatch(msgspec.Struct, tag="v-claims", array_like=True, frozen=True):
    """Reports of one observer, sent by itself."""

    owner: ProcessId
    reports: tuple[HealthReport, ...]


Body: TypeAlias = HealthReportBatch


# ---- between an instance and its local processes ----


class ObservationRow(msgspec.Struct, array_like=True, frozen=True):
    """The decayed tries and failures of one backend in one gateway process."""

    backend: int
    started: float
    tries: float
    failures: float
    age_ms: int  # since the last try
    failure_run: float = 0.0  # consecutive failures up to the last try


class ObservationBatch(msgspec.Struct, tag="v-saw", array_like=True, frozen=True):
    """The recent observations of a gateway process. `ready` is the number of backends that are ready."""

    holder: int
    ready: int
    rows: tuple[ObservationRow, ...]


class Verdict(msgspec.Struct, array_like=True, frozen=True):
    """A verdict on one backend; `level` is the likelihood that it fails, from 0 to 1."""

    backend: int
    started: float
    level: float
    age_ms: int


class VerdictSnapshot(msgspec.Struct, tag="v-told", array_like=True, frozen=True):
    """All current verdicts. It is sent repeatedly, as gateways drop verdicts without it."""

    verdicts: tuple[Verdict, ...]
