"""Types of the decision module: its settings, the events it takes and the actions it returns.

All times and durations are milliseconds on the caller's clock, amounts are units of quota. Events and actions
are created for every request. They are not frozen, because creating a frozen instance costs four times as
much, but nobody modifies them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Effect(Enum):
    """Whether requests of a class may run more than once."""

    SAFE = "pure"
    KEYED = "token"
    UNSAFE = "side_effect"


class DedupScope(Enum):
    """The backends that drop repeats of the same keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class BackendState(Enum):
    """The state of a backend in the backend list. Only ready ones receive requests."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListScope(Enum):
    """What a backend list contains: changes, all backends, a saved list, or nothing as the request failed."""

    CHANGES = "INCREMENTAL"
    FULL = "FULL"
    SAVED = "SAVED"
    FAILED = "FAILED"


class Outcome(Enum):
    """How an attempt or a call to the counter ended."""

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
    """A class of requests: its latency target, its deadline, its importance and the effects of running it."""

    name: str
    latency_target: float
    deadline: float
    importance: float = 1.0
    effect: Effect = Effect.UNSAFE
    dedup: DedupScope = DedupScope.ALL
    repeat_window: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota (units a second, burst, open attempts), prices and hard ceiling. 0 means none."""

    name: str
    rate: float = 0.0
    burst: float = 0.0
    open_limit: int = 0
    overage_earnings: float = 0.0
    overage_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    price_factor: float = 1.0  # multiplied by the importance of a class, it is the worth of a unit


@dataclass(frozen=True, slots=True)
class SafetyRules:
    """The deployment's rules on draining backends and on the load of backends that have just started."""

    drain_grace: float
    start_capacity: float
    warmup_time: float
    overload_multiple: float


@dataclass(frozen=True, slots=True)
class Capabilities:
    """Optional features of a deployment and its prices. The defaults stand for a deployment without them.

    A price is in points of the result, for one occurrence per first try of a request. 0 means free.
    """

    load_reports: str = "none"  # in "answers", in "probe" results only, or "none"
    report_fields: tuple[str, ...] = ()  # a subset of inflight, queue, util, latency_ms, qps, eps
    allows_probes: bool = False
    settles_units: bool = False  # a request's units are an estimate; its answer carries the true number
    marks_retries: bool = False
    price_waste: float = 0.0
    price_late: float = 0.0
    price_crossing: float = 0.0
    price_probe: float = 0.0
    price_count: float = 0.0
    worst_class_weight: float = 0.0  # the ratio of the result that the class with the worst result decides


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one gateway: its place in the fleet, classes, plans, rules and limits."""

    index: int
    gateways: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: SafetyRules
    max_attempts: int
    may_duplicate: bool = False
    can_cancel: bool = False
    has_counter: bool = False
    must_subscribe_backends: bool = False
    max_retry_after: float = 0.0
    counter_timeout: float = 0.0
    max_request_units: float = 1.0
    rights_ratio: float = 0.0  # of each hard ceiling: spent by escrow rights, not split evenly
    capabilities: Capabilities = field(default_factory=lambda: Capabilities())


@dataclass(frozen=True, slots=True)
class BackendEntry:
    """One backend of the backend list."""

    backend: int
    zone: str
    cell: int
    started: float
    state: BackendState


@dataclass(slots=True)
class BackendsChanged:
    """The backend list was received or has changed."""

    scope: ListScope
    entries: tuple[BackendEntry, ...]


@dataclass(slots=True)
class RequestArrived:
    """A client has sent a request, which expires at the given time."""

    request: str
    request_class: str
    plan: str
    customer: str
    expires: float
    units: float
    spread: int
    first_gateway: int
    is_repeat: bool = False


@dataclass(slots=True)
class AttemptEnded:
    """An attempt at a backend has ended, `elapsed` after it was sent."""

    request: str
    attempt: int
    backend: int
    outcome: Outcome
    elapsed: float
    finished: bool
    settled_units: float = 0.0  # the true units, where the deployment settles them; 0 means unknown


@dataclass(slots=True)
class ResponseStarted:
    """The first bytes of a long response have come, and are being sent to the client.

    `is_held`: they are kept for a while. The response may then still fail, and the request goes on. A second
    event without `is_held` says that they are being sent now.
    """

    request: str
    attempt: int
    backend: int
    is_held: bool = False


@dataclass(slots=True)
class ResponseStalled:
    """A held response has stopped to come. Its attempt is still open, and overdue again."""

    request: str
    attempt: int


@dataclass(slots=True)
class RequestAbandoned:
    """Nobody waits for the answer to this request any more, so it needs no final answer."""

    request: str


@dataclass(slots=True)
class CounterReplied:
    """A call to the counter has ended, with the counter's total if it succeeded."""

    name: str
    outcome: Outcome
    total: float


