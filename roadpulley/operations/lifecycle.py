"""The lifecycle of one gateway process as a state machine.

Pure: events and the time go in, a policy comes out.

| state     | PING | accepts | keeps idle | takes requests                        | process ends        |
| --------- | ---- | ------- | ---------- | ------------------------------------- | ------------------- |
| starting  | no   | no      | -          | no                                    | on SIGTERM          |
| serving   | yes  | yes     | yes        | yes                                   | no                  |
| paused    | no   | yes     | no         | for `PAUSE_NOTICE_MS` after the PAUSE | no                  |
| stopping  | yes  | yes     | yes        | yes                                   | no; leaving is next |
| leaving   | yes* | no      | no         | yes                                   | without clients     |
| finishing | yes* | no      | no         | no                                    | without long values |
| ended     | no   | no      | no         | no                                    | yes                 |

*) PING asks about the gateway as a whole, and a successor may be accepting clients. A process that was paused
before it began to leave continues to answer PING with an error.

| in state  | event                | next state                                                            |
| --------- | -------------------- | --------------------------------------------------------------------- |
| starting  | STARTUP_COMPLETED    | serving; paused if PAUSE was called before                            |
| starting  | STOP_REQUESTED       | ended                                                                 |
| serving   | PAUSE_REQUESTED      | paused                                                                |
| paused    | RESUME_REQUESTED     | serving                                                               |
| serving   | STOP_REQUESTED       | leaving if a successor serves; else stopping, as no other one accepts |
| stopping  | SUCCESSOR_STARTED    | leaving                                                               |
| paused    | STOP_REQUESTED       | leaving, as no clients are routed to a paused process                 |
| stopping  | TIMER_FIRED **       | leaving                                                               |
| leaving   | CLIENTS_DISCONNECTED | ended                                                                 |
| leaving   | TIMER_FIRED **       | finishing; requests that are still open are failed                    |
| finishing | CLIENTS_DISCONNECTED | ended                                                                 |
| finishing | VALUES_ENDED         | ended                                                                 |

**) Only once `next_deadline` has been reached.

A process that is finishing only passes on the long values that it began before: until each is whole, or has
not moved for a while. It is the only state after a stop that no deadline ends, as a long value has none.

SUCCESSOR_STARTED and SUCCESSOR_LOST record, in any state, whether a successor serves. All other combinations
change nothing, so repeated calls are harmless.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

# How long a paused process still takes requests. The load balancer notices a PAUSE within 0.1 s and keeps
# routing to this process for another 0.2 s. Clients then still use the connections that they have. The value
# is well above that. Operators check 4 s after the call, when no request of the last 2 s may be open.
PAUSE_NOTICE_MS = 1_500.0


class State(Enum):
    """A state of the process. Operators read the values."""

    STARTING = "starting"
    SERVING = "serving"
    PAUSED = "paused"
    STOPPING = "stopping"
    LEAVING = "leaving"
    FINISHING = "finishing"
    ENDED = "ended"


class Event(Enum):
    """What happened to the process."""

    STARTUP_COMPLETED = "ready"  # the list of backends is known and clients can connect
    PAUSE_REQUESTED = "pause"
    RESUME_REQUESTED = "resume"
    STOP_REQUESTED = "stop"  # SIGTERM
    SUCCESSOR_STARTED = "succeeded"  # another process of this gateway accepts clients
    SUCCESSOR_LOST = "alone"  # that process has exited
    CLIENTS_DISCONNECTED = "empty"  # no client is connected
    VALUES_ENDED = "whole"  # no long value is under way
    TIMER_FIRED = "time"  # ignored before `next_deadline`


@dataclass(frozen=True, slots=True)
class ServingPolicy:
    """What the process offers to its clients in a state."""

    answers_ping: bool  # PING is answered with PONG and not with an error
    accepts: bool  # new connections
    keeps_idle: bool  # idle connections stay open
    takes_requests: bool  # if not, the decision module refuses new requests
    is_ended: bool = False


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """Milliseconds after SIGTERM until connections are closed, and until open requests are failed."""

    close_ms: float
    fail_ms: float


class Lifecycle:
    """Holds the state of this process. All other parts of the program get the state from here."""

    def __init__(self, drain_times: DrainTimes) -> None:
        self.drain_times, self.has_successor = drain_times, False  # whether another process serves
        self.state, self.entered_at = State.STARTING, 0.0
        self.is_notice_over = False  # the paused process has stopped to take requests
        self.is_paused = False  # also set by a PAUSE while starting; kept while leaving
        self.stopped_at = math.inf

    @property
    def is_serving(self) -> bool:
        """Whether clients may be routed to this process."""
        return self.state in (State.SERVING, State.STOPPING)

    def change_drain_times(self, drain_times: DrainTimes) -> None:
        """Apply the times that follow from other settings, which may change `next_deadline`.

        After SIGTERM the end can only come earlier. The platform counts the time until SIGKILL from SIGTERM,
        by the settings of then or by those of now: what is open after the earlier of the two may be lost.
        """
        if self.stopped_at < math.inf:
            previous = self.drain_times
            drain_times = DrainTimes(
                min(previous.close_ms, drain_times.close_ms), min(previous.fail_ms, drain_times.fail_ms)
            )
        self.drain_times = drain_times

    def next_deadline(self) -> float:
        """When TIMER_FIRED will change something; infinite if the state has no deadline.

        A change of state or of the drain times changes it: the caller then needs another timer.
        """
        if self.state is State.PAUSED and not self.is_notice_over:
            return self.entered_at + PAUSE_NOTICE_MS
        if self.state is State.STOPPING:
            return self.stopped_at + self.drain_times.close_ms
        if self.state is State.LEAVING:
            return self.stopped_at + self.drain_times.fail_ms
        return math.inf

    def handle_event(self, now: float, event: Event) -> ServingPolicy:
        """Apply an event and return the policy from now on."""
        state, is_due = self.state, now >= self.next_deadline()
        if event is Event.PAUSE_REQUESTED or event is Event.RESUME_REQUESTED:
            if state in (State.STARTING, State.SERVING, State.PAUSED):
                self.is_paused = event is Event.PAUSE_REQUESTED
        if event is Event.SUCCESSOR_STARTED or event is Event.SUCCESSOR_LOST:
            self.has_successor = event is Event.SUCCESSOR_STARTED
        if event is Event.STOP_REQUESTED and self.stopped_at == math.inf:
            self.stopped_at = now
        next_state = {
            (State.STARTING, Event.STARTUP_COMPLETED): State.PAUSED if self.is_paused else State.SERVING,
            (State.STARTING, Event.STOP_REQUESTED): State.ENDED,
            (State.SERVING, Event.PAUSE_REQUESTED): State.PAUSED,
            (State.SERVING, Event.STOP_REQUESTED): State.LEAVING if self.has_successor else State.STOPPING,
            (State.PAUSED, Event.RESUME_REQUESTED): State.SERVING,
            (State.PAUSED, Event.STOP_REQUESTED): State.LEAVING,
            (State.STOPPING, Event.SUCCESSOR_STARTED): State.LEAVING,
            (State.STOPPING, Event.TIMER_FIRED): State.LEAVING if is_due else state,
            (State.LEAVING, Event.CLIENTS_DISCONNECTED): State.ENDED,
            (State.LEAVING, Event.TIMER_FIRED): State.FINISHING if is_due else state,
            (State.FINISHING, Event.CLIENTS_DISCONNECTED): State.ENDED,
            (State.FINISHING, Event.VALUES_ENDED): State.ENDED,
        }.get((state, event), state)
        if next_state is not state:
            self.state, self.entered_at, self.is_notice_over = next_state, now, False
        elif state is State.PAUSED and event is Event.TIMER_FIRED and is_due:
            self.is_notice_over = True
        return self.policy_at(now)

    def policy_at(self, now: float) -> ServingPolicy:
        """The policy in the current state. It depends on the time only while paused."""
        state = self.state
        answers_ping = state in (State.SERVING, State.STOPPING) or (
            state in (State.LEAVING, State.FINISHING) and not self.is_paused
        )
        keeps_idle = state in (State.STARTING, State.SERVING, State.STOPPING)
        accepts = state in (State.SERVING, State.PAUSED, State.STOPPING)
        takes_requests = state not in (State.FINISHING, State.ENDED) and (
            state is not State.PAUSED or now < self.entered_at + PAUSE_NOTICE_MS
        )
        return ServingPolicy(answers_ping, accepts, keeps_idle, takes_requests, state is State.ENDED)
