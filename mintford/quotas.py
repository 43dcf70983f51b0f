"""Quotas: leases sized by share of wants, local buckets, and the calls to the counter that size them."""

from __future__ import annotations

import hashlib
import math
import random
from collections import deque

from . import interface as api
from .guards import NEVER_RAN

LEASE_MS = 15_000.0  # the design's lease
REFRESH_MS = 500.0  # between refreshes at least: shares follow a shift, calls stay under requests
SPARSE = 1.5  # of the largest requests: an even part of the burst under this is too thin to spend locally
WANTS_MS = 3_000.0  # memory of the wants
FRESH_MS, SURGE = 100.0, 5.0  # a sparse reading stands until so many quotas at once could spend what is left
ROOM_STEP, ROOM_CUT, ROOM_LEAST = 0.005, 0.9, 0.1  # how refreshes thin out as calls fail, and come back


class Customer:
    """One customer at this gateway: its lease and its local buckets."""

    def __init__(self, key: str, plan: api.Plan, spread: int, now: float, since: float, unit: float) -> None:
        self.key, self.plan, self.even = key, plan, 1 / max(1, spread)  # even: a gateway's even share
        self.tokens, self.filled_at, self.out = max(unit, plan.burst * self.even), now, 0
        # Danger: a restarted gateway does not know what it sent before. Counted as empty at its start, its
        # part of the ceiling can never be spent twice.
        self.ceiling = (now - since) / 1000 * plan.ceiling_rate * self.even
        self.keep_ms = max(LEASE_MS, plan.ceiling_burst / max(plan.ceiling_rate, 1e-9) * 1000)
        self.sparse = plan.burst * self.even < SPARSE * unit
        full_again = plan.burst / max(plan.rate, 1e-9) * 1000
        self.period_ms = min(LEASE_MS, max(REFRESH_MS, full_again))  # an empty burst is full again after it
        self.part, self.chance = self.even, 1.0  # the lease: of quota and burst; of the requests, if sparse
        self.lease_end, self.fresh_until, self.heard = now + LEASE_MS, now, False  # heard: of its size
        self.unsaid, self.mine, self.all = 0.0, 0.0, 0.0  # units not yet added; lately added, here and by all
        self.period, self.reading, self.read_at = -1, 0.0, now  # the last reading


