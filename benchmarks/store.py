"""The store beside SQLite (WAL, synchronous=FULL) and, where `lmdb` is installed, LMDB: in one run, on one
disk.

    .venv/bin/python benchmarks/store.py [--records 1000000] [--seconds 3] [--folder FOLDER] [--out FILE]
 Each part runs in a process of its own: loading the records, opening them again (time until the first value
is read, and memory), acknowledged writes a second by one writer and by 64 at once, and space and written
bytes after every key was overwritten ten times.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import resource
import shutil
import sqlite3
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from report import report  # noqa: E402

from roadpulley.store import Options, Store, Write  # noqa: E402
from roadpulley.store.aio import AsyncStore  # noqa: E402

VALUE = 100  # bytes
BATCH = 1_000  # records of one load's batch
WRITERS = 64
ROUNDS = 10  # of overwriting


def key(number: int) -> bytes:
    return b"tenant/%08x/key" % number


class Ours:
    name = "store"

    def __init__(self, folder: Path, segment: int = 64 * 1024 * 1024) -> None:
        self.store = Store.open(folder / "ours", Options(segment_bytes=segment))

    def put(self, items: list[tuple[bytes, bytes]]) -> None:
        self.store.batch([Write(k, v) for k, v in items])

    def get(self, k: bytes) -> bytes | None:
        return self.store.get(k)

    def tidy(self) -> None:
        self.store.compact(everything=False)

    def close(self) -> None:
        self.store.close()


class Sqlite:
    name = "SQLite"

    def __init__(self, folder: Path) -> None:
        self.lock = threading.Lock()  # one connection: more of them only wait for each other's lock
        self.db = sqlite3.connect(folder / "sqlite.db", check_same_thread=False, isolation_level=None)
        self.db.execute("PRAGMA journal_mode=WAL")
        self.db.execute("PRAGMA synchronous=FULL")
        self.db.execute("CREATE TABLE IF NOT EXISTS kv (k BLOB PRIMARY KEY, v BLOB) WITHOUT ROWID")

    def put(self, items: list[tuple[bytes, bytes]]) -> None:
        with self.lock:
            self.db.execute("BEGIN IMMEDIATE")
            self.db.executemany("INSERT OR REPLACE INTO kv VALUES (?, ?)", items)
            self.db.execute("COMMIT")

    def get(self, k: bytes) -> bytes | None:
        row = self.db.execute("SELECT v FROM kv WHERE k = ?", (k,)).fetchone()
        return bytes(row[0]) if row else None

    def tidy(self) -> None:
        return

    def close(self) -> None:
        self.db.close()


class Lmdb:
    name = "LMDB"

    def __init__(self, folder: Path) -> None:
        import lmdb

        self.lock = threading.Lock()
        self.env = lmdb.open(str(folder / "lmdb"), map_size=8 * 1024**3)

    def put(self, items: list[tuple[bytes, bytes]]) -> None:
        with self.lock, self.env.begin(write=True) as txn:
            for k, v in items:
                txn.put(k, v)

    def get(self, k: bytes) -> bytes | None:
        with self.env.begin() as txn:
            found: bytes | None = txn.get(k)
            return found

    def tidy(self) -> None:
        return

    def close(self) -> None:
        self.env.close()


KINDS: dict[str, Callable[[Path], Any]] = {"store": Ours, "SQLite": Sqlite, "LMDB": Lmdb}


def kinds() -> list[str]:
    try:
        import lmdb  # noqa: F401
    except ImportError:
        return ["store", "SQLite"]
    return list(KINDS)


# ---- parts, each in a process of its own ----


def load(kind: str, folder: Path, records: int, seconds: float) -> dict[str, float]:
    db, rng, began = KINDS[kind](folder), random.Random(1), time.perf_counter()
    for first in range(0, records, BATCH):
        db.put(
            [
                (key(n * 7919 % records), rng.randbytes(VALUE))
                for n in range(first, min(first + BATCH, records))
            ]
        )
    db.close()
    return {"load_s": time.perf_counter() - began}


def reopen(kind: str, folder: Path, records: int, seconds: float) -> dict[str, float]:
    before, began = rss(), time.perf_counter()
    db = KINDS[kind](folder)
    value = db.get(key(records // 2))
    passed = time.perf_counter() - began
    assert value is not None and len(value) == VALUE
    rng, memory, began = random.Random(2), rss() - before, time.perf_counter()
    for _ in range(20_000):
        db.get(key(rng.randrange(records)))
    reads = 20_000 / (time.perf_counter() - began)
    db.close()
    return {"open_s": passed, "memory_mb": memory, "reads": reads}


def rss() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize() / 1e6


def writes(kind: str, folder: Path, records: int, seconds: float, writers: int) -> dict[str, float]:
    db, end, counts = KINDS[kind](folder), time.perf_counter() + seconds, [0] * writers

    def write(mine: int) -> None:
        while time.perf_counter() < end:
            db.put([(b"w%d/%d" % (mine, counts[mine] % 1_000), b"v" * VALUE)])
            counts[mine] += 1

    threads = [threading.Thread(target=write, args=(n,)) for n in range(writers)]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    db.close()
    return {f"writes_{writers}": sum(counts) / seconds}


def one(kind: str, folder: Path, records: int, seconds: float) -> dict[str, float]:
    return writes(kind, folder, records, seconds, 1)


def many(kind: str, folder: Path, records: int, seconds: float) -> dict[str, float]:
    """Ours by its face for the event loop, the others by as many threads: each as a gateway would use it."""
    if kind == "store":
        return {f"writes_{WRITERS}": asyncio.run(on_loop(folder, seconds)) / seconds}
    return writes(kind, folder, records, seconds, WRITERS)


async def on_loop(folder: Path, seconds: float) -> int:
    store, end, count = await AsyncStore.open(folder / "ours"), time.perf_counter() + seconds, 0

    async def write(mine: int) -> None:
        nonlocal count
        number = 0
        while time.perf_counter() < end:
            await store.put(b"w%d/%d" % (mine, number % 1_000), b"v" * VALUE)
            number, count = number + 1, count + 1

    await asyncio.gather(*(write(n) for n in range(WRITERS)))
    await store.close()
    return count


def overwrite(kind: str, folder: Path, records: int, seconds: float) -> dict[str, float]:
    """Every key ten times in a drawn order, a part of the records: most space ever, and bytes written."""
    keys, rng = max(BATCH, records // 20), random.Random(3)
    db = Ours(folder, 4 * 1024 * 1024) if kind == "store" else KINDS[kind](folder)
    most, io = 0, written()
    for _ in range(ROUNDS):
        order = list(range(keys))
        rng.shuffle(order)
        for at in range(0, keys, BATCH):
            db.put([(key(n), rng.randbytes(VALUE)) for n in order[at : at + BATCH]])
            db.tidy()
            most = max(most, space(folder))
    db.close()
    payload = keys * (len(key(0)) + VALUE)
    return {"amplification": (written() - io) / (payload * ROUNDS), "most_space": most / payload,
            "last_space": space(folder) / payload}  # fmt: skip


def written() -> int:
    lines = Path("/proc/self/io").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("wchar")).split()[1])


def space(folder: Path) -> int:
    return sum(f.stat().st_size for f in folder.rglob("*") if f.is_file())


PARTS = {"load": load, "open": reopen, "one": one, "many": many, "overwrite": overwrite}


def part(name: str, kind: str, folder: Path, records: int, seconds: float) -> dict[str, float]:
    print(f"{kind}: {name} ...", file=sys.stderr, flush=True)
    command = [sys.executable, str(Path(__file__).resolve()), "--part", name, kind, str(folder)]
    command += ["--records", str(records), "--seconds", str(seconds)]
    got: dict[str, float] = json.loads(
        subprocess.run(command, check=True, stdout=subprocess.PIPE, text=True).stdout
    )
    return got


def run(records: int, seconds: float, where: Path | None) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = [{"kind": kind} for kind in kinds()]
    base = Path(tempfile.mkdtemp(prefix="roadpulley-", dir=where))
    try:
        for name in PARTS:
            for row in rows:  # in turn, so that a slow moment of the disk meets all of them
                folder = base / row["kind"] / ("own" if name == "overwrite" else "records")
                folder.mkdir(parents=True, exist_ok=True)
                row.update(part(name, row["kind"], folder, records, seconds))
    finally:
        shutil.rmtree(base)
    return rows


def table(rows: list[dict[str, Any]]) -> str:
    heads = {
        "load_s": "load s",
        "open_s": "open s",
        "memory_mb": "memory MB",
        "reads": "reads/s",
        "writes_1": "writes/s, 1",
        f"writes_{WRITERS}": f"writes/s, {WRITERS}",
        "amplification": "bytes written x",
        "most_space": "most space x",
        "last_space": "space at the end x",
    }
    lines = ["| | " + " | ".join(heads.values()) + " |", "| --- " + "| ---: " * len(heads) + "|"]
    for row in rows:
        cells = [f"{row[h]:,.0f}" if row[h] >= 100 else f"{row[h]:.3g}" for h in heads]
        lines.append("| " + " | ".join([row["kind"], *cells]) + " |")
    return "\n".join(lines)


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--records", type=int, default=1_000_000)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--folder", type=Path, help="on the disk that is to be measured")
    parser.add_argument("--out", type=Path, default=ROOT / "benchmarks" / "out" / "store.json")
    parser.add_argument("--part", nargs=3, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.part:
        name, kind, folder = args.part
        print(json.dumps(PARTS[name](kind, Path(folder), args.records, args.seconds)))
        return 0
    rows = run(args.records, args.seconds, args.folder)
    return report(table(rows), rows, args.out)


if __name__ == "__main__":
    sys.exit(main())
