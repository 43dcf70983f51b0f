"""How far quotas are from one exact store a customer, in virtual time: gateways, a counter, its lost answers.

    .venv/bin/python benchmarks/quota_error.py [--gateways 2 4] [--lost 0 0.05] [--bears 3000 250]

Backends never fail or queue here, so that quotas alone refuse. Customers are calm, near their quota, heavy
for good or in spikes; each asks through a set of gateways, unevenly, and the busiest ones change. Units are
guesses, settled by the answer. A tenth of the requests come from customers that ask once. `--lost`: the share
of the counter's answers that never come, though the amount was added; `--bears`: the calls a second that it
takes. `served` is the units let in over those that one gateway that saw all would let in; `beyond` the units
sent on that the exact store did not hold, over all sent on; `wrongly` the tries refused while it held their
units; `early` the same in the first five seconds; `net` the worth served less the price of what was beyond,
over the worth due; `calls` to the counter for each try; `unheard` those that brought no total.
"""

from __future__ import annotations

import argparse
import heapq
import random
import sys
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, ClassVar

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from report import report, side_by_side  # noqa: E402

from mintford import Gateway  # noqa: E402
from mintford import interface as api  # noqa: E402

KIND = api.RequestClass("view", latency_target=60_000, deadline=60_000, importance=1, effect=api.Effect.SAFE)
PLANS = (
    api.Plan("small", rate=1.7, burst=16.0, overage_cost=0.8),
    api.Plan("middle", rate=4.2, burst=32.0, overage_cost=0.6, ceiling_rate=8.6, ceiling_burst=66.0),
    api.Plan("large", rate=16.0, burst=40.0, overage_cost=0.5),
)
PRICES = {"small": 0.8, "middle": 1.1, "large": 1.6}
CUSTOMERS = (40, 13, 3)  # a gateway, by plan
MAX_UNITS = 8.0  # of a request
MEAN_UNITS = 2.2  # of a request
GUESS_ERROR = 0.5  # how far a guess is off, as a share
WAIT_MS = 50.0  # for the counter
LINK_MS = 0.4  # one way to the counter
PARTS = 3  # of the counter
MAX_QUEUE_MS = 80.0  # of the counter; a call that would wait longer is turned away
RATE = 60.0  # requests a second and gateway, about
ONCE_SHARE = 0.1  # from customers that ask once
EARLY_MS = 5_000.0
PATIENCE_MS = 4_000.0
HABITS = (("full", 0.15, 0.95), ("heavy", 0.1, 3.5), ("spiky", 0.2, 0.33), ("calm", 0.55, 0.33))
SHARES = ("served", "beyond", "wrongly", "early", "net", "calls", "unheard")
COLUMNS = ("gateways", "lost", "bears", "plan", "asked", *SHARES)


@dataclass
class Store:
    """The exact store of one customer: units, and the time at which it was last filled."""

    plan: api.Plan
    level: float
    at: float = 0.0

    def fill(self, now: float) -> float:
        self.level = min(self.plan.burst, self.level + (now - self.at) / 1000 * self.plan.rate)
        self.at = now
        return self.level


@dataclass
class Customer:
    name: str
    plan: api.Plan
    habit: str
    use: float  # of the rate
    first: int
    spread: int
    weights: list[float]
    truth: Store  # takes what was sent on
    ideal: Store  # takes what one gateway that saw all would let in
    spike: float = 1.0


@dataclass
class Figures:
    asked: float = 0.0
    due: float = 0.0
    inside: float = 0.0
    beyond: float = 0.0
    tries: int = 0
    wrongly: int = 0
    early_tries: int = 0
    early: int = 0


@dataclass
class Ask:
    """A request of a customer, with its tries."""

    customer: Customer
    guess: float
    true: float
    began: float
    due: bool  # one gateway that saw all would let it in
    tries: int = 0
    charged: bool = False


