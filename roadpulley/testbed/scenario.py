"""A scenario: an installation, its load and a timeline of faults. Read from TOML or made in Python.

Both ways go through the same checks; everything is checked before anything starts.
"""

from __future__ import annotations

import fnmatch
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path

from roadpulley.checks import Table, ValidationError, read_toml

from . import terms

FOLDER = Path(__file__).parent / "scenarios"
# What each kind of fault names, and whether it ends by itself after `for`.
LINK_FAULTS = {"delay", "cut", "half-open", "reset", "drip", "garbage", "blackhole"}
GATEWAY_FAULTS = {"kill", "hang", "restart", "stop-reload", "signals", "crowd", "pause", "retune", "upgrade"}
NODE_FAULTS = {"node-hang", "node-slow", "node-fail", "node-kill", "node-start", "node-drain", "node-replace"}
COUNTER_FAULTS = {"counter-lost", "counter-slow", "counter-full"}
KINDS = {
    **{kind: "link" for kind in LINK_FAULTS},
    **{kind: "gateway" for kind in GATEWAY_FAULTS},
    **{kind: "node" for kind in NODE_FAULTS},
    **{kind: "counter" for kind in COUNTER_FAULTS},
    "discovery-silent": "discovery",
    "rush": "plan",
    "stall": "machine",
}
LASTING = (
    LINK_FAULTS
    | COUNTER_FAULTS
    | {
        "hang",
        "crowd",
        "pause",
        "retune",
        "node-hang",
        "node-slow",
        "node-fail",
        "rush",
        "discovery-silent",
        "stall",
    }
)


MIN_VOTERS = 3


@dataclass(frozen=True)
class Fault:
    """One entry of the timeline. Times are seconds; `at` counts from the first request."""

    at: float
    kind: str
    target: str = ""  # a link, gateway, node or plan; may hold * for links, gateways and nodes
    seconds: float = 0.0  # how long it lasts; 0: to the end
    ms: float = 0.0  # delay: one way; counter-slow: each call; stop-reload: from SIGTERM to the reload
    factor: float = 1.0  # rush: times the usual load; node-slow: times the usual work
    after: int = 0  # reset, garbage: bytes of a connection that pass first; crowd: idle connections
    direction: str = "both"  # of a link: there (away from the client's side), back, both
    rate: float = 0.0  # drip: bytes a second
    by: str = ""  # node-replace: the new node's name

    def words(self) -> str:
        parts = [self.kind, self.target]
        for name, value in (("x", self.factor), ("", f"{self.ms:g} ms" if self.ms else "")):
            if value not in (1.0, ""):
                parts.append(f"{name}{value:g}" if isinstance(value, float) else f"{name}{value}")
        if self.direction != "both":
            parts.append(self.direction)
        if self.by:
            parts.append(f"by {self.by}")
        if self.seconds:
            parts.append(f"for {self.seconds:g} s")
        return " ".join(part for part in parts if part)


@dataclass(frozen=True)
class NodeKind:
    """How a tile node behaves. Work is core milliseconds at speed 1."""

    cores: float = 2.0
    slots: int = 8
    queue: int = 40
    speed: float = 1.0
    work_ms: float = 100.0  # mean
    work_cv: float = 0.8
    handshake_ms: float = 1.0  # work that a new connection costs
    cold_from: float = 0.25  # share of the capacity right after a start
    warm_s: float = 6.0
    thrash: float = 0.15  # of the speed, lost when twice as many as `thrash_at` are held
    thrash_at: float = 24.0
    connections: int = 400
    streams: int = 32  # commands of one connection that are begun at once
    idle_s: float = 15.0
    error_rate: float = 0.001
    cancel: str = "queued"  # what stops when its connection ends: none, queued, all
    drops_expired: bool = True
    value_bytes: int = 600
    long_ratio: float = 0.0  # of the values that are long
    long_bytes: int = 200_000
    break_ratio: float = 0.0  # of the long values, whose connections end half-way
    reset_ratio: float = 0.0  # of these, whose connections are reset


@dataclass(frozen=True)
class CounterKind:
    parts: int = 2
    per_s: float = 500.0  # calls that a part serves
    ms: float = 1.0  # a call's own time
    queue_ms: float = 120.0  # a call that would wait longer is turned away


