"""Whom to start, to drain and to end, and when. Pure: events and times (seconds) go in, actions come out.

Each slot is a place for one worker at a time, in one of these states:

    idle      nobody is there; `due` says when to start one
    starting  a process runs and has not said that it serves
    serving   it beats; a beat carries the age of the oldest request that is open in it
    draining  it was told to end and may take `drain_s` for it
    ending    it was killed, and its end has not been heard yet

A worker whose time is up is killed only if it was up at an earlier look too, `confirm_s` before. Danger: a
supervisor that was not run for some seconds finds every beat overdue, and those that have come lie unread.

A worker that ends uncalled, or is killed because it hangs, is started again after a wait that doubles with
each time it did not serve for `steady_s`. A replacement takes the workers one by one: the next is drained
only once the one before serves again, so that no more than one is missing. Danger: without that, a version
that does not start would take down all.

All accept from one socket, which outlives them. Once the last one that accepted has closed or ended, clients
are refused (`Refuse`) until another serves. Danger: else they would wait in its queue until near their
deadline, when another gateway could have served them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class State(Enum):
    IDLE = "idle"
    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    ENDING = "ending"


@dataclass(frozen=True)
class Limits:
    """Seconds. Settings of a supervisor; see docs/design/scale-up.md."""

    start_s: float = 15.0  # from its start until a worker must serve
    beat_s: float = 0.25  # between two beats
    hang_s: float = 3.0  # without a beat: the process lives and does nothing
    stuck_s: float = 5.0  # a request open for longer than any deadline: the loop turns and answers nobody
    drain_s: float = 4.0  # after SIGTERM: the longest deadline that is waited for, and a second
    confirm_s: float = 0.25  # between the look that finds a worker overdue and the one that has it killed
    first_wait_s: float = 0.1
    longest_wait_s: float = 30.0
    steady_s: float = 10.0  # having served for this long, a worker's next end starts the waits anew
    give_up_after: int = 8  # ends in a row without serving, of a replacement's first worker: it is called off


@dataclass(frozen=True)
class Start:
    slot: int
    version: int


@dataclass(frozen=True)
class Drain:
    slot: int


@dataclass(frozen=True)
class Kill:
    slot: int
    why: str


@dataclass(frozen=True)
class Refuse:
    """Nobody accepts connections any more."""


@dataclass(frozen=True)
class Say:
    words: str


@dataclass(frozen=True)
class Finished:
    """All workers have ended; nothing more will come."""


Action = Start | Drain | Kill | Refuse | Say | Finished


@dataclass
class Slot:
    number: int
    state: State = State.IDLE
    version: int = 0  # of what runs in it
    due: float = 0.0  # idle: when to start; else: when its patience ends
    suspected_at: float | None = None  # the first look that found it overdue, or nearly so
    is_stuck: bool = False  # its last beat told of a request that is open for too long
    served_at: float | None = None  # since when it serves
    beat_at: float = 0.0
    oldest: float = 0.0  # age of its oldest open request, seconds
    failures: int = 0  # ends in a row without having served steadily
    accepts: bool = False  # connections, from the socket of all
    leaving: bool = False  # not wanted any more once it has ended


@dataclass
class Supervisor:
    count: int
    limits: Limits = field(default_factory=Limits)

    def __post_init__(self) -> None:
        self.slots: dict[int, Slot] = {n: Slot(n) for n in range(self.count)}
        self.version = 1
        self.stopping = self.finished = False
        self.replacing: int | None = None  # the slot that is being replaced just now

    # ---- events ----

    def tick(self, now: float) -> list[Action]:
        """Time has passed: everything that is due. Call it at `next_at` at the latest."""
        out: list[Action] = []
        for slot in list(self.slots.values()):
            self._look(now, slot, out)
        self._replace_next(now, out)
        self._finish(out)
        return out

    def served(self, now: float, number: int) -> list[Action]:
        """A worker says that it serves."""
        slot = self.slots.get(number)
        if slot is not None and slot.state is State.STARTING:
            slot.state, slot.served_at, slot.beat_at, slot.oldest = State.SERVING, now, now, 0.0
            slot.suspected_at, slot.is_stuck = None, False
            if self.replacing == number:
                self.replacing = None
        if slot is not None and slot.state is not State.IDLE:
            slot.accepts = True  # also one that was told to end before it served
        return self.tick(now)

    def beat(self, now: float, number: int, oldest: float) -> list[Action]:
        slot = self.slots.get(number)
        out: list[Action] = []
        if slot is not None and slot.state is State.SERVING:
            slot.beat_at, slot.oldest, slot.suspected_at = now, oldest, None
            # Danger: a worker that was not run for some seconds beats before it has ended what is overdue.
            was_stuck, slot.is_stuck = slot.is_stuck, oldest > self.limits.stuck_s
            if was_stuck and slot.is_stuck:
                self._kill(slot, f"a request is open for {oldest:.1f} s", out)
        return out + self.tick(now)

    def closed(self, now: float, number: int) -> list[Action]:
        """A worker says that it accepts no more connections."""
        out: list[Action] = []
        if slot := self.slots.get(number):
            self._accepts_no_more(slot, out)
        return out + self.tick(now)

    def ended(self, now: float, number: int, how: str) -> list[Action]:
        """A worker's process has ended."""
        slot, out = self.slots.get(number), list[Action]()
        if slot is None or slot.state is State.IDLE:
            return out
        self._accepts_no_more(slot, out)
        called = slot.state is State.DRAINING
        steady = slot.served_at is not None and now - slot.served_at >= self.limits.steady_s
        if called:
            slot.failures = 0
        else:
            slot.failures = 1 if steady else slot.failures + 1
            out.append(Say(f"worker {number} ended: {how}"))
        slot.state, slot.served_at = State.IDLE, None
        slot.due = now if called else now + self.wait(slot.failures)
        if slot.leaving or self.stopping:
            del self.slots[number]
            self.replacing = None if self.replacing == number else self.replacing
        elif self.replacing == number and slot.failures >= self.limits.give_up_after:
            self.replacing = None
            out.append(Say(f"worker {number} does not start as version {self.version}: not replaced further"))
            self._call_off()
        return out + self.tick(now)

    def replace(self, now: float) -> list[Action]:
        """Bring in a new version: every worker in turn."""
        if self.stopping:
            return []
        self.version += 1
        return [Say(f"replacing workers, version {self.version}"), *self.tick(now)]

    def resize(self, now: float, count: int) -> list[Action]:
        """Change the number of workers; those beyond it are drained."""
        out: list[Action] = [Say(f"{count} workers wanted")]
        if not self.stopping:
            self.count = count
            for number in range(count):
                self.slots.setdefault(number, Slot(number, due=now)).leaving = False
            for slot in [s for s in self.slots.values() if s.number >= count]:
                slot.leaving = True
                self._end(now, slot, out)
        return out + self.tick(now)

    def stop(self, now: float) -> list[Action]:
        """Drain all at once, and end."""
        out: list[Action] = []
        self.stopping = True
        for slot in list(self.slots.values()):
            self._end(now, slot, out)
        return out + self.tick(now)

    # ---- questions ----

    def next_at(self) -> float:
        """When `tick` must be called next; infinity if only an event can change anything."""
        times = [float("inf")]
        for slot in self.slots.values():
            if slot.state is State.IDLE:
                times.append(slot.due)
            elif slot.state is not State.ENDING:
                times.append(self._look_at(slot))
        return min(times)

    def wait(self, failures: int) -> float:
        """How long to wait after so many ends in a row; nothing before the first."""
        if failures <= 0:
            return 0.0
        return min(self.limits.longest_wait_s, self.limits.first_wait_s * 2.0 ** min(failures - 1, 30))

    # ---- inside ----

    def _look(self, now: float, slot: Slot, out: list[Action]) -> None:
        if slot.state is State.IDLE and now >= slot.due and not self.stopping:
            slot.state, slot.version = State.STARTING, self.version
            slot.due, slot.suspected_at = now + self.limits.start_s, None
            out.append(Start(slot.number, slot.version))
        elif slot.state is State.STARTING and self._is_overdue(now, slot):
            self._kill(slot, f"it did not serve within {self.limits.start_s:g} s", out)
        elif slot.state is State.DRAINING and self._is_overdue(now, slot):
            self._kill(slot, f"it did not end within {self.limits.drain_s:g} s", out)
        elif slot.state is State.SERVING and self._is_overdue(now, slot):
            self._kill(slot, f"no beat for {now - slot.beat_at:.1f} s", out)

    def _due(self, slot: Slot) -> float:
        """When the time of a worker is up."""
        return slot.beat_at + self.limits.hang_s if slot.state is State.SERVING else slot.due

    def _look_at(self, slot: Slot) -> float:
        """When to look at a worker next: first shortly before its time is up, then when it is."""
        due, confirm = self._due(slot), self.limits.confirm_s
        return due - confirm if slot.suspected_at is None else max(due, slot.suspected_at + confirm)

    def _is_overdue(self, now: float, slot: Slot) -> bool:
        if now < self._look_at(slot):
            return False
        if slot.suspected_at is None:
            slot.suspected_at = now
        return now >= self._look_at(slot)

    def _kill(self, slot: Slot, why: str, out: list[Action]) -> None:
        slot.state = State.ENDING
        out += [Say(f"worker {slot.number} is killed: {why}"), Kill(slot.number, why)]

    def _accepts_no_more(self, slot: Slot, out: list[Action]) -> None:
        if slot.accepts:
            slot.accepts = False
            if not any(s.accepts for s in self.slots.values()):
                out.append(Refuse())

    def _end(self, now: float, slot: Slot, out: list[Action]) -> None:
        """Have a slot empty: at once if nobody is there, else by a drain."""
        if slot.state is State.IDLE:
            del self.slots[slot.number]
            self.replacing = None if self.replacing == slot.number else self.replacing
        elif slot.state in (State.STARTING, State.SERVING):
            self._drain(now, slot, out)

    def _drain(self, now: float, slot: Slot, out: list[Action]) -> None:
        slot.state, slot.due, slot.suspected_at = State.DRAINING, now + self.limits.drain_s, None
        out.append(Drain(slot.number))

    def _replace_next(self, now: float, out: list[Action]) -> None:
        """Drain the next worker of an old version, if all others serve."""
        if self.stopping or self.replacing is not None:
            return
        wanted = [s for s in self.slots.values() if not s.leaving]
        if any(s.state is not State.SERVING for s in wanted):
            return
        old = next((s for s in wanted if s.version != self.version), None)
        if old is not None:
            self.replacing = old.number
            self._drain(now, old, out)

    def _call_off(self) -> None:
        """The others stay what they are; the one that does not start goes on trying, ever more slowly."""
        for slot in self.slots.values():
            if slot.state is State.SERVING:
                slot.version = self.version

    def _finish(self, out: list[Action]) -> None:
        if self.stopping and not self.slots and not self.finished:
            self.finished = True
            out.append(Finished())
