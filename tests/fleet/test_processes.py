"""Several real processes over loopback, with faults between them; every history is judged as a whole."""

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


def held(fleet: Fleet, duty: str = "duty-0") -> str:
    name = fleet.holder(duty)
    assert name is not None
    return name


async def another(fleet: Fleet, than: str, duty: str = "duty-0") -> None:
    await fleet.until(lambda: fleet.holder(duty) != than, f"another holder than {than}")


def test_a_killed_holder_is_followed_and_a_planned_end_leaves_no_gap(tmp_path: Path) -> None:
    async def play(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        first, fence = held(fleet), fleet.fence("duty-0")
        fleet.kill(first)
        await another(fleet, first)
        assert fleet.fence("duty-0") > fence
        await fleet.start(first)
        await fleet.until(lambda: sees(fleet, held(fleet), first), "the one that came back")
        await asyncio.sleep(fleet.plan.lease * 1.1)  # until its vote counts again
        second = held(fleet)
        await fleet.end(second)
        await fleet.until(lambda: fleet.holder("duty-0") != second, "another holder", 1.8)  # under a lease

    played(tmp_path, FleetPlan(lease=2.5), play)


def sees(fleet: Fleet, who: str, whom: str) -> bool:
    """Whether the process that runs under a name is a living member to another."""
    lines = read_lines(fleet.members[who].log.read_bytes().splitlines())
    last = [e["state"] for e in lines if e["event"] == "member" and e["who"] == whom]
    return bool(last) and last[-1] == "alive"


def test_a_holder_that_stood_still_between_its_check_and_its_act_is_refused(tmp_path: Path) -> None:
    """SIGSTOP right after an act was taken up: the next check comes 20 ms later, the act 400 ms after
    that."""

    async def play(fleet: Fleet) -> None:
        await fleet.start()
        for _ in range(5):  # on a machine that stalls, a stop may come too late
            await fleet.all_held()
            holder = held(fleet)
            await asyncio.sleep(fleet.plan.every * 5)
            fleet.stop(holder)
            await another(fleet, holder)
            fleet.go_on(holder)
            await fleet.all_held()
            if any(not act.taken for act in fleet.register.acts):
                return

    found = played(tmp_path, FleetPlan(duties=1, pause=0.4), play)
    assert found.refused


@pytest.mark.parametrize("heard", ["by nobody", "by no voter", "no voter"])
def test_a_holder_that_is_cut_off_stops_before_another_begins(tmp_path: Path, heard: str) -> None:
    """It reaches what it acts on all the time; only its links to the voters are cut, one way or both."""

    async def play(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        holder = held(fleet)
        for other in fleet.plan.names:
            if other != holder and heard != "no voter":
                fleet.links.cut(holder, other)
            if other != holder and heard != "by no voter":
                fleet.links.cut(other, holder)
        await another(fleet, holder)
        fleet.links.heal()
        await fleet.all_held()

    played(tmp_path, FleetPlan(duties=1), play)


def test_a_voter_that_restarts_within_a_lease_does_not_vote_at_once(tmp_path: Path) -> None:
    """The holder goes, and so does one of the two voters that are left: what it granted is forgotten
    with it."""

    async def play(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        holder = held(fleet)
        other = next(n for n in fleet.plan.names if n != holder)
        fleet.stop(holder)
        fleet.kill(other)
        await fleet.gone(other)
        await fleet.start(other)
        await another(fleet, holder)
        fleet.go_on(holder)
        await fleet.all_held()

    played(tmp_path, FleetPlan(duties=1, lease=2.5), play)


@pytest.mark.parametrize("offset_ms", [0, -3_600_000])
def test_all_voters_restart_at_once_with_nothing(tmp_path: Path, offset_ms: int) -> None:
    """Also with clocks that stepped back by an hour meanwhile: the registers remember."""

    async def play(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        before = fleet.fence("duty-0")
        fleet.kill(*fleet.plan.names)
        await fleet.gone(*fleet.plan.names)
        await fleet.start(offset_ms=offset_ms)
        await fleet.all_held()
        assert fleet.fence("duty-0") > before
        lows = sum(1 for a in fleet.register.claims if not a.taken and a.duty == "duty-0")
        assert lows == 0 if offset_ms == 0 else lows > 0

    played(tmp_path, FleetPlan(duties=1), play)


def test_nobody_begins_without_a_majority_and_one_does_once_it_is_back(tmp_path: Path) -> None:
    """Five voters cut into two, two and one; then healed."""

    async def play(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        fleet.links.part(("v0", "v1"), ("v2", "v3"), ("v4",))
        await asyncio.sleep(fleet.plan.lease * 1.5)
        acts = len(fleet.register.acts)
        await asyncio.sleep(fleet.plan.lease)
        assert len(fleet.register.acts) == acts
        fleet.links.heal()
        await fleet.all_held()

    played(tmp_path, FleetPlan(voters=5, duties=1), play)


def test_time_counts_from_the_ask_where_answers_are_late(tmp_path: Path) -> None:
    """Grants reach the holder 0.4 of a lease late, and it goes on holding. Then nothing of it reaches the
    voters any more, while their last grants are on the way back: those give no more time than they had."""

    async def held_late(fleet: Fleet) -> bool:
        """Whether the holder holds on; on a machine that stalls it may not."""
        await fleet.all_held()
        holder, before = held(fleet), fleet.fence("duty-0")
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

    async def play(fleet: Fleet) -> None:
        await fleet.start()
        assert await held_late(fleet) or await held_late(fleet) or await held_late(fleet)
        holder = held(fleet)
        for other in fleet.plan.names:
            if other != holder:
                fleet.links.cut(holder, other)
        await another(fleet, holder)
        fleet.links.heal()
        fleet.links.disturb()
        await fleet.all_held()

    played(tmp_path, FleetPlan(duties=1, lease=2.5), play)


def test_datagrams_later_than_a_holding_are_worth_nothing(tmp_path: Path) -> None:
    """First each takes 10 s, so that asks and grants come in the middle of later holdings; then each takes
    about as long as a holding lasts; some come twice, most out of order."""

    async def play(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        fleet.links.disturb(delay_ms=10_000, repeats=0.3)
        await asyncio.sleep(fleet.plan.lease * 2)
        fleet.links.disturb(delay_ms=700, jitter_ms=900, repeats=0.3)
        await asyncio.sleep(3.0)
        fleet.links.disturb()
        passed = fleet.links.passed
        await fleet.all_held()
        await asyncio.sleep(10.0)  # until the first have come
        assert fleet.links.passed > passed
        await fleet.all_held()

    played(tmp_path, FleetPlan(), play)


def test_wrong_datagrams_cost_a_counter_and_no_more(tmp_path: Path) -> None:
    """Garbage, cuts, another key and another installation, from a stranger, at all instances that hold
    duties."""

    async def play(fleet: Fleet) -> None:
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

    played(tmp_path, FleetPlan(lease=2.5), play)


def test_a_slow_clock_of_the_holder_and_fast_ones_of_the_voters(tmp_path: Path) -> None:
    """As far apart as the settings allow; the holder is cut off and goes on by its own clock."""

    async def play(fleet: Fleet) -> None:
        await fleet.start("v0", rate=0.95)
        await fleet.start("v1", "v2", rate=1.05)
        await fleet.until(lambda: fleet.holder("duty-0") is not None, "a holder")
        for _ in range(2):
            holder = held(fleet)
            fleet.links.part((holder,), [n for n in fleet.plan.names if n != holder])
            await another(fleet, holder)
            fleet.links.heal()
            await fleet.all_held()

    played(tmp_path, FleetPlan(duties=1, margin=0.02), play)


def test_two_processes_of_one_name_are_one_vote_and_two_candidates(tmp_path: Path) -> None:
    """An upgrade in the middle of a holding: the next process runs beside, then takes name and address
    over."""

    async def play(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        holder = held(fleet)
        second = await fleet.start_beside(holder)
        await fleet.until(lambda: b"address is taken" in second.log.read_bytes(), "no second vote")
        await fleet.all_held()
        await fleet.end(holder)
        fleet.members[holder].process = second.process
        await fleet.until(lambda: b"address is ours now" in second.log.read_bytes(), "the address")
        await fleet.all_held()
        # The vote moved with the address: the other two are stopped in turn, and a majority is left.
        await asyncio.sleep(fleet.plan.lease * 1.2)
        other = next(n for n in fleet.plan.names if n != holder)
        fleet.kill(other)
        await fleet.all_held()

    played(tmp_path, FleetPlan(), play)


def test_sixty_four_duties_whose_holder_dies_are_all_taken_up_again(tmp_path: Path) -> None:
    async def play(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        counts = {n: sum(1 for d in fleet.plan.duty_names if fleet.holder(d) == n) for n in fleet.plan.names}
        victim = max(counts, key=lambda n: counts[n])
        fleet.kill(victim)
        await fleet.gone(victim)
        await fleet.all_held()
        assert victim not in {fleet.holder(d) for d in fleet.plan.duty_names}

    played(tmp_path, FleetPlan(duties=64, lease=1.5, every=0.2), play)


def test_work_that_fails_wherever_it_is_taken_does_not_travel_at_full_speed(tmp_path: Path) -> None:
    async def play(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        fleet.register.failing = True
        await asyncio.sleep(4.0)
        # Waits of 0.5, 1 and 2 s between them.
        takes = sum(e["event"] == "takes" for e in logged(fleet) if e.get("duty") == "duty-0")
        assert 2 <= takes <= 6
        fleet.register.failing = False
        await fleet.all_held()

    played(tmp_path, FleetPlan(duties=1), play)


def logged(fleet: Fleet) -> list[dict[str, Any]]:
    return [e for m in fleet.members.values() for e in read_lines(m.log.read_bytes().splitlines())]


def test_a_voter_is_replaced_while_leases_are_taken(tmp_path: Path) -> None:
    """One of three voters is killed for good; an instance that had no vote takes its place, under faults."""

    async def play(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        gone = next(n for n in fleet.plan.names if n != "v0" and n.startswith("v"))
        fleet.kill(gone)
        for how in ({"remove": gone}, {"add": {"o0": ""}}):
            said = call_agent(tmp_path / "run-v0", "v0", "change", **how)
            assert said["step"] != "failed"
            fleet.kill("o1")  # a candidate dies and comes back meanwhile: its duties are taken anew
            await fleet.gone("o1")
            await fleet.start("o1")
            await fleet.until(lambda: status(tmp_path)["step"] in ("done", "failed"), "the change")
            await fleet.all_held()
            assert status(tmp_path)["step"] == "done", status(tmp_path)
        assert sorted(status(tmp_path)["voters"]) == sorted({"v0", "v1", "v2", "o0"} - {gone})
        await fleet.all_held()
        # The new voter counts: with another one stopped, the two that are left are a majority.
        other = next(n for n in ("v1", "v2") if n != gone)
        fleet.kill(other)
        await fleet.gone(other)
        await fleet.all_held()

    played(tmp_path, FleetPlan(others=2, duties=3, lease=1.0), play)


def status(folder: Path) -> dict[str, Any]:
    return call_agent(folder / "run-v0", "v0", "change-status")


def test_a_loop_that_is_full_for_three_leases_holds_nothing_meanwhile(tmp_path: Path) -> None:
    """Its worker threads go on: each act asks whether it is held still, by the clock and not by the loop."""

    async def play(fleet: Fleet) -> None:
        await fleet.start()
        await fleet.all_held()
        holder = held(fleet)
        fleet.stall(holder)
        await another(fleet, holder)
        await asyncio.sleep(fleet.plan.lease * 3)
        await fleet.all_held()

    played(tmp_path, FleetPlan(duties=2), play)
