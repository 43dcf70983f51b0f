"""A loopback relay that stands for one link, and disturbs it on demand.

Bytes that a cut holds up arrive when it heals, as TCP would bring them; what has been reset is lost. Where
the far side refuses connections the near side is refused too: the relay listens only while it should.
"""

from __future__ import annotations

import asyncio
import os
import random
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import cast

from roadpulley.core.clock import now_ms

from .server import LOCAL, Departures, Ends, Origins, Port, ends_at_client

GARBAGE = b"\x00\xff?!garbage\r\n$-7\r\n"
DRIP_INTERVAL_MS = 20.0  # between the pieces of a drip
TO_FAR_SIDE = "there"
TO_NEAR_SIDE = "back"
TCP_ESTABLISHED = 1  # the state number in the kernel's struct tcp_info


@dataclass(eq=False)
class LinkDisturbance:
    """What is wrong with a link just now; several may be."""

    kind: str  # delay, cut, half-open, reset, drip, garbage, blackhole
    direction: str = "both"
    ms: float = 0.0
    after: int = 0
    rate: float = 0.0

    def on(self, direction: str) -> bool:
        """Whether it affects this direction."""
        return self.direction in (direction, "both")


class Flow:
    """One direction of one connection: bytes wait here for their time, in order."""

    def __init__(self, pipe: Pipe, direction: str) -> None:
        self.pipe, self.direction = pipe, direction
        self.sink: asyncio.Transport | None = None
        self.queue: deque[tuple[float, bytes | None]] = deque()  # None: the end of sending
        self.passed = 0
        self.departures = Departures()
        self.deliveries = Departures()  # when the sink was handed them
        self.is_corrupted = False
        self.timer: asyncio.TimerHandle | None = None

    def feed(self, data: bytes | None) -> None:
        """Take bytes that arrived, or None for the end of sending."""
        if data is not None:
            self.departures.record(len(data), now_ms())
        delay = max((t.ms for t in self.active_disturbances("delay")), default=0.0)
        due = now_ms() + delay
        if self.queue:
            due = max(due, self.queue[-1][0])
        self.queue.append((due, data))
        self.pump()

    def active_disturbances(self, *kinds: str) -> list[LinkDisturbance]:
        """Those of these kinds that affect this direction now."""
        return [
            disturbance
            for disturbance in self.pipe.relay.disturbances
            if disturbance.kind in kinds and disturbance.on(self.direction)
        ]

    def pump(self) -> None:
        """Pass on what is due, unless the link is silent."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.queue and self.sink is not None and not self.pipe.over:
            if self.active_disturbances("cut", "half-open", "blackhole"):
                return  # until it heals
            due, data = self.queue[0]
            if (wait := due - now_ms()) > 0:
                return self._later(wait)
            if data is None:
                self.queue.popleft()
                if self.sink.can_write_eof():
                    self.sink.write_eof()
                continue
            drip = next(iter(self.active_disturbances("drip")), None)
            if drip is not None:
                size = max(1, int(drip.rate * DRIP_INTERVAL_MS / 1000))
                if len(data) > size:
                    self.queue[0] = (now_ms() + DRIP_INTERVAL_MS, data[size:])
                    self._pass(data[:size])
                    continue
            self.queue.popleft()
            self._pass(data)

    def _later(self, ms: float) -> None:
        # Rounded up: an early call would find nothing due and ask again at once.
        self.timer = asyncio.get_running_loop().call_later((ms + 1) / 1000, self.pump)

    def _pass(self, data: bytes) -> None:
        assert self.sink is not None
        for disturbance in self.active_disturbances("garbage"):
            at = disturbance.after - self.passed
            if not self.is_corrupted and 0 <= at <= len(data):
                self.is_corrupted = True
                data = data[:at] + GARBAGE + data[at:]
        for disturbance in self.active_disturbances("reset"):
            # With nothing to pass first, the byte that comes is the one that is cut off.
            if self.passed + len(data) > disturbance.after:
                last = data[: max(0, disturbance.after - self.passed)]
                return self.pipe.reset(self.sink, last)
        if self.direction == TO_FAR_SIDE:
            self.pipe.note_far_end()
        self.passed += len(data)
        self.sink.write(data)
        self.deliveries.record(len(data), now_ms())


class Side(asyncio.Protocol):
    """One end of a pipe: what it hears goes into the flow away from it."""

    def __init__(self, pipe: Pipe, flow: Flow, near: bool) -> None:
        self.pipe, self.flow, self.near = pipe, flow, near
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the socket and tell the pipe."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.pipe.came_up(self)

    def data_received(self, data: bytes) -> None:
        """Hand bytes to the flow away from this side."""
        self.flow.feed(data)

    def eof_received(self) -> bool:
        """Record the end of sending, and pass it on in its order."""
        self._ended()
        self.flow.feed(None)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end of the connection."""
        self._ended()
        self.pipe.side_lost(self, isinstance(error, ConnectionResetError))

    def _ended(self) -> None:
        if self.near:
            self.pipe.near_ended()
        else:
            self.pipe.far_ended()


