"""What voters and candidates say to each other about duties, and the times that all of them keep.

Invariant: at any moment at most one process believes, by its own clock, that it holds a duty.

| role      | remembers                                   | refuses                                    |
| --------- | ------------------------------------------- | ------------------------------------------ |
| voter     | by duty: the highest ballot promised; the   | a grant while another's runs; a ballot     |
|           | one grant that runs, until when by its own  | below its promise; all, before it may      |
|           | clock; when it may speak                    | speak                                      |
| candidate | its ballot; each ask under it, when it was  | answers of another ballot, of an ask that  |
|           | asked and who granted it                    | it does not know, of one from outside      |
| register  | highest fence taken up where a duty acts    | a fence that is not above it               |

Why it holds. A holder believes at t because a majority granted one ask, made at a <= t by its clock, and
t < a + `holds`. Each of these voters granted after a and keeps that grant for `lease` by its own clock, which
is longer than `holds` by any clock within `drift`. Two majorities share a voter, and a voter never has two
grants that run; one that lost its memory keeps silent for `silence`, after which whatever it granted is over.
No ballot is needed for that: ballots keep candidates from blocking each other, and number the holdings.

After Lamport, "The part-time parliament"; Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless Paxos for
Leases" (2012). See docs/design/fleet-duties.md for what differs, and why.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

import msgspec

MonotonicTime: TypeAlias = float  # seconds of a process's own monotonic clock: how long may I. Never sent.
MAX_ROUND = 2**53  # a sink may read fences as JSON numbers


class ProcessId(NamedTuple):
    """One process. Another process of the same name, after a restart or in an upgrade, has another boot."""

    name: str
    boot: int


class Ballot(NamedTuple):
    """Of one try to take a duty. `round` becomes the fence of the holding."""

    round: int
    who: ProcessId


NO_PROCESS = ProcessId("", 0)
NO_BALLOT = Ballot(0, NO_PROCESS)


class LeaseTimes(msgspec.Struct, frozen=True):
    """Seconds, and a share for `drift`. Raises ValueError where they don't leave a holder any time."""

    lease: float = 4.0  # for which a voter keeps a grant, by its own clock
    silence: float = 0.0  # of a voter that lost its memory; the longest lease of any version. 0: `lease`
    drift: float = 0.02  # how much faster or slower than true time any clock may run
    margin: float = 0.2  # before any other may begin, by which a holder has stopped
    answer: float = 0.25  # for which an answer is waited for before it is asked again
    claim: float = 5.0  # for which registers may take to be reached; renewals go on meanwhile
    steady: float = 10.0  # after which a holding that ends is no failure

    def __post_init__(self) -> None:
        if not 0 <= self.drift <= 0.25:
            raise ValueError(f"drift is {self.drift:g}; give a share from 0 to 0.25")
        if not self.silence:
            msgspec.structs.force_setattr(self, "silence", self.lease)
        if self.silence < self.lease:
            raise ValueError(
                f"silence is {self.silence:g}; give the longest lease in use, from {self.lease:g}"
            )
        if self.answer <= 0 or self.margin < 0:
            raise ValueError("answer and margin are seconds; give an answer above 0 and a margin from 0")
        least = (self.margin + 3 * self.answer) * (1 + self.drift) / (1 - self.drift)
        if self.lease < least:
            right = f"with this drift, margin and answer it takes {least:.2f} or more"
            raise ValueError(f"lease is {self.lease:g}; {right}")

    @property
    def hold_duration(self) -> float:
        """For which a holder may act, from when it asked, by its own clock.

        Danger: a slow holder and a fast voter run apart by twice the drift. Without both factors the holder
        would go on while another begins.
        """
        return self.lease * (1 - self.drift) / (1 + self.drift) - self.margin

    @property
    def renewal_interval(self) -> float:
        """After an ask that was granted, the next is made. Two thirds are left for those that get lost."""
        return self.hold_duration / 3


# ---- messages: from a candidate to one voter ----


class Prepare(msgspec.Struct, tag="prep", array_like=True, frozen=True):
    """May I take this duty under this ballot? Changes nothing for who holds it."""

    duty: str
    ballot: Ballot
    config_id: tuple[int, int]  # the id of the roll whose voters the candidate counts


class Accept(msgspec.Struct, tag="acc", array_like=True, frozen=True):
    """Grant it to me for a lease. Also the renewal: the same ballot, another ask."""

    duty: str
    ballot: Ballot
    request_number: int
    config_id: tuple[int, int]
    lease_ms: int
    is_renewal: bool  # it is held under this ballot: by a majority that may have been without this voter


class Release(msgspec.Struct, tag="rel", array_like=True, frozen=True):
    """I hold it no more. `failed`: its work could not be done here, the next one should not hurry."""

    duty: str
    ballot: Ballot
    failed: bool


# ---- messages: back ----


class Promise(msgspec.Struct, tag="prom", array_like=True, frozen=True):
    """Nobody holds it as far as I know, and I take no lower ballot."""

    duty: str
    ballot: Ballot


class LeaseGrant(msgspec.Struct, tag="ok", array_like=True, frozen=True):
    duty: str
    ballot: Ballot
    request_number: int


class LeaseRejection(msgspec.Struct, tag="no", array_like=True, frozen=True):
    """`round`: the highest that this voter knows of; `left_ms`: until it might say yes."""

    duty: str
    ballot: Ballot
    holder: ProcessId
    retry_after_ms: int
    round: int


VoterRequest: TypeAlias = Prepare | Accept | Release
VoterResponse: TypeAlias = Promise | LeaseGrant | LeaseRejection
