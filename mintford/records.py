"""What the sections of the policy keep of customers, calls, requests and backends. It decides nothing.

Which value each of these has at a moment, and what follows from it, is decided in the files that use them.
Times are milliseconds on the caller's clock, amounts units of quota.
"""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from . import interface as api

if TYPE_CHECKING:
    from .attempts import Request
    from .load import Backend


EPOCH_MS = 30_000.0  # then a customer's number of spent units begins anew
EPOCH_PHASES = 64  # of the epochs' ends, spread over the customers


class CustomerRecord:
    """One customer at this gateway: what was sent on, told, read and wished for."""

    def __init__(self, key: str, named: str, spread: int, unit: float, now: float) -> None:
        """`named`: by its requests; `spread`: gateways that it comes to; `unit`: the largest request."""
        self.key, self.plan_name, self.even_share = (
            key,
            named,
            1 / max(1, spread),
        )  # even: a gateway's even share
        self.digest = hashlib.blake2b(key.encode(), digest_size=16).hexdigest()  # keys may be long
        # Danger: epochs that end for all customers at once would bring all their gateways' calls at once.
        self.epoch_phase_ms = int(self.digest[:8], 16) % EPOCH_PHASES * EPOCH_MS / EPOCH_PHASES
        self.max_units, self.refilled_at, self.open_attempts = unit, now, 0
        self.overflow = 0.0  # over the burst since the last reading
        self.rate_share = self.even_share  # the lease's part of the quota's rate
        self.lease_end, self.fresh_until, self.read_at = now, now, now
        self.has_reading = self.is_calling = False  # a reading stands; one is on its way
        self.failed_calls, self.no_calls_until = (
            0,
            now,
        )  # calls one after the other; until when there are no more
        self.unreported_units = 0.0  # sent on and settled, not yet added
        self.recent_own_units, self.recent_peer_units = (
            0.0,
            0.0,
        )  # lately sent on, here and elsewhere: fading sums
        self.totals: dict[int, float] = {}  # the last reading of this epoch, and of the last
        self.unconfirmed_units: dict[int, float] = {}  # by epoch: said, and never answered
        self.first_estimate = math.nan  # of the store, as first guessed; no number once it is followed
        self.has_read_last_epoch = True  # the end of the last epoch is read, if it is needed
        self.late_peer_units = (
            0.0  # what others added to the last epoch after this gateway's last reading of it
        )
        self.recent_demand, self.demand_at = 0.0, now  # lately asked, refused ones too: a fading sum
        self.wants_period = -1  # the period
        self.reported_wants, self.previous_wants, self.total_wants = (
            0.0,
            0.0,
            0.0,
        )  # wants here, told in this and the last; of all

    def get_epoch(self, now: float) -> tuple[int, float]:
        """The epoch of its numbers, and how old that is in milliseconds."""
        number, age = divmod(now + self.epoch_phase_ms, EPOCH_MS)
        return int(number), age

    def is_store_known(self) -> bool:
        """Whether its store is known: not only the least of it, nor the even share."""
        return self.has_reading and math.isnan(self.first_estimate)


class CallKind(Enum):
    """Of a call: adds what was spent, reads the epoch before, tells or reads wants."""

    ADD_SPENT = 1
    READ_LAST_EPOCH = 2
    WANTS = 3


@dataclass(slots=True)
class Call:
    """One call to the counter that is under way."""

    customer: str
    kind: CallKind
    period: int  # an epoch, or a period of the wants
    amount: float
    request: str  # the id of the request that waits for it
    last_read_at: float  # when the last reading before it was taken, in ms
    called_at: float  # when it was made
    reserved_units: float = 0.0  # of the amount: units of that request, which is not judged yet


class RequestRecord:
    """One request that is owed a final answer."""

    def __init__(self, event: api.RequestArrived, kind: api.RequestClass, plan: str) -> None:
        self.id, self.kind, self.units, self.expires = event.request, kind, event.units, event.expires
        self.attempts, self.check_at, self.attempt_limit = (
            0,
            math.inf,
            1,
        )  # attempts so far; allowed when it came
        self.charged_units, self.rights_requested = (
            0.0,
            False,
        )  # to the customer's store; for a right to its ceiling
        self.has_rights = False  # that one is spent for it
        self.pending_limits: tuple[str, ...] = ()  # limits of operators that it waits for
        self.granted_limits: tuple[str, ...] = ()  # those that have paid for it
        self.pending_pool = ""  # whose limit it waits for, if that is what it waits for
        self.excluded_pools: tuple[str, ...] = ()  # pools that it can't go to
        self.marks = "all", "class " + kind.name, "plan " + plan  # of a backend that this one bears on
        self.live_attempts: set[int] = set()  # numbers of the attempts out
        self.tried_backends: set[int] = set()


class Attempt:
    """One attempt of a request at a backend."""

    __slots__ = ("backend", "response_started", "is_lost", "has_ended", "request", "sent_at")

    def __init__(self, request: Request, backend: Backend, sent_at: float) -> None:
        self.request, self.backend, self.sent_at = request, backend, sent_at
        self.response_started = False  # its answer is on its way to the client
        self.has_ended = self.is_lost = False  # lost: out for so long that it waits in no queue any more


class BackendRecord:
    """One backend as this gateway has seen it."""

    def __init__(self, entry: api.BackendEntry, settings: api.Settings) -> None:
        self.id, self.open_attempts, self.started, self.rules = entry.backend, 0, -1.0, settings.rules
        self.own_zone = settings.zone  # this gateway's own zone
        self.excess_latency, self.failure_level, self.decayed_at = (
            0.0,
            0.0,
            -math.inf,
        )  # two marks as they stood at that time
        self.peer_failure_level, self.last_success_at = (
            0.0,
            -math.inf,
        )  # failing as others say; the last own answer
        self.update(entry)

    def update(self, entry: api.BackendEntry) -> None:
        if entry.started != self.started:  # a new process: what was seen of the old one says nothing
            self.marks: dict[str, tuple[float, float]] = {}  # level and when it was set
            self.decayed_at = -math.inf
        self.entry, self.started, self.in_other_zone = entry, entry.started, entry.zone != self.own_zone
        self.ready = entry.state is api.BackendState.READY
