"""The client of the counter service."""

from __future__ import annotations

import asyncio
import logging
import zlib
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import cast

from mintford.interface import Outcome

from .clock import Timer, Timers, now_ms
from .config import Address

log = logging.getLogger(__name__)

CONNECTIONS = 4  # a slow part of the counter holds up only the answers behind it on one of them
SILENT_MS = 1_000.0  # a connection that owes an answer and says nothing for this long is taken for lost
RETIRE_MS = 3_000.0  # unused for this long: closed before the counter does it under a call
MOST_OWED = 1_000  # calls written and unanswered on one connection
LONGEST_LINE = 1024

Done = Callable[[str, Outcome, float], None]


class Call:
    """One call; `done` is called exactly once."""

    __slots__ = ("done", "line", "name", "over", "timer")

    def __init__(self, name: str, line: bytes, done: Done) -> None:
        self.name, self.line, self.done, self.over = name, line, done, False
        self.timer: Timer | None = None

    def end(self, outcome: Outcome, reading: float = 0.0) -> None:
        if not self.over:
            self.over = True
            if self.timer is not None:
                self.timer.cancel()
            self.done(self.name, outcome, reading)


class CounterConnection(asyncio.Protocol):
    """Calls written one behind another; the oldest unanswered one gets the next answer, however late."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.owed: deque[Call] = deque()
        self.rest = b""
        self.closed = False
        self.heard_at = self.used_at = now_ms()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass

    def write(self, calls: list[Call]) -> None:
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
            if not self.owed:
                return self.drop("an answer to nothing")
            # A late answer belongs to its own call, which has ended, and is not the next one's.
            self.owed.popleft().end(*read_answer(line))
        if len(self.rest) > LONGEST_LINE:
            self.drop("an endless line")

    def drop(self, reason: str = "") -> None:
        if reason:
            log.warning("counter connection dropped: %s", reason)
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        owed, self.owed = self.owed, deque()
        for call in owed:
            call.end(Outcome.TIMED_OUT)  # it may have been added


def read_answer(line: bytes) -> tuple[Outcome, float]:
    words = line.split()
    if len(words) == 2 and words[0] == b"ok":
        try:
            return Outcome.OK, float(words[1])
        except ValueError:
            pass
    elif words in ([b"busy"], [b"error"]):
        return Outcome.FULL, 0.0
    log.warning("counter said %r", line[:80])
    return Outcome.TIMED_OUT, 0.0  # whether it was added is not known


class Lane:
    """The calls whose names share a connection, so that answers for one name keep the order of its calls."""

    def __init__(self, counter: Counter) -> None:
        self.counter = counter
        self.connection: CounterConnection | None = None
        self.waiting: list[Call] = []  # for a connection, or for the end of this turn of the event loop
        self.flushing = False
        self.connecting: asyncio.Task[None] | None = None

    def add(self, call: Call) -> None:
        self.waiting.append(call)
        if not self.flushing:
            self.flushing = True
            self.counter.loop.call_soon(self.flush)

    def flush(self) -> None:
        self.flushing = False
        self.waiting = [call for call in self.waiting if not call.over]
        if not self.waiting:
            return
        connection, now = self.connection, now_ms()
        if connection is not None and not connection.closed:
            # The counter's machine may have vanished: such a connection stays open and silent for ever.
            lost = bool(connection.owed) and now - connection.heard_at > SILENT_MS
            if lost or (not connection.owed and now - connection.used_at > RETIRE_MS):
                connection.drop("silent" if lost else "")
        if connection is None or connection.closed:
            if self.connecting is None:
                self.connecting = self.counter.loop.create_task(self.connect())
        elif len(connection.owed) >= MOST_OWED:
            self.fail(Outcome.FULL)
        else:
            calls, self.waiting = self.waiting, []
            connection.write(calls)

    async def connect(self) -> None:
        host, port = self.counter.address
        try:
            async with asyncio.timeout(self.counter.wait / 1000):
                _, self.connection = await self.counter.loop.create_connection(CounterConnection, host, port)
        except OSError:  # time-outs are among these
            self.fail(Outcome.CONNECT)
        finally:
            self.connecting = None
        self.flush()

    def fail(self, outcome: Outcome) -> None:
        """End the calls that were never written: nothing was added."""
        calls, self.waiting = self.waiting, []
        for call in calls:
            call.end(outcome)


class Counter:
    def __init__(
        self, loop: asyncio.AbstractEventLoop, timers: Timers, address: Address, wait: float
    ) -> None:
        self.loop, self.timers, self.address, self.wait = loop, timers, address, wait
        self.lanes = [Lane(self) for _ in range(CONNECTIONS)]

    def add(self, name: str, amount: float, expire_in: float, done: Done) -> None:
        encoded = name.encode()
        line = b"tally %b %b %d\r\n" % (encoded, b"%.6f" % amount, max(1, int(expire_in)))
        call = Call(name, line, done)
        lane = self.lanes[zlib.crc32(encoded) % len(self.lanes)]
        lane.add(call)
        call.timer = self.timers.at(now_ms() + self.wait, partial(self.expire, lane, call))

    def expire(self, lane: Lane, call: Call) -> None:
        written = call not in lane.waiting
        call.end(Outcome.TIMED_OUT if written else Outcome.CONNECT)

    def close(self) -> None:
        for lane in self.lanes:
            if lane.connecting is not None:
                lane.connecting.cancel()
            if lane.connection is not None:
                lane.connection.drop()
