"""Billing files pushed by a fleet of real processes are applied exactly once, despite kills and pauses."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path

import pytest

from roadpulley.store import Store
from roadpulley.testbed.fleet import Fleet, FleetPlan
from roadpulley.testbed.sink import Sink
from roadpulley.usage.accumulator import Batch, UsageKey, UsageTotals
from roadpulley.usage.ledger import UsageLedger
from roadpulley.usage.periods import BillingPeriods

pytestmark = pytest.mark.timeout(90)

FILE_COUNT = 16


def fill_books(folder: Path) -> None:
    with Store.open(folder) as store:
        periods = BillingPeriods(UsageLedger(store))
        for n in range(FILE_COUNT):
            row = UsageKey("00000000000000aa", "basic", 1, 0, "view", n)
            periods.ledger.ingest(Batch("n0", "a", n + 1, 0, {row: UsageTotals(1, 5_000, 0)}))
            periods.close(f"p{n:02}", n, n + 1, 1000, 1)


def test_each_file_is_pushed_once_from_machines_with_separate_books(tmp_path: Path) -> None:
    """Each instance has its own copy of the books, like separate machines.

    One holder is killed and the next one paused, while the sink loses responses. The sink must reject the
    pushes of the paused holder after it resumes.
    """

    async def run() -> None:
        with Sink() as sink:
            plan = FleetPlan(duties=0)
            async with Fleet(plan, tmp_path) as fleet:
                first_books = tmp_path / "books-v0"
                fill_books(first_books)
                for name in plan.names:
                    if name != "v0":
                        shutil.copytree(first_books, tmp_path / f"books-{name}")
                    text = f'store = "books-{name}"\nspool = "spool-{name}"\n[sink]\nurl = "{sink.url}"\n'
                    (tmp_path / f"usage-{name}.toml").write_text(text + "timeout_s = 1.0\n")
                    with fleet.members[name].settings.open("a") as file:
                        file.write('[duties.billing]\nwork = "usage-push"\nevery_s = 0.1\n')
                        file.write(f'settings = "usage-{name}.toml"\n')
                sink.moods.extend(["late", "well", "lost", "late", "half", "500", "late"] * 2)
                await fleet.start()
                await fleet.until(lambda: len(sink.applied) >= 2, "the first files")
                killed = latest_holder(fleet)
                fleet.kill(killed)
                await fleet.until(lambda: len(sink.applied) >= 5, "files of the second holder")
                await fleet.start(killed)  # a majority has to remain when the next holder is paused
                stopped = latest_holder(fleet, killed)
                fleet.stop(stopped)
                await fleet.until(lambda: len(set(sink.fences)) >= 3, "a third holder")
                fleet.go_on(stopped)
                await fleet.until(lambda: len(sink.applied) == FILE_COUNT, "all files")
                assert fleet.judge().broken == []
        names = [path for path, _ in sink.applied.values()]
        assert sorted(names) == [f"/p{n:02}.csv" for n in range(FILE_COUNT)]
        assert sink.fences == sorted(sink.fences)

    asyncio.run(run())


def latest_holder(fleet: Fleet, *excluded: str) -> str:
    """The instance whose holding began last, by the logs."""
    counted_beliefs = [b for b in fleet.beliefs() if b.process.partition(".")[0] not in excluded]
    return max(counted_beliefs, key=lambda b: b.fence).process.partition(".")[0]
