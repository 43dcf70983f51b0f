"""The lease machines by their tables: what each refuses, and when it gives up."""

from __future__ import annotations

import pytest

from roadpulley.fleet.duties.assignment import assign_candidates
from roadpulley.fleet.duties.candidate import (
    Candidate,
    ClaimRegisters,
    HoldingEnded,
    HoldingStarted,
    SendMessage,
    State,
)
from roadpulley.fleet.duties.fence_store import RESERVED_BLOCK, FenceStore
from roadpulley.fleet.duties.terms import (
    Accept,
    Ballot,
    LeaseGrant,
    LeaseRejection,
    LeaseTimes,
    Prepare,
    ProcessId,
    Promise,
    Release,
)
from roadpulley.fleet.duties.voter import MIN_COOLDOWN_S, Voter
from roadpulley.fleet.duties.voter_config import INITIAL_CONFIG_ID
from roadpulley.fleet.duties.work import HeldDuty

TIMES = LeaseTimes(lease=4.0, drift=0.05, margin=0.1, answer=0.2)
A, B = ProcessId("a", 1), ProcessId("b", 2)
VOTERS = ("v0", "v1", "v2")


def voter(now: float = 0.0, floor: int = 0) -> Voter:
    return Voter(TIMES, now, floor, lost_state=False)


def accept(number: int, who: ProcessId, held: bool = False, lease: float = 4.0) -> Accept:
    return Accept("d", Ballot(number, who), 1, INITIAL_CONFIG_ID, int(lease * 1000), held)


def candidate() -> Candidate:
    made = Candidate("d", A, frozenset(VOTERS), TIMES, lambda: 0.0)
    made.due_at = 0.0
    return made


def holding(at: float = 0.0) -> Candidate:
    """It holds the duty, as granted by two voters to an ask made at that time."""
    found = candidate()
    found.due_at = at
    found.tick(at)
    for name in VOTERS[:2]:
        found.handle_response(at, name, Promise("d", found.ballot))
    for name in VOTERS[:2]:
        out = found.handle_response(at, name, LeaseGrant("d", found.ballot, found.last_request_number))
    assert ClaimRegisters("d", found.ballot.round) in out
    assert found.handle_claimed(at, found.ballot.round) == [HoldingStarted("d", found.ballot.round)]
    return found


def test_a_voter_that_lost_its_memory_says_nothing_for_a_lease() -> None:
    fresh = Voter(TIMES, 10.0)
    assert fresh.handle_request(13.99, Prepare("d", Ballot(1, A), INITIAL_CONFIG_ID)) is None
    assert isinstance(fresh.handle_request(14.0, Prepare("d", Ballot(1, A), INITIAL_CONFIG_ID)), Promise)


def test_who_asks_cannot_disturb_who_holds() -> None:
    v = voter()
    v.handle_request(0.0, Prepare("d", Ballot(5, A), INITIAL_CONFIG_ID))
    assert isinstance(v.handle_request(0.1, accept(5, A)), LeaseGrant)
    refused = v.handle_request(1.0, Prepare("d", Ballot(9, B), INITIAL_CONFIG_ID))
    assert (
        isinstance(refused, LeaseRejection)
        and refused.holder == A
        and 3_000 < refused.retry_after_ms <= 3_101
    )
    assert isinstance(v.handle_request(2.0, accept(5, A, held=True)), LeaseGrant)  # its renewal goes on
    assert isinstance(v.handle_request(5.9, accept(9, B)), LeaseRejection)
    assert isinstance(v.handle_request(6.0, Prepare("d", Ballot(9, B), INITIAL_CONFIG_ID)), Promise)


def test_a_renewal_joins_a_voter_whose_floor_is_above_it_and_a_late_accept_does_not() -> None:
    v = voter(floor=1_000)
    assert isinstance(v.handle_request(0.0, accept(5, A, held=False)), LeaseRejection)
    assert isinstance(v.handle_request(0.0, accept(5, A, held=True)), LeaseGrant)
    assert isinstance(v.handle_request(5.0, Prepare("d", Ballot(999, B), INITIAL_CONFIG_ID)), LeaseRejection)
    assert isinstance(v.handle_request(5.0, Prepare("d", Ballot(1_001, B), INITIAL_CONFIG_ID)), Promise)


def test_two_candidates_never_share_a_round() -> None:
    v = voter()
    assert isinstance(v.handle_request(0.0, Prepare("d", Ballot(5, A), INITIAL_CONFIG_ID)), Promise)
    assert isinstance(
        v.handle_request(0.0, Prepare("d", Ballot(5, A), INITIAL_CONFIG_ID)), Promise
    )  # repeated
    assert isinstance(v.handle_request(0.0, Prepare("d", Ballot(5, B), INITIAL_CONFIG_ID)), LeaseRejection)


