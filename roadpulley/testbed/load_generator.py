"""Clients behind a load balancer: they send requests, check each answer, and retry as their class allows."""

from __future__ import annotations

import asyncio
import random
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from roadpulley.core.clock import now_ms

from .answers import PARTIAL_ANSWER, Answer, AnswerReader, CorruptAnswerError
from .arrivals import Arrival
from .ledger import MACHINE, MIN_NEW_CONNECTION_MS, Anomaly, ClientRequest, Ledger
from .relay import Pipe, Relay
from .scenario import Load
from .server import LOCAL
from .terms import DEPLOYMENTS

PING_INTERVAL_MS = 40.0  # between looks at a gateway that is not taken in yet
EXTRA_WAIT_MS = 600.0  # that a client looks on after its time, so that a late answer shows as late
CONNECT_TIMEOUT_S = 0.5
CONNECT_RETRY_S = 0.01
STILL_ROUTED_MS = 300.0  # new connections go on coming for this long after a planned restart began
AFTERMATH_MS = 1_000.0  # a connection that ends so soon after a death or a pause may have ended by it
SOCKET_MS = 50.0  # a relay that has not passed on what was sent so long ago is late
MIN_WAIT_MS = 150.0  # with less time left nobody tries again
CLASSES = [c for d in DEPLOYMENTS.values() for c in d.classes]  # names of two deployments are never the same
EFFECT = {c["name"]: c["effect"] for c in CLASSES}
GROUP = {c["name"]: c.get("group", "all") for c in CLASSES}
WINDOW = {c["name"]: float(c.get("repeatWindow", 0)) for c in CLASSES}


def encode(*args: bytes) -> bytes:
    """A command of the protocol."""
    return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in args)


def command(arrival: Arrival, id: str, wait: int, repeat: bool = False) -> bytes:
    """The command for one try of a request; `wait` is in ms."""
    who = arrival.customer
    listed = f"c={arrival.kind},t={who.plan},d={wait},"
    if arrival.key:
        listed += f"k={arrival.key},"
    listed += f"units={arrival.units:g},spread={who.spread},first={who.first}"
    if repeat:
        listed += ",r=1"
    verb = b"API.READ" if EFFECT[arrival.kind] == "pure" else b"API.WRITE"
    return encode(verb, who.id.encode(), id.encode(), listed.encode())


@dataclass(eq=False)
class PendingAnswer:
    """An ask with the future of its answer; None: the connection ended."""

    ask: ClientRequest
    answer: asyncio.Future[Answer | None]
    offset: int = 0  # bytes that were written to the connection before it
    end_offset: int = 0  # bytes that were written to the connection with it
    written_at: float | None = None


