"""The driver with a scripted decision module, mostly without network connections."""

from __future__ import annotations

import asyncio
import logging
import socket
import time

import pytest
from helpers import BONUS, SAFE, settings
from loopback import LOCAL, in_loop, request, until

from mintford import interface as api
from roadpulley.core.backends import BackendPools
from roadpulley.core.clock import Timers, now_ms
from roadpulley.core.driver import FAILED, Driver
from roadpulley.edges.connection import ClientConnection
from roadpulley.edges.request_parser import RequestParser
from roadpulley.edges.resp_server import RespServer
from roadpulley.edges.slots import Slot

pytestmark = pytest.mark.patches_inside  # replaces the decision module


class Module:
    """A fake decision module: records the events and returns the actions that a test configured."""

    def __init__(self) -> None:
        self.events: list[api.Event] = []
        self.answers: dict[type, list[api.Action] | Exception] = {}
        self.shed_level = 0.0

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        answer = self.answers.get(type(event), [])
        if isinstance(answer, Exception):
            raise answer
        return answer

    def events_of(self, kind: type) -> list[api.Event]:
        return [event for event in self.events if type(event) is kind]


class Scene:
    """A driver with a fake module and one client connection."""

    def __init__(self, max_open: int = 10) -> None:
        loop = asyncio.get_running_loop()
        timers = Timers(loop)
        self.backends = BackendPools(loop, timers, 250, 15_000, 1_000, 10, 1_000_000)
        terms = settings(max_attempts=2, classes=(SAFE,))
        self.driver = Driver(terms, 1, timers, self.backends, None, max_open)
        self.module = Module()
        self.driver.gateway = self.module  # type: ignore[assignment]
        self.terms = RequestParser(self.driver.settings)
        server = RespServer(loop, timers, self.driver, self.terms, 10, 1_000_000)
        self.near, self.far = socket.socketpair()
        self.connection = ClientConnection(server, self.near)

    def ask(self, id: bytes = b"r1", wait: int = 3000) -> Slot:
        slot = Slot(self.connection)
        slot.request = id.decode()
        self.connection.slots.append(slot)
        args = list(request(id, plan=BONUS.name.encode(), wait=wait))
        self.driver.on_command(self.terms.parse(args), slot)
        return slot