def test_a_renewal_after_the_release_is_worth_nothing() -> None:
    v = voter()
    v.handle_request(0.0, Prepare("d", Ballot(5, A), INITIAL_CONFIG_ID))
    v.handle_request(0.0, accept(5, A))
    v.handle_request(1.0, Release("d", Ballot(4, B), False))  # not its own: nothing ends
    assert isinstance(v.handle_request(1.0, Prepare("d", Ballot(6, B), INITIAL_CONFIG_ID)), LeaseRejection)
    v.handle_request(1.0, Release("d", Ballot(5, A), False))
    assert isinstance(v.handle_request(1.1, accept(5, A)), LeaseRejection)
    assert isinstance(v.handle_request(1.1, Prepare("d", Ballot(6, B), INITIAL_CONFIG_ID)), Promise)


def test_a_failed_holding_cools_longer_each_time_and_one_that_lasted_does_not() -> None:
    v, now = voter(), 0.0
    for number in range(1, 4):
        v.handle_request(now, Prepare("d", Ballot(number, A), INITIAL_CONFIG_ID))
        v.handle_request(now, accept(number, A))
        v.handle_request(now, Release("d", Ballot(number, A), True))
        wait = MIN_COOLDOWN_S * 2 ** (number - 1)
        assert isinstance(
            v.handle_request(now + wait * 0.99, Prepare("d", Ballot(number + 1, B), INITIAL_CONFIG_ID)),
            LeaseRejection,
        )
        now += wait
    v.handle_request(now, Prepare("d", Ballot(9, A), INITIAL_CONFIG_ID))
    for step in range(6):
        v.handle_request(now + step * 3, accept(9, A, held=True))
    v.handle_request(now + 16, Release("d", Ballot(9, A), True))
    assert isinstance(
        v.handle_request(now + 16 + MIN_COOLDOWN_S, Prepare("d", Ballot(10, B), INITIAL_CONFIG_ID)), Promise
    )


@pytest.mark.parametrize("lease", [0.0, 4.1, 1e6])
def test_a_grant_never_outlives_the_silence_after_a_restart(lease: float) -> None:
    v = voter()
    v.handle_request(0.0, Prepare("d", Ballot(5, A), INITIAL_CONFIG_ID))
    assert isinstance(v.handle_request(0.0, accept(5, A, lease=lease)), LeaseRejection)


def test_a_round_that_leaps_to_the_end_of_all_numbers_is_refused() -> None:
    assert isinstance(
        voter().handle_request(0.0, Prepare("d", Ballot(2**52, A), INITIAL_CONFIG_ID)), LeaseRejection
    )


def test_voters_of_an_older_roll_are_not_answered_with_a_vote() -> None:
    v = voter()
    v.config_id = (2, 3)
    assert isinstance(v.handle_request(0.0, Prepare("d", Ballot(5, A), (1, 7))), LeaseRejection)
    assert isinstance(v.handle_request(0.0, Prepare("d", Ballot(5, A), (2, 3))), Promise)


def test_time_counts_from_the_ask() -> None:
    found = holding(10.0)
    assert found.held_until == pytest.approx(10.0 + TIMES.hold_duration)
    assert found.is_held(10.0 + TIMES.hold_duration - 0.001)
    assert not found.is_held(10.0 + TIMES.hold_duration)  # also where nobody has looked at the clock
    assert [type(a) for a in found.tick(found.held_until)][0] is HoldingEnded


def test_answers_of_an_old_ballot_an_old_ask_or_a_stranger_are_not_counted() -> None:
    found = candidate()
    found.tick(0.0)
    old = found.ballot
    found.tick(found.due_at)  # crossed: nobody answered
    found.tick(found.due_at)
    assert found.ballot.round > old.round and found.state is State.PREPARING
    for name in VOTERS:
        assert found.handle_response(1.0, name, Promise("d", old)) == []
    assert found.handle_response(1.0, "stranger", Promise("d", found.ballot)) == []
    assert found.state is State.PREPARING
    held = holding()
    first = held.last_request_number
    held.tick(held.due_at)
    for name in VOTERS:
        held.handle_response(1.0, name, LeaseGrant("d", held.ballot, first))
    assert held.held_until == pytest.approx(TIMES.hold_duration)


def test_grants_that_come_after_their_time_are_worth_nothing() -> None:
    found = candidate()
    found.tick(0.0)
    for name in VOTERS[:2]:
        found.handle_response(0.0, name, Promise("d", found.ballot))
    for name in VOTERS:
        assert (
            found.handle_response(
                TIMES.hold_duration, name, LeaseGrant("d", found.ballot, found.last_request_number)
            )
            == []
        )
    assert found.state is State.ACCEPTING