@dataclass(frozen=True)
class Load:
    rate: float = 60.0  # requests a second, all plans together
    heavy: float = 0.1  # share of the customers that ask far more than their quota
    heavy_x: float = 3.0  # times the quota
    spread: int = 2  # gateways of a customer's set
    retries: int = 1
    backoff_ms: float = 150.0
    honour: float = 0.8  # share of the clients that heed the time to come back
    pipeline: int = 1  # requests that a client may have open on one connection
    notice_s: float = 2.0  # until the load balancer notices that a gateway died
    writes: float = 0.35  # share of tile-order
    filings: float = 0.05  # share of deed-filing


@dataclass(frozen=True)
class DiscoveryKind:
    notice_ms: float = 300.0  # from a change until a gateway is told, at most
    beat_s: float = 2.0  # an empty line while nothing changes


@dataclass(frozen=True)
class Scenario:
    name: str = "unnamed"
    about: str = ""
    seconds: float = 20.0
    short: float = 6.0  # seconds of its short form: long enough for what it is about to show
    seed: int = 1
    gateways: int = 3
    deployment: str = "tiles"  # what it offers: see terms.py
    workers: str = ""  # of each gateway: a number, or a file that holds one; empty: one process, as `run`
    rights: float = 0.0  # the part of hard ceilings that gateways spend by rights, as instances of a fleet
    counts: bool = False  # whether gateways of a fleet count together, in place of the counter
    orders: bool = False  # whether they follow orders of operators
    verdicts: bool = False  # whether they tell each other which backends fail
    nodes: int = 8
    node: NodeKind = field(default_factory=NodeKind)
    counter: CounterKind = field(default_factory=CounterKind)
    discovery: DiscoveryKind = field(default_factory=DiscoveryKind)
    load: Load = field(default_factory=Load)
    faults: tuple[Fault, ...] = ()

    def __post_init__(self) -> None:
        check(self)

    def with_(self, **changes: object) -> Scenario:
        """A changed copy, checked again; None leaves a field as it is."""
        return replace(self, **{k: v for k, v in changes.items() if v is not None})  # type: ignore[arg-type]

    def scaled(self, seconds: float) -> Scenario:
        """The same in another time: faults keep their order and their share of the whole."""
        part = seconds / self.seconds
        faults = tuple(
            replace(f, at=f.at * part, seconds=f.seconds if f.kind == "stall" else f.seconds * part)
            for f in self.faults
        )
        return replace(self, seconds=seconds, faults=faults)


def gateway_names(count: int) -> list[str]:
    return [f"n{number}" for number in range(count)]


def node_names(count: int) -> list[str]:
    return [f"t{number}" for number in range(count)]


def links(scenario: Scenario) -> list[str]:
    nodes = node_names(scenario.nodes) + [f.by for f in scenario.faults if f.by]
    gateways = gateway_names(scenario.gateways)
    return [
        *(f"clients>{g}" for g in gateways),
        *(f"{g}>{other}" for g in gateways for other in ("counter", "discovery", *nodes)),
    ]


def check(scenario: Scenario) -> None:
    """Raises ValidationError for a timeline that names what is not there or lies past the end."""
    reach = {
        "link": links(scenario),
        "gateway": gateway_names(scenario.gateways),
        "node": node_names(scenario.nodes) + [f.by for f in scenario.faults if f.by],
        "plan": list(terms.DEPLOYMENTS[scenario.deployment].shares),
    }
    operated = {fault.kind for fault in scenario.faults} & {"pause", "retune", "stop-reload", "upgrade"}
    if scenario.workers and operated:
        raise ValidationError(
            "workers", f"is {scenario.workers!r}", f"leave it out: {min(operated)} is for one process"
        )
    fleet = scenario.rights > 0 or scenario.counts or scenario.orders or scenario.verdicts
    if fleet and not scenario.workers:
        raise ValidationError(
            "workers", "is missing", 'a fleet is of gateways of serve, as with workers = "1"'
        )
    if fleet and scenario.gateways < MIN_VOTERS:
        raise ValidationError(
            "gateways", f"are {scenario.gateways}", f"give {MIN_VOTERS} or more: they are the voters"
        )
    for number, fault in enumerate(scenario.faults):
        path = f"fault[{number}]"
        what = KINDS.get(fault.kind)
        if what is None:
            raise ValidationError(
                f"{path}.kind", f"is {fault.kind!r}", f"give one of {', '.join(sorted(KINDS))}"
            )
        if not 0 <= fault.at < scenario.seconds:
            right = f"give a time from 0 to under {scenario.seconds:g}, the length in seconds"
            raise ValidationError(f"{path}.at", f"is {fault.at:g}", right)
        if what in reach:
            if not fault.target:
                raise ValidationError(
                    f"{path}.target", "is missing", f"name a {what}, such as {reach[what][0]}"
                )
            if not fnmatch.filter(reach[what], fault.target):
                some = ", ".join(reach[what][:6])
                raise ValidationError(
                    f"{path}.target", f"is {fault.target!r}, no {what} here", f"there are {some}, ..."
                )
        elif fault.target:
            raise ValidationError(
                f"{path}.target", f"is {fault.target!r}", f"leave it out: {fault.kind} takes none"
            )
        check_values(path, fault)
    if not 0 <= scenario.load.writes + scenario.load.filings <= 1:
        raise ValidationError(
            "load.writes", "and load.filings are over 1 together", "give shares of all requests"
        )


