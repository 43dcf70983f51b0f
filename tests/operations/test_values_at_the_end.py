"""Long values that are under way when a process ends: they go on until whole, broken or stalled."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from long_value_backends import MIB, PIECE_BYTES, PacedBackend, make_value
from loopback import LOCAL, SETTINGS, Backend, Peer, in_loop, request, running, said, until
from supervised import supervised
from test_drain_and_metrics import OperatedWorld
from test_process import connect, launched

from roadpulley.core import long_answer
from roadpulley.edges import connection
from roadpulley.operations.drain_times import CLOSE_TIMEOUT_S, FINAL_ANSWER_MARGIN_S
from roadpulley.workers.supervisor import SupervisorSettings

DEADLINE_MS = 300.0
STOP_S = (
    DEADLINE_MS / 1000 + FINAL_ANSWER_MARGIN_S + CLOSE_TIMEOUT_S
)  # from SIGTERM to the end, without values
BODY = make_value(2 * MIB)
FIRST_BYTES = 100_000  # of the answer, to show that it has begun
CLASSES = [{"name": "view", "aim": 300.0, "deadline": DEADLINE_MS, "effect": "pure", "importance": 1.0}]


class ShortDeadlineWorld(OperatedWorld):
    """Deadlines so short that a process without values has ended `STOP_S` after SIGTERM."""

    def config(self) -> dict[str, Any]:
        return {**super().config(), "settings": {**SETTINGS, "classes": CLASSES}}


async def begin_value(port: int, number: int = 0) -> tuple[Peer, bytes]:
    """A client whose long value has begun, and the bytes that it has read."""
    peer = await connect(port)
    peer.send(*request(b"value%d" % number, wait=int(DEADLINE_MS)))
    return peer, await peer.reader.readexactly(FIRST_BYTES)


async def read_value(peer: Peer, received: bytes) -> bytes:
    """The whole reply, or what came of it before the end of the connection."""
    size = len(b"$%d\r\n" % len(BODY)) + len(BODY) + 2
    try:
        return received + await peer.reader.readexactly(size - len(received))
    except asyncio.IncompleteReadError as error:
        return received + error.partial


WHOLE = b"$%d\r\n%b\r\n" % (len(BODY), BODY)


@pytest.mark.parametrize("after_pause", [False, True])
def test_a_process_that_ends_passes_on_a_value_until_it_is_whole(tmp_path: Path, after_pause: bool) -> None:
    """Guards against a value that is cut off by the gateway's own end, while its backend writes on."""

    async def scenario() -> None:
        world = ShortDeadlineWorld(PacedBackend(BODY, pause_s=0.06))  # 2 s in all
        async with launched(world, tmp_path) as (process, _, port):
            peer, received = await begin_value(port)
            if after_pause:
                assert await world.call(b"PAUSE") == b"OK paused\n"
            began = time.monotonic()
            process.send_signal(signal.SIGTERM)
            await said(process, b"ends after 1 long values")
            assert time.monotonic() - began < STOP_S
            assert await world.call(b"STATUS") == b"ERR finishing\n"
            assert (await world.call(b"RESUME")).startswith(b"ERR")
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(LOCAL, port)  # it takes nothing new
            assert await read_value(peer, received) == WHOLE
            assert time.monotonic() - began > STOP_S
            assert await peer.receive() is None
            assert await process.wait() == 0

    in_loop(scenario)


