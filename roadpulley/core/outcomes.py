"""How an attempt on a connection ends: the one place that says what surely never ran. Pure.

| stage      | what holds                                    |
| ---------- | --------------------------------------------- |
| CONNECTING | the connection is not up                      |
| SENDING    | it is up, and not all of the request has left |
| SENT       | the last byte has left this process           |

| what ends it                        | CONNECTING | SENDING   | SENT      |
| ----------------------------------- | ---------- | --------- | --------- |
| BROKEN: refused, reset, end, spoilt | CONNECT    | CONNECT   | RESET     |
| TIME: the attempt's own             | CONNECT    | CONNECT   | TIMED_OUT |
| CONNECT_TIME: not up in time        | CONNECT    | -         | -         |
| CALLED_OFF: nobody waits for it     | CANCELLED  | CANCELLED | CANCELLED |
| EXPIRED: too late to be sent        | IGNORED    | -         | -         |
| SHUT: told to drain, or moved       | CONNECT    | -         | -         |
| FULL: `-BUSY`                       | -          | FULL      | FULL      |
| SAID: any other answer              | -          | CONNECT   | as it says |

CONNECT, IGNORED and FULL say that it surely never ran, and only these let an unsafe request go again. A
backend begins a command when its last byte has come, so nothing of what has not left can run. An answer that
comes before that is another's, or noise, but for a `-BUSY`: a backend may turn away what it has not read.
CANCELLED leaves open whether it ran, though in two stages it can't have: it blames no backend.
"""

from __future__ import annotations

from enum import Enum

from mintford.interface import Outcome


class Stage(Enum):
    CONNECTING = "connecting"
    SENDING = "sending"
    SENT = "sent"


class EndReason(Enum):
    BROKEN = "broken"
    TIME = "time"
    CONNECT_TIME = "connect time"
    CALLED_OFF = "called off"
    EXPIRED = "expired"
    SHUT = "shut"
    FULL = "full"
    SAID = "said"


NEVER_RAN = {Outcome.CONNECT, Outcome.IGNORED, Outcome.FULL}

_EARLY = {
    EndReason.BROKEN: Outcome.CONNECT,
    EndReason.TIME: Outcome.CONNECT,
    EndReason.CALLED_OFF: Outcome.CANCELLED,
}
OUTCOMES: dict[Stage, dict[EndReason, Outcome]] = {
    Stage.CONNECTING: {
        **_EARLY,
        EndReason.CONNECT_TIME: Outcome.CONNECT,
        EndReason.EXPIRED: Outcome.IGNORED,
        EndReason.SHUT: Outcome.CONNECT,
    },
    Stage.SENDING: {**_EARLY, EndReason.FULL: Outcome.FULL, EndReason.SAID: Outcome.CONNECT},
    Stage.SENT: {
        EndReason.BROKEN: Outcome.RESET,
        EndReason.TIME: Outcome.TIMED_OUT,
        EndReason.CALLED_OFF: Outcome.CANCELLED,
        EndReason.FULL: Outcome.FULL,
    },
}


def resolve_outcome(stage: Stage, ending: EndReason) -> Outcome:
    """What an attempt is told; a pair that can't be, by the table, is told as what leaves most open."""
    return OUTCOMES[stage].get(ending, Outcome.RESET)