class Pipe:
    """One connection through the relay: a near side that connected and a far side."""

    def __init__(self, relay: Relay) -> None:
        self.relay, self.over = relay, False
        self.there, self.back = Flow(self, TO_FAR_SIDE), Flow(self, TO_NEAR_SIDE)
        self.near, self.far = Side(self, self.there, True), Side(self, self.back, False)
        self.far_ends: Ends | None = None
        self.far_up_at: float | None = None
        self.ended_at: float | None = None  # by the near side
        self.far_ended_at: float | None = None
        self.delivered = 0  # bytes that the far side had been handed by then

    def came_up(self, side: Side) -> None:
        """Connect a side to the flow that leads to it."""
        if side.near:
            assert side.transport is not None
            self.relay.by_near_port[side.transport.get_extra_info("peername")[1]] = self
            self.back.sink = side.transport
            self.back.pump()
            return
        self.there.sink = side.transport
        self.far_up_at = now_ms()
        assert side.transport is not None
        self.far_ends = ends_at_client(side.transport)
        self.relay.origins.names[self.far_ends] = self.relay.origin
        self.relay.origins.departures[self.far_ends] = self.there.departures
        self.relay.origins.ended.pop(self.far_ends, None)  # the ports may have been another's
        if self.ended_at is not None:
            self.relay.origins.ended[self.far_ends] = self.ended_at
        self.there.pump()

    def near_ended(self) -> None:
        """Record when the near side ended; only the first end counts."""
        if self.ended_at is None:
            self.ended_at = now_ms()
            if self.far_ends is not None:
                self.relay.origins.ended[self.far_ends] = self.ended_at

    def far_ended(self) -> None:
        """Record when the far side ended, and how much it had been handed."""
        if self.far_ended_at is None:
            self.far_ended_at, self.delivered = now_ms(), self.there.passed

    def note_far_end(self) -> None:
        """Record an end of the far side that this process has not read yet, before more is handed over.

        Only the kernel tells whether the far side ended before it was handed these bytes, or after that.
        """
        if self.far_ended_at is not None or self.far.transport is None:
            return
        far_socket = self.far.transport.get_extra_info("socket")
        tcp_info = far_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        if tcp_info[0] != TCP_ESTABLISHED:
            self.far_ended()

    def ended_within(self, byte_count: int) -> bool:
        """Whether the far side ended before it was handed more than so many bytes."""
        return self.far_ended_at is not None and self.delivered <= byte_count

    def was_open_at(self, at: float) -> bool:
        """Whether the far side ended after this time, if it has ended."""
        return self.far_ended_at is None or self.far_ended_at > at

    @property
    def was_refused(self) -> bool:
        """Whether the far side did not take the connection."""
        return self.far_ended_at is not None and self.far_up_at is None

    def unused_ms(self) -> float | None:
        """For how long the far side was open, if it ended before it was handed anything."""
        if self.far_ended_at is None or self.far_up_at is None or self.delivered:
            return None
        return self.far_ended_at - self.far_up_at

    def side_lost(self, side: Side, was_reset: bool) -> None:
        """One side is gone for good; what it had said still arrives, if the link lets it.

        A reset is passed on as one, right behind the bytes before it: the other side may have read none of
        them. Bytes that this process still holds would be lost with it, so that such a connection just ends.
        """
        held = self.there.queue or self.back.queue
        if self.relay.silent and held and not self.over:
            return self.relay.closing.append(self)
        other = (self.far if side.near else self.near).transport
        if was_reset and not held and other is not None and not other.get_write_buffer_size():
            return self.reset()
        self.close()

    def close(self) -> None:
        """Close both sides in order."""
        self.over = True
        self.relay.pipes.discard(self)
        for side in (self.near, self.far):
            if side.transport is not None and not side.transport.is_closing():
                side.transport.close()

    def reset(self, sink: asyncio.Transport | None = None, last: bytes = b"") -> None:
        """Reset both sides; what is held is lost. `last`: written to `sink` before."""
        self.over = True
        self.relay.pipes.discard(self)
        for side in (self.near, self.far):
            if side.transport is not None:
                hard_close(side.transport, last if side.transport is sink else b"")


