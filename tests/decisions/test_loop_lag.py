"""Lag of the gateway's own loop: early refusals, and backends that are not blamed for it."""

from __future__ import annotations

import random

import pytest
from helpers import KEYED, SAFE, UNSAFE, World, entry, sends
from hypothesis import given
from hypothesis import strategies as st

from mintford import interface as api
from mintford.shedding import MAX_SHED_LEVEL, TARGET_LAG_MS


def measure_lag(world: World, lag: float, count: int) -> None:
    for _ in range(count):
        world.give(api.LoopLagMeasured(lag))
        world.now += 20


def admitted_ratio(world: World, name: str, of: int = 400) -> float:
    return sum(world.gateway.get_early_refusal(name) is None for _ in range(of)) / of


def test_no_request_is_refused_early_without_lag() -> None:
    world = World()
    measure_lag(world, TARGET_LAG_MS * 0.8, 500)
    assert world.gateway.shed_level == 0 and admitted_ratio(world, SAFE.name) == 1.0


def test_least_important_classes_are_refused_first_with_a_retry_after() -> None:
    world = World()
    while world.gateway.shed_level < 0.55:
        measure_lag(world, TARGET_LAG_MS * 2, 1)
    shares = [admitted_ratio(world, kind.name) for kind in (SAFE, UNSAFE, KEYED)]  # worth 1, 2, 4
    assert shares[0] < 0.6 and shares == sorted(shares) and shares[2] > shares[0] + 0.2
    measure_lag(world, 200.0, 60)
    assert (
        world.gateway.get_early_refusal(SAFE.name) == 400.0
    )  # a part of its latency target, below the longest retry-after
    assert (
        admitted_ratio(world, KEYED.name) > 0
    )  # some are admitted, or the end of the overload would go unnoticed


@pytest.mark.parametrize("lag", [50.0, 200.0, 2_000.0])
def test_single_late_turn_of_the_loop_is_no_overload(lag: float) -> None:
    """A machine that gave the process no core for a moment leaves no queue of work behind."""
    world = World()
    for _ in range(3):
        measure_lag(world, lag, 1)
        assert world.gateway.shed_level == 0
        measure_lag(world, 0.0, 10)
    measure_lag(world, lag, 2)
    assert world.gateway.shed_level > 0, "a loop that is late again at once is overloaded"


def test_unknown_class_is_not_refused_early() -> None:
    world = World()
    measure_lag(world, 200.0, 100)
    assert world.gateway.get_early_refusal("nothing") is None


def test_shed_level_falls_gradually_after_the_lag_ends() -> None:
    world = World()
    measure_lag(world, 200.0, 100)
    assert world.gateway.shed_level == MAX_SHED_LEVEL
    levels = []
    for _ in range(200):
        measure_lag(world, 0.0, 1)
        levels.append(world.gateway.shed_level)
    assert levels[-1] == 0.0 and admitted_ratio(world, SAFE.name) == 1.0
    late = levels[20:]  # after the smoothed lag has decayed
    assert all(a >= b for a, b in zip(late, late[1:], strict=False)) and late[0] > 0.3


@given(st.lists(st.floats(0, 10_000), max_size=200))
def test_shed_level_stays_in_its_bounds(lags: list[float]) -> None:
    world = World()
    for lag in lags:
        measure_lag(world, lag, 1)
        assert 0 <= world.gateway.shed_level <= MAX_SHED_LEVEL


@pytest.mark.parametrize(("lag", "is_cancelled"), [(0.0, True), (400.0, False)])
def test_attempt_whose_answer_is_delayed_by_own_lag_is_not_cancelled(lag: float, is_cancelled: bool) -> None:
    world = World([entry(n) for n in range(1, 4)], gateways=1)
    for number in range(30):
        (send,) = sends(world.ask(plan="none", customer=f"c{number}"))
        world.pass_time(20)
        world.end(send)
    measure_lag(world, lag, 30)
    assert sends(world.ask(plan="none", customer="late"))
    actions = world.pass_time(500)
    assert any(isinstance(a, api.Cancel) for a in actions) == is_cancelled


def test_own_lag_does_not_mark_a_backend_slow() -> None:
    marks = []
    for lag in (0.0, 300.0):
        world = World([entry(n) for n in range(1, 4)], gateways=1)
        for number in range(40):
            (send,) = sends(world.ask(plan="none", customer=f"c{number}"))
            world.now += 20
            world.end(send)
        measure_lag(world, lag, 40)
        (send,) = sends(world.ask(plan="none", customer="late"))
        world.now += 320
        world.end(send)
        marks.append(world.gateway.fleet.backends[send.backend].marks["slow"][0])
    assert marks[1] < 0.2 * marks[0]


@pytest.mark.parametrize("seed", range(5))
def test_gateway_with_few_answers_does_not_mistake_chance_for_overload(seed: int) -> None:
    """Twelve random requests a second, each answered in 300 ms, are in time for a latency target of 1 s."""
    chance = random.Random(seed)
    world = World(
        [entry(n) for n in range(12)], seed, gateways=8, plans=()
    )  # 4.5 attempts are always allowed
    out: list[tuple[float, api.Send]] = []
    refused = asked = 0
    due = world.now
    while asked < 1_000:
        due += chance.expovariate(12) * 1000
        while out and out[0][0] <= due:
            world.now, send = out.pop(0)
            world.end(send)
        world.now, asked = due, asked + 1
        sent = sends(world.ask("order", "none", f"c{asked}"))
        refused += not sent
        out += [(due + 300, send) for send in sent]
    assert refused <= 0.01 * asked
