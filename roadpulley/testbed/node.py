"""A tile node over sockets; how it works is the machine's, what it saw goes into the ledger."""

from __future__ import annotations

import asyncio
import random
import re
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple, cast

from roadpulley.core.clock import now_ms
from roadpulley.core.resp import LONG_VALUE_THRESHOLD_BYTES, CommandReader, MalformedError

from .ledger import Anomaly, Attempt, Ledger, Started
from .node_machine import Change, Job, NodeMachine, Seen, State, draw_work
from .relay import hard_close
from .scenario import NodeKind
from .server import Ends, Origins, Port, ends_at_server
from .terms import TILES, Deployment

SYNTAX = b"-SYNTAX\r\n"
BUSY = b"-BUSY\r\n"
FAILED = b"-ERR failed\r\n"
NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?")
REPEATED = 0.1  # of the work: a repeat that is dropped is looked up, not done
SWEEP_S = 0.25
REPORT_MS = 300.0  # between two looks at its own load: reports are as old as that
ODD_REPORTS = (b"inflight=-3", b"util=nan,queue=1e999", b"inflight", b"queue=x,queue=2", b"queue=%d" % 10**30)


@dataclass(eq=False, slots=True)
class PendingReply:
    """A command's place among the answers of its connection."""

    connection: Connection
    attempt: Attempt | None
    value: bytes = b""
    reply: bytes | None = None
    job: Job | None = None
    fails: bool = False


class Receipt(NamedTuple):
    """When a command came: its first byte here, and its last one from the gateway, if a link told."""

    first_at: float
    departed_at: float | None


@dataclass
class ReceivedCommand:
    """What a command says."""

    id: str
    customer: str
    kind: str
    plan: str
    key: str
    units: float
    wait: float


def read_command(args: list[bytes]) -> ReceivedCommand | None:
    """None for what no client sends in this form."""
    if not 4 <= len(args) <= 5 or args[0].upper() not in (b"API.READ", b"API.WRITE"):
        return None
    try:
        customer, id, listed = (a.decode("ascii") for a in args[1:4])
    except UnicodeDecodeError:
        return None
    given = dict(item.split("=", 1) for item in listed.split(",") if "=" in item)
    numbers = [given.get(name, "") for name in ("d", "units", "spread", "first")]
    if not re.fullmatch("[0-9a-fA-F]{16}", customer) or not id or not all(map(NUMBER.fullmatch, numbers)):
        return None
    if not given.get("c") or not given.get("t"):
        return None
    wait, units = float(numbers[0]), float(numbers[1])
    return ReceivedCommand(id, customer, given["c"], given["t"], given.get("k", ""), units, wait)


def bulk_or_null(text: bytes) -> bytes:
    """A bulk string of the protocol, or null for an empty one."""
    return b"$%d\r\n%b\r\n" % (len(text), text) if text else b"$-1\r\n"


def served(value: bytes, use: bytes = b"", report: bytes = b"") -> bytes:
    """A value, the figures on use or null, the load report or null."""
    return b"*3\r\n$%d\r\n%b\r\n%b%b" % (len(value), value, bulk_or_null(use), bulk_or_null(report))


def true_units(rng: random.Random, guess: float, deployment: Deployment) -> float:
    """What a request turns out to take."""
    true = round(guess * rng.lognormvariate(0, deployment.guess_cv))
    return float(min(deployment.max_request_units, max(1, true)))


class Connection(asyncio.Protocol):
    """One connection to a node; replies go out in the order of the commands."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.reader = CommandReader()
        self.turns: deque[PendingReply] = deque()  # begun, in the order of the commands
        self.behind: deque[tuple[list[bytes], Receipt]] = deque()  # commands past `streams`
        self.first_at: float | None = None  # the first byte of the command that is not whole
        self.fresh = True
        self.gateway = ""
        self.ends: Ends = (0, 0)
        self.used_at = now_ms()
        self.received = 0  # bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, unless the node has too many."""
        self.transport = cast(asyncio.Transport, transport)
        self.ends = ends_at_server(transport)
        if len(self.node.connections) >= self.node.kind.connections:
            self.transport.write(BUSY)
            return self.transport.close()
        self.node.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Take all commands that are whole."""
        now = now_ms()
        # Looked up late: the relay learns its own port only once its connection is up.
        self.gateway = self.node.origins.names.get(self.ends, "")
        self.used_at = now
        if self.first_at is None:
            self.first_at = now
        self.reader.feed(data)
        self.received += len(data)
        try:
            while (args := self.reader.next_command()) is not None:
                first, self.first_at = self.first_at or now, None
                receipt = Receipt(first, self.departed_at())
                if len(self.turns) < self.node.kind.streams and not self.behind:
                    self.node.command(self, args, receipt, now)
                else:
                    self.behind.append((args, receipt))
        except MalformedError as error:
            self.node.odd(self, str(error))
            self.transport.write(SYNTAX)
            return self.transport.close()
        if self.reader.buffered_bytes and self.first_at is None:
            self.first_at = now

    def departed_at(self) -> float | None:
        """When the gateway had written the last byte of the command that has just been read."""
        departures = self.node.origins.departures.get(self.ends)
        if departures is None:
            return None
        return departures.departed_at(self.received - self.reader.buffered_bytes)

    def pump(self) -> None:
        """Write what is due, in the order of the commands."""
        now = now_ms()
        while self.turns and self.turns[0].reply is not None:
            turn = self.turns.popleft()
            if turn.attempt is not None:
                turn.attempt.ended_at = now
                # A link may hold up the end that its gateway made before this answer.
                turn.attempt.gone_at = self.node.origins.ended.get(self.ends)
            reply = turn.reply or b""
            if (
                len(reply) > LONG_VALUE_THRESHOLD_BYTES
                and self.node.rng.random() < self.node.kind.break_ratio
            ):
                return self.break_off(turn, reply)
            self.transport.write(reply)
            self.used_at = now
        while self.behind and len(self.turns) < self.node.kind.streams:
            args, receipt = self.behind.popleft()
            self.node.command(self, args, receipt, now)

    def break_off(self, turn: PendingReply, reply: bytes) -> None:
        """Write half of a reply, then end the connection or reset it right behind that."""
        if turn.attempt is not None:
            turn.attempt.how = "broken"
        half = reply[: len(reply) // 2]
        if self.node.break_rng.random() < self.node.kind.reset_ratio:
            return hard_close(self.transport, half)
        self.transport.write(half)
        self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the node that nobody waits any more."""
        self.node.connections.discard(self)
        self.node.gone(self)


