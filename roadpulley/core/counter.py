"""The client of the counter service."""

from __future__ import annotations

import asyncio
import logging
import math
import re
import zlib
from collections import Counter as Tally
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import cast

from mintford.interface import Outcome

from .clock import Timer, Timers, now_ms
from .settings import Address

log = logging.getLogger(__name__)

CONNECTIONS = 4  # a slow part of the counter delays only the answers of one connection
SILENCE_TIMEOUT_MS = 300.0  # a connection that owes an answer and is silent for this long is considered lost
IDLE_TIMEOUT_MS = 3_000.0  # closed before the counter would close it during a call
MAX_UNANSWERED_CALLS = 1_000  # on one connection
LATE_TIMER_THRESHOLD_MS = 15.0  # if a timeout fires this late, the loop lagged and the answer may be unread
MAX_LINE_BYTES = 64  # a total has seven digits
SUMMARY_INTERVAL_MS = 1_000.0  # between log lines about dropped connections
TOTAL = re.compile(rb"ok (-?\d{1,18}(?:\.\d{0,18})?(?:[eE][+-]?\d\d?)?)")

CounterCallback = Callable[[str, Outcome, float], None]


class CounterCall:
    """One call to the counter. `callback` is called exactly once."""

    __slots__ = ("callback", "counter", "has_ended", "line", "name", "outcome", "timer", "total")

    def __init__(self, counter: CounterClient, name: str, line: bytes, callback: CounterCallback) -> None:
        self.counter, self.name, self.line, self.callback, self.has_ended = (
            counter,
            name,
            line,
            callback,
            False,
        )
        self.outcome, self.total = Outcome.TIMED_OUT, 0.0
        self.timer: Timer | None = None

    def end(self, outcome: Outcome, total: float = 0.0) -> None:
        """Ends the call. Only the first call has an effect."""
        if not self.has_ended:
            self.has_ended, self.outcome, self.total = True, outcome, total
            if self.timer is not None:
                self.timer.cancel()
            self.counter.report_finished(self.name)


class CounterConnection(asyncio.Protocol):
    """A connection with pipelined calls. Each answer belongs to the oldest unanswered call, however late."""

    def __init__(self, counter: CounterClient) -> None:
        self.counter = counter
        self.transport: asyncio.Transport | None = None
        self.unanswered: deque[CounterCall] = deque()
        self.partial_line = b""
        self.is_closed = False
        self.last_read_at = self.last_used_at = now_ms()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class is no subclass

    def write(self, calls: list[CounterCall]) -> None:
        """Sends calls."""
        assert self.transport is not None
        now = now_ms()
        if not self.unanswered:
            self.last_read_at = now
        self.last_used_at = now
        self.unanswered.extend(calls)
        self.transport.write(b"".join(call.line for call in calls))

    def data_received(self, data: bytes) -> None:
        self.last_read_at = now_ms()
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            if self.is_closed:
                return
            if not self.unanswered:
                return self.drop("unexpected answer")
            if (answer := parse_answer(line)) is None:
                # The result of this call is unknown, and so is whether the next line answers the next call.
                return self.drop("malformed answer")
            # A late answer belongs to its own call, which has already ended, and not to the next one.
            self.unanswered.popleft().end(*answer)
        if len(self.partial_line) > MAX_LINE_BYTES:
            self.drop("line too long")

    def drop(self, reason: str = "") -> None:
        """Closes the connection. A reason is counted for the log."""
        if self.is_closed:
            return
        if reason:
            self.counter.dropped[reason] += 1
        self.is_closed = True
        if self.transport is not None:
            self.transport.abort()
        self.end_unanswered()

    def connection_lost(self, error: Exception | None) -> None:
        self.is_closed = True
        self.counter.draining_connections.discard(self)
        self.end_unanswered()

    def end_unanswered(self) -> None:
        """Ends all unanswered calls as timed out."""
        unanswered, self.unanswered = self.unanswered, deque()
        for call in unanswered:
            call.end(Outcome.TIMED_OUT)  # the counter may have applied it


def parse_answer(line: bytes) -> tuple[Outcome, float] | None:
    """The outcome and the total of an answer line, or None if it is malformed.

    The pattern is stricter than `float`, which also accepts nan, inf and 1_0.
    """
    line = line.removesuffix(b"\r")
    if line in (b"busy", b"error"):
        return Outcome.FULL, 0.0
    if total := TOTAL.fullmatch(line):
        return Outcome.OK, float(total[1])
    return None


