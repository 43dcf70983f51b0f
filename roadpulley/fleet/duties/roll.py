"""Who votes, as numbered rolls: one voter is added or taken away at a time, by the holder of one duty.

Invariant: at any moment at most two generations can be granted anything, and any majority of the one shares a
voter with any majority of the other.

| what            | rule                                                                               |
| --------------- | ---------------------------------------------------------------------------------- |
| a roll's id     | generation, then the fence of the holding that made it: the higher one counts      |
| the next one    | has one voter more or less, so that majorities of both meet                        |
| a voter         | votes for who counts by exactly its own roll; keeps what it granted before         |
| a voter that is | takes no roll of a lower fence any more: what a holder that stood still sends late |
| read by a change| is refused, also by those who have not heard of the new roll yet                   |
| a new voter     | keeps silent first, as one that lost its memory                                    |
| before a change | majorities of the last roll and of the one before it go by the last, so that the   |
|                 | one before can be granted nothing any more; then the longest lease passes, after   |
|                 | which nothing of it is held                                                        |

After Ongaro, "Consensus: bridging theory and practice" (2014), section 4.1: single-server changes, and its
erratum of 2015 (a change only once one of the same term is settled): here every change is of a new fence.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

import msgspec

from .terms import MOST_ROUND, Mono, Times

DUTY = "fleet.voters"  # of changing them; no duty of the settings has a dot first, or this name


class RollId(NamedTuple):
    generation: int
    fence: int


FIRST = RollId(0, 0)  # of the settings
MOST_VOTERS = 9  # a roll with the one before it has to fit into a datagram


class Roll(msgspec.Struct, tag="roll", array_like=True, frozen=True):
    """Voters by name, with their addresses; empty: where the settings of each instance have that name."""

    id: RollId
    voters: dict[str, str]
    before: dict[str, str]  # the voters of the generation before


class RollAsk(msgspec.Struct, tag="rask", array_like=True, frozen=True):
    """Tell me the roll that you go by. `fence`: of a holding that will change it, 0 of one who only asks."""

    fence: int


class RollTaken(msgspec.Struct, tag="rok", array_like=True, frozen=True):
    """I go by this one now, or by a higher one."""

    id: RollId


def majority(voters: Mapping[str, str]) -> int:
    return len(voters) // 2 + 1


def changed(roll: Roll, fence: int, add: Mapping[str, str], remove: str = "") -> Roll:
    """The next generation. Raises ValueError for what is no single change."""
    if len(add) + bool(remove) != 1:
        raise ValueError("one voter at a time")
    voters = dict(roll.voters)
    for name, address in add.items():
        if name in voters:
            raise ValueError(f"{name} votes already")
        if address and address in voters.values():
            raise ValueError(f"a voter is at {address} already")
        voters[name] = address
    if remove:
        if remove not in voters:
            raise ValueError(f"{remove} does not vote; the voters are {', '.join(sorted(voters))}")
        del voters[remove]
    if len(voters) < 2:
        raise ValueError("two voters have to be left")
    if len(voters) > MOST_VOTERS:
        raise ValueError(f"at most {MOST_VOTERS} may vote")
    return Roll(RollId(roll.id.generation + 1, fence), voters, roll.voters)


def first(voters: Mapping[str, str]) -> Roll:
    """That of the settings."""
    return Roll(FIRST, dict(voters), dict(voters))


@dataclass(frozen=True)
class Known:
    """What one instance goes by. Asked or told something, it gives what is gone by then, itself if the same.

    Lost with its memory, where it has no disk.
    """

    roll: Roll
    promised: int = 0  # no roll of a lower fence is taken

    def asked(self, ask: RollAsk) -> Known:
        promised = min(ask.fence, MOST_ROUND)
        return Known(self.roll, promised) if promised > self.promised else self

    def told(self, roll: Roll) -> Known:
        if roll.id <= self.roll.id or roll.id.fence < self.promised or len(roll.voters) < 2:
            return self
        return Known(roll, self.promised)


class Step(Enum):
    READING = "reading"  # the newest roll that a majority of it, and of the one before it, knows of
    MENDING = "mending"  # that one is spread anew, under our fence: a change may have been left half made
    WAITING = "waiting"  # until nothing of the one before it is held
    SPREADING = "spreading"  # the one that is wished for
    DONE = "done"
    FAILED = "failed"


class Change:
    """One change, by the holder of the duty. Pure: answers and the time come in, whom to ask or tell
    goes out."""

    def __init__(
        self, now: Mono, times: Times, roll: Roll, fence: int, add: Mapping[str, str], remove: str
    ) -> None:
        self.times, self.fence, self.add, self.remove = times, fence, dict(add), remove
        self.step, self.roll, self.why = Step.READING, roll, ""
        self.heard: set[str] = set()  # voters that were read, or that took `roll`
        self.due = now
        self.quiet_at: Mono = 0.0

    def known(self, now: Mono, voter: str, roll: Roll) -> None:
        """A voter tells the roll that it goes by; it has promised to take none of a lower fence than ours."""
        if self.step is not Step.READING:
            return
        if roll.id > self.roll.id:
            # Danger: a change made on top of an older roll would undo what was settled since.
            self.roll, self.heard = roll, set()
        self.heard.add(voter)
        if not self._enough():
            return
        if self.roll.id == FIRST:
            self._change(now)
        else:
            generation = self.roll.id.generation
            self._spread(
                now, Step.MENDING, Roll(RollId(generation, self.fence), self.roll.voters, self.roll.before)
            )

    def took(self, now: Mono, voter: str, id: RollId) -> None:
        """A voter goes by the roll that is spread, or by another."""
        if self.step not in (Step.MENDING, Step.SPREADING) or id < self.roll.id:
            return
        if id > self.roll.id:
            self.step, self.why = Step.FAILED, "another change was made meanwhile"
            return
        self.heard.add(voter)
        if not self._enough():
            return
        if self.step is Step.SPREADING or self._as_wished():
            self.step = Step.DONE
        else:
            # Danger: the change before may have been made a moment ago, by a holder that is gone.
            self.step, self.due = Step.WAITING, now + quiet(self.times)

    def tick(self, now: Mono) -> dict[str, str]:
        """Whom to ask or tell now, by name; call it at `due`."""
        if now < self.due or self.step in (Step.DONE, Step.FAILED):
            return {}
        if self.step is Step.WAITING and not self._change(now):
            return {}
        self.due = now + self.times.answer
        everyone = {**self.roll.before, **self.roll.voters}
        return {name: at for name, at in everyone.items() if name not in self.heard}

    def _enough(self) -> bool:
        rolls = (self.roll.before, self.roll.voters)
        return all(len(self.heard & set(voters)) >= majority(voters) for voters in rolls)

    def _as_wished(self) -> bool:
        return set(self.add) <= set(self.roll.voters) and self.remove not in self.roll.voters

    def _change(self, now: Mono) -> bool:
        try:
            self._spread(now, Step.SPREADING, changed(self.roll, self.fence, self.add, self.remove))
        except ValueError as error:
            self.step, self.why = Step.FAILED, str(error)
        return self.step is Step.SPREADING

    def _spread(self, now: Mono, step: Step, roll: Roll) -> None:
        self.step, self.roll, self.heard, self.due = step, roll, set(), now


def quiet(times: Times) -> float:
    """Seconds by any clock after which no grant of before is held, and a new voter has begun to speak."""
    return max(times.lease, times.silence) * (1 + times.drift) / (1 - times.drift) + times.margin
