"""A small world on loopback sockets round one gateway: backends, a counter, discovery and clients."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import hiredis
import uvloop

from roadpulley.__main__ import serve
from roadpulley.core.settings import parse_config

LOCAL = "127.0.0.1"
SETTINGS: dict[str, Any] = {
    "az": "a",
    "groupSize": 1,
    "selfIndex": 0,
    "caps": {
        "maxAttempts": 3,
        "cancelling": True,
        "retryAfter": True,
        "maxRetryAfter": 500.0,
        "connectTimeout": 250.0,
        "keepalive": 15000.0,
        "maxOpen": 1000,
    },
    "classes": [
        {"name": "view", "aim": 1500.0, "deadline": 4000.0, "effect": "pure", "importance": 1.0},
        {"name": "keyed", "aim": 1500.0, "deadline": 4000.0, "effect": "token", "repeatWindow": 4000.0},
        {"name": "wipe", "aim": 1500.0, "deadline": 4000.0, "effect": "side_effect", "importance": 1.0},
    ],
    "packages": [
        {"name": "free"},
        {"name": "basic", "rate": 1.0, "mostAtOnce": 2.0, "overrunCost": 1.0},
    ],
    "familyInfo": {"mayCount": True, "countWait": 80.0, "unitsTop": 1},
    "rules": {"warmWithin": 10000.0, "startCapacity": 0.2, "drainGrace": 1000.0, "fallMultiple": 2.0},
}


def in_loop(scenario: Callable[[], Awaitable[None]]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(20):
            await scenario()

    uvloop.run(limited())


async def until(condition: Callable[[], object]) -> None:
    """Wait for what other tasks bring about; the test's time limit ends a vain wait."""
    while not condition():
        await asyncio.sleep(0.002)


def encode(*args: bytes) -> bytes:
    return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in args)


class Peer:
    """One end of a RESP connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.resp = hiredis.Reader(notEnoughData=Ellipsis)

    def send(self, *args: bytes) -> None:
        self.writer.write(encode(*args))

    async def receive(self) -> Any:
        """The next command or answer; None at the end of the connection."""
        while (got := self.resp.gets()) is Ellipsis:
            try:
                data = await self.reader.read(65536)
            except ConnectionError:
                return None
            if not data:
                return None
            self.resp.feed(data)
        return got

    def close(self) -> None:
        self.writer.close()


class Server:
    """Listens on a port of its own and hands every connection to `talk`."""

    def __init__(self) -> None:
        self.open: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.accepted = 0
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._accept, LOCAL, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.open.add(writer)
        self.accepted += 1
        try:
            await self.talk(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def hang_up(self) -> None:
        for writer in self.open:
            writer.close()

    async def stop(self) -> None:
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await until(lambda: not self.tasks)


Reply = bytes | None


class Backend(Server):
    """Answers each command as `script` says; None stays silent, b"" hangs up."""

    def __init__(self, script: Callable[[list[bytes]], Awaitable[Reply]] | None = None) -> None:
        super().__init__()
        self.script = script or self.serve
        self.got: list[list[bytes]] = []
        self.ended = 0  # connections that the gateway closed

    async def serve(self, command: list[bytes]) -> Reply:
        return b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        while (command := await peer.receive()) is not None:
            self.got.append(command)
            reply = await self.script(command)
            if reply == b"":
                return
            if reply:
                writer.write(reply)
        self.ended += 1


class Counter(Server):
    """Keeps numbers by name; `script` may answer a call otherwise (None: not at all, b"" hangs up)."""

    def __init__(self, script: Callable[[list[bytes]], Awaitable[Reply]] | None = None) -> None:
        super().__init__()
        self.script = script
        self.totals: dict[bytes, float] = {}
        self.got: list[list[bytes]] = []

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            assert line.endswith(b"\r\n")
            words = line.split()
            assert words[0] == b"tally" and len(words) == 4
            self.got.append(words)
            self.totals[words[1]] = self.totals.get(words[1], 0.0) + float(words[2])
            reply: Reply = b"ok %.3f\r\n" % self.totals[words[1]]
            if self.script is not None:
                reply = await self.script(words)
            if reply == b"":
                return
            if reply:
                writer.write(reply)


class Discovery(Server):
    def __init__(self) -> None:
        super().__init__()
        self.requests: list[str] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.whole: dict[str, Any] = {"seq": 1, "whole": True, "hosts": []}

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        target = head.split()[1].decode()
        self.requests.append(target)
        if "stream=1" not in target:
            body = json.dumps(self.whole).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(body))
            writer.write(body)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(writer)
        await reader.read()

    def say(self, line: bytes, watch: int = -1) -> None:
        self.watches[watch].write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    def change(self, seq: int, *hosts: dict[str, Any], whole: bool = False) -> None:
        self.say(json.dumps({"seq": seq, "whole": whole, "hosts": hosts}).encode())


def host(name: str, port: int, health: str = "up", born_ms: float = 0) -> dict[str, Any]:
    return {
        "host": name,
        "dial": f"{LOCAL}:{port}",
        "site": "a",
        "class": "m2",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


class World:
    """A gateway with its surroundings; `backends` are named h0, h1, ... in the list."""

    def __init__(self, *backends: Backend, counter: Counter | None = None, **limits: Any) -> None:
        self.backends = backends
        self.counter, self.discovery = counter or Counter(), Discovery()
        self.limits = limits
        self.peers: list[Peer] = []
        self.port = 0
        self.stop = asyncio.Event()

    def hosts(self) -> list[dict[str, Any]]:
        return [host(f"h{number}", backend.port) for number, backend in enumerate(self.backends)]

    def config(self) -> dict[str, Any]:
        return {
            "name": "n0",
            "listen": f"{LOCAL}:0",
            "discovery": f"{LOCAL}:{self.discovery.port}",
            "counter": f"{LOCAL}:{self.counter.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **self.limits},
            "known": {"seq": 41, "whole": True, "hosts": self.hosts()},
            "settings": SETTINGS,
        }

    async def client(self) -> Peer:
        peer = Peer(*await asyncio.open_connection(LOCAL, self.port))
        self.peers.append(peer)
        return peer

    async def ask(self, peer: Peer, **given: Any) -> Any:
        peer.send(*request(**given))
        return await peer.receive()


@asynccontextmanager
async def running(world: World) -> AsyncIterator[World]:
    servers = [*world.backends, world.counter, world.discovery]
    for server in servers:
        await server.start()
    ready: asyncio.Future[int] = asyncio.get_running_loop().create_future()
    task = asyncio.create_task(serve(parse_config(world.config()), world.stop, ready.set_result))
    await asyncio.wait({task, ready}, return_when=asyncio.FIRST_COMPLETED)
    if task.done():
        task.result()
    world.port = ready.result()
    try:
        await until(lambda: world.discovery.watches)
        yield world
    finally:
        for peer in world.peers:
            peer.close()
        world.stop.set()
        await task
        for server in servers:
            await server.stop()


def request(
    id: bytes = b"9b1f03aa5c7e2d41",
    name: bytes = b"view",
    plan: bytes = b"free",
    wait: int = 3000,
    body: bytes | None = None,
    customer: bytes = b"00000000b4d65521",
) -> tuple[bytes, ...]:
    listed = b"c=%b,t=%b,d=%d,units=1,spread=1,first=0" % (name, plan, wait)
    verb = b"API.READ" if name == b"view" else b"API.WRITE"
    return (verb, customer, id, listed, *(() if body is None else (body,)))
