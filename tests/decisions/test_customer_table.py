"""A bounded table of customers: never more records, and no limit is lifted by what is forgotten."""

from __future__ import annotations

import random
from collections import defaultdict

import pytest
from helpers import SAFE, Counter, World, entry

from mintford import interface as api
from mintford.guards import LEASE_MS

MAX_CUSTOMERS = 4
RATE = 2.0
BURST = 6.0


def make_plan(rate: float) -> api.Plan:
    """A plan of which the ceiling alone refuses requests, as units beyond the quota earn enough."""
    return api.Plan(
        "limited",
        rate=rate,
        burst=3,
        overage_cost=0.1,
        overage_earnings=1,
        ceiling_rate=RATE,
        ceiling_burst=BURST,
    )


BACKENDS = [entry(n) for n in range(20)]

PLAYS = 60
STEPS = 60
CUSTOMERS = 7
PAUSES_MS = (0.0, 1.0, 200.0, 1_000.0, LEASE_MS + 1)
OUTCOMES = (api.Outcome.OK, api.Outcome.FAILED)
COUNTER_FAILURES = (None, None, None, api.Outcome.TIMED_OUT)


class Play:
    """One gateway with a bounded table, and the exact ceiling of each customer beside it."""

    def __init__(self, quota_rate: float = 1.0) -> None:
        plans = (make_plan(quota_rate), api.Plan("unlimited"))
        self.world = World(BACKENDS, classes=(SAFE,), plans=plans, gateways=1, max_request_units=1.0)
        self.world.gateway.quotas.max_customers = MAX_CUSTOMERS
        self.counter = Counter()
        self.levels: dict[str, tuple[float, float]] = defaultdict(lambda: (BURST, self.world.now))
        self.refused_strangers = 0
        self.world.pass_time(2 * BURST / RATE * 1000)  # a new record's ceiling is full from now on

    def spend(self, customer: str) -> None:
        level, at = self.levels[customer]
        level = min(BURST, level + (self.world.now - at) / 1000 * RATE) - 1.0
        assert level >= -1e-6, f"{customer} went over its ceiling"
        self.levels[customer] = level, self.world.now

    def request(self, customer: str, outcome: api.Outcome) -> None:
        actions = self.counter.play(self.world, self.world.ask(plan="limited", customer=customer, spread=1))
        for action in actions:
            if isinstance(action, api.Send):
                self.spend(customer)
                self.counter.play(self.world, self.world.end(action, outcome, finished=True))
            elif isinstance(action, api.Refuse):
                self.refused_strangers += action.reason is api.RefusalReason.TOO_MANY_CUSTOMERS


@pytest.mark.parametrize("quota_rate", [1.0, 50.0])  # the store is full again after the ceiling, or before
def test_no_ceiling_is_lifted_by_what_a_full_table_forgets(quota_rate: float) -> None:
    """Bursts of few customers in turn, with a counter that fails now and then."""
    for seed in range(PLAYS):
        rng, play = random.Random(seed), Play(quota_rate)
        for _ in range(STEPS):
            play.counter.fails = rng.choice(COUNTER_FAILURES)
            play.world.pass_time(rng.choice(PAUSES_MS))
            customer = f"c{rng.randrange(CUSTOMERS)}"
            for _ in range(rng.randint(1, 8)):
                play.request(customer, rng.choice(OUTCOMES))
            assert len(play.world.gateway.quotas.customers) <= MAX_CUSTOMERS, f"seed {seed}"


def test_a_stranger_takes_the_place_of_a_customer_that_owes_nothing() -> None:
    play = Play()
    for number in range(MAX_CUSTOMERS):
        play.request(f"c{number}", api.Outcome.OK)
    play.request("stranger", api.Outcome.OK)
    assert play.refused_strangers == 1  # all others have just spent something
    for _ in range(3):  # their units are reported, and the refill returns them
        play.world.pass_time(2_000)
        play.request("stranger", api.Outcome.OK)
    assert play.refused_strangers < 4
    assert "stranger" in play.world.gateway.quotas.customers


def test_a_stranger_without_limits_is_served_although_the_table_is_full() -> None:
    play = Play()
    for number in range(MAX_CUSTOMERS):
        play.request(f"c{number}", api.Outcome.OK)
    actions = play.world.ask(plan="unlimited", customer="stranger", spread=1)
    (sent,) = [action for action in actions if isinstance(action, api.Send)]
    play.world.end(sent)
    assert len(play.world.gateway.quotas.customers) == MAX_CUSTOMERS
    assert "stranger" not in play.world.gateway.quotas.customers
