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

MIN_JUDGE_INTERVAL_S = 0.03  # before a tick on new failures; doubles up to the report interval
OBSERVATION_LIFETIME_S = 1.0  # a local process that sends none for longer is ignored
MAX_AGES = 4_096  # samples; older ones are dropped

log = structlog.get_logger("roadpulley.fleet.verdicts")


def read_verdict_settings(table: Table) -> VerdictSettings:
    """Raises ValidationError."""
    interval_s = table.read_number("say_s", 0.25, 0.05, 5)
    lifetime_s = table.read_number("life_s", 3.0, 0.5, 60)
    max_ratio = table.read_number("most_share", 0.3, 0.0, 1.0)
    table.reject_unknown_keys()
    return VerdictSettings(interval_s, lifetime_s, max_ratio)


def total_failures(batch: ObservationBatch) -> float:
    """The decayed failures at all backends of a batch."""
    return sum(row.failures for row in batch.rows)


def merge_observations(first: ObservationRow, second: ObservationRow) -> ObservationRow:
    """Merges the observations of two processes; the later try decides whether the run continues."""
    later, earlier = (first, second) if first.age_ms <= second.age_ms else (second, first)
    merged_run = later.failure_run + earlier.failure_run if later.failure_run else 0.0
    tries, failures = first.tries + second.tries, first.failures + second.failures
    return ObservationRow(first.backend, first.started, tries, failures, later.age_ms, merged_run)


class VerdictService:
    """`send` sends a message to another instance; `peer_routes` returns the routes to all others."""

    def __init__(
        self,
        settings: VerdictSettings,
        identity: ProcessId,
        local_processes: WorkerSocket,
        clock: Clock,
        send: Callable[[Route, Body], None],
        peer_routes: Callable[[], list[Route]],
    ) -> None:
        self.settings = settings
        self.identity = identity
        self.local_processes = local_processes
        self.clock = clock
        self.send, self.peer_routes = send, peer_routes
        self.table = HealthReportTable(identity, settings)
        # By local process: time of receipt and observations.
        self.observations: dict[int, tuple[MonotonicTime, ObservationBatch]] = {}
        self.verdicts: list[Verdict] = []
        self.age_samples_ms: deque[int] = deque(maxlen=MAX_AGES)
        self.foreign_reports = 0  # count of batches sent in the name of another observer
        self.ticked_at: MonotonicTime = 0.0
        self.judge_interval_s = MIN_JUDGE_INTERVAL_S
        self.judge_timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    # ---- lifecycle ----

    def open(self) -> None:
        """Starts the periodic tick."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stops the periodic tick."""
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
            delay_s = max(0.0, self.ticked_at + self.judge_interval_s - self.clock.now())
            self.judge_interval_s = min(self.settings.report_interval_s, 2 * self.judge_interval_s)
            self.judge_timer = asyncio.get_running_loop().call_later(delay_s, self._tick)

    def _tick(self) -> None:
        if self.judge_timer is not None:
            self.judge_timer.cancel()
            self.judge_timer = None
        self.ticked_at = self.clock.now()
        now, wall_time_ms, routes = self.clock.now(), wall_ms(), self.peer_routes()
        ready, rows = self._merge_observations(now)
        for batch in self.table.record_local(now, wall_time_ms, ready, rows):
            for route in routes:
                self.send(route, batch)
        self.table.expire(now)
        previous, self.verdicts = self.verdicts, self.table.judge(now, wall_time_ms, len(routes) + 1)
        self._log_changes(previous)
        if self.verdicts or previous:
            self.age_samples_ms.extend(verdict.age_ms for verdict in self.verdicts)
            self.local_processes.send_to_all(VerdictSnapshot(tuple(self.verdicts)))

    def _merge_observations(self, now: MonotonicTime) -> tuple[int, Iterable[ObservationRow]]:
        """Merges the observations of the local processes."""
        self.observations = {
            holder: (received_at, batch)
            for holder, (received_at, batch) in self.observations.items()
            if now - received_at < OBSERVATION_LIFETIME_S
        }
        merged: dict[int, ObservationRow] = {}
        for _, batch in self.observations.values():
            for row in batch.rows:
                existing = merged.get(row.backend)
                if existing is None or existing.started < row.started:
                    merged[row.backend] = row
                elif existing.started == row.started:
                    merged[row.backend] = merge_observations(existing, row)
        # A local process that is late by a second has lost no backends. If none counted as ready, each
        # verdict would seem to be one on most of them, and be dropped.
        ready = max((batch.ready for _, batch in self.observations.values()), default=self.table.ready)
        return ready, merged.values()

    def _log_changes(self, previous: list[Verdict]) -> None:
        previous_backends, current = {v.backend for v in previous}, {v.backend: v for v in self.verdicts}
        for backend in sorted(previous_backends - set(current)):
            log.info("a verdict ends", backend=backend)
        for backend in sorted(set(current) - previous_backends):
            log.info("a verdict begins", backend=backend, level=round(current[backend].level, 2))

    # ---- messages ----

    def handle_peer_message(self, sender: ProcessId, batch: Body) -> None:
        """Merges the reports of another instance; new failures make the next tick earlier."""
        if batch.owner != sender:
            # Reports in the name of another observer could outlive that observer's own, or be forged.
            self.foreign_reports += 1
            return
        self.table.merge_remote(self.clock.now(), wall_ms(), batch)
        if any(report.failures for report in batch.reports):
            self._schedule_tick()

    def handle_observations(self, batch: ObservationBatch) -> None:
        """Stores the observations of a local process; new failures make the next tick earlier."""
        _, previous = self.observations.get(batch.holder, (0.0, None))
        self.observations[batch.holder] = self.clock.now(), batch
        if total_failures(batch) > (total_failures(previous) if previous is not None else 0.0):
            self._schedule_tick()

    # ---- reporting ----

    def report(self) -> dict[str, Any]:
        """All current reports and verdicts, for operators."""
        now, wall_time_ms = self.clock.now(), wall_ms()
        reports: dict[int, list[str]] = {}
        for owner, report in self.table.iter_fresh(now, wall_time_ms):
            descriptions = f"{owner.name}: {report.failures:.1f} of {report.tries:.1f}"
            reports.setdefault(report.backend, []).append(descriptions)
        levels = {v.backend: v for v in self.verdicts}
        ages = sorted(self.age_samples_ms)
        return {
            "verdicts": [
                {
                    "backend": backend,
                    "level": round(levels[backend].level, 2) if backend in levels else "none",
                    "age_ms": levels[backend].age_ms if backend in levels else "",
                    "failed": "; ".join(sorted(descriptions)),
                }
                for backend, descriptions in sorted(reports.items())
            ],
            "most_of_its_own_fails": self.table.is_self_suspect(),
            "ages_ms": {q: ages[int(share * (len(ages) - 1))] for q, share in (("p50", 0.5), ("p99", 0.99))}
            if ages
            else {},
            "claims": self.table.report_count,
            "not_taken": self.table.rejected_count,
            "foreign": self.foreign_reports,
        }
