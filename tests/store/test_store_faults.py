"""Failing operating system calls: no write is acknowledged unless it is durable."""

from __future__ import annotations

import contextlib
import errno
import os
import signal
from pathlib import Path

import pytest

from roadpulley.store import (
    ClosedError,
    ConflictError,
    Options,
    Store,
    StoreFailedError,
    Write,
    WriteFailedError,
)
from roadpulley.store.parts import PendingBatch
from roadpulley.testbed.disk import ALL, NOTHING, Chance, MemoryDisk, Op

SMALL = Options(segment_bytes=400, new_salt=lambda: 7)
EIO = OSError(errno.EIO, "Input/output error")
ENOSPC = OSError(errno.ENOSPC, "No space left on device")


def state(store: Store) -> dict[bytes, bytes]:
    return {r.key: r.value for r in store.scan()}


class Once:
    """Fails the first call of a kind after it is armed."""

    def __init__(self, disk: MemoryDisk, what: str, how: OSError | int) -> None:
        self.what, self.how, self.hit = what, how, False
        disk.fault = self

    def __call__(self, op: Op) -> OSError | int | None:
        if self.hit or op.what != self.what:
            return None
        self.hit = True
        return self.how


@pytest.mark.parametrize("how", [ENOSPC, EIO, 0, 1, 36, 50])
def test_failed_write_is_not_stored_and_later_writes_succeed(how: OSError | int) -> None:
    disk = MemoryDisk()
    store = Store.open(disk, SMALL)
    store.put(b"a", b"1")
    fault = Once(disk, "write", how)
    with pytest.raises(WriteFailedError, match="00000001.seg: "):
        store.put(b"a", b"2" * 30)
    assert fault.hit and store.get(b"a") == b"1"
    assert store.put(b"b", b"3") == 2
    store.close()
    with Store.open(disk.crashed(len(disk.log), ALL), SMALL) as again:
        assert state(again) == {b"a": b"1", b"b": b"3"}


def test_partial_write_that_cannot_be_truncated_fails_the_store() -> None:
    disk = MemoryDisk()
    store = Store.open(disk, SMALL)
    store.put(b"a", b"1")
    disk.fault = lambda op: 20 if op.what == "write" else EIO if op.what == "truncate" else None
    with pytest.raises(WriteFailedError):
        store.put(b"a", b"2" * 30)
    disk.fault = lambda op: None
    with pytest.raises(StoreFailedError, match="a part could not be taken back"):
        store.put(b"a", b"3")
    assert store.get(b"a") == b"1"
    store.close()
    with Store.open(disk.copy(), SMALL) as again:
        assert state(again) == {b"a": b"1"}


def test_failed_sync_fails_the_store_for_good() -> None:
    """The bytes may be lost although a later sync succeeds, so the write must not be acknowledged later."""
    disk = MemoryDisk()
    store = Store.open(disk, SMALL)
    store.put(b"a", b"1")
    fault = Once(disk, "sync", EIO)
    with pytest.raises(StoreFailedError, match="00000001.seg could not be synced"):
        store.put(b"a", b"2")
    assert fault.hit
    for _ in range(2):
        with pytest.raises(StoreFailedError):
            store.put(b"c", b"4")
    assert state(store) == {b"a": b"1"}
    store.close()
    # Without a crash the page cache still returns what the disk may have dropped.
    again = Store.open(disk, SMALL)
    shown = state(again)
    again.put(b"d", b"5")
    again.close()
    for chance in (NOTHING, ALL, Chance(lambda op: op.data.find(b"5") < 0)):
        with Store.open(disk.crashed(len(disk.log), chance), SMALL) as after:
            assert state(after) == {**shown, b"d": b"5"}


