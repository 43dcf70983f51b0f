"""How soon a change of plan holds on every worker of a gateway under load, from the command's return.

    .venv/bin/python benchmarks/plan_change.py [--workers 4] [--changes 200] [--out FILE]

The gateway serves 200 requests a second meanwhile and must break no rule; each change is one customer's own
terms, with 2,000 other customers' in the feed. A worker logs what it follows once its module has been told.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import re
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from report import report  # noqa: E402

from roadpulley.plans.plan_store import PlanStore  # noqa: E402
from roadpulley.plans.terms import Terms  # noqa: E402
from roadpulley.store import Store  # noqa: E402
from roadpulley.testbed.installation import Installation  # noqa: E402
from roadpulley.testbed.scenario import DiscoveryKind, Load, Scenario  # noqa: E402

OTHERS = 2_000
FOLLOWS = re.compile(r"plans follow .* at (\d+)")
COLUMNS = ("workers", "changes", "p50_ms", "p99_ms", "most_ms", "command_ms", "feed_kb")


async def followed(log: Path, seq: int, workers: int) -> None:
    """Until each worker has said that it follows this or a later document."""
    while sum(int(n) >= seq for n in FOLLOWS.findall(log.read_text())) < workers:
        await asyncio.sleep(0.002)


async def once(folder: Path, workers: int, changes: int) -> dict[str, Any]:
    (folder / "plans.toml").write_text('store = "book"\nfeed = "feed.json"\nlook_ms = 200\n')
    os.environ["ROADPULLEY_PLANS"] = str(folder / "plans.toml")
    scenario = Scenario(
        name="plans",
        seconds=changes * 0.35 + 8,
        gateways=1,
        workers=str(workers),
        nodes=20,
        discovery=DiscoveryKind(notice_ms=0.0),
        load=Load(rate=200.0, spread=1, retries=1),
    )
    lags, commands = list[float](), list[float]()
    with Store.open(folder / "book") as store:
        plan_store = PlanStore(store, folder / "feed.json", lambda: int(time.time() * 1000))
        publish = plan_store.publish
        plan_store.publish = lambda: None  # type: ignore[assignment, method-assign, return-value]
        plan_store.write(plan_store.catalog.schedule(plan_store.now(), "gold", Terms(rate=9, burst=9)))
        for number in range(OTHERS):
            plan_store.write(plan_store.catalog.assign(plan_store.now(), f"{2**31 + number:016x}", "gold"))
        plan_store.publish = publish  # type: ignore[method-assign]
        plan_store.publish()
        async with Installation(scenario) as world:
            running, log = asyncio.create_task(world.run()), world.folder / "n0.log"
            await followed(log, store.version, workers)
            loop = asyncio.get_running_loop()
            for number in range(changes):
                changed = plan_store.catalog.assign(
                    plan_store.now(), f"{2**31:016x}", "gold" if number % 2 else ""
                )
                began = time.perf_counter()
                await loop.run_in_executor(None, plan_store.write, changed)
                wrote = time.perf_counter()
                await followed(log, store.version, workers)
                lags.append((time.perf_counter() - wrote) * 1000)
                commands.append((wrote - began) * 1000)
                if number % 20 == 0:
                    print(f"change {number} ...", file=sys.stderr, flush=True)
            outcome = await running
    if not outcome.verdict.ok:
        raise SystemExit("\n".join(outcome.verdict.lines()))
    cuts = statistics.quantiles(lags, n=100)
    return {
        "workers": workers,
        "changes": changes,
        "p50_ms": round(cuts[49]),
        "p99_ms": round(cuts[98]),
        "most_ms": round(max(lags)),
        "command_ms": round(statistics.median(commands)),
        "feed_kb": (folder / "feed.json").stat().st_size // 1024,
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--changes", type=int, default=200)
    parser.add_argument("--out", type=Path, default=ROOT / "benchmarks" / "out" / "plan_change.json")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        rows = [uvloop.run(once(Path(folder), args.workers, args.changes))]
    lines = ["| " + " | ".join(COLUMNS) + " |", "| " + "---: | " * len(COLUMNS)]
    lines += ["| " + " | ".join(f"{row[name]:,}" for name in COLUMNS) + " |" for row in rows]
    return report("\n".join(lines), rows, args.out)


if __name__ == "__main__":
    sys.exit(main())
