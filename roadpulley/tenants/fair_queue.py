"""Whose command is next: deficit round robin by the CPU time that commands turn out to take. Pure.

After Shreedhar and Varghese (1996), with one difference: there a packet's length is known before it is
sent, and here a command's cost only once it is done. So a flow goes on with its turn until it has spent its
credit, is charged afterwards, and waits as many rounds as its debt takes. What comes to light later (an
answer that came back) is charged just so.

Danger: forgetting a flow's debt once its queue is empty, as the original does, would let a flow that sends
one costly command at a time go free. Debts stay, and fade by the rounds that pass without it, as fast as if
it had waited in them. Credit is never saved up: who was idle gets no more than its share when it comes
back.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")
QUANTUM_US = 500.0  # of CPU, a round and unit of weight: a few requests, so that rounds stay short


@dataclass(eq=False)
class Flow(Generic[T]):
    name: str
    weight: float
    waiting: deque[T] = field(default_factory=deque)
    balance: float = 0.0  # microseconds; below 0 it owes
    seen: int = 0  # the round up to which its balance was credited
    spent: float = 0.0  # of all time


class Fair(Generic[T]):
    """Queues by flow. `take` gives the next, `charge` says what it cost."""

    def __init__(self, quantum: float = QUANTUM_US) -> None:
        self.quantum = quantum
        self.flows: dict[str, Flow[T]] = {}
        self.ring: deque[Flow[T]] = deque()  # those with something waiting; the first has its turn
        self.round = 0  # how often every flow of the ring has had its turn
        self.left = 0  # turns of this round

    def __len__(self) -> int:
        return sum(len(flow.waiting) for flow in self.ring)

    def weigh(self, name: str, weight: float) -> None:
        """Make a flow, or change its weight from its next turn on. Raises ValueError."""
        if not 0 < weight < math.inf:
            raise ValueError(f"{name} has weight {weight}: give one over 0")
        if name in self.flows:
            self.flows[name].weight = weight
        else:
            self.flows[name] = Flow(name, weight, seen=self.round)

    def add(self, name: str, item: T) -> None:
        """Have an item wait. Raises KeyError for a flow that `weigh` has not made."""
        flow = self.flows[name]
        flow.waiting.append(item)
        if len(flow.waiting) == 1:
            missed, flow.seen = self.round - flow.seen, self.round
            flow.balance = min(0.0, flow.balance + missed * self.quantum * flow.weight)
            self.ring.append(flow)
            if len(self.ring) == 1:
                self._begin()

    def take(self) -> tuple[str, T] | None:
        """The next item; None where nothing waits. Nobody waits for a debt while the core is free."""
        if not self.ring:
            return None
        if self.ring[0].balance <= 0:
            self._turn_to_one_that_may()
        flow = self.ring[0]
        item = flow.waiting.popleft()
        if not flow.waiting:
            flow.seen, flow.balance = self.round, 0.0  # credit that is left; what this one costs comes yet
            self.ring.popleft()
            self.left -= 1
            if self.ring:
                self._begin()
        return flow.name, item

    def charge(self, name: str, cost: float) -> None:
        """What an item of a flow has cost, microseconds; of one that was forgotten, nothing."""
        flow = self.flows.get(name)
        if flow is not None:
            flow.balance -= cost
            flow.spent += cost

    def forget(self, name: str) -> list[T]:
        """Drop a flow; gives what waited in it, for each to get its answer."""
        flow = self.flows.pop(name, None)
        if flow is None:
            return []
        if flow.waiting:
            first = self.ring[0] is flow
            self.ring.remove(flow)
            self.left -= 1
            if first and self.ring:
                self._begin()
        return list(flow.waiting)

    # ---- rounds ----

    def _begin(self) -> None:
        """The turn of the ring's first."""
        if self.left <= 0:
            self.round += 1
            self.left = len(self.ring)
        flow = self.ring[0]
        flow.balance, flow.seen = flow.balance + self.quantum * flow.weight, self.round

    def _pass(self) -> None:
        self.ring.rotate(-1)
        self.left -= 1
        self._begin()

    def _turn_to_one_that_may(self) -> None:
        for _ in range(len(self.ring)):
            self._pass()
            if self.ring[0].balance > 0:
                return
        # All would only pay for rounds: those are left out.
        rounds = min(int(-flow.balance / (self.quantum * flow.weight)) for flow in self.ring)
        for flow in self.ring:
            flow.balance += rounds * self.quantum * flow.weight
        self.round += rounds
        while self.ring[0].balance <= 0:
            self._pass()
