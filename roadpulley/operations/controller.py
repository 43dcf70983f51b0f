"""Acts on the lifecycle: the edge, the module and the operators are each told what holds now."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Iterator
from functools import partial

from mintford import interface as api
from roadpulley.core.clock import Timers, now_ms
from roadpulley.core.driver import Driver
from roadpulley.edges.resp_server import RespServer

from .calls import Call, error, figures, ok
from .lifecycle import Event, Lifecycle, Stance, State

log = logging.getLogger(__name__)

OUTCOMES = "fulfilled", "throttled", "faulted"  # as operators call what tallies count


class Life:
    """One process: its lifecycle beside what that speaks for."""

    def __init__(self, machine: Lifecycle, timers: Timers, driver: Driver, server: RespServer) -> None:
        self.machine, self.timers, self.driver, self.server = machine, timers, driver, server
        self.left = asyncio.Event()  # nothing more is accepted, for good
        self.ended = asyncio.Event()
        self.stance: Stance | None = None
        self.configurations = [0, 0]  # taken, turned down

    def give(self, event: Event) -> None:
        before = self.machine.state
        stance = self.machine.on(now_ms(), event)
        if self.machine.state is not before:
            connected, open_ = len(self.server.connections), len(self.driver.requests)
            log.info("%s, was %s: %d connections, %d requests open",
                     self.machine.state.value, before.value, connected, open_)  # fmt: skip
            self.watch()
        if stance != self.stance:
            self.take(stance)

    def take(self, stance: Stance) -> None:
        takes = self.stance is None or self.stance.takes
        self.stance = stance
        if stance.takes != takes:
            self.driver.handle_event(api.AdmissionChanged(stance.takes))
        if self.machine.state in (State.LEAVING, State.ENDED):
            self.left.set()
        if stance.ended:
            return self.ended.set()
        if self.server.listener is not None or not stance.accepts:
            self.server.set_admission(stance.says_yes, stance.accepts, stance.keeps)

    def watch(self) -> None:
        due = self.machine.due()
        if due < math.inf:
            self.timers.call_at(due, partial(self.give, Event.TIME))

    # ---- operators ----

    def answer(self, call: Call) -> bytes:
        if call is Call.METRICS:
            return figures(self.figures())
        if call is Call.STATUS:
            state = self.machine.state.value
            return ok(state) if self.machine.takes_clients else error(state)
        self.give(Event.PAUSE if call is Call.PAUSE else Event.RESUME)
        if self.machine.state in (State.LEAVING, State.STOPPING, State.ENDED):
            return error("this process is ending")
        return ok(self.machine.state.value)

    def figures(self) -> Iterator[tuple[str, int]]:
        tallies, fleet = self.server.request_stats, self.driver.gateway.fleet
        for name, counts in tallies.answers.items():
            for outcome, count in zip(OUTCOMES, counts, strict=True):
                yield f"operations.{name}.{outcome}", count
        yield "relayed", tallies.attempts_sent
        yield "open_requests", len(self.driver.requests)
        yield "registry_entries", len(fleet.backends)
        yield "out_of_rotation", self.driver.gateway.count_avoided(now_ms())
        yield "cfg_accepted", self.configurations[0]
        yield "cfg_invalid", self.configurations[1]
