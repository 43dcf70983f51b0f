"""Every decision of one mintford gateway. Types, events and actions: see mintford/interface.py.

A gateway knows its settings, its seed, the `now` it is handed and its own events; nothing else. Each section
of the policy is a file: quotas, load and choice, attempts, shedding, guards of the rules. Here they meet.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

from . import changes, handover
from . import interface as api
from .attempts import RETRY_CALM, RETRY_SHARE, RETRY_STORE, Attempts, Request
from .guards import END_MS, NEVER_RAN
from .load import PATIENCE, Backend, Fleet
from .orders import Orders
from .quotas import PRESSED, Quotas
from .records import Attempt
from .shedding import CALM, OwnStrain, Shedding


class Gateway:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        chance = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.quotas = Quotas(settings, chance)
        self.fleet = Fleet(settings, chance)
        self.attempts = Attempts(settings)
        self.own, self.orders = OwnStrain(settings, chance), Orders()
        self.shedding = Shedding(self.fleet, self.attempts, self.own, chance)
        self.created = -1.0  # the time of the first event
        self.door_open = True  # new requests are taken
        self.avoided, self.turn_away = self.fleet.avoided, self.own.turn_away
        self.handlers: dict[type, Callable[[float, Any, api.Actions], object]] = {
            api.RequestArrived: self.on_request,
            api.AttemptEnded: self.on_ended,
            api.TimerFired: self.on_timer,
            api.CounterReplied: lambda now, event, out: self.go_on(
                now, out, *self.quotas.counted(now, event)
            ),
            api.RightsDecided: self.on_granted,
            api.OrdersChanged: self.on_orders,
            api.PeerVerdictsChanged: lambda _, event, __: self.fleet.heard(event),
            api.BackendsChanged: self.on_list,
            api.ResponseStarted: self.on_began,
            api.LoopLagMeasured: lambda _, event, __: self.own.lagged(event.lag),
            api.AdmissionChanged: lambda _, event, __: setattr(self, "door_open", event.accepts_requests),
            api.SettingsChanged: self.on_settings,
            api.GatewayShareChanged: self.on_part,
            api.HandoverReceived: lambda now, event, _: handover.apply(
                self.quotas, self.fleet, now, event.handover_state
            ),
            api.PlanChanged: lambda now, event, _: changes.take_in(self.quotas, now, event),
            api.RequestAbandoned: lambda _, event, __: self.attempts.requests.pop(event.request, None),
        }  # peers' messages change no decision

    @property
    def level(self) -> float:
        """Above 0: requests of little worth are turned away at the door."""
        return self.own.level

    def handle(self, now: float, event: api.Event) -> api.Actions:
        out: api.Actions = []
        if self.created < 0:
            self.created = self.fleet.answered_at = now
            self.quotas.begin(now)
            if self.settings.must_subscribe_backends:
                out.append(api.SubscribeBackends())
        if handler := self.handlers.get(type(event)):
            handler(now, event, out)
        return out

    # ---- events ----

    def on_list(self, now: float, event: api.BackendsChanged, out: api.Actions) -> None:
        if event.scope is api.ListScope.FAILED:  # the old list stays
            return out.append(api.SetTimer(self.settings.rules.drain_grace, "follow"))
        self.fleet.listed(now, event)

    def on_request(self, now: float, event: api.RequestArrived, out: api.Actions) -> None:
        left, c = event.expires - now, self.quotas.customer(now, event, out)
        kind = self.classes.get(event.request_class) or api.RequestClass(event.request_class, left, left)
        request = self.attempts.requests[event.request] = Request(
            event, kind, c, now, self.attempts.gone(kind, left, event.is_repeat)
        )
        request.most = self.settings.max_attempts
        # Where the door is shut clients are to ask another gateway, which a refusal lets them do at once.
        if not self.door_open or self.orders.refuses(event):
            return self.attempts.finish(request, out)
        worth = kind.importance / max(self.own.top_importance, 1e-9)
        if self.quotas.refresh(now, c, request.units, request.id, out, worth):
            self.attempts.watch(now, request, now + 2 * self.settings.counter_timeout, out)
        else:
            self.admit(now, request, out)

    def on_settings(self, now: float, event: api.SettingsChanged, out: api.Actions) -> None:
        changes.retune(self.quotas, now, self.settings, event.settings)
        self.settings = event.settings
        self.classes = {c.name: c for c in event.settings.classes}
        self.attempts.settings = event.settings
        self.own.retune(event.settings)
        self.shedding.retune()
        self.fleet.retune(now, event.settings)

    def on_part(self, now: float, event: api.GatewayShareChanged, out: api.Actions) -> None:
        out.append(api.SendHandover(handover.take_part(self.quotas, self.fleet, now, event.share)))

    def on_orders(self, now: float, event: api.OrdersChanged, out: api.Actions) -> None:
        self.orders.now, self.fleet.excluded_backends = event, event.excluded_backends
        self.fleet.listed(now, api.BackendsChanged(api.ListScope.CHANGES, ()))

    def on_granted(self, now: float, event: api.RightsDecided, out: api.Actions) -> None:
        if request := self.attempts.requests.get(event.request):
            self.orders.answered(request, event.granted)
        self.go_on(now, out, event.request, False)

    def go_on(self, now: float, out: api.Actions, waiting: str, counted: bool) -> None:
        """With a request that has waited for a reading, or for a right."""
        request = self.attempts.requests.get(waiting)
        if request and not request.attempts:
            self.admit(now, request, out, counted)

    def on_timer(self, now: float, event: api.TimerFired, out: api.Actions) -> None:
        if event.token == "follow":
            return out.append(api.SubscribeBackends())
        for request in self.attempts.due(now, event.token):
            self.check(now, request, out)

    def on_began(self, now: float, event: api.ResponseStarted, out: api.Actions) -> None:
        """The first bytes of a value are on their way: no other attempt, and no other end of the request."""
        # Danger: how long the rest takes is also the client's doing, and says nothing of the backend.
        attempt = self.attempts.out.get((event.request, event.attempt))
        if attempt is None or attempt.begun:
            return
        attempt.begun, request = True, attempt.request
        lag, patience = max(1.0, now - attempt.sent_at - self.own.lag), self.patience(now, attempt)
        self.fleet.judge(now, attempt.backend, request.marks, api.Outcome.OK, lag, patience)
        if self.attempts.requests.pop(event.request, None):
            self.attempts.cancel_all(request, out, but=event.attempt)

    def on_ended(self, now: float, event: api.AttemptEnded, out: api.Actions) -> None:
        attempt = self.attempts.ended(event)
        if attempt is None:
            return
        request, never_ran = attempt.request, event.outcome in NEVER_RAN
        lag = max(1.0, now - attempt.sent_at - self.own.lag)
        patience = self.patience(now, attempt)
        if not attempt.begun or event.outcome is api.Outcome.RESET:
            self.fleet.judge(now, attempt.backend, request.marks, event.outcome, lag, patience)
        if event.outcome is api.Outcome.OK:
            self.quotas.settle(now, request.customer, request.charged, event.settled_units, out)
            request.charged = 0.0  # once only
        if never_ran:
            request.ran.remove(attempt)
        if event.request not in self.attempts.requests:
            if attempt.begun:
                request.ran.clear()  # as below
            return
        if event.finished or event.outcome is api.Outcome.OK:
            del self.attempts.requests[request.id]
            self.attempts.cancel_all(request, out)
            if not request.live:
                request.ran.clear()  # else it and its attempts would wait for the collector
        elif not request.live and not self.another(now, request, out, price=0.0 if never_ran else 1.0):
            self.attempts.finish(request, out)

    # ---- the way of a request ----

    def admit(self, now: float, request: Request, out: api.Actions, counted: bool = False) -> None:
        """Send the request on if the lease, the guards and the backends let it, else refuse it."""
        c, kind, plan, units = request.customer, request.kind, request.customer.plan, request.units
        counted = counted or request.right
        short = units - c.tokens if plan.rate else 0.0  # 0 or less: the lease can pay
        crowded = bool(plan.open_limit) and c.out + 1 > max(1.0, plan.open_limit * c.part)
        strain = (expected := self.shedding.time_to_answer(now)) / max(kind.latency_target, 1.0)
        earned = RETRY_CALM if strain < CALM else RETRY_SHARE
        self.attempts.retries = min(RETRY_STORE, self.attempts.retries + earned)
        earns = plan.overage_earnings - plan.overage_cost if short > 0 or crowded else 1.0
        over_ceiling = bool(plan.ceiling_rate) and not c.ceiling.holds(units, counted)
        # Danger: allocators go by the ceilings of the settings. Other terms are kept by the even part alone.
        ask = over_ceiling and c.ceiling.rights and not request.asked and plan in self.settings.plans
        # Refuse early what would be answered too late, and what earns less than it costs.
        refused = (over_ceiling and not ask) or earns <= 0 or bool(request.owing)
        # What is late already earns next to nothing: it may take what nobody else wants, and no more.
        late = now + self.fleet.typical > request.first_aim_at
        spare = strain < CALM and earns == 1.0 and c.store > PRESSED * plan.burst
        kept = self.shedding.kept(kind) * plan.burst if c.followed() and earns == 1.0 else 0.0
        refused = refused or (late and not spare) or (kept > 0 and c.store - units < kept)
        refused = refused or self.shedding.too_late(now, kind, earns, request.aim_at, expected)
        may_go = request.may_go if request.shut else None
        backend = None if refused else self.fleet.pick(now, request.marks, may_go)
        if backend is None:
            wait = (
                short * 1000 / max(plan.rate * c.part, 1e-9) if short > 0 else kind.latency_target * PATIENCE
            )
            if c.unsaid < 0:
                self.quotas.tell(now, c, out)
            return self.attempts.finish(request, out, wait)
        if (owed := self.orders.owed(request, backend)) or ask:
            request.asked, request.owing = request.asked or ask, owed
            self.attempts.watch(now, request, now + 2 * self.settings.counter_timeout, out)
            return out.append(api.SpendRights(request.id, plan.name if ask else "", c.key, units, owed))
        request.charged = self.quotas.take(c, units, short <= 0, counted)
        self.quotas.tell(now, c, out)
        self.send(now, request, backend, out)

    def send(self, now: float, request: Request, b: Backend, out: api.Actions) -> None:
        attempt = self.attempts.send(now, request, b, out)
        self.attempts.watch(now, request, now + self.patience(now, attempt), out)

    def patience(self, now: float, attempt: Attempt) -> float:
        # Danger: an answer that waits here to be read is not late, and its backend not to blame.
        request = attempt.request
        return 2 * self.own.lag + self.fleet.patience(
            now, attempt.backend, request.marks, request.kind.latency_target
        )

    def check(self, now: float, request: Request, out: api.Actions) -> None:
        """A request's time is up, or it has waited for longer than usual."""
        if now >= request.expires - END_MS - 1:
            return self.attempts.finish(request, out)  # every request held ends here at the latest
        if not request.attempts:
            return self.admit(now, request, out)  # the counter is silent
        self.attempts.watch(now, request, math.inf, out)
        # An attempt out far longer than usual is doubled, or called off and its outcome brings the next.
        if len(request.live) == 1 and request.kind.effect is not api.Effect.UNSAFE:
            if self.settings.may_duplicate:
                self.another(now, request, out, price=1.0)
            elif self.attempts.retries >= 1 and now + self.fleet.typical < request.aim_at:
                self.attempts.cancel_all(request, out)

    def another(self, now: float, request: Request, out: api.Actions, price: float) -> bool:
        """Send a further attempt if one can be in time and in the budget; what never ran is not charged."""
        most = min(request.most, self.settings.max_attempts)
        in_time = now + self.fleet.typical < request.aim_at and request.attempts < most
        backend = None
        if in_time and self.attempts.retries >= price:
            request.shut = self.orders.now.limited_pools
            backend = self.fleet.pick(now, request.marks, request.may_go)
        if backend:
            self.attempts.retries -= price
            self.send(now, request, backend, out)
        return backend is not None
