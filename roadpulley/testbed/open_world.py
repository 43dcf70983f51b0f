"""Limits on what is open at once in virtual time: the faults of `rights_world.py`, beside an exact count.

What a process that crashed or stands still has sent stays open at its backend until it is answered or its
deadline is over, by the clock of that process.
"""

from __future__ import annotations

import random
from dataclasses import replace

from roadpulley.fleet.rights import messages
from roadpulley.fleet.rights.allocator import Allocator
from roadpulley.fleet.rights.holder import Holder, Payment
from roadpulley.fleet.rights.messages import Limit, Times

from . import rights_world
from .limits import Holds, Use
from .rights_world import Plan, Process

KEY = f"{messages.CONCURRENCY_PREFIX}class:view"


def drawn(seed: int) -> Plan:
    rng = random.Random(seed)
    lease = rng.choice((0.5, 1.0))
    return Plan(
        holders=rng.randint(1, 6),
        limit=Limit(0.0, float(rng.choice((1, 4, 15))), lease * rng.choice((2, 4))),
        times=Times(lease, rng.choice((0.0, 0.02, 0.1))),
        load=rng.choice((5.0, 20.0)),
        skew=rng.random(),
        loss=rng.choice((0.0, 0.05, 0.3)),
        late=rng.choice((0.0, 0.05, 0.2)),
        stops=rng.randint(0, 6),
        longest_stop=rng.choice((1.0, 10.0)),
        restarts=rng.randint(0, 5),
        successions=rng.randint(0, 3),
        cuts=rng.randint(0, 3),
        retunes=rng.randint(0, 2),
    )


class World(rights_world.World):
    key = KEY

    def __init__(
        self, plan: Plan, seed: int, holder: type[Holder] = Holder, allocator: type[Allocator] = Allocator
    ) -> None:
        super().__init__(plan, seed, holder, allocator)
        self.open: list[tuple[float, float]] = []  # from, until, by true time

    def _spend(self, process: Process, units: float, anew: bool) -> bool:
        """One request. Its deadline may be longer than any right lasts: then it is never let in."""
        now, machine = process.clock(self.now), process.machine
        longest = self.plan.limit.lease * 1.5 if self.rng.random() < 0.3 else self.plan.limit.lease / 2
        lasting = self.rng.uniform(0.05, longest)
        if anew:
            machine.record_demand(now, self.key, 1.0)
        if not machine.can_spend(now, self.key, 1.0, lasting):
            return False
        paid = machine.spend(now, self.key, 1.0)
        work = self.rng.choice((0.01, 0.1, 0.5, 2.0)) * self.plan.limit.lease * self.rng.random()
        until = self.now + min(work, lasting / process.rate)
        self.open.append((self.now, until))
        self.at(until, lambda: self._ended(process, machine, paid))
        return True

    def _ended(self, process: Process, machine: Holder, paid: Payment) -> None:
        if self.now < process.stopped_until:  # it hears of it when it wakes
            self.at(process.stopped_until + 1e-6, lambda: self._ended(process, machine, paid))
        elif process.machine is machine:
            machine.release(process.clock(self.now), self.key, paid)

    def _limits(self) -> dict[str, Limit]:
        return {self.key: self.limit}

    def judged(self) -> Use:
        """`least`: of what was free, under 0 by what was open beyond the limit."""
        steps = [(at, 1) for at, _ in self.open] + [(until, -1) for _, until in self.open]
        found = Use(units=float(len(self.open)), least=self.plan.limit.burst, burst=self.plan.limit.burst)
        terms, now = list(self.terms), 0
        holds = terms.pop(0)
        for at, step in sorted(steps):
            while terms and terms[0].since <= at:
                holds = terms.pop(0)
            now += step
            if step > 0 and holds.burst - now < found.least:
                found.least, found.least_at = holds.burst - now, at
        return found

    def _changed(self, old: Limit) -> list[Holds]:
        """What is out at a change may be used until it ends; so long the old limit holds as well."""
        most = Holds(self.now, 0.0, max(old.burst, self.limit.burst))
        ends = self.now + self.plan.limit.lease * (1 + 2 * self.plan.times.drift)
        if self.terms[-1].since > self.now:
            most = replace(most, burst=max(most.burst, self.terms.pop().burst))
        return [most, Holds(ends, 0.0, self.limit.burst)]
