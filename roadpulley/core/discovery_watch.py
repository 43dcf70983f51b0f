"""The watch on the list of backends, as a table. Pure: events and the time go in, what to do comes out.

| state     | what holds                         | ends by its time                             |
| --------- | ---------------------------------- | -------------------------------------------- |
| WAITING   | no call is open                    | the back-off is over: CALLING                |
| CALLING   | a call is open, no head has come   | `ANSWER_MS` after it was opened: WAITING     |
| FOLLOWING | the head of an answer has come     | `SILENT_MS` after a line was whole: WAITING  |

| event                     | WAITING | CALLING             | FOLLOWING                            |
| ------------------------- | ------- | ------------------- | ------------------------------------ |
| head                      | -       | FOLLOWING           | -                                    |
| line (whole, or empty)    | -       | -                   | the one clock of silence starts anew |
| end, reset, refused       | -       | WAITING, longer     | WAITING, shortest                    |
| end of a whole list       | -       | -                   | CALLING: changes from its version on |
| move                      | CALLING | CALLING             | CALLING: what was open is left first |

Events of a call that was left are told by its number and change nothing, so nothing of an old address is
acted on after a move. Bytes that are no whole line yet don't count: an agent that dies in the middle of one
is silent.

What the agent has counts as told whether or not a watch is open. So what the first line of a call tells may
have counted since the last line of the call before it: `since` says so, and drains are dated from there.

How late a change can be, in milliseconds from when discovery had it and could be reached. It counts as told
after 6,000, after a move 4,000; an answer takes no time that counts, and calls that are refused at once
cost less:

    a watch that falls silent:        SILENT_MS + first pause                      3,000 + 200         = 3,200
    ... and the next call fails:      + ANSWER_MS + second pause                   3,200 + 1,500 + 400 = 5,100
    a head after failures, silence,
    and the next call fails:          SILENT_MS + ANSWER_MS + 2 x longest pause    4,500 + 1,200       = 5,700
    a call opened in the silence:     ANSWER_MS + longest pause                    1,500 + 600         = 2,100
    ... and the next call fails:      twice that                                   2 x 2,100           = 4,200
    a move whose first call fails:    ANSWER_MS + first pause                      1,500 + 200         = 1,700

What the process itself is late comes on top.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from enum import Enum

SILENCE_TIMEOUT_MS = (
    3_000.0  # an empty line comes every 2 s; one that is late by half of that is taken for none
)
ANSWER_TIMEOUT_MS = (
    1_500.0  # until the head: the agent stands on this machine and answers at once, or not at all
)
BACKOFF_MS = (200.0, 600.0)  # the longest first pause before a new call, and the longest of all
# Of a pause, and only downwards, so that the sums hold with any chance. Danger: without it gateways that lost
# their watches at once would call as one.
JITTER_RATIO = 0.75
CHANGE_DEADLINE_MS = 6_000.0  # a change counts as told so long after discovery had it and could be reached


class WatchState(Enum):
    WAITING = "waiting"
    CALLING = "calling"
    FOLLOWING = "following"


@dataclass(frozen=True, slots=True)
class OpenCall:
    """Leave what is open, and call. `version`: changes after it; None: the whole list."""

    call: int
    address: tuple[str, int]
    version: int | None


@dataclass(frozen=True, slots=True)
class CloseCall:
    """Leave what is open."""

    reason: str


WatchAction = OpenCall | CloseCall | None


class DiscoveryWatch:
    """The only owner of what this process asks discovery, and when. Times are milliseconds."""

    def __init__(self, address: tuple[str, int], version: int | None, chance: random.Random) -> None:
        self.address, self.version, self.chance = address, version, chance
        self.state, self.call = WatchState.WAITING, 0
        self.due = -math.inf  # calls at the first event of time
        self.wait = BACKOFF_MS[0]  # the next pause at the longest
        self.whole = False  # the call under way is for the whole list
        self.heard_at = -math.inf  # of the last whole line: then the list was as the agent had it
        self.since = -math.inf  # from when on what the last line tells may have counted as told
        self.first = True  # the next line is its call's first

    def on_time(self, now: float) -> WatchAction:
        if now < self.due:
            return None
        if self.state is WatchState.WAITING:
            return self.open(now)
        return self.lost(now, "no answer" if self.state is WatchState.CALLING else "silent")

    def on_head(self, now: float, call: int) -> None:
        if call == self.call and self.state is WatchState.CALLING:
            self.state, self.due = WatchState.FOLLOWING, now + SILENCE_TIMEOUT_MS

    def on_line(self, now: float, call: int) -> bool:
        """A line came whole; whether it is to be acted on."""
        if call != self.call or self.state is not WatchState.FOLLOWING:
            return False
        self.since, self.heard_at = self.heard_at if self.first else now, now
        self.due, self.wait, self.first = now + SILENCE_TIMEOUT_MS, BACKOFF_MS[0], False
        return True

    def on_end(self, now: float, call: int, reason: str, clean: bool = False) -> WatchAction:
        """`clean`: the answer ended where it should, and not by a break."""
        if call != self.call or self.state is WatchState.WAITING:
            return None
        if clean and self.whole and self.version is not None:
            return self.open(now)
        return self.lost(now, reason)

    def on_move(self, now: float, address: tuple[str, int]) -> WatchAction:
        """Versions of another address need not be those of this one: the whole list comes before changes."""
        self.address, self.version, self.wait = address, None, BACKOFF_MS[0]
        return self.open(now)

    def open(self, now: float) -> OpenCall:
        self.state, self.call, self.whole = WatchState.CALLING, self.call + 1, self.version is None
        self.due, self.first = now + ANSWER_TIMEOUT_MS, True
        return OpenCall(self.call, self.address, self.version)

    def lost(self, now: float, reason: str) -> CloseCall:
        pause = self.backoff(self.wait)
        self.wait = min(BACKOFF_MS[1], self.wait * 2)
        self.state, self.due, self.call = WatchState.WAITING, now + pause, self.call + 1
        return CloseCall(f"{reason}; again in {pause / 1000:.2f} s")

    def backoff(self, wait: float) -> float:
        return wait * (1 - JITTER_RATIO * self.chance.random())