class ClientLink(asyncio.Protocol):
    """One connection to a gateway; answers are taken in the order of the commands."""

    def __init__(self, gate: GatewayTarget) -> None:
        self.gate, self.reader = gate, AnswerReader()
        self.waiting: deque[PendingAnswer] = deque()
        self.closed = False
        self.answers = 0
        self.written_bytes = 0
        self.received_bytes = 0
        self.unusable = False  # a client gave up on it: what comes next here may be the old answer
        self.pinged: asyncio.Future[bool] | None = None

    @property
    def is_usable(self) -> bool:
        """Whether a request may be sent on it."""
        return not self.closed and not self.unusable

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the socket."""
        self.transport = cast(asyncio.Transport, transport)
        self.local_port: int = transport.get_extra_info("sockname")[1]
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, one: PendingAnswer, data: bytes) -> None:
        """Write a request and wait for its answer."""
        self.waiting.append(one)
        one.offset = self.written_bytes
        self.write(data)
        one.end_offset, one.written_at = self.written_bytes, now_ms()
        if one.ask.crossed_at is None:
            one.ask.sent_at = now_ms()

    def write(self, data: bytes) -> None:
        """Write bytes and count them."""
        self.written_bytes += len(data)
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Take all answers that are whole."""
        self.received_bytes += len(data)
        self.reader.feed(data)
        try:
            while (answer := self.reader.next()) is not None:
                self.take(answer)
        except CorruptAnswerError as error:
            if self.waiting:
                self.waiting[0].ask.note = str(error)
                self.waiting[0].ask.how = "spoilt"
            else:
                self.odd(str(error))
            self.transport.abort()

    def take(self, answer: Answer) -> None:
        """Give an answer to the oldest request that waits for one."""
        if self.pinged is not None and answer.how == "said":
            if not self.pinged.done():
                self.pinged.set_result(answer.value == b"PONG")
            self.pinged = None
        elif not self.waiting:
            self.odd(f"an answer to nothing: {answer.how}")
        else:
            self.answers += 1
            one = self.waiting.popleft()
            if not one.answer.done():
                one.ask.answered_at = now_ms()
                self.note_link_times(one)
                one.answer.set_result(answer)

    def note_link_times(self, one: PendingAnswer) -> None:
        """Record when the relay handed over a request, and when it read its answer, which was just taken.

        How long the bytes lie in the relay, or between it and this client, is no doing of the gateway.
        """
        one.ask.held_ms = self.held_ms(one)
        if self.pipe is not None:
            taken_bytes = self.received_bytes - len(self.reader.buffer)
            one.ask.relayed_at = self.pipe.back.departures.find(taken_bytes)

    def held_ms(self, one: PendingAnswer) -> float:
        """For how long the relay held the last byte of a request, or has held it so far."""
        if one.written_at is None:
            return 0.0
        pipe = self.pipe
        handed_at = pipe.there.deliveries.find(one.end_offset) if pipe is not None else None
        if handed_at is not None:
            return max(0.0, handed_at - one.written_at)
        may_wait_for_gateway = pipe is not None and pipe.far_up_at is None
        if may_wait_for_gateway or self.gate.relay.disturbances:
            return 0.0
        return now_ms() - one.written_at

    def odd(self, what: str) -> None:
        """Record bytes that the protocol does not allow."""
        self.gate.load_generator.ledger.oddities.append(Anomaly(f"clients>{self.gate.name}", now_ms(), what))

    @property
    def pipe(self) -> Pipe | None:
        """This connection at the relay."""
        return self.gate.relay.by_near_port.get(self.local_port)

    def was_unread(self, one: PendingAnswer) -> bool:
        """Whether the gateway had ended the connection before it was handed any byte of this request.

        The relay knows of the end before the client does, which then cannot know it either.
        """
        return self.pipe is not None and self.pipe.ended_within(one.offset)

    @property
    def was_refused(self) -> bool:
        """Whether the relay took this connection in, and was then refused one by the gateway."""
        return self.pipe is not None and self.pipe.was_refused

    def unused_ms(self, sent_at: float) -> float | None:
        """For how long the gateway left a connection open that it ended before it was handed anything.

        A gateway may end one on which nothing comes; that this process was too late is no fault of it. None
        if it was not too late, or the gateway was handed something.
        """
        if self.pipe is None or (open_ms := self.pipe.unused_ms()) is None:
            return None
        is_late = self.pipe.was_open_at(sent_at + SOCKET_MS)
        return open_ms if is_late or open_ms >= MIN_NEW_CONNECTION_MS else None

    def connection_lost(self, error: Exception | None) -> None:
        """End all requests that wait, without an answer."""
        self.closed = True
        self.gate.links.discard(self)
        waiting, self.waiting = self.waiting, deque()
        if self.pinged is not None and not self.pinged.done():
            self.pinged.set_result(False)
        for place, one in enumerate(waiting):
            if not one.answer.done():
                # Only the first can have been answered in part: the rest may just have crossed the close.
                partly = place == 0 and bool(self.reader.buffer)
                one.ask.note = one.ask.note or (PARTIAL_ANSWER if partly else "")
                one.ask.answered_at = now_ms()
                one.answer.set_result(None)


