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

CONNECTIONS = 4  # a slow part of the counter holds up only the answers behind it on one of them
SILENCE_TIMEOUT_MS = (
    300.0  # a connection that owes an answer and says nothing for this long is taken for lost
)
IDLE_TIMEOUT_MS = 3_000.0  # unused for this long: closed before the counter does it under a call
MAX_UNANSWERED_CALLS = 1_000  # calls written and unanswered on one connection
LATE_TIMER_THRESHOLD_MS = (
    15.0  # a time-out that comes this late: the loop lagged, and the answer may lie unread
)
MAX_LINE_BYTES = 64  # a total has seven digits
SUMMARY_INTERVAL_MS = 1_000.0  # between lines of the log about connections that had to be dropped
TOTAL = re.compile(rb"ok (-?\d{1,18}(?:\.\d{0,18})?(?:[eE][+-]?\d\d?)?)")

CounterCallback = Callable[[str, Outcome, float], None]


class CounterCall:
    """One call; `done` is called exactly once."""

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
        if not self.has_ended:
            self.has_ended, self.outcome, self.total = True, outcome, total
            if self.timer is not None:
                self.timer.cancel()
            self.counter.report_finished(self.name)


class CounterConnection(asyncio.Protocol):
    """Calls written one behind another; the oldest unanswered one gets the next answer, however late."""

    def __init__(self, counter: CounterClient) -> None:
        self.counter = counter
        self.transport: asyncio.Transport | None = None
        self.owed: deque[CounterCall] = deque()
        self.rest = b""
        self.closed = False
        self.heard_at = self.used_at = now_ms()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass

    def write(self, calls: list[CounterCall]) -> None:
        assert self.transport is not None
        now = now_ms()
        if not self.owed:
            self.heard_at = now
        self.used_at = now
        self.owed.extend(calls)
        self.transport.write(b"".join(call.line for call in calls))

    def data_received(self, data: bytes) -> None:
        self.heard_at = now_ms()
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            if self.closed:
                return
            if not self.owed:
                return self.drop("an answer to nothing")
            if (answer := parse_answer(line)) is None:
                # What was said of this call, and whether the next line would be for the next one, is unknown.
                return self.drop("an answer that is none")
            # A late answer belongs to its own call, which has ended, and is not the next one's.
            self.owed.popleft().end(*answer)
        if len(self.rest) > MAX_LINE_BYTES:
            self.drop("an endless line")

    def drop(self, reason: str = "") -> None:
        if self.closed:
            return
        if reason:
            self.counter.dropped[reason] += 1
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
        self.end_owed()

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self.counter.draining_connections.discard(self)
        self.end_owed()

    def end_owed(self) -> None:
        owed, self.owed = self.owed, deque()
        for call in owed:
            call.end(Outcome.TIMED_OUT)  # it may have been added


def parse_answer(line: bytes) -> tuple[Outcome, float] | None:
    """None for what is no answer. `float` alone takes more than numbers: nan, inf, 1_0."""
    line = line.removesuffix(b"\r")
    if line in (b"busy", b"error"):
        return Outcome.FULL, 0.0
    if total := TOTAL.fullmatch(line):
        return Outcome.OK, float(total[1])
    return None


