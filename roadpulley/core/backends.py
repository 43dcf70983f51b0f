"""Connection pools to the backends, and the attempts on their connections.

Sockets are used directly rather than through asyncio transports. The outcome of an attempt depends on whether
its last byte has left the process, a drain's cutoff applies to the first byte, and the connection of a
cancelled attempt must be closed before the next attempt is sent. `send` and `close` of a socket act and
report immediately.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter as Tally

from mintford.interface import BackendState

from .clock import Timers, now_ms
from .connection import STALL_CHECK_INTERVAL_MS, Attempt, Connection
from .idle_limit import IdleLimit
from .outcomes import EndReason, Stage, resolve_outcome
from .request_stats import RequestStats
from .settings import Address

log = logging.getLogger(__name__)

MAX_IDLE_RATIO = 0.6  # of the keep-alive time: closed before the backend may close it during a request
SWEEP_INTERVAL_MS = 1_000.0
# New requests to a draining backend stop this long before the end of its grace. The process may be suspended
# for 150 ms between reading the clock and writing; the rest is network latency.
CUTOFF_MARGIN_MS = 150.0 + 50.0
READ_BYTES = 64 * 1024
# A connection is not reused for this long after an answer. A duplicate answer may arrive a few milliseconds
# after the first one and would be taken for the answer to the next request.
REUSE_DELAY_MS = 20.0


class Host:
    """A backend: its address, its idle connections, and until when it accepts new requests."""

    def __init__(self, address: Address, started: float) -> None:
        self.address, self.started = address, started
        self.idle: list[Connection] = []  # the most recently used last
        self.new_requests_until = float("inf")
        self.draining_since = float("inf")

    def accepts_new_requests(self, now: float) -> bool:
        """Whether the backend isn't draining, or is still within its grace."""
        return now < self.new_requests_until


