"""The cost of a decision does not grow with open requests or the fleet, and its results stay exact."""

from __future__ import annotations

import gc
import math
from collections import Counter
from typing import Any

import pytest
from helpers import SAFE, World, backends, entry, sends
from hypothesis import given
from hypothesis import strategies as st

from mintford import interface as api
from mintford.load import MAX_CANDIDATES, MAX_LATENCY_RATIO, NOISE_QUANTILES, Backend, Fleet
from mintford.rules import Gateway
from mintford.shedding import LATENCY_PRIOR_ANSWERS


def scan_latency(gateway: Gateway, now: float) -> float:
    """Compute the expected latency by scanning all attempts in flight."""
    limit = max(MAX_LATENCY_RATIO * max(gateway.fleet.typical_latency, gateway.fleet.recent_latency), 1.0)
    waiting = 1 + sum(now - a.sent_at < limit for a in gateway.attempts.in_flight.values())
    if waiting <= gateway.fleet.free_attempts:
        return 0.0
    fleet = gateway.fleet
    prior = LATENCY_PRIOR_ANSWERS if fleet.recent_latency else 0.0
    rate = fleet.answer_rate * math.exp((fleet.last_answer_at - now) / 800.0)
    return (waiting + prior) * 1000 / max(rate + prior * 1000 / max(1.0, fleet.recent_latency), 1e-9)


@given(st.lists(st.tuples(st.sampled_from(["ask", "end", "wait"]), st.integers(0, 400)), max_size=60))
def test_count_of_waiting_attempts_equals_a_full_scan(steps: list[tuple[str, int]]) -> None:
    world = World([entry(n) for n in range(1, 4)], gateways=1)
    out: list[api.Send] = []
    for _ in range(3):  # answers make the latencies known
        world.end(sends(world.ask("wipe", "none"))[0])
        world.now += 40
    for what, amount in steps:
        if what == "ask":
            out += sends(world.ask("wipe", "none", customer=f"c{amount}", life=60_000))
        elif what == "end" and out:
            world.end(out.pop(amount % len(out)), api.Outcome.FAILED)  # a failure says nothing about latency
        else:
            world.now += amount
        assert world.gateway.shedding.estimate_latency(world.now) == scan_latency(world.gateway, world.now)


@pytest.mark.patches_inside
def test_choice_examines_few_backends_of_a_large_fleet_and_over_time_all(monkeypatch: Any) -> None:
    examined: list[list[Backend]] = []
    real = Fleet.choose_cheapest

    def cheapest(self: Fleet, now: float, marks: Any, among: list[Backend]) -> Backend | None:
        examined.append(among)
        return real(self, now, marks, among)

    monkeypatch.setattr(Fleet, "choose_cheapest", cheapest)
    world = World([entry(n) for n in range(200)], gateways=1)
    chosen = Counter[int]()
    for number in range(2_000):
        (send,) = sends(world.ask(plan="none", customer=f"c{number}"))
        chosen[send.backend] += 1
        world.end(send)
        world.now += 1
    assert max(map(len, examined)) <= MAX_CANDIDATES
    assert len(chosen) == 200 and max(chosen.values()) < 60


def test_choice_in_a_small_fleet_examines_all_backends() -> None:
    world = World([entry(n) for n in range(12)], gateways=1)
    (send,) = sends(world.ask(plan="none"))
    slow = world.gateway.fleet.backends[send.backend]
    for b in world.gateway.fleet.backends.values():
        b.open_attempts = 50 if b is not slow else 0
    chosen = {sends(world.ask(plan="none", customer=f"c{n}"))[0].backend for n in range(4)}
    assert chosen == {slow.id}


def test_noise_quantiles_are_sorted_and_have_the_expected_mean() -> None:
    mean = sum(NOISE_QUANTILES) / len(NOISE_QUANTILES)
    assert sorted(NOISE_QUANTILES) == NOISE_QUANTILES and abs(mean - math.gamma(1.25)) < 0.01


def test_requests_due_together_share_a_timer_and_all_are_checked() -> None:
    world = World([entry(n) for n in range(1, 40)], gateways=1)
    before = len([a for _, a in world.log if isinstance(a, api.SetTimer)])
    for number in range(30):
        assert sends(world.ask("wipe", "none", customer=f"c{number}", life=500))
    timers = [a for _, a in world.log if isinstance(a, api.SetTimer)][before:]
    assert len(timers) == 1
    ended = [a for a in world.pass_time(600) if isinstance(a, api.Fail)]
    assert len(ended) == 30 and not world.gateway.attempts.requests and not world.gateway.attempts.timer_wheel


def test_backend_becomes_warm_at_its_time() -> None:
    world = World(gateways=1)
    world.give(backends(entry(1, started=world.now)))
    assert not world.gateway.fleet.warm
    world.pass_time(9_999)
    world.ask(plan="none")
    assert not world.gateway.fleet.warm
    world.pass_time(2)
    assert sends(world.ask(plan="none")) and [b.id for b in world.gateway.fleet.warm] == [1]


def test_finished_request_leaves_no_reference_cycle() -> None:
    world = World([entry(n) for n in range(1, 9)], gateways=1)
    gc.collect()
    gc.disable()
    try:
        for number in range(300):
            (send,) = sends(world.ask(SAFE.name, "none", customer=f"c{number % 7}"))
            world.end(send)
            world.pass_time(20)
        world.log.clear()
        assert gc.collect() < 300
    finally:
        gc.enable()


def test_candidates_are_drawn_evenly_and_in_changing_combinations() -> None:
    world = World([entry(n) for n in range(200)], gateways=1)
    gateway = world.gateway
    drawn, company = Counter[int](), Counter[tuple[int, int]]()
    for _ in range(8_000):
        few = [b.id for b in gateway.fleet.draw_candidates(gateway.fleet.warm)]
        assert len(set(few)) == MAX_CANDIDATES
        drawn.update(few)
        company.update((a, b) for a in few for b in few if a == 0 < b)
    mean = 8_000 * MAX_CANDIDATES / 200
    assert len(drawn) == 200 and max(abs(n - mean) for n in drawn.values()) < 0.25 * mean
    # If neighbours were always drawn together, a choice within a failing zone would find no other backend.
    assert len({b for _, b in company}) > 100 and max(company.values()) < drawn[0] / 3