def check_values(path: str, fault: Fault) -> None:
    needs = {"delay": "ms", "counter-slow": "ms", "rush": "factor", "node-slow": "factor", "drip": "rate"}
    needs["stop-reload"] = "ms"
    name = needs.get(fault.kind)
    if name and getattr(fault, name) in (0.0, 1.0):
        raise ValidationError(f"{path}.{name}", "is missing", f"{fault.kind} needs it")
    if fault.kind == "node-replace" and not fault.by:
        raise ValidationError(f"{path}.by", "is missing", "name the node that takes the address over")
    if fault.kind == "crowd" and not (fault.after and fault.seconds):
        raise ValidationError(
            f"{path}.after", "or for is missing", "give the idle connections and how long they stay"
        )
    if fault.kind == "stall" and not 0 < fault.seconds <= 2:
        raise ValidationError(f"{path}.for", f"is {fault.seconds:g}", "give seconds, over 0 and up to 2")
    if fault.seconds and fault.kind not in LASTING | {"restart", "kill", "node-drain"}:
        raise ValidationError(
            f"{path}.for", f"is {fault.seconds:g}", f"leave it out: {fault.kind} does not last"
        )
    if fault.kind in ("pause", "retune") and not fault.seconds:
        raise ValidationError(
            f"{path}.for", "is missing", f"give the seconds after which {fault.kind} is over"
        )
    if fault.direction not in ("there", "back", "both"):
        raise ValidationError(f"{path}.direction", f"is {fault.direction!r}", "give one of back, both, there")
    if fault.kind == "half-open" and fault.direction == "both":
        raise ValidationError(
            f"{path}.direction", "is missing", "give the direction that is lost, there or back"
        )


# ---- TOML ----


def read(raw: object, name: str = "unnamed") -> Scenario:
    """A scenario from a parsed file. Raises ValidationError."""
    top = Table(raw)
    values = dict(
        name=top.read_text("name", name),
        about=top.read_text("about", ""),
        seconds=top.read_number("seconds", 20.0, 1, 86_400),
        short=top.read_number("short", 6.0, 1, 600),
        seed=top.read_int("seed", 1, 0, 2**63),
        gateways=top.read_int("gateways", 3, 1, 64),
        deployment=top.read_text("deployment", "tiles", terms.DEPLOYMENTS),
        workers=top.read_text("workers", ""),
        rights=top.read_number("rights", 0.0, 0, 1),
        counts=top.read_bool("counts", False),
        orders=top.read_bool("orders", False),
        verdicts=top.read_bool("verdicts", False),
        nodes=top.read_int("nodes", 8, 1, 500),
        node=read_node(top.read_table("node")),
        counter=read_counter(top.read_table("counter")),
        discovery=read_discovery(top.read_table("discovery")),
        load=read_load(top.read_table("load")),
        faults=tuple(sorted((read_fault(t) for t in top.read_tables("fault")), key=lambda f: f.at)),
    )
    top.reject_unknown_keys()
    return Scenario(**values)  # type: ignore[arg-type]


def read_fault(t: Table) -> Fault:
    fault = Fault(
        at=t.read_number("at", ..., 0, 86_400),
        kind=t.read_text("kind", ..., KINDS),
        target=t.read_text("target", ""),
        seconds=t.read_number("for", 0.0, 0, 86_400),
        ms=t.read_number("ms", 0.0, 0, 60_000),
        factor=t.read_number("factor", 1.0, 0.01, 100),
        after=t.read_int("after", 0, 0, 2**31),
        direction=t.read_text("direction", "both", ("there", "back", "both")),
        rate=t.read_number("rate", 0.0, 0, 1e9),
        by=t.read_text("by", ""),
    )
    t.reject_unknown_keys()
    return fault