@pytest.mark.parametrize("what", ["write", "sync", "create", "rename", "unlink", "sync-folder"])
@pytest.mark.parametrize("nth", range(12))
def test_failed_call_loses_no_acknowledged_write(what: str, nth: int) -> None:
    disk = MemoryDisk()
    store = Store.open(disk, SMALL)
    calls = 0

    def fault(op: Op) -> OSError | None:
        nonlocal calls
        calls += op.what == what
        return EIO if op.what == what and calls == nth + 1 else None

    disk.fault = fault
    sure: dict[bytes, bytes] = {}
    doubtful: dict[bytes, set[bytes]] = {}
    for number in range(20):
        key, value = b"k%d" % (number % 3), b"%d" % number * 12
        try:
            store.put(key, value)
            sure[key] = value
            doubtful.pop(key, None)
        except StoreFailedError:
            doubtful.setdefault(key, set()).add(value)
        except WriteFailedError:
            pass
        if number % 6 == 5:
            with contextlib.suppress(OSError, StoreFailedError):
                store.compact()
    assert state(store) == sure
    store.close()
    disk.fault = lambda op: None
    for chance in (ALL, NOTHING, *(Chance.drawn((what, nth, n)) for n in range(6))):
        with Store.open(disk.crashed(len(disk.log), chance), SMALL) as after:
            found = state(after)
            for key, value in sure.items():
                assert found[key] == value or found[key] in doubtful.get(key, ())


def test_full_disk_during_compaction_changes_no_data() -> None:
    disk = MemoryDisk()
    with Store.open(disk, SMALL) as store:
        for number in range(20):
            store.put(b"k%d" % (number % 4), b"%d" % number * 10)
        before, names = state(store), disk.names()
        # The segment that compaction begins with is sealed first: the third write of a segment is its own.
        writes = 0

        def fault(op: Op) -> int | None:
            nonlocal writes
            writes += op.what == "write"
            return 30 if op.what == "write" and writes > 3 else None

        disk.fault = fault
        with pytest.raises(OSError, match="No space left"):
            store.compact()
        disk.fault = lambda op: None
        assert state(store) == before
        assert {n for n in disk.names() if n.endswith(".seg")} >= {n for n in names if n.endswith(".seg")}
        store.put(b"after", b"1")
        assert store.compact() and state(store) == {**before, b"after": b"1"}


def test_stopped_compaction_changes_no_data() -> None:
    for moment in range(0, 30, 3):
        disk = MemoryDisk()
        with Store.open(disk, SMALL) as store:
            for number in range(20):
                store.put(b"k%d" % (number % 4), b"%d" % number * 10)
            before, asked = state(store), 0

            def stop(moment: int = moment) -> bool:
                nonlocal asked
                asked += 1
                return asked > moment

            done = store.compact(stop=stop)
            assert done == (asked <= moment) and state(store) == before
        with Store.open(disk.crashed(len(disk.log), NOTHING), SMALL) as again:
            assert state(again) == before


def test_conflict_fails_its_whole_batch_and_no_other_of_the_group() -> None:
    disk = MemoryDisk()
    store = Store.open(disk, SMALL)
    one = store.put(b"a", b"1", expect=0)
    with pytest.raises(ConflictError, match="b'a' has version 1; it was expected not to be there"):
        store.put(b"a", b"2", expect=0)
    with pytest.raises(ConflictError, match="b'b' is not there; version 7 was expected"):
        store.batch([Write(b"c", b"x"), Write(b"b", b"x", expect=7)])
    # In one group: the second sees what the first is about to write.
    group = [store.enqueue([Write(b"a", b"%d" % n, expect=one)]) for n in range(3)]
    other = store.enqueue([Write(b"d", b"4")])
    store.flush()
    assert [type(p.error) for p in group] == [
        type(None),
        ConflictError,
        ConflictError,
    ] and other.error is None
    assert state(store) == {b"a": b"0", b"d": b"4"}
    gone = store.delete(b"a", expect=group[0].version)
    assert store.put(b"a", b"new", expect=0) == gone + 1
    store.close()
    with pytest.raises(ClosedError):
        store.put(b"a", b"1")
    store.close()


