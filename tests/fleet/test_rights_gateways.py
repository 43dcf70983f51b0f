"""Rights in gateways that serve clients: real processes under load, judged by what nodes were sent."""

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
# All customers at all gateways, at six times their quota, which is three times their ceiling.
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


def played(scenario: Scenario) -> tuple[Outcome, int]:
    """What came of it, and how many asks for rights were answered by the gateways that live at its end."""

    async def work() -> tuple[Outcome, int]:
        async with asyncio.timeout(90), Installation(scenario) as world:
            running = asyncio.create_task(world.run())
            await asyncio.sleep(scenario.seconds - 1)
            asks = 0
            for name in world.gateways:
                with suppress(ValidationError):  # one that was killed starts once its last worker has drained
                    found = await asyncio.to_thread(call_agent, world.folder / "fleet", name, "limits")
                    asks += found["counts"].get("asks", 0)
            return await running, asks

    return uvloop.run(work())


def test_ceilings_hold_while_the_gateways_that_give_out_rights_are_killed() -> None:
    """Any of them may be it: two of the five are killed one after the other, and come back."""
    faults = tuple(Fault(at, "kill", name, seconds=1.0) for at, name in ((6.0, "n0"), (8.0, "n1")))
    outcome, asks = played(SCENARIO.with_(faults=faults))
    assert outcome.verdict.ok, "\n".join(outcome.verdict.lines())
    assert asks > 20
