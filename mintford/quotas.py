"""Quotas: leases sized by each gateway's share of the wants, local buckets, and calls to the counter.

Each customer has one store of units, a token bucket over all its gateways. Every gateway adds the units it
has spent to a number at the counter, and learns from the total what the others have spent. So each gateway
follows the store on its own, including its burst limit, and knows its state as of the last reading. A lease
is the part of the store that a gateway may spend until its next reading: all but what the others will spend
until then, and at least this gateway's share of the wants. Wants have a counter number of their own. They are
reported once a period and only while the store is low, as nobody needs them before.
"""

from __future__ import annotations

import math
import random
from collections import deque

from . import interface as api
from .ceilings import Ceiling
from .customer_table import has_no_limits, make_room, note_use
from .gateway_share import GatewayShare
from .guards import LEASE_MS, NOT_RUN_OUTCOMES
from .records import EPOCH_MS, Call, CallKind, CustomerRecord

# Between refreshes. It is short enough for shares to follow a shift of the load, and long enough to keep
# calls fewer than requests.
MIN_REFRESH_INTERVAL_MS = 500.0
# The same where units are scarce. A request then waits for a new reading if the last one is older than this.
MIN_SCARCE_REFRESH_INTERVAL_MS = 100.0
# A reading is valid for as long as the lease would last at this multiple of the quota's rate.
MAX_SURGE_RATIO = 10.0
# Of the largest request: with a smaller even part of the burst, nothing is spent without a reading.
SPARSE_BURST_RATIO = 1.5
# Of the largest request: with fewer tokens, units are reported and the counter is read at once.
SCARCE_TOKENS_RATIO = 2.0
PEER_SPENDING_MARGIN_RATIO = 1.5  # of the units that peers will spend until the next reading, left to them
LOW_STORE_RATIO = 0.5  # of the burst: below it, wants decide
WANTS_PERIOD_MS = 3_000.0  # length of a period of wants, and decay time of the recent sums
MAX_IDLE_MS = 60_000.0  # how long a customer is remembered because its store is not full
COUNTER_EXPIRY_MS = 60_000.0  # after this time the counter forgets a number
# The call budget is the ratio of refreshes that are made. It decreases when a call fails and recovers slowly,
# so that a crowded counter gets fewer calls.
CALL_BUDGET_INCREASE_RATIO = 0.02
# After so many answers in a row the increase is twice as large, and so on. Few calls are made at a small
# budget, so that a fixed increase would take minutes after an outage.
ANSWERS_PER_INCREASE = 25
CALL_BUDGET_DECREASE_RATIO = 0.8
MIN_CALL_BUDGET_RATIO = 0.05
BACKLOG_CALL_BUDGET_RATIO = 0.5  # from this call budget on, the backlog of reports is worked off
SLOW_START_GATEWAYS = 8.0  # as many gateways as may call for every request from the start
SLOW_START_DOUBLING_MS = 500.0  # their number doubles in this time until a call fails
MIN_CALL_PRIORITY = 0.01  # priorities are from 0 to 1
CALL_PRIORITY_SAMPLES = 50.0  # the mean priority averages this many wanted calls
# Priorities of calls as a part of the request's worth: a reading for a request that the lease can pay, and a
# report of spent units.
READ_CALL_PRIORITY = 0.5
REPORT_CALL_PRIORITY = 0.3
# After as many consecutive calls without an answer and as long without a total, the counter had an outage.
MIN_OUTAGE_CALLS = 2
MIN_OUTAGE_MS = 1_000.0
MAX_FAILED_CALLS = 2  # consecutive failures for one customer, after which its calls pause
# Of the counter timeout. A call that fails earlier was cut off by a broken connection and did not time out.
TIMEOUT_RATIO = 0.7
# Of the largest request. A total that falls by more was not settled: the counter has lost it.
MAX_SETTLEMENT_RATIO = 2.0
# Of the burst. More unreported units than this, and than the largest request, are reported at once.
UNREPORTED_BURST_RATIO = 0.1
ROUNDING_ERROR_UNITS = 0.01  # the largest difference that rounding may cause
# The ratio of the refill that is assumed to have returned units spent by others at unknown times: the units
# that overflowed here since the last reading, and the refill before the first reading.
OVERFLOW_REFILL_RATIO = 0.8
UNOBSERVED_REFILL_RATIO = 0.7


