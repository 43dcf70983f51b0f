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

from .terms import MAX_ROUND, LeaseTimes, MonotonicTime

VOTERS_DUTY = "fleet.voters"  # of changing them; no duty of the settings has a dot first, or this name


class VoterConfigId(NamedTuple):
    generation: int
    fence: int


INITIAL_CONFIG_ID = VoterConfigId(0, 0)  # of the settings
MAX_VOTERS = 9  # a roll with the one before it has to fit into a datagram


class VoterConfig(msgspec.Struct, tag="roll", array_like=True, frozen=True):
    """Voters by name, with their addresses; empty: where the settings of each instance have that name."""

    id: VoterConfigId
    voters: dict[str, str]
    before: dict[str, str]  # the voters of the generation before


class VoterConfigQuery(msgspec.Struct, tag="rask", array_like=True, frozen=True):
    """Tell me the roll that you go by. `fence`: of a holding that will change it, 0 of one who only asks."""

    fence: int


class VoterConfigAck(msgspec.Struct, tag="rok", array_like=True, frozen=True):
    """I go by this one now, or by a higher one."""

    id: VoterConfigId


def majority_size(voters: Mapping[str, str]) -> int:
    return len(voters) // 2 + 1


def next_config(config: VoterConfig, fence: int, add: Mapping[str, str], remove: str = "") -> VoterConfig:
    """The next generation. Raises ValueError for what is no single change."""
    if len(add) + bool(remove) != 1:
        raise ValueError("one voter at a time")
    voters = dict(config.voters)
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
    if len(voters) > MAX_VOTERS:
        raise ValueError(f"at most {MAX_VOTERS} may vote")
    return VoterConfig(VoterConfigId(config.id.generation + 1, fence), voters, config.voters)


def initial_config(voters: Mapping[str, str]) -> VoterConfig:
    """That of the settings."""
    return VoterConfig(INITIAL_CONFIG_ID, dict(voters), dict(voters))


@dataclass(frozen=True)
class VoterConfigState:
    """What one instance goes by. Asked or told something, it gives what is gone by then, itself if the same.

    Lost with its memory, where it has no disk.
    """

    config: VoterConfig
    promised_fence: int = 0  # no roll of a lower fence is taken

    def after_query(self, query: VoterConfigQuery) -> VoterConfigState:
        promised_fence = min(query.fence, MAX_ROUND)
        return VoterConfigState(self.config, promised_fence) if promised_fence > self.promised_fence else self

    def after_config(self, config: VoterConfig) -> VoterConfigState:
        if config.id <= self.config.id or config.id.fence < self.promised_fence or len(config.voters) < 2:
            return self
        return VoterConfigState(config, self.promised_fence)


class ChangeStep(Enum):
    READING = "reading"  # the newest roll that a majority of it, and of the one before it, knows of
    MENDING = "mending"  # that one is spread anew, under our fence: a change may have been left half made
    WAITING = "waiting"  # until nothing of the one before it is held
    SPREADING = "spreading"  # the one that is wished for
    DONE = "done"
    FAILED = "failed"


class VoterChange:
    """One change, by the holder of the duty. Pure: answers and the time come in, whom to ask or tell
    goes out."""

    def __init__(
        self,
        now: MonotonicTime,
        times: LeaseTimes,
        config: VoterConfig,
        fence: int,
        add: Mapping[str, str],
        remove: str,
    ) -> None:
        self.times, self.fence, self.add, self.remove = times, fence, dict(add), remove
        self.step, self.config, self.reason = ChangeStep.READING, config, ""
        self.responded: set[str] = set()  # voters that were read, or that took `roll`
        self.next_tick_at = now
        self.quiet_at: MonotonicTime = 0.0

    def handle_reported_config(self, now: MonotonicTime, voter: str, config: VoterConfig) -> None:
        """A voter tells the roll that it goes by; it has promised to take none of a lower fence than ours."""
        if self.step is not ChangeStep.READING:
            return
        if config.id > self.config.id:
            # Danger: a change made on top of an older roll would undo what was settled since.
            self.config, self.responded = config, set()
        self.responded.add(voter)
        if not self._has_majorities():
            return
        if self.config.id == INITIAL_CONFIG_ID:
            self._apply_change(now)
        else:
            generation = self.config.id.generation
            self._start_spread(
                now,
                ChangeStep.MENDING,
                VoterConfig(VoterConfigId(generation, self.fence), self.config.voters, self.config.before),
            )

    def handle_ack(self, now: MonotonicTime, voter: str, id: VoterConfigId) -> None:
        """A voter goes by the roll that is spread, or by another."""
        if self.step not in (ChangeStep.MENDING, ChangeStep.SPREADING) or id < self.config.id:
            return
        if id > self.config.id:
            self.step, self.reason = ChangeStep.FAILED, "another change was made meanwhile"
            return
        self.responded.add(voter)
        if not self._has_majorities():
            return
        if self.step is ChangeStep.SPREADING or self._is_change_present():
            self.step = ChangeStep.DONE
        else:
            # Danger: the change before may have been made a moment ago, by a holder that is gone.
            self.step, self.next_tick_at = ChangeStep.WAITING, now + settling_time_s(self.times)

    def tick(self, now: MonotonicTime) -> dict[str, str]:
        """Whom to ask or tell now, by name; call it at `due`."""
        if now < self.next_tick_at or self.step in (ChangeStep.DONE, ChangeStep.FAILED):
            return {}
        if self.step is ChangeStep.WAITING and not self._apply_change(now):
            return {}
        self.next_tick_at = now + self.times.answer
        everyone = {**self.config.before, **self.config.voters}
        return {name: at for name, at in everyone.items() if name not in self.responded}

    def _has_majorities(self) -> bool:
        configs = (self.config.before, self.config.voters)
        return all(len(self.responded & set(voters)) >= majority_size(voters) for voters in configs)

    def _is_change_present(self) -> bool:
        return set(self.add) <= set(self.config.voters) and self.remove not in self.config.voters

    def _apply_change(self, now: MonotonicTime) -> bool:
        try:
            self._start_spread(
                now, ChangeStep.SPREADING, next_config(self.config, self.fence, self.add, self.remove)
            )
        except ValueError as error:
            self.step, self.reason = ChangeStep.FAILED, str(error)
        return self.step is ChangeStep.SPREADING

    def _start_spread(self, now: MonotonicTime, step: ChangeStep, config: VoterConfig) -> None:
        self.step, self.config, self.responded, self.next_tick_at = step, config, set(), now


def settling_time_s(times: LeaseTimes) -> float:
    """Seconds by any clock after which no grant of before is held, and a new voter has begun to speak."""
    return max(times.lease, times.silence) * (1 + times.drift) / (1 - times.drift) + times.margin
