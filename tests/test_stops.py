"""SIGTERM at difficult moments: each accepted request is answered, and the process exits with 0."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest
from loopback import (
    LOCAL,
    SETTINGS,
    Backend,
    Reply,
    World,
    encode,
    in_loop,
    request,
    reserved_port,
    said,
    until,
)
from test_process import ROOT, BlockedScript, connect, launched, started

SHORT_DEADLINES = {  # short deadlines: the drain ends after 0.45 s, and the process shortly after 0.7 s
    **SETTINGS,
    "classes": [{"name": "view", "aim": 300.0, "deadline": 300.0, "effect": "pure", "importance": 1.0}],
}


class ShortDeadlineWorld(World):
    def config(self) -> dict[str, Any]:
        return {**super().config(), "settings": SHORT_DEADLINES}


async def silent(command: list[bytes]) -> Reply:
    return None


def test_a_process_stopped_during_its_start_accepts_no_client(tmp_path: Path) -> None:
    """The process waits for a silent agent. The call to the agent shows that its signal handlers are set."""

    async def scenario() -> None:
        world = World(Backend())
        world.discovery.hush(True)
        async with launched(world, tmp_path) as (process, _, port):
            await until(lambda: world.discovery.requests)
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            assert process.stderr is not None
            assert b"serves at" not in await process.stderr.read()
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection((LOCAL, port))

    in_loop(scenario)


def test_a_process_with_a_silent_agent_serves_clients(tmp_path: Path) -> None:
    async def scenario() -> None:
        world = World(Backend())
        world.discovery.hush(True)
        async with launched(world, tmp_path) as (_, _, port):
            peer = await connect(port)
            peer.send(*request())
            assert await peer.receive() == b"value"
            peer.close()

    in_loop(scenario)


def test_the_agent_s_list_applies_from_the_first_request(tmp_path: Path) -> None:
    """The list of the agent is in effect, whatever list the configuration contains."""

    async def scenario() -> None:
        old, new = Backend(), Backend()

        class ChangedWorld(World):
            async def first(self, gateway: str, index: int, writer: asyncio.StreamWriter) -> None:
                hosts = [{**self.hosts()[0], "health": "draining"}]
                self.discovery.say(json.dumps({"seq": 42, "whole": False, "hosts": hosts}).encode(), writer)
                await asyncio.Event().wait()

        world = ChangedWorld(old, new)
        world.discovery.follow = world.first  # type: ignore[method-assign]
        async with launched(world, tmp_path) as (_, _, port):
            peer = await connect(port)
            for number in range(20):
                peer.send(*request(b"%d" % number))
                assert await peer.receive() == b"value"
            assert not old.got and len(new.got) == 20
            peer.close()

    in_loop(scenario)


async def deployed(config: Path) -> asyncio.subprocess.Process:
    """Starts the process with the command of `deploy/balancer.toml`."""
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    assert ".venv/bin/python" in run
    return await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        run.replace(".venv/bin/python", sys.executable),
        cwd=ROOT,
        env={**os.environ, "LB_CONFIG": str(config)},
        stderr=asyncio.subprocess.PIPE,
    )


def test_sighup_during_the_start_does_not_end_the_process(tmp_path: Path) -> None:
    """SIGHUP is sent repeatedly from the first moment of the program until it serves."""

    async def scenario() -> None:
        async with started(World(Backend()), tmp_path, how=deployed) as (process, _):
            log = process.stderr
            assert log is not None
            image = Path(f"/proc/{process.pid}/comm")
            await until(lambda: process.returncode is not None or image.read_text().startswith("python"))
            line = asyncio.create_task(log.readline())
            while not line.done() or b"serves at" not in line.result():
                if line.done():
                    assert line.result(), "it ended"
                    line = asyncio.create_task(log.readline())
                assert process.returncode is None, f"it ended with {process.returncode}"
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.001)
            process.send_signal(signal.SIGHUP)
            await said(process, b"reloaded")  # from now on reloads are handled
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    in_loop(scenario)


@pytest.mark.parametrize("key", ["listen", "admin"])
@pytest.mark.parametrize("stops", [False, True])
def test_an_address_in_use_by_another_process_is_retried(key: str, stops: bool, tmp_path: Path) -> None:
    async def scenario() -> None:
        with reserved_port() as taken, reserved_port() as free, taken.listener() as before:
            other = "admin" if key == "listen" else "listen"
            addresses = {key: taken.address, other: free.address}
            async with started(World(Backend()), tmp_path, **addresses) as (process, _):
                await said(process, b"%b is held by another process" % key.encode())
                if not stops:
                    before.close()
                    await said(process, b"serves at")
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0

    in_loop(scenario)


@pytest.mark.parametrize("key", ["listen", "admin"])
def test_an_address_of_another_machine_is_reported_in_one_line(key: str, tmp_path: Path) -> None:
    world = World()
    config = tmp_path / "config.json"
    config.write_text(json.dumps({**world.config(), "listen": f"{LOCAL}:0", key: "192.0.2.1:7000"}))
    run = subprocess.run(
        [sys.executable, "-m", "roadpulley"],
        cwd=ROOT,
        env={**os.environ, "LB_CONFIG": str(config)},
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert run.returncode == 2 and "Traceback" not in run.stderr
    assert f"bad configuration: {key} is 192.0.2.1:7000, where nobody can listen" in run.stderr
    assert run.stderr.rstrip().endswith("give a free address of this machine")


@pytest.mark.parametrize("signals", [[signal.SIGTERM] * 2, [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP]])
def test_repeated_signals_end_the_process_once(tmp_path: Path, signals: list[signal.Signals]) -> None:
    async def scenario() -> None:
        script = BlockedScript()
        world = World(Backend(script))
        async with launched(world, tmp_path) as (process, _, port):
            peer = await connect(port)
            peer.send(*request(name=b"wipe"))
            await until(lambda: world.backends[0].got)
            for signum in signals:
                process.send_signal(signum)
            script.go_on.set()
            assert await peer.receive() == b"value"
            assert await peer.receive() is None
            assert await process.wait() == 0

    in_loop(scenario)


def test_pending_requests_are_answered_before_the_exit(tmp_path: Path) -> None:
    async def scenario() -> None:
        world = ShortDeadlineWorld(Backend(silent))
        async with launched(world, tmp_path) as (process, _, port):
            waiting, incomplete = await connect(port), await connect(port)
            for number in range(8):
                waiting.send(*request(b"%d" % number, wait=500))
            incomplete.writer.write(encode(*request(b"half"))[:20])
            await until(lambda: world.backends[0].got)
            process.send_signal(signal.SIGTERM)
            answers = [await waiting.receive() for _ in range(8)]
            assert all(str(answer).startswith(("ERR", "BUSY")) for answer in answers)
            assert await waiting.receive() is None
            assert await incomplete.receive() is None
            assert await process.wait() == 0

    in_loop(scenario)


def test_a_client_that_never_reads_does_not_delay_the_exit(tmp_path: Path) -> None:
    """A long value is being written to the client when the process has to exit."""
    value = b"x" * 3_000_000

    async def large(command: list[bytes]) -> Reply:
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)

    async def scenario() -> None:
        world = ShortDeadlineWorld(Backend(large))
        async with launched(world, tmp_path) as (process, _, port):
            stuck = await connect(port)
            stuck.send(*request(wait=500))
            await until(lambda: world.backends[0].got)
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            stuck.close()

    in_loop(scenario)


@pytest.mark.parametrize("reloads", [1, 2])
def test_a_reload_between_sigterm_and_the_end_does_not_keep_the_process(tmp_path: Path, reloads: int) -> None:
    """Guards against a process that never ends, as the reload moved the time for which its timer was set."""
    slow = {"name": "slow", "aim": 300.0, "deadline": 900.0, "effect": "pure", "importance": 1.0}
    fast = {**slow, "name": "view", "aim": 100.0}

    class TwoClassWorld(World):
        def config(self) -> dict[str, Any]:
            return {**super().config(), "settings": {**SETTINGS, "classes": [slow, fast]}}

    async def scenario() -> None:
        world = TwoClassWorld(Backend())
        async with launched(world, tmp_path) as (process, config, port):
            await said(process, b"serves at")
            peer = await connect(port)
            peer.send(*request(wait=800))
            assert await peer.receive() == b"value"
            process.send_signal(signal.SIGTERM)
            await said(process, b"stopping, was serving")
            raw = json.loads(config.read_text())
            for number in range(reloads):
                raw["settings"]["classes"] = [fast] if number % 2 == 0 else [slow, fast]
                config.write_text(json.dumps(raw))
                process.send_signal(signal.SIGHUP)
                await said(process, b"reloaded")
            assert await process.wait() == 0
            assert await peer.receive() is None

    in_loop(scenario)
