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
    expires_at: MonotonicTime


@dataclass(slots=True)
class HolderAccount:
    """Of one holder at one limit: the last answer, and what it wants."""

    request_number: int
    reply: RightsReply
    wanted_units: float
    requested_at: MonotonicTime


@dataclass(slots=True)
class LimitLedger:
    """One limit."""

    limit: Limit
    level: float
    refilled_at: MonotonicTime
    ready_at: MonotonicTime  # before that nothing is given out: rights of earlier allocators may be spent
    is_concurrency_limit: bool = False  # its units come back with the end of what they were spent on
    outstanding_units: float = 0.0  # units out
    outstanding: dict[int, OutstandingRight] = field(default_factory=dict)
    expiry_heap: list[tuple[MonotonicTime, int]] = field(default_factory=list)  # a heap of what is out
    accounts: dict[int, HolderAccount] = field(default_factory=dict)


@dataclass
class InheritedLedgers:
    """Of one part: what the allocator of a fence showed, with when it came, and when it was first asked."""

    fence: int
    requested_at: MonotonicTime
    snapshots: dict[str, tuple[MonotonicTime, LedgerSnapshot]] = field(default_factory=dict)

    def add(self, now: MonotonicTime, legacy: LedgerSnapshot) -> None:
        if legacy.fence == self.fence:
            self.snapshots.setdefault(legacy.limit, (now, legacy))

    def usable_snapshots(
        self, now: MonotonicTime, fence: int, times: Times
    ) -> dict[str, tuple[MonotonicTime, LedgerSnapshot]]:
        """What a holding under a fence that begins now may go on from."""
        # Danger: later another allocator between may have given out what these books say is there.
        return self.snapshots if self.fence < fence and now < self.requested_at + times.holder_lease_s else {}