@dataclass(slots=True)
class RightsDecided:
    """The answer to `SpendRights`: whether the rights were available and have been spent for the request."""

    request: str
    granted: bool


@dataclass(slots=True)
class TimerFired:
    """A timer set by `SetTimer` has expired."""

    token: str


@dataclass(slots=True)
class LoopLagMeasured:
    """How late this gateway's event loop is. Received data waits this long until it is read."""

    lag: float


@dataclass(slots=True)
class SettingsChanged:
    """New settings apply from now on. Open requests keep the request class they arrived with."""

    settings: Settings


# What a process knows of a customer's store. It maps the keys of the handover message to the attributes of
# mintford.quotas.Customer. Other versions of this program read the keys, so they must not change.
LEASE_FIELDS = {
    "store": "store",
    "part": "rate_share",
    "lease_end": "lease_end",
    "read_at": "read_at",
    "heard": "has_reading",
    "mine": "recent_own_units",
    "others": "recent_peer_units",
    "left": "first_estimate",
    "tail": "late_peer_units",
    "ended": "has_read_last_epoch",
    "totals": "totals",
    "unsure": "unconfirmed_units",
    "asked": "recent_demand",
    "asked_at": "demand_at",
    "wants_told": "wants_period",
    "telling": "reported_wants",
    "wanted": "previous_wants",
    "wants": "total_wants",
}


@dataclass(slots=True)
class CustomerSnapshot:
    """A customer's state in a handover: what the sending process knew, and the amounts that it gives away.

    The names of the attributes are the keys of the message between the processes.
    """

    customer: str
    plan: str
    spread: int
    lease: dict[str, Any]  # by the keys of LEASE_FIELDS
    tokens: float  # of the lease
    own: float  # units of the gateway's own part of the ceiling
    unused: float  # units of the ceiling's shared part that this gateway may still take
    unsaid: float = 0.0  # units spent but not yet added to the counter; the receiving process adds them


@dataclass(slots=True)
class BackendSnapshot:
    """A backend's health in a handover: the levels of its health marks and the times when they were set."""

    backend: int
    started: float
    marks: dict[str, tuple[float, float]]


@dataclass(slots=True)
class HandoverState:
    """The state that one process of a gateway hands over to another."""

    complete_since: float  # a customer that is not listed has sent no request since this time
    customers: tuple[CustomerSnapshot, ...]
    backends: tuple[BackendSnapshot, ...]
    typical: float  # the typical and the recent latency of answers, in ms
    recent: float


@dataclass(slots=True)
class GatewayShareChanged:
    """This process now serves this share of its gateway. `SendHandover` carries the state it gives up."""

    share: float


@dataclass(slots=True)
class HandoverReceived:
    """The other process of this gateway has handed over this state."""

    handover_state: HandoverState


@dataclass(slots=True)
class AdmissionChanged:
    """Whether the gateway accepts new requests. Open requests continue either way."""

    accepts_requests: bool


@dataclass(slots=True)
class PlanChanged:
    """New terms of a plan, or of one customer. None returns the customer to the terms of its plan."""

    plan: Plan | None
    customer: str = ""  # "" means all customers with that plan and without terms of their own


