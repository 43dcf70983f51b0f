"""A fleet in virtual time: 2 to 200 gateways, their backends, a counter in parts, late discovery.

    .venv/bin/python benchmarks/fleet.py [--gateways 2 10 40] [--troubles none zone] [--seeds 1 2]

The decision module is every gateway; customers, stores and counter are those of `quota_error.py`.
Backends have two cores and one queue; a new connection costs a round trip and work, an idle one is used
again for a time. A trouble begins after a third of the run: `release` ends nine in ten gateways and brings
them back within a second, `zone` silences a third of the backends and brings them back cold, `replace` puts
six in ten new ones in place of old ones within 7 s. Discovery tells late.

`served`: the worth answered within the aim over the worth due to one gateway that saw all, `worst` the same
in the worst 5 s; `beyond`: units sent on that the exact store did not hold, over all sent on; `opened`: new
connections for each attempt; `held`: the most connections at a backend; `calls`: to the counter for each
try, `unheard` those without a total; `cold`: the most work sent to a cold backend in one second, over what
may be sent (above 1 it falls, but for chance).
"""

from __future__ import annotations

import argparse
import sys
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

import quota_error  # noqa: E402
from report import report, side_by_side  # noqa: E402

from mintford import Gateway  # noqa: E402
from mintford import interface as api  # noqa: E402

CLASSES = (
    api.RequestClass("view", latency_target=1_500, deadline=4_000, importance=2, effect=api.Effect.SAFE),
    api.RequestClass(
        "order",
        latency_target=1_500,
        deadline=4_000,
        importance=6,
        effect=api.Effect.KEYED,
        repeat_window=4_000,
    ),
)
PLANS = (
    api.Plan("small", rate=0.8, burst=3.5, overage_cost=1.2, price_factor=0.72),
    api.Plan("middle", rate=2.4, burst=10.0, overage_cost=0.5, price_factor=1.3),
    api.Plan(
        "large",
        rate=9.5,
        burst=24.0,
        overage_cost=0.6,
        ceiling_rate=19.0,
        ceiling_burst=48.0,
        price_factor=1.6,
    ),
)
RULES = api.SafetyRules(1_000, 0.25, 12_000, 2.0)
CUSTOMERS = (10, 4, 0.8)  # for each gateway, by plan
BACKENDS = 1.5  # for each gateway
CORES = 2
MAX_WORK_MS = 1_500.0  # of a request: 170 ms in the mean
HANDSHAKE_MS = 6.0  # work of a new connection
TRIP_MS = 1.0  # its round trip
IDLE_MS = 9_000.0  # that it is kept idle
TOLD_MS = 3_000.0  # discovery's lateness
RETURN_MS = 1_000.0  # of a release
LOST_MS = 6_000.0  # a zone's absence
REPLACED_MS = 7_000.0
WINDOW_MS = 5_000.0
COUNTER_RATE = 3.5  # calls a second that the counter bears, for each gateway
MIN_COUNTER_RATE = 150.0  # calls a second, at least
TROUBLES = ("none", "release", "zone", "replace")
COLUMNS = ("gateways", "trouble", "tries", "served", "worst", "beyond", "opened", "held",
           "calls", "unheard", "cold")  # fmt: skip


