"""Compares the store with a dictionary under random calls, crashes and full disks."""

from __future__ import annotations

import errno
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from roadpulley.store import ConflictError, Options, Snapshot, Store, Write, WriteFailedError
from roadpulley.testbed.disk import Chance, MemoryDisk, Op

keys = st.sampled_from([b"", b"a", b"aa", b"ab", b"b", b"\xff", b"\xff\xff"])
values = st.none() | st.binary(max_size=80)
batches = st.lists(st.builds(Write, keys, values), min_size=1, max_size=4)


class StoreComparison(RuleBasedStateMachine):
    @initialize()
    def begin(self) -> None:
        self.disk = MemoryDisk()
        self.options = Options(segment_bytes=500, new_salt=lambda: 7)
        self.store = Store.open(self.disk, self.options)
        self.model: dict[bytes, tuple[bytes, int]] = {}
        self.snapshots: list[tuple[Snapshot, dict[bytes, bytes]]] = []

    def plain(self) -> dict[bytes, bytes]:
        return {key: value for key, (value, _) in self.model.items()}

    def note(self, writes: list[Write], version: int) -> None:
        for w in writes:
            if w.value is None:
                self.model.pop(w.key, None)
            else:
                self.model[w.key] = (w.value, version)

    @rule(writes=batches)
    def write(self, writes: list[Write]) -> None:
        before = self.store.version
        version = self.store.batch(writes)
        assert version == before + 1
        self.note(writes, version)

    @rule(key=keys, value=values, right=st.booleans())
    def write_if(self, key: bytes, value: bytes | None, right: bool) -> None:
        version = self.model[key][1] if key in self.model else 0
        writes = [Write(key, value, version if right else version + 1)]
        try:
            self.note(writes, self.store.batch(writes))
            assert right
        except ConflictError as error:
            assert not right and error.found == version

    @rule(writes=batches, room=st.integers(0, 100))
    def write_on_a_full_disk(self, writes: list[Write], room: int) -> None:
        def full(op: Op) -> int | None:
            return min(room, len(op.data) - 1) if op.what == "write" else None

        self.disk.fault = full
        try:
            self.store.batch(writes)
            raise AssertionError("it was acknowledged")
        except WriteFailedError:
            pass
        finally:
            self.disk.fault = lambda op: None

    @rule(everything=st.booleans(), fails=st.booleans(), at=st.integers(0, 12))
    def compact(self, everything: bool, fails: bool, at: int) -> None:
        calls = 0

        def fault(op: Op) -> OSError | None:
            nonlocal calls
            takes_room = op.what in ("write", "create")
            calls += takes_room
            return OSError(errno.ENOSPC, "No space left on device") if takes_room and calls > at else None

        self.disk.fault = fault if fails else lambda op: None
        try:
            self.store.compact(everything)
        except OSError:
            assert fails
        finally:
            self.disk.fault = lambda op: None

    @precondition(lambda self: len(self.snapshots) < 3)
    @rule()
    def hold(self) -> None:
        self.snapshots.append((self.store.snapshot(), self.plain()))

    @precondition(lambda self: self.snapshots)
    @rule(data=st.data())
    def let_go(self, data: st.DataObject) -> None:
        snapshot, _ = self.snapshots.pop(data.draw(st.integers(0, len(self.snapshots) - 1)))
        snapshot.close()

    @rule()
    def reopen(self) -> None:
        self.leave()
        self.store.close()
        self.store = Store.open(self.disk, self.options)

    @rule(seed=st.integers(0, 2**16))
    def crash(self, seed: int) -> None:
        self.leave()
        self.disk = self.disk.crashed(len(self.disk.log), Chance.drawn(seed))
        self.store = Store.open(self.disk, self.options)

    def leave(self) -> None:
        for snapshot, _ in self.snapshots:
            snapshot.close()
        self.snapshots.clear()

    @rule(prefix=keys, start=keys, end=st.none() | keys)
    def scan(self, prefix: bytes, start: bytes, end: bytes | None) -> None:
        found = [r.key for r in self.store.scan(prefix, start, end)]
        right = [k for k in sorted(self.model) if k.startswith(prefix) and k >= start]
        assert found == [k for k in right if end is None or k < end]

    @invariant()
    def the_same(self) -> None:
        found: dict[bytes, Any] = {r.key: (r.value, r.version) for r in self.store.scan()}
        assert found == self.model
        for snapshot, state in self.snapshots:
            assert {r.key: r.value for r in snapshot.scan()} == state
            for key in (b"a", b"\xff", b"b"):
                assert snapshot.get(key) == state.get(key)

    @invariant()
    def no_file_too_many(self) -> None:
        if not self.snapshots:
            live = {number for number, s in self.store.segments.items() if not s.retired}
            assert {int(n[:8]) for n in self.disk.names() if n.endswith(".seg")} == live

    def teardown(self) -> None:
        if hasattr(self, "store"):
            self.leave()
            self.store.close()


TestBeside = StoreComparison.TestCase
TestBeside.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
