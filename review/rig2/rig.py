"""Stand-ins and a small harness for the cases 6 to 10: backends, discovery, counter, gateway processes.

The stand-ins follow the users' protocol page. They use the standard library and loopback addresses only.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_S = 20.0


class Record:
    """Writes what happens to `record.txt`, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.started_at:8.3f}  {text}\n")
        self.file.flush()


class Command:
    """One command that a backend has received whole."""

    def __init__(self, backend: str, args: list[bytes]) -> None:
        self.backend, self.args, self.at = backend, args, time.monotonic()
        self.id = args[2].decode() if len(args) > 2 else ""
        listed = args[3].decode() if len(args) > 3 else ""
        self.attributes = dict(item.split("=", 1) for item in listed.split(",") if "=" in item)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one array of bulk strings. Raises EOFError and ValueError."""
    line = await reader.readline()
    if not line.startswith(b"*"):
        raise EOFError
    args = []
    for _ in range(int(line[1:])):
        size = int((await reader.readline())[1:])
        args.append((await reader.readexactly(size + 2))[:-2])
    return args


def encode_command(*args: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in args)


def served(value: bytes) -> bytes:
    """A backend's answer: the value, no figures on use, no load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


Answer = Callable[[Command, asyncio.StreamWriter], Awaitable[None]]


