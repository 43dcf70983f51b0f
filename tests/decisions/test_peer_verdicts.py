"""Backends that peers find failing are avoided at once, until this gateway gets an answer of its own."""

from __future__ import annotations

import math

from helpers import World, entry, sends

from mintford import interface as api


def world() -> World:
    return World([entry(1, started=5.0), entry(2, started=5.0)], has_counter=False)


def count_choices(made: World, level: float, seen_at: float, started: float = 5.0, times: int = 100) -> int:
    """Count how often backend 1 is chosen while peers report this level of failure. All requests are
    answered.
    """
    count = 0
    for _ in range(times):
        made.give(api.PeerVerdictsChanged({1: (started, level, seen_at)}))
        made.now += 20.0
        (sent,) = sends(made.ask(customer="d", plan="none"))
        count += sent.backend == 1
        made.end(sent)
    return count


def test_backend_that_peers_find_failing_is_avoided_until_they_withdraw_it() -> None:
    made = world()
    assert count_choices(made, 0.0, math.inf) > 20
    assert count_choices(made, 0.9, math.inf) <= 5
    made.give(api.PeerVerdictsChanged({}))
    assert count_choices(made, 0.0, math.inf) > 20


def test_verdict_about_an_earlier_start_is_ignored() -> None:
    assert count_choices(world(), 0.9, math.inf, started=4.0) > 20


def test_own_answer_overrides_earlier_peer_verdicts() -> None:
    made = world()
    seen_at = made.now
    while not count_choices(made, 0.9, seen_at, times=1):
        pass
    assert count_choices(made, 0.9, seen_at) > 20
    assert count_choices(made, 0.9, math.inf) <= 5  # later verdicts of peers still count


def test_old_class_marks_do_not_hide_a_peer_verdict() -> None:
    """Old marks say nothing about a backend that has begun to fail since."""
    made = world()
    for _ in range(40):
        for sent in sends(made.ask(customer="d", plan="none")):
            failed = sent.backend == 1 and made.serial < 10
            made.end(sent, api.Outcome.FAILED if failed else api.Outcome.OK, finished=True)
    assert "class view" in made.gateway.fleet.backends[1].marks
    made.now += 60_000.0
    assert count_choices(made, 0.9, math.inf) <= 5
