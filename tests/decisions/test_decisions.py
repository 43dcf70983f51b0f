"""Backend choice, health, further attempts, overload and the guards of the five rules, without a
simulator.
"""

from __future__ import annotations

import pytest
from helpers import BASIC, World, backends, entry, refusals, sends

from mintford import interface as api

WIDE = api.Plan("basic")  # no quota, so that only the backends decide
OPEN = dict(plans=(WIDE,), has_counter=False)


def world(*entries: api.BackendEntry, **changes: object) -> World:
    return World(entries, **{**OPEN, **changes})


def one(actions: list[api.Action]) -> api.Send:
    (send,) = sends(actions)
    return send


def served_by(w: World, tries: int) -> set[int]:
    used = set()
    for _ in range(tries):
        send = one(w.ask())
        w.pass_time(20)
        w.end(send)
        used.add(send.backend)
        w.pass_time(20)
    return used


def warm_up(w: World, rounds: int = 60, gap: float = 20, lag: float = 20) -> None:
    for _ in range(rounds):
        send = one(w.ask())
        w.pass_time(lag)
        w.end(send)
        w.pass_time(gap)


def test_empty_backend_list_refuses_at_once() -> None:
    w = world()
    w.give(backends())
    assert refusals(w.ask()) and not sends(w.ask())


def test_draining_and_removed_backends_get_no_new_requests() -> None:
    w = world()
    w.give(backends(entry(1, api.BackendState.DRAINING), scope=api.ListScope.CHANGES))
    w.give(backends(entry(2, api.BackendState.GONE), scope=api.ListScope.CHANGES))
    assert served_by(w, 5) == {3}


def test_full_list_removes_backends_that_it_omits() -> None:
    w = world()
    w.give(backends(entry(2)))
    assert served_by(w, 5) == {2}


def test_failed_list_keeps_the_old_one_and_is_requested_again() -> None:
    w = world(must_subscribe_backends=True)
    w.give(api.BackendsChanged(api.ListScope.FAILED, ()))
    assert one(w.ask())
    timers = [a for _, a in w.log if isinstance(a, api.SetTimer) and a.token == "follow"]
    assert timers
    assert any(isinstance(a, api.SubscribeBackends) for a in w.give(api.TimerFired("follow")))


def test_failing_backend_is_avoided_and_later_retested() -> None:
    w = world()
    warm_up(w)
    bad, shares = 1, []
    for _ in range(2):
        hits = 0
        for _ in range(60):
            send = one(w.ask())
            while True:
                hits += send.backend == bad
                w.pass_time(20)
                outcome = api.Outcome.FAILED if send.backend == bad else api.Outcome.OK
                again = sends(
                    w.end(send, outcome, attempt=0 if send.backend == bad else attempt_number(w, send))
                )
                if not again:
                    break
                send = again[0]
        shares.append(hits)
    assert shares[0] <= 10 and shares[1] <= 10
    w.pass_time(20_000)
    assert bad in served_by(w, 40)


def attempt_number(w: World, send: api.Send) -> int:
    return sum(1 for _, a in w.log if isinstance(a, api.Send) and a.request == send.request) - 1


def test_silent_backend_is_avoided_while_others_answer() -> None:
    w = world()
    warm_up(w)
    hung = 0
    for _ in range(150):
        send = one(w.ask("wipe", life=60_000))
        w.pass_time(50)
        if send.backend == 1:
            hung += 1
        else:
            w.end(send)
    assert hung <= 8


def test_overload_is_refused_early_and_the_less_important_class_first() -> None:
    """Guards against judging overload by latency, which shows it and its end a whole queue too late."""
    w = world()
    warm_up(w)
    out = []
    while len(out) < 500 and (s := sends(w.ask("view"))):
        out += s
    assert len(out) < 100
    assert (important_sends := sends(w.ask("order"))), "the more important class is still admitted"
    while s := sends(w.ask("order")):
        out += s
    out += important_sends
    for send in out:
        w.end(send)
    w.pass_time(100)
    assert sends(w.ask("view")), "refusals end as soon as the load ends"


