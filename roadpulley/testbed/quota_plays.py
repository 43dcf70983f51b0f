"""Plays the events of `roadpulley/limits/bounds.py` in virtual time: gateways, a counter, one customer.

Each play is drawn up to come as near to its bound as the rules let it; what it reaches is judged beside one
exact store.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from mintford import Gateway
from mintford import interface as api
from roadpulley.limits.bounds import Scenario

from .limits import Holds, Spent, Use, use

WAIT_MS = 50.0  # for a call
START_MS = 100_000.0  # of the clock that periods go by
STEP_MS = 25.0  # between two moments of a flood
BACKENDS = 40
RULES = api.SafetyRules(1_000, 0.2, 10_000, 2)
VIEW = api.RequestClass("view", latency_target=1_000, deadline=3_000, importance=1, effect=api.Effect.SAFE)


@dataclass
class Counter:
    """Totals by name."""

    totals: dict[str, float] = field(default_factory=dict)

    def add(self, name: str, amount: float) -> float:
        self.totals[name] = self.totals.get(name, 0.0) + amount
        return self.totals[name]


class Site:
    def __init__(self, case: Scenario, start: float = START_MS) -> None:
        self.case, self.now, self.serial = case, start, count()
        self.counter = Counter()
        self.away: set[int] = set()  # gateways that the counter does not answer
        self.late = False  # it adds what they ask for all the same
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.spends: list[Spent] = []
        self.asked = 0.0
        self.gateways = [self.begin(n) for n in range(case.gateways)]

    def begin(self, n: int) -> Gateway:
        case = self.case
        settings = api.Settings(
            n, case.gateways, "a", (VIEW,), (case.plan,), RULES, 3, has_counter=True,
            max_retry_after=500.0, counter_timeout=WAIT_MS, max_request_units=case.largest_request_units,
        )  # fmt: skip
        made = Gateway(settings, seed=n + 1)
        entries = tuple(api.BackendEntry(b, "a", 0, 0.0, api.BackendState.READY) for b in range(BACKENDS))
        made.handle(self.now, api.BackendsChanged(api.ListScope.FULL, entries))
        return made

    def restart(self, n: int) -> None:
        self.gateways[n] = self.begin(n)

    # ---- events ----

    def later(self, ms: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now + ms, next(self.serial), act))

    def give(self, n: int, gateway: Gateway, event: api.Event) -> None:
        if gateway is not self.gateways[n]:
            return  # it has ended
        for action in gateway.handle(self.now, event):
            self.act(n, gateway, action)

    def act(self, n: int, gateway: Gateway, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self.spends.append(Spent(self.now / 1000, "c", self.case.largest_request_units, str(n)))
            ended = api.AttemptEnded(action.request, 0, action.backend, api.Outcome.OK, 1.0, True)
            self.give(n, gateway, ended)
        elif isinstance(action, api.SetTimer):
            token = action.token
            self.later(action.delay, lambda: self.give(n, gateway, api.TimerFired(token)))
        elif isinstance(action, api.AddToCounter):
            self.count(n, gateway, action)

    def count(self, n: int, gateway: Gateway, call: api.AddToCounter) -> None:
        if n in self.away:
            if self.late:
                self.counter.add(call.name, call.amount)
            lost = api.CounterReplied(call.name, api.Outcome.TIMED_OUT, 0.0)
            return self.later(WAIT_MS, lambda: self.give(n, gateway, lost))
        total = self.counter.add(call.name, call.amount)
        self.give(n, gateway, api.CounterReplied(call.name, api.Outcome.OK, total))

    def ask(self, n: int) -> None:
        self.asked += self.case.largest_request_units
        name = f"r{next(self.serial)}"
        event = api.RequestArrived(
            name,
            "view",
            self.case.plan.name,
            "c",
            self.now + 3_000,
            self.case.largest_request_units,
            self.case.gateways,
            0,
        )
        self.give(n, self.gateways[n], event)

    def pass_time(self, ms: float) -> None:
        end = self.now + ms
        while self.queue and self.queue[0][0] <= end:
            self.now, _, act = heapq.heappop(self.queue)
            act()
        self.now = end

    # ---- what plays are made of ----

    def calm(self) -> None:
        """All have read the store, and it is full again."""
        for n in range(self.case.gateways):
            self.ask(n)
            self.pass_time(200)
        self.pass_time(2_000 * self.case.plan.burst / self.case.plan.rate)
        for n in range(self.case.gateways):
            self.ask(n)
        self.pass_time(1_000 * self.case.gateways * self.case.largest_request_units / self.case.plan.rate)

    def flood(self, seconds: float, *who: int) -> None:
        """As much as would be let in, and more."""
        each = 1 + int(self.case.plan.burst / self.case.largest_request_units / 4)
        for _ in range(int(seconds * 1000 / STEP_MS)):
            for n in who:
                for _ in range(each):
                    self.ask(n)
            self.pass_time(STEP_MS)

    def judged(self) -> Use:
        plan = self.case.plan
        return use(self.spends, [Holds(0.0, plan.rate, plan.burst)])


def surge(site: Site) -> None:
    site.calm()
    site.flood(site.case.duration_s, *range(site.case.gateways))


def silent(site: Site) -> None:
    site.calm()
    site.away.update(range(site.case.gateways))
    site.flood(site.case.duration_s, *range(site.case.gateways))


def parted(site: Site) -> None:
    site.calm()
    site.away.update(range(site.case.affected_gateways))
    site.flood(site.case.duration_s, *range(site.case.gateways))


def emptied(site: Site) -> None:
    """Each gateway in turn spends what it may; before the next one asks, the counter is replaced."""
    site.calm()
    for n in range(site.case.gateways):
        site.flood(0.2, n)
        site.counter.totals.clear()


def older(site: Site) -> None:
    """The same with a copy from before all that."""
    site.calm()
    copy = dict(site.counter.totals)
    for n in range(site.case.gateways):
        site.flood(0.2, n)
        site.counter.totals = dict(copy)


def higher(site: Site) -> None:
    """Every number is higher by a burst than what was ever added."""
    site.calm()
    raised(site)
    site.flood(site.case.duration_s, *range(site.case.gateways))


def half_lost(site: Site) -> None:
    """Each gateway in turn spends what it may; before the next asks, the part with its number is empty."""
    site.calm()
    for n in range(site.case.gateways):
        site.flood(0.2, n)
        for name in [name for name in site.counter.totals if name.startswith("s")]:
            del site.counter.totals[name]


def late(site: Site) -> None:
    site.late = True
    silent(site)


def restarted(site: Site) -> None:
    site.calm()
    for n in range(site.case.affected_gateways):
        site.flood(0.2, n)
        site.restart(n)
    site.flood(0.5, *range(site.case.gateways))


def restarted_alone(site: Site) -> None:
    site.calm()
    everybody = range(site.case.gateways)
    site.away.update(everybody)
    site.flood(0.1, *everybody)
    for n in everybody:
        site.restart(n)
    site.flood(2.0, *everybody)


PLAYS: dict[str, Callable[[Site], None]] = {
    "nothing fails, all at once": surge,
    "the counter is silent": silent,
    "the counter is cut off from some": parted,
    "the counter comes back empty": emptied,
    "the counter comes back as an old copy": older,
    "the counter comes back with higher numbers": higher,
    "half of the counter's parts come back empty": half_lost,
    "the counter adds and answers too late": late,
    "some gateways restart": restarted,
    "all restart, the counter is away": restarted_alone,
}


def away(site: Site) -> None:
    site.away.update(range(site.case.gateways))


def raised(site: Site) -> None:
    for name in site.counter.totals:
        site.counter.totals[name] += site.case.plan.burst


def less(case: Scenario, event: Callable[[Site], None] = away, start: float = START_MS) -> float:
    """Units of its due that a customer is refused in an event and one gateway gets it all."""
    site = Site(case, start)
    site.calm()
    event(site)
    before = len(site.spends)
    site.flood(case.duration_s, 0)
    due = case.plan.burst + case.plan.rate * case.duration_s
    return due - case.largest_request_units * (len(site.spends) - before)


def over(event: str, case: Scenario, start: float = START_MS) -> float:
    """Units beyond one exact store. `start`: of the clock that periods go by, in ms."""
    site = Site(case, start)
    PLAYS[event](site)
    return site.judged().over
