"""A small world for one gateway without a simulator: settings, a clock, backends and a counter."""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterable

from mintford import interface as api
from mintford.rules import Gateway

SAFE = api.RequestClass("view", latency_target=1000, deadline=3000, importance=1, effect=api.Effect.SAFE)
KEYED = api.RequestClass(
    "order",
    latency_target=1000,
    deadline=3000,
    importance=4,
    effect=api.Effect.KEYED,
    dedup=api.DedupScope.CELL,
    repeat_window=2000,
)
UNSAFE = api.RequestClass("wipe", latency_target=1000, deadline=3000, importance=2, effect=api.Effect.UNSAFE)
BASIC = api.Plan("basic", rate=2, burst=8, overage_cost=1)
FIRM = api.Plan("firm", rate=10, burst=20, open_limit=8, overage_cost=1, ceiling_rate=20, ceiling_burst=40)
BONUS = api.Plan("bonus", rate=1, burst=2, overage_earnings=0.2)
RULES = api.SafetyRules(1000, 0.2, 10_000, 2)


def settings(**changes: object) -> api.Settings:
    values: dict[str, object] = dict(
        index=0,
        gateways=2,
        zone="a",
        classes=(SAFE, KEYED, UNSAFE),
        plans=(BASIC, FIRM, BONUS),
        rules=RULES,
        max_attempts=3,
        can_cancel=True,
        has_counter=True,
        max_retry_after=500.0,
        counter_timeout=50.0,
    )
    values.update(changes)
    return api.Settings(**values)  # type: ignore[arg-type]


def entry(
    backend: int, state: api.BackendState = api.BackendState.READY, started: float = 0, cell: int = 0
) -> api.BackendEntry:
    return api.BackendEntry(backend, "a", cell, started, state)


def backends(*entries: api.BackendEntry, scope: api.ListScope = api.ListScope.FULL) -> api.BackendsChanged:
    return api.BackendsChanged(scope, entries)


class World:
    """Feeds events to one gateway and records its actions with their times."""

    def __init__(
        self,
        entries: Iterable[api.BackendEntry] = (),
        seed: int = 1,
        now: float = 10_000.0,
        **changes: object,
    ) -> None:
        """`now`: the time of the gateway's first event, in ms."""
        self.gateway = Gateway(settings(**changes), seed)
        self.now, self.serial = now, 0
        self.timers: list[tuple[float, int, str]] = []
        self.log: list[tuple[float, api.Action]] = []
        self.give(backends(*(tuple(entries) or (entry(1), entry(2, cell=1), entry(3)))))

    def give(self, event: api.Event) -> list[api.Action]:
        actions = self.gateway.handle(self.now, event)
        self.log += [(self.now, a) for a in actions]
        for a in actions:
            if isinstance(a, api.SetTimer):
                heapq.heappush(self.timers, (self.now + a.delay, len(self.log), a.token))
        return actions

    def ask(
        self,
        name: str = "view",
        plan: str = "basic",
        customer: str = "c",
        spread: int = 2,
        life: float = 3000,
    ) -> list[api.Action]:
        self.serial += 1
        return self.give(
            api.RequestArrived(f"r{self.serial}", name, plan, customer, self.now + life, 1.0, spread, 0)
        )

    def end(
        self,
        send: api.Send,
        outcome: api.Outcome = api.Outcome.OK,
        attempt: int = 0,
        finished: bool | None = None,
    ) -> list[api.Action]:
        is_finished = outcome is api.Outcome.OK if finished is None else finished
        return self.give(api.AttemptEnded(send.request, attempt, send.backend, outcome, 1.0, is_finished))

    def pass_time(self, milliseconds: float) -> list[api.Action]:
        """Let time pass, and fire the timers that the gateway has set."""
        actions: list[api.Action] = []
        end = self.now + milliseconds
        while self.timers and self.timers[0][0] <= end:
            at, _, token = heapq.heappop(self.timers)
            self.now = max(self.now, at)
            actions += self.give(api.TimerFired(token))
        self.now = end
        return actions


class Counter:
    """An exact counter that answers at once, or fails every call with the outcome `fails`."""

    def __init__(self) -> None:
        self.numbers: dict[str, tuple[float, float]] = {}  # the total, and the time when it expires
        self.added: dict[str, float] = {}  # over all time, by the customer's digest in the name
        self.fails: api.Outcome | None = None
        self.calls = 0

    def play(self, world: World, actions: list[api.Action]) -> list[api.Action]:
        """Answer all calls among the actions and those that follow. Return all actions."""
        played: list[api.Action] = []
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            played.append(action)
            if isinstance(action, api.AddToCounter):
                pending += world.give(self.reply(world.now, action))
        return played

    def reply(self, now: float, call: api.AddToCounter) -> api.CounterReplied:
        self.calls += 1
        if self.fails is not None:
            return api.CounterReplied(call.name, self.fails, 0.0)
        total, until = self.numbers.get(call.name, (0.0, 0.0))
        if until <= now:
            total, until = 0.0, now + call.expire_in
        self.numbers[call.name] = (total + call.amount, until)
        if call.name.startswith("s"):
            digest = call.name.split(":")[1]
            self.added[digest] = self.added.get(digest, 0.0) + call.amount
        return api.CounterReplied(call.name, api.Outcome.OK, total + call.amount)

    def spent(self, customer: str) -> float:
        """Return the units that all gateways have added for a customer."""
        digest = hashlib.blake2b(customer.encode(), digest_size=16).hexdigest()
        return round(self.added.get(digest, 0.0), 6)


def sends(actions: Iterable[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def counts(actions: Iterable[api.Action]) -> list[api.AddToCounter]:
    return [a for a in actions if isinstance(a, api.AddToCounter)]


def refusals(actions: Iterable[api.Action]) -> list[api.Refuse]:
    return [a for a in actions if isinstance(a, api.Refuse)]
