"""How a tile node works: cores, slots, a waiting room, warm-up, and the fall of one that is overdriven.

Pure: the caller tells the time (milliseconds) and draws the work. Jobs in slots share the cores evenly, so
one clock of work done for each of them (`shared`) stands for all, and the next to end is the least.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from .scenario import NodeKind

WARM_STEP_MS = 100.0  # a cold node's speed is taken as constant for this long
FALL_SLACK = 4.0  # requests of mean work over the budget: chance


class State(Enum):
    UP = "up"
    DRAINING = "draining"  # finishes what it has, turns new work away
    FALLEN = "fallen"  # overdriven while it was cold: it answers nothing any more


@dataclass(eq=False, slots=True)
class Job:
    """One command in the node. `tag` is the shell's own."""

    tag: object
    work: float  # core milliseconds
    expires: float  # the client's deadline, on the node's clock
    due: float = 0.0  # on the shared clock, once it has begun
    begun_at: float | None = None
    over: bool = False


@dataclass
class Change:
    """What a step of the machine brought about."""

    begun: list[Job] = field(default_factory=list)
    done: list[Job] = field(default_factory=list)
    turned_away: list[Job] = field(default_factory=list)  # these never ran
    fell: bool = False


class Seen:
    """The keys that a group of nodes has run within a window: repeats of these have no effect."""

    def __init__(self, window_ms: float) -> None:
        self.window_ms = window_ms
        self.at: dict[str, float] = {}

    def first(self, key: str, now: float) -> bool:
        """Whether a key is new here; it is remembered from its first run on."""
        for old in [k for k, at in self.at.items() if now - at > self.window_ms][:64]:
            del self.at[old]
        if key in self.at and now - self.at[key] <= self.window_ms:
            return False
        self.at[key] = now
        return True


class NodeMachine:
    def __init__(
        self,
        kind: NodeKind,
        now: float,
        warm: bool = False,
        fall_ms: float = 1_000.0,
        fall_multiple: float = 2.0,
        speed: float = 1.0,
    ) -> None:
        self.kind, self.now, self.started = kind, now, now
        self.started_warm = warm
        self.fall_ms, self.fall_multiple = fall_ms, fall_multiple
        self.own_speed = kind.speed * speed
        self.slowness = 1.0  # times the usual work, by a fault
        self.hung = False
        self.state = State.UP
        self.shared = 0.0  # core milliseconds that each running job has had
        self.running: list[tuple[float, int, Job]] = []
        self.waiting: deque[Job] = deque()
        self.live = 0  # running jobs that are not over
        self.serial = 0
        self.pushed: deque[tuple[float, float]] = deque()  # (time, work) of all that reached it while cold
        self.load = 0.0  # the sum of these

    # ---- capacity ----

    def warmth(self, now: float) -> float:
        """The share of its full capacity that it has, from `cold_from` to 1, evenly over `warm_s`."""
        if self.started_warm or not self.kind.warm_s:
            return 1.0
        age = min(1.0, (now - self.started) / (self.kind.warm_s * 1000))
        return self.kind.cold_from + (1 - self.kind.cold_from) * age

    def capacity(self, now: float) -> float:
        """In cores, of speed 1: what it can do of work a millisecond."""
        return self.kind.cores * self.own_speed * self.warmth(now) / self.slowness

    def pace(self) -> float:
        """Core milliseconds that each running job gets in a millisecond."""
        if not self.live or self.hung:
            return 0.0
        held = self.live + len(self.waiting)
        excess = min(1.0, max(0.0, held / self.kind.thrash_at - 1))
        each = min(1.0, self.kind.cores / self.live)
        speed = self.own_speed * self.warmth(self.now) / self.slowness
        return speed * each * (1 - self.kind.thrash * excess)

    # ---- steps ----

    def advance(self, now: float) -> Change:
        """Let time pass; jobs end, and those that wait begin."""
        change = Change()
        while self.now < now:
            pace = self.pace()
            self._drop_over()
            step = min(now - self.now, WARM_STEP_MS)
            if pace and self.running:
                step = min(step, max(0.0, (self.running[0][0] - self.shared) / pace))
            self.now += step
            self.shared += step * pace
            if not self._settle(change) and step == 0.0:
                self.shared = self.running[0][0]  # rounding must not hold time up
                self._settle(change)
        return change

    def arrive(self, now: float, job: Job) -> Change:
        change = self.advance(now)
        if self.state is State.FALLEN:
            return change
        self._push(now, job.work)
        if self._overdriven(now):
            self.state = State.FALLEN
            change.fell = True
            return change
        room = self.kind.queue + max(0, self.kind.slots - self.live)
        if self.state is State.DRAINING or len(self.waiting) >= room:
            job.over = True
            change.turned_away.append(job)
            return change
        self.waiting.append(job)
        self._settle(change)
        return change

    def leave(self, now: float, job: Job) -> Change:
        """Its connection has ended: what stops depends on the kind."""
        change = self.advance(now)
        if job.over or self.kind.cancel == "none":
            return change
        if job.begun_at is None:
            job.over = True
            if job in self.waiting:  # else it was a process before this one that had it
                self.waiting.remove(job)
        elif self.kind.cancel == "all":
            job.over = True
            self.live -= 1
            self._settle(change)
        return change

    def hang(self, now: float, hung: bool) -> Change:
        """Stand still with all that is in, or go on with it."""
        change = self.advance(now)
        self.hung = hung
        self._settle(change)
        return change

    def next_at(self) -> float | None:
        """When something may end next, at the earliest; None if only an event can change anything."""
        self._drop_over()
        pace = self.pace()
        if not pace or not self.running:
            return None
        due = self.now + max(0.0, self.running[0][0] - self.shared) / pace
        return min(due, self.now + WARM_STEP_MS) if self.warmth(self.now) < 1 else due

    # ---- inside ----

    def _drop_over(self) -> None:
        while self.running and self.running[0][2].over:
            heapq.heappop(self.running)

    def _settle(self, change: Change) -> bool:
        """End what is done and fill the slots; whether anything changed."""
        before = len(change.done) + len(change.begun) + len(change.turned_away)
        while self.running and (self.running[0][2].over or self.running[0][0] <= self.shared + 1e-9):
            job = heapq.heappop(self.running)[2]
            if not job.over:
                job.over = True
                self.live -= 1
                change.done.append(job)
        while self.waiting and self.live < self.kind.slots and not self.hung:
            job = self.waiting.popleft()
            if self.kind.drops_expired and job.expires <= self.now:
                job.over = True
                change.turned_away.append(job)
                continue
            job.begun_at, job.due = self.now, self.shared + job.work
            self.serial += 1
            self.live += 1
            heapq.heappush(self.running, (job.due, self.serial, job))
            change.begun.append(job)
        return len(change.done) + len(change.begun) + len(change.turned_away) > before

    def _push(self, now: float, work: float) -> None:
        if self.warmth(now) < 1:
            self.pushed.append((now, work))
            self.load += work
        while self.pushed and self.pushed[0][0] < now - self.fall_ms:
            self.load -= self.pushed.popleft()[1]

    def _overdriven(self, now: float) -> bool:
        if not self.pushed or self.warmth(now) >= 1:
            return False
        budget = self.fall_multiple * self.capacity(now) * self.fall_ms
        return self.load > budget + FALL_SLACK * self.kind.work_ms


def draw_work(rng: random.Random, kind: NodeKind) -> float:
    """Work of one request: gamma with the kind's mean and spread."""
    if not kind.work_cv:
        return kind.work_ms
    shape = 1 / kind.work_cv**2
    return rng.gammavariate(shape, kind.work_ms / shape)
