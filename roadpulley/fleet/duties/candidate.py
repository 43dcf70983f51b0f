"""One duty at one instance that may hold it. Pure: answers and the time come in, actions go out.

| state     | what it waits for                 | then                                                     |
| --------- | --------------------------------- | -------------------------------------------------------- |
| idle      | `due`; never, if it is not wanted | preparing                                                |
| preparing | promises of a majority            | accepting                                                |
| accepting | a majority's grants for one ask   | claiming: it is held, and not acted on yet               |
| claiming  | the registers that it touches     | holding; idle where the fence is too low, or out of time |
| holding   | told to finish, or out of time    | idle                                                     |

Claiming and holding ask anew every third of the time that they may hold. Each ask is counted by itself: only
grants of one ask, by a majority, from when it was made, give more time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

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
    ProcessId,
    Promise,
    Release,
    VoterRequest,
    VoterResponse,
)

NO_DEADLINE = float("inf")
# Backoff after a failed try: the upper bound doubles with each try, and the wait is drawn at random below it.
MIN_BACKOFF_S = 0.04
MAX_BACKOFF_S = 1.0
MAX_JITTER_S = 0.02  # of a try whose time is known
MAX_PENDING_ACCEPTS = (
    64  # of which the answers are still awaited; older ones than a holding lasts are worth nothing
)


class State(Enum):
    IDLE = "idle"
    PREPARING = "preparing"
    ACCEPTING = "accepting"
    CLAIMING = "claiming"
    HOLDING = "holding"


@dataclass(frozen=True, slots=True)
class SendMessage:
    voter: str
    message: VoterRequest


@dataclass(frozen=True, slots=True)
class ClaimRegisters:
    """Have every register take this fence up; then call `claimed`, `too_low` or `finish`."""

    duty: str
    fence: int


@dataclass(frozen=True, slots=True)
class HoldingStarted:
    """It may be acted on, while `until` is ahead."""

    duty: str
    fence: int


@dataclass(frozen=True, slots=True)
class HoldingRenewed:
    """It may be acted on until then, by this process's own clock."""

    duty: str
    fence: int
    until: MonotonicTime


@dataclass(frozen=True, slots=True)
class HoldingEnded:
    """It may not be acted on any more. `why` for people."""

    duty: str
    fence: int
    why: str


Action = SendMessage | ClaimRegisters | HoldingStarted | HoldingRenewed | HoldingEnded


@dataclass(frozen=True, slots=True)
class PendingAccept:
    number: int
    sent_at: MonotonicTime
    granted_by: frozenset[str] = frozenset()


