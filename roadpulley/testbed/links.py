"""Datagram links between instances, each direction of each pair by itself, disturbed on demand.

Instance I sends what is for J to the port that stands for J at I; it reaches J from the port that stands
for I at J. So both see one address for each other, and every datagram passes here.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass

from .server import LOCAL, DatagramPort


@dataclass
class Link:
    """From one to another. Milliseconds; shares from 0 to 1."""

    cut: bool = False
    loss: float = 0.0
    delay_ms: float = 0.0  # at the least
    jitter_ms: float = 0.0  # at most so much more, each by itself: that is what reorders
    repeats: float = 0.0


class LinkEndpoint(asyncio.DatagramProtocol):
    """Stands for `far` at `near`, on a port of its own."""

    def __init__(self, links: Links, near: str, far: str) -> None:
        self.links, self.near, self.far = links, near, far
        self.port = DatagramPort()
        self.transport: asyncio.DatagramTransport | None = None

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.links.pass_on(self.near, self.far, data)

    def error_received(self, exc: Exception) -> None:
        return  # nobody listens there just now


class Links:
    def __init__(self, names: Iterable[str], rng: random.Random) -> None:
        self.names, self.rng = list(names), rng
        self.real: dict[str, tuple[str, int]] = {}  # where each instance listens
        self.endpoints: dict[tuple[str, str], LinkEndpoint] = {}
        self.links = {(a, b): Link() for a in self.names for b in self.names if a != b}
        self.passed = self.lost = 0

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for near, far in self.links:
            endpoint = LinkEndpoint(self, near, far)
            self.endpoints[near, far] = endpoint
            address = LOCAL, endpoint.port.number
            endpoint.transport, _ = await loop.create_datagram_endpoint(lambda made=endpoint: made, address)  # type: ignore[misc]

    def at(self, near: str, far: str) -> str:
        """The address of `far` in the settings of `near`."""
        return self.endpoints[near, far].port.address

    def pass_on(self, source: str, target: str, data: bytes) -> None:
        link = self.links[source, target]
        if link.cut or self.rng.random() < link.loss:
            self.lost += 1
            return
        for _ in range(2 if self.rng.random() < link.repeats else 1):
            wait = (link.delay_ms + self.rng.random() * link.jitter_ms) / 1000
            asyncio.get_running_loop().call_later(wait, self._deliver, source, target, data)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        transport = self.endpoints[target, source].transport
        if transport is not None and not transport.is_closing() and target in self.real:
            self.passed += 1
            transport.sendto(data, self.real[target])

    # ---- faults ----

    def cut(self, source: str, target: str) -> None:
        """One direction."""
        self.links[source, target].cut = True

    def part(self, *sets: Iterable[str]) -> None:
        """Sets that hear only themselves."""
        side = {name: n for n, names in enumerate(sets) for name in names}
        for (a, b), link in self.links.items():
            link.cut = side[a] != side[b]

    def slow(self, source: str, target: str, delay_ms: float) -> None:
        """One direction; what is on its way already comes as it would have."""
        self.links[source, target].delay_ms = delay_ms

    def heal(self) -> None:
        for link in self.links.values():
            link.cut = False

    def disturb(
        self, loss: float = 0.0, delay_ms: float = 0.0, jitter_ms: float = 0.0, repeats: float = 0.0
    ) -> None:
        """All links alike."""
        for link in self.links.values():
            link.loss, link.delay_ms, link.jitter_ms, link.repeats = loss, delay_ms, jitter_ms, repeats

    def close(self) -> None:
        for endpoint in self.endpoints.values():
            if endpoint.transport is not None:
                endpoint.transport.close()
            endpoint.port.free()
