"""Several real processes over loopback, with faults between them; every history is judged as a whole."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from roadpulley.testbed.fleet import Fleet, FleetPlan
from roadpulley.testbed.holders import Judgement

pytestmark = [pytest.mark.alone, pytest.mark.timeout(90)]

Play = Callable[[Fleet], Awaitable[None]]


def played(folder: Path, plan: FleetPlan, play: Play) -> Judgement:
    async def run() -> Judgement:
        async with Fleet(plan, folder) as fleet:
            await play(fleet)
            return fleet.judge()

    found = asyncio.run(run())
    assert found.broken == []
    assert found.holdings and found.acts
    return found


def test_a_killed_holder_is_followed(tmp_path: Path) -> None:
    async def play(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        holder, fence = fleet.holder("duty-0"), fleet.fence("duty-0")
        assert holder is not None
        fleet.kill(holder)
        await fleet.until(lambda: fleet.holder("duty-0") != holder, "another holder")
        assert fleet.fence("duty-0") > fence

    played(tmp_path, FleetPlan(), play)


def test_a_holder_that_stood_still_between_its_check_and_its_act_is_refused(tmp_path: Path) -> None:
    """SIGSTOP at any point of its loop of acts; on waking up it acts once more, if it was past its check."""

    async def play(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        for _ in range(3):
            holder = fleet.holder("duty-0")
            assert holder is not None
            fleet.stop(holder)
            await fleet.until(lambda holder=holder: fleet.holder("duty-0") != holder, "another holder")
            fleet.go_on(holder)
            await fleet.all_held()

    played(tmp_path, FleetPlan(duties=1), play)


def test_a_planned_hand_over_leaves_no_gap(tmp_path: Path) -> None:
    async def play(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        holder = fleet.holder("duty-0")
        assert holder is not None
        await fleet.end(holder)
        await fleet.until(lambda: fleet.holder("duty-0") != holder, "another holder", 0.9)  # under a lease

    played(tmp_path, FleetPlan(lease=4.0), play)
