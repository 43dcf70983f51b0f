"""A cold backend gets no more than its part, although the clock of the gateway's machine is wrong."""

from __future__ import annotations

import pytest
from helpers import World, entry

from mintford import interface as api

HOUR_MS = 3_600_000.0
NOW = 1_800_000_000_000.0
REQUESTS = 1_500
BACKENDS = 6
COLD = 6
FREE = api.Plan("free")


def count_cold_sends(clock_error_ms: float, seen_live: bool = False) -> int:
    """Requests that go to a backend that started a second ago, at a gateway whose clock is off."""
    old, new = [entry(n) for n in range(1, BACKENDS)], entry(COLD, started=NOW - clock_error_ms - 1_000)
    first = old if seen_live else [*old, new]
    world = World(first, now=NOW, plans=(FREE,), has_counter=False)
    if seen_live:
        world.give(api.BackendsChanged(api.ListScope.CHANGES, (new,)))
    count = 0
    for _ in range(REQUESTS):
        for action in world.ask(plan="free", spread=1):
            if isinstance(action, api.Send):
                count += action.backend == COLD
                world.end(action)
        world.pass_time(1.0)
    return count


# Report c39a3a, related: a process that starts with a wrong clock sent a cold backend its full part.
@pytest.mark.parametrize("seen_live", [False, True])
@pytest.mark.parametrize("clock_error_ms", [HOUR_MS, -HOUR_MS, 24 * HOUR_MS])
def test_a_cold_backend_is_spared_although_the_clock_is_wrong(clock_error_ms: float, seen_live: bool) -> None:
    usual = count_cold_sends(0.0, seen_live)
    assert 0 < usual < REQUESTS / BACKENDS / 2
    assert count_cold_sends(clock_error_ms, seen_live) <= 1.5 * usual


def test_a_fleet_that_started_together_is_not_spared() -> None:
    world = World([entry(n, started=NOW - HOUR_MS) for n in range(4)], now=NOW)
    assert len(world.gateway.fleet.warm) == 4
