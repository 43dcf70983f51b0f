"""A second reader, written only from docs/design/store-format.md, reads what the store wrote."""

from __future__ import annotations

import json
import random
import re
import struct
import threading
import zlib
from pathlib import Path

from roadpulley.store import Options, Store, Write
from roadpulley.testbed.disk import MemoryDisk, Op

PACKAGE = Path(__file__).resolve().parents[2] / "roadpulley" / "store"


def second_reader(files: dict[str, bytes]) -> dict[bytes, tuple[bytes, int]]:
    crc, _, text = files["MANIFEST"].partition(b"\n")
    assert int(crc, 16) == zlib.crc32(text)
    manifest = json.loads(text)
    assert manifest["format"] == 1
    lengths = {each["number"]: each["length"] for each in manifest["sealed"]}
    best: dict[bytes, tuple[int, int, bytes]] = {}
    for number in [*lengths, manifest["active"]]:
        data = files[f"{number:08d}.seg"]
        data = data[: lengths.get(number, len(data))]
        magic, form, zero, named, salt, check = struct.unpack("<4sHHQII", data[:24])
        assert (magic, form, zero, named) == (b"RPSG", 1, 0, number) and check == zlib.crc32(data[:20])
        at = 24
        while at < len(data):
            magic, length, count, _, _, body_crc, check = struct.unpack("<4sIIQQII", data[at : at + 36])
            assert magic == b"RPFR" and check == zlib.crc32(data[at : at + 32], salt)
            body = data[at + 36 : at + 36 + length]
            assert len(body) == length and zlib.crc32(body, salt) == body_crc
            at += 36 + length
            place = 0
            for _ in range(count):
                head = body[place : place + 19]
                kind, key_length, value_length, version, check = struct.unpack("<BHIQI", head)
                rest = body[place + 19 : place + 19 + key_length + value_length]
                assert zlib.crc32(rest, zlib.crc32(head[:15], salt)) == check
                place += 19 + len(rest)
                key, value = rest[:key_length], rest[key_length:]
                if version >= best.get(key, (0, 0, b""))[0]:
                    best[key] = (version, kind, value)
    return {key: (value, version) for key, (version, kind, value) in best.items() if kind == 1}


def hinted(files: dict[str, bytes], number: int) -> list[tuple[bytes, int]]:
    """Return the keys and offsets of a hint file."""
    data, found, at = files[f"{number:08d}.hint"], [], 32
    magic, form, zero, named, _, count, check = struct.unpack("<4sHHQQII", data[:32])
    assert (magic, form, zero, named) == (b"RPHT", 1, 0, number)
    assert check == zlib.crc32(data[32:], zlib.crc32(data[:28]))
    for _ in range(count):
        _, key_length, _, _, offset = struct.unpack("<BHIQQ", data[at : at + 23])
        found.append((data[at + 23 : at + 23 + key_length], offset))
        at += 23 + key_length
    assert at == len(data)
    return found


def test_second_reader_reads_the_same_records() -> None:
    rng, disk = random.Random(3), MemoryDisk()
    with Store.open(disk, Options(segment_bytes=900)) as store:
        for number in range(120):
            keys = {b"k%d" % rng.randrange(25) for _ in range(rng.randrange(1, 5))}
            store.batch(
                [Write(k, rng.randbytes(rng.randrange(60)) if rng.random() < 0.8 else None) for k in keys]
            )
            if number == 70:
                store.compact()
        right = {r.key: (r.value, r.version) for r in store.scan()}
    files = {name: bytes(disk.content[inode]) for name, inode in disk.entries.items()}
    assert second_reader(files) == right
    for number in [int(name[:8]) for name in files if name.endswith(".hint")]:
        segment = files[f"{number:08d}.seg"]
        for key, offset in hinted(files, number):
            assert segment[offset + 19 : offset + 19 + len(key)] == key


def test_store_reads_no_clock() -> None:
    """A stepping clock cannot affect code that reads none."""
    sources = [path.read_text() for path in PACKAGE.glob("*.py")]
    assert len(sources) > 8
    assert not any(re.search(r"^(import|from) (time|datetime)\b", text, re.M) for text in sources)


def test_many_writing_threads_all_complete() -> None:
    """A thread that finds the log locked sleeps. The thread that releases the lock must wake the next one."""
    store, told = Store.open(MemoryDisk(), Options(segment_bytes=3_000)), list[int]()

    def write(mine: int) -> None:
        for number in range(60):
            told.append(store.put(b"%d/%d" % (mine, number % 7), b"v"))
            if number % 20 == mine:
                store.compact()

    threads = [threading.Thread(target=write, args=(n,), daemon=True) for n in range(12)]
    for each in threads:
        each.start()
    for each in threads:
        each.join(timeout=30)
    assert not any(each.is_alive() for each in threads), "somebody was not woken"
    assert sorted(told) == list(range(1, 12 * 60 + 1))
    assert store.stat().keys == 12 * 7
    store.close()


def test_thread_queued_during_a_write_is_woken_without_later_writers() -> None:
    entered, let_go, told = threading.Event(), threading.Event(), list[int]()

    def fault(op: Op) -> None:
        if op.what == "sync" and not entered.is_set():
            entered.set()
            assert let_go.wait(20)

    disk = MemoryDisk()
    store = Store.open(disk)
    disk.fault = fault

    def write(key: bytes) -> None:
        told.append(store.put(key, b""))

    threads = [threading.Thread(target=write, args=(k,), daemon=True) for k in (b"first", b"second")]
    threads[0].start()
    assert entered.wait(20)
    threads[1].start()
    while not store.queue or store.queue[0].wakeup is None:
        threading.Event().wait(0.001)
    let_go.set()
    for each in threads:
        each.join(timeout=20)
    assert sorted(told) == [1, 2], "the second was not woken"
    store.close()
