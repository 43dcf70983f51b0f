"""Applies the lifecycle to the client edge and the decision module, and answers the operators' calls."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Iterator

from mintford import interface as api
from roadpulley.core.clock import Timer, Timers, now_ms
from roadpulley.core.driver import Driver
from roadpulley.edges.resp_server import RespServer

from .calls import Call, format_error, format_metrics, format_ok
from .lifecycle import DrainTimes, Event, Lifecycle, ServingPolicy, State

log = logging.getLogger(__name__)

OUTCOMES = (
    "fulfilled",
    "throttled",
    "faulted",
)  # metric names of the counts in RequestStats.answers
ENDING_STATES = (State.STOPPING, State.LEAVING, State.FINISHING, State.ENDED)


class LifecycleController:
    """Connects the lifecycle of this process with the parts that it controls."""

    def __init__(self, lifecycle: Lifecycle, timers: Timers, driver: Driver, server: RespServer) -> None:
        self.lifecycle, self.timers, self.driver, self.server = lifecycle, timers, driver, server
        self.accepting_ended = asyncio.Event()  # set once no more connections will ever be accepted
        self.requests_ended = asyncio.Event()  # set once no request is taken or waited for any more
        self.ended = asyncio.Event()
        self.policy: ServingPolicy | None = None
        self.timer: Timer | None = None  # pending, and due at the lifecycle's next deadline
        self.reload_counts = [0, 0]  # configurations accepted and rejected

    def dispatch_event(self, event: Event) -> None:
        """Pass an event to the lifecycle and apply what changes."""
        previous = self.lifecycle.state
        policy = self.lifecycle.handle_event(now_ms(), event)
        if self.lifecycle.state is not previous:
            connection_count, request_count = len(self.server.connections), len(self.driver.requests)
            log.info(
                "%s, was %s: %d connections, %d requests open",
                self.lifecycle.state.value,
                previous.value,
                connection_count,
                request_count,
            )
        if policy != self.policy:
            self.apply_policy(policy)
        self.schedule_timer()

    def change_drain_times(self, drain_times: DrainTimes) -> None:
        """Apply the drain times that follow from changed settings, also while a drain is under way."""
        self.lifecycle.change_drain_times(drain_times)
        self.schedule_timer()

    def apply_policy(self, policy: ServingPolicy) -> None:
        """Apply a policy to the decision module and to the server for clients."""
        took_requests = self.policy is None or self.policy.takes_requests
        self.policy = policy
        if policy.takes_requests != took_requests:
            self.driver.handle_event(api.AdmissionChanged(policy.takes_requests))
        if self.lifecycle.state in (State.LEAVING, State.FINISHING, State.ENDED):
            self.accepting_ended.set()
        if self.lifecycle.state in (State.FINISHING, State.ENDED):
            self.requests_ended.set()
        if policy.is_ended:
            return self.ended.set()
        if self.server.listener is not None or not policy.accepts:
            self.server.set_admission(policy.answers_ping, policy.accepts, policy.keeps_idle)

    def schedule_timer(self) -> None:
        """Keep one timer pending for the lifecycle's next deadline, if there is one.

        Called after everything that may change the deadline. Without it the process would stay in its state.
        """
        deadline = self.lifecycle.next_deadline()
        if self.timer is not None:
            if self.timer.due_at == deadline:
                return
            self.timer.cancel()
            self.timer = None
        if deadline < math.inf:
            self.timer = self.timers.call_at(deadline, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self.dispatch_event(Event.TIMER_FIRED)

    # ---- operators ----

    def answer_call(self, call: Call) -> bytes:
        """Carry out an operator's call and return the answer."""
        if call is Call.METRICS:
            return format_metrics(self.collect_metrics())
        if call is Call.STATUS:
            state = self.lifecycle.state.value
            return format_ok(state) if self.lifecycle.is_serving else format_error(state)
        self.dispatch_event(Event.PAUSE_REQUESTED if call is Call.PAUSE else Event.RESUME_REQUESTED)
        if self.lifecycle.state in ENDING_STATES:
            return format_error("this process is ending")
        return format_ok(self.lifecycle.state.value)

    def collect_metrics(self) -> Iterator[tuple[str, int]]:
        """The current metrics, as names and values."""
        stats, fleet = self.server.request_stats, self.driver.gateway.fleet
        for name, counts in stats.answers.items():
            for outcome, count in zip(OUTCOMES, counts, strict=True):
                yield f"operations.{name}.{outcome}", count
        yield "relayed", stats.attempts_sent
        for reason, count in stats.unanswered_at_close.items():  # those that occurred
            yield f"unanswered_at_close.{reason}", count
        for kind, count in stats.overdue.items():  # those that occurred
            yield f"overdue.{kind}", count
        yield "open_requests", len(self.driver.requests)
        yield "registry_entries", len(fleet.backends)
        yield "out_of_rotation", self.driver.gateway.count_avoided(now_ms())
        yield "cfg_accepted", self.reload_counts[0]
        yield "cfg_invalid", self.reload_counts[1]