@dataclass(eq=False)
class Node:
    """One node's process after the other, under one name."""

    name: str
    kind: NodeKind
    ledger: Ledger = field(default_factory=Ledger)
    origins: Origins = field(default_factory=Origins)
    seen: Seen = field(default_factory=lambda: Seen(5_000.0))  # of the group that drops repeats
    seed: str = "0"
    zone: str = "a"
    cell: int = 0
    deployment: Deployment = TILES

    def __post_init__(self) -> None:
        self.connections: set[Connection] = set()
        self.rng = random.Random(f"{self.seed}:{self.name}")
        self.break_rng = random.Random(f"{self.seed}:{self.name}:breaks")
        self.server: asyncio.Server | None = None
        self.kept: Port | None = None
        self.serial = 0  # of the values made, over all its processes
        self.tasks: list[asyncio.Handle] = []
        self.timer: asyncio.TimerHandle | None = None
        self.sweeper: asyncio.TimerHandle | None = None
        self.machine = self.new_machine(warm=True)
        self.falls = 0
        self.failing = False  # by a fault: it answers errors, and at once
        self.report, self.report_at = b"", 0.0

    def new_machine(self, warm: bool) -> NodeMachine:
        """The model of its capacity, for a process that begins now."""
        rules = self.deployment.rules
        return NodeMachine(self.kind, now_ms(), warm, rules["fall"], rules["fallMultiple"])

    # ---- its process ----

    async def start(self, warm: bool = True, port: Port | None = None) -> None:
        """Listen; a node that is not `warm` has just begun its life. `port` may be another's address."""
        if port is not None or self.kept is None:
            self.kept = port or Port()
        self.machine = self.new_machine(warm)
        at = now_ms() if not warm else 0.0
        self.ledger.started.append(Started(self.name, at, self.zone, self.cell))
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Connection(self), sock=self.kept.listener())
        self._sweep()

    @property
    def up(self) -> bool:
        """Whether it listens."""
        return self.server is not None

    @property
    def port(self) -> int:
        """The number of its port, which it keeps over its processes."""
        assert self.kept is not None
        return self.kept.number

    def kill(self) -> None:
        """Its connections are reset and new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for handle in (self.timer, self.sweeper):
            if handle is not None:
                handle.cancel()
        for connection in list(self.connections):
            connection.transport.abort()

    def drain(self) -> None:
        """Finish what is in and want nothing new; late comers are still told so."""
        self._did(self.machine.advance(now_ms()))
        self.machine.state = State.DRAINING

    def slow(self, times: float) -> None:
        """Work so many times slower."""
        self._did(self.machine.advance(now_ms()))
        self.machine.slowness = times
        self._arm()

    def hang(self, hung: bool) -> None:
        """Say nothing and do nothing, with all connections open."""
        self._did(self.machine.hang(now_ms(), hung))

    async def stop(self) -> None:
        """End it for good."""
        self.kill()
        if self.kept is not None:
            self.kept.free()
            self.kept = None

    # ---- commands ----

    def command(self, connection: Connection, args: list[bytes], receipt: Receipt, now: float) -> None:
        """Begin a command, or answer it at once."""
        turn = PendingReply(connection, None)
        connection.turns.append(turn)
        verb = args[0].upper()
        asked = read_command(args)
        if asked is None:
            turn.reply = b"+OK\r\n" if verb in (b"CLIENT", b"SELECT") else b"-ERR unknown command\r\n"
            if verb in (b"API.READ", b"API.WRITE"):
                self.odd(connection, "a malformed command")
                turn.reply = SYNTAX
            return connection.pump()
        gateway, machine = connection.gateway, self.machine
        turn.attempt = attempt = Attempt(
            self.name, gateway, asked.id, asked.customer, asked.plan, asked.kind, asked.key, asked.units,
            receipt.first_at, now, departed_at=receipt.departed_at,
            cold=machine.warmth(now) < 1, capacity=machine.capacity(now),
        )  # fmt: skip
        self.ledger.attempts.append(attempt)
        attempt.work = draw_work(self.rng, self.kind)
        turn.fails = self.failing or self.rng.random() < self.kind.error_rate
        cost = self.kind.handshake_ms if connection.fresh else 0.0
        connection.fresh = False
        if asked.key and self.seen.at.get(asked.key, -1e18) + self.seen.window_ms >= now:
            attempt.work *= REPEATED
        attempt.work = cost if self.failing else attempt.work + cost  # an error is quick
        turn.job = Job(turn, attempt.work, now + asked.wait)
        self._did(machine.arrive(now, turn.job))

    def _did(self, change: Change) -> None:
        for job in change.begun:
            self._began(cast(PendingReply, job.tag), job)
        for job in change.turned_away:
            self._answer(cast(PendingReply, job.tag), "busy", BUSY)
        for job in change.done:
            turn = cast(PendingReply, job.tag)
            if turn.fails:
                said = self.load_report()
                self._answer(turn, "failed", b"-ERR failed %b\r\n" % said if said else FAILED)
            else:
                self._answer(turn, "served", served(turn.value, self.settle(turn), self.load_report()))
        if change.fell:
            self.falls += 1
            self.kill()
        else:
            self._arm()

    def settle(self, turn: PendingReply) -> bytes:
        """The true units of a request whose units were a guess."""
        if not self.deployment.guess_cv or turn.attempt is None:
            return b""
        turn.attempt.cost = true_units(self.rng, turn.attempt.units, self.deployment)
        return b"used=1,cost=%d" % turn.attempt.cost

    def load_report(self) -> bytes:
        """What it says of its load, as of its last look; now and then something that is no report."""
        fields, machine, now = self.deployment.reports, self.machine, now_ms()
        if not fields:
            return b""
        if self.rng.random() < self.deployment.odd_reports:
            return self.rng.choice(ODD_REPORTS)
        if now - self.report_at > REPORT_MS:
            held = {
                "inflight": machine.live + len(machine.waiting),
                "queue": len(machine.waiting),
                "util": min(1.0, machine.live / machine.kind.cores),
            }
            self.report, self.report_at = ",".join(f"{n}={held[n]:g}" for n in fields).encode(), now
        return self.report

    def _began(self, turn: PendingReply, job: Job) -> None:
        attempt = turn.attempt
        assert attempt is not None
        attempt.begun_at = job.begun_at
        self.serial += 1
        attempt.serial = self.serial
        new = attempt.kind not in self.deployment.keyed or self.seen.first(attempt.key, job.begun_at or 0.0)
        attempt.ran = new
        said = f"tile {attempt.id} {self.name} {self.serial} ".encode()
        is_long = self.kind.long_ratio > 0 and self.rng.random() < self.kind.long_ratio
        turn.value = said.ljust(self.kind.long_bytes if is_long else self.kind.value_bytes, b".")

    def _answer(self, turn: PendingReply, how: str, reply: bytes) -> None:
        assert turn.attempt is not None
        if turn.attempt.how != "gone":
            turn.attempt.how, turn.reply = how, reply
            turn.connection.pump()

    def gone(self, connection: Connection) -> None:
        """A connection ended: what was on it has nobody to answer."""
        now = now_ms()
        ended = min(now, self.origins.ended.pop(connection.ends, now))
        turns, connection.turns = connection.turns, deque()
        for turn in turns:
            if turn.attempt is not None:
                turn.attempt.gone_at = ended
                if turn.reply is None:
                    turn.attempt.how = "gone"
            if turn.job is not None:
                self._did(self.machine.leave(now, turn.job))

    def odd(self, connection: Connection, what: str) -> None:
        """Record bytes that the protocol does not allow."""
        self.ledger.oddities.append(Anomaly(f"{connection.gateway or '?'}>{self.name}", now_ms(), what))

    # ---- time ----

    def _arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.machine.next_at()
        if due is not None and self.server is not None:
            wait = max(0.0, due - now_ms()) / 1000
            self.timer = asyncio.get_running_loop().call_later(wait, self._tick)

    def _tick(self) -> None:
        self.timer = None
        self._did(self.machine.advance(now_ms()))

    def _sweep(self) -> None:
        """Close what has stood idle for too long."""
        now = now_ms()
        for connection in list(self.connections):
            if not connection.turns and now - connection.used_at > self.kind.idle_s * 1000:
                connection.transport.close()
        self.sweeper = asyncio.get_running_loop().call_later(min(SWEEP_S, self.kind.idle_s / 4), self._sweep)
