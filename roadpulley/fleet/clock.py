"""Three kinds of time, never mixed up.

`Clock.now`: a process's own monotonic seconds, for how long it may do something; never sent. `wall_ms`:
shared by all as far as their clocks agree, for periods and for people. Counted numbers (rounds, fences)
give order.
"""

from __future__ import annotations

import os
import time

from .duties.terms import MonotonicTime

CLOCK_RATE_VARIABLE = "ROADPULLEY_CLOCK_RATE"  # of the testbed: how fast this process's own clock runs


WALL_OFFSET_VARIABLE = "ROADPULLEY_WALL_OFFSET_MS"  # of the testbed: how far this process's wall clock is off


class Clock:
    """Danger: a clock that stops while the machine sleeps would have a holder wake up and still believe."""

    def __init__(self, rate: float = 1.0) -> None:
        self.rate = rate
        self.clock_id = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

    def now(self) -> MonotonicTime:
        return time.clock_gettime(self.clock_id) * self.rate

    def unscaled_now(self) -> float:
        """What all processes of this machine agree on: for histories that are judged, for nothing else."""
        return time.clock_gettime(self.clock_id)


def wall_ms() -> int:
    return int(time.time() * 1000) + int(os.environ.get(WALL_OFFSET_VARIABLE, "0"))


def from_environment() -> Clock:
    return Clock(float(os.environ.get(CLOCK_RATE_VARIABLE, "1")))
