"""Deficit round robin by the actual cost of commands: shares, debts, and no idle core."""

from __future__ import annotations

import random
from collections import Counter, deque

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from roadpulley.tenants.fair_queue import QUANTUM_US, FairQueue

Costs = dict[str, tuple[float, float]]  # flow -> its weight and the mean cost of its commands


def spend(flows: Costs, total: float, seed: int = 1) -> Counter[str]:
    """Return the cost of each flow after this total cost, while all flows always have queued items."""
    rng, fair_queue, spent = random.Random(seed), FairQueue[int](), Counter[str]()
    for name, (weight, _) in flows.items():
        fair_queue.set_weight(name, weight)
        fair_queue.enqueue(name, 0)
        fair_queue.enqueue(name, 1)
    while sum(spent.values()) < total:
        dequeued = fair_queue.dequeue()
        assert dequeued is not None
        cost = flows[dequeued[0]][1] * rng.uniform(0.5, 1.5)
        spent[dequeued[0]] += cost  # type: ignore[assignment]
        fair_queue.charge(dequeued[0], cost)
        fair_queue.enqueue(dequeued[0], 0)
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
def test_busy_flows_share_by_weight_whatever_their_commands_cost(flows: Costs, seed: int) -> None:
    weights = sum(weight for weight, _ in flows.values())
    total = 200 * QUANTUM_US * weights
    spent = spend(flows, total, seed)
    for name, (weight, cost) in flows.items():
        # The error is at most a quantum and one command, both of the flow itself and of the others.
        slack = 2 * QUANTUM_US * weight + 3 * cost + weight / weights * sum(2 * c for _, c in flows.values())
        assert abs(spent[name] - total * weight / weights) <= slack


def test_tenant_with_ten_times_as_costly_commands_takes_no_more_than_its_share() -> None:
    flows = {f"t{n}": (1.0, 300.0) for n in range(50)} | {"t7": (1.0, 3_000.0)}
    spent = spend(flows, 3e6)
    others = [spent[name] for name in flows if name != "t7"]
    assert max(others) < 1.05 * min(others) and spent["t7"] < 1.1 * min(others)


def test_flow_with_one_command_at_a_time_pays_its_debt() -> None:
    """Its queue is empty after each command. Forgetting its debt then would give it ten times its share."""
    fair_queue, spent = FairQueue[str](), Counter[str]()
    fair_queue.set_weight("steady", 1)
    fair_queue.set_weight("sly", 1)
    for _ in range(20_000):
        while len(fair_queue.flows["steady"].queue) < 5:
            fair_queue.enqueue("steady", "x")
        if not fair_queue.flows["sly"].queue:
            fair_queue.enqueue("sly", "x")
        dequeued = fair_queue.dequeue()
        assert dequeued is not None
        cost = 10_000 if dequeued[0] == "sly" else 100
        fair_queue.charge(dequeued[0], cost)
        spent[dequeued[0]] += cost
    assert spent["sly"] < 1.1 * spent["steady"]