@dataclass
class World:
    gateways: int
    lost: float
    seed: int
    bears: float = 3_000.0
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    plans: ClassVar[tuple[api.Plan, ...]] = PLANS
    counts: ClassVar[tuple[float, ...]] = CUSTOMERS
    rate: ClassVar[float] = RATE
    mean: ClassVar[float] = MEAN_UNITS

    def __post_init__(self) -> None:
        self.figures = {p.name: Figures() for p in self.plans}
        self.rng, self.now, self.serial = random.Random(self.seed), 10_000.0, 0
        self.begun = self.now
        self.chance = random.Random(f"{self.seed}:lost")  # so that what is lost moves no arrivals
        self.numbers: dict[str, tuple[float, float]] = {}
        self.free = [0.0] * PARTS  # when each part of the counter has served what waits there
        self.calls = self.unheard = 0
        self.asks: dict[str, Ask] = {}
        self.build()
        for plan, count in zip(self.plans, self.counts, strict=True):
            for number in range(round(count * self.gateways)):
                self.add(plan, f"{plan.name}{number}")
        self.at(0.0, self.strangers)

    def build(self) -> None:
        """Start the gateways and tell them of their backends."""
        entries = tuple(api.BackendEntry(n, "a", 0, 0.0, api.BackendState.READY) for n in range(60))
        rules = api.SafetyRules(2_000, 0.3, 15_000, 3)
        self.nodes = [
            Gateway(
                api.Settings(
                    n, self.gateways, "a", (KIND,), PLANS, rules, 3, has_counter=True, max_retry_after=2_000,
                    counter_timeout=WAIT_MS, max_request_units=MAX_UNITS,
                    capabilities=api.Capabilities(settles_units=True),
                ),
                self.seed * 100 + n,
            )
            for n in range(self.gateways)
        ]  # fmt: skip
        for n in range(self.gateways):
            self.give(n, api.BackendsChanged(api.ListScope.FULL, entries))

    def add(self, plan: api.Plan, name: str) -> None:
        rng = self.rng
        habit, _, use = rng.choices(HABITS, [h[1] for h in HABITS])[0]
        spread = rng.randint(2, max(2, self.gateways))
        c = Customer(
            name, plan, habit, use, rng.randrange(self.gateways), spread, [],
            Store(plan, plan.burst, self.now), Store(plan, plan.burst, self.now),
        )  # fmt: skip
        self.shift(c)
        if habit == "spiky":
            self.at(rng.uniform(0, 20_000), partial(self.surge, c, 6.0))
        self.at(rng.expovariate(1.0) * 300, partial(self.arrive, c))

    def strangers(self) -> None:
        """Somebody asks who has never asked before and will not again."""
        rng, plan = self.rng, self.rng.choices(self.plans, self.counts)[0]
        self.at(rng.expovariate(ONCE_SHARE * self.rate * self.gateways) * 1000, self.strangers)
        self.serial += 1
        c = Customer(
            f"once{self.serial}", plan, "once", 0.0, rng.randrange(self.gateways), min(2, self.gateways),
            [1.0, 1.0], Store(plan, plan.burst, self.now), Store(plan, plan.burst, self.now),
        )  # fmt: skip
        self.request(c)

    # ---- time ----

    def at(self, delay: float, act: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.events, (self.now + delay, self.serial, act))

    def run(self, seconds: float) -> None:
        end = self.now + seconds * 1000
        while self.events and self.events[0][0] < end:
            self.now, _, act = heapq.heappop(self.events)
            act()

    # ---- customers ----

    def shift(self, c: Customer) -> None:
        c.weights = [self.rng.lognormvariate(0, 0.9) for _ in range(c.spread)]
        self.at(self.rng.uniform(5_000, 24_000), partial(self.shift, c))

    def surge(self, c: Customer, times: float) -> None:
        c.spike = times
        calm = times == 1.0
        self.at(self.rng.uniform(10_000, 25_000) if calm else self.rng.uniform(600, 4_900),
                partial(self.surge, c, 6.0 if calm else 1.0))  # fmt: skip

    def arrive(self, c: Customer) -> None:
        rate = c.plan.rate * c.use * c.spike / self.mean
        self.at(self.rng.expovariate(rate) * 1000, partial(self.arrive, c))
        self.request(c)

    def request(self, c: Customer) -> None:
        true, guess = self.units()
        f, room = self.figures[c.plan.name], c.ideal.fill(self.now) >= guess
        f.asked += true
        if room:
            c.ideal.level -= true
            f.due += true
        self.ask(Ask(c, guess, true, self.now, room))

    def units(self) -> tuple[float, float]:
        """Of a request: those that count, and its guess."""
        true = min(MAX_UNITS, max(1.0, round(self.rng.lognormvariate(0.6, 0.7))))
        return true, min(MAX_UNITS, max(1.0, round(true * self.rng.lognormvariate(0, GUESS_ERROR))))

    def ask(self, ask: Ask) -> None:
        c, rng = ask.customer, self.rng
        ask.tries += 1
        self.serial += 1
        request, place = f"q{self.serial}", rng.choices(range(c.spread), c.weights)[0]
        self.asks[request] = ask
        expires = self.now + PATIENCE_MS
        who = (c.plan.name, c.name)
        event = api.RequestArrived(request, KIND.name, *who, expires, ask.guess, c.spread, c.first)
        f = self.figures[c.plan.name]
        f.tries, f.early_tries = f.tries + 1, f.early_tries + (self.now < self.begun + EARLY_MS)
        self.give((c.first + place) % self.gateways, event)

    # ---- gateways ----

    def give(self, n: int, event: api.Event) -> None:
        for action in self.nodes[n].handle(self.now, event):
            if isinstance(action, api.SetTimer):
                self.at(action.delay, partial(self.give, n, api.TimerFired(action.token)))
            elif isinstance(action, api.AddToCounter):
                self.count(n, action)
            elif isinstance(action, api.Send):
                self.sent(n, action)
            elif isinstance(action, api.Refuse):
                self.refused(action)

    def sent(self, n: int, send: api.Send) -> None:
        ask = self.asks[send.request]
        store, f = ask.customer.truth, self.figures[ask.customer.plan.name]
        ask.charged = store.fill(self.now) >= ask.guess
        if ask.charged:
            store.level -= ask.guess
            f.inside += ask.true
        else:
            f.beyond += ask.true
        self.at(self.rng.uniform(80, 500), partial(self.answer, n, send))

    def answer(self, n: int, send: api.Send) -> None:
        ask = self.asks.pop(send.request)
        if ask.charged:
            ask.customer.truth.fill(self.now)
            ask.customer.truth.level -= ask.true - ask.guess
        self.give(n, api.AttemptEnded(send.request, 0, send.backend, api.Outcome.OK, 100.0, True, ask.true))

    def refused(self, refusal: api.Refuse) -> None:
        ask = self.asks.pop(refusal.request)
        c = ask.customer
        if c.truth.fill(self.now) >= ask.guess:
            f = self.figures[c.plan.name]
            f.wrongly, f.early = f.wrongly + 1, f.early + (self.now < self.begun + EARLY_MS)
        wait = max(refusal.retry_after, self.rng.uniform(60, 480) * ask.tries)
        if ask.tries <= 2 and self.now + wait < ask.began + PATIENCE_MS:
            self.at(wait, partial(self.ask, ask))

    # ---- the counter ----

    def count(self, n: int, call: api.AddToCounter) -> None:
        self.calls += 1
        self.at(LINK_MS, partial(self.reach, n, call, self.now))

    def reach(self, n: int, call: api.AddToCounter, since: float) -> None:
        part = zlib.crc32(call.name.encode()) % PARTS
        if self.free[part] > self.now + MAX_QUEUE_MS:
            self.unheard += 1
            full = api.CounterReplied(call.name, api.Outcome.FULL, 0.0)
            return self.at(LINK_MS, partial(self.give, n, full))
        self.free[part] = max(self.free[part], self.now) + PARTS * 1000 / self.bears
        heard = self.free[part] + LINK_MS - since < WAIT_MS and self.chance.random() >= self.lost
        self.at(self.free[part] - self.now, partial(self.add_up, n, call, since, heard))
        if not heard:
            self.unheard += 1
            silent = api.CounterReplied(call.name, api.Outcome.TIMED_OUT, 0.0)
            broken = self.free[part] + LINK_MS - since < WAIT_MS  # a spoilt answer: its connection is closed
            self.at(LINK_MS if broken else since + WAIT_MS - self.now, partial(self.give, n, silent))

    def add_up(self, n: int, call: api.AddToCounter, since: float, heard: bool) -> None:
        total, until = self.numbers.get(call.name, (0.0, 0.0))
        if until <= self.now:
            total, until = 0.0, self.now + call.expire_in
        self.numbers[call.name] = (total + call.amount, until)
        if heard:
            reply = api.CounterReplied(call.name, api.Outcome.OK, total + call.amount)
            self.at(LINK_MS, partial(self.give, n, reply))


