"""Replicated counters: laws of merging, random histories, and invalid input."""

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


def make_replica(
    name: str = "a", boot: int = 1, kind: type[ReplicatedCounters] = ReplicatedCounters
) -> ReplicatedCounters:
    return kind(ProcessId(name, boot))


def apply_add(
    counts: ReplicatedCounters,
    now: float,
    sequence: int,
    amount: float,
    name: str = "n",
    ttl_ms: int = KEEP_MS,
) -> float:
    reply = counts.add(now, AddRequest(1, sequence, name, amount, ttl_ms))
    assert reply is not None
    return reply.total


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
def test_order_and_repetition_of_messages_do_not_change_totals(
    batches: list[PartBatch], rng: random.Random
) -> None:
    first, second = make_replica("z"), make_replica("z")
    for body in batches:
        first.handle_message(0.0, body)
    repeated = [*batches, *rng.sample(batches, len(batches) // 2)]
    rng.shuffle(repeated)
    for body in repeated:
        second.handle_message(0.0, body)
    assert {n: first.total(1.0, n) for n in "xyz"} == {n: second.total(1.0, n) for n in "xyz"}
    assert {o: owned.bucket_hashes for o, owned in first.owners.items()} == {
        o: owned.bucket_hashes for o, owned in second.owners.items()
    }


def test_a_retried_addition_is_added_once() -> None:
    counts = make_replica()
    assert apply_add(counts, 0.0, 1, 2.0) == 2.0
    assert apply_add(counts, 0.1, 1, 2.0) == 2.0
    assert apply_add(counts, 0.2, 2, 2.0) == 4.0
    assert counts.add(0.3, AddRequest(2, 1, "n", 1.0, KEEP_MS)).total == 5.0  # type: ignore[union-attr]


def test_invalid_amounts_and_expiries_are_not_added() -> None:
    counts = make_replica()
    for amount, keep in ((float("nan"), 10), (float("inf"), 10), (1.0, 0)):
        assert counts.add(0.0, AddRequest(1, 1, "n", amount, keep)) is None
    counts.handle_message(0.0, PartBatch(ProcessId("b", 1), (CounterPart("n", 1, float("nan"), 10),)))
    assert counts.total(0.0, "n") == 0.0


def test_a_counter_expires_everywhere_and_forwarding_does_not_extend_it() -> None:
    first, second, third = make_replica("a"), make_replica("b"), make_replica("c")
    apply_add(first, 0.0, 1, 5.0, ttl_ms=10_000)
    second.handle_message(2.0, first.take_changes(2.0)[0])
    for digest in third.digests():
        second.handle_message(2.0, digest)
    pages = [p for d in third.digests() for p in second.handle_message(9.0, d)]
    pages += list(second._make_batches(9.0, ProcessId("a", 1), ["n"]))
    third.handle_message(9.0, pages[-1])
    assert third.total(9.5, "n") == 5.0
    assert [m.total(10.1, "n") for m in (first, second, third)] == [0.0, 0.0, 0.0]
    assert apply_add(first, 11.0, 2, 1.0) == 1.0  # a new one of that name
    second.remove_expired(11.0)
    assert second.counters == {}
    assert ProcessId("a", 1) not in second.owners


def test_the_own_part_is_not_overwritten_by_others() -> None:
    counts = make_replica()
    apply_add(counts, 0.0, 1, 1.0)
    counts.handle_message(0.0, PartBatch(ProcessId("a", 1), (CounterPart("n", 99, 50.0, KEEP_MS),)))
    assert counts.total(0.0, "n") == 1.0


def test_batches_are_bounded() -> None:
    counts = make_replica()
    for n in range(3 * MAX_PARTS_PER_BATCH + 1):
        apply_add(counts, 0.0, n, 1.0, name=f"n{n}")
    assert [len(p.parts) for p in counts.take_changes(0.0)] == [
        MAX_PARTS_PER_BATCH,
        MAX_PARTS_PER_BATCH,
        MAX_PARTS_PER_BATCH,
        1,
    ]
    assert counts.take_changes(0.0) == []


# ---- random histories ----


class Simulation:
    """Instances add at random over links that lose, repeat, delay and part; some restart without state."""

    def __init__(self, seed: int, kind: type[ReplicatedCounters] = ReplicatedCounters) -> None:
        self.rng, self.kind, self.now = random.Random(seed), kind, 0.0
        self.size = self.rng.randint(2, 6)
        self.replicas = [make_replica(f"i{n}", 1, kind) for n in range(self.size)]
        self.in_transit: list[tuple[float, int, int, ReplicaMessage]] = []
        self.partition = [0] * self.size
        self.loss = self.rng.choice((0.0, 0.1, 0.5))
        self.true_totals: dict[str, float] = defaultdict(float)
        self.last_sequence = 0

    def send(self, source: int, target: int, body: ReplicaMessage) -> None:
        for _ in range(2 if self.rng.random() < 0.1 else 1):
            if self.partition[source] == self.partition[target] and self.rng.random() >= self.loss:
                delay = self.rng.random() * (2.0 if self.rng.random() < 0.1 else 0.02)
                self.in_transit.append((self.now + delay, source, target, body))

    def step(self, adds: bool = True) -> None:
        rng = self.rng
        self.now += 0.05
        due = [f for f in self.in_transit if f[0] <= self.now]
        self.in_transit = [f for f in self.in_transit if f[0] > self.now]
        for _, source, target, body in due:
            for answer in self.replicas[target].handle_message(self.now, body):
                self.send(target, source, answer)
        for n, replica in enumerate(self.replicas):
            if adds and rng.random() < 0.4:
                self.last_sequence += 1
                name, amount = rng.choice("xyz"), rng.choice((0.5, 1.0, 3.0))
                apply_add(replica, self.now, self.last_sequence, amount, name)
                self.true_totals[name] += amount
            for body in replica.take_changes(self.now):
                for other in range(self.size):
                    if other != n:
                        self.send(n, other, body)
            if rng.random() < 0.1:
                other = rng.choice([m for m in range(self.size) if m != n])
                for digest in replica.digests():
                    self.send(n, other, digest)

    def restart(self, n: int) -> None:
        """Restart without state: parts that were never sent are lost, the rest stays counted."""
        before = self.replicas[n].self_id
        self.replicas[n] = make_replica(before.name, before.boot + 1, self.kind)

    def views(self) -> list[dict[str, float]]:
        return [{n: round(m.total(self.now, n), 6) for n in "xyz"} for m in self.replicas]


def simulate(
    seed: int, kind: type[ReplicatedCounters] = ReplicatedCounters, restarts: bool = True
) -> Simulation:
    """Run a history with partitions, then heal them and let a few seconds pass."""
    simulation = Simulation(seed, kind)
    for _ in range(120):
        if simulation.rng.random() < 0.03:
            simulation.partition = [simulation.rng.randint(0, 1) for _ in range(simulation.size)]
        if restarts and simulation.rng.random() < 0.02:
            simulation.restart(simulation.rng.randrange(simulation.size))
        simulation.step()
        for view in simulation.views():
            assert all(view[name] <= simulation.true_totals[name] + 1e-6 for name in view), f"seed {seed}"
    simulation.partition, simulation.loss = [0] * simulation.size, 0.0
    for _ in range(100):
        simulation.step(adds=False)
    return simulation


@pytest.mark.parametrize("restarts", [False, True])
def test_replicas_converge_after_healing_and_never_count_twice(restarts: bool) -> None:
    for seed in range(40):
        simulation = simulate(seed, restarts=restarts)
        assert len({str(view) for view in simulation.views()}) == 1, f"seed {seed}: {simulation.views()}"
        if not restarts:
            assert simulation.views()[0] == {n: round(simulation.true_totals[n], 6) for n in "xyz"}, (
                f"seed {seed}"
            )


class AddingMerge(ReplicatedCounters):
    """Mistake: a repeated part is added again."""

    def _merge_part(self, now: float, owner: ProcessId, part: CounterPart) -> None:
        known = self._find_part(part.name, owner)
        super()._merge_part(now, owner, part)
        if known is not None and owner != self.self_id and part.version == known.version:
            known.total += part.total


class VersionlessMerge(ReplicatedCounters):
    """Mistake: an older part replaces a newer one."""

    def _merge_part(self, now: float, owner: ProcessId, part: CounterPart) -> None:
        if owner != self.self_id:
            self._store_part(part.name, owner, part.version, part.total, now + part.remaining_ms / 1000)


class NoDigests(ReplicatedCounters):
    """Mistake: no digests, so lost messages are never repaired."""

    def digests(self):  # type: ignore[no-untyped-def]
        return []


class OwnDigestsOnly(ReplicatedCounters):
    """Mistake: no digests for other owners, so nobody forwards the parts of an owner that has ended."""

    def digests(self):  # type: ignore[no-untyped-def]
        return [d for d in super().digests() if d.owner == self.self_id]


class ReusedBoot(ReplicatedCounters):
    """Mistake: a restarted process keeps its boot but restarts its versions."""

    def __init__(self, me: ProcessId) -> None:
        super().__init__(ProcessId(me.name, 1))


@pytest.mark.parametrize("kind", [AddingMerge, VersionlessMerge, NoDigests, OwnDigestsOnly, ReusedBoot])
def test_a_planted_mistake_is_detected(kind: type[ReplicatedCounters]) -> None:
    for seed in range(40):
        try:
            simulation = simulate(seed, kind)
        except AssertionError:
            return
        if len({str(view) for view in simulation.views()}) > 1:
            return
    pytest.fail("no failure in 40 histories")


def test_counter_settings_have_defaults_and_bounds() -> None:
    assert read_replication_settings(Table({"counts": {}}).read_table("counts")).send_interval_s == 0.05
    with pytest.raises(ValidationError, match=r"counts\.say_s"):
        read_replication_settings(Table({"counts": {"say_s": 99}}).read_table("counts"))
