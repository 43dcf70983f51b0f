"""Rights in gateways that serve clients: real processes under load, checked by the requests at the nodes."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest
import uvloop

from roadpulley.checks import ValidationError
from roadpulley.fleet.control import call_agent
from roadpulley.testbed.installation import Installation, Outcome
from roadpulley.testbed.scenario import DiscoveryKind, Fault, Load, Scenario

pytestmark = [pytest.mark.timeout(120), pytest.mark.alone]

GATEWAYS = 5
# All customers send to all gateways, at six times their quota, which is three times their ceiling.
LOAD = Load(rate=150.0, heavy=1.0, heavy_x=6.0, spread=GATEWAYS)
SCENARIO = Scenario(
    name="rights",
    seconds=14.0,
    gateways=GATEWAYS,
    workers="1",
    deployment="beyond",
    rights=0.7,
    nodes=20,
    discovery=DiscoveryKind(notice_ms=0.0),
    load=LOAD,
)


def run_scenario(scenario: Scenario) -> tuple[Outcome, int]:
    """Returns the outcome, and the requests for rights at the gateways that are alive at the end."""

    async def work() -> tuple[Outcome, int]:
        async with asyncio.timeout(90), Installation(scenario) as world:
            running = asyncio.create_task(world.run())
            await asyncio.sleep(scenario.seconds - 1)
            request_count = 0
            for name in world.gateways:
                with suppress(ValidationError):  # a killed gateway starts when its last worker has drained
                    report = await asyncio.to_thread(call_agent, world.folder / "fleet", name, "limits")
                    request_count += report["counts"].get("asks", 0)
            return await running, request_count

    return uvloop.run(work())


def test_ceilings_hold_while_allocator_gateways_are_killed() -> None:
    """Any gateway may be the allocator: two of the five are killed one after the other, and restart."""
    faults = tuple(Fault(at, "kill", name, seconds=1.0) for at, name in ((6.0, "n0"), (8.0, "n1")))
    outcome, request_count = run_scenario(SCENARIO.with_(faults=faults))
    assert outcome.verdict.ok, "\n".join(outcome.verdict.lines())
    assert request_count > 20
