"""The shell of a holder: a process that spends, beside an instance of the fleet on the same machine.

Nothing here blocks. Where the instance is silent, what is held can be spent until it ends, and no more.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from roadpulley.fleet.clock import Clock, from_environment
from roadpulley.fleet.line import Line

from .holder import NEVER_DUE, Holder, limit_of
from .terms import Given, Hello, Serving, Welcome

LEAST_WAIT_S = 0.001  # of the timer's own rounding


@dataclass(eq=False)
class Wish:
    """One act that waits until it can be paid, or its time is up."""

    limit: str
    units: float
    done: Callable[[bool], None]
    timer: asyncio.TimerHandle | None = None


class Purses:
    """What a process holds of all limits."""

    def __init__(self, line: Line, clock: Clock | None = None) -> None:
        self.line, self.clock = line, clock or from_environment()
        self.machine: Holder | None = None  # until an instance has told the settings
        self.waiting: dict[str, list[Wish]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = NEVER_DUE  # by our clock
        self.paid_at = 0.0  # by our clock: the last look at it before an act
        line.listeners.append(self._heard)

    def close(self) -> None:
        """Wishes that wait are not paid; rights that are held end by themselves."""
        if self.timer is not None:
            self.timer.cancel()
        for limit in list(self.waiting):
            for wish in self.waiting.pop(limit):
                self._end(wish, False)

    # ---- to spend ----

    def take(self, limit: str, units: float) -> bool:
        """Spend so much now, if it is held."""
        if self.machine is None:
            return False
        now = self.clock.now()
        taken = self.machine.take(now, limit, units)
        self.paid_at = now
        if ask := self.machine.ask_now(now, limit):
            self.line.send(ask)
        self._set()
        return taken

    def wish(
        self, plan: str, customer: str, units: float, within: float, done: Callable[[bool], None]
    ) -> None:
        """Spend so much as soon as it is held: `done` is called once, at once or within so many seconds."""
        limit = limit_of(plan, customer)
        if self.take(limit, units):
            return done(True)
        if not self._asks(limit):
            return done(False)  # nobody is there to ask, or it was told to wait for longer
        wish = Wish(limit, units, done)
        self.waiting.setdefault(limit, []).append(wish)
        wish.timer = asyncio.get_running_loop().call_later(within, self._expire, wish)

    def _asks(self, limit: str) -> bool:
        """Whether an answer for it may come."""
        purse = self.machine.purses.get(limit) if self.machine is not None else None
        return purse is not None and purse.open is not None

    def _expire(self, wish: Wish) -> None:
        if wish in (rows := self.waiting.get(wish.limit, [])):
            rows.remove(wish)
            self._end(wish, False)

    def _end(self, wish: Wish, paid: bool) -> None:
        if wish.timer is not None:
            wish.timer.cancel()
        wish.done(paid)

    def _pay(self, limit: str) -> None:
        """An answer has come: those that wait are paid in their order, or asked for once more."""
        assert self.machine is not None
        rows = self.waiting.pop(limit, [])
        now = self.paid_at = self.clock.now()
        while rows and self.machine.take(now, limit, rows[0].units, anew=False):
            self._end(rows.pop(0), True)
        if ask := self.machine.ask_now(now, limit):
            self.line.send(ask)
        if self._asks(limit):
            self.waiting[limit] = rows + self.waiting.get(limit, [])
        else:
            for wish in rows:
                self._end(wish, False)  # there is nothing: it is told so at once

    # ---- messages ----

    def _heard(self, body: Any) -> None:
        if not isinstance(body, Welcome | Serving | Given):
            return
        now = self.clock.now()
        if isinstance(body, Welcome):
            if self.machine is None or self.machine.parts != body.parts:
                self.machine = Holder(self.line.number, body.parts, body.times)
                self.line.send(Hello(self.line.number))  # who serves is told again, now that it can be kept
        elif self.machine is None:
            return
        elif isinstance(body, Serving):
            self.machine.serving(now, body.part, body.fence, body.left_ms / 1000)
        elif body.holder == self.line.number:
            limit, waited = body.limit, self._asks(body.limit)
            self.machine.heard(now, body)
            if waited and not self._asks(limit):
                self._pay(limit)
        self._set()

    # ---- time ----

    def _set(self) -> None:
        if self.machine is None or self.machine.next_at() >= self.timer_at:
            return  # the timer comes first
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = self.machine.next_at()
        wait = max(0.0, (self.timer_at - self.clock.now()) / self.clock.rate)
        self.timer = asyncio.get_running_loop().call_later(wait + LEAST_WAIT_S, self._tick)

    def _tick(self) -> None:
        assert self.machine is not None
        self.timer_at = NEVER_DUE
        for ask in self.machine.tick(self.clock.now()):
            self.line.send(ask)
        for limit in [name for name in self.waiting if not self._asks(name)]:
            self._pay(limit)
        self._set()
