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
class SupervisorSettings:
    """Seconds. Settings of a supervisor; see docs/design/scale-up.md."""

    start_timeout_s: float = 15.0  # from its start until a worker must serve
    heartbeat_interval_s: float = 0.25  # between two beats
    heartbeat_timeout_s: float = 3.0  # without a beat: the process lives and does nothing
    max_request_age_s: float = (
        5.0  # a request open for longer than any deadline: the loop turns and answers nobody
    )
    drain_timeout_s: float = 4.0  # after SIGTERM: the longest deadline that is waited for, and a second
    confirmation_delay_s: float = (
        0.25  # between the look that finds a worker overdue and the one that has it killed
    )
    initial_backoff_s: float = 0.1
    max_backoff_s: float = 30.0
    stable_after_s: float = 10.0  # having served for this long, a worker's next end starts the waits anew
    max_failed_starts: int = (
        8  # ends in a row without serving, of a replacement's first worker: it is called off
    )


@dataclass(frozen=True)
class StartWorker:
    slot: int
    version: int


@dataclass(frozen=True)
class DrainWorker:
    slot: int


@dataclass(frozen=True)
class KillWorker:
    slot: int
    reason: str


@dataclass(frozen=True)
class RefuseConnections:
    """Nobody accepts connections any more."""


@dataclass(frozen=True)
class LogMessage:
    text: str


@dataclass(frozen=True)
class ReportFinished:
    """All workers have ended; nothing more will come."""


Action = StartWorker | DrainWorker | KillWorker | RefuseConnections | LogMessage | ReportFinished


@dataclass
class Slot:
    number: int
    state: State = State.IDLE
    version: int = 0  # of what runs in it
    deadline: float = 0.0  # idle: when to start; else: when its patience ends
    first_overdue_at: float | None = None  # the first look that found it overdue, or nearly so
    is_stuck: bool = False  # its last beat told of a request that is open for too long
    serving_since: float | None = None  # since when it serves
    heartbeat_at: float = 0.0
    oldest_age_s: float = 0.0  # age of its oldest open request, seconds
    failures: int = 0  # ends in a row without having served steadily
    is_accepting: bool = False  # connections, from the socket of all
    remove_on_exit: bool = False  # not wanted any more once it has ended


