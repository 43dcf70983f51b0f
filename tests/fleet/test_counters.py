"""Counts without a leader: merging by its laws, drawn histories, and what is refused."""

from __future__ import annotations

import random
from collections import defaultdict

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from roadpulley.checks import Table, ValidationError
from roadpulley.fleet.counts.messages import (
    MAX_PARTS_PER_BATCH,
    AddRequest,
    CounterPart,
    PartBatch,
    ReplicaMessage,
)
from roadpulley.fleet.counts.service import read_replication_settings
from roadpulley.fleet.counts.state_machine import ReplicatedCounters
from roadpulley.fleet.duties.terms import ProcessId

KEEP_MS = 60_000


def machine(
    name: str = "a", boot: int = 1, kind: type[ReplicatedCounters] = ReplicatedCounters
) -> ReplicatedCounters:
    return kind(ProcessId(name, boot))


def added(
    counts: ReplicatedCounters, now: float, number: int, amount: float, name: str = "n", keep: int = KEEP_MS
) -> float:
    answer = counts.add(now, AddRequest(1, number, name, amount, keep))
    assert answer is not None
    return answer.total


# ---- merging ----

OWNERS = (ProcessId("a", 1), ProcessId("a", 2), ProcessId("b", 1))
PARTS = st.builds(
    lambda owner, name, version: PartBatch(owner, (CounterPart(name, version, version * 1.5, KEEP_MS),)),
    st.sampled_from(OWNERS),
    st.sampled_from("xyz"),
    st.integers(1, 9),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(PARTS, max_size=12), st.randoms(use_true_random=False))
