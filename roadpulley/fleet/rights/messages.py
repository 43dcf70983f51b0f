"""Messages between the allocator of a limit and the holders of rights, and the timing that both observe.

A limit is a token bucket: it holds up to `burst` units and refills at `rate` units a second. One allocator,
the holder of a duty, grants rights to its units. Each right expires after a short lease.

Invariant: over any time from s to t all holders together spend at most `burst + rate * (t - s)`.

| role      | remembers                                     | refuses                                   |
| --------- | --------------------------------------------- | ----------------------------------------- |
| allocator | by limit: its level, and each granted right   | every request until the rights of earlier |
|           | until it is returned or has expired;          | allocators have expired; a repeated       |
|           | the last reply to each holder                 | request (it repeats the reply); a right   |
|           |                                               | that is returned twice, after its expiry  |
|           |                                               | or under another fence                    |
| holder    | its rights and their expiry by its own clock; | a reply to anything but its open request; |
|           | its open request and when that was first sent | to spend a right that has expired or that |
|           |                                               | it has returned                           |

A planned handover transfers the ledgers, so that the next allocator need not wait. The successor requests
them, at time a by its clock. The predecessor then seals its ledgers (it grants nothing from then on), sends
snapshots of them, and only then releases the duty. An allocator without snapshots waits `clear` after its
start, so no allocator that held the duty in between granted anything before a + `clear`. Snapshots are
therefore valid for a successor that starts within the holder's lease of a, and for no other. A limit without
a snapshot, or whose ledger was still in its own waiting period, is waited for as without a handover.

Why it holds. For each limit the allocator tracks its level (units that it can grant) and its outstanding
units (granted in rights that have not expired). A unit spent after s was outstanding at s, or was granted
after s. The allocator keeps `level + outstanding <= burst` at every moment, not only when it evaluates it,
and only time adds to that sum: a returned right moves its unused units from outstanding to level, an expired
right moves nothing. The allocator counts a right as outstanding for `lease` from the grant, by its own clock.
The holder counts from when it sent its request, which was earlier, and for a shorter time
(`Times.holder_lease_s`), even if both clocks run apart by `drift`. The reply states that time, as the two may
have different settings. So nothing is spent that is not outstanding. A new allocator does not know what its
predecessors granted: that may be all of `burst`, for the longest lease in use (`clear`), so its level starts
at zero and begins to refill only after that time. The duty guarantees that two allocators never grant at the
same time (see the package `duties`).

After O'Neil, "The Escrow Transactional Method" (1986); Barbara and Garcia-Molina, "The Demarcation Protocol"
(1994); Balegas and others, "Extending Eventually Consistent Cloud Databases for Enforcing Numeric Invariants"
(2015). See docs/design/fleet-limits.md for what differs, and why.
"""

from __future__ import annotations

import math
from typing import TypeAlias

import msgspec

MAX_LIMIT_NAME_BYTES = 96
MAX_RETURNED_PER_REQUEST = 16
UNIT_EPSILON = 1e-6  # units; smaller differences are rounding errors
CONCURRENCY_PREFIX = "@open:"  # prefix of the names of concurrency limits


class Limit(msgspec.Struct, frozen=True):
    """`burst` in units, `rate` in units a second. Raises ValueError.

    `lease` is in seconds; 0 means `Times.lease`. A unit of a concurrency limit (`is_concurrency_limit`)
    becomes available again when the request that it was spent on has ended.
    """

    rate: float
    burst: float
    lease: float = 0.0

    def __post_init__(self) -> None:
        if not 0 < self.burst < math.inf:
            raise ValueError(f"burst is {self.burst:g}; give more than 0")
        if not 0 <= self.rate < math.inf:
            raise ValueError(f"rate is {self.rate:g}; give 0 or more")


def is_concurrency_limit(limit: str) -> bool:
    """Whether units of this limit are released when their request ends, instead of being refilled over time.

    Invariant of concurrency limits: at most `burst` units are in use at any moment. A holder spends a unit
    only on a request whose deadline is before the expiry of the right.
    """
    return limit.startswith(CONCURRENCY_PREFIX)


