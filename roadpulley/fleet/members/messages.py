"""Messages of the membership protocol, and the order of precedence among claims about one process.

| claim about a process | supersedes                                                          |
| --------------------- | ------------------------------------------------------------------- |
| any, of incarnation i | all claims of a lower incarnation                                   |
| left, i               | dead, suspect and alive of i: the process itself announced it       |
| dead, i               | suspect and alive of i                                              |
| suspect, i            | alive of i                                                          |
| alive, i              | none of i; a process raises its i to refute a suspect or dead claim |

Only the process itself raises its incarnation. A process of the same name with another boot is another
member.
See Das, Gupta, Motivala, "SWIM" (2002), section 4.2. Unlike there, a dead claim can be refuted, as in
memberlist.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TypeAlias

import msgspec

from roadpulley.fleet.duties.terms import ProcessId


class MemberState(IntEnum):
    """Ordered by precedence: within one incarnation the higher value supersedes the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Claim(msgspec.Struct, array_like=True, frozen=True):
    """The state of one process.

    `address`: where to reach it; empty if the settings name it. `duty_bits`: the duties that it may hold.
    """

    process: ProcessId
    incarnation: int
    state: MemberState
    address: str
    duty_bits: int = 0

    def supersedes(self, other: Claim) -> bool:
        """Whether this claim takes precedence over `other` about the same process."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)


class Ping(msgspec.Struct, tag="ping", array_like=True, frozen=True):
    """Direct probe; answered by an `Ack` of the same sequence number. Carries gossip."""

    sequence: int
    claims: tuple[Claim, ...]


class PingRequest(msgspec.Struct, tag="pfor", array_like=True, frozen=True):
    """Indirect probe: asks the receiver to ping `target`, which did not answer the sender."""

    sequence: int
    target: ProcessId
    target_address: str
    claims: tuple[Claim, ...]


class Ack(msgspec.Struct, tag="ack", array_like=True, frozen=True):
    """`responder` answered a ping: the sender itself, or the target of a `PingRequest`."""

    sequence: int
    responder: ProcessId
    claims: tuple[Claim, ...]


class Nack(msgspec.Struct, tag="nack", array_like=True, frozen=True):
    """The target of a `PingRequest` has not answered the helper either.

    It shows the requester that its own network path works (Lifeguard).
    """

    sequence: int


class PageRequest(msgspec.Struct, tag="pask", array_like=True, frozen=True):
    """Asks for the receiver's members after `after`, in order."""

    after: ProcessId


class Page(msgspec.Struct, tag="page", array_like=True, frozen=True):
    """Part of the sender's member table, in answer to a `PageRequest`."""

    claims: tuple[Claim, ...]
    last: bool  # no members follow after these


MembershipMessage: TypeAlias = Ping | PingRequest | Ack | Nack | PageRequest | Page


class SwimParameters(msgspec.Struct, frozen=True):
    """Durations in seconds, and counts.

    Defaults follow memberlist's for a local network, at half its period.
    """

    period: float = 0.5  # between two probes
    answer: float = 0.2  # timeout of a direct probe
    helpers: int = 3  # members that are asked for an indirect probe
    suspicion: float = 4.0  # minimum suspicion timeout: periods, times log10 of the members
    most_suspicion: float = 6.0  # maximum suspicion timeout, as a multiple of the minimum
    confirmations: int = 3  # other members' suspicions that reduce the timeout to the minimum
    health: int = 8  # maximum of the local health score (Lifeguard); 0 is healthy
    resend: float = 3.0  # transmissions of each claim, times log10 of the members
    spread: int = 2  # members that receive gossip each period, in addition to those probed
    claims: int = 6  # maximum claims in one ping or ack
    page: int = 10  # claims in one page of the table exchange
    exchange: float = 5.0  # between two page requests
    forget: float = 120.0  # how long dead and departed members stay in the table
    careful: bool = True  # use Lifeguard; False: plain SWIM, for comparison