class Backend:
    """A backend. `answer` writes the answer of one command, or never returns.

    It holds `most_connections` and refuses further ones. 0: any number.
    """

    def __init__(self, name: str, answer: Answer, record: Record, most_connections: int = 0) -> None:
        self.name, self.answer, self.record = name, answer, record
        self.most_connections = most_connections
        self.received: list[Command] = []
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=2**23)
        self.port = self.server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """As a process that dies: its connections are reset and new ones refused."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        if self.server is not None and len(self.writers) == self.most_connections:
            self.server.close()  # new connections are refused from here on
        try:
            while True:
                args = await read_command(reader)
                if args[0] == b"PING":
                    writer.write(b"+PONG\r\n")
                    continue
                if args[0] not in (b"API.READ", b"API.WRITE"):
                    writer.write(b"+OK\r\n" if args[0] in (b"CLIENT", b"SELECT") else b"-ERR unknown\r\n")
                    continue
                command = Command(self.name, args)
                self.received.append(command)
                self.record(f"{self.name} received {command.id} d={command.attributes.get('d')}")
                await self.answer(command, writer)
                await writer.drain()
        except (EOFError, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            was_full = len(self.writers) == self.most_connections
            self.writers.discard(writer)
            writer.close()
            if was_full:
                await self.start()


class Discovery:
    """The agent: the whole list, and watches that hold it and an empty line every 2 s."""

    def __init__(self, backends: list[Backend]) -> None:
        self.backends, self.seq, self.port = backends, 1, 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def document(self) -> dict[str, Any]:
        """The whole list."""
        hosts = [
            {
                "host": b.name,
                "dial": f"127.0.0.1:{b.port}",
                "site": "hall-a",
                "class": "std-2",
                "block": 0,
                "health": "up",
                "share": 1.0,
                "born_ms": 0,
            }
            for b in self.backends
        ]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            data = json.dumps(self.document()).encode() + b"\n"
            if b"stream=1" not in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(data), data))
                await writer.drain()
                data = b"\n"
                await asyncio.sleep(2.0)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Counter:
    """The counter service."""

    def __init__(self) -> None:
        self.totals: dict[bytes, tuple[float, float]] = {}  # amount, end of its life
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                words = line.split()
                if words == [b"ping"]:
                    writer.write(b"pong\r\n")
                elif len(words) == 4 and words[0] == b"tally":
                    now = time.monotonic()
                    total, end = self.totals.get(words[1], (0.0, 0.0))
                    if now >= end:
                        total, end = 0.0, now + min(60_000.0, float(words[3])) / 1000
                    self.totals[words[1]] = total + float(words[2]), end
                    writer.write(b"ok %.6g\r\n" % self.totals[words[1]][0])
                else:
                    writer.write(b"error\r\n")
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


def request_class(
    name: str, effect: str, aim: float, deadline: float, worth: float, group: str = ""
) -> dict[str, Any]:
    """A class as the settings give it."""
    return {
        "name": name,
        "aim": aim,
        "deadline": deadline,
        "effect": effect,
        "group": group or ("cell" if effect == "token" else "all"),
        "importance": worth,
        "lateWorth": 0.1,
        "repeatWindow": 4000.0,
        "stream": False,
    }


def make_settings(classes: list[dict[str, Any]], plan: str = "counter") -> dict[str, Any]:
    """Settings of a small deployment, with figures of the second site's page."""
    return {
        "areas": ["hall-a"],
        "az": "hall-a",
        "caps": {
            "cancelling": True,
            "connectTimeout": 250.0,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 488433,
            "keepalive": 15000.0,
            "maxAttempts": 6,
            "maxOpen": 24421,
            "maxRetryAfter": 500.0,
            "maxStreams": 32,
            "mayDuplicate": False,
            "peerMessages": False,
            "probes": False,
            "retryAfter": True,
        },
        "classes": classes,
        "clientHabits": {"marksRetry": False},
        "discovery": "push",
        "family": "gate",
        "familyInfo": {
            "costAfter": False,
            "countFee": 0.005,
            "countWait": 50.0,
            "mayCount": True,
            "metering": 0.0,
            "peerIntake": 0.0,
            "unitsTop": 8,
        },
        "goal": {"whole": 0.65, "worstClass": 0.0, "worstTenant": 0.15, "worstWindow": 0.2},
        "granularity": 2.0,
        "groupSize": 2,
        "kinds": ["std-2"],
        "layers": ["boxes"],
        "packages": [
            {
                "name": plan,
                "rate": 2.1,
                "mostAtOnce": 11.0,
                "neverOverRate": 0.0,
                "hardBurst": 0.0,
                "capSlack": 0.0,
                "open": 0,
                "beyondEarns": 0.0,
                "overrunCost": 0.8,
                "worthFactor": 0.8,
            }
        ],
        "prices": {"waste": 0.16, "lateFail": 0.06, "crossZone": 0.02, "probe": 0.0079},
        "rules": {
            "answerSlack": 8.0,
            "askEvery": 10000.0,
            "drainGrace": 2000.0,
            "fall": 1500.0,
            "fallMultiple": 3.0,
            "startCapacity": 0.26,
            "warmWithin": 17000.0,
        },
        "selfIndex": 0,
        "telemetry": {"how": "none", "names": []},
        "tier": 0,
        "weightSource": "rough",
    }


