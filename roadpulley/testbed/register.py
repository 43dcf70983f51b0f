"""A register for tests: what duties act on, refuses low fences, and writes down every act in order."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from .server import LOCAL


@dataclass(frozen=True)
class Act:
    """Taken up or refused. `at`: seconds that all processes of this machine agree on."""

    at: float
    duty: str
    fence: int
    words: str
    taken: bool


@dataclass
class Register:
    """`highest`: by duty, the fence that was taken up last, and whose claim it was. It outlives all
    holders."""

    acts: list[Act] = field(default_factory=list)
    claims: list[Act] = field(default_factory=list)
    highest: dict[str, tuple[int, str]] = field(default_factory=dict)
    careless: bool = False  # planted: takes every fence
    failing: bool = False  # acts get no answer; claims are taken
    server: asyncio.Server | None = None
    port: int = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, LOCAL, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{LOCAL}:{self.port}"

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = (await reader.readline()).decode().split(" ", 3)
            if len(line) == 4 and (line[0] == "claim" or not self.failing):
                writer.write(self.take(line[0], line[1], int(line[2]), line[3].strip()))
                await writer.drain()
        except (OSError, ValueError):
            pass
        finally:
            writer.close()

    def take(self, verb: str, duty: str, fence: int, words: str) -> bytes:
        known, owner = self.highest.get(duty, (0, ""))
        if verb == "claim":
            fits = fence > known or (fence, words) == (known, owner)
        else:
            fits = fence == known
        fits = fits or self.careless
        if fits and verb == "claim":
            self.highest[duty] = (max(fence, known), words)
        act = Act(time.clock_gettime(time.CLOCK_BOOTTIME), duty, fence, words, fits)
        (self.claims if verb == "claim" else self.acts).append(act)
        return b"ok\n" if fits else b"low %d\n" % known
