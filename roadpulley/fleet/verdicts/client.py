"""Verdicts in a gateway process: reports its observations, and passes verdicts to its decision module."""

from __future__ import annotations

import asyncio
from typing import Any

from mintford.interface import Outcome, PeerVerdictsChanged
from roadpulley.core.clock import now_ms
from roadpulley.core.driver import Driver
from roadpulley.fleet.agent_link import AgentLink
from roadpulley.fleet.clock import Clock, from_environment

from .evidence import FAILURES, BackendObservations
from .messages import ObservationBatch, VerdictSnapshot

MIN_REPORT_INTERVAL_S = 0.02  # between two reports on failures
MAX_MISSED_SNAPSHOTS = 4.0  # in report intervals; verdicts are dropped after more


class VerdictClient:
    """Implements `core.driver.AttemptObserver`.

    It reports every `report_interval_s`, and earlier on failures.
    """

    def __init__(
        self, line: AgentLink, driver: Driver, report_interval_s: float, clock: Clock | None = None
    ) -> None:
        self.line, self.driver, self.report_interval_s = line, driver, report_interval_s
        self.clock = clock or from_environment()
        self.observed = BackendObservations()
        self.reported_at = 0.0  # by `clock`
        self.snapshot_at = 0.0  # by `clock`; 0 if there are no verdicts
        line.listeners.append(self._handle_message)
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stops the periodic reports."""
        self.task.cancel()

    def record(self, backend: int, outcome: Outcome, duration_ms: float) -> None:
        """Records how a try at a backend ended, and how long it took."""
        backend_state = self.driver.gateway.fleet.backends.get(backend)
        if backend_state is None:
            return
        now = self.clock.now()
        sent_at = now - duration_ms / 1000
        self.observed.record(now, backend, backend_state.started, outcome, sent_at)
        if outcome in FAILURES and now - self.reported_at >= MIN_REPORT_INTERVAL_S:
            self._report(now)

    def _report(self, now: float) -> None:
        self.reported_at = now
        ready = sum(b.ready for b in self.driver.gateway.fleet.backends.values())
        self.line.send(ObservationBatch(self.line.worker_id, ready, tuple(self.observed.build_rows(now))))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self.report_interval_s)
            now = self.clock.now()
            self._report(now)
            # The last verdicts of an instance that has failed would otherwise apply here forever.
            if self.snapshot_at and now - self.snapshot_at > MAX_MISSED_SNAPSHOTS * self.report_interval_s:
                self._apply_verdicts({})

    def _handle_message(self, message: Any) -> None:
        if isinstance(message, VerdictSnapshot) and (message.verdicts or self.snapshot_at):
            now = now_ms()
            self._apply_verdicts({v.backend: (v.started, v.level, now - v.age_ms) for v in message.verdicts})

    def _apply_verdicts(self, verdicts: dict[int, tuple[float, float, float]]) -> None:
        self.snapshot_at = self.clock.now() if verdicts else 0.0
        self.driver.handle_event(PeerVerdictsChanged(verdicts))
