"""Numbered voter configurations: the holder of one duty adds or removes one voter at a time.

Invariant: at any moment leases can be granted in at most two generations, and any majority of one generation
shares a voter with any majority of the other.

| subject           | rule                                                                             |
| ----------------- | -------------------------------------------------------------------------------- |
| configuration id  | generation, then the fence of the holding that made it; the higher id wins       |
| next generation   | has one voter more or fewer, so that majorities of both intersect                |
| voter             | grants requests of exactly its own configuration; keeps its earlier grants       |
| voter that a      | accepts no configuration of a lower fence from then on, so that a paused holder  |
| change has read   | can't apply its change late                                                      |
| new voter         | doesn't vote for `silence` at first, like a voter that lost its state            |
| before a change   | majorities of the last configuration and of the one before it use the last one,  |
|                   | so that the one before can grant nothing any more; then the longest lease passes |
|                   | after which nothing that it granted is held any more                             |

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

VOTERS_DUTY = "fleet.voters"  # the duty of changing the voters; settings can't name a duty `fleet.*`


class VoterConfigId(NamedTuple):
    """Orders configurations: by generation, then by the fence of the holding that made them."""

    generation: int
    fence: int


INITIAL_CONFIG_ID = VoterConfigId(0, 0)  # of the configuration in the settings file
MAX_VOTERS = 9  # a configuration and the one before it have to fit into a datagram


class VoterConfig(msgspec.Struct, tag="roll", array_like=True, frozen=True):
    """Voters by name, with their addresses. Where one is empty, each instance takes it from its settings."""

    id: VoterConfigId
    voters: dict[str, str]
    previous_voters: dict[str, str]  # the voters of the previous generation


class VoterConfigQuery(msgspec.Struct, tag="rask", array_like=True, frozen=True):
    """Asks for the receiver's configuration. `fence`: of the holding that will change it; 0: only reads."""

    fence: int


class VoterConfigAck(msgspec.Struct, tag="rok", array_like=True, frozen=True):
    """The sender uses this configuration now, or a higher one."""

    id: VoterConfigId


def majority_size(voters: Mapping[str, str]) -> int:
    """The number of voters that are a majority."""
    return len(voters) // 2 + 1


def next_config(config: VoterConfig, fence: int, add: Mapping[str, str], remove: str = "") -> VoterConfig:
    """The next generation. Raises ValueError for anything but the change of one voter."""
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
    """The configuration of the settings file."""
    return VoterConfig(INITIAL_CONFIG_ID, dict(voters), dict(voters))


@dataclass(frozen=True)
class VoterConfigState:
    """The configuration that one instance uses, and its promise. Methods return the next state.

    They return `self` if nothing changes. An instance without a state folder loses this state in a restart.
    """

    config: VoterConfig
    promised_fence: int = 0  # configurations of a lower fence are not accepted

    def after_query(self, query: VoterConfigQuery) -> VoterConfigState:
        """The state with the promise that the query asks for."""
        promised_fence = min(query.fence, MAX_ROUND)
        return VoterConfigState(self.config, promised_fence) if promised_fence > self.promised_fence else self

    def after_config(self, config: VoterConfig) -> VoterConfigState:
        """The state with this configuration, unless it is older or its fence is below the promised one."""
        if config.id <= self.config.id or config.id.fence < self.promised_fence or len(config.voters) < 2:
            return self
        return VoterConfigState(config, self.promised_fence)


class ChangeStep(Enum):
    """Steps of a change; operators see the values."""

    READING = "reading"  # reads the newest configuration from majorities of it and of the one before it
    MENDING = "mending"  # distributes that one again under our fence, as an earlier change may be incomplete
    WAITING = "waiting"  # waits until no lease of the previous configuration is held
    SPREADING = "spreading"  # distributes the requested configuration
    DONE = "done"
    FAILED = "failed"


class VoterChange:
    """One change, made by the holder of the duty. Pure: responses and the time go in, recipients come out."""

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
        self.responded: set[str] = set()  # voters that were read, or that acknowledged `config`
        self.next_tick_at = now
        self.settled_at: MonotonicTime = 0.0

    def handle_reported_config(self, now: MonotonicTime, voter: str, config: VoterConfig) -> None:
        """Handles a voter's configuration; the voter has promised to accept no lower fence than ours."""
        if self.step is not ChangeStep.READING:
            return
        if config.id > self.config.id:
            # A change on top of an older configuration would undo the changes made since.
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
                VoterConfig(
                    VoterConfigId(generation, self.fence), self.config.voters, self.config.previous_voters
                ),
            )

    def handle_ack(self, now: MonotonicTime, voter: str, id: VoterConfigId) -> None:
        """Handles that a voter uses the distributed configuration, or another one."""
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
            # The previous change may have been made just now, by a holder that has failed since. Leases that
            # the configuration before it granted may still be held.
            self.step, self.next_tick_at = ChangeStep.WAITING, now + settling_time_s(self.times)

    def tick(self, now: MonotonicTime) -> dict[str, str]:
        """Voters to send the query or configuration to, name to address; call it at `next_tick_at`."""
        if now < self.next_tick_at or self.step in (ChangeStep.DONE, ChangeStep.FAILED):
            return {}
        if self.step is ChangeStep.WAITING and not self._apply_change(now):
            return {}
        self.next_tick_at = now + self.times.answer
        recipients = {**self.config.previous_voters, **self.config.voters}
        return {name: address for name, address in recipients.items() if name not in self.responded}

    def _has_majorities(self) -> bool:
        configs = (self.config.previous_voters, self.config.voters)
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
    """Seconds by any clock until all earlier grants have expired, and a new voter has begun to vote."""
    return max(times.lease, times.silence) * (1 + times.drift) / (1 - times.drift) + times.margin
