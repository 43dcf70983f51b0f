"""Workers on one address, as processes in the testbed's world, judged by its auditor."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

import pytest
import uvloop
from loopback import until
from worker_world import gone, held, log_of, play, workers_of

from roadpulley.core.clock import now_ms
from roadpulley.testbed.installation import Installation
from roadpulley.testbed.ledger import Ended, Pause
from roadpulley.testbed.scenario import Load, Scenario

pytestmark = pytest.mark.timeout(90)


def test_workers_share_an_address_and_every_rule_holds() -> None:
    seen: list[int] = []

    async def act(world: Installation) -> None:
        await until(lambda: log_of(world).count("serves at port") == 3)
        seen.extend(workers_of(world))

    held(play("3", act))
    assert len(seen) == 3


def test_a_worker_that_is_killed_is_started_again_and_the_rest_serve_on() -> None:
    async def act(world: Installation) -> None:
        await until(lambda: len(workers_of(world)) == 3)
        victim = workers_of(world)[1]
        world.ledger.ended.append(Ended("n0", now_ms(), "killed"))
        os.kill(victim, signal.SIGKILL)
        await until(lambda: "code -9" in log_of(world))
        await until(lambda: len(workers_of(world)) == 3 and victim not in workers_of(world))

    held(play("3", act))


def test_a_worker_that_hangs_is_killed_for_its_missing_beat() -> None:
    """The kernel goes on giving it connections as long as it lives."""

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

    held(play("3", act, seconds=9.0))


def test_all_workers_are_replaced_one_by_one_and_no_request_is_lost() -> None:
    async def act(world: Installation) -> None:
        await until(lambda: log_of(world).count("serves at port") == 2)
        old = workers_of(world)
        world.gateways["n0"].signal(signal.SIGHUP)
        await until(lambda: log_of(world).count("serves at port") == 4)
        assert not set(old) & set(workers_of(world))

    outcome = play("2", act, seconds=10.0)
    held(outcome)
    assert outcome.stats.all.ends["unanswered"] == 0


def test_the_number_of_workers_follows_its_file(tmp_path: Path) -> None:
    file = tmp_path / "workers"
    file.write_text("2\n")

    async def act(world: Installation) -> None:
        await until(lambda: log_of(world).count("serves at port") == 2)
        file.write_text("4\n")
        world.gateways["n0"].signal(signal.SIGHUP)
        await until(lambda: log_of(world).count("serves at port") == 6)  # two more, and two replaced
        await until(lambda: len(workers_of(world)) == 4)
        file.write_text("none\n")
        world.gateways["n0"].signal(signal.SIGHUP)
        await until(lambda: "not replaced, the workers stay as they are" in log_of(world))
        assert len(workers_of(world)) == 4

    outcome = play(str(file), act, seconds=10.0)
    held(outcome)
    assert outcome.stats.all.ends["unanswered"] == 0


def test_all_end_in_order_on_sigterm_and_none_outlives_a_supervisor_that_is_killed() -> None:
    for number in (signal.SIGTERM, signal.SIGKILL):

        async def work(number: signal.Signals = number) -> None:
            scenario = Scenario(gateways=1, workers="2", nodes=2, load=Load(rate=1))
            async with asyncio.timeout(40), Installation(scenario) as world:
                process = world.gateways["n0"]
                await until(lambda: log_of(world).count("serves at port") == 2)
                pids = workers_of(world)
                process.called = True
                process.signal(number)
                assert await process.ended(20)  # its log ends with the last of them
                assert process.process is not None
                assert process.process.returncode == (0 if number is signal.SIGTERM else -9)
                await until(lambda: all(gone(pid) for pid in pids))  # a moment after their files are closed

        uvloop.run(work())
