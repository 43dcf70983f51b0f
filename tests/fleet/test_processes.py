"""Fleets of real processes on loopback, with injected faults; the whole history of each run is checked."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from roadpulley.fleet.control import call_agent
from roadpulley.fleet.duties.terms import Ballot, Prepare, ProcessId
from roadpulley.fleet.peers.envelope import Codec
from roadpulley.testbed.fleet import Fleet, FleetPlan
from roadpulley.testbed.holders import Judgement, read_lines

pytestmark = pytest.mark.timeout(90)

Scenario = Callable[[Fleet], Awaitable[None]]


def run_scenario(folder: Path, plan: FleetPlan, scenario: Scenario) -> Judgement:
    async def run() -> Judgement:
        async with Fleet(plan, folder) as fleet:
            await scenario(fleet)
            return fleet.judge()

    judgement = asyncio.run(run())
    assert judgement.broken == []
    assert judgement.holdings and judgement.acts
    return judgement


def holder_of(fleet: Fleet, duty: str = "duty-0") -> str:
    name = fleet.holder(duty)
    assert name is not None
    return name


async def wait_for_other_holder(fleet: Fleet, than: str, duty: str = "duty-0") -> None:
    await fleet.until(lambda: fleet.holder(duty) != than, f"another holder than {than}")


def test_duty_moves_after_a_kill_and_without_a_gap_after_a_planned_end(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        first, fence = holder_of(fleet), fleet.fence("duty-0")
        fleet.kill(first)
        await wait_for_other_holder(fleet, first)
        assert fleet.fence("duty-0") > fence
        await fleet.start(first)
        await fleet.until(lambda: sees_alive(fleet, holder_of(fleet), first), "the one that came back")
        await asyncio.sleep(fleet.plan.lease * 1.1)  # until it votes again
        second = holder_of(fleet)
        await fleet.end(second)
        await fleet.until(lambda: fleet.holder("duty-0") != second, "another holder", 1.8)  # under a lease

    run_scenario(tmp_path, FleetPlan(lease=2.5), scenario)


def sees_alive(fleet: Fleet, observer: str, observed: str) -> bool:
    """Whether instance `observer` sees instance `observed` as an alive member."""
    lines = read_lines(fleet.members[observer].log.read_bytes().splitlines())
    last = [e["state"] for e in lines if e["event"] == "member" and e["who"] == observed]
    return bool(last) and last[-1] == "alive"


def test_act_of_a_holder_paused_after_its_check_is_rejected(tmp_path: Path) -> None:
    """SIGSTOP after an act: the next check follows 20 ms later, and its act 400 ms after the check."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.start()
        for _ in range(5):  # on an overloaded machine, the stop may come too late
            await fleet.all_held()
            holder = holder_of(fleet)
            await asyncio.sleep(fleet.plan.every * 5)
            fleet.stop(holder)
            await wait_for_other_holder(fleet, holder)
            fleet.go_on(holder)
            await fleet.all_held()
            if any(not act.taken for act in fleet.register.acts):
                return

    judgement = run_scenario(tmp_path, FleetPlan(duties=1, pause=0.4), scenario)
    assert judgement.refused


@pytest.mark.parametrize("cut_direction", ["both", "outbound", "inbound"])
def test_partitioned_holder_stops_before_another_begins(tmp_path: Path, cut_direction: str) -> None:
    """The holder still reaches its register; only its links to the voters are cut, one way or both."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        holder = holder_of(fleet)
        for other in fleet.plan.names:
            if other != holder and cut_direction != "inbound":
                fleet.links.cut(holder, other)
            if other != holder and cut_direction != "outbound":
                fleet.links.cut(other, holder)
        await wait_for_other_holder(fleet, holder)
        fleet.links.heal()
        await fleet.all_held()

    run_scenario(tmp_path, FleetPlan(duties=1), scenario)


def test_voter_that_restarts_within_a_lease_does_not_vote_at_once(tmp_path: Path) -> None:
    """The holder is paused, and one of the two other voters restarts without its grants."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        holder = holder_of(fleet)
        other = next(n for n in fleet.plan.names if n != holder)
        fleet.stop(holder)
        fleet.kill(other)
        await fleet.gone(other)
        await fleet.start(other)
        await wait_for_other_holder(fleet, holder)
        fleet.go_on(holder)
        await fleet.all_held()

    run_scenario(tmp_path, FleetPlan(duties=1, lease=2.5), scenario)


