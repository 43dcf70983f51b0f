"""Small stand-ins for the platform, discovery, the counter and backends, for the cases of the review.

All of them live in the process of a case and follow the users' protocol pages. Only the gateway is a separate
process, started with the `run` command of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be played as meant."""


class Record:
    """What was sent, answered and run, one line each, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        self.write(text)
        print(text)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


# ---- RESP ----


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*args: bytes) -> bytes:
    return b"*%d\r\n" % len(args) + b"".join(map(bulk, args))


def served(value: bytes) -> bytes:
    return b"*3\r\n" + bulk(value) + b"$-1\r\n$-1\r\n"


async def read_command(reader: asyncio.StreamReader, pause: Callable[[], float] | None = None) -> list[bytes]:
    """The next command. `pause` gives the seconds to wait before each piece of 64 KiB of a long argument."""
    line = await reader.readuntil(b"\r\n")
    args = []
    for _ in range(int(line[1:])):
        size = int((await reader.readuntil(b"\r\n"))[1:]) + 2
        data = bytearray()
        wait = pause() if pause is not None and size > 64 * 1024 else 0.0
        while len(data) < size:
            if wait:
                await asyncio.sleep(wait)
            data += await reader.readexactly(min(64 * 1024, size - len(data)))
        args.append(bytes(data[:-2]))
    return args


async def read_reply(reader: asyncio.StreamReader) -> bytes:
    """A whole reply: `+...`, `-...`, or `$` and the value of a bulk string. IncompleteReadError if cut."""
    line = await reader.readuntil(b"\r\n")
    if line[:1] != b"$":
        return line[:-2]
    return b"$" + (await reader.readexactly(int(line[1:]) + 2))[:-2]


# ---- servers ----


class Discovery:
    """Tells the list of backends, and holds watches open with an empty line every 2 s."""

    def __init__(self) -> None:
        self.hosts: list[dict[str, Any]] = []
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def add(self, name: str, port: int, site: str = "hall-a", block: int = 0) -> None:
        entry = {"host": name, "dial": f"127.0.0.1:{port}", "site": site, "class": "std-2c", "block": block}
        self.hosts.append({**entry, "health": "up", "share": 1.0, "born_ms": 0})

    def document(self) -> dict[str, Any]:
        return {"seq": 1, "whole": True, "hosts": self.hosts}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            body = json.dumps(self.document()).encode() + b"\n"
            if b"stream=1" not in head.split(b"\r\n")[0]:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(body), body))
                await writer.drain()
                await asyncio.sleep(2)
                body = b"\n"
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the peer has gone, or the case ends
        finally:
            writer.close()


class Counter:
    """Adds amounts to named numbers."""

    def __init__(self) -> None:
        self.numbers: dict[str, tuple[float, float]] = {}  # total, end
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                writer.write(self.answer(line.decode().split()))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def answer(self, words: list[str]) -> bytes:
        if words == ["ping"]:
            return b"pong\r\n"
        if len(words) != 4 or words[0] != "tally":
            return b"error\r\n"
        now = time.monotonic()
        total, end = self.numbers.get(words[1], (0.0, 0.0))
        if end <= now:
            total, end = 0.0, now + min(60.0, float(words[3]) / 1000)
        self.numbers[words[1]] = total + float(words[2]), end
        return b"ok %.7g\r\n" % self.numbers[words[1]][0]


class Node:
    """A backend. `work` gets each whole command and returns the answer, or None to reset the connection."""

    def __init__(
        self,
        name: str,
        work: Callable[[Node, list[bytes]], Awaitable[bytes | None]],
        pause: Callable[[], float] | None = None,
        receive_buffer: int = 0,
    ) -> None:
        self.name, self.work, self.pause, self.receive_buffer = name, work, pause, receive_buffer
        self.port = 0
        # Whether the connection is reset in the middle of this answer.
        self.breaks: Callable[[bytes], bool] = lambda answer: False

    async def start(self) -> None:
        listener = socket.socket()
        if self.receive_buffer:
            # As over a usual link. On loopback the kernel would take megabytes of a value at once.
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        listener.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(self.serve, sock=listener, limit=256 * 1024)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                args = await read_command(reader, self.pause)
                if args[0] not in (b"API.READ", b"API.WRITE"):
                    writer.write(b"+OK\r\n" if args[0] in (b"CLIENT", b"SELECT") else b"-ERR\r\n")
                    continue
                if len(args[-1]) > 64 * 1024:
                    # A command that the gateway has given up by closing the connection is not begun.
                    await asyncio.sleep(0.005)
                    if reader.at_eof():
                        return
                answer = await self.work(self, args)
                if answer is None:
                    # Without lingering, the close is a reset.
                    raw = writer.get_extra_info("socket")
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    writer.transport.abort()
                    return
                if answer and self.breaks(answer):
                    writer.write(answer[: len(answer) // 2])
                    await writer.drain()
                    await asyncio.sleep(0.1)
                    return writer.transport.abort()
                if answer:
                    writer.write(answer)
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the peer has gone, or the case ends
        finally:
            writer.close()


# ---- the gateway ----


class Gateway:
    """A gateway of the platform, or another program of the project with the same configuration."""

    def __init__(self, record: Record, settings: dict[str, Any], name: str = "n0") -> None:
        self.record, self.name = record, name
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.config_file = self.folder / "config.json"
        self.port = free_port()
        self.config: dict[str, Any] = {"name": name, "listen": f"127.0.0.1:{self.port}", "seed": "8c1f30d2"}
        self.config["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.config["settings"] = settings
        self.process: asyncio.subprocess.Process | None = None
        self.log = (Path(self.folder) / "log").open("w+")

    def write_config(self, discovery: Discovery, counter: Counter | None = None) -> None:
        self.config["discovery"] = f"127.0.0.1:{discovery.port}"
        if counter is not None:
            self.config["counter"] = f"127.0.0.1:{counter.port}"
        self.config["known"] = discovery.document()
        self.replace_config()

    def replace_config(self) -> None:
        """The whole file is replaced at once."""
        part = self.config_file.with_suffix(".part")
        part.write_text(json.dumps(self.config))
        part.replace(self.config_file)

    async def start(self, shell: str = "") -> None:
        """Start by the `run` command of the deploy file, and wait for the yes to PING."""
        if not shell:
            shell = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        (self.folder / "tmp").mkdir(exist_ok=True)
        told = {"LB_CONFIG": str(self.config_file), "LB_NAME": self.name, "LB_LISTEN": self.config["listen"]}
        told |= {"LB_DISCOVERY": self.config["discovery"], "TMPDIR": str(self.folder / "tmp")}
        self.record.write(f"starts: {shell}")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", shell, cwd=ROOT, env={**os.environ, **told}, stdout=self.log, stderr=self.log,
            start_new_session=True,
        )  # fmt: skip
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRunError(f"the gateway ended with {self.process.returncode}: {self.read_log()}")
            if await self.ping() == b"+PONG":
                return self.record.write("the gateway says yes")
            await asyncio.sleep(0.05)
        raise CannotRunError(f"the gateway was not ready within 15 s: {self.read_log()}")

    async def ping(self) -> bytes:
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(command(b"PING"))
                try:
                    return await read_reply(reader)
                finally:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return b""

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record.write(f"{number.name} to the gateway")
        self.process.send_signal(number)

    def read_log(self) -> str:
        self.log.flush()
        return (self.folder / "log").read_text()

    async def stop(self) -> None:
        """End the process and all that it started, and remove the folder. Its log goes into the record."""
        if self.process is not None:
            try:
                os.killpg(self.process.pid, signal.SIGKILL)  # a session of its own: nobody else is in it
            except ProcessLookupError:
                pass
            await self.process.wait()
        self.record.write("log of the gateway:")
        self.record.file.write(self.read_log())
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, play: Callable[[Record], Awaitable[int]], limit_s: float = 110) -> None:
    """Play a case, and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(folder)
    record.write(f"TROUBLE={int(TROUBLE)}")

    async def limited() -> int:
        async with asyncio.timeout(limit_s):
            return await play(record)

    try:
        code = asyncio.run(limited())
    except Exception as error:  # of the case itself, or of a gateway that does not start
        record.say(f"could not run: {type(error).__name__} {error}")
        code = COULD_NOT_RUN
    record.say({HELD: "HELD", BROKEN: "BROKEN", COULD_NOT_RUN: "COULD NOT RUN"}[code])
    record.file.close()
    sys.exit(code)
