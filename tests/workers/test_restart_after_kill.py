"""A supervisor that is started while workers of a killed one still hold the address."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import time
from pathlib import Path

import pytest
from loopback import LOCAL, Backend, Reply, World, in_loop, request
from supervised import Supervised, start_supervisor, supervised
from test_process import connect

from roadpulley.cli import main
from roadpulley.operations import listen_retry

pytestmark = pytest.mark.timeout(60)

WORKERS = 2


def test_a_start_right_after_the_supervisor_was_killed_serves(tmp_path: Path) -> None:
    """Guards against a start that ends with "Address already in use", as workers are still draining.

    A request that is open at one of these is answered. The new workers have other settings, which hold for
    all clients as soon as they serve.
    """
    go_on = asyncio.Event()

    async def hold(command: list[bytes]) -> Reply:
        if command[2] == b"open":
            await go_on.wait()
        return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

    async def scenario() -> None:
        async with supervised(World(Backend(hold)), tmp_path, WORKERS) as gateway:
            peer = await connect(gateway.port)
            peer.send(*request(b"open", name=b"wipe", wait=3_000))
            gateway.process.send_signal(signal.SIGKILL)
            await gateway.process.wait()
            raw = json.loads(gateway.config.read_text())
            raw["settings"]["classes"] = [{**raw["settings"]["classes"][0], "name": "renamed"}]
            gateway.config.write_text(json.dumps(raw))
            process = await start_supervisor(gateway.config, WORKERS)
            successor = Supervised(process, gateway.config, gateway.port)
            try:
                await asyncio.sleep(1.0)
                go_on.set()
                assert await peer.receive() == b"value"
                await successor.wait_for("serves at port", WORKERS)
                for number in range(20):
                    answer = await successor.ask(b"%d" % number, b"view", 1_000)
                    assert str(answer) == "ERR unknown class"  # no worker of before takes it
            finally:
                process.send_signal(signal.SIGTERM)
                await process.wait()
                await successor.reading

    in_loop(scenario)


def test_an_address_that_stays_in_use_ends_the_start_with_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(listen_retry, "ADDRESS_IN_USE_TIMEOUT_MS", 500.0)
    with socket.create_server((LOCAL, 0)) as taken:
        config, listen = tmp_path / "config.json", f"{LOCAL}:{taken.getsockname()[1]}"
        config.write_text(json.dumps({**World().config(), "discovery": f"{LOCAL}:1", "listen": listen}))
        began = time.monotonic()
        assert main(["serve", "--config", str(config)]) == 2
        assert time.monotonic() - began < 3.0
    (line,) = capsys.readouterr().err.splitlines()[-1:]
    assert line.startswith(f"roadpulley serve: listen is {listen}, where nobody can listen")
    assert line.endswith("give a free address of this machine")
