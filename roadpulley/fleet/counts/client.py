"""A counter for the decision module that the instances of a fleet are together, in place of the service."""

from __future__ import annotations

import asyncio
from collections import deque
from functools import partial
from typing import Any

from mintford.interface import Outcome
from roadpulley.core.clock import Timers, now_ms
from roadpulley.core.counter import CounterCall, CounterCallback, CounterClient
from roadpulley.core.settings import Address
from roadpulley.fleet.agent_link import AgentLink

from .messages import AddReply, AddRequest

RETRY_INTERVAL_MS = 15.0  # after which an addition is asked for again
NO_ADDRESS: Address = ("", 0)


class ReplicatedCounter(CounterClient):
    """Its calls go to the instance beside this process; all else is as at the counter service's client."""

    def __init__(self, line: AgentLink, timers: Timers, wait: float) -> None:
        super().__init__(asyncio.get_running_loop(), timers, NO_ADDRESS, wait)
        self.agent_link = line
        self.pending: dict[int, CounterCall] = {}  # by their numbers
        self.last_sequence = 0
        line.listeners.append(self._handle_message)

    def add(self, name: str, amount: float, expire_in: float, done: CounterCallback) -> None:
        self.last_sequence += 1
        ask = AddRequest(self.agent_link.worker_id, self.last_sequence, name, amount, max(1, int(expire_in)))
        call = self.pending[self.last_sequence] = CounterCall(self, name, b"", done)
        self.calls.setdefault(name, deque()).append(call)
        self._send(call, ask, now_ms() + self.wait)

    def _send(self, call: CounterCall, ask: AddRequest, due: float) -> None:
        self.agent_link.send(ask)
        call.timer = self.timers.at(
            min(now_ms() + RETRY_INTERVAL_MS, due), partial(self._retry, call, ask, due)
        )

    def _retry(self, call: CounterCall, ask: AddRequest, due: float) -> None:
        if now_ms() < due:
            return self._send(call, ask, due)  # an instance takes each number once
        del self.pending[ask.sequence]
        call.end(Outcome.TIMED_OUT)

    def _handle_message(self, body: Any) -> None:
        if isinstance(body, AddReply) and body.holder == self.agent_link.worker_id:
            if call := self.pending.pop(body.sequence, None):
                call.end(Outcome.OK, body.total)

    def move(self, address: Address) -> None:
        """A counter service of another address is none of its business."""