@dataclass(slots=True)
class OrdersChanged:
    """Everything that operators order of all gateways. It replaces all earlier orders.

    `limit_names`: names of limits by scope (class, plan, customer, pool) and subject; a pool is a zone.
    """

    limit_names: dict[tuple[str, str], tuple[str, ...]] = field(default_factory=dict)
    limited_pools: tuple[str, ...] = ()
    blocked_customers: frozenset[str] = frozenset()
    shed_classes: frozenset[str] = frozenset()
    excluded_backends: frozenset[int] = frozenset()


@dataclass(slots=True)
class PeerVerdictsChanged:
    """All backends that other gateways of the fleet find failing. It replaces all earlier verdicts.

    Each backend has the time when it started, the probability that it fails a request (0 to 1) and the time
    of that finding by this gateway's clock. Backends that are not listed serve other gateways well.
    """

    backends: dict[int, tuple[float, float, float]] = field(default_factory=dict)


@dataclass(slots=True)
class PeerMessageReceived:
    """Another gateway has sent a message. No decision depends on it."""

    sender: int
    payload: bytes


Event = (
    BackendsChanged
    | RequestArrived
    | AttemptEnded
    | ResponseStarted
    | ResponseStalled
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
    """Start an attempt. The attempts of a request are numbered 0, 1, 2, ... in the order they are sent."""

    request: str
    backend: int
    timeout: float = 0.0
    attempt: int = 0  # its number, which `AttemptEnded` carries even if the request has already ended
    # The last byte of this attempt, and of the request's other open attempts, must be sent before this time.
    send_deadline: float = float("inf")


@dataclass(slots=True)
class Cancel:
    """Cancel an open attempt. Its `AttemptEnded` still follows."""

    request: str
    attempt: int


class RefusalReason(Enum):
    """Why a request got a final answer without a value. The texts are for logs."""

    NOT_ADMITTING = "this process takes no new requests"
    ORDERED = "an order of operators forbids it"
    CEILING = "the customer's ceiling is reached"
    QUOTA = "beyond the quota, and not worth its cost"
    RIGHTS = "no rights to a limit were granted in time"
    LATE = "already late, without spare capacity"
    RESERVED = "units are kept for classes worth more"
    OVERLOAD = "the backends would answer too late"
    NO_BACKEND = "no backend may be used"
    ATTEMPTS_FAILED = "its attempts failed, and no other one is possible"
    EXPIRED = "its time is over"
    TOO_MANY_CUSTOMERS = "more customers are known than memory allows"


@dataclass(slots=True)
class Refuse:
    """A final answer that guarantees that a new try does no harm."""

    request: str
    retry_after: float = 0.0
    reason: RefusalReason = RefusalReason.NO_BACKEND


@dataclass(slots=True)
class Fail:
    """A final answer without any guarantee. The request may have run."""

    request: str
    reason: RefusalReason = RefusalReason.ATTEMPTS_FAILED


@dataclass(slots=True)
class SetTimer:
    """Send `TimerFired` with this token after a delay."""

    delay: float
    token: str


@dataclass(slots=True)
class AddToCounter:
    """Add to a named number at the counter, where 0 only reads it. `CounterReplied` carries the total."""

    name: str
    amount: float
    expire_in: float


@dataclass(slots=True)
class SpendRights:
    """Spend rights for a request that waits for `RightsDecided`, all of them or none.

    They cover units of the customer's ceiling and one request of each limit set by operators.
    """

    request: str
    plan: str  # "" if no right to a ceiling is needed
    customer: str
    units: float
    limits: tuple[str, ...] = ()


@dataclass(slots=True)
class SubscribeBackends:
    """Subscribe to the backend list."""

    enable: bool = True


@dataclass(slots=True)
class SendHandover:
    """Send the state that this process gives up to the other process of its gateway."""

    handover_state: HandoverState


Action = (
    Send | Cancel | Refuse | Fail | SetTimer | AddToCounter | SpendRights | SubscribeBackends | SendHandover
)
Actions = list[Action]
