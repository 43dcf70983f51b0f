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

NEVER_DUE = float("inf")
FIRST_WAIT_S, LONGEST_WAIT_S = 0.04, 1.0  # after a try that others crossed: doubled, by chance up to that
JITTER_S = 0.02  # of a try whose time is known
MOST_ASKS = 64  # of which the answers are still awaited; older ones than a holding lasts are worth nothing


class State(Enum):
    IDLE = "idle"
    PREPARING = "preparing"
    ACCEPTING = "accepting"
    CLAIMING = "claiming"
    HOLDING = "holding"


@dataclass(frozen=True, slots=True)
class Send:
    voter: str
    message: VoterRequest


@dataclass(frozen=True, slots=True)
class Claim:
    """Have every register take this fence up; then call `claimed`, `too_low` or `finish`."""

    duty: str
    fence: int


@dataclass(frozen=True, slots=True)
class Began:
    """It may be acted on, while `until` is ahead."""

    duty: str
    fence: int


@dataclass(frozen=True, slots=True)
class Renewed:
    """It may be acted on until then, by this process's own clock."""

    duty: str
    fence: int
    until: MonotonicTime


@dataclass(frozen=True, slots=True)
class Ended:
    """It may not be acted on any more. `why` for people."""

    duty: str
    fence: int
    why: str


Action = Send | Claim | Began | Renewed | Ended


@dataclass(frozen=True, slots=True)
class Ask:
    number: int
    at: MonotonicTime
    granted: frozenset[str] = frozenset()


