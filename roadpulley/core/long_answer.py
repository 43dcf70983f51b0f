"""The life of a long answer in time: how long it is held, and when its backend counts as stopped.

Pure: events and the time go in, states and deadlines come out. No other part of the program ends a long
answer by a time of its own. Whether a backend gives is judged by the bytes alone; neither the request's time
nor the state of the process counts, as an answer that has begun has no deadline.

| state     | meaning                                  | ended by                                          |
| --------- | ---------------------------------------- | ------------------------------------------------- |
| HELD      | nothing is sent to the client yet, as    | the hold deadline; its end, like a short answer's |
|           | its beginning comes slowly or commands   |                                                   |
|           | stand behind it                          |                                                   |
| OVERDUE   | held beyond that, as its backend is      | the next byte; the request's time, like a short   |
|           | silent                                   | answer                                            |
| PASSED_ON | sent to the client as it comes, for good | `STALL_TIMEOUT_MS` without a byte                 |

| event                                | HELD                           | OVERDUE   | PASSED_ON |
| ------------------------------------ | ------------------------------ | --------- | --------- |
| enough has come, nothing behind it   | PASSED_ON                      | PASSED_ON | -         |
| hold deadline, its backend gives     | PASSED_ON                      | PASSED_ON | -         |
| hold deadline, its backend is silent | OVERDUE                        | OVERDUE   | -         |
| the process ends, its backend gives  | PASSED_ON                      | -         | -         |

A break, a wrong end and the last byte end the answer in any state. What is HELD or OVERDUE then is an answer
like a short one: it may be replaced by another attempt. What is PASSED_ON is the final answer, whole or cut
off.
"""

from __future__ import annotations

import math
from enum import Enum

# Without a byte for this long, the backend has stopped. Backends may pause for seconds between two pieces.
STALL_TIMEOUT_MS = 5_000.0
# Clients have to get the first bytes less than 2 s after the backend gave them.
MAX_HOLD_MS = 1_500.0
# Before the request's time, or its latency target: the first bytes have to reach the client in time.
FIRST_BYTE_MARGIN_MS = 100.0
# A held answer still comes if its backend is silent for no longer than its own pauses suggest, or than both
# of these. The second is a part of the time since the answer began.
USUAL_SILENCE_MS = 300.0
USUAL_SILENCE_RATIO = 0.5
PAUSE_FACTOR = 2.0
HOLD_CHECK_INTERVAL_MS = 20.0  # between the beginning and the first look, and between two looks


class State(Enum):
    """Whether a long answer is sent to its client."""

    HELD = "held"
    OVERDUE = "overdue"
    PASSED_ON = "passed on"


class LongAnswer:
    """When the backend of one long answer gave, and until when the answer may be held."""

    __slots__ = ("began_at", "hold_deadline", "is_paused", "last_byte_at", "longest_pause_ms", "state")

    def __init__(self, now: float) -> None:
        self.began_at = self.last_byte_at = now
        self.longest_pause_ms = 0.0  # between two pieces
        self.is_paused = False  # the backend isn't read
        self.state = State.HELD
        self.hold_deadline = math.inf  # in Unix milliseconds; known once `hold` was called

    # ---- the backend ----

    def record_bytes(self, now: float) -> None:
        """Bytes have come from the backend."""
        self.longest_pause_ms = max(self.longest_pause_ms, now - self.last_byte_at)
        self.last_byte_at = now

    def pause(self) -> None:
        """The backend isn't read, because the client or memory is waited for. Its silence says nothing."""
        self.is_paused = True

    def resume(self, now: float) -> None:
        """The backend is read again. Its time begins anew."""
        self.is_paused = False
        self.last_byte_at = now

    def get_stall_deadline(self) -> float:
        """When the backend counts as stopped unless it gives a byte before, in Unix milliseconds."""
        return math.inf if self.is_paused else self.last_byte_at + STALL_TIMEOUT_MS

    def is_giving(self, now: float) -> bool:
        """Whether more is to be expected soon, by the pauses so far."""
        usual_ms = min(USUAL_SILENCE_MS, USUAL_SILENCE_RATIO * (now - self.began_at))
        silence_ms = now - self.last_byte_at
        return self.is_paused or silence_ms <= max(usual_ms, PAUSE_FACTOR * self.longest_pause_ms)

    # ---- the hold ----

    def hold(self, now: float, target_at: float, expires_at: float) -> None:
        """Bound the hold by the latency target and the end of the time of its request."""
        deadline = min(now + MAX_HOLD_MS, expires_at - FIRST_BYTE_MARGIN_MS)
        if target_at - FIRST_BYTE_MARGIN_MS > now:
            deadline = min(deadline, target_at - FIRST_BYTE_MARGIN_MS)
        self.hold_deadline = max(deadline, now + HOLD_CHECK_INTERVAL_MS)

    def check_hold(self, now: float) -> State:
        """The state from now on, which changes at the hold deadline at the earliest."""
        if self.state is State.HELD and now >= self.hold_deadline:
            self.state = State.PASSED_ON if self.is_giving(now) else State.OVERDUE
        elif self.state is State.OVERDUE and self.is_giving(now):
            self.state = State.PASSED_ON
        return self.state

    def pass_on(self) -> None:
        """End the hold before its deadline."""
        self.state = State.PASSED_ON