class GatewayTarget:
    """One gateway as the load balancer knows it."""

    def __init__(
        self, load_generator: LoadGenerator, name: str, relay: Relay, running: Callable[[], bool]
    ) -> None:
        self.load_generator, self.name, self.relay, self.running = load_generator, name, relay, running
        self.taken_in = self.leaving = False
        self.links: set[ClientLink] = set()
        self.idle: list[ClientLink] = []

    async def connect(self) -> ClientLink:
        """Raises OSError, TimeoutError among them."""
        prepared = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                if not self.relay.disturbances:
                    prepared = await self.relay.prepare()
                loop = asyncio.get_running_loop()
                _, link = await loop.create_connection(
                    lambda: ClientLink(self), LOCAL, self.relay.port.number
                )
        except OSError:
            if prepared is not None:
                self.relay.discard(prepared)
            raise
        self.links.add(link)
        return link

    def spare(self, depth: int) -> ClientLink | None:
        """A connection that can take one more request."""
        while self.idle:
            link = self.idle.pop()
            if link.is_usable:
                return link
        return min(self.with_room(depth), key=lambda c: len(c.waiting), default=None)

    def with_room(self, depth: int) -> list[ClientLink]:
        """Connections with requests open on them that can take one more behind these."""
        return [link for link in self.links if link.is_usable and 0 < len(link.waiting) < depth]

    def has_room(self, depth: int) -> bool:
        """Whether a connection can take one more request."""
        return any(link.is_usable for link in self.idle) or bool(self.with_room(depth))

    def release(self, link: ClientLink) -> None:
        """Keep a connection for the next request, if it can be used."""
        if not link.closed and not link.unusable and not link.waiting:
            self.idle.append(link)

    async def answers_ping(self) -> bool:
        """Whether the gateway can be reached and answers PING in time."""
        try:
            link = await self.connect()
        except OSError:
            return False
        link.pinged = asyncio.get_running_loop().create_future()
        link.write(encode(b"PING"))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                good = await link.pinged
        except TimeoutError:
            link.transport.abort()
            return False
        self.release(link)
        return good

    def close(self) -> None:
        """Reset all connections."""
        for link in list(self.links):
            link.transport.abort()


@dataclass
class Result:
    """How a request ended for its client, all tries together."""

    arrival: Arrival
    how: str  # served, refused, failed, unanswered
    ms: float
    tries: int


@dataclass(frozen=True)
class RequestEnd:
    """How one request of a client ended."""

    how: str  # served, refused, failed, spoilt, unreachable, open, lost
    unreached: int  # gateways that could not be reached for it
    retry_after: float | None = None  # in ms, as a refusal says


Done = Callable[[Result], None]


