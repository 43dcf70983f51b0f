"""Quotas: leases sized by share of wants, local buckets, and the calls to the counter that size them.

Each customer has one store of units for all gateways. Every gateway adds what it has sent on to a number on
the counter and learns from the total what the others have; so each follows the store by itself, cap and all,
and knows it as it stood at the last reading. A lease is the part of it that this gateway may spend before the
next: all but what the others will have spent by then, at least this gateway's share of the wants. Wants are
told under a name of their own, once a period, and only while the store is low: nobody needs them before.
"""

from __future__ import annotations

import math
import random
from collections import deque

from . import interface as api
from .ceilings import Ceiling
from .guards import LEASE_MS, NEVER_RAN
from .records import EPOCH_MS, Call, CustomerRecord, Kind

REFRESH_MS = 500.0  # between refreshes at least: shares follow a shift, calls stay under requests
FRESH_MS = 100.0  # the same where units are scarce, and a request waits for a reading older than that
SURGE = 10.0  # a reading stands until so many quotas at once could spend what is left
SPARSE, SCARCE = 1.5, 2.0  # of the largest requests: too thin a part to spend unread; told and read at once
AHEAD = 1.5  # of what the others spend until the next reading: kept for them
PRESSED = 0.5  # of the burst: under this, wants decide
WANTS_MS = 3_000.0  # memory of the wants, and a period of theirs
KEEP_MS, NAME_MS = 60_000.0, 60_000.0  # the longest: a customer without requests; a name at the counter
ROOM_STEP, ROOM_CUT, ROOM_LEAST = 0.02, 0.8, 0.05  # how refreshes thin out as calls fail, and come back
ROOM_SPARE = 0.5  # at which units are told that there was no room for
SLOW_START_GATEWAYS = 8.0  # that may call for every request from the first moment on
SLOW_START_DOUBLING_MS = 500.0  # in which their number doubles until a call fails
NEED_LEAST, NEED_OVER = 0.01, 50.0  # of a call, from 0 to 1; wishes that the usual need is the mean of
NEED_READ, NEED_TOLD = 0.5, 0.3  # for what the lease can pay, as a part of its worth; to tell
SILENT, SILENT_MS = 2, 1_000.0  # calls unheard one after the other, and for how long: the counter was gone
FAILED = 2  # calls for a customer without a total, one after the other: then it waits for a refresh
BROKE = 0.7  # of the time that is waited for a call: one that ends unheard before was cut off, not late
GIVEN_BACK = 2.0  # of the largest requests: a total that falls by more has been lost, not settled
UNSAID = 0.1  # of the burst: more than this, and than the largest request, is told at once
UNITS = 0.01  # what rounding may leave of a difference
EVENLY, UNKNOWN = 0.8, 0.7  # how far time is taken to have paid back what was spent unseen


class Customer(CustomerRecord):
    """One customer at this gateway: its lease and its local buckets. All amounts are units of quota."""

    def __init__(
        self, key: str, plan: api.Plan, spread: int, now: float, since: float, settings: api.Settings
    ) -> None:
        unit, counted = settings.max_request_units, settings.has_counter and plan.rate > 0
        super().__init__(key, plan.name, spread, unit, now)
        self.settle_terms(plan)
        self.store = plan.burst  # of all gateways, as far as this one knows
        self.tokens = max(unit, plan.burst * self.even)  # of the lease
        seconds = (now - since) / 1000
        self.ceiling = Ceiling(plan, self.even, counted, seconds, unit, settings.rights_ratio)
        self.lease_end = now + LEASE_MS

    def settle_terms(self, plan: api.Plan) -> None:
        """What follows from the plan alone."""
        self.plan = plan
        self.keep_ms = max(LEASE_MS, plan.ceiling_burst / max(plan.ceiling_rate, 1e-9) * 1000)
        self.sparse = plan.burst * self.even < SPARSE * self.unit
        self.much = max(self.unit, UNSAID * plan.burst)  # told at once

    def share(self) -> float:
        """This gateway's part of what all want; by what was sent on where wants are not known."""
        if self.wants > 0:
            return min(1.0, self.wanted / self.wants)
        spent = self.mine + self.others
        return self.mine / spent if spent > UNITS else self.even

    def scarce(self, now: float) -> bool:
        """Whether this little is left, if the others have gone on as they did since the last reading."""
        gone = AHEAD * self.others / WANTS_MS * (now - self.read_at)
        return not self.heard or self.tokens - gone < SCARCE * self.unit


