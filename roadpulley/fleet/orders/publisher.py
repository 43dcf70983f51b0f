"""One holding of the duty to publish orders. Pure: answers, wishes and the time in, whom to tell out."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from roadpulley.fleet.duties.terms import MonotonicTime
from roadpulley.fleet.duties.voter_config import VoterConfig, majority_size

from .messages import (
    MAX_ORDERS,
    ChangeOutcome,
    ChangeRequest,
    Order,
    OrderBook,
    Version,
    VoterReply,
    validate_order,
)

MAX_QUEUED_CHANGES = 64  # that wait for the one that is being made
MAX_REMEMBERED_OUTCOMES = 256  # outcomes that are remembered, for calls that come again
FULL_READ_TIMEOUT_RATIO = (
    3.0  # times the answer: for which those who follow are waited for, if they are needed
)
READY_RETRY_RATIO = 5.0  # times the answer: between two tries at a voter whose vote is not waited for
FOLLOWER_TIMEOUT_S = 3.0  # since its last poll: a follower counts as there


class PublisherState(Enum):
    READING = "reading"  # what a majority keeps
    TAKING = "having it taken"  # the last book made, by a majority
    READY = "ready"
    OVERTAKEN = "overtaken"  # a higher fence was seen


@dataclass(slots=True)
class FollowerStatus:
    """A follower, as it polled last."""

    id: Version
    at: MonotonicTime


class Publisher:
    """`ours`: the highest book known here. `answer`: seconds until a voter is asked again."""

    def __init__(self, fence: int, roll: VoterConfig, ours: OrderBook, answer: float) -> None:
        self.fence, self.roll, self.book, self.answer = fence, roll, ours, answer
        self.step = PublisherState.READING
        self.heard: dict[str, bool] = {}  # voters that were read, and whether their memory is whole
        self.took: set[str] = set()  # of `book`
        self.due: dict[str, MonotonicTime] = {}
        self.patient_until: MonotonicTime | None = None  # since the first look at the time
        self.waited = False  # long enough for those who follow to have answered
        self.forced = False  # an operator has said to go on with whom there is
        self.making: ChangeRequest | None = None
        self.wishes: deque[ChangeRequest] = deque()
        self.done: dict[str, ChangeOutcome] = {}
        self.followers: dict[str, FollowerStatus] = {}
        self.overtaken_by = 0  # a higher fence
        self.published: OrderBook | None = None  # the last that was acknowledged under this fence
        self.recovered = 0  # voters that had lost their memory when a book was read without enough whole ones

    # ---- voters ----

    def adopt(self, roll: VoterConfig) -> None:
        """Other voters count from now on; the new one has nothing yet."""
        self.roll = roll
        if self.step is PublisherState.READY:
            # Danger: the majority that has the book may be none of these voters.
            self._make(self.book.orders)

    def kept(self, voter: str, keeps: VoterReply, book: OrderBook | None) -> None:
        """A voter's answer, or what one that does not vote follows. `book`: where that has come whole."""
        if keeps.promised > self.fence or keeps.id.fence > self.fence:
            self.step, self.overtaken_by = PublisherState.OVERTAKEN, max(keeps.promised, keeps.id.fence)
            return
        if self.step is PublisherState.READING:
            if keeps.id > self.book.id:
                if book is None or book.id != keeps.id:
                    return  # Danger: read without its book, a newer one than ours would be undone
                self.book = book
            if keeps.promised == self.fence:
                self.heard[voter] = keeps.whole
        elif keeps.id == self.book.id and keeps.whole:
            self.took.add(voter)
        self._look()

    def _look(self) -> None:
        if self.step is PublisherState.READING and self._read():
            self.recovered = 0 if self._enough(self._whole()) else self._blank()
            self._make(self.book.orders)
        elif self.step is PublisherState.TAKING and self._enough(self.took):
            self.step, self.published = PublisherState.READY, self.book
            if self.making is not None:
                self.recovered = 0
                self._end(self.making, "")
            self._next()

    def _read(self) -> bool:
        if self._enough(self._whole()):
            return True
        # Danger: with some that lost their memory, one that is out of reach may alone know the newest book.
        # So all voters are waited for, and for who follows: they show what was acknowledged.
        return self.waited and (self.everyone() <= set(self.heard) or self._forced())

    def _forced(self) -> bool:
        return self.forced and self._enough(set(self.heard))

    def _whole(self) -> set[str]:
        return {voter for voter, whole in self.heard.items() if whole}

    def _blank(self) -> int:
        return len(self.everyone() & set(self.heard) - self._whole())

    def _enough(self, names: set[str]) -> bool:
        rolls: tuple[Mapping[str, str], ...] = (self.roll.before, self.roll.voters)
        return all(len(names & set(voters)) >= majority_size(voters) for voters in rolls)

    def everyone(self) -> set[str]:
        return {*self.roll.before, *self.roll.voters}

    def force(self) -> None:
        """Go on although too few voters have their memory: what only others knew is lost."""
        self.forced = True
        self._look()

    # ---- books ----

    def _make(self, orders: tuple[Order, ...]) -> None:
        # Danger: numbers go on from the book before, so that no two books have one version.
        self.book = OrderBook(Version(self.fence, self.book.id.number + 1), orders)
        self.step, self.took, self.due = PublisherState.TAKING, set(), {}

    def wish(self, wish: ChangeRequest) -> ChangeOutcome | None:
        """An operator's call; its outcome where that is known."""
        if known := self.done.get(wish.ticket):
            return known
        if not wish.lift and (why := validate_order(wish.order)):
            return self._end(wish, why)
        if len(self.wishes) >= MAX_QUEUED_CHANGES:
            return ChangeOutcome(wish.ticket, self.book.id, "too many calls wait; try again")
        waiting = [*self.wishes, *([self.making] if self.making else [])]
        if all(wish.ticket != other.ticket for other in waiting):
            self.wishes.append(wish)
        self._next()
        return self.done.get(wish.ticket)

    def _next(self) -> None:
        while self.wishes and self.step is PublisherState.READY:
            self.making = wish = self.wishes.popleft()
            others = tuple(o for o in self.book.orders if o.key != wish.order.key)
            if any(o.ticket == wish.ticket for o in self.book.orders):
                self._end(wish, "")  # the publisher before had it taken, and could not say so
            elif wish.lift and len(others) == len(self.book.orders):
                self._end(wish, "there is no such order")
            elif not wish.lift and len(others) >= MAX_ORDERS:
                self._end(wish, f"there are {MAX_ORDERS} orders already; lift one")
            else:
                self._make(others if wish.lift else (*others, wish.order))

    def _end(self, wish: ChangeRequest, why: str) -> ChangeOutcome:
        if self.making is wish:
            self.making = None
        outcome = self.done[wish.ticket] = ChangeOutcome(wish.ticket, self.book.id, why)
        while len(self.done) > MAX_REMEMBERED_OUTCOMES:
            del self.done[next(iter(self.done))]
        return outcome

    # ---- followers ----

    def polled(self, now: MonotonicTime, name: str, id: Version) -> None:
        self.followers[name] = FollowerStatus(id, now)

    def following(self, now: MonotonicTime) -> tuple[int, int]:
        """Instances that go by the newest book, and those that polled lately."""
        there = [seen for seen in self.followers.values() if now - seen.at < FOLLOWER_TIMEOUT_S]
        return sum(seen.id == self.book.id for seen in there), len(there)

    # ---- time ----

    def tick(self, now: MonotonicTime, wall_ms: int) -> list[str]:
        """Voters to be looked at, while it reads; else those that are to take the book."""
        if self.step is PublisherState.OVERTAKEN:
            return []
        if not self.waited:
            self.patient_until = self.patient_until or now + FULL_READ_TIMEOUT_RATIO * self.answer
            self.waited = now >= self.patient_until
            self._look()
        if self.step is PublisherState.READY:
            standing = self.book.standing(wall_ms)
            if len(standing) < len(self.book.orders):
                self._make(standing)
        over = set(self.heard) if self.step is PublisherState.READING else self.took
        again = self.answer * (READY_RETRY_RATIO if self.step is PublisherState.READY else 1.0)
        due = [v for v in sorted(self.everyone() - over) if now >= self.due.get(v, 0.0)]
        self.due |= dict.fromkeys(due, now + again)
        return due

    def missing(self) -> str:
        """What it waits for, for people."""
        if self.step is not PublisherState.READING:
            return ""
        silent, blank = sorted(self.everyone() - set(self.heard)), self._blank()
        if not blank:
            return f"a majority of {', '.join(sorted(self.everyone()))}"
        return f"{', '.join(silent)}: {blank} voters have lost their memory, and these may know a newer book"