class Times(msgspec.Struct, frozen=True):
    """Timing in seconds; `drift` and `keep` are ratios.

    Raises ValueError if holders are left too little time.
    """

    lease: float = 1.0  # time that a right counts as outstanding, by the allocator's clock
    drift: float = 0.02  # largest deviation of any clock's rate from true time
    answer: float = 0.05  # timeout after which a request is first resent
    keep: float = 0.7  # part of the holder's lease after which the rest of a right is returned
    clear: float = 0.0  # wait of a new allocator: the longest lease in use by any. 0 means `lease`

    def __post_init__(self) -> None:
        if not 0 <= self.drift <= 0.25:
            raise ValueError(f"drift is {self.drift:g}; give a share from 0 to 0.25")
        if self.answer <= 0:
            raise ValueError(f"answer is {self.answer:g}; give more than 0 s")
        if not self.clear:
            msgspec.structs.force_setattr(self, "clear", self.lease)
        if self.clear < self.lease:
            raise ValueError(f"clear is {self.clear:g}; give the longest lease in use, from {self.lease:g}")
        if self.holder_lease_s < 4 * self.answer:
            minimum = 4 * self.answer * (1 + self.drift) / (1 - self.drift)
            raise ValueError(
                f"lease is {self.lease:g}; with this drift and answer give {minimum:.2f} or more"
            )

    @property
    def holder_lease_s(self) -> float:
        """Time that a holder may spend a right, from its first request for it, by its own clock.

        It is shorter than `lease` by both clock drifts. Otherwise a holder with a slow clock would still
        spend units that an allocator with a fast clock has granted to another holder.
        """
        return self.holder_lease_for(self.lease)

    def holder_lease_for(self, lease: float) -> float:
        """Time in seconds that a holder may spend a right with this lease at the allocator."""
        return lease * (1 - self.drift) / (1 + self.drift)

    @property
    def reply_timeout_s(self) -> float:
        """Time after which a request is abandoned: too little of the lease of a later reply would be left."""
        return self.holder_lease_s / 2

    @property
    def return_after_s(self) -> float:
        """Age at which the rest of a right is returned, as another holder may want it."""
        return self.holder_lease_s * self.keep


class RightId(msgspec.Struct, array_like=True, frozen=True):
    """Identifies a right. Numbers are counted by each allocator, under its own fence."""

    fence: int
    number: int


class ReturnedRight(msgspec.Struct, array_like=True, frozen=True):
    """A right that its holder no longer spends; `unused_units` of it were not spent."""

    right_id: RightId
    unused_units: float


# ---- messages ----


class AllocatorAnnouncement(msgspec.Struct, tag="r-serve", array_like=True, frozen=True):
    """Announces the allocator of a partition of the limits. It is valid for `lifetime_ms` after receipt."""

    partition: int
    fence: int
    lifetime_ms: int


class RightsRequest(msgspec.Struct, tag="r-ask", array_like=True, frozen=True):
    """Requests `wanted_units` of a limit, or none if fewer than `min_units` can be granted.

    It is addressed to the allocator under `fence`, and returns the rights in `returned`. `holder` is the
    random ID of the process that spends; `request_number` counts its requests.
    """

    partition: int
    fence: int
    holder: int
    request_number: int
    limit: str
    wanted_units: float
    min_units: float
    returned: tuple[ReturnedRight, ...] = ()


class RightsReply(msgspec.Struct, tag="r-given", array_like=True, frozen=True):
    """Reply to a `RightsRequest`: a right with its units, or no units and the delay before a retry."""

    holder: int
    request_number: int
    limit: str
    right_id: RightId
    units: float
    holder_lease_s: float  # from the first request, by the holder's clock and the allocator's settings
    retry_after_ms: int = 0


# ---- handover between allocators ----


class HandoverOffer(msgspec.Struct, tag="r-heir", array_like=True, frozen=True):
    """The allocator of a partition offers its ledgers to its likely successor."""

    partition: int
    fence: int


class HandoverRequest(msgspec.Struct, tag="r-hask", array_like=True, frozen=True):
    """The successor asks the allocator to seal its ledgers and to send snapshots of them."""

    partition: int
    fence: int


class LedgerSnapshot(msgspec.Struct, tag="r-legacy", array_like=True, frozen=True):
    """One sealed ledger. `outstanding` holds the units and the seconds to expiry of each granted right."""

    partition: int
    fence: int
    limit: str
    level: float
    outstanding: tuple[tuple[float, float], ...]


Body: TypeAlias = (
    AllocatorAnnouncement | RightsRequest | RightsReply | HandoverOffer | HandoverRequest | LedgerSnapshot
)


# ---- between an instance and the local processes that spend ----


class Hello(msgspec.Struct, tag="r-hello", array_like=True, frozen=True):
    """Registers a holder. It is repeated, so that a restarted instance learns of the holder."""

    holder: int


class Welcome(msgspec.Struct, tag="r-welcome", array_like=True, frozen=True):
    """Reply to `Hello`: the settings by which a holder requests rights."""

    partitions: int
    times: Times


FromHolder: TypeAlias = Hello | RightsRequest
ToHolder: TypeAlias = Welcome | AllocatorAnnouncement | RightsReply
