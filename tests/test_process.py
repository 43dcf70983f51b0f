"""The program as a process: start, SIGTERM, exit code."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from helpers import settings
from loopback import (
    LOCAL,
    Backend,
    Peer,
    Reply,
    Server,
    World,
    in_loop,
    refused_start,
    request,
    reserved_port,
    running,
    until,
)

from mintford import interface as api
from roadpulley.core import clock
from roadpulley.core.settings import ConfigError, parse_config
from roadpulley.operations.drain_times import compute_drain_times

ROOT = Path(__file__).parents[1]
Start = Callable[[Path], Awaitable[asyncio.subprocess.Process]]


async def start(config: Path) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "roadpulley",
        cwd=ROOT,
        env={**os.environ, "LB_CONFIG": str(config)},
        stderr=asyncio.subprocess.PIPE,
    )


async def connect(port: int) -> Peer:
    while True:
        try:
            return Peer(*await asyncio.open_connection(LOCAL, port))
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)


@asynccontextmanager
async def started(
    world: World, folder: Path, *others: Server, how: Start = start, **addresses: str
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Path]]:
    """The program as a process in a world, and its configuration file. It may not be serving yet."""
    servers = [*world.backends, world.counter, world.discovery, *others]
    for server in servers:
        await server.start()
    config = folder / "config.json"
    config.write_text(json.dumps({**world.config(), **addresses}))
    process = await how(config)
    try:
        yield process, config
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        for server in servers:
            await server.stop()


@asynccontextmanager
async def launched(
    world: World, folder: Path, *others: Server
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Path, int]]:
    """Like `started`, with the port as well."""
    with reserved_port() as port:
        async with started(world, folder, *others, listen=port.address) as (process, config):
            yield process, config, port.number


class BlockedScript:
    """A backend script that answers after `go_on` is set."""

    def __init__(self) -> None:
        self.go_on = asyncio.Event()

    async def __call__(self, command: list[bytes]) -> Reply:
        await self.go_on.wait()
        return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


def test_the_port_of_a_process_is_reserved_before_it_listens(tmp_path: Path) -> None:
    """Otherwise a backend of the same test can be given that port, and is taken for the gateway."""

    async def scenario() -> None:
        world = World(Backend())
        world.discovery.hush(True)  # the process waits for its first list before it listens
        async with launched(world, tmp_path) as (process, _, port):
            with socket.socket() as other, pytest.raises(OSError, match="in use"):
                other.bind((LOCAL, port))
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection((LOCAL, port))
            assert process.returncode is None

    in_loop(scenario)


def test_sigterm_completes_open_requests_and_exits_with_0(tmp_path: Path) -> None:
    async def scenario() -> None:
        script = BlockedScript()
        backend = Backend(script)
        async with launched(World(backend), tmp_path) as (process, _, port):
            peer, idle = await connect(port), await connect(port)
            peer.send(b"PING")
            assert await peer.receive() == b"PONG"
            peer.send(*request(name=b"wipe"))  # completed before the process exits
            await until(lambda: backend.got)
            process.send_signal(signal.SIGTERM)
            late = await connect(port)  # the front may still send new connections
            late.send(b"PING")
            assert await late.receive() == b"PONG"
            assert process.returncode is None
            script.go_on.set()
            assert await peer.receive() == b"value"
            assert await idle.receive() is None  # closed between requests
            assert await peer.receive() is None
            assert await process.wait() == 0

    in_loop(scenario)


def test_sighup_applies_new_addresses_and_keeps_open_requests(tmp_path: Path) -> None:
    async def scenario() -> None:
        script = BlockedScript()
        backend, late = Backend(script), Backend()
        world, other = World(backend), World(late)
        others = [late, other.counter, other.discovery]
        async with launched(world, tmp_path, *others) as (process, config, port):
            other.discovery.whole = {"seq": 3, "whole": True, "hosts": other.hosts()}
            peer, second = await connect(port), await connect(port)
            peer.send(*request(name=b"wipe", plan=b"basic"))  # completed despite the reload
            await until(lambda: backend.got)
            config.write_text("not a configuration")
            process.send_signal(signal.SIGHUP)
            second.send(b"PING")
            assert await second.receive() == b"PONG"
            assert process.returncode is None
            config.write_text(json.dumps({**other.config(), "listen": f"{LOCAL}:1"}))
            process.send_signal(signal.SIGHUP)
            await until(lambda: other.discovery.watches)
            second.send(*request(b"second", name=b"wipe"))
            assert await second.receive() == b"value"
            assert len(late.got) == 1
            third = await connect(port)  # the `listen` address doesn't change
            third.send(*request(b"third", plan=b"basic", customer=b"00000000b4d65522"))
            assert await third.receive() == b"value"
            await until(lambda: other.counter.got)
            script.go_on.set()
            assert await peer.receive() == b"value"
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    in_loop(scenario)


def test_requests_open_at_the_end_of_a_drain_are_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    """SIGKILL would leave the client without an answer. The request may have run, so it isn't refused."""
    monkeypatch.setattr("roadpulley.__main__.compute_drain_times", lambda settings: (0.05, 0.1))

    async def silent(command: list[bytes]) -> Reply:
        return None

    async def scenario() -> None:
        backend = Backend(silent)
        async with running(World(backend)) as world:
            peer = await world.client()
            peer.send(*request())
            await until(lambda: backend.got)
            world.stop.set()
            assert str(await peer.receive()) == "ERR failed"
            assert await peer.receive() is None

    in_loop(scenario)


