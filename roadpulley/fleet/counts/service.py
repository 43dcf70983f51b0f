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
from roadpulley.fleet.beside import Beside
from roadpulley.fleet.clock import Clock
from roadpulley.fleet.duties.terms import Mono, Who

from .machine import Counts
from .terms import MOST_NAME, Add, Body

SWEEP_S = 5.0

Route = tuple[str, int]  # address and boot of an instance


@dataclass(frozen=True)
class CountsSettings:
    """Seconds. `say`: between two words of what was added; `compare`: between two digests."""

    say: float
    compare: float


def read_counts(table: Table) -> CountsSettings:
    """Raises Bad."""
    say, compare = table.number("say_s", 0.05, 0.005, 5), table.number("compare_s", 1.0, 0.05, 60)
    table.done()
    return CountsSettings(say, compare)


class Counting:
    def __init__(
        self,
        settings: CountsSettings,
        me: Who,
        beside: Beside,
        clock: Clock,
        rng: random.Random,
        tell: Callable[[Route, Body], None],
        everybody: Callable[[], list[Route]],
    ) -> None:
        self.settings, self.beside, self.clock, self.rng = settings, beside, clock, rng
        self.tell, self.everybody = tell, everybody
        self.machine = Counts(me)
        self.adds = self.refused = 0
        self.timer: asyncio.TimerHandle | None = None
        self.compare_at: Mono = 0.0
        self.sweep_at: Mono = 0.0

    def open(self) -> None:
        self._say()

    def close(self) -> None:
        """What was added last is told before the end."""
        if self.timer is not None:
            self.timer.cancel()
        self._news()

    def asked(self, ask: Add) -> None:
        self.adds += 1
        answer = self.machine.add(self.clock.now(), ask) if len(ask.name.encode()) <= MOST_NAME else None
        if answer is None:
            self.refused += 1
        else:
            self.beside.tell(ask.holder, answer)

    def heard(self, route: Route, body: Body) -> None:
        for answer in self.machine.heard(self.clock.now(), body):
            self.tell(route, answer)

    def _say(self) -> None:
        now = self.clock.now()
        self._news()
        if now >= self.compare_at:
            self.compare_at = now + self.settings.compare * self.rng.uniform(0.5, 1.5)
            self._compare()
        if now >= self.sweep_at:
            self.sweep_at = now + SWEEP_S
            self.machine.sweep(now)
        self.timer = asyncio.get_running_loop().call_later(self.settings.say, self._say)

    def _news(self) -> None:
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
