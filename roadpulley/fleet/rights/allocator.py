"""One allocator: what is left of each limit, and which rights are out. Pure. See `terms.py`."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from roadpulley.fleet.duties.terms import MonotonicTime

from .messages import (
    UNIT_EPSILON,
    LedgerSnapshot,
    Limit,
    RightId,
    RightsReply,
    RightsRequest,
    Times,
    is_concurrency_limit,
)

MAX_SNAPSHOTS, MAX_OUTSTANDING_PER_SNAPSHOT = (
    2_000,
    40,
)  # books in one hand-over; rights out of one, so that it fits a datagram
MAX_LIMITS = 100_000  # in memory; of a further one nothing is given out
SWEEP_INTERVAL_S = 5.0
MAX_CONTENDED_RATIO = 0.5  # of what is there: the most that one ask gets while others ask too
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.02, 0.5


@dataclass(slots=True)
class OutstandingRight:
    """A right that is out. `ends`: when its holder can surely spend it no more."""

    holder: int
    units: float
    ends: MonotonicTime


@dataclass(slots=True)
class HolderAccount:
    """Of one holder at one limit: the last answer, and what it wants."""

    number: int
    given: RightsReply
    want: float
    asked_at: MonotonicTime


@dataclass(slots=True)
class LimitLedger:
    """One limit."""

    limit: Limit
    level: float
    filled_at: MonotonicTime
    clear_at: MonotonicTime  # before that nothing is given out: rights of earlier allocators may be spent
    returns: bool = False  # its units come back with the end of what they were spent on
    held: float = 0.0  # units out
    out: dict[int, OutstandingRight] = field(default_factory=dict)
    ending: list[tuple[MonotonicTime, int]] = field(default_factory=list)  # a heap of what is out
    accounts: dict[int, HolderAccount] = field(default_factory=dict)


@dataclass
class InheritedLedgers:
    """Of one part: what the allocator of a fence showed, with when it came, and when it was first asked."""

    fence: int
    asked_at: MonotonicTime
    books: dict[str, tuple[MonotonicTime, LedgerSnapshot]] = field(default_factory=dict)

    def take(self, now: MonotonicTime, legacy: LedgerSnapshot) -> None:
        if legacy.fence == self.fence:
            self.books.setdefault(legacy.limit, (now, legacy))

    def books_for(
        self, now: MonotonicTime, fence: int, times: Times
    ) -> dict[str, tuple[MonotonicTime, LedgerSnapshot]]:
        """What a holding under a fence that begins now may go on from."""
        # Danger: later another allocator between may have given out what these books say is there.
        return self.books if self.fence < fence and now < self.asked_at + times.holds else {}


class Allocator:
    """Since `began`, by its own clock, under one fence; another holding of the duty is another allocator."""

    def __init__(
        self,
        fence: int,
        began: MonotonicTime,
        limits: Mapping[str, Limit],
        times: Times,
        rng: random.Random,
        legacy: Mapping[str, tuple[MonotonicTime, LedgerSnapshot]] | None = None,
    ) -> None:
        """`legacy`: sealed books of the one before, with when they came here."""
        self.fence, self.began, self.times, self.rng = fence, began, times, rng
        self.limits = dict(limits)
        self.books: dict[str, LimitLedger] = {}
        self.legacy = dict(legacy or {})
        self.sealed = False
        self.count = 0  # rights given out
        self.next_sweep = began + SWEEP_INTERVAL_S
        self.given = self.refused = self.ended = 0.0  # units given out; asked for in vain; ended unheard

    @property
    def clear_at(self) -> MonotonicTime:
        """From when on nothing that an earlier allocator gave out can be spent.

        Danger: before that it may all be out still. A level that began to fill at once would be given out
        beside it.
        """
        return self.began + self.times.clear

    # ---- what is asked ----

    def asked(self, now: MonotonicTime, ask: RightsRequest) -> RightsReply | None:
        """The answer; None for an ask of the past, or of a limit that there is not."""
        if self.sealed or ask.fence != self.fence or not (0 <= ask.least <= ask.want < math.inf):
            return None
        book = self.book(ask.limit)
        if book is None:
            return None
        self.fill(now, book)
        known = book.accounts.get(ask.holder)
        if known is not None and ask.number <= known.number:
            # Danger: an ask that comes again is answered as before. A second right for it would be out
            # until its end though nobody holds it.
            return known.given if ask.number == known.number else None
        for closed in ask.closed:
            self.close(book, ask.holder, closed.right, closed.unused)
        given = self._give(now, book, ask)
        book.accounts[ask.holder] = HolderAccount(ask.number, given, ask.want, now)
        self._sweep(now)
        return given

    def close(self, book: LimitLedger, holder: int, right: RightId, unused: float) -> None:
        """A right was written off by its holder: what it did not spend may be given out again."""
        # Danger: numbers begin anew with each fence, and a right that ended here may be given up late. Either
        # would add units that are out with somebody else.
        out = book.out.get(right.number) if right.fence == self.fence else None
        if out is None or out.holder != holder:
            return
        back = min(max(0.0, unused), out.units)
        if book.returns:
            # Danger: what is in use of the right stays out, until that is given up too or the right ends.
            out.units, book.held = out.units - back, book.held - back
            book.level = book.limit.burst - book.held
            return
        del book.out[right.number]
        book.held -= out.units
        book.level = min(book.level + back, book.limit.burst - book.held)

    def _give(self, now: MonotonicTime, book: LimitLedger, ask: RightsRequest) -> RightsReply:
        there = book.level
        if there < ask.least or there <= UNIT_EPSILON or not ask.want:
            if ask.want:
                self.refused += ask.want
            return self._answer(ask, 0, 0.0, self._wait(now, book, ask))
        units = min(ask.want, max(ask.least, there * self._part(now, book, ask)))
        self.count += 1
        self.given += units
        ends = now + self.lease(book.limit)
        book.level -= units
        book.held += units
        book.out[self.count] = OutstandingRight(ask.holder, units, ends)
        heapq.heappush(book.ending, (ends, self.count))
        return self._answer(ask, self.count, units, lease=self.lease(book.limit))

    def _answer(
        self, ask: RightsRequest, number: int, units: float, wait_ms: int = 0, lease: float = 0.0
    ) -> RightsReply:
        right, holds = RightId(self.fence, number), self.times.held(lease or self.times.lease)
        return RightsReply(ask.holder, ask.number, ask.limit, right, units, holds, wait_ms)

    def lease(self, limit: Limit) -> float:
        return limit.lease or self.times.lease

    def clears(self, limit: Limit) -> MonotonicTime:
        return self.began + max(self.times.clear, self.lease(limit))

    def _part(self, now: MonotonicTime, book: LimitLedger, ask: RightsRequest) -> float:
        """Of what is there: its part of what all of late have wanted, and alone all of it."""
        since = now - self.times.lease
        others = sum(
            a.want for holder, a in book.accounts.items() if holder != ask.holder and a.asked_at > since
        )
        return 1.0 if not others else min(MAX_CONTENDED_RATIO, ask.want / (ask.want + others))

    def _wait(self, now: MonotonicTime, book: LimitLedger, ask: RightsRequest) -> int:
        """Milliseconds until there may be enough, apart from those that others are told."""
        lacks = ask.least - book.level
        fills = lacks / book.limit.rate if book.limit.rate else MIN_RETRY_DELAY_S
        wait = max(0.0, book.clear_at - now) + fills
        wait = min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, wait)) * self.rng.uniform(0.8, 1.2)
        return int(wait * 1000) if ask.want else 0

    # ---- time ----

    def fill(self, now: MonotonicTime, book: LimitLedger) -> None:
        """What time has given back, and which rights have ended, in the order in which both came.

        Danger: filled in one step, a level would rise above what the rights left room for at the time.
        """
        while book.ending and book.ending[0][0] <= now:
            ends, number = heapq.heappop(book.ending)
            out = book.out.pop(number, None)
            if out is None:
                continue  # it was given up
            self._rise(ends, book)
            book.held -= out.units
            self.ended += out.units
        self._rise(now, book)

    def _rise(self, now: MonotonicTime, book: LimitLedger) -> None:
        if book.returns:
            book.level = book.limit.burst - book.held if now >= book.clear_at else 0.0
            return
        passed = max(0.0, now - book.filled_at)
        book.filled_at = max(now, book.filled_at)
        # Danger: a fast clock would give out more than the rate.
        risen = book.level + passed * book.limit.rate / (1 + self.times.drift)
        book.level = min(risen, book.limit.burst - book.held)

    # ---- limits ----

    def book(self, name: str) -> LimitLedger | None:
        """Of a limit, or of one customer of a plan (`PLAN/CUSTOMER`); None where there is no such limit."""
        limit, found = self.limit(name), self.books.get(name)
        if limit is None or (found is None and len(self.books) >= MAX_LIMITS):
            return None
        if found is None:
            clear = self.clears(limit)
            found = self.books[name] = LimitLedger(limit, 0.0, clear, clear, is_concurrency_limit(name))
            if (left := self.legacy.pop(name, None)) is not None:
                self._inherit(found, *left)
        return found

    # ---- hand-over ----

    def seal(self, now: MonotonicTime, part: int) -> list[LedgerSnapshot]:
        """Give out nothing more; gives the books that somebody may go on from, the last used first."""
        self.sealed = True
        found: list[LedgerSnapshot] = []
        for name, book in reversed(self.books.items()):
            self.fill(now, book)
            # Danger: one that was waiting itself knows nothing of what its forerunners gave out.
            if (
                now >= book.clear_at
                and len(book.out) <= MAX_OUTSTANDING_PER_SNAPSHOT
                and len(found) < MAX_SNAPSHOTS
            ):
                out = tuple((o.units, o.ends - now) for o in book.out.values())
                found.append(LedgerSnapshot(part, self.fence, name, book.level, out))
        return found

    def _inherit(self, book: LimitLedger, came: MonotonicTime, left: LedgerSnapshot) -> None:
        """Go on from a sealed book. Its times count from when it came, which was after it was sealed."""
        # Danger: rights of another fence can't be given up here; under our own numbers it would seem so.
        book.out = {
            -n: OutstandingRight(0, units, came + lasts) for n, (units, lasts) in enumerate(left.out, 1)
        }
        book.ending = [(out.ends, n) for n, out in book.out.items()]
        heapq.heapify(book.ending)
        book.held = sum(out.units for out in book.out.values())
        book.level = min(left.level, book.limit.burst - book.held)
        book.filled_at = book.clear_at = came

    def limit(self, name: str) -> Limit | None:
        return self.limits.get(name) or self.limits.get(name.partition("/")[0])

    def retune(self, now: MonotonicTime, limits: Mapping[str, Limit]) -> None:
        """Other limits: what is owed to a limit stays owed. One that is lower than what is out gives out
        nothing until enough of that has come back.

        Danger: the book of a limit that is gone stays. Rights of it are out, and one that came back under the
        name would be full beside them.
        """
        self.limits = dict(limits)
        for name, book in list(self.books.items()):
            self.fill(now, book)
            limit = self.limit(name) or book.limit
            book.level += limit.burst - book.limit.burst
            book.limit = limit

    def _sweep(self, now: MonotonicTime) -> None:
        """Forget what says nothing any more: holders that have gone, limits that are full again."""
        if now < self.next_sweep:
            return
        self.next_sweep = now + SWEEP_INTERVAL_S
        for name, book in list(self.books.items()):
            self.fill(now, book)
            # Danger: an account that went while its last ask may come again would answer that with a second
            # right; but no answer to it counts after `holds`.
            since = now - 2 * self.lease(book.limit)
            book.accounts = {h: a for h, a in book.accounts.items() if a.asked_at > since}
            # Danger: a book that comes back starts as full as time since this allocator's beginning makes it.
            fills = book.limit.burst / book.limit.rate * (1 + self.times.drift) if book.limit.rate else 0.0
            whole = book.level >= book.limit.burst - UNIT_EPSILON and now - self.clears(book.limit) >= fills
            if not book.accounts and not book.out and whole:
                del self.books[name]
