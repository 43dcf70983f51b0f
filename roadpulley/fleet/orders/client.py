"""Orders and rights at a process beside an instance: what its module is told, how its requests are paid."""

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
Ended = Callable[[], None]

log = logging.getLogger("roadpulley.orders")


def to_orders_changed(orders: tuple[Order, ...]) -> api.OrdersChanged:
    """As the decision module takes them."""
    limited: dict[tuple[str, str], tuple[str, ...]] = {}
    for order in orders:
        if order.limits:
            of = order.scope, order.subject
            limited[of] = (*limited.get(of, ()), order.limit_name)

    def subjects(kind: str) -> frozenset[str]:
        return frozenset(order.subject for order in orders if order.kind == kind)

    pools = tuple(subject for scope, subject in limited if scope == "pool")
    off = frozenset(map(hash_host_name, subjects("keep-off")))
    return api.OrdersChanged(limited, pools, subjects("block"), subjects("shed"), off)


class OrderClient:
    """Asks the instance beside this process for its orders; `changed` gets those that hold, when they do."""

    def __init__(
        self,
        line: AgentLink,
        terms: FollowerSettings,
        changed: Callable[[tuple[Order, ...]], None],
        clock: Clock | None = None,
    ) -> None:
        self.line, self.changed, self.clock = line, changed, clock or from_environment()
        self.follower = Follower(terms, line.worker_id)
        self.standing: tuple[Order, ...] = ()
        self.fresh = False
        line.listeners.append(self._heard)
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        self.task.cancel()

    async def _run(self) -> None:
        while True:
            if poll := self.follower.tick(self.clock.now()):
                self.line.send(poll)
            self._look()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _heard(self, body: Any) -> None:
        now = self.clock.now()
        if isinstance(body, PollReply) and body.holder == self.line.worker_id:
            self.follower.standing(now, body)
        elif isinstance(body, BookPage):
            self.follower.sheet(now, body)
        else:
            return
        self._look()

    def _look(self) -> None:
        now = self.clock.now()
        self.follower.ages.clear()
        if self.fresh != self.follower.fresh(now):
            self.fresh = not self.fresh
            if self.fresh or self.follower.book.orders:
                kept = "kept" if self.follower.terms.keep else "let go"
                log.info("orders are followed" if self.fresh else f"no orders are heard: they are {kept}")
        standing = self.follower.goes_by(now).followed(wall_ms())
        if standing != self.standing:
            self.standing = standing
            self.changed(standing)


class LimitSpender:
    """Rights of a gateway's requests: to ceilings, and to limits of operators. See `core.driver.Rights`."""

    def __init__(self, purses: RightsClient, even: EvenShares) -> None:
        self.purses, self.even = purses, even

    def ordered(self, orders: tuple[Order, ...]) -> None:
        self.even.ordered(self.purses.clock.now(), orders)

    def spend(
        self,
        asked: api.SpendRights,
        lasting: float,
        within: float,
        done: Callable[[bool, Ended | None], None],
    ) -> None:
        now = self.purses.clock.now()
        ours = [limit for limit in asked.limits if self.even.take(now, limit, 1.0)]
        needs = tuple(UnitCost(limit, 1.0, lasting) for limit in asked.limits if limit not in ours)
        if asked.plan:
            needs = (UnitCost(customer_limit_name(asked.plan, asked.customer), asked.units), *needs)

        def known(paid: bool, ended: Ended | None) -> None:
            for limit in () if paid else ours:
                self.even.give_back(limit, 1.0)
            done(paid, ended)

        if needs:
            self.purses.wish_all(needs, within, known)
        else:
            known(True, None)
