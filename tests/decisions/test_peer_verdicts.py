"""What other gateways found failing, as a prior: kept off at once, and until an own answer says otherwise."""

from __future__ import annotations

import math

from helpers import World, entry, sends

from mintford import interface as api


def world() -> World:
    return World([entry(1, started=5.0), entry(2, started=5.0)], has_counter=False)


def met(made: World, level: float, seen_at: float, started: float = 5.0, times: int = 100) -> int:
    """How often backend 1 is chosen while others say that of it, of requests that all are answered."""
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
    assert met(made, 0.0, math.inf) > 20
    assert met(made, 0.9, math.inf) <= 5
    made.give(api.PeerVerdictsChanged({}))
    assert met(made, 0.0, math.inf) > 20


def test_verdict_about_an_earlier_start_is_ignored() -> None:
    assert met(world(), 0.9, math.inf, started=4.0) > 20


def test_own_answer_overrides_earlier_peer_verdicts() -> None:
    made = world()
    seen_at = made.now
    while not met(made, 0.9, seen_at, times=1):
        pass
    assert met(made, 0.9, seen_at) > 20
    assert met(made, 0.9, math.inf) <= 5  # and not before what they see later


def test_old_class_marks_do_not_hide_a_peer_verdict() -> None:
    """They say nothing of a backend that began to fail since."""
    made = world()
    for _ in range(40):
        for sent in sends(made.ask(customer="d", plan="none")):
            failed = sent.backend == 1 and made.serial < 10
            made.end(sent, api.Outcome.FAILED if failed else api.Outcome.OK, finished=True)
    assert "class view" in made.gateway.fleet.backends[1].marks
    made.now += 60_000.0
    assert met(made, 0.9, math.inf) <= 5
