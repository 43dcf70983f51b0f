"""Recent tries and failures of backends, as one process observes them. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from mintford.interface import Outcome
from roadpulley.fleet.duties.terms import MonotonicTime

from .messages import MAX_ROWS, ObservationRow

WINDOW_S = 1.5  # time constant of the decay of tries and failures
CARRY_RATIO = 0.6  # of the past that each try leaves: a failing backend served until it began to fail
MIN_TRIES = 0.2  # decayed tries, below which an observation is dropped
# Other outcomes don't count: a full queue is a sign of load, and a request that its client or this gateway
# cancelled says nothing about the backend. Counted as failures, they would condemn a healthy backend.
FAILURES = {Outcome.FAILED, Outcome.RESET, Outcome.CONNECT, Outcome.TIMED_OUT}


@dataclass(slots=True)
class BackendObservation:
    started: float
    tries: float
    failures: float
    tried_at: MonotonicTime
    failure_run: float = 0.0  # consecutive failures up to the last try

    def fade(self, now: MonotonicTime) -> float:
        return math.exp((self.tried_at - now) / WINDOW_S)


class BackendObservations:
    def __init__(self) -> None:
        self.observations: dict[int, BackendObservation] = {}

    def record(self, now: MonotonicTime, backend: int, started: float, outcome: Outcome) -> None:
        if outcome is not Outcome.OK and outcome not in FAILURES:
            return
        known = self.observations.get(backend)
        if known is None or known.started != started:
            known = self.observations[backend] = BackendObservation(started, 0.0, 0.0, now)
        fade = known.fade(now) * CARRY_RATIO
        known.tries = known.tries * fade + 1
        known.failures = known.failures * fade + (outcome is not Outcome.OK)
        known.failure_run = 0.0 if outcome is Outcome.OK else known.failure_run + 1
        known.tried_at = now

    def rows(self, now: MonotonicTime) -> list[ObservationRow]:
        """Recent observations, those with the most failures first."""
        found = []
        for backend, observation in list(self.observations.items()):
            fade = observation.fade(now)
            if observation.tries * fade < MIN_TRIES:
                del self.observations[backend]
                continue
            age = int(1000 * (now - observation.tried_at))
            found.append(
                ObservationRow(
                    backend,
                    observation.started,
                    observation.tries * fade,
                    observation.failures * fade,
                    age,
                    observation.failure_run,
                )
            )
        return sorted(found, key=lambda row: -row.failures)[:MAX_ROWS]
