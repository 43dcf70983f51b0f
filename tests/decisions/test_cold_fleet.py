"""Cold backends under the load of all gateways, in virtual time, with uneven shares, retries and restarts.

A backend collapses beyond N + 2 x root of N + 2 requests in the rule's window, where N is the overload
multiple x present capacity x window. Each gateway sends a cold backend an even share of its requests times
`compute_cold_share`. The mean sum over all gateways is then at most `warmth x multiple / 2` of N, times the
load of the warm backends. It does not depend on the gateways' shares of the load, because it is a share of
requests and not of gateways. This leaves N / 2 + 2 x root of N + 2 for random variation.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque

import pytest
from helpers import RULES, SAFE, settings

from mintford import Gateway, load
from mintford import interface as api
from mintford.guards import compute_warmth

WINDOW_MS = 1_000.0  # the window of the overload rule
CAPACITY_PER_S = 13.0  # requests of a warm backend
BACKENDS = 24
LOAD_RATIO = 0.85
FAILURE_RATIO = 0.1
DURATION_MS = 12_000.0
PLAN = api.Plan("any")


class Fleet:
    """Gateways with uneven shares of the load, and backends of which some restart cold."""

    def __init__(self, gateways: int, seed: int) -> None:
        self.chance, self.size, self.now = random.Random(seed), gateways, 0.0
        self.events: list[tuple[float, int, int, api.Event | None]] = []
        self.serial = 0
        self.started = {b: 0.0 for b in range(BACKENDS)}
        self.recent_sends: dict[int, deque[float]] = {b: deque() for b in self.started}
        self.over: list[str] = []
        self.max_load_ratio = 0.0  # the largest load of a cold backend in a window, relative to its bound
        self.gateways = [self.start(n) for n in range(gateways)]
        # Every tenth gateway gets five times the mean load.
        self.shares = [5.0 if n % 10 == 0 else self.chance.uniform(0.2, 1.5) for n in range(gateways)]

    def start(self, index: int) -> Gateway:
        terms = settings(index=index, gateways=self.size, classes=(SAFE,), plans=(PLAN,), has_counter=False)
        gateway = Gateway(terms, self.chance.getrandbits(32))
        entries = tuple(
            api.BackendEntry(b, "a", 0, born, api.BackendState.READY) for b, born in self.started.items()
        )
        gateway.handle(self.now, api.BackendsChanged(api.ListScope.FULL, entries))
        return gateway

    def later(self, delay: float, gateway: int, event: api.Event | None) -> None:
        self.serial += 1
        heapq.heappush(self.events, (self.now + delay, self.serial, gateway, event))

    def give(self, index: int, event: api.Event) -> None:
        for action in self.gateways[index].handle(self.now, event):
            if isinstance(action, api.Send):
                self.sent(index, action)
            elif isinstance(action, api.SetTimer):
                self.later(action.delay, index, api.TimerFired(action.token))

    def sent(self, index: int, send: api.Send) -> None:
        self.count(send.backend)
        outcome = api.Outcome.FAILED if self.chance.random() < FAILURE_RATIO else api.Outcome.OK
        lag = self.chance.expovariate(1 / 150)
        ended = api.AttemptEnded(send.request, send.attempt, send.backend, outcome, lag, False)
        self.later(lag, index, ended)

    def count(self, backend: int) -> None:
        recent = self.recent_sends[backend]
        recent.append(self.now)
        while recent[0] <= self.now - WINDOW_MS:
            recent.popleft()
        if self.started[backend] and compute_warmth(RULES, self.started[backend], self.now) < 1:
            warm = compute_warmth(RULES, self.started[backend], recent[0])  # the least warmth in this window
            allowed = RULES.overload_multiple * warm * CAPACITY_PER_S * WINDOW_MS / 1000
            bound = allowed + 2 * math.sqrt(allowed) + 2
            self.max_load_ratio = max(self.max_load_ratio, len(recent) / bound)
            if len(recent) > bound:
                self.over.append(f"{len(recent)} of {bound:.1f} to {backend} at {self.now:.0f}")

    def restart(self, backends: list[int], gateways: list[int]) -> None:
        for b in backends:
            self.started[b] = self.now
            self.recent_sends[b].clear()
            entry = api.BackendEntry(b, "a", 0, self.now, api.BackendState.READY)
            for index in range(self.size):
                self.give(index, api.BackendsChanged(api.ListScope.CHANGES, (entry,)))
        for index in gateways:  # a restarted gateway loses its state and the outcomes of its attempts
            self.gateways[index] = self.start(index)

    def run(self) -> Fleet:
        rate = LOAD_RATIO * CAPACITY_PER_S * BACKENDS / 1000
        at = self.chance.expovariate(rate)
        plan = [
            (1_000.0, [0, 1, 2], []),
            (2_500.0, [3], list(range(0, self.size, 3))),
            (4_000.0, list(range(4, 18)), list(range(1, self.size, 2))),
        ]
        while self.now < DURATION_MS:
            following = self.events[0][0] if self.events else math.inf
            if plan and plan[0][0] <= min(at, following):
                self.now, backends, gateways = plan.pop(0)
                self.restart(backends, gateways)
            elif at <= following:
                self.now, at = at, at + self.chance.expovariate(rate)
                (index,) = self.chance.choices(range(self.size), self.shares)
                self.serial += 1
                name = f"r{self.serial}"
                who, expires = f"c{self.serial % 40}", at + 3_000
                self.give(index, api.RequestArrived(name, "view", "any", who, expires, 1, 1, index))
            else:
                self.now, _, index, event = heapq.heappop(self.events)
                if event is not None:
                    self.give(index, event)
        return self


@pytest.mark.parametrize("gateways", [20, 30])
@pytest.mark.parametrize("seed", range(4))
def test_cold_backends_survive_the_load_of_all_gateways(gateways: int, seed: int) -> None:
    fleet = Fleet(gateways, seed).run()
    assert not fleet.over, f"seed {seed}: {fleet.over[:3]}"
    assert fleet.max_load_ratio > 0, "no cold backend was sent anything"


@pytest.mark.patches_inside
def test_ramp_that_treats_cold_backends_as_warm_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(load, "compute_cold_share", lambda rules, warm: 1.0)
    assert any(Fleet(20, seed).run().over for seed in range(4))


@pytest.mark.patches_inside
def test_ramp_computed_for_each_gateway_alone_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each gateway alone stays below what a cold backend can process, but all together overload it."""
    monkeypatch.setattr(load, "compute_cold_share", lambda rules, warm: min(1.0, warm * 20))
    assert any(Fleet(20, seed).run().over for seed in range(4))