class CounterLane:
    """The calls of the names that share a connection. The answers for a name have the order of its calls."""

    def __init__(self, counter: CounterClient) -> None:
        self.counter = counter
        self.connection: CounterConnection | None = None
        self.waiting: list[CounterCall] = []  # for a connection, or for the end of this loop iteration
        self.is_flush_scheduled = False
        self.connecting: asyncio.Task[None] | None = None

    def add(self, call: CounterCall) -> None:
        """Queues a call. The calls of one loop iteration are written together."""
        self.waiting.append(call)
        if not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            self.counter.loop.call_soon(self.flush)

    def flush(self) -> None:
        """Writes the waiting calls, or opens a connection for them."""
        self.is_flush_scheduled = False
        self.waiting = [call for call in self.waiting if not call.has_ended]
        if not self.waiting:
            return
        connection, now = self.connection, now_ms()
        if connection is not None and not connection.is_closed:
            # If the counter's machine has failed, the connection stays open and silent for ever.
            if (
                connection.unanswered
                and now - connection.last_read_at > SILENCE_TIMEOUT_MS + 2 * self.counter.loop_lag_ms
            ):
                connection.drop("silent")
            elif len(connection.unanswered) >= MAX_UNANSWERED_CALLS:
                connection.drop("too many unanswered calls")
            elif not connection.unanswered and now - connection.last_used_at > IDLE_TIMEOUT_MS:
                connection.drop()
        if connection is None or connection.is_closed:
            if self.connecting is None:
                self.connecting = self.counter.loop.create_task(self.connect())
        else:
            calls, self.waiting = self.waiting, []
            connection.write(calls)

    async def connect(self) -> None:
        """Opens a connection. If that fails, ends the waiting calls."""
        host, port = self.counter.address
        try:
            async with asyncio.timeout(self.counter.timeout_ms / 1000):
                _, self.connection = await self.counter.loop.create_connection(
                    partial(CounterConnection, self.counter), host, port
                )
        except OSError:  # includes TimeoutError
            self.fail(Outcome.CONNECT)
        finally:
            self.connecting = None
        self.flush()

    def move(self) -> None:
        """Switches to the new address. The old connection is kept for its unanswered calls."""
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None
        if self.connection is not None and not self.connection.is_closed:
            if self.connection.unanswered:
                self.counter.draining_connections.add(self.connection)
            else:
                self.connection.drop()
        self.connection = None
        self.flush()

    def fail(self, outcome: Outcome) -> None:
        """Ends the waiting calls. They were never written, so the counter hasn't applied them."""
        calls, self.waiting = self.waiting, []
        for call in calls:
            call.end(outcome)


class CounterClient:
    """Adds to the counters of the counter service. Times are milliseconds."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, timers: Timers, address: Address, timeout_ms: float
    ) -> None:
        self.loop, self.timers, self.address, self.timeout_ms = loop, timers, address, timeout_ms
        self.lanes = [CounterLane(self) for _ in range(CONNECTIONS)]
        # Connections to previous addresses, kept for their unanswered calls.
        self.draining_connections: set[CounterConnection] = set()
        self.calls: dict[str, deque[CounterCall]] = {}  # by name, oldest first: not yet reported
        self.dropped: Tally[str] = Tally()  # by reason, since the last log line
        self.loop_lag_ms = 0.0  # lag of this gateway's own loop, which doesn't make the counter silent
        timers.call_at(now_ms() + SUMMARY_INTERVAL_MS, self.summarize)

    def move(self, address: Address) -> None:
        """Switches to another address of the counter service."""
        if address != self.address:
            self.address = address
            for lane in self.lanes:
                lane.move()

    def add(self, name: str, amount: float, expire_in: float, callback: CounterCallback) -> None:
        """Adds to a counter that expires in `expire_in` ms. `callback` gets the outcome and the total."""
        encoded = name.encode()
        line = b"tally %b %b %d\r\n" % (encoded, b"%.6f" % amount, max(1, int(expire_in)))
        call = CounterCall(self, name, line, callback)
        self.calls.setdefault(name, deque()).append(call)
        lane = self.lanes[zlib.crc32(encoded) % len(self.lanes)]
        lane.add(call)
        due_at = now_ms() + self.timeout_ms
        call.timer = self.timers.call_at(due_at, partial(self.expire, lane, call, due_at))

    def report_finished(self, name: str) -> None:
        """Reports the outcomes of a name's calls in the order of the calls.

        The decision module identifies a call only by its name. A call over a new connection or to a new
        address may end before an older one. It is reported after the older one has ended, by its timeout at
        the latest.
        """
        calls = self.calls[name]
        while calls and calls[0].has_ended:
            call = calls.popleft()
            call.callback(name, call.outcome, call.total)
        if not calls:
            self.calls.pop(name, None)

    def summarize(self) -> None:
        """Logs the dropped connections in one line."""
        if self.dropped:
            log.warning("connections dropped: %s", dict(self.dropped))
            self.dropped.clear()
        self.timers.call_at(now_ms() + SUMMARY_INTERVAL_MS, self.summarize)

    def expire(self, lane: CounterLane, call: CounterCall, due_at: float) -> None:
        """Ends a call whose timeout is over, as never sent or as possibly applied."""
        if (
            now_ms() - due_at > LATE_TIMER_THRESHOLD_MS
        ):  # check again after this loop iteration has read pending data
            call.timer = self.timers.call_at(now_ms(), partial(self.expire, lane, call, math.inf))
            return
        written = call not in lane.waiting
        call.end(Outcome.TIMED_OUT if written else Outcome.CONNECT)

    def close(self) -> None:
        """Closes all connections."""
        for lane in self.lanes:
            if lane.connecting is not None:
                lane.connecting.cancel()
            if lane.connection is not None:
                lane.connection.drop()
        for connection in list(self.draining_connections):
            connection.drop()