class Quotas:
    """All customers of this gateway, and its calls to the counter that are under way."""

    def __init__(self, settings: api.Settings, chance: random.Random) -> None:
        self.settings, self.random = settings, chance
        self.plans = {p.name: p for p in settings.plans}
        self.customers: dict[str, Customer] = {}
        self.calls: dict[str, deque[tuple[str, int, float, str]]] = {}  # customer, period, added, request
        self.counter_room = 1.0  # the part of refreshes that a crowded counter leaves room for
        self.since, self.tidied_at = 0.0, 0.0  # the first event; the last tidying

    def begin(self, now: float) -> None:
        self.since = self.tidied_at = now

    def customer(self, now: float, event: api.RequestArrived) -> Customer:
        """The customer of a request, its buckets filled up to now."""
        if now - self.tidied_at > LEASE_MS:  # forget idle customers
            kept = {k: c for k, c in self.customers.items() if c.out or now - c.filled_at <= c.keep_ms}
            self.customers, self.tidied_at = kept, now
        c = self.customers.get(event.customer)
        if c is None:
            plan = self.plans.get(event.plan) or api.Plan(event.plan)  # an unknown plan has no quota to keep
            c = Customer(event.customer, plan, event.spread, now, self.since, self.settings.most_units)
            self.customers[event.customer] = c
        self.fill(now, c)
        return c

    def fill(self, now: float, c: Customer) -> None:
        if now > c.lease_end:
            c.part, c.heard = c.even, False  # a lease unheard: the safe capacity is the even share
        passed, c.filled_at = (now - c.filled_at) / 1000, now
        most = max(self.settings.most_units, c.plan.burst * c.part)
        c.tokens = min(most, c.tokens + passed * c.plan.rate * c.part)
        c.ceiling = min(c.plan.ceiling_burst * c.even, c.ceiling + passed * c.plan.ceiling_rate * c.even)

    def short(self, c: Customer, units: float) -> float:
        """Units that the lease lacks for such a request; 0 or less: it can be paid."""
        if c.sparse and c.heard:  # the grant as a fraction of all wants
            return 0.0 if self.random.random() < c.chance else units
        return units - c.tokens if c.plan.rate else 0.0

    def take(self, c: Customer, units: float) -> None:
        c.tokens, c.ceiling = c.tokens - (units if 0 < units <= c.tokens else 0.0), c.ceiling - units

    def refresh(self, now: float, c: Customer, units: float, request: str, out: api.Actions) -> bool:
        """Add the units asked since the last call, refused ones too, and so learn of all that were asked.

        A sparse lease is refreshed by the request that needs it, which waits for the reply (true): a local
        bucket would be empty, or full of units that a hundred other gateways hold too.
        """
        c.unsaid += units
        if now < c.fresh_until or not self.settings.may_count or not c.plan.rate:
            return False
        said, c.unsaid = c.unsaid / self.counter_room, 0.0
        if self.random.random() > self.counter_room:
            return False  # crowded: those that do add, add for this one too, so that totals stay true
        c.fresh_until = now + (FRESH_MS if c.sparse else REFRESH_MS)
        self.count(c, int(now // c.period_ms), said, out, request if c.sparse else "")
        return c.sparse

    def count(self, c: Customer, period: int, amount: float, out: api.Actions, request: str) -> None:
        name = f"{period}:" + hashlib.blake2b(c.key.encode(), digest_size=16).hexdigest()  # keys may be long
        self.calls.setdefault(name, deque()).append((c.key, period, round(amount, 3), request))
        out.append(api.Count(name, round(amount, 3), 4 * c.period_ms))

    def counted(self, now: float, event: api.CounterReplied, out: api.Actions) -> str:
        """Take in a reply; gives the id of the request that has waited for it, if one need wait no longer."""
        waiting = self.calls.get(event.name)
        if not waiting:
            return ""
        key, period, amount, held = waiting.popleft()
        if not waiting:
            del self.calls[event.name]
        # Danger: a crowded counter fails everybody's calls, and their number keeps it crowded.
        ok, room = event.outcome is api.Outcome.OK, self.counter_room
        self.counter_room = min(1.0, room + ROOM_STEP) if ok else max(ROOM_LEAST, room * ROOM_CUT)
        c = self.customers.get(key)
        if c and ok and self.renew(now, c, period, amount, event.reading, held, out):
            return ""
        if c and event.outcome in NEVER_RAN:
            c.unsaid += amount
        return held

    def renew(
        self, now: float, c: Customer, period: int, amount: float, total: float, held: str, out: api.Actions
    ) -> bool:
        """Size the lease. A period's number holds what was asked in it, and what the last period owed.

        Who adds first reads the last number and carries over the burst that time has not paid back (true: the
        lease waits for that). What exceeds the burst is told from the quota's rate: past that, quota over
        wants is the part let in; a local bucket holds this gateway's share of what is left.
        """
        rate, burst = c.plan.rate, c.plan.burst
        if amount and total <= amount + 0.01 and self.random.random() <= self.counter_room:
            self.count(c, period - 1, 0.0, out, held)
            return True
        if not amount:
            period, owed = period + 1, min(burst, total - rate * c.period_ms / 1000)
            if owed > 0:
                self.count(c, period, owed, out, held)
                return True
            total = 0.0
        fade, c.lease_end = math.exp((c.read_at - now) / WANTS_MS), now + LEASE_MS
        before, same, c.period, c.reading, c.read_at = c.reading, period == c.period, period, total, now
        if same and total < before - 0.01:
            # Danger: the counter lost its numbers; it would look as if nobody had asked for anything.
            return False
        if same:
            c.mine, c.all = c.mine * fade + amount, c.all * fade + max(amount, total - before)
        paid, over = max(0.0, rate * (now - period * c.period_ms) / 1000), total - burst  # 0: rounding
        load = min(1.0, c.all * 1000 / WANTS_MS / rate)
        c.part = 1 - (1 - min(1.0, c.mine / c.all)) * load if c.all else c.even
        c.chance, c.heard = 1.0 if over <= paid else paid / over, True
        c.tokens = max(c.tokens, (paid - over) * c.part)
        least = FRESH_MS if c.sparse else REFRESH_MS
        c.fresh_until = now + max(least, (paid - over) / (SURGE * rate) * 1000)
        return False
