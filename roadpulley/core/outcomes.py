"""The outcome of an attempt on a connection. This module alone decides which attempts certainly never ran.

| stage      | meaning                                       |
| ---------- | --------------------------------------------- |
| CONNECTING | the connection is not established             |
| SENDING    | it is, and part of the request is unsent      |
| SENT       | the last byte has left this process, though   |
|            | the kernel may still hold it                  |

| reason for the end                      | CONNECTING | SENDING   | SENT             |
| --------------------------------------- | ---------- | --------- | ---------------- |
| CONNECTION_ERROR: refused, reset, end   | CONNECT    | CONNECT   | RESET            |
| ATTEMPT_TIMEOUT: the attempt's timeout  | CONNECT    | CONNECT   | TIMED_OUT        |
| CONNECT_TIMEOUT                         | CONNECT    | -         | -                |
| ABANDONED: nobody waits for the answer  | CANCELLED  | CANCELLED | CANCELLED        |
| EXPIRED: too late for its last byte     | IGNORED    | IGNORED   | CANCELLED        |
| UNAVAILABLE: backend draining or moved  | CONNECT    | -         | -                |
| FULL: `-BUSY`                           | -          | FULL      | FULL             |
| ANSWERED: any other answer              | -          | CONNECT   | by the answer    |

A malformed answer counts as CONNECTION_ERROR.

CONNECT, IGNORED and FULL mean that the attempt certainly never ran, and only these permit a repeat of an
unsafe request. A backend starts a command when it has received the last byte, so a request that was not sent
completely cannot run. An answer that arrives before that belongs to another request or is garbage, except for
`-BUSY`: a backend may refuse a request that it has not read. CANCELLED doesn't say whether the attempt ran,
although in the first two stages it can't have: it is not held against the backend.
"""

from __future__ import annotations

from enum import Enum

from mintford.interface import Outcome


class Stage(Enum):
    """How far an attempt has got."""

    CONNECTING = "connecting"
    SENDING = "sending"
    SENT = "sent"


class EndReason(Enum):
    """Why an attempt ended."""

    CONNECTION_ERROR = "broken"
    ATTEMPT_TIMEOUT = "time"
    CONNECT_TIMEOUT = "connect time"
    ABANDONED = "called off"
    EXPIRED = "expired"
    UNAVAILABLE = "shut"
    FULL = "full"
    ANSWERED = "said"


NOT_RUN_OUTCOMES = {Outcome.CONNECT, Outcome.IGNORED, Outcome.FULL}

_BEFORE_SENT = {
    EndReason.CONNECTION_ERROR: Outcome.CONNECT,
    EndReason.ATTEMPT_TIMEOUT: Outcome.CONNECT,
    EndReason.ABANDONED: Outcome.CANCELLED,
}
OUTCOMES: dict[Stage, dict[EndReason, Outcome]] = {
    Stage.CONNECTING: {
        **_BEFORE_SENT,
        EndReason.CONNECT_TIMEOUT: Outcome.CONNECT,
        EndReason.EXPIRED: Outcome.IGNORED,
        EndReason.UNAVAILABLE: Outcome.CONNECT,
    },
    Stage.SENDING: {
        **_BEFORE_SENT,
        EndReason.EXPIRED: Outcome.IGNORED,
        EndReason.FULL: Outcome.FULL,
        EndReason.ANSWERED: Outcome.CONNECT,
    },
    Stage.SENT: {
        EndReason.CONNECTION_ERROR: Outcome.RESET,
        EndReason.ATTEMPT_TIMEOUT: Outcome.TIMED_OUT,
        EndReason.ABANDONED: Outcome.CANCELLED,
        EndReason.EXPIRED: Outcome.CANCELLED,
        EndReason.FULL: Outcome.FULL,
    },
}


def resolve_outcome(stage: Stage, reason: EndReason) -> Outcome:
    """The outcome by the table above. A pair that the table excludes gives RESET, which assumes the least."""
    return OUTCOMES[stage].get(reason, Outcome.RESET)
