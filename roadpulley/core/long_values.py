"""Begins, holds and passes on the long values of a driver's requests.

`long_answer` decides how long a value is held; this module connects it with the sockets, the timers and the
decision module. See docs/design/long-values.md.
"""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

from mintford import interface as api

from .clock import now_ms
from .command import Sink, Source
from .connection import Attempt
from .event_ring import EventKind
from .long_answer import HOLD_CHECK_INTERVAL_MS, State
from .request import Request

if TYPE_CHECKING:
    from .driver import Driver


class LongValues:
    """The long values that are under way, of all requests of a driver."""

    def __init__(self, driver: Driver) -> None:
        self.driver = driver

    def on_begin(self, attempt: Attempt, length: int, source: Source) -> Sink | None:
        """A long value begins. Streamed, it is the final answer, complete or cut off, however long it takes.

        Where a cut would cost other answers, it is held at first, as long as `LongAnswer` allows. Until then
        it is an answer like a short one: replaced by another attempt if it is cut off.
        """
        owner = self.find_waiting_request(attempt)
        if owner is None:
            return None
        if attempt.timer is not None:
            attempt.timer.cancel()
        answer = attempt.long_answer
        assert answer is not None
        if answer.state is not State.PASSED_ON and owner.slot.has_commands_behind():
            attempt.held_value = owner.slot.hold_value(length, source)
            self.record(EventKind.VALUE_HELD, attempt, f"{length} bytes, commands stand behind it")
            self.hold(owner, attempt)
            return attempt.held_value
        answer.pass_on()
        sink = owner.slot.begin_streaming(length, source)
        self.record(EventKind.VALUE_BEGAN, attempt, f"{length} bytes")
        self.commit(owner, attempt)
        return sink

    def record(self, kind: EventKind, attempt: Attempt, detail: str) -> None:
        """Keeps a change of state of a long value."""
        request, number = attempt.key
        self.driver.event_ring.record(
            kind, request, f"attempt {number} from backend {attempt.backend}: {detail}"
        )

    def on_slow_start(self, attempt: Attempt) -> None:
        """A long value begins whose first bytes come slowly."""
        owner = self.find_waiting_request(attempt)
        if owner is not None:
            self.hold(owner, attempt)

    def find_waiting_request(self, attempt: Attempt) -> Request | None:
        """The request of an attempt, unless it has ended or its final answer has begun."""
        request, number = attempt.key
        owner = self.driver.requests.get(request)
        if owner is None or owner.open_attempts.get(number) is not attempt or owner.is_streaming:
            return None
        return owner

    def hold(self, owner: Request, attempt: Attempt) -> None:
        """Holds a long value that has begun, until its hold deadline at the latest."""
        answer, kind = attempt.long_answer, self.driver.gateway.classes.get(owner.command.request_class)
        assert answer is not None
        if answer.hold_deadline == math.inf:
            target_at = owner.received_at + kind.latency_target if kind is not None else owner.expires_at
            answer.hold(now_ms(), target_at, owner.expires_at)
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.timer = self.driver.timers.call_at(
            answer.hold_deadline, partial(self.check_hold, owner, attempt)
        )
        request, number = attempt.key
        self.driver.handle_event(api.ResponseStarted(request, number, attempt.backend, is_held=True))

    def check_hold(self, owner: Request, attempt: Attempt) -> None:
        """Passes a held value on, if its hold is over and its backend gives."""
        answer, connection = attempt.long_answer, attempt.connection
        assert answer is not None and connection is not None
        was_held, timer = answer.state is State.HELD, attempt.timer
        connection.read_now()
        if attempt.has_ended or attempt.streams_value or attempt.timer is not timer:
            return  # what was read has changed its state
        now = now_ms()
        if answer.check_hold(now) is State.PASSED_ON:
            return self.end_hold(owner, attempt)
        next_check_at = max(answer.hold_deadline, now + HOLD_CHECK_INTERVAL_MS)
        attempt.timer = self.driver.timers.call_at(next_check_at, partial(self.check_hold, owner, attempt))
        if was_held:
            self.driver.handle_event(api.ResponseStalled(*attempt.key))

    def end_hold(self, owner: Request, attempt: Attempt) -> None:
        """Passes on what is held: a value, or the beginning of one in the buffer of its connection."""
        if attempt.held_value is not None:
            self.pass_on(owner, attempt)
        elif attempt.connection is not None and attempt.long_answer is not None:
            attempt.long_answer.pass_on()
            attempt.connection.start_long_value()

    def pass_on(self, owner: Request, attempt: Attempt) -> None:
        """Sends a held value to its client as it comes from now on. It is the final answer."""
        value, attempt.held_value = attempt.held_value, None
        assert value is not None and attempt.long_answer is not None
        attempt.long_answer.pass_on()
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.record(EventKind.VALUE_PASSED_ON, attempt, "at the end of its hold")
        self.commit(owner, attempt)
        owner.slot.pass_on(value)

    def commit(self, owner: Request, attempt: Attempt) -> None:
        """The value of this attempt is the final answer of its request from now on, whole or cut off."""
        owner.is_streaming = attempt.streams_value = True
        if owner.timer is not None:
            owner.timer.cancel()
        request, number = attempt.key
        self.driver.handle_event(api.ResponseStarted(request, number, attempt.backend))

    def get_latest_end(self, owner: Request, now: float) -> float:
        """When the streamed answer of a request must have ended, unless bytes move until then.

        Its backend is waited for while it is read, and otherwise its client.
        """
        for attempt in owner.open_attempts.values():
            if attempt.streams_value and attempt.long_answer is not None:
                return min(attempt.long_answer.get_stall_deadline(), owner.slot.get_stream_deadline())
        return now  # without an attempt nothing would ever end it

    def pass_on_all(self) -> None:
        """Passes on all held values that still come, as the process ends."""
        now = now_ms()
        for attempt in list(self.driver.attempts.values()):
            owner, answer = self.find_waiting_request(attempt), attempt.long_answer
            if owner is not None and answer is not None and answer.is_giving(now):
                self.end_hold(owner, attempt)
