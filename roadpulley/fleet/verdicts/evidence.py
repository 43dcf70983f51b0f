"""What one process sees of backends: tries and failures of the last moments. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from mintford.interface import Outcome
from roadpulley.fleet.duties.terms import MonotonicTime

from .messages import MAX_ROWS, ObservationRow

WINDOW_S = 1.5  # memory of tries and failures
CARRY_RATIO = 0.6  # of what came before, at each try: a backend that begins to fail served until then
MIN_TRIES = 0.2  # tries: under this it was not observation lately
# Danger: a full queue is load, and a request that its client or this gateway called off says nothing.
FAILURES = {Outcome.FAILED, Outcome.RESET, Outcome.CONNECT, Outcome.TIMED_OUT}


@dataclass(slots=True)
class BackendObservation:
    started: float
    tries: float
    failures: float
    tried_at: MonotonicTime
    failure_run: float = 0.0  # consecutive failures up to now

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
        """Of what was observation lately, the ones that fail most first."""
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