@dataclass(eq=False)
class LoadGenerator:
    """All clients of a scenario, and the load balancer before them."""

    load: Load
    ledger: Ledger
    seed: int
    done: Done
    gates: list[GatewayTarget] = field(default_factory=list)
    open: set[asyncio.Task[None]] = field(default_factory=set)
    marks_retries: bool = False

    def add(self, name: str, relay: Relay, running: Callable[[], bool]) -> None:
        """Add a gateway; clients are dealt to it once it answers."""
        self.gates.append(GatewayTarget(self, name, relay, running))

    # ---- which gateways clients are dealt to ----

    async def watch(self, gate: GatewayTarget) -> None:
        """Take a gateway in once it answers PING, and notice some seconds late that it has died."""
        gone_since: float | None = None
        while True:
            await asyncio.sleep(PING_INTERVAL_MS / 1000)
            if not gate.taken_in:
                if not gate.leaving and gate.running() and await gate.answers_ping():
                    gate.taken_in = True
                gone_since = None
                continue
            if gate.running():
                gone_since = None
                continue
            gone_since = now_ms() if gone_since is None else gone_since
            if now_ms() - gone_since > self.load.notice_s * 1000:
                gate.taken_in = False

    async def leave(self, gate: GatewayTarget) -> None:
        """A planned restart: the load balancer is notified, and sends no new connections after a moment."""
        await asyncio.sleep(STILL_ROUTED_MS / 1000)
        gate.leaving = True

    def back(self, gate: GatewayTarget) -> None:
        """A gateway that left has started again; it is taken in once it answers."""
        gate.leaving = gate.taken_in = False

    def choose(self, arrival: Arrival, place: int, may_reuse: bool) -> GatewayTarget:
        """The gateway at a place of the customer's set, or the next of the set that is taken in.

        If none of them is, the one at the place all the same: no gateway outside the set may get the request,
        as the customer's limits are divided in the set alone. `may_reuse`: whether the request may go over a
        connection that there is already.
        """
        who = arrival.customer
        for step in range(who.spread):
            gate = self.gates[(who.first + (place + step) % who.spread) % len(self.gates)]
            if self.can_take(gate, may_reuse):
                return gate
        return self.gates[(who.first + place % who.spread) % len(self.gates)]

    def can_take(self, gate: GatewayTarget, may_reuse: bool) -> bool:
        """Whether a request may go to this gateway. One that leaves gets no new connections."""
        if not gate.taken_in:
            return False
        return not gate.leaving or (may_reuse and gate.has_room(self.load.pipeline))

    # ---- asking ----

    def start(self, arrival: Arrival) -> None:
        """Begin one request of a client."""
        task = asyncio.get_running_loop().create_task(self.serve(arrival))
        self.open.add(task)
        task.add_done_callback(self.open.discard)

    async def serve(self, arrival: Arrival) -> None:
        """One request of a client, with its further tries. Its time stands still with this process."""
        rng = random.Random(f"{self.seed}:{arrival.root}")
        began, place, how, tries, again = now_ms(), arrival.place, "failed", 0, 0
        while True:
            now = now_ms()
            left = began + arrival.patience + self.ledger.paused(MACHINE, began, now) - now
            if left < MIN_WAIT_MS and tries:
                break
            id = arrival.root if not tries else f"{rng.getrandbits(64):016x}"
            tries += 1
            end = await self.ask(arrival, id, place, left)
            how = end.how
            if how == "served":
                break
            place += 1
            if how == "unreachable" and end.unreached < 2 * arrival.customer.spread:
                await asyncio.sleep(0.05)
                continue
            again += 1
            if again > self.load.retries or not may_retry(arrival.kind, how, now_ms() - began):
                break
            wait = self.load.backoff_ms * rng.uniform(0.5, 1.5)
            if end.retry_after is not None and rng.random() < self.load.honour:
                wait = max(wait, end.retry_after)
            await asyncio.sleep(wait / 1000)
        final = {"served": "served", "refused": "refused", "failed": "failed"}.get(how, "unanswered")
        self.done(Result(arrival, final, now_ms() - began, tries))

    async def ask(self, arrival: Arrival, id: str, place: int, left: float) -> RequestEnd:
        """Send one request of a client, once more if it crossed the close of its connection."""
        who = arrival.customer
        wait_ms = float(max(1, int(left)))
        ask = ClientRequest(
            id, "", who.id, who.plan, arrival.kind, arrival.units, wait_ms, now_ms(), arrival.root
        )
        unreached = 0
        while True:
            gate = self.choose(arrival, place + unreached, may_reuse=ask.crossed_at is None)
            ask.gateway = gate.name
            try:
                link, is_reused = await self.get_link(gate, may_reuse=ask.crossed_at is None)
            except OSError:  # timeouts are among these
                unreached += 1
                if unreached > who.spread:
                    ask.how = "unreachable"
                    return RequestEnd("unreachable", unreached)
                await asyncio.sleep(CONNECT_RETRY_S)
                continue
            pending = PendingAnswer(ask, asyncio.get_running_loop().create_future())
            answer = await self.exchange(arrival, link, pending)
            if answer is not None:
                gate.release(link)
                return self.note(ask, answer, unreached)
            if ask.answered_at is None:  # its time is up
                return RequestEnd("open", unreached)
            may_resend = is_reused and not ask.note and ask.crossed_at is None
            if not may_resend or not self.crossed_close(gate, link, pending):
                return self.note_closed(ask, link, unreached)
            ask.crossed_at, ask.crossed_by, ask.answered_at = ask.answered_at, gate.name, None

    async def get_link(self, gate: GatewayTarget, may_reuse: bool) -> tuple[ClientLink, bool]:
        """A connection for one more request, and whether there was one already. Raises OSError.

        A gateway that drains closes all idle connections at once. If a request that crossed one close were
        sent on another idle connection, it would cross that close as well, and a loss could not be told from
        a crossing. So it goes over a new one.
        """
        link = gate.spare(self.load.pipeline) if may_reuse else None
        if link is not None:
            return link, True
        return await gate.connect(), False

    async def exchange(self, arrival: Arrival, link: ClientLink, pending: PendingAnswer) -> Answer | None:
        """Send a request and wait for its answer, like `wait`."""
        ask = pending.ask
        is_resent = ask.crossed_at is not None
        elapsed_ms = now_ms() - ask.sent_at if is_resent else 0.0
        remaining_ms = max(1, int(ask.wait - elapsed_ms))
        is_repeat = self.marks_retries and ask.id != arrival.root
        link.send(pending, command(arrival, ask.id, remaining_ms, is_repeat))
        if not is_resent:
            self.ledger.asks.append(ask)
        return await self.wait(link, pending, remaining_ms)

    def note_closed(self, ask: ClientRequest, link: ClientLink, unreached: int) -> RequestEnd:
        """Record that the connection ended without an answer."""
        if ask.how != "open":
            return RequestEnd("lost", unreached)
        if link.was_refused:
            ask.how = "unreachable"
            return RequestEnd("unreachable", unreached + 1)
        unused_ms = link.unused_ms(ask.sent_at)
        if unused_ms is None:
            ask.how = "lost"
            return RequestEnd("lost", unreached)
        ask.how, ask.unused_ms = "undelivered", unused_ms
        return RequestEnd("unreachable", unreached + 1)

    def crossed_close(self, gate: GatewayTarget, link: ClientLink, one: PendingAnswer) -> bool:
        """Whether a connection that has just ended was closed by its gateway in between requests.

        This request may have crossed that. It did for certain if the gateway, which may have finished since,
        was handed none of it before.

        Danger: one worker of several may have died while its gateway runs on. What it had read may have run,
        so a repeat under the same id would be the clients' fault, and the auditor would blame the gateway.
        """
        now = now_ms()
        since = now - AFTERMATH_MS
        stood = any(p.who == gate.name and (p.until is None or p.until > since) for p in self.ledger.pauses)
        died = stood or self.ledger.killed(gate.name, since, now)
        return not died and (link.was_unread(one) or (gate.running() and not gate.relay.disturbances))

    async def wait(self, link: ClientLink, one: PendingAnswer, wait: float) -> Answer | None:
        """The answer; None where the connection ended, or nothing came in its time and some more.

        The time of the gateway begins when the relay hands it the request. What came while this process stood
        still lies unread, so that it looks on for as long. Danger: an answer that comes in the moment of a
        time-out must not be taken for the end of its connection.
        """
        since = now_ms()
        while not one.answer.done():
            now = now_ms()
            held_ms = link.held_ms(one)
            paused_ms = self.ledger.paused(MACHINE, since + held_ms, now)
            left = since + held_ms + wait + EXTRA_WAIT_MS + paused_ms - now
            if left <= 0:
                one.ask.held_ms = held_ms
                one.answer.cancel()
                link.unusable = True
                if link.waiting and all(o.answer.done() for o in link.waiting):
                    link.transport.abort()
                return None
            await asyncio.wait([one.answer], timeout=left / 1000)
        return one.answer.result()

    def note(self, ask: ClientRequest, answer: Answer, unreached: int) -> RequestEnd:
        """Record an answer."""
        ask.how = answer.how if answer.how in ("served", "refused", "failed") else "spoilt"
        if answer.how == "served":
            made = answer.made_by()
            if made is not None and made[0] == ask.id:
                ask.node, ask.serial = made[1], made[2]
            else:
                ask.node, ask.note = "nobody", f"value {answer.value[:40]!r}"
        return RequestEnd(ask.how, unreached, answer.retry_after)

    async def finish(self) -> None:
        """Wait until every request has ended."""
        while self.open:
            await asyncio.wait(list(self.open))

    def close(self) -> None:
        """End all clients at once."""
        for task in list(self.open):
            task.cancel()
        for gate in self.gates:
            gate.close()


def may_retry(kind: str, how: str, since_first: float) -> bool:
    """Whether a client tries again: a pure one always, a keyed one in its window, others if harmless."""
    if how in ("refused", "unreachable") or EFFECT[kind] == "pure":
        return True
    keyed = EFFECT[kind] == "token" and GROUP[kind] == "all"
    return keyed and since_first < WINDOW[kind] - 500.0
