"""Changes of the voter configuration, by random histories.

Two configurations whose majorities may be disjoint are never usable at the same time.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import combinations
from pathlib import Path
from typing import Any

import pytest

from roadpulley.checks import ValidationError
from roadpulley.fleet.clock import Clock
from roadpulley.fleet.duties import reconfiguration, voter_config
from roadpulley.fleet.duties.reconfiguration import Reconfiguration, VoterConfigFile
from roadpulley.fleet.duties.terms import LeaseTimes
from roadpulley.fleet.duties.voter_config import (
    ChangeStep,
    VoterChange,
    VoterConfig,
    VoterConfigQuery,
    VoterConfigState,
    initial_config,
    majority_size,
    next_config,
    settling_time_s,
)

TIMES = LeaseTimes(lease=2.0, drift=0.0, margin=0.0, answer=0.25)
NAMES = "abcdefg"
HISTORIES = 150
STEPS = 500


class DisjointMajoritiesError(AssertionError):
    """Two usable configurations may have majorities without a common voter."""


@dataclass
class World:
    """Voters, successive holders of the duty, and messages that arrive at any time."""

    rng: random.Random
    promises: bool = True
    waits: bool = True
    now: float = 0.0
    fence: int = 0
    known: dict[str, VoterConfigState] = field(default_factory=dict)
    changes: list[VoterChange] = field(default_factory=list)
    in_flight: list[tuple[VoterChange, str, Any]] = field(default_factory=list)
    # Configurations that granted leases, with the expiry of the last one.
    usable: list[tuple[float, VoterConfig]] = field(default_factory=list)
    done: int = 0

    def __post_init__(self) -> None:
        start = initial_config(dict.fromkeys(NAMES[:3], ""))
        self.known = {n: VoterConfigState(start) for n in NAMES}

    def step(self) -> None:
        draw = self.rng.random()
        if draw < 0.1:
            self.now += 0.25
        elif draw < 0.14:
            self.start_change()
        elif self.in_flight and draw < 0.9:
            # Mostly the last message, so that changes succeed; sometimes an old one.
            at = -1 if self.rng.random() < 0.7 else self.rng.randrange(len(self.in_flight))
            self.deliver(*self.in_flight.pop(at))
        for change in self.changes:
            for name in change.tick(self.now):
                body = VoterConfigQuery(change.fence) if change.step is ChangeStep.READING else change.config
                if self.rng.random() < 0.9:
                    self.in_flight.append((change, name, body))
        self.check()

    def start_change(self) -> None:
        """Starts the next holder. The previous one may be paused, and send messages later."""
        self.fence += 1
        base = self.known[self.rng.choice(NAMES)].config
        name = self.rng.choice(NAMES)
        add, remove = ({}, name) if name in base.voters else ({name: ""}, "")
        change = VoterChange(self.now, TIMES, base, self.fence, add, remove)
        self.changes = [*self.changes[-1:], change]

    def deliver(self, change: VoterChange, name: str, body: Any) -> None:
        known = self.known[name]
        if isinstance(body, VoterConfigQuery):
            self.known[name] = known = known.after_query(body if self.promises else VoterConfigQuery(0))
            if self.rng.random() < 0.9:
                change.handle_reported_config(self.now, name, known.config)
        else:
            self.known[name] = known = known.after_config(body)
            if self.rng.random() < 0.9:
                before = change.step
                change.handle_ack(self.now, name, known.config.id)
                self.done += before is not change.step is ChangeStep.DONE
        if not self.waits and change.step is ChangeStep.WAITING:
            change.next_tick_at = self.now

    def check(self) -> None:
        held = {k.config.id: k.config for k in self.known.values()}
        self.usable = [(until, config) for until, config in self.usable if until > self.now]
        for id, config in held.items():
            votes = [n for n in config.voters if self.known[n].config.id == id]
            if len(votes) >= majority_size(config.voters):
                self.usable = [(u, r) for u, r in self.usable if r.id != id]
                self.usable.append((self.now + TIMES.lease, config))
        for (_, one), (_, other) in combinations(self.usable, 2):
            if majority_size(one.voters) + majority_size(other.voters) <= len({**one.voters, **other.voters}):
                raise DisjointMajoritiesError(f"{one} and {other} at {self.now}")


def run_history(seed: int, **rules: bool) -> World:
    world = World(random.Random(seed), **rules)
    for _ in range(STEPS):
        world.step()
    return world


def test_usable_configurations_share_a_voter_with_late_and_lost_messages() -> None:
    worlds = [run_history(seed) for seed in range(HISTORIES)]
    assert sum(w.done for w in worlds) > HISTORIES  # otherwise the histories have tested nothing
    assert max(k.config.id.generation for w in worlds for k in w.known.values()) >= 4


def test_change_that_does_not_wait_for_leases_violates_the_invariant() -> None:
    expect_violation(lambda seed: run_history(seed, waits=False))


def test_change_of_two_voters_at_once_violates_the_invariant(monkeypatch: pytest.MonkeyPatch) -> None:
    def add_two_voters(config: VoterConfig, fence: int, add: Any, remove: str) -> VoterConfig:
        made = next_config(config, fence, add, remove)
        spare = [n for n in NAMES if n not in made.voters]
        voters = {**made.voters, **dict.fromkeys(spare[:2], "")}
        return VoterConfig(made.id, voters, made.previous_voters)

    monkeypatch.setattr(voter_config, "next_config", add_two_voters)
    expect_violation(run_history)


def test_config_accepted_against_a_promise_violates_the_invariant() -> None:
    expect_violation(lambda seed: run_history(seed, promises=False))


def expect_violation(run: Callable[[int], World]) -> None:
    for seed in range(HISTORIES * 20):
        try:
            run(seed)
        except DisjointMajoritiesError:
            print(f"found in history {seed}")
            return
    pytest.fail("not found")


def test_next_holder_completes_a_partial_change() -> None:
    """The previous holder reached one voter only; the next one must bring all voters to one configuration."""
    known = {n: VoterConfigState(initial_config(dict.fromkeys("abc", ""))) for n in "abcd"}
    partial = next_config(known["a"].config, 5, {"d": ""}, "")
    known["d"] = known["d"].after_config(partial)
    assert known["d"].config is partial
    change = VoterChange(0.0, TIMES, known["d"].config, 6, {"d": ""}, "")
    for _ in range(4):
        for name in change.tick(change.next_tick_at):
            if change.step is ChangeStep.READING:
                known[name] = known[name].after_query(VoterConfigQuery(6))
                change.handle_reported_config(change.next_tick_at, name, known[name].config)
            else:
                known[name] = known[name].after_config(change.config)
                change.handle_ack(change.next_tick_at, name, known[name].config.id)
    assert change.step is ChangeStep.DONE
    assert {k.config.id for k in known.values()} == {(1, 6)}
    assert known["a"].after_config(partial) is known["a"]  # late


@pytest.mark.parametrize(
    ("add", "remove", "words"),
    [
        ({"a": ""}, "", "votes already"),
        ({"d": "127.0.0.1:1"}, "", "is at 127.0.0.1:1 already"),
        ({}, "z", "does not vote"),
        ({"d": ""}, "a", "one voter at a time"),
        ({}, "", "one voter at a time"),
    ],
)
def test_anything_but_a_single_change_is_rejected(add: dict[str, str], remove: str, words: str) -> None:
    config = initial_config({"a": "127.0.0.1:1", "b": "127.0.0.1:2", "c": "127.0.0.1:3"})
    with pytest.raises(ValueError, match=words):
        next_config(config, 1, add, remove)


def test_configuration_and_promise_are_restored_from_disk(tmp_path: Path) -> None:
    file = VoterConfigFile(tmp_path, "a", {"a": "", "b": "", "c": ""})
    assert file.adopt(file.state.after_config(next_config(file.state.config, 7, {"d": "127.0.0.1:4"}, "")))
    assert file.adopt(file.state.after_query(VoterConfigQuery(9)))
    reloaded = VoterConfigFile(tmp_path, "a", {"a": "", "b": "", "c": ""})
    assert (reloaded.state.config, reloaded.state.promised_fence) == (file.state.config, 9)
    assert reloaded.state.after_config(next_config(reloaded.state.config, 8, {"e": ""}, "")) is reloaded.state
    (tmp_path / "a.roll").write_text("{")
    with pytest.raises(ValidationError, match="a.roll"):
        VoterConfigFile(tmp_path, "a", {})


def test_configuration_that_cannot_be_stored_is_neither_reported_nor_used(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The write fails twice: the second attempt must not count as done because of a partial first one."""

    def fail(path: Path, data: bytes) -> None:
        raise OSError(28, "no room")

    taken: list[VoterConfig] = []
    file = VoterConfigFile(tmp_path, "a", {"a": "", "b": "", "c": ""})
    node = Reconfiguration(file, TIMES, Clock(), lambda name, address, body: None, taken.append)
    newer_config = next_config(node.config, 7, {"d": ""}, "")
    monkeypatch.setattr(reconfiguration, "write_atomically", fail)
    for _ in range(2):
        assert node.handle_config(newer_config).id == (0, 0)
        assert node.handle_query(VoterConfigQuery(9)) is None
    assert taken == [] and file.state.promised_fence == 0
    monkeypatch.undo()
    assert node.handle_config(newer_config).id == newer_config.id and taken == [newer_config]
    assert node.handle_query(VoterConfigQuery(9)) is newer_config and file.state.promised_fence == 9


def test_settling_time_outlives_any_lease_by_any_clock() -> None:
    times = LeaseTimes(lease=4.0, drift=0.2, margin=0.1, answer=0.1)
    assert settling_time_s(times) / (1 + times.drift) >= times.lease / (1 - times.drift)
