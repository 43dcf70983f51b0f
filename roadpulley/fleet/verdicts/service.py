"""Exchanges health reports with other instances and sends verdicts to the local gateway processes."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

import structlog

from roadpulley.checks import Table
from roadpulley.fleet.clock import Clock, wall_ms
from roadpulley.fleet.duties.terms import MonotonicTime, ProcessId
from roadpulley.fleet.peers.service import Route
from roadpulley.fleet.worker_socket import WorkerSocket

from .messages import Body, ObservationBatch, ObservationRow, Verdict, VerdictSnapshot
from .state_machine import HealthReportTable, VerdictSettings

MIN_JUDGE_INTERVAL_S = 0.03  # after new failures; doubles each time, up to the report interval
OBSERVATION_LIFETIME_S = 1.0  # of the observations of a local process
MAX_AGES = 4_096  # the latest ages of sent verdicts

log = structlog.get_logger("roadpulley.fleet.verdicts")


def read_verdict_settings(table: Table) -> VerdictSettings:
    """Raises ValidationError."""
    say, life = table.read_number("say_s", 0.25, 0.05, 5), table.read_number("life_s", 3.0, 0.5, 60)
    share = table.read_number("most_share", 0.3, 0.0, 1.0)
    table.reject_unknown_keys()
    return VerdictSettings(say, life, share)


def total_failures(saw: ObservationBatch) -> float:
    return sum(row.failures for row in saw.rows)


def merge_observations(one: ObservationRow, other: ObservationRow) -> ObservationRow:
    """Merges the observations of two processes; the later try decides whether the run continues."""
    last, before = (one, other) if one.age_ms <= other.age_ms else (other, one)
    run = last.failure_run + before.failure_run if last.failure_run else 0.0
    tries, failures = one.tries + other.tries, one.failures + other.failures
    return ObservationRow(one.backend, one.started, tries, failures, last.age_ms, run)


class VerdictService:
    def __init__(
        self,
        settings: VerdictSettings,
        identity: ProcessId,
        local_processes: WorkerSocket,
        clock: Clock,
        send: Callable[[Route, Body], None],
        peer_routes: Callable[[], list[Route]],
    ) -> None:
        self.settings, self.identity, self.local_processes, self.clock = (
            settings,
            identity,
            local_processes,
            clock,
        )
        self.send, self.peer_routes = send, peer_routes
        self.table = HealthReportTable(identity, settings)
        self.observations: dict[
            int, tuple[MonotonicTime, ObservationBatch]
        ] = {}  # by local process: time of receipt and observations
        self.verdicts: list[Verdict] = []
        self.age_samples_ms: deque[int] = deque(maxlen=MAX_AGES)
        self.foreign_reports = 0  # count of batches sent in the name of another observer
        self.ticked_at: MonotonicTime = 0.0
        self.judge_interval_s = MIN_JUDGE_INTERVAL_S
        self.judge_timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    # ---- lifecycle ----

    def open(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        if self.judge_timer is not None:
            self.judge_timer.cancel()

    async def _run(self) -> None:
        while True:
            self._tick()
            self.judge_interval_s = max(MIN_JUDGE_INTERVAL_S, self.judge_interval_s / 2)
            await asyncio.sleep(self.settings.report_interval_s)

    def _schedule_tick(self) -> None:
        """Runs the next tick early, as requests reach a failing backend all the time."""
        if self.judge_timer is None:
            # If many backends fail at once, a report on each failure would flood all other instances.
            wait = max(0.0, self.ticked_at + self.judge_interval_s - self.clock.now())
            self.judge_interval_s = min(self.settings.report_interval_s, 2 * self.judge_interval_s)
            self.judge_timer = asyncio.get_running_loop().call_later(wait, self._tick)

    def _tick(self) -> None:
        if self.judge_timer is not None:
            self.judge_timer.cancel()
            self.judge_timer = None
        self.ticked_at = self.clock.now()
        now, wall, routes = self.clock.now(), wall_ms(), self.peer_routes()
        ready, rows = self._merge_observations(now)
        for reports in self.table.record_local(now, wall, ready, rows):
            for route in routes:
                self.send(route, reports)
        self.table.expire(now)
        before, self.verdicts = self.verdicts, self.table.judge(now, wall, len(routes) + 1)
        self._log_changes(before)
        if self.verdicts or before:
            self.age_samples_ms.extend(verdict.age_ms for verdict in self.verdicts)
            self.local_processes.send_to_all(VerdictSnapshot(tuple(self.verdicts)))

    def _merge_observations(self, now: MonotonicTime) -> tuple[int, Iterable[ObservationRow]]:
        """Merges the observations of the local processes."""
        self.observations = {
            holder: (at, saw)
            for holder, (at, saw) in self.observations.items()
            if now - at < OBSERVATION_LIFETIME_S
        }
        found: dict[int, ObservationRow] = {}
        for _, saw in self.observations.values():
            for row in saw.rows:
                known = found.get(row.backend)
                if known is None or known.started < row.started:
                    found[row.backend] = row
                elif known.started == row.started:
                    found[row.backend] = merge_observations(known, row)
        return max((saw.ready for _, saw in self.observations.values()), default=0), found.values()

    def _log_changes(self, before: list[Verdict]) -> None:
        was, now = {v.backend for v in before}, {v.backend: v for v in self.verdicts}
        for backend in sorted(was - set(now)):
            log.info("a verdict ends", backend=backend)
        for backend in sorted(set(now) - was):
            log.info("a verdict begins", backend=backend, level=round(now[backend].level, 2))

    # ---- messages ----

    def handle_peer_message(self, who: ProcessId, body: Body) -> None:
        if body.owner != who:
            # Reports in the name of another observer could outlive that observer's own, or be forged.
            self.foreign_reports += 1
            return
        self.table.merge_remote(self.clock.now(), wall_ms(), body)
        if any(report.failures for report in body.reports):
            self._schedule_tick()

    def handle_observations(self, saw: ObservationBatch) -> None:
        _, before = self.observations.get(saw.holder, (0.0, None))
        self.observations[saw.holder] = self.clock.now(), saw
        if total_failures(saw) > (total_failures(before) if before is not None else 0.0):
            self._schedule_tick()

    # ---- reporting ----

    def report(self) -> dict[str, Any]:
        now, wall = self.clock.now(), wall_ms()
        reports: dict[int, list[str]] = {}
        for owner, report in self.table.iter_fresh(now, wall):
            words = f"{owner.name}: {report.failures:.1f} of {report.tries:.1f}"
            reports.setdefault(report.backend, []).append(words)
        levels = {v.backend: v for v in self.verdicts}
        ages = sorted(self.age_samples_ms)
        return {
            "verdicts": [
                {
                    "backend": backend,
                    "level": round(levels[backend].level, 2) if backend in levels else "none",
                    "age_ms": levels[backend].age_ms if backend in levels else "",
                    "failed": "; ".join(sorted(words)),
                }
                for backend, words in sorted(reports.items())
            ],
            "most_of_its_own_fails": self.table.is_self_suspect(),
            "ages_ms": {q: ages[int(share * (len(ages) - 1))] for q, share in (("p50", 0.5), ("p99", 0.99))}
            if ages
            else {},
            "claims": self.table.report_count,
            "not_taken": self.table.rejected_count,
            "foreign": self.foreign_reports,
        }