def test_less_important_class_with_a_longer_target_does_not_delay_others() -> None:
    """Guards against judging each class by its own target: the least important one then filled every
    queue.
    """
    quote = api.RequestClass(
        "quote", latency_target=1500, deadline=4000, importance=1, effect=api.Effect.SAFE
    )
    payout = api.RequestClass("payout", latency_target=1200, deadline=4000, importance=3)
    slow = api.RequestClass("slow", latency_target=9000, deadline=9000, importance=3)
    w = world(classes=(quote, payout, slow))
    for _ in range(60):
        send = one(w.ask("payout"))
        w.pass_time(20)
        w.end(send)
    waits = {}
    for name in ("quote", "payout", "slow"):
        while sends(w.ask(name)):
            pass
        waits[name] = w.gateway.shedding.estimate_latency(w.now)
    assert waits["quote"] < 0.5 * waits["payout"] <= 0.5 * 0.7 * payout.latency_target
    assert waits["slow"] == waits["payout"], (
        "equally important with a longer target: it may not delay the other"
    )


def test_gateway_without_answers_admits_requests() -> None:
    """Guards against a deadlock: in a large fleet less than one request was allowed, so no answer ever
    came.
    """
    w = world(gateways=1000)
    assert len(sends(w.ask()) + sends(w.ask())) == 2


def test_request_that_did_not_run_is_sent_to_another_backend() -> None:
    w = world()
    for name in ("view", "order", "wipe"):
        first = one(w.ask(name))
        again = one(w.end(first, api.Outcome.CONNECT))
        assert again.backend != first.backend


def test_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused() -> None:
    for outcome in (api.Outcome.FAILED, api.Outcome.RESET, api.Outcome.TIMED_OUT):
        w = world()
        send = one(w.ask("wipe"))
        assert w.end(send, outcome) == [api.Fail(send.request)]


def test_keyed_request_is_repeated_only_in_its_dedup_scope_and_window() -> None:
    w = world(entry(1, cell=0), entry(2, cell=1), entry(3, cell=0))
    first = one(w.ask("order"))
    same_cell = {1: {3}, 3: {1}, 2: set()}[first.backend]
    assert {s.backend for s in sends(w.end(first, api.Outcome.FAILED))} == same_cell
    lone = world(entry(1, cell=0), entry(2, cell=1))
    first = one(lone.ask("order"))
    assert lone.end(first, api.Outcome.FAILED) == [api.Fail(first.request)]
    late = world(entry(1, cell=0), entry(3, cell=0))
    late.gateway.classes["order"] = api.RequestClass(
        "order", 5000, 9000, 1, api.Effect.KEYED, api.DedupScope.CELL, 2000
    )
    first = one(late.ask("order", life=9000))
    late.now += 1990
    assert late.end(first, api.Outcome.FAILED) == [api.Fail(first.request)]


def test_further_attempts_stop_when_the_retry_budget_is_spent() -> None:
    w = world()
    sent = asked = 0
    for _ in range(300):
        batch = sends(w.ask())
        asked += 1
        attempt = 0
        while batch:
            sent += 1
            batch = sends(w.end(batch[0], api.Outcome.FAILED, attempt))
            attempt += 1
        w.pass_time(50)
    assert sent <= asked * 1.6 + 10


def test_open_request_is_ended_before_it_expires() -> None:
    w = world()
    send = one(w.ask("wipe", life=3000))
    w.pass_time(2960)
    ends = [(t, a) for t, a in w.log if isinstance(a, api.Fail) and a.request == send.request]
    assert len(ends) == 1 and ends[0][0] <= 13_000
    assert w.end(send, api.Outcome.TIMED_OUT) == []


def test_overdue_attempt_is_moved_once() -> None:
    """Guards against duplicate work for every long request, and against waiting for a silent backend."""
    w = world()
    warm_up(w, lag=50)
    first = one(w.ask(life=60_000))
    assert not [a for a in w.pass_time(430) if isinstance(a, api.Cancel)]
    assert [a for a in w.pass_time(60) if isinstance(a, api.Cancel)] == [api.Cancel(first.request, 0)]
    again = one(w.end(first, api.Outcome.CANCELLED))
    assert again.backend != first.backend


