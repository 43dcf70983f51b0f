"""The outcomes of attempts: the table, and drawn orders of socket events against what backends received.

A play draws steps. All steps between two loop iterations happen to the gateway at once. The backends are
sockets that the play controls byte by byte. The same plays have to find bugs that are planted in the pools.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import hiredis
import pytest
import uvloop
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from loopback import LOCAL, encode

from mintford.guards import NOT_RUN_OUTCOMES as MODULE_NOT_RUN_OUTCOMES
from mintford.interface import BackendState, Outcome
from roadpulley.core import outcomes
from roadpulley.core.backends import REUSE_DELAY_MS, BackendPools
from roadpulley.core.clock import Timers, now_ms
from roadpulley.core.connection import Attempt, Connection
from roadpulley.core.outcomes import NOT_RUN_OUTCOMES, OUTCOMES, EndReason, Stage, resolve_outcome

BIG = b"x" * 6_000_000  # more than the kernel buffers


# ---- the table ----


@pytest.mark.parametrize("stage", Stage)
@pytest.mark.parametrize("reason", EndReason)
def test_outcomes_of_attempts_that_may_have_run_are_not_in_never_ran(stage: Stage, reason: EndReason) -> None:
    result = resolve_outcome(stage, reason)
    if stage is Stage.SENT and reason is not EndReason.FULL:
        assert result not in NOT_RUN_OUTCOMES
    if reason is EndReason.ABANDONED:
        assert result is Outcome.CANCELLED  # not held against the backend
    if stage is not Stage.SENT and reason in (EndReason.CONNECTION_ERROR, EndReason.ATTEMPT_TIMEOUT):
        assert result is Outcome.CONNECT


def test_never_ran_equals_the_set_of_the_decision_module() -> None:
    assert NOT_RUN_OUTCOMES == MODULE_NOT_RUN_OUTCOMES
    assert {result for row in OUTCOMES.values() for result in row.values()} >= NOT_RUN_OUTCOMES


# ---- drawn orders ----


class Server:
    """A backend that reads only when the play says so, and records the requests and answers."""

    def __init__(self) -> None:
        self.listener = socket.create_server((LOCAL, 0))
        self.listener.setblocking(False)
        self.port: int = self.listener.getsockname()[1]
        self.links: list[Link] = []

    def accept(self) -> None:
        while True:
            try:
                accepted, _ = self.listener.accept()
            except BlockingIOError:
                return
            accepted.setblocking(False)
            self.links.append(Link(accepted))

    def read(self) -> None:
        self.accept()
        for link in self.links:
            link.read()


class Link:
    """The backend's side of a connection."""

    def __init__(self, accepted: socket.socket) -> None:
        self.socket, self.reader = accepted, hiredis.Reader()
        self.got: list[int] = []  # complete requests
        self.unparsed = b""  # read since the last complete request
        self.answered = 0
        self.over = False

    def read(self) -> None:
        try:
            while not self.over and (data := self.socket.recv(1 << 20)):
                self.reader.feed(data)
                self.unparsed += data
        except BlockingIOError:
            pass
        except OSError:
            self.over = True
        while (command := self.reader.gets()) is not False:
            # A second request would be delayed by the first one, and be lost with it if that is cancelled.
            assert len(self.got) == self.answered, "two requests out on one connection"
            self.got.append(int(command[2]))
            self.unparsed = b""

    def holds_whole_request(self) -> bool:
        """Whether a request has arrived whole, read or still in the kernel. Reads nothing."""
        try:
            waiting = self.socket.recv(1 << 20, socket.MSG_PEEK)
        except OSError:
            waiting = b""
        reader = hiredis.Reader()
        reader.feed(self.unparsed + waiting)
        return len(self.got) > self.answered or reader.gets() is not False

    def say(self, data: bytes) -> None:
        try:
            self.socket.send(data)
        except OSError:
            self.over = True

    def close(self, reset: bool) -> None:
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()
        self.over = True


def served(number: int) -> bytes:
    value = b"%d" % number
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


@dataclass
class AttemptResult:
    """What an attempt reported at its end."""

    outcomes: list[Outcome] = field(default_factory=list)
    value: bytes = b""


