"""Every decision of one mintford gateway. Types, events and actions: see mintford/interface.py.

A gateway knows its settings, its seed, the `now` it is handed and its own events; nothing else.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from . import interface as api

LEASE_MS = 15_000.0  # the design's lease
REFRESH_MS = 500.0  # between refreshes at least: shares follow a shift, calls stay under requests
SPARSE = 1.5  # of the largest requests: an even part of the burst under this is too thin to spend locally
WANTS_MS = 3_000.0  # memory of the wants
FRESH_MS, SURGE = 100.0, 5.0  # a sparse reading stands until so many quotas at once could spend what is left
ROOM_STEP, ROOM_CUT, ROOM_LEAST = 0.005, 0.9, 0.1  # how refreshes thin out as calls fail, and come back
END_MS = 50.0  # a request is ended this long before it expires; small beside any aim
TYPICAL_OVER = 40.0  # answers that the typical latency is the mean of
RECENT, SLOW, BAD = 0.12, 0.15, 0.3  # weight of one answer in the recent latency and a backend's two marks
MARK_MS, MARK_MEETINGS = 4_000.0, 5.0  # a mark fades to a third in this time or in so many usual gaps
ERROR_COST = 8.0  # how much failing always raises a backend's cost: clearly behind any healthy peer
CHANCE = 0.25  # how far chance spreads the choice: half the cost is chosen sixteen times as often
SUBSET, COVER = 8, 24  # backends that a gateway of a large fleet uses; gateways that each backend needs
DRAWN = 12  # candidates of one choice: the work of a choice does not grow with the fleet
NOISE = [(-math.log(1 - (i + 0.5) / 1024)) ** CHANCE for i in range(1024)]  # quantiles of the chance in it
FADED_MS = 25.0  # a mark's fading is looked at again after this: under 1% of it
WHEEL_MS = 4.0  # requests due within this share one timer: small beside any patience
RETRY_SHARE, RETRY_CALM, RETRY_STORE = 0.15, 0.6, 10.0  # extra attempts earned a request; when calm; the most
PATIENCE = 0.4  # of the aim: how long to wait before anything is known
LONGEST, SHORTEST = 9.0, 2.0  # typical latencies: the most a sample counts for; a bad backend's patience
SHED_AT, SHED_BAND, SHED_SPAN = 0.6, 0.5, 0.25  # of the aim: refusals begin; to all; earlier for low worth
FLOOR_OUT, LEAST_OUT = 3.0, 2.0  # always allowed out: a backend over all gateways; too few to tell anything
RATE_MS = 800.0  # memory of the rate of answers: steady, yet quick to follow a shift
CALM = 0.1  # of the aim: latency under which capacity counts as clearly spare
LAG_AIM, LAG_WEIGHT = 20.0, 0.5  # of the gateway's own loop: more than this is strain; weight of one look
LOOK_MS = 20.0  # about how often it is looked at
LEVEL_SUM, LEVEL_NOW, LEVEL_STEP = 0.02, 0.12, 3.0  # gains on the excess, summed up by look and now; its most
LEVEL_MOST = 0.95
NEVER_RAN = {api.Outcome.FULL, api.Outcome.CONNECT, api.Outcome.IGNORED}
CALLED_OFF = {api.Outcome.TIMED_OUT, api.Outcome.CANCELLED}


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


class Backend:
    """One backend as this gateway has seen it."""

    def __init__(self, entry: api.BackendEntry, rules: api.SafetyRules) -> None:
        self.id, self.out, self.started, self.rules = entry.backend, 0, -1.0, rules
        self.slow, self.bad, self.faded_at = 0.0, 0.0, -math.inf  # two marks as they stood at that time
        self.update(entry)

    def update(self, entry: api.BackendEntry) -> None:
        if entry.started != self.started:  # a new process: what was seen of the old one says nothing
            self.marks: dict[str, tuple[float, float]] = {}  # level and when it was set
            self.faded_at = -math.inf
        self.zone, self.cell, self.started = entry.zone, entry.cell, entry.started
        self.ready = entry.state is api.BackendState.READY

    def warmth(self, now: float) -> float:
        """The least part of its capacity that it surely has."""
        age = (now - self.started) / max(1.0, self.rules.warm_within) if self.started > 0 else 1.0
        return min(1.0, self.rules.start_capacity + (1 - self.rules.start_capacity) * age)


class Request:
    """One request that is owed a final answer."""

    def __init__(self, event: api.RequestArrived, kind: api.RequestClass, c: Customer, now: float) -> None:
        self.id, self.kind, self.customer, self.units = event.request, kind, c, event.units
        self.expires, self.aim_at = event.expires, min(event.expires, now + kind.aim)
        self.attempts, self.check_at = 0, math.inf
        self.marks = "all", "class " + kind.name, "plan " + c.plan.name  # of a backend that this one bears on
        self.live: set[int] = set()  # numbers of the attempts out
        self.tried: set[int] = set()
        self.ran: list[Attempt] = []  # attempts that may have run or are out, the earliest first


class Attempt:  # of a request at a backend
    __slots__ = ("backend", "lost", "over", "request", "sent_at")

    def __init__(self, request: Request, backend: Backend, sent_at: float) -> None:
        self.request, self.backend, self.sent_at = request, backend, sent_at
        self.over = self.lost = False  # lost: out for so long that it waits in no queue any more


class Gateway:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        self.top_importance = max((c.importance for c in settings.classes), default=1.0)
        self.customers: dict[str, Customer] = {}
        self.calls: dict[str, deque[tuple[str, int, float, str]]] = {}  # customer, period, added, request
        self.backends: dict[int, Backend] = {}
        self.subset: list[Backend] = []  # the backends that this gateway uses
        self.warm: list[Backend] = []  # of these, those that are surely warm
        self.ring: list[Backend] = []  # these twice, so that a draw may go round the end
        self.warm_at = math.inf  # when the next of them will be
        self.requests: dict[str, Request] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}  # out, the oldest first
        self.young: deque[Attempt] = deque()  # likewise, not yet known to be lost; some are over
        self.lost = 0  # attempts out that are
        self.wheel: dict[int, list[Request]] = {}  # requests to look at, by the tick of their timer
        self.created = -1.0  # the time of the first event
        self.typical, self.recent, self.recent_at = 0.0, 0.0, 0.0  # mean latency of the answers, and lately
        self.samples, self.rate, self.answered_at = 0.0, 0.0, 0.0  # answers; a second
        self.counter_room = 1.0  # the part of refreshes that a crowded counter leaves room for
        self.lag, self.strain = 0.0, 0.0  # own lag of late; its excess, summed up
        self.level = 0.0  # how much a request must be worth to be let in
        self.retries, self.tidied_at, self.floor = RETRY_STORE, 0.0, 0.0
        self.handlers: dict[type, Callable[[float, Any, api.Actions], object]] = {
            api.RequestArrived: self.on_request, api.AttemptEnded: self.on_ended,
            api.TimerFired: self.on_timer, api.CounterReplied: self.on_counted,
            api.BackendsChanged: self.on_list, api.LoopLagged: self.on_lag,
            api.RequestLapsed: lambda _, event, __: self.requests.pop(event.request, None),
        }  # peers' messages and begun answers change no decision

    def handle(self, now: float, event: api.Event) -> api.Actions:
        out: api.Actions = []
        if self.created < 0:
            self.created = self.tidied_at = self.answered_at = now
            if self.settings.must_ask_for_list:
                out.append(api.FollowList())
        if handler := self.handlers.get(type(event)):
            handler(now, event, out)
        return out

    # ---- leases and buckets ----

    def fill(self, now: float, c: Customer) -> None:
        if now > c.lease_end:
            c.part, c.heard = c.even, False  # a lease unheard: the safe capacity is the even share
        passed, c.filled_at = (now - c.filled_at) / 1000, now
        most = max(self.settings.most_units, c.plan.burst * c.part)
        c.tokens = min(most, c.tokens + passed * c.plan.rate * c.part)
        c.ceiling = min(c.plan.ceiling_burst * c.even, c.ceiling + passed * c.plan.ceiling_rate * c.even)

    def refresh(self, now: float, request: Request, out: api.Actions) -> bool:
        """Add the units asked since the last call, refused ones too, and so learn of all that were asked.

        A sparse lease is refreshed by the request that needs it, which waits for the reply (true): a local
        bucket would be empty, or full of units that a hundred other gateways hold too.
        """
        c = request.customer
        c.unsaid += request.units
        if now < c.fresh_until or not self.settings.may_count or not c.plan.rate:
            return False
        said, c.unsaid = c.unsaid / self.counter_room, 0.0
        if self.random.random() > self.counter_room:
            return False  # crowded: those that do add, add for this one too, so that totals stay true
        c.fresh_until = now + (FRESH_MS if c.sparse else REFRESH_MS)
        self.count(c, int(now // c.period_ms), said, out, request.id if c.sparse else "")
        if c.sparse:
            self.watch(now, request, now + 2 * self.settings.count_wait, out)
        return c.sparse

    def count(self, c: Customer, period: int, amount: float, out: api.Actions, request: str) -> None:
        name = f"{period}:" + hashlib.blake2b(c.key.encode(), digest_size=16).hexdigest()  # keys may be long
        self.calls.setdefault(name, deque()).append((c.key, period, round(amount, 3), request))
        out.append(api.Count(name, round(amount, 3), 4 * c.period_ms))

    def on_counted(self, now: float, event: api.CounterReplied, out: api.Actions) -> None:
        waiting = self.calls.get(event.name)
        if not waiting:
            return
        key, period, amount, held = waiting.popleft()
        if not waiting:
            del self.calls[event.name]
        # Danger: a crowded counter fails everybody's calls, and their number keeps it crowded.
        ok, room = event.outcome is api.Outcome.OK, self.counter_room
        self.counter_room = min(1.0, room + ROOM_STEP) if ok else max(ROOM_LEAST, room * ROOM_CUT)
        c, request = self.customers.get(key), self.requests.get(held)
        if c and ok and self.renew(now, c, period, amount, event.reading, held, out):
            return
        if c and event.outcome in NEVER_RAN:
            c.unsaid += amount
        if request and not request.attempts:
            self.admit(now, request, out)

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

    # ---- its own strain ----

    def on_lag(self, now: float, event: api.LoopLagged, out: api.Actions) -> None:
        """Raise the level while the loop lags, lower it while it does not: by sum and by present excess."""
        looks = max(1.0, event.lag / LOOK_MS)  # that were missed: a slow loop must not slow this down too
        self.lag += (event.lag - self.lag) * (1 - (1 - LAG_WEIGHT) ** looks)
        excess = min(LEVEL_STEP, self.lag / LAG_AIM - 1)
        self.strain = min(LEVEL_MOST, max(0.0, self.strain + LEVEL_SUM * excess * min(looks, LEVEL_STEP)))
        self.level = min(LEVEL_MOST, max(0.0, self.strain + LEVEL_NOW * excess)) if self.strain else 0.0

    def turn_away(self, request_class: str) -> float | None:
        """The time to come back for a request that is refused at the door, None for one that is let in.

        Danger: where the core itself is the bottleneck, queues form in its sockets, unseen by anything that
        counts what is out, and every request is late. What is refused must cost far less than what is
        served, so it is judged by its class alone, before it is read whole; the least worth goes first.
        """
        kind = self.classes.get(request_class)
        if not self.level or kind is None:
            return None
        worth = kind.importance / self.top_importance if self.top_importance else 1.0
        if (worth + self.random.random()) / 2 >= self.level:
            return None
        return min(kind.aim * PATIENCE, self.settings.max_retry_after)

    # ---- admission ----

    def on_request(self, now: float, event: api.RequestArrived, out: api.Actions) -> None:
        if now - self.tidied_at > LEASE_MS:  # forget idle customers
            kept = {k: c for k, c in self.customers.items() if c.out or now - c.filled_at <= c.keep_ms}
            self.customers, self.tidied_at = kept, now
        left, c = event.expires - now, self.customers.get(event.customer)
        kind = self.classes.get(event.request_class) or api.RequestClass(event.request_class, left, left)
        if c is None:
            plan = self.plans.get(event.plan) or api.Plan(event.plan)  # an unknown plan has no quota to keep
            c = Customer(event.customer, plan, event.spread, now, self.created, self.settings.most_units)
            self.customers[event.customer] = c
        self.fill(now, c)
        request = self.requests[event.request] = Request(event, kind, c, now)
        if not self.refresh(now, request, out):
            self.admit(now, request, out)

    def admit(self, now: float, request: Request, out: api.Actions) -> None:
        """Send the request on if the lease, the guards and the backends let it, else refuse it."""
        c, kind, plan, units = request.customer, request.kind, request.customer.plan, request.units
        short = units - c.tokens if plan.rate else 0.0
        if c.sparse and c.heard:  # the grant as a fraction of all wants
            short = 0.0 if self.random.random() < c.chance else units
        crowded = bool(plan.open_limit) and c.out + 1 > max(1.0, plan.open_limit * c.part)
        strain = (expected := self.time_to_answer(now)) / max(kind.aim, 1.0)
        self.retries = min(RETRY_STORE, self.retries + (RETRY_CALM if strain < CALM else RETRY_SHARE))
        spare = strain < CALM and plan.beyond_earns > plan.beyond_costs
        over_ceiling = bool(plan.ceiling_rate) and c.ceiling < units
        beyond = over_ceiling or ((short > 0 or crowded) and not spare)
        # Refuse early what would be answered too late; a class worth more holds out longer.
        lesser = 1 - kind.importance / self.top_importance if self.top_importance else 0.0
        band = SHED_BAND * self.random.random() if self.floor < LEAST_OUT else 0.0
        too_late = strain > SHED_AT * (1 - SHED_SPAN * lesser) + band or now + expected > request.aim_at
        backend = None if beyond or too_late else self.pick(now, request)
        if backend is None:
            wait = short * 1000 / max(plan.rate * c.part, 1e-9) if short > 0 else kind.aim * PATIENCE
            return self.finish(request, out, wait)
        c.tokens, c.ceiling = c.tokens - (units if 0 < units <= c.tokens else 0.0), c.ceiling - units
        self.send(now, request, backend, out)

    def time_to_answer(self, now: float) -> float:
        """What is out over the rate of answers: how long one more request should take (Little's law).

        Danger: judged by the latency of answers, overload and its end are seen a whole queue too late. What
        is out is known at once. It covers floods, slow backends and lost capacity; it could refuse too much
        where traffic multiplies in a second. Where one gateway's few tell nothing, recent latency decides.
        """
        young, oldest = self.young, now - max(LONGEST * max(self.typical, self.recent), 1.0)
        while young and (young[0].over or young[0].sent_at <= oldest):
            attempt = young.popleft()
            if not attempt.over:  # lost ones don't wait in any queue
                attempt.lost, self.lost = True, self.lost + 1
        waiting = 1 + len(self.attempts) - self.lost
        if self.floor >= LEAST_OUT:
            if waiting <= self.floor:
                return 0.0
            return waiting * 1000 / max(self.rate * math.exp((self.answered_at - now) / RATE_MS), 1e-9)
        answer = max(1.0, self.recent * math.exp((self.recent_at - now) / MARK_MS))
        for attempt in self.attempts.values():
            age = now - attempt.sent_at
            if age <= answer:
                break  # those sent later raise it no more
            if not attempt.lost:
                answer *= (age / answer) ** RECENT
        return answer * max(1.0, waiting / LEAST_OUT) ** 2

    # ---- backend choice and health ----

    def on_list(self, now: float, event: api.BackendsChanged, out: api.Actions) -> None:
        if event.scope is api.ListScope.FAILED:  # the old list stays
            return out.append(api.SetTimer(self.settings.rules.drain_grace, "follow"))
        if event.scope is not api.ListScope.CHANGES:
            listed = {e.backend for e in event.entries}
            self.backends = {i: b for i, b in self.backends.items() if i in listed}
        for entry in event.entries:
            if entry.state is api.BackendState.GONE:
                self.backends.pop(entry.backend, None)
            elif entry.backend in self.backends:
                self.backends[entry.backend].update(entry)
            else:
                self.backends[entry.backend] = Backend(entry, self.settings.rules)
        self.floor = FLOOR_OUT * len(self.backends) / max(1, self.settings.gateways)
        self.subset = self.choose_subset([b for b in self.backends.values() if b.ready])
        self.sort_warm(now)

    def sort_warm(self, now: float) -> None:
        self.warm = [b for b in self.subset if b.warmth(now) >= 1]
        self.ring = self.warm * 2
        cold = (b.started + self.settings.rules.warm_within for b in self.subset if b.warmth(now) < 1)
        self.warm_at = min(cold, default=math.inf)

    def choose_subset(self, ready: list[Backend]) -> list[Backend]:
        """Few enough backends to meet each often and judge it; all of them in a small fleet.

        Each gateway of a round takes its own slice of one shuffled order: all backends are covered evenly.
        """
        size = max(SUBSET, math.ceil(COVER * len(ready) / max(1, self.settings.gateways)))
        turn, place = divmod(self.settings.index, max(1, len(ready) // size))
        if len(ready) >= 2 * size:
            ready.sort(key=lambda b: hashlib.blake2b(f"{turn}:{b.id}".encode(), digest_size=8).digest())
        return ready[place * size : (place + 1) * size] if len(ready) >= 2 * size else ready

    def mark(self, now: float, b: Backend, name: str) -> float:
        """A mark as far as it has not faded; a backend that is met seldom is remembered longer."""
        if name not in b.marks:
            return 0.0
        level, at = b.marks[name]
        gap = len(self.subset) * 1000 / max(self.rate, 0.1)
        return level * math.exp((at - now) / max(MARK_MS, min(LEASE_MS, MARK_MEETINGS * gap)))

    def failing(self, now: float, b: Backend, request: Request) -> float:
        """How likely it fails this request: one class or plan may fare ill where the others are served."""
        if now - b.faded_at > FADED_MS:
            self.fade(now, b)
        if (of_all := b.bad) < 0.01:
            return 0.0
        of_class, of_plan = (self.mark(now, b, name) for name in request.marks[1:])
        return min(1.0, of_class * of_plan / of_all)

    def fade(self, now: float, b: Backend) -> None:
        b.slow, b.faded_at = self.mark(now, b, "slow"), now
        b.bad = self.mark(now, b, "all") if "all" in b.marks else 0.0

    def cheapest(self, now: float, request: Request, among: list[Backend]) -> Backend | None:
        """By what an answer should take, judged by answers, failures and silence alike, and by chance."""
        best, least, chance = None, math.inf, self.random.getrandbits(10 * len(among)) if among else 0
        typical, fresh = self.typical, now - FADED_MS
        for b in among:
            if b.faded_at < fresh:
                self.fade(now, b)
            cost = (typical + b.slow) * (b.out + 1) if typical + b.slow > 1.0 else b.out + 1.0
            if b.bad >= 0.01:
                cost *= 1 + ERROR_COST * self.failing(now, b, request)
            cost *= NOISE[chance & 1023]
            chance >>= 10
            if cost < least:
                best, least = b, cost
        return best

    def pick(self, now: float, request: Request) -> Backend | None:
        """A backend by chance, cheap ones far more often; a cold one only by the cold rule's own lot.

        Danger: sent more than it can do by all gateways together, a cold backend falls over. Each gateway
        gives it an even part of its own requests times less than the least it can do, so that the sum over
        all gateways stays under that part of a warm one's load; twice, as one long request is much of it.
        """
        if now >= self.warm_at:
            self.sort_warm(now)
        may, warm = self.subset, self.warm
        if request.tried or not may:  # the first attempt may go to any
            may = [b for b in may if self.may_go(now, request, b)]
            may = may or [b for b in self.backends.values() if b.ready and self.may_go(now, request, b)]
            warm = [b for b in may if b.warmth(now) >= 1]
        if len(warm) < len(may):
            b = self.random.choice(may)
            part = b.warmth(now) * min(1.0, b.warmth(now) * self.settings.rules.fall_multiple / 2)
            if b.warmth(now) < 1 and self.random.random() < part and self.failing(now, b, request) < 0.5:
                return b
        return self.cheapest(now, request, warm if len(warm) <= DRAWN else self.draw(warm))

    def draw(self, among: list[Backend]) -> list[Backend]:
        """A few of many, each as likely as any other: every so many-th from one on, both by chance."""
        size = len(among)
        first, step = int(self.random.random() * size), 1 + int(self.random.random() * (size // DRAWN))
        ring = self.ring if among is self.warm else among * 2
        return ring[first : first + DRAWN * step : step]

    # ---- attempts and retries ----

    def send(self, now: float, request: Request, b: Backend, out: api.Actions) -> None:
        b.out += 1
        request.customer.out += 1
        attempt = self.attempts[request.id, request.attempts] = Attempt(request, b, now)
        self.young.append(attempt)
        request.live.add(request.attempts)
        request.ran.append(attempt)
        request.tried.add(b.id)
        request.attempts += 1
        out.append(api.Send(request.id, b.id))
        self.watch(now, request, now + self.patience(now, attempt), out)

    def patience(self, now: float, attempt: Attempt) -> float:
        """How long an answer may take before the attempt counts as lost."""
        failing = self.failing(now, attempt.backend, attempt.request)
        times = max(SHORTEST, LONGEST / (1 + ERROR_COST * failing))
        # Danger: an answer that waits here to be read is not late, and its backend not to blame.
        return 2 * self.lag + (times * self.typical if self.typical else PATIENCE * attempt.request.kind.aim)

    def watch(self, now: float, request: Request, at: float, out: api.Actions) -> None:
        request.check_at = min(at, request.expires - END_MS)
        tick = int(max(now, request.check_at) // WHEEL_MS) + 1
        if tick not in self.wheel:
            self.wheel[tick] = []
            out.append(api.SetTimer(tick * WHEEL_MS - now, f"w{tick}"))
        self.wheel[tick].append(request)

    def on_timer(self, now: float, event: api.TimerFired, out: api.Actions) -> None:
        if event.token == "follow":
            return out.append(api.FollowList())
        tick = int(event.token[1:]) if event.token[1:].isdecimal() else -1
        for request in self.wheel.pop(tick, ()):
            if self.requests.get(request.id) is request and now >= request.check_at - 1:
                self.check(now, request, out)

    def check(self, now: float, request: Request, out: api.Actions) -> None:
        """A request's time is up, or it has waited for longer than usual."""
        if now >= request.expires - END_MS - 1:
            return self.finish(request, out)  # every request held ends here at the latest
        if not request.attempts:
            return self.admit(now, request, out)  # the counter is silent
        self.watch(now, request, math.inf, out)
        # An attempt out far longer than usual is doubled, or called off and its outcome brings the next.
        if len(request.live) == 1 and request.kind.effect is not api.Effect.UNSAFE:
            if self.settings.may_duplicate:
                self.another(now, request, out, price=1.0)
            elif self.retries >= 1 and now + self.typical < request.aim_at:
                self.cancel_all(request, out)

    def on_ended(self, now: float, event: api.AttemptEnded, out: api.Actions) -> None:
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        request, never_ran = attempt.request, event.outcome in NEVER_RAN
        attempt.over, self.lost = True, self.lost - attempt.lost
        attempt.backend.out -= 1
        request.customer.out -= 1
        request.live.remove(event.attempt)
        self.judge(now, attempt, event.outcome)
        if never_ran:
            request.ran.remove(attempt)
        if event.request not in self.requests:
            return
        if event.finished or event.outcome is api.Outcome.OK:
            del self.requests[request.id]
            self.cancel_all(request, out)
            if not request.live:
                request.ran.clear()  # else it and its attempts would wait for the collector
        elif not request.live and not self.another(now, request, out, price=0.0 if never_ran else 1.0):
            self.finish(request, out)

    def judge(self, now: float, attempt: Attempt, outcome: api.Outcome) -> None:
        b, ok = attempt.backend, outcome is api.Outcome.OK
        lag = max(1.0, now - attempt.sent_at - self.lag)
        slow, overdue = self.mark(now, b, "slow"), lag >= self.patience(now, attempt)
        # Danger: one attempt lost on the way would look like a backend slow beyond use.
        capped = min(lag, LONGEST * self.typical) if self.typical else lag
        if ok or (outcome in CALLED_OFF and capped > self.typical + slow):  # it took longer yet
            slow += (capped - (self.typical or lag) - slow) * SLOW
            b.marks["slow"] = (slow, now)
        if ok or (outcome in CALLED_OFF and lag > self.recent):
            # Danger: old answers outweigh few new ones, and refusals stay. Of logarithms, as few are long.
            weight = max(RECENT, 1 - math.exp((self.recent_at - now) / MARK_MS))
            self.recent, self.recent_at = (self.recent or lag) * (lag / (self.recent or lag)) ** weight, now
        if ok:
            self.samples = min(TYPICAL_OVER, self.samples + 1)
            self.typical += (capped - self.typical) / self.samples
            self.rate = self.rate * math.exp((self.answered_at - now) / RATE_MS) + 1000 / RATE_MS
            self.answered_at = now
        if outcome not in CALLED_OFF or overdue:  # a client that left early says nothing of the backend
            bad = not ok and outcome is not api.Outcome.IGNORED
            for name in attempt.request.marks:
                if bad or name in b.marks:
                    level = self.mark(now, b, name)
                    b.marks[name] = (level + (bad - level) * BAD, now)
        b.slow, b.bad, b.faded_at = slow, self.mark(now, b, "all"), now

    def another(self, now: float, request: Request, out: api.Actions, price: float) -> bool:
        """Send a further attempt if one can be in time and in the budget; what never ran is not charged."""
        in_time = now + self.typical < request.aim_at and request.attempts < self.settings.max_attempts
        backend = self.pick(now, request) if in_time and self.retries >= price else None
        if backend:
            self.retries -= price
            self.send(now, request, backend, out)
        return backend is not None

    # ---- rule guards ----

    def finish(self, request: Request, out: api.Actions, wait: float = 0.0) -> None:
        """The one final answer: a refusal only where a new try is known to do no harm, else a failure."""
        del self.requests[request.id]
        keyed_by_all = request.kind.effect is api.Effect.KEYED and request.kind.group is api.Group.ALL
        harmless = not request.ran or request.kind.effect is api.Effect.SAFE or keyed_by_all
        refusal = api.Refuse(request.id, min(wait, self.settings.max_retry_after))
        out.append(refusal if harmless else api.Fail(request.id))
        self.cancel_all(request, out)

    def cancel_all(self, request: Request, out: api.Actions) -> None:
        out.extend(api.Cancel(request.id, number) for number in request.live if self.settings.can_cancel)

    def may_go(self, now: float, request: Request, b: Backend) -> bool:
        """May this request's next attempt go to this backend, given what may have run?"""
        kind = request.kind
        if b.id in request.tried or not request.ran or kind.effect is api.Effect.SAFE:
            return b.id not in request.tried
        # Danger: an effect happening twice. Unsafe work is never sent again once it may have run, keyed work
        # only inside the group that drops the repeat, and a little before that group forgets.
        first, sent_at = request.ran[0].backend, request.ran[0].sent_at
        if kind.effect is api.Effect.UNSAFE or now - sent_at >= kind.repeat_window - END_MS:
            return False
        same_zone = first.zone == b.zone and (kind.group is not api.Group.CELL or first.cell == b.cell)
        return kind.group is api.Group.ALL or same_zone