@pytest.mark.parametrize("offset_ms", [0, -3_600_000])
def test_fences_rise_after_all_voters_restart_without_state(tmp_path: Path, offset_ms: int) -> None:
    """With clocks that stepped back by an hour as well: the registers reject the low fences."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        before = fleet.fence("duty-0")
        fleet.kill(*fleet.plan.names)
        await fleet.gone(*fleet.plan.names)
        await fleet.start(offset_ms=offset_ms)
        await fleet.all_held()
        assert fleet.fence("duty-0") > before
        rejected_claims = sum(1 for a in fleet.register.claims if not a.taken and a.duty == "duty-0")
        assert rejected_claims == 0 if offset_ms == 0 else rejected_claims > 0

    run_scenario(tmp_path, FleetPlan(duties=1), scenario)


def test_no_holding_begins_without_a_majority_and_one_begins_after_the_partition(tmp_path: Path) -> None:
    """A partition of five voters into two, two and one, which heals later."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        fleet.links.part(("v0", "v1"), ("v2", "v3"), ("v4",))
        await asyncio.sleep(fleet.plan.lease * 1.5)
        acts = len(fleet.register.acts)
        await asyncio.sleep(fleet.plan.lease)
        assert len(fleet.register.acts) == acts
        fleet.links.heal()
        await fleet.all_held()

    run_scenario(tmp_path, FleetPlan(voters=5, duties=1), scenario)


def test_late_grants_do_not_extend_the_holding(tmp_path: Path) -> None:
    """Grants reach the holder 0.4 of a lease late, and it holds on.

    Then its requests are cut off while the last grants are in flight: these must not extend the holding.
    """

    async def holds_with_late_grants(fleet: Fleet) -> bool:
        """Whether the holder holds on; on an overloaded machine it may not."""
        await fleet.all_held()
        holder, before = holder_of(fleet), fleet.fence("duty-0")
        for other in fleet.plan.names:
            if other != holder:
                fleet.links.slow(other, holder, 400 * fleet.plan.lease)
        await asyncio.sleep(fleet.plan.lease * 1.5)
        acts = fleet.acts("duty-0")
        await asyncio.sleep(fleet.plan.every * 20)
        holds = fleet.fence("duty-0") == before and fleet.acts("duty-0") > acts
        if not holds:
            fleet.links.disturb()
        return holds

    async def scenario(fleet: Fleet) -> None:
        await fleet.start()
        assert (
            await holds_with_late_grants(fleet)
            or await holds_with_late_grants(fleet)
            or await holds_with_late_grants(fleet)
        )
        holder = holder_of(fleet)
        for other in fleet.plan.names:
            if other != holder:
                fleet.links.cut(holder, other)
        await wait_for_other_holder(fleet, holder)
        fleet.links.heal()
        fleet.links.disturb()
        await fleet.all_held()

    run_scenario(tmp_path, FleetPlan(duties=1, lease=2.5), scenario)


