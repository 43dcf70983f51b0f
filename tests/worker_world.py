"""Runs a gateway with several workers in the testbed, for tests that interfere with it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import uvloop
from loopback import until

from roadpulley.testbed.installation import Installation, Outcome
from roadpulley.testbed.scenario import DiscoveryKind, Load, Scenario

Act = Callable[[Installation], Awaitable[None]]


def list_children(pid: int) -> list[int]:
    """Return the process ids of a supervisor's workers, the oldest first."""
    try:
        return [int(c) for c in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]
    except (FileNotFoundError, ProcessLookupError):
        return []


def has_exited(pid: int) -> bool:
    """Return whether a process has exited. A zombie counts, as it holds no resources."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "Z"
    except (FileNotFoundError, ProcessLookupError):
        return True


def run_scenario(
    workers: str,
    act: Act | None = None,
    seconds: float = 5.0,
    rate: float = 60.0,
    pipeline: int = 1,
    timeout_s: float = 60.0,
) -> Outcome:
    """Run a scenario with one gateway of this many workers; call `act` once the load has begun.

    With a `pipeline`, all clients share one connection while at most that many requests are open on it.
    """
    scenario = Scenario(
        name="workers",
        seconds=seconds,
        gateways=1,
        workers=workers,
        nodes=max(6, int(rate / 10)),
        discovery=DiscoveryKind(notice_ms=0.0),
        load=Load(rate=rate, spread=1, retries=2, pipeline=pipeline),
    )

    async def work() -> Outcome:
        async with asyncio.timeout(timeout_s), Installation(scenario) as world:
            running = asyncio.create_task(world.run())
            await until(lambda: world.stats.all.asked > 20)
            if act is not None:
                await act(world)
            return await running

    return uvloop.run(work())


def workers_of(world: Installation) -> list[int]:
    return list_children(world.gateways["n0"].pid)


def log_of(world: Installation) -> str:
    return (world.folder / "n0.log").read_text()


def assert_outcome_ok(outcome: Outcome) -> None:
    assert outcome.verdict.ok, "\n".join(outcome.verdict.lines())
    assert outcome.stats.all.ends["served"] > 0.6 * outcome.stats.all.asked
