"""The clock of a gateway and the queue of its timers.

Times are Unix milliseconds, because the start times of backends and the periods of the counter are compared
with them and all gateways must refer to the same moments. The wall clock is read once and then advanced by
the monotonic clock: a step of the wall clock must not stop timers or expire all leases at once.
"""

from __future__ import annotations

import asyncio
import heapq
import math
import time
from collections.abc import Callable

TICK_MS = 2.0  # timers of one tick fire together; short compared with all timeouts
_OFFSET_MS = time.time() * 1000 - time.monotonic() * 1000


def now_ms() -> float:
    """The current time in Unix milliseconds. It never goes backwards."""
    return time.monotonic() * 1000 + _OFFSET_MS


def wall_offset_ms() -> float:
    """What `now_ms` adds to the machine's monotonic clock.

    It differs between two processes if the wall clock was set between their starts.
    """
    return _OFFSET_MS


class Timer:
    """One scheduled callback."""

    __slots__ = ("callback", "due_at")

    def __init__(self, due_at: float, callback: Callable[[], None]) -> None:
        self.due_at = due_at
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Prevents the call. The timer stays in its slot until its tick."""
        self.callback = None


def _latest_first(timer: Timer) -> float:
    return -timer.due_at


class Timers:
    """Calls back at a time of `now_ms`: never before it, and at most one tick after it.

    The timers of a tick are in one list, and the heap holds ticks. Most timers of a busy gateway are
    cancelled before they fire, and these cost no more than an entry in a list.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._slots: dict[int, list[Timer]] = {}  # by tick: the timers due before its end
        self._ticks: list[int] = []  # a heap
        self._handle: asyncio.TimerHandle | None = None
        self._armed: float = math.inf  # the tick that `_handle` is scheduled for
        self._running = 0  # the tick whose timers are being called; no timer is added to an earlier one

    def call_at(self, due_at: float, callback: Callable[[], None]) -> Timer:
        """Schedules `callback` for `due_at`, a time of `now_ms`."""
        timer, tick = Timer(due_at, callback), max(int(due_at // TICK_MS) + 1, self._running)
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
        self._armed = -math.inf  # `call_at` must not schedule while this runs
        try:
            # The event loop rounds to whole milliseconds and may call early. The decision module ignores a
            # timer that fires before its time, so a request would never end.
            while ticks and ticks[0] * TICK_MS <= now_ms():
                self._running = ticks[0]
                slot = slots[self._running]
                slot.sort(key=_latest_first)
                while (
                    slot
                ):  # the slot stays registered until it is empty: an exception must not lose its other timers
                    if callback := slot.pop().callback:
                        callback()
                del slots[heapq.heappop(ticks)]
        finally:
            self._armed, self._running = math.inf, 0
            if ticks:
                self._arm(ticks[0])
