"""Drives the decision module: events in, actions out. Decides nothing itself."""

from __future__ import annotations

import logging
import math
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from mintford import Gateway
from mintford import interface as api

from .backends import BackendPools
from .clock import Timer, Timers, now_ms
from .command import Command, ReplySlot, Sink, Source
from .connection import Attempt
from .counter import CounterClient
from .discovery import Member
from .outcomes import EndReason
from .resp import encode_bulk
from .usage_figures import parse_cost

log = logging.getLogger(__name__)

FAILED = b"-ERR failed\r\n"
LAG_CHECK_INTERVAL_MS = 20.0  # between two looks at the lag of the loop
MIN_REMAINING_MS = 60.0  # of a request's time: in less the module could not even refuse it
CLIENT_PROBE_LAG_MS = (
    20.0  # lag in which a client may have left unseen: small beside the 100 ms in which that must show
)
MIN_REPORTED_LAG_MS = (
    5.0  # lag that is worth a word: timers come up to a tick and the loop's rounding late anyway
)


def encode_busy(retry_after: float) -> bytes:
    wait = math.ceil(retry_after)
    return b"-BUSY %d\r\n" % wait if wait > 0 else b"-BUSY\r\n"


class UsageMeter(Protocol):
    """Counts use. A request is one try of its client, however often it is attempted."""

    def record_sent(self, command: Command) -> Any:
        """It is sent on for the first time; gives what its settlement is told with, or None."""

    def record_settled(self, counted: Any, command: Command, true: float) -> None:
        """Its answer told its true units."""


EndCallback = Callable[[], None]


class Rights(Protocol):
    """Spends units of limits that hold over all gateways."""

    def spend(
        self,
        asked: api.SpendRights,
        lasting: float,
        within: float,
        done: Callable[[bool, EndCallback | None], None],
    ) -> None:
        """`done` is called once, at once or within so many seconds: whether rights were held and are spent.

        `lasting`: seconds until its request has surely ended. `done` may be given what to call when it has.
        """


class AttemptObserver(Protocol):
    """Hears how attempts ended, for others."""

    def record(self, backend: int, outcome: api.Outcome) -> None:
        """The module decides by `AttemptEnded`; this is told beside it."""


class Request:
    """One request that is owed a final answer."""

    __slots__ = (
        "end_callbacks",
        "is_streaming",
        "received_at",
        "command",
        "meter_record",
        "expires_at",
        "open_attempts",
        "attempt_count",
        "attempt_limit",
        "slot",
        "timer",
    )

    def __init__(self, command: Command, slot: ReplySlot, expires_at: float) -> None:
        self.command, self.slot, self.expires_at = command, slot, expires_at
        self.received_at = expires_at - command.timeout_ms
        self.attempt_count, self.attempt_limit = 0, 1  # attempts so far; allowed when it came
        self.is_streaming = False  # a long value of it is under way to the client
        self.open_attempts: dict[int, Attempt] = {}  # attempts out, by number
        self.timer: Timer | None = None  # of its end
        self.meter_record: Any = None  # by the meter
        self.end_callbacks: list[EndCallback] = []  # what hears of its end, as rights come back then


