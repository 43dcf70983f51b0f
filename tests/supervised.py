"""A supervisor process with its workers, in a world on loopback sockets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from loopback import LOCAL, World, encode, request, reserved_port
from test_process import ROOT, connect


class Supervised:
    """A supervisor process, its log and its configuration file."""

    def __init__(self, process: asyncio.subprocess.Process, config: Path, port: int) -> None:
        self.process, self.config, self.port = process, config, port
        self.log: list[str] = []
        self.reading = asyncio.create_task(self._read_log())

    async def _read_log(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.log.append(line.decode())

    async def wait_for(self, words: str, count: int = 1) -> None:
        while sum(words in line for line in self.log) < count:
            assert not self.reading.done(), "".join(self.log)
            await asyncio.sleep(0.01)

    def kills(self) -> list[str]:
        return [line for line in self.log if "is killed" in line]

    async def ask(self, id: bytes, name: bytes, wait: int) -> Any:
        peer = await connect(self.port)
        try:
            peer.writer.write(encode(*request(id, name=name, wait=wait)))
            return await peer.receive()
        finally:
            peer.close()


async def start_supervisor(config: Path, workers: int, **env: str) -> asyncio.subprocess.Process:
    program = "import sys; from roadpulley.cli import main; sys.exit(main(sys.argv[1:]))"
    return await asyncio.create_subprocess_exec(
        sys.executable, "-c", program, "serve", "--config", str(config), "--workers", str(workers),
        cwd=ROOT, env={**os.environ, **env}, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip


@asynccontextmanager
async def supervised(world: World, folder: Path, workers: int = 2, **env: str) -> AsyncIterator[Supervised]:
    servers = [*world.backends, world.counter, world.discovery]
    for server in servers:
        await server.start()
    config = folder / "config.json"
    with reserved_port() as port:
        config.write_text(json.dumps({**world.config(), "listen": f"{LOCAL}:{port.number}"}))
        process = await start_supervisor(config, workers, **env)
        gateway = Supervised(process, config, port.number)
        try:
            await gateway.wait_for("serves at port", workers)
            yield gateway
        finally:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
            await process.wait()
            await gateway.reading
            for server in servers:
                await server.stop()
