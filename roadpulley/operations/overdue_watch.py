"""A safety net: names, counts and ends what is past its last possible end.

Every wait has an owner that ends it in time. This watch knows the times and not the owners' reasons, so that
a wait whose owner fails is found from outside: the log names it with its events, a metric counts it, and it
ends. A count above 0 is a fault of this program.

| subject                     | last possible end                     | how it is ended                     |
| --------------------------- | ------------------------------------- | ----------------------------------- |
| a request without an answer | its deadline                          | it is answered as failed            |
| a streamed answer           | the stall limit of its backend, or of | the attempt ends, and the client's  |
|                             | its client while that is waited for   | connection after what was written   |
| an attempt, otherwise       | the deadline of its request           | its connection is closed            |
| a client's connection       | that of its state                     | it is closed                        |
| an idle backend connection  | the limit on its rest                 | it is closed                        |

A subject is ended when two looks in a row find it overdue: after a suspension of this process its owner comes
first.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from functools import partial

from roadpulley.core.clock import Timers, now_ms
from roadpulley.core.connection import Attempt, Connection
from roadpulley.core.driver import Driver
from roadpulley.core.outcomes import EndReason
from roadpulley.core.request import Request
from roadpulley.edges.close_reasons import CloseReason
from roadpulley.edges.connection import ClientConnection
from roadpulley.edges.resp_server import RespServer

LOOK_INTERVAL_MS = 1_000.0
MARGIN_MS = 500.0  # owners look at their limits periodically, and the loop may lag


class SubjectKind(Enum):
    """What is overdue. The values stand in the names of metrics."""

    REQUEST = "request"
    STREAM = "stream"
    ATTEMPT = "attempt"
    CLIENT_CONNECTION = "client_connection"
    BACKEND_CONNECTION = "backend_connection"


Subject = Request | Attempt | ClientConnection | Connection


@dataclass(frozen=True, slots=True)
class Wait:
    """One subject with the time at which it must have ended, and how to end it."""

    kind: SubjectKind
    subject: Subject
    request: str  # the id, or "" if there is none
    latest_end: float  # in Unix milliseconds
    end: Callable[[], None]


class OverdueWatch:
    """Looks at all waits of a driver and a server periodically, from `start` on."""

    def __init__(self, timers: Timers, driver: Driver, server: RespServer) -> None:
        self.timers, self.driver, self.server = timers, driver, server
        self.stats = server.request_stats
        self.suspects: set[Subject] = set()  # overdue at the last look

    def start(self) -> None:
        """Look for the first time after one interval."""
        self.timers.call_at(now_ms() + LOOK_INTERVAL_MS, self.look)

    def look(self) -> None:
        """End what was overdue at the last look and still is, and schedule the next look."""
        try:
            now = now_ms()
            overdue = [wait for wait in self.list_waits(now) if now > wait.latest_end + MARGIN_MS]
            for wait in overdue:
                if wait.subject in self.suspects:
                    self.end(wait, now)
            self.suspects = {wait.subject for wait in overdue}
        finally:
            self.start()

    def end(self, wait: Wait, now: float) -> None:
        """Name, count and end an overdue subject."""
        name = wait.kind.value
        self.stats.overdue[name] = self.stats.overdue.get(name, 0) + 1
        self.stats.events.report(
            wait.request, f"its {name} is overdue by {now - wait.latest_end:.0f} ms and ends now"
        )
        wait.end()

    def list_waits(self, now: float) -> Iterator[Wait]:
        """Everything that must end at some time."""
        for request, owner in list(self.driver.requests.items()):
            yield self.describe_request(request, owner, now)
        for (request, _), attempt in list(self.driver.attempts.items()):
            if not attempt.streams_value:
                end = partial(self.driver.backends.cancel_attempt, attempt, EndReason.ATTEMPT_TIMEOUT)
                yield Wait(SubjectKind.ATTEMPT, attempt, request, attempt.expires_at, end)
        for client in list(self.server.connections):
            close = partial(client.close, CloseReason.OVERDUE)
            yield Wait(SubjectKind.CLIENT_CONNECTION, client, "", client.get_latest_end(), close)
        for connection in list(self.driver.backends.connections):
            if connection.attempt is None:
                latest_end = self.driver.backends.get_latest_idle_end(connection, now)
                yield Wait(SubjectKind.BACKEND_CONNECTION, connection, "", latest_end, connection.close)

    def describe_request(self, request: str, owner: Request, now: float) -> Wait:
        """The wait of an open request, for its answer or for the end of a streamed one."""
        if not owner.is_streaming:
            fail = partial(self.driver.fail_overdue, owner)
            return Wait(SubjectKind.REQUEST, owner, request, owner.expires_at, fail)
        latest_end = self.driver.long_values.get_latest_end(owner, now)
        return Wait(SubjectKind.STREAM, owner, request, latest_end, partial(self.driver.break_stream, owner))
