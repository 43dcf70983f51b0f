"""Replicates counters at one instance: answers its workers and sends their additions to the other instances.

Changes go to all other instances every few milliseconds. Lost messages are repaired by anti-entropy: each
second one other instance receives digests and answers with what differs.
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
    """Intervals at which changes are sent to all, and digests to one other instance."""

    send_interval_s: float
    compare_interval_s: float


def read_replication_settings(table: Table) -> ReplicationSettings:
    """Read the section `counts` of the fleet's settings. Raises ValidationError."""
    send_interval, compare_interval = (
        table.read_number("say_s", 0.05, 0.005, 5),
        table.read_number("compare_s", 1.0, 0.05, 60),
    )
    table.reject_unknown_keys()
    return ReplicationSettings(send_interval, compare_interval)


class CounterReplicator:
    """Connects the state machine to timers, workers and the other instances."""

    def __init__(
        self,
        settings: ReplicationSettings,
        own_id: ProcessId,
        socket: WorkerSocket,
        clock: Clock,
        rng: random.Random,
        send_message: Callable[[Route, ReplicaMessage], None],
        routes: Callable[[], list[Route]],
    ) -> None:
        self.settings, self.worker_socket, self.clock, self.rng = settings, socket, clock, rng
        self.send, self.list_routes = send_message, routes
        self.machine = ReplicatedCounters(own_id)
        self.adds = self.rejected_adds = 0
        self.send_timer: asyncio.TimerHandle | None = None  # runs while changes are unsent
        self.compare_timer: asyncio.TimerHandle | None = None
        self.next_sweep: MonotonicTime = 0.0

    def open(self) -> None:
        """Start the periodic work."""
        self._run_periodic_work()

    def close(self) -> None:
        """Stop, after sending the last changes."""
        for timer in (self.send_timer, self.compare_timer):
            if timer is not None:
                timer.cancel()
        self._send_changes()

    def handle_add(self, request: AddRequest) -> None:
        """Apply an addition of a worker and answer it. An invalid addition gets no answer."""
        self.adds += 1
        answer = (
            self.machine.add(self.clock.now(), request)
            if len(request.name.encode()) <= MAX_NAME_BYTES
            else None
        )
        if answer is None:
            self.rejected_adds += 1
        else:
            self.worker_socket.send_to(request.holder, answer)
            if self.send_timer is None and self.machine.unsent_changes:
                self.send_timer = asyncio.get_running_loop().call_later(
                    self.settings.send_interval_s, self._send_changes
                )

    def handle_message(self, route: Route, body: ReplicaMessage) -> None:
        """Handle a message of another instance."""
        for answer in self.machine.handle_message(self.clock.now(), body):
            self.send(route, answer)

    def _run_periodic_work(self) -> None:
        now = self.clock.now()
        self._send_digests()
        if now >= self.next_sweep:
            self.next_sweep = now + SWEEP_INTERVAL_S
            self.machine.remove_expired(now)
        # The jitter keeps the instances from sending at the same time.
        wait = self.settings.compare_interval_s * self.rng.uniform(0.5, 1.5)
        self.compare_timer = asyncio.get_running_loop().call_later(wait, self._run_periodic_work)

    def _send_changes(self) -> None:
        self.send_timer = None
        batches = self.machine.take_changes(self.clock.now())
        for route in self.list_routes() if batches else ():
            for batch in batches:
                self.send(route, batch)

    def _send_digests(self) -> None:
        if routes := self.list_routes():
            route = self.rng.choice(routes)
            for digest in self.machine.digests():
                self.send(route, digest)

    def report(self) -> dict[str, Any]:
        """Figures for `roadpulley fleet limits`."""
        machine = self.machine
        return {
            "numbers": len(machine.counters),
            "parts": machine.part_count,
            "owners": len(machine.owners),
            "adds": self.adds,
            "refused": self.rejected_adds,
            "not_taken_up": machine.rejected_parts,
        }
