"""The counter client of a worker whose counters are replicated by the fleet, without a counter service."""

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

RETRY_INTERVAL_MS = 15.0  # between two sends of an addition that is not answered
NO_ADDRESS: Address = ("", 0)


class ReplicatedCounter(CounterClient):
    """Sends additions to the instance on its machine; otherwise like the client of the counter service."""

    def __init__(self, link: AgentLink, timers: Timers, wait: float) -> None:
        super().__init__(asyncio.get_running_loop(), timers, NO_ADDRESS, wait)
        self.agent_link = link
        self.pending: dict[int, CounterCall] = {}  # by sequence number
        self.last_sequence = 0
        link.listeners.append(self._handle_message)

    def add(self, name: str, amount: float, expire_in: float, done: CounterCallback) -> None:
        self.last_sequence += 1
        request = AddRequest(
            self.agent_link.worker_id, self.last_sequence, name, amount, max(1, int(expire_in))
        )
        call = self.pending[self.last_sequence] = CounterCall(self, name, b"", done)
        self.calls.setdefault(name, deque()).append(call)
        self._send(call, request, now_ms() + self.timeout_ms)

    def _send(self, call: CounterCall, request: AddRequest, deadline: float) -> None:
        self.agent_link.send(request)
        call.timer = self.timers.call_at(
            min(now_ms() + RETRY_INTERVAL_MS, deadline), partial(self._retry, call, request, deadline)
        )

    def _retry(self, call: CounterCall, request: AddRequest, deadline: float) -> None:
        if now_ms() < deadline:
            return self._send(call, request, deadline)  # an instance applies each sequence number once
        del self.pending[request.sequence]
        call.end(Outcome.TIMED_OUT)

    def _handle_message(self, body: Any) -> None:
        if isinstance(body, AddReply) and body.holder == self.agent_link.worker_id:
            if call := self.pending.pop(body.sequence, None):
                call.end(Outcome.OK, body.total)

    def move(self, address: Address) -> None:
        """Ignored: there is no counter service whose address could change."""