def read_node(t: Table) -> NodeKind:
    d = NodeKind()
    kind = NodeKind(
        cores=t.read_number("cores", d.cores, 0.1, 128),
        slots=t.read_int("slots", d.slots, 1, 10_000),
        queue=t.read_int("queue", d.queue, 0, 100_000),
        speed=t.read_number("speed", d.speed, 0.01, 100),
        work_ms=t.read_number("work_ms", d.work_ms, 0.01, 60_000),
        work_cv=t.read_number("work_cv", d.work_cv, 0, 5),
        handshake_ms=t.read_number("handshake_ms", d.handshake_ms, 0, 1_000),
        cold_from=t.read_number("cold_from", d.cold_from, 0.01, 1),
        warm_s=t.read_number("warm_s", d.warm_s, 0, 600),
        thrash=t.read_number("thrash", d.thrash, 0, 0.9),
        thrash_at=t.read_number("thrash_at", d.thrash_at, 1, 100_000),
        connections=t.read_int("connections", d.connections, 1, 100_000),
        streams=t.read_int("streams", d.streams, 1, 10_000),
        idle_s=t.read_number("idle_s", d.idle_s, 0.05, 3_600),
        error_rate=t.read_number("error_rate", d.error_rate, 0, 1),
        cancel=t.read_text("cancel", d.cancel, ("none", "queued", "all")),
        drops_expired=t.read_int("drops_expired", int(d.drops_expired), 0, 1) == 1,
        value_bytes=t.read_int("value_bytes", d.value_bytes, 64, 65_536),
    )
    t.reject_unknown_keys()
    return kind


def read_counter(t: Table) -> CounterKind:
    d = CounterKind()
    kind = CounterKind(
        parts=t.read_int("parts", d.parts, 1, 64),
        per_s=t.read_number("per_s", d.per_s, 1, 1e6),
        ms=t.read_number("ms", d.ms, 0, 10_000),
        queue_ms=t.read_number("queue_ms", d.queue_ms, 0, 60_000),
    )
    t.reject_unknown_keys()
    return kind


def read_discovery(t: Table) -> DiscoveryKind:
    d = DiscoveryKind()
    kind = DiscoveryKind(
        notice_ms=t.read_number("notice_ms", d.notice_ms, 0, 60_000),
        beat_s=t.read_number("beat_s", d.beat_s, 0.05, 60),
    )
    t.reject_unknown_keys()
    return kind


def read_load(t: Table) -> Load:
    d = Load()
    load = Load(
        rate=t.read_number("rate", d.rate, 0.1, 100_000),
        heavy=t.read_number("heavy", d.heavy, 0, 1),
        heavy_x=t.read_number("heavy_x", d.heavy_x, 1, 100),
        spread=t.read_int("spread", d.spread, 1, 64),
        retries=t.read_int("retries", d.retries, 0, 20),
        backoff_ms=t.read_number("backoff_ms", d.backoff_ms, 0, 60_000),
        honour=t.read_number("honour", d.honour, 0, 1),
        pipeline=t.read_int("pipeline", d.pipeline, 1, 32),
        notice_s=t.read_number("notice_s", d.notice_s, 0, 600),
        writes=t.read_number("writes", d.writes, 0, 1),
        filings=t.read_number("filings", d.filings, 0, 1),
    )
    t.reject_unknown_keys()
    return load


def load(path: Path) -> Scenario:
    """Raises ValidationError for a file that can't be read or is not right."""
    return read_toml(path, lambda raw: read(raw, path.stem))


def shipped() -> dict[str, Path]:
    """The scenarios that come with the package, by name."""
    return {path.stem: path for path in sorted(FOLDER.glob("*.toml"))}


def find(name: str) -> Scenario:
    """A shipped scenario by its name, or a file by its path. Raises ValidationError."""
    known = shipped()
    if name in known:
        return load(known[name])
    if name.endswith(".toml") or "/" in name:
        return load(Path(name))
    raise ValidationError("--scenario", f"is {name!r}", f"give a file or one of {', '.join(known)}")


def rushes(faults: Iterable[Fault]) -> list[Fault]:
    return [fault for fault in faults if fault.kind == "rush"]
