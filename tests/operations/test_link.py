"""The handover link between two processes over real sockets, with failures at each step."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from loopback import LOCAL, Backend, Peer, Reply, World, in_loop, request, until

from mintford import interface as api
from roadpulley.core.recent_requests import RecentRequests
from roadpulley.operations import link as module
from roadpulley.operations.handover import HELLO, encode_message
from roadpulley.operations.link import Link

ROOT = Path(__file__).parents[2]


class Driver:
    """A fake driver. It records the events, and hands over an empty state at each change of the share."""

    def __init__(self) -> None:
        self.events: list[api.Event] = []
        self.recent_requests = RecentRequests(100)
        self.hand_over: Any = lambda state: None

    def handle_event(self, event: api.Event) -> None:
        self.events.append(event)
        if isinstance(event, api.GatewayShareChanged):
            self.hand_over(api.HandoverState(1.0, (), (), 0.0, 0.0))

    def shares(self) -> list[float]:
        return [event.share for event in self.events if isinstance(event, api.GatewayShareChanged)]

    def handover_count(self) -> int:
        return sum(isinstance(event, api.HandoverReceived) for event in self.events)


class LinkFactory:
    """Creates the links of successive processes at one socket path."""

    def __init__(self, folder: Path) -> None:
        self.path = str(folder / "link")
        self.successor_changes: list[bool] = []

    def link(self) -> tuple[Link, Driver]:
        driver = Driver()
        return Link("n0", driver, self.successor_changes.append, self.path), driver  # type: ignore[arg-type]


def test_two_complete_handovers_in_a_row(tmp_path: Path) -> None:
    async def scenario() -> None:
        factory = LinkFactory(tmp_path)
        (first, one), (second, two), (third, three) = factory.link(), factory.link(), factory.link()
        await first.take_over()
        assert not one.events  # no predecessor: starts as after a crash
        await first.listen()
        for before, old, after, new in ((first, one, second, two), (second, two, third, three)):
            await after.take_over()
            assert old.shares()[-1] == 0.5 == new.shares()[-1] and new.handover_count() == 1
            factory.successor_changes.clear()
            await after.announce_serving()
            await until(lambda: factory.successor_changes == [True])
            await before.close()
            assert old.shares()[-1] == 0.0
            await until(lambda new=new: new.shares()[-1] == 1.0 and new.handover_count() == 2)
            await until(lambda after=after: after.server is not None)
        await third.close()

    in_loop(scenario)


def test_old_process_has_the_whole_share_after_the_successor_dies(tmp_path: Path) -> None:
    async def scenario() -> None:
        factory = LinkFactory(tmp_path)
        first, one = factory.link()
        await first.listen()
        for serves in (False, True):
            after, _ = factory.link()
            await after.take_over()
            if serves:
                await after.announce_serving()
                await until(lambda: True in factory.successor_changes)
            assert after.predecessor is not None
            after.predecessor.writer.transport.abort()
            await until(lambda: one.shares()[-1] == 1.0 and factory.successor_changes[-1] is False)
        last, new = factory.link()  # another successor is accepted
        await last.take_over()
        assert new.handover_count() == 1
        await last.close()
        await first.close()

    in_loop(scenario)


def test_old_process_that_dies_gives_up_its_share_but_not_its_units(tmp_path: Path) -> None:
    async def scenario() -> None:
        factory = LinkFactory(tmp_path)
        (first, _), (second, two) = factory.link(), factory.link()
        await first.listen()
        await second.take_over()
        await second.announce_serving()
        await until(lambda: first.successor is not None)
        assert first.successor is not None
        first.successor.transport.abort()
        await until(lambda: two.shares()[-1] == 1.0)
        assert two.handover_count() == 1
        await first.close()
        await second.close()

    in_loop(scenario)


@pytest.mark.parametrize(
    "reply",
    [
        b"",
        b"garbled\n",
        encode_message("gives", "n0").replace(b'"v":1', b'"v":0'),
        encode_message("gives", "n0"),
        None,
    ],
)
def test_peer_without_a_valid_reply_is_assumed_to_be_serving(
    tmp_path: Path, reply: bytes | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "REPLY_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        factory = LinkFactory(tmp_path)

        async def unrelated_peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            if reply is None:  # a line without end
                while not writer.is_closing():
                    writer.write(b"x" * 65536)
                    await writer.drain()
            writer.write(reply or b"")
            if not reply:
                await asyncio.Event().wait()  # silent
            writer.close()

        server = await asyncio.start_unix_server(unrelated_peer, factory.path)
        link, driver = factory.link()
        await link.take_over()
        (event,) = driver.events
        assert isinstance(event, api.HandoverReceived)
        assert event.handover_state.complete_since > module.now_ms() + module.MAX_OVERLAP_MS / 2
        server.close()

    in_loop(scenario)


@pytest.mark.parametrize(
    "line", [b"garbled\n", encode_message("serving", "n0"), encode_message(HELLO, "n1"), b"", b"x" * 100_000]
)
def test_unrelated_peer_gets_no_state(tmp_path: Path, line: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "REPLY_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        factory = LinkFactory(tmp_path)
        link, driver = factory.link()
        await link.listen()
        reader, writer = await asyncio.open_unix_connection(factory.path)
        writer.write(line)
        assert await reader.read() == b"" and not driver.events
        writer.close()
        await link.close()

    in_loop(scenario)


def test_stale_socket_file_is_no_predecessor(tmp_path: Path) -> None:
    async def scenario() -> None:
        factory = LinkFactory(tmp_path)
        stale = socket.socket(socket.AF_UNIX)
        stale.bind(factory.path)
        stale.close()
        link, driver = factory.link()
        await link.take_over()
        assert not driver.events
        await link.listen()
        second, two = factory.link()
        await second.take_over()
        assert two.handover_count() == 1
        await second.close()
        await link.close()

    in_loop(scenario)


# ---- as processes ----


class ProcessSeries:
    """Successive processes of one gateway, which share a listener and a folder."""

    def __init__(self, folder: Path, world: World) -> None:
        self.folder, self.world = folder, world
        self.listener = socket.create_server((LOCAL, 0))
        self.port = self.listener.getsockname()[1]
        self.processes: list[asyncio.subprocess.Process] = []
        self.logs: list[list[str]] = []
        self.readers: list[asyncio.Task[None]] = []

    async def start(self) -> int:
        number = await self.spawn()
        await self.wait_for_log(number, "serves at")
        return number

    async def spawn(self) -> int:
        config = self.folder / "config.json"
        config.write_text(json.dumps({**self.world.config(), "listen": f"{LOCAL}:{self.port}"}))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "roadpulley",
            cwd=ROOT,
            env={
                **os.environ,
                "LB_CONFIG": str(config),
                "LB_ACCEPT_FD": str(self.listener.fileno()),
                "TMPDIR": str(self.folder),
            },
            pass_fds=[self.listener.fileno()],
            stderr=asyncio.subprocess.PIPE,
        )
        self.processes.append(process)
        lines: list[str] = []
        self.logs.append(lines)
        self.readers.append(asyncio.create_task(self.read(process, lines)))
        return len(self.processes) - 1

    async def read(self, process: asyncio.subprocess.Process, lines: list[str]) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            lines.append(line.decode())

    async def wait_for_log(self, number: int, words: str) -> None:
        await until(lambda: any(words in line for line in ["", *self.logs[number]]))

    async def close(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for reader in self.readers:
            await reader
        self.listener.close()


async def slow_script(command: list[bytes]) -> Reply:
    """Delays each answer, so that requests are open at any time."""
    await asyncio.sleep(0.03)
    return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


async def run_processes(folder: Path, play: Any) -> None:
    world = World(Backend(slow_script))
    servers = [*world.backends, world.counter, world.discovery]
    for server in servers:
        await server.start()
    series = ProcessSeries(folder, world)
    try:
        await play(series)
    finally:
        await series.close()
        for server in servers:
            await server.stop()


async def ask(series: ProcessSeries, id: bytes) -> Any:
    peer = Peer(*await asyncio.open_connection(LOCAL, series.port))
    peer.send(*request(id))
    reply = await peer.receive()
    peer.close()
    return reply


@pytest.fixture
def short_folder() -> Iterator[Path]:
    """The path of a Unix socket is limited to about 100 bytes, which pytest's folders can exceed."""
    with tempfile.TemporaryDirectory() as folder:
        yield Path(folder)