class BackendPools:
    """The connection pools of all backends.

    Attempts go to the backend that the decision module chose, or end with the reason why they can't.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        connect_timeout_ms: float,
        keepalive_ms: float,
        drain_grace_ms: float,
        max_connections: int,
        memory_bytes: int,
        stats: RequestStats | None = None,
    ) -> None:
        self.stats = stats or RequestStats()
        self.loop, self.timers, self.connect_timeout_ms = loop, timers, connect_timeout_ms
        self.max_idle_ms, self.drain_grace_ms, self.max_connections = (
            keepalive_ms * MAX_IDLE_RATIO,
            drain_grace_ms,
            max_connections,
        )
        self.max_buffered_bytes, self.buffered_bytes = memory_bytes, 0  # of incomplete answers
        self.idle_limit = IdleLimit()
        self.hosts: dict[int, Host] = {}
        self.connections: set[Connection] = set()
        self.long_values: dict[Connection, None] = {}  # those that stream a long value
        self.is_stall_check_scheduled = False
        self.read_buffer = bytearray(READ_BYTES)  # shared: each connection consumes what it reads immediately
        self.read_view = memoryview(self.read_buffer)
        self.connect_errors: Tally[str] = Tally()  # since the last sweep, which logs them in one line
        self.answer_errors: Tally[str] = Tally()  # likewise
        self.timers.call_at(now_ms() + SWEEP_INTERVAL_MS, self.sweep)

    def set_timeouts(self, connect_timeout_ms: float, keepalive_ms: float, drain_grace_ms: float) -> None:
        """Applies changed settings to the pools. A shorter grace counts for drains under way as well."""
        self.connect_timeout_ms, self.max_idle_ms = connect_timeout_ms, keepalive_ms * MAX_IDLE_RATIO
        self.drain_grace_ms = drain_grace_ms
        for host in self.hosts.values():
            self._limit_new_requests(host)

    # ---- the list ----

    def update(
        self,
        backend: int,
        address: Address,
        state: BackendState,
        started: float = 0.0,
        since: float | None = None,
    ) -> None:
        """Applies an entry of discovery's list. `since`: when it may have taken effect; None: now."""
        if state is not BackendState.READY:
            return self.retire(backend, since)
        host = self.hosts.get(backend)
        if host is None:
            host = self.hosts[backend] = Host(address, started)
        if host.address != address or host.started != started:
            self.close_idle(host)
            host.address, host.started = address, started
        host.new_requests_until = host.draining_since = float("inf")

    def retire(self, backend: int, since: float | None = None) -> None:
        """Drains a backend that is draining or no longer listed."""
        if host := self.hosts.get(backend):
            # A drain takes effect even while no watch is open. Its grace may already be over when this
            # gateway learns of it, so the grace is measured from `since`.
            since = now_ms() if since is None else since
            host.draining_since = min(host.draining_since, since)
            self._limit_new_requests(host)
            self.close_idle(host)

    def _limit_new_requests(self, host: Host) -> None:
        """Sets until when a draining backend accepts new requests. Later calls only bring that forward."""
        host.new_requests_until = min(
            host.new_requests_until, host.draining_since + self.drain_grace_ms - CUTOFF_MARGIN_MS
        )

    # ---- attempts ----

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt on an idle connection, or on a new one if there is none."""
        host = self.hosts.get(attempt.backend)
        if host is None or not host.accepts_new_requests(now_ms()):
            attempt.end_detail = EndReason.UNAVAILABLE.value
            return attempt.end(resolve_outcome(Stage.CONNECTING, EndReason.UNAVAILABLE))
        now = now_ms()
        for index in range(len(host.idle) - 1, -1, -1):  # the last used first, once it has idle_ms
            connection = host.idle[index]
            idle_ms = now - connection.idle_since
            if idle_ms < REUSE_DELAY_MS:
                continue
            # Data that arrived since the loop last polled, such as an end of the connection or a duplicate
            # answer, would be taken for the next request's. The extra system call asks the kernel for it.
            if idle_ms < min(self.max_idle_ms, self.idle_limit.limit) and connection.is_alive():
                del host.idle[index]
                return connection.start(attempt)
            connection.close()
        if len(self.connections) >= self.max_connections:
            self.close_oldest()
        if len(self.connections) >= self.max_connections:
            # Failing one request is better than running out of descriptors.
            attempt.end_detail = "no descriptor left for backends"
            return attempt.end(resolve_outcome(Stage.CONNECTING, EndReason.CONNECTION_ERROR))
        try:
            self.connections.add(Connection(self, host, attempt))
        except OSError as error:
            self.connect_errors[error.strerror or "unknown"] += 1
            attempt.end_detail = f"no connection: {error.strerror}"
            attempt.end(resolve_outcome(Stage.CONNECTING, EndReason.CONNECTION_ERROR))

    def cancel_attempt(self, attempt: Attempt, reason: EndReason) -> None:
        """Ends an attempt, and closes its connection if it has one."""
        if attempt.connection is not None:
            attempt.connection.end(reason)
        else:
            attempt.end(resolve_outcome(Stage.CONNECTING, reason))

    # ---- pools ----

    def is_current(self, connection: Connection) -> bool:
        """Whether a connection leads to the address and process that discovery lists for its backend."""
        host = connection.host
        return connection.address == host.address and connection.started == host.started

    def release(self, connection: Connection) -> None:
        """Returns a connection to its pool, or closes it if its backend drains or has moved."""
        host = connection.host
        if host.new_requests_until < float("inf") or not self.is_current(connection):
            return connection.close()
        connection.idle_since = now_ms()
        host.idle.append(connection)

    def remove_connection(self, connection: Connection) -> None:
        """Removes a closed connection."""
        self.connections.discard(connection)
        if connection in connection.host.idle:
            connection.host.idle.remove(connection)

    def get_latest_idle_end(self, connection: Connection, now: float) -> float:
        """When a connection without an attempt must have been closed or used, in Unix milliseconds."""
        if connection not in connection.host.idle:
            return now  # nothing would ever use or close it
        return connection.idle_since + self.max_idle_ms + SWEEP_INTERVAL_MS

    def close_idle(self, host: Host) -> None:
        """Closes the idle connections to a backend."""
        for connection in list(host.idle):
            connection.close()

    def close_oldest(self) -> None:
        """Closes the connection that has been idle for longest, if any is idle."""
        idle = [h.idle[0] for h in self.hosts.values() if h.idle]
        if idle:
            min(idle, key=lambda c: c.idle_since).close()

    def watch_long_answer(self, connection: Connection) -> None:
        """Checks from now on whether the long answer on a connection is stalled."""
        self.long_values[connection] = None
        if not self.is_stall_check_scheduled:
            self.is_stall_check_scheduled = True
            self.timers.call_at(now_ms() + STALL_CHECK_INTERVAL_MS, self.check_stalled_values)

    def check_stalled_values(self) -> None:
        """Ends stalled long answers, and schedules the next check while any of them is under way."""
        now = now_ms()
        for connection in list(self.long_values):
            answer = connection.long_answer
            if answer is None or now <= answer.get_stall_deadline():
                continue
            connection.read_now()
            if connection.long_answer is answer and now > answer.get_stall_deadline():
                self.answer_errors["a long value that did not go on"] += 1
                connection.end(EndReason.CONNECTION_ERROR, "its long value does not go on")
        self.is_stall_check_scheduled = bool(self.long_values)
        if self.is_stall_check_scheduled:
            self.timers.call_at(now + STALL_CHECK_INTERVAL_MS, self.check_stalled_values)

    def sweep(self) -> None:
        """Closes expired idle connections, removes drained backends and logs errors."""
        now = now_ms()
        self.idle_limit.decay()
        for backend, host in list(self.hosts.items()):
            for connection in list(host.idle):
                if now - connection.idle_since < min(self.max_idle_ms, self.idle_limit.limit):
                    break
                connection.close()
            if not host.accepts_new_requests(now):
                del self.hosts[backend]
        for description, errors in (
            ("failed connections", self.connect_errors),
            ("spoilt answers", self.answer_errors),
        ):
            if errors:
                log.warning("%s: %s", description, dict(errors))
                errors.clear()
        self.timers.call_at(now + SWEEP_INTERVAL_MS, self.sweep)

    def close(self) -> None:
        """Closes all connections and ends their attempts."""
        for connection in list(self.connections):
            connection.end(EndReason.CONNECTION_ERROR, "this process ends")