@pytest.mark.parametrize(
    ("writes", "words"),
    [
        ([], "a batch of nothing"),
        ([Write(b"k" * 70_000, b"")], "its key has 70000 bytes, 65535 at most"),
        (
            [Write(b"a", b""), Write(b"k", bytes(64 * 1024 * 1024 + 1))],
            "write 1: its value has 67108865 bytes",
        ),
        ([Write(b"k", b"1"), Write(b"k", b"2", expect=0)], "is written twice"),
    ],
)
def test_invalid_batch_raises_value_error(writes: list[Write], words: str) -> None:
    with Store.open(MemoryDisk(), SMALL) as store:
        with pytest.raises(ValueError, match=words):
            store.batch(writes)
        assert state(store) == {}


def test_records_of_no_bytes_and_of_sixteen_megabytes() -> None:
    disk, large = MemoryDisk(), bytes(range(256)) * 65536
    with Store.open(disk, Options()) as store:
        store.batch([Write(b"", b""), Write(b"large", large), Write(b"none", b"")])
    with Store.open(disk, Options()) as store:
        assert state(store) == {b"": b"", b"large": large, b"none": b""}


def test_failing_callback_does_not_affect_other_batches_of_the_group() -> None:
    def broken(pending: PendingBatch) -> None:
        raise RuntimeError("its loop is closed")

    with Store.open(MemoryDisk(), SMALL) as store:
        store.enqueue([Write(b"a", b"1")], broken)
        other = store.enqueue([Write(b"b", b"2")])
        store.flush()
        assert other.is_done and other.error is None and other.version == 2
        assert state(store) == {b"a": b"1", b"b": b"2"}


def test_short_writes_are_completed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real = os.pwrite
    monkeypatch.setattr(os, "pwrite", lambda fd, data, offset: real(fd, bytes(data)[:7], offset))
    with Store.open(tmp_path, SMALL) as store:
        for number in range(30):
            store.put(b"k%d" % number, b"v" * number)
        store.compact()
    with Store.open(tmp_path, SMALL) as store:
        assert state(store) == {b"k%d" % n: b"v" * n for n in range(30)}


def test_signals_do_not_break_a_write(tmp_path: Path) -> None:
    """Calls that are interrupted (EINTR) are made again by Python; 16 MiB take long enough to be."""
    came = 0

    def note(*_: object) -> None:
        nonlocal came
        came += 1

    before = signal.signal(signal.SIGALRM, note)
    signal.setitimer(signal.ITIMER_REAL, 0.0005, 0.0005)
    try:
        with Store.open(tmp_path) as store:
            while not came or store.version < 4:
                store.put(b"k%d" % store.version, bytes(16 * 1024 * 1024))
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, before)
    with Store.open(tmp_path) as store:
        assert all(len(r.value) == 16 * 1024 * 1024 for r in store.scan()) and came


def test_snapshot_reads_records_that_compaction_removed() -> None:
    disk = MemoryDisk()
    with Store.open(disk, SMALL) as store:
        for number in range(12):
            store.put(b"k%d" % (number % 4), b"old %d" % number * 8)
        right = state(store)
        with store.snapshot() as held:
            for number in range(12):
                store.put(b"k%d" % (number % 5), b"new %d" % number * 8)
            store.delete(b"k0")
            assert store.compact()
            store.put(b"k1", b"newer")
            assert store.compact()
            assert {r.key: r.value for r in held.scan()} == right
            assert held.get(b"k0") == right[b"k0"] and store.get(b"k0") is None
        assert not any(segment.retired for segment in store.segments.values())
        assert not store.index.history
        with pytest.raises(ClosedError, match="the snapshot is closed"):
            held.get(b"k0")


def test_versions_are_not_reused_after_compaction() -> None:
    disk = MemoryDisk()
    for _ in range(3):
        with Store.open(disk, SMALL) as store:
            before = store.version
            store.put(b"a", b"1")
            assert store.delete(b"a") == before + 2
            store.compact()
        with Store.open(disk.crashed(len(disk.log), NOTHING), SMALL) as store:
            assert store.version == before + 2 and state(store) == {}
    assert not [n for n in disk.names() if n.endswith(".hint")]