@dataclass
class Candidate:
    """`chance` gives numbers from 0 to 1; `voters` are the names of `roll`'s voters."""

    duty: str
    me: ProcessId
    voters: frozenset[str]
    times: LeaseTimes
    chance: Callable[[], float]
    config_id: tuple[int, int] = (0, 0)
    state: State = State.IDLE
    due: MonotonicTime = NEVER_DUE  # idle: when to try; else: when to ask again
    ballot: Ballot = NO_BALLOT
    top: int = 0  # the highest round that was heard of
    until: MonotonicTime = 0.0  # when this holding ends
    since: MonotonicTime = 0.0  # when it began
    promised: frozenset[str] = frozenset()
    held_off: frozenset[str] = frozenset()  # voters that refused this ballot
    asks: tuple[Ask, ...] = ()
    asked: int = 0
    tries: int = 0  # in a row that were crossed
    handicap: float = 0.0  # seconds that better candidates are left to try first
    holder: ProcessId = NO_PROCESS  # as a voter told last
    wait_ms: int = 0  # the longest that a voter told for this ballot
    gave_up: MonotonicTime = NEVER_DUE  # claiming: when its registers count as out of reach

    # ---- questions ----

    def mine(self, now: MonotonicTime) -> bool:
        """Whether it may be acted on. Danger: it is the fence that makes an act safe, not this."""
        return self.state is State.HOLDING and now < self.until

    def next_at(self) -> MonotonicTime:
        if self.state in (State.CLAIMING, State.HOLDING):
            return min(self.due, self.until, self.gave_up)
        return self.due

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    # ---- events ----

    def want(self, now: MonotonicTime, wait: float) -> None:
        """Try after so many seconds, also in later tries; sooner if one was due sooner."""
        self.handicap = wait
        if self.state is State.IDLE:
            self.due = min(self.due, now + wait + self.chance() * JITTER_S)

    def heard_of(self, fence: int) -> None:
        """So high a number was used."""
        self.top = max(self.top, min(fence, MAX_ROUND - 1))

    def rest(self) -> None:
        """Try no more; what is held stays held."""
        if self.state is State.IDLE:
            self.due = NEVER_DUE

    def tick(self, now: MonotonicTime) -> list[Action]:
        out: list[Action] = []
        if self.state in (State.CLAIMING, State.HOLDING) and now >= self.until:
            return self._end(now, "its time ran out before a majority renewed it", False)
        if self.state is State.CLAIMING and now >= self.gave_up:
            return self._end(now, f"its registers were not reached within {self.times.claim:g} s", True)
        if now < self.due:
            return out
        if self.state is State.IDLE:
            self._prepare(now, out)
        elif self.state is State.PREPARING or self.state is State.ACCEPTING:
            self._crossed(now, out)
        else:
            self._ask(now, out)
        return out

    def heard(self, now: MonotonicTime, voter: str, answer: VoterResponse) -> list[Action]:
        """An answer of one of the voters, known to be that one's."""
        if answer.duty != self.duty or voter not in self.voters:
            return []
        if isinstance(answer, LeaseRejection):
            self.heard_of(answer.round)
        # Danger: an answer to an earlier ballot, counted for this one, would be a vote that nobody gave.
        if answer.ballot != self.ballot:
            return []
        out: list[Action] = []
        if isinstance(answer, Promise) and self.state is State.PREPARING:
            self.promised |= {voter}
            if len(self.promised) >= self.majority:
                self.state = State.ACCEPTING
                self._ask(now, out)
                self.due = now + self.times.answer
        elif isinstance(answer, LeaseGrant) and self.state not in (State.IDLE, State.PREPARING):
            self._granted(now, voter, answer.request_number, out)
        elif isinstance(answer, LeaseRejection) and self.state in (State.PREPARING, State.ACCEPTING):
            self._refused(now, voter, answer, out)
        return out

    def claimed(self, now: MonotonicTime, fence: int) -> list[Action]:
        """All registers have taken it up."""
        if self.state is not State.CLAIMING or fence != self.ballot.round or now >= self.until:
            return []
        self.state, self.gave_up, self.tries = State.HOLDING, NEVER_DUE, 0
        return [Began(self.duty, fence)]

    def too_low(self, now: MonotonicTime, fence: int, highest: int) -> list[Action]:
        """A register has seen a higher one: after all voters lost their memory, or a clock stepped back."""
        if self.state not in (State.CLAIMING, State.HOLDING) or fence != self.ballot.round:
            return []
        self.heard_of(highest)
        out = self._end(now, f"fence {fence} is not above {highest}, which was taken up before", False)
        self.due = now  # at once, with a higher one
        return out

    def finish(self, now: MonotonicTime, why: str, failed: bool = False) -> list[Action]:
        """Let go of it, if it is held; `failed`: nobody should hurry to take it."""
        if self.state in (State.CLAIMING, State.HOLDING):
            return self._end(now, why, failed)
        return []

    def set_voters(
        self, now: MonotonicTime, config_id: tuple[int, int], voters: frozenset[str]
    ) -> list[Action]:
        """Other voters from now on. What is held is kept for what it was granted, and renewed by them."""
        if config_id <= self.config_id:
            return []
        self.config_id, self.voters, self.asks = config_id, voters, ()
        self.promised &= voters
        if self.state in (State.PREPARING, State.ACCEPTING):
            out: list[Action] = []
            self._crossed(now, out)
            return out
        if self.state is not State.IDLE:
            self.due = now
            return self.tick(now)
        return []

    # ---- inside ----

    def _prepare(self, now: MonotonicTime, out: list[Action]) -> None:
        self.state, self.promised, self.held_off, self.asks = State.PREPARING, frozenset(), frozenset(), ()
        self.top = max(self.top, self.ballot.round) + 1
        self.ballot, self.wait_ms = Ballot(self.top, self.me), 0
        self.due = now + self.times.answer
        out += [Send(v, Prepare(self.duty, self.ballot, self.config_id)) for v in sorted(self.voters)]

    def _ask(self, now: MonotonicTime, out: list[Action]) -> None:
        self.asked += 1
        # Danger: time counts from here. Counted from the answers, a slow one would have it held too long.
        # Danger: forgotten sooner, a link that is slower than a few asks would lose what it could hold.
        awaited = [a for a in self.asks if now < a.at + self.times.hold_duration]
        self.asks = (*awaited[-MOST_ASKS + 1 :], Ask(self.asked, now))
        self.due = now + self.times.answer
        held = self.state in (State.CLAIMING, State.HOLDING)
        message = Accept(
            self.duty, self.ballot, self.asked, self.config_id, int(self.times.lease * 1000), held
        )
        out += [Send(v, message) for v in sorted(self.voters)]

    def _granted(self, now: MonotonicTime, voter: str, number: int, out: list[Action]) -> None:
        ask = next((a for a in self.asks if a.number == number), None)
        if ask is None:
            return
        ask = Ask(ask.number, ask.at, ask.granted | {voter})
        self.asks = tuple(ask if a.number == number else a for a in self.asks)
        if len(ask.granted) < self.majority:
            return
        until = ask.at + self.times.hold_duration
        if now >= until:
            return  # too late to be worth anything
        self.until = max(self.until, until) if self.state is not State.ACCEPTING else until
        self.due = max(self.due, ask.at + self.times.renewal_interval * (0.9 + 0.2 * self.chance()))
        self.asks = tuple(a for a in self.asks if a.number > number)
        if self.state is State.ACCEPTING:
            self.state, self.since, self.holder = State.CLAIMING, now, self.me
            self.gave_up = now + self.times.claim
            out.append(Claim(self.duty, self.ballot.round))
        out.append(Renewed(self.duty, self.ballot.round, self.until))

    def _refused(self, now: MonotonicTime, voter: str, answer: LeaseRejection, out: list[Action]) -> None:
        self.held_off |= {voter}
        self.wait_ms = max(self.wait_ms, answer.retry_after_ms)
        if answer.holder != NO_PROCESS:
            self.holder = answer.holder
        if len(self.voters) - len(self.held_off) >= self.majority:
            return  # the others may still be enough
        if self.wait_ms <= self.times.answer * 1000 / 2:
            return self._crossed(now, out)
        self._drop(out)
        self.state = State.IDLE
        self.due = now + min(self.wait_ms / 1000, self.times.lease * 2) + self.handicap
        self.due += self.chance() * JITTER_S
        return None

    def _crossed(self, now: MonotonicTime, out: list[Action]) -> None:
        """Others were in the way, or nobody answered: again, after a wait by chance."""
        self._drop(out)
        most = min(LONGEST_WAIT_S, FIRST_WAIT_S * 2.0 ** min(self.tries, 10))
        self.tries += 1
        self.state, self.due = State.IDLE, now + self.handicap + most * (0.25 + 0.75 * self.chance())

    def _drop(self, out: list[Action]) -> None:
        """Give back what single voters may have granted, so that it blocks nobody."""
        if self.state is State.ACCEPTING:
            out += [Send(v, Release(self.duty, self.ballot, False)) for v in sorted(self.voters)]

    def _end(self, now: MonotonicTime, why: str, failed: bool) -> list[Action]:
        fence, self.state, self.gave_up = self.ballot.round, State.IDLE, NEVER_DUE
        self.until, self.asks, self.holder = 0.0, (), NO_PROCESS
        self.due = NEVER_DUE
        # Danger: first it ends here, then the voters hear of it; the other way round two could hold it.
        release = [Send(v, Release(self.duty, self.ballot, failed)) for v in sorted(self.voters)]
        return [Ended(self.duty, fence, why), *release]
