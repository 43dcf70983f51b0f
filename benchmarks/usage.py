"""A million tries counted, spooled, taken into the books and added up again: time and bytes of each step.

    .venv/bin/python benchmarks/usage.py [--tries 1000000] [--customers 5000] [--out FILE]

One process in place of the gateways; a batch a second of 4,000 tries, as a busy worker writes them.
"""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from report import report  # noqa: E402

from roadpulley.store import Store  # noqa: E402
from roadpulley.usage import spool  # noqa: E402
from roadpulley.usage.accumulator import HOUR_MS, MILLIUNITS_PER_UNIT, UsageAccumulator  # noqa: E402
from roadpulley.usage.ledger import UsageLedger  # noqa: E402

A_SECOND = 4_000
CLASSES = ("view", "order", "wipe")
COLUMNS = ("step", "seconds", "us_a_try", "bytes")


def size(folder: Path) -> int:
    return sum(f.stat().st_size for f in folder.rglob("*") if f.is_file())


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--tries", type=int, default=1_000_000)
    parser.add_argument("--customers", type=int, default=5_000)
    parser.add_argument("--out", type=Path, default=ROOT / "benchmarks" / "out" / "usage.json")
    args = parser.parse_args()
    chance, rows = random.Random(1), list[dict[str, Any]]()
    who = [f"{n:016x}" for n in range(args.customers)]
    asked = [
        (chance.choice(who), chance.choice(CLASSES), chance.randint(1, 40) / 10) for _ in range(args.tries)
    ]

    def note(step: str, seconds: float, bytes_: int) -> None:
        rows.append(
            {"step": step, "seconds": seconds, "us_a_try": seconds / args.tries * 1e6, "bytes": bytes_}
        )
        print(f"{step} done", file=sys.stderr, flush=True)

    with tempfile.TemporaryDirectory() as place:
        folder = Path(place) / "spool"
        folder.mkdir()
        tally, counting, writing, now = UsageAccumulator("n0", "a"), 0.0, 0.0, 500_000.0 * HOUR_MS
        for start in range(0, args.tries, A_SECOND):
            began = time.perf_counter()
            for customer, kind, units in asked[start : start + A_SECOND]:
                tally.count_sent(now, customer, ("basic", 1, 0), kind, units)
            counted = time.perf_counter()
            for batch in tally.close_batch(now):
                spool.write(folder, batch)
                tally.confirm_written(batch.number)
            counting, writing = counting + counted - began, writing + time.perf_counter() - counted
            now += 1_000
        note("counted", counting, 0)
        note("spooled", writing, size(folder))
        with Store.open(Path(place) / "books") as store:
            began = time.perf_counter()
            new, known, bad = spool.collect(folder, UsageLedger(store))
            note("taken into the books", time.perf_counter() - began, size(Path(place) / "books"))
            began = time.perf_counter()
            billed = sum(total.units for _, total in UsageLedger(store).rows())
            note("added up", time.perf_counter() - began, 0)
    if billed != sum(round(units * MILLIUNITS_PER_UNIT) for *_, units in asked) or known or bad:
        raise SystemExit(f"billed {billed}, with {new} batches new, {known} known and {bad} bad")
    lines = ["| " + " | ".join(COLUMNS) + " |", "| --- | ---: | ---: | ---: |"]
    lines += [f"| {r['step']} | {r['seconds']:.1f} | {r['us_a_try']:.1f} | {r['bytes']:,} |" for r in rows]
    return report("\n".join(lines), rows, args.out)


if __name__ == "__main__":
    sys.exit(main())
