"""The one clock of a gateway and the one queue of its timers.

Times are Unix milliseconds: the start times of backends and the counter's periods are compared with them,
so all gateways must mean the same moment. The wall clock is read once and carried on by the monotonic one:
a stepped wall clock must not stop timers or age every lease at once.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable

_OFFSET_MS = time.time() * 1000 - time.monotonic() * 1000


def now_ms() -> float:
    return time.monotonic() * 1000 + _OFFSET_MS


class Timers:
    """Calls back at a time of `now_ms`, never before it; one event-loop timer stands for all of them."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()
        self._handle: asyncio.TimerHandle | None = None
        self._handle_due = 0.0

    def at(self, due: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (due, next(self._serial), callback))
        self._arm()

    def _arm(self) -> None:
        if not self._heap:
            return
        due = self._heap[0][0]
        if self._handle is not None:
            if self._handle_due <= due:
                return
            self._handle.cancel()
        self._handle_due = due
        self._handle = self._loop.call_later(max(0.0, due - now_ms()) / 1000, self._run)

    def _run(self) -> None:
        self._handle = None
        try:
            # The event loop rounds to whole milliseconds and may call early; the module ignores a timer
            # that comes before its time, and a request would then never be ended.
            while self._heap and self._heap[0][0] <= now_ms():
                heapq.heappop(self._heap)[2]()
        finally:
            self._arm()
