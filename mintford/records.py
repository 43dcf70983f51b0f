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
PHASES = 64  # of the epochs' ends, spread over the customers


class CustomerRecord:
    """One customer at this gateway: what was sent on, told, read and wished for."""

    def __init__(self, key: str, named: str, spread: int, unit: float, now: float) -> None:
        """`named`: by its requests; `spread`: gateways that it comes to; `unit`: the largest request."""
        self.key, self.named, self.even = key, named, 1 / max(1, spread)  # even: a gateway's even share
        self.digest = hashlib.blake2b(key.encode(), digest_size=16).hexdigest()  # keys may be long
        # Danger: epochs that end for all customers at once would bring all their gateways' calls at once.
        self.phase = int(self.digest[:8], 16) % PHASES * EPOCH_MS / PHASES
        self.unit, self.filled_at, self.out = unit, now, 0
        self.spilled = 0.0  # over the burst since the last reading
        self.part = self.even  # the lease's part of the quota's rate
        self.lease_end, self.fresh_until, self.read_at = now, now, now
        self.heard = self.calling = False  # a reading stands; one is on its way
        self.failed, self.quiet_until = 0, now  # calls one after the other; until when there are no more
        self.unsaid = 0.0  # sent on and settled, not yet added
        self.mine, self.others = 0.0, 0.0  # lately sent on, here and elsewhere: fading sums
        self.totals: dict[int, float] = {}  # the last reading of this epoch, and of the last
        self.unsure: dict[int, float] = {}  # by epoch: said, and never answered
        self.left = math.nan  # of the store, as first guessed; no number once it is followed
        self.ended = True  # the end of the last epoch is read, if it is needed
        self.tail = 0.0  # what others added to the last epoch after this gateway's last reading of it
        self.asked, self.asked_at = 0.0, now  # lately asked, refused ones too: a fading sum
        self.wants_told = -1  # the period
        self.telling, self.wanted, self.wants = 0.0, 0.0, 0.0  # wants here, told in this and the last; of all

    def epoch(self, now: float) -> tuple[int, float]:
        """The epoch of its numbers, and how old that is in milliseconds."""
        number, age = divmod(now + self.phase, EPOCH_MS)
        return int(number), age

    def followed(self) -> bool:
        """Whether its store is known: not only the least of it, nor the even share."""
        return self.heard and math.isnan(self.left)


class Kind(Enum):
    """Of a call: adds what was spent, reads the epoch before, tells or reads wants."""

    SPENT = 1
    ENDED = 2
    WANTS = 3


@dataclass(slots=True)
class Call:
    """One call to the counter that is under way."""

    customer: str
    kind: Kind
    period: int  # an epoch, or a period of the wants
    amount: float
    request: str  # the id of the request that waits for it
    since: float  # when the last reading before it was taken, in ms
    at: float  # when it was made
    ahead: float = 0.0  # of the amount: units of that request, which is not judged yet


class RequestRecord:
    """One request that is owed a final answer."""

    def __init__(self, event: api.RequestArrived, kind: api.RequestClass, plan: str) -> None:
        self.id, self.kind, self.units, self.expires = event.request, kind, event.units, event.expires
        self.attempts, self.check_at, self.most = 0, math.inf, 1  # attempts so far; allowed when it came
        self.charged, self.asked = 0.0, False  # to the customer's store; for a right to its ceiling
        self.right = False  # that one is spent for it
        self.owing: tuple[str, ...] = ()  # limits of operators that it waits for
        self.paid: tuple[str, ...] = ()  # those that have paid for it
        self.pool = ""  # whose limit it waits for, if that is what it waits for
        self.shut: tuple[str, ...] = ()  # pools that it can't go to
        self.marks = "all", "class " + kind.name, "plan " + plan  # of a backend that this one bears on
        self.live: set[int] = set()  # numbers of the attempts out
        self.tried: set[int] = set()


class Attempt:
    """One attempt of a request at a backend."""

    __slots__ = ("backend", "begun", "lost", "over", "request", "sent_at")

    def __init__(self, request: Request, backend: Backend, sent_at: float) -> None:
        self.request, self.backend, self.sent_at = request, backend, sent_at
        self.begun = False  # its answer is on its way to the client
        self.over = self.lost = False  # lost: out for so long that it waits in no queue any more


class BackendRecord:
    """One backend as this gateway has seen it."""

    def __init__(self, entry: api.BackendEntry, settings: api.Settings) -> None:
        self.id, self.out, self.started, self.rules = entry.backend, 0, -1.0, settings.rules
        self.here = settings.zone  # this gateway's own zone
        self.slow, self.bad, self.faded_at = 0.0, 0.0, -math.inf  # two marks as they stood at that time
        self.hearsay, self.answered_at = 0.0, -math.inf  # failing as others say; the last own answer
        self.update(entry)

    def update(self, entry: api.BackendEntry) -> None:
        if entry.started != self.started:  # a new process: what was seen of the old one says nothing
            self.marks: dict[str, tuple[float, float]] = {}  # level and when it was set
            self.faded_at = -math.inf
        self.entry, self.started, self.away = entry, entry.started, entry.zone != self.here
        self.ready = entry.state is api.BackendState.READY
