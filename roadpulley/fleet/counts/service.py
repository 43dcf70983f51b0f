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

    say: float
    compare: float


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
        self.settings, self.beside, self.clock, self.rng = settings, beside, clock, rng
        self.tell, self.everybody = tell, everybody
        self.machine = ReplicatedCounters(me)
        self.adds = self.refused = 0
        self.saying: asyncio.TimerHandle | None = None  # while there is something to say
        self.comparing: asyncio.TimerHandle | None = None
        self.sweep_at: MonotonicTime = 0.0

    def open(self) -> None:
        self._look()

    def close(self) -> None:
        """What was added last is told before the end."""
        for timer in (self.saying, self.comparing):
            if timer is not None:
                timer.cancel()
        self._say()

    def asked(self, ask: AddRequest) -> None:
        self.adds += 1
        answer = self.machine.add(self.clock.now(), ask) if len(ask.name.encode()) <= MAX_NAME_BYTES else None
        if answer is None:
            self.refused += 1
        else:
            self.beside.send_to(ask.holder, answer)
            if self.saying is None and self.machine.changed:
                self.saying = asyncio.get_running_loop().call_later(self.settings.say, self._say)

    def heard(self, route: Route, body: ReplicaMessage) -> None:
        for answer in self.machine.heard(self.clock.now(), body):
            self.tell(route, answer)

    def _look(self) -> None:
        now = self.clock.now()
        self._compare()
        if now >= self.sweep_at:
            self.sweep_at = now + SWEEP_INTERVAL_S
            self.machine.sweep(now)
        wait = self.settings.compare * self.rng.uniform(0.5, 1.5)  # not all at once
        self.comparing = asyncio.get_running_loop().call_later(wait, self._look)

    def _say(self) -> None:
        self.saying = None
        news = self.machine.news(self.clock.now())
        for route in self.everybody() if news else ():
            for parts in news:
                self.tell(route, parts)

    def _compare(self) -> None:
        if routes := self.everybody():
            route = self.rng.choice(routes)
            for digest in self.machine.digests():
                self.tell(route, digest)

    def report(self) -> dict[str, Any]:
        machine = self.machine
        return {
            "numbers": len(machine.numbers),
            "parts": machine.parts,
            "owners": len(machine.owners),
            "adds": self.adds,
            "refused": self.refused,
            "not_taken_up": machine.full,
        }
