"""Passes events to the decision module and performs its actions. It makes no decisions itself."""

from __future__ import annotations

import logging
import math
from collections import Counter as Tally
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from mintford import Gateway
from mintford import interface as api

from .backends import BackendPools
from .clock import Timers, now_ms
from .command import Command, HeldSink, ReplySlot
from .connection import Attempt
from .counter import CounterClient
from .discovery import Member
from .effect_ids import Admission, EffectIds
from .event_ring import EventKind
from .long_values import LongValues
from .memory_limits import MemoryLimits, compute_memory_limits
from .outcomes import NOT_RUN_OUTCOMES, EndReason
from .recent_requests import RecentRequests
from .request import EndCallback, Request
from .resp import encode_bulk
from .usage_figures import parse_cost

log = logging.getLogger(__name__)

FAILED = b"-ERR failed\r\n"
LAG_CHECK_INTERVAL_MS = 20.0  # between two looks at the lag of the loop
REFUSAL_LOG_INTERVAL_MS = 1_000.0
MIN_REMAINING_MS = 60.0  # of a request's time; with less the decision module could not even refuse it
CLIENT_PROBE_LAG_MS = 20.0  # with more lag, clients are probed: a disconnect must be noticed within 100 ms
CROWDED_RATIO = 0.5  # of the open requests that are allowed
MIN_REPORTED_LAG_MS = 5.0  # timers are late by up to a tick and the rounding of the loop anyway


def encode_busy(retry_after: float) -> bytes:
    """A refusal, with the time in milliseconds after which a retry makes sense, if there is one."""
    wait = math.ceil(retry_after)
    return b"-BUSY %d\r\n" % wait if wait > 0 else b"-BUSY\r\n"


class UsageMeter(Protocol):
    """Meters usage. A request is one try of its client, however many attempts it takes."""

    def record_sent(self, command: Command) -> Any:
        """Records a request whose first attempt has been sent whole. Returns a record for `record_settled`.

        That is None if the request can't be recorded.
        """

    def record_settled(self, record: Any, command: Command, actual_units: float) -> None:
        """Records the actual units of a request, as its answer stated them."""


class Rights(Protocol):
    """Spends units of the limits that apply to all gateways together."""

    def spend(
        self,
        action: api.SpendRights,
        duration_s: float,
        timeout_s: float,
        callback: Callable[[bool, EndCallback | None], None],
    ) -> None:
        """Calls `callback` once, within `timeout_s`, with whether rights were available and are now spent.

        `duration_s`: until the request has certainly ended. The second argument of `callback` is a function
        to call when it has ended, or None.
        """


class AttemptObserver(Protocol):
    """Is notified of the outcomes of attempts."""

    def record(self, backend: int, outcome: api.Outcome, duration_ms: float) -> None:
        """Records an outcome. The decision module gets the same outcome as `AttemptEnded`.

        `duration_ms` is the time since the attempt was sent.
        """


