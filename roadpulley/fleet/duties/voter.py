"""A voter: it gives at most one active grant for each duty. Pure; its state may be lost at any time.

| request | condition                                | response  | effect                                   |
| ------- | ---------------------------------------- | --------- | ---------------------------------------- |
| any     | the voter may not vote yet               | none      | none                                     |
| any     | another voter configuration than its own | rejection | none                                     |
| Prepare | a grant to another process is active     | rejection | none: it can't disturb the holder        |
| Prepare | a cooldown is active                     | rejection |                                          |
| Prepare | the promised ballot, or a higher one     | promise   | promises this ballot                     |
| Prepare | a lower ballot                           | rejection |                                          |
| Accept  | a grant to another process is active     | rejection |                                          |
| Accept  | a lease longer than `silence`            | rejection |                                          |
| Accept  | the promised ballot                      | grant     | the grant is active for a lease from now |
| Accept  | a renewal with a higher ballot           | grant     | the same                                 |
| Accept  | any other                                | rejection |                                          |
| Release | the ballot of the active grant           | none      | ends the grant and the ballot            |
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .terms import (
    MAX_ROUND,
    NO_BALLOT,
    NO_PROCESS,
    Accept,
    Ballot,
    LeaseGrant,
    LeaseRejection,
    LeaseTimes,
    MonotonicTime,
    Prepare,
    Promise,
    Release,
    VoterRequest,
    VoterResponse,
)

# The cooldown doubles with each consecutive holding that failed.
MIN_COOLDOWN_S = 0.5
MAX_COOLDOWN_S = 60.0
MAX_DUTIES = 4096  # bounds the state of a voter; no installation has that many duties
MAX_ROUND_STEP = 2**44  # rounds start from wall clock milliseconds: no clock is 500 years ahead
CONFLICT_RETRY_MS = 20  # retry hint for a candidate that lost against a higher ballot


@dataclass(slots=True)
class DutyState:
    """What a voter remembers of one duty."""

    promised_ballot: Ballot = NO_BALLOT
    granted_ballot: Ballot = NO_BALLOT
    granted_until: MonotonicTime = 0.0
    granted_since: MonotonicTime = 0.0  # when this ballot was first granted
    cooldown_until: MonotonicTime = 0.0  # until then no ballot is promised
    failures: int = 0


@dataclass
class Voter:
    """The voter state machine of one process. Times are those of its own clock.

    `started_at`: when the process started; `round_floor`: only higher rounds are promised. A process that
    voted right after its start could grant a duty that it granted to another process just before its restart.
    """

    times: LeaseTimes
    started_at: MonotonicTime
    round_floor: int = 0
    config_id: tuple[int, int] = (0, 0)  # requests of another configuration are rejected
    lost_state: bool = True  # False for a new installation, in which no voter has granted anything yet
    duty_states: dict[str, DutyState] = field(default_factory=dict)

    def voting_starts_at(self) -> MonotonicTime:
        """When the voter begins to respond: all grants before its restart have expired by then."""
        return self.started_at + self.times.silence if self.lost_state else self.started_at

    def handle_request(self, now: MonotonicTime, request: VoterRequest) -> VoterResponse | None:
        """Handles the request of a candidate; returns None where no response is sent."""
        if now < self.voting_starts_at():
            return None
        if request.duty not in self.duty_states and len(self.duty_states) >= MAX_DUTIES:
            return None
        state = self.duty_states.setdefault(request.duty, DutyState())
        if isinstance(request, Release):
            self._release(now, state, request)
            return None
        if tuple(request.config_id) != tuple(self.config_id):
            # Majorities of two voter configurations that are not consecutive may share no voter.
            return LeaseRejection(request.duty, request.ballot, NO_PROCESS, 0, self._highest_round(state))
        if isinstance(request, Accept) and not 0 < request.lease_ms <= self.times.silence * 1000:
            # After a restart the voter would have forgotten a grant that outlives its silence, and grant
            # twice.
            return LeaseRejection(
                request.duty, request.ballot, NO_PROCESS, CONFLICT_RETRY_MS, self._highest_round(state)
            )
        if now < state.granted_until and state.granted_ballot.process != request.ballot.process:
            return self._reject(now, state, request, state.granted_until)
        if isinstance(request, Prepare) and now < state.cooldown_until:
            return self._reject(now, state, request, state.cooldown_until)
        if not self._is_ballot_allowed(state, request):
            return self._reject(now, state, request, now)
        state.promised_ballot = request.ballot
        if isinstance(request, Prepare):
            return Promise(request.duty, request.ballot, state.granted_ballot.round)
        if state.granted_ballot != request.ballot:
            state.granted_ballot, state.granted_since = request.ballot, now
        state.granted_until = now + request.lease_ms / 1000
        return LeaseGrant(request.duty, request.ballot, request.request_number)

    def highest_promised_round(self) -> int:
        """The highest round of all duties' promised ballots."""
        return max((s.promised_ballot.round for s in self.duty_states.values()), default=self.round_floor)

    def max_allowed_round(self) -> int:
        """The highest round that the ballot of any duty may have at this voter."""
        return min(MAX_ROUND, max(self.highest_promised_round(), self.round_floor) + MAX_ROUND_STEP)

    # ---- private ----

    def _is_ballot_allowed(self, state: DutyState, request: Prepare | Accept) -> bool:
        """Whether the ballot is acceptable. Each round is promised to one candidate at most."""
        round_ = request.ballot.round
        if request.ballot == state.promised_ballot:
            return True
        if isinstance(request, Accept):
            # A restarted voter knows no ballot, and its floor may be above the rounds of active holdings: it
            # grants their renewals. An Accept that is no renewal, for a ballot that was not promised here,
            # may be late and belong to an attempt that a higher ballot has superseded.
            return request.is_renewal and round_ > state.promised_ballot.round
        # Rounds near MAX_ROUND would leave no higher round for the next holder.
        highest = max(state.promised_ballot.round, self.round_floor)
        return highest < round_ <= min(MAX_ROUND, highest + MAX_ROUND_STEP)

    def _highest_round(self, state: DutyState) -> int:
        return max(state.promised_ballot.round, self.round_floor)

    def _reject(
        self, now: MonotonicTime, state: DutyState, request: Prepare | Accept, retry_at: MonotonicTime
    ) -> LeaseRejection:
        holder = state.granted_ballot.process if now < state.granted_until else NO_PROCESS
        retry_after_ms = max(0, int((retry_at - now) * 1000) + 1) if retry_at > now else CONFLICT_RETRY_MS
        return LeaseRejection(
            request.duty, request.ballot, holder, retry_after_ms, self._highest_round(state)
        )

    def _release(self, now: MonotonicTime, state: DutyState, request: Release) -> None:
        if request.ballot == state.promised_ballot:
            # Otherwise a renewal that arrives after the release would block the duty for a lease without a
            # holder.
            state.promised_ballot = Ballot(request.ballot.round, NO_PROCESS)
        if request.ballot != state.granted_ballot or now >= state.granted_until:
            return
        state.granted_until = now
        if not request.failed:
            state.failures = 0
            return
        # Without a cooldown, work that fails at every instance would move around the fleet at full speed.
        state.failures = 0 if now - state.granted_since > self.times.steady else state.failures
        state.cooldown_until = now + min(MAX_COOLDOWN_S, MIN_COOLDOWN_S * 2.0 ** min(state.failures, 30))
        state.failures += 1
