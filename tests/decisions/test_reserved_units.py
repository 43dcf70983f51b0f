"""A single call reads the counter and adds a request's units, so no other gateway can spend them."""

from __future__ import annotations

import pytest
from helpers import Counter, World, counts, entry, refusals, sends

from mintford import interface as api
from mintford.quotas import EPOCH_MS, MIN_CALL_BUDGET_RATIO, MIN_REFRESH_INTERVAL_MS

# With many backends only quotas refuse. The even share of a store of eight requests is four.
MANY = [entry(n) for n in range(40)]
TERMS = dict(gateways=2, capabilities=api.Capabilities(settles_units=True))


def spent(actions: list[api.Action]) -> list[api.AddToCounter]:
    return [call for call in counts(actions) if call.name.startswith("s")]


def late_in_epoch(world: World) -> None:
    """Advance to a time when the last epoch's units are refilled, so that its total is not read."""
    world.pass_time(EPOCH_MS - 5_000 - world.now % EPOCH_MS)


def test_single_request_of_a_customer_makes_one_call() -> None:
    world, counter = World(MANY, **TERMS), Counter()
    late_in_epoch(world)
    actions = counter.play(world, world.ask())
    assert len(sends(actions)) == 1
    assert [call.amount for call in spent(actions)] == [1.0]
    assert counter.spent("c") == 1.0


def test_two_simultaneous_gateways_do_not_both_spend_the_last_units() -> None:
    """Both calls are in flight before either is answered. The later answer contains the other's units."""
    one, two, counter = World(MANY, index=0, **TERMS), World(MANY, seed=2, index=1, **TERMS), Counter()
    for world in (one, two):
        late_in_epoch(world)
    while any([sends(counter.play(world, world.ask())) for world in (one, two)]):
        pass  # both gateways know that the store is empty
    for world in (one, two):  # one unit is refilled
        world.pass_time(600)
    tries = [(world, world.ask()) for world in (one, two)]
    through = sum(len(sends(counter.play(world, actions))) for world, actions in tries)
    assert through <= 1


def test_refused_request_returns_its_reserved_units_at_once() -> None:
    world, counter = World(MANY, max_request_units=4, **TERMS), Counter()
    late_in_epoch(world)
    world.give(api.BackendsChanged(api.ListScope.FULL, ()))  # no backend is left
    actions = counter.play(world, world.ask())
    assert refusals(actions) and [call.amount for call in spent(actions)] == [1.0, -1.0]
    assert counter.spent("c") == 0.0


def test_call_that_did_not_run_is_charged_once() -> None:
    for outcome in (api.Outcome.FULL, api.Outcome.CONNECT):
        world = World(MANY, **TERMS)
        late_in_epoch(world)
        (call,) = spent(world.ask())
        sent = world.give(api.CounterReplied(call.name, outcome, 0.0))
        c = world.gateway.quotas.customers["c"]
        reported = sum(call.amount for call in spent(sent))
        assert len(sends(sent)) == 1 and c.unreported_units + reported == 1.0, (
            "charged once, and still to be reported"
        )


def test_added_call_without_an_answer_is_not_mistaken_for_peer_spending() -> None:
    world, counter = World(MANY, **TERMS), Counter()
    late_in_epoch(world)
    counter.play(world, world.ask())
    c = world.gateway.quotas.customers["c"]
    world.pass_time(200)
    (call,) = spent(world.ask())
    counter.reply(world.now, call)  # added, but its answer is lost
    counter.play(world, world.give(api.CounterReplied(call.name, api.Outcome.TIMED_OUT, 0.0)))
    world.pass_time(200)
    counter.play(world, world.ask())
    assert counter.spent("c") + c.unreported_units == 3.0
    assert 8 - 3 - 0.01 <= c.store <= 8 - 3 + 2 * 0.4 + 0.01, "three requests, and the refill"


