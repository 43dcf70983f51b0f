"""The time of a long answer: held for a bounded time, passed on while its backend gives, ended by silence."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpulley.core.long_answer import (
    FIRST_BYTE_MARGIN_MS,
    HOLD_CHECK_INTERVAL_MS,
    MAX_HOLD_MS,
    STALL_TIMEOUT_MS,
    LongAnswer,
    State,
)

START = 1_000_000.0
PAUSES = st.lists(st.floats(0.1, STALL_TIMEOUT_MS - 1), max_size=40)


@given(PAUSES, st.floats(-10_000, 10_000))
def test_a_backend_has_stopped_by_its_silence_and_not_by_the_time_of_the_request(
    pauses: list[float], expires_in: float
) -> None:
    """Guards against a value that is cut off in a pause, as its request's time is over."""
    answer, now = LongAnswer(START), START
    answer.hold(START, START + 500, START + expires_in)
    for pause in pauses:
        now += pause
        assert now < answer.get_stall_deadline()
        answer.record_bytes(now)
    assert answer.get_stall_deadline() == now + STALL_TIMEOUT_MS
    answer.pause()
    assert answer.get_stall_deadline() == math.inf
    answer.resume(now + 60_000)
    assert answer.get_stall_deadline() == now + 60_000 + STALL_TIMEOUT_MS


def play_hold(answer: LongAnswer, pauses: list[float]) -> float:
    """Let bytes come with these pauses, and return when the answer is passed on."""
    arrivals, now = [], START
    for pause in pauses:
        now += pause
        arrivals.append(now)
    check_at = answer.hold_deadline
    while True:
        while arrivals and arrivals[0] <= check_at:
            answer.record_bytes(arrivals.pop(0))
        if answer.check_hold(check_at) is State.PASSED_ON or not arrivals:
            return check_at
        check_at += HOLD_CHECK_INTERVAL_MS


@given(st.floats(1, 400), st.floats(0.9, 1.1), st.floats(1_000, 20_000), st.floats(0, 20_000))
def test_an_answer_that_comes_is_held_for_less_than_two_seconds_and_until_its_first_byte_is_in_time(
    pace: float, jitter: float, expires_in: float, target_in: float
) -> None:
    """Guards against a value that is held back until it is whole, or until its request's time is over."""
    answer = LongAnswer(START)
    answer.hold(START, START + target_in, START + expires_in)
    pauses = [pace if number % 2 else pace * jitter for number in range(int(30_000 / pace))]
    passed_on_at = play_hold(answer, pauses)
    assert answer.state is State.PASSED_ON
    assert passed_on_at < START + min(2_000, expires_in)
    if target_in > FIRST_BYTE_MARGIN_MS + 2 * pace + HOLD_CHECK_INTERVAL_MS:
        assert passed_on_at <= START + target_in


@given(st.lists(st.floats(1, 200), max_size=10), st.floats(600, 4_900))
def test_an_answer_that_stops_is_not_passed_on_before_its_next_byte(
    pauses: list[float], silence: float
) -> None:
    """Guards against the loss of the answers behind a value, as it is passed on after its backend stopped."""
    answer = LongAnswer(START)
    answer.hold(START, START + 10_000, START + 20_000)
    stopped_at = START
    for pause in pauses:
        stopped_at += pause
        answer.record_bytes(stopped_at)
    check_at = max(answer.hold_deadline, stopped_at + silence)
    assert answer.check_hold(check_at) is State.OVERDUE
    answer.record_bytes(check_at + 1)
    assert answer.check_hold(check_at + 1) is State.PASSED_ON


@pytest.mark.parametrize("memory_is_waited_for", [False, True])
def test_silence_of_a_backend_that_is_not_read_says_nothing(memory_is_waited_for: bool) -> None:
    answer = LongAnswer(START)
    answer.hold(START, START + 10_000, START + 20_000)
    if memory_is_waited_for:
        answer.pause()
    assert answer.check_hold(START + MAX_HOLD_MS - 1) is State.HELD
    expected = State.PASSED_ON if memory_is_waited_for else State.OVERDUE
    assert answer.check_hold(START + MAX_HOLD_MS) is expected


def test_an_answer_that_nothing_stands_behind_is_passed_on_from_its_first_byte() -> None:
    answer = LongAnswer(START)
    answer.pass_on()
    assert answer.check_hold(START) is State.PASSED_ON and answer.hold_deadline == math.inf