@dataclass
class Candidate:
    """`chance` gives numbers from 0 to 1; `voters` are the names of `roll`'s voters."""

    duty: str
    process: ProcessId
    voters: frozenset[str]
    times: LeaseTimes
    random: Callable[[], float]
    config_id: tuple[int, int] = (0, 0)
    state: State = State.IDLE
    due_at: MonotonicTime = NO_DEADLINE  # idle: when to try; else: when to ask again
    ballot: Ballot = NO_BALLOT
    highest_round: int = 0  # the highest round that was heard of
    held_until: MonotonicTime = 0.0  # when this holding ends
    held_since: MonotonicTime = 0.0  # when it began
    promised_by: frozenset[str] = frozenset()
    rejected_by: frozenset[str] = frozenset()  # voters that refused this ballot
    pending_accepts: tuple[PendingAccept, ...] = ()
    last_request_number: int = 0
    failed_tries: int = 0  # in a row that were crossed
    priority_delay_s: float = 0.0  # seconds that better candidates are left to try first
    known_holder: ProcessId = NO_PROCESS  # as a voter told last
    retry_delay_ms: int = 0  # the longest that a voter told for this ballot
    claim_deadline: MonotonicTime = NO_DEADLINE  # claiming: when its registers count as out of reach

    # ---- questions ----

    def is_held(self, now: MonotonicTime) -> bool:
        """Whether it may be acted on. Danger: it is the fence that makes an act safe, not this."""
        return self.state is State.HOLDING and now < self.held_until

    def next_tick_at(self) -> MonotonicTime:
        if self.state in (State.CLAIMING, State.HOLDING):
            return min(self.due_at, self.held_until, self.claim_deadline)
        return self.due_at

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    # ---- events ----

    def schedule_try(self, now: MonotonicTime, delay_s: float) -> None:
        """Try after so many seconds, also in later tries; sooner if one was due sooner."""
        self.priority_delay_s = delay_s
        if self.state is State.IDLE:
            self.due_at = min(self.due_at, now + delay_s + self.random() * MAX_JITTER_S)

    def observe_round(self, fence: int) -> None:
        """So high a number was used."""
        self.highest_round = max(self.highest_round, min(fence, MAX_ROUND - 1))

    def stop_trying(self) -> None:
        """Try no more; what is held stays held."""
        if self.state is State.IDLE:
            self.due_at = NO_DEADLINE

    def tick(self, now: MonotonicTime) -> list[Action]:
        out: list[Action] = []
        if self.state in (State.CLAIMING, State.HOLDING) and now >= self.held_until:
            return self._end_holding(now, "its time ran out before a majority renewed it", False)
        if self.state is State.CLAIMING and now >= self.claim_deadline:
            return self._end_holding(
                now, f"its registers were not reached within {self.times.claim:g} s", True
            )
        if now < self.due_at:
            return out
        if self.state is State.IDLE:
            self._start_prepare(now, out)
        elif self.state is State.PREPARING or self.state is State.ACCEPTING:
            self._back_off(now, out)
        else:
            self._send_accepts(now, out)
        return out

    def handle_response(self, now: MonotonicTime, voter: str, answer: VoterResponse) -> list[Action]:
        """An answer of one of the voters, known to be that one's."""
        if answer.duty != self.duty or voter not in self.voters:
            return []
        if isinstance(answer, LeaseRejection):
            self.observe_round(answer.round)
        # Danger: an answer to an earlier ballot, counted for this one, would be a vote that nobody gave.
        if answer.ballot != self.ballot:
            return []
        out: list[Action] = []
        if isinstance(answer, Promise) and self.state is State.PREPARING:
            self.promised_by |= {voter}
            if len(self.promised_by) >= self.majority:
                self.state = State.ACCEPTING
                self._send_accepts(now, out)
                self.due_at = now + self.times.answer
        elif isinstance(answer, LeaseGrant) and self.state not in (State.IDLE, State.PREPARING):
            self._handle_grant(now, voter, answer.request_number, out)
        elif isinstance(answer, LeaseRejection) and self.state in (State.PREPARING, State.ACCEPTING):
            self._handle_rejection(now, voter, answer, out)
        return out

    def handle_claimed(self, now: MonotonicTime, fence: int) -> list[Action]:
        """All registers have taken it up."""
        if self.state is not State.CLAIMING or fence != self.ballot.round or now >= self.held_until:
            return []
        self.state, self.claim_deadline, self.failed_tries = State.HOLDING, NO_DEADLINE, 0
        return [HoldingStarted(self.duty, fence)]

    def handle_low_fence(self, now: MonotonicTime, fence: int, highest: int) -> list[Action]:
        """A register has seen a higher one: after all voters lost their memory, or a clock stepped back."""
        if self.state not in (State.CLAIMING, State.HOLDING) or fence != self.ballot.round:
            return []
        self.observe_round(highest)
        out = self._end_holding(
            now, f"fence {fence} is not above {highest}, which was taken up before", False
        )
        self.due_at = now  # at once, with a higher one
        return out

    def release(self, now: MonotonicTime, why: str, failed: bool = False) -> list[Action]:
        """Let go of it, if it is held; `failed`: nobody should hurry to take it."""
        if self.state in (State.CLAIMING, State.HOLDING):
            return self._end_holding(now, why, failed)
        return []

    def set_voters(
        self, now: MonotonicTime, config_id: tuple[int, int], voters: frozenset[str]
    ) -> list[Action]:
        """Other voters from now on. What is held is kept for what it was granted, and renewed by them."""
        if config_id <= self.config_id:
            return []
        self.config_id, self.voters, self.pending_accepts = config_id, voters, ()
        self.promised_by &= voters
        if self.state in (State.PREPARING, State.ACCEPTING):
            out: list[Action] = []
            self._back_off(now, out)
            return out
        if self.state is not State.IDLE:
            self.due_at = now
            return self.tick(now)
        return []

    # ---- inside ----

    def _start_prepare(self, now: MonotonicTime, out: list[Action]) -> None:
        self.state, self.promised_by, self.rejected_by, self.pending_accepts = (
            State.PREPARING,
            frozenset(),
            frozenset(),
            (),
        )
        self.highest_round = max(self.highest_round, self.ballot.round) + 1
        self.ballot, self.retry_delay_ms = Ballot(self.highest_round, self.process), 0
        self.due_at = now + self.times.answer
        out += [SendMessage(v, Prepare(self.duty, self.ballot, self.config_id)) for v in sorted(self.voters)]

    def _send_accepts(self, now: MonotonicTime, out: list[Action]) -> None:
        self.last_request_number += 1
        # Danger: time counts from here. Counted from the answers, a slow one would have it held too long.
        # Danger: forgotten sooner, a link that is slower than a few asks would lose what it could hold.
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
        out += [SendMessage(v, message) for v in sorted(self.voters)]

    def _handle_grant(self, now: MonotonicTime, voter: str, number: int, out: list[Action]) -> None:
        accept = next((a for a in self.pending_accepts if a.number == number), None)
        if accept is None:
            return
        accept = PendingAccept(accept.number, accept.sent_at, accept.granted_by | {voter})
        self.pending_accepts = tuple(accept if a.number == number else a for a in self.pending_accepts)
        if len(accept.granted_by) < self.majority:
            return
        until = accept.sent_at + self.times.hold_duration
        if now >= until:
            return  # too late to be worth anything
        self.held_until = max(self.held_until, until) if self.state is not State.ACCEPTING else until
        self.due_at = max(
            self.due_at, accept.sent_at + self.times.renewal_interval * (0.9 + 0.2 * self.random())
        )
        self.pending_accepts = tuple(a for a in self.pending_accepts if a.number > number)
        if self.state is State.ACCEPTING:
            self.state, self.held_since, self.known_holder = State.CLAIMING, now, self.process
            self.claim_deadline = now + self.times.claim
            out.append(ClaimRegisters(self.duty, self.ballot.round))
        out.append(HoldingRenewed(self.duty, self.ballot.round, self.held_until))

    def _handle_rejection(
        self, now: MonotonicTime, voter: str, answer: LeaseRejection, out: list[Action]
    ) -> None:
        self.rejected_by |= {voter}
        self.retry_delay_ms = max(self.retry_delay_ms, answer.retry_after_ms)
        if answer.holder != NO_PROCESS:
            self.known_holder = answer.holder
        if len(self.voters) - len(self.rejected_by) >= self.majority:
            return  # the others may still be enough
        if self.retry_delay_ms <= self.times.answer * 1000 / 2:
            return self._back_off(now, out)
        self._release_partial_grants(out)
        self.state = State.IDLE
        self.due_at = now + min(self.retry_delay_ms / 1000, self.times.lease * 2) + self.priority_delay_s
        self.due_at += self.random() * MAX_JITTER_S
        return None

    def _back_off(self, now: MonotonicTime, out: list[Action]) -> None:
        """Others were in the way, or nobody answered: again, after a wait by chance."""
        self._release_partial_grants(out)
        max_backoff = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0 ** min(self.failed_tries, 10))
        self.failed_tries += 1
        self.state, self.due_at = (
            State.IDLE,
            now + self.priority_delay_s + max_backoff * (0.25 + 0.75 * self.random()),
        )

    def _release_partial_grants(self, out: list[Action]) -> None:
        """Give back what single voters may have granted, so that it blocks nobody."""
        if self.state is State.ACCEPTING:
            out += [SendMessage(v, Release(self.duty, self.ballot, False)) for v in sorted(self.voters)]

    def _end_holding(self, now: MonotonicTime, why: str, failed: bool) -> list[Action]:
        fence, self.state, self.claim_deadline = self.ballot.round, State.IDLE, NO_DEADLINE
        self.held_until, self.pending_accepts, self.known_holder = 0.0, (), NO_PROCESS
        self.due_at = NO_DEADLINE
        # Danger: first it ends here, then the voters hear of it; the other way round two could hold it.
        releases = [SendMessage(v, Release(self.duty, self.ballot, failed)) for v in sorted(self.voters)]
        return [HoldingEnded(self.duty, fence, why), *releases]
