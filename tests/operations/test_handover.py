"""Two processes of one gateway: what they let out together, and what the link takes from a stranger."""

from __future__ import annotations

import json
import math
from typing import Any

import pytest
from helpers import FIRM, Counter, World, sends
from hypothesis import given
from hypothesis import strategies as st

from mintford import interface as api
from roadpulley.operations.handover import (
    HELLO,
    MAX_CUSTOMERS,
    PARTIAL_STATE,
    REMAINING_STATE,
    SERVING,
    VERSION,
    MessageError,
    decode_message,
    encode_message,
)

HARD = api.Plan(
    "firm", rate=10, burst=20, overage_cost=1, overage_earnings=2, ceiling_rate=20, ceiling_burst=40
)


def estate_of(actions: list[api.Action]) -> api.HandoverState:
    (told,) = [action.handover_state for action in actions if isinstance(action, api.SendHandover)]
    return told


def over_the_link(estate: api.HandoverState, kind: str, now: float) -> api.HandoverState:
    got = decode_message(encode_message(kind, "n0", estate), kind, "n0", now)
    assert got is not None
    return got


class Pair:
    """One gateway as two processes in virtual time; whatever breaks is a message that does not come."""

    def __init__(self, counted: bool) -> None:
        self.settings: dict[str, Any] = dict(gateways=1, plans=(HARD,), has_counter=counted)
        self.counter = Counter() if counted else None
        self.old, self.new = World(seed=1, **self.settings), World(seed=2, **self.settings)
        self.sent: list[float] = []

    def give(self, world: World, event: api.Event) -> list[api.Action]:
        actions = world.give(event)
        return self.counter.play(world, actions) if self.counter else actions

    def pass_time(self, milliseconds: float) -> None:
        for world in (self.old, self.new):
            actions = world.pass_time(milliseconds)
            if self.counter:
                self.counter.play(world, actions)

    def flood(self, world: World, requests: int) -> None:
        for _ in range(requests):
            world.serial += 1
            event = api.RequestArrived(f"r{world.serial}", "view", "firm", "c", world.now + 3000, 1.0, 1, 0)
            for send in sends(self.give(world, event)):
                self.sent.append(world.now)
                self.give(world, api.AttemptEnded(send.request, 0, send.backend, api.Outcome.OK, 1.0, True))

    def meet(self) -> None:
        given = estate_of(self.old.give(api.GatewayShareChanged(0.5)))
        self.new.give(api.GatewayShareChanged(0.5))
        self.new.give(api.HandoverReceived(over_the_link(given, PARTIAL_STATE, self.new.now)))

    def leave(self, told: bool) -> None:
        rest = estate_of(self.old.give(api.GatewayShareChanged(0.0)))
        self.new.give(api.GatewayShareChanged(1.0))
        if told:
            self.new.give(api.HandoverReceived(over_the_link(rest, REMAINING_STATE, self.new.now)))

    def check(self) -> None:
        """In no stretch of time more than the ceiling's burst and what its rate gives."""
        for first, begin in enumerate(self.sent):
            for last in range(first, len(self.sent)):
                span = (self.sent[last] - begin) / 1000
                assert last - first + 1 <= HARD.ceiling_burst + HARD.ceiling_rate * span + 1e-6


floods = st.lists(st.tuples(st.booleans(), st.integers(0, 60), st.integers(0, 1_500)), max_size=12)


@given(floods, floods, floods, st.booleans(), st.booleans())
def test_together_they_never_pass_a_ceiling(
    before: list[tuple[bool, int, int]],
    beside: list[tuple[bool, int, int]],
    after: list[tuple[bool, int, int]],
    told: bool,
    counted: bool,
) -> None:
    pair = Pair(counted)
    pair.pass_time(5_000)
    for _, requests, wait in before:
        pair.flood(pair.old, requests)
        pair.pass_time(wait)
    pair.meet()
    for of_new, requests, wait in beside:
        pair.flood(pair.new if of_new else pair.old, requests)
        pair.pass_time(wait)
    pair.leave(told)
    for _, requests, wait in after:
        pair.flood(pair.new, requests)
        pair.pass_time(wait)
    pair.check()


