"""Recent tries and failures of backends, as one process observes them. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from mintford.interface import Outcome
from roadpulley.fleet.duties.terms import MonotonicTime

from .messages import MAX_ROWS, ObservationRow

WINDOW_S = 1.5  # time constant of the decay of tries and failures
# Weight that earlier tries keep at each new one. A backend that begins to fail has served until then, and its
# earlier successes must not hide that.
CARRY_RATIO = 0.6
MIN_TRIES = 0.2  # after decay; an observation with fewer tries is dropped
# Other outcomes don't count: a full queue is a sign of load, and a request that its client or this gateway
# cancelled says nothing about the backend. Counted as failures, they would condemn a healthy backend.
FAILURES = {Outcome.FAILED, Outcome.RESET, Outcome.CONNECT, Outcome.TIMED_OUT}


@dataclass(slots=True)
class BackendObservation:
    """Decaying counts of tries and failures of one process of a backend, started at `started`."""

    started: float
    tries: float
    failures: float
    tried_at: MonotonicTime
    failure_run: float = 0.0  # consecutive failures up to the last try

    def decay_factor(self, now: MonotonicTime) -> float:
        """Factor of the decay since the last try."""
        return math.exp((self.tried_at - now) / WINDOW_S)


class BackendObservations:
    """Decaying counts of tries and failures of all backends that this process uses."""

    def __init__(self) -> None:
        self.observations: dict[int, BackendObservation] = {}

    def record(self, now: MonotonicTime, backend: int, started: float, outcome: Outcome) -> None:
        """Adds a try; a new process of the backend starts with no tries."""
        if outcome is not Outcome.OK and outcome not in FAILURES:
            return
        observation = self.observations.get(backend)
        if observation is None or observation.started != started:
            observation = self.observations[backend] = BackendObservation(started, 0.0, 0.0, now)
        decay = observation.decay_factor(now) * CARRY_RATIO
        observation.tries = observation.tries * decay + 1
        observation.failures = observation.failures * decay + (outcome is not Outcome.OK)
        observation.failure_run = 0.0 if outcome is Outcome.OK else observation.failure_run + 1
        observation.tried_at = now

    def build_rows(self, now: MonotonicTime) -> list[ObservationRow]:
        """Recent observations, those with the most failures first."""
        result = []
        for backend, observation in list(self.observations.items()):
            decay = observation.decay_factor(now)
            if observation.tries * decay < MIN_TRIES:
                del self.observations[backend]
                continue
            age_ms = int(1000 * (now - observation.tried_at))
            result.append(
                ObservationRow(
                    backend,
                    observation.started,
                    observation.tries * decay,
                    observation.failures * decay,
                    age_ms,
                    observation.failure_run,
                )
            )
        return sorted(result, key=lambda row: -row.failures)[:MAX_ROWS]
