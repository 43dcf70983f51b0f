"""The link between two processes on real sockets: what breaks at each step, and what then holds."""

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
from roadpulley.operations import link as module
from roadpulley.operations.handover import HELLO, encode_message
from roadpulley.operations.link import Link

ROOT = Path(__file__).parents[2]


class Driver:
    """Stands in for the driver: keeps the events, and gives an empty estate for each part."""

    def __init__(self) -> None:
        self.events: list[api.Event] = []
        self.hand_over: Any = lambda estate: None

    def handle_event(self, event: api.Event) -> None:
        self.events.append(event)
        if isinstance(event, api.GatewayShareChanged):
            self.hand_over(api.HandoverState(1.0, (), (), 0.0, 0.0))

    def parts(self) -> list[float]:
        return [event.share for event in self.events if isinstance(event, api.GatewayShareChanged)]

    def inherited(self) -> int:
        return sum(isinstance(event, api.HandoverReceived) for event in self.events)


class Ends:
    """Links of processes that come one after another, in one folder."""

    def __init__(self, folder: Path) -> None:
        self.path = str(folder / "link")
        self.served: list[bool] = []

    def link(self) -> tuple[Link, Driver]:
        driver = Driver()
        return Link("n0", driver, self.served.append, self.path), driver  # type: ignore[arg-type]


def test_a_whole_hand_over_and_a_second_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        ends = Ends(tmp_path)
        (first, one), (second, two), (third, three) = ends.link(), ends.link(), ends.link()
        await first.take_over()
        assert not one.events  # nobody is there: as after a crash
        await first.listen()
        for before, old, after, new in ((first, one, second, two), (second, two, third, three)):
            await after.take_over()
            assert old.parts()[-1] == 0.5 == new.parts()[-1] and new.inherited() == 1
            ends.served.clear()
            await after.announce_serving()
            await until(lambda: ends.served == [True])
            await before.close()
            assert old.parts()[-1] == 0.0
            await until(lambda new=new: new.parts()[-1] == 1.0 and new.inherited() == 2)
            await until(lambda after=after: after.server is not None)
        await third.close()

    in_loop(scenario)


def test_a_successor_that_dies_before_or_after_its_yes_leaves_the_old_one_whole(tmp_path: Path) -> None:
    async def scenario() -> None:
        ends = Ends(tmp_path)
        first, one = ends.link()
        await first.listen()
        for serves in (False, True):
            after, _ = ends.link()
            await after.take_over()
            if serves:
                await after.announce_serving()
                await until(lambda: True in ends.served)
            assert after.predecessor is not None
            after.predecessor.writer.transport.abort()
            await until(lambda: one.parts()[-1] == 1.0 and ends.served[-1] is False)
        last, new = ends.link()  # and another one is welcome
        await last.take_over()
        assert new.inherited() == 1
        await last.close()
        await first.close()

    in_loop(scenario)


