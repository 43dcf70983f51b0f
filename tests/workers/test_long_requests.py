"""Requests that a sound worker may keep open for long, and one that a worker never ends, as processes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import Any

import pytest
from loopback import SETTINGS, Backend, Peer, World, in_loop
from supervised import supervised
from test_process import ROOT

from roadpulley.workers.messages import encode_heartbeat, parse_overdue_s
from roadpulley.workers.supervisor import SupervisorSettings

pytestmark = pytest.mark.timeout(60)

VALUE = bytes(2 * 1024 * 1024)
VALUE_S = 8.0  # its backend takes as long to write it
DEADLINE_S = 6.0
CLASSES: list[dict[str, Any]] = [
    {"name": "view", "aim": 3_000.0, "deadline": 3_000.0, "effect": "pure", "importance": 1.0},
    {"name": "pay", "aim": 2_000.0, "deadline": 2_000.0, "effect": "side_effect", "importance": 1.0},
]


class SlowBackend(Backend):
    """Hangs on `hang` requests, writes the value of `long` ones slowly, and answers all others at once."""

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        while (command := await peer.receive()) is not None:
            self.got.append(command)
            if command[2].startswith(b"hang"):
                continue
            if not command[2].startswith(b"long"):
                writer.write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
                continue
            whole = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(VALUE), VALUE)
            step = 64 * 1024
            for at in range(0, len(whole), step):
                writer.write(whole[at : at + step])
                await asyncio.sleep(VALUE_S * step / len(whole))


class WorkersWorld(World):
    """A gateway with two workers and the classes above."""

    def config(self) -> dict[str, Any]:
        return {**super().config(), "settings": {**SETTINGS, "classes": CLASSES}}


def test_a_sound_worker_with_requests_open_for_over_five_seconds_is_not_killed(tmp_path: Path) -> None:
    """Guards against the loss of all requests of a worker, as one of them is open for 5 s.

    The deadline is lengthened from 2 s to 6 s by a reload while such a request is open.
    """

    async def scenario() -> None:
        async with supervised(WorkersWorld(SlowBackend()), tmp_path) as gateway:
            before = asyncio.create_task(gateway.ask(b"hang0", b"pay", 2_000))
            await asyncio.sleep(0.2)
            raw = json.loads(gateway.config.read_text())
            raw["settings"]["classes"][1].update(aim=1_000 * DEADLINE_S, deadline=1_000 * DEADLINE_S)
            gateway.config.write_text(json.dumps(raw))
            gateway.process.send_signal(signal.SIGHUP)
            await gateway.wait_for("serves at port", 4)
            assert str(await before) == "ERR failed"
            began = asyncio.get_running_loop().time()
            answers = await asyncio.gather(
                *(gateway.ask(b"hang%d" % n, b"pay", int(1_000 * DEADLINE_S)) for n in range(1, 5)),
                *(gateway.ask(b"long%d" % n, b"view", 3_000) for n in range(2)),
            )
            assert [str(answer) for answer in answers[:4]] == ["ERR failed"] * 4
            assert answers[4:] == [VALUE] * 2
            assert asyncio.get_running_loop().time() - began > VALUE_S - 0.5
            assert not gateway.kills()

    in_loop(scenario)


# Registers a request that the decision module is never told of, and gives it no timer. The worker's own watch
# for what is overdue would end it, so that fails as well.
PLANTED_FAULT = """
from roadpulley.operations.overdue_watch import OverdueWatch
OverdueWatch.start = lambda self: None
from roadpulley.core.driver import Driver, Request
from roadpulley.core.clock import now_ms
on_command = Driver.on_command
def forget(self, command, slot):
    if command.id != "stuck":
        return on_command(self, command, slot)
    self.requests[command.id] = Request(command, slot, now_ms() + command.timeout_ms)
Driver.on_command = forget
"""


def test_a_worker_that_never_ends_a_request_is_killed_in_time(tmp_path: Path) -> None:
    async def scenario() -> None:
        (tmp_path / "sitecustomize.py").write_text(PLANTED_FAULT)
        path = os.pathsep.join((str(tmp_path), str(ROOT)))
        async with supervised(WorkersWorld(SlowBackend()), tmp_path, PYTHONPATH=path) as gateway:
            began = asyncio.get_running_loop().time()
            assert await gateway.ask(b"stuck", b"view", 3_000) is None  # the connection ends with the worker
            settings = SupervisorSettings()
            allowed_s = 3.0 + settings.max_request_overdue_s + 2 * settings.heartbeat_interval_s
            elapsed_s = asyncio.get_running_loop().time() - began
            assert allowed_s - 1.0 < elapsed_s < allowed_s + 1.0
            (kill,) = gateway.kills()
            assert "a request is overdue by" in kill
            await gateway.wait_for("serves at port", 3)

    in_loop(scenario)


@pytest.mark.parametrize(
    ("line", "overdue_s"),
    [("beat 9000", 0.0), (encode_heartbeat(9_000.4), 9.0), (encode_heartbeat(0.0), 0.0)],
)
def test_the_age_in_a_heartbeat_of_the_earlier_release_is_no_sign_of_a_hung_worker(
    line: str, overdue_s: float
) -> None:
    assert parse_overdue_s(line.encode().split()) == overdue_s
