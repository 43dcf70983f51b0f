"""Model checking of leases: exhaustively within limits, and by random histories.

Each fault that is planted in the state machines or in the model has to violate the invariant.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

import pytest

from roadpulley.fleet.duties import candidate as candidates
from roadpulley.fleet.duties.candidate import Action, Candidate, PendingAccept
from roadpulley.fleet.duties.terms import (
    Accept,
    LeaseRejection,
    LeaseTimes,
    MonotonicTime,
    Release,
    VoterRequest,
    VoterResponse,
)
from roadpulley.fleet.duties.voter import DutyState, Voter
from roadpulley.testbed.lease_model import Broken, Limits, Model, Rules

# Without drift and margin, the test checks the bound itself.
TIMES = LeaseTimes(lease=3.0, drift=0.0, margin=0.0, answer=1.0, claim=100.0)
WALKS = 400
STEPS = 350
RANDOM_LIMITS = Limits(
    ticks=80, restarts=8, wipes=2, reboots=3, repeats=30, tries=99, asks=99, late=30, lost=60
)

FEW_FAULTS_LIMITS = replace(RANDOM_LIMITS, ticks=30, restarts=0, wipes=0, reboots=0, repeats=0)

# Limits by kind of fault, small enough to explore all histories within them in seconds.
EXHAUSTIVE_LIMITS = {
    "nothing fails": Limits(ticks=5, restarts=0, tries=1, asks=2, late=0, lost=0),
    "a message is lost": Limits(ticks=3, restarts=0, tries=1, asks=2, late=0, lost=1),
    "a message is late": Limits(ticks=3, restarts=0, tries=1, asks=1, late=1, lost=0),
    "a voter restarts": Limits(ticks=4, restarts=1, tries=1, asks=1, late=0, lost=0),
    "all voters restart": Limits(ticks=5, restarts=0, wipes=1, tries=1, asks=1, late=0, lost=0),
    "a candidate restarts": Limits(ticks=4, restarts=0, reboots=1, tries=1, asks=1, late=0, lost=0),
}


@pytest.mark.parametrize("fault", EXHAUSTIVE_LIMITS)
def test_no_history_within_limits_violates_the_invariant(fault: str) -> None:
    states, depth, is_complete = Model(TIMES, EXHAUSTIVE_LIMITS[fault]).explore(400_000)
    assert is_complete, f"{states} states and more, {depth} steps deep"
    assert states > 1_000


def draw_clock_rates(seed: int) -> tuple[LeaseTimes, tuple[float, ...]]:
    """Times, and rates of the five clocks: each at a bound of the allowed drift or random within it."""
    rng = random.Random(seed)
    drift = rng.choice((0.0, 0.05, 0.2))
    rates = tuple(1 + rng.choice((-drift, drift, rng.uniform(-drift, drift))) for _ in range(5))
    return LeaseTimes(lease=6.0, drift=drift, margin=0.0, answer=1.0, claim=100.0), rates


def test_random_histories_with_drifting_clocks_keep_the_invariant() -> None:
    started = 0
    for seed in range(WALKS):
        times, rates = draw_clock_rates(seed)
        try:
            Model(times, RANDOM_LIMITS, Rules(candidate=CountingCandidate), rates).walk(
                random.Random(seed), STEPS
            )
        except Broken as broken:
            pytest.fail(f"seed {seed}: {broken}")
    started = CountingCandidate.started_count
    assert started > WALKS / 2  # otherwise these histories have tested nothing


class CountingCandidate(Candidate):
    started_count = 0

    def handle_claimed(self, now: MonotonicTime, fence: int) -> list[Action]:
        actions = super().handle_claimed(now, fence)
        CountingCandidate.started_count += len(actions)
        return actions


# ---- planted faults ----


class VoterWithoutSilence(Voter):
    def voting_starts_at(self) -> MonotonicTime:
        return self.started_at


class VoterWithTwoGrants(Voter):
    def handle_request(self, now: MonotonicTime, request: VoterRequest) -> VoterResponse | None:
        if (state := self.duty_states.get(request.duty)) is not None and not isinstance(request, Release):
            state.granted_until = min(state.granted_until, now)
        return super().handle_request(now, request)


class VoterWithHalfLease(Voter):
    def handle_request(self, now: MonotonicTime, request: VoterRequest) -> VoterResponse | None:
        if isinstance(request, Accept):
            request = Accept(
                request.duty,
                request.ballot,
                request.request_number,
                request.config_id,
                request.lease_ms // 2,
                request.is_renewal,
            )
        return super().handle_request(now, request)


class VoterReleasingAnyBallot(Voter):
    def _release(self, now: MonotonicTime, state: DutyState, request: Release) -> None:
        super()._release(now, state, Release(request.duty, state.granted_ballot, request.failed))


class CandidateCountingFromResponse(Candidate):
    def _handle_grant(self, now: MonotonicTime, voter: str, number: int, actions: list[Action]) -> None:
        self.pending_accepts = tuple(PendingAccept(a.number, now, a.granted_by) for a in self.pending_accepts)
        super()._handle_grant(now, voter, number, actions)


class CandidateAddingRenewals(Candidate):
    def _handle_grant(self, now: MonotonicTime, voter: str, number: int, actions: list[Action]) -> None:
        previous_expiry = self.held_until
        super()._handle_grant(now, voter, number, actions)
        if previous_expiry and self.held_until > previous_expiry:
            self.held_until = previous_expiry + self.times.hold_duration


class CandidateMixingRequests(Candidate):
    def _handle_grant(self, now: MonotonicTime, voter: str, number: int, actions: list[Action]) -> None:
        all_grants = frozenset(v for a in self.pending_accepts for v in a.granted_by)
        self.pending_accepts = tuple(
            PendingAccept(a.number, a.sent_at, all_grants) for a in self.pending_accepts
        )
        super()._handle_grant(now, voter, number, actions)


class CandidateCountingOldResponses(Candidate):
    def handle_response(self, now: MonotonicTime, voter: str, response: VoterResponse) -> list[Action]:
        if not isinstance(response, LeaseRejection):
            response = replace_ballot(response, self)
        return super().handle_response(now, voter, response)


class CandidateWithoutMajority(Candidate):
    @property
    def majority(self) -> int:
        return len(self.voters) // 2


class CandidateIgnoringDrift(Candidate):
    def _handle_grant(self, now: MonotonicTime, voter: str, number: int, actions: list[Action]) -> None:
        super()._handle_grant(now, voter, number, actions)
        if self.held_until:
            self.held_until = max(
                [self.held_until, *(a.sent_at + self.times.lease for a in self.pending_accepts)]
            )
            if actions:
                self.held_until += self.times.lease - self.times.hold_duration


class CandidateWithoutExpiry(Candidate):
    def is_held(self, now: MonotonicTime) -> bool:
        return self.state is candidates.State.HOLDING


def replace_ballot(response: VoterResponse, candidate: Candidate) -> VoterResponse:
    import msgspec

    changes: dict[str, object] = {"ballot": candidate.ballot}
    if hasattr(response, "request_number"):
        changes["request_number"] = candidate.last_request_number
    return msgspec.structs.replace(response, **changes)


@dataclass(frozen=True)
class Fault:
    rules: Rules
    drift: bool = False  # whether only clocks of different rates reveal it
    first: int = 0  # the first seed; the benchmark plays all earlier ones, and none reveals the fault
    limits: Limits = RANDOM_LIMITS


FAULTS = {
    "a voter votes at once after its restart": Fault(Rules(voter=VoterWithoutSilence)),
    "a voter grants while another process's grant is active": Fault(Rules(voter=VoterWithTwoGrants)),
    "a voter keeps a grant for half of the time": Fault(Rules(voter=VoterWithHalfLease)),
    "any release ends the active grant": Fault(
        Rules(voter=VoterReleasingAnyBallot), first=1600, limits=FEW_FAULTS_LIMITS
    ),
    "the holding is counted from the response": Fault(Rules(candidate=CandidateCountingFromResponse)),
    "a renewal is added to the remaining time": Fault(Rules(candidate=CandidateAddingRenewals)),
    "grants of several requests are added up": Fault(Rules(candidate=CandidateMixingRequests), first=1900),
    "a response to an old ballot is counted": Fault(
        Rules(candidate=CandidateCountingOldResponses), first=1600, limits=FEW_FAULTS_LIMITS
    ),
    "fewer than a majority suffice": Fault(Rules(candidate=CandidateWithoutMajority)),
    "a holder acts after its expiry": Fault(Rules(candidate=CandidateWithoutExpiry)),
    "the drift is ignored": Fault(Rules(candidate=CandidateIgnoringDrift), drift=True),
    "the register accepts any fence": Fault(Rules(fences=False)),
    "a holder acts before it has claimed its fence": Fault(Rules(claims=False)),
    "two claims of one fence are not distinguished": Fault(Rules(owners=False)),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_planted_fault_violates_the_invariant(fault: str) -> None:
    planted = FAULTS[fault]
    for seed in range(planted.first, planted.first + WALKS):
        times, rates = draw_clock_rates(seed) if planted.drift else (TIMES, (1.0,) * 5)
        try:
            Model(times, planted.limits, planted.rules, rates).walk(random.Random(seed), STEPS)
        except Broken:
            print(f"found in history {seed}")
            return
    pytest.fail(f"not found in {WALKS} histories")
