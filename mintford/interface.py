"""Types of the decision module: its settings, the events it takes and the actions it gives.

All times are milliseconds on the caller's clock. Nothing here decides anything. Events and actions are made
for every request and not frozen: a frozen one costs four times as much to make. Nobody changes them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Effect(Enum):
    """Whether a class of requests may run more than once."""

    SAFE = "pure"
    KEYED = "token"
    UNSAFE = "side_effect"


class DedupScope(Enum):
    """The backends that drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class BackendState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    """What a backend list holds: changes, everything, everything as remembered, or nothing (a failed ask)."""

    CHANGES = "INCREMENTAL"
    FULL = "FULL"
    SAVED = "SAVED"
    FAILED = "FAILED"


class Outcome(Enum):
    """How an attempt or a counter call ended."""

    OK = "Ok"
    FAILED = "Failed"
    FULL = "QueueFull"
    TIMED_OUT = "TimedOut"
    CONNECT = "ConnectError"
    RESET = "ResetByPeer"
    CANCELLED = "Canceled"
    IGNORED = "Ignored"


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    aim: float
    deadline: float
    importance: float = 1.0
    effect: Effect = Effect.UNSAFE
    group: DedupScope = DedupScope.ALL
    repeat_window: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota (rate a second, burst, open attempts), prices, and hard ceiling; 0 means none."""

    name: str
    rate: float = 0.0
    burst: float = 0.0
    open_limit: int = 0
    beyond_earns: float = 0.0
    beyond_costs: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    price: float = 1.0  # times the importance of a class: what a unit of it is worth


@dataclass(frozen=True, slots=True)
class SafetyRules:
    drain_grace: float
    start_capacity: float
    warm_within: float
    fall_multiple: float


@dataclass(frozen=True, slots=True)
class Capabilities:
    """What a deployment tells and charges beyond its rules; what it does not offer costs nothing here.

    Prices are points of the result, for one each time per first try; 0 means free.
    """

    reports: str = "none"  # load reports: in "answers", in "probe" results alone, or "none"
    fields: tuple[str, ...] = ()  # of them: inflight, queue, util, latency_ms, qps, eps
    probes: bool = False
    settles: bool = False  # units are a guess; the true ones come with the answer
    marks_retries: bool = False
    price_waste: float = 0.0
    price_late: float = 0.0
    price_crossing: float = 0.0
    price_probe: float = 0.0
    price_count: float = 0.0
    worst_class: float = 0.0  # the part of the result that the class which fares worst decides


@dataclass(frozen=True, slots=True)
class Settings:
    index: int
    gateways: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: SafetyRules
    max_attempts: int
    may_duplicate: bool = False
    can_cancel: bool = False
    may_count: bool = False
    must_ask_for_list: bool = False
    max_retry_after: float = 0.0
    count_wait: float = 0.0
    most_units: float = 1.0
    rights: float = 0.0  # the part of each hard ceiling that is spent by rights, not split evenly; 0: none
    offers: Capabilities = field(default_factory=lambda: Capabilities())


@dataclass(frozen=True, slots=True)
class BackendEntry:
    backend: int
    zone: str
    cell: int
    started: float
    state: BackendState


@dataclass(slots=True)
class BackendsChanged:
    scope: ListScope
    entries: tuple[BackendEntry, ...]


@dataclass(slots=True)
class RequestArrived:
    request: str
    request_class: str
    plan: str
    customer: str
    expires: float
    units: float
    spread: int
    first: int
    repeat: bool = False


@dataclass(slots=True)
class AttemptEnded:
    request: str
    attempt: int
    backend: int
    outcome: Outcome
    lag: float
    finished: bool
    cost: float = 0.0  # the true units, where the deployment settles them; 0: not told


@dataclass(slots=True)
class ResponseStarted:
    request: str
    attempt: int
    backend: int


@dataclass(slots=True)
class RequestAbandoned:
    request: str


@dataclass(slots=True)
class CounterReplied:
    name: str
    outcome: Outcome
    reading: float


@dataclass(slots=True)
class RightsDecided:
    """The answer to `SpendRights`: whether the rights were available and have been spent for the request."""

    request: str
    paid: bool


@dataclass(slots=True)
class TimerFired:
    token: str


@dataclass(slots=True)
class LoopLagMeasured:
    """How far this gateway's own loop is behind: what has come in waits this long until it is read."""

    lag: float


@dataclass(slots=True)
class SettingsChanged:
    """From now on these settings hold; requests that are open keep the class that they came with."""

    settings: Settings


# What a process knows of a customer's store; the names are those of mintford.quotas.Customer.
LEASE_FIELDS = (
    "store", "part", "lease_end", "read_at", "heard", "mine", "others", "left", "tail", "ended", "totals",
    "unsure", "asked", "asked_at", "wants_told", "telling", "wanted", "wants",
)  # fmt: skip