Key = tuple[int, float, float]


def once(job: tuple[Key, int, float]) -> tuple[Key, World]:
    (gateways, lost, bears), seed, seconds = job
    world = World(gateways, lost, seed, bears)
    world.run(seconds)
    for kept in (world.events, world.nodes, world.asks, world.numbers):
        kept.clear()  # only the figures go back to the parent
    return job[0], world


def rows_of(worlds: list[tuple[Key, World]]) -> list[dict[str, Any]]:
    rows = []
    for gateways, lost, bears in sorted({key for key, _ in worlds}):
        same = [w for key, w in worlds if key == (gateways, lost, bears)]
        calls, unheard = (sum(getattr(w, n) for w in same) for n in ("calls", "unheard"))
        tries = sum(f.tries for w in same for f in w.figures.values())
        for names in [[p.name] for p in PLANS] + [[p.name for p in PLANS]]:
            of = [w.figures[n] for w in same for n in names]
            inside, beyond = sum(f.inside for f in of), sum(f.beyond for f in of)
            rows.append({
                "gateways": gateways, "lost": lost, "bears": bears,
                "plan": names[0] if len(names) == 1 else "all", "asked": sum(f.asked for f in of),
                "served": inside / sum(f.due for f in of), "beyond": beyond / (inside + beyond),
                "wrongly": sum(f.wrongly for f in of) / sum(f.tries for f in of),
                "early": sum(f.early for f in of) / sum(f.early_tries for f in of), "net": net(same, names),
                "calls": calls / tries, "unheard": unheard / calls,
            })  # fmt: skip
    return rows


