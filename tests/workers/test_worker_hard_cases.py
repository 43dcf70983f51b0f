"""Failures of several workers at inopportune moments, under load and checked by the auditor."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

import pytest
from loopback import until
from worker_world import assert_outcome_ok, log_of, run_scenario, workers_of

from roadpulley.core.clock import now_ms
from roadpulley.testbed.installation import Installation
from roadpulley.testbed.ledger import Ended
from roadpulley.testbed.quotas import uses
from roadpulley.workers.supervisor import SupervisorSettings

pytestmark = pytest.mark.timeout(120)


def count_serving_reports(world: Installation) -> int:
    """Return how many times a worker has started to serve."""
    return log_of(world).count("serves at port")


def test_suspended_supervisor_kills_no_worker() -> None:
    """Guards against losing every open request after the supervisor was suspended for 3 s.

    It killed all workers with "no beat for 3.4 s", although their heartbeats had arrived and were unread.
    """

    async def act(world: Installation) -> None:
        await until(lambda: count_serving_reports(world) == 3)
        workers, supervisor = workers_of(world), world.gateways["n0"]
        supervisor.signal(signal.SIGSTOP)
        await asyncio.sleep(SupervisorSettings().heartbeat_timeout_s + 0.4)
        supervisor.signal(signal.SIGCONT)
        await asyncio.sleep(1.0)  # it decides within `confirmation_delay_s`, 0.25 s
        assert workers_of(world) == workers and "is killed" not in log_of(world)

    assert_outcome_ok(run_scenario("3", act, seconds=6.0))


def test_all_workers_are_replaced_under_fourfold_load() -> None:
    async def act(world: Installation) -> None:
        await until(lambda: count_serving_reports(world) == 3)
        old = workers_of(world)
        world.gateways["n0"].signal(signal.SIGHUP)
        await until(lambda: count_serving_reports(world) == 6)
        assert not set(old) & set(workers_of(world))

    outcome = run_scenario("3", act, seconds=9.0, rate=240.0)
    assert_outcome_ok(outcome)
    assert outcome.stats.all.ends["unanswered"] == 0


def test_crash_looping_worker_is_retried_with_backoff_while_others_serve() -> None:
    """The worker is killed as soon as it serves, together with its open requests."""
    gaps: list[float] = []

    async def act(world: Installation) -> None:
        await until(lambda: count_serving_reports(world) == 3)
        lasting = set(workers_of(world)[1:])
        for deaths in range(1, 6):
            victim = next(pid for pid in workers_of(world) if pid not in lasting)
            world.ledger.ended.append(Ended("n0", now_ms(), "killed"))
            os.kill(victim, signal.SIGKILL)
            await until(lambda deaths=deaths: log_of(world).count("code -9") == deaths)
            died = now_ms()
            await until(lambda victim=victim: len(set(workers_of(world)) - {victim}) == 3)
            gaps.append(now_ms() - died)
            await until(lambda deaths=deaths: count_serving_reports(world) == 3 + deaths)
        assert lasting <= set(workers_of(world))

    assert_outcome_ok(run_scenario("3", act, seconds=6.0))
    # The backoffs are 0.1, 0.2, 0.4, 0.8 and 1.6 s, so the last is four times the third.
    assert gaps[4] > 2 * gaps[2] > 0


def test_broken_configuration_costs_no_worker_and_no_request() -> None:
    """Guards against a gateway that is away as long as a broken file lies there."""

    async def act(world: Installation) -> None:
        await until(lambda: count_serving_reports(world) == 3)
        old = set(workers_of(world))
        path = world.folder / "n0.json"
        right = path.read_text()
        path.write_text("{")
        world.gateways["n0"].signal(signal.SIGHUP)
        await until(lambda: log_of(world).count("not replaced, the workers stay as they are") == 1)
        assert set(workers_of(world)) == old
        path.write_text(right)
        world.gateways["n0"].signal(signal.SIGHUP)
        await until(lambda: count_serving_reports(world) == 6)
        assert not old & set(workers_of(world))

    outcome = run_scenario("3", act, seconds=8.0)
    assert_outcome_ok(outcome)
    assert outcome.stats.all.ends["unanswered"] == 0


def test_worker_that_restarts_does_not_read_a_broken_configuration() -> None:
    """What is open at the killed worker is lost with it, as its clients know."""

    async def act(world: Installation) -> None:
        await until(lambda: count_serving_reports(world) == 3)
        old = set(workers_of(world))
        (world.folder / "n0.json").write_text("{")
        victim = min(old)
        world.ledger.ended.append(Ended("n0", now_ms(), "killed"))
        os.kill(victim, signal.SIGKILL)
        await until(lambda: count_serving_reports(world) == 4)  # with the settings that were accepted
        assert set(workers_of(world)) > old - {victim} and "code 2" not in log_of(world)

    assert_outcome_ok(run_scenario("3", act, seconds=5.0))


def test_number_of_workers_changes_from_two_to_six_and_back_under_load(tmp_path: Path) -> None:
    file = tmp_path / "workers"
    file.write_text("2")

    async def act(world: Installation) -> None:
        await until(lambda: count_serving_reports(world) == 2)
        for count, served in (
            (6, 2 + 4 + 2),
            (2, 2 + 4 + 2 + 2),
        ):  # new workers, and replacements of the others
            file.write_text(str(count))
            world.gateways["n0"].signal(signal.SIGHUP)
            await until(lambda served=served: count_serving_reports(world) == served)
            await until(lambda count=count: len(workers_of(world)) == count)

    outcome = run_scenario(str(file), act, seconds=10.0, rate=120.0)
    assert_outcome_ok(outcome)
    assert outcome.stats.all.ends["unanswered"] == 0


def test_worker_that_receives_all_requests_gets_the_whole_quotas() -> None:
    """One connection carries all clients. The other workers get no requests and must not hold shares idle."""
    outcome = run_scenario("3", seconds=10.0, pipeline=32)
    assert_outcome_ok(outcome)
    for plan in ("basic", "business"):  # an even share would be a third; use is 95 to 98%
        use = uses(outcome.ledger, outcome.terms, since=4_000.0)[plan]
        assert use.due > 30 and use.share > 0.8, use