class Quotas:
    """All customers of this gateway, and its calls to the counter that are under way."""

    def __init__(self, settings: api.Settings, chance: random.Random) -> None:
        self.settings, self.random = settings, chance
        self.plans = {p.name: p for p in settings.plans}
        self.own: dict[str, api.Plan] = {}  # of customers with terms of their own
        self.customers: dict[str, Customer] = {}
        self.calls: dict[str, deque[Call]] = {}  # by name
        self.untold: dict[str, None] = {}  # customers whose units there was no room to tell, in turn
        self.part = 1.0  # of this gateway, that this process stands for
        self.counter_room = 1.0  # the part of refreshes that a crowded counter leaves room for
        self.starting = SLOW_START_GATEWAYS / max(1, settings.gateways)  # part of the calls; 1: it is over
        self.since, self.tidied_at = 0.0, 0.0  # the first event; the last tidying
        self.lost_at = -math.inf  # when the counter was last seen to have lost its numbers, as it may have
        self.unheard, self.heard_at = 0, 0.0  # calls without an answer since the last total; when that came
        self.need = 0.5  # usually, of the calls that are wished for
        self.dearest = max((p.price_factor for p in settings.plans), default=1.0)

    def begin(self, now: float) -> None:
        self.since = self.tidied_at = self.heard_at = now

    def customer(self, now: float, event: api.RequestArrived, out: api.Actions) -> Customer:
        """The customer of a request, its buckets filled up to now."""
        if now - self.tidied_at > LEASE_MS:
            self.tidy(now, out)
        c = self.customers.get(event.customer)
        if c is None:
            c = self.meet(event.customer, event.plan, event.spread, now, self.since, self.part)
        self.fill(now, c)
        if self.untold and self.counter_room >= ROOM_SPARE:
            # Danger: a customer may not come here again for long, and until then all others read too little.
            del self.untold[waiting := next(iter(self.untold))]
            if known := self.customers.get(waiting):
                self.tell(now, known, out)
        fade = math.exp((c.asked_at - now) / WANTS_MS)
        c.asked, c.asked_at = c.asked * fade + event.units, now
        return c

    def meet(self, key: str, named: str, spread: int, now: float, since: float, kept: float) -> Customer:
        """One more customer, with so much of what its part of a ceiling holds since that time."""
        c = Customer(key, self.plan_of(key, named), spread, now, since, self.settings)
        c.named, self.customers[key] = named, c
        c.ceiling.take_part(self.part, kept)
        return c

    def plan_of(self, customer: str, named: str) -> api.Plan:
        """Its own terms, else those of the plan that its requests name; an unknown one has no quota."""
        return self.own.get(customer) or self.plans.get(named) or api.Plan(named)

    def tidy(self, now: float, out: api.Actions) -> None:
        """Forget idle customers, once what they have spent is told."""
        kept, self.tidied_at = {}, now
        for key, c in self.customers.items():
            full_in = (c.plan.burst - c.store) / max(c.plan.rate, 1e-9) * 1000  # it knows more till then
            if c.out or now - c.filled_at <= max(c.keep_ms, min(full_in, KEEP_MS)):
                kept[key] = c
            elif abs(c.unsaid) > UNITS and self.settings.has_counter:
                said = round(c.unsaid, 3)
                self.count(c, Call(key, Kind.SPENT, c.epoch(now)[0], said, "", now, now), out)
        self.customers = kept

    # ---- the local buckets ----

    def fill(self, now: float, c: Customer) -> None:
        plan = c.plan
        if now > c.lease_end and c.heard:  # a lease unheard: the safe capacity is the even share
            c.part, c.heard, c.wants, c.tail = c.even, False, 0.0, 0.0
            c.totals.clear()
            c.unsure.clear()
            c.ceiling.forget()
        passed, c.filled_at = (now - c.filled_at) / 1000, now
        c.store += passed * plan.rate
        if c.store > plan.burst:
            c.spilled, c.store = c.spilled + c.store - plan.burst, plan.burst
        most = c.store if c.heard else max(c.unit, plan.burst * c.even)
        c.tokens = min(most, c.tokens + passed * plan.rate * c.part)
        c.ceiling.fill(passed)

    def take(self, c: Customer, units: float, inside: bool, counted: bool) -> float:
        """Charge a request that is sent on; gives what the store was charged: beyond the quota, nothing."""
        c.ceiling.take(units, counted)
        charged = units if inside and c.plan.rate else 0.0
        self.charge(c, charged)
        return charged

    def charge(self, c: Customer, units: float) -> None:
        c.tokens, c.store, c.unsaid = c.tokens - units, c.store - units, c.unsaid + units

    def settle(self, now: float, c: Customer, charged: float, cost: float, out: api.Actions) -> None:
        """The true units of a request that was charged for a guess: the difference, to the same store.

        What the answer says is held to what one request can count. The ceiling goes by the guess.
        """
        if charged > 0 and cost > 0:
            self.charge(c, min(cost, max(self.settings.max_request_units, charged)) - charged)
            if abs(c.unsaid) >= c.much:  # told at once, as no further request may come
                self.tell(now, c, out)

    # ---- calls ----

    def refresh(
        self, now: float, c: Customer, units: float, request: str, out: api.Actions, worth: float = 1.0
    ) -> bool:
        """Before a request is judged: whether it waits for a reading (true), as units are scarce.

        A local bucket would be empty then, or full of units that other gateways hold too. What the request
        takes if it is let in, as it likely is, is added by the same call: no other gateway can spend it too.
        `worth`: of its class, as a part of the class worth most.
        """
        if not self.settings.has_counter or not c.plan.rate or c.calling or now < c.quiet_until:
            return False
        if c.ceiling.lacks(units) and c.tokens >= units:
            return self.call(now, c, request, out, units, worth)
        if not (c.sparse or c.scarce(now)):
            return False
        if c.plan.ceiling_rate and c.ceiling.own < units and not c.ceiling.shared and not c.ceiling.rights:
            return False  # it is refused whatever a reading says
        if c.heard and now - c.read_at < FRESH_MS:
            return False
        # What is all spent will not be there sooner than time gives it back, unless others give some back.
        if c.heard and not c.unsaid and c.store < units and now - c.read_at < REFRESH_MS:
            return False
        likely = not c.heard or c.tokens >= units
        worth *= NEED_READ if c.tokens >= units and c.ceiling.own >= units else 1.0  # else surely refused
        return self.call(now, c, request, out, units if likely else 0.0, worth)

    def tell(self, now: float, c: Customer, out: api.Actions) -> None:
        """After units were charged: add them where they are scarce, or when a refresh is due."""
        # Danger: units added ahead for a request that was refused would be missed by the others meanwhile.
        due = now >= c.fresh_until or abs(c.unsaid) >= c.much or c.unsaid < -UNITS
        due = due or (abs(c.unsaid) > UNITS and (c.sparse or c.scarce(now)))
        if self.settings.has_counter and c.plan.rate and due and not c.calling and now >= c.quiet_until:
            if not self.call(now, c, "", out, need=NEED_TOLD * min(1.0, abs(c.unsaid) / c.much)):
                self.untold[c.key] = None

    def call(
        self, now: float, c: Customer, request: str, out: api.Actions, ahead: float = 0.0, need: float = 1.0
    ) -> bool:
        """Call for a customer, if a crowded counter leaves room for a call of this need (0 to 1).

        Danger: thinned evenly, the calls of many gateways that a crowded counter bears go to what is worth
        little, or is let in without a reading as well. So the room goes to those that are needed most.
        """
        if self.starting < 1:
            # Danger: many that start at once would call for all their customers before the first call fails.
            # Danger: a part that grows too slowly leaves most quotas unread while the counter stands idle.
            self.counter_room = min(1.0, self.starting * 2 ** ((now - self.since) / SLOW_START_DOUBLING_MS))
            self.starting = 1.0 if self.counter_room >= 1 else self.starting
        need = max(NEED_LEAST, need * c.plan.price_factor / self.dearest)
        self.need += (need - self.need) / NEED_OVER
        if self.random.random() > self.counter_room ** (self.need / need):
            return False  # what is not said now is said by a later call
        epoch, age = c.epoch(now)
        # What the others have sent on since the last reading of the last epoch, or in all of it: unless time
        # has paid back all of that.
        paid = not c.heard and c.plan.rate * age >= 1000 * c.plan.burst
        if epoch not in c.totals and not paid:
            c.ended = False
            self.count(c, Call(c.key, Kind.ENDED, epoch - 1, 0.0, "", c.read_at, now), out)
        c.calling, said, c.unsaid = True, round(c.unsaid + ahead, 3), 0.0
        self.count(c, Call(c.key, Kind.SPENT, epoch, said, request, c.read_at, now, ahead), out)
        if c.heard and c.store < PRESSED * c.plan.burst and not c.sparse:  # a part that thin holds no request
            self.tell_wants(now, c, out)
        return True

    def tell_wants(self, now: float, c: Customer, out: api.Actions) -> None:
        """Add this gateway's wants to the period's number, and read the last finished period's total."""
        period = int(now // WANTS_MS)
        if c.wants_told < period:
            c.wanted = c.telling if c.wants_told == period - 1 else 0.0
            c.wants_told, c.telling, c.wants = period, round(c.asked, 3), 0.0
            self.count(c, Call(c.key, Kind.WANTS, period, c.telling, "", now, now), out)
            if c.wanted:
                self.count(c, Call(c.key, Kind.WANTS, period - 1, 0.0, "", now, now), out)

    def count(self, c: Customer, call: Call, out: api.Actions) -> None:
        name = f"{'w' if call.kind is Kind.WANTS else 's'}{call.period}:{c.digest}"
        self.calls.setdefault(name, deque()).append(call)
        out.append(api.AddToCounter(name, call.amount, 4 * WANTS_MS if call.kind is Kind.WANTS else NAME_MS))

    def counted(self, now: float, event: api.CounterReplied) -> tuple[str, bool]:
        """Take in a reply; gives the id of the request that has waited for it, "" for none.

        And whether the total that came holds the units of that request.
        """
        waiting = self.calls.get(event.name)
        if not waiting:
            return "", False
        call = waiting.popleft()
        if not waiting:
            del self.calls[event.name]
        ok = event.outcome is api.Outcome.OK
        self.crowded(now, event.outcome, (now - call.at) / max(1.0, self.settings.counter_timeout))
        c = self.customers.get(call.customer)
        if c is None:
            return call.request, False
        if call.kind is Kind.SPENT:
            c.calling, c.failed = False, 0 if ok else c.failed + 1
            if c.failed >= FAILED:  # Danger: a counter that is gone would be called for every request, twice
                c.quiet_until = now + REFRESH_MS
        if call.kind is Kind.WANTS:
            if ok and not call.amount and call.period == c.wants_told - 1:
                c.wants = max(event.total, c.wanted)
        elif ok:
            self.fill(now, c)
            self.read(now, c, call, event.total)
        elif event.outcome in NEVER_RAN:
            c.unsaid += call.amount
        else:
            c.unsure[call.period] = c.unsure.get(call.period, 0.0) + call.amount
        c.unsaid -= call.ahead  # now the request is judged: let in, it is charged; else this gives it back
        return call.request, ok and call.ahead > 0 and not self.settings.rights_ratio

    def crowded(self, now: float, outcome: api.Outcome, waited: float) -> None:
        """Take in how a call fared, after this part of the time that is waited for one.

        Danger: a crowded counter fails everybody's calls, and their number keeps it crowded. One that was cut
        off by a broken connection says nothing of that.
        """
        if outcome is api.Outcome.OK:
            self.counter_room = min(1.0, self.counter_room * (1 + ROOM_STEP))
            # Danger: a counter that was gone comes back empty. A crowded one gives totals in between.
            if self.unheard >= SILENT and now - self.heard_at > SILENT_MS:
                self.lost_at = now
            self.unheard, self.heard_at = 0, now
            return
        self.unheard += outcome is not api.Outcome.FULL
        if outcome is api.Outcome.FULL or waited > BROKE:
            self.counter_room, self.starting = max(ROOM_LEAST, self.counter_room * ROOM_CUT), 1.0

    # ---- readings ----

    def read(self, now: float, c: Customer, call: Call, total: float) -> None:
        """Take in a total: what others have added since the last reading is gone from the store."""
        c.ended = c.ended or call.kind is Kind.ENDED
        known, unsure = c.totals.get(call.period), c.unsure.pop(call.period, 0.0)
        c.totals[call.period] = total
        # An epoch that ended before this gateway followed the store is a part of what it guessed.
        if c.heard and (known is not None or call.kind is Kind.SPENT):
            elsewhere = total - (known or 0.0) - call.amount
            # Danger: a call that was added and not answered would be taken for the others' spending, and the
            # customer pay twice. If the total has not risen by as much, it was not added.
            if elsewhere >= unsure - UNITS:
                elsewhere -= unsure
            if call.kind is Kind.ENDED and c.calling:
                c.tail = elsewhere  # goes with the reading that is still to come: one time pays both back
            else:
                if known is None and not c.ended:
                    c.ceiling.forget()  # Danger: what the others added to the last epoch is not known
                self.follow(now, c, call, elsewhere + c.tail)
                c.tail = 0.0
        else:
            self.guess(now, c, call)
        for old in [period for period in c.totals if period < max(c.totals) - 1]:
            del c.totals[old]
        if call.kind is Kind.SPENT:
            c.heard, c.read_at = True, now
            self.renew(now, c)

    def follow(self, now: float, c: Customer, call: Call, elsewhere: float) -> None:
        """Take from the store what others sent on since the last reading.

        What this gateway saw spill over the burst since then, time has mostly paid back to the others, who
        made room for it; all of it if they spent evenly. Tries beyond the quota take nothing from the store.
        """
        c.ceiling.spent_elsewhere(elsewhere)
        if elsewhere < -GIVEN_BACK * c.unit:
            self.lost_at = now
            c.ceiling.forget()
            elsewhere = 0.0  # Danger: the counter lost its numbers; it would look as if all was given back
        passed = max(1.0, now - call.since)
        fade = math.exp(-passed / WANTS_MS)
        lately = (1 - fade) * WANTS_MS / passed  # of what came evenly in that time
        c.mine = max(0.0, c.mine * fade + call.amount * lately)
        c.others = max(0.0, c.others * fade + elsewhere * lately)
        c.left = math.nan
        elsewhere -= EVENLY * min(max(0.0, elsewhere), c.spilled)
        c.spilled = 0.0
        c.store = min(c.plan.burst, max(min(0.0, c.store), c.store - elsewhere))

    def guess(self, now: float, c: Customer, call: Call) -> None:
        """A store that this gateway has not followed, by the totals of this epoch and, where read, the last.

        When it was spent is not told. If all of it just now, so much is there at least: the burst, less this
        epoch's total, less what time can't have paid back of the last one. It may be more by as much as time
        has paid back since; of that, no more than the even share of the burst is taken for there.
        """
        epoch, age = c.epoch(now)
        spent = max(0.0, c.totals.get(epoch, 0.0) - (call.amount if call.kind is Kind.SPENT else 0.0))
        before, rate, burst = c.totals.get(epoch - 1, math.inf), c.plan.rate, c.plan.burst
        passed = age / 1000
        surely = burst - spent - max(0.0, min(before, burst) - rate * passed)
        likely = burst - max(0.0, spent - UNKNOWN * rate * passed)
        if before < math.inf:
            likely -= max(0.0, before - UNKNOWN * rate * (passed + EPOCH_MS / 1000))
        c.ceiling.met(spent, before, passed)
        if now - self.lost_at < c.keep_ms:
            c.ceiling.forget()  # time has not paid back yet what the others spent before
        left = max(surely, min(likely, max(c.unit, burst * c.even)))
        if not math.isnan(c.left):  # the other total has come: by what it changes
            c.store = min(burst, c.store + left - c.left)
        else:
            c.store = min(c.store, max(0.0, left) - c.unsaid - call.amount + call.ahead)
            c.mine, c.others = max(0.0, call.amount), 0.0
        c.left = left
        if call.kind is Kind.ENDED and c.heard:
            self.renew(now, c)

    def renew(self, now: float, c: Customer) -> None:
        """Size the lease: all but what the others will spend, at most their share of what is there."""
        rate, c.lease_end = c.plan.rate, now + LEASE_MS
        if c.wants_told < int(now // WANTS_MS) - 1:
            c.wants = 0.0  # too old to go by
        share = c.share()
        ahead = AHEAD * c.others / WANTS_MS * FRESH_MS
        c.tokens = c.store - min(max(0.0, c.store) * (1 - share), ahead)
        load = min(1.0, (c.mine + c.others) / WANTS_MS * 1000 / rate)
        c.part = 1 - (1 - share) * load
        c.fresh_until = now + max(REFRESH_MS, c.tokens / (SURGE * rate) * 1000)