@pytest.mark.parametrize(("idle_cost_us", "debt_left"), [(20_000, False), (2_000, True)])
def test_debt_of_an_idle_flow_decreases_as_if_it_had_waited(idle_cost_us: int, debt_left: bool) -> None:
    fair_queue = FairQueue[str]()
    fair_queue.set_weight("busy", 1)
    fair_queue.set_weight("debtor", 1)
    fair_queue.enqueue("debtor", "x")
    fair_queue.dequeue()
    fair_queue.charge("debtor", 10_000)
    for number in range(idle_cost_us // 100 + 50):
        fair_queue.enqueue("busy", "x")
        fair_queue.enqueue("busy", "x")
        if number == idle_cost_us // 100:
            fair_queue.enqueue("debtor", "x")
            break
        fair_queue.dequeue()
        fair_queue.charge("busy", 100)
    following = []
    for _ in range(20):
        dequeued = fair_queue.dequeue()
        assert dequeued is not None
        following.append(dequeued[0])
        fair_queue.charge(dequeued[0], 100)
    assert ("debtor" in following) != debt_left


def test_idle_shares_go_to_others_and_are_not_accumulated() -> None:
    fair_queue = FairQueue[int]()
    fair_queue.set_weight("busy", 1)
    fair_queue.set_weight("late", 1)
    for number in range(1_000):
        fair_queue.enqueue("busy", number)
        assert fair_queue.dequeue() == ("busy", number)  # the only active flow never waits
        fair_queue.charge("busy", 300)
    for number in range(200):
        fair_queue.enqueue("busy", number)
        fair_queue.enqueue("late", number)
    order = []
    for _ in range(200):
        dequeued = fair_queue.dequeue()
        assert dequeued is not None
        order.append(dequeued[0])
        fair_queue.charge(dequeued[0], 100)
    late_count = order.count("late")
    assert 85 <= late_count <= 135  # its share, without credit for its idle time; old debts fade


def test_cost_charged_later_is_paid() -> None:
    fair_queue = FairQueue[int]()
    for name in ("a", "b"):
        fair_queue.set_weight(name, 1)
        for number in range(100):
            fair_queue.enqueue(name, number)
    fair_queue.charge("a", 20 * QUANTUM_US)  # as for the response of a backend
    first = [
        dequeued[0]
        for dequeued in (fair_queue.dequeue() for _ in range(12))
        if dequeued and not fair_queue.charge(dequeued[0], 500)
    ]
    assert set(first) == {"b"}


def test_removed_flow_returns_its_queued_items() -> None:
    fair_queue = FairQueue[int]()
    for name in ("a", "b", "c"):
        fair_queue.set_weight(name, 1)
        for number in range(3):
            fair_queue.enqueue(name, number)
    assert (
        fair_queue.remove_flow("a") == [0, 1, 2]
        and fair_queue.remove_flow("a") == []
        and fair_queue.remove_flow("none") == []
    )
    fair_queue.charge("a", 100)
    assert len(fair_queue) == 6
    with pytest.raises(KeyError):
        fair_queue.enqueue("a", 1)
    assert Counter(dequeued[0] for dequeued in (fair_queue.dequeue() for _ in range(6)) if dequeued) == {
        "b": 3,
        "c": 3,
    }
    assert fair_queue.dequeue() is None


@pytest.mark.parametrize("weight", [0, -1, float("nan"), float("inf")])
def test_invalid_weight_is_rejected(weight: float) -> None:
    with pytest.raises(ValueError, match="a has weight .*: give one over 0"):
        FairQueue[int]().set_weight("a", weight)


class Queues(RuleBasedStateMachine):
    """After any operations, each item is returned once and in the order of its flow, and none is withheld."""

    def __init__(self) -> None:
        super().__init__()
        self.fair_queue, self.model, self.serial = FairQueue[int](), dict[str, deque[int]](), 0

    names = st.sampled_from("abcd")

    @rule(name=names, weight=st.floats(0.01, 100))
    def weigh(self, name: str, weight: float) -> None:
        self.fair_queue.set_weight(name, weight)
        self.model.setdefault(name, deque())

    @rule(name=names)
    def add(self, name: str) -> None:
        self.serial += 1
        if name in self.model:
            self.fair_queue.enqueue(name, self.serial)
            self.model[name].append(self.serial)

    @rule(cost=st.floats(0, 1e7))
    def take(self, cost: float) -> None:
        dequeued = self.fair_queue.dequeue()
        if dequeued is None:
            assert not any(self.model.values())
            return
        assert self.model[dequeued[0]].popleft() == dequeued[1]
        self.fair_queue.charge(dequeued[0], cost)

    @rule(name=names, cost=st.floats(0, 1e7))
    def charge(self, name: str, cost: float) -> None:
        self.fair_queue.charge(name, cost)

    @rule(name=names)
    def forget(self, name: str) -> None:
        assert self.fair_queue.remove_flow(name) == list(self.model.pop(name, ()))

    @invariant()
    def queue_matches_model(self) -> None:
        assert len(self.fair_queue) == sum(map(len, self.model.values()))
        assert {f.name for f in self.fair_queue.ring} == {n for n, waiting in self.model.items() if waiting}
        for flow in self.fair_queue.flows.values():
            assert flow.balance_us <= 2 * self.fair_queue.quantum_us * 100
            assert flow.queue or flow.balance_us <= 0


TestQueues = Queues.TestCase