def test_stopped_process_hands_over_its_remaining_state(short_folder: Path) -> None:
    async def play(series: ProcessSeries) -> None:
        await series.start()
        assert await ask(series, b"1") == b"value"
        new = await series.start()
        await series.wait_for_log(new, "customers' leases taken over")
        series.processes[0].send_signal(signal.SIGTERM)
        assert await series.processes[0].wait() == 0
        await series.wait_for_log(new, "all is taken over")
        assert await ask(series, b"2") == b"value"

    in_loop(lambda: run_processes(short_folder, play))


def test_other_process_continues_when_either_is_killed(short_folder: Path) -> None:
    async def play(series: ProcessSeries) -> None:
        await series.start()
        new = await series.start()
        series.processes[new].kill()
        await series.wait_for_log(0, "stands for the whole again")
        assert await ask(series, b"1") == b"value"
        new = await series.start()
        series.processes[0].kill()
        await series.wait_for_log(new, "with what it held")
        assert await ask(series, b"2") == b"value"
        last = await series.start()  # a third process takes over from the second
        await series.wait_for_log(last, "customers' leases taken over")

    in_loop(lambda: run_processes(short_folder, play))


# What the new process has logged by the time of the stop.
STEPS = ["", "customers' leases taken over", "list heard", "serves at"]