class Customer(CustomerRecord):
    """One customer at this gateway: its lease and its local buckets."""

    def __init__(self, key: str, plan: api.Plan, spread: int, now: float, settings: api.Settings) -> None:
        largest_request = settings.max_request_units
        has_counted_quota = settings.has_counter and plan.rate > 0
        super().__init__(key, plan.name, spread, largest_request, now)
        self.apply_plan(plan)
        self.store = plan.burst  # the store of all gateways, as far as this one knows
        self.tokens = max(largest_request, plan.burst * self.even_share)  # of the lease
        self.ceiling = Ceiling(
            plan, self.even_share, has_counted_quota, 0.0, largest_request, settings.rights_ratio
        )
        self.lease_end = now + LEASE_MS

    def apply_plan(self, plan: api.Plan) -> None:
        """Set the values that follow from the plan alone."""
        self.plan = plan
        self.idle_timeout_ms = max(LEASE_MS, plan.ceiling_burst / max(plan.ceiling_rate, 1e-9) * 1000)
        self.is_sparse = plan.burst * self.even_share < SPARSE_BURST_RATIO * self.max_units
        self.report_threshold = max(self.max_units, UNREPORTED_BURST_RATIO * plan.burst)

    def compute_share(self) -> float:
        """Return this gateway's part of the wants of all, or of the recent spending if wants are unknown."""
        if self.total_wants > 0:
            return min(1.0, self.previous_wants / self.total_wants)
        spent = self.recent_own_units + self.recent_peer_units
        return self.recent_own_units / spent if spent > ROUNDING_ERROR_UNITS else self.even_share

    def is_scarce(self, now: float) -> bool:
        """Whether few tokens remain, assuming that peers go on spending as before the last reading."""
        peer_units = (
            PEER_SPENDING_MARGIN_RATIO * self.recent_peer_units / WANTS_PERIOD_MS * (now - self.read_at)
        )
        return not self.has_reading or self.tokens - peer_units < SCARCE_TOKENS_RATIO * self.max_units


