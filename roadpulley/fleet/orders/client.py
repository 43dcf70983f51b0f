"""Orders and rights in a gateway process: events for the decision module, and payment for its requests."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from mintford import interface as api
from roadpulley.core.discovery import hash_host_name
from roadpulley.fleet.agent_link import AgentLink
from roadpulley.fleet.clock import Clock, from_environment, wall_ms
from roadpulley.fleet.rights.client import RightsClient, UnitCost
from roadpulley.fleet.rights.holder import customer_limit_name

from .even_shares import EvenShares
from .follower import Follower, FollowerSettings
from .messages import BookPage, Order, PollReply

TICK_INTERVAL_S = 0.02
EndCallback = Callable[[], None]

log = logging.getLogger("roadpulley.orders")


def to_orders_changed(orders: tuple[Order, ...]) -> api.OrdersChanged:
    """Converts orders to the event of the decision module."""
    limit_names: dict[tuple[str, str], tuple[str, ...]] = {}
    for order in orders:
        if order.is_limit:
            scope_and_subject = order.scope, order.subject
            limit_names[scope_and_subject] = (*limit_names.get(scope_and_subject, ()), order.limit_name)

    def subjects(kind: str) -> frozenset[str]:
        return frozenset(order.subject for order in orders if order.kind == kind)

    pools = tuple(subject for scope, subject in limit_names if scope == "pool")
    avoided_backends = frozenset(map(hash_host_name, subjects("keep-off")))
    return api.OrdersChanged(limit_names, pools, subjects("block"), subjects("shed"), avoided_backends)


class OrderClient:
    """Polls the local instance for orders; calls `on_change` with the active orders whenever these change."""

    def __init__(
        self,
        line: AgentLink,
        settings: FollowerSettings,
        on_change: Callable[[tuple[Order, ...]], None],
        clock: Clock | None = None,
    ) -> None:
        self.line, self.on_change, self.clock = line, on_change, clock or from_environment()
        self.follower = Follower(settings, line.worker_id)
        self.active_orders: tuple[Order, ...] = ()
        self.was_fresh = False
        self.book_received = asyncio.Event()  # there is a book to follow, perhaps without orders
        line.listeners.append(self._handle_message)
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stops polling."""
        self.task.cancel()

    async def wait_for_book(self) -> None:
        """Waits until the orders are known, at most the start wait of the settings.

        A process that serves before would send requests that an order forbids.
        """
        wait_s = self.follower.settings.start_wait_s
        try:
            async with asyncio.timeout(wait_s):
                await self.book_received.wait()
        except TimeoutError:
            log.warning("no orders were received within %g s: serving without orders until they are", wait_s)

    async def _run(self) -> None:
        while True:
            if poll := self.follower.tick(self.clock.now()):
                self.line.send(poll)
            self._update_active_orders()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _handle_message(self, message: Any) -> None:
        now = self.clock.now()
        if isinstance(message, PollReply) and message.holder == self.line.worker_id:
            self.follower.handle_reply(now, message)
        elif isinstance(message, BookPage):
            self.follower.handle_page(now, message)
        else:
            return
        self._update_active_orders()

    def _update_active_orders(self) -> None:
        now = self.clock.now()
        self.follower.ages.clear()
        if self.was_fresh != self.follower.is_fresh(now):
            self.was_fresh = not self.was_fresh
            if self.was_fresh or self.follower.book.orders:
                policy = "kept" if self.follower.settings.keep else "let go"
                log.info(
                    "orders are followed"
                    if self.was_fresh
                    else f"no publisher of orders responds: orders are {policy}"
                )
        current_orders = self.follower.current_book(now).orders_for_follower(wall_ms())
        if current_orders != self.active_orders:
            self.active_orders = current_orders
            self.on_change(current_orders)
        if self.follower.has_current_book(now):
            self.book_received.set()


class LimitSpender:
    """Spends units of ceilings and operators' limits for a gateway's requests. See `core.driver.Rights`."""

    def __init__(self, rights: RightsClient, even_shares: EvenShares) -> None:
        self.rights, self.even_shares = rights, even_shares

    def set_orders(self, orders: tuple[Order, ...]) -> None:
        """Applies changed orders to the even shares."""
        self.even_shares.set_orders(self.rights.clock.now(), orders)

    def spend(
        self,
        asked: api.SpendRights,
        lasting: float,
        within: float,
        done: Callable[[bool, EndCallback | None], None],
    ) -> None:
        """Spends the even shares first, and requests rights for all other limits."""
        now = self.rights.clock.now()
        taken_limits = [limit for limit in asked.limits if self.even_shares.try_take(now, limit, 1.0)]
        costs = tuple(UnitCost(limit, 1.0, lasting) for limit in asked.limits if limit not in taken_limits)
        if asked.plan:
            costs = (UnitCost(customer_limit_name(asked.plan, asked.customer), asked.units), *costs)

        def finish(is_paid: bool, release: EndCallback | None) -> None:
            for limit in () if is_paid else taken_limits:
                self.even_shares.put_back(limit, 1.0)
            done(is_paid, release)

        if costs:
            self.rights.spend_all(costs, within, finish)
        else:
            finish(True, None)
