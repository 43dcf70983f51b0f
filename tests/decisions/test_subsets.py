"""Subsets of backends in a large fleet: small, evenly covering, and with a part of every zone."""

from __future__ import annotations

from collections import Counter

import pytest
from helpers import World

from mintford import interface as api
from mintford.load import MIN_GATEWAYS_PER_BACKEND, MIN_SUBSET_SIZE
from mintford.rules import Gateway

VIEW = api.RequestClass("view", latency_target=1000, deadline=3000, effect=api.Effect.SAFE)
RULES = api.SafetyRules(1000, 0.2, 10_000, 2)


def entries(zones: dict[str, int]) -> tuple[api.BackendEntry, ...]:
    numbered = [zone for zone, count in zones.items() for _ in range(count)]
    return tuple(api.BackendEntry(7 * n, z, 0, 0, api.BackendState.READY) for n, z in enumerate(numbered))


def subset(index: int, gateways: int, listed: tuple[api.BackendEntry, ...]) -> list[api.BackendEntry]:
    gateway = Gateway(api.Settings(index, gateways, "a", (VIEW,), (), RULES, 3), seed=index)
    gateway.handle(0, api.BackendsChanged(api.ListScope.FULL, listed))
    return [b.entry for b in gateway.fleet.subset]


@pytest.mark.parametrize("gateways", [20, 40, 200])
@pytest.mark.parametrize("zones", [{"a": 60}, {"a": 30, "b": 30}, {"a": 50, "b": 17, "c": 5}, {"a": 47}])
def test_backends_are_used_by_about_equally_many_gateways(gateways: int, zones: dict[str, int]) -> None:
    listed = entries(zones)
    chosen = [subset(n, gateways, listed) for n in range(gateways)]
    covered = Counter(e.backend for one in chosen for e in one)
    assert set(covered) == {e.backend for e in listed}
    assert max(covered.values()) - min(covered.values()) <= 1  # the last round may be incomplete
    assert max(map(len, chosen)) - min(map(len, chosen)) <= 1
    wanted = max(MIN_SUBSET_SIZE, MIN_GATEWAYS_PER_BACKEND * len(listed) / gateways)
    assert max(map(len, chosen)) <= 1.5 * wanted + 1 < len(listed), "a small part of the backends"


@pytest.mark.parametrize("gateways", [20, 200])
def test_subset_grows_little_with_sixteen_times_the_backends(gateways: int) -> None:
    """With 3,200 backends instead of 200, a gateway may use at most twice the descriptors plus 40.

    STANDING states this bound. Each used backend holds a connection, and the subset grows with the backends
    per gateway. A process in a fleet of 20 gateways held 209 descriptors with 200 backends and 1,512 with
    3,200. In a fleet of 200 gateways it held 58 and 262.
    """
    usual, many = (len(subset(0, gateways, entries({"a": count}))) for count in (200, 3_200))
    assert many <= 2 * usual + 40


@pytest.mark.parametrize("gateways", [40, 200])
def test_lost_zone_takes_only_its_part_of_each_subset(gateways: int) -> None:
    listed = entries({"a": 40, "b": 20})
    for n in range(gateways):
        one = subset(n, gateways, listed)
        lost = sum(e.zone == "b" for e in one)
        assert abs(lost - len(one) / 3) <= 1


def test_small_fleet_uses_all_backends() -> None:
    listed = entries({"a": 9, "b": 8})
    assert all(len(subset(n, 4, listed)) == 17 for n in range(4))


def test_failures_of_one_class_count_for_classes_without_recent_answers() -> None:
    """Guards against each class and plan of a gateway with few requests having to fail by itself first."""
    world = World(plans=())
    marks = "all", "class view", "plan none"
    b = world.gateway.fleet.backends[1]
    for _ in range(3):
        world.gateway.fleet.record_outcome(world.now, b, marks, api.Outcome.FULL, 1.0, 500.0)
    other_marks = "all", "class order", "plan other"
    assert world.gateway.fleet.estimate_failure_ratio(world.now, b, other_marks) > 0.5
    for _ in range(9):
        world.gateway.fleet.record_outcome(world.now, b, other_marks, api.Outcome.OK, 50.0, 500.0)
        world.gateway.fleet.record_outcome(world.now, b, marks, api.Outcome.FULL, 1.0, 500.0)
    world.now += 100
    assert world.gateway.fleet.estimate_failure_ratio(world.now, b, other_marks) < 0.1, (
        "the other class has recent answers"
    )
    assert world.gateway.fleet.estimate_failure_ratio(world.now, b, marks) > 0.5
