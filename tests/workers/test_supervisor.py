"""The supervisor's decisions, in virtual time."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from roadpulley.workers.supervisor import (
    Action,
    DrainWorker,
    KillWorker,
    LogMessage,
    RefuseConnections,
    ReportFinished,
    StartWorker,
    State,
    Supervisor,
    SupervisorSettings,
)

SETTINGS = SupervisorSettings()


def select_actions(actions: list[Action], kind: type) -> list[Action]:
    return [a for a in actions if isinstance(a, kind)]


def create_serving_supervisor(worker_count: int, now: float = 0.0) -> Supervisor:
    """Return a supervisor whose workers all serve."""
    supervisor = Supervisor(worker_count)
    assert [a.slot for a in supervisor.tick(now) if isinstance(a, StartWorker)] == list(range(worker_count))
    for number in range(worker_count):
        supervisor.handle_serving(now, number)
    return supervisor


def send_heartbeats(supervisor: Supervisor, now: float) -> None:
    for slot in list(supervisor.slots.values()):
        supervisor.handle_heartbeat(now, slot.number, 0.0)


def pass_time(supervisor: Supervisor, until: float) -> list[Action]:
    """Call `tick` at each deadline up to and including a time, as the service does."""
    actions: list[Action] = []
    while (deadline := supervisor.get_next_deadline()) <= until:
        actions += supervisor.tick(deadline)
    return actions + supervisor.tick(until)


def test_worker_that_exits_is_restarted_with_increasing_backoff() -> None:
    supervisor, now, backoffs = create_serving_supervisor(1), 100.0, []
    supervisor.handle_heartbeat(now, 0, 0.0)
    for _ in range(12):
        supervisor.handle_exit(now, 0, "code 1")
        deadline = supervisor.get_next_deadline()
        backoffs.append(round(deadline - now, 3))
        assert not select_actions(supervisor.tick(deadline - 0.01), StartWorker) and select_actions(
            supervisor.tick(deadline), StartWorker
        )
        now = deadline
    assert backoffs[:5] == [0.1, 0.2, 0.4, 0.8, 1.6] and backoffs[-1] == SETTINGS.max_backoff_s


def test_backoff_is_reset_after_a_worker_was_stable() -> None:
    supervisor = create_serving_supervisor(1)
    for _ in range(5):
        supervisor.handle_exit(1.0, 0, "code 1")
        supervisor.tick(supervisor.get_next_deadline())
    supervisor.handle_serving(50.0, 0)
    for at in range(51, 62):
        supervisor.handle_heartbeat(float(at), 0, 0.0)
    supervisor.handle_exit(62.0, 0, "code 1")
    assert supervisor.get_next_deadline() == pytest.approx(62.1)


def test_worker_without_heartbeats_or_with_a_stuck_request_is_killed() -> None:
    supervisor = create_serving_supervisor(2)
    assert not select_actions(pass_time(supervisor, 2.9), KillWorker)
    supervisor.handle_heartbeat(2.9, 1, 0.0)
    assert not select_actions(pass_time(supervisor, 2.99), KillWorker)
    (kill,) = select_actions(pass_time(supervisor, 3.0), KillWorker)
    assert isinstance(kill, KillWorker) and kill.slot == 0 and "no beat" in kill.reason
    assert not select_actions(
        supervisor.handle_heartbeat(3.1, 1, SETTINGS.max_request_overdue_s + 0.1), KillWorker
    )
    (kill,) = select_actions(
        supervisor.handle_heartbeat(
            3.1 + SETTINGS.heartbeat_interval_s,
            1,
            SETTINGS.max_request_overdue_s + 0.1 + SETTINGS.heartbeat_interval_s,
        ),
        KillWorker,
    )
    assert isinstance(kill, KillWorker) and kill.slot == 1 and "a request is overdue" in kill.reason
    assert not select_actions(pass_time(supervisor, 20.0), KillWorker)  # only one kill


def test_worker_that_does_not_start_or_drain_in_time_is_killed() -> None:
    supervisor = Supervisor(1)
    supervisor.tick(0.0)
    assert not select_actions(pass_time(supervisor, SETTINGS.start_timeout_s - 0.01), KillWorker)
    assert select_actions(pass_time(supervisor, SETTINGS.start_timeout_s), KillWorker)
    supervisor = create_serving_supervisor(1)
    assert select_actions(supervisor.stop(1.0), DrainWorker)
    assert not select_actions(pass_time(supervisor, 1.0 + SETTINGS.drain_timeout_s - 0.01), KillWorker)
    assert select_actions(pass_time(supervisor, 1.0 + SETTINGS.drain_timeout_s), KillWorker)
    assert select_actions(supervisor.handle_exit(6.0, 0, "killed"), ReportFinished)


@pytest.mark.parametrize("stopped_s", [SETTINGS.heartbeat_timeout_s, 2 * SETTINGS.heartbeat_timeout_s, 60.0])
def test_suspended_supervisor_reads_heartbeats_before_it_kills(stopped_s: float) -> None:
    """Guards against killing all workers, and losing their open requests, after a suspension.

    After a suspension of 3 s every heartbeat is overdue. The timer and the first heartbeat are handled before
    the other heartbeats, which have arrived but are still unread.
    """
    supervisor = create_serving_supervisor(3)
    now = stopped_s
    actions = supervisor.tick(now)  # its timer
    for number in range(3):
        actions += supervisor.handle_heartbeat(now + 0.001 * number, number, 0.0)
    assert not select_actions(actions, KillWorker) and not select_actions(
        pass_time(supervisor, now + SETTINGS.heartbeat_timeout_s - 0.01), KillWorker
    )
    assert (
        len(select_actions(pass_time(supervisor, now + SETTINGS.heartbeat_timeout_s + 0.01), KillWorker)) == 3
    )  # now the workers do hang


def test_suspended_worker_may_end_overdue_requests_before_it_is_killed() -> None:
    """Its first heartbeat may be sent before its timers have ended the overdue requests."""
    supervisor = create_serving_supervisor(1)
    assert not select_actions(
        supervisor.handle_heartbeat(6.0, 0, SETTINGS.max_request_overdue_s + 1.0), KillWorker
    )
    assert not select_actions(supervisor.handle_heartbeat(6.25, 0, 0.1), KillWorker)
    assert not select_actions(
        supervisor.handle_heartbeat(6.5, 0, SETTINGS.max_request_overdue_s + 1.0), KillWorker
    )  # not two in a row


@pytest.mark.parametrize("state", [State.STARTING, State.DRAINING])
def test_unread_start_or_exit_is_not_overdue(state: State) -> None:
    supervisor = Supervisor(1)
    supervisor.tick(0.0)
    if state is State.DRAINING:
        supervisor.handle_serving(0.0, 0)
        supervisor.stop(0.0)
    actions = supervisor.tick(60.0)
    actions += (
        supervisor.handle_serving(60.001, 0)
        if state is State.STARTING
        else supervisor.handle_exit(60.001, 0, "code 0")
    )
    assert not select_actions(actions, KillWorker)


def test_replacement_waits_for_each_worker_before_the_next() -> None:
    supervisor, order = create_serving_supervisor(3), []
    actions = supervisor.replace_workers(1.0)
    for now in range(2, 8, 2):
        (drain,) = select_actions(actions, DrainWorker)
        assert isinstance(drain, DrainWorker)
        order.append(drain.slot)
        send_heartbeats(supervisor, float(now))
        assert not select_actions(supervisor.tick(float(now)), DrainWorker)
        (start,) = select_actions(supervisor.handle_exit(float(now), drain.slot, "code 0"), StartWorker)
        assert start == StartWorker(drain.slot, 2)
        send_heartbeats(supervisor, now + 1.0)
        actions = supervisor.handle_serving(now + 1.0, drain.slot)
    assert order == [0, 1, 2] and not select_actions(actions, DrainWorker)
    assert {slot.version for slot in supervisor.slots.values()} == {2}


def test_version_that_does_not_start_takes_down_only_one_worker() -> None:
    supervisor, now = create_serving_supervisor(3), 1.0
    (drain,) = select_actions(supervisor.replace_workers(now), DrainWorker)
    assert isinstance(drain, DrainWorker)
    actions, logged = supervisor.handle_exit(now, drain.slot, "code 0"), list[str]()
    for _ in range(SETTINGS.max_failed_starts + 3):
        while supervisor.slots[drain.slot].state is State.IDLE:  # during its backoff the others continue
            send_heartbeats(supervisor, now)
            now = min(supervisor.slots[drain.slot].deadline, now + 1.0)
            actions += supervisor.tick(now)
        assert select_actions(actions, StartWorker) and not select_actions(actions, DrainWorker)
        actions = supervisor.handle_exit(now, drain.slot, "code 1")
        logged += [a.text for a in actions if isinstance(a, LogMessage)]
    assert sum("not replaced further" in text for text in logged) == 1
    assert sum(slot.state is State.SERVING for slot in supervisor.slots.values()) == 2


def test_replacement_continues_when_the_worker_in_its_turn_is_removed() -> None:
    supervisor = create_serving_supervisor(2)
    (drain,) = select_actions(supervisor.replace_workers(1.0), DrainWorker)
    assert drain == DrainWorker(0)
    supervisor.resize(1.0, 1)
    supervisor.handle_exit(1.5, 1, "code 0")
    supervisor.handle_exit(1.5, 0, "code 0")
    assert supervisor.handle_serving(2.0, 0) == [] and supervisor.replacing_slot is None
    supervisor = create_serving_supervisor(2)
    supervisor.replace_workers(1.0)
    supervisor.handle_exit(1.5, 0, "code 0")
    supervisor.handle_serving(1.6, 0)
    assert supervisor.replacing_slot == 1
    supervisor.resize(1.7, 1)
    supervisor.handle_exit(1.8, 1, "code 0")
    assert supervisor.replacing_slot is None


def test_resize_drains_surplus_workers_and_starts_missing_ones() -> None:
    supervisor = create_serving_supervisor(2)
    actions = supervisor.resize(1.0, 4)
    assert [a.slot for a in actions if isinstance(a, StartWorker)] == [2, 3]
    for number in (2, 3):
        supervisor.handle_serving(1.0, number)
    actions = supervisor.resize(2.0, 1)
    assert [a.slot for a in actions if isinstance(a, DrainWorker)] == [1, 2, 3]
    for number in (1, 2, 3):
        assert not select_actions(supervisor.handle_exit(3.0, number, "code 0"), StartWorker)
    assert list(supervisor.slots) == [0]


def test_worker_added_again_while_it_drains_is_started_after_its_exit() -> None:
    supervisor = create_serving_supervisor(2)
    supervisor.resize(1.0, 1)
    supervisor.resize(1.5, 2)
    assert select_actions(supervisor.handle_exit(2.0, 1, "code 0"), StartWorker) == [StartWorker(1, 1)]


def test_connections_are_refused_after_the_last_accepting_worker_closed_or_exited() -> None:
    supervisor = create_serving_supervisor(2)
    supervisor.replace_workers(1.0)
    assert not select_actions(
        supervisor.handle_closed(1.5, 0), RefuseConnections
    )  # the other worker still accepts
    assert select_actions(supervisor.handle_exit(2.0, 1, "code -9"), RefuseConnections)
    assert not select_actions(supervisor.handle_exit(2.5, 0, "code 0"), RefuseConnections)  # only one kill
    supervisor.handle_serving(3.0, 0)
    assert select_actions(supervisor.handle_exit(4.0, 0, "code -9"), RefuseConnections)


def test_no_worker_starts_after_stop() -> None:
    supervisor = create_serving_supervisor(2)
    supervisor.handle_exit(1.0, 0, "code 1")
    actions = supervisor.stop(1.0)
    assert select_actions(actions, DrainWorker) == [DrainWorker(1)]
    assert not supervisor.replace_workers(1.5)
    actions = supervisor.handle_exit(2.0, 1, "code 0")
    assert select_actions(actions, ReportFinished) and not select_actions(actions, StartWorker)


class WorkerLifecycle(RuleBasedStateMachine):
    """For any order of events, a slot has at most one process, and only running processes are signalled."""

    def __init__(self) -> None:
        super().__init__()
        self.supervisor, self.now = Supervisor(3), 0.0
        self.running: set[int] = set()
        self.accepting: set[int] = set()
        self.signalled: set[int] = set()
        self.apply_actions(self.supervisor.tick(0.0))

    def apply_actions(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, StartWorker):
                assert action.slot not in self.running, "two processes in one slot"
                assert not self.supervisor.is_stopping
                self.running.add(action.slot)
            elif isinstance(action, DrainWorker | KillWorker):
                assert action.slot in self.running, "no process runs"
                self.signalled.add(action.slot)
            elif isinstance(action, RefuseConnections):
                assert not self.accepting, "a worker accepts"
            elif isinstance(action, ReportFinished):
                assert not self.running

    @rule(seconds=st.floats(0, 20))
    def let_time_pass(self, seconds: float) -> None:
        self.now += seconds
        self.apply_actions(self.supervisor.tick(self.now))

    @rule(number=st.integers(0, 5))
    def report_serving(self, number: int) -> None:
        if number in self.running:
            self.accepting.add(number)
            self.apply_actions(self.supervisor.handle_serving(self.now, number))

    @rule(number=st.integers(0, 5))
    def report_closed(self, number: int) -> None:
        if number in self.accepting:
            self.accepting.discard(number)
            self.apply_after_accept_stopped(self.supervisor.handle_closed(self.now, number))

    def apply_after_accept_stopped(self, actions: list[Action]) -> None:
        """Check that connections are refused exactly when the last accepting worker has stopped accepting."""
        assert bool(select_actions(actions, RefuseConnections)) == (not self.accepting), (
            "refused while a worker accepts, or not refused"
        )
        self.apply_actions(actions)

    @rule(number=st.integers(0, 5), overdue_s=st.floats(0, 8))
    def send_heartbeats(self, number: int, overdue_s: float) -> None:
        if number in self.running:
            self.apply_actions(self.supervisor.handle_heartbeat(self.now, number, overdue_s))

    @rule(number=st.integers(0, 5))
    def report_exit(self, number: int) -> None:
        if number in self.running:
            self.running.discard(number)
            self.signalled.discard(number)
            actions = self.supervisor.handle_exit(self.now, number, "code 1")
            if number in self.accepting:
                self.accepting.discard(number)
                return self.apply_after_accept_stopped(actions)
            self.apply_actions(actions)

    @rule()
    def replace_workers_one_by_one(self) -> None:
        actions = self.supervisor.replace_workers(self.now)
        self.apply_actions(actions)
        for drain in select_actions(actions, DrainWorker):
            assert isinstance(drain, DrainWorker)
            others = [
                x for x in self.supervisor.slots.values() if x.number != drain.slot and not x.remove_on_exit
            ]
            assert all(x.state is State.SERVING for x in others), "more than one is missing"

    @rule(worker_count=st.integers(1, 6))
    def change_worker_count(self, worker_count: int) -> None:
        self.apply_actions(self.supervisor.resize(self.now, worker_count))

    @precondition(lambda self: not self.supervisor.is_stopping)
    @rule(chance=st.integers(0, 9))
    def stop_workers(self, chance: int) -> None:
        if not chance:
            self.apply_actions(self.supervisor.stop(self.now))

    @invariant()
    def slots_match_processes(self) -> None:
        busy = {n for n, slot in self.supervisor.slots.items() if slot.state is not State.IDLE}
        assert busy == self.running
        assert (
            self.supervisor.replacing_slot is None or self.supervisor.replacing_slot in self.supervisor.slots
        )


TestWorkerLifecycle = WorkerLifecycle.TestCase
TestWorkerLifecycle.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
