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
from .guards import LEASE_MS, NOT_RUN_OUTCOMES
from .records import EPOCH_MS, Call, CallKind, CustomerRecord

MIN_REFRESH_INTERVAL_MS = (
    500.0  # between refreshes at least: shares follow a shift, calls stay under requests
)
MIN_SCARCE_REFRESH_INTERVAL_MS = (
    100.0  # the same where units are scarce, and a request waits for a reading older than that
)
MAX_SURGE_RATIO = 10.0  # a reading stands until so many quotas at once could spend what is left
SPARSE_BURST_RATIO, SCARCE_TOKENS_RATIO = (
    1.5,
    2.0,
)  # of the largest requests: too thin a part to spend unread; told and read at once
PEER_SPENDING_MARGIN_RATIO = 1.5  # of what the others spend until the next reading: kept for them
LOW_STORE_RATIO = 0.5  # of the burst: under this, wants decide
WANTS_PERIOD_MS = 3_000.0  # memory of the wants, and a period of theirs
MAX_IDLE_MS, COUNTER_EXPIRY_MS = (
    60_000.0,
    60_000.0,
)  # the longest: a customer without requests; a name at the counter
CALL_BUDGET_INCREASE_RATIO, CALL_BUDGET_DECREASE_RATIO, MIN_CALL_BUDGET_RATIO = (
    0.02,
    0.8,
    0.05,
)  # how refreshes thin out as calls fail, and come back
BACKLOG_CALL_BUDGET_RATIO = 0.5  # at which units are told that there was no room for
SLOW_START_GATEWAYS = 8.0  # that may call for every request from the first moment on
SLOW_START_DOUBLING_MS = 500.0  # in which their number doubles until a call fails
MIN_CALL_PRIORITY, CALL_PRIORITY_SAMPLES = (
    0.01,
    50.0,
)  # of a call, from 0 to 1; wishes that the usual need is the mean of
READ_CALL_PRIORITY, REPORT_CALL_PRIORITY = (
    0.5,
    0.3,
)  # for what the lease can pay, as a part of its worth; to tell
MIN_OUTAGE_CALLS, MIN_OUTAGE_MS = (
    2,
    1_000.0,
)  # calls unheard one after the other, and for how long: the counter was gone
MAX_FAILED_CALLS = 2  # calls for a customer without a total, one after the other: then it waits for a refresh
TIMEOUT_RATIO = (
    0.7  # of the time that is waited for a call: one that ends unheard before was cut off, not late
)
MAX_SETTLEMENT_RATIO = 2.0  # of the largest requests: a total that falls by more has been lost, not settled
UNREPORTED_BURST_RATIO = 0.1  # of the burst: more than this, and than the largest request, is told at once
ROUNDING_ERROR_UNITS = 0.01  # what rounding may leave of a difference
OVERFLOW_REFILL_RATIO, UNOBSERVED_REFILL_RATIO = (
    0.8,
    0.7,
)  # how far time is taken to have paid back what was spent unseen


class Customer(CustomerRecord):
    """One customer at this gateway: its lease and its local buckets. All amounts are units of quota."""

    def __init__(
        self, key: str, plan: api.Plan, spread: int, now: float, since: float, settings: api.Settings
    ) -> None:
        unit, counted = settings.max_request_units, settings.has_counter and plan.rate > 0
        super().__init__(key, plan.name, spread, unit, now)
        self.apply_plan(plan)
        self.store = plan.burst  # of all gateways, as far as this one knows
        self.tokens = max(unit, plan.burst * self.even_share)  # of the lease
        seconds = (now - since) / 1000
        self.ceiling = Ceiling(plan, self.even_share, counted, seconds, unit, settings.rights_ratio)
        self.lease_end = now + LEASE_MS

    def apply_plan(self, plan: api.Plan) -> None:
        """What follows from the plan alone."""
        self.plan = plan
        self.idle_timeout_ms = max(LEASE_MS, plan.ceiling_burst / max(plan.ceiling_rate, 1e-9) * 1000)
        self.is_sparse = plan.burst * self.even_share < SPARSE_BURST_RATIO * self.max_units
        self.report_threshold = max(self.max_units, UNREPORTED_BURST_RATIO * plan.burst)  # told at once

    def compute_share(self) -> float:
        """This gateway's part of what all want; by what was sent on where wants are not known."""
        if self.total_wants > 0:
            return min(1.0, self.previous_wants / self.total_wants)
        spent = self.recent_own_units + self.recent_peer_units
        return self.recent_own_units / spent if spent > ROUNDING_ERROR_UNITS else self.even_share

    def is_scarce(self, now: float) -> bool:
        """Whether this little is left, if the others have gone on as they did since the last reading."""
        gone = PEER_SPENDING_MARGIN_RATIO * self.recent_peer_units / WANTS_PERIOD_MS * (now - self.read_at)
        return not self.has_reading or self.tokens - gone < SCARCE_TOKENS_RATIO * self.max_units


