"""Remembers requests that may have run, so that the same id is not sent on a second time.

A client sends a request again under its id if it lost the connection, and the gateway may have sent the first
one on before it noticed that its client had left. Only classes with effects are remembered: a safe request
may run twice.

| state of an id                                  | the same id on another connection           |
| ----------------------------------------------- | ------------------------------------------- |
| open                                            | an error, as the first one gets the answer  |
| ended, and no attempt can have run              | a new request                               |
| ended or its client left, an attempt may have   | failed; never refused, as a refusal would   |
| run, and its time is not over                   | promise that nothing ran                    |
| its time is over                                | unknown: its client can't wait any more     |

The time of an id ends with the deadline of its request, or with the window in which backends recognise a
repeat if that is later, and a margin for the way. An id is never forgotten before: when the memory is full, a
new request of such a class is refused before its first attempt.
"""

from __future__ import annotations

from collections.abc import Callable

TICK_MS = 250.0  # ids whose time ends within one tick are forgotten together


class RecentRequests:
    """The ids of requests that may have run, until their time is over. Times are Unix milliseconds."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._ends: dict[str, float] = {}  # when the time of an id is over
        self._ticks: dict[int, list[str]] = {}  # the ids by the tick in which they may be forgotten
        self._next_tick = 0  # all earlier ones have been forgotten
        # Called with an id of this process, and for how many milliseconds it is remembered.
        self.on_added: Callable[[str, float], None] | None = None
        self._listed_count = 0  # in `_ticks`, also those whose time was extended or that were discarded

    def __len__(self) -> int:
        return len(self._ends)

    def is_full(self, now: float) -> bool:
        """Whether no further id can be remembered."""
        if self._listed_count < self.capacity:
            return False
        self._forget_expired(now)
        return self._listed_count >= self.capacity

    def add(self, request: str, now: float, until: float, is_own: bool = True) -> None:
        """Remembers that a request may have run. A second call only extends the time.

        `is_own`: it was sent on by this process.
        """
        end = self._ends.get(request)
        if end is not None and end >= until:
            return
        self._ends[request] = until
        self._ticks.setdefault(int(until // TICK_MS) + 1, []).append(request)
        self._listed_count += 1
        if is_own and self.on_added is not None:
            self.on_added(request, until - now)

    def list_remaining(self, now: float) -> list[tuple[str, float]]:
        """All ids, and for how many milliseconds each is still remembered."""
        return [(request, end - now) for request, end in self._ends.items() if end > now]

    def discard(self, request: str) -> None:
        """Forgets an id, as its request certainly didn't run."""
        self._ends.pop(request, None)  # its place among the ticks is skipped later

    def may_have_run(self, request: str, now: float) -> bool:
        """Whether an earlier request of this id may have run, and its time is not over."""
        self._forget_expired(now)
        return now < self._ends.get(request, 0.0)

    def _forget_expired(self, now: float) -> None:
        current_tick = int(now // TICK_MS)
        if current_tick <= self._next_tick:
            return
        for tick in [tick for tick in self._ticks if tick <= current_tick]:
            forgotten = self._ticks.pop(tick)
            self._listed_count -= len(forgotten)
            for request in forgotten:
                if self._ends.get(request, now + 1) <= now:
                    del self._ends[request]
        self._next_tick = current_tick
