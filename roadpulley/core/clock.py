"""The one clock of a gateway and the one queue of its timers.

Times are Unix milliseconds: the start times of backends and the counter's periods are compared with them,
so all gateways must mean the same moment. The wall clock is read once and carried on by the monotonic one:
a stepped wall clock must not stop timers or age every lease at once.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
import time
from collections.abc import Callable

_OFFSET_MS = time.time() * 1000 - time.monotonic() * 1000


def now_ms() -> float:
    return time.monotonic() * 1000 + _OFFSET_MS


class Timer:
    """One call to come."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


class Timers:
    """Calls back at a time of `now_ms`, never before it; one event-loop timer stands for all of them."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._heap: list[tuple[float, int, Timer]] = []
        self._serial = itertools.count()
        self._handle: asyncio.TimerHandle | None = None
        self._handle_due = math.inf

    def at(self, due: float, callback: Callable[[], None]) -> Timer:
        timer = Timer(callback)
        heapq.heappush(self._heap, (due, next(self._serial), timer))
        if due < self._handle_due:
            self._arm(due)
        return timer

    def _arm(self, due: float) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._handle_due = due
        self._handle = self._loop.call_later(max(0.0, due - now_ms()) / 1000, self._run)

    def _run(self) -> None:
        heap, self._handle, self._handle_due = self._heap, None, -math.inf  # nothing to arm meanwhile
        try:
            # The event loop rounds to whole milliseconds and may call early; the module ignores a timer
            # that comes before its time, and a request would then never be ended.
            now = now_ms()
            while heap and (heap[0][2].callback is None or heap[0][0] <= now):
                if callback := heapq.heappop(heap)[2].callback:
                    callback()
                    now = now_ms()
        finally:
            self._handle_due = math.inf
            if heap:
                self._arm(heap[0][0])
