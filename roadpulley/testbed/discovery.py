"""Discovery over sockets: the whole list and the watch, as each gateway's own agent gives them."""

from __future__ import annotations

import asyncio
import json
import random
import re
from collections.abc import Callable
from typing import Any

from roadpulley.core.clock import now_ms

from .catalogue import Catalogue, Host
from .ledger import Anomaly, BackendNotice, Ledger
from .scenario import DiscoveryKind
from .server import Origins, Server

REQUEST = re.compile(rb"GET (/catalog/members(?:\?stream=1&index=(\d{1,18}))?) HTTP/1\.1\r\n")


class Discovery(Server):
    """`dial` gives the address at which a gateway reaches a host."""

    def __init__(
        self,
        kind: DiscoveryKind | None = None,
        ledger: Ledger | None = None,
        origins: Origins | None = None,
        dial: Callable[[str, str], str] | None = None,
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self.kind = kind or DiscoveryKind(notice_ms=0.0)
        self.ledger, self.origins = ledger or Ledger(), origins or Origins()
        self.dial = dial or (lambda gateway, host: "")
        self.rng = rng or random.Random(0)
        self.catalogue = Catalogue()
        self.requests: list[str] = []
        self.watches: list[asyncio.StreamWriter] = []
        self.silent = False  # it is down: agents say nothing at all
        self._changed = asyncio.Event()
        self._spoke = asyncio.Event()
        self._spoke.set()
        self.heard: dict[str, set[str]] = {}  # hosts that a gateway has been told of and not seen removed
        self._noted = asyncio.Event()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the whole list, or a watch on its changes."""
        head = await reader.readuntil(b"\r\n\r\n")
        gateway = self.origins.name(writer)
        got = REQUEST.match(head)
        if got is None:
            self.ledger.oddities.append(Anomaly(f"{gateway or '?'}>discovery", now_ms(), "no such request"))
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return
        self.requests.append(got[1].decode())
        await self._spoke.wait()
        if got[2] is None:
            body = json.dumps(self.list_for(gateway)).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
            writer.write(b"Content-Length: %d\r\nConnection: close\r\n\r\n" % len(body) + body)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(writer)
        ended = asyncio.ensure_future(reader.read())
        following = asyncio.ensure_future(self.follow(gateway, int(got[2]), writer))
        try:
            await asyncio.wait({ended, following}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            ended.cancel()
            following.cancel()

    def list_for(self, gateway: str) -> dict[str, Any]:
        """The whole list for one gateway; it counts as told."""
        whole = self.catalogue.whole(lambda host: self.dial(gateway, host))
        self.note(gateway, whole)
        return whole

    async def follow(self, gateway: str, index: int, writer: asyncio.StreamWriter) -> None:
        """Say what changed after a version, and then each change, until the connection ends."""
        first = True
        while True:
            if first or self.catalogue.seq > index:
                if not first:
                    await asyncio.sleep(self.rng.uniform(0, self.kind.notice_ms) / 1000)
                await self._spoke.wait()
                changes = self.catalogue.since(index, lambda host: self.dial(gateway, host))
                self.say(json.dumps(changes).encode(), writer)
                self.note(gateway, changes)
                index, first = changes["seq"], False
                continue
            changed = self._changed
            try:
                async with asyncio.timeout(self.kind.beat_s):
                    await changed.wait()
            except TimeoutError:
                if not self.silent and not writer.is_closing():
                    writer.write(b"1\r\n\n\r\n")

    def note(self, gateway: str, said: dict[str, Any]) -> None:
        """What discovery has written counts as told."""
        now, known = now_ms(), self.heard.setdefault(gateway, set())
        listed = {entry["host"]: entry for entry in said["hosts"]}
        for name, entry in listed.items():
            self.ledger.told.append(BackendNotice(gateway, name, now, entry["health"], entry["born_ms"]))
            (known.discard if entry["health"] == "removed" else known.add)(name)
        if said["whole"]:
            for name in known - set(listed):
                self.ledger.told.append(BackendNotice(gateway, name, now, "removed"))
            known &= set(listed)
        noted, self._noted = self._noted, asyncio.Event()
        noted.set()

    async def removal_heard(self, name: str) -> None:
        """Return once every gateway that has been told of a host has been told that it is removed."""
        while any(name in known for known in self.heard.values()):
            await self._noted.wait()

    def say(self, line: bytes, writer: asyncio.StreamWriter) -> None:
        """Write a line of a watch."""
        if not writer.is_closing():
            writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    # ---- what happens to the list ----

    def put(self, host: Host) -> None:
        """List a host, or list it anew."""
        self.catalogue.put(host)
        self._tell()

    def update(self, name: str, **values: Any) -> None:
        """Change fields of a host that is listed."""
        self.catalogue.change(name, **values)
        self._tell()

    def _tell(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def hush(self, silent: bool) -> None:
        """Be down, or back."""
        self.silent = silent
        (self._spoke.clear if silent else self._spoke.set)()
