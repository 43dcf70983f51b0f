"""The shell of counts at one instance: answers the processes beside it, tells others what was added.

News goes to all others every few milliseconds; what was lost on the way is found by digests, which one other
instance gets each second.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from roadpulley.checks import Table
from roadpulley.fleet.clock import Clock
from roadpulley.fleet.duties.terms import MonotonicTime, ProcessId
from roadpulley.fleet.peers.service import Route
from roadpulley.fleet.worker_socket import WorkerSocket

from .messages import MAX_NAME_BYTES, AddRequest, ReplicaMessage
from .state_machine import ReplicatedCounters

SWEEP_INTERVAL_S = 5.0


@dataclass(frozen=True)
class ReplicationSettings:
    """Seconds. `say`: between two words of what was added; `compare`: between two digests."""

    send_interval_s: float
    compare_interval_s: float


def read_replication_settings(table: Table) -> ReplicationSettings:
    """Raises ValidationError."""
    say, compare = table.read_number("say_s", 0.05, 0.005, 5), table.read_number("compare_s", 1.0, 0.05, 60)
    table.reject_unknown_keys()
    return ReplicationSettings(say, compare)


class CounterReplicator:
    def __init__(
        self,
        settings: ReplicationSettings,
        me: ProcessId,
        beside: WorkerSocket,
        clock: Clock,
        rng: random.Random,
        tell: Callable[[Route, ReplicaMessage], None],
        everybody: Callable[[], list[Route]],
    ) -> None:
        self.settings, self.worker_socket, self.clock, self.rng = settings, beside, clock, rng
        self.send, self.list_routes = tell, everybody
        self.machine = ReplicatedCounters(me)
        self.adds = self.rejected_adds = 0
        self.send_timer: asyncio.TimerHandle | None = None  # while there is something to say
        self.compare_timer: asyncio.TimerHandle | None = None
        self.next_sweep: MonotonicTime = 0.0

    def open(self) -> None:
        self._run_periodic_work()

    def close(self) -> None:
        """What was added last is told before the end."""
        for timer in (self.send_timer, self.compare_timer):
            if timer is not None:
                timer.cancel()
        self._send_changes()

    def handle_add(self, ask: AddRequest) -> None:
        self.adds += 1
        answer = self.machine.add(self.clock.now(), ask) if len(ask.name.encode()) <= MAX_NAME_BYTES else None
        if answer is None:
            self.rejected_adds += 1
        else:
            self.worker_socket.send_to(ask.holder, answer)
            if self.send_timer is None and self.machine.unsent_changes:
                self.send_timer = asyncio.get_running_loop().call_later(
                    self.settings.send_interval_s, self._send_changes
                )

    def handle_message(self, route: Route, body: ReplicaMessage) -> None:
        for answer in self.machine.handle_message(self.clock.now(), body):
            self.send(route, answer)

    def _run_periodic_work(self) -> None:
        now = self.clock.now()
        self._send_digests()
        if now >= self.next_sweep:
            self.next_sweep = now + SWEEP_INTERVAL_S
            self.machine.remove_expired(now)
        wait = self.settings.compare_interval_s * self.rng.uniform(0.5, 1.5)  # not all at once
        self.compare_timer = asyncio.get_running_loop().call_later(wait, self._run_periodic_work)

    def _send_changes(self) -> None:
        self.send_timer = None
        news = self.machine.take_changes(self.clock.now())
        for route in self.list_routes() if news else ():
            for parts in news:
                self.send(route, parts)

    def _send_digests(self) -> None:
        if routes := self.list_routes():
            route = self.rng.choice(routes)
            for digest in self.machine.digests():
                self.send(route, digest)

    def report(self) -> dict[str, Any]:
        machine = self.machine
        return {
            "numbers": len(machine.counters),
            "parts": machine.part_count,
            "owners": len(machine.owners),
            "adds": self.adds,
            "refused": self.rejected_adds,
            "not_taken_up": machine.rejected_parts,
        }
