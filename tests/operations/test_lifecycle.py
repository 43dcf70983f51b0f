"""The table of a process's life, state by event, and what follows from it over drawn orders."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpulley.operations.lifecycle import PAUSE_NOTICE_MS, DrainTimes, Event, Lifecycle, State

TIMES = DrainTimes(close_ms=1_000.0, fail_ms=3_000.0)
PATHS: dict[State, tuple[Event, ...]] = {
    State.STARTING: (),
    State.SERVING: (Event.STARTUP_COMPLETED,),
    State.PAUSED: (Event.STARTUP_COMPLETED, Event.PAUSE_REQUESTED),
    State.STOPPING: (Event.STARTUP_COMPLETED, Event.STOP_REQUESTED),
    State.LEAVING: (Event.STARTUP_COMPLETED, Event.PAUSE_REQUESTED, Event.STOP_REQUESTED),
    State.ENDED: (Event.STOP_REQUESTED,),
}
CHANGES = {
    (State.STARTING, Event.STARTUP_COMPLETED): State.SERVING,
    (State.STARTING, Event.STOP_REQUESTED): State.ENDED,
    (State.SERVING, Event.PAUSE_REQUESTED): State.PAUSED,
    (State.SERVING, Event.STOP_REQUESTED): State.STOPPING,
    (State.PAUSED, Event.RESUME_REQUESTED): State.SERVING,
    (State.PAUSED, Event.STOP_REQUESTED): State.LEAVING,
    (State.STOPPING, Event.SUCCESSOR_STARTED): State.LEAVING,
    (State.LEAVING, Event.CLIENTS_DISCONNECTED): State.ENDED,
}


def at(state: State) -> Lifecycle:
    machine = Lifecycle(TIMES)
    for event in PATHS[state]:
        machine.handle_event(0.0, event)
    assert machine.state is state
    return machine


@pytest.mark.parametrize("event", Event)
@pytest.mark.parametrize("state", State)
def test_every_event_in_every_state(state: State, event: Event) -> None:
    machine = at(state)
    machine.handle_event(1.0, event)  # TIME comes before its time here, and changes nothing
    assert machine.state is CHANGES.get((state, event), state)


def test_a_stop_alone_serves_on_until_its_time_and_then_leaves() -> None:
    machine = at(State.STOPPING)
    assert machine.handle_event(999.0, Event.TIMER_FIRED).keeps_idle
    left = machine.handle_event(1_000.0, Event.TIMER_FIRED)
    assert left.answers_ping and not left.accepts and not left.keeps_idle
    assert not machine.handle_event(2_999.0, Event.TIMER_FIRED).is_ended
    assert machine.handle_event(3_000.0, Event.TIMER_FIRED).is_ended


def test_beside_a_successor_a_stop_accepts_no_more_at_once() -> None:
    # The event of the successor may also come after the stop.
    for events in (
        (Event.SUCCESSOR_STARTED, Event.STOP_REQUESTED),
        (Event.STOP_REQUESTED, Event.SUCCESSOR_STARTED),
    ):
        machine = at(State.SERVING)
        for event in events:
            policy = machine.handle_event(0.0, event)
        assert machine.state is State.LEAVING and policy.answers_ping and not policy.accepts


def test_a_successor_that_has_gone_counts_for_nothing() -> None:
    machine = at(State.SERVING)
    for event in (Event.SUCCESSOR_STARTED, Event.SUCCESSOR_LOST, Event.STOP_REQUESTED):
        machine.handle_event(0.0, event)
    assert machine.state is State.STOPPING


def test_a_pause_goes_on_accepting_and_takes_requests_until_the_front_has_noticed() -> None:
    machine = at(State.SERVING)
    policy = machine.handle_event(100.0, Event.PAUSE_REQUESTED)
    assert policy.accepts and policy.takes_requests and not policy.answers_ping and not policy.keeps_idle
    assert machine.next_deadline() == 100.0 + PAUSE_NOTICE_MS
    assert not machine.handle_event(100.0 + PAUSE_NOTICE_MS, Event.TIMER_FIRED).takes_requests
    assert machine.handle_event(100.0 + PAUSE_NOTICE_MS, Event.PAUSE_REQUESTED).answers_ping is False
    assert not machine.policy_at(101.0 + PAUSE_NOTICE_MS).takes_requests
    back = machine.handle_event(5_000.0, Event.RESUME_REQUESTED)
    assert back.answers_ping and back.takes_requests and back.keeps_idle


def test_a_resume_in_the_middle_of_a_drain_says_yes_at_once() -> None:
    machine = at(State.SERVING)
    machine.handle_event(0.0, Event.PAUSE_REQUESTED)
    assert machine.handle_event(50.0, Event.RESUME_REQUESTED) == at(State.SERVING).policy_at(50.0)


def test_a_pause_while_starting_is_kept() -> None:
    machine = Lifecycle(TIMES)
    machine.handle_event(0.0, Event.PAUSE_REQUESTED)
    assert (
        not machine.handle_event(1.0, Event.STARTUP_COMPLETED).answers_ping and machine.state is State.PAUSED
    )


def test_one_that_leaves_after_a_pause_goes_on_saying_no() -> None:
    assert not at(State.LEAVING).policy_at(0.0).answers_ping


@given(st.lists(st.tuples(st.sampled_from(Event), st.floats(0, 2_000)), max_size=30))
def test_whatever_comes_a_stop_ends_in_time_and_never_takes_clients_again(
    events: list[tuple[Event, float]],
) -> None:
    machine, now, closed = Lifecycle(TIMES), 0.0, False
    for event, passed in events:
        now += passed
        policy = machine.handle_event(now, event)
        closed = closed or machine.state in (State.LEAVING, State.ENDED)
        assert not (closed and policy.accepts)
        assert not (policy.answers_ping and machine.is_paused)
    now = max(now, 0.0)
    machine.handle_event(now, Event.STARTUP_COMPLETED)
    machine.handle_event(now, Event.STOP_REQUESTED)
    for _ in range(3):
        if machine.next_deadline() < float("inf"):
            now = max(now, machine.next_deadline())
            machine.handle_event(now, Event.TIMER_FIRED)
    assert machine.state is State.ENDED and now - machine.stopped_at <= TIMES.fail_ms + 2_000 * len(events)
