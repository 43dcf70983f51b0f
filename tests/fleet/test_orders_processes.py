"""Orders in several real processes with faults: publishers fail, are suspended, and are partitioned."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from roadpulley.checks import ValidationError
from roadpulley.fleet.control import call_agent
from roadpulley.fleet.orders.messages import Order
from roadpulley.fleet.rights.messages import Limit
from roadpulley.testbed.fleet import Fleet, FleetPlan
from roadpulley.testbed.holders import read_lines

pytestmark = pytest.mark.timeout(90)

PLAN = FleetPlan(voters=3, others=2, duties=0, limit=Limit(40.0, 20.0), orders=True)
TIMEOUT_S = 30.0

Play = Callable[[Fleet], Awaitable[None]]


def run_scenario(folder: Path, scenario: Play, plan: FleetPlan = PLAN) -> None:
    async def run() -> None:
        async with Fleet(plan, folder) as fleet:
            await fleet.start()
            await scenario(fleet)

    asyncio.run(run())


async def call(fleet: Fleet, name: str, command: str, **args: Any) -> dict[str, Any]:
    """Calls an instance, and retries until it has started; returns its answer."""
    deadline = time.monotonic() + TIMEOUT_S
    while True:
        try:
            return await asyncio.to_thread(call_agent, fleet.folder / f"run-{name}", name, command, **args)
        except ValidationError as error:
            if "no instance answers" not in str(error) or time.monotonic() > deadline:
                raise
        await asyncio.sleep(0.02)


async def order(fleet: Fleet, name: str, new_order: Order, lift: bool = False) -> list[int]:
    """Gives an order at one instance; returns the version of the acknowledged book."""
    values = [getattr(new_order, field) for field in new_order.__struct_fields__]
    status = await call(fleet, name, "order", order=values, lift=lift)
    deadline = time.monotonic() + TIMEOUT_S
    while status["step"] == "waiting":
        assert time.monotonic() < deadline, status
        await asyncio.sleep(0.02)
        status = await call(fleet, name, "order-status", ticket=status["ticket"])
    assert status["step"] == "done", status
    return list(status["id"])


async def ordered_subjects(fleet: Fleet, name: str) -> set[str]:
    return {row["of"].split()[1] for row in (await call(fleet, name, "orders"))["orders"]}


async def wait_for_subjects(
    fleet: Fleet, names: list[str], wanted: set[str], timeout_s: float = TIMEOUT_S
) -> None:
    deadline = time.monotonic() + timeout_s
    while (subjects := [await ordered_subjects(fleet, name) for name in names]) != [wanted] * len(names):
        assert time.monotonic() < deadline, (subjects, wanted)
        await asyncio.sleep(0.02)


def current_publisher(fleet: Fleet) -> str:
    """The instance that last logged the start of a publisher."""
    starts: list[tuple[float, str]] = []
    for name, member in fleet.members.items():
        for line in read_lines(member.log.read_bytes().splitlines()) if member.log.exists() else []:
            if line["event"] == "publishes orders":
                starts.append((float(line["true_s"]), name))
    return max(starts)[1]


def block(customer: str, **more: Any) -> Order:
    return Order("block", "customer", customer, **more)


def test_orders_survive_killed_publishers(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        wanted: set[str] = set()
        for customer in ("a", "b", "c"):
            wanted.add(customer)
            previous_publisher = current_publisher(fleet) if len(wanted) > 1 else ""
            instance = next(n for n in PLAN.names if fleet.members[n].runs and n != previous_publisher)
            before = await order(fleet, instance, block(customer))
            killed = current_publisher(fleet)
            fleet.kill(killed)
            await fleet.gone(killed)
            await wait_for_subjects(fleet, [n for n in PLAN.names if n != killed], wanted)
            await fleet.start(killed)
            await wait_for_subjects(fleet, [killed], wanted)
        assert await order(fleet, "o1", block("a"), lift=True) > before
        await wait_for_subjects(fleet, PLAN.names, wanted - {"a"})

    run_scenario(tmp_path, scenario)


def test_suspended_publisher_undoes_nothing_after_it_resumes(tmp_path: Path) -> None:
    """When it resumes, it reads a call that arrived in the meantime. Another publisher is active by then."""

    async def scenario(fleet: Fleet) -> None:
        await order(fleet, "v0", block("a"))
        suspended = current_publisher(fleet)
        others = [n for n in PLAN.names if n != suspended]
        fleet.stop(suspended)
        pending_call = asyncio.create_task(order(fleet, others[0], block("b")))
        await pending_call
        assert current_publisher(fleet) != suspended
        await order(fleet, others[1], block("a"), lift=True)
        fleet.go_on(suspended)
        await wait_for_subjects(fleet, PLAN.names, {"b"})
        await asyncio.sleep(2 * PLAN.lease)
        assert [await ordered_subjects(fleet, n) for n in PLAN.names] == [{"b"}] * 5

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("cut_off", ["keep", "let-go"])
def test_isolated_instance_follows_its_book_for_the_lease_and_then_as_configured(
    tmp_path: Path, cut_off: str
) -> None:
    async def scenario(fleet: Fleet) -> None:
        await order(fleet, "v0", block("a"))
        await wait_for_subjects(fleet, PLAN.names, {"a"})
        isolated = next(n for n in ("o0", "o1") if n != current_publisher(fleet))
        fleet.links.part((isolated,), [n for n in PLAN.names if n != isolated])
        cut_at = time.monotonic()
        await order(fleet, "v0" if current_publisher(fleet) != "v0" else "v1", block("b"))
        while (await call(fleet, isolated, "orders"))["known"] == "newest":
            assert time.monotonic() - cut_at < PLAN.orders_holds + 1.0
            await asyncio.sleep(0.02)
        assert await ordered_subjects(fleet, isolated) == ({"a"} if cut_off == "keep" else set())
        log_entry = f'"they_are": "{"kept" if cut_off == "keep" else "let go"}"'
        await fleet.until(lambda: log_entry in fleet.members[isolated].log.read_text(), "it logs the policy")
        fleet.links.heal()
        await wait_for_subjects(fleet, PLAN.names, {"a", "b"})

    run_scenario(tmp_path, scenario, replace(PLAN, cut_off=cut_off))


def test_followers_restore_orders_after_all_voters_lose_their_memory(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await order(fleet, "v0", block("a"))
        await order(fleet, "v1", block("b"))
        await wait_for_subjects(fleet, PLAN.names, {"a", "b"})
        voters = PLAN.names[:3]
        fleet.kill(*voters)
        await fleet.gone(*voters)
        await fleet.start(*voters)
        await order(fleet, "o0", block("c"))
        await wait_for_subjects(fleet, PLAN.names, {"a", "b", "c"})

    run_scenario(tmp_path, scenario)


def test_voters_with_a_disk_restore_orders_after_all_instances_restart(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await order(fleet, "v0", block("a"))
        fleet.kill(*PLAN.names)
        await fleet.gone(*PLAN.names)
        await fleet.start()
        await order(fleet, "o0", block("b"))
        await wait_for_subjects(fleet, PLAN.names, {"a", "b"})

    run_scenario(tmp_path, scenario, replace(PLAN, state=True))


def test_duty_rises_above_the_fences_that_voters_have_promised(
    tmp_path: Path,
) -> None:
    """The files with the used fences are lost, and clocks are an hour back, but the voters' books remain."""

    async def scenario(fleet: Fleet) -> None:
        before = await order(fleet, "v0", block("a"))
        fleet.kill(*PLAN.names)
        await fleet.gone(*PLAN.names)
        for path in tmp_path.glob("state-*/*.fences"):
            path.unlink()
        for name in PLAN.names:
            await fleet.start(name, offset_ms=-3_600_000)
        assert await order(fleet, "o0", block("b")) > before
        await wait_for_subjects(fleet, PLAN.names, {"a", "b"})

    run_scenario(tmp_path, scenario, replace(PLAN, state=True))