class CounterLane:
    """The calls whose names share a connection, so that answers for one name keep the order of its calls."""

    def __init__(self, counter: CounterClient) -> None:
        self.counter = counter
        self.connection: CounterConnection | None = None
        self.waiting: list[
            CounterCall
        ] = []  # for a connection, or for the end of this turn of the event loop
        self.flushing = False
        self.connecting: asyncio.Task[None] | None = None

    def add(self, call: CounterCall) -> None:
        self.waiting.append(call)
        if not self.flushing:
            self.flushing = True
            self.counter.loop.call_soon(self.flush)

    def flush(self) -> None:
        self.flushing = False
        self.waiting = [call for call in self.waiting if not call.has_ended]
        if not self.waiting:
            return
        connection, now = self.connection, now_ms()
        if connection is not None and not connection.closed:
            # The counter's machine may have vanished: such a connection stays open and silent for ever.
            if (
                connection.owed
                and now - connection.heard_at > SILENCE_TIMEOUT_MS + 2 * self.counter.loop_lag_ms
            ):
                connection.drop("silent")
            elif len(connection.owed) >= MAX_UNANSWERED_CALLS:
                connection.drop("too far behind")
            elif not connection.owed and now - connection.used_at > IDLE_TIMEOUT_MS:
                connection.drop()
        if connection is None or connection.closed:
            if self.connecting is None:
                self.connecting = self.counter.loop.create_task(self.connect())
        else:
            calls, self.waiting = self.waiting, []
            connection.write(calls)

    async def connect(self) -> None:
        host, port = self.counter.address
        try:
            async with asyncio.timeout(self.counter.timeout_ms / 1000):
                _, self.connection = await self.counter.loop.create_connection(
                    partial(CounterConnection, self.counter), host, port
                )
        except OSError:  # time-outs are among these
            self.fail(Outcome.CONNECT)
        finally:
            self.connecting = None
        self.flush()

    def move(self) -> None:
        """Leave the old address: what it owes is still read, what is unwritten goes to the new one."""
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None
        if self.connection is not None and not self.connection.closed:
            if self.connection.owed:
                self.counter.draining_connections.add(self.connection)
            else:
                self.connection.drop()
        self.connection = None
        self.flush()

    def fail(self, outcome: Outcome) -> None:
        """End the calls that were never written: nothing was added."""
        calls, self.waiting = self.waiting, []
        for call in calls:
            call.end(outcome)


class CounterClient:
    def __init__(
        self, loop: asyncio.AbstractEventLoop, timers: Timers, address: Address, timeout_ms: float
    ) -> None:
        self.loop, self.timers, self.address, self.timeout_ms = loop, timers, address, timeout_ms
        self.lanes = [CounterLane(self) for _ in range(CONNECTIONS)]
        self.draining_connections: set[CounterConnection] = (
            set()
        )  # at an earlier address, for the answers still owed
        self.calls: dict[str, deque[CounterCall]] = {}  # by name, the oldest first: those not yet told of
        self.dropped: Tally[str] = Tally()  # connections, by reason, since the last line of the log
        self.loop_lag_ms = 0.0  # of this gateway's own loop: the counter is not to blame for it
        timers.call_at(now_ms() + SUMMARY_INTERVAL_MS, self.summarize)

    def move(self, address: Address) -> None:
        if address != self.address:
            self.address = address
            for lane in self.lanes:
                lane.move()

    def add(self, name: str, amount: float, expire_in: float, done: CounterCallback) -> None:
        encoded = name.encode()
        line = b"tally %b %b %d\r\n" % (encoded, b"%.6f" % amount, max(1, int(expire_in)))
        call = CounterCall(self, name, line, done)
        self.calls.setdefault(name, deque()).append(call)
        lane = self.lanes[zlib.crc32(encoded) % len(self.lanes)]
        lane.add(call)
        due = now_ms() + self.timeout_ms
        call.timer = self.timers.call_at(due, partial(self.expire, lane, call, due))

    def report_finished(self, name: str) -> None:
        """Tell the outcomes of a name's calls in the order of the calls.

        The module knows a call by its name only, and a call to a new address or over a new connection can
        end before an older one. It waits for that one's end, which its own time-out brings.
        """
        calls = self.calls[name]
        while calls and calls[0].has_ended:
            call = calls.popleft()
            call.callback(name, call.outcome, call.total)
        if not calls:
            self.calls.pop(name, None)

    def summarize(self) -> None:
        if self.dropped:
            log.warning("connections dropped: %s", dict(self.dropped))
            self.dropped.clear()
        self.timers.call_at(now_ms() + SUMMARY_INTERVAL_MS, self.summarize)

    def expire(self, lane: CounterLane, call: CounterCall, due: float) -> None:
        if (
            now_ms() - due > LATE_TIMER_THRESHOLD_MS
        ):  # once more after this turn of the loop, which reads what has come
            call.timer = self.timers.call_at(now_ms(), partial(self.expire, lane, call, math.inf))
            return
        written = call not in lane.waiting
        call.end(Outcome.TIMED_OUT if written else Outcome.CONNECT)

    def close(self) -> None:
        for lane in self.lanes:
            if lane.connecting is not None:
                lane.connecting.cancel()
            if lane.connection is not None:
                lane.connection.drop()
        for connection in list(self.draining_connections):
            connection.drop()
