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


class Ending(Enum):
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
    Ending.BROKEN: Outcome.CONNECT,
    Ending.TIME: Outcome.CONNECT,
    Ending.CALLED_OFF: Outcome.CANCELLED,
}
TABLE: dict[Stage, dict[Ending, Outcome]] = {
    Stage.CONNECTING: {
        **_EARLY,
        Ending.CONNECT_TIME: Outcome.CONNECT,
        Ending.EXPIRED: Outcome.IGNORED,
        Ending.SHUT: Outcome.CONNECT,
    },
    Stage.SENDING: {**_EARLY, Ending.FULL: Outcome.FULL, Ending.SAID: Outcome.CONNECT},
    Stage.SENT: {
        Ending.BROKEN: Outcome.RESET,
        Ending.TIME: Outcome.TIMED_OUT,
        Ending.CALLED_OFF: Outcome.CANCELLED,
        Ending.FULL: Outcome.FULL,
    },
}


def outcome(stage: Stage, ending: Ending) -> Outcome:
    """What an attempt is told; a pair that can't be, by the table, is told as what leaves most open."""
    return TABLE[stage].get(ending, Outcome.RESET)
