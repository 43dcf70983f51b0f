"""State machine that decides when workers are started, drained and killed.

Pure: events and times in seconds go in, actions come out.

Each slot holds at most one worker process and is in one of these states:

    idle      no process runs; `deadline` is the time to start one
    starting  a process runs and has not reported that it serves
    serving   the process sends heartbeats, each with the time for which a request is overdue
    draining  the process received SIGTERM and may take `drain_timeout_s` to exit, or longer while it reports
              that long values are under way
    ending    the process was killed and its exit has not been reported yet

An overdue worker is killed only if an earlier check, at least `confirmation_delay_s` before, found it
overdue or nearly so. Without this, a supervisor that was suspended for some seconds would find every
heartbeat overdue and kill healthy workers, because the heartbeats that have arrived are still unread.

A worker that exits without having been drained, or is killed, is restarted after a backoff. The
backoff doubles with each exit before which the worker did not serve for `stable_after_s`. A replacement
handles the workers one by one: the next worker is drained only once all others serve, so at most one
worker is missing. Without this, a version that fails to start would take down all workers.

All workers accept from one listening socket, which outlives them. Once the last accepting worker has closed
its listener or exited, connections are refused (`RefuseConnections`) until another worker serves. Otherwise
clients would wait in the accept queue until shortly before their deadline, although another gateway could
have served them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from roadpulley.operations.drain_times import MAX_STOP_S

STOP_MARGIN_S = 0.4  # beyond the time in which a worker ends by itself, for a busy machine


class State(Enum):
    """State of a slot."""

    IDLE = "idle"
    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    ENDING = "ending"


@dataclass(frozen=True)
class SupervisorSettings:
    """Timeouts and limits of a supervisor; `_s` stands for seconds. See docs/design/scale-up.md."""

    start_timeout_s: float = 15.0  # from the start of a process until it must serve
    heartbeat_interval_s: float = 0.25
    heartbeat_timeout_s: float = 3.0  # without a heartbeat for this long, a worker is considered hung
    # Past the time by which a request must end, by the worker's own settings: its event loop still runs, but
    # it does not end requests. With a deadline of 3 s that is 5 s after the request.
    max_request_overdue_s: float = 2.0
    drain_timeout_s: float = MAX_STOP_S + STOP_MARGIN_S  # from SIGTERM to SIGKILL
    # From the last report of a draining worker that long values are under way to SIGKILL.
    value_report_timeout_s: float = 3.0
    # Between the check that first finds a worker overdue and the one that kills it.
    confirmation_delay_s: float = 0.25
    initial_backoff_s: float = 0.1
    max_backoff_s: float = 30.0
    stable_after_s: float = 10.0  # a worker that served for this long restarts with the initial backoff
    # Consecutive exits of the worker being replaced, without serving, after which a replacement is aborted.
    max_failed_starts: int = 8


@dataclass(frozen=True)
class StartWorker:
    """Start a process of the given version in the slot."""

    slot: int
    version: int


@dataclass(frozen=True)
class DrainWorker:
    """Send SIGTERM to the worker of the slot."""

    slot: int


@dataclass(frozen=True)
class KillWorker:
    """Send SIGKILL to the worker of the slot."""

    slot: int
    reason: str


@dataclass(frozen=True)
class RefuseConnections:
    """Refuse new connections, because no worker accepts them."""


@dataclass(frozen=True)
class LogMessage:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True)
class ReportFinished:
    """Report that all workers have exited after a stop. No action follows."""


Action = StartWorker | DrainWorker | KillWorker | RefuseConnections | LogMessage | ReportFinished


@dataclass
class Slot:
    """Place for one worker process at a time. Times are those of the caller's clock, in seconds."""

    number: int
    state: State = State.IDLE
    version: int = 0  # of the running process
    deadline: float = 0.0  # idle: when to start a process; starting or draining: when it is overdue
    first_overdue_at: float | None = None  # first check that found the worker overdue or nearly so
    is_stuck: bool = False  # the last heartbeat reported a request overdue by `max_request_overdue_s`
    serving_since: float | None = None
    heartbeat_at: float = 0.0  # time of the last heartbeat
    failures: int = 0  # consecutive exits without having served for `stable_after_s`
    is_accepting: bool = False  # connections from the shared socket
    remove_on_exit: bool = False


