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


DoneCallback = Callable[[bool], None]
EndCallback = Callable[[], None]


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
    on_done: Callable[[bool, EndCallback | None], None]
    timer: asyncio.TimerHandle | None = None


class RightsClient:
    """Spends units of limits, and requests and returns rights to them through the local instance."""

    def __init__(self, line: AgentLink, clock: Clock | None = None) -> None:
        self.line, self.clock = line, clock or from_environment()
        self.holder_state: Holder | None = None  # until the instance has sent the settings
        self.pending: dict[str, list[PendingSpend]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = NEVER_DUE  # by `clock`
        self.spent_at = 0.0  # by `clock`: time of the last spend, or of the last `try_spend`
        line.listeners.append(self._handle_message)

    def close(self) -> None:
        """Fails all waiting spends. Held rights are not returned; they expire."""
        if self.timer is not None:
            self.timer.cancel()
        for limit in list(self.pending):
            for pending_spend in self.pending.pop(limit):
                self._finish(pending_spend, False)

    # ---- spending ----

    def try_spend(self, limit: str, units: float) -> bool:
        """Spends units now if the held rights cover them."""
        if self.holder_state is None:
            return False
        now = self.clock.now()
        is_spent = self.holder_state.try_spend(now, limit, units)
        self.spent_at = now
        if request := self.holder_state.prepare_request(now, limit):
            self.line.send(request)
        self._reset_timer()
        return is_spent

    def spend(self, plan: str, customer: str, units: float, timeout_s: float, on_done: DoneCallback) -> None:
        """Spends units of a customer's limit as soon as they are held, like `spend_all`."""
        self.spend_all(
            (UnitCost(customer_limit_name(plan, customer), units),), timeout_s, lambda paid, _: on_done(paid)
        )

    def spend_all(
        self,
        costs: tuple[UnitCost, ...],
        timeout_s: float,
        on_done: Callable[[bool, EndCallback | None], None],
    ) -> None:
        """Pays all costs together as soon as that is possible, and none of them before.

        `on_done` is called once, immediately or within `timeout_s`. It gets whether the costs are paid, and
        a callback for the end of the request if units of concurrency limits are to be released then.
        """
        if self.holder_state is None:
            return on_done(False, None)
        now = self.clock.now()
        for cost in costs:
            self.holder_state.record_demand(now, cost.limit, cost.units)
        pending_spend = PendingSpend(costs, on_done)
        lacking = self._spend_if_possible(now, pending_spend)
        self._reset_timer()
        if lacking is not None and self._enqueue(lacking, pending_spend):
            pending_spend.timer = asyncio.get_running_loop().call_later(
                timeout_s, self._expire, pending_spend
            )

    def _spend_if_possible(self, now: float, pending_spend: PendingSpend) -> str | None:
        """Pays all costs if the held rights cover them; otherwise returns a limit that lacks units."""
        holder = self.holder_state
        assert holder is not None
        lacking = [
            c.limit
            for c in pending_spend.costs
            if not holder.can_spend(now, c.limit, c.units, c.use_duration_s)
        ]
        if not lacking:
            self.spent_at = now
            payments = [
                (cost.limit, holder.spend(now, cost.limit, cost.units)) for cost in pending_spend.costs
            ]
            to_release = [(limit, payment) for limit, payment in payments if is_concurrency_limit(limit)]
            self._finish(pending_spend, True, partial(self._release, to_release) if to_release else None)
        for cost in pending_spend.costs:
            if request := holder.prepare_request(now, cost.limit):
                self.line.send(request)
        return (
            next((limit for limit in lacking if not self._has_open_request(limit)), lacking[0])
            if lacking
            else None
        )

    def _enqueue(self, limit: str, pending_spend: PendingSpend) -> bool:
        """Queues a spend until a reply about the limit; fails it if no request for the limit is open."""
        if not self._has_open_request(limit):
            self._finish(pending_spend, False)  # no allocator is known, or it asked for a longer delay
            return False
        self.pending.setdefault(limit, []).append(pending_spend)
        return True

    def _has_open_request(self, limit: str) -> bool:
        holding = self.holder_state.holdings.get(limit) if self.holder_state is not None else None
        return holding is not None and holding.pending is not None

    def _release(self, to_release: list[tuple[str, Payment]]) -> None:
        assert self.holder_state is not None
        for limit, payment in to_release:
            self.holder_state.release(self.clock.now(), limit, payment)
            if self.pending.get(limit):
                self._retry_pending(limit)
        self._reset_timer()

    def _expire(self, pending_spend: PendingSpend) -> None:
        for spends in self.pending.values():
            if pending_spend in spends:
                spends.remove(pending_spend)
                return self._finish(pending_spend, False)

    def _finish(self, pending_spend: PendingSpend, is_paid: bool, release: EndCallback | None = None) -> None:
        if pending_spend.timer is not None:
            pending_spend.timer.cancel()
        pending_spend.on_done(is_paid, release)

    def _retry_pending(self, limit: str) -> None:
        """Retries the spends that wait for a limit, in their order."""
        now = self.clock.now()
        for pending_spend in self.pending.pop(limit, []):
            if (lacking := self._spend_if_possible(now, pending_spend)) is not None:
                self._enqueue(lacking, pending_spend)

    # ---- messages ----

    def _handle_message(self, message: Any) -> None:
        if not isinstance(message, Welcome | AllocatorAnnouncement | RightsReply):
            return
        now = self.clock.now()
        if isinstance(message, Welcome):
            if self.holder_state is None or self.holder_state.partitions != message.partitions:
                self.holder_state = Holder(self.line.worker_id, message.partitions, message.times)
                # The instance then repeats its announcements, which could not be processed before.
                self.line.send(Hello(self.line.worker_id))
        elif self.holder_state is None:
            return
        elif isinstance(message, AllocatorAnnouncement):
            self.holder_state.handle_announcement(
                now, message.partition, message.fence, message.lifetime_ms / 1000
            )
        elif message.holder == self.line.worker_id:
            limit, was_open = message.limit, self._has_open_request(message.limit)
            self.holder_state.handle_reply(now, message)
            if was_open and not self._has_open_request(limit):
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
        for request in self.holder_state.tick(self.clock.now()):
            self.line.send(request)
        for limit in [name for name in self.pending if not self._has_open_request(name)]:
            self._retry_pending(limit)
        self._reset_timer()
