"""Runs a holder in a process that spends, connected to the fleet instance on the same machine.

No call blocks. While the instance does not respond, held rights can be spent until they expire.
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

MIN_TIMER_DELAY_S = 0.001  # covers the rounding of the event loop's timers


Done = Callable[[bool], None]
Ended = Callable[[], None]


@dataclass(frozen=True)
class UnitCost:
    """Units of one limit.

    `use_duration_s` is the longest time that units of a concurrency limit are in use.
    """

    limit: str
    units: float
    use_duration_s: float = 0.0


@dataclass(eq=False)
class PendingSpend:
    """A spend that waits until all its costs can be paid together, or until its timeout."""

    costs: tuple[UnitCost, ...]
    on_done: Callable[[bool, Ended | None], None]
    timer: asyncio.TimerHandle | None = None


class RightsClient:
    """Spends units of limits, and requests and returns rights to them through the local instance."""

    def __init__(self, line: AgentLink, clock: Clock | None = None) -> None:
        self.line, self.clock = line, clock or from_environment()
        self.holder_state: Holder | None = None  # until the instance has sent the settings
        self.pending: dict[str, list[PendingSpend]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = NEVER_DUE  # by `clock`
        self.spent_at = 0.0  # by `clock`: time of the last successful spend
        line.listeners.append(self._handle_message)

    def close(self) -> None:
        """Fails all waiting spends. Held rights are not returned; they expire."""
        if self.timer is not None:
            self.timer.cancel()
        for limit in list(self.pending):
            for wish in self.pending.pop(limit):
                self._finish(wish, False)

    # ---- spending ----

    def try_spend(self, limit: str, units: float) -> bool:
        """Spends units now if the held rights cover them."""
        if self.holder_state is None:
            return False
        now = self.clock.now()
        taken = self.holder_state.try_spend(now, limit, units)
        self.spent_at = now
        if ask := self.holder_state.prepare_request(now, limit):
            self.line.send(ask)
        self._reset_timer()
        return taken

    def spend(self, plan: str, customer: str, units: float, within: float, done: Done) -> None:
        """Spends units of a customer's limit as soon as they are held, like `spend_all`."""
        self.spend_all(
            (UnitCost(customer_limit_name(plan, customer), units),), within, lambda paid, _: done(paid)
        )

    def spend_all(
        self, needs: tuple[UnitCost, ...], within: float, done: Callable[[bool, Ended | None], None]
    ) -> None:
        """Pays all costs together as soon as that is possible, and none of them before.

        `done` is called once, immediately or within `within` seconds. It gets whether the costs are paid, and
        a callback for the end of the request if units of concurrency limits are to be released then.
        """
        if self.holder_state is None:
            return done(False, None)
        now = self.clock.now()
        for need in needs:
            self.holder_state.record_demand(now, need.limit, need.units)
        wish = PendingSpend(needs, done)
        lacking = self._spend_if_possible(now, wish)
        self._reset_timer()
        if lacking is not None and self._enqueue(lacking, wish):
            wish.timer = asyncio.get_running_loop().call_later(within, self._expire, wish)

    def _spend_if_possible(self, now: float, wish: PendingSpend) -> str | None:
        """Pays all costs if the held rights cover them; otherwise returns a limit that lacks units."""
        machine = self.holder_state
        assert machine is not None
        lacking = [
            n.limit for n in wish.costs if not machine.can_spend(now, n.limit, n.units, n.use_duration_s)
        ]
        if not lacking:
            self.spent_at = now
            paid = [(need.limit, machine.spend(now, need.limit, need.units)) for need in wish.costs]
            back = [(limit, lots) for limit, lots in paid if is_concurrency_limit(limit)]
            self._finish(wish, True, partial(self._release, back) if back else None)
        for need in wish.costs:
            if ask := machine.prepare_request(now, need.limit):
                self.line.send(ask)
        return (
            next((limit for limit in lacking if not self._has_open_request(limit)), lacking[0])
            if lacking
            else None
        )

    def _enqueue(self, limit: str, wish: PendingSpend) -> bool:
        """Queues a spend until a reply about the limit; fails it if no request for the limit is open."""
        if not self._has_open_request(limit):
            self._finish(wish, False)  # no allocator is known, or it asked for a longer delay
            return False
        self.pending.setdefault(limit, []).append(wish)
        return True

    def _has_open_request(self, limit: str) -> bool:
        purse = self.holder_state.holdings.get(limit) if self.holder_state is not None else None
        return purse is not None and purse.pending is not None

    def _release(self, back: list[tuple[str, Payment]]) -> None:
        assert self.holder_state is not None
        for limit, lots in back:
            self.holder_state.release(self.clock.now(), limit, lots)
            if self.pending.get(limit):
                self._retry_pending(limit)
        self._reset_timer()

    def _expire(self, wish: PendingSpend) -> None:
        for rows in self.pending.values():
            if wish in rows:
                rows.remove(wish)
                return self._finish(wish, False)

    def _finish(self, wish: PendingSpend, paid: bool, ended: Ended | None = None) -> None:
        if wish.timer is not None:
            wish.timer.cancel()
        wish.on_done(paid, ended)

    def _retry_pending(self, limit: str) -> None:
        """Retries the spends that wait for a limit, in their order."""
        now = self.clock.now()
        for wish in self.pending.pop(limit, []):
            if (lacking := self._spend_if_possible(now, wish)) is not None:
                self._enqueue(lacking, wish)

    # ---- messages ----

    def _handle_message(self, body: Any) -> None:
        if not isinstance(body, Welcome | AllocatorAnnouncement | RightsReply):
            return
        now = self.clock.now()
        if isinstance(body, Welcome):
            if self.holder_state is None or self.holder_state.partitions != body.partitions:
                self.holder_state = Holder(self.line.worker_id, body.partitions, body.times)
                self.line.send(
                    Hello(self.line.worker_id)
                )  # the instance repeats the announcements, which can be processed now
        elif self.holder_state is None:
            return
        elif isinstance(body, AllocatorAnnouncement):
            self.holder_state.handle_announcement(now, body.partition, body.fence, body.lifetime_ms / 1000)
        elif body.holder == self.line.worker_id:
            limit, waited = body.limit, self._has_open_request(body.limit)
            self.holder_state.handle_reply(now, body)
            if waited and not self._has_open_request(limit):
                self._retry_pending(limit)
        self._reset_timer()

    # ---- time ----

    def _reset_timer(self) -> None:
        if self.holder_state is None or self.holder_state.next_check_at() >= self.timer_at:
            return  # the timer fires earlier
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = self.holder_state.next_check_at()
        wait = max(0.0, (self.timer_at - self.clock.now()) / self.clock.rate)
        self.timer = asyncio.get_running_loop().call_later(wait + MIN_TIMER_DELAY_S, self._tick)

    def _tick(self) -> None:
        assert self.holder_state is not None
        self.timer_at = NEVER_DUE
        for ask in self.holder_state.tick(self.clock.now()):
            self.line.send(ask)
        for limit in [name for name in self.pending if not self._has_open_request(name)]:
            self._retry_pending(limit)
        self._reset_timer()
