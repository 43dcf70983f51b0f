"""What members say of each other, and which claim supersedes which.

| claim of one process  | supersedes                                                          |
| --------------------- | ------------------------------------------------------------------- |
| any, of incarnation i | all of a lower incarnation                                          |
| left, i               | dead, suspect and alive of i: it said so itself                     |
| dead, i               | suspect and alive of i                                              |
| suspect, i            | alive of i                                                          |
| alive, i              | none of i; the process itself raises i when it hears worse of itself |

Only a process raises its own incarnation. Another process of the same name has another boot, and is another
member. After Das, Gupta, Motivala, "SWIM" (2002), section 4.2; a death can be refuted, as in memberlist.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TypeAlias

import msgspec

from roadpulley.fleet.duties.terms import ProcessId


class MemberState(IntEnum):
    """By rank: of one incarnation the higher supersedes the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Claim(msgspec.Struct, array_like=True, frozen=True):
    """Of one process. `address`: where to reach it, empty if the settings say it; `can`: duties, by bits."""

    process: ProcessId
    incarnation: int
    state: MemberState
    address: str
    duty_bits: int = 0

    def supersedes(self, other: Claim) -> bool:
        return (self.incarnation, self.state) > (other.incarnation, other.state)


class Ping(msgspec.Struct, tag="ping", array_like=True, frozen=True):
    number: int
    claims: tuple[Claim, ...]


class PingRequest(msgspec.Struct, tag="pfor", array_like=True, frozen=True):
    """Ping that one for me: I don't hear it."""

    number: int
    target: ProcessId
    target_address: str
    claims: tuple[Claim, ...]


class Ack(msgspec.Struct, tag="ack", array_like=True, frozen=True):
    """`who` answered: the sender, or the one that was asked for."""

    number: int
    responder: ProcessId
    claims: tuple[Claim, ...]


class Nack(msgspec.Struct, tag="nack", array_like=True, frozen=True):
    """I am here, and have not heard it either (Lifeguard): the slowness is not yours."""

    number: int


class PageRequest(msgspec.Struct, tag="pask", array_like=True, frozen=True):
    """Your members after this one, in order."""

    after: ProcessId


class Page(msgspec.Struct, tag="page", array_like=True, frozen=True):
    claims: tuple[Claim, ...]
    last: bool  # nothing comes after these


MembershipMessage: TypeAlias = Ping | PingRequest | Ack | Nack | PageRequest | Page


class SwimParameters(msgspec.Struct, frozen=True):
    """Seconds, and counts. Defaults after memberlist's for a local network, at half of its period."""

    period: float = 0.5  # between two probes
    answer: float = 0.2  # for a direct probe
    helpers: int = 3  # that are asked to probe for us
    suspicion: float = 4.0  # periods, times log10 of the members: the least before a suspect counts as dead
    most_suspicion: float = 6.0  # times that, where nobody else suspects it
    confirmations: int = 3  # by others, that bring it down to the least
    health: int = 8  # the worst that this process thinks of itself (Lifeguard's local health)
    resend: float = 3.0  # times log10 of the members: how often a claim is passed on
    spread: int = 2  # members that news goes to each period, beside those that are probed
    claims: int = 6  # in one datagram: bounded, whatever happens
    page: int = 10  # claims in one page of the full exchange
    exchange: float = 5.0  # between two pages
    forget: float = 120.0  # after which the dead are
    careful: bool = True  # False: plain SWIM, to compare with