@pytest.mark.parametrize(
    ("name", "entries", "changes"),
    [
        ("view", (entry(1),), {}),
        ("view", (entry(1), entry(2)), {"max_attempts": 1}),
        ("order", (entry(1, cell=1), entry(2, cell=2)), {}),
    ],
    ids=["only backend", "last attempt", "only backend that drops repeats of a keyed request"],
)
def test_overdue_attempt_goes_on_if_no_other_one_is_possible(
    name: str, entries: tuple[api.BackendEntry, ...], changes: dict[str, object]
) -> None:
    """Otherwise its client gets a refusal, or a failure, in place of an answer that is merely late."""
    w = world(*entries, **changes)
    warm_up(w, lag=2)
    late = one(w.ask(name, life=2_500))
    assert not [a for a in w.pass_time(800) if not isinstance(a, api.SetTimer)]
    assert w.end(late) == [], "the answer is the final one"
    unanswered = one(w.ask(name, life=2_500))
    ends = [a for a in w.pass_time(2_500) if isinstance(a, api.Refuse | api.Fail)]
    assert [(a.request, a.reason) for a in ends] == [(unanswered.request, api.RefusalReason.EXPIRED)]


def test_overdue_attempt_is_moved_once_another_backend_is_listed() -> None:
    w = world(entry(1))
    warm_up(w, lag=2)
    first = one(w.ask(life=2_500))
    w.pass_time(100)
    w.give(backends(entry(2), scope=api.ListScope.CHANGES))
    assert api.Cancel(first.request, 0) in w.pass_time(200)
    assert one(w.end(first, api.Outcome.CANCELLED)).backend == 2


def test_failures_of_one_class_at_a_backend_are_distinguished() -> None:
    """Guards against a backend that fails a single class, looks half healthy and keeps getting that class."""
    w = world(max_attempts=1)
    hits = {"view": 0, "order": 0}
    for i in range(400):
        name = "order" if i % 2 else "view"
        send = one(w.ask(name))
        w.pass_time(20)
        bad = send.backend == 1 and name == "order"
        w.end(send, api.Outcome.FAILED if bad else api.Outcome.OK)
        hits[name] += send.backend == 1 and i > 100
    assert hits["order"] <= 8 and hits["view"] >= 25


def test_gateways_of_a_large_fleet_use_small_subsets_that_cover_evenly() -> None:
    """Guards against using each backend only once a minute, which is too rare to judge its health."""
    fleet, uses = [entry(i) for i in range(70)], dict.fromkeys(range(70), 0)
    for index in range(300):
        w = World(fleet, **{**OPEN, "gateways": 300, "index": index})
        assert 8 <= len(w.gateway.fleet.subset) <= 16
        for b in w.gateway.fleet.subset:
            uses[b.id] += 1
    assert min(uses.values()) >= 0.6 * 300 * 8 / 70 and max(uses.values()) <= 1.4 * 300 * 8 / 70


def test_gateway_with_few_requests_sheds_by_recent_latency() -> None:
    """Guards against three open requests at each of hundreds of gateways, which delay all beyond the
    target.
    """
    w = world(gateways=300)
    for lag in (100, 1500, 100):
        sent = 0
        for i in range(90):
            for send in sends(w.ask()):
                sent += i >= 30
                w.pass_time(lag)
                w.end(send, attempt=attempt_number(w, send))
            w.pass_time(400)
        assert sent < 36 if lag == 1500 else sent > 54


def test_all_cold_fleet_serves_few_requests_and_then_all() -> None:
    w = world(entry(1, started=9_900), entry(2, started=9_900), entry(3, started=9_900))
    served = [0, 0]
    for half in (0, 1):
        for _ in range(100):
            for send in sends(w.ask()):
                served[half] += 1
                w.end(send)
            w.pass_time(105)
    assert 10 < served[0] < 70 and served[1] == 100


def test_cold_backend_gets_less_than_its_least_capacity_from_many_gateways() -> None:
    """Guards against many gateways that together overload a cold backend with small shares."""
    hits = 0
    for index in range(200):
        w = World(
            [entry(i, started=9_990 if i == 5 else 0) for i in range(20)],
            seed=index,
            **{**OPEN, "gateways": 200, "index": index},
        )
        for _ in range(10):
            send = one(w.ask())
            hits += send.backend == 5
            w.end(send)
    assert hits <= 0.2 * 2000 / 20


