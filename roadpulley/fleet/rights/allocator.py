"""State machine of an allocator: the level of each limit and its outstanding rights.

Pure, see `messages.py`.
"""

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
)  # in one handover
MAX_LIMITS = 100_000  # ledgers in memory; requests for further limits get no reply
SWEEP_INTERVAL_S = 5.0
MAX_CONTENDED_RATIO = 0.5  # of the level, for one request while other holders want units too
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.02, 0.5


@dataclass(slots=True)
class OutstandingRight:
    """A granted right. From `expires_at` on its holder can no longer spend it."""

    holder: int
    units: float
    expires_at: MonotonicTime


@dataclass(slots=True)
class HolderAccount:
    """The last request of one holder for one limit, and the reply to it."""

    request_number: int
    reply: RightsReply
    wanted_units: float
    requested_at: MonotonicTime


@dataclass(slots=True)
class LimitLedger:
    """The level of one limit and the rights that are granted from it."""

    limit: Limit
    level: float
    refilled_at: MonotonicTime
    ready_at: MonotonicTime  # nothing is granted before: rights of earlier allocators may still be spent
    is_concurrency_limit: bool = False
    outstanding_units: float = 0.0
    outstanding: dict[int, OutstandingRight] = field(default_factory=dict)
    expiry_heap: list[tuple[MonotonicTime, int]] = field(
        default_factory=list
    )  # heap of (expires_at, right number)
    accounts: dict[int, HolderAccount] = field(default_factory=dict)


@dataclass
class InheritedLedgers:
    """Snapshots of one partition, sent by the allocator under `fence`, each with its time of receipt.

    `requested_at` is when they were first requested, by the clock of this instance.
    """

    fence: int
    requested_at: MonotonicTime
    snapshots: dict[str, tuple[MonotonicTime, LedgerSnapshot]] = field(default_factory=dict)

    def add(self, now: MonotonicTime, legacy: LedgerSnapshot) -> None:
        if legacy.fence == self.fence:
            self.snapshots.setdefault(legacy.limit, (now, legacy))

    def usable_snapshots(
        self, now: MonotonicTime, fence: int, times: Times
    ) -> dict[str, tuple[MonotonicTime, LedgerSnapshot]]:
        """Snapshots that an allocator that starts now under this fence may continue from."""
        # After the holder's lease another allocator in between may have granted the units that these
        # snapshots show as available.
        return self.snapshots if self.fence < fence and now < self.requested_at + times.holder_lease_s else {}