@dataclass(slots=True)
class CustomerSnapshot:
    """What one process of a gateway held for a customer: what it knew, and the amounts that it gives."""

    customer: str
    plan: str
    spread: int
    lease: dict[str, Any]  # by the names in LEASE_FIELDS
    tokens: float  # of the lease
    own: float  # of the gateway's own part of the ceiling
    unused: float  # of its shared part: what this gateway may still take
    unsaid: float = 0.0  # sent on, and for the other process to tell the counter


@dataclass(slots=True)
class BackendSnapshot:
    """What one process has seen of a backend: levels of its marks, and when they were set."""

    backend: int
    started: float
    marks: dict[str, tuple[float, float]]


@dataclass(slots=True)
class HandoverState:
    """What one process of a gateway gives the other."""

    since: float  # whoever is not named has not been met since then
    customers: tuple[CustomerSnapshot, ...]
    backends: tuple[BackendSnapshot, ...]
    typical: float
    recent: float


@dataclass(slots=True)
class GatewayShareChanged:
    """This process now serves this share of its gateway; `SendHandover` carries the state it gives up."""

    part: float


@dataclass(slots=True)
class HandoverReceived:
    """The other process of this gateway has given this."""

    estate: HandoverState


@dataclass(slots=True)
class AdmissionChanged:
    """Whether new requests are taken; those that are open go on either way."""

    open: bool


@dataclass(slots=True)
class PlanChanged:
    """From now on a plan has other terms, or one customer its own (None: again those of its plan)."""

    plan: Plan | None
    customer: str = ""  # "": all who have that plan and no terms of their own


@dataclass(slots=True)
class OrdersChanged:
    """What operators order of all gateways from now on; all of it, also what stays as it was.

    `limited`: names of limits by scope (class, plan, customer, pool: a zone of backends) and subject.
    """

    limited: dict[tuple[str, str], tuple[str, ...]] = field(default_factory=dict)
    pools: tuple[str, ...] = ()  # those with limits
    blocked: frozenset[str] = frozenset()  # customers
    shed: frozenset[str] = frozenset()  # classes
    kept_off: frozenset[int] = frozenset()  # backends


@dataclass(slots=True)
class PeerVerdictsChanged:
    """What other gateways of the fleet found failing, all of it: by backend, its start, how likely it fails
    (0 to 1) and when that was seen, by this gateway's clock. Backends that are not named fare well there."""

    backends: dict[int, tuple[float, float, float]] = field(default_factory=dict)


@dataclass(slots=True)
class PeerMessageReceived:
    sender: int
    payload: bytes


Event = (
    BackendsChanged
    | RequestArrived
    | AttemptEnded
    | ResponseStarted
    | RequestAbandoned
    | CounterReplied
    | RightsDecided
    | TimerFired
    | LoopLagMeasured
    | AdmissionChanged
    | GatewayShareChanged
    | HandoverReceived
    | SettingsChanged
    | PlanChanged
    | OrdersChanged
    | PeerVerdictsChanged
    | PeerMessageReceived
)


@dataclass(slots=True)
class Send:
    """Start an attempt; the attempts of a request are numbered 0, 1, 2, ... in the order of their sends."""

    request: str
    backend: int
    timeout: float = 0.0
    attempt: int = 0  # its number, by which it is told to have ended also where its request is gone
    latest: float = float("inf")  # its first byte goes out before this, or it has not run: a repeat's window


@dataclass(slots=True)
class Cancel:
    request: str
    attempt: int


@dataclass(slots=True)
class Refuse:
    """A final answer that promises a new try does no harm."""

    request: str
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """A final answer that promises nothing."""

    request: str


@dataclass(slots=True)
class SetTimer:
    delay: float
    token: str


@dataclass(slots=True)
class AddToCounter:
    """Add to a named number on the counter service (0 reads it); the reply carries the total."""

    name: str
    amount: float
    expire_in: float


@dataclass(slots=True)
class SpendRights:
    """Spend rights for a request that waits for `RightsDecided`, all of them or none.

    They cover units of the customer's ceiling and one request of each limit set by operators.
    """

    request: str
    plan: str  # "": no right to a ceiling is needed
    customer: str
    units: float
    limits: tuple[str, ...] = ()


@dataclass(slots=True)
class SubscribeBackends:
    enable: bool = True


@dataclass(slots=True)
class SendHandover:
    """What this process holds no more, for the other one of its gateway."""

    estate: HandoverState


Action = (
    Send | Cancel | Refuse | Fail | SetTimer | AddToCounter | SpendRights | SubscribeBackends | SendHandover
)
Actions = list[Action]