def test_an_exception_in_the_module_fails_its_request(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        scene = Scene()
        scene.module.answers[api.RequestArrived] = ValueError("what")
        assert scene.ask().reply == FAILED
        scene.module.answers[api.RequestArrived] = [api.Refuse("r2", 30.5)]
        assert scene.ask(b"r2").reply == b"-BUSY 31\r\n"

    in_loop(scenario)
    assert "RequestArrived could not be handled" in caplog.text


def test_reasons_of_refusals_are_logged_in_one_line(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        scene = Scene()
        for number, reason in enumerate((api.RefusalReason.CEILING,) * 2 + (api.RefusalReason.LATE,)):
            name = f"r{number}"
            scene.module.answers[api.RequestArrived] = [api.Refuse(name, 0.0, reason)]
            assert scene.ask(name.encode()).reply == b"-BUSY\r\n"
        scene.driver.start_lag_monitor()
        await until(lambda: not scene.driver.refusals)
        scene.driver.refusals_logged_at = now_ms() + 60_000  # however late the loop is, the interval runs
        scene.module.answers[api.RequestArrived] = [api.Fail("r4")]
        scene.ask(b"r4")
        looked_at = scene.driver.next_lag_check_at
        await until(lambda: scene.driver.next_lag_check_at > looked_at)
        assert scene.driver.refusals, "the next line comes after an interval"

    with caplog.at_level(logging.INFO):
        in_loop(scenario)
    (line,) = (r.getMessage() for r in caplog.records if "requests without a value" in r.getMessage())
    assert "\"the customer's ceiling is reached\": 2, 'already late, without spare capacity': 1" in line


def test_loop_lag_is_subtracted_from_the_request_timeout() -> None:
    """The client's timeout starts when it sends the request, and it ignores answers half a second late."""

    async def scenario() -> None:
        scene = Scene()
        scene.driver.start_lag_monitor()
        time.sleep(0.3)  # blocks the event loop
        scene.ask(b"first", wait=1000)  # in the same loop iteration, before the lag is measured
        first = scene.driver.requests["first"].expires_at
        assert first - now_ms() <= 1000 - 250
        await asyncio.sleep(0)
        await until(lambda: scene.driver.last_lag_ms == 0.0 and scene.driver.next_lag_check_at > now_ms())
        scene.ask(b"second", wait=1000)
        assert scene.driver.requests["second"].expires_at - now_ms() > 900

    in_loop(scenario)


def test_an_unanswered_request_is_failed_at_its_deadline() -> None:
    """A bug in the handling of a timer or a counter reply could leave the client without an answer."""

    async def scenario() -> None:
        scene = Scene()
        slot = scene.ask(wait=20)
        assert slot.reply is None
        await until(lambda: slot.answered)
        assert slot.reply == FAILED and not scene.driver.requests
        assert scene.module.events_of(api.RequestAbandoned) == [api.RequestAbandoned("r1")]

    in_loop(scenario)


def test_attempts_are_limited_and_ignored_after_the_answer() -> None:
    async def scenario() -> None:
        scene = Scene()
        send = api.Send("r1", 7)
        scene.module.answers[api.RequestArrived] = [send, send, send, api.Refuse("r1"), send]
        scene.ask()
        ended = scene.module.events_of(api.AttemptEnded)
        outcomes = [(e.attempt, e.outcome, e.finished) for e in ended if isinstance(e, api.AttemptEnded)]
        assert outcomes == [
            (0, api.Outcome.CONNECT, False),  # a backend that was never listed
            (1, api.Outcome.CONNECT, False),
            (2, api.Outcome.IGNORED, False),
            (0, api.Outcome.IGNORED, True),
        ]

    in_loop(scenario)


def test_an_attempt_timeout_leaves_the_request_open() -> None:
    async def scenario() -> None:
        scene = Scene()
        server = await asyncio.start_server(lambda *_: None, LOCAL, 0)
        port = server.sockets[0].getsockname()[1]
        scene.backends.update(7, (LOCAL, port), api.BackendState.READY)
        scene.module.answers[api.RequestArrived] = [api.Send("r1", 7, timeout=20.0)]
        scene.module.answers[api.AttemptEnded] = [api.Refuse("r1")]
        slot = scene.ask()
        await until(lambda: slot.answered)
        (ended,) = scene.module.events_of(api.AttemptEnded)
        assert isinstance(ended, api.AttemptEnded)
        assert (ended.outcome, ended.finished) == (api.Outcome.TIMED_OUT, False) and ended.elapsed >= 20
        assert slot.reply == b"-BUSY\r\n"
        server.close()

    in_loop(scenario)


def test_requests_above_the_open_limit_are_refused() -> None:
    async def scenario() -> None:
        scene = Scene(max_open=1)
        assert scene.ask().reply is None
        assert scene.ask(b"r2").reply == b"-BUSY\r\n"
        assert len(scene.module.events) == 1

    in_loop(scenario)


def test_without_a_counter_calls_end_as_connect() -> None:
    async def scenario() -> None:
        scene = Scene()
        scene.module.answers[api.RequestArrived] = [api.AddToCounter("n", 1.0, 100.0)]
        scene.ask()
        assert scene.module.events_of(api.CounterReplied) == [
            api.CounterReplied("n", api.Outcome.CONNECT, 0.0)
        ]

    in_loop(scenario)


def test_a_repeat_limits_the_sending_of_the_attempts_that_are_open() -> None:
    """Otherwise the first attempt could come whole after the backends have forgotten the repeat."""

    async def scenario() -> None:
        scene = Scene()
        with socket.create_server((LOCAL, 0)) as listener:
            for backend in (0, 1):
                scene.backends.update(backend, listener.getsockname(), api.BackendState.READY)
            scene.module.answers[api.RequestArrived] = [api.Send("r1", 0)]
            scene.ask()
            deadline = now_ms() + 500
            scene.module.answers[api.RequestAbandoned] = [
                api.Send("r1", 1, attempt=1, send_deadline=deadline)
            ]
            scene.driver.handle_event(api.RequestAbandoned("another"))
            assert [a.latest_send_at for a in scene.driver.attempts.values()] == [deadline, deadline]
            scene.backends.close()

    in_loop(scenario)