@pytest.mark.parametrize(
    ("latency_target", "deadline", "times"),
    [(390.0, 1400.0, (1.41, 1.8)), (1500.0, 4000.0, (1.9, 3.4)), (3000.0, 3000.0, (0.45, 3.4))],
)
def test_drain_times_end_before_sigkill(
    latency_target: float, deadline: float, times: tuple[float, float]
) -> None:
    """SIGKILL follows SIGTERM after the longest deadline, at most 3 s, plus 0.7 s."""
    kind = api.RequestClass("view", latency_target, deadline)
    assert compute_drain_times(settings(classes=(kind,))) == pytest.approx(times)
    assert times[1] <= min(deadline / 1000, 3) + 0.7


def test_existing_connections_are_served_during_a_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    """There is no other gateway for these clients until this one has restarted."""
    monkeypatch.setattr("roadpulley.__main__.compute_drain_times", lambda settings: (0.3, 0.6))

    async def scenario() -> None:
        async with running(World(Backend())) as world:
            peer = await world.client()
            world.stop.set()
            served = 0
            while await world.ask(peer, id=b"%d" % served) == b"value":
                served += 1
            assert served > 1

    in_loop(scenario)


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"listen": "here", "discovery": "there", "settings": {}}'])
def test_an_invalid_configuration_is_reported_in_one_line(tmp_path: Path, text: str) -> None:
    config = tmp_path / "config.json"
    config.write_text(text)
    assert refused_start(config)


def test_settings_are_parsed_from_the_simulator_s_format() -> None:
    config = parse_config(
        {
            "listen": "10.0.0.4:6379",
            "discovery": "10.2.0.1:8500",
            "seed": "ff",
            "settings": {"selfIndex": 2, "caps": {"maxAttempts": 4, "keepalive": 9000.0}},
        }
    )
    assert config.settings.index == 2 and config.settings.max_attempts == 4
    assert (config.keepalive_ms, config.seed, config.counter) == (9000.0, 255, None)
    with pytest.raises(ConfigError):
        parse_config({"listen": "10.0.0.4:6379", "discovery": "x", "settings": {}})


def test_timers_never_fire_early_and_keep_their_order(monkeypatch: pytest.MonkeyPatch) -> None:
    """The decision module ignores a timer that fires early, so its request would never end."""

    async def scenario() -> None:
        timers = clock.Timers(asyncio.get_running_loop())
        start = clock.now_ms()
        early: list[float] = []
        fired: list[int] = []

        def fire(order: int, due: float) -> None:
            fired.append(order)
            early.append(due - clock.now_ms())

        waits = [3.4, 0.6, 2.5, 0.0, 7.7, 1.49]
        for wait in waits:
            order, due = waits.index(wait), start + wait
            timers.call_at(due, lambda order=order, due=due: fire(order, due))  # type: ignore[misc]
        await until(lambda: len(fired) == len(waits))
        assert fired == [3, 1, 5, 2, 0, 4] and max(early) <= 0

    in_loop(scenario)


def test_an_exception_in_one_timer_does_not_lose_the_others() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: faults.append(context["exception"]))
        timers, fired, due = clock.Timers(loop), list[int](), clock.now_ms() + 5
        faults: list[Exception] = []

        def early() -> None:
            fired.append(0)
            timers.call_at(0.0, lambda: fired.append(1))  # before the tick that is being called
            raise ValueError

        timers.call_at(due, early)
        for index in (2, 3, 4):
            timers.call_at(due + index / 10, lambda index=index: fired.append(index))  # type: ignore[misc]
        await until(lambda: len(fired) == 5)
        assert sorted(fired) == [0, 1, 2, 3, 4] and fired[0] == 0
        assert [type(fault) for fault in faults] == [ValueError] and not timers._slots

    in_loop(scenario)


def test_a_cancelled_timer_does_not_fire() -> None:
    async def scenario() -> None:
        timers = clock.Timers(asyncio.get_running_loop())
        fired: list[str] = []
        start = clock.now_ms()
        timers.call_at(start + 5, lambda: fired.append("cancelled")).cancel()
        timers.call_at(start + 10, lambda: fired.append("kept"))
        await until(lambda: fired)
        assert fired == ["kept"] and not timers._slots

    in_loop(scenario)


@pytest.mark.parametrize("key", ["groupSize", "selfIndex"])
@pytest.mark.parametrize("value", [-1, 0.5, "four", True, [3], float("nan")])
def test_an_invalid_group_size_or_index_is_rejected_at_load(key: str, value: object) -> None:
    raw = {"listen": "10.0.0.4:6379", "discovery": "10.2.0.1:8500", "settings": {key: value}}
    with pytest.raises(ConfigError, match=rf"settings\.{key} is .*; give a whole number from"):
        parse_config(raw)


def test_a_group_size_of_0_is_rejected_and_defaults_to_1() -> None:
    raw = {"listen": "10.0.0.4:6379", "discovery": "10.2.0.1:8500", "settings": {"groupSize": 0}}
    with pytest.raises(ConfigError, match="groupSize is 0"):
        parse_config(raw)
    assert parse_config({**raw, "settings": {"groupSize": None}}).settings.gateways == 1
    assert parse_config({**raw, "settings": {"groupSize": 40.0, "selfIndex": 41}}).settings.gateways == 40
