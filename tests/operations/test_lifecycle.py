"""The lifecycle of a process: each event in each state, and properties over drawn sequences of events."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpulley.operations.lifecycle import PAUSE_NOTICE_MS, DrainTimes, Event, Lifecycle, State

TIMES = DrainTimes(close_ms=1_000.0, fail_ms=3_000.0)
EVENTS_TO_STATE: dict[State, tuple[Event, ...]] = {
    State.STARTING: (),
    State.SERVING: (Event.STARTUP_COMPLETED,),
    State.PAUSED: (Event.STARTUP_COMPLETED, Event.PAUSE_REQUESTED),
    State.STOPPING: (Event.STARTUP_COMPLETED, Event.STOP_REQUESTED),
    State.LEAVING: (Event.STARTUP_COMPLETED, Event.PAUSE_REQUESTED, Event.STOP_REQUESTED),
    State.FINISHING: (Event.STARTUP_COMPLETED, Event.PAUSE_REQUESTED, Event.STOP_REQUESTED),
    State.ENDED: (Event.STOP_REQUESTED,),
}
TRANSITIONS = {
    (State.STARTING, Event.STARTUP_COMPLETED): State.SERVING,
    (State.STARTING, Event.STOP_REQUESTED): State.ENDED,
    (State.SERVING, Event.PAUSE_REQUESTED): State.PAUSED,
    (State.SERVING, Event.STOP_REQUESTED): State.STOPPING,
    (State.PAUSED, Event.RESUME_REQUESTED): State.SERVING,
    (State.PAUSED, Event.STOP_REQUESTED): State.LEAVING,
    (State.STOPPING, Event.SUCCESSOR_STARTED): State.LEAVING,
    (State.LEAVING, Event.CLIENTS_DISCONNECTED): State.ENDED,
    (State.FINISHING, Event.CLIENTS_DISCONNECTED): State.ENDED,
    (State.FINISHING, Event.VALUES_ENDED): State.ENDED,
}


def lifecycle_in(state: State) -> Lifecycle:
    lifecycle = Lifecycle(TIMES)
    for event in EVENTS_TO_STATE[state]:
        lifecycle.handle_event(0.0, event)
    if state is State.FINISHING:
        lifecycle.handle_event(TIMES.fail_ms, Event.TIMER_FIRED)
    assert lifecycle.state is state
    return lifecycle


@pytest.mark.parametrize("event", Event)
@pytest.mark.parametrize("state", State)
def test_event_in_each_state_leads_to_the_next_state_of_the_table(state: State, event: Event) -> None:
    lifecycle = lifecycle_in(state)
    lifecycle.handle_event(1.0, event)  # TIMER_FIRED is before the deadline here and changes nothing
    assert lifecycle.state is TRANSITIONS.get((state, event), state)


def test_stop_without_a_successor_serves_until_the_deadline_and_then_leaves() -> None:
    lifecycle = lifecycle_in(State.STOPPING)
    assert lifecycle.handle_event(999.0, Event.TIMER_FIRED).keeps_idle
    policy = lifecycle.handle_event(1_000.0, Event.TIMER_FIRED)
    assert policy.answers_ping and not policy.accepts and not policy.keeps_idle
    assert lifecycle.handle_event(2_999.0, Event.TIMER_FIRED).takes_requests
    policy = lifecycle.handle_event(3_000.0, Event.TIMER_FIRED)
    assert not policy.takes_requests and not policy.accepts and not policy.keeps_idle and not policy.is_ended
    assert lifecycle.handle_event(3_000.0, Event.VALUES_ENDED).is_ended


def test_stop_with_a_successor_accepts_no_more_connections() -> None:
    # The event of the successor may also come after the stop.
    for events in (
        (Event.SUCCESSOR_STARTED, Event.STOP_REQUESTED),
        (Event.STOP_REQUESTED, Event.SUCCESSOR_STARTED),
    ):
        lifecycle = lifecycle_in(State.SERVING)
        for event in events:
            policy = lifecycle.handle_event(0.0, event)
        assert lifecycle.state is State.LEAVING and policy.answers_ping and not policy.accepts


def test_stop_after_the_successor_was_lost_is_as_without_one() -> None:
    lifecycle = lifecycle_in(State.SERVING)
    for event in (Event.SUCCESSOR_STARTED, Event.SUCCESSOR_LOST, Event.STOP_REQUESTED):
        lifecycle.handle_event(0.0, event)
    assert lifecycle.state is State.STOPPING


def test_paused_process_accepts_connections_and_takes_requests_until_the_notice_time() -> None:
    lifecycle = lifecycle_in(State.SERVING)
    policy = lifecycle.handle_event(100.0, Event.PAUSE_REQUESTED)
    assert policy.accepts and policy.takes_requests and not policy.answers_ping and not policy.keeps_idle
    assert lifecycle.next_deadline() == 100.0 + PAUSE_NOTICE_MS
    assert not lifecycle.handle_event(100.0 + PAUSE_NOTICE_MS, Event.TIMER_FIRED).takes_requests
    assert lifecycle.handle_event(100.0 + PAUSE_NOTICE_MS, Event.PAUSE_REQUESTED).answers_ping is False
    assert not lifecycle.policy_at(101.0 + PAUSE_NOTICE_MS).takes_requests
    resumed = lifecycle.handle_event(5_000.0, Event.RESUME_REQUESTED)
    assert resumed.answers_ping and resumed.takes_requests and resumed.keeps_idle


def test_resume_during_a_drain_serves_at_once() -> None:
    lifecycle = lifecycle_in(State.SERVING)
    lifecycle.handle_event(0.0, Event.PAUSE_REQUESTED)
    assert lifecycle.handle_event(50.0, Event.RESUME_REQUESTED) == lifecycle_in(State.SERVING).policy_at(50.0)


def test_pause_while_starting_takes_effect_after_startup() -> None:
    lifecycle = Lifecycle(TIMES)
    lifecycle.handle_event(0.0, Event.PAUSE_REQUESTED)
    assert (
        not lifecycle.handle_event(1.0, Event.STARTUP_COMPLETED).answers_ping
        and lifecycle.state is State.PAUSED
    )


def test_process_that_leaves_after_a_pause_does_not_answer_ping() -> None:
    assert not lifecycle_in(State.LEAVING).policy_at(0.0).answers_ping


@given(st.lists(st.tuples(st.sampled_from(Event), st.floats(0, 2_000)), max_size=30))
def test_stop_ends_in_time_and_never_accepts_again_after_any_events(
    events: list[tuple[Event, float]],
) -> None:
    lifecycle, now, closed = Lifecycle(TIMES), 0.0, False
    for event, passed in events:
        now += passed
        policy = lifecycle.handle_event(now, event)
        closed = closed or lifecycle.state in (State.LEAVING, State.FINISHING, State.ENDED)
        assert not (closed and policy.accepts)
        assert not (policy.answers_ping and lifecycle.is_paused)
    now = max(now, 0.0)
    lifecycle.handle_event(now, Event.STARTUP_COMPLETED)
    lifecycle.handle_event(now, Event.STOP_REQUESTED)
    for _ in range(3):
        if lifecycle.next_deadline() < float("inf"):
            now = max(now, lifecycle.next_deadline())
            lifecycle.handle_event(now, Event.TIMER_FIRED)
    lifecycle.handle_event(now, Event.VALUES_ENDED)  # only a long value may keep the process any longer
    assert lifecycle.state is State.ENDED and now - lifecycle.stopped_at <= TIMES.fail_ms + 2_000 * len(
        events
    )
