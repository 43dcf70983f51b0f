"""Pools of connections to backends, and the attempts made on them.

The sockets are driven directly rather than through transports: what may be said of an attempt depends on
whether its last byte has left the process, a cutoff holds at the first byte, and an attempt that is given up
must be closed before the next one is sent. `send` and `close` tell and do that at once.
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

MAX_IDLE_RATIO = 0.6  # of the keep-alive time: retired before the backend may close it under a request
SWEEP_INTERVAL_MS = 1_000.0
# Before the end of the grace for new work to a draining backend. Danger: a process may be held up for 150 ms
# between reading its clock and writing; the rest is for the way to the backend.
CUTOFF_MARGIN_MS = 150.0 + 50.0
READ_BYTES = 64 * 1024
# A long value of which nothing has come for this long, though it is read, is broken. Danger: past its
# request's time its client is owed an end within half a second, and would wait for it in vain. The silence
# may begin at that very time and be seen a look later, and the loop and the way to the client need some too.
STALL_TIMEOUT_MS, OVERDUE_STALL_TIMEOUT_MS = 5_000.0, 300.0
# Before a connection is used again: a second answer may come some milliseconds after the first, and would be
# taken for the next request's. Each stands idle so much longer, which is little beside a request's own time.
REUSE_DELAY_MS = 20.0


class Host:
    """A backend's address, its idle connections and when it was told to drain."""

    def __init__(self, address: Address, started: float) -> None:
        self.address, self.started = address, started
        self.idle: list[Connection] = []  # the last used at the end
        self.cutoff = float("inf")

    def takes_new(self, now: float) -> bool:
        return now < self.cutoff