class Allocator:
    """Grants rights under one fence, from `started_at` on.

    Each holding of the duty creates a new allocator.
    """

    def __init__(
        self,
        fence: int,
        started_at: MonotonicTime,
        limits: Mapping[str, Limit],
        times: Times,
        rng: random.Random,
        inherited: Mapping[str, tuple[MonotonicTime, LedgerSnapshot]] | None = None,
    ) -> None:
        """`inherited` holds the predecessor's sealed ledgers, each with its time of receipt."""
        self.fence, self.started_at, self.times, self.rng = fence, started_at, times, rng
        self.limits = dict(limits)
        self.ledgers: dict[str, LimitLedger] = {}
        self.inherited = dict(inherited or {})
        self.sealed = False
        self.granted_count = 0  # rights; the last one has this number
        self.next_sweep_at = started_at + SWEEP_INTERVAL_S
        self.granted_units = self.refused_units = self.expired_units = 0.0  # units

    @property
    def ready_at(self) -> MonotonicTime:
        """Time from which no right of an earlier allocator can be spent.

        All units may still be outstanding until then. If the level began to refill earlier, the same units
        would be granted a second time.
        """
        return self.started_at + self.times.clear

    # ---- requests ----

    def handle_request(self, now: MonotonicTime, ask: RightsRequest) -> RightsReply | None:
        """The reply; None for an outdated or invalid request, or an unknown limit."""
        if self.sealed or ask.fence != self.fence or not (0 <= ask.min_units <= ask.wanted_units < math.inf):
            return None
        book = self.get_ledger(ask.limit)
        if book is None:
            return None
        self.refill(now, book)
        known = book.accounts.get(ask.holder)
        if known is not None and ask.request_number <= known.request_number:
            # A repeated request gets the same reply. A second right for it would be outstanding until it
            # expires, although no holder has it.
            return known.reply if ask.request_number == known.request_number else None
        for closed in ask.returned:
            self.return_right(book, ask.holder, closed.right_id, closed.unused_units)
        given = self._grant(now, book, ask)
        book.accounts[ask.holder] = HolderAccount(ask.request_number, given, ask.wanted_units, now)
        self._sweep(now)
        return given

    def return_right(self, book: LimitLedger, holder: int, right: RightId, unused: float) -> None:
        """Makes the unspent units of a right available again that its holder returns."""
        # Right numbers restart with each fence, and a right may be returned after it has expired here. Either
        # would add units to the level that are outstanding at another holder.
        out = book.outstanding.get(right.number) if right.fence == self.fence else None
        if out is None or out.holder != holder:
            return
        back = min(max(0.0, unused), out.units)
        if book.is_concurrency_limit:
            # Units in use stay outstanding until they are returned too or the right expires. Otherwise they
            # would be granted to another holder while the request is still open.
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
        """Ratio of the level that a request may get: all of it if no other holder has requested any recently.

        Otherwise its part of what all recent requests wanted, at most `MAX_CONTENDED_RATIO`.
        """
        since = now - self.times.lease
        others = sum(
            a.wanted_units
            for holder, a in book.accounts.items()
            if holder != ask.holder and a.requested_at > since
        )
        return 1.0 if not others else min(MAX_CONTENDED_RATIO, ask.wanted_units / (ask.wanted_units + others))

    def _retry_after_ms(self, now: MonotonicTime, book: LimitLedger, ask: RightsRequest) -> int:
        """Milliseconds until enough units may be available, with jitter to spread the retries of holders."""
        lacks = ask.min_units - book.level
        fills = lacks / book.limit.rate if book.limit.rate else MIN_RETRY_DELAY_S
        wait = max(0.0, book.ready_at - now) + fills
        wait = min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, wait)) * self.rng.uniform(0.8, 1.2)
        return int(wait * 1000) if ask.wanted_units else 0

    # ---- time ----

    def refill(self, now: MonotonicTime, book: LimitLedger) -> None:
        """Applies the refill and the expiry of rights up to now, in the order of time.

        In one step the level would also refill for the time in which outstanding rights left no room for it.
        """
        while book.expiry_heap and book.expiry_heap[0][0] <= now:
            ends, number = heapq.heappop(book.expiry_heap)
            out = book.outstanding.pop(number, None)
            if out is None:
                continue  # it was returned
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
        # Without this correction an allocator with a fast clock would grant more than the rate.
        risen = book.level + passed * book.limit.rate / (1 + self.times.drift)
        book.level = min(risen, book.limit.burst - book.outstanding_units)

    # ---- limits ----

    def get_ledger(self, name: str) -> LimitLedger | None:
        """The ledger of a limit, or of one customer of a plan (`PLAN/CUSTOMER`).

        None if there is no such limit, or if `MAX_LIMITS` is reached.
        """
        limit, found = self.find_limit(name), self.ledgers.get(name)
        if limit is None or (found is None and len(self.ledgers) >= MAX_LIMITS):
            return None
        if found is None:
            clear = self.ready_at_for(limit)
            found = self.ledgers[name] = LimitLedger(limit, 0.0, clear, clear, is_concurrency_limit(name))
            if (left := self.inherited.pop(name, None)) is not None:
                self._inherit(found, *left)
        return found

    # ---- handover ----

    def seal(self, now: MonotonicTime, part: int) -> list[LedgerSnapshot]:
        """Stops granting and returns snapshots for the successor, starting with the newest ledger."""
        self.sealed = True
        found: list[LedgerSnapshot] = []
        for name, book in reversed(self.ledgers.items()):
            self.refill(now, book)
            # A ledger that is itself still waiting does not know what earlier allocators granted. A
            # successor that continued from it would grant those units again.
            if (
                now >= book.ready_at
                and len(book.outstanding) <= MAX_OUTSTANDING_PER_SNAPSHOT
                and len(found) < MAX_SNAPSHOTS
            ):
                out = tuple((o.units, o.expires_at - now) for o in book.outstanding.values())
                found.append(LedgerSnapshot(part, self.fence, name, book.level, out))
        return found

    def _inherit(self, book: LimitLedger, came: MonotonicTime, left: LedgerSnapshot) -> None:
        """Continues from a snapshot. Its expiry times count from its receipt, which was after the sealing."""
        # Negative numbers: rights of another fence can't be returned here. Under positive numbers they
        # could be mistaken for rights of this allocator.
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
        """Applies changed limits; outstanding units stay accounted for.

        A limit that is now lower than its outstanding units grants nothing until enough of them have expired
        or are returned. The ledger of a removed limit stays, as its rights are outstanding: if the limit were
        added again under the same name, a new ledger would not count them.
        """
        self.limits = dict(limits)
        for name, book in list(self.ledgers.items()):
            self.refill(now, book)
            limit = self.find_limit(name) or book.limit
            book.level += limit.burst - book.limit.burst
            book.limit = limit

    def _sweep(self, now: MonotonicTime) -> None:
        """Drops accounts of inactive holders and ledgers of limits that are full again."""
        if now < self.next_sweep_at:
            return
        self.next_sweep_at = now + SWEEP_INTERVAL_S
        for name, book in list(self.ledgers.items()):
            self.refill(now, book)
            # While the last request of a holder may be repeated, its account is needed to repeat the reply
            # instead of granting a second right. After the holder's lease no reply to it counts.
            since = now - 2 * self.lease_for(book.limit)
            book.accounts = {h: a for h, a in book.accounts.items() if a.requested_at > since}
            # A new ledger refills from this allocator's start. If a ledger were dropped before a new one
            # would be full as well, its limit would come back with too low a level.
            fills = book.limit.burst / book.limit.rate * (1 + self.times.drift) if book.limit.rate else 0.0
            whole = (
                book.level >= book.limit.burst - UNIT_EPSILON and now - self.ready_at_for(book.limit) >= fills
            )
            if not book.accounts and not book.outstanding and whole:
                del self.ledgers[name]
