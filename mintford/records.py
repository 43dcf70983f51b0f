"""State records of customers, counter calls, requests, attempts and backends. They make no decisions.

The files that use a record decide what its values are and what follows from them. Times are milliseconds on
the caller's clock, amounts are units of quota.
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


EPOCH_MS = 30_000.0  # after an epoch, a customer's number of spent units starts again at zero
EPOCH_PHASES = 64  # over which the customers' epochs are spread


class CustomerRecord:
    """State of one customer at this gateway: what was spent, reported and read, and its wants."""

    def __init__(
        self, key: str, requested_plan: str, spread: int, largest_request: float, now: float
    ) -> None:
        """`requested_plan`: named by requests; `spread`: gateways it uses; `largest_request`: in units."""
        # An even share is one gateway's part of the quota if all gateways of the customer have the same part.
        self.key, self.plan_name, self.even_share = key, requested_plan, 1 / max(1, spread)
        self.digest = hashlib.blake2b(key.encode(), digest_size=16).hexdigest()  # keys may be long
        # If all customers' epochs ended at the same time, the calls of all their gateways would come at once.
        self.epoch_phase_ms = int(self.digest[:8], 16) % EPOCH_PHASES * EPOCH_MS / EPOCH_PHASES
        self.max_units, self.refilled_at, self.open_attempts = largest_request, now, 0
        self.overflow = 0.0  # units lost to the burst limit since the last reading
        self.rate_share = self.even_share  # the lease's part of the quota's rate
        self.lease_end, self.fresh_until, self.read_at = now, now, now
        self.has_reading = self.is_calling = False  # a valid reading exists; a call is in flight
        # Consecutive failed calls, and the time before which no further call is made.
        self.failed_calls, self.no_calls_until = 0, now
        self.unreported_units = 0.0  # spent or settled, and not yet added to the counter
        # Exponentially decaying sums of units spent by this gateway and by its peers.
        self.recent_own_units, self.recent_peer_units = 0.0, 0.0
        self.totals: dict[int, float] = {}  # the last totals read, of this epoch and of the last
        self.unconfirmed_units: dict[int, float] = {}  # by epoch: units in calls that had no answer
        self.first_estimate = math.nan  # of the store, by the first readings; NaN once the store is known
        self.has_read_last_epoch = True  # the final total of the last epoch has been read or is not needed
        # Units that peers added to the last epoch after this gateway's last reading of it.
        self.late_peer_units = 0.0
        self.recent_demand, self.demand_at = 0.0, now  # decaying sum of requested units, refused ones too
        self.wants_period = -1  # the last period in which wants were reported
        # Wants of this gateway reported in this and in the previous period, and wants of all gateways.
        self.reported_wants, self.previous_wants, self.total_wants = 0.0, 0.0, 0.0

    def get_epoch(self, now: float) -> tuple[int, float]:
        """The number of the customer's current epoch, and its age in milliseconds."""
        number, age = divmod(now + self.epoch_phase_ms, EPOCH_MS)
        return int(number), age

    def is_store_known(self) -> bool:
        """Whether the store is known by following the counter, and not only estimated or taken as even."""
        return self.has_reading and math.isnan(self.first_estimate)


class CallKind(Enum):
    """What a call to the counter does: add spent units, read the last epoch, or report or read wants."""

    ADD_SPENT = 1
    READ_LAST_EPOCH = 2
    WANTS = 3


@dataclass(slots=True)
class Call:
    """One call to the counter in flight."""

    customer: str
    kind: CallKind
    period: int  # the number of an epoch, or of a period of wants
    amount: float
    request: str  # the id of the request that waits for this call, or ""
    last_read_at: float  # when the previous reading was taken
    called_at: float
    reserved_units: float = 0.0  # the part of the amount that belongs to the waiting request


class RequestRecord:
    """State of one request that needs a final answer."""

    def __init__(self, event: api.RequestArrived, kind: api.RequestClass, plan: str) -> None:
        self.id, self.kind, self.units, self.expires = event.request, kind, event.units, event.expires
        # `attempt_limit` is the number of attempts allowed when the request arrived.
        self.attempts, self.check_at, self.attempt_limit = 0, math.inf, 1
        # The units charged to the customer's store, and whether a right to its ceiling was requested.
        self.charged_units, self.rights_requested = 0.0, False
        self.has_rights = False  # a right to the ceiling has been spent for it
        self.pending_limits: tuple[str, ...] = ()  # limits of operators whose rights it waits for
        self.granted_limits: tuple[str, ...] = ()  # limits whose rights have been spent for it
        self.pending_pool = ""  # the pool whose limit it waits for, if it waits for a pool
        self.excluded_pools: tuple[str, ...] = ()  # pools it must not be sent to
        self.marks = "all", "class " + kind.name, "plan " + plan  # health marks that its attempts update
        self.live_attempts: set[int] = set()  # numbers of its attempts in flight
        self.tried_backends: set[int] = set()


class Attempt:
    """One attempt of a request at a backend."""

    __slots__ = (
        "backend",
        "entry",
        "response_started",
        "response_stalled",
        "is_lost",
        "has_ended",
        "request",
        "sent_at",
    )

    def __init__(self, request: Request, backend: Backend, sent_at: float) -> None:
        self.request, self.backend, self.sent_at = request, backend, sent_at
        self.entry = backend.entry  # as listed then: another process may come up under its name
        self.response_started = False  # its response is being sent to the client, or held
        self.response_stalled = False  # it was held and has stopped to come
        # A lost attempt has been in flight for so long that it can't be in a queue any more.
        self.has_ended = self.is_lost = False


class BackendRecord:
    """State of one backend as observed by this gateway."""

    def __init__(self, entry: api.BackendEntry, settings: api.Settings) -> None:
        self.id, self.open_attempts, self.started, self.rules = entry.backend, 0, -1.0, settings.rules
        self.own_zone = settings.zone  # the zone of this gateway
        # The decayed levels of the marks "slow" (in ms above the typical latency) and "all" (failures, 0 to
        # 1), and the time for which they were computed.
        self.excess_latency, self.failure_level, self.decayed_at = 0.0, 0.0, -math.inf
        # The failure level found by other gateways, and the time of this gateway's last successful answer.
        self.peer_failure_level, self.last_success_at = 0.0, -math.inf
        self.cold_since = 0.0  # its start by this machine's clock, see `start_times`; 0: long ago
        self.update(entry)

    def update(self, entry: api.BackendEntry) -> None:
        """Apply an entry of the backend list. The marks of an earlier process of the backend are dropped."""
        if entry.started != self.started:
            self.marks: dict[str, tuple[float, float]] = {}  # level, and the time when it was set
            self.decayed_at = -math.inf
        self.entry, self.started, self.in_other_zone = entry, entry.started, entry.zone != self.own_zone
        self.ready = entry.state is api.BackendState.READY
