"""Health reports of all observers and the verdicts that follow. Pure: time and reports in, verdicts out.

It follows Envoy's outlier ejection (a maximum ratio of backends, a panic threshold), phi accrual (levels
instead of a binary decision) and Prequal's probes (a suspected backend still gets a few requests, which
restore it). See docs/design/verdicts.md.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from roadpulley.fleet.duties.terms import MonotonicTime, ProcessId

from .messages import MAX_REPORTS_PER_BATCH, HealthReport, HealthReportBatch, ObservationRow, Verdict

MAX_TRIES_PER_OBSERVER = 6.0  # so that no observer outweighs all others
PRIOR_TRIES = 1.0  # successful tries that every backend starts with
ENTER_RATIO = 0.5  # of failed tries, at which a verdict begins
LEAVE_RATIO = 0.25  # of failed tries, below which a verdict ends
FAILING_RATIO = 0.5  # of failed tries: an observer finds a backend failing though its last try succeeded
MIN_FAILURES_ALONE = 2.5  # failures for a verdict by a single observer, if there are at most two
MAX_OWN_FAILING_RATIO = (
    0.5  # of the backends an observer uses; if more seem to fail, the fault is likely its own
)
MIN_OWN_BACKENDS = 3  # backends that an observer must use for that check
SERVED_BEFORE_MARGIN_MS = 200.0  # a success this long before a failure of other observers is ignored
PANIC_RATIO = 0.5  # of all backends; if more seem to fail, there are no verdicts
RETENTION_LIFETIMES = 10.0  # report lifetimes for which a report is kept, so that no older one replaces it
MAX_REPORTS = 20_000  # at this number, reports of further backends are rejected


def is_failing(evidence: HealthReport | ObservationRow) -> bool:
    """Whether one observer finds a backend failing.

    A failure as its last try is enough. An observer avoids a backend from its first failure on, so a second
    failure, which would outweigh the earlier successes, may never occur.
    """
    return evidence.failure_run > 0 or evidence.failures >= FAILING_RATIO * evidence.tries


def capped_counts(report: HealthReport) -> tuple[float, float]:
    """The tries and failures of a report that are relevant to the current state of the backend.

    If the backend has begun to fail, only those since then count: earlier successes of this observer are as
    outdated as those of other observers. The tries are limited to `MAX_TRIES_PER_OBSERVER`.
    """
    tries, failures = report.tries, report.failures
    if report.failure_run > 0:
        tries, failures = min(tries, report.failure_run), min(failures, report.failure_run)
    part = min(1.0, MAX_TRIES_PER_OBSERVER / max(tries, 1e-9))
    return part * tries, part * failures


@dataclass(frozen=True)
class VerdictSettings:
    """Timing in seconds. `max_share` is the maximum ratio of the backends with a verdict."""

    report_interval_s: float = 0.25
    report_lifetime_s: float = 3.0
    max_share: float = 0.3


@dataclass(slots=True)
class StoredReport:
    report: HealthReport
    received_at: MonotonicTime


@dataclass
class HealthReportTable:
    """All known reports, by observer and backend."""

    identity: ProcessId
    settings: VerdictSettings
    version: int = 0
    reports_by_observer: dict[ProcessId, dict[int, StoredReport]] = field(default_factory=dict)
    own_rows: dict[int, ObservationRow] = field(
        default_factory=dict
    )  # latest observations of the local processes, by backend
    ready: int = 0
    active_levels: dict[int, float] = field(
        default_factory=dict
    )  # levels of the current verdicts, by backend
    report_count: int = 0
    rejected_count: int = 0

    # ---- local observations ----

    def record_local(
        self, now: MonotonicTime, wall_ms: int, ready: int, rows: Iterable[ObservationRow]
    ) -> list[HealthReportBatch]:
        """Stores the local observations; returns the batches to send to all other instances."""
        self.ready, self.own_rows = ready, {row.backend: row for row in rows}
        disputed = {
            b
            for reports in self.reports_by_observer.values()
            for b, kept in reports.items()
            if kept.report.failures
        }
        failing = {b for b, row in self.own_rows.items() if is_failing(row)}
        told = {b: self.own_rows[b] for b in sorted(failing | (disputed & set(self.own_rows)))}
        if self.is_self_suspect():
            # A gateway with a broken network interface finds all backends failing, and would make all others
            # avoid them. It withdraws its earlier reports by reports without tries.
            mine = self.reports_by_observer.get(self.identity, {}).values()
            told = {
                k.report.backend: ObservationRow(k.report.backend, k.report.started, 0.0, 0.0, 0)
                for k in mine
            }
        reports = []
        for backend, row in told.items():
            self.version += 1
            seen = wall_ms - row.age_ms
            reports.append(
                HealthReport(
                    backend, row.started, self.version, row.tries, row.failures, seen, row.failure_run
                )
            )
        for report in reports:
            self._store(now, self.identity, report)
        return [
            HealthReportBatch(self.identity, tuple(reports[n : n + MAX_REPORTS_PER_BATCH]))
            for n in range(0, len(reports), MAX_REPORTS_PER_BATCH)
        ]

    def is_self_suspect(self) -> bool:
        """Whether most backends that this instance uses seem to fail, so that the fault is likely its own."""
        failing = sum(is_failing(row) for row in self.own_rows.values())
        return len(self.own_rows) >= MIN_OWN_BACKENDS and failing > MAX_OWN_FAILING_RATIO * len(self.own_rows)

    # ---- reports ----

    def merge_remote(self, now: MonotonicTime, wall_ms: int, reports: HealthReportBatch) -> None:
        for report in reports.reports:
            if self._is_valid(report) and wall_ms - report.seen_ms <= 1000 * self.settings.report_lifetime_s:
                self._store(now, reports.owner, report)

    def _is_valid(self, report: HealthReport) -> bool:
        sound = 0 <= report.failures <= report.tries + 1e-6 and report.tries < math.inf
        return sound and report.version > 0 and report.failure_run >= 0

    def _store(self, now: MonotonicTime, owner: ProcessId, report: HealthReport) -> None:
        known = self.reports_by_observer.setdefault(owner, {})
        before = known.get(report.backend)
        if before is not None and before.report.version >= report.version:
            return
        if before is None and self.report_count >= MAX_REPORTS:
            self.rejected_count += 1
            return
        self.report_count += before is None
        known[report.backend] = StoredReport(report, now)

    def expire(self, now: MonotonicTime) -> None:
        """Drops reports that are so old that no older ones can arrive any more."""
        for owner, reports in list(self.reports_by_observer.items()):
            for backend, kept in list(reports.items()):
                if now - kept.received_at > RETENTION_LIFETIMES * self.settings.report_lifetime_s:
                    del reports[backend]
                    self.report_count -= 1
            if not reports:
                del self.reports_by_observer[owner]

    def iter_fresh(self, now: MonotonicTime, wall_ms: int) -> Iterator[tuple[ProcessId, HealthReport]]:
        life = self.settings.report_lifetime_s
        for owner, reports in self.reports_by_observer.items():
            for kept in reports.values():
                if now - kept.received_at < life and wall_ms - kept.report.seen_ms < 1000 * life:
                    yield owner, kept.report

    # ---- verdicts ----

    def judge(self, now: MonotonicTime, wall_ms: int, instances: int) -> list[Verdict]:
        """The current verdicts, for a fleet of `instances` live instances."""
        by_backend: dict[int, list[HealthReport]] = {}
        for _, report in self.iter_fresh(now, wall_ms):
            by_backend.setdefault(report.backend, []).append(report)
        found = []
        for backend, reports in by_backend.items():
            # Reports on an earlier process at this address don't apply to the current one. They would
            # condemn a backend that has been restarted.
            started = max(report.started for report in reports)
            of_it = [report for report in reports if report.started == started]
            verdict = self._judge_backend(wall_ms, backend, started, of_it, instances)
            if verdict is not None:
                found.append(verdict)
        found.sort(key=lambda v: (-v.level, v.backend))
        # Verdicts on most of the capacity would do more harm than the failing backends.
        if len(found) > PANIC_RATIO * self.ready:
            found = []
        found = found[: max(1, int(self.settings.max_share * self.ready))]
        self.active_levels = {verdict.backend: verdict.level for verdict in found}
        return found

    def _judge_backend(
        self, wall_ms: int, backend: int, started: float, reports: list[HealthReport], instances: int
    ) -> Verdict | None:
        tries = failures = 0.0
        agree = 0
        seen = max((report.seen_ms for report in reports if is_failing(report)), default=0)
        for report in reports:
            failing = is_failing(report)
            if report.seen_ms < seen - SERVED_BEFORE_MARGIN_MS and not failing:
                continue  # its last success was before the failures began, and it has not tried since
            more_tries, more_failures = capped_counts(report)
            tries, failures = tries + more_tries, failures + more_failures
            agree += failing
        level = failures / (tries + PRIOR_TRIES)
        least = LEAVE_RATIO if backend in self.active_levels else ENTER_RATIO
        # A single observer may have a fault of its own. Its reports are sufficient only if there is no third
        # instance.
        enough = agree >= 2 or (agree == 1 and instances <= 2 and failures >= MIN_FAILURES_ALONE)
        if level < least or not (enough or (agree and backend in self.active_levels)):
            return None
        return Verdict(backend, started, min(1.0, level), max(0, wall_ms - seen))
