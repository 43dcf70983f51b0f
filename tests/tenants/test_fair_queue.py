"""Deficit round robin by what commands turn out to cost: shares, debts, and nobody kept waiting idly."""

from __future__ import annotations

import random
from collections import Counter, deque

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from roadpulley.tenants.fair_queue import QUANTUM_US, Fair

Costs = dict[str, tuple[float, float]]  # of a flow: its weight, and the mean cost of its commands


def spend(flows: Costs, total: float, seed: int = 1) -> Counter[str]:
    """All always have something waiting; what each spent until the core has done so much."""
    rng, fair, spent = random.Random(seed), Fair[int](), Counter[str]()
    for name, (weight, _) in flows.items():
        fair.weigh(name, weight)
        fair.add(name, 0)
        fair.add(name, 1)
    while sum(spent.values()) < total:
        taken = fair.take()
        assert taken is not None
        cost = flows[taken[0]][1] * rng.uniform(0.5, 1.5)
        spent[taken[0]] += cost  # type: ignore[assignment]
        fair.charge(taken[0], cost)
        fair.add(taken[0], 0)
    return spent


@hypothesis(max_examples=60)
@given(
    st.dictionaries(
        st.text("abcdef", min_size=1, max_size=2),
        st.tuples(st.floats(0.2, 5), st.floats(1, 5_000)),
        min_size=2,
        max_size=8,
    ),
    st.integers(0, 1_000),
)
def test_who_always_wants_gets_by_weight_whatever_its_commands_cost(flows: Costs, seed: int) -> None:
    weights = sum(weight for weight, _ in flows.values())
    total = 200 * QUANTUM_US * weights
    spent = spend(flows, total, seed)
    for name, (weight, cost) in flows.items():
        # Off by a round's quantum and one command at the most, its own and the others'.
        slack = 2 * QUANTUM_US * weight + 3 * cost + weight / weights * sum(2 * c for _, c in flows.values())
        assert abs(spent[name] - total * weight / weights) <= slack


def test_fifty_tenants_of_which_one_asks_ten_times_as_costly_commands() -> None:
    flows = {f"t{n}": (1.0, 300.0) for n in range(50)} | {"t7": (1.0, 3_000.0)}
    spent = spend(flows, 3e6)
    others = [spent[name] for name in flows if name != "t7"]
    assert max(others) < 1.05 * min(others) and spent["t7"] < 1.1 * min(others)


def test_one_command_at_a_time_does_not_go_free() -> None:
    """Its queue is empty after each: forgetting its debt then would give it ten times its share."""
    fair, spent = Fair[str](), Counter[str]()
    fair.weigh("steady", 1)
    fair.weigh("sly", 1)
    for _ in range(20_000):
        while len(fair.flows["steady"].waiting) < 5:
            fair.add("steady", "x")
        if not fair.flows["sly"].waiting:
            fair.add("sly", "x")
        taken = fair.take()
        assert taken is not None
        cost = 10_000 if taken[0] == "sly" else 100
        fair.charge(taken[0], cost)
        spent[taken[0]] += cost
    assert spent["sly"] < 1.1 * spent["steady"]


@pytest.mark.parametrize(("away", "debt_left"), [(20_000, False), (2_000, True)])
def test_a_debt_fades_as_fast_as_if_its_flow_had_waited(away: int, debt_left: bool) -> None:
    fair = Fair[str]()
    fair.weigh("busy", 1)
    fair.weigh("debtor", 1)
    fair.add("debtor", "x")
    fair.take()
    fair.charge("debtor", 10_000)
    for number in range(away // 100 + 50):
        fair.add("busy", "x")
        fair.add("busy", "x")
        if number == away // 100:
            fair.add("debtor", "x")
            break
        fair.take()
        fair.charge("busy", 100)
    following = []
    for _ in range(20):
        taken = fair.take()
        assert taken is not None
        following.append(taken[0])
        fair.charge(taken[0], 100)
    assert ("debtor" in following) != debt_left


def test_idle_shares_are_lent_and_not_saved() -> None:
    fair = Fair[int]()
    fair.weigh("busy", 1)
    fair.weigh("late", 1)
    for number in range(1_000):
        fair.add("busy", number)
        assert fair.take() == ("busy", number)  # alone, it never waits
        fair.charge("busy", 300)
    for number in range(200):
        fair.add("busy", number)
        fair.add("late", number)
    order = []
    for _ in range(200):
        taken = fair.take()
        assert taken is not None
        order.append(taken[0])
        fair.charge(taken[0], 100)
    late = order.count("late")
    assert 85 <= late <= 135  # its share from now on, and nothing for the time it was away; old debts fade


def test_what_is_charged_late_is_paid_as_well() -> None:
    fair = Fair[int]()
    for name in ("a", "b"):
        fair.weigh(name, 1)
        for number in range(100):
            fair.add(name, number)
    fair.charge("a", 20 * QUANTUM_US)  # of an answer that came back
    first = [
        taken[0] for taken in (fair.take() for _ in range(12)) if taken and not fair.charge(taken[0], 500)
    ]
    assert set(first) == {"b"}


def test_a_forgotten_flow_gives_back_what_waited() -> None:
    fair = Fair[int]()
    for name in ("a", "b", "c"):
        fair.weigh(name, 1)
        for number in range(3):
            fair.add(name, number)
    assert fair.forget("a") == [0, 1, 2] and fair.forget("a") == [] and fair.forget("none") == []
    fair.charge("a", 100)
    assert len(fair) == 6
    with pytest.raises(KeyError):
        fair.add("a", 1)
    assert Counter(taken[0] for taken in (fair.take() for _ in range(6)) if taken) == {"b": 3, "c": 3}
    assert fair.take() is None


@pytest.mark.parametrize("weight", [0, -1, float("nan"), float("inf")])
def test_a_weight_that_is_none_is_told(weight: float) -> None:
    with pytest.raises(ValueError, match="a has weight .*: give one over 0"):
        Fair[int]().weigh("a", weight)


class Queues(RuleBasedStateMachine):
    """Whatever is done to it: what waits is given once, in its flow's order, and never withheld."""

    def __init__(self) -> None:
        super().__init__()
        self.fair, self.model, self.serial = Fair[int](), dict[str, deque[int]](), 0

    names = st.sampled_from("abcd")

    @rule(name=names, weight=st.floats(0.01, 100))
    def weigh(self, name: str, weight: float) -> None:
        self.fair.weigh(name, weight)
        self.model.setdefault(name, deque())

    @rule(name=names)
    def add(self, name: str) -> None:
        self.serial += 1
        if name in self.model:
            self.fair.add(name, self.serial)
            self.model[name].append(self.serial)

    @rule(cost=st.floats(0, 1e7))
    def take(self, cost: float) -> None:
        taken = self.fair.take()
        if taken is None:
            assert not any(self.model.values())
            return
        assert self.model[taken[0]].popleft() == taken[1]
        self.fair.charge(taken[0], cost)

    @rule(name=names, cost=st.floats(0, 1e7))
    def charge(self, name: str, cost: float) -> None:
        self.fair.charge(name, cost)

    @rule(name=names)
    def forget(self, name: str) -> None:
        assert self.fair.forget(name) == list(self.model.pop(name, ()))

    @invariant()
    def sound(self) -> None:
        assert len(self.fair) == sum(map(len, self.model.values()))
        assert {f.name for f in self.fair.ring} == {n for n, waiting in self.model.items() if waiting}
        for flow in self.fair.flows.values():
            assert flow.balance <= 2 * self.fair.quantum * 100
            assert flow.waiting or flow.balance <= 0


TestQueues = Queues.TestCase
