"""A counter for the decision module that the instances of a fleet are together, in place of the service."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from mintford.interface import Outcome
from roadpulley.core.clock import Timer, Timers, now_ms
from roadpulley.fleet.line import Line

from .terms import Add, Added

AGAIN_MS = 15.0  # after which an addition is asked for again

Done = Callable[[str, Outcome, float], None]


class Call:
    """One addition; `done` is called exactly once."""

    def __init__(self, ask: Add, due: float, done: Done) -> None:
        self.ask, self.due, self.done = ask, due, done
        self.outcome: Outcome | None = None
        self.reading = 0.0
        self.timer: Timer | None = None


class PeerCounter:
    """`wait`: milliseconds for one call. It stands where the counter service's client stands."""

    def __init__(self, line: Line, timers: Timers, wait: float) -> None:
        self.line, self.timers, self.wait = line, timers, wait
        self.lag = 0.0  # of this process's own loop, as the driver sees it
        self.open: dict[int, Call] = {}
        self.by_name: dict[str, deque[Call]] = {}  # the oldest first: those not yet told of
        self.number = 0
        line.listeners.append(self._heard)

    def add(self, name: str, amount: float, expire_in: float, done: Done) -> None:
        self.number += 1
        ask = Add(self.line.number, self.number, name, amount, max(1, int(expire_in)))
        call = self.open[self.number] = Call(ask, now_ms() + self.wait, done)
        self.by_name.setdefault(name, deque()).append(call)
        self._send(call)

    def _send(self, call: Call) -> None:
        self.line.send(call.ask)
        due = min(now_ms() + AGAIN_MS, call.due)
        call.timer = self.timers.at(due, partial(self._again, call))

    def _again(self, call: Call) -> None:
        if now_ms() < call.due:
            return self._send(call)  # an instance takes each number once
        self._end(call, Outcome.TIMED_OUT, 0.0)

    def _heard(self, body: Any) -> None:
        if isinstance(body, Added) and body.holder == self.line.number:
            if call := self.open.get(body.number):
                self._end(call, Outcome.OK, body.total)

    def _end(self, call: Call, outcome: Outcome, reading: float) -> None:
        """Tell the outcomes of a name's calls in their order: the module knows a call by its name only."""
        del self.open[call.ask.number]
        if call.timer is not None:
            call.timer.cancel()
        call.outcome, call.reading = outcome, reading
        calls = self.by_name[call.ask.name]
        while calls and (ended := calls[0].outcome) is not None:
            first = calls.popleft()
            first.done(first.ask.name, ended, first.reading)
        if not calls:
            self.by_name.pop(call.ask.name, None)