@dataclass
class Supervisor:
    worker_count: int
    settings: SupervisorSettings = field(default_factory=SupervisorSettings)

    def __post_init__(self) -> None:
        self.slots: dict[int, Slot] = {n: Slot(n) for n in range(self.worker_count)}
        self.version = 1
        self.is_stopping = self.is_finished = False
        self.replacing_slot: int | None = None  # the slot that is being replaced just now

    # ---- events ----

    def tick(self, now: float) -> list[Action]:
        """Time has passed: everything that is due. Call it at `next_at` at the latest."""
        actions: list[Action] = []
        for slot in list(self.slots.values()):
            self._check_slot(now, slot, actions)
        self._replace_next_worker(now, actions)
        self._finish_stop(actions)
        return actions

    def handle_serving(self, now: float, number: int) -> list[Action]:
        """A worker says that it serves."""
        slot = self.slots.get(number)
        if slot is not None and slot.state is State.STARTING:
            slot.state, slot.serving_since, slot.heartbeat_at, slot.oldest_age_s = (
                State.SERVING,
                now,
                now,
                0.0,
            )
            slot.first_overdue_at, slot.is_stuck = None, False
            if self.replacing_slot == number:
                self.replacing_slot = None
        if slot is not None and slot.state is not State.IDLE:
            slot.is_accepting = True  # also one that was told to end before it served
        return self.tick(now)

    def handle_heartbeat(self, now: float, number: int, oldest_age_s: float) -> list[Action]:
        slot = self.slots.get(number)
        actions: list[Action] = []
        if slot is not None and slot.state is State.SERVING:
            slot.heartbeat_at, slot.oldest_age_s, slot.first_overdue_at = now, oldest_age_s, None
            # Danger: a worker that was not run for some seconds beats before it has ended what is overdue.
            was_stuck, slot.is_stuck = slot.is_stuck, oldest_age_s > self.settings.max_request_age_s
            if was_stuck and slot.is_stuck:
                self._kill_worker(slot, f"a request is open for {oldest_age_s:.1f} s", actions)
        return actions + self.tick(now)

    def handle_closed(self, now: float, number: int) -> list[Action]:
        """A worker says that it accepts no more connections."""
        actions: list[Action] = []
        if slot := self.slots.get(number):
            self._stop_accepting(slot, actions)
        return actions + self.tick(now)

    def handle_exit(self, now: float, number: int, exit_reason: str) -> list[Action]:
        """A worker's process has ended."""
        slot, actions = self.slots.get(number), list[Action]()
        if slot is None or slot.state is State.IDLE:
            return actions
        self._stop_accepting(slot, actions)
        was_requested = slot.state is State.DRAINING
        was_stable = (
            slot.serving_since is not None and now - slot.serving_since >= self.settings.stable_after_s
        )
        if was_requested:
            slot.failures = 0
        else:
            slot.failures = 1 if was_stable else slot.failures + 1
            actions.append(LogMessage(f"worker {number} ended: {exit_reason}"))
        slot.state, slot.serving_since = State.IDLE, None
        slot.deadline = now if was_requested else now + self.compute_backoff(slot.failures)
        if slot.remove_on_exit or self.is_stopping:
            del self.slots[number]
            self.replacing_slot = None if self.replacing_slot == number else self.replacing_slot
        elif self.replacing_slot == number and slot.failures >= self.settings.max_failed_starts:
            self.replacing_slot = None
            actions.append(
                LogMessage(f"worker {number} does not start as version {self.version}: not replaced further")
            )
            self._abort_replacement()
        return actions + self.tick(now)

    def replace_workers(self, now: float) -> list[Action]:
        """Bring in a new version: every worker in turn."""
        if self.is_stopping:
            return []
        self.version += 1
        return [LogMessage(f"replacing workers, version {self.version}"), *self.tick(now)]

    def resize(self, now: float, worker_count: int) -> list[Action]:
        """Change the number of workers; those beyond it are drained."""
        actions: list[Action] = [LogMessage(f"{worker_count} workers wanted")]
        if not self.is_stopping:
            self.worker_count = worker_count
            for number in range(worker_count):
                self.slots.setdefault(number, Slot(number, deadline=now)).remove_on_exit = False
            for slot in [s for s in self.slots.values() if s.number >= worker_count]:
                slot.remove_on_exit = True
                self._remove_slot(now, slot, actions)
        return actions + self.tick(now)

    def stop(self, now: float) -> list[Action]:
        """Drain all at once, and end."""
        actions: list[Action] = []
        self.is_stopping = True
        for slot in list(self.slots.values()):
            self._remove_slot(now, slot, actions)
        return actions + self.tick(now)

    # ---- questions ----

    def next_deadline(self) -> float:
        """When `tick` must be called next; infinity if only an event can change anything."""
        times = [float("inf")]
        for slot in self.slots.values():
            if slot.state is State.IDLE:
                times.append(slot.deadline)
            elif slot.state is not State.ENDING:
                times.append(self._get_next_check_at(slot))
        return min(times)

    def compute_backoff(self, failures: int) -> float:
        """How long to wait after so many ends in a row; nothing before the first."""
        if failures <= 0:
            return 0.0
        return min(
            self.settings.max_backoff_s, self.settings.initial_backoff_s * 2.0 ** min(failures - 1, 30)
        )

    # ---- inside ----

    def _check_slot(self, now: float, slot: Slot, actions: list[Action]) -> None:
        if slot.state is State.IDLE and now >= slot.deadline and not self.is_stopping:
            slot.state, slot.version = State.STARTING, self.version
            slot.deadline, slot.first_overdue_at = now + self.settings.start_timeout_s, None
            actions.append(StartWorker(slot.number, slot.version))
        elif slot.state is State.STARTING and self._is_overdue(now, slot):
            self._kill_worker(slot, f"it did not serve within {self.settings.start_timeout_s:g} s", actions)
        elif slot.state is State.DRAINING and self._is_overdue(now, slot):
            self._kill_worker(slot, f"it did not end within {self.settings.drain_timeout_s:g} s", actions)
        elif slot.state is State.SERVING and self._is_overdue(now, slot):
            self._kill_worker(slot, f"no beat for {now - slot.heartbeat_at:.1f} s", actions)

    def _get_deadline(self, slot: Slot) -> float:
        """When the time of a worker is up."""
        return (
            slot.heartbeat_at + self.settings.heartbeat_timeout_s
            if slot.state is State.SERVING
            else slot.deadline
        )

    def _get_next_check_at(self, slot: Slot) -> float:
        """When to look at a worker next: first shortly before its time is up, then when it is."""
        deadline, confirmation_s = self._get_deadline(slot), self.settings.confirmation_delay_s
        return (
            deadline - confirmation_s
            if slot.first_overdue_at is None
            else max(deadline, slot.first_overdue_at + confirmation_s)
        )

    def _is_overdue(self, now: float, slot: Slot) -> bool:
        if now < self._get_next_check_at(slot):
            return False
        if slot.first_overdue_at is None:
            slot.first_overdue_at = now
        return now >= self._get_next_check_at(slot)

    def _kill_worker(self, slot: Slot, reason: str, actions: list[Action]) -> None:
        slot.state = State.ENDING
        actions += [LogMessage(f"worker {slot.number} is killed: {reason}"), KillWorker(slot.number, reason)]

    def _stop_accepting(self, slot: Slot, actions: list[Action]) -> None:
        if slot.is_accepting:
            slot.is_accepting = False
            if not any(s.is_accepting for s in self.slots.values()):
                actions.append(RefuseConnections())

    def _remove_slot(self, now: float, slot: Slot, actions: list[Action]) -> None:
        """Have a slot empty: at once if nobody is there, else by a drain."""
        if slot.state is State.IDLE:
            del self.slots[slot.number]
            self.replacing_slot = None if self.replacing_slot == slot.number else self.replacing_slot
        elif slot.state in (State.STARTING, State.SERVING):
            self._drain_worker(now, slot, actions)

    def _drain_worker(self, now: float, slot: Slot, actions: list[Action]) -> None:
        slot.state, slot.deadline, slot.first_overdue_at = (
            State.DRAINING,
            now + self.settings.drain_timeout_s,
            None,
        )
        actions.append(DrainWorker(slot.number))

    def _replace_next_worker(self, now: float, actions: list[Action]) -> None:
        """Drain the next worker of an old version, if all others serve."""
        if self.is_stopping or self.replacing_slot is not None:
            return
        remaining_slots = [s for s in self.slots.values() if not s.remove_on_exit]
        if any(s.state is not State.SERVING for s in remaining_slots):
            return
        outdated = next((s for s in remaining_slots if s.version != self.version), None)
        if outdated is not None:
            self.replacing_slot = outdated.number
            self._drain_worker(now, outdated, actions)

    def _abort_replacement(self) -> None:
        """The others stay what they are; the one that does not start goes on trying, ever more slowly."""
        for slot in self.slots.values():
            if slot.state is State.SERVING:
                slot.version = self.version

    def _finish_stop(self, actions: list[Action]) -> None:
        if self.is_stopping and not self.slots and not self.is_finished:
            self.is_finished = True
            actions.append(ReportFinished())