def net(worlds: list[World], names: list[str]) -> float:
    worth = due = 0.0
    for plan in (p for p in PLANS if p.name in names):
        of = [w.figures[plan.name] for w in worlds]
        due += PRICES[plan.name] * sum(f.due for f in of)
        worth += PRICES[plan.name] * min(sum(f.inside for f in of), sum(f.due for f in of))
        worth -= PRICES[plan.name] * plan.overage_cost * sum(f.beyond for f in of)
    return worth / due


def table(rows: list[dict[str, Any]]) -> str:
    under = "| ---: | ---: | ---: | --- " + "| ---: " * (len(COLUMNS) - 4) + "|"
    lines = ["| " + " | ".join(COLUMNS) + " |", under]
    for r in rows:
        shares = (f"{r[n]:.3f}" for n in SHARES)
        cells = [f"{r[n]:g}" for n in ("gateways", "lost", "bears")] + [r["plan"], f"{r['asked']:,.0f}"]
        lines.append("| " + " | ".join([*cells, *shares]) + " |")
    return "\n".join(lines)


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--gateways", type=int, nargs="+", default=[2, 4])
    parser.add_argument("--lost", type=float, nargs="+", default=[0.0, 0.05])
    parser.add_argument("--bears", type=float, nargs="+", default=[3_000.0, 250.0])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument("--seconds", type=float, default=50.0)
    parser.add_argument("--out", type=Path, default=ROOT / "benchmarks" / "out" / "quota_error.json")
    args = parser.parse_args()
    keys = [(g, lost, bears) for g in args.gateways for lost in args.lost for bears in args.bears]
    jobs = [(key, seed, args.seconds) for key in keys for seed in args.seeds]
    rows = rows_of(side_by_side(once, jobs))
    return report(table(rows), rows, args.out)


if __name__ == "__main__":
    sys.exit(main())
