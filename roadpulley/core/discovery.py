"""The client of discovery: parses the list of backends and watches it for changes."""

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
# When a call has timed out, pending data is read first, because the event loop may have been late.
READ_GRACE_S = 0.002
FIRST_LINE_TIMEOUT_S = 0.02  # after the response head; the first line arrives with it, at least in part
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
BACKEND_STATES = {"up": BackendState.READY, "draining": BackendState.DRAINING, "removed": BackendState.GONE}


class DiscoveryError(Exception):
    """A response of discovery is invalid."""


@dataclass(frozen=True, slots=True)
class Member:
    """A listed backend and its address."""

    entry: BackendEntry
    address: Address


@dataclass(frozen=True, slots=True)
class MemberList:
    """One document of discovery. `is_full`: the full list, and not only changes."""

    version: int
    is_full: bool
    members: tuple[Member, ...]


# The last argument is the time in milliseconds when the listed changes may have taken effect.
Listener = Callable[[ListScope, tuple[Member, ...], float], None]


def hash_host_name(host: str) -> int:
    """The numeric id of a host's name. It is the same at all gateways and after a restart."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=8).digest(), "big")


def parse_member(raw: dict[str, Any]) -> Member:
    """Parses one host. Raises KeyError, TypeError or ValueError."""
    entry = BackendEntry(
        backend=hash_host_name(raw["host"]),
        zone=str(raw.get("site") or ""),
        cell=int(raw.get("block") or 0),
        started=float(raw.get("born_ms") or 0),
        state=BACKEND_STATES[raw["health"]],
    )
    return Member(entry, parse_address(raw["dial"]))


def parse_member_list(raw: Any) -> MemberList:
    """Parses a document of discovery. Raises DiscoveryError."""
    try:
        members = tuple(parse_member(host) for host in raw.get("hosts") or ())
        return MemberList(int(raw["seq"]), bool(raw.get("whole")), members)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DiscoveryError(f"{type(error).__name__}: {error}") from error


class JsonObjectSplitter:
    """Splits a stream into JSON objects, which may span lines, and the empty lines between them.

    An encoded string contains no line break, so brackets can be counted line by line.
    """

    def __init__(self) -> None:
        self.lines: list[bytes] = []  # of an incomplete object
        self.partial_line = b""
        self.depth = self.size = 0

    @property
    def has_partial(self) -> bool:
        """Whether an object or a line is incomplete."""
        return bool(self.lines or self.partial_line)

    def feed(self, data: bytes, last: bool = False) -> list[bytes]:
        """The objects that are complete now, and b"" for each empty line between. Raises DiscoveryError.

        `last`: the response is complete, so its last line needs no line break.
        """
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        if last and self.partial_line.strip():
            lines, self.partial_line = [*lines, self.partial_line], b""
        complete: list[bytes] = []
        for line in lines:
            text = line.strip()
            if text:
                plain = JSON_STRING.sub(b"", text)
                self.depth += plain.count(b"{") - plain.count(b"}")
                self.lines.append(text)
                self.size += len(text)
            if self.depth <= 0 and (text or not self.lines):
                complete.append(b" ".join(self.lines))
                self.lines, self.depth, self.size = [], 0, 0
        if self.size + len(self.partial_line) > MAX_OBJECT_BYTES:
            raise DiscoveryError("line too long")
        return complete


class DiscoveryCall(asyncio.Protocol):
    """One HTTP call to discovery. It reports its end exactly once, unless it was abandoned before."""

    def __init__(self, discovery: DiscoveryClient, open_action: OpenCall) -> None:
        self.discovery, self.open_action = discovery, open_action
        self.http, self.objects = h11.Connection(h11.CLIENT), JsonObjectSplitter()
        self.transport: asyncio.Transport | None = None
        self.is_abandoned = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class is no subclass
        if self.is_abandoned:
            return self.abandon()
        (host, port), version = self.open_action.address, self.open_action.version
        # Without a known version the full list is requested first.
        target = PATH if version is None else f"{PATH}?stream=1&index={version}"
        headers = [("Host", f"{host}:{port}"), ("Accept", "application/json")]
        request = self.http.send(h11.Request(method="GET", target=target, headers=headers)) or b""
        self.transport.write(request + (self.http.send(h11.EndOfMessage()) or b""))

    def data_received(self, data: bytes) -> None:
        self.read(data)

    def connection_lost(self, error: Exception | None) -> None:
        # A response without a length ends with its connection. A reset must not be taken for that end: then
        # the response is incomplete.
        if error is not None:
            return self.end(" ".join(str(error).split()) or type(error).__name__)
        self.read(b"")
        self.end("ended")

    def read(self, data: bytes) -> None:
        """Parses received bytes of the HTTP response; b"" stands for the end of the connection."""
        if self.is_abandoned:
            return
        try:
            self.http.receive_data(data)
            while not self.is_abandoned and (event := self.http.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise DiscoveryError(f"status {event.status_code}")
                    self.discovery.on_head(self.open_action.call)
                elif isinstance(event, h11.Data):
                    self.feed_body(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    self.feed_body(b"", last=True)
                    return self.end("ended", clean=True)
        except (h11.ProtocolError, DiscoveryError) as error:
            self.end(str(error))

    def feed_body(self, data: bytes, last: bool = False) -> None:
        """Reports the complete objects of a piece of the response body."""
        for text in self.objects.feed(data, last):
            if self.is_abandoned:
                return
            self.discovery.on_line(self.open_action.call, text)

    def end(self, reason: str, clean: bool = False) -> None:
        """Closes the call and reports its end, once."""
        if not self.is_abandoned:
            self.abandon()
            self.discovery.on_end(self.open_action.call, reason, clean)

    def abandon(self) -> None:
        """Closes the call without a report, and ignores further data."""
        self.is_abandoned = True
        if self.transport is not None:
            self.transport.abort()


class DiscoveryClient:
    """Watches the list from a version on and reports each change. `DiscoveryWatch` decides on the calls."""

    def __init__(
        self, address: Address, version: int | None, listener: Listener, rng: random.Random | None = None
    ) -> None:
        self.watch, self.listener = DiscoveryWatch(address, version, rng or random.Random()), listener
        self.initial_list_received = asyncio.Event()  # or nothing is available yet
        self.current_call: DiscoveryCall | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    @property
    def address(self) -> Address:
        """The current address of discovery."""
        return self.watch.address

    def move(self, address: Address) -> None:
        """Switches to another address."""
        log.info("watch moves to %s:%d", *address)
        self.perform(self.watch.on_move(now_ms(), address))

    async def run(self) -> None:
        """Watches the list until cancelled."""
        self.perform(self.watch.on_time(now_ms()))
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            if self.timer is not None:
                self.timer.cancel()
            self.close_call()

    # ---- events ----

    def on_time(self, read_first: bool = True) -> None:
        """The timer fired. `read_first`: let the event loop read pending data before a call times out."""
        loop = asyncio.get_running_loop()
        if now_ms() < self.watch.deadline:
            self.schedule_timer()
        elif read_first:
            # The event loop runs timers before it reads sockets. If the loop was late, a timer would
            # otherwise find the agent silent although its data is waiting.
            self.timer = loop.call_later(READ_GRACE_S, self.on_time, False)
        else:
            self.perform(self.watch.on_time(now_ms()))

    def on_head(self, number: int) -> None:
        """The head of a successful response was received."""
        self.watch.on_head(now_ms(), number)
        self.schedule_timer()
        asyncio.get_running_loop().call_later(FIRST_LINE_TIMEOUT_S, self.on_first_line_timeout)

    def on_first_line_timeout(self) -> None:
        """The wait for the first line after a response head is over."""
        # If part of the first line has arrived, its changes are already in effect, so it is awaited.
        if self.current_call is None or not self.current_call.objects.has_partial:
            self.initial_list_received.set()

    def on_line(self, number: int, text: bytes) -> None:
        """A complete line or object was received."""
        if not self.watch.on_line(now_ms(), number):
            return
        if text:
            self.apply_change(number, text)
        self.initial_list_received.set()
        self.schedule_timer()

    def on_end(self, number: int, reason: str, clean: bool = False) -> None:
        """A call ended. `clean`: its response was complete."""
        self.perform(self.watch.on_end(now_ms(), number, reason, clean))

    def apply_change(self, number: int, text: bytes) -> None:
        """Reports a change. No error ends the watch: without it the list is stale and drains are missed."""
        try:
            change = parse_member_list(json.loads(text))
            if change.is_full or change.members:
                scope = ListScope.FULL if change.is_full else ListScope.CHANGES
                self.listener(scope, change.members, self.watch.effective_since)
            self.watch.version = change.version
        except (DiscoveryError, ValueError, RecursionError) as error:
            self.watch.version = None  # the content of this change is unknown: request the full list
            self.on_end(number, " ".join(str(error).split()))
        except Exception:
            log.exception("a change could not be applied")
            self.watch.version = None
            self.on_end(number, "failed")

    # ---- actions ----

    def perform(self, action: WatchAction) -> None:
        """Performs an action of the watch, and schedules its next deadline."""
        if action is not None:
            self.close_call()
        if isinstance(action, CloseCall):
            log.info("watch %s", action.reason)
        elif isinstance(action, OpenCall):
            self.current_call = DiscoveryCall(self, action)
            self.connecting = asyncio.get_running_loop().create_task(self.connect(self.current_call))
        self.schedule_timer()

    def close_call(self) -> None:
        """Closes the current call, if there is one."""
        if self.current_call is not None:
            self.current_call.abandon()
        if self.connecting is not None:
            self.connecting.cancel()
        self.current_call = self.connecting = None

    async def connect(self, call: DiscoveryCall) -> None:
        """Opens the connection of a call."""
        host, port = call.open_action.address
        try:
            await asyncio.get_running_loop().create_connection(lambda: call, host, port)
        except OSError as error:
            call.end(" ".join(str(error).split()) or type(error).__name__)

    def schedule_timer(self) -> None:
        """Schedules `on_time` for the current deadline of the watch."""
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0.0, self.watch.deadline - now_ms()) / 1000
        self.timer = asyncio.get_running_loop().call_later(wait, self.on_time)