@dataclass
class Supervisor:
    """State machine of all slots. Each event handler returns the actions to carry out, in order."""

    worker_count: int
    settings: SupervisorSettings = field(default_factory=SupervisorSettings)

    def __post_init__(self) -> None:
        self.slots: dict[int, Slot] = {n: Slot(n) for n in range(self.worker_count)}
        self.version = 1
        self.is_stopping = self.is_finished = False
        self.replacing_slot: int | None = None  # number of the slot whose worker is being replaced

    # ---- events ----

    def tick(self, now: float) -> list[Action]:
        """Handle all deadlines that have passed. Must be called at `get_next_deadline` at the latest."""
        actions: list[Action] = []
        for slot in list(self.slots.values()):
            self._check_slot(now, slot, actions)
        self._replace_next_worker(now, actions)
        self._finish_stop(actions)
        return actions

    def handle_serving(self, now: float, number: int) -> list[Action]:
        """Handle the report of a worker that it serves."""
        slot = self.slots.get(number)
        if slot is not None and slot.state is State.STARTING:
            slot.state = State.SERVING
            slot.serving_since = now
            slot.heartbeat_at = now
            slot.first_overdue_at, slot.is_stuck = None, False
            if self.replacing_slot == number:
                self.replacing_slot = None
        if slot is not None and slot.state is not State.IDLE:
            slot.is_accepting = True  # even if it was drained before it served
        return self.tick(now)

    def handle_heartbeat(self, now: float, number: int, overdue_s: float) -> list[Action]:
        """Handle a heartbeat, which says for how many seconds the most overdue request should have ended."""
        slot = self.slots.get(number)
        actions: list[Action] = []
        if slot is not None and slot.state is State.SERVING:
            slot.heartbeat_at, slot.first_overdue_at = now, None
            # A kill takes two heartbeats in a row with a stuck request. A worker that was suspended for some
            # seconds may send its first heartbeat before it has ended the requests that are overdue.
            was_stuck, slot.is_stuck = slot.is_stuck, overdue_s > self.settings.max_request_overdue_s
            if was_stuck and slot.is_stuck:
                self._kill_worker(slot, f"a request is overdue by {overdue_s:.1f} s", actions)
        return actions + self.tick(now)

    def handle_values_under_way(self, now: float, number: int) -> list[Action]:
        """Handle the report of a draining worker that only long values keep it from its end.

        The worker counts only values that move. So it is not killed as long as it reports, however long
        these take.
        """
        slot = self.slots.get(number)
        if slot is not None and slot.state is State.DRAINING:
            slot.deadline = max(slot.deadline, now + self.settings.value_report_timeout_s)
            slot.first_overdue_at = None
        return self.tick(now)

    def handle_closed(self, now: float, number: int) -> list[Action]:
        """Handle the report of a worker that it no longer accepts connections."""
        actions: list[Action] = []
        if slot := self.slots.get(number):
            self._stop_accepting(slot, actions)
        return actions + self.tick(now)

    def handle_exit(self, now: float, number: int, exit_reason: str) -> list[Action]:
        """Handle the exit of a worker process, or the failure to start it."""
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
            actions.append(
                LogMessage(f"worker {number} does not start as version {self.version}: not replaced further")
            )
            actions += self.abort_replacement(now)
        return actions + self.tick(now)

    def replace_workers(self, now: float) -> list[Action]:
        """Replace all workers by a new version, one by one."""
        if self.is_stopping:
            return []
        self.version += 1
        return [LogMessage(f"replacing workers, version {self.version}"), *self.tick(now)]

    def abort_replacement(self, now: float) -> list[Action]:
        """Abort a replacement: mark the serving workers as current, so that none of them is drained.

        The worker that failed to start is retried with an increasing backoff.
        """
        self.replacing_slot = None
        for slot in self.slots.values():
            if slot.state is State.SERVING:
                slot.version = self.version
        return self.tick(now)

    def resize(self, now: float, worker_count: int) -> list[Action]:
        """Change the number of workers. Workers in slots beyond it are drained."""
        actions: list[Action] = [LogMessage(f"{worker_count} workers configured")]
        if not self.is_stopping:
            self.worker_count = worker_count
            for number in range(worker_count):
                self.slots.setdefault(number, Slot(number, deadline=now)).remove_on_exit = False
            for slot in [s for s in self.slots.values() if s.number >= worker_count]:
                slot.remove_on_exit = True
                self._remove_slot(now, slot, actions)
        return actions + self.tick(now)

    def stop(self, now: float) -> list[Action]:
        """Drain all workers at the same time, then finish."""
        actions: list[Action] = []
        self.is_stopping = True
        for slot in list(self.slots.values()):
            self._remove_slot(now, slot, actions)
        return actions + self.tick(now)

    # ---- queries ----

    def get_next_deadline(self) -> float:
        """Return the latest time of the next `tick`, or infinity if only an event can change the state."""
        times = [float("inf")]
        for slot in self.slots.values():
            if slot.state is State.IDLE:
                times.append(slot.deadline)
            elif slot.state is not State.ENDING:
                times.append(self._get_next_check_time(slot))
        return min(times)

    def compute_backoff(self, failures: int) -> float:
        """Return the backoff in seconds after this number of consecutive failures; 0 without a failure."""
        if failures <= 0:
            return 0.0
        return min(
            self.settings.max_backoff_s, self.settings.initial_backoff_s * 2.0 ** min(failures - 1, 30)
        )

    # ---- internals ----

    def _check_slot(self, now: float, slot: Slot, actions: list[Action]) -> None:
        if slot.state is State.IDLE and now >= slot.deadline and not self.is_stopping:
            slot.state, slot.version = State.STARTING, self.version
            slot.deadline, slot.first_overdue_at = now + self.settings.start_timeout_s, None
            actions.append(StartWorker(slot.number, slot.version))
        elif slot.state is State.STARTING and self._is_overdue(now, slot):
            self._kill_worker(slot, f"it did not serve within {self.settings.start_timeout_s:g} s", actions)
        elif slot.state is State.DRAINING and self._is_overdue(now, slot):
            self._kill_worker(slot, "it did not end in time after SIGTERM", actions)
        elif slot.state is State.SERVING and self._is_overdue(now, slot):
            self._kill_worker(slot, f"no beat for {now - slot.heartbeat_at:.1f} s", actions)

    def _get_deadline(self, slot: Slot) -> float:
        """Return the time at which a running worker is overdue."""
        return (
            slot.heartbeat_at + self.settings.heartbeat_timeout_s
            if slot.state is State.SERVING
            else slot.deadline
        )

    def _get_next_check_time(self, slot: Slot) -> float:
        """Return the next check: `confirmation_delay_s` before the deadline, then at the deadline.

        After a late first check, the second one is `confirmation_delay_s` later.
        """
        deadline, confirmation_s = self._get_deadline(slot), self.settings.confirmation_delay_s
        return (
            deadline - confirmation_s
            if slot.first_overdue_at is None
            else max(deadline, slot.first_overdue_at + confirmation_s)
        )

    def _is_overdue(self, now: float, slot: Slot) -> bool:
        if now < self._get_next_check_time(slot):
            return False
        if slot.first_overdue_at is None:
            slot.first_overdue_at = now
        return now >= self._get_next_check_time(slot)

    def _kill_worker(self, slot: Slot, reason: str, actions: list[Action]) -> None:
        slot.state = State.ENDING
        actions += [LogMessage(f"worker {slot.number} is killed: {reason}"), KillWorker(slot.number, reason)]

    def _stop_accepting(self, slot: Slot, actions: list[Action]) -> None:
        if slot.is_accepting:
            slot.is_accepting = False
            if not any(s.is_accepting for s in self.slots.values()):
                actions.append(RefuseConnections())

    def _remove_slot(self, now: float, slot: Slot, actions: list[Action]) -> None:
        """Remove an idle slot at once, or drain its worker first."""
        if slot.state is State.IDLE:
            del self.slots[slot.number]
            self.replacing_slot = None if self.replacing_slot == slot.number else self.replacing_slot
        elif slot.state in (State.STARTING, State.SERVING):
            self._drain_worker(now, slot, actions)

    def _drain_worker(self, now: float, slot: Slot, actions: list[Action]) -> None:
        slot.state = State.DRAINING
        slot.deadline = now + self.settings.drain_timeout_s
        slot.first_overdue_at = None
        actions.append(DrainWorker(slot.number))

    def _replace_next_worker(self, now: float, actions: list[Action]) -> None:
        """Drain the next worker of an old version, if all workers serve."""
        if self.is_stopping or self.replacing_slot is not None:
            return
        remaining_slots = [s for s in self.slots.values() if not s.remove_on_exit]
        if any(s.state is not State.SERVING for s in remaining_slots):
            return
        outdated = next((s for s in remaining_slots if s.version != self.version), None)
        if outdated is not None:
            self.replacing_slot = outdated.number
            self._drain_worker(now, outdated, actions)

    def _finish_stop(self, actions: list[Action]) -> None:
        if self.is_stopping and not self.slots and not self.is_finished:
            self.is_finished = True
            actions.append(ReportFinished())
