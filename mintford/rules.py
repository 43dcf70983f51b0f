"""All decisions of one gateway. See mintford/interface.py for the types, events and actions.

A gateway depends on nothing but its settings, its seed, its events and the time `now` that comes with them.
Each section of the policy has its own file: quotas, load, attempts, shedding, guards. This file combines
them.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

from . import changes, handover
from . import interface as api
from .attempts import (
    MAX_RETRY_TOKENS,
    RETRY_TOKENS_PER_REQUEST,
    SPARE_RETRY_TOKENS_PER_REQUEST,
    Attempts,
    Request,
)
from .guards import EXPIRY_MARGIN_MS, NOT_RUN_OUTCOMES
from .interface import RefusalReason
from .load import DEFAULT_TIMEOUT_RATIO, Backend, Fleet
from .orders import Orders
from .quotas import LOW_STORE_RATIO, Quotas
from .records import Attempt
from .shedding import SPARE_CAPACITY_RATIO, LoopLagController, Shedding


class Gateway:
    """Decides for one gateway: `handle` takes an event and returns the actions that follow."""

    def __init__(self, settings: api.Settings, seed: int, max_customers: int | None = None) -> None:
        """`max_customers`: that are remembered at once; None for any number."""
        self.settings = settings
        chance = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.quotas = Quotas(settings, chance, max_customers)
        self.fleet = Fleet(settings, chance)
        self.attempts = Attempts(settings)
        self.loop_lag, self.orders = LoopLagController(settings, chance), Orders()
        self.shedding = Shedding(self.fleet, self.attempts, self.loop_lag, chance)
        self.started_at = -1.0  # the time of the first event
        self.admits_requests = True  # whether new requests are accepted
        self.count_avoided, self.get_early_refusal = self.fleet.count_avoided, self.loop_lag.get_early_refusal
        self.handlers: dict[type, Callable[[float, Any, api.Actions], object]] = {
            api.RequestArrived: self.on_request,
            api.AttemptEnded: self.on_attempt_ended,
            api.TimerFired: self.on_timer,
            api.CounterReplied: lambda now, event, out: self.resume_request(
                now, out, *self.quotas.on_counter_reply(now, event)
            ),
            api.RightsDecided: self.on_rights_decided,
            api.OrdersChanged: self.on_orders,
            api.PeerVerdictsChanged: lambda _, event, __: self.fleet.apply_peer_verdicts(event),
            api.BackendsChanged: self.on_list,
            api.ResponseStarted: self.on_response_started,
            api.ResponseStalled: self.on_response_stalled,
            api.LoopLagMeasured: lambda _, event, __: self.loop_lag.update(event.lag),
            api.AdmissionChanged: lambda _, event, __: setattr(
                self, "admits_requests", event.accepts_requests
            ),
            api.SettingsChanged: self.on_settings,
            api.GatewayShareChanged: self.on_gateway_share,
            api.HandoverReceived: lambda now, event, _: handover.apply(
                self.quotas, self.fleet, now, event.handover_state
            ),
            api.PlanChanged: lambda now, event, _: changes.apply_plan_change(self.quotas, now, event),
            api.RequestAbandoned: lambda _, event, __: self.attempts.requests.pop(event.request, None),
        }  # messages of peers change no decision

    @property
    def shed_level(self) -> float:
        """Above 0, requests of little worth are refused before they are read."""
        return self.loop_lag.shed_level

    def handle(self, now: float, event: api.Event) -> api.Actions:
        """Take an event at the time `now`, in milliseconds, and return the actions in their order."""
        out: api.Actions = []
        if self.started_at < 0:
            self.started_at = self.fleet.last_answer_at = now
            self.quotas.start(now)
            if self.settings.must_subscribe_backends:
                out.append(api.SubscribeBackends())
        if handler := self.handlers.get(type(event)):
            handler(now, event, out)
        return out

    # ---- events ----

    def on_list(self, now: float, event: api.BackendsChanged, out: api.Actions) -> None:
        """Apply a backend list. If the list could not be read, keep the old one and retry later."""
        if event.scope is api.ListScope.FAILED:
            return out.append(api.SetTimer(self.settings.rules.drain_grace, "follow"))
        self.fleet.update_list(now, event)

    def on_request(self, now: float, event: api.RequestArrived, out: api.Actions) -> None:
        """Decide on a new request, or let it wait for a reading of the counter."""
        remaining, customer = event.expires - now, self.quotas.get_customer(now, event, out)
        if customer is None:
            wait = self.settings.max_retry_after
            return out.append(api.Refuse(event.request, wait, RefusalReason.TOO_MANY_CUSTOMERS))
        kind = self.classes.get(event.request_class) or api.RequestClass(
            event.request_class, remaining, remaining
        )
        request = self.attempts.requests[event.request] = Request(
            event, kind, customer, now, self.attempts.estimate_elapsed(kind, remaining, event.is_repeat)
        )
        request.attempt_limit = self.settings.max_attempts
        # A gateway that accepts no new requests refuses them, so that clients can try another one at once.
        if not self.admits_requests:
            return self.attempts.finish(request, RefusalReason.NOT_ADMITTING, out)
        if self.orders.is_refused(request):
            return self.attempts.finish(request, RefusalReason.ORDERED, out)
        worth = kind.importance / max(self.loop_lag.top_importance, 1e-9)
        if self.quotas.refresh(now, customer, request.units, request.id, out, worth):
            self.attempts.schedule_check(now, request, now + 2 * self.settings.counter_timeout, out)
        else:
            self.admit_request(now, request, out)

    def on_settings(self, now: float, event: api.SettingsChanged, out: api.Actions) -> None:
        """Apply new settings to all sections of the policy."""
        changes.apply_settings(self.quotas, now, self.settings, event.settings)
        self.settings = event.settings
        self.classes = {c.name: c for c in event.settings.classes}
        self.attempts.settings = event.settings
        self.loop_lag.apply_settings(event.settings)
        self.shedding.apply_settings()
        self.fleet.apply_settings(now, event.settings)

    def on_gateway_share(self, now: float, event: api.GatewayShareChanged, out: api.Actions) -> None:
        """Change this process's share of the gateway, and hand over the state that it gives up."""
        out.append(api.SendHandover(handover.split_off(self.quotas, self.fleet, now, event.share)))

    def on_orders(self, now: float, event: api.OrdersChanged, out: api.Actions) -> None:
        """Apply new orders of operators."""
        self.orders.current, self.fleet.excluded_backends = event, event.excluded_backends
        self.fleet.update_list(now, api.BackendsChanged(api.ListScope.CHANGES, ()))

    def on_rights_decided(self, now: float, event: api.RightsDecided, out: api.Actions) -> None:
        """Continue a request that waited for rights."""
        if request := self.attempts.requests.get(event.request):
            self.orders.apply_decision(request, event.granted)
        self.resume_request(now, out, event.request, False)

    def resume_request(self, now: float, out: api.Actions, request_id: str, counted: bool) -> None:
        """Decide on a request that has waited for a reading or for rights."""
        request = self.attempts.requests.get(request_id)
        if request and not request.attempts:
            self.admit_request(now, request, out, counted)

    def on_timer(self, now: float, event: api.TimerFired, out: api.Actions) -> None:
        """Subscribe to the backend list again, or check the requests that are due."""
        if event.token == "follow":
            return out.append(api.SubscribeBackends())
        for request in self.attempts.pop_due(now, event.token):
            self.check_request(now, request, out)

    def on_response_started(self, now: float, event: api.ResponseStarted, out: api.Actions) -> None:
        """Commit to this attempt, as the first bytes of its response are being sent to the client.

        The request gets no other attempt and no other final answer. The latency is measured here, because the
        time for the rest depends on the client too and says nothing about the backend. A response that is
        held is not final: the attempt is no longer overdue, but may fail like any other. It becomes final by
        a second event, when it is sent to the client after all.
        """
        attempt = self.attempts.in_flight.get((event.request, event.attempt))
        if attempt is None:
            return
        request = attempt.request
        if not attempt.response_started:
            attempt.response_started = True
            elapsed = max(1.0, now - attempt.sent_at - self.loop_lag.lag)
            timeout = self.compute_timeout(now, attempt)
            self.fleet.record_outcome(now, attempt.backend, request.marks, api.Outcome.OK, elapsed, timeout)
        if not event.is_held and event.request in self.attempts.requests:
            del self.attempts.requests[event.request]
            self.attempts.cancel_all(request, out, except_number=event.attempt)

    def on_response_stalled(self, now: float, event: api.ResponseStalled, out: api.Actions) -> None:
        """Treat an attempt as overdue, as its held response has stopped to come."""
        attempt = self.attempts.in_flight.get((event.request, event.attempt))
        if attempt is not None and event.request in self.attempts.requests:
            attempt.response_stalled = True
            self.check_request(now, attempt.request, out)

    def on_attempt_ended(self, now: float, event: api.AttemptEnded, out: api.Actions) -> None:
        """Record the outcome of an attempt, and finish its request or start another attempt."""
        attempt = self.attempts.remove_attempt(event)
        if attempt is None:
            return
        request, has_not_run = attempt.request, event.outcome in NOT_RUN_OUTCOMES
        elapsed = max(1.0, now - attempt.sent_at - self.loop_lag.lag)
        timeout = self.compute_timeout(now, attempt)
        if not attempt.response_started or event.outcome is api.Outcome.RESET:
            self.fleet.record_outcome(now, attempt.backend, request.marks, event.outcome, elapsed, timeout)
        if event.outcome is api.Outcome.OK:
            self.quotas.settle(now, request.customer, request.charged_units, event.settled_units, out)
            request.charged_units = 0.0  # a request is settled only once
        if has_not_run:
            request.possibly_run.remove(attempt)
        if event.request not in self.attempts.requests:
            if attempt.response_started:
                request.possibly_run.clear()  # breaks the reference cycle, as below
            return
        if event.finished or event.outcome is api.Outcome.OK:
            del self.attempts.requests[request.id]
            self.attempts.cancel_all(request, out)
            if not request.live_attempts:
                # Breaks the reference cycle of the request and its attempts. Otherwise they would stay in
                # memory until the garbage collector runs.
                request.possibly_run.clear()
        elif not request.live_attempts and not self.send_another(
            now, request, out, price=0.0 if has_not_run else 1.0
        ):
            self.attempts.finish(request, RefusalReason.ATTEMPTS_FAILED, out)

    # ---- admission and attempts ----

    def admit_request(self, now: float, request: Request, out: api.Actions, counted: bool = False) -> None:
        """Send the request if quota, ceiling, orders and load allow it, else refuse it."""
        if self.orders.is_refused(request):  # by an order that came while it waited
            return self.attempts.finish(request, RefusalReason.ORDERED, out)
        record, kind, plan, units = request.customer, request.kind, request.customer.plan, request.units
        counted = counted or request.has_rights
        shortage = units - record.tokens if plan.rate else 0.0  # 0 or less if the lease can pay
        exceeds_open_limit = bool(plan.open_limit) and record.open_attempts + 1 > max(
            1.0, plan.open_limit * record.rate_share
        )
        expected = self.shedding.estimate_latency(now)
        has_spare_capacity = expected / max(kind.latency_target, 1.0) < SPARE_CAPACITY_RATIO
        added_tokens = SPARE_RETRY_TOKENS_PER_REQUEST if has_spare_capacity else RETRY_TOKENS_PER_REQUEST
        self.attempts.retry_tokens = min(MAX_RETRY_TOKENS, self.attempts.retry_tokens + added_tokens)
        earned_ratio = (
            plan.overage_earnings - plan.overage_cost if shortage > 0 or exceeds_open_limit else 1.0
        )
        over_ceiling = bool(plan.ceiling_rate) and not record.ceiling.can_pay(units, counted)
        # The allocators of rights know only the ceilings in the settings. A ceiling with other terms is
        # enforced by this gateway's own part alone.
        needs_rights = (
            over_ceiling
            and record.ceiling.uses_rights
            and not request.rights_requested
            and plan in self.settings.plans
        )
        lacks_ceiling = over_ceiling and not needs_rights
        reason = self.find_refusal_reason(now, request, expected, earned_ratio, lacks_ceiling)
        filter_backend = request.can_send_to if request.excluded_pools else None
        backend = None if reason else self.fleet.choose_backend(now, request.marks, filter_backend)
        if backend is None:
            wait = (
                shortage * 1000 / max(plan.rate * record.rate_share, 1e-9)
                if shortage > 0
                else kind.latency_target * DEFAULT_TIMEOUT_RATIO
            )
            if record.unreported_units < 0:
                self.quotas.report_spending(now, record, out)
            return self.attempts.finish(request, reason or RefusalReason.NO_BACKEND, out, wait)
        if (required_limits := self.orders.list_required_limits(request, backend)) or needs_rights:
            request.rights_requested = request.rights_requested or needs_rights
            request.pending_limits = required_limits
            self.attempts.schedule_check(now, request, now + 2 * self.settings.counter_timeout, out)
            return out.append(
                api.SpendRights(
                    request.id, plan.name if needs_rights else "", record.key, units, required_limits
                )
            )
        request.charged_units = self.quotas.take(record, units, shortage <= 0, counted)
        self.quotas.report_spending(now, record, out)
        self.send_attempt(now, request, backend, out)

    def find_refusal_reason(
        self, now: float, request: Request, expected: float, earned_ratio: float, lacks_ceiling: bool
    ) -> RefusalReason | None:
        """Why a request is refused before its first attempt, or None if it may be sent.

        `expected`: the expected latency in ms; `earned_ratio`: the net part of its worth that it earns.
        Refused early are requests that would be answered too late, or would earn less than they cost.
        """
        if lacks_ceiling:
            return RefusalReason.CEILING
        if earned_ratio <= 0:
            return RefusalReason.QUOTA
        if request.pending_limits:
            return RefusalReason.RIGHTS
        record, kind, burst = request.customer, request.kind, request.customer.plan.burst
        # A request that is already late earns almost nothing. It may use only spare capacity and quota.
        is_late = now + self.fleet.typical_latency > request.first_target_at
        has_spare_capacity = (
            expected / max(kind.latency_target, 1.0) < SPARE_CAPACITY_RATIO
            and earned_ratio == 1.0
            and record.store > LOW_STORE_RATIO * burst
        )
        if is_late and not has_spare_capacity:
            return RefusalReason.LATE
        reserved_units = (
            self.shedding.compute_reserved_ratio(kind) * burst
            if record.is_store_known() and earned_ratio == 1.0
            else 0.0
        )
        if reserved_units > 0 and record.store - request.units < reserved_units:
            return RefusalReason.RESERVED
        if self.shedding.is_too_late(now, kind, earned_ratio, request.target_at, expected):
            return RefusalReason.OVERLOAD
        return None

    def send_attempt(self, now: float, request: Request, backend: Backend, out: api.Actions) -> None:
        """Start an attempt and schedule the check for the case that it takes too long."""
        attempt = self.attempts.send(now, request, backend, out)
        self.attempts.schedule_check(now, request, now + self.compute_timeout(now, attempt), out)

    def compute_timeout(self, now: float, attempt: Attempt) -> float:
        """How many milliseconds an attempt may take.

        The lag of this gateway's own loop is added, because an answer that waits here to be read is not late
        and its backend is not at fault.
        """
        request = attempt.request
        return 2 * self.loop_lag.lag + self.fleet.compute_timeout(
            now, attempt.backend, request.marks, request.kind.latency_target
        )

    def check_request(self, now: float, request: Request, out: api.Actions) -> None:
        """Handle a request that is about to expire, or that has waited longer than usual."""
        if now >= request.expires - EXPIRY_MARGIN_MS - 1:
            # No request stays open beyond this.
            return self.attempts.finish(request, RefusalReason.EXPIRED, out)
        if not request.attempts:
            return self.admit_request(now, request, out)  # the counter has not answered in time
        if self.attempts.is_response_coming(request):
            return self.attempts.schedule_check(now, request, math.inf, out)
        is_repeatable = len(request.live_attempts) == 1 and request.kind.effect is not api.Effect.UNSAFE
        if is_repeatable and not self.settings.may_duplicate:
            return self.move_overdue_attempt(now, request, out)
        self.attempts.schedule_check(now, request, math.inf, out)
        if is_repeatable:  # an attempt that takes far longer than usual gets a duplicate
            self.send_another(now, request, out, price=1.0)

    def move_overdue_attempt(self, now: float, request: Request, out: api.Actions) -> None:
        """Cancel an attempt that takes far longer than usual. Its outcome starts the next attempt.

        It goes on if no other backend can take the request. Otherwise the client would get a refusal in place
        of an answer that is merely late.
        """
        request.excluded_pools = self.orders.current.limited_pools
        if not self.can_attempt_again(now, request, price=1.0):
            self.attempts.schedule_check(now, request, math.inf, out)
        elif self.fleet.has_warm_backend(now, request.can_send_to):
            self.attempts.schedule_check(now, request, math.inf, out)
            self.attempts.cancel_all(request, out)
        else:
            (number,) = request.live_attempts
            elapsed = now - self.attempts.in_flight[request.id, number].sent_at
            self.attempts.schedule_check(now, request, now + max(1.0, elapsed), out)

    def can_attempt_again(self, now: float, request: Request, price: float) -> bool:
        """Whether orders, time, the limit of attempts and the retry budget permit a further attempt."""
        if not self.orders.permits_further_attempt(request):
            return False
        max_count = min(request.attempt_limit, self.settings.max_attempts)
        in_time = now + self.fleet.typical_latency < request.target_at
        return in_time and request.attempts < max_count and self.attempts.retry_tokens >= price

    def send_another(self, now: float, request: Request, out: api.Actions, price: float) -> bool:
        """Send a further attempt if it can be in time and within the retry budget. Return if it was sent."""
        backend = None
        if self.can_attempt_again(now, request, price):
            request.excluded_pools = self.orders.current.limited_pools
            backend = self.fleet.choose_backend(now, request.marks, request.can_send_to)
        if backend:
            self.attempts.retry_tokens -= price
            self.send_attempt(now, request, backend, out)
        return backend is not None