def test_the_order_of_messages_and_their_repeats_change_nothing(
    told: list[PartBatch], rng: random.Random
) -> None:
    first, second = machine("z"), machine("z")
    for body in told:
        first.handle_message(0.0, body)
    again = [*told, *rng.sample(told, len(told) // 2)]
    rng.shuffle(again)
    for body in again:
        second.handle_message(0.0, body)
    assert {n: first.total(1.0, n) for n in "xyz"} == {n: second.total(1.0, n) for n in "xyz"}
    assert {o: owned.bucket_hashes for o, owned in first.owners.items()} == {
        o: owned.bucket_hashes for o, owned in second.owners.items()
    }


def test_an_addition_that_is_asked_for_again_is_added_once() -> None:
    counts = machine()
    assert added(counts, 0.0, 1, 2.0) == 2.0
    assert added(counts, 0.1, 1, 2.0) == 2.0
    assert added(counts, 0.2, 2, 2.0) == 4.0
    assert counts.add(0.3, AddRequest(2, 1, "n", 1.0, KEEP_MS)).total == 5.0  # type: ignore[union-attr]


def test_nonsense_is_not_added() -> None:
    counts = machine()
    for amount, keep in ((float("nan"), 10), (float("inf"), 10), (1.0, 0)):
        assert counts.add(0.0, AddRequest(1, 1, "n", amount, keep)) is None
    counts.handle_message(0.0, PartBatch(ProcessId("b", 1), (CounterPart("n", 1, float("nan"), 10),)))
    assert counts.total(0.0, "n") == 0.0


def test_a_number_ends_everywhere_and_passing_it_on_gives_it_no_time() -> None:
    first, second, third = machine("a"), machine("b"), machine("c")
    added(first, 0.0, 1, 5.0, keep=10_000)
    second.handle_message(2.0, first.take_changes(2.0)[0])
    for digest in third.digests():
        second.handle_message(2.0, digest)
    pages = [p for d in third.digests() for p in second.handle_message(9.0, d)]
    pages += list(second._make_batches(9.0, ProcessId("a", 1), ["n"]))
    third.handle_message(9.0, pages[-1])
    assert third.total(9.5, "n") == 5.0
    assert [m.total(10.1, "n") for m in (first, second, third)] == [0.0, 0.0, 0.0]
    assert added(first, 11.0, 2, 1.0) == 1.0  # a new one of that name
    second.remove_expired(11.0)
    assert second.counters == {}
    assert ProcessId("a", 1) not in second.owners


def test_our_own_part_is_not_taken_from_others() -> None:
    counts = machine()
    added(counts, 0.0, 1, 1.0)
    counts.handle_message(0.0, PartBatch(ProcessId("a", 1), (CounterPart("n", 99, 50.0, KEEP_MS),)))
    assert counts.total(0.0, "n") == 1.0


def test_pages_hold_as_much_as_a_datagram_takes() -> None:
    counts = machine()
    for n in range(3 * MAX_PARTS_PER_BATCH + 1):
        added(counts, 0.0, n, 1.0, name=f"n{n}")
    assert [len(p.parts) for p in counts.take_changes(0.0)] == [
        MAX_PARTS_PER_BATCH,
        MAX_PARTS_PER_BATCH,
        MAX_PARTS_PER_BATCH,
        1,
    ]
    assert counts.take_changes(0.0) == []


# ---- drawn histories ----


class Town:
    """Instances that add by chance; links that lose, repeat, delay and are cut; some restart with nothing."""

    def __init__(self, seed: int, kind: type[ReplicatedCounters] = ReplicatedCounters) -> None:
        self.rng, self.kind, self.now = random.Random(seed), kind, 0.0
        self.size = self.rng.randint(2, 6)
        self.machines = [machine(f"i{n}", 1, kind) for n in range(self.size)]
        self.flying: list[tuple[float, int, int, ReplicaMessage]] = []
        self.side = [0] * self.size
        self.loss = self.rng.choice((0.0, 0.1, 0.5))
        self.truth: dict[str, float] = defaultdict(float)
        self.numbers = 0

    def send(self, source: int, target: int, body: ReplicaMessage) -> None:
        for _ in range(2 if self.rng.random() < 0.1 else 1):
            if self.side[source] == self.side[target] and self.rng.random() >= self.loss:
                late = self.rng.random() * (2.0 if self.rng.random() < 0.1 else 0.02)
                self.flying.append((self.now + late, source, target, body))

    def step(self, adds: bool = True) -> None:
        rng = self.rng
        self.now += 0.05
        due = [f for f in self.flying if f[0] <= self.now]
        self.flying = [f for f in self.flying if f[0] > self.now]
        for _, source, target, body in due:
            for answer in self.machines[target].handle_message(self.now, body):
                self.send(target, source, answer)
        for n, one in enumerate(self.machines):
            if adds and rng.random() < 0.4:
                self.numbers += 1
                name, amount = rng.choice("xyz"), rng.choice((0.5, 1.0, 3.0))
                added(one, self.now, self.numbers, amount, name)
                self.truth[name] += amount
            for body in one.take_changes(self.now):
                for other in range(self.size):
                    if other != n:
                        self.send(n, other, body)
            if rng.random() < 0.1:
                other = rng.choice([m for m in range(self.size) if m != n])
                for digest in one.digests():
                    self.send(n, other, digest)

    def restart(self, n: int) -> None:
        """What it had not told anybody is gone; the rest stays counted."""
        before = self.machines[n].self_id
        self.machines[n] = machine(before.name, before.boot + 1, self.kind)

    def views(self) -> list[dict[str, float]]:
        return [{n: round(m.total(self.now, n), 6) for n in "xyz"} for m in self.machines]


def town(seed: int, kind: type[ReplicatedCounters] = ReplicatedCounters, restarts: bool = True) -> Town:
    """A history with cuts; then everything heals, and a few seconds pass."""
    found = Town(seed, kind)
    for _ in range(120):
        if found.rng.random() < 0.03:
            found.side = [found.rng.randint(0, 1) for _ in range(found.size)]
        if restarts and found.rng.random() < 0.02:
            found.restart(found.rng.randrange(found.size))
        found.step()
        for view in found.views():
            assert all(view[name] <= found.truth[name] + 1e-6 for name in view), f"seed {seed}"
    found.side, found.loss = [0] * found.size, 0.0
    for _ in range(100):
        found.step(adds=False)
    return found


@pytest.mark.parametrize("restarts", [False, True])
def test_after_healing_all_see_the_same_and_nothing_was_ever_counted_twice(restarts: bool) -> None:
    for seed in range(40):
        found = town(seed, restarts=restarts)
        assert len({str(view) for view in found.views()}) == 1, f"seed {seed}: {found.views()}"
        if not restarts:
            assert found.views()[0] == {n: round(found.truth[n], 6) for n in "xyz"}, f"seed {seed}"


class AddsUp(ReplicatedCounters):
    """A part that comes again is added once more."""

    def _merge_part(self, now: float, owner: ProcessId, part: CounterPart) -> None:
        known = self._find_part(part.name, owner)
        super()._merge_part(now, owner, part)
        if known is not None and owner != self.self_id and part.version == known.version:
            known.total += part.total


class AnyVersion(ReplicatedCounters):
    """An older part takes the place of a newer one."""

    def _merge_part(self, now: float, owner: ProcessId, part: CounterPart) -> None:
        if owner != self.self_id:
            self._store_part(part.name, owner, part.version, part.total, now + part.remaining_ms / 1000)


class NeverCompares(ReplicatedCounters):
    """What was lost stays lost."""

    def digests(self):  # type: ignore[no-untyped-def]
        return []


class OnlyOwn(ReplicatedCounters):
    """Parts of owners that are gone are passed on by nobody."""

    def digests(self):  # type: ignore[no-untyped-def]
        return [d for d in super().digests() if d.owner == self.self_id]


class SameOwner(ReplicatedCounters):
    """A process that restarts goes on under its old boot, with versions from the start."""

    def __init__(self, me: ProcessId) -> None:
        super().__init__(ProcessId(me.name, 1))


@pytest.mark.parametrize("kind", [AddsUp, AnyVersion, NeverCompares, OnlyOwn, SameOwner])
def test_a_planted_mistake_is_found(kind: type[ReplicatedCounters]) -> None:
    for seed in range(40):
        try:
            found = town(seed, kind)
        except AssertionError:
            return
        if len({str(view) for view in found.views()}) > 1:
            return
    pytest.fail("40 histories show nothing of it")


def test_settings_of_counts_are_judged() -> None:
    assert read_replication_settings(Table({"counts": {}}).read_table("counts")).send_interval_s == 0.05
    with pytest.raises(ValidationError, match=r"counts\.say_s"):
        read_replication_settings(Table({"counts": {"say_s": 99}}).read_table("counts"))