class BackendPools:
    """The pools. Decides nothing: it sends where it is told, or says why it cannot."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        connect_timeout: float,
        keepalive: float,
        drain_grace: float,
        most: int,
        memory: int,
        tallies: RequestStats | None = None,
    ) -> None:
        self.tallies = tallies or RequestStats()
        self.loop, self.timers, self.connect_timeout = loop, timers, connect_timeout
        self.idle_ms, self.drain_grace, self.most = keepalive * MAX_IDLE_RATIO, drain_grace, most
        self.most_held, self.held = memory, 0  # bytes of answers that are not whole, of all connections
        self.freshness = IdleLimit()
        self.hosts: dict[int, Host] = {}
        self.connections: set[Connection] = set()
        self.long: dict[Connection, None] = {}  # of these, those with a long value under way
        self.looking = False  # a look at these is to come
        self.buffer = bytearray(READ_BYTES)  # of all connections: each takes out at once what it has read
        self.view = memoryview(self.buffer)
        self.unopened: Tally[str] = Tally()  # since the last sweep: one line tells of all
        self.spoilt: Tally[str] = Tally()  # answers, likewise
        self.timers.call_at(now_ms() + SWEEP_INTERVAL_MS, self.sweep)

    def retune(self, connect_timeout: float, keepalive: float, drain_grace: float) -> None:
        self.connect_timeout, self.idle_ms = connect_timeout, keepalive * MAX_IDLE_RATIO
        self.drain_grace = drain_grace

    # ---- the list ----

    def update(
        self,
        backend: int,
        address: Address,
        state: BackendState,
        started: float = 0.0,
        since: float | None = None,
    ) -> None:
        """`since`: from when on this may have counted as told; None: from now on."""
        if state is not BackendState.READY:
            return self.retire(backend, since)
        host = self.hosts.get(backend)
        if host is None:
            host = self.hosts[backend] = Host(address, started)
        if host.address != address or host.started != started:
            self.close_idle(host)
            host.address, host.started = address, started
        host.cutoff = float("inf")

    def retire(self, backend: int, since: float | None = None) -> None:
        if host := self.hosts.get(backend):
            # Danger: a drain counts as told while no watch is open; its grace may be over as it is heard.
            since = now_ms() if since is None else since
            host.cutoff = min(host.cutoff, since + self.drain_grace - CUTOFF_MARGIN_MS)
            self.close_idle(host)

    # ---- attempts ----

    def send(self, attempt: Attempt) -> None:
        host = self.hosts.get(attempt.backend)
        if host is None or not host.takes_new(now_ms()):
            return attempt.end(resolve_outcome(Stage.CONNECTING, EndReason.SHUT))
        now = now_ms()
        for place in range(len(host.idle) - 1, -1, -1):  # the last used first, once it has rested
            connection = host.idle[place]
            rested = now - connection.idle_since
            if rested < REUSE_DELAY_MS:
                continue
            # Danger: what has come here since the loop last looked, an end or a second copy of an answer,
            # would be the next request's. The kernel is asked once more, though it costs a call.
            if rested < min(self.idle_ms, self.freshness.limit) and connection.alive():
                del host.idle[place]
                return connection.start(attempt)
            connection.close()
        if len(self.connections) >= self.most:
            self.close_oldest()
        if len(self.connections) >= self.most:
            # Better one request turned away than no descriptors left.
            return attempt.end(resolve_outcome(Stage.CONNECTING, EndReason.BROKEN))
        try:
            self.connections.add(Connection(self, host, attempt))
        except OSError as error:
            self.unopened[error.strerror or "unknown"] += 1
            attempt.end(resolve_outcome(Stage.CONNECTING, EndReason.BROKEN))

    def give_up(self, attempt: Attempt, ending: EndReason) -> None:
        if attempt.connection is not None:
            attempt.connection.end(ending)
        else:
            attempt.end(resolve_outcome(Stage.CONNECTING, ending))

    # ---- pools ----

    def current(self, connection: Connection) -> bool:
        """Whether a connection still leads to what discovery lists: the same address and process."""
        host = connection.host
        return connection.address == host.address and connection.started == host.started

    def release(self, connection: Connection) -> None:
        host = connection.host
        if host.cutoff < float("inf") or not self.current(connection):
            return connection.close()
        connection.idle_since = now_ms()
        host.idle.append(connection)

    def forget(self, connection: Connection) -> None:
        self.connections.discard(connection)
        if connection in connection.host.idle:
            connection.host.idle.remove(connection)

    def close_idle(self, host: Host) -> None:
        for connection in list(host.idle):
            connection.close()

    def close_oldest(self) -> None:
        idle = [h.idle[0] for h in self.hosts.values() if h.idle]
        if idle:
            min(idle, key=lambda c: c.idle_since).close()

    def look_at_long(self) -> None:
        """End long values that don't go on, as long as any are under way."""
        now = now_ms()
        for connection in list(self.long):
            attempt = connection.attempt
            overdue = attempt is not None and now > attempt.expires_at
            if not connection.paused and now - connection.heard_at > (
                OVERDUE_STALL_TIMEOUT_MS if overdue else STALL_TIMEOUT_MS
            ):
                self.spoilt["a long value that did not go on"] += 1
                connection.end(EndReason.BROKEN)
        self.looking = bool(self.long)
        if self.looking:
            self.timers.call_at(now + STALL_CHECK_INTERVAL_MS, self.look_at_long)

    def sweep(self) -> None:
        now = now_ms()
        self.freshness.fade()
        for backend, host in list(self.hosts.items()):
            for connection in list(host.idle):
                if now - connection.idle_since < min(self.idle_ms, self.freshness.limit):
                    break
                connection.close()
            if not host.takes_new(now):
                del self.hosts[backend]
        for what, tally in (("connections not opened", self.unopened), ("spoilt answers", self.spoilt)):
            if tally:
                log.warning("%s: %s", what, dict(tally))
                tally.clear()
        self.timers.call_at(now + SWEEP_INTERVAL_MS, self.sweep)

    def close(self) -> None:
        for connection in list(self.connections):
            connection.end(EndReason.BROKEN)