@dataclass
class Backend:
    """Two cores, one queue; cold after a start, silent while it is away."""

    entry: api.BackendEntry
    started: float = 0.0
    away: bool = False
    free: list[float] = field(default_factory=lambda: [0.0] * CORES)
    idle: dict[int, deque[float]] = field(
        default_factory=lambda: defaultdict(deque)
    )  # by gateway: since when
    connections: int = 0
    most: int = 0
    sent: deque[tuple[float, float]] = field(default_factory=deque)  # work in the rule's window

    def warmth(self, now: float) -> float:
        if not self.started:
            return 1.0
        age = (now - self.started) / RULES.warmup_time
        return min(1.0, RULES.start_capacity + (1 - RULES.start_capacity) * age)

    def connect(self, gateway: int, now: float) -> bool:
        """Whether a connection of this gateway's could be used again."""
        kept = self.idle[gateway]
        while kept and now - kept[0] > IDLE_MS:
            kept.popleft()
            self.connections -= 1
        if kept:
            kept.pop()
            return True
        self.connections += 1
        self.most = max(self.most, self.connections)
        return False

    def serve(self, now: float, work: float) -> float:
        """When a request is done that comes now."""
        core = min(range(CORES), key=self.free.__getitem__)
        self.free[core] = max(now, self.free[core]) + work / self.warmth(now)
        return self.free[core]

    def load(self, now: float, work: float) -> float:
        """The work sent in the rule's window over what a cold backend may be sent; 0 once it is warm."""
        if self.warmth(now) >= 1:
            return 0.0
        self.sent.append((now, work))
        while self.sent[0][0] < now - 1_000:
            self.sent.popleft()
        return sum(w for _, w in self.sent) / (RULES.overload_multiple * self.warmth(now) * CORES * 1_000)


