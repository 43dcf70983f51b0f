"""A candidate for one duty: it acquires, renews and releases the lease. Pure: events in, actions out.

| state     | waits for                                  | next state                                        |
| --------- | ------------------------------------------ | ------------------------------------------------- |
| idle      | `due_at`; never, if the duty isn't wanted  | preparing                                         |
| preparing | promises of a majority                     | accepting                                         |
| accepting | a majority's grants for one accept request | claiming: the duty is held, but not acted on yet  |
| claiming  | claims of the fence at all registers       | holding; idle if the fence is too low, or expired |
| holding   | a release, or the expiry                   | idle                                              |

In the states claiming and holding the lease is renewed every third of `hold_duration`. Grants are counted for
each accept request separately: only a majority's grants for one request extend the holding, and they extend
it from when that request was sent.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from .terms import (
    MAX_ROUND,
    NO_BALLOT,
    NO_PROCESS,
    UNKNOWN_FENCE,
    Accept,
    Ballot,
    LeaseGrant,
    LeaseRejection,
    LeaseTimes,
    MonotonicTime,
    Prepare,
    ProcessId,
    Promise,
    Release,
    VoterRequest,
    VoterResponse,
)

NO_DEADLINE = float("inf")
# Bounds of the random backoff after a failed attempt; its upper limit doubles with each attempt in a row.
MIN_BACKOFF_S = 0.04
MAX_BACKOFF_S = 1.0
MAX_JITTER_S = 0.02  # added to an attempt at a known time, so that candidates do not collide
MAX_PENDING_ACCEPTS = 64  # accept requests whose grants are still counted


class State(Enum):
    """State of a candidate; the values are shown to operators."""

    IDLE = "idle"
    PREPARING = "preparing"
    ACCEPTING = "accepting"
    CLAIMING = "claiming"
    HOLDING = "holding"


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send the message to this voter."""

    voter: str
    message: VoterRequest


@dataclass(frozen=True, slots=True)
class ClaimRegisters:
    """Claim the fence at all registers; then call `handle_claimed`, `handle_low_fence` or `release`."""

    duty: str
    fence: int


@dataclass(frozen=True, slots=True)
class HoldingStarted:
    """The work may act on the duty, until the holding expires or ends."""

    duty: str
    fence: int


@dataclass(frozen=True, slots=True)
class HoldingRenewed:
    """The holding expires at `until`, by this process's own clock."""

    duty: str
    fence: int
    until: MonotonicTime


@dataclass(frozen=True, slots=True)
class HoldingEnded:
    """The work must not act on the duty any more. `reason` is for operators."""

    duty: str
    fence: int
    reason: str


Action = SendMessage | ClaimRegisters | HoldingStarted | HoldingRenewed | HoldingEnded


@dataclass(frozen=True, slots=True)
class PendingAccept:
    """An accept request to all voters, and the voters that granted it."""

    number: int
    sent_at: MonotonicTime
    granted_by: frozenset[str] = frozenset()


