"""What the stand-ins saw, as plain records: the evidence that the auditor judges by.

All times are milliseconds of the one clock of the testbed (Unix time); None means that it has not happened.
"""

from __future__ import annotations

import fnmatch
from dataclasses import asdict, dataclass, field, fields
from typing import Any, TypeVar

MACHINE = "machine"  # in a pause: everything stood still, not one gateway
# A gateway leaves a new connection open for at least this long, also in a drain, unless its process ends.
MIN_NEW_CONNECTION_MS = 2_000.0


@dataclass(slots=True)
class ClientRequest:
    """One try of a client: one request id at one gateway."""

    id: str
    gateway: str
    customer: str
    plan: str
    kind: str  # the class
    units: float
    wait: float  # how long the client waits
    sent_at: float  # when its last byte was written
    root: str = ""  # the id of the client's first try
    # open, served, refused, failed, lost (the connection ended), left (the client did), unreachable, spoilt,
    # undelivered (the testbed's link handed none of it to the gateway before that ended the connection)
    how: str = "open"
    answered_at: float | None = None  # the last byte of the answer, or the end
    node: str = ""  # that made the value served
    serial: int = 0  # of the value at that node
    crossed_at: float | None = None  # the connection was closed as it was written, and it went again
    crossed_by: str = ""  # the gateway that closed it
    unused_ms: float = 0.0  # undelivered: for how long the gateway had left its connection open
    held_ms: float = (
        0.0  # for how long the testbed's link held its last byte before the gateway was handed it
    )
    relayed_at: float | None = None  # the testbed's link had read the last byte of the answer
    note: str = ""


@dataclass(slots=True)
class Attempt:
    """One command at one node."""

    node: str
    gateway: str
    id: str
    customer: str
    plan: str
    kind: str
    key: str
    units: float
    first_at: float  # first byte
    last_at: float | None = None  # last byte
    begun_at: float | None = None
    ended_at: float | None = None  # its answer was written
    gone_at: float | None = None  # its gateway ended its connection, whether or not it was answered later
    how: str = "open"  # open, served, failed, busy (never ran), gone, broken (the node broke its value off)
    ran: bool = False  # the effect happened: begun, and no repeat of one that had
    serial: int = 0  # of the value made
    work: float = 0.0  # core milliseconds
    capacity: float = 0.0  # of the node when the last byte came, in cores
    cold: bool = False
    cost: float = 0.0  # the true units, where its answer settled a guess
    departed_at: float | None = None  # its gateway had written the last byte; None: no link told


@dataclass(slots=True)
class BackendNotice:
    """A gateway was told of a node's state."""

    gateway: str
    node: str
    at: float
    health: str
    born: float = 0.0


@dataclass(slots=True)
class Started:
    """A node's process began, cold."""

    node: str
    at: float
    zone: str = ""
    cell: int = 0


@dataclass(slots=True)
class Pause:
    """A gateway's process, or the machine, stood still."""

    who: str
    since: float
    until: float | None = None


@dataclass(slots=True)
class Ended:
    """A gateway's process ended: `killed` by a fault, `finished` after SIGTERM, or `crashed`."""

    gateway: str
    at: float
    how: str


@dataclass(slots=True)
class LinkFault:
    """A link was disturbed by the timeline."""

    link: str  # "clients>n0", "n0>t3", "n0>counter", "n0>discovery"; may hold *
    kind: str
    since: float
    until: float | None = None

    def touches(self, link: str, since: float, until: float) -> bool:
        """Whether it disturbs a link within a stretch of time."""
        over = self.until is not None and self.until < since
        return not over and self.since <= until and fnmatch.fnmatchcase(link, self.link)


@dataclass(slots=True)
class Anomaly:
    """Bytes that the protocol doesn't allow: a second answer, a malformed command, ..."""

    link: str
    at: float
    what: str


@dataclass
class Ledger:
    """What all parts of an installation record while a scenario runs; the auditor judges by it."""

    asks: list[ClientRequest] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    told: list[BackendNotice] = field(default_factory=list)
    started: list[Started] = field(default_factory=list)
    pauses: list[Pause] = field(default_factory=list)
    ended: list[Ended] = field(default_factory=list)
    link_faults: list[LinkFault] = field(default_factory=list)
    oddities: list[Anomaly] = field(default_factory=list)
    begun_at: float = 0.0
    closed_at: float = float("inf")  # later the clients did not look

    def paused(self, gateway: str, since: float, until: float) -> float:
        """For how long of a stretch this gateway, or the whole machine, stood still."""
        spans = sorted(
            (max(since, p.since), min(until, until if p.until is None else p.until))
            for p in self.pauses
            if p.who in (gateway, MACHINE)
        )
        total, reached = 0.0, since
        for start, end in spans:
            start = max(start, reached)
            if end > start:
                total += end - start
                reached = end
        return total

    def due_at(self, gateway: str, since: float, allowed_ms: float) -> float:
        """When so much time has passed since then, without what this gateway or the machine stood still.

        What stood still past the time that is allowed counts too: an answer that was there lay unread.
        """
        due = since + allowed_ms
        while (later := since + allowed_ms + self.paused(gateway, since, due)) > due:
            due = later
        return due

    def disturbed(self, link: str, since: float, until: float) -> bool:
        """Whether the timeline disturbed a link within a stretch of time."""
        return any(fault.touches(link, since, until) for fault in self.link_faults)

    def finished(self, gateway: str, since: float, until: float) -> bool:
        """Whether a process of this gateway ended after SIGTERM in that time."""
        return any(
            e.gateway == gateway and e.how == "finished" and since <= e.at <= until for e in self.ended
        )

    def killed(self, gateway: str, since: float, until: float) -> bool:
        """Whether a process of this gateway was killed in that time."""
        return any(e.gateway == gateway and e.how == "killed" and since <= e.at <= until for e in self.ended)

    # ---- files ----

    def to_json(self) -> dict[str, Any]:
        """The ledger as a value for JSON."""
        lists = {f.name: [asdict(r) for r in getattr(self, f.name)] for f in fields(self) if f.name in KINDS}
        return {**lists, "begun_at": self.begun_at, "closed_at": self.closed_at}

    @classmethod
    def from_json(cls, raw: dict[str, Any]) -> Ledger:
        """The ledger that `to_json` gave."""
        lists = {name: [kind(**each) for each in raw[name]] for name, kind in KINDS.items()}
        return cls(**lists, begun_at=raw["begun_at"], closed_at=raw["closed_at"])


KINDS: dict[str, Any] = {
    "asks": ClientRequest,
    "attempts": Attempt,
    "told": BackendNotice,
    "started": Started,
    "pauses": Pause,
    "ended": Ended,
    "link_faults": LinkFault,
    "oddities": Anomaly,
}
R = TypeVar("R")
