"""Ceilings spent by escrow rights: one part is split evenly, an allocator gives out rights to the rest."""

from __future__ import annotations

import random

import pytest
from helpers import World, entry
from hypothesis import given, settings
from hypothesis import strategies as st

from mintford import interface as api
from roadpulley.fleet.rights.allocator import Allocator
from roadpulley.fleet.rights.holder import Holder
from roadpulley.fleet.rights.messages import Limit, Times

RATE = 10.0
BURST = 40.0
RIGHTS_RATIO = 0.7
PLAN = api.Plan("firm", rate=4, burst=20_000, overage_cost=1, ceiling_rate=RATE, ceiling_burst=BURST)
KEY = "firm/c"
MANY = [entry(n) for n in range(60)]
TIMES = Times(drift=0.0)


def gateway(size: int = 4, rights: float = RIGHTS_RATIO, n: int = 0) -> World:
    return World(
        MANY, seed=n, plans=(PLAN,), max_request_units=4.0, gateways=size, index=n, rights_ratio=rights
    )


def spends(actions: list[api.Action]) -> list[api.SpendRights]:
    return [a for a in actions if isinstance(a, api.SpendRights)]


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def flood(world: World, number: int = 30) -> list[api.Action]:
    return [action for _ in range(number) for action in world.ask(plan="firm", spread=4)]


def test_rights_are_requested_only_after_the_even_part_is_spent() -> None:
    world = gateway()
    world.pass_time(60_000)
    actions = flood(world)
    even = BURST * (1 - RIGHTS_RATIO) / 4
    assert len(sends(actions)) == int(even)
    assert len(spends(actions)) >= 20
    assert {(a.plan, a.customer, a.units) for a in spends(actions)} == {("firm", "c", 1.0)}
    first = next(n for n, action in enumerate(actions) if isinstance(action, api.SpendRights))
    assert len(sends(actions[:first])) == int(even)


def test_granted_right_admits_the_request_without_spending_the_even_part() -> None:
    world = gateway()
    asked = spends(flood(world))[0]
    own = world.gateway.quotas.customers["c"].ceiling.own_tokens
    assert len(sends(world.give(api.RightsDecided(asked.request, True)))) == 1
    assert world.gateway.quotas.customers["c"].ceiling.own_tokens == own
    assert world.give(api.RightsDecided(asked.request, True)) == []  # a second answer does nothing


@pytest.mark.parametrize("answer", ["denied", "no answer"])
def test_request_without_a_right_is_refused_once(answer: str) -> None:
    world = gateway()
    asked = spends(flood(world))[0]
    if answer == "denied":
        actions = world.give(api.RightsDecided(asked.request, False))
    else:
        actions = world.pass_time(2 * world.gateway.settings.counter_timeout + 10)
    assert [a.request for a in actions if isinstance(a, api.Refuse)].count(asked.request) == 1
    assert not [a for a in spends(actions) if a.request == asked.request]
    assert world.give(api.RightsDecided(asked.request, True)) == []  # the answer is too late


def test_no_rights_are_requested_if_the_settings_have_none() -> None:
    world = gateway(rights=0.0)
    world.pass_time(60_000)
    assert spends(flood(world, 100)) == []


def test_ceiling_other_than_in_the_settings_is_enforced_by_the_even_part_alone() -> None:
    """An allocator knows only the ceilings in the settings. It would overdraw a customer's own lower
    ceiling.
    """
    world = gateway()
    own = api.Plan("firm", rate=4, burst=20_000, overage_cost=1, ceiling_rate=1.0, ceiling_burst=8.0)
    world.ask(plan="firm", spread=4)
    world.give(api.PlanChanged(own, "c"))
    assert spends(flood(world)) == []
    world.give(api.PlanChanged(None, "c"))
    assert spends(flood(world))


