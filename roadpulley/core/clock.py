"""The one clock of a gateway and the one queue of its timers.

Times are Unix milliseconds: the start times of backends and the counter's periods are compared with them,
so all gateways must mean the same moment. The wall clock is read once and carried on by the monotonic one:
a stepped wall clock must not stop timers or age every lease at once.
"""

from __future__ import annotations

import asyncio
import heapq
import math
import time
from collections.abc import Callable

TICK_MS = 2.0  # how far timers are put together: small beside any time that is waited for
_OFFSET_MS = time.time() * 1000 - time.monotonic() * 1000


def now_ms() -> float:
    return time.monotonic() * 1000 + _OFFSET_MS


class Timer:
    """One call to come."""

    __slots__ = ("callback", "due_at")

    def __init__(self, due_at: float, callback: Callable[[], None]) -> None:
        self.due_at = due_at
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


def _later(timer: Timer) -> float:
    return -timer.due_at


class Timers:
    """Calls back at a time of `now_ms`, never before it, and up to one tick after it.

    Timers of one tick lie in one list, and the heap holds ticks: most timers of a busy gateway are cancelled
    before they are due, and cost no more than the place in a list.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._slots: dict[int, list[Timer]] = {}  # by tick: those due before its end
        self._ticks: list[int] = []  # a heap
        self._handle: asyncio.TimerHandle | None = None
        self._armed: float = math.inf  # the tick that the handle is for
        self._running = 0  # the tick whose timers are being called; nothing is put before it

    def call_at(self, due: float, callback: Callable[[], None]) -> Timer:
        timer, tick = Timer(due, callback), max(int(due // TICK_MS) + 1, self._running)
        slot = self._slots.get(tick)
        if slot is not None:
            slot.append(timer)
            return timer
        self._slots[tick] = [timer]
        heapq.heappush(self._ticks, tick)
        if tick < self._armed:
            self._arm(tick)
        return timer

    def _arm(self, tick: int) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._armed = float(tick)
        self._handle = self._loop.call_later(max(0.0, tick * TICK_MS - now_ms()) / 1000, self._run)

    def _run(self) -> None:
        ticks, slots, self._handle = self._ticks, self._slots, None
        self._armed = -math.inf  # nothing to arm meanwhile
        try:
            # The event loop rounds to whole milliseconds and may call early; the module ignores a timer
            # that comes before its time, and a request would then never be ended.
            while ticks and ticks[0] * TICK_MS <= now_ms():
                self._running = ticks[0]
                slot = slots[self._running]
                slot.sort(key=_later)
                while slot:  # left where it is until it is empty: a fault in one call must not lose the rest
                    if callback := slot.pop().callback:
                        callback()
                del slots[heapq.heappop(ticks)]
        finally:
            self._armed, self._running = math.inf, 0
            if ticks:
                self._arm(ticks[0])
