"""A simulation of concurrency limits in virtual time, with the faults of `rights_world.py`.

A request of a process that crashed or is suspended stays open at its backend until it is answered or its
deadline has passed by the clock of that process.
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


def draw_plan(seed: int) -> Plan:
    """A plan with all kinds of faults."""
    rng = random.Random(seed)
    lease = rng.choice((0.5, 1.0))
    return Plan(
        holders=rng.randint(1, 6),
        limit=Limit(0.0, float(rng.choice((1, 4, 15))), lease * rng.choice((2, 4))),
        times=Times(lease, rng.choice((0.0, 0.02, 0.1))),
        load=rng.choice((5.0, 20.0)),
        skew=rng.random(),
        loss_ratio=rng.choice((0.0, 0.05, 0.3)),
        delayed_ratio=rng.choice((0.0, 0.05, 0.2)),
        suspensions=rng.randint(0, 6),
        max_suspension_s=rng.choice((1.0, 10.0)),
        restarts=rng.randint(0, 5),
        successions=rng.randint(0, 3),
        partitions=rng.randint(0, 3),
        limit_changes=rng.randint(0, 2),
    )


class World(rights_world.World):
    """One history of a concurrency limit."""

    key = KEY

    def __init__(
        self, plan: Plan, seed: int, holder: type[Holder] = Holder, allocator: type[Allocator] = Allocator
    ) -> None:
        super().__init__(plan, seed, holder, allocator)
        self.open: list[tuple[float, float]] = []  # begin and end of each request, in true time

    def _try_spend(self, process: Process, units: float, is_new: bool) -> bool:
        """Sends one request; with a deadline that is longer than any right lasts it is never admitted."""
        now, machine = process.clock(self.now), process.machine
        longest = self.plan.limit.lease * 1.5 if self.rng.random() < 0.3 else self.plan.limit.lease / 2
        lasting = self.rng.uniform(0.05, longest)
        if is_new:
            machine.record_demand(now, self.key, 1.0)
        if not machine.can_spend(now, self.key, 1.0, lasting):
            return False
        payment = machine.spend(now, self.key, 1.0)
        work = self.rng.choice((0.01, 0.1, 0.5, 2.0)) * self.plan.limit.lease * self.rng.random()
        until = self.now + min(work, lasting / process.rate)
        self.open.append((self.now, until))
        self.schedule(until, lambda: self._end_request(process, machine, payment))
        return True

    def _end_request(self, process: Process, machine: Holder, payment: Payment) -> None:
        if self.now < process.suspended_until:  # it reads the answer when it resumes
            self.schedule(
                process.suspended_until + 1e-6, lambda: self._end_request(process, machine, payment)
            )
        elif process.machine is machine:
            machine.release(process.clock(self.now), self.key, payment)

    def _limits(self) -> dict[str, Limit]:
        return {self.key: self.limit}

    def measure_use(self) -> Use:
        """`least` is the lowest number of free units, negative where more were open than the limit allows."""
        changes = [(at, 1) for at, _ in self.open] + [(until, -1) for _, until in self.open]
        found = Use(units=float(len(self.open)), least=self.plan.limit.burst, burst=self.plan.limit.burst)
        limit_periods, now = list(self.limit_periods), 0
        holds = limit_periods.pop(0)
        for at, change in sorted(changes):
            while limit_periods and limit_periods[0].since <= at:
                holds = limit_periods.pop(0)
            now += change
            if change > 0 and holds.burst - now < found.least:
                found.least, found.least_at = holds.burst - now, at
        return found

    def _limit_periods_after(self, old: Limit) -> list[Holds]:
        """Until the rights that are outstanding at a change expire, both limits apply."""
        loosest = Holds(self.now, 0.0, max(old.burst, self.limit.burst))
        ends = self.now + self.plan.limit.lease * (1 + 2 * self.plan.times.drift)
        if self.limit_periods[-1].since > self.now:
            loosest = replace(loosest, burst=max(loosest.burst, self.limit_periods.pop().burst))
        return [loosest, Holds(ends, 0.0, self.limit.burst)]