def hard_close(transport: asyncio.Transport, last: bytes = b"") -> None:
    """Close with a reset instead of an end of sending, right behind `last` as far as the kernel takes it."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        if last and not transport.get_write_buffer_size():
            with suppress(OSError):
                os.write(sock.fileno(), last)  # the transport would drop what it has not written yet
        # SO_LINGER with no time: the kernel throws away what is unsent and answers with RST.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    transport.abort()


class Relay:
    """One link. `origin` is whose connections these are; `target` gives where they lead just now."""

    def __init__(self, name: str, origin: str, origins: Origins, target: Callable[[], int]) -> None:
        self.name, self.origin, self.origins, self.target = name, origin, origins, target
        self.port = Port()
        self.disturbances: list[LinkDisturbance] = []
        self.pipes: set[Pipe] = set()
        self.closing: list[Pipe] = []  # one side is gone, and the link is silent: the other hears it later
        self.ready: deque[Pipe] = deque()  # whose far side is up already
        self.by_near_port: dict[int, Pipe] = {}  # the last one that came from there
        self.server: asyncio.Server | None = None
        self.plug: list[socket.socket] = []  # fills the queue of a listener that nobody accepts from
        self.tasks: set[asyncio.Task[None]] = set()
        self.wanted = False
        self.lock = asyncio.Lock()
        self.rng = random.Random(name)

    @property
    def silent(self) -> bool:
        """Whether nothing is passed on just now."""
        return any(each.kind in ("cut", "half-open", "blackhole") for each in self.disturbances)

    @property
    def cut(self) -> bool:
        """Whether new connections never come up."""
        return any(each.kind == "cut" for each in self.disturbances)

    # ---- listening ----

    async def listen(self) -> None:
        """Accept connections, as the far side does."""
        self.wanted = True
        await self._settle()

    async def refuse(self) -> None:
        """Take no more connections: the far side does not listen either."""
        self.wanted = False
        await self._settle()

    async def _settle(self) -> None:
        async with self.lock:
            if self.server is not None and (self.cut or not self.wanted):
                self.server.close()
                self.server = None
            if self.plug and not (self.cut and self.wanted):
                for each in self.plug:
                    each.close()
                self.plug = []
            if not self.wanted:
                return
            if self.cut and not self.plug:
                self._plug()
            elif not self.cut and self.server is None:
                loop = asyncio.get_running_loop()
                self.server = await loop.create_server(self._accept, sock=self.port.listener())

    def _plug(self) -> None:
        """New connections never come up: the queue of those that wait is full, and the kernel drops more."""
        stopped = self.port.listener(backlog=0)
        self.plug = [stopped]
        for _ in range(2):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex((LOCAL, self.port.number))
            self.plug.append(filler)

    def _accept(self) -> Side:
        # Where this process is late, a gateway may have ended a far side that asked nothing for so long.
        while self.ready and self.ready[0].far_ended_at is not None:
            self.ready.popleft().close()
        pipe = self.ready.popleft() if self.ready else Pipe(self)
        self.pipes.add(pipe)
        if pipe.far.transport is None:
            task = asyncio.get_running_loop().create_task(self._reach(pipe))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return pipe.near

    async def _reach(self, pipe: Pipe) -> None:
        try:
            await asyncio.get_running_loop().create_connection(lambda: pipe.far, LOCAL, self.target())
        except OSError:
            pipe.far_ended()
            pipe.reset()
        if pipe.over and pipe.far.transport is not None:
            hard_close(pipe.far.transport)

    async def prepare(self) -> Pipe:
        """Reach the far side before the near side connects. Raises OSError where it refuses.

        Danger: a client would else be taken in here though its gateway refuses it, and its request be lost.
        """
        pipe = Pipe(self)
        await asyncio.get_running_loop().create_connection(lambda: pipe.far, LOCAL, self.target())
        self.ready.append(pipe)
        return pipe

    def discard(self, pipe: Pipe) -> None:
        """Nobody came for a far side that was prepared."""
        if pipe in self.ready:
            self.ready.remove(pipe)
            pipe.reset()

    # ---- disturbances ----

    async def disturb(self, disturbance: LinkDisturbance) -> None:
        """Begin a disturbance; several may last at once."""
        self.disturbances.append(disturbance)
        await self._settle()

    async def heal(self, disturbance: LinkDisturbance) -> None:
        """End a disturbance, and pass on what it held up."""
        if disturbance in self.disturbances:
            self.disturbances.remove(disturbance)
        await self._settle()
        if disturbance.kind == "blackhole":
            for pipe in list(self.pipes):  # what it swallowed is gone for good
                pipe.reset()
        for pipe in list(self.pipes):
            pipe.there.pump()
            pipe.back.pump()
        if not self.silent:
            closing, self.closing = self.closing, []
            for pipe in closing:
                pipe.close()

    async def stop(self) -> None:
        """Reset all connections and give the port up."""
        await self.refuse()
        for task in list(self.tasks):
            task.cancel()
        for pipe in [*self.pipes, *self.ready, *self.closing]:
            pipe.reset()
        self.port.free()