def test_extreme_settings_leave_no_open_request() -> None:
    for spread in (0, 1, 5000):
        for rate in (0.01, 10_000.0):
            for gateways in (1, 1000):
                plan = api.Plan("basic", rate=rate, burst=rate)
                w = World([entry(1)], plans=(plan,), gateways=gateways, index=gateways - 1)
                for life in (0, 3000):
                    w.ask(spread=spread, life=life)
                    w.pass_time(4000)
                assert not w.gateway.attempts.requests
    none = World(gateways=1000)
    none.give(backends())
    none.ask(spread=1, life=1000)
    none.pass_time(2000)
    assert not none.gateway.attempts.requests


def test_unknown_events_are_ignored() -> None:
    w = world()
    w.give(api.AttemptEnded("nobody", 0, 9, api.Outcome.OK, 1, True))
    w.give(api.RequestAbandoned("nobody"))
    w.give(api.TimerFired("unwanted"))
    w.give(api.CounterReplied("nothing", api.Outcome.OK, 1))
    w.give(api.PeerMessageReceived(1, b"\xff\x00"))
    w.give(api.ResponseStarted("nobody", 0, 1))
    send = one(w.ask("no such class", "no such plan"))
    w.give(api.RequestAbandoned(send.request))
    assert w.end(send, api.Outcome.TIMED_OUT) == []
    w.end(send, api.Outcome.TIMED_OUT)


def test_cold_backend_gets_few_requests_until_it_is_warm() -> None:
    """Guards against every gateway sending a cold backend a warm one's load: it collapses and stays down."""
    w = world(entry(1), entry(2), entry(3))
    warm_up(w, 400)
    w.give(backends(entry(9, started=w.now - 100), scope=api.ListScope.CHANGES))
    early = [one(w.ask()) for _ in range(1)]
    w.end(early[0])
    mark = w.now
    warm_up(w, 50)
    counts = [a.backend for t, a in w.log if t >= mark and isinstance(a, api.Send)]
    assert counts.count(9) <= 0.25 * 0.5 * len(counts)
    w.pass_time(11_000)
    assert 9 in served_by(w, 40)


def test_plan_depends_on_its_terms_and_not_on_its_name() -> None:
    renamed = api.Plan("zzz", BASIC.rate, BASIC.burst)
    a = World(plans=(BASIC,))
    b = World(plans=(renamed,))
    for _ in range(30):
        assert a.ask(plan="basic") == b.ask(plan="zzz")
        a.pass_time(100)
        b.pass_time(100)


def test_own_zone_is_preferred_in_proportion_to_the_crossing_price() -> None:
    def other_zone_ratio(price: float, load: int = 0) -> float:
        entries = [entry(n) for n in (1, 2)]
        entries += [api.BackendEntry(n, "b", 1, 0, api.BackendState.READY) for n in (3, 4)]
        w = world(*entries, capabilities=api.Capabilities(price_crossing=price), seed=3)
        for b in w.gateway.fleet.backends.values():
            b.open_attempts = load if b.id < 3 else 0
        other_zone = 0
        for _ in range(400):
            send = one(w.ask("view", "none"))
            other_zone += send.backend > 2
            w.end(send)
        return other_zone / 400

    assert 0.42 < other_zone_ratio(0) < 0.58
    assert other_zone_ratio(0.02) < 0.35 and other_zone_ratio(0.05) < 0.2
    assert other_zone_ratio(0.02, load=2) > 0.9, "a busy zone is still avoided"


def test_overage_requests_are_shed_by_their_net_earnings() -> None:
    """Guards against tries that earn little filling the queue of those that earn their full worth."""
    rich = api.Plan("rich", rate=0.001, burst=1, overage_earnings=0.6, overage_cost=0.2)
    poor = api.Plan("poor", rate=0.001, burst=1, overage_earnings=0.2, overage_cost=0.3)
    w = world(plans=(rich, poor), has_counter=False)
    warm_up(w)
    assert sends(w.ask("order", "poor", "p")) and not sends(w.ask("order", "poor", "p")), (
        "it costs more than it earns"
    )
    sent = [0, 0]
    for turn, plan in enumerate(("rich", "none")):
        while sends(w.ask("order", plan, plan)):
            sent[turn] += 1
    assert sent[0] > 3, "with spare capacity a try beyond the quota is admitted"
    assert sent[1] > 1, "and leaves capacity for those within their quota"
