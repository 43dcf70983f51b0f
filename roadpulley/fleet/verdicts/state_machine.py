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

MAX_TRIES_PER_OBSERVER = 6.0  # no observer may outweigh all others
PRIOR_TRIES = 1.0  # successful tries that every backend starts with
ENTER_RATIO = 0.5  # ratio of failed tries at which a verdict starts
LEAVE_RATIO = 0.25  # ratio of failed tries below which a verdict ends
# Ratio of failed tries at which an observer finds a backend failing even if its last try succeeded.
FAILING_RATIO = 0.5
MIN_FAILURES_ALONE = 2.5  # for a verdict by a single observer, if there are at most two instances
# If a larger ratio of the backends that an observer uses seems to fail, the fault is likely its own.
MAX_OWN_FAILING_RATIO = 0.5
MIN_OWN_BACKENDS = 3  # backends that an observer must use for that check
SERVED_BEFORE_MARGIN_MS = 200.0  # a success this long before a failure of other observers is ignored
PANIC_RATIO = 0.5  # if more than this ratio of the backends seems to fail, there are no verdicts
# An expired report is stored for this many lifetimes, so that no older one that arrives late replaces it.
RETENTION_LIFETIMES = 10.0
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
    weight = min(1.0, MAX_TRIES_PER_OBSERVER / max(tries, 1e-9))
    return weight * tries, weight * failures


@dataclass(frozen=True)
class VerdictSettings:
    """Timing in seconds. `max_share` is the maximum ratio of the backends with a verdict."""

    report_interval_s: float = 0.25
    report_lifetime_s: float = 3.0
    max_share: float = 0.3


@dataclass(slots=True)
class StoredReport:
    """A report and its time of receipt, by the local monotonic clock."""

    report: HealthReport
    received_at: MonotonicTime


@dataclass
class HealthReportTable:
    """All known reports, by observer and backend."""

    identity: ProcessId
    settings: VerdictSettings
    version: int = 0
    reports_by_observer: dict[ProcessId, dict[int, StoredReport]] = field(default_factory=dict)
    # Latest observations of the local processes, by backend.
    own_rows: dict[int, ObservationRow] = field(default_factory=dict)
    ready: int = 0
    # Levels of the current verdicts, by backend.
    active_levels: dict[int, float] = field(default_factory=dict)
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
            for b, stored in reports.items()
            if stored.report.failures
        }
        failing = {b for b, row in self.own_rows.items() if is_failing(row)}
        reported_rows = {b: self.own_rows[b] for b in sorted(failing | (disputed & set(self.own_rows)))}
        if self.is_self_suspect():
            # A gateway with a broken network interface finds all backends failing, and would make all others
            # avoid them. It withdraws its earlier reports by reports without tries.
            own_reports = self.reports_by_observer.get(self.identity, {}).values()
            reported_rows = {
                r.report.backend: ObservationRow(r.report.backend, r.report.started, 0.0, 0.0, 0)
                for r in own_reports
            }
        reports = []
        for backend, row in reported_rows.items():
            self.version += 1
            last_try = wall_ms - row.age_ms
            reports.append(
                HealthReport(
                    backend, row.started, self.version, row.tries, row.failures, last_try, row.failure_run
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
        """Merges the reports of another observer, except invalid and expired ones."""
        for report in reports.reports:
            if (
                self._is_valid(report)
                and wall_ms - report.last_try_ms <= 1000 * self.settings.report_lifetime_s
            ):
                self._store(now, reports.owner, report)

    def _is_valid(self, report: HealthReport) -> bool:
        has_valid_counts = 0 <= report.failures <= report.tries + 1e-6 and report.tries < math.inf
        return has_valid_counts and report.version > 0 and report.failure_run >= 0

    def _store(self, now: MonotonicTime, owner: ProcessId, report: HealthReport) -> None:
        observer_reports = self.reports_by_observer.setdefault(owner, {})
        previous = observer_reports.get(report.backend)
        if previous is not None and previous.report.version >= report.version:
            return
        if previous is None and self.report_count >= MAX_REPORTS:
            self.rejected_count += 1
            return
        self.report_count += previous is None
        observer_reports[report.backend] = StoredReport(report, now)

    def expire(self, now: MonotonicTime) -> None:
        """Drops reports that are so old that no older ones can arrive any more."""
        for owner, reports in list(self.reports_by_observer.items()):
            for backend, stored in list(reports.items()):
                if now - stored.received_at > RETENTION_LIFETIMES * self.settings.report_lifetime_s:
                    del reports[backend]
                    self.report_count -= 1
            if not reports:
                del self.reports_by_observer[owner]

    def iter_fresh(self, now: MonotonicTime, wall_ms: int) -> Iterator[tuple[ProcessId, HealthReport]]:
        """All unexpired reports, with their observers."""
        lifetime_s = self.settings.report_lifetime_s
        for owner, reports in self.reports_by_observer.items():
            for stored in reports.values():
                if (
                    now - stored.received_at < lifetime_s
                    and wall_ms - stored.report.last_try_ms < 1000 * lifetime_s
                ):
                    yield owner, stored.report

    # ---- verdicts ----

    def judge(self, now: MonotonicTime, wall_ms: int, instances: int) -> list[Verdict]:
        """The current verdicts, for a fleet of `instances` live instances."""
        by_backend: dict[int, list[HealthReport]] = {}
        for _, report in self.iter_fresh(now, wall_ms):
            by_backend.setdefault(report.backend, []).append(report)
        verdicts = []
        for backend, reports in by_backend.items():
            # Reports on an earlier process at this address don't apply to the current one. They would
            # condemn a backend that has been restarted.
            started = max(report.started for report in reports)
            current_reports = [report for report in reports if report.started == started]
            verdict = self._judge_backend(wall_ms, backend, started, current_reports, instances)
            if verdict is not None:
                verdicts.append(verdict)
        verdicts.sort(key=lambda v: (-v.level, v.backend))
        # Verdicts on most of the capacity would do more harm than the failing backends.
        if len(verdicts) > PANIC_RATIO * self.ready:
            verdicts = []
        verdicts = verdicts[: max(1, int(self.settings.max_share * self.ready))]
        self.active_levels = {verdict.backend: verdict.level for verdict in verdicts}
        return verdicts

    def _judge_backend(
        self, wall_ms: int, backend: int, started: float, reports: list[HealthReport], instances: int
    ) -> Verdict | None:
        tries = failures = 0.0
        failing_observers = 0
        last_failure = max((report.last_try_ms for report in reports if is_failing(report)), default=0)
        for report in reports:
            has_failing = is_failing(report)
            if report.last_try_ms < last_failure - SERVED_BEFORE_MARGIN_MS and not has_failing:
                continue  # its last success was before the failures began, and it has not tried since
            counted_tries, counted_failures = capped_counts(report)
            tries, failures = tries + counted_tries, failures + counted_failures
            failing_observers += has_failing
        level = failures / (tries + PRIOR_TRIES)
        threshold = LEAVE_RATIO if backend in self.active_levels else ENTER_RATIO
        # A single observer may have a fault of its own. Its reports are sufficient only if there is no third
        # instance.
        is_sufficient = failing_observers >= 2 or (
            failing_observers == 1 and instances <= 2 and failures >= MIN_FAILURES_ALONE
        )
        if level < threshold or not (is_sufficient or (failing_observers and backend in self.active_levels)):
            return None
        return Verdict(backend, started, min(1.0, level), max(0, wall_ms - last_failure))