class Quotas:
    """All customers of this gateway, and its calls to the counter in flight."""

    def __init__(
        self, settings: api.Settings, chance: random.Random, max_customers: int | None = None
    ) -> None:
        self.settings, self.random = settings, chance
        self.max_customers = max_customers  # None: any number
        self.plans = {p.name: p for p in settings.plans}
        self.customer_plans: dict[str, api.Plan] = {}  # for customers with terms of their own
        self.customers: dict[str, Customer] = {}
        self.pending_calls: dict[str, deque[Call]] = {}  # by the name of the number, oldest first
        # Customers whose units could not be reported within the call budget, oldest first.
        self.report_backlog: dict[str, None] = {}
        self.gateway_share = GatewayShare()  # the part of this gateway that this process serves
        self.call_budget = 1.0  # the ratio of refreshes that are made while the counter is crowded
        # The ratio of calls that are allowed at the start. At 1 the slow start is over.
        self.slow_start_ratio = SLOW_START_GATEWAYS / max(1, settings.gateways)
        self.started_at, self.cleaned_up_at = 0.0, 0.0
        self.counter_lost_at = -math.inf  # when the counter was last found to have lost its numbers
        self.unanswered_calls, self.last_total_at = 0, 0.0  # unanswered calls since the last total
        self.answers_in_a_row = 0  # calls answered since one failed
        self.mean_call_priority = 0.5  # the mean over all wanted calls
        self.max_price_factor = max((p.price_factor for p in settings.plans), default=1.0)

    def start(self, now: float) -> None:
        """Set the time of the first event."""
        self.started_at = self.cleaned_up_at = self.last_total_at = now
        self.gateway_share.restart(now)

    def get_customer(self, now: float, event: api.RequestArrived, out: api.Actions) -> Customer | None:
        """Return the customer of a request, with its buckets refilled up to now.

        None if it is new and no room can be made for it.
        """
        if now - self.cleaned_up_at > LEASE_MS:
            self.remove_idle_customers(now, out)
        record = self.customers.get(event.customer)
        if record is None:
            if make_room(now, self, out):
                record = self.add_customer(event.customer, event.plan, event.spread, now)
            elif has_no_limits(plan := self.get_plan(event.customer, event.plan)):
                record = Customer(event.customer, plan, event.spread, now, self.settings)  # not remembered
            else:
                return None
        else:
            note_use(self, record)
        self.refill(now, record)
        if self.report_backlog and self.call_budget >= BACKLOG_CALL_BUDGET_RATIO:
            # The customer may send no request to this gateway for a long time. Without this report all other
            # gateways would read too low a total until then.
            del self.report_backlog[key := next(iter(self.report_backlog))]
            if delayed := self.customers.get(key):
                self.report_spending(now, delayed, out)
        decay = math.exp((record.demand_at - now) / WANTS_PERIOD_MS)
        record.recent_demand, record.demand_at = record.recent_demand * decay + event.units, now
        return record

    def add_customer(self, key: str, requested_plan: str, spread: int, now: float) -> Customer:
        """Add a customer that has sent no request to this process so far."""
        customer = Customer(key, self.get_plan(key, requested_plan), spread, now, self.settings)
        customer.plan_name = requested_plan
        self.customers[key] = customer
        ceiling = customer.ceiling
        ceiling.set_gateway_share(self.gateway_share.current, self.gateway_share.get_lowest())
        ceiling.own_tokens = self.gateway_share.compute_own_tokens(now, *ceiling.gateway_limits)
        return customer

    def get_plan(self, key: str, requested_plan: str) -> api.Plan:
        """Return a customer's own terms, else the plan of its requests. An unknown plan has no quota."""
        return self.customer_plans.get(key) or self.plans.get(requested_plan) or api.Plan(requested_plan)

    def remove_idle_customers(self, now: float, out: api.Actions) -> None:
        """Remove idle customers once their spending has been reported."""
        remaining, self.cleaned_up_at = {}, now
        for key, customer in self.customers.items():
            # Until the store is full, the record holds more than a new one would.
            full_in = (customer.plan.burst - customer.store) / max(customer.plan.rate, 1e-9) * 1000
            # A lowered ceiling may leave a debt that takes longer to refill than a full burst. A new record
            # would not have it.
            ceiling_full_in = customer.ceiling.compute_full_after() * 1000
            idle_timeout_ms = max(customer.idle_timeout_ms, min(full_in, MAX_IDLE_MS), ceiling_full_in)
            if customer.open_attempts or now - customer.refilled_at <= idle_timeout_ms:
                remaining[key] = customer
            elif abs(customer.unreported_units) > ROUNDING_ERROR_UNITS and self.settings.has_counter:
                units = round(customer.unreported_units, 3)
                self.send_call(
                    customer,
                    Call(key, CallKind.ADD_SPENT, customer.get_epoch(now)[0], units, "", now, now),
                    out,
                )
        self.customers = remaining

    # ---- local buckets ----

    def refill(self, now: float, customer: Customer) -> None:
        """Refill all buckets of a customer up to now. An expired lease falls back to the even share."""
        plan = customer.plan
        if now > customer.lease_end and customer.has_reading:
            customer.rate_share = customer.even_share
            customer.has_reading = False
            customer.total_wants = 0.0
            customer.late_peer_units = 0.0
            customer.totals.clear()
            customer.unconfirmed_units.clear()
            customer.ceiling.reset_shared_tokens()
        seconds, customer.refilled_at = (now - customer.refilled_at) / 1000, now
        customer.store += seconds * plan.rate
        if customer.store > plan.burst:
            customer.overflow, customer.store = customer.overflow + customer.store - plan.burst, plan.burst
        max_tokens = (
            customer.store
            if customer.has_reading
            else max(customer.max_units, plan.burst * customer.even_share)
        )
        customer.tokens = min(max_tokens, customer.tokens + seconds * plan.rate * customer.rate_share)
        customer.ceiling.refill(seconds)

    def take(self, customer: Customer, units: float, within_quota: bool, counted: bool) -> float:
        """Charge a request that is sent. Return the units charged to the store, 0 beyond the quota."""
        customer.ceiling.take(units, counted)
        charged = units if within_quota and customer.plan.rate else 0.0
        self.charge(customer, charged)
        return charged

    def charge(self, customer: Customer, units: float) -> None:
        """Charge units, or return them if negative, to the lease and the store."""
        customer.tokens -= units
        customer.store -= units
        customer.unreported_units += units

    def settle(
        self, now: float, customer: Customer, charged: float, true_units: float, out: api.Actions
    ) -> None:
        """Charge the difference between the true units of a request and the estimate that was charged.

        The true units are limited to the largest request. The ceiling keeps the estimate.
        """
        if charged > 0 and true_units > 0:
            self.charge(customer, min(true_units, max(self.settings.max_request_units, charged)) - charged)
            # There may be no further request that would report it.
            if abs(customer.unreported_units) >= customer.report_threshold:
                self.report_spending(now, customer, out)

    # ---- calls ----

    def refresh(
        self, now: float, customer: Customer, units: float, request: str, out: api.Actions, worth: float = 1.0
    ) -> bool:
        """Call the counter if units are scarce, and return whether the request waits for the reading.

        Without a reading the local bucket could be empty, or hold units that other gateways hold too. If the
        request is likely to be admitted, the same call adds its units, so no other gateway can spend them.
        `worth`: the importance of its class, relative to the most important one.
        """
        if (
            not self.settings.has_counter
            or not customer.plan.rate
            or customer.is_calling
            or now < customer.no_calls_until
        ):
            return False
        if customer.ceiling.needs_shared_part(units) and customer.tokens >= units:
            return self.call_counter(now, customer, request, out, units, worth)
        if not (customer.is_sparse or customer.is_scarce(now)):
            return False
        if (
            customer.plan.ceiling_rate
            and customer.ceiling.own_tokens < units
            and not customer.ceiling.shared_ratio
            and not customer.ceiling.uses_rights
        ):
            return False  # the request will be refused, whatever the reading is
        if customer.has_reading and now - customer.read_at < MIN_SCARCE_REFRESH_INTERVAL_MS:
            return False
        # An empty store is refilled only by time, or by the rare settlements of others.
        if (
            customer.has_reading
            and not customer.unreported_units
            and customer.store < units
            and now - customer.read_at < MIN_REFRESH_INTERVAL_MS
        ):
            return False
        likely_admitted = not customer.has_reading or customer.tokens >= units
        # A request that the lease and the ceiling can pay may be admitted without a reading. Any other one
        # would be refused without it.
        worth *= (
            READ_CALL_PRIORITY if customer.tokens >= units and customer.ceiling.own_tokens >= units else 1.0
        )
        return self.call_counter(now, customer, request, out, units if likely_admitted else 0.0, worth)

    def report_spending(self, now: float, customer: Customer, out: api.Actions) -> None:
        """Add charged units to the counter if units are scarce or a refresh is due."""
        # Negative units were reserved for a request that was then refused. Until they are returned, the other
        # gateways lack them.
        is_due = (
            now >= customer.fresh_until
            or abs(customer.unreported_units) >= customer.report_threshold
            or customer.unreported_units < -ROUNDING_ERROR_UNITS
        )
        is_due = is_due or (
            abs(customer.unreported_units) > ROUNDING_ERROR_UNITS
            and (customer.is_sparse or customer.is_scarce(now))
        )
        if (
            self.settings.has_counter
            and customer.plan.rate
            and is_due
            and not customer.is_calling
            and now >= customer.no_calls_until
        ):
            if not self.call_counter(
                now,
                customer,
                "",
                out,
                priority=REPORT_CALL_PRIORITY
                * min(1.0, abs(customer.unreported_units) / customer.report_threshold),
            ):
                self.report_backlog[customer.key] = None

    def call_counter(
        self,
        now: float,
        customer: Customer,
        request: str,
        out: api.Actions,
        reserved: float = 0.0,
        priority: float = 1.0,
    ) -> bool:
        """Call the counter for a customer, if the call budget allows a call of this priority (0 to 1).

        If all calls were reduced evenly, many of the calls that a crowded counter can process would be for
        requests that are worth little or would be admitted without a reading. So calls of high priority are
        preferred. Return whether the call is made.
        """
        if self.slow_start_ratio < 1:
            # Many gateways that start together would call for all their customers before the first call
            # fails. A budget that grows too slowly would leave most quotas unread while the counter is idle.
            self.call_budget = min(
                1.0, self.slow_start_ratio * 2 ** ((now - self.started_at) / SLOW_START_DOUBLING_MS)
            )
            self.slow_start_ratio = 1.0 if self.call_budget >= 1 else self.slow_start_ratio
        priority = max(MIN_CALL_PRIORITY, priority * customer.plan.price_factor / self.max_price_factor)
        self.mean_call_priority += (priority - self.mean_call_priority) / CALL_PRIORITY_SAMPLES
        if self.random.random() > self.call_budget ** (self.mean_call_priority / priority):
            return False  # a later call reports the units
        epoch, age = customer.get_epoch(now)
        # A new epoch also needs the final total of the last one, for units spent there after its last
        # reading. A gateway without a reading does not need it once the refill has returned all of that.
        is_repaid = not customer.has_reading and customer.plan.rate * age >= 1000 * customer.plan.burst
        if epoch not in customer.totals and not is_repaid:
            customer.has_read_last_epoch = False
            self.send_call(
                customer,
                Call(customer.key, CallKind.READ_LAST_EPOCH, epoch - 1, 0.0, "", customer.read_at, now),
                out,
            )
        customer.is_calling = True
        amount = round(customer.unreported_units + reserved, 3)
        customer.unreported_units = 0.0
        self.send_call(
            customer,
            Call(customer.key, CallKind.ADD_SPENT, epoch, amount, request, customer.read_at, now, reserved),
            out,
        )
        # The share of a sparse customer holds no whole request, so its wants are of no use.
        if (
            customer.has_reading
            and customer.store < LOW_STORE_RATIO * customer.plan.burst
            and not customer.is_sparse
        ):
            self.report_wants(now, customer, out)
        return True

    def report_wants(self, now: float, customer: Customer, out: api.Actions) -> None:
        """Add this gateway's wants to the period's number, and read the last finished period's total."""
        period = int(now // WANTS_PERIOD_MS)
        if customer.wants_period < period:
            customer.previous_wants = customer.reported_wants if customer.wants_period == period - 1 else 0.0
            customer.wants_period = period
            customer.reported_wants = round(customer.recent_demand, 3)
            customer.total_wants = 0.0
            self.send_call(
                customer,
                Call(customer.key, CallKind.WANTS, period, customer.reported_wants, "", now, now),
                out,
            )
            if customer.previous_wants:
                self.send_call(
                    customer, Call(customer.key, CallKind.WANTS, period - 1, 0.0, "", now, now), out
                )

    def send_call(self, customer: Customer, call: Call, out: api.Actions) -> None:
        """Send a call. The names of numbers at the counter must be the same at all gateways."""
        name = f"{'w' if call.kind is CallKind.WANTS else 's'}{call.period}:{customer.digest}"
        self.pending_calls.setdefault(name, deque()).append(call)
        out.append(
            api.AddToCounter(
                name, call.amount, 4 * WANTS_PERIOD_MS if call.kind is CallKind.WANTS else COUNTER_EXPIRY_MS
            )
        )

    def on_counter_reply(self, now: float, event: api.CounterReplied) -> tuple[str, bool]:
        """Process a reply. Return the id of the request that waited for it, or "".

        Also return whether the total contains the units of that request.
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
        record = self.customers.get(call.customer)
        if record is None:
            return call.request, False
        if call.kind is CallKind.ADD_SPENT:
            record.is_calling, record.failed_calls = False, 0 if ok else record.failed_calls + 1
            # Without a pause, a counter that is down would be called twice for every request.
            if record.failed_calls >= MAX_FAILED_CALLS:
                record.no_calls_until = now + MIN_REFRESH_INTERVAL_MS
        if call.kind is CallKind.WANTS:
            if ok and not call.amount and call.period == record.wants_period - 1:
                record.total_wants = max(event.total, record.previous_wants)
        elif ok:
            self.refill(now, record)
            self.apply_total(now, record, call, event.total)
        elif event.outcome in NOT_RUN_OUTCOMES:
            record.unreported_units += call.amount
        else:
            record.unconfirmed_units[call.period] = (
                record.unconfirmed_units.get(call.period, 0.0) + call.amount
            )
        # The request is decided next. If it is admitted its units are charged, otherwise they are returned.
        record.unreported_units -= call.reserved_units
        return call.request, ok and call.reserved_units > 0 and not self.settings.rights_ratio

    def update_call_budget(self, now: float, outcome: api.Outcome, waited_ratio: float) -> None:
        """Adjust the call budget to the outcome of a call that took this ratio of the counter timeout.

        A crowded counter fails the calls of all gateways, and their number keeps it crowded. So failures
        reduce the calls, except for calls cut off by a broken connection, which say nothing about the load.
        """
        if outcome is api.Outcome.OK:
            self.answers_in_a_row += 1
            increase = CALL_BUDGET_INCREASE_RATIO * max(1.0, self.answers_in_a_row / ANSWERS_PER_INCREASE)
            self.call_budget = min(1.0, self.call_budget * (1 + increase))
            # A counter that was down restarts without its numbers. A crowded one still answers some calls.
            if self.unanswered_calls >= MIN_OUTAGE_CALLS and now - self.last_total_at > MIN_OUTAGE_MS:
                self.counter_lost_at = now
            self.unanswered_calls, self.last_total_at = 0, now
            return
        self.answers_in_a_row = 0
        self.unanswered_calls += outcome is not api.Outcome.FULL
        if outcome is api.Outcome.FULL or waited_ratio > TIMEOUT_RATIO:
            self.call_budget = max(MIN_CALL_BUDGET_RATIO, self.call_budget * CALL_BUDGET_DECREASE_RATIO)
            self.slow_start_ratio = 1.0

    # ---- readings ----

    def apply_total(self, now: float, customer: Customer, call: Call, total: float) -> None:
        """Apply a total: subtract from the store what others have added since the last reading."""
        customer.has_read_last_epoch = customer.has_read_last_epoch or call.kind is CallKind.READ_LAST_EPOCH
        known = customer.totals.get(call.period)
        unconfirmed = customer.unconfirmed_units.pop(call.period, 0.0)
        customer.totals[call.period] = total
        # An epoch that ended before this gateway followed the store belongs to its first estimate.
        if customer.has_reading and (known is not None or call.kind is CallKind.ADD_SPENT):
            peer_units = total - (known or 0.0) - call.amount
            # A call that was added but not answered would look like spending of others, and the customer
            # would pay twice. If the total has not risen by that amount, the call was not added.
            if peer_units >= unconfirmed - ROUNDING_ERROR_UNITS:
                peer_units -= unconfirmed
            if call.kind is CallKind.READ_LAST_EPOCH and customer.is_calling:
                # It is applied with the reading that follows, so that the refill is counted once for both.
                customer.late_peer_units = peer_units
            else:
                if known is None and not customer.has_read_last_epoch:
                    # The spending of others in the last epoch is unknown, so the shared part of the ceiling
                    # could be overspent.
                    customer.ceiling.reset_shared_tokens()
                self.update_store(now, customer, call, peer_units + customer.late_peer_units)
                customer.late_peer_units = 0.0
        else:
            self.estimate_store(now, customer, call)
        for old_period in [period for period in customer.totals if period < max(customer.totals) - 1]:
            del customer.totals[old_period]
        if call.kind is CallKind.ADD_SPENT:
            customer.has_reading, customer.read_at = True, now
            self.renew_lease(now, customer)

    def update_store(self, now: float, customer: Customer, call: Call, peer_units: float) -> None:
        """Subtract from the store what others have spent since the last reading.

        Units that overflowed here since then were mostly refilled into the room that the others' spending
        made, and all of them if the others spent evenly. Tries beyond the quota take nothing from the store.
        """
        customer.ceiling.subtract_peer_spending(peer_units)
        if peer_units < -MAX_SETTLEMENT_RATIO * customer.max_units:
            self.counter_lost_at = now
            customer.ceiling.reset_shared_tokens()
            # The counter has lost its numbers. Otherwise all spent units would look returned.
            peer_units = 0.0
        elapsed = max(1.0, now - call.last_read_at)
        decay = math.exp(-elapsed / WANTS_PERIOD_MS)
        # The part of units spent evenly over that time that remains in a decaying sum.
        recent_ratio = (1 - decay) * WANTS_PERIOD_MS / elapsed
        customer.recent_own_units = max(0.0, customer.recent_own_units * decay + call.amount * recent_ratio)
        customer.recent_peer_units = max(0.0, customer.recent_peer_units * decay + peer_units * recent_ratio)
        customer.first_estimate = math.nan
        peer_units -= OVERFLOW_REFILL_RATIO * min(max(0.0, peer_units), customer.overflow)
        customer.overflow = 0.0
        customer.store = min(customer.plan.burst, max(min(0.0, customer.store), customer.store - peer_units))

    def estimate_store(self, now: float, customer: Customer, call: Call) -> None:
        """Estimate a store that this gateway has not followed, by the totals of this epoch and of the last.

        The totals do not say when units were spent. The lower bound assumes just now: it is the burst without
        this epoch's total and without what the refill can't have returned of the last one's. The refill may
        have returned more since. Of that, no more than the even share of the burst is assumed.
        """
        epoch, age = customer.get_epoch(now)
        spent = max(
            0.0, customer.totals.get(epoch, 0.0) - (call.amount if call.kind is CallKind.ADD_SPENT else 0.0)
        )
        last_epoch_spent = customer.totals.get(epoch - 1, math.inf)
        rate = customer.plan.rate
        burst = customer.plan.burst
        seconds = age / 1000
        lower_bound = burst - spent - max(0.0, min(last_epoch_spent, burst) - rate * seconds)
        likely = burst - max(0.0, spent - UNOBSERVED_REFILL_RATIO * rate * seconds)
        if last_epoch_spent < math.inf:
            likely -= max(
                0.0, last_epoch_spent - UNOBSERVED_REFILL_RATIO * rate * (seconds + EPOCH_MS / 1000)
            )
        customer.ceiling.estimate_shared_tokens(spent, last_epoch_spent, seconds)
        if now - self.counter_lost_at < customer.idle_timeout_ms:
            # The refill has not yet returned what the others spent before the counter lost its numbers.
            customer.ceiling.reset_shared_tokens()
        estimate = max(lower_bound, min(likely, max(customer.max_units, burst * customer.even_share)))
        # The second of the two totals moves the store by the change of the estimate.
        if not math.isnan(customer.first_estimate):
            customer.store = min(burst, customer.store + estimate - customer.first_estimate)
        else:
            own_units = customer.unreported_units + call.amount - call.reserved_units
            # The store here already has these units, and what the refill has returned of them since. Without
            # this limit they would be owed again, however long the customer was quiet or the counter down.
            own_units = min(own_units, max(0.0, burst - customer.store))
            customer.store = min(customer.store, max(0.0, estimate) - own_units)
            customer.recent_own_units, customer.recent_peer_units = max(0.0, call.amount), 0.0
        customer.first_estimate = estimate
        if call.kind is CallKind.READ_LAST_EPOCH and customer.has_reading:
            self.renew_lease(now, customer)

    def renew_lease(self, now: float, customer: Customer) -> None:
        """Size the lease: the store minus what the others will spend, at most their share of it."""
        rate, customer.lease_end = customer.plan.rate, now + LEASE_MS
        if customer.wants_period < int(now // WANTS_PERIOD_MS) - 1:
            customer.total_wants = 0.0  # too old to be used
        share = customer.compute_share()
        peer_units = (
            PEER_SPENDING_MARGIN_RATIO
            * customer.recent_peer_units
            / WANTS_PERIOD_MS
            * MIN_SCARCE_REFRESH_INTERVAL_MS
        )
        customer.tokens = customer.store - min(max(0.0, customer.store) * (1 - share), peer_units)
        load = min(
            1.0, (customer.recent_own_units + customer.recent_peer_units) / WANTS_PERIOD_MS * 1000 / rate
        )
        customer.rate_share = 1 - (1 - share) * load
        customer.fresh_until = now + max(
            MIN_REFRESH_INTERVAL_MS, customer.tokens / (MAX_SURGE_RATIO * rate) * 1000
        )
