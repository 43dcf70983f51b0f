"""Workers on one address, as processes in the testbed and checked by its auditor."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

import pytest
import uvloop
from loopback import until
from worker_world import assert_outcome_ok, has_exited, log_of, run_scenario, workers_of

from roadpulley.core.clock import now_ms
from roadpulley.testbed.installation import Installation
from roadpulley.testbed.ledger import Ended, Pause
from roadpulley.testbed.scenario import Load, Scenario

pytestmark = pytest.mark.timeout(90)


def test_workers_share_an_address_without_violations() -> None:
    worker_pids: list[int] = []

    async def act(world: Installation) -> None:
        await until(lambda: log_of(world).count("serves at port") == 3)
        worker_pids.extend(workers_of(world))

    assert_outcome_ok(run_scenario("3", act))
    assert len(worker_pids) == 3


def test_killed_worker_is_restarted_while_others_serve() -> None:
    async def act(world: Installation) -> None:
        await until(lambda: len(workers_of(world)) == 3)
        victim = workers_of(world)[1]
        world.ledger.ended.append(Ended("n0", now_ms(), "killed"))
        os.kill(victim, signal.SIGKILL)
        await until(lambda: "code -9" in log_of(world))
        await until(lambda: len(workers_of(world)) == 3 and victim not in workers_of(world))

    assert_outcome_ok(run_scenario("3", act))


def test_hung_worker_is_killed_for_missing_heartbeats() -> None:
    """The kernel assigns connections to the hung worker as long as its process lives."""

    async def act(world: Installation) -> None:
        await until(lambda: log_of(world).count("serves at port") == 3)
        victim = workers_of(world)[0]
        pause = Pause("n0", now_ms())
        world.ledger.pauses.append(pause)
        os.kill(victim, signal.SIGSTOP)
        await until(lambda: "no beat for" in log_of(world))
        pause.until = now_ms()
        world.ledger.ended.append(Ended("n0", now_ms(), "killed"))
        await until(lambda: log_of(world).count("serves at port") == 4)

    assert_outcome_ok(run_scenario("3", act, seconds=9.0))


def test_rolling_replacement_loses_no_request() -> None:
    async def act(world: Installation) -> None:
        await until(lambda: log_of(world).count("serves at port") == 2)
        old = workers_of(world)
        world.gateways["n0"].signal(signal.SIGHUP)
        await until(lambda: log_of(world).count("serves at port") == 4)
        assert not set(old) & set(workers_of(world))

    outcome = run_scenario("2", act, seconds=10.0)
    assert_outcome_ok(outcome)
    assert outcome.stats.all.ends["unanswered"] == 0


def test_number_of_workers_follows_its_file(tmp_path: Path) -> None:
    file = tmp_path / "workers"
    file.write_text("2\n")

    async def act(world: Installation) -> None:
        await until(lambda: log_of(world).count("serves at port") == 2)
        file.write_text("4\n")
        world.gateways["n0"].signal(signal.SIGHUP)
        await until(
            lambda: log_of(world).count("serves at port") == 6
        )  # two new workers and two replacements
        await until(lambda: len(workers_of(world)) == 4)
        file.write_text("none\n")
        world.gateways["n0"].signal(signal.SIGHUP)
        await until(lambda: "not replaced, the workers stay as they are" in log_of(world))
        assert len(workers_of(world)) == 4

    outcome = run_scenario(str(file), act, seconds=10.0)
    assert_outcome_ok(outcome)
    assert outcome.stats.all.ends["unanswered"] == 0


def test_workers_drain_on_sigterm_and_exit_when_the_supervisor_is_killed() -> None:
    for number in (signal.SIGTERM, signal.SIGKILL):

        async def work(number: signal.Signals = number) -> None:
            scenario = Scenario(gateways=1, workers="2", nodes=2, load=Load(rate=1))
            async with asyncio.timeout(40), Installation(scenario) as world:
                process = world.gateways["n0"]
                await until(lambda: log_of(world).count("serves at port") == 2)
                pids = workers_of(world)
                process.called = True
                process.signal(number)
                assert await process.ended(20)  # the log is closed once the last worker has exited
                assert process.process is not None
                assert process.process.returncode == (0 if number is signal.SIGTERM else -9)
                await until(
                    lambda: all(has_exited(pid) for pid in pids)
                )  # exit follows shortly after the files are closed

        uvloop.run(work())
