"""Admission of reservations: time of a decision as promises pile up. Prints a table and writes JSON.

python benchmarks/reservations.py [--promises 100000]
"""

from __future__ import annotations

import argparse
import json
import random
import resource
import statistics
import time
from pathlib import Path

from roadpulley.plans.reservations import Rejection, Reservation, ReservationLedger, TermsTimeline
from roadpulley.plans.terms import Terms

OUT = Path(__file__).parent / "out" / "reservations.json"
DAY = 24 * 3_600_000
ROUNDS = 10


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--promises", type=int, default=100_000)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    chance, rows = random.Random(args.seed), []
    terms = Terms(rate=50, burst=100, ceiling_rate=200, ceiling_burst=400)
    rows_of: TermsTimeline = ((0, terms), (20 * DAY, terms))
    print("| promises | asked | refused | decision p50 us | p99 us | most us | steps of the pool | MB |")
    print("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
    ledger, number, promised, began = (
        ReservationLedger(5_000.0, lambda customer, since: rows_of),
        0,
        0,
        time.perf_counter(),
    )
    for part in range(1, ROUNDS + 1):
        spans, refused, asked = list[float](), 0, 0
        while promised < args.promises * part // ROUNDS:
            number, asked = number + 1, asked + 1
            start = chance.randrange(40 * DAY)
            end = start + chance.choice((60_000, 3_600_000, DAY, 10 * DAY))
            # One in ten is the same customer's, up to the most that one may have; half are on top.
            who = 0 if chance.random() < 0.095 else chance.randrange(1, 20_000)
            units = max(1, int(chance.uniform(0.1, 4.0 if who else 0.05) * (end - start) / 1000))
            r = Reservation(f"r{number}", f"{who:016x}", units, start, end, chance.random() < 0.5)
            at = time.perf_counter()
            answer = ledger.admit(0, r)
            spans.append((time.perf_counter() - at) * 1e6)
            if isinstance(answer, Rejection):
                refused += 1
                continue
            ledger.apply(answer)
            promised += 1
        cuts = statistics.quantiles(spans, n=100)
        row = {
            "promises": promised,
            "asked": asked,
            "refused": refused,
            "p50_us": round(cuts[49]),
            "p99_us": round(cuts[98]),
            "most_us": round(max(spans)),
            "steps": len(ledger.pool),
            "mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
        }
        rows.append(row)
        print("| " + " | ".join(f"{v:,}" for v in row.values()) + " |", flush=True)
    total = time.perf_counter() - began
    most = max(len(mine.open) for mine in ledger.customers.values())
    print(f"{promised:,} promises made in {total:.1f} s; one customer has {most:,} of them")
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_text(json.dumps({"seconds": total, "rows": rows}, indent=1))


if __name__ == "__main__":
    main()
