"""The lifecycle with its timers, in virtual time: a process that is told to stop ends in time.

Guards against a process that never ends, as its deadline was moved by a reload and no timer followed.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any
from unittest import mock

import pytest
from helpers import SAFE, settings
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from mintford import interface as api
from roadpulley.core.clock import Timer
from roadpulley.operations import controller as module
from roadpulley.operations.controller import LifecycleController
from roadpulley.operations.drain_times import (
    FINAL_ANSWER_MARGIN_S,
    MAX_DEADLINE_S,
    MIN_DRAIN_S,
    compute_drain_times,
    to_drain_times,
)
from roadpulley.operations.lifecycle import DrainTimes, Event, Lifecycle, State

TICK_MS = 2.0


class VirtualTimers:
    """Timers that fire as virtual time passes, at most one tick late."""

    def __init__(self) -> None:
        self.now = 1_000_000.0
        self.queue: list[tuple[float, int, Timer]] = []
        self.count = 0

    def call_at(self, due_at: float, callback: Callable[[], None]) -> Timer:
        timer = Timer(due_at, callback)
        self.count += 1
        heapq.heappush(self.queue, (max(due_at, self.now), self.count, timer))
        return timer

    def pending(self) -> list[float]:
        return [timer.due_at for _, _, timer in self.queue if timer.callback is not None]

    def advance(self, milliseconds: float) -> None:
        end = self.now + milliseconds
        while self.queue and self.queue[0][0] + TICK_MS <= end:
            at, _, timer = heapq.heappop(self.queue)
            self.now = max(self.now, at + TICK_MS)
            callback, timer.callback = timer.callback, None
            if callback is not None:
                callback()
        self.now = end


def make_controller(timers: VirtualTimers, times: DrainTimes) -> LifecycleController:
    driver: Any = SimpleNamespace(requests={}, handle_event=lambda event: None)
    server: Any = SimpleNamespace(connections={}, listener=object(), set_admission=lambda *policy: None)
    return LifecycleController(Lifecycle(times), timers, driver, server)  # type: ignore[arg-type]


def times_of(classes: list[tuple[float, float]]) -> DrainTimes:
    """The times by classes with these aims and deadlines, in milliseconds."""
    kinds = [
        api.RequestClass(f"c{number}", latency_target=aim, deadline=deadline, effect=SAFE.effect)
        for number, (aim, deadline) in enumerate(classes)
    ]
    return to_drain_times(*compute_drain_times(settings(classes=tuple(kinds))))


def finish_values(controller: LifecycleController, are_moving: bool = False) -> None:
    """What the process does once its requests have ended: it ends, unless long values are under way."""
    if controller.requests_ended.is_set() and not are_moving:
        controller.dispatch_event(Event.VALUES_ENDED)


@pytest.fixture
def timers(monkeypatch: pytest.MonkeyPatch) -> VirtualTimers:
    virtual = VirtualTimers()
    monkeypatch.setattr(module, "now_ms", lambda: virtual.now)
    return virtual


BEFORE = [(1_500.0, 4_000.0), (900.0, 4_000.0)]  # the class with the highest aim is dropped later


def test_a_reload_that_moves_the_deadline_after_sigterm_does_not_keep_the_process(
    timers: VirtualTimers,
) -> None:
    controller = make_controller(timers, times_of(BEFORE))
    controller.dispatch_event(Event.STARTUP_COMPLETED)
    controller.dispatch_event(Event.STOP_REQUESTED)
    timers.advance(800)
    controller.change_drain_times(times_of(BEFORE[1:]))
    timers.advance(1_900 - 800 + 2 * TICK_MS)
    assert controller.lifecycle.state is State.LEAVING  # no later than without the reload
    timers.advance(1_500)
    finish_values(controller)
    assert controller.ended.is_set()


def test_a_reload_while_leaving_moves_the_end_earlier_and_never_later(timers: VirtualTimers) -> None:
    controller = make_controller(timers, times_of(BEFORE))
    controller.dispatch_event(Event.STARTUP_COMPLETED)
    controller.dispatch_event(Event.STOP_REQUESTED)
    timers.advance(2_000)
    assert controller.lifecycle.state is State.LEAVING
    controller.change_drain_times(times_of([(900.0, 2_000.0)]))
    timers.advance(400 + 2 * TICK_MS)
    finish_values(controller)
    assert controller.ended.is_set()

    other = make_controller(timers, times_of([(900.0, 2_000.0)]))
    other.dispatch_event(Event.STARTUP_COMPLETED)
    other.dispatch_event(Event.STOP_REQUESTED)
    other.change_drain_times(times_of(BEFORE))
    timers.advance(2_400 + 3 * TICK_MS)
    finish_values(other)
    assert other.ended.is_set()


CLASSES = st.lists(st.tuples(st.floats(1, 4_000), st.floats(100, 4_000)), min_size=1, max_size=3)


DRAWN_EVENTS = [event for event in Event if event is not Event.TIMER_FIRED]
# A process that stops while it starts ends at once; the other beginnings leave more to draw.
BEGINNINGS = [
    (),
    (Event.STARTUP_COMPLETED,),
    (Event.STARTUP_COMPLETED, Event.PAUSE_REQUESTED),
    (Event.STARTUP_COMPLETED, Event.STOP_REQUESTED),
]


class AnyOrder(RuleBasedStateMachine):
    """Every event of the lifecycle, reloads that lengthen, shorten, add and drop, and time, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.timers = VirtualTimers()
        self.patch = mock.patch.object(module, "now_ms", lambda: self.timers.now)
        self.patch.start()
        self.stopped_at = math.inf
        self.closed = False
        self.are_values_moving = False

    @initialize(classes=CLASSES, events=st.sampled_from(BEGINNINGS))
    def begin(self, classes: list[tuple[float, float]], events: tuple[Event, ...]) -> None:
        self.classes = classes
        self.controller = make_controller(self.timers, times_of(classes))
        self.longest_ms = math.inf  # the longest deadline of the settings at SIGTERM, as the pages count it
        for event in events:
            self.happen(event)

    @rule(event=st.sampled_from(DRAWN_EVENTS))
    def happen(self, event: Event) -> None:
        if event is Event.STOP_REQUESTED and self.stopped_at == math.inf:
            self.stopped_at = self.timers.now
            self.longest_ms = min(MAX_DEADLINE_S * 1_000, max(deadline for _, deadline in self.classes))
        self.controller.dispatch_event(event)

    @rule(classes=CLASSES)
    def reload(self, classes: list[tuple[float, float]]) -> None:
        self.classes = classes
        self.controller.change_drain_times(times_of(classes))

    @rule(milliseconds=st.floats(0, 1_500))
    def pass_time(self, milliseconds: float) -> None:
        self.timers.advance(milliseconds)

    @rule(are_moving=st.booleans())
    def move_values(self, are_moving: bool) -> None:
        self.are_values_moving = are_moving

    @precondition(lambda self: hasattr(self, "controller"))
    @invariant()
    def a_timer_is_due_at_the_deadline_of_the_state(self) -> None:
        deadline = self.controller.lifecycle.next_deadline()
        assert deadline == math.inf or min(self.timers.pending(), default=math.inf) <= deadline

    @precondition(lambda self: hasattr(self, "controller"))
    @invariant()
    def a_process_that_was_told_to_stop_has_ended_in_time(self) -> None:
        """By the longest deadline and 0.4 s, so that 0.3 s are left for the last answers before SIGKILL.

        Only long values that move keep it, and it takes nothing new beside them.
        """
        allowed_ms = max(self.longest_ms + FINAL_ANSWER_MARGIN_S * 1_000, MIN_DRAIN_S * 1_000) + 3 * TICK_MS
        finish_values(self.controller, self.are_values_moving)
        if self.timers.now > self.stopped_at + allowed_ms:
            policy = self.controller.policy
            assert policy is not None and not policy.takes_requests and not policy.accepts
            assert self.controller.requests_ended.is_set()
            assert self.controller.ended.is_set() or self.are_values_moving

    @precondition(lambda self: hasattr(self, "controller"))
    @invariant()
    def connections_are_never_accepted_again_after_the_end_of_accepting(self) -> None:
        policy = self.controller.policy
        self.closed = self.closed or self.controller.accepting_ended.is_set()
        assert not (self.closed and policy is not None and policy.accepts)

    def teardown(self) -> None:
        if hasattr(self, "controller"):
            self.happen(Event.STARTUP_COMPLETED)
            self.happen(Event.STOP_REQUESTED)
            self.timers.advance(MAX_DEADLINE_S * 1_000 + FINAL_ANSWER_MARGIN_S * 1_000 + 3 * TICK_MS)
            finish_values(self.controller)
            assert self.controller.ended.is_set()
        self.patch.stop()


AnyOrder.TestCase.settings = hypothesis_settings(max_examples=200, stateful_step_count=30, deadline=None)
test_the_process_ends_in_time_in_any_order_of_events_and_reloads = AnyOrder.TestCase
