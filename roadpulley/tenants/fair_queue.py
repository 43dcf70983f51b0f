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
    queue: deque[T] = field(default_factory=deque)
    balance_us: float = 0.0  # microseconds; below 0 it owes
    credited_round: int = 0  # the round up to which its balance was credited
    total_cost_us: float = 0.0  # of all time


class FairQueue(Generic[T]):
    """Queues by flow. `take` gives the next, `charge` says what it cost."""

    def __init__(self, quantum_us: float = QUANTUM_US) -> None:
        self.quantum_us = quantum_us
        self.flows: dict[str, Flow[T]] = {}
        self.ring: deque[Flow[T]] = deque()  # those with something waiting; the first has its turn
        self.round = 0  # how often every flow of the ring has had its turn
        self.remaining_turns = 0  # turns of this round

    def __len__(self) -> int:
        return sum(len(flow.queue) for flow in self.ring)

    def set_weight(self, name: str, weight: float) -> None:
        """Make a flow, or change its weight from its next turn on. Raises ValueError."""
        if not 0 < weight < math.inf:
            raise ValueError(f"{name} has weight {weight}: give one over 0")
        if name in self.flows:
            self.flows[name].weight = weight
        else:
            self.flows[name] = Flow(name, weight, credited_round=self.round)

    def enqueue(self, name: str, item: T) -> None:
        """Have an item wait. Raises KeyError for a flow that `weigh` has not made."""
        flow = self.flows[name]
        flow.queue.append(item)
        if len(flow.queue) == 1:
            missed_rounds, flow.credited_round = self.round - flow.credited_round, self.round
            flow.balance_us = min(0.0, flow.balance_us + missed_rounds * self.quantum_us * flow.weight)
            self.ring.append(flow)
            if len(self.ring) == 1:
                self._start_turn()

    def dequeue(self) -> tuple[str, T] | None:
        """The next item; None where nothing waits. Nobody waits for a debt while the core is free."""
        if not self.ring:
            return None
        if self.ring[0].balance_us <= 0:
            self._advance_to_flow_with_credit()
        flow = self.ring[0]
        item = flow.queue.popleft()
        if not flow.queue:
            flow.credited_round, flow.balance_us = (
                self.round,
                0.0,
            )  # credit that is left; what this one costs comes yet
            self.ring.popleft()
            self.remaining_turns -= 1
            if self.ring:
                self._start_turn()
        return flow.name, item

    def charge(self, name: str, cost_us: float) -> None:
        """What an item of a flow has cost, microseconds; of one that was forgotten, nothing."""
        flow = self.flows.get(name)
        if flow is not None:
            flow.balance_us -= cost_us
            flow.total_cost_us += cost_us

    def remove_flow(self, name: str) -> list[T]:
        """Drop a flow; gives what waited in it, for each to get its answer."""
        flow = self.flows.pop(name, None)
        if flow is None:
            return []
        if flow.queue:
            first = self.ring[0] is flow
            self.ring.remove(flow)
            self.remaining_turns -= 1
            if first and self.ring:
                self._start_turn()
        return list(flow.queue)

    # ---- rounds ----

    def _start_turn(self) -> None:
        """The turn of the ring's first."""
        if self.remaining_turns <= 0:
            self.round += 1
            self.remaining_turns = len(self.ring)
        flow = self.ring[0]
        flow.balance_us, flow.credited_round = flow.balance_us + self.quantum_us * flow.weight, self.round

    def _end_turn(self) -> None:
        self.ring.rotate(-1)
        self.remaining_turns -= 1
        self._start_turn()

    def _advance_to_flow_with_credit(self) -> None:
        for _ in range(len(self.ring)):
            self._end_turn()
            if self.ring[0].balance_us > 0:
                return
        # All would only pay for rounds: those are left out.
        rounds = min(int(-flow.balance_us / (self.quantum_us * flow.weight)) for flow in self.ring)
        for flow in self.ring:
            flow.balance_us += rounds * self.quantum_us * flow.weight
        self.round += rounds
        while self.ring[0].balance_us <= 0:
            self._end_turn()