class World(quota_error.World):
    """The fleet, its customers and its backends."""

    plans, counts, rate, mean = PLANS, CUSTOMERS, 13.0, 1.0

    def __init__(self, gateways: int, trouble: str, seed: int, seconds: float) -> None:
        self.trouble, self.length = trouble, seconds * 1000
        self.attempts: dict[tuple[str, int], Backend] = {}
        self.made: dict[str, int] = defaultdict(int)
        self.classes: dict[str, api.RequestClass] = {}
        self.due_at: dict[int, float] = defaultdict(float)
        self.got_at: dict[int, float] = defaultdict(float)
        self.opened = self.sends = 0
        self.cold = 0.0
        self.backends: dict[int, Backend] = {}
        self.down: set[int] = set()
        super().__init__(gateways, 0.0, seed, max(MIN_COUNTER_RATE, COUNTER_RATE * gateways))
        self.at(self.length / 3, getattr(self, f"begin_{trouble}"))

    def build(self) -> None:
        for number in range(max(3, int(BACKENDS * self.gateways))):
            self.start(number, 0.0)
        self.nodes = [self.gateway(n) for n in range(self.gateways)]
        for n in range(self.gateways):
            self.give(n, self.listed(api.ListScope.FULL, self.backends.values()))

    def units(self) -> tuple[float, float]:
        return 1.0, 1.0

    # ---- the installation ----

    def gateway(self, n: int) -> Gateway:
        settings = api.Settings(
            n, self.gateways, "ab"[n % 2], CLASSES, PLANS, RULES, 4, can_cancel=True, has_counter=True,
            max_retry_after=500.0, counter_timeout=80.0,
        )  # fmt: skip
        self.serial += 1
        return Gateway(settings, self.seed * 1_000 + self.serial)

    def start(self, number: int, started: float) -> Backend:
        entry = api.BackendEntry(number, "abc"[number % 3], number // 6, started, api.BackendState.READY)
        made = self.backends[number] = Backend(entry, started)
        return made

    def listed(
        self, scope: api.ListScope, of: Any, state: api.BackendState | None = None
    ) -> api.BackendsChanged:
        entries = (b.entry for b in of)
        if state is not None:
            entries = (api.BackendEntry(e.backend, e.zone, e.cell, e.started, state) for e in entries)
        return api.BackendsChanged(scope, tuple(entries))

    def tell(self, backend: Backend, state: api.BackendState = api.BackendState.READY) -> None:
        for n in range(self.gateways):
            self.give(n, self.listed(api.ListScope.CHANGES, [backend], state))

    # ---- troubles ----

    def begin_none(self) -> None:
        return

    def begin_release(self) -> None:
        known = list(self.backends.values())
        for n in range(self.gateways * 9 // 10):
            self.nodes[n] = self.gateway(n)  # what it had taken is lost with it, its answers go nowhere
            self.down.add(n)
            self.at(self.rng.uniform(0.3, 1.0) * RETURN_MS, partial(self.come_back, n, known))

    def come_back(self, n: int, known: list[Backend]) -> None:
        self.down.discard(n)
        self.give(n, self.listed(api.ListScope.SAVED, known))

    def begin_zone(self) -> None:
        for b in [b for b in self.backends.values() if b.entry.zone == "b"]:
            b.away = True
            self.at(LOST_MS, partial(self.restart, b))

    def restart(self, old: Backend) -> None:
        self.at(TOLD_MS, partial(self.tell, self.start(old.entry.backend, self.now)))

    def begin_replace(self) -> None:
        for b in self.rng.sample(list(self.backends.values()), len(self.backends) * 6 // 10):
            at = self.rng.uniform(0, REPLACED_MS)
            self.at(at, partial(self.replace, b))

    def replace(self, old: Backend) -> None:
        new = self.start(max(self.backends) + 1, self.now)
        old.away = True
        self.at(self.rng.uniform(0.3, 1.0) * TOLD_MS, partial(self.tell, new))
        self.at(self.rng.uniform(0.3, 1.0) * TOLD_MS, partial(self.tell, old, api.BackendState.GONE))

    # ---- the way of a request ----

    def ask(self, ask: quota_error.Ask) -> None:
        c, rng = ask.customer, self.rng
        ask.tries += 1
        self.serial += 1
        n = (c.first + rng.choices(range(c.spread), c.weights)[0]) % self.gateways
        request, kind = f"q{self.serial}", rng.choices(CLASSES, (0.62, 0.38))[0]
        f, window = self.figures[c.plan.name], int((self.now - self.begun) // WINDOW_MS)
        f.tries += 1
        self.classes[request], self.asks[request] = kind, ask
        if ask.due:
            self.due_at[window] += kind.importance * c.plan.price_factor
        if n in self.down:
            return
        expires = self.now + kind.deadline
        event = api.RequestArrived(request, kind.name, c.plan.name, c.name, expires, 1.0, c.spread, c.first)
        self.give(n, event)

    def give(self, n: int, event: api.Event) -> None:
        for action in self.nodes[n].handle(self.now, event):
            if isinstance(action, api.SetTimer):
                self.at(action.delay, partial(self.later, n, self.nodes[n], api.TimerFired(action.token)))
            elif isinstance(action, api.AddToCounter):
                self.count(n, action)
            elif isinstance(action, api.Send):
                self.send_on(n, action)
            elif isinstance(action, api.Cancel):
                self.cancel(n, action)
            elif isinstance(action, api.Refuse | api.Fail):
                self.asks.pop(action.request, None)

    def later(self, n: int, node: Gateway, event: api.Event) -> None:
        if self.nodes[n] is node:  # else that process has ended
            self.give(n, event)

    def send_on(self, n: int, send: api.Send) -> None:
        number, b = self.made[send.request], self.backends.get(send.backend)
        self.made[send.request] += 1
        self.sends += 1
        ask = self.asks.get(send.request)
        if not number and ask is not None:
            store, f = ask.customer.truth, self.figures[ask.customer.plan.name]
            ask.charged = store.fill(self.now) >= 1
            store.level -= ask.charged
            f.inside, f.beyond = f.inside + ask.charged, f.beyond + (not ask.charged)
        assert b is not None
        end = partial(self.end, n, self.nodes[n], send, number)
        self.attempts[send.request, number] = b
        reused = b.connect(n, self.now)
        self.opened += not reused
        if b.away:
            wait = 250.0 if not reused else CLASSES[0].deadline
            return self.at(
                wait, partial(end, api.Outcome.CONNECT if not reused else api.Outcome.TIMED_OUT, self.now)
            )
        work = min(MAX_WORK_MS, self.rng.lognormvariate(4.75, 0.9)) + (0.0 if reused else HANDSHAKE_MS)
        self.cold = max(self.cold, b.load(self.now, work))
        done = b.serve(self.now, work)
        self.at(done - self.now + TRIP_MS * (1 if reused else 2), partial(end, api.Outcome.OK, self.now))

    def cancel(self, n: int, cancel: api.Cancel) -> None:
        """The work goes on at its backend; the connection is closed."""
        send = api.Send(cancel.request, 0)
        end = partial(self.end, n, self.nodes[n], send, cancel.attempt, api.Outcome.CANCELLED, self.now)
        self.at(0.0, end)

    def end(
        self, n: int, node: Gateway, send: api.Send, number: int, outcome: api.Outcome, since: float
    ) -> None:
        b = self.attempts.pop((send.request, number), None)
        if b is None:
            return
        if outcome is api.Outcome.OK and self.nodes[n] is node:
            b.idle[n].append(self.now)
        else:
            b.connections -= 1
        if self.nodes[n] is not node:
            return
        ask = self.asks.pop(send.request, None) if outcome is api.Outcome.OK else self.asks.get(send.request)
        if outcome is api.Outcome.OK and ask is not None:
            kind = self.classes[send.request]
            if self.now - ask.began <= kind.latency_target and ask.charged:
                window = int((ask.began - self.begun) // WINDOW_MS)
                self.got_at[window] += kind.importance * ask.customer.plan.price_factor
        lag = self.now - since
        finished = ask is None or outcome is api.Outcome.OK
        backend = b.entry.backend
        self.give(n, api.AttemptEnded(send.request, number, backend, outcome, lag, finished))


Key = tuple[int, str]


def once(job: tuple[Key, int, float]) -> tuple[Key, dict[str, float]]:
    (gateways, trouble), seed, seconds = job
    world = World(gateways, trouble, seed, seconds)
    world.run(seconds)
    whole = range(int(seconds * 1000 // WINDOW_MS))
    parts = [min(1.0, world.got_at[w] / world.due_at[w]) for w in whole if world.due_at[w]]
    inside, beyond = (sum(getattr(f, name) for f in world.figures.values()) for name in ("inside", "beyond"))
    tries = sum(f.tries for f in world.figures.values())
    return job[0], {
        "tries": tries,
        "served": min(1.0, sum(world.got_at.values()) / sum(world.due_at.values())),
        "worst": min(parts), "beyond": beyond / (inside + beyond), "opened": world.opened / world.sends,
        "held": max(b.most for b in world.backends.values()), "calls": world.calls / tries,
        "unheard": world.unheard / max(1, world.calls), "cold": world.cold,
    }  # fmt: skip


def rows_of(done: list[tuple[Key, dict[str, float]]]) -> list[dict[str, Any]]:
    """One row a size and kind of trouble: means over the seeds, of `held` and `cold` the most."""
    rows = []
    for key in sorted({key for key, _ in done}, key=lambda k: (k[0], TROUBLES.index(k[1]))):
        same = [figures for one, figures in done if one == key]
        row: dict[str, Any] = {"gateways": key[0], "trouble": key[1]}
        for name in COLUMNS[2:]:
            values = [figures[name] for figures in same]
            row[name] = max(values) if name in ("held", "cold") else sum(values) / len(values)
        rows.append(row)
    return rows


def table(rows: list[dict[str, Any]]) -> str:
    lines = ["| " + " | ".join(COLUMNS) + " |", "| ---: | --- " + "| ---: " * (len(COLUMNS) - 2) + "|"]
    for r in rows:
        cells = [f"{r['gateways']}", r["trouble"], f"{r['tries']:,.0f}"]
        cells += [f"{r[n]:.0f}" if n == "held" else f"{r[n]:.3f}" for n in COLUMNS[3:]]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def main() -> int:
    raw: Callable[..., argparse.HelpFormatter] = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)  # type: ignore[arg-type]
    parser.add_argument("--gateways", type=int, nargs="+", default=[2, 10, 40])
    parser.add_argument("--troubles", nargs="+", choices=TROUBLES, default=list(TROUBLES))
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--out", type=Path, default=ROOT / "benchmarks" / "out" / "fleet.json")
    args = parser.parse_args()
    jobs = [
        ((g, t), seed, args.seconds) for g in args.gateways for t in args.disturbances for seed in args.seeds
    ]
    rows = rows_of(side_by_side(once, jobs))
    return report(table(rows), rows, args.out)


if __name__ == "__main__":
    sys.exit(main())
