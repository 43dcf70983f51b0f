"""The life of one gateway process, as a table. Pure: events and the time go in, a stance comes out.

| state    | PING | accepts | keeps idle | takes requests                 | ends                     |
| -------- | ---- | ------- | ---------- | ------------------------------ | ------------------------ |
| starting | no   | no      | -          | no                             | at SIGTERM               |
| serving  | yes  | yes     | yes        | yes                            | no                       |
| paused   | no   | yes     | no         | until `NOTICED_MS` after PAUSE | no                       |
| stopping | yes  | yes     | yes        | yes                            | no, is leaving in time   |
| leaving  | yes* | no      | no         | yes                            | when nobody is connected |
| ended    | no   | no      | no         | no                             | yes                      |

*) A process that leaves beside its successor is still a part of a gateway that takes clients. One that was
paused before goes on saying no.

| in state | event         | next                                                                      |
| -------- | ------------- | ------------------------------------------------------------------------- |
| starting | READY         | serving; paused if PAUSE came                                             |
| starting | STOP          | ended                                                                     |
| serving  | PAUSE         | paused                                                                    |
| paused   | RESUME        | serving                                                                   |
| serving  | STOP          | leaving if a successor takes what comes; else stopping: nobody has its place |
| stopping | SUCCEEDED     | leaving                                                                   |
| paused   | STOP          | leaving: nobody is sent here                                              |
| stopping | its time      | leaving                                                                   |
| leaving  | EMPTY         | ended                                                                     |
| leaving  | its last time | ended; what is open then is failed                                        |

SUCCEEDED and ALONE say whether a successor serves, in any state. All else changes nothing: calls that repeat
are harmless.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

# After PAUSE the front notices within its 0.1 s and sends on for 0.2 s; clients then use what they have. Long
# past that, and so that nothing of the last 2 s is open when operators look, 4 s after the call.
NOTICED_MS = 1_500.0


class State(Enum):
    STARTING = "starting"
    SERVING = "serving"
    PAUSED = "paused"
    STOPPING = "stopping"
    LEAVING = "leaving"
    ENDED = "ended"


class Event(Enum):
    READY = "ready"  # the list is known and clients may come
    PAUSE = "pause"
    RESUME = "resume"
    STOP = "stop"  # SIGTERM
    SUCCEEDED = "succeeded"  # another process of this gateway takes clients
    ALONE = "alone"  # it has gone
    EMPTY = "empty"  # no client is connected
    TIME = "time"  # it is `due`


@dataclass(frozen=True, slots=True)
class Stance:
    """What a state means for those who act on it."""

    says_yes: bool  # to PING
    accepts: bool
    keeps: bool  # connections at rest
    takes: bool  # new requests; False: the module refuses them
    ended: bool = False


@dataclass(frozen=True, slots=True)
class Times:
    """Milliseconds after SIGTERM until connections are closed, and until what is open is failed."""

    keep: float
    last: float


class Lifecycle:
    """The only owner of what this process is to its clients."""

    def __init__(self, times: Times) -> None:
        self.times, self.succeeded = times, False  # another process takes what comes
        self.state, self.since = State.STARTING, 0.0
        self.paused = False  # also while starting and leaving
        self.stopped_at = math.inf

    @property
    def takes_clients(self) -> bool:
        return self.state in (State.SERVING, State.STOPPING)

    def due(self) -> float:
        """When TIME has something to do; infinite where it has not."""
        if self.state is State.PAUSED:
            return self.since + NOTICED_MS
        if self.state is State.STOPPING:
            return self.stopped_at + self.times.keep
        if self.state is State.LEAVING:
            return self.stopped_at + self.times.last
        return math.inf

    def on(self, now: float, event: Event) -> Stance:
        """Take in an event; gives what holds from now on."""
        state, passed = self.state, now >= self.due()
        if event is Event.PAUSE or event is Event.RESUME:
            if state in (State.STARTING, State.SERVING, State.PAUSED):
                self.paused = event is Event.PAUSE
        if event is Event.SUCCEEDED or event is Event.ALONE:
            self.succeeded = event is Event.SUCCEEDED
        if event is Event.STOP and self.stopped_at == math.inf:
            self.stopped_at = now
        after = {
            (State.STARTING, Event.READY): State.PAUSED if self.paused else State.SERVING,
            (State.STARTING, Event.STOP): State.ENDED,
            (State.SERVING, Event.PAUSE): State.PAUSED,
            (State.SERVING, Event.STOP): State.LEAVING if self.succeeded else State.STOPPING,
            (State.PAUSED, Event.RESUME): State.SERVING,
            (State.PAUSED, Event.STOP): State.LEAVING,
            (State.STOPPING, Event.SUCCEEDED): State.LEAVING,
            (State.STOPPING, Event.TIME): State.LEAVING if passed else state,
            (State.LEAVING, Event.EMPTY): State.ENDED,
            (State.LEAVING, Event.TIME): State.ENDED if passed else state,
        }.get((state, event), state)
        if after is not state:
            self.state, self.since = after, now
        return self.stance(now)

    def stance(self, now: float) -> Stance:
        state = self.state
        yes = state in (State.SERVING, State.STOPPING) or (state is State.LEAVING and not self.paused)
        keeps = state in (State.STARTING, State.SERVING, State.STOPPING)
        accepts = state in (State.SERVING, State.PAUSED, State.STOPPING)
        takes = state is not State.ENDED and (state is not State.PAUSED or now < self.since + NOTICED_MS)
        return Stance(yes, accepts, keeps, takes, state is State.ENDED)
