"""Health reports of all observers and the verdicts that follow. Pure: time and reports in, verdicts out.

Known rules weighed: Envoy's outlier ejection (a share that is never exceeded, a panic threshold), phi accrual
(levels, not yes or no), Prequal's probes (few requests go on to a suspected backend and bring it back). See
docs/design/verdicts.md.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from roadpulley.fleet.duties.terms import MonotonicTime, ProcessId

from .messages import MAX_REPORTS_PER_BATCH, HealthReport, HealthReportBatch, ObservationRow, Verdict

MAX_TRIES_PER_OBSERVER = 6.0  # tries of one observer that count: none outweighs all others
PRIOR_TRIES = 1.0  # tries without a failure that each backend is granted
ENTER_RATIO = 0.5  # of the tries failed: a verdict begins
LEAVE_RATIO = 0.25  # of the tries failed: it ends
FAILING_RATIO = 0.5  # of the tries of one observer, where its last one was served: it has found it failing
MIN_FAILURES_ALONE = 2.5  # failures that one observer alone needs, where there are two
MAX_OWN_FAILING_RATIO = 0.5  # of what an observer uses: more that seems to fail is likely its own fault
MIN_OWN_BACKENDS = 3  # backends that it has to have met, for that to be told
SERVED_BEFORE_MARGIN_MS = 200.0  # an answer so long before a failure of others says nothing any more
PANIC_RATIO = 0.5  # of all backends: more that seem to fail are none
RETENTION_LIFETIMES = 10.0  # times the life, for which an ended report is kept against older ones
MAX_REPORTS = 20_000  # reports; beyond that none of new backends is taken up


def is_failing(evidence: HealthReport | ObservationRow) -> bool:
    """Whether one observer's evidence is of a backend that fails.

    A failure that nothing has followed is enough. Danger: an observer keeps off a backend from its first
    failure on, so that a second one, which would outweigh what was served before, may never come.
    """
    return evidence.failure_run > 0 or evidence.failures >= FAILING_RATIO * evidence.tries


def capped_counts(report: HealthReport) -> tuple[float, float]:
    """The tries and failures of a report that say something of the backend as it is now.

    Of one that has begun to fail, those since then: like what others were served before, what this observer
    was served before says nothing any more.
    """
    tries, failures = report.tries, report.failures
    if report.failure_run > 0:
        tries, failures = min(tries, report.failure_run), min(failures, report.failure_run)
    part = min(1.0, MAX_TRIES_PER_OBSERVER / max(tries, 1e-9))
    return part * tries, part * failures


@dataclass(frozen=True)
class VerdictSettings:
    """Seconds. `share`: of the backends, that verdicts take at most."""

    report_interval_s: float = 0.25
    report_lifetime_s: float = 3.0
    max_share: float = 0.3


@dataclass(slots=True)
class StoredReport:
    report: HealthReport
    received_at: MonotonicTime


@dataclass
class HealthReportTable:
    """All reports that are known, by observer and backend."""

    identity: ProcessId
    settings: VerdictSettings
    version: int = 0
    reports_by_observer: dict[ProcessId, dict[int, StoredReport]] = field(default_factory=dict)
    own_rows: dict[int, ObservationRow] = field(
        default_factory=dict
    )  # own evidence, as it was last told here
    ready: int = 0
    active_levels: dict[int, float] = field(default_factory=dict)  # verdicts of the last look, by backend
    report_count: int = 0
    rejected_count: int = 0

    # ---- own evidence ----

    def record_local(
        self, now: MonotonicTime, wall_ms: int, ready: int, rows: Iterable[ObservationRow]
    ) -> list[HealthReportBatch]:
        """What the processes beside saw lately; gives what to tell all others."""
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
            # Danger: a gateway with a broken card finds all backends failing, and would take them from all
            # others. It takes back what it has said.
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
        """Whether most of what is met from here fails, so that the fault is likely here."""
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
        """What has ended so long ago that nothing older can come any more."""
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

    # ---- to judge ----

    def judge(self, now: MonotonicTime, wall_ms: int, instances: int) -> list[Verdict]:
        """What holds now, for a fleet of so many instances that are seen."""
        by_backend: dict[int, list[HealthReport]] = {}
        for _, report in self.iter_fresh(now, wall_ms):
            by_backend.setdefault(report.backend, []).append(report)
        found = []
        for backend, reports in by_backend.items():
            # Danger: reports on an earlier process at this address say nothing of the one that is there now.
            started = max(report.started for report in reports)
            of_it = [report for report in reports if report.started == started]
            verdict = self._judge_backend(wall_ms, backend, started, of_it, instances)
            if verdict is not None:
                found.append(verdict)
        found.sort(key=lambda v: (-v.level, v.backend))
        # Danger: verdicts that took most of the capacity would do more harm than the backends.
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
                continue  # it was served before it began to fail, and has not met it since
            more_tries, more_failures = capped_counts(report)
            tries, failures = tries + more_tries, failures + more_failures
            agree += failing
        level = failures / (tries + PRIOR_TRIES)
        least = LEAVE_RATIO if backend in self.active_levels else ENTER_RATIO
        # Danger: one observer alone may have a fault of its own. It is enough where there is no third to ask.
        enough = agree >= 2 or (agree == 1 and instances <= 2 and failures >= MIN_FAILURES_ALONE)
        if level < least or not (enough or (agree and backend in self.active_levels)):
            return None
        return Verdict(backend, started, min(1.0, level), max(0, wall_ms - seen))
