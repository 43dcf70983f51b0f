"""What one process sees of backends: tries and failures of the last moments. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from mintford.interface import Outcome
from roadpulley.fleet.duties.terms import Mono

from .terms import MOST_ROWS, Row

WINDOW_S = 1.5  # memory of tries and failures
RECENT = 0.6  # of what came before, at each try: a backend that begins to fail served until then
LEAST = 0.2  # tries: under this it was not met lately
# Danger: a full queue is load, and a request that its client or this gateway called off says nothing.
FAILURES = {Outcome.FAILED, Outcome.RESET, Outcome.CONNECT, Outcome.TIMED_OUT}


@dataclass(slots=True)
class Met:
    started: float
    tries: float
    failures: float
    at: Mono
    run: float = 0.0  # consecutive failures up to now

    def fade(self, now: Mono) -> float:
        return math.exp((self.at - now) / WINDOW_S)


class Evidence:
    def __init__(self) -> None:
        self.met: dict[int, Met] = {}

    def saw(self, now: Mono, backend: int, started: float, outcome: Outcome) -> None:
        if outcome is not Outcome.OK and outcome not in FAILURES:
            return
        known = self.met.get(backend)
        if known is None or known.started != started:
            known = self.met[backend] = Met(started, 0.0, 0.0, now)
        fade = known.fade(now) * RECENT
        known.tries = known.tries * fade + 1
        known.failures = known.failures * fade + (outcome is not Outcome.OK)
        known.run = 0.0 if outcome is Outcome.OK else known.run + 1
        known.at = now

    def rows(self, now: Mono) -> list[Row]:
        """Of what was met lately, the ones that fail most first."""
        found = []
        for backend, met in list(self.met.items()):
            fade = met.fade(now)
            if met.tries * fade < LEAST:
                del self.met[backend]
                continue
            age = int(1000 * (now - met.at))
            found.append(Row(backend, met.started, met.tries * fade, met.failures * fade, age, met.run))
        return sorted(found, key=lambda row: -row.failures)[:MOST_ROWS]
