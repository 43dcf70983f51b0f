"""Changes of the voters, by drawn histories: no two rolls whose majorities may miss each other are of
use at once."""

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
HISTORIES, STEPS = 150, 500


class Apart(AssertionError):
    pass


@dataclass
class World:
    """Voters that each know a roll, holders of the duty one after another, and messages that come
    whenever."""

    rng: random.Random
    promises: bool = True
    waits: bool = True
    now: float = 0.0
    fence: int = 0
    known: dict[str, VoterConfigState] = field(default_factory=dict)
    changes: list[VoterChange] = field(default_factory=list)
    flying: list[tuple[VoterChange, str, Any]] = field(default_factory=list)
    usable: list[tuple[float, VoterConfig]] = field(
        default_factory=list
    )  # until when something of it may be held
    done: int = 0

    def __post_init__(self) -> None:
        start = initial_config(dict.fromkeys(NAMES[:3], ""))
        self.known = {n: VoterConfigState(start) for n in NAMES}

    def step(self) -> None:
        what = self.rng.random()
        if what < 0.1:
            self.now += 0.25
        elif what < 0.14:
            self.begin()
        elif self.flying and what < 0.9:
            # Mostly what was sent last: a change gets through. Now and then what lay there for long.
            at = -1 if self.rng.random() < 0.7 else self.rng.randrange(len(self.flying))
            self.arrive(*self.flying.pop(at))
        for change in self.changes:
            for name in change.tick(self.now):
                body = VoterConfigQuery(change.fence) if change.step is ChangeStep.READING else change.config
                if self.rng.random() < 0.9:
                    self.flying.append((change, name, body))
        self.look()

    def begin(self) -> None:
        """The next holder. The one before may stand still, and go on sending."""
        self.fence += 1
        mine = self.known[self.rng.choice(NAMES)].config
        name = self.rng.choice(NAMES)
        add, remove = ({}, name) if name in mine.voters else ({name: ""}, "")
        change = VoterChange(self.now, TIMES, mine, self.fence, add, remove)
        self.changes = [*self.changes[-1:], change]

    def arrive(self, change: VoterChange, name: str, body: Any) -> None:
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

    def look(self) -> None:
        held = {k.config.id: k.config for k in self.known.values()}
        self.usable = [(until, config) for until, config in self.usable if until > self.now]
        for id, config in held.items():
            votes = [n for n in config.voters if self.known[n].config.id == id]
            if len(votes) >= majority_size(config.voters):
                self.usable = [(u, r) for u, r in self.usable if r.id != id]
                self.usable.append((self.now + TIMES.lease, config))
        for (_, one), (_, other) in combinations(self.usable, 2):
            if majority_size(one.voters) + majority_size(other.voters) <= len({**one.voters, **other.voters}):
                raise Apart(f"{one} and {other} at {self.now}")


def played(seed: int, **planted: bool) -> World:
    world = World(random.Random(seed), **planted)
    for _ in range(STEPS):
        world.step()
    return world


def test_rolls_that_are_of_use_at_once_share_a_voter_whatever_is_late_or_lost() -> None:
    worlds = [played(seed) for seed in range(HISTORIES)]
    assert sum(w.done for w in worlds) > HISTORIES  # else nothing was changed, and nothing shown
    assert max(k.config.id.generation for w in worlds for k in w.known.values()) >= 4


def test_a_change_that_does_not_wait_for_what_is_held_is_found() -> None:
    found(lambda seed: played(seed, waits=False))


def test_a_change_by_two_voters_at_once_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def both(config: VoterConfig, fence: int, add: Any, remove: str) -> VoterConfig:
        made = next_config(config, fence, add, remove)
        spare = [n for n in NAMES if n not in made.voters]
        voters = {**made.voters, **dict.fromkeys(spare[:2], "")}
        return VoterConfig(made.id, voters, made.before)

    monkeypatch.setattr(voter_config, "next_config", both)
    found(played)


def test_a_roll_that_is_taken_after_a_promise_is_found() -> None:
    found(lambda seed: played(seed, promises=False))


def found(play: Callable[[int], World]) -> None:
    for seed in range(HISTORIES * 20):
        try:
            play(seed)
        except Apart:
            print(f"found in history {seed}")
            return
    pytest.fail("not found")


def test_a_half_made_change_is_mended_by_the_next_holder() -> None:
    """The first told one voter only, and was gone: that one must not be left alone with its roll."""
    known = {n: VoterConfigState(initial_config(dict.fromkeys("abc", ""))) for n in "abcd"}
    half = next_config(known["a"].config, 5, {"d": ""}, "")
    known["d"] = known["d"].after_config(half)
    assert known["d"].config is half
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
    assert known["a"].after_config(half) is known["a"]  # late


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
def test_what_is_no_single_change_is_refused(add: dict[str, str], remove: str, words: str) -> None:
    config = initial_config({"a": "127.0.0.1:1", "b": "127.0.0.1:2", "c": "127.0.0.1:3"})
    with pytest.raises(ValueError, match=words):
        next_config(config, 1, add, remove)


def test_a_roll_is_remembered_on_disk_with_what_was_promised(tmp_path: Path) -> None:
    file = VoterConfigFile(tmp_path, "a", {"a": "", "b": "", "c": ""})
    assert file.adopt(file.state.after_config(next_config(file.state.config, 7, {"d": "127.0.0.1:4"}, "")))
    assert file.adopt(file.state.after_query(VoterConfigQuery(9)))
    again = VoterConfigFile(tmp_path, "a", {"a": "", "b": "", "c": ""})
    assert (again.state.config, again.state.promised_fence) == (file.state.config, 9)
    assert again.state.after_config(next_config(again.state.config, 8, {"e": ""}, "")) is again.state
    (tmp_path / "a.roll").write_text("{")
    with pytest.raises(ValidationError, match="a.roll"):
        VoterConfigFile(tmp_path, "a", {})


def test_a_roll_that_cannot_be_kept_is_neither_named_nor_voted_by(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The disk refuses, twice: the second time must not pass for done because the first had half happened."""

    def full(path: Path, data: bytes) -> None:
        raise OSError(28, "no room")

    taken: list[VoterConfig] = []
    file = VoterConfigFile(tmp_path, "a", {"a": "", "b": "", "c": ""})
    here = Reconfiguration(file, TIMES, Clock(), lambda name, address, body: None, taken.append)
    newer = next_config(here.config, 7, {"d": ""}, "")
    monkeypatch.setattr(reconfiguration, "write_atomically", full)
    for _ in range(2):
        assert here.handle_config(newer).id == (0, 0)
        assert here.handle_query(VoterConfigQuery(9)) is None
    assert taken == [] and file.state.promised_fence == 0
    monkeypatch.undo()
    assert here.handle_config(newer).id == newer.id and taken == [newer]
    assert here.handle_query(VoterConfigQuery(9)) is newer and file.state.promised_fence == 9


def test_the_wait_outlives_any_lease_by_any_clock() -> None:
    times = LeaseTimes(lease=4.0, drift=0.2, margin=0.1, answer=0.1)
    assert settling_time_s(times) / (1 + times.drift) >= times.lease / (1 - times.drift)