def free_port() -> int:
    """A port that is free now."""
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Process:
    """A process of the project, started with a command line from the root."""

    def __init__(self, name: str, command: str, env: dict[str, str], folder: Path, record: Record) -> None:
        self.name, self.command, self.folder, self.record = name, command, folder, record
        self.env = {**os.environ, **env, "TMPDIR": str(folder)}
        self.env.pop("PYTHONPATH", None)  # the case's own
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self.command,
                cwd=ROOT,
                env=self.env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record(f"{self.name} started")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.record(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    async def wait(self, seconds: float) -> int | None:
        """The exit code, None if it still runs."""
        assert self.process is not None
        try:
            async with asyncio.timeout(seconds):
                code = await self.process.wait()
        except TimeoutError:
            return None
        self.record(f"{self.name} has ended with {code}")
        return code

    async def stop(self) -> None:
        """End it in any case."""
        if self.process is None or self.process.returncode is not None:
            return
        self.signal(signal.SIGTERM)
        if await self.wait(6.0) is None:
            self.signal(signal.SIGKILL)
            await self.wait(5.0)


class World:
    """One installation: backends, discovery, counter and one gateway, in a temporary folder."""

    def __init__(self, case: Path) -> None:
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.backends: list[Backend] = []
        self.discovery, self.counter = Discovery(self.backends), Counter()
        self.processes: list[Process] = []
        self.port = 0
        self.config_path = self.folder / "config.json"

    def add_backends(self, count: int, answer: Answer, most_connections: int = 0) -> None:
        for number in range(count):
            self.backends.append(Backend(f"box-{number}", answer, self.record, most_connections))

    def make_config(self, settings: dict[str, Any], memory_mb: int) -> dict[str, Any]:
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "counter": f"127.0.0.1:{self.counter.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            "known": self.discovery.document(),
            "settings": settings,
        }

    async def start_parts(self) -> None:
        for backend in self.backends:
            await backend.start()
        await self.discovery.start()
        await self.counter.start()
        self.port = free_port()

    async def start_gateway(
        self, settings: dict[str, Any], memory_mb: int = 128, command: str = ""
    ) -> Process:
        """Start all parts and the gateway, with the `run` command by default, and wait until it serves."""
        await self.start_parts()
        self.config_path.write_text(json.dumps(self.make_config(settings, memory_mb)))
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        env = {"LB_CONFIG": str(self.config_path), "LB_NAME": "n0"}
        gateway = Process("n0", command or deploy["run"], env, self.folder, self.record)
        self.processes.append(gateway)
        await gateway.start()
        await self.wait_until_ready(READY_S)
        return gateway

    async def wait_until_ready(self, seconds: float) -> None:
        """Wait for `+PONG`. Raises RuntimeError."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.ping():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the gateway was not ready in time")

    async def ping(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(encode_command(b"PING"))
                answer = await reader.readline()
                writer.close()
                return answer == b"+PONG\r\n"
        except (OSError, TimeoutError):
            return False

    async def close(self) -> None:
        for process in self.processes:
            await process.stop()
        for log in sorted(self.folder.glob("n*.log")):
            for line in log.read_text(errors="replace").splitlines():
                text = re.sub(r"^[-0-9]+ [0-9:,]+ ", "", line).replace(str(self.folder), "FOLDER")
                self.record(f"log {log.stem}: {text}")
        shutil.rmtree(self.folder, ignore_errors=True)


def make_request(
    verb: bytes,
    number: int,
    kind: str,
    wait_ms: int,
    key: str = "",
    body: bytes | None = None,
    plan: str = "counter",
) -> tuple[str, bytes]:
    """The id and the command of a request, of a customer of its own."""
    identity = f"{number:08x}{os.getpid():08x}"
    listed = f"c={kind},t={plan},d={wait_ms}" + (f",k={key}" if key else "") + ",units=1,spread=2,first=0"
    args = [verb, b"%016x" % (number + 1), identity.encode(), listed.encode()]
    return identity, encode_command(*args, *([body] if body is not None else []))


async def read_reply(reader: asyncio.StreamReader) -> bytes:
    """Read one whole reply: `-...` or the value after `$`. Raises EOFError, OSError."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise EOFError("the connection ended")
    if not line.startswith(b"$"):
        return line.strip()
    size = int(line[1:])
    try:
        return b"$" + (await reader.readexactly(size + 2))[:-2]
    except asyncio.IncompleteReadError as error:
        raise EOFError(
            f"the connection ended within a value, {len(error.partial)} of {size} bytes"
        ) from error


def run_case(case: str, play: Callable[[World], Awaitable[int]], limit_s: float = 110.0) -> None:
    """Run a case and exit with its result. Any error of the case itself counts as not run."""

    async def main() -> int:
        world = World(Path(case).resolve().parent)
        world.record(f"the trouble is {'on' if TROUBLE else 'off'}")
        try:
            async with asyncio.timeout(limit_s):
                result = await play(world)
        except Exception as error:
            world.record(f"could not run: {type(error).__name__}: {error}")
            result = NOT_RUN
        finally:
            await world.close()
        world.record(f"exit {result}")
        return result

    sys.exit(asyncio.run(main()))
