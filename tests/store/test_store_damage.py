"""Truncated, changed, missing or newer files are reported with the offset and the loss."""

from __future__ import annotations

import zlib

import pytest

from roadpulley.store import DamagedError, FormatVersionError, LockedError, Options, Store, Write
from roadpulley.store.format import segment_name
from roadpulley.testbed.disk import MemoryDisk

SMALL = Options(segment_bytes=400, new_salt=lambda: 7)


def filled() -> tuple[MemoryDisk, list[dict[bytes, bytes]]]:
    """Return the disk of a store with every kind of record, and the state after each batch."""
    disk = MemoryDisk()
    states: list[dict[bytes, bytes]] = [{}]
    with Store.open(disk, SMALL) as store:
        for number in range(14):
            writes = [Write(b"k%d" % (number % 5), b"v" * (number * 7 % 60))]
            if number % 3 == 2:
                writes += [Write(b"k%d" % ((number + 1) % 5), None), Write(b"", b"of the empty key")]
                writes += [Write(b"e", b"")]
            state = dict(states[-1])
            for w in writes:
                state.update({w.key: w.value}) if w.value is not None else state.pop(w.key, None)
            states.append(state)
            store.batch(writes)
            if number == 8:
                store.compact()
        assert {r.key: r.value for r in store.scan()} == states[-1]
    return disk, states


def reopened(disk: MemoryDisk) -> dict[bytes, bytes]:
    with Store.open(disk, SMALL) as store:
        return {r.key: r.value for r in store.scan()}


def test_truncated_files_are_recovered_or_refused() -> None:
    """The active segment keeps its intact frames. Truncation of another file is refused or harmless."""
    whole, states = filled()
    active = max(name for name in whole.names() if name.endswith(".seg"))
    kept: set[int] = set()
    for name in whole.names():
        length = len(whole.content[whole.entries[name]])
        for cut in range(length):
            disk = whole.copy()
            del disk.content[disk.entries[name]][cut:]
            before = {n: bytes(disk.content[i]) for n, i in disk.entries.items()}
            try:
                found = reopened(disk)
            except DamagedError as error:
                assert not name.endswith(".hint"), name
                assert name in str(error)
                assert before == {
                    n: bytes(disk.content[i]) for n, i in disk.entries.items()
                }  # left as it was
                continue
            assert name == active or name.endswith(".hint"), (name, cut)
            if name.endswith(".hint"):
                assert found == states[-1]
            else:
                kept.add(states.index(found))
    # Of the last segment: each batch is there once its last byte is, and in their order.
    assert kept and max(kept) == len(states) - 1 and kept == set(range(min(kept), max(kept) + 1))


def test_changed_bytes_are_detected_or_harmless() -> None:
    whole, states = filled()
    noticed = 0
    for name in whole.names():
        for at in range(len(whole.content[whole.entries[name]])):
            for hints in (True, False):
                disk = whole.copy()
                disk.content[disk.entries[name]][at] ^= 0x40
                if not hints:
                    for other in disk.names():
                        if other.endswith(".hint"):
                            disk.entries.pop(other)
                if name not in disk.entries:
                    continue
                try:
                    assert reopened(disk) == states[-1], (name, at)
                except (DamagedError, FormatVersionError) as error:
                    noticed += 1
                    assert name in str(error)
    assert noticed > 500


def test_changed_value_in_a_sealed_segment_is_reported_with_its_offset() -> None:
    disk = MemoryDisk()
    with Store.open(disk, SMALL) as store:
        store.put(b"key", b"needle" * 20)
        for _ in range(4):
            store.put(b"other", b"v" * 200)
    inode = disk.entries[segment_name(1)]
    at = disk.content[inode].index(b"needle")
    disk.content[inode][at] ^= 1
    with Store.open(disk, SMALL) as store:  # its hint is whole, so values are not read
        with pytest.raises(
            DamagedError, match=r"00000001.seg at byte \d+: .*checksum.*the value of b'key' is lost"
        ):
            store.get(b"key")
        assert store.get(b"other") is not None
        with pytest.raises(DamagedError, match="00000001.seg"):
            store.compact()
        assert store.get(b"other") is not None


def test_missing_segment_or_manifest_is_reported() -> None:
    whole, _ = filled()
    for name in whole.names():
        disk = whole.copy()
        disk.entries.pop(name)
        if name.endswith(".hint"):
            reopened(disk)
            continue
        with pytest.raises(DamagedError, match=f"{name} at byte 0: it is not there"):
            reopened(disk)


def test_files_of_a_newer_format_are_not_changed() -> None:
    whole, _ = filled()
    first = min(name for name in whole.names() if name.endswith(".seg"))
    disk = whole.copy()
    disk.content[disk.entries[first]][4] = 9
    with pytest.raises(FormatVersionError, match=f"{first}: it has format 9; this program reads format 1"):
        reopened(disk)
    text = (
        whole.content[whole.entries["MANIFEST"]].partition(b"\n")[2].replace(b'"format": 1', b'"format": 2')
    )
    disk = whole.copy()
    disk.content[disk.entries["MANIFEST"]] = bytearray(b"%08x\n" % zlib.crc32(text) + text)
    before = {n: bytes(disk.content[i]) for n, i in disk.entries.items()}
    with pytest.raises(FormatVersionError, match="MANIFEST: it has format 2; this program reads format 1"):
        reopened(disk)
    assert before == {n: bytes(disk.content[i]) for n, i in disk.entries.items()}


def test_store_cannot_be_opened_twice() -> None:
    disk = MemoryDisk()
    with Store.open(disk, SMALL), pytest.raises(LockedError):
        Store.open(disk, SMALL)
    Store.open(disk, SMALL).close()


def test_repeated_opening_does_not_accumulate_segments() -> None:
    disk = MemoryDisk()
    Store.open(disk, SMALL).close()
    names = disk.names()
    for number in range(30):
        with Store.open(disk, SMALL) as store:
            if number < 2:
                store.put(b"k", b"%d" % number)
    assert disk.names() == names and reopened(disk) == {b"k": b"1"}
