"""The shell of a holder: a process that spends, beside an instance of the fleet on the same machine.

Nothing here blocks. Where the instance is silent, what is held can be spent until it ends, and no more.
"""

from __future__ import annotations

import asyncio
import os
import secrets
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from roadpulley.fleet.clock import Clock, from_environment

from .holder import Holder, limit_of
from .terms import Ask, Hello, Serving, ToHolder, Welcome

HELLO_S = 0.5
LEAST_WAIT_S = 0.001  # of the timer's own rounding
NUMBER_BITS = 53
DECODER: msgspec.msgpack.Decoder[ToHolder] = msgspec.msgpack.Decoder(ToHolder)
ENCODER = msgspec.msgpack.Encoder()


@dataclass(eq=False)
class Wish:
    """One act that waits until it can be paid, or its time is up."""

    limit: str
    units: float
    done: Callable[[bool], None]
    timer: asyncio.TimerHandle | None = None


@dataclass
class Purses(asyncio.DatagramProtocol):
    """`instance`: the socket of the instance, `roadpulley fleet` makes it beside its own."""

    instance: Path
    clock: Clock = field(default_factory=from_environment)

    def __post_init__(self) -> None:
        self.number = secrets.randbits(NUMBER_BITS) or 1
        self.path = self.instance.with_name(f"{self.instance.name}.{self.number:x}")
        self.machine: Holder | None = None  # until an instance has told the settings
        self.waiting: dict[str, list[Wish]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.hello: asyncio.TimerHandle | None = None
        self.sock: socket.socket | None = None
        self.unsent = 0
        self.paid_at = 0.0  # by our clock: the last look at it before an act

    # ---- life ----

    async def open(self) -> None:
        """Raises OSError where the folder can't be written."""
        loop = asyncio.get_running_loop()
        self.path.parent.mkdir(parents=True, exist_ok=True)  # the instance may not have started yet
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(str(self.path))
        os.chmod(self.path, 0o600)
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=sock)
        self.sock = sock
        self._hello()

    def close(self) -> None:
        """Wishes that wait are not paid; rights that are held end by themselves."""
        for timer in (self.timer, self.hello):
            if timer is not None:
                timer.cancel()
        for limit in list(self.waiting):
            for wish in self.waiting.pop(limit):
                self._end(wish, False)
        if self.sock is not None:
            self.transport.close()
            with suppress(OSError):
                self.path.unlink()

    def _hello(self) -> None:
        self._send(Hello(self.number))
        self.hello = asyncio.get_running_loop().call_later(HELLO_S, self._hello)

    # ---- to spend ----

    def take(self, limit: str, units: float) -> bool:
        """Spend so much now, if it is held."""
        if self.machine is None:
            return False
        now = self.clock.now()
        taken = self.machine.take(now, limit, units)
        self.paid_at = now
        if ask := self.machine.ask_now(now, limit):
            self._send(ask)
        self._set()
        return taken

    def wish(
        self, plan: str, customer: str, units: float, within: float, done: Callable[[bool], None]
    ) -> None:
        """Spend so much as soon as it is held: `done` is called once, at once or within so many seconds."""
        limit = limit_of(plan, customer)
        if self.take(limit, units):
            return done(True)
        if not self._asks(limit):
            return done(False)  # nobody is there to ask, or it was told to wait for longer
        wish = Wish(limit, units, done)
        self.waiting.setdefault(limit, []).append(wish)
        wish.timer = asyncio.get_running_loop().call_later(within, self._expire, wish)

    def _asks(self, limit: str) -> bool:
        """Whether an answer for it may come."""
        purse = self.machine.purses.get(limit) if self.machine is not None else None
        return purse is not None and purse.open is not None

    def _expire(self, wish: Wish) -> None:
        if wish in (rows := self.waiting.get(wish.limit, [])):
            rows.remove(wish)
            self._end(wish, False)

    def _end(self, wish: Wish, paid: bool) -> None:
        if wish.timer is not None:
            wish.timer.cancel()
        wish.done(paid)

    def _pay(self, limit: str) -> None:
        """An answer has come: those that wait are paid in their order, or asked for once more."""
        assert self.machine is not None
        rows = self.waiting.pop(limit, [])
        now = self.paid_at = self.clock.now()
        while rows and self.machine.take(now, limit, rows[0].units, anew=False):
            self._end(rows.pop(0), True)
        if ask := self.machine.ask_now(now, limit):
            self._send(ask)
        if self._asks(limit):
            self.waiting[limit] = rows + self.waiting.get(limit, [])
        else:
            for wish in rows:
                self._end(wish, False)  # there is nothing: it is told so at once

    # ---- messages ----

    def datagram_received(self, data: bytes, addr: object) -> None:
        try:
            body = DECODER.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return
        now = self.clock.now()
        if isinstance(body, Welcome):
            if self.machine is None or self.machine.parts != body.parts:
                self.machine = Holder(self.number, body.parts, body.times)
                self._send(Hello(self.number))  # who serves is told again, now that it can be kept
        elif self.machine is None:
            return
        elif isinstance(body, Serving):
            self.machine.serving(now, body.part, body.fence, body.left_ms / 1000)
        elif body.holder == self.number:
            limit, waited = body.limit, self._asks(body.limit)
            self.machine.heard(now, body)
            if waited and not self._asks(limit):
                self._pay(limit)
        self._set()

    def _send(self, body: Hello | Ask) -> None:
        if self.sock is None:
            return
        try:
            self.sock.sendto(ENCODER.encode(body), str(self.instance))
        except OSError:
            self.unsent += 1  # no instance there just now, or it reads too slowly: as if lost on a link

    # ---- time ----

    def _set(self) -> None:
        if self.machine is None:
            return
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0.0, (self.machine.next_at() - self.clock.now()) / self.clock.rate)
        self.timer = asyncio.get_running_loop().call_later(min(wait, HELLO_S) + LEAST_WAIT_S, self._tick)

    def _tick(self) -> None:
        assert self.machine is not None
        for ask in self.machine.tick(self.clock.now()):
            self._send(ask)
        for limit in [name for name in self.waiting if not self._asks(name)]:
            self._pay(limit)
        self._set()
