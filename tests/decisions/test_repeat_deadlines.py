"""A repeat carries the deadline to start it, because it may wait for a connection beyond its window."""

from __future__ import annotations

import math

import pytest
from helpers import KEYED, RULES, SAFE, UNSAFE, World, entry, sends, settings

from mintford import interface as api
from mintford.guards import EXPIRY_MARGIN_MS, can_repeat, get_repeat_deadline

FIRST, OTHER = entry(1), entry(2)


def repeat(kind: api.RequestClass, outcome: api.Outcome) -> api.Send | None:
    world = World((entry(1), entry(2), entry(3)), classes=(kind,), rules=RULES, has_counter=False)
    (first,) = sends(world.ask(kind.name))
    assert (first.attempt, first.send_deadline) == (0, math.inf)
    started_at = world.now
    world.pass_time(100)
    found = sends(world.end(first, outcome, finished=False))
    assert started_at == world.now - 100
    return found[0] if found else None


def test_repeat_of_a_keyed_request_carries_the_end_of_its_window() -> None:
    second = repeat(KEYED, api.Outcome.RESET)
    assert second is not None and second.attempt == 1
    assert second.send_deadline == 10_000 + KEYED.repeat_window - EXPIRY_MARGIN_MS


@pytest.mark.parametrize("outcome", [api.Outcome.CONNECT, api.Outcome.FULL, api.Outcome.IGNORED])
@pytest.mark.parametrize("kind", [SAFE, KEYED, UNSAFE], ids=lambda kind: kind.name)
def test_request_that_did_not_run_is_repeated_without_a_window(
    kind: api.RequestClass, outcome: api.Outcome
) -> None:
    second = repeat(kind, outcome)
    assert second is not None and second.send_deadline == math.inf


@pytest.mark.parametrize("outcome", [api.Outcome.RESET, api.Outcome.FAILED, api.Outcome.TIMED_OUT])
def test_unsafe_request_that_may_have_run_is_never_repeated(outcome: api.Outcome) -> None:
    assert repeat(UNSAFE, outcome) is None


@pytest.mark.parametrize("window", [0.0, 40.0, 60.0, 500.0])
def test_repeat_window_ends_a_margin_before_the_backends_forget(window: float) -> None:
    kind = api.RequestClass("k", 1000, 3000, effect=api.Effect.KEYED, repeat_window=window)
    until = get_repeat_deadline(kind, 1_000.0)
    assert until == 1_000 + window - EXPIRY_MARGIN_MS
    for now in (1_000.0, until - 1, until, until + 1):
        assert can_repeat(kind, FIRST, 1_000.0, OTHER, now) == (now < until)
    assert get_repeat_deadline(SAFE, 1_000.0) == math.inf
    assert get_repeat_deadline(UNSAFE, 1_000.0) <= 1_000.0
    assert settings().max_attempts == 3
