"""Workers meter under load and are replaced meanwhile. Billed usage equals what the nodes received."""

from __future__ import annotations

import asyncio
import os
import signal
from collections import Counter
from pathlib import Path

import pytest
import uvloop
from loopback import until
from worker_world import log_of, workers_of

from roadpulley.cli import main
from roadpulley.core.clock import now_ms
from roadpulley.store import Store
from roadpulley.testbed.installation import Installation
from roadpulley.testbed.ledger import Ended, Ledger
from roadpulley.testbed.scenario import DiscoveryKind, Load, Scenario
from roadpulley.usage.accumulator import MILLIUNITS_PER_UNIT
from roadpulley.usage.ledger import UsageLedger

pytestmark = [pytest.mark.timeout(60), pytest.mark.alone]


def sum_node_usage(ledger: Ledger) -> Counter[tuple[str, str, str]]:
    """Returns settled thousandths of units by customer, plan and class, of each try that a node received."""
    tries = {}
    for attempt in ledger.attempts:
        if attempt.last_at is not None and attempt.how != "busy":
            units = attempt.cost if attempt.cost and attempt.how == "served" else attempt.units
            if attempt.id not in tries or attempt.how == "served":
                tries[attempt.id] = (
                    (attempt.customer, attempt.plan, attempt.kind),
                    round(units * MILLIUNITS_PER_UNIT),
                )
    total: Counter[tuple[str, str, str]] = Counter()
    for key, units in tries.values():
        total[key] += units
    return total


@pytest.mark.parametrize(("deployment", "number"), [("transfers", signal.SIGHUP), ("tiles", signal.SIGKILL)])
def test_billed_usage_equals_node_usage_less_one_second_of_a_killed_worker(
    deployment: str, number: signal.Signals, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "usage.toml").write_text('store = "books"\nspool = "spool"\n')
    monkeypatch.setenv("ROADPULLEY_USAGE", str(tmp_path / "usage.toml"))
    scenario = Scenario(
        name="use",
        deployment=deployment,
        seconds=7.0,
        gateways=1,
        workers="2",
        nodes=8,
        discovery=DiscoveryKind(notice_ms=0.0),
        load=Load(rate=80, spread=1, retries=1),
    )

    async def work() -> Ledger:
        async with asyncio.timeout(45), Installation(scenario) as world:
            running = asyncio.create_task(world.run())
            await until(lambda: world.stats.all.asked > 20)
            if number is signal.SIGHUP:  # both workers are replaced, and each writes its counts
                world.gateways["n0"].signal(number)
                await until(lambda: log_of(world).count("serves at port") == 4)
            else:
                await until(lambda: world.stats.all.asked > 150)
                world.ledger.ended.append(Ended("n0", now_ms(), "killed"))
                os.kill(workers_of(world)[0], number)
                await until(lambda: log_of(world).count("serves at port") == 3)
            outcome = await running
            assert outcome.verdict.ok, "\n".join(outcome.verdict.lines())
            process = world.gateways["n0"]
            process.called = True
            process.signal(signal.SIGTERM)
            assert await process.ended(20)
            return outcome.ledger

    ledger = uvloop.run(work())
    assert main(["usage", "--settings", str(tmp_path / "usage.toml"), "collect"]) == 0
    with Store.open(tmp_path / "books") as store:
        billed: Counter[tuple[str, str, str]] = Counter()
        process_keys = {record.key for record in store.scan(b"use/life/")}
        for row, total in UsageLedger(store).rows():
            billed[row.customer, row.plan, row.request_class] += total.units
    received, lost = sum_node_usage(ledger), Counter[tuple[str, str, str]]()
    assert len(process_keys) >= 2 and sum(billed.values()) > 100 * MILLIUNITS_PER_UNIT
    if number is signal.SIGKILL:
        lost = received - billed
        second = sum(received.values()) / scenario.seconds
        assert sum(lost.values()) < 2 * second  # of both workers, at the rate of the whole run
    assert billed == received - lost
