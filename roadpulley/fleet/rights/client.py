"""The shell of a holder: a process that spends, beside an instance of the fleet on the same machine.

Nothing here blocks. Where the instance is silent, what is held can be spent until it ends, and no more.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from roadpulley.fleet.agent_link import AgentLink
from roadpulley.fleet.clock import Clock, from_environment

from .holder import NEVER_DUE, Holder, Payment, customer_limit_name
from .messages import AllocatorAnnouncement, Hello, RightsReply, Welcome, is_concurrency_limit

MIN_TIMER_DELAY_S = 0.001  # of the timer's own rounding


Done = Callable[[bool], None]
Ended = Callable[[], None]


@dataclass(frozen=True)
class UnitCost:
    """Units of one limit. `lasting`: seconds for which they may be in use, where they come back."""

    limit: str
    units: float
    lasting: float = 0.0


@dataclass(eq=False)
class PendingSpend:
    """One act that waits until all its needs can be paid at once, or its time is up."""

    needs: tuple[UnitCost, ...]
    done: Callable[[bool, Ended | None], None]
    timer: asyncio.TimerHandle | None = None


class RightsClient:
    """What a process holds of all limits."""

    def __init__(self, line: AgentLink, clock: Clock | None = None) -> None:
        self.line, self.clock = line, clock or from_environment()
        self.machine: Holder | None = None  # until an instance has told the settings
        self.waiting: dict[str, list[PendingSpend]] = {}
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

    def wish(self, plan: str, customer: str, units: float, within: float, done: Done) -> None:
        """Spend so much of a customer's limit as soon as it is held, as `wish_all` does."""
        self.wish_all(
            (UnitCost(customer_limit_name(plan, customer), units),), within, lambda paid, _: done(paid)
        )

    def wish_all(
        self, needs: tuple[UnitCost, ...], within: float, done: Callable[[bool, Ended | None], None]
    ) -> None:
        """Pay all needs at once, as soon as that can be; none of them before.

        `done` is called once, at once or within so many seconds: whether they are paid, and what to call when
        the act has ended, where units come back then.
        """
        if self.machine is None:
            return done(False, None)
        now = self.clock.now()
        for need in needs:
            self.machine.want(now, need.limit, need.units)
        wish = PendingSpend(needs, done)
        lacking = self._pay(now, wish)
        self._set()
        if lacking is not None and self._wait(lacking, wish):
            wish.timer = asyncio.get_running_loop().call_later(within, self._expire, wish)

    def _pay(self, now: float, wish: PendingSpend) -> str | None:
        """Pay it, if all its needs can be; gives a limit that can't."""
        machine = self.machine
        assert machine is not None
        lacking = [n.limit for n in wish.needs if not machine.can(now, n.limit, n.units, n.lasting)]
        if not lacking:
            self.paid_at = now
            paid = [(need.limit, machine.pay(now, need.limit, need.units)) for need in wish.needs]
            back = [(limit, lots) for limit, lots in paid if is_concurrency_limit(limit)]
            self._end(wish, True, partial(self._ended, back) if back else None)
        for need in wish.needs:
            if ask := machine.ask_now(now, need.limit):
                self.line.send(ask)
        return next((limit for limit in lacking if not self._asks(limit)), lacking[0]) if lacking else None

    def _wait(self, limit: str, wish: PendingSpend) -> bool:
        """For an answer about a limit, if one may come: else it is told so at once."""
        if not self._asks(limit):
            self._end(wish, False)  # nobody is there to ask, or it was told to wait for longer
            return False
        self.waiting.setdefault(limit, []).append(wish)
        return True

    def _asks(self, limit: str) -> bool:
        purse = self.machine.purses.get(limit) if self.machine is not None else None
        return purse is not None and purse.open is not None

    def _ended(self, back: list[tuple[str, Payment]]) -> None:
        assert self.machine is not None
        for limit, lots in back:
            self.machine.ended(self.clock.now(), limit, lots)
            if self.waiting.get(limit):
                self._answered(limit)
        self._set()

    def _expire(self, wish: PendingSpend) -> None:
        for rows in self.waiting.values():
            if wish in rows:
                rows.remove(wish)
                return self._end(wish, False)

    def _end(self, wish: PendingSpend, paid: bool, ended: Ended | None = None) -> None:
        if wish.timer is not None:
            wish.timer.cancel()
        wish.done(paid, ended)

    def _answered(self, limit: str) -> None:
        """There may be more of a limit: those that wait for it are paid in their order, or wait on."""
        now = self.clock.now()
        for wish in self.waiting.pop(limit, []):
            if (lacking := self._pay(now, wish)) is not None:
                self._wait(lacking, wish)

    # ---- messages ----

    def _heard(self, body: Any) -> None:
        if not isinstance(body, Welcome | AllocatorAnnouncement | RightsReply):
            return
        now = self.clock.now()
        if isinstance(body, Welcome):
            if self.machine is None or self.machine.parts != body.parts:
                self.machine = Holder(self.line.worker_id, body.parts, body.times)
                self.line.send(
                    Hello(self.line.worker_id)
                )  # who serves is told again, now that it can be kept
        elif self.machine is None:
            return
        elif isinstance(body, AllocatorAnnouncement):
            self.machine.serving(now, body.part, body.fence, body.left_ms / 1000)
        elif body.holder == self.line.worker_id:
            limit, waited = body.limit, self._asks(body.limit)
            self.machine.heard(now, body)
            if waited and not self._asks(limit):
                self._answered(limit)
        self._set()

    # ---- time ----

    def _set(self) -> None:
        if self.machine is None or self.machine.next_at() >= self.timer_at:
            return  # the timer comes first
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = self.machine.next_at()
        wait = max(0.0, (self.timer_at - self.clock.now()) / self.clock.rate)
        self.timer = asyncio.get_running_loop().call_later(wait + MIN_TIMER_DELAY_S, self._tick)

    def _tick(self) -> None:
        assert self.machine is not None
        self.timer_at = NEVER_DUE
        for ask in self.machine.tick(self.clock.now()):
            self.line.send(ask)
        for limit in [name for name in self.waiting if not self._asks(name)]:
            self._answered(limit)
        self._set()
