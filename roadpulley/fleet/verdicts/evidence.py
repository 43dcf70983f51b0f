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
# An answer tells the state in which the backend got the request, however late it comes. A success that was
# sent before the backend began to fail would else count against failures that others see since.
ANSWERS = {Outcome.OK, Outcome.FAILED}
MAX_ANSWER_AGE_S = 1.0  # of evidence from a slow answer: reports on it would expire too soon


@dataclass(slots=True)
class BackendObservation:
    """Decaying counts of tries and failures of one process of a backend, started at `started`."""

    started: float
    tries: float
    failures: float
    tried_at: MonotonicTime
    evidence_at: MonotonicTime  # the time that the latest evidence applies to, at most `tried_at`
    failure_run: float = 0.0  # consecutive failures up to the last try

    def decay_factor(self, now: MonotonicTime) -> float:
        """Factor of the decay since the last try."""
        return math.exp((self.tried_at - now) / WINDOW_S)


class BackendObservations:
    """Decaying counts of tries and failures of all backends that this process uses."""

    def __init__(self) -> None:
        self.observations: dict[int, BackendObservation] = {}

    def record(
        self,
        now: MonotonicTime,
        backend: int,
        started: float,
        outcome: Outcome,
        sent_at: MonotonicTime,
    ) -> None:
        """Adds a try; a new process of the backend starts with no tries.

        A success does not end a run of failures that began after it was sent.
        """
        if outcome is not Outcome.OK and outcome not in FAILURES:
            return
        observation = self.observations.get(backend)
        if observation is None or observation.started != started:
            observation = self.observations[backend] = BackendObservation(started, 0.0, 0.0, now, sent_at)
        evidence_at = max(sent_at, now - MAX_ANSWER_AGE_S) if outcome in ANSWERS else now
        if outcome is Outcome.OK and observation.failure_run and evidence_at < observation.evidence_at:
            return
        decay = observation.decay_factor(now) * CARRY_RATIO
        observation.tries = observation.tries * decay + 1
        observation.failures = observation.failures * decay + (outcome is not Outcome.OK)
        observation.failure_run = 0.0 if outcome is Outcome.OK else observation.failure_run + 1
        observation.tried_at = now
        observation.evidence_at = max(observation.evidence_at, evidence_at)

    def build_rows(self, now: MonotonicTime) -> list[ObservationRow]:
        """Recent observations, those with the most failures first."""
        result = []
        for backend, observation in list(self.observations.items()):
            decay = observation.decay_factor(now)
            if observation.tries * decay < MIN_TRIES:
                del self.observations[backend]
                continue
            age_ms = int(1000 * (now - observation.evidence_at))
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