def test_call_waits_for_a_majority_and_bad_links_repeat_no_call(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await order(fleet, "v0", block("a"))
        fleet.links.part(("v0",), ("v1",), ("v2", "o0", "o1"))
        pending_call = asyncio.create_task(order(fleet, "o0", block("b")))
        await asyncio.sleep(3 * PLAN.lease)
        assert not pending_call.done()
        fleet.links.heal()
        await pending_call
        fleet.links.disturb(loss=0.3, delay_ms=2, jitter_ms=60, repeats=0.3)
        await asyncio.gather(*(order(fleet, n, block(n)) for n in PLAN.names))
        await order(fleet, "v2", block("b"), lift=True)
        await wait_for_subjects(fleet, PLAN.names, {"a", *PLAN.names})

    run_scenario(tmp_path, scenario, replace(PLAN, lease=2.0, answer=0.2))


def test_order_ends_at_all_instances_together_despite_clock_skew(tmp_path: Path) -> None:
    """An instance whose clock is two seconds ahead does not end the order before the publisher does."""

    async def scenario(fleet: Fleet) -> None:
        await order(fleet, "v0", block("a"))
        fast_instance = next(n for n in ("o0", "o1") if n != current_publisher(fleet))
        await fleet.end(fast_instance)
        await fleet.start(fast_instance, offset_ms=2_000)
        end_time_ms = int(time.time() * 1000) + 5_000
        await order(fleet, "v0", block("b", ends_ms=end_time_ms))
        await wait_for_subjects(fleet, PLAN.names, {"a", "b"})
        while time.time() * 1000 < end_time_ms - 100:
            reports = [await call(fleet, n, "orders") for n in PLAN.names]
            assert [len(report["orders"]) for report in reports] == [2] * 5
            assert {report["known"] for report in reports} == {"newest"}  # by repeated polls
            await asyncio.sleep(0.1)
        await wait_for_subjects(fleet, PLAN.names, {"a"}, timeout_s=2.0)

    run_scenario(tmp_path, scenario)