class Driver:
    """Owns the decision module and is its only caller.

    Events are handled one after another. If an action completes immediately, its event is handled after the
    other actions of the same event.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        timers: Timers,
        backends: BackendPools,
        counter: CounterClient | None,
        max_open_requests: int,
        memory_limits: MemoryLimits | None = None,
    ) -> None:
        self.memory_limits = memory_limits or compute_memory_limits()
        self.gateway, self.settings = Gateway(settings, seed, self.memory_limits.max_customers), settings
        self.timers = timers
        self.backends = backends
        self.event_ring = backends.stats.events
        self.counter = counter
        self.max_open_requests = min(max_open_requests, self.memory_limits.max_open_requests)
        self.recent_requests = RecentRequests(self.memory_limits.max_recent_ids)
        self.effect_ids = EffectIds(self.recent_requests, settings)
        self.requests: dict[str, Request] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}  # open, also those of ended requests
        self.events: deque[api.Event] = deque()
        self.long_values = LongValues(self)
        self.is_handling = False
        self.meter: UsageMeter | None = None  # if usage is metered
        self.rights: Rights | None = None  # in a fleet only
        self.attempt_observer: AttemptObserver | None = None  # in a fleet only
        self.next_lag_check_at, self.last_lag_ms = math.inf, 0.0
        # Whether the decision module refuses some requests early, and whether a lag was reported to it.
        self.is_shedding = self.was_lagging = False
        self.refusals: Tally[str] = Tally()  # requests without a value, by reason, since the last log line
        self.refusals_logged_at = -math.inf
        # Passes state to the gateway's other process.
        self.hand_over: Callable[[api.HandoverState], object] = lambda _: None
        self.action_handlers: dict[type, Callable[[Any], object]] = {
            api.Send: self.send,
            api.Cancel: self.cancel,
            api.Refuse: self.refuse,
            api.Fail: self.fail,
            api.SetTimer: self.set_timer,
            api.AddToCounter: self.count,
            api.SpendRights: self.spend,
            api.SubscribeBackends: lambda _: None,  # the list is watched permanently
            api.SendHandover: lambda action: self.hand_over(action.handover_state),
        }

    # ---- events ----

    def handle_event(self, event: api.Event) -> None:
        """Passes an event to the decision module, after the events that are already queued."""
        if self.is_handling:
            return self.events.append(event)
        self.is_handling = True
        self.events.append(event)
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    for action in self.gateway.handle(now_ms(), event):
                        self.action_handlers[type(action)](action)
                except Exception:
                    # An exception in one event must not lose the other events.
                    log.exception("%s could not be handled", type(event).__name__)
                    self.fail_request_of(event)
        finally:
            self.is_handling = False

    def fail_request_of(self, event: api.Event) -> None:
        """Fails the request of an event that raised an exception. Whether the request ran is unknown."""
        if isinstance(event, api.RequestArrived | api.AttemptEnded):
            self.finish(event.request, FAILED)

    # ---- lag of the event loop ----

    def start_lag_monitor(self) -> None:
        """Measures the lag of the event loop at regular intervals from now on."""
        due_at = self.next_lag_check_at = now_ms() + LAG_CHECK_INTERVAL_MS
        self.timers.call_at(due_at, partial(self.on_lag_check, due_at))

    def on_lag_check(self, due_at: float) -> None:
        """Measures the lag as the delay of this timer, and reports it to the decision module."""
        lag = now_ms() - due_at
        if lag < MIN_REPORTED_LAG_MS:
            lag = 0.0
        self.last_lag_ms = lag
        if lag or self.was_lagging or self.is_shedding:
            self.handle_event(api.LoopLagMeasured(lag))
            self.was_lagging, self.is_shedding = lag > 0, self.gateway.shed_level > 0
            if self.counter is not None:
                self.counter.loop_lag_ms = lag
        if self.refusals:
            self.log_refusals(now_ms())
        self.start_lag_monitor()

    def log_refusals(self, now: float) -> None:
        """Logs why requests got no value, in one line at most once per interval, with what led to it."""
        if now - self.refusals_logged_at < REFUSAL_LOG_INTERVAL_MS:
            return
        log.info(
            "requests without a value: %s; lag %.0f ms, shed level %.2f, %d requests open",
            dict(self.refusals),
            self.last_lag_ms,
            self.gateway.shed_level,
            len(self.requests),
        )
        self.refusals.clear()
        self.refusals_logged_at = now

    def estimate_lag_ms(self, now: float) -> float:
        """For how long received data may have been waiting to be read."""
        return max(self.last_lag_ms, now - self.next_lag_check_at, 0.0)

    def get_overdue_ms(self) -> float:
        """For how long the most overdue open request is past the time at which it must have ended.

        0 if there is none. That time is its deadline; for a streamed answer it is the time at which the edge
        ends it, unless a byte moves. The age of a request says nothing: deadlines and values may be long.
        """
        latest_ends = (
            owner.slot.get_stream_deadline() if owner.is_streaming else owner.expires_at
            for owner in self.requests.values()
        )
        return max(0.0, now_ms() - min(latest_ends, default=math.inf))

    def is_crowded(self) -> bool:
        """Whether so many requests are open that each connection may add only a few."""
        return len(self.requests) > CROWDED_RATIO * self.max_open_requests

    def encode_early_refusal(self, request_class: str) -> bytes | None:
        """The refusal of a request that is shed before it is parsed, or None if it is admitted."""
        wait = self.gateway.get_early_refusal(request_class)
        if wait is None:
            return None
        self.refusals["this process lags behind"] += 1
        return encode_busy(wait)

    def apply_settings(self, settings: api.Settings, max_open: int) -> None:
        """Applies changed settings from the next event on. Open requests keep their previous limits."""
        self.settings = settings
        self.max_open_requests = min(max_open, self.memory_limits.max_open_requests)
        self.effect_ids.apply_settings(settings)
        self.handle_event(api.SettingsChanged(settings))

    def update_members(self, scope: api.ListScope, members: tuple[Member, ...], since: float) -> None:
        """Applies a list of backends. `since`: when the changes may have taken effect, in milliseconds."""
        now = now_ms()
        since = min(since, now - self.estimate_lag_ms(now))  # it may have waited unread while the loop lagged
        if scope is not api.ListScope.CHANGES:
            listed = {m.entry.backend for m in members}
            for backend in set(self.backends.hosts) - listed:
                self.backends.retire(backend, since)
        for member in members:
            entry = member.entry
            self.backends.update(entry.backend, member.address, entry.state, entry.started, since)
        self.handle_event(api.BackendsChanged(scope, tuple(m.entry for m in members)))

    def on_command(self, command: Command, slot: ReplySlot) -> None:
        """Accepts a request, or refuses it: its id is in use or may have run, or too many are open."""
        if command.id in self.requests:
            slot.request = None  # the id belongs to the other request
            return slot.answer(b"-ERR id in use\r\n")
        has_effects = self.effect_ids.has_effects(command.request_class)
        if has_effects and not self.admit_id(command.id, slot):
            return None
        if len(self.requests) >= self.max_open_requests:
            self.refusals["too many requests are open"] += 1
            return slot.answer(b"-BUSY\r\n")
        # The client's timeout starts when it sends the request, which may have waited unread while the loop
        # lagged. Without this, an answer could come after the client has stopped waiting and count as none.
        now = now_ms()
        expires = now + max(command.timeout_ms - self.estimate_lag_ms(now), MIN_REMAINING_MS)
        event = api.RequestArrived(
            command.id,
            command.request_class,
            command.plan,
            command.customer,
            expires,
            command.units,
            command.spread,
            command.first,
            command.repeat,
        )
        owner = self.requests[command.id] = Request(command, slot, expires)
        owner.attempt_limit = self.settings.max_attempts
        owner.has_effects = has_effects
        owner.timer = self.timers.call_at(owner.expires_at, partial(self.on_expired, owner))
        self.handle_event(event)

    def may_have_run(self, request: str) -> bool:
        """Whether an earlier request of this id may have run, so that a refusal would promise too much."""
        return self.effect_ids.may_have_run(request)

    def admit_id(self, request: str, slot: ReplySlot) -> bool:
        """Whether a request with effects may be sent on under this id. Otherwise it is answered."""
        admission = self.effect_ids.admit(request)
        if admission is Admission.ADMITTED:
            return True
        self.refusals[admission.value] += 1
        self.event_ring.record(EventKind.REFUSED, request, admission.value)
        slot.answer(FAILED if admission is Admission.MAY_HAVE_RUN else b"-BUSY\r\n")
        return False

    def on_attempt_sent(self, owner: Request) -> None:
        """The last byte of an attempt has been written."""
        self.meter_sent(owner)
        if owner.has_effects:
            self.effect_ids.record_sent(owner)

    def on_expired(self, owner: Request) -> None:
        """The request's time is over. Its attempts end, and the decision module gives the final answer."""
        request = owner.command.id
        self.cancel_attempts(owner, EndReason.ATTEMPT_TIMEOUT)
        if self.requests.get(request) is owner:
            # Only a bug leaves a request unanswered here, but its client must still get an answer.
            self.event_ring.report(request, "its time is over, and the decision module gave no answer")
            self.finish(request, FAILED)
            self.handle_event(api.RequestAbandoned(request))

    def fail_overdue(self, owner: Request) -> None:
        """Ends a request that is still open after its time, whatever it waits for."""
        request = owner.command.id
        self.event_ring.record(EventKind.OVERDUE, request, "no answer was given in time")
        self.on_expired(owner)

    def break_stream(self, owner: Request) -> None:
        """Ends a streamed answer that does not go on, and with it its client's connection."""
        self.event_ring.record(EventKind.OVERDUE, owner.command.id, "its long value does not go on")
        self.cancel_attempts(owner, EndReason.CONNECTION_ERROR)
        if self.requests.get(owner.command.id) is owner:  # without an attempt its stream is not told
            owner.slot.close_connection()
            self.on_client_gone(owner.command.id)

    def on_client_gone(self, request: str) -> None:
        """The client of an open request has disconnected."""
        owner = self.requests.pop(request, None)
        if owner is None:
            return
        self.handle_event(api.RequestAbandoned(request))
        # Nobody waits for the answer, and a backend may drop a request that it hasn't started.
        self.cancel_attempts(owner, EndReason.ABANDONED)
        self.run_end_callbacks(owner)

    def on_ended(
        self,
        owner: Request,
        number: int,
        sent_at: float,
        attempt: Attempt,
        outcome: api.Outcome,
        value: bytes,
    ) -> None:
        """An attempt has ended: answers its request if the outcome is final, and reports the outcome."""
        request = owner.command.id
        del self.attempts[request, number], owner.open_attempts[number]
        if owner.is_streaming and not attempt.streams_value:
            pass  # another attempt's value is being streamed
        elif outcome is api.Outcome.OK and attempt.held_value is not None:
            self.finish_held(request, attempt.held_value)
        elif outcome is api.Outcome.OK or owner.is_streaming:
            self.finish(request, encode_bulk(value))  # has no effect if the value was streamed
        finished = self.requests.get(request) is not owner
        if finished:
            self.run_end_callbacks(owner)
        lag = now_ms() - sent_at
        if outcome is not api.Outcome.OK:
            self.record_attempt_end(attempt, outcome)
            if attempt.was_sent and owner.has_effects and outcome in NOT_RUN_OUTCOMES:
                self.effect_ids.record_not_run(owner)
        if self.attempt_observer is not None:
            self.attempt_observer.record(attempt.backend, outcome, lag)
        cost = (
            parse_cost(attempt.usage) if attempt.usage and self.settings.capabilities.settles_units else 0.0
        )
        if (
            cost > 0
            and outcome is api.Outcome.OK
            and owner.meter_record is not None
            and self.meter is not None
        ):
            # Charged as in the decision module: once, and up to the maximum of one request.
            actual_units = min(cost, max(self.settings.max_request_units, owner.command.units))
            self.meter.record_settled(owner.meter_record, owner.command, actual_units)
            owner.meter_record = None
        self.handle_event(api.AttemptEnded(request, number, attempt.backend, outcome, lag, finished, cost))

    def record_attempt_end(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """Keeps why an attempt ended without a value. One that broke its client's answer is reported."""
        request, number = attempt.key
        self.event_ring.record(
            EventKind.ATTEMPT_ENDED,
            request,
            f"attempt {number} at backend {attempt.backend}: {outcome.value},",
            attempt.end_detail,
        )
        if attempt.streams_value:
            self.event_ring.report(request, "its long value broke")

    def on_counter_reply(self, name: str, outcome: api.Outcome, total: float) -> None:
        """A call to the counter has ended."""
        self.handle_event(api.CounterReplied(name, outcome, total))

    # ---- actions ----

    def cancel(self, action: api.Cancel) -> None:
        """Ends an attempt whose answer is no longer needed."""
        if attempt := self.attempts.get((action.request, action.attempt)):
            self.backends.cancel_attempt(attempt, EndReason.ABANDONED)

    def refuse(self, action: api.Refuse) -> None:
        """Answers a request with `-BUSY`."""
        self.refusals[action.reason.value] += 1
        self.event_ring.record(EventKind.REFUSED, action.request, action.reason.value)
        self.finish(action.request, encode_busy(action.retry_after))

    def fail(self, action: api.Fail) -> None:
        """Answers a request with an error, as it may have run."""
        self.refusals[action.reason.value] += 1
        self.event_ring.record(EventKind.FAILED, action.request, action.reason.value)
        self.finish(action.request, FAILED)

    def set_timer(self, action: api.SetTimer) -> None:
        """Schedules a timer of the decision module."""
        self.timers.call_at(now_ms() + action.delay, partial(self.handle_event, api.TimerFired(action.token)))

    def count(self, action: api.AddToCounter) -> None:
        """Adds to a counter. Without a counter service the call fails as never sent."""
        if self.counter is None:
            self.handle_event(api.CounterReplied(action.name, api.Outcome.CONNECT, 0.0))
        else:
            self.counter.add(action.name, action.amount, action.expire_in, self.on_counter_reply)

    def spend(self, action: api.SpendRights) -> None:
        """Spends rights for a request and reports the result as an event."""
        owner = self.requests.get(action.request)

        def on_decided(paid: bool, on_request_end: EndCallback | None) -> None:
            if (
                on_request_end is not None
                and owner is not None
                and self.requests.get(action.request) is owner
            ):
                owner.end_callbacks.append(on_request_end)
            elif on_request_end is not None:
                on_request_end()  # the request has already ended
            self.handle_event(api.RightsDecided(action.request, paid))

        if self.rights is None or owner is None:
            return on_decided(False, None)
        timeout_s, duration_s = self.settings.counter_timeout / 1000, (owner.expires_at - now_ms()) / 1000
        self.rights.spend(action, duration_s, timeout_s, on_decided)

    def send(self, action: api.Send) -> None:
        """Sends an attempt, unless the client is gone or the request has no attempts left."""
        request, backend, timeout = action.request, action.backend, action.timeout
        now, owner = now_ms(), self.requests.get(request)
        if owner is not None and owner.slot.is_client_gone(self.estimate_lag_ms(now) > CLIENT_PROBE_LAG_MS):
            owner = None
        if owner is None or owner.attempt_count >= min(owner.attempt_limit, self.settings.max_attempts):
            # With another number the decision module would count this attempt as open for ever.
            number, ignored = owner.attempt_count if owner else action.attempt, api.Outcome.IGNORED
            return self.handle_event(api.AttemptEnded(request, number, backend, ignored, 0.0, owner is None))
        number, owner.attempt_count = owner.attempt_count, owner.attempt_count + 1
        if number:
            self.event_ring.record(EventKind.RETRIED, request, f"attempt {number} to backend {backend}")
        ended = partial(self.on_ended, owner, number, now)
        key, command = (request, number), owner.command
        attempt = Attempt(
            backend,
            command.encode,
            owner.expires_at,
            ended,
            key,
            self.long_values.on_begin,
            action.send_deadline,
            self.is_client_waiting,
            command.long_body,
            on_sent=(
                partial(self.on_attempt_sent, owner) if owner.has_effects or self.meter is not None else None
            ),
            on_slow_start=self.long_values.on_slow_start,
        )
        for other in owner.open_attempts.values():
            # Whichever comes whole first runs first, and the others repeat it.
            other.limit_sending(action.send_deadline)
        self.attempts[key] = owner.open_attempts[number] = attempt
        if 0 < timeout < owner.expires_at - now:
            on_timeout = partial(self.backends.cancel_attempt, attempt, EndReason.ATTEMPT_TIMEOUT)
            attempt.timer = self.timers.call_at(now + timeout, on_timeout)
        self.backends.send(attempt)

    def meter_sent(self, owner: Request) -> None:
        """Meters a request when the last byte of an attempt has been written, once however many there are.

        Not before: an attempt that gets no connection, or is given up on the way, takes nothing.
        """
        if self.meter is not None and not owner.is_metered:
            owner.is_metered = True
            owner.meter_record = self.meter.record_sent(owner.command)

    def is_client_waiting(self, attempt: Attempt) -> bool:
        """Whether the client still waits. Checked when a new connection is established."""
        owner = self.requests.get(attempt.key[0])
        return owner is not None and not owner.slot.is_client_gone(True)

    def cancel_attempts(self, owner: Request, reason: EndReason) -> None:
        """Ends all open attempts of a request."""
        for attempt in list(owner.open_attempts.values()):
            self.backends.cancel_attempt(attempt, reason)

    def finish(self, request: str, reply: bytes) -> None:
        """Sends the final answer of a request, unless it was already sent."""
        if owner := self.requests.pop(request, None):
            owner.slot.answer(reply)
            self.run_end_callbacks(owner)

    def finish_held(self, request: str, value: HeldSink) -> None:
        """Sends a whole value as the final answer of a request, unless that was already sent."""
        owner = self.requests.pop(request, None)
        if owner is None:
            return value.release()
        owner.slot.answer_held(value)
        self.run_end_callbacks(owner)

    def run_end_callbacks(self, owner: Request) -> None:
        """Calls the end callbacks of an answered request once all its attempts have ended."""
        if owner.open_attempts:
            return
        if owner.timer is not None:
            owner.timer.cancel()
        while owner.end_callbacks:
            owner.end_callbacks.pop()()

    def fail_all(self) -> int:
        """Fails all open requests whose answer has not begun, as the process ends. Returns their number.

        Values that are held and still come are passed on.
        """
        self.long_values.pass_on_all()
        unanswered = [request for request, owner in self.requests.items() if not owner.is_streaming]
        for request in unanswered:
            self.finish(request, FAILED)
            self.handle_event(api.RequestAbandoned(request))
        return len(unanswered)
