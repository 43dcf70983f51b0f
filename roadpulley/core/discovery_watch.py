"""The state machine that keeps a watch open on discovery's list of backends.

It does no I/O: it takes events and the time, and returns the actions to perform.

| state     | meaning                                 | timeout, and the next state                        |
| --------- | --------------------------------------- | -------------------------------------------------- |
| WAITING   | no call is open                         | end of the backoff: CALLING                        |
| CALLING   | a call is open, no response head yet    | `ANSWER_TIMEOUT_MS` after the call: WAITING        |
| FOLLOWING | the head of the response was received   | `SILENCE_TIMEOUT_MS` after the last line: WAITING  |

| event                        | WAITING | CALLING                 | FOLLOWING                               |
| ---------------------------- | ------- | ----------------------- | --------------------------------------- |
| response head                | -       | FOLLOWING               | -                                       |
| complete line, even if empty | -       | -                       | restarts the silence timeout            |
| end, reset, refused          | -       | WAITING, longer backoff | WAITING, shortest backoff               |
| end of a full list           | -       | -                       | CALLING: changes after its version      |
| address changed              | CALLING | CALLING                 | CALLING: the open call is closed first  |

Each call has a number. Events of a closed call carry an old number and are ignored, so nothing from an old
address is applied after the address has changed. An incomplete line does not restart the silence timeout, so
an agent that stops in the middle of a line counts as silent.

A change takes effect whether or not a watch is open. The changes in the first line of a call may therefore
have been in effect since the last line of the previous call. `effective_since` holds that time, and the
drain grace is measured from it.

The maximum delay of a change, in milliseconds from when discovery published it and was reachable. A change is
binding after 6,000 ms, and after 4,000 ms following a change of address. The duration of an answer is
neglected, and calls that are refused immediately cost less:

    a watch becomes silent:             silence timeout + first backoff       3,000 + 200         = 3,200
    ... and the next call fails:        + answer timeout + second backoff     3,200 + 1,500 + 400 = 5,100
    a head after failed calls, silence,
    and the next call fails:            silence + answer timeout
                                        + 2 x longest backoff                 4,500 + 1,200       = 5,700
    a call opened during the outage:    answer timeout + longest backoff      1,500 + 600         = 2,100
    ... and the next call fails:        twice that                            2 x 2,100           = 4,200
    the first call to a new address
    fails:                              answer timeout + first backoff        1,500 + 200         = 1,700

Delays of the process itself are added to these.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from enum import Enum

SILENCE_TIMEOUT_MS = 3_000.0  # an empty line comes every 2 s; one that is late by half of that counts as lost
ANSWER_TIMEOUT_MS = 1_500.0  # until the response head; the agent is local and answers at once or not at all
BACKOFF_MS = (200.0, 600.0)  # the upper bounds of the first and of the longest pause before a new call
# The share of a pause that is random. It only shortens pauses, so the maximum delays above hold. Without
# jitter, gateways that lost their watches at the same time would all call at the same time.
JITTER_RATIO = 0.75
CHANGE_DEADLINE_MS = 6_000.0  # a change is binding this long after discovery published it and was reachable


class WatchState(Enum):
    """The states of the table above."""

    WAITING = "waiting"
    CALLING = "calling"
    FOLLOWING = "following"


@dataclass(frozen=True, slots=True)
class OpenCall:
    """Close the open call and start a new one, for the changes after `version`; None: for the full list."""

    call: int
    address: tuple[str, int]
    version: int | None


@dataclass(frozen=True, slots=True)
class CloseCall:
    """Close the open call."""

    reason: str


WatchAction = OpenCall | CloseCall | None


class DiscoveryWatch:
    """Decides when this process calls discovery, and what it requests. Times are milliseconds."""

    def __init__(self, address: tuple[str, int], version: int | None, rng: random.Random) -> None:
        self.address, self.version, self.rng = address, version, rng
        self.state, self.call_number = WatchState.WAITING, 0
        self.deadline = -math.inf  # the first call of `on_time` opens a call
        self.max_pause = BACKOFF_MS[0]  # upper bound of the next pause
        self.requests_full_list = False  # the open call does
        self.last_line_at = -math.inf  # when the last complete line came: the list was current then
        self.effective_since = -math.inf  # when the changes in the last line may have taken effect
        self.awaits_first_line = True  # the open call has received no line yet

    def on_time(self, now: float) -> WatchAction:
        """The deadline may have passed."""
        if now < self.deadline:
            return None
        if self.state is WatchState.WAITING:
            return self.open_call(now)
        return self.fail_call(now, "no answer" if self.state is WatchState.CALLING else "silent")

    def on_head(self, now: float, call: int) -> None:
        """The head of a successful response was received."""
        if call == self.call_number and self.state is WatchState.CALLING:
            self.state, self.deadline = WatchState.FOLLOWING, now + SILENCE_TIMEOUT_MS

    def on_line(self, now: float, call: int) -> bool:
        """A complete line was received. Returns whether it is to be applied."""
        if call != self.call_number or self.state is not WatchState.FOLLOWING:
            return False
        self.effective_since, self.last_line_at = self.last_line_at if self.awaits_first_line else now, now
        self.deadline, self.max_pause, self.awaits_first_line = now + SILENCE_TIMEOUT_MS, BACKOFF_MS[0], False
        return True

    def on_end(self, now: float, call: int, reason: str, clean: bool = False) -> WatchAction:
        """A call ended. `clean`: the response was complete, and not cut off."""
        if call != self.call_number or self.state is WatchState.WAITING:
            return None
        if clean and self.requests_full_list and self.version is not None:
            return self.open_call(now)
        return self.fail_call(now, reason)

    def on_move(self, now: float, address: tuple[str, int]) -> WatchAction:
        """The address changed. Its versions may differ from the old ones, so the full list is requested."""
        self.address, self.version, self.max_pause = address, None, BACKOFF_MS[0]
        return self.open_call(now)

    def open_call(self, now: float) -> OpenCall:
        """Starts the next call."""
        self.state, self.call_number, self.requests_full_list = (
            WatchState.CALLING,
            self.call_number + 1,
            self.version is None,
        )
        self.deadline, self.awaits_first_line = now + ANSWER_TIMEOUT_MS, True
        return OpenCall(self.call_number, self.address, self.version)

    def fail_call(self, now: float, reason: str) -> CloseCall:
        """Ends a call, and doubles the next pause up to the maximum."""
        pause = self.draw_pause(self.max_pause)
        self.max_pause = min(BACKOFF_MS[1], self.max_pause * 2)
        self.state, self.deadline, self.call_number = WatchState.WAITING, now + pause, self.call_number + 1
        return CloseCall(f"{reason}; retry in {pause / 1000:.2f} s")

    def draw_pause(self, max_pause: float) -> float:
        """A random pause of at most `max_pause`."""
        return max_pause * (1 - JITTER_RATIO * self.rng.random())
