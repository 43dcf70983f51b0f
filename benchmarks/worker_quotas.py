"""What quotas let in with 1, 2 and 4 workers on one trace of requests, beside one exact bucket a customer.

    .venv/bin/python benchmarks/worker_quotas.py [--workers 1 2 4] [--seconds 30] [--seeds 1 2 3] [--out FILE]

One gateway of the testbed; a third of its customers ask three times their quota. Units of the requests that
were first asked after four seconds, so that the bursts that everybody begins with are over. `over one` is the
total beside that of one worker on the same traces.
"""

from __future__ import annotations

import argparse
import sys
from collections import defaultdict
from pathlib import Path
from typing import Any

import uvloop

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from report import report  # noqa: E402

from roadpulley.testbed.installation import Installation  # noqa: E402
from roadpulley.testbed.quotas import Use, uses  # noqa: E402
from roadpulley.testbed.scenario import DiscoveryKind, Load, Scenario  # noqa: E402

SETTLED_MS = 4_000.0
COLUMNS = ("plan", "workers", "asked", "due", "let in", "of what was due", "over one")


async def once(workers: int, seed: int, seconds: float, pipeline: int) -> dict[str, Use]:
    scenario = Scenario(
        name="quotas",
        seconds=seconds,
        seed=seed,
        gateways=1,
        workers=str(workers),
        nodes=12,
        discovery=DiscoveryKind(notice_ms=0.0),
        load=Load(rate=100.0, heavy=0.33, spread=1, retries=1, pipeline=pipeline),
    )
    async with Installation(scenario) as world:
        outcome = await world.run()
    if not outcome.verdict.ok:
        raise SystemExit("\n".join(outcome.verdict.lines()))
    return uses(outcome.ledger, outcome.terms, SETTLED_MS)


def run(counts: list[int], seeds: list[int], seconds: float, pipeline: int) -> list[dict[str, Any]]:
    totals: dict[tuple[str, int], Use] = defaultdict(Use)
    for seed in seeds:
        for workers in counts:
            print(f"seed {seed}, {workers} workers ...", file=sys.stderr, flush=True)
            for plan, use in uvloop.run(once(workers, seed, seconds, pipeline)).items():
                for each in (totals[plan, workers], totals["all", workers]):
                    each.asked, each.due = each.asked + use.asked, each.due + use.due
                    each.let_in += use.let_in
    return [{"plan": plan, "workers": workers, **vars(use), "share": use.share,
             "over_one": use.let_in / max(1.0, totals[plan, counts[0]].let_in)}
            for (plan, workers), use in sorted(totals.items())]  # fmt: skip


def table(rows: list[dict[str, Any]]) -> str:
    lines = ["| " + " | ".join(COLUMNS) + " |", "| --- " + "| ---: " * (len(COLUMNS) - 1) + "|"]
    for r in rows:
        cells = [r["plan"], str(r["workers"]), *(f"{r[n]:,.0f}" for n in ("asked", "due", "let_in"))]
        lines.append("| " + " | ".join([*cells, f"{r['share']:.1%}", f"{r['over_one']:.3f}"]) + " |")
    return "\n".join(lines)


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--workers", type=int, nargs="+", default=[1, 2, 4])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--one-connection", action="store_true", help="all traffic lands on one worker")
    parser.add_argument("--out", type=Path, default=ROOT / "benchmarks" / "out" / "worker_quotas.json")
    args = parser.parse_args()
    rows = run(args.workers, args.seeds, args.seconds, 32 if args.one_connection else 1)
    return report(table(rows), rows, args.out)


if __name__ == "__main__":
    sys.exit(main())