class Driver:
    """Owns the module, and is the only one to call it.

    Events are taken one after another: an action that ends at once brings its event after the actions that
    were given with it.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        timers: Timers,
        backends: BackendPools,
        counter: CounterClient | None,
        max_open_requests: int,
    ) -> None:
        self.gateway, self.settings = Gateway(settings, seed), settings
        self.timers, self.backends, self.counter, self.max_open_requests = (
            timers,
            backends,
            counter,
            max_open_requests,
        )
        self.requests: dict[str, Request] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}  # out, also those of requests that have ended
        self.events: deque[api.Event] = deque()
        self.is_handling = False
        self.meter: UsageMeter | None = None  # counts what is sent on
        self.rights: Rights | None = None  # where gateways of a fleet have them
        self.attempt_observer: AttemptObserver | None = None  # where they tell each other what they find
        self.next_lag_check_at, self.last_lag_ms = (
            math.inf,
            0.0,
        )  # the next look at the lag; that of the last one
        self.is_shedding = self.was_lagging = (
            False  # the module turns some away at the door; it was told of a lag
        )
        self.hand_over: Callable[[api.HandoverState], object] = lambda _: (
            None
        )  # to this gateway's other process
        self.action_handlers: dict[type, Callable[[Any], object]] = {
            api.Send: self.send,
            api.Cancel: self.cancel,
            api.Refuse: self.refuse,
            api.Fail: lambda action: self.finish(action.request, FAILED),
            api.SetTimer: self.set_timer,
            api.AddToCounter: self.count,
            api.SpendRights: self.spend,
            api.SubscribeBackends: lambda _: None,  # the list is always followed
            api.SendHandover: lambda action: self.hand_over(action.handover_state),
        }

    # ---- events ----

    def handle_event(self, event: api.Event) -> None:
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
                    # One event's fault must not take the others with it.
                    log.exception("%s could not be handled", type(event).__name__)
                    self.fail_request_of(event)
        finally:
            self.is_handling = False

    def fail_request_of(self, event: api.Event) -> None:
        """The honest end of a request whose event the module failed at: whether it ran is not known."""
        if isinstance(event, api.RequestArrived | api.AttemptEnded):
            self.finish(event.request, FAILED)

    # ---- its own strain ----

    def start_lag_monitor(self) -> None:
        """Look at the lag of the loop from now on."""
        due = self.next_lag_check_at = now_ms() + LAG_CHECK_INTERVAL_MS
        self.timers.call_at(due, partial(self.on_lag_check, due))

    def on_lag_check(self, due: float) -> None:
        lag = now_ms() - due
        if lag < MIN_REPORTED_LAG_MS:
            lag = 0.0
        self.last_lag_ms = lag
        if lag or self.was_lagging or self.is_shedding:
            self.handle_event(api.LoopLagMeasured(lag))
            self.was_lagging, self.is_shedding = lag > 0, self.gateway.shed_level > 0
            if self.counter is not None:
                self.counter.loop_lag_ms = lag
        self.start_lag_monitor()

    def estimate_lag_ms(self, now: float) -> float:
        """For how long what has come may have lain unread."""
        return max(self.last_lag_ms, now - self.next_lag_check_at, 0.0)

    def get_oldest_request_age_ms(self) -> float:
        """For how long the oldest request has been open; 0 where none is."""
        oldest = next(iter(self.requests.values()), None)
        return now_ms() - oldest.received_at if oldest is not None else 0.0

    def encode_early_refusal(self, request_class: str) -> bytes | None:
        """The refusal of a request that the module turns away at the door; None: let it in."""
        wait = self.gateway.get_early_refusal(request_class)
        return None if wait is None else encode_busy(wait)

    def apply_settings(self, settings: api.Settings, max_open: int) -> None:
        """Other settings hold from the next event on; open requests keep what they came with."""
        self.settings, self.max_open_requests = settings, max_open
        self.handle_event(api.SettingsChanged(settings))

    def update_members(self, scope: api.ListScope, members: tuple[Member, ...], since: float) -> None:
        """`since`: from when on what is listed may have counted as told, in milliseconds."""
        now = now_ms()
        since = min(since, now - self.estimate_lag_ms(now))  # while this loop stood still it lay unread
        if scope is not api.ListScope.CHANGES:
            listed = {m.entry.backend for m in members}
            for backend in set(self.backends.hosts) - listed:
                self.backends.retire(backend, since)
        for member in members:
            entry = member.entry
            self.backends.update(entry.backend, member.address, entry.state, entry.started, since)
        self.handle_event(api.BackendsChanged(scope, tuple(m.entry for m in members)))

    def on_command(self, command: Command, slot: ReplySlot) -> None:
        if command.id in self.requests:
            slot.request = None  # the other one's
            return slot.answer(b"-ERR id in use\r\n")
        if len(self.requests) >= self.max_open_requests:
            return slot.answer(b"-BUSY\r\n")
        # Danger: its time counts from when the client sent it. While this loop stood still it may have lain
        # unread as long, and a last answer that is late by more than its client's patience counts as none.
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
        owner.timer = self.timers.call_at(owner.expires_at, partial(self.on_expired, owner))
        self.handle_event(event)

    def on_expired(self, owner: Request) -> None:
        """The client's patience ends: so do the attempts, and the module owes the final answer."""
        request = owner.command.id
        self.cancel_attempts(owner, EndReason.ATTEMPT_TIMEOUT)
        if self.requests.get(request) is owner:
            # Only a fault brings a request here unanswered; its client must not wait in vain even so.
            log.error("request %s had no answer at its end", request)
            self.finish(request, FAILED)
            self.handle_event(api.RequestAbandoned(request))

    def on_client_gone(self, request: str) -> None:
        owner = self.requests.pop(request, None)
        if owner is None:
            return
        self.handle_event(api.RequestAbandoned(request))
        # Nobody is waiting any more; a backend may then drop what it has not begun.
        self.cancel_attempts(owner, EndReason.CANCELLED)
        self.run_end_callbacks(owner)

    def on_long_value(self, attempt: Attempt, length: int, source: Source) -> Sink | None:
        """A long value begins: it is the answer, whole or broken, however long it takes."""
        request, number = attempt.key
        owner = self.requests.get(request)
        if owner is None or owner.open_attempts.get(number) is not attempt or owner.is_streaming:
            return None
        owner.is_streaming = True
        if owner.timer is not None:
            owner.timer.cancel()
        sink = owner.slot.begin_streaming(length, source)
        self.handle_event(api.ResponseStarted(request, number, attempt.backend))
        return sink

    def on_ended(
        self,
        owner: Request,
        number: int,
        sent_at: float,
        attempt: Attempt,
        outcome: api.Outcome,
        value: bytes,
    ) -> None:
        request = owner.command.id
        del self.attempts[request, number], owner.open_attempts[number]
        if owner.is_streaming and not attempt.streams_value:
            pass  # another attempt's value is under way
        elif outcome is api.Outcome.OK or owner.is_streaming:
            self.finish(request, encode_bulk(value))  # of a value that was passed on, the slot has its answer
        finished = self.requests.get(request) is not owner
        if finished:
            self.run_end_callbacks(owner)
        lag = now_ms() - sent_at
        if self.attempt_observer is not None:
            self.attempt_observer.record(attempt.backend, outcome)
        cost = (
            parse_cost(attempt.usage) if attempt.usage and self.settings.capabilities.settles_units else 0.0
        )
        if (
            cost > 0
            and outcome is api.Outcome.OK
            and owner.meter_record is not None
            and self.meter is not None
        ):
            # As the module charges it: what one request can count, and once.
            true = min(cost, max(self.settings.max_request_units, owner.command.units))
            self.meter.record_settled(owner.meter_record, owner.command, true)
            owner.meter_record = None
        self.handle_event(api.AttemptEnded(request, number, attempt.backend, outcome, lag, finished, cost))

    def on_counter_reply(self, name: str, outcome: api.Outcome, reading: float) -> None:
        self.handle_event(api.CounterReplied(name, outcome, reading))

    # ---- actions ----

    def cancel(self, action: api.Cancel) -> None:
        if attempt := self.attempts.get((action.request, action.attempt)):
            self.backends.cancel(attempt, EndReason.CANCELLED)

    def refuse(self, action: api.Refuse) -> None:
        self.finish(action.request, encode_busy(action.retry_after))

    def set_timer(self, action: api.SetTimer) -> None:
        self.timers.call_at(now_ms() + action.delay, partial(self.handle_event, api.TimerFired(action.token)))

    def count(self, action: api.AddToCounter) -> None:
        if self.counter is None:
            self.handle_event(api.CounterReplied(action.name, api.Outcome.CONNECT, 0.0))
        else:
            self.counter.add(action.name, action.amount, action.expire_in, self.on_counter_reply)

    def spend(self, action: api.SpendRights) -> None:
        owner = self.requests.get(action.request)

        def granted(paid: bool, ended: EndCallback | None) -> None:
            if ended is not None and owner is not None and self.requests.get(action.request) is owner:
                owner.end_callbacks.append(ended)
            elif ended is not None:
                ended()  # it has ended before
            self.handle_event(api.RightsDecided(action.request, paid))

        if self.rights is None or owner is None:
            return granted(False, None)
        within, lasting = self.settings.counter_timeout / 1000, (owner.expires_at - now_ms()) / 1000
        self.rights.spend(action, lasting, within, granted)

    def send(self, action: api.Send) -> None:
        request, backend, timeout = action.request, action.backend, action.timeout
        now, owner = now_ms(), self.requests.get(request)
        if owner is not None and owner.slot.is_client_gone(self.estimate_lag_ms(now) > CLIENT_PROBE_LAG_MS):
            owner = None
        if owner is None or owner.attempt_count >= min(owner.attempt_limit, self.settings.max_attempts):
            # Danger: under another number the module would count this attempt as out for ever.
            number, ignored = owner.attempt_count if owner else action.attempt, api.Outcome.IGNORED
            return self.handle_event(api.AttemptEnded(request, number, backend, ignored, 0.0, owner is None))
        number, owner.attempt_count = owner.attempt_count, owner.attempt_count + 1
        if not number and self.meter is not None:
            owner.meter_record = self.meter.record_sent(owner.command)
        ended = partial(self.on_ended, owner, number, now)
        key, command = (request, number), owner.command
        attempt = Attempt(
            backend,
            command.encode,
            owner.expires_at,
            ended,
            key,
            self.on_long_value,
            action.latest_start,
            self.is_client_waiting,
            command.long_body,
        )
        self.attempts[key] = owner.open_attempts[number] = attempt
        if 0 < timeout < owner.expires_at - now:
            give_up = partial(self.backends.cancel, attempt, EndReason.ATTEMPT_TIMEOUT)
            attempt.timer = self.timers.call_at(now + timeout, give_up)
        self.backends.send(attempt)

    def is_client_waiting(self, attempt: Attempt) -> bool:
        """Whether its client still waits, asked once it has waited for its connection."""
        owner = self.requests.get(attempt.key[0])
        return owner is not None and not owner.slot.is_client_gone(True)

    def cancel_attempts(self, owner: Request, ending: EndReason) -> None:
        for attempt in list(owner.open_attempts.values()):
            self.backends.cancel(attempt, ending)

    def finish(self, request: str, reply: bytes) -> None:
        """Give the one final answer; a second one is not sent."""
        if owner := self.requests.pop(request, None):
            owner.slot.answer(reply)
            self.run_end_callbacks(owner)

    def run_end_callbacks(self, owner: Request) -> None:
        """Once a request is answered and nothing of it is out, it is over."""
        if owner.open_attempts:
            return
        if owner.timer is not None:
            owner.timer.cancel()
        while owner.end_callbacks:
            owner.end_callbacks.pop()()

    def fail_all(self) -> None:
        """Answer what is still open when the process has to end."""
        for request in list(self.requests):
            self.finish(request, FAILED)
            self.handle_event(api.RequestAbandoned(request))
