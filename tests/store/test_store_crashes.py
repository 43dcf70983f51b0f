"""Crashes: acknowledged writes survive in every possible disk state, and batches are atomic."""

from __future__ import annotations

import os
import random

import pytest

from roadpulley.store import Options, Store, Write
from roadpulley.testbed.disk import ALL, NOTHING, Chance, MemoryDisk, Op

State = dict[bytes, bytes]
DRAWN = int(os.environ.get("STORE_CRASHES", "400"))  # of each seed; a long run draws thousands
SMALL = Options(segment_bytes=700, new_salt=lambda: 7)


def state_of(store: Store) -> State:
    return {record.key: record.value for record in store.scan()}


class Workload:
    """Writes batches to a store and records in the disk's log when each is begun and acknowledged."""

    def __init__(self, seed: int, batches: int) -> None:
        self.rng, self.disk = random.Random(seed), MemoryDisk()
        self.states: list[State] = [{}]  # after so many batches
        self.store = Store.open(self.disk, SMALL)
        for number in range(batches):
            self.step(number)
        self.store.close()

    def step(self, number: int) -> None:
        self.write()
        if number % 7 == 6:
            self.store.compact(everything=bool(number % 2))
        if number % 11 == 10:
            self.store.close()
            self.store = Store.open(self.disk, SMALL)

    def write(self) -> None:
        writes = []
        for _ in range(self.rng.choice((1, 1, 2, 5))):
            key = b"key-%d" % self.rng.randrange(9)
            value = self.rng.randbytes(self.rng.choice((0, 3, 40, 150)))
            writes.append(Write(key, value if self.rng.random() < 0.75 else None))
        state = dict(self.states[-1])
        for w in writes:
            if w.value is None:
                state.pop(w.key, None)
            else:
                state[w.key] = w.value
        self.states.append(state)
        self.disk.say("begun", len(self.states) - 1)
        self.store.batch(writes)
        self.disk.say("acknowledged", len(self.states) - 1)

    def check(self, count: int, chance: Chance) -> None:
        """Reopen the store after a crash, twice, and write again."""
        done, begun = marks(self.disk.log[:count])
        disk = self.disk.crashed(count, chance)
        store = Store.open(disk, SMALL)
        found = state_of(store)
        allowed = self.states[done : begun + 1]
        assert found in allowed, f"after {count} entries: {done} acknowledged, {begun} begun"
        store.put(b"after", b"wards")
        store.close()
        with Store.open(disk, SMALL) as again:
            assert state_of(again) == {**found, b"after": b"wards"}


def torn_at(length: int) -> Chance:
    return Chance(lambda op: True, lambda op: length)


def marks(log: list[Op]) -> tuple[int, int]:
    def last(word: str) -> int:
        return max((op.at for op in log if op.what == word), default=0)

    return last("acknowledged"), last("begun")


def test_recovery_from_every_crash_of_a_small_workload() -> None:
    """Each moment, with nothing kept, everything, and each of the unsynced entries alone kept or lost or
    torn."""
    work = Workload(1, 16)
    tried = 0
    for count in range(len(work.disk.log) + 1):
        work.check(count, NOTHING)
        work.check(count, ALL)
        recent = work.disk.log[max(0, count - 6) : count]
        for op in recent:
            if op.what in ("write", "truncate", "create", "rename", "unlink"):
                work.check(count, Chance(lambda each, op=op: each is op))  # type: ignore[misc]
                work.check(count, Chance(lambda each, op=op: each is not op))  # type: ignore[misc]
                tried += 2
            if op is recent[-1] and op.what == "write":
                for length in range(0, len(op.data), 1 + len(op.data) // 40):
                    work.check(count, torn_at(length))
                    tried += 1
    assert tried > 1_000


@pytest.mark.parametrize("seed", range(4))
def test_recovery_from_random_crashes_of_a_larger_workload(seed: int) -> None:
    work = Workload(100 + seed, 60)
    rng = random.Random(seed)
    for number in range(DRAWN):
        count = rng.randrange(len(work.disk.log) + 1)
        work.check(count, Chance.drawn((seed, number)))


def test_repeated_power_loss_does_not_accumulate_segments() -> None:
    disk, options = MemoryDisk(), Options(segment_bytes=4_000, new_salt=lambda: 7)
    for number in range(40):
        store = Store.open(disk, options)
        store.put(b"k%d" % number, b"%d" % number)
        store.batch([Write(b"last", b"%d" % number)])
        if store.should_compact():
            assert store.compact(everything=False)
        assert not store.should_compact()
        disk = disk.crashed(len(disk.log), NOTHING if number % 2 else ALL)
    for _ in range(20):  # and while nothing is written
        Store.open(disk, options)
        disk = disk.crashed(len(disk.log), NOTHING)
    assert len([name for name in disk.names() if name.endswith(".seg")]) <= 11
    with Store.open(disk, options) as store:
        assert state_of(store) == {b"last": b"39", **{b"k%d" % n: b"%d" % n for n in range(40)}}


def test_recovery_from_a_crash_during_recovery() -> None:
    work = Workload(5, 30)
    rng = random.Random(5)
    for number in range(300):
        count = rng.randrange(len(work.disk.log) + 1)
        done, begun = marks(work.disk.log[:count])
        first = work.disk.crashed(count, Chance.drawn(number))
        store = Store.open(first, SMALL)
        found = state_of(store)
        assert found in work.states[done : begun + 1]
        store.close()
        for again in range(4):  # opening reads what may not be on the disk, and must not count on it
            second = first.crashed(rng.randrange(len(first.log) + 1), Chance.drawn((number, again)))
            with Store.open(second, SMALL) as reopened:
                assert state_of(reopened) == found