def test_an_ending_process_answers_what_stands_behind_a_value_and_takes_nothing_new(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = PacedBackend(BODY, pause_s=0.06)
        async with launched(ShortDeadlineWorld(backend), tmp_path) as (process, _, port):
            peer, received = await begin_value(port)
            process.send_signal(signal.SIGTERM)
            await said(process, b"ends after 1 long values")
            peer.send(*request(b"late"))
            assert await read_value(peer, received) == WHOLE
            assert await peer.receive() is None  # without an answer: its client sends it elsewhere
            assert await process.wait() == 0
            assert [command[2] for command in backend.got] == [b"value0"]

    in_loop(scenario)


def test_a_process_that_ends_passes_held_values_on(tmp_path: Path) -> None:
    """Their hold is not over when the requests are ended, and their backend gives."""

    class LateBackend(PacedBackend):
        async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await begun.wait()
            await super().talk(reader, writer)

    begun = asyncio.Event()

    async def scenario() -> None:
        async with launched(LongTargetWorld(LateBackend(BODY, pause_s=0.06)), tmp_path) as (process, _, port):
            peer = await connect(port)
            for number in range(2):
                peer.send(*request(b"value%d" % number, wait=3_900))
            process.send_signal(signal.SIGTERM)
            await said(process, b"leaving, was stopping")
            await asyncio.sleep(2.6)  # of the 3 s until the requests are ended
            begun.set()
            await said(process, b"ends after 1 long values")  # one connection
            assert await read_value(peer, b"") == WHOLE
            assert await read_value(peer, b"") == WHOLE
            assert await peer.receive() is None
            assert await process.wait() == 0

    in_loop(scenario)


class LongTargetWorld(OperatedWorld):
    """Latency targets so long that a value may be held for the whole `MAX_HOLD_MS`."""

    def config(self) -> dict[str, Any]:
        kind = {**CLASSES[0], "aim": 3_000.0, "deadline": 4_000.0}
        return {**super().config(), "settings": {**SETTINGS, "classes": [kind]}}


def stop_giving(monkeypatch: pytest.MonkeyPatch) -> Backend:
    monkeypatch.setattr(long_answer, "STALL_TIMEOUT_MS", 1_000.0)
    return PacedBackend(BODY, pause_s=0.01, stops_after=4 * PIECE_BYTES)


def stop_reading(monkeypatch: pytest.MonkeyPatch) -> Backend:
    monkeypatch.setattr(connection, "FINISHING_STALL_TIMEOUT_MS", 1_000.0)
    return PacedBackend(BODY, pause_s=0.0)


@pytest.mark.parametrize("fault", [stop_giving, stop_reading])
def test_a_value_that_does_not_move_keeps_no_process(
    fault: Callable[[pytest.MonkeyPatch], Backend], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its backend gives nothing more, or its client takes nothing more."""

    async def scenario() -> None:
        world = ShortDeadlineWorld(fault(monkeypatch))
        async with running(world):
            peer, _ = await begin_value(world.port)
            began = time.monotonic()
            world.stop.set()
            if fault is stop_giving:
                while await peer.reader.read(65536):
                    pass
        assert time.monotonic() - began < STOP_S + 1.0 + 0.5
        peer.close()

    in_loop(scenario)


@pytest.mark.timeout(60)
def test_a_replaced_worker_is_not_killed_while_it_passes_a_value_on(tmp_path: Path) -> None:
    """Guards against the supervisor's SIGKILL, `drain_timeout_s` after the SIGTERM of a replacement."""

    async def scenario() -> None:
        pause_s = 1.5 * SupervisorSettings().drain_timeout_s * PIECE_BYTES / len(BODY)
        world = ShortDeadlineWorld(PacedBackend(BODY, pause_s))
        async with supervised(world, tmp_path) as gateway:
            peer, received = await begin_value(gateway.port)
            gateway.process.send_signal(signal.SIGHUP)
            assert await read_value(peer, received) == WHOLE
            await gateway.wait_for("serves at port", 4)
            assert not gateway.kills()

    in_loop(scenario)


def test_a_draining_worker_that_hangs_within_a_value_is_still_killed(tmp_path: Path) -> None:
    async def scenario() -> None:
        pause_s = 1.5 * SupervisorSettings().drain_timeout_s * PIECE_BYTES / len(BODY)
        async with supervised(ShortDeadlineWorld(PacedBackend(BODY, pause_s)), tmp_path) as gateway:
            peer, _ = await begin_value(gateway.port)
            gateway.process.send_signal(signal.SIGHUP)
            await gateway.wait_for("long values that are under way")
            (worker,) = [line for line in gateway.log if "long values that are under way" in line]
            began = time.monotonic()
            pids = (
                Path(f"/proc/{gateway.process.pid}/task/{gateway.process.pid}/children").read_text().split()
            )
            number = int(worker.partition("roadpulley[")[2].partition("]")[0])
            hung = next(pid for pid in pids if f"ROADPULLEY_WORKER={number}\0" in read_environment(pid))
            os.kill(int(hung), signal.SIGSTOP)
            await gateway.wait_for("is killed: it did not end in time")
            assert time.monotonic() - began < SupervisorSettings().value_report_timeout_s + 1.0
            peer.close()
            await until(lambda: gateway.kills())

    in_loop(scenario)


def read_environment(pid: str) -> str:
    return Path(f"/proc/{pid}/environ").read_text()
