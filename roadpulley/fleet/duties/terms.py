"""The lease protocol of duties: its messages and its times.

Invariant: at any moment at most one process believes, by its own clock, that it holds a duty.

| role      | state                                        | rejects                                     |
| --------- | -------------------------------------------- | ------------------------------------------- |
| voter     | by duty: the highest promised ballot, and    | a grant while a grant to another process is |
|           | the active grant with its expiry by the      | active; a ballot below the promised one;    |
|           | voter's clock; when the voter may vote       | everything before it may vote               |
| candidate | its ballot; each accept request under it,    | responses to another ballot, to an unknown  |
|           | when it was sent and which voters granted it | request, or from a process that has no vote |
| register  | the highest fence that was claimed           | a fence that is not above it                |

Proof. A holder believes at time t that it holds the duty because a majority granted one accept request, which
it sent at a <= t by its own clock, and t < a + `hold_duration`. Each of these voters granted after a, and
keeps the grant for `lease` by its own clock. This is longer than `hold_duration` by any clock within `drift`.
Two majorities share a voter, and a voter never has two active grants. A voter that lost its state doesn't
vote for `silence`, and all its earlier grants have expired by then. This proof needs no ballots: they keep
candidates from blocking each other, and they number the holdings.

After Lamport, "The part-time parliament"; Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless Paxos for
Leases" (2012). See docs/design/fleet-duties.md for what differs, and why.
"""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

import msgspec

MonotonicTime: TypeAlias = float  # seconds of a process's own monotonic clock; never sent to another process
MAX_ROUND = 2**53  # rounds become fences, and a sink may parse fences as JSON numbers
UNKNOWN_FENCE = MAX_ROUND  # of an earlier holding: no fence is higher, so nothing is concluded from it


class ProcessId(NamedTuple):
    """Identity of a process.

    After a restart or in an upgrade, a process keeps its name and gets a new boot.
    """

    name: str
    boot: int


class Ballot(NamedTuple):
    """Number of one attempt to acquire a duty. `round` becomes the fence of the holding."""

    round: int
    process: ProcessId


NO_PROCESS = ProcessId("", 0)
NO_BALLOT = Ballot(0, NO_PROCESS)


class LeaseTimes(msgspec.Struct, frozen=True):
    """Times of the lease protocol in seconds; `drift` is a ratio.

    Raises ValueError where they leave a holder no time.
    """

    lease: float = 4.0  # how long a voter keeps a grant, by its own clock
    silence: float = 0.0  # how long a voter without state doesn't vote: the longest lease in use. 0: `lease`
    drift: float = 0.02  # the largest deviation of any clock's rate from true time
    margin: float = 0.2  # a holder stops this long before another process may begin
    answer: float = 0.25  # timeout of a request, after which it is sent again
    claim: float = 5.0  # timeout for claiming all registers; the lease is renewed meanwhile
    steady: float = 10.0  # a holding that lasted longer resets the count of failures

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
        min_lease = (self.margin + 3 * self.answer) * (1 + self.drift) / (1 - self.drift)
        if self.lease < min_lease:
            hint = f"with this drift, margin and answer it takes {min_lease:.2f} or more"
            raise ValueError(f"lease is {self.lease:g}; {hint}")

    @property
    def hold_duration(self) -> float:
        """Seconds by its own clock that a holder may act, counted from when it sent the accept request.

        The clocks of a slow holder and a fast voter diverge by twice the drift. Without both factors the
        holder would still act when another process begins.
        """
        return self.lease * (1 - self.drift) / (1 + self.drift) - self.margin

    @property
    def min_silence(self) -> float:
        """Seconds by any clock for which a voter that has restarted doesn't vote, by its own clock."""
        return self.silence * (1 - self.drift) / (1 + self.drift)

    @property
    def renewal_interval(self) -> float:
        """Seconds from a granted request to the next one.

        Two thirds of the holding remain for lost requests.
        """
        return self.hold_duration / 3


# ---- messages from a candidate to a voter ----


class Prepare(msgspec.Struct, tag="prep", array_like=True, frozen=True):
    """Asks for a promise for this ballot. It doesn't affect the current holder."""

    duty: str
    ballot: Ballot
    config_id: tuple[int, int]  # of the voter configuration in which the candidate counts a majority


class Accept(msgspec.Struct, tag="acc", array_like=True, frozen=True):
    """Asks for a lease. A renewal has the same ballot and another request number."""

    duty: str
    ballot: Ballot
    request_number: int
    config_id: tuple[int, int]
    lease_ms: int
    is_renewal: bool  # the sender holds the duty under this ballot, perhaps without this voter's grant


class Release(msgspec.Struct, tag="rel", array_like=True, frozen=True):
    """Ends a holding or an attempt. `failed`: the work failed, so a cooldown precedes the next holding."""

    duty: str
    ballot: Ballot
    failed: bool


# ---- messages from a voter to a candidate ----


class Promise(msgspec.Struct, tag="prom", array_like=True, frozen=True):
    """The voter has no active grant to another process, and accepts no lower ballot from now on.

    `granted_fence`: of the last ballot that it granted since its start, 0 for none.
    """

    duty: str
    ballot: Ballot
    granted_fence: int = UNKNOWN_FENCE  # voters of an earlier release don't report it


class LeaseGrant(msgspec.Struct, tag="ok", array_like=True, frozen=True):
    """The voter granted the lease that this accept request asked for."""

    duty: str
    ballot: Ballot
    request_number: int


class LeaseRejection(msgspec.Struct, tag="no", array_like=True, frozen=True):
    """`retry_after_ms`: when the voter may grant at the earliest; `round`: the highest one that it knows."""

    duty: str
    ballot: Ballot
    holder: ProcessId
    retry_after_ms: int
    round: int


VoterRequest: TypeAlias = Prepare | Accept | Release
VoterResponse: TypeAlias = Promise | LeaseGrant | LeaseRejection
