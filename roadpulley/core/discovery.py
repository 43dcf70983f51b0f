"""The list of backends: reading it and watching it for changes."""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging
import random
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import h11

from mintford.interface import BackendEntry, BackendState, ListScope

from .clock import now_ms
from .discovery_watch import CloseCall, DiscoveryWatch, OpenCall, WatchAction
from .settings import Address, parse_address

log = logging.getLogger(__name__)

PATH = "/catalog/members"
MAX_OBJECT_BYTES = 16 * 1024 * 1024
# Before a call is given up for its time: what has come meanwhile is read first, also by a loop that was late.
READ_GRACE_S = 0.002
FIRST_LINE_TIMEOUT_S = 0.02  # from the head until the first line, which comes or begins to come with it
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
BACKEND_STATES = {"up": BackendState.READY, "draining": BackendState.DRAINING, "removed": BackendState.GONE}


class DiscoveryError(Exception):
    """Discovery said what it should not."""


@dataclass(frozen=True, slots=True)
class Member:
    entry: BackendEntry
    address: Address


@dataclass(frozen=True, slots=True)
class MemberList:
    version: int
    is_full: bool
    members: tuple[Member, ...]


# With the time, in milliseconds, from when on what is listed may have counted as told.
Listener = Callable[[ListScope, tuple[Member, ...], float], None]