class Quotas:
    """All customers of this gateway, and its calls to the counter that are under way."""

    def __init__(self, settings: api.Settings, chance: random.Random) -> None:
        self.settings, self.random = settings, chance
        self.plans = {p.name: p for p in settings.plans}
        self.customer_plans: dict[str, api.Plan] = {}  # of customers with terms of their own
        self.customers: dict[str, Customer] = {}
        self.pending_calls: dict[str, deque[Call]] = {}  # by name
        self.report_backlog: dict[str, None] = {}  # customers whose units there was no room to tell, in turn
        self.gateway_share = 1.0  # of this gateway, that this process stands for
        self.call_budget = 1.0  # the part of refreshes that a crowded counter leaves room for
        self.slow_start_ratio = SLOW_START_GATEWAYS / max(
            1, settings.gateways
        )  # part of the calls; 1: it is over
        self.started_at, self.cleaned_up_at = 0.0, 0.0  # the first event; the last tidying
        self.counter_lost_at = (
            -math.inf
        )  # when the counter was last seen to have lost its numbers, as it may have
        self.unanswered_calls, self.last_total_at = (
            0,
            0.0,
        )  # calls without an answer since the last total; when that came
        self.mean_call_priority = 0.5  # usually, of the calls that are wished for
        self.max_price_factor = max((p.price_factor for p in settings.plans), default=1.0)

    def start(self, now: float) -> None:
        self.started_at = self.cleaned_up_at = self.last_total_at = now

    def get_customer(self, now: float, event: api.RequestArrived, out: api.Actions) -> Customer:
        """The customer of a request, its buckets filled up to now."""
        if now - self.cleaned_up_at > LEASE_MS:
            self.remove_idle_customers(now, out)
        c = self.customers.get(event.customer)
        if c is None:
            c = self.add_customer(
                event.customer, event.plan, event.spread, now, self.started_at, self.gateway_share
            )
        self.refill(now, c)
        if self.report_backlog and self.call_budget >= BACKLOG_CALL_BUDGET_RATIO:
            # Danger: a customer may not come here again for long, and until then all others read too little.
            del self.report_backlog[waiting := next(iter(self.report_backlog))]
            if known := self.customers.get(waiting):
                self.report_spending(now, known, out)
        fade = math.exp((c.demand_at - now) / WANTS_PERIOD_MS)
        c.recent_demand, c.demand_at = c.recent_demand * fade + event.units, now
        return c

    def add_customer(
        self, key: str, named: str, spread: int, now: float, since: float, kept: float
    ) -> Customer:
        """One more customer, with so much of what its part of a ceiling holds since that time."""
        c = Customer(key, self.get_plan(key, named), spread, now, since, self.settings)
        c.plan_name, self.customers[key] = named, c
        c.ceiling.set_gateway_share(self.gateway_share, kept)
        return c

    def get_plan(self, customer: str, named: str) -> api.Plan:
        """Its own terms, else those of the plan that its requests name; an unknown one has no quota."""
        return self.customer_plans.get(customer) or self.plans.get(named) or api.Plan(named)

    def remove_idle_customers(self, now: float, out: api.Actions) -> None:
        """Forget idle customers, once what they have spent is told."""
        kept, self.cleaned_up_at = {}, now
        for key, c in self.customers.items():
            full_in = (c.plan.burst - c.store) / max(c.plan.rate, 1e-9) * 1000  # it knows more till then
            if c.open_attempts or now - c.refilled_at <= max(c.idle_timeout_ms, min(full_in, MAX_IDLE_MS)):
                kept[key] = c
            elif abs(c.unreported_units) > ROUNDING_ERROR_UNITS and self.settings.has_counter:
                said = round(c.unreported_units, 3)
                self.send_call(c, Call(key, CallKind.ADD_SPENT, c.get_epoch(now)[0], said, "", now, now), out)
        self.customers = kept

    # ---- the local buckets ----

    def refill(self, now: float, c: Customer) -> None:
        plan = c.plan
        if now > c.lease_end and c.has_reading:  # a lease unheard: the safe capacity is the even share
            c.rate_share, c.has_reading, c.total_wants, c.late_peer_units = c.even_share, False, 0.0, 0.0
            c.totals.clear()
            c.unconfirmed_units.clear()
            c.ceiling.reset_shared_tokens()
        passed, c.refilled_at = (now - c.refilled_at) / 1000, now
        c.store += passed * plan.rate
        if c.store > plan.burst:
            c.overflow, c.store = c.overflow + c.store - plan.burst, plan.burst
        most = c.store if c.has_reading else max(c.max_units, plan.burst * c.even_share)
        c.tokens = min(most, c.tokens + passed * plan.rate * c.rate_share)
        c.ceiling.refill(passed)

    def take(self, c: Customer, units: float, inside: bool, counted: bool) -> float:
        """Charge a request that is sent on; gives what the store was charged: beyond the quota, nothing."""
        c.ceiling.take(units, counted)
        charged = units if inside and c.plan.rate else 0.0
        self.charge(c, charged)
        return charged

    def charge(self, c: Customer, units: float) -> None:
        c.tokens, c.store, c.unreported_units = c.tokens - units, c.store - units, c.unreported_units + units

    def settle(self, now: float, c: Customer, charged: float, cost: float, out: api.Actions) -> None:
        """The true units of a request that was charged for a guess: the difference, to the same store.

        What the answer says is held to what one request can count. The ceiling goes by the guess.
        """
        if charged > 0 and cost > 0:
            self.charge(c, min(cost, max(self.settings.max_request_units, charged)) - charged)
            if abs(c.unreported_units) >= c.report_threshold:  # told at once, as no further request may come
                self.report_spending(now, c, out)

    # ---- calls ----

    def refresh(
        self, now: float, c: Customer, units: float, request: str, out: api.Actions, worth: float = 1.0
    ) -> bool:
        """Before a request is judged: whether it waits for a reading (true), as units are scarce.

        A local bucket would be empty then, or full of units that other gateways hold too. What the request
        takes if it is let in, as it likely is, is added by the same call: no other gateway can spend it too.
        `worth`: of its class, as a part of the class worth most.
        """
        if not self.settings.has_counter or not c.plan.rate or c.is_calling or now < c.no_calls_until:
            return False
        if c.ceiling.needs_shared_part(units) and c.tokens >= units:
            return self.call_counter(now, c, request, out, units, worth)
        if not (c.is_sparse or c.is_scarce(now)):
            return False
        if (
            c.plan.ceiling_rate
            and c.ceiling.own_tokens < units
            and not c.ceiling.shared_ratio
            and not c.ceiling.uses_rights
        ):
            return False  # it is refused whatever a reading says
        if c.has_reading and now - c.read_at < MIN_SCARCE_REFRESH_INTERVAL_MS:
            return False
        # What is all spent will not be there sooner than time gives it back, unless others give some back.
        if (
            c.has_reading
            and not c.unreported_units
            and c.store < units
            and now - c.read_at < MIN_REFRESH_INTERVAL_MS
        ):
            return False
        likely = not c.has_reading or c.tokens >= units
        worth *= (
            READ_CALL_PRIORITY if c.tokens >= units and c.ceiling.own_tokens >= units else 1.0
        )  # else surely refused
        return self.call_counter(now, c, request, out, units if likely else 0.0, worth)

    def report_spending(self, now: float, c: Customer, out: api.Actions) -> None:
        """After units were charged: add them where they are scarce, or when a refresh is due."""
        # Danger: units added ahead for a request that was refused would be missed by the others meanwhile.
        due = (
            now >= c.fresh_until
            or abs(c.unreported_units) >= c.report_threshold
            or c.unreported_units < -ROUNDING_ERROR_UNITS
        )
        due = due or (abs(c.unreported_units) > ROUNDING_ERROR_UNITS and (c.is_sparse or c.is_scarce(now)))
        if self.settings.has_counter and c.plan.rate and due and not c.is_calling and now >= c.no_calls_until:
            if not self.call_counter(
                now,
                c,
                "",
                out,
                need=REPORT_CALL_PRIORITY * min(1.0, abs(c.unreported_units) / c.report_threshold),
            ):
                self.report_backlog[c.key] = None

    def call_counter(
        self, now: float, c: Customer, request: str, out: api.Actions, ahead: float = 0.0, need: float = 1.0
    ) -> bool:
        """Call for a customer, if a crowded counter leaves room for a call of this need (0 to 1).

        Danger: thinned evenly, the calls of many gateways that a crowded counter bears go to what is worth
        little, or is let in without a reading as well. So the room goes to those that are needed most.
        """
        if self.slow_start_ratio < 1:
            # Danger: many that start at once would call for all their customers before the first call fails.
            # Danger: a part that grows too slowly leaves most quotas unread while the counter stands idle.
            self.call_budget = min(
                1.0, self.slow_start_ratio * 2 ** ((now - self.started_at) / SLOW_START_DOUBLING_MS)
            )
            self.slow_start_ratio = 1.0 if self.call_budget >= 1 else self.slow_start_ratio
        need = max(MIN_CALL_PRIORITY, need * c.plan.price_factor / self.max_price_factor)
        self.mean_call_priority += (need - self.mean_call_priority) / CALL_PRIORITY_SAMPLES
        if self.random.random() > self.call_budget ** (self.mean_call_priority / need):
            return False  # what is not said now is said by a later call
        epoch, age = c.get_epoch(now)
        # What the others have sent on since the last reading of the last epoch, or in all of it: unless time
        # has paid back all of that.
        paid = not c.has_reading and c.plan.rate * age >= 1000 * c.plan.burst
        if epoch not in c.totals and not paid:
            c.has_read_last_epoch = False
            self.send_call(c, Call(c.key, CallKind.READ_LAST_EPOCH, epoch - 1, 0.0, "", c.read_at, now), out)
        c.is_calling, said, c.unreported_units = True, round(c.unreported_units + ahead, 3), 0.0
        self.send_call(c, Call(c.key, CallKind.ADD_SPENT, epoch, said, request, c.read_at, now, ahead), out)
        if (
            c.has_reading and c.store < LOW_STORE_RATIO * c.plan.burst and not c.is_sparse
        ):  # a part that thin holds no request
            self.report_wants(now, c, out)
        return True

    def report_wants(self, now: float, c: Customer, out: api.Actions) -> None:
        """Add this gateway's wants to the period's number, and read the last finished period's total."""
        period = int(now // WANTS_PERIOD_MS)
        if c.wants_period < period:
            c.previous_wants = c.reported_wants if c.wants_period == period - 1 else 0.0
            c.wants_period, c.reported_wants, c.total_wants = period, round(c.recent_demand, 3), 0.0
            self.send_call(c, Call(c.key, CallKind.WANTS, period, c.reported_wants, "", now, now), out)
            if c.previous_wants:
                self.send_call(c, Call(c.key, CallKind.WANTS, period - 1, 0.0, "", now, now), out)

    def send_call(self, c: Customer, call: Call, out: api.Actions) -> None:
        name = f"{'w' if call.kind is CallKind.WANTS else 's'}{call.period}:{c.digest}"
        self.pending_calls.setdefault(name, deque()).append(call)
        out.append(
            api.AddToCounter(
                name, call.amount, 4 * WANTS_PERIOD_MS if call.kind is CallKind.WANTS else COUNTER_EXPIRY_MS
            )
        )

    def on_counter_reply(self, now: float, event: api.CounterReplied) -> tuple[str, bool]:
        """Take in a reply; gives the id of the request that has waited for it, "" for none.

        And whether the total that came holds the units of that request.
        """
        waiting = self.pending_calls.get(event.name)
        if not waiting:
            return "", False
        call = waiting.popleft()
        if not waiting:
            del self.pending_calls[event.name]
        ok = event.outcome is api.Outcome.OK
        self.update_call_budget(
            now, event.outcome, (now - call.called_at) / max(1.0, self.settings.counter_timeout)
        )
        c = self.customers.get(call.customer)
        if c is None:
            return call.request, False
        if call.kind is CallKind.ADD_SPENT:
            c.is_calling, c.failed_calls = False, 0 if ok else c.failed_calls + 1
            if (
                c.failed_calls >= MAX_FAILED_CALLS
            ):  # Danger: a counter that is gone would be called for every request, twice
                c.no_calls_until = now + MIN_REFRESH_INTERVAL_MS
        if call.kind is CallKind.WANTS:
            if ok and not call.amount and call.period == c.wants_period - 1:
                c.total_wants = max(event.total, c.previous_wants)
        elif ok:
            self.refill(now, c)
            self.apply_total(now, c, call, event.total)
        elif event.outcome in NOT_RUN_OUTCOMES:
            c.unreported_units += call.amount
        else:
            c.unconfirmed_units[call.period] = c.unconfirmed_units.get(call.period, 0.0) + call.amount
        c.unreported_units -= (
            call.reserved_units
        )  # now the request is judged: let in, it is charged; else this gives it back
        return call.request, ok and call.reserved_units > 0 and not self.settings.rights_ratio

    def update_call_budget(self, now: float, outcome: api.Outcome, waited: float) -> None:
        """Take in how a call fared, after this part of the time that is waited for one.

        Danger: a crowded counter fails everybody's calls, and their number keeps it crowded. One that was cut
        off by a broken connection says nothing of that.
        """
        if outcome is api.Outcome.OK:
            self.call_budget = min(1.0, self.call_budget * (1 + CALL_BUDGET_INCREASE_RATIO))
            # Danger: a counter that was gone comes back empty. A crowded one gives totals in between.
            if self.unanswered_calls >= MIN_OUTAGE_CALLS and now - self.last_total_at > MIN_OUTAGE_MS:
                self.counter_lost_at = now
            self.unanswered_calls, self.last_total_at = 0, now
            return
        self.unanswered_calls += outcome is not api.Outcome.FULL
        if outcome is api.Outcome.FULL or waited > TIMEOUT_RATIO:
            self.call_budget, self.slow_start_ratio = (
                max(MIN_CALL_BUDGET_RATIO, self.call_budget * CALL_BUDGET_DECREASE_RATIO),
                1.0,
            )

    # ---- readings ----

    def apply_total(self, now: float, c: Customer, call: Call, total: float) -> None:
        """Take in a total: what others have added since the last reading is gone from the store."""
        c.has_read_last_epoch = c.has_read_last_epoch or call.kind is CallKind.READ_LAST_EPOCH
        known, unsure = c.totals.get(call.period), c.unconfirmed_units.pop(call.period, 0.0)
        c.totals[call.period] = total
        # An epoch that ended before this gateway followed the store is a part of what it guessed.
        if c.has_reading and (known is not None or call.kind is CallKind.ADD_SPENT):
            elsewhere = total - (known or 0.0) - call.amount
            # Danger: a call that was added and not answered would be taken for the others' spending, and the
            # customer pay twice. If the total has not risen by as much, it was not added.
            if elsewhere >= unsure - ROUNDING_ERROR_UNITS:
                elsewhere -= unsure
            if call.kind is CallKind.READ_LAST_EPOCH and c.is_calling:
                c.late_peer_units = (
                    elsewhere  # goes with the reading that is still to come: one time pays both back
                )
            else:
                if known is None and not c.has_read_last_epoch:
                    # What the others added to the last epoch is not known, so it might be overspent.
                    c.ceiling.reset_shared_tokens()
                self.update_store(now, c, call, elsewhere + c.late_peer_units)
                c.late_peer_units = 0.0
        else:
            self.estimate_store(now, c, call)
        for old in [period for period in c.totals if period < max(c.totals) - 1]:
            del c.totals[old]
        if call.kind is CallKind.ADD_SPENT:
            c.has_reading, c.read_at = True, now
            self.renew_lease(now, c)

    def update_store(self, now: float, c: Customer, call: Call, elsewhere: float) -> None:
        """Take from the store what others sent on since the last reading.

        What this gateway saw spill over the burst since then, time has mostly paid back to the others, who
        made room for it; all of it if they spent evenly. Tries beyond the quota take nothing from the store.
        """
        c.ceiling.subtract_peer_spending(elsewhere)
        if elsewhere < -MAX_SETTLEMENT_RATIO * c.max_units:
            self.counter_lost_at = now
            c.ceiling.reset_shared_tokens()
            elsewhere = 0.0  # Danger: the counter lost its numbers; it would look as if all was given back
        passed = max(1.0, now - call.last_read_at)
        fade = math.exp(-passed / WANTS_PERIOD_MS)
        lately = (1 - fade) * WANTS_PERIOD_MS / passed  # of what came evenly in that time
        c.recent_own_units = max(0.0, c.recent_own_units * fade + call.amount * lately)
        c.recent_peer_units = max(0.0, c.recent_peer_units * fade + elsewhere * lately)
        c.first_estimate = math.nan
        elsewhere -= OVERFLOW_REFILL_RATIO * min(max(0.0, elsewhere), c.overflow)
        c.overflow = 0.0
        c.store = min(c.plan.burst, max(min(0.0, c.store), c.store - elsewhere))

    def estimate_store(self, now: float, c: Customer, call: Call) -> None:
        """A store that this gateway has not followed, by the totals of this epoch and, where read, the last.

        When it was spent is not told. If all of it just now, so much is there at least: the burst, less this
        epoch's total, less what time can't have paid back of the last one. It may be more by as much as time
        has paid back since; of that, no more than the even share of the burst is taken for there.
        """
        epoch, age = c.get_epoch(now)
        spent = max(0.0, c.totals.get(epoch, 0.0) - (call.amount if call.kind is CallKind.ADD_SPENT else 0.0))
        before, rate, burst = c.totals.get(epoch - 1, math.inf), c.plan.rate, c.plan.burst
        passed = age / 1000
        surely = burst - spent - max(0.0, min(before, burst) - rate * passed)
        likely = burst - max(0.0, spent - UNOBSERVED_REFILL_RATIO * rate * passed)
        if before < math.inf:
            likely -= max(0.0, before - UNOBSERVED_REFILL_RATIO * rate * (passed + EPOCH_MS / 1000))
        c.ceiling.estimate_shared_tokens(spent, before, passed)
        if now - self.counter_lost_at < c.idle_timeout_ms:
            c.ceiling.reset_shared_tokens()  # time has not paid back yet what the others spent before
        left = max(surely, min(likely, max(c.max_units, burst * c.even_share)))
        if not math.isnan(c.first_estimate):  # the other total has come: by what it changes
            c.store = min(burst, c.store + left - c.first_estimate)
        else:
            c.store = min(c.store, max(0.0, left) - c.unreported_units - call.amount + call.reserved_units)
            c.recent_own_units, c.recent_peer_units = max(0.0, call.amount), 0.0
        c.first_estimate = left
        if call.kind is CallKind.READ_LAST_EPOCH and c.has_reading:
            self.renew_lease(now, c)

    def renew_lease(self, now: float, c: Customer) -> None:
        """Size the lease: all but what the others will spend, at most their share of what is there."""
        rate, c.lease_end = c.plan.rate, now + LEASE_MS
        if c.wants_period < int(now // WANTS_PERIOD_MS) - 1:
            c.total_wants = 0.0  # too old to go by
        share = c.compute_share()
        ahead = (
            PEER_SPENDING_MARGIN_RATIO
            * c.recent_peer_units
            / WANTS_PERIOD_MS
            * MIN_SCARCE_REFRESH_INTERVAL_MS
        )
        c.tokens = c.store - min(max(0.0, c.store) * (1 - share), ahead)
        load = min(1.0, (c.recent_own_units + c.recent_peer_units) / WANTS_PERIOD_MS * 1000 / rate)
        c.rate_share = 1 - (1 - share) * load
        c.fresh_until = now + max(MIN_REFRESH_INTERVAL_MS, c.tokens / (MAX_SURGE_RATIO * rate) * 1000)