def test_a_new_process_goes_on_with_what_the_old_one_had_rather_than_from_nothing() -> None:
    pair = Pair(counted=False)
    pair.pass_time(10_000)
    pair.flood(pair.old, 1)  # the customer is known there
    pair.meet()
    pair.flood(pair.new, 30)
    begun = len(pair.sent)
    assert begun > HARD.ceiling_burst / 2 - 2  # half of a full ceiling; counted from nothing it would be none
    pair.leave(told=True)
    pair.flood(pair.new, 60)
    assert len(pair.sent) > begun + HARD.ceiling_burst / 2 - 2  # the other half


def test_a_customer_that_the_old_process_had_not_met_lately_has_a_full_ceiling_in_halves() -> None:
    pair = Pair(counted=False)
    pair.pass_time(10_000)
    pair.meet()
    pair.flood(pair.new, 60)
    assert len(pair.sent) == HARD.ceiling_burst / 2
    pair.flood(pair.old, 60)
    assert len(pair.sent) == HARD.ceiling_burst


def test_what_the_old_process_had_not_told_the_counter_the_new_one_tells() -> None:
    """Else the other gateways would never know of it, and spend it once more."""
    pair = Pair(counted=True)
    assert pair.counter is not None
    pair.pass_time(10_000)
    pair.flood(pair.old, 3)
    pair.meet()
    pair.counter.fails = api.Outcome.CONNECT  # nothing more is told by the old one
    pair.flood(pair.old, 2)
    unsaid = pair.old.gateway.quotas.customers["c"].unreported_units
    assert unsaid > 0
    pair.counter.fails = None
    before = pair.new.gateway.quotas.customers["c"].store
    pair.leave(told=True)
    c = pair.new.gateway.quotas.customers["c"]
    assert c.unreported_units == pytest.approx(unsaid) and c.store == pytest.approx(before - unsaid)
    assert pair.old.gateway.quotas.customers["c"].unreported_units == 0


def test_a_successor_that_dies_leaves_the_old_one_the_whole_rate() -> None:
    pair = Pair(counted=False)
    pair.pass_time(10_000)
    pair.flood(pair.old, 1)
    pair.meet()
    pair.old.give(api.GatewayShareChanged(1.0))  # the link broke
    pair.pass_time(10_000)
    pair.flood(pair.old, 60)
    assert len(pair.sent) == 1 + HARD.ceiling_burst


def test_beside_one_that_does_not_answer_nothing_of_a_ceiling_is_let_out_until_it_must_be_gone() -> None:
    world = World(gateways=1, plans=(HARD,), has_counter=False)
    world.give(api.HandoverReceived(api.HandoverState(world.now + 9_700, (), (), 0.0, 0.0)))
    pair = Pair(counted=False)
    pair.new = world
    pair.flood(world, 10)
    assert not pair.sent
    world.pass_time(11_000)
    pair.flood(world, 10)
    assert pair.sent


def test_what_was_seen_of_backends_goes_over_but_not_of_ones_that_started_anew() -> None:
    old, new = World(has_counter=False), World(has_counter=False)
    for world in (old, new):
        world.now = 20_000.0
    old.gateway.fleet.backends[1].marks = {"all": (0.9, 19_000.0)}
    old.gateway.fleet.backends[2].marks = {"all": (0.9, 19_000.0)}
    new.gateway.fleet.backends[2].started = 7.0
    given = estate_of(old.give(api.GatewayShareChanged(0.5)))
    new.give(api.HandoverReceived(over_the_link(given, PARTIAL_STATE, new.now)))
    assert new.gateway.fleet.backends[1].marks == {"all": (0.9, 19_000.0)}
    assert not new.gateway.fleet.backends[2].marks