def test_an_old_process_that_dies_leaves_the_rates_and_not_what_it_held(tmp_path: Path) -> None:
    async def scenario() -> None:
        ends = Ends(tmp_path)
        (first, _), (second, two) = ends.link(), ends.link()
        await first.listen()
        await second.take_over()
        await second.announce_serving()
        await until(lambda: first.successor is not None)
        assert first.successor is not None
        first.successor.transport.abort()
        await until(lambda: two.parts()[-1] == 1.0)
        assert two.inherited() == 1
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
def test_whoever_does_not_answer_as_it_should_is_taken_for_one_that_serves(
    tmp_path: Path, reply: bytes | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "REPLY_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        ends = Ends(tmp_path)

        async def stranger(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            if reply is None:  # without end
                while not writer.is_closing():
                    writer.write(b"x" * 65536)
                    await writer.drain()
            writer.write(reply or b"")
            if not reply:
                await asyncio.Event().wait()  # silent
            writer.close()

        server = await asyncio.start_unix_server(stranger, ends.path)
        link, driver = ends.link()
        await link.take_over()
        (event,) = driver.events
        assert isinstance(event, api.HandoverReceived)
        assert event.handover_state.complete_since > module.now_ms() + module.MAX_OVERLAP_MS / 2
        server.close()

    in_loop(scenario)


@pytest.mark.parametrize(
    "line", [b"garbled\n", encode_message("serving", "n0"), encode_message(HELLO, "n1"), b"", b"x" * 100_000]
)
def test_a_stranger_is_given_nothing(tmp_path: Path, line: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "REPLY_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        ends = Ends(tmp_path)
        link, driver = ends.link()
        await link.listen()
        reader, writer = await asyncio.open_unix_connection(ends.path)
        writer.write(line)
        assert await reader.read() == b"" and not driver.events
        writer.close()
        await link.close()

    in_loop(scenario)


def test_a_stale_leftover_is_no_predecessor(tmp_path: Path) -> None:
    async def scenario() -> None:
        ends = Ends(tmp_path)
        gone = socket.socket(socket.AF_UNIX)
        gone.bind(ends.path)
        gone.close()
        link, driver = ends.link()
        await link.take_over()
        assert not driver.events
        await link.listen()
        second, two = ends.link()
        await second.take_over()
        assert two.inherited() == 1
        await second.close()
        await link.close()

    in_loop(scenario)


# ---- as processes ----


class Upgraded:
    """A gateway whose processes share a listener and a folder."""

    def __init__(self, folder: Path, world: World) -> None:
        self.folder, self.world = folder, world
        self.listener = socket.create_server((LOCAL, 0))
        self.port = self.listener.getsockname()[1]
        self.processes: list[asyncio.subprocess.Process] = []
        self.said: list[list[str]] = []
        self.readers: list[asyncio.Task[None]] = []

    async def start(self) -> int:
        number = await self.spawn()
        await self.heard(number, "serves at")
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
        self.said.append(lines)
        self.readers.append(asyncio.create_task(self.read(process, lines)))
        return len(self.processes) - 1

    async def read(self, process: asyncio.subprocess.Process, lines: list[str]) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            lines.append(line.decode())

    async def heard(self, number: int, words: str) -> None:
        await until(lambda: any(words in line for line in ["", *self.said[number]]))

    async def close(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for reader in self.readers:
            await reader
        self.listener.close()


async def slowly(command: list[bytes]) -> Reply:
    """So that requests are open at any moment."""
    await asyncio.sleep(0.03)
    return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


async def played(folder: Path, play: Any) -> None:
    world = World(Backend(slowly))
    servers = [*world.backends, world.counter, world.discovery]
    for server in servers:
        await server.start()
    upgraded = Upgraded(folder, world)
    try:
        await play(upgraded)
    finally:
        await upgraded.close()
        for server in servers:
            await server.stop()


async def asked(upgraded: Upgraded, id: bytes) -> Any:
    peer = Peer(*await asyncio.open_connection(LOCAL, upgraded.port))
    peer.send(*request(id))
    got = await peer.receive()
    peer.close()
    return got


@pytest.fixture
def short_folder() -> Iterator[Path]:
    """A Unix socket has a path of some 100 bytes; pytest's folders exceed it from the hundredth run on."""
    with tempfile.TemporaryDirectory() as folder:
        yield Path(folder)


def test_the_old_process_gives_all_when_it_is_stopped(short_folder: Path) -> None:
    async def play(upgraded: Upgraded) -> None:
        await upgraded.start()
        assert await asked(upgraded, b"1") == b"value"
        new = await upgraded.start()
        await upgraded.heard(new, "customers' leases taken over")
        upgraded.processes[0].send_signal(signal.SIGTERM)
        assert await upgraded.processes[0].wait() == 0
        await upgraded.heard(new, "all is taken over")
        assert await asked(upgraded, b"2") == b"value"

    in_loop(lambda: played(short_folder, play))


def test_either_process_may_be_killed_beside_the_other(short_folder: Path) -> None:
    async def play(upgraded: Upgraded) -> None:
        await upgraded.start()
        new = await upgraded.start()
        upgraded.processes[new].kill()
        await upgraded.heard(0, "stands for the whole again")
        assert await asked(upgraded, b"1") == b"value"
        new = await upgraded.start()
        upgraded.processes[0].kill()
        await upgraded.heard(new, "with what it held")
        assert await asked(upgraded, b"2") == b"value"
        last = await upgraded.start()  # and one more takes over from that
        await upgraded.heard(last, "customers' leases taken over")

    in_loop(lambda: played(short_folder, play))


# What the new process has said by then.
STEPS = ["", "customers' leases taken over", "list heard", "serves at"]


@pytest.mark.alone
@pytest.mark.parametrize("who", ["old", "new", "both"])
def test_a_stop_at_any_step_of_a_hand_over_loses_no_request(who: str) -> None:
    async def one(step: str) -> None:
        with tempfile.TemporaryDirectory() as folder:  # short: the path of a Unix socket holds some 100 bytes
            await played(Path(folder), partial(stopped_at, step=step, who=who))

    async def steps() -> None:
        await asyncio.gather(*map(one, STEPS))

    in_loop(steps)


async def stopped_at(upgraded: Upgraded, step: str, who: str) -> None:
    """Two clients ask on and on; a request whose connection ends with no answer goes again elsewhere."""
    answers: list[str] = []

    async def client(name: int) -> None:
        number = 0
        while True:
            peer = Peer(*await asyncio.open_connection(LOCAL, upgraded.port))
            while True:
                peer.send(*request(b"%d-%d" % (name, number)))
                if (got := await peer.receive()) is None:
                    break
                answers.append(str(got))
                number += 1
                await asyncio.sleep(0.002)
            peer.close()

    await upgraded.start()
    clients = [asyncio.create_task(client(name)) for name in range(2)]
    await until(lambda: len(answers) > 20)
    new = await upgraded.spawn()
    await upgraded.heard(new, step)
    told = {"old": [0], "new": [new], "both": [0, new]}[who]
    for one in told:
        upgraded.processes[one].send_signal(signal.SIGTERM)
    for one in told:
        # A process that was not yet there to be told ends by the signal itself.
        assert await upgraded.processes[one].wait() in ([0, -signal.SIGTERM] if not step else [0])
    if who != "both":
        after = len(answers)
        await until(lambda: len(answers) > after + 20)
    for task in clients:
        task.cancel()
    asked = [command[2] for command in upgraded.world.backends[0].got]
    assert len(asked) == len(set(asked))  # sent on twice: it was taken, and its answer was lost
    assert all(answer == "b'value'" or answer.startswith("BUSY") for answer in answers), set(answers)