class Play:
    """Performs steps on the pools and on two backends, and checks the result."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.pool = BackendPools(loop, Timers(loop), 5_000, 15_000, 0, 64, 50_000_000)
        self.servers = [Server(), Server()]
        self.at, self.born, self.ready = 0, 1.0, True
        self.tries: list[tuple[Attempt, AttemptResult]] = []
        self.wrong: list[str] = []  # errors found in callbacks
        self.list()

    def list(self) -> None:
        state = BackendState.READY if self.ready else BackendState.DRAINING
        self.pool.update(1, (LOCAL, self.servers[self.at].port), state, self.born)

    # ---- steps ----

    def send(self, big: bool = False, late: bool = False) -> None:
        number, result = len(self.tries), AttemptResult()

        def ended(attempt: Attempt, how: Outcome, value: bytes) -> None:
            result.outcomes.append(how)
            result.value = value

        def encode_command(wait: int) -> bytes:
            attempt = self.tries[number][0] if number < len(self.tries) else made
            connection = attempt.connection
            here = (LOCAL, self.servers[self.at].port), self.born
            leads = (connection.address, connection.started) if connection else None
            self.wrong += [
                f"{number} is written {what}"
                for bad, what in (
                    (bool(result.outcomes), "after its end"),
                    (now_ms() >= attempt.latest_send_at, "too late"),
                    (not self.ready, "to a backend that drains"),
                    (leads != here, "to another process"),
                )
                if bad
            ]
            return encode(b"API.READ", b"0" * 16, b"%d" % number, b"d=%d" % wait, *([BIG] if big else []))

        made = Attempt(
            1, encode_command, now_ms() + 60_000, ended, latest_send_at=0.0 if late else float("inf")
        )
        self.tries.append((made, result))
        self.pool.send(made)

    def out(self) -> list[tuple[Attempt, AttemptResult]]:
        return [(attempt, result) for attempt, result in self.tries if not attempt.has_ended]

    def end(self, reason: EndReason) -> None:
        for attempt, _ in self.out()[:1]:
            self.pool.cancel_attempt(attempt, reason)

    def connect_time(self) -> None:
        for attempt, _ in self.out():
            if attempt.connection is not None and not attempt.connection.is_connected:
                return attempt.connection.end(EndReason.CONNECT_TIMEOUT)

    def move(self) -> None:
        self.at = 1 - self.at
        self.list()

    def restart(self) -> None:
        self.born += 1
        self.list()

    def drain(self) -> None:
        self.ready = False
        self.list()

    def back(self) -> None:
        self.ready = True
        self.list()

    def read(self) -> None:
        for server in self.servers:
            server.read()

    def answer(self, how: str) -> None:
        for link in self.links():
            if link.over or len(link.got) == link.answered:
                continue
            number = link.got[-1]
            link.answered += 1
            whole = served(number)
            link.say({"served": whole, "busy": b"-BUSY\r\n", "failed": b"-ERR failed\r\n",
                      "twice": whole + whole, "part": whole[:9], "noise": b"?\r\n"}[how])  # fmt: skip
            if how == "part":
                link.over = True
            return

    def again(self) -> None:
        """Sends a second answer after the first one was consumed."""
        for link in self.links():
            if not link.over and link.got and len(link.got) == link.answered:
                return link.say(served(link.got[-1]))

    def early(self, how: bytes) -> None:
        """Sends an answer before the request is complete.

        A gateway that has sent the whole request can't tell whether the backend has read it.
        """
        for link in self.links():
            if not link.over and not link.holds_whole_request():
                link.over = True
                return link.say(how)

    def hang_up(self, reset: bool) -> None:
        for link in self.links():
            if not link.over:
                return link.close(reset)

    def links(self) -> list[Link]:
        return [link for server in self.servers for link in server.links]

    # ---- the end ----

    async def check(self) -> None:
        for attempt, _ in self.out():
            self.pool.cancel_attempt(attempt, EndReason.ABANDONED)
        self.pool.close()
        assert not self.pool.connections and not self.pool.buffered_bytes
        self.read()
        assert not self.wrong, self.wrong
        got = [number for link in self.links() for number in link.got]
        assert len(got) == len(set(got)), "an attempt was received twice"
        for number, (_, result) in enumerate(self.tries):
            assert len(result.outcomes) == 1, f"{number} ended {len(result.outcomes)} times"
            (how,) = result.outcomes
            if how in (Outcome.CONNECT, Outcome.IGNORED):
                assert number not in got, f"{number} was received completely and ended as {how.value}"
            if how is Outcome.OK:
                assert number in got and result.value == b"%d" % number, (
                    f"{number} was served {result.value!r}"
                )

    def close(self) -> None:
        for server in self.servers:
            server.listener.close()
            for link in server.links:
                link.socket.close()


STEPS: dict[str, Callable[[Play], object]] = {
    "send": lambda p: p.send(),
    "send big": lambda p: p.send(big=True),
    "send late": lambda p: p.send(late=True),
    "time": lambda p: p.end(EndReason.ATTEMPT_TIMEOUT),
    "call off": lambda p: p.end(EndReason.ABANDONED),
    "connect time": lambda p: p.connect_time(),
    "move": lambda p: p.move(),
    "restart": lambda p: p.restart(),
    "drain": lambda p: p.drain(),
    "back": lambda p: p.back(),
    "read": lambda p: p.read(),
    "served": lambda p: p.answer("served"),
    "busy": lambda p: p.answer("busy"),
    "failed": lambda p: p.answer("failed"),
    "twice": lambda p: p.answer("twice"),
    "part": lambda p: p.answer("part"),
    "noise": lambda p: p.answer("noise"),
    "again": lambda p: p.again(),
    "early busy": lambda p: p.early(b"-BUSY\r\n"),
    "early value": lambda p: p.early(served(999)),
    "end": lambda p: p.hang_up(False),
    "reset": lambda p: p.hang_up(True),
}
WAITS = {"turn": 0.0005, "rest": 2 * REUSE_DELAY_MS / 1000}
OFTEN = [*["turn"] * 10, "rest", *["send", "read", "served"] * 4]
ORDERS = st.lists(st.sampled_from([*STEPS, *OFTEN]), max_size=24)


def run_play(steps: list[str]) -> None:
    async def run() -> None:
        play = Play()
        try:
            for step in steps:
                if step in WAITS:
                    await asyncio.sleep(WAITS[step])
                else:
                    STEPS[step](play)
            await play.check()
        finally:
            play.pool.close()
            play.close()

    uvloop.run(run())


@settings(max_examples=150, deadline=None, suppress_health_check=list(HealthCheck))
@given(ORDERS)
def test_drawn_orders_of_all_events(steps: list[str]) -> None:
    run_play(steps)


COMPLETE_REQUEST = ["send", "turn", "turn", "read", "turn"]  # one complete request
KNOWN_ORDERS: dict[str, list[str]] = {
    "end after the last byte": [*COMPLETE_REQUEST, "end", "turn"],
    "reset after the last byte": [*COMPLETE_REQUEST, "reset", "turn"],
    "time after the last byte": [*COMPLETE_REQUEST, "time"],
    "idle end in the kernel": [
        *COMPLETE_REQUEST,
        "served",
        "rest",
        "end",
        "send",
        "turn",
        "read",
        "served",
        "turn",
    ],
    "second answer in the kernel": [
        *COMPLETE_REQUEST,
        "served",
        "rest",
        "again",
        "send",
        "turn",
        "read",
        "turn",
    ],
    "moved while connecting": ["send", "move", "turn", "turn", "read"],
    "restarted while connecting": ["send", "restart", "turn", "turn", "read"],
    "drained while connecting": ["send", "drain", "turn", "turn", "read"],
    "too late while connecting": ["send late", "turn", "turn", "read"],
    "restarted while idle": [
        *COMPLETE_REQUEST,
        "served",
        "rest",
        "restart",
        "send",
        "turn",
        "read",
        "served",
        "turn",
    ],
    "up as its time ends": ["send", "connect time", "turn", "read"],
    "up as it is called off": ["send", "call off", "turn", "read"],
    "busy before the last byte": ["send big", "turn", "turn", "read", "early busy", "turn", "turn"],
    "value before the last byte": ["send big", "turn", "turn", "early value", "turn", "turn"],
    "value before the first byte": ["send", "read", "early value", "turn", "turn"],
    "end before the first byte": ["send", "read", "end", "turn", "turn"],
    # The backend has not read the request, but the kernel holds all of it, so no value is early.
    "value while the request is unread": ["send", "turn", "turn", "early value", "turn"],
    "cut in the middle": [*COMPLETE_REQUEST, "part", "turn", "end", "turn"],
}


@pytest.mark.parametrize("name", KNOWN_ORDERS)
def test_known_difficult_orders(name: str) -> None:
    run_play(KNOWN_ORDERS[name])


def plant(monkeypatch: pytest.MonkeyPatch, where: Any, name: str, value: Any) -> None:
    monkeypatch.setattr(where, name, value)


def blind_write(self: Connection) -> None:
    """`Connection.write` without the checks before the first byte."""
    attempt = self.attempt
    assert attempt is not None
    self.unsent = memoryview(attempt.encode(1))
    self.body = attempt.body
    self._flush()


def table_with_connect_for(reason: EndReason) -> dict[Stage, dict[EndReason, Outcome]]:
    return {**OUTCOMES, Stage.SENT: {**OUTCOMES[Stage.SENT], reason: Outcome.CONNECT}}


PLANTED_BUGS: dict[str, tuple[Any, str, Any]] = {
    "a reset never ran": (outcomes, "OUTCOMES", table_with_connect_for(EndReason.CONNECTION_ERROR)),
    "a time-out never ran": (outcomes, "OUTCOMES", table_with_connect_for(EndReason.ATTEMPT_TIMEOUT)),
    "idle connections are not looked at": (Connection, "is_alive", lambda self: True),
    "nothing is checked again before the first byte": (Connection, "write", blind_write),
    "a connection leads wherever the host is": (BackendPools, "is_current", lambda self, connection: True),
    "an ended attempt stays on its connection": (Connection, "end", lambda self, reason, detail="":
        self.attempt and self.attempt.end(resolve_outcome(self.get_stage(), reason))),
}  # fmt: skip


@pytest.mark.patches_inside
@pytest.mark.parametrize("mistake", PLANTED_BUGS)
def test_planted_bugs_are_found(mistake: str, monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch, *PLANTED_BUGS[mistake])
    found = []
    for name, steps in KNOWN_ORDERS.items():
        try:
            run_play(steps)
        except (AssertionError, AttributeError) as error:
            found.append(f"{name}: {error}")
    assert found, "no known order shows it"