@dataclass
class Candidate:
    """The candidate state machine of one duty in one process.

    `voters`: names of the voters of the configuration `config_id`; `random` returns numbers from 0 to 1.
    """

    duty: str
    process: ProcessId
    voters: frozenset[str]
    times: LeaseTimes
    random: Callable[[], float]
    config_id: tuple[int, int] = (0, 0)
    state: State = State.IDLE
    due_at: MonotonicTime = NO_DEADLINE  # idle: time of the next attempt; otherwise: time of the next request
    ballot: Ballot = NO_BALLOT
    highest_round: int = 0  # the highest round that is known to be in use
    held_until: MonotonicTime = 0.0  # when this holding expires
    held_since: MonotonicTime = 0.0  # when a majority first granted this holding
    promised_by: frozenset[str] = frozenset()
    previous_fence: int = UNKNOWN_FENCE  # the highest one that these voters have granted
    rejected_by: frozenset[str] = frozenset()  # voters that rejected this ballot
    pending_accepts: tuple[PendingAccept, ...] = ()
    last_request_number: int = 0
    failed_tries: int = 0  # consecutive attempts that failed
    priority_delay_s: float = 0.0  # gives candidates of a higher rank the first attempt
    known_holder: ProcessId = NO_PROCESS  # the holder that a voter reported last
    retry_delay_ms: int = 0  # the longest one that a voter gave for this ballot
    claim_deadline: MonotonicTime = NO_DEADLINE  # claiming: when the registers count as unreachable

    # ---- queries ----

    def is_held(self, now: MonotonicTime) -> bool:
        """Whether the work may act now.

        The process may pause after this check and act late: only the fence makes an act safe.
        """
        return self.state is State.HOLDING and now < self.held_until

    def next_tick_at(self) -> MonotonicTime:
        """When `tick` is due next."""
        if self.state in (State.CLAIMING, State.HOLDING):
            return min(self.due_at, self.held_until, self.claim_deadline)
        return self.due_at

    @property
    def majority(self) -> int:
        """The number of voters that are a majority."""
        return len(self.voters) // 2 + 1

    # ---- events ----

    def schedule_try(self, now: MonotonicTime, delay_s: float) -> None:
        """Schedules an attempt in `delay_s` seconds, unless one is due earlier.

        Later attempts are delayed by as much.
        """
        self.priority_delay_s = delay_s
        if self.state is State.IDLE:
            self.due_at = min(self.due_at, now + delay_s + self.random() * MAX_JITTER_S)

    def observe_round(self, fence: int) -> None:
        """Notes that a fence is in use, so that the next ballot has a higher round."""
        self.highest_round = max(self.highest_round, min(fence, MAX_ROUND - 1))

    def stop_trying(self) -> None:
        """Makes no further attempt; a current holding or attempt goes on."""
        if self.state is State.IDLE:
            self.due_at = NO_DEADLINE

    def tick(self, now: MonotonicTime) -> list[Action]:
        """Handles expiry, timeouts, and attempts and renewals that are due."""
        actions: list[Action] = []
        if self.state in (State.CLAIMING, State.HOLDING) and now >= self.held_until:
            return self._end_holding(now, "its time ran out before a majority renewed it", False)
        if self.state is State.CLAIMING and now >= self.claim_deadline:
            return self._end_holding(
                now, f"its registers were not reached within {self.times.claim:g} s", True
            )
        if now < self.due_at:
            return actions
        if self.state is State.IDLE:
            self._start_prepare(now, actions)
        elif self.state is State.PREPARING or self.state is State.ACCEPTING:
            self._back_off(now, actions)
        else:
            self._send_accepts(now, actions)
        return actions

    def handle_response(self, now: MonotonicTime, voter: str, response: VoterResponse) -> list[Action]:
        """Handles a response whose sender was verified to be this voter."""
        if response.duty != self.duty or voter not in self.voters:
            return []
        if isinstance(response, LeaseRejection):
            self.observe_round(response.round)
        # A late response to an earlier ballot must not count as a vote for this one.
        if response.ballot != self.ballot:
            return []
        actions: list[Action] = []
        if isinstance(response, Promise) and self.state is State.PREPARING:
            self.promised_by |= {voter}
            self.previous_fence = max(self.previous_fence, response.granted_fence)
            if len(self.promised_by) >= self.majority:
                self.state = State.ACCEPTING
                self._send_accepts(now, actions)
                self.due_at = now + self.times.answer
        elif isinstance(response, LeaseGrant) and self.state not in (State.IDLE, State.PREPARING):
            self._handle_grant(now, voter, response.request_number, actions)
        elif isinstance(response, LeaseRejection) and self.state in (State.PREPARING, State.ACCEPTING):
            self._handle_rejection(now, voter, response, actions)
        return actions

    def handle_claimed(self, now: MonotonicTime, fence: int) -> list[Action]:
        """Handles that all registers have accepted the fence: the work may begin."""
        if self.state is not State.CLAIMING or fence != self.ballot.round or now >= self.held_until:
            return []
        self.state, self.claim_deadline, self.failed_tries = State.HOLDING, NO_DEADLINE, 0
        return [HoldingStarted(self.duty, fence)]

    def handle_low_fence(self, now: MonotonicTime, fence: int, highest: int) -> list[Action]:
        """Handles a rejected claim: the voters had lost their state, or a clock had stepped back."""
        if self.state not in (State.CLAIMING, State.HOLDING) or fence != self.ballot.round:
            return []
        self.observe_round(highest)
        actions = self._end_holding(
            now, f"fence {fence} is not above {highest}, which was taken up before", False
        )
        self.due_at = now  # retries at once, with a higher fence
        return actions

    def release(self, now: MonotonicTime, reason: str, failed: bool = False) -> list[Action]:
        """Releases the duty, if it is held; `failed`: voters impose a cooldown."""
        if self.state in (State.CLAIMING, State.HOLDING):
            return self._end_holding(now, reason, failed)
        return []

    def set_voters(
        self, now: MonotonicTime, config_id: tuple[int, int], voters: frozenset[str]
    ) -> list[Action]:
        """Uses another voter configuration. A holding keeps its granted time, and the new voters renew it."""
        if config_id <= self.config_id:
            return []
        self.config_id, self.voters, self.pending_accepts = config_id, voters, ()
        self.promised_by &= voters
        if self.state in (State.PREPARING, State.ACCEPTING):
            actions: list[Action] = []
            self._back_off(now, actions)
            return actions
        if self.state is not State.IDLE:
            self.due_at = now
            return self.tick(now)
        return []

    # ---- private ----

    def _start_prepare(self, now: MonotonicTime, actions: list[Action]) -> None:
        self.state, self.promised_by, self.rejected_by, self.pending_accepts = (
            State.PREPARING,
            frozenset(),
            frozenset(),
            (),
        )
        self.highest_round = max(self.highest_round, self.ballot.round) + 1
        self.ballot, self.retry_delay_ms = Ballot(self.highest_round, self.process), 0
        self.previous_fence = 0
        self.due_at = now + self.times.answer
        actions += [
            SendMessage(v, Prepare(self.duty, self.ballot, self.config_id)) for v in sorted(self.voters)
        ]

    def _send_accepts(self, now: MonotonicTime, actions: list[Action]) -> None:
        self.last_request_number += 1
        # The holding is counted from the time of sending. Counted from the response, a slow response would
        # extend it beyond the grants. Requests stay pending for the whole hold duration: on a link whose
        # round trip is longer than a few requests, dropping them earlier would lose the holding.
        unexpired = [a for a in self.pending_accepts if now < a.sent_at + self.times.hold_duration]
        self.pending_accepts = (
            *unexpired[-MAX_PENDING_ACCEPTS + 1 :],
            PendingAccept(self.last_request_number, now),
        )
        self.due_at = now + self.times.answer
        held = self.state in (State.CLAIMING, State.HOLDING)
        message = Accept(
            self.duty,
            self.ballot,
            self.last_request_number,
            self.config_id,
            int(self.times.lease * 1000),
            held,
        )
        actions += [SendMessage(v, message) for v in sorted(self.voters)]

    def _handle_grant(self, now: MonotonicTime, voter: str, number: int, actions: list[Action]) -> None:
        accept = next((a for a in self.pending_accepts if a.number == number), None)
        if accept is None:
            return
        accept = PendingAccept(accept.number, accept.sent_at, accept.granted_by | {voter})
        self.pending_accepts = tuple(accept if a.number == number else a for a in self.pending_accepts)
        if len(accept.granted_by) < self.majority:
            return
        until = accept.sent_at + self.times.hold_duration
        if now >= until:
            return  # the grants arrived after their expiry
        self.held_until = max(self.held_until, until) if self.state is not State.ACCEPTING else until
        self.due_at = max(
            self.due_at, accept.sent_at + self.times.renewal_interval * (0.9 + 0.2 * self.random())
        )
        self.pending_accepts = tuple(a for a in self.pending_accepts if a.number > number)
        if self.state is State.ACCEPTING:
            self.state, self.held_since, self.known_holder = State.CLAIMING, now, self.process
            self.claim_deadline = now + self.times.claim
            actions.append(ClaimRegisters(self.duty, self.ballot.round))
        actions.append(HoldingRenewed(self.duty, self.ballot.round, self.held_until))

    def _handle_rejection(
        self, now: MonotonicTime, voter: str, response: LeaseRejection, actions: list[Action]
    ) -> None:
        self.rejected_by |= {voter}
        self.retry_delay_ms = max(self.retry_delay_ms, response.retry_after_ms)
        if response.holder != NO_PROCESS:
            self.known_holder = response.holder
        if len(self.voters) - len(self.rejected_by) >= self.majority:
            return  # the remaining voters may still be a majority
        if self.retry_delay_ms <= self.times.answer * 1000 / 2:
            return self._back_off(now, actions)
        self._release_partial_grants(actions)
        self.state = State.IDLE
        self.due_at = now + min(self.retry_delay_ms / 1000, self.times.lease * 2) + self.priority_delay_s
        self.due_at += self.random() * MAX_JITTER_S
        return None

    def _back_off(self, now: MonotonicTime, actions: list[Action]) -> None:
        """Ends an attempt that conflicted or timed out; the next one follows after a random backoff."""
        self._release_partial_grants(actions)
        max_backoff = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0 ** min(self.failed_tries, 10))
        self.failed_tries += 1
        self.state, self.due_at = (
            State.IDLE,
            now + self.priority_delay_s + max_backoff * (0.25 + 0.75 * self.random()),
        )

    def _release_partial_grants(self, actions: list[Action]) -> None:
        """Releases the grants of a minority, so that they do not block other candidates."""
        if self.state is State.ACCEPTING:
            actions += [SendMessage(v, Release(self.duty, self.ballot, False)) for v in sorted(self.voters)]

    def _end_holding(self, now: MonotonicTime, reason: str, failed: bool) -> list[Action]:
        fence, self.state, self.claim_deadline = self.ballot.round, State.IDLE, NO_DEADLINE
        self.held_until, self.pending_accepts, self.known_holder = 0.0, (), NO_PROCESS
        self.due_at = NO_DEADLINE
        # The holding ends here before the voters are notified. In the other order two processes could hold
        # the duty.
        releases = [SendMessage(v, Release(self.duty, self.ballot, failed)) for v in sorted(self.voters)]
        return [HoldingEnded(self.duty, fence, reason), *releases]