def test_counter_total_does_not_pay_for_a_ceiling_with_rights() -> None:
    """A ceiling with rights has no part that is shared through the counter."""
    world = World(
        MANY,
        plans=(PLAN,),
        max_request_units=4.0,
        gateways=4,
        rights_ratio=RIGHTS_RATIO,
        has_counter=True,
        counter_timeout=50.0,
    )
    actions = flood(world, 200)
    counted = [a for a in actions if isinstance(a, api.AddToCounter)]
    assert counted
    for count in counted:
        for action in world.give(api.CounterReplied(count.name, api.Outcome.OK, count.amount)):
            assert (
                not isinstance(action, api.Send)
                or world.gateway.quotas.customers["c"].ceiling.own_tokens >= 0
            )
    assert world.gateway.quotas.customers["c"].ceiling.own_tokens >= -1e-9


class Fleet:
    """Gateways under a flood, an allocator without delay, and the exact store that must not be overdrawn."""

    def __init__(self, size: int) -> None:
        limits = {"firm": Limit(RIGHTS_RATIO * RATE, RIGHTS_RATIO * BURST)}
        self.worlds = [gateway(size, n=n) for n in range(size)]
        self.began = self.now
        self.allocator = Allocator(1, self.now, limits, TIMES, random.Random(1))
        self.holders = [Holder(n + 1, 1, TIMES) for n in range(size)]
        for holder in self.holders:
            holder.handle_announcement(self.now, 0, 1, 1e9)
        self.silent: set[int] = set()
        self.level = self.lowest = BURST
        self.sent = 0

    @property
    def now(self) -> float:
        return self.worlds[0].now / 1000

    def ask(self, n: int) -> None:
        world = self.worlds[n]
        actions = list(world.ask(plan="firm", spread=len(self.worlds)))
        while actions:
            action = actions.pop(0)
            if isinstance(action, api.Send):
                self.sent, self.level = self.sent + 1, self.level - 1
                self.lowest = min(self.lowest, self.level)
                world.give(api.AttemptEnded(action.request, 0, action.backend, api.Outcome.OK, 1.0, True))
            elif isinstance(action, api.SpendRights):
                actions += world.give(api.RightsDecided(action.request, self.is_paid(n, action.units)))

    def is_paid(self, n: int, units: float) -> bool:
        holder = self.holders[n]
        if holder.try_spend(self.now, KEY, units):
            return True
        asked = holder.prepare_request(self.now, KEY)
        if asked is None or n in self.silent:
            return False
        answer = self.allocator.handle_request(self.now, asked)
        return (
            answer is not None
            and holder.handle_reply(self.now, answer)
            and holder.try_spend(self.now, KEY, units, False)
        )

    def pass_time(self, ms: float) -> None:
        for n, world in enumerate(self.worlds):
            world.pass_time(ms)
            for asked in self.holders[n].tick(self.now):
                if (
                    n not in self.silent
                    and (answer := self.allocator.handle_request(self.now, asked)) is not None
                ):
                    self.holders[n].handle_reply(self.now, answer)
        self.level = min(BURST, self.level + ms / 1000 * RATE)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["flood", "pass", "silent", "connected"]),
        st.integers(0, 3),
        st.sampled_from([1, 5, 60, 300, 900, 4_000]),
    ),
    max_size=40,
)


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 4), STEPS)
def test_even_parts_and_rights_together_never_overdraw_the_ceiling(
    size: int, steps: list[tuple[str, int, int]]
) -> None:
    fleet = Fleet(size)
    for what, which, amount in steps:
        n = which % size
        if what == "flood":
            for _ in range(min(amount, 60)):
                fleet.ask(n)
        elif what == "pass":
            fleet.pass_time(amount)
        else:
            (fleet.silent.add if what == "silent" else fleet.silent.discard)(n)
        assert fleet.lowest >= -1e-6, (what, n)


def test_single_active_gateway_gets_nearly_the_whole_ceiling() -> None:
    fleet = Fleet(4)
    fleet.pass_time(20_000)
    for _ in range(300):
        for _ in range(2):
            fleet.ask(0)
        fleet.pass_time(100)
    even_alone = (1 - RIGHTS_RATIO) * (BURST + 30 * RATE) / 4
    rights = RIGHTS_RATIO * (BURST + 30 * RATE)
    assert fleet.sent > 0.95 * (even_alone + rights)