def test_a_fence_that_is_too_low_is_followed_by_a_higher_one_at_once() -> None:
    found = holding()
    out = found.handle_low_fence(1.0, found.ballot.round, 1_000)
    assert isinstance(out[0], HoldingEnded) and any(isinstance(a, SendMessage) for a in out)
    asked = [a.message for a in found.tick(1.0) if isinstance(a, SendMessage)]
    assert asked and all(isinstance(m, Prepare) and m.ballot.round == 1_001 for m in asked)


def test_who_is_offered_a_duty_tries_above_the_fence_that_it_was_held_under() -> None:
    """Else the try is refused, and who let go of it is back before the next one."""
    found = candidate()
    found.observe_round(180)
    (first, *_) = found.tick(0.0)
    assert isinstance(first, SendMessage) and isinstance(first.message, Prepare)
    assert first.message.ballot.round == 181


def test_registers_that_are_out_of_reach_end_a_holding_that_failed() -> None:
    found = candidate()
    found.tick(0.0)
    for name in VOTERS[:2]:
        found.handle_response(0.0, name, Promise("d", found.ballot))
    now = 0.0
    while found.state is not State.IDLE or not now:
        for name in VOTERS[:2]:
            found.handle_response(now, name, LeaseGrant("d", found.ballot, found.last_request_number))
        now = found.next_tick_at()
        out = found.tick(now)
    assert now == pytest.approx(TIMES.claim)
    assert SendMessage("v0", Release("d", found.ballot, True)) in out


def test_a_refusal_that_tells_the_time_is_waited_for() -> None:
    found = candidate()
    found.tick(0.0)
    for name in VOTERS[:2]:
        found.handle_response(0.0, name, LeaseRejection("d", found.ballot, B, 2_500, 77))
    assert found.state is State.IDLE and found.due_at == pytest.approx(2.5) and found.known_holder == B
    found.tick(found.due_at)
    assert found.ballot.round == 78


@pytest.mark.parametrize(
    "wrong",
    [{"lease": 0.5}, {"drift": 0.3}, {"drift": -0.1}, {"answer": 0.0}, {"silence": 1.0}, {"margin": -1.0}],
)
def test_times_that_leave_no_time_are_turned_down(wrong: dict[str, float]) -> None:
    with pytest.raises(ValueError):
        LeaseTimes(**{"lease": 4.0, "drift": 0.05, "margin": 0.1, "answer": 0.2, **wrong})


@pytest.mark.parametrize("drift", [0.0, 0.02, 0.05, 0.2])
def test_the_slowest_holder_stops_before_the_fastest_voter_forgets(drift: float) -> None:
    times = LeaseTimes(lease=6.0, drift=drift, margin=0.1, answer=0.2)
    assert times.hold_duration / (1 - drift) + times.margin <= times.lease / (1 + drift) + 1e-9


def test_what_a_voter_used_is_remembered_on_disk(tmp_path_factory: pytest.TempPathFactory) -> None:
    folder = tmp_path_factory.mktemp("state")
    first = FenceStore(folder, "v", wall_ms=100)
    assert first.floor == 100
    first.reserve(first.reserved_until + 5)
    again = FenceStore(folder, "v", wall_ms=0)  # the clock stepped back; the disk did not
    assert again.floor == 100 + RESERVED_BLOCK + 5 + RESERVED_BLOCK
    assert FenceStore(None, "v", wall_ms=7).floor == 7


def test_duties_are_spread_evenly_and_preferences_are_kept() -> None:
    who = [ProcessId(f"i{n}", n + 1) for n in range(5)]
    duties = {f"d{n:02}": who for n in range(64)}
    found = assign_candidates(duties, {"d00": ["i3"], "d01": ["i3", "i1"]})
    load = [sum(order[0] == w for order in found.values()) for w in who]
    assert max(load) <= 13 and sum(load) == 64
    assert found["d00"][0] == who[3] and found["d01"][0] == who[3]
    # One goes: what the others had stays with them, but for what its duties push over the bound.
    fewer = assign_candidates({d: who[:4] for d in duties}, {})
    stay = sum(1 for d in duties if fewer[d][0] == assign_candidates(duties, {})[d][0])
    assert stay >= 40
    assert assign_candidates({"d": []}, {}) == {"d": []}


def test_a_duty_is_still_mine_until_its_time_is_out_or_it_ends() -> None:
    now, until = 1.0, 2.0
    duty = HeldDuty("d", 7, lambda: until, lambda: now)
    assert duty.is_still_held()
    now = 2.0
    assert not duty.is_still_held()
    until = 3.0
    assert duty.is_still_held()
    duty.ended.set()
    assert not duty.is_still_held()
