"""Descriptors under idle clients while discovery is down: what the rest needs is kept back for it.

The process is allowed far fewer than the platform tells, so that shares of what is told would leave none.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import sys
from pathlib import Path

import pytest
from loopback import LOCAL, Backend, Peer, World, host, in_loop, request, until

from roadpulley.__main__ import BACKEND_SHARE, CLIENT_SHARE, descriptors

ROOT = Path(__file__).parents[1]
ALLOWED = 96


async def start(config: Path) -> asyncio.subprocess.Process:
    limited = f"ulimit -n {ALLOWED}; exec {sys.executable} -m roadpulley"
    process = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        limited,
        cwd=ROOT,
        env={**os.environ, "LB_CONFIG": str(config)},
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    while b"serves at" not in (line := await process.stderr.readline()):
        assert line, "it ended"
    return process


def test_discovery_s_return_is_followed_and_clients_are_served_however_many_are_idle(tmp_path: Path) -> None:
    async def scenario() -> None:
        old, new = Backend(), Backend()
        world = World(old)
        servers = [old, new, world.counter, world.discovery]
        for server in servers:
            await server.start()
        world.discovery.hush(True)
        with socket.create_server((LOCAL, 0)) as free:
            port = free.getsockname()[1]
        config = tmp_path / "config.json"
        config.write_text(json.dumps({**world.config(), "listen": f"{LOCAL}:{port}"}))
        process = await start(config)
        idle = []
        try:
            idle = [socket.create_connection((LOCAL, port)) for _ in range(3 * ALLOWED)]
            peer = Peer(*await asyncio.open_connection(LOCAL, port))
            peer.send(*request(b"first"))
            assert await peer.receive() == b"value"  # unused ones have made room for it
            world.discovery.hush(False)
            await until(lambda: world.discovery.watches)
            world.discovery.change(42, host("h0", old.port, "draining"), host("h1", new.port))
            count = 0
            while not new.got:  # the watch is heard, and a backend not met before gets its connection
                count += 1
                peer.send(*request(b"%d" % count))
                assert await peer.receive() is not None
                await asyncio.sleep(0.01)
            idle += [socket.create_connection((LOCAL, port)) for _ in range(ALLOWED)]
            other = Peer(*await asyncio.open_connection(LOCAL, port))
            other.send(*request(b"other"))
            assert await other.receive() == b"value"
            for one in (peer, other):
                one.close()
        finally:
            for one in idle:
                one.close()
            process.kill()
            await process.wait()
            for server in servers:
                await server.stop()

    in_loop(scenario)


def test_shares_are_of_what_may_be_held_and_leave_a_part_for_the_rest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    limits = [(100, 100)]
    monkeypatch.setattr(resource, "getrlimit", lambda _: limits[-1])
    monkeypatch.setattr(resource, "setrlimit", lambda _, given: limits.append(given))
    assert descriptors(1_024) == 100 and len(limits) == 1
    limits.append((100, 400))
    assert descriptors(1_024) == 400 and limits[-1] == (400, 400)
    limits.append((100, resource.RLIM_INFINITY))
    assert descriptors(1_024) == 1_024 == limits[-1][0]
    limits.append((4_096, 4_096))
    assert descriptors(1_024) == 1_024
    # For a watch and the one after it, the counter's four, the listener, the loop's own.
    assert ALLOWED - int(ALLOWED * CLIENT_SHARE) - int(ALLOWED * BACKEND_SHARE) >= 20
