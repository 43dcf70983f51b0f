"""Cold backends under the sum of what all gateways send, in virtual time: uneven shares, retries, restarts.

A backend falls beyond N + 2 x root of N + 2 requests in the rule's window, N being multiple x present
capacity x window. Where each gateway gives a cold one its part times `compute_cold_share`, the sum of all
gateways is in the mean `warmth x multiple / 2` of N at most times the load of the warm ones, whatever the
gateways' own shares are: it is a share of requests, not of gateways. So chance has N / 2 + 2 x root of N
+ 2 to spare.
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

WINDOW_MS, CAPACITY = 1_000.0, 13.0  # of the rule; requests a second of a warm backend
BACKENDS, LOAD, FAILS, ENDS_MS = 24, 0.85, 0.1, 12_000.0
PLAN = api.Plan("any")


class Fleet:
    """So many gateways of uneven shares before backends of which some start cold, again and again."""

    def __init__(self, gateways: int, seed: int) -> None:
        self.chance, self.size, self.now = random.Random(seed), gateways, 0.0
        self.events: list[tuple[float, int, int, api.Event | None]] = []
        self.serial = 0
        self.born = {b: 0.0 for b in range(BACKENDS)}
        self.lately: dict[int, deque[float]] = {b: deque() for b in self.born}
        self.over: list[str] = []
        self.most = 0.0  # the most in a window, over what is allowed
        self.gateways = [self.start(n) for n in range(gateways)]
        # Some see five times the mean.
        self.shares = [5.0 if n % 10 == 0 else self.chance.uniform(0.2, 1.5) for n in range(gateways)]

    def start(self, index: int) -> Gateway:
        terms = settings(index=index, gateways=self.size, classes=(SAFE,), plans=(PLAN,), has_counter=False)
        gateway = Gateway(terms, self.chance.getrandbits(32))
        entries = tuple(
            api.BackendEntry(b, "a", 0, born, api.BackendState.READY) for b, born in self.born.items()
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
        outcome = api.Outcome.FAILED if self.chance.random() < FAILS else api.Outcome.OK
        lag = self.chance.expovariate(1 / 150)
        ended = api.AttemptEnded(send.request, send.attempt, send.backend, outcome, lag, False)
        self.later(lag, index, ended)

    def count(self, backend: int) -> None:
        recent = self.lately[backend]
        recent.append(self.now)
        while recent[0] <= self.now - WINDOW_MS:
            recent.popleft()
        if self.born[backend] and compute_warmth(RULES, self.born[backend], self.now) < 1:
            warm = compute_warmth(RULES, self.born[backend], recent[0])  # the least in this window
            allowed = RULES.overload_multiple * warm * CAPACITY * WINDOW_MS / 1000
            bound = allowed + 2 * math.sqrt(allowed) + 2
            self.most = max(self.most, len(recent) / bound)
            if len(recent) > bound:
                self.over.append(f"{len(recent)} of {bound:.1f} to {backend} at {self.now:.0f}")

    def restart(self, backends: list[int], gateways: list[int]) -> None:
        for b in backends:
            self.born[b] = self.now
            self.lately[b].clear()
            entry = api.BackendEntry(b, "a", 0, self.now, api.BackendState.READY)
            for index in range(self.size):
                self.give(index, api.BackendsChanged(api.ListScope.CHANGES, (entry,)))
        for index in gateways:  # all that these knew is gone, and what is out for them ends at nobody
            self.gateways[index] = self.start(index)

    def run(self) -> Fleet:
        rate = LOAD * CAPACITY * BACKENDS / 1000
        at = self.chance.expovariate(rate)
        plan = [
            (1_000.0, [0, 1, 2], []),
            (2_500.0, [3], list(range(0, self.size, 3))),
            (4_000.0, list(range(4, 18)), list(range(1, self.size, 2))),
        ]
        while self.now < ENDS_MS:
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
    assert fleet.most > 0, "no cold backend was sent anything"


@pytest.mark.patches_inside
def test_ramp_that_treats_cold_backends_as_warm_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(load, "compute_cold_share", lambda rules, warm: 1.0)
    assert any(Fleet(20, seed).run().over for seed in range(4))


@pytest.mark.patches_inside
def test_ramp_computed_for_each_gateway_alone_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each would keep to what a cold backend bears from it, and all of them together would fell it."""
    monkeypatch.setattr(load, "compute_cold_share", lambda rules, warm: min(1.0, warm * 20))
    assert any(Fleet(20, seed).run().over for seed in range(4))