@pytest.mark.parametrize("elsewhere", [0, 3])
def test_unanswered_call_that_was_not_added_returns_no_units(elsewhere: int) -> None:
    world, other = World(MANY, **TERMS), World(MANY, seed=2, index=1, **TERMS)
    counter = Counter()
    for each in (world, other):
        late_in_epoch(each)
    counter.play(world, world.ask())
    world.pass_time(200)
    (call,) = spent(world.ask())
    counter.play(world, world.give(api.CounterReplied(call.name, api.Outcome.TIMED_OUT, 0.0)))
    c = world.gateway.quotas.customers["c"]
    other.pass_time(200)
    for _ in range(elsewhere):
        counter.play(other, other.ask())
    world.pass_time(200)
    counter.play(world, world.ask())
    unseen = min(1, elsewhere)  # as many peer units as the unanswered call might have added
    assert c.store <= 8 - 3 - elsewhere + unseen + 2 * 0.4 + 0.01


def test_only_a_crowded_counter_reduces_the_call_budget() -> None:
    broken, crowded = World(MANY, **TERMS), World(MANY, **TERMS)
    for world, wait in ((broken, 1.0), (crowded, 50.0)):
        for n in range(60):
            calls = counts(world.ask(customer=f"c{n}"))
            world.pass_time(wait)
            for call in calls:
                world.give(api.CounterReplied(call.name, api.Outcome.TIMED_OUT, 0.0))
    assert broken.gateway.quotas.call_budget == 1.0
    assert crowded.gateway.quotas.call_budget < 3 * MIN_CALL_BUDGET_RATIO


def test_first_reading_gives_a_lower_bound_of_the_store() -> None:
    """One of eight units is spent elsewhere. Seven certainly remain, not only the even share of four."""
    one, two, counter = World(MANY, index=0, **TERMS), World(MANY, seed=2, index=1, **TERMS), Counter()
    for world in (one, two):
        late_in_epoch(world)
    assert len(sends(counter.play(one, one.ask()))) == 1
    through = sum(len(sends(counter.play(two, two.ask("order")))) for _ in range(12))
    assert through == 7


def test_first_reading_early_in_an_epoch_includes_the_last_epoch() -> None:
    one, two, counter = World(MANY, index=0, **TERMS), World(MANY, seed=2, index=1, **TERMS), Counter()
    for world in (one, two):
        world.pass_time(EPOCH_MS - 200 - world.now % EPOCH_MS)
    while sends(counter.play(one, one.ask())):
        pass  # all eight units, in the old epoch
    two.pass_time(300)
    through = sum(len(sends(counter.play(two, two.ask()))) for _ in range(12))
    assert through <= 4, "the even share, as the spending may have been long ago"


def test_counter_that_is_down_is_not_called_for_every_request() -> None:
    world, calls = World(MANY, **TERMS), 0
    for _ in range(100):
        todo = world.ask(customer="c")
        while todo:
            action = todo.pop(0)
            if isinstance(action, api.AddToCounter):
                calls += 1
                todo += world.give(api.CounterReplied(action.name, api.Outcome.CONNECT, 0.0))
            elif isinstance(action, api.Send):
                world.end(action)
        world.pass_time(20)
    c = world.gateway.quotas.customers["c"]
    assert c.failed_calls > 2 and calls <= 4 * (2000 / MIN_REFRESH_INTERVAL_MS + 2), (
        "two seconds, with reads of the last epoch"
    )


def test_ample_plan_is_reported_rarely_and_not_for_every_request() -> None:
    plan = api.Plan("basic", rate=1000, burst=2000, overage_cost=1)
    world, counter = World(MANY, plans=(plan,), **TERMS), Counter()
    for _ in range(100):
        for send in sends(counter.play(world, world.ask())):
            world.end(send)
        world.pass_time(1)
    assert counter.calls <= 6
    c = world.gateway.quotas.customers["c"]
    assert counter.spent("c") + c.unreported_units == 100
