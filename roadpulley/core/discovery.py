"""The list of backends: reading it and watching it for changes."""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging
import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

import h11

from mintford.interface import BackendEntry, BackendState, ListScope

from .settings import Address, parse_address

log = logging.getLogger(__name__)

PATH = "/catalog/members"
SILENT_S = 4.5  # an empty line comes every 2 s
CONNECT_S = 1.0
BACKOFF_S = (0.1, 1.0)  # the first wait before a new watch, and the longest
JITTER = 0.5  # of a wait, either way. Danger: gateways that lost their watches at once would call as one
LONGEST_LINE = 16 * 1024 * 1024
STATES = {"up": BackendState.READY, "draining": BackendState.DRAINING, "removed": BackendState.GONE}


class DiscoveryError(Exception):
    """Discovery said what it should not."""


@dataclass(frozen=True, slots=True)
class Member:
    entry: BackendEntry
    address: Address


@dataclass(frozen=True, slots=True)
class MemberList:
    version: int
    whole: bool
    members: tuple[Member, ...]


Listener = Callable[[ListScope, tuple[Member, ...]], None]


def host_number(host: str) -> int:
    """A number for a host's name: the same at every gateway and after every start."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=8).digest(), "big")


def read_member(raw: dict[str, Any]) -> Member:
    entry = BackendEntry(
        backend=host_number(raw["host"]),
        zone=str(raw.get("site") or ""),
        cell=int(raw.get("block") or 0),
        started=float(raw.get("born_ms") or 0),
        state=STATES[raw["health"]],
    )
    return Member(entry, parse_address(raw["dial"]))


def read_list(raw: Any) -> MemberList:
    try:
        members = tuple(read_member(host) for host in raw.get("hosts") or ())
        return MemberList(int(raw["seq"]), bool(raw.get("whole")), members)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DiscoveryError(f"{type(error).__name__}: {error}") from error


class Discovery:
    """Follows the list from a version on and reports each change."""

    def __init__(
        self, address: Address, version: int | None, listener: Listener, chance: random.Random | None = None
    ) -> None:
        self.chance = chance or random.Random()
        self.address, self.version, self.listener = address, version, listener
        self._heard = False  # anything on the last watch
        self._moved = asyncio.Event()

    def move(self, address: Address) -> None:
        """Leave the watch and follow another address from now on.

        Its versions need not be those of the old one, so the whole list is read before its changes.
        """
        self.address, self.version = address, None
        self._moved.set()

    def pause(self, wait: float) -> float:
        return wait * self.chance.uniform(1 - JITTER, 1 + JITTER)

    async def run(self) -> None:
        wait = BACKOFF_S[0]
        while True:
            self._moved.clear()
            self._heard = False
            watch = asyncio.ensure_future(self._watch())
            moved = asyncio.ensure_future(self._moved.wait())
            try:
                await asyncio.wait({watch, moved}, return_when=asyncio.FIRST_COMPLETED)
                if moved.done():
                    log.info("watch moves to %s:%d", *self.address)
                    wait = BACKOFF_S[0]
                    continue
                wait = BACKOFF_S[0] if self._heard else min(BACKOFF_S[1], wait * 2)
                pause = self.pause(wait)
                log.info("watch %s; again in %.2f s", watch.result(), pause)
                await asyncio.wait({moved}, timeout=pause)
            finally:
                watch.cancel()
                moved.cancel()

    async def _watch(self) -> str:
        """Follow the list until the connection ends; gives the reason."""
        try:
            async for line in self._lines(self._target()):
                self._heard = True
                if line.strip():
                    self._take(line)
            return "ended"
        except (OSError, h11.ProtocolError, DiscoveryError) as error:  # time-outs are among these
            return " ".join(str(error).split()) or type(error).__name__
        except Exception:
            # Without a watch the list goes stale and drains are missed, so it goes on whatever came.
            log.exception("a change could not be taken")
            self.version = None
            return "failed"

    def _target(self) -> str:
        # With no version known, the whole list comes first.
        return PATH if self.version is None else f"{PATH}?stream=1&index={self.version}"

    def _take(self, line: bytes) -> None:
        try:
            raw = json.loads(line)
        except ValueError as error:
            raise DiscoveryError(str(error)) from error
        try:
            got = read_list(raw)
        except DiscoveryError:
            self.version = None  # what this change held is not known: read everything again
            raise
        if got.whole or got.members:
            self.listener(ListScope.FULL if got.whole else ListScope.CHANGES, got.members)
        self.version = got.version

    async def _lines(self, target: str) -> AsyncIterator[bytes]:
        host, port = self.address
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            http = h11.Connection(h11.CLIENT)
            headers = [("Host", f"{host}:{port}"), ("Accept", "application/json")]
            writer.write(http.send(h11.Request(method="GET", target=target, headers=headers)) or b"")
            writer.write(http.send(h11.EndOfMessage()) or b"")
            rest = b""
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    # A machine that is cut off says nothing; only the missing lines show it.
                    async with asyncio.timeout(SILENT_S):
                        http.receive_data(await reader.read(65536))
                elif isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise DiscoveryError(f"status {event.status_code}")
                elif isinstance(event, h11.Data):
                    *lines, rest = (rest + event.data).split(b"\n")
                    for line in lines:
                        yield line
                    if len(rest) > LONGEST_LINE:
                        raise DiscoveryError("an endless line")
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    if rest.strip():
                        yield rest
                    return
        finally:
            writer.close()