def hash_host_name(host: str) -> int:
    """A number for a host's name: the same at every gateway and after every start."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=8).digest(), "big")


def parse_member(raw: dict[str, Any]) -> Member:
    entry = BackendEntry(
        backend=hash_host_name(raw["host"]),
        zone=str(raw.get("site") or ""),
        cell=int(raw.get("block") or 0),
        started=float(raw.get("born_ms") or 0),
        state=BACKEND_STATES[raw["health"]],
    )
    return Member(entry, parse_address(raw["dial"]))


def parse_member_list(raw: Any) -> MemberList:
    try:
        members = tuple(parse_member(host) for host in raw.get("hosts") or ())
        return MemberList(int(raw["seq"]), bool(raw.get("whole")), members)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DiscoveryError(f"{type(error).__name__}: {error}") from error


class JsonObjectSplitter:
    """Cuts a stream into JSON objects, however their lines are laid out, and the empty lines between them.

    A string holds no line break as it is written, so brackets are counted a line at a time.
    """

    def __init__(self) -> None:
        self.lines: list[bytes] = []  # of an object that is not whole
        self.rest = b""  # of a line that is not
        self.depth = self.size = 0

    @property
    def begun(self) -> bool:
        """Whether an object, or an empty line, has come in part."""
        return bool(self.lines or self.rest)

    def feed(self, data: bytes, last: bool = False) -> list[bytes]:
        """Objects that are whole now, and b"" for each empty line between. Raises DiscoveryError.

        `last`: the answer ends here as it should, so the last line needs no break.
        """
        *lines, self.rest = (self.rest + data).split(b"\n")
        if last and self.rest.strip():
            lines, self.rest = [*lines, self.rest], b""
        whole: list[bytes] = []
        for line in lines:
            text = line.strip()
            if text:
                plain = JSON_STRING.sub(b"", text)
                self.depth += plain.count(b"{") - plain.count(b"}")
                self.lines.append(text)
                self.size += len(text)
            if self.depth <= 0 and (text or not self.lines):
                whole.append(b" ".join(self.lines))
                self.lines, self.depth, self.size = [], 0, 0
        if self.size + len(self.rest) > MAX_OBJECT_BYTES:
            raise DiscoveryError("an endless line")
        return whole


class DiscoveryCall(asyncio.Protocol):
    """One call to discovery, from its connection to its end, of which it tells once unless it is left."""

    def __init__(self, discovery: DiscoveryClient, what: OpenCall) -> None:
        self.discovery, self.what = discovery, what
        self.http, self.objects = h11.Connection(h11.CLIENT), JsonObjectSplitter()
        self.transport: asyncio.Transport | None = None
        self.left = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        if self.left:
            return self.leave()
        (host, port), version = self.what.address, self.what.version
        # With no version known, the whole list comes first.
        target = PATH if version is None else f"{PATH}?stream=1&index={version}"
        headers = [("Host", f"{host}:{port}"), ("Accept", "application/json")]
        request = self.http.send(h11.Request(method="GET", target=target, headers=headers)) or b""
        self.transport.write(request + (self.http.send(h11.EndOfMessage()) or b""))

    def data_received(self, data: bytes) -> None:
        self.read(data)

    def connection_lost(self, error: Exception | None) -> None:
        # Danger: where no length tells the end of an answer its connection's end does, but a reset is no end.
        if error is not None:
            return self.end(" ".join(str(error).split()) or type(error).__name__)
        self.read(b"")
        self.end("ended")

    def read(self, data: bytes) -> None:
        if self.left:
            return
        try:
            self.http.receive_data(data)
            while not self.left and (event := self.http.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise DiscoveryError(f"status {event.status_code}")
                    self.discovery.on_head(self.what.call)
                elif isinstance(event, h11.Data):
                    self.take(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    self.take(b"", last=True)
                    return self.end("ended", clean=True)
        except (h11.ProtocolError, DiscoveryError) as error:
            self.end(str(error))

    def take(self, data: bytes, last: bool = False) -> None:
        for text in self.objects.feed(data, last):
            if self.left:
                return
            self.discovery.on_line(self.what.call, text)

    def end(self, reason: str, clean: bool = False) -> None:
        if not self.left:
            self.leave()
            self.discovery.on_end(self.what.call, reason, clean)

    def leave(self) -> None:
        """Say and take nothing more."""
        self.left = True
        if self.transport is not None:
            self.transport.abort()


class DiscoveryClient:
    """Follows the list from a version on and reports each change. What to call and when is the watch's."""

    def __init__(
        self, address: Address, version: int | None, listener: Listener, chance: random.Random | None = None
    ) -> None:
        self.watch, self.listener = DiscoveryWatch(address, version, chance or random.Random()), listener
        self.initial_list_received = (
            asyncio.Event()
        )  # what the agent had at the start, or so far as can be seen
        self.open: DiscoveryCall | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    @property
    def address(self) -> Address:
        return self.watch.address

    def move(self, address: Address) -> None:
        """Leave the watch and follow another address from now on."""
        log.info("watch moves to %s:%d", *address)
        self.act(self.watch.on_move(now_ms(), address))

    async def run(self) -> None:
        """Follow the list until cancelled."""
        self.act(self.watch.on_time(now_ms()))
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            if self.timer is not None:
                self.timer.cancel()
            self.leave()

    # ---- events ----

    def on_time(self, read_first: bool = True) -> None:
        loop = asyncio.get_running_loop()
        if now_ms() < self.watch.due:
            self.arm()
        elif read_first:
            # Danger: timers come before sockets in a turn of the loop; a late one would take all for silent.
            self.timer = loop.call_later(READ_GRACE_S, self.on_time, False)
        else:
            self.act(self.watch.on_time(now_ms()))

    def on_head(self, number: int) -> None:
        self.watch.on_head(now_ms(), number)
        self.arm()
        asyncio.get_running_loop().call_later(FIRST_LINE_TIMEOUT_S, self.on_no_line)

    def on_no_line(self) -> None:
        # Danger: where the first line comes in pieces, what it tells counts already. It is waited for.
        if self.open is None or not self.open.objects.begun:
            self.initial_list_received.set()

    def on_line(self, number: int, text: bytes) -> None:
        if not self.watch.on_line(now_ms(), number):
            return
        if text:
            self.take(number, text)
        self.initial_list_received.set()
        self.arm()

    def on_end(self, number: int, reason: str, clean: bool = False) -> None:
        self.act(self.watch.on_end(now_ms(), number, reason, clean))

    def take(self, number: int, text: bytes) -> None:
        """Report a change, and go on whatever came: without a watch the list is stale, drains are missed."""
        try:
            got = parse_member_list(json.loads(text))
            if got.is_full or got.members:
                scope = ListScope.FULL if got.is_full else ListScope.CHANGES
                self.listener(scope, got.members, self.watch.since)
            self.watch.version = got.version
        except (DiscoveryError, ValueError, RecursionError) as error:
            self.watch.version = None  # what this change held is not known: read everything again
            self.on_end(number, " ".join(str(error).split()))
        except Exception:
            log.exception("a change could not be taken")
            self.watch.version = None
            self.on_end(number, "failed")

    # ---- actions ----

    def act(self, action: WatchAction) -> None:
        if action is not None:
            self.leave()
        if isinstance(action, CloseCall):
            log.info("watch %s", action.reason)
        elif isinstance(action, OpenCall):
            self.open = DiscoveryCall(self, action)
            self.connecting = asyncio.get_running_loop().create_task(self.connect(self.open))
        self.arm()

    def leave(self) -> None:
        if self.open is not None:
            self.open.leave()
        if self.connecting is not None:
            self.connecting.cancel()
        self.open = self.connecting = None

    async def connect(self, call: DiscoveryCall) -> None:
        host, port = call.what.address
        try:
            await asyncio.get_running_loop().create_connection(lambda: call, host, port)
        except OSError as error:
            call.end(" ".join(str(error).split()) or type(error).__name__)

    def arm(self) -> None:
        """Wake at the time that the watch has now."""
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0.0, self.watch.due - now_ms()) / 1000
        self.timer = asyncio.get_running_loop().call_later(wait, self.on_time)
