"""One voter: at most one grant at a time for each duty. Pure; all that it knows may be lost at any moment.

| asked   | found                                   | answers | and                                         |
| ------- | --------------------------------------- | ------- | ------------------------------------------- |
| any     | it may not speak yet                    | nothing | nothing                                     |
| any     | another roll than its own               | Refused | nothing                                     |
| Prepare | another process's grant runs            | Refused | nothing: who asks can't disturb who holds   |
| Prepare | a time to cool down runs                | Refused |                                             |
| Prepare | a ballot above the promise, or the same | Promise | remembers it                                |
| Prepare | a lower one                             | Refused |                                             |
| Accept  | another process's grant runs            | Refused |                                             |
| Accept  | a lease longer than the silence         | Refused |                                             |
| Accept  | the ballot that was promised            | Granted | the grant runs for a lease from now         |
| Accept  | a higher one, which is held             | Granted | so does it                                  |
| Accept  | any other                               | Refused |                                             |
| Release | the grant of this ballot                | nothing | it ends, and so does the ballot             |
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
MAX_DUTIES = 4096  # of which a voter keeps something; more names are no duties of an installation
MAX_ROUND_STEP = 2**44  # milliseconds in some 500 years: a round that leaps further is nobody's clock
CONFLICT_RETRY_MS = 20  # told to who has lost against a higher ballot


@dataclass(slots=True)
class DutyState:
    """Of one duty."""

    promised_ballot: Ballot = NO_BALLOT
    granted_ballot: Ballot = NO_BALLOT
    granted_until: MonotonicTime = 0.0
    granted_since: MonotonicTime = 0.0  # of the grant's ballot
    cooldown_until: MonotonicTime = 0.0  # until when nobody may begin
    failures: int = 0


@dataclass
class Voter:
    """`started`: when this process began, by its own clock; `floor`: no round at or below it is promised.

    Danger: a process that voted at once after its start might have granted the duty to another just before.
    """

    times: LeaseTimes
    started_at: MonotonicTime
    round_floor: int = 0
    config_id: tuple[int, int] = (0, 0)  # only what is asked under the same one is granted
    lost_state: bool = True  # False: the installation begins, and nobody has asked for anything yet
    duty_states: dict[str, DutyState] = field(default_factory=dict)

    def voting_starts_at(self) -> MonotonicTime:
        return self.started_at + self.times.silence if self.lost_state else self.started_at

    def handle_request(self, now: MonotonicTime, request: VoterRequest) -> VoterResponse | None:
        """What a candidate of this installation asks; None: nothing is said."""
        if now < self.voting_starts_at():
            return None
        if request.duty not in self.duty_states and len(self.duty_states) >= MAX_DUTIES:
            return None
        state = self.duty_states.setdefault(request.duty, DutyState())
        if isinstance(request, Release):
            self._release(now, state, request)
            return None
        if tuple(request.config_id) != tuple(self.config_id):
            # Danger: a majority of one roll need not share a voter with a majority of any other.
            return LeaseRejection(request.duty, request.ballot, NO_PROCESS, 0, self._highest_round(state))
        if isinstance(request, Accept) and not 0 < request.lease_ms <= self.times.silence * 1000:
            # Danger: a grant that outlives the silence after a restart would be forgotten while it runs.
            return LeaseRejection(
                request.duty, request.ballot, NO_PROCESS, CONFLICT_RETRY_MS, self._highest_round(state)
            )
        if now < state.granted_until and state.granted_ballot.who != request.ballot.who:
            return self._reject(now, state, request, state.granted_until)
        if isinstance(request, Prepare) and now < state.cooldown_until:
            return self._reject(now, state, request, state.cooldown_until)
        if not self._is_ballot_allowed(state, request):
            return self._reject(now, state, request, now)
        state.promised_ballot = request.ballot
        if isinstance(request, Prepare):
            return Promise(request.duty, request.ballot)
        if state.granted_ballot != request.ballot:
            state.granted_ballot, state.granted_since = request.ballot, now
        state.granted_until = now + request.lease_ms / 1000
        return LeaseGrant(request.duty, request.ballot, request.request_number)

    def highest_promised_round(self) -> int:
        return max((s.promised_ballot.round for s in self.duty_states.values()), default=self.round_floor)

    def max_allowed_round(self) -> int:
        """The highest round that any duty's ballot may have here."""
        return min(MAX_ROUND, max(self.highest_promised_round(), self.round_floor) + MAX_ROUND_STEP)

    # ---- inside ----

    def _is_ballot_allowed(self, state: DutyState, request: Prepare | Accept) -> bool:
        """Whether a ballot counts here. Two candidates never share a round, so that no two holdings do."""
        round_ = request.ballot.round
        if request.ballot == state.promised_ballot:
            return True
        if isinstance(request, Accept):
            # A voter that came back knows no ballot, and its floor may be above those that are held: it joins
            # them. Danger: an Accept that is no renewal, for a ballot not promised here, may be of a try that
            # was overtaken long ago.
            return request.is_renewal and round_ > state.promised_ballot.round
        # Danger: a round near the end of all numbers would leave none for the next holder.
        highest = max(state.promised_ballot.round, self.round_floor)
        return highest < round_ <= min(MAX_ROUND, highest + MAX_ROUND_STEP)

    def _highest_round(self, state: DutyState) -> int:
        return max(state.promised_ballot.round, self.round_floor)

    def _reject(
        self, now: MonotonicTime, state: DutyState, request: Prepare | Accept, granted_until: MonotonicTime
    ) -> LeaseRejection:
        holder = state.granted_ballot.who if now < state.granted_until else NO_PROCESS
        retry_after_ms = (
            max(0, int((granted_until - now) * 1000) + 1) if granted_until > now else CONFLICT_RETRY_MS
        )
        return LeaseRejection(
            request.duty, request.ballot, holder, retry_after_ms, self._highest_round(state)
        )

    def _release(self, now: MonotonicTime, state: DutyState, request: Release) -> None:
        if request.ballot == state.promised_ballot:
            # Danger: a renewal that comes after the release would have it held by nobody for a lease.
            state.promised_ballot = Ballot(request.ballot.round, NO_PROCESS)
        if request.ballot != state.granted_ballot or now >= state.granted_until:
            return
        state.granted_until = now
        if not request.failed:
            state.failures = 0
            return
        # Danger: work that fails wherever it is taken would travel round the fleet at full speed.
        state.failures = 0 if now - state.granted_since > self.times.steady else state.failures
        state.cooldown_until = now + min(MAX_COOLDOWN_S, MIN_COOLDOWN_S * 2.0 ** min(state.failures, 30))
        state.failures += 1
