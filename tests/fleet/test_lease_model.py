"""Leases in a small world where everything may happen: explored whole within limits, and by drawn histories.

Each mistake that is planted has to be found; what finds it is the invariant, not the mistake's own lines.
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

# No drift and no margin: the bound itself is tried, not the room that settings leave below it.
TIMES = LeaseTimes(lease=3.0, drift=0.0, margin=0.0, answer=1.0, claim=100.0)
WALKS, STEPS = 400, 350
LONG = Limits(ticks=80, restarts=8, wipes=2, reboots=3, repeats=30, tries=99, asks=99, late=30, lost=60)

CALM = replace(LONG, ticks=30, restarts=0, wipes=0, reboots=0, repeats=0)

# By the kind of fault: how much of each, so that all histories within are walked in seconds.
WHOLE = {
    "nothing fails": Limits(ticks=5, restarts=0, tries=1, asks=2, late=0, lost=0),
    "a message is lost": Limits(ticks=3, restarts=0, tries=1, asks=2, late=0, lost=1),
    "a message is late": Limits(ticks=3, restarts=0, tries=1, asks=1, late=1, lost=0),
    "a voter restarts": Limits(ticks=4, restarts=1, tries=1, asks=1, late=0, lost=0),
    "all voters restart": Limits(ticks=5, restarts=0, wipes=1, tries=1, asks=1, late=0, lost=0),
    "a candidate restarts": Limits(ticks=4, restarts=0, reboots=1, tries=1, asks=1, late=0, lost=0),
}


@pytest.mark.parametrize("fault", WHOLE)
def test_no_history_breaks_it(fault: str) -> None:
    states, depth, whole = Model(TIMES, WHOLE[fault]).explore(400_000)
    assert whole, f"{states} states and more, {depth} steps deep"
    assert states > 1_000


def drifting(seed: int) -> tuple[LeaseTimes, tuple[float, ...]]:
    """Clocks as far apart as settings of this drift allow, each by chance or at an end."""
    rng = random.Random(seed)
    drift = rng.choice((0.0, 0.05, 0.2))
    rates = tuple(1 + rng.choice((-drift, drift, rng.uniform(-drift, drift))) for _ in range(5))
    return LeaseTimes(lease=6.0, drift=drift, margin=0.0, answer=1.0, claim=100.0), rates


def test_drawn_histories_with_clocks_that_run_apart_hold() -> None:
    held = 0
    for seed in range(WALKS):
        times, rates = drifting(seed)
        try:
            Model(times, LONG, Rules(candidate=Counting), rates).walk(random.Random(seed), STEPS)
        except Broken as broken:
            pytest.fail(f"seed {seed}: {broken}")
    held = Counting.begun
    assert held > WALKS / 2  # else these histories showed nothing


class Counting(Candidate):
    begun = 0

    def handle_claimed(self, now: MonotonicTime, fence: int) -> list[Action]:
        out = super().handle_claimed(now, fence)
        Counting.begun += len(out)
        return out


# ---- mistakes ----


class VotesAtOnce(Voter):
    def voting_starts_at(self) -> MonotonicTime:
        return self.started_at


class GrantsTwice(Voter):
    def handle_request(self, now: MonotonicTime, request: VoterRequest) -> VoterResponse | None:
        if (state := self.duty_states.get(request.duty)) is not None and not isinstance(request, Release):
            state.granted_until = min(state.granted_until, now)
        return super().handle_request(now, request)


class KeepsTooShort(Voter):
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


class ReleasesForAnybody(Voter):
    def _release(self, now: MonotonicTime, state: DutyState, request: Release) -> None:
        super()._release(now, state, Release(request.duty, state.granted_ballot, request.failed))


class CountsFromTheAnswer(Candidate):
    def _handle_grant(self, now: MonotonicTime, voter: str, number: int, out: list[Action]) -> None:
        self.pending_accepts = tuple(PendingAccept(a.number, now, a.granted_by) for a in self.pending_accepts)
        super()._handle_grant(now, voter, number, out)


class AddsToWhatIsLeft(Candidate):
    def _handle_grant(self, now: MonotonicTime, voter: str, number: int, out: list[Action]) -> None:
        before = self.held_until
        super()._handle_grant(now, voter, number, out)
        if before and self.held_until > before:
            self.held_until = before + self.times.hold_duration


class MixesItsAsks(Candidate):
    def _handle_grant(self, now: MonotonicTime, voter: str, number: int, out: list[Action]) -> None:
        everyone = frozenset(v for a in self.pending_accepts for v in a.granted_by)
        self.pending_accepts = tuple(
            PendingAccept(a.number, a.sent_at, everyone) for a in self.pending_accepts
        )
        super()._handle_grant(now, voter, number, out)


class TakesOldAnswers(Candidate):
    def handle_response(self, now: MonotonicTime, voter: str, answer: VoterResponse) -> list[Action]:
        if not isinstance(answer, LeaseRejection):
            answer = replace_ballot(answer, self)
        return super().handle_response(now, voter, answer)


class NeedsTooFew(Candidate):
    @property
    def majority(self) -> int:
        return len(self.voters) // 2


class ForgetsTheDrift(Candidate):
    def _handle_grant(self, now: MonotonicTime, voter: str, number: int, out: list[Action]) -> None:
        super()._handle_grant(now, voter, number, out)
        if self.held_until:
            self.held_until = max(
                [self.held_until, *(a.sent_at + self.times.lease for a in self.pending_accepts)]
            )
            if out:
                self.held_until += self.times.lease - self.times.hold_duration


class HoldsWithoutEnd(Candidate):
    def is_held(self, now: MonotonicTime) -> bool:
        return self.state is candidates.State.HOLDING


def replace_ballot(answer: VoterResponse, mine: Candidate) -> VoterResponse:
    import msgspec

    changes: dict[str, object] = {"ballot": mine.ballot}
    if hasattr(answer, "request_number"):
        changes["request_number"] = mine.last_request_number
    return msgspec.structs.replace(answer, **changes)


@dataclass(frozen=True)
class Mistake:
    rules: Rules
    drift: bool = False  # only clocks that run apart show it
    first: int = 0  # where to begin: the histories before do not show it, as the benchmark plays them
    limits: Limits = LONG


MISTAKES = {
    "a voter votes at once after its restart": Mistake(Rules(voter=VotesAtOnce)),
    "a voter grants while another's grant runs": Mistake(Rules(voter=GrantsTwice)),
    "a voter keeps a grant for half of the time": Mistake(Rules(voter=KeepsTooShort)),
    "any release ends the grant that runs": Mistake(Rules(voter=ReleasesForAnybody), first=1600, limits=CALM),
    "time is counted from the answer": Mistake(Rules(candidate=CountsFromTheAnswer)),
    "a renewal is added to what is left": Mistake(Rules(candidate=AddsToWhatIsLeft)),
    "grants of several asks are added up": Mistake(Rules(candidate=MixesItsAsks), first=1900),
    "an answer to an old ballot is counted": Mistake(
        Rules(candidate=TakesOldAnswers), first=1600, limits=CALM
    ),
    "fewer than a majority are enough": Mistake(Rules(candidate=NeedsTooFew)),
    "a holder goes on after its time": Mistake(Rules(candidate=HoldsWithoutEnd)),
    "the drift is left out": Mistake(Rules(candidate=ForgetsTheDrift), drift=True),
    "the register takes any fence": Mistake(Rules(fences=False)),
    "a holder acts before its fence was taken up": Mistake(Rules(claims=False)),
    "two claims of one number are taken for one": Mistake(Rules(owners=False)),
}


@pytest.mark.parametrize("mistake", MISTAKES)
def test_a_planted_mistake_is_found(mistake: str) -> None:
    planted = MISTAKES[mistake]
    for seed in range(planted.first, planted.first + WALKS):
        times, rates = drifting(seed) if planted.drift else (TIMES, (1.0,) * 5)
        try:
            Model(times, planted.limits, planted.rules, rates).walk(random.Random(seed), STEPS)
        except Broken:
            print(f"found in history {seed}")
            return
    pytest.fail(f"not found in {WALKS} histories")