# ---- the messages ----


def full_estate() -> api.HandoverState:
    world = World(plans=(FIRM,), has_counter=False)
    world.ask(plan="firm")
    world.gateway.fleet.backends[1].marks = {"all": (0.5, 9_000.0)}
    return estate_of(world.give(api.GatewayShareChanged(0.5)))


def test_an_estate_comes_over_as_it_was() -> None:
    told = full_estate()
    got = over_the_link(told, PARTIAL_STATE, 20_000.0)
    (held,), (had,) = got.customers, told.customers
    left, was = held.lease.pop("left"), had.lease.pop("left")
    assert math.isnan(left) == math.isnan(was) and held == had
    assert got.backends == told.backends and (got.complete_since, got.typical) == (
        told.complete_since,
        told.typical,
    )


def test_a_message_cut_at_any_byte_is_garbled() -> None:
    whole = encode_message(PARTIAL_STATE, "n0", full_estate())
    for length in range(len(whole) - 1):
        with pytest.raises(MessageError):
            decode_message(whole[:length], PARTIAL_STATE, "n0", 0.0)


@pytest.mark.parametrize(
    "change",
    [
        {"v": VERSION - 1},
        {"v": VERSION + 1},
        {"kind": SERVING},
        {"gateway": "n1"},
        {"estate": None},
        {"estate": []},
    ],
)
def test_another_version_kind_or_gateway_is_garbled(change: dict[str, Any]) -> None:
    message = {**json.loads(encode_message(PARTIAL_STATE, "n0", full_estate())), **change}
    with pytest.raises(MessageError):
        decode_message(json.dumps(message).encode(), PARTIAL_STATE, "n0", 0.0)


BAD = [None, "x", True, [], {}, float("nan"), float("inf"), "9" * 300]


def places(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    if isinstance(value, dict):
        return [found for key in value for found in places(value[key], (*path, key))]
    if isinstance(value, list):
        return [found for at, each in enumerate(value) for found in places(each, (*path, at))]
    return [path]


ESTATE = json.loads(encode_message(PARTIAL_STATE, "n0", full_estate()))["estate"]


@given(st.sampled_from(places(ESTATE)), st.sampled_from(BAD))
def test_a_value_of_another_kind_is_garbled_or_of_the_right_kind(path: tuple[Any, ...], bad: Any) -> None:
    raw = json.loads(json.dumps(ESTATE))
    table = raw
    for step in path[:-1]:
        table = table[step]
    table[path[-1]] = bad
    line = json.dumps({"v": VERSION, "kind": PARTIAL_STATE, "gateway": "n0", "estate": raw}).encode()
    may_be = {"since": None, "left": None, "heard": True, "ended": True, "customer": str, "plan": str}
    try:
        got = decode_message(line, PARTIAL_STATE, "n0", 20_000.0)
    except MessageError:
        return
    right = may_be.get(str(path[-1]), ...)
    empty = path[-1] in ("totals", "unsure") and bad == {}
    assert got is not None and (bad is right or (right is str and bad == "x") or empty)


def test_of_very_many_customers_those_met_last_are_told_and_the_rest_start_from_nothing() -> None:
    (held,) = full_estate().customers
    many = tuple(
        api.CustomerSnapshot(f"c{n}", "firm", 2, {**held.lease, "asked_at": float(n)}, 1.0, 1.0, 0.0)
        for n in range(MAX_CUSTOMERS + 5)
    )
    got = over_the_link(api.HandoverState(5.0, many, (), 0.0, 0.0), PARTIAL_STATE, 777.0)
    assert len(got.customers) == MAX_CUSTOMERS and got.complete_since == 777.0
    assert {held.customer for held in got.customers}.isdisjoint({f"c{n}" for n in range(5)})


def test_words_without_an_estate_are_read_as_such() -> None:
    for kind in (HELLO, SERVING):
        assert decode_message(encode_message(kind, "n0"), kind, "n0", 0.0) is None
