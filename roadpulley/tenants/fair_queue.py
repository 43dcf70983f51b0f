"""Deficit round robin over tenants, by the CPU time that commands turn out to take. Pure.

After Shreedhar and Varghese (1996), with one difference: there the length of a packet is known before it is
sent, but here the cost of a command is known only afterwards. A flow therefore continues its turn until its
credit is spent, is charged afterwards, and then waits as many rounds as its debt takes to repay. Costs that
become known later, such as those of a response from a backend, are charged the same way.

The original algorithm forgets the deficit of a flow once its queue is empty. Here, a flow that sends one
costly command at a time would then never pay for it. Debts are therefore kept. They decrease with each
round in which the flow is idle, as fast as if it had waited in those rounds. Credit is never accumulated:
a flow that was idle gets no more than its share when it becomes active again.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")
QUANTUM_US = 500.0  # CPU time per round and unit of weight; a few requests, to keep rounds short


@dataclass(eq=False)
class Flow(Generic[T]):
    """Queue and account of one tenant."""

    name: str
    weight: float
    queue: deque[T] = field(default_factory=deque)
    balance_us: float = 0.0  # negative for a debt
    credited_round: int = 0  # the round up to which its balance was credited
    total_cost_us: float = 0.0  # since the flow was created


class FairQueue(Generic[T]):
    """Queues by flow. `dequeue` returns the next item, `charge` reports its cost."""

    def __init__(self, quantum_us: float = QUANTUM_US) -> None:
        self.quantum_us = quantum_us
        self.flows: dict[str, Flow[T]] = {}
        self.ring: deque[Flow[T]] = deque()  # flows with queued items; the first has its turn
        self.round = 0  # number of the current round, in which each flow of the ring has one turn
        self.remaining_turns = 0  # in the current round

    def __len__(self) -> int:
        return sum(len(flow.queue) for flow in self.ring)

    def set_weight(self, name: str, weight: float) -> None:
        """Create a flow, or change its weight from its next turn on.

        Raises ValueError if the weight is not positive and finite.
        """
        if not 0 < weight < math.inf:
            raise ValueError(f"{name} has weight {weight}: give one over 0")
        if name in self.flows:
            self.flows[name].weight = weight
        else:
            self.flows[name] = Flow(name, weight, credited_round=self.round)

    def enqueue(self, name: str, item: T) -> None:
        """Add an item to the queue of a flow. Raises KeyError if `set_weight` has not created the flow."""
        flow = self.flows[name]
        flow.queue.append(item)
        if len(flow.queue) == 1:
            missed_rounds, flow.credited_round = self.round - flow.credited_round, self.round
            flow.balance_us = min(0.0, flow.balance_us + missed_rounds * self.quantum_us * flow.weight)
            self.ring.append(flow)
            if len(self.ring) == 1:
                self._start_turn()

    def dequeue(self) -> tuple[str, T] | None:
        """Return the name of a flow and its next item, or None if no items are queued.

        An item is returned even if all flows are in debt, so that the core is never idle.
        """
        if not self.ring:
            return None
        if self.ring[0].balance_us <= 0:
            self._advance_to_flow_with_credit()
        flow = self.ring[0]
        item = flow.queue.popleft()
        if not flow.queue:
            # Unused credit expires. The cost of this item is charged later.
            flow.credited_round, flow.balance_us = self.round, 0.0
            self.ring.popleft()
            self.remaining_turns -= 1
            if self.ring:
                self._start_turn()
        return flow.name, item

    def charge(self, name: str, cost_us: float) -> None:
        """Charge a flow for the cost of an item in microseconds. A removed flow is ignored."""
        flow = self.flows.get(name)
        if flow is not None:
            flow.balance_us -= cost_us
            flow.total_cost_us += cost_us

    def remove_flow(self, name: str) -> list[T]:
        """Remove a flow and return its queued items, so that the caller can answer each."""
        flow = self.flows.pop(name, None)
        if flow is None:
            return []
        if flow.queue:
            had_turn = self.ring[0] is flow
            self.ring.remove(flow)
            self.remaining_turns -= 1
            if had_turn and self.ring:
                self._start_turn()
        return list(flow.queue)

    # ---- rounds ----

    def _start_turn(self) -> None:
        """Start the turn of the first flow of the ring, and a new round if none is left."""
        if self.remaining_turns <= 0:
            self.round += 1
            self.remaining_turns = len(self.ring)
        flow = self.ring[0]
        flow.balance_us, flow.credited_round = flow.balance_us + self.quantum_us * flow.weight, self.round

    def _end_turn(self) -> None:
        """Pass the turn to the next flow of the ring."""
        self.ring.rotate(-1)
        self.remaining_turns -= 1
        self._start_turn()

    def _advance_to_flow_with_credit(self) -> None:
        """Pass the turn until its flow has credit."""
        for _ in range(len(self.ring)):
            self._end_turn()
            if self.ring[0].balance_us > 0:
                return
        # All flows are in debt. Rounds in which all of them would only repay debt are skipped.
        rounds = min(int(-flow.balance_us / (self.quantum_us * flow.weight)) for flow in self.ring)
        for flow in self.ring:
            flow.balance_us += rounds * self.quantum_us * flow.weight
        self.round += rounds
        while self.ring[0].balance_us <= 0:
            self._end_turn()
