"""A simulation of holders and allocators of rights in virtual time, with clock drift and random faults.

One seed gives one history. Demand comes in bursts, most of it at a few holders. Messages are lost, duplicated
and delayed by up to seconds. Holders are suspended and resume with the rights that they held, or restart
without any. The duty goes from one allocator to the next, at once or after a gap. The limit is raised and
lowered. All spends are checked against one exact token bucket.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count
from typing import Any

from roadpulley.fleet.rights.allocator import Allocator, InheritedLedgers
from roadpulley.fleet.rights.holder import Holder
from roadpulley.fleet.rights.messages import (
    AllocatorAnnouncement,
    LedgerSnapshot,
    Limit,
    RightsReply,
    RightsRequest,
    Times,
)

from .limits import Holds, Spent, Use, use

KEY = "plan/customer"
ANNOUNCE_INTERVAL_S = 0.25
TICK_INTERVAL_S = 0.02
MAX_INHERITED_AGE_S = 4.0  # the usual lease of a duty


@dataclass(frozen=True)
class Plan:
    """The parameters of one history: times in seconds, faults as counts or as ratios of the messages."""

    holders: int = 4
    seconds: float = 20.0
    limit: Limit = field(default_factory=lambda: Limit(8.0, 12.0))
    times: Times = field(default_factory=Times)
    load: float = 2.0  # demanded units a second, over the rate of the limit
    skew: float = 0.6  # part of the demand that is at the first holder
    loss_ratio: float = 0.05
    duplicate_ratio: float = 0.05
    delayed_ratio: float = 0.05  # by up to `max_delay_s`
    max_delay_s: float = 2.0
    trip_s: float = 0.002
    suspensions: int = 2
    max_suspension_s: float = 3.0
    restarts: int = 2
    successions: int = 2
    planned_ratio: float = 0.5  # of the successions: the ledgers are transferred
    partitions: int = 1
    limit_changes: int = 1
    flood: bool = False  # the demand of a moment is at one holder, and exceeds the burst


def draw_plan(seed: int) -> Plan:
    """A plan with usual loads and all kinds of faults."""
    rng = random.Random(seed)
    drift = rng.choice((0.0, 0.02, 0.1))
    return Plan(
        holders=rng.randint(1, 8),
        limit=Limit(rng.choice((0.0, 2.0, 8.0, 30.0)), rng.choice((1.0, 5.0, 12.0, 40.0))),
        times=Times(lease=rng.choice((0.5, 1.0, 2.0)), drift=drift),
        load=rng.choice((0.3, 1.0, 3.0)),
        skew=rng.random(),
        loss_ratio=rng.choice((0.0, 0.05, 0.3)),
        delayed_ratio=rng.choice((0.0, 0.05, 0.2)),
        suspensions=rng.randint(0, 4),
        max_suspension_s=rng.choice((1.0, 20.0)),
        restarts=rng.randint(0, 4),
        successions=rng.randint(0, 4),
        partitions=rng.randint(0, 3),
        limit_changes=rng.randint(0, 2),
    )


def draw_adversarial_plan(seed: int) -> Plan:
    """Few holders that demand the whole burst at once, times without a margin, and frequent faults."""
    rng = random.Random(seed)
    lease = rng.choice((0.5, 1.0))
    return Plan(
        holders=rng.randint(1, 3),
        limit=Limit(rng.choice((4.0, 20.0, 60.0)), rng.choice((3.0, 10.0))),
        times=Times(lease, rng.choice((0.0, 0.25)), answer=lease / 16, keep=1.0),
        loss_ratio=rng.choice((0.0, 0.3)),
        delayed_ratio=rng.choice((0.0, 0.4)),
        max_delay_s=lease,
        suspensions=rng.randint(0, 10),
        max_suspension_s=1.5 * lease,
        restarts=rng.randint(0, 3),
        successions=rng.randint(0, 12),
        partitions=rng.randint(0, 10),
        limit_changes=rng.randint(0, 2),
        flood=True,
    )


@dataclass
class Process:
    """The process of one holder; `rate` and `offset` are those of its clock."""

    index: int
    rate: float
    offset: float
    machine: Holder
    suspended_until: float = 0.0
    partitioned_until: float = 0.0
    inbox: list[Any] = field(default_factory=list)

    def clock(self, true_time: float) -> float:
        """The time that the clock of this process shows."""
        return true_time * self.rate + self.offset


class World:
    """One history: the processes, the allocator, the messages on their way, and all spends."""

    key = KEY

    def __init__(
        self, plan: Plan, seed: int, holder: type[Holder] = Holder, allocator: type[Allocator] = Allocator
    ) -> None:
        self.plan, self.rng = plan, random.Random(seed)
        self.implementations = holder, allocator
        self.now, self.order = 0.0, count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.holder_numbers = count(1)
        self.processes = [self._make_process(n) for n in range(plan.holders)]
        self.limit = plan.limit
        self.limit_periods = [Holds(0.0, plan.limit.rate, plan.limit.burst)]
        self.spends: list[Spent] = []
        self.demanded_units = self.messages = 0.0
        self.fence = self.inherited_count = 0
        self.allocator: Allocator | None = None
        self.allocator_clock = (1.0, 0.0)  # rate and offset of the allocator's clock

    def _make_process(self, index: int) -> Process:
        drift = self.plan.times.drift
        rate = 1 + self.rng.choice((-drift, drift, self.rng.uniform(-drift, drift)))
        return Process(index, rate, self.rng.uniform(0, 1e6), self._make_holder())

    def _make_holder(self) -> Holder:
        return self.implementations[0](next(self.holder_numbers), 1, self.plan.times)

    def schedule(self, when: float, act: Callable[[], None]) -> None:
        """Calls `act` at this time."""
        heapq.heappush(self.queue, (when, next(self.order), act))

    # ---- a history ----

    def run(self) -> Use:
        """Plays the history to its end."""
        plan, rng = self.plan, self.rng
        self._start_allocator()
        self.schedule(0.0, self._announce_periodically)
        for process in self.processes:
            self.schedule(rng.random() * TICK_INTERVAL_S, lambda p=process: self._tick(p))  # type: ignore[misc]
        self._generate_demand()
        for kind, number in (
            (self._suspend_process, plan.suspensions),
            (self._restart_process, plan.restarts),
            (self._end_allocator, plan.successions),
            (self._partition_process, plan.partitions),
            (self._change_limit, plan.limit_changes),
        ):
            for _ in range(number):
                self.schedule(rng.uniform(0, plan.seconds), kind)
        while self.queue and self.queue[0][0] < plan.seconds:
            self.now, _, act = heapq.heappop(self.queue)
            act()
        return self.measure_use()

    def measure_use(self) -> Use:
        """How the spends compare with the limit."""
        return use(self.spends, self.limit_periods)

    def _limits(self) -> dict[str, Limit]:
        return {"plan": self.limit}

    def _generate_demand(self) -> None:
        """Generates the demand of this moment, and schedules the next."""
        rng, plan = self.rng, self.plan
        if plan.flood:
            process = rng.choice(self.processes)
            for _ in range(rng.randint(1, int(plan.limit.burst) + 2)):
                self._demand(process, 1.0)
            gap = plan.times.lease * rng.choice((0.05, 0.25, 0.8))
        else:
            for _ in range(rng.choice((1, 1, 1, 1, 1, 12))):
                skewed = rng.random() < plan.skew
                self._demand(
                    self.processes[0] if skewed else rng.choice(self.processes),
                    rng.choice((0.2, 1.0, 1.0, 2.0)),
                )
            gap = 2.9 / max(0.5, plan.load * max(plan.limit.rate, plan.limit.burst / 10))
        self.schedule(self.now + rng.expovariate(1 / gap), self._generate_demand)

    def _demand(self, process: Process, units: float) -> None:
        self.demanded_units += units
        if self.now >= process.suspended_until:
            self._try_spend(process, units, True)
            request = process.machine.prepare_request(process.clock(self.now), self.key)
            if request is not None:
                self._send(process, request)

    def _try_spend(self, process: Process, units: float, is_new: bool) -> bool:
        is_paid = process.machine.try_spend(process.clock(self.now), KEY, units, is_new)
        if is_paid:
            self.spends.append(Spent(self.now, KEY, units, str(process.machine.number)))
        return is_paid

    def _tick(self, process: Process) -> None:
        if self.now >= process.suspended_until:
            waiting, process.inbox = process.inbox, []
            for message in waiting:
                self._receive(process, message)
            for request in process.machine.tick(process.clock(self.now)):
                self._send(process, request)
        self.schedule(self.now + TICK_INTERVAL_S, lambda: self._tick(process))

    # ---- messages ----

    def _transmit(self, arrive: Callable[[], None]) -> None:
        rng, plan = self.rng, self.plan
        self.messages += 1
        for _ in range(2 if rng.random() < plan.duplicate_ratio else 1):
            if rng.random() >= plan.loss_ratio:
                wait = plan.trip_s * rng.uniform(0.5, 2)
                wait += rng.random() * plan.max_delay_s if rng.random() < plan.delayed_ratio else 0.0
                self.schedule(self.now + wait, arrive)

    def _send(self, process: Process, request: RightsRequest) -> None:
        if self.now >= process.partitioned_until:
            self._transmit(lambda: self._receive_request(process, request))

    def _receive_request(self, process: Process, request: RightsRequest) -> None:
        if self.allocator is None or self.now < process.partitioned_until:
            return
        reply = self.allocator.handle_request(self._allocator_now(), request)
        if reply is not None:
            self._transmit(lambda: self._deliver(process, reply))

    def _deliver(self, process: Process, message: RightsReply | AllocatorAnnouncement) -> None:
        if self.now < process.partitioned_until:
            return
        if self.now < process.suspended_until:
            process.inbox.append(message)
        else:
            self._receive(process, message)

    def _receive(self, process: Process, message: RightsReply | AllocatorAnnouncement) -> None:
        now = process.clock(self.now)
        if isinstance(message, AllocatorAnnouncement):
            process.machine.handle_announcement(
                now, message.partition, message.fence, message.lifetime_ms / 1000
            )
        elif message.holder == process.machine.number:
            if process.machine.handle_reply(now, message):
                while self._try_spend(process, 1.0, False) and self.plan.flood:
                    pass  # demands that were waiting
            if request := process.machine.prepare_request(now, self.key):
                self._send(process, request)

    def _announce_periodically(self) -> None:
        if self.allocator is not None:
            for process in self.processes:
                serving = AllocatorAnnouncement(0, self.fence, 1000)
                self._transmit(lambda p=process, s=serving: self._deliver(p, s))  # type: ignore[misc]
        self.schedule(self.now + ANNOUNCE_INTERVAL_S, self._announce_periodically)

    # ---- faults ----

    def _allocator_now(self) -> float:
        rate, offset = self.allocator_clock
        return self.now * rate + offset

    def _end_allocator(self) -> None:
        rng = self.rng
        if self.allocator is None:
            return
        gap = rng.choice((0.0, rng.uniform(0, 2)))
        if rng.random() >= self.plan.planned_ratio:
            self.allocator = None
            return self.schedule(self.now + gap, self._start_allocator)
        clock, requested_at = self._draw_clock(), self.now
        delay_s = rng.choice((0.01, rng.uniform(0, 0.5)))
        self.schedule(self.now + delay_s, lambda: self._hand_over(clock, requested_at, gap))

    def _hand_over(self, clock: tuple[float, float], requested_at: float, gap: float) -> None:
        """All candidates receive the sealed ledgers soon; another one may hold the duty first."""
        rng = self.rng
        if self.allocator is None or self.allocator.sealed:
            return
        snapshots = self.allocator.seal(self._allocator_now(), 0)
        ledgers = self._inherited_ledgers(clock, requested_at, snapshots)
        other_acquires_it = rng.random()
        if other_acquires_it < 0.15:
            self._start_allocator()  # without ledgers
        elif other_acquires_it < 0.3:
            other = self._draw_clock()
            self._start_allocator(other, self._inherited_ledgers(other, requested_at, snapshots))
        self.schedule(self.now + max(gap, 0.1), lambda: self._start_allocator(clock, ledgers))

    def _inherited_ledgers(
        self, clock: tuple[float, float], requested_at: float, snapshots: list[LedgerSnapshot]
    ) -> InheritedLedgers:
        """What a candidate with this clock receives under the current fence."""
        rate, offset = clock
        ledgers = InheritedLedgers(self.fence, requested_at * rate + offset)
        received_at = (self.now + self.rng.uniform(0, 0.1)) * rate + offset
        for snapshot in snapshots:
            ledgers.add(received_at, snapshot)
        return ledgers

    def _draw_clock(self) -> tuple[float, float]:
        drift = self.plan.times.drift
        rate = 1 + self.rng.choice((-drift, drift, self.rng.uniform(-drift, drift)))
        return rate, self.rng.uniform(0, 1e6)

    def _start_allocator(
        self, clock: tuple[float, float] | None = None, ledgers: InheritedLedgers | None = None
    ) -> None:
        previous_fence = self.fence
        self.fence += 1
        self.allocator_clock = clock or self._draw_clock()
        now, times = self._allocator_now(), self.plan.times
        snapshots = (
            ledgers.usable_snapshots(now, self.fence, previous_fence, MAX_INHERITED_AGE_S)
            if ledgers is not None
            else None
        )
        self.inherited_count += bool(snapshots)
        self.allocator = self.implementations[1](self.fence, now, self._limits(), times, self.rng, snapshots)

    def _suspend_process(self) -> None:
        process = self.rng.choice(self.processes)
        process.suspended_until = self.now + self.rng.uniform(0.01, self.plan.max_suspension_s)

    def _partition_process(self) -> None:
        process = self.rng.choice(self.processes)
        process.partitioned_until = self.now + self.rng.uniform(0.1, 5)

    def _restart_process(self) -> None:
        process = self.rng.choice(self.processes)
        process.machine, process.inbox = self._make_holder(), []

    def _change_limit(self) -> None:
        """Until the rights that are outstanding at a change expire, both bursts apply."""
        old, rng = self.limit, self.rng
        self.limit = scale_limit(old, rng.choice((0.3, 0.7, 1.5)))
        if self.allocator is not None:
            self.allocator.set_limits(self._allocator_now(), self._limits())
        self.limit_periods += self._limit_periods_after(old)

    def _limit_periods_after(self, old: Limit) -> list[Holds]:
        loosest = Holds(self.now, max(old.rate, self.limit.rate), max(old.burst, self.limit.burst))
        ends = self.now + self.plan.times.lease * (1 + 2 * self.plan.times.drift)
        if self.limit_periods[-1].since > self.now:  # an earlier change is not over yet
            last = self.limit_periods.pop()
            loosest = replace(
                loosest, rate=max(loosest.rate, last.rate), burst=max(loosest.burst, last.burst)
            )
        return [loosest, Holds(ends, self.limit.rate, self.limit.burst)]


def scale_limit(limit: Limit, factor: float) -> Limit:
    """The limit with its rate and its burst multiplied."""
    return Limit(limit.rate * factor, max(0.5, limit.burst * factor), limit.lease)
