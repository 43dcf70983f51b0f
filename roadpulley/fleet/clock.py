"""The clocks of the fleet. Three notions of time are kept apart.

`Clock.now` is monotonic time in seconds, local to a process: it measures leases and timeouts and is never
sent. `wall_ms` is wall-clock time, which processes share as far as their clocks agree: it is used for periods
and for display. Logical numbers (rounds, fences) give order.
"""

from __future__ import annotations

import os
import time

from .duties.terms import MonotonicTime

CLOCK_RATE_VARIABLE = "ROADPULLEY_CLOCK_RATE"  # set by the testbed: speed of the monotonic clock
WALL_OFFSET_VARIABLE = "ROADPULLEY_WALL_OFFSET_MS"  # set by the testbed: error of the wall clock


class Clock:
    """A monotonic clock that also runs while the machine is suspended, where the platform has one.

    With a clock that stops during suspend, a lease holder would believe on wake-up that its lease is still
    valid.
    """

    def __init__(self, rate: float = 1.0) -> None:
        self.rate = rate
        self.clock_id = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

    def now(self) -> MonotonicTime:
        """Monotonic seconds of this process."""
        return time.clock_gettime(self.clock_id) * self.rate

    def unscaled_now(self) -> float:
        """Seconds without the testbed's rate, comparable between the processes of a machine.

        Only for recorded histories that a test checks.
        """
        return time.clock_gettime(self.clock_id)


def wall_ms() -> int:
    """Unix time in milliseconds."""
    return int(time.time() * 1000) + int(os.environ.get(WALL_OFFSET_VARIABLE, "0"))


def from_environment() -> Clock:
    """The clock of this process, at the rate that the testbed may have set."""
    return Clock(float(os.environ.get(CLOCK_RATE_VARIABLE, "1")))
