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

MAX_SNAPSHOTS = 2_000  # in one handover
MAX_OUTSTANDING_PER_SNAPSHOT = 40  # a snapshot has to fit into a datagram
MAX_LIMITS = 100_000  # ledgers in memory; requests for further limits get no reply
SWEEP_INTERVAL_S = 5.0
MAX_CONTENDED_RATIO = 0.5  # part of the level for one request while other holders want units
MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.5


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
    # Heap of the expiry times and numbers of rights; may contain returned ones.
    expiry_heap: list[tuple[MonotonicTime, int]] = field(default_factory=list)
    accounts: dict[int, HolderAccount] = field(default_factory=dict)


@dataclass
class InheritedLedgers:
    """Snapshots of one partition, sent by the allocator under `fence`, each with its time of receipt.

    `requested_at` is when they were first requested, by the clock of this instance.
    """

    fence: int
    requested_at: MonotonicTime
    snapshots: dict[str, tuple[MonotonicTime, LedgerSnapshot]] = field(default_factory=dict)

    def add(self, now: MonotonicTime, snapshot: LedgerSnapshot) -> None:
        """Stores a snapshot of the expected fence; a repeated one is ignored."""
        if snapshot.fence == self.fence:
            self.snapshots.setdefault(snapshot.limit, (now, snapshot))

    def usable_snapshots(
        self, now: MonotonicTime, fence: int, previous_fence: int, max_age_s: float
    ) -> dict[str, tuple[MonotonicTime, LedgerSnapshot]]:
        """Snapshots that an allocator that starts now under this fence may continue from.

        `previous_fence`: of the last allocator before it, as far as known after `max_age_s` at most from the
        first request for the snapshots.
        """
        # Another allocator in between may have granted the units that these snapshots show as available: all
        # candidates receive them, and each may hold the duty in turn.
        is_successor = previous_fence <= self.fence < fence
        return self.snapshots if is_successor and now < self.requested_at + max_age_s else {}


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
        self.granted_count = 0  # also the number of the newest right
        self.next_sweep_at = started_at + SWEEP_INTERVAL_S
        self.granted_units = self.refused_units = self.expired_units = 0.0

    @property
    def ready_at(self) -> MonotonicTime:
        """Time from which no right of an earlier allocator can be spent.

        All units may still be outstanding until then. If the level began to refill earlier, the same units
        would be granted a second time.
        """
        return self.started_at + self.times.clear

    # ---- requests ----

    def handle_request(self, now: MonotonicTime, request: RightsRequest) -> RightsReply | None:
        """The reply; None for an outdated or invalid request, or an unknown limit."""
        if (
            self.sealed
            or request.fence != self.fence
            or not (0 <= request.min_units <= request.wanted_units < math.inf)
        ):
            return None
        ledger = self.get_ledger(request.limit)
        if ledger is None:
            return None
        self.refill(now, ledger)
        account = ledger.accounts.get(request.holder)
        if account is not None and request.request_number <= account.request_number:
            # A repeated request gets the same reply. A second right for it would be outstanding until it
            # expires, although no holder has it.
            return account.reply if request.request_number == account.request_number else None
        for returned_right in request.returned:
            self.return_right(ledger, request.holder, returned_right.right_id, returned_right.unused_units)
        new_reply = self._grant(now, ledger, request)
        ledger.accounts[request.holder] = HolderAccount(
            request.request_number, new_reply, request.wanted_units, now
        )
        self._sweep(now)
        return new_reply

    def return_right(self, ledger: LimitLedger, holder: int, right_id: RightId, unused_units: float) -> None:
        """Makes the unspent units of a right available again that its holder returns."""
        # Right numbers restart with each fence, and a right may be returned after it has expired here. Either
        # would add units to the level that are outstanding at another holder.
        right = ledger.outstanding.get(right_id.number) if right_id.fence == self.fence else None
        if right is None or right.holder != holder:
            return
        returned_units = min(max(0.0, unused_units), right.units)
        if ledger.is_concurrency_limit:
            # Units in use stay outstanding until they are returned too or the right expires. Otherwise they
            # would be granted to another holder while the request is still open.
            right.units, ledger.outstanding_units = (
                right.units - returned_units,
                ledger.outstanding_units - returned_units,
            )
            ledger.level = ledger.limit.burst - ledger.outstanding_units
            return
        del ledger.outstanding[right_id.number]
        ledger.outstanding_units -= right.units
        ledger.level = min(ledger.level + returned_units, ledger.limit.burst - ledger.outstanding_units)

    def _grant(self, now: MonotonicTime, ledger: LimitLedger, request: RightsRequest) -> RightsReply:
        available = ledger.level
        if available < request.min_units or available <= UNIT_EPSILON or not request.wanted_units:
            if request.wanted_units:
                self.refused_units += request.wanted_units
            return self._reply(request, 0, 0.0, self._retry_after_ms(now, ledger, request))
        units = min(
            request.wanted_units,
            max(request.min_units, available * self._contended_ratio(now, ledger, request)),
        )
        self.granted_count += 1
        self.granted_units += units
        expires_at = now + self.lease_for(ledger.limit)
        ledger.level -= units
        ledger.outstanding_units += units
        ledger.outstanding[self.granted_count] = OutstandingRight(request.holder, units, expires_at)
        heapq.heappush(ledger.expiry_heap, (expires_at, self.granted_count))
        return self._reply(request, self.granted_count, units, lease_s=self.lease_for(ledger.limit))

    def _reply(
        self,
        request: RightsRequest,
        right_number: int,
        units: float,
        retry_after_ms: int = 0,
        lease_s: float = 0.0,
    ) -> RightsReply:
        right_id, holder_lease_s = (
            RightId(self.fence, right_number),
            self.times.holder_lease_for(lease_s or self.times.lease),
        )
        return RightsReply(
            request.holder,
            request.request_number,
            request.limit,
            right_id,
            units,
            holder_lease_s,
            retry_after_ms,
        )

    def lease_for(self, limit: Limit) -> float:
        """The lease of rights to a limit, in seconds."""
        return limit.lease or self.times.lease

    def ready_at_for(self, limit: Limit) -> MonotonicTime:
        """Time from which no right of an earlier allocator to this limit can be spent."""
        return self.started_at + max(self.times.clear, self.lease_for(limit))

    def _contended_ratio(self, now: MonotonicTime, ledger: LimitLedger, request: RightsRequest) -> float:
        """Ratio of the level that a request may get: all of it if no other holder has requested any recently.

        Otherwise its part of what all recent requests wanted, at most `MAX_CONTENDED_RATIO`.
        """
        since = now - self.times.lease
        other_units = sum(
            account.wanted_units
            for holder, account in ledger.accounts.items()
            if holder != request.holder and account.requested_at > since
        )
        return (
            1.0
            if not other_units
            else min(MAX_CONTENDED_RATIO, request.wanted_units / (request.wanted_units + other_units))
        )

    def _retry_after_ms(self, now: MonotonicTime, ledger: LimitLedger, request: RightsRequest) -> int:
        """Milliseconds until enough units may be available, with jitter to spread the retries of holders."""
        missing_units = request.min_units - ledger.level
        refill_s = missing_units / ledger.limit.rate if ledger.limit.rate else MIN_RETRY_DELAY_S
        delay_s = max(0.0, ledger.ready_at - now) + refill_s
        delay_s = min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, delay_s)) * self.rng.uniform(0.8, 1.2)
        return int(delay_s * 1000) if request.wanted_units else 0

    # ---- time ----

    def refill(self, now: MonotonicTime, ledger: LimitLedger) -> None:
        """Applies the refill and the expiry of rights up to now, in the order of time.

        In one step the level would also refill for the time in which outstanding rights left no room for it.
        """
        while ledger.expiry_heap and ledger.expiry_heap[0][0] <= now:
            expires_at, number = heapq.heappop(ledger.expiry_heap)
            right = ledger.outstanding.pop(number, None)
            if right is None:
                continue  # it was returned
            self._raise_level(expires_at, ledger)
            ledger.outstanding_units -= right.units
            self.expired_units += right.units
        self._raise_level(now, ledger)

    def _raise_level(self, now: MonotonicTime, ledger: LimitLedger) -> None:
        if ledger.is_concurrency_limit:
            ledger.level = ledger.limit.burst - ledger.outstanding_units if now >= ledger.ready_at else 0.0
            return
        elapsed_s = max(0.0, now - ledger.refilled_at)
        ledger.refilled_at = max(now, ledger.refilled_at)
        # Without this correction an allocator with a fast clock would grant more than the rate.
        refilled_level = ledger.level + elapsed_s * ledger.limit.rate / (1 + self.times.drift)
        ledger.level = min(refilled_level, ledger.limit.burst - ledger.outstanding_units)

    # ---- limits ----

    def get_ledger(self, name: str) -> LimitLedger | None:
        """The ledger of a limit, or of one customer of a plan (`PLAN/CUSTOMER`).

        None if there is no such limit, or if `MAX_LIMITS` is reached.
        """
        limit, ledger = self.find_limit(name), self.ledgers.get(name)
        if limit is None or (ledger is None and len(self.ledgers) >= MAX_LIMITS):
            return None
        if ledger is None:
            ready_at = self.ready_at_for(limit)
            ledger = self.ledgers[name] = LimitLedger(
                limit, 0.0, ready_at, ready_at, is_concurrency_limit(name)
            )
            if (inherited_entry := self.inherited.pop(name, None)) is not None:
                self._inherit(ledger, *inherited_entry)
        return ledger

    # ---- handover ----

    def seal(self, now: MonotonicTime, partition: int) -> list[LedgerSnapshot]:
        """Stops granting and returns snapshots for the successor, starting with the newest ledger."""
        self.sealed = True
        snapshots: list[LedgerSnapshot] = []
        for name, ledger in reversed(self.ledgers.items()):
            self.refill(now, ledger)
            # A ledger that is itself still waiting does not know what earlier allocators granted. A
            # successor that continued from it would grant those units again.
            if (
                now >= ledger.ready_at
                and len(ledger.outstanding) <= MAX_OUTSTANDING_PER_SNAPSHOT
                and len(snapshots) < MAX_SNAPSHOTS
            ):
                outstanding_rights = tuple(
                    (right.units, right.expires_at - now) for right in ledger.outstanding.values()
                )
                snapshots.append(
                    LedgerSnapshot(partition, self.fence, name, ledger.level, outstanding_rights)
                )
        return snapshots

    def _inherit(self, ledger: LimitLedger, received_at: MonotonicTime, snapshot: LedgerSnapshot) -> None:
        """Continues from a snapshot. Its expiry times count from its receipt, which was after the sealing."""
        # Negative numbers: rights of another fence can't be returned here. Under positive numbers they
        # could be mistaken for rights of this allocator.
        ledger.outstanding = {
            -n: OutstandingRight(0, units, received_at + remaining_s)
            for n, (units, remaining_s) in enumerate(snapshot.outstanding, 1)
        }
        ledger.expiry_heap = [(right.expires_at, n) for n, right in ledger.outstanding.items()]
        heapq.heapify(ledger.expiry_heap)
        ledger.outstanding_units = sum(right.units for right in ledger.outstanding.values())
        ledger.level = min(snapshot.level, ledger.limit.burst - ledger.outstanding_units)
        ledger.refilled_at = ledger.ready_at = received_at

    def find_limit(self, name: str) -> Limit | None:
        """The limit of this name, or that of the plan for `PLAN/CUSTOMER`."""
        return self.limits.get(name) or self.limits.get(name.partition("/")[0])

    def set_limits(self, now: MonotonicTime, limits: Mapping[str, Limit]) -> None:
        """Applies changed limits; outstanding units stay accounted for.

        A limit that is now lower than its outstanding units grants nothing until enough of them have expired
        or are returned. The ledger of a removed limit stays, as its rights are outstanding: if the limit were
        added again under the same name, a new ledger would not count them.
        """
        self.limits = dict(limits)
        for name, ledger in list(self.ledgers.items()):
            self.refill(now, ledger)
            limit = self.find_limit(name) or ledger.limit
            ledger.level += limit.burst - ledger.limit.burst
            ledger.limit = limit

    def _sweep(self, now: MonotonicTime) -> None:
        """Drops accounts of inactive holders, and ledgers that are full and unused."""
        if now < self.next_sweep_at:
            return
        self.next_sweep_at = now + SWEEP_INTERVAL_S
        for name, ledger in list(self.ledgers.items()):
            self.refill(now, ledger)
            # While the last request of a holder may be repeated, its account is needed to repeat the reply
            # instead of granting a second right. After the holder's lease no reply to it counts.
            since = now - 2 * self.lease_for(ledger.limit)
            ledger.accounts = {
                holder: account for holder, account in ledger.accounts.items() if account.requested_at > since
            }
            # A new ledger refills from this allocator's start. If a ledger were dropped before a new one
            # would be full as well, its limit would come back with too low a level.
            refill_s = (
                ledger.limit.burst / ledger.limit.rate * (1 + self.times.drift) if ledger.limit.rate else 0.0
            )
            is_full = (
                ledger.level >= ledger.limit.burst - UNIT_EPSILON
                and now - self.ready_at_for(ledger.limit) >= refill_s
            )
            if not ledger.accounts and not ledger.outstanding and is_full:
                del self.ledgers[name]
