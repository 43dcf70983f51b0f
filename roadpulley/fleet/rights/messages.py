"""What holders and the allocator of a limit say to each other, and the times that both keep.

A limit is a store of units: it holds `burst`, and `rate` a second come back. Rights to its units are given
out by one allocator, the holder of a duty, and each right ends soon by itself.

Invariant: over any time from s to t all holders together spend at most `burst + rate * (t - s)`.

| role      | remembers                                     | refuses                                   |
| --------- | --------------------------------------------- | ----------------------------------------- |
| allocator | by limit: its level, and each right given out | all, before earlier allocators' rights    |
|           | until it was given up or has surely ended;    | have ended; an ask again (it is answered  |
|           | the last answer to each holder                | as before); a right given up twice, late  |
|           |                                               | or under another fence                    |
| holder    | its rights, until when by its own clock; the  | an answer to anything but its open ask;   |
|           | one ask that is open, and when it first asked | to spend a right that has ended or that   |
|           |                                               | it has given up                           |

A planned hand-over passes books on, so that the next allocator need not wait. It asks for them, at a by its
clock; the one before seals them when it hears that (it gives nothing out from then on), shows them, and only
then lets go. Who is not asked waits `clear` after its beginning, so that whatever holdings came between, they
gave nothing out before a + `clear`. So books count for a holding that begins within `lease` of a, and for no
other. A book that was not shown, or that was itself still waiting, is waited for as ever.

Why it holds. Call what a limit holds and what is out of it level and out. A unit spent after s was out at s,
or was given out after s. The allocator keeps `level + out <= burst` at every moment, not only when it
looks, and only time adds to that sum: a right that is given up moves its unused units from out to level, one
that ends moves nothing. A right counts as out from when it was given, for `lease` by the allocator's clock;
its holder counts from when it asked, which was before, for `holds`, which is shorter by any clock within
`drift`; the answer tells it, as the two may go by other settings. So nothing is spent that is not out. A new
allocator knows nothing of what its forerunners gave out: that may be all of `burst`, for the longest lease in
use (`clear`), so that its level begins to fill, from nothing, only then. That two of them never give out at
once is the invariant of the duty (`duties/terms.py`).

After O'Neil, "The Escrow Transactional Method" (1986); Barbara and Garcia-Molina, "The Demarcation Protocol"
(1994); Balegas and others, "Extending Eventually Consistent Cloud Databases for Enforcing Numeric Invariants"
(2015). See docs/design/fleet-limits.md for what differs, and why.
"""

from __future__ import annotations

import math
from typing import TypeAlias

import msgspec

MAX_LIMIT_NAME_BYTES = 96  # bytes of a limit's name
MAX_RETURNED_PER_REQUEST = 16  # rights given up with one ask
UNIT_EPSILON = 1e-6  # what rounding may leave of a difference
CONCURRENCY_PREFIX = "@open:"  # begins the names of limits on what is open at once


class Limit(msgspec.Struct, frozen=True):
    """Units; `rate` a second. `lease`: seconds, where it is not that of all. Raises ValueError.

    Of a limit on what is open at once (`returns`) a unit comes back when what it was spent on has ended.
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
    """Whether its units come back with the end of what they were spent on, and not with time.

    Invariant of these: at no moment more than `burst` are in use. A right lasts longer than anything that it
    is spent on: a holder uses a unit only for what surely ends before the right does.
    """
    return limit.startswith(CONCURRENCY_PREFIX)


class Times(msgspec.Struct, frozen=True):
    """Seconds, and a share for `drift`. Raises ValueError where they leave a holder no time."""

    lease: float = 1.0  # for which the allocator takes a right for out, by its own clock
    drift: float = 0.02  # how much faster or slower than true time any clock may run
    answer: float = 0.05  # after which an ask is sent again
    keep: float = 0.7  # of the time that a right may be spent: then it is given up
    clear: float = 0.0  # that a new allocator waits: the longest lease in use by any. 0: `lease`

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
            least = 4 * self.answer * (1 + self.drift) / (1 - self.drift)
            raise ValueError(f"lease is {self.lease:g}; with this drift and answer give {least:.2f} or more")

    @property
    def holder_lease_s(self) -> float:
        """For which a holder may spend a right, from when it first asked for it, by its own clock.

        Danger: a slow holder beside a fast allocator would spend what has been given to another.
        """
        return self.holder_lease_for(self.lease)

    def holder_lease_for(self, lease: float) -> float:
        return lease * (1 - self.drift) / (1 + self.drift)

    @property
    def reply_timeout_s(self) -> float:
        """For which an answer is waited for: what comes later could hardly be spent."""
        return self.holder_lease_s / 2

    @property
    def return_after_s(self) -> float:
        """After this what is left of a right is given up, as somebody else may want it."""
        return self.holder_lease_s * self.keep


class RightId(msgspec.Struct, array_like=True, frozen=True):
    """The name of one: numbers are counted under each allocator's own fence."""

    fence: int
    number: int


class ReturnedRight(msgspec.Struct, array_like=True, frozen=True):
    """A right that its holder has written off; `unused` units of it were not spent."""

    right_id: RightId
    unused_units: float


# ---- messages ----


class AllocatorAnnouncement(msgspec.Struct, tag="r-serve", array_like=True, frozen=True):
    """I give out the rights of this part of all limits. `left_ms`: for how long, unless I say so again."""

    partition: int
    fence: int
    lifetime_ms: int


class RightsRequest(msgspec.Struct, tag="r-ask", array_like=True, frozen=True):
    """Give me `want` units, or none under `least`. To the allocator of `fence`, with what is given up.

    `holder`: one process that spends, by a number that it drew; `number`: of its asks.
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
    """The answer: units of a right, or none and when to ask again."""

    holder: int
    request_number: int
    limit: str
    right_id: RightId
    units: float
    holder_lease_s: float  # seconds from the first ask, by the holder's clock, by what the allocator goes by
    retry_after_ms: int = 0


# ---- between an allocator that hands its duty over and the next ----


class HandoverOffer(msgspec.Struct, tag="r-heir", array_like=True, frozen=True):
    """I hand this part over, and you may be next: ask for my books."""

    partition: int
    fence: int


class HandoverRequest(msgspec.Struct, tag="r-hask", array_like=True, frozen=True):
    """Seal your books, and show me them."""

    partition: int
    fence: int


class LedgerSnapshot(msgspec.Struct, tag="r-legacy", array_like=True, frozen=True):
    """One sealed book: what was left, and rights that are out (units, and seconds until they have ended)."""

    partition: int
    fence: int
    limit: str
    level: float
    outstanding: tuple[tuple[float, float], ...]


Body: TypeAlias = (
    AllocatorAnnouncement | RightsRequest | RightsReply | HandoverOffer | HandoverRequest | LedgerSnapshot
)


# ---- between an instance and the processes beside it that spend ----


class Hello(msgspec.Struct, tag="r-hello", array_like=True, frozen=True):
    """Here is a holder. Said again and again, so that an instance that restarts learns of it."""

    holder: int


class Welcome(msgspec.Struct, tag="r-welcome", array_like=True, frozen=True):
    """By what settings rights are asked for."""

    partitions: int
    times: Times


FromHolder: TypeAlias = Hello | RightsRequest
ToHolder: TypeAlias = Welcome | AllocatorAnnouncement | RightsReply