def test_datagrams_that_arrive_after_their_holding_are_ignored(tmp_path: Path) -> None:
    """Requests and grants that arrive after their holding don't count.

    Datagrams first take 10 s, so that they arrive during later holdings; then about as long as a holding
    lasts. Some are duplicated, and most are out of order.
    """

    async def scenario(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        fleet.links.disturb(delay_ms=10_000, repeats=0.3)
        await asyncio.sleep(fleet.plan.lease * 2)
        fleet.links.disturb(delay_ms=700, jitter_ms=900, repeats=0.3)
        await asyncio.sleep(3.0)
        fleet.links.disturb()
        passed = fleet.links.passed
        await fleet.all_held()
        await asyncio.sleep(10.0)  # until the first ones have arrived
        assert fleet.links.passed > passed
        await fleet.all_held()

    run_scenario(tmp_path, FleetPlan(), scenario)


def test_invalid_datagrams_are_counted_and_dropped(tmp_path: Path) -> None:
    """Random, truncated, wrongly signed and foreign datagrams are counted, and change nothing."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        fences = [fleet.fence(d) for d in fleet.plan.duty_names]
        body = Prepare("duty-0", Ballot(2**52, ProcessId("x", 7)), (0, 0))
        key = (tmp_path / "fleet.key").read_bytes()
        codecs = [
            Codec("trial", "x", 7, b"z" * 32),
            Codec("other", "x", 7, key),
            Codec("trial", "x", 7, None),
        ]
        wrong = [c.pack(1, [c.encode_body(body)])[0] for c in codecs] + [
            b"",
            b"x" * 1300,
            fleet.rng.randbytes(400),
        ]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for _ in range(200):
                for data in wrong:
                    for address in fleet.links.real.values():
                        sock.sendto(data[: fleet.rng.randint(0, 2 * len(data))], address)
        await fleet.all_held()
        assert [fleet.fence(d) for d in fleet.plan.duty_names] == fences
        for name in fleet.plan.names:
            dropped = call_agent(tmp_path / f"run-{name}", name, "members")["datagrams"]["dropped"]
            assert {"unsigned", "foreign", "oversized"} <= set(dropped)

    run_scenario(tmp_path, FleetPlan(lease=2.5), scenario)


def test_slow_holder_stops_before_the_grants_of_fast_voters_expire(tmp_path: Path) -> None:
    """Clocks diverge by the allowed drift; the holder is cut off and acts on by its own clock."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.start("v0", rate=0.95)
        await fleet.start("v1", "v2", rate=1.05)
        await fleet.until(lambda: fleet.holder("duty-0") is not None, "a holder")
        for _ in range(2):
            holder = holder_of(fleet)
            fleet.links.part((holder,), [n for n in fleet.plan.names if n != holder])
            await wait_for_other_holder(fleet, holder)
            fleet.links.heal()
            await fleet.all_held()

    run_scenario(tmp_path, FleetPlan(duties=1, margin=0.02), scenario)


def test_two_processes_of_one_name_have_one_vote_during_an_upgrade(tmp_path: Path) -> None:
    """An upgrade during a holding: the new process runs in parallel, then takes over name and address."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        holder = holder_of(fleet)
        second = await fleet.start_beside(holder)
        await fleet.until(lambda: b"address is taken" in second.log.read_bytes(), "no second vote")
        await fleet.all_held()
        await fleet.end(holder)
        fleet.members[holder].process = second.process
        await fleet.until(lambda: b"address is ours now" in second.log.read_bytes(), "the address")
        await fleet.all_held()
        # The new process votes at this address: with one other voter killed, a majority remains.
        await asyncio.sleep(fleet.plan.lease * 1.2)
        other = next(n for n in fleet.plan.names if n != holder)
        fleet.kill(other)
        await fleet.all_held()

    run_scenario(tmp_path, FleetPlan(), scenario)


def test_all_of_64_duties_move_when_their_holder_is_killed(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        counts = {n: sum(1 for d in fleet.plan.duty_names if fleet.holder(d) == n) for n in fleet.plan.names}
        victim = max(counts, key=lambda n: counts[n])
        fleet.kill(victim)
        await fleet.gone(victim)
        await fleet.all_held()
        assert victim not in {fleet.holder(d) for d in fleet.plan.duty_names}

    run_scenario(tmp_path, FleetPlan(duties=64, lease=1.5, every=0.2), scenario)


def test_failing_work_moves_between_instances_with_a_cooldown(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        fleet.register.failing = True
        await asyncio.sleep(4.0)
        # The cooldowns are 0.5, 1 and 2 s.
        takes = sum(e["event"] == "takes" for e in log_events(fleet) if e.get("duty") == "duty-0")
        assert 2 <= takes <= 6
        fleet.register.failing = False
        await fleet.all_held()

    run_scenario(tmp_path, FleetPlan(duties=1), scenario)


def log_events(fleet: Fleet) -> list[dict[str, Any]]:
    return [e for m in fleet.members.values() for e in read_lines(m.log.read_bytes().splitlines())]


def test_voter_is_replaced_while_duties_are_held(tmp_path: Path) -> None:
    """One of three voters is killed for good; an instance without a vote replaces it, during faults."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        removed_voter = next(n for n in fleet.plan.names if n != "v0" and n.startswith("v"))
        fleet.kill(removed_voter)
        for change in ({"remove": removed_voter}, {"add": {"o0": ""}}):
            response = call_agent(tmp_path / "run-v0", "v0", "change", **change)
            assert response["step"] != "failed"
            fleet.kill("o1")  # a candidate restarts during the change, and its duties move
            await fleet.gone("o1")
            await fleet.start("o1")
            await fleet.until(lambda: change_status(tmp_path)["step"] in ("done", "failed"), "the change")
            await fleet.all_held()
            assert change_status(tmp_path)["step"] == "done", change_status(tmp_path)
        assert sorted(change_status(tmp_path)["voters"]) == sorted({"v0", "v1", "v2", "o0"} - {removed_voter})
        await fleet.all_held()
        # The new voter counts: with another one killed, the two that remain are a majority.
        other = next(n for n in ("v1", "v2") if n != removed_voter)
        fleet.kill(other)
        await fleet.gone(other)
        await fleet.all_held()

    run_scenario(tmp_path, FleetPlan(others=2, duties=3, lease=1.0), scenario)


def change_status(folder: Path) -> dict[str, Any]:
    return call_agent(folder / "run-v0", "v0", "change-status")


def test_instance_with_a_blocked_event_loop_does_not_act(tmp_path: Path) -> None:
    """Its worker threads continue: each act checks the holding by the clock, without the event loop."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        holder = holder_of(fleet)
        fleet.stall(holder)
        await wait_for_other_holder(fleet, holder)
        await asyncio.sleep(fleet.plan.lease * 3)
        await fleet.all_held()

    run_scenario(tmp_path, FleetPlan(duties=2), scenario)