@pytest.mark.alone
@pytest.mark.parametrize("target", ["old", "new", "both"])
def test_stop_at_any_step_of_a_handover_loses_no_request(target: str) -> None:
    async def one(step: str) -> None:
        with tempfile.TemporaryDirectory() as folder:  # short, as the socket's path is limited
            await run_processes(Path(folder), partial(stop_at_step, step=step, target=target))

    async def steps() -> None:
        await asyncio.gather(*map(one, STEPS))

    in_loop(steps)


async def stop_at_step(series: ProcessSeries, step: str, target: str) -> None:
    """Two clients send requests in a loop, and repeat one on a new connection if it got no answer."""
    answers: list[str] = []

    async def client(name: int) -> None:
        number = 0
        while True:
            peer = Peer(*await asyncio.open_connection(LOCAL, series.port))
            while True:
                peer.send(*request(b"%d-%d" % (name, number)))
                if (reply := await peer.receive()) is None:
                    break
                answers.append(str(reply))
                number += 1
                await asyncio.sleep(0.002)
            peer.close()

    await series.start()
    clients = [asyncio.create_task(client(name)) for name in range(2)]
    await until(lambda: len(answers) > 20)
    new = await series.spawn()
    await series.wait_for_log(new, step)
    stopped = {"old": [0], "new": [new], "both": [0, new]}[target]
    for one in stopped:
        series.processes[one].send_signal(signal.SIGTERM)
    for one in stopped:
        # A process that has not installed its handler yet is ended by the signal itself.
        assert await series.processes[one].wait() in ([0, -signal.SIGTERM] if not step else [0])
    if target != "both":
        after = len(answers)
        await until(lambda: len(answers) > after + 20)
    for task in clients:
        task.cancel()
    request_ids = [command[2] for command in series.world.backends[0].got]
    # A request sent twice was accepted before, and its answer was lost.
    assert len(request_ids) == len(set(request_ids))
    assert all(answer == "b'value'" or answer.startswith("BUSY") for answer in answers), set(answers)