class Allocator:
    """Since `began`, by its own clock, under one fence; another holding of the duty is another allocator."""

    def __init__(
        self,
        fence: int,
        started_at: MonotonicTime,
        limits: Mapping[str, Limit],
        times: Times,
        rng: random.Random,
        inherited: Mapping[str, tuple[MonotonicTime, LedgerSnapshot]] | None = None,
    ) -> None:
        """`legacy`: sealed books of the one before, with when they came here."""
        self.fence, self.started_at, self.times, self.rng = fence, started_at, times, rng
        self.limits = dict(limits)
        self.ledgers: dict[str, LimitLedger] = {}
        self.inherited = dict(inherited or {})
        self.sealed = False
        self.granted_count = 0  # rights given out
        self.next_sweep_at = started_at + SWEEP_INTERVAL_S
        self.granted_units = self.refused_units = self.expired_units = (
            0.0  # units given out; asked for in vain; ended unheard
        )

    @property
    def ready_at(self) -> MonotonicTime:
        """From when on nothing that an earlier allocator gave out can be spent.

        Danger: before that it may all be out still. A level that began to fill at once would be given out
        beside it.
        """
        return self.started_at + self.times.clear

    # ---- what is asked ----

    def handle_request(self, now: MonotonicTime, ask: RightsRequest) -> RightsReply | None:
        """The answer; None for an ask of the past, or of a limit that there is not."""
        if self.sealed or ask.fence != self.fence or not (0 <= ask.min_units <= ask.wanted_units < math.inf):
            return None
        book = self.get_ledger(ask.limit)
        if book is None:
            return None
        self.refill(now, book)
        known = book.accounts.get(ask.holder)
        if known is not None and ask.request_number <= known.request_number:
            # Danger: an ask that comes again is answered as before. A second right for it would be out
            # until its end though nobody holds it.
            return known.reply if ask.request_number == known.request_number else None
        for closed in ask.returned:
            self.return_right(book, ask.holder, closed.right_id, closed.unused_units)
        given = self._grant(now, book, ask)
        book.accounts[ask.holder] = HolderAccount(ask.request_number, given, ask.wanted_units, now)
        self._sweep(now)
        return given

    def return_right(self, book: LimitLedger, holder: int, right: RightId, unused: float) -> None:
        """A right was written off by its holder: what it did not spend may be given out again."""
        # Danger: numbers begin anew with each fence, and a right that ended here may be given up late. Either
        # would add units that are out with somebody else.
        out = book.outstanding.get(right.number) if right.fence == self.fence else None
        if out is None or out.holder != holder:
            return
        back = min(max(0.0, unused), out.units)
        if book.is_concurrency_limit:
            # Danger: what is in use of the right stays out, until that is given up too or the right ends.
            out.units, book.outstanding_units = out.units - back, book.outstanding_units - back
            book.level = book.limit.burst - book.outstanding_units
            return
        del book.outstanding[right.number]
        book.outstanding_units -= out.units
        book.level = min(book.level + back, book.limit.burst - book.outstanding_units)

    def _grant(self, now: MonotonicTime, book: LimitLedger, ask: RightsRequest) -> RightsReply:
        there = book.level
        if there < ask.min_units or there <= UNIT_EPSILON or not ask.wanted_units:
            if ask.wanted_units:
                self.refused_units += ask.wanted_units
            return self._reply(ask, 0, 0.0, self._retry_after_ms(now, book, ask))
        units = min(ask.wanted_units, max(ask.min_units, there * self._contended_ratio(now, book, ask)))
        self.granted_count += 1
        self.granted_units += units
        ends = now + self.lease_for(book.limit)
        book.level -= units
        book.outstanding_units += units
        book.outstanding[self.granted_count] = OutstandingRight(ask.holder, units, ends)
        heapq.heappush(book.expiry_heap, (ends, self.granted_count))
        return self._reply(ask, self.granted_count, units, lease=self.lease_for(book.limit))

    def _reply(
        self, ask: RightsRequest, number: int, units: float, wait_ms: int = 0, lease: float = 0.0
    ) -> RightsReply:
        right, holds = RightId(self.fence, number), self.times.holder_lease_for(lease or self.times.lease)
        return RightsReply(ask.holder, ask.request_number, ask.limit, right, units, holds, wait_ms)

    def lease_for(self, limit: Limit) -> float:
        return limit.lease or self.times.lease

    def ready_at_for(self, limit: Limit) -> MonotonicTime:
        return self.started_at + max(self.times.clear, self.lease_for(limit))

    def _contended_ratio(self, now: MonotonicTime, book: LimitLedger, ask: RightsRequest) -> float:
        """Of what is there: its part of what all of late have wanted, and alone all of it."""
        since = now - self.times.lease
        others = sum(
            a.wanted_units
            for holder, a in book.accounts.items()
            if holder != ask.holder and a.requested_at > since
        )
        return 1.0 if not others else min(MAX_CONTENDED_RATIO, ask.wanted_units / (ask.wanted_units + others))

    def _retry_after_ms(self, now: MonotonicTime, book: LimitLedger, ask: RightsRequest) -> int:
        """Milliseconds until there may be enough, apart from those that others are told."""
        lacks = ask.min_units - book.level
        fills = lacks / book.limit.rate if book.limit.rate else MIN_RETRY_DELAY_S
        wait = max(0.0, book.ready_at - now) + fills
        wait = min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, wait)) * self.rng.uniform(0.8, 1.2)
        return int(wait * 1000) if ask.wanted_units else 0

    # ---- time ----

    def refill(self, now: MonotonicTime, book: LimitLedger) -> None:
        """What time has given back, and which rights have ended, in the order in which both came.

        Danger: filled in one step, a level would rise above what the rights left room for at the time.
        """
        while book.expiry_heap and book.expiry_heap[0][0] <= now:
            ends, number = heapq.heappop(book.expiry_heap)
            out = book.outstanding.pop(number, None)
            if out is None:
                continue  # it was given up
            self._raise_level(ends, book)
            book.outstanding_units -= out.units
            self.expired_units += out.units
        self._raise_level(now, book)

    def _raise_level(self, now: MonotonicTime, book: LimitLedger) -> None:
        if book.is_concurrency_limit:
            book.level = book.limit.burst - book.outstanding_units if now >= book.ready_at else 0.0
            return
        passed = max(0.0, now - book.refilled_at)
        book.refilled_at = max(now, book.refilled_at)
        # Danger: a fast clock would give out more than the rate.
        risen = book.level + passed * book.limit.rate / (1 + self.times.drift)
        book.level = min(risen, book.limit.burst - book.outstanding_units)

    # ---- limits ----

    def get_ledger(self, name: str) -> LimitLedger | None:
        """Of a limit, or of one customer of a plan (`PLAN/CUSTOMER`); None where there is no such limit."""
        limit, found = self.find_limit(name), self.ledgers.get(name)
        if limit is None or (found is None and len(self.ledgers) >= MAX_LIMITS):
            return None
        if found is None:
            clear = self.ready_at_for(limit)
            found = self.ledgers[name] = LimitLedger(limit, 0.0, clear, clear, is_concurrency_limit(name))
            if (left := self.inherited.pop(name, None)) is not None:
                self._inherit(found, *left)
        return found

    # ---- hand-over ----

    def seal(self, now: MonotonicTime, part: int) -> list[LedgerSnapshot]:
        """Give out nothing more; gives the books that somebody may go on from, the last used first."""
        self.sealed = True
        found: list[LedgerSnapshot] = []
        for name, book in reversed(self.ledgers.items()):
            self.refill(now, book)
            # Danger: one that was waiting itself knows nothing of what its forerunners gave out.
            if (
                now >= book.ready_at
                and len(book.outstanding) <= MAX_OUTSTANDING_PER_SNAPSHOT
                and len(found) < MAX_SNAPSHOTS
            ):
                out = tuple((o.units, o.expires_at - now) for o in book.outstanding.values())
                found.append(LedgerSnapshot(part, self.fence, name, book.level, out))
        return found

    def _inherit(self, book: LimitLedger, came: MonotonicTime, left: LedgerSnapshot) -> None:
        """Go on from a sealed book. Its times count from when it came, which was after it was sealed."""
        # Danger: rights of another fence can't be given up here; under our own numbers it would seem so.
        book.outstanding = {
            -n: OutstandingRight(0, units, came + lasts)
            for n, (units, lasts) in enumerate(left.outstanding, 1)
        }
        book.expiry_heap = [(out.expires_at, n) for n, out in book.outstanding.items()]
        heapq.heapify(book.expiry_heap)
        book.outstanding_units = sum(out.units for out in book.outstanding.values())
        book.level = min(left.level, book.limit.burst - book.outstanding_units)
        book.refilled_at = book.ready_at = came

    def find_limit(self, name: str) -> Limit | None:
        return self.limits.get(name) or self.limits.get(name.partition("/")[0])

    def set_limits(self, now: MonotonicTime, limits: Mapping[str, Limit]) -> None:
        """Other limits: what is owed to a limit stays owed. One that is lower than what is out gives out
        nothing until enough of that has come back.

        Danger: the book of a limit that is gone stays. Rights of it are out, and one that came back under the
        name would be full beside them.
        """
        self.limits = dict(limits)
        for name, book in list(self.ledgers.items()):
            self.refill(now, book)
            limit = self.find_limit(name) or book.limit
            book.level += limit.burst - book.limit.burst
            book.limit = limit

    def _sweep(self, now: MonotonicTime) -> None:
        """Forget what says nothing any more: holders that have gone, limits that are full again."""
        if now < self.next_sweep_at:
            return
        self.next_sweep_at = now + SWEEP_INTERVAL_S
        for name, book in list(self.ledgers.items()):
            self.refill(now, book)
            # Danger: an account that went while its last ask may come again would answer that with a second
            # right; but no answer to it counts after `holds`.
            since = now - 2 * self.lease_for(book.limit)
            book.accounts = {h: a for h, a in book.accounts.items() if a.requested_at > since}
            # Danger: a book that comes back starts as full as time since this allocator's beginning makes it.
            fills = book.limit.burst / book.limit.rate * (1 + self.times.drift) if book.limit.rate else 0.0
            whole = (
                book.level >= book.limit.burst - UNIT_EPSILON and now - self.ready_at_for(book.limit) >= fills
            )
            if not book.accounts and not book.outstanding and whole:
                del self.ledgers[name]
