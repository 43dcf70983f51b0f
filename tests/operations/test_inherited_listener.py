"""An inherited listening socket: taken over under load, and rejected if the descriptor does not listen."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

import pytest
from loopback import LOCAL, Backend, Peer, World, in_loop, refused_start, request

ROOT = Path(__file__).parents[2]


async def start(config: Path, listener: socket.socket) -> asyncio.subprocess.Process:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "roadpulley",
        cwd=ROOT,
        env={**os.environ, "LB_CONFIG": str(config), "LB_ACCEPT_FD": str(listener.fileno())},
        pass_fds=[listener.fileno()],
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    try:
        while b"serves at" not in (line := await process.stderr.readline()):
            assert line, "it ended"
    except BaseException:  # includes a timeout; no other code would kill this process
        process.kill()
        raise
    return process


@pytest.mark.alone
def test_a_new_process_takes_over_and_every_request_is_answered(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = Backend()
        world = World(backend)
        servers = [backend, world.counter, world.discovery]
        for server in servers:
            await server.start()
        listener = socket.create_server((LOCAL, 0))
        port = listener.getsockname()[1]
        config = tmp_path / "config.json"
        config.write_text(json.dumps({**world.config(), "listen": f"{LOCAL}:{port}"}))
        processes = [await start(config, listener)]
        answers: list[object] = []
        running = True

        async def client(name: int) -> None:
            """Sends requests in a loop; reconnects when a connection was closed between two of them."""
            number = 0
            while running:
                peer = Peer(*await asyncio.open_connection(LOCAL, port))
                while running:
                    peer.send(*request(b"%d-%d" % (name, number)))
                    got = await peer.receive()
                    if got is None:
                        break
                    answers.append(got)
                    number += 1
                    await asyncio.sleep(0.002)
                peer.close()

        clients = [asyncio.create_task(client(name)) for name in range(2)]
        try:
            for _ in range(2):  # two upgrades in a row
                processes.append(await start(config, listener))
                processes[-2].send_signal(signal.SIGTERM)
                assert await processes[-2].wait() == 0
                after = len(answers)
                while (
                    len(answers) < after + 20
                ):  # the socket still listens, and the new process accepts from it
                    await asyncio.sleep(0.002)
            running = False
            await asyncio.gather(*clients)
            assert set(answers) == {b"value"}
        finally:
            for task in clients:
                task.cancel()
            for process in processes:
                if process.returncode is None:
                    process.kill()
                await process.wait()
            listener.close()
            for server in servers:
                await server.stop()

    in_loop(scenario)


@pytest.mark.parametrize("kind", ["word", "closed", "file", "unlistening"])
def test_descriptor_that_does_not_listen_is_named_in_the_error(tmp_path: Path, kind: str) -> None:
    config = tmp_path / "config.json"
    config.write_text(json.dumps({**World().config(), "listen": f"{LOCAL}:1"}))
    with open(config) as file, socket.socket() as unlistening:
        descriptor = {"word": "five", "closed": "77", "file": file.fileno()}.get(kind, unlistening.fileno())
        fds = (file.fileno(), unlistening.fileno())
        stderr = refused_start(config, fds, LB_ACCEPT_FD=str(descriptor))
    assert "LB_ACCEPT_FD is " in stderr and "a listening TCP socket over IPv4" in stderr


@pytest.mark.parametrize("value", ["here", ":19000", "127.0.0.1:99999", 5])
def test_invalid_operators_address_is_named_in_the_error(tmp_path: Path, value: object) -> None:
    config = tmp_path / "config.json"
    config.write_text(json.dumps({**World().config(), "listen": f"{LOCAL}:1", "admin": value}))
    stderr = refused_start(config)
    assert "admin is " in stderr and "give HOST:PORT" in stderr
