"""State machine of a holder: the rights that a process spends, requests and returns.

Pure, see `messages.py`.
"""

from __future__ import annotations

import hashlib
import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from roadpulley.fleet.duties.terms import MonotonicTime

from .messages import (
    MAX_LIMIT_NAME_BYTES,
    MAX_RETURNED_PER_REQUEST,
    UNIT_EPSILON,
    ReturnedRight,
    RightId,
    RightsReply,
    RightsRequest,
    Times,
    is_concurrency_limit,
)

NEVER_DUE = math.inf
DEMAND_DECAY_S = 1.0  # time constant of the decay of past demand
PREFETCH_S = 0.25  # demand of this time is held in advance
REFILL_RATIO = 0.5  # of the target; below it more units are requested
SPARE_CONCURRENCY_RATIO = 0.5  # of the units in use of a concurrency limit, held in advance
MAX_RETURN_DELAY_RATIO = 0.3  # of the lease; then a used-up right is reported without another request
UNSERVED_CHECK_INTERVAL_S, MIN_CHECK_INTERVAL_S = (
    0.25,
    0.002,
)  # intervals of the checks of one limit
IDLE_TIMEOUT_S = 10.0  # without demand, after which a limit is dropped


@dataclass(slots=True)
class HeldRight:
    """A right that this process may spend until `expires_at` and returns after `return_at`, by its own clock.

    `units` are unspent. `units_in_use` become available again when their requests end (concurrency limits).
    """

    right_id: RightId
    units: float
    expires_at: MonotonicTime
    return_at: MonotonicTime
    units_in_use: float = 0.0


Payment = list[tuple[HeldRight, float]]  # the rights that one spend was taken from, with the units from each


@dataclass(slots=True)
class PendingRequest:
    """The request that waits for its reply, and the times at which it was first sent and is to be resent."""

    request: RightsRequest
    first_sent_at: MonotonicTime
    resend_at: MonotonicTime
    tries: int = 1


@dataclass(slots=True)
class LimitHolding:
    """The rights to one limit, the demand for it and the state of its requests."""

    limit: str
    partition: int
    rights: list[HeldRight] = field(default_factory=list)  # the oldest first
    returned: list[ReturnedRight] = field(default_factory=list)  # to be reported with the next request
    report_returns_at: MonotonicTime = NEVER_DUE  # at the latest; another request may report them earlier
    pending: PendingRequest | None = None
    demand: float = 0.0  # units; an exponentially decaying sum of recent spends
    demand_at: MonotonicTime = 0.0
    largest_spend: float = 0.0  # units; decays as well
    lacking_units: float = 0.0  # units of a spend that the rights don't cover: requested at once
    retry_at: MonotonicTime = 0.0  # until then the allocator asked not to be sent further requests for units
    check_at: MonotonicTime = NEVER_DUE
    use_duration_s: float = 0.0  # how long the units of the current spend may be in use

    @property
    def is_concurrency(self) -> bool:
        return is_concurrency_limit(self.limit)

    def spendable_units(self, now: MonotonicTime) -> float:
        """Units that can be spent now, from rights that outlast the use.

        A unit whose use outlasts its right would be granted to another holder while it is still in use.
        """
        return sum(lot.units for lot in self.rights if now + self.use_duration_s < lot.expires_at)

    def count_units_in_use(self, now: MonotonicTime) -> float:
        return sum(lot.units_in_use for lot in self.rights if now < lot.expires_at)


class Holder:
    """`number` is the random ID of this process.

    The limits are split into `partitions`, each with its allocator.
    """

    def __init__(self, number: int, partitions: int, times: Times) -> None:
        self.number, self.partitions, self.times = number, partitions, times
        self.holdings: dict[str, LimitHolding] = {}
        self.fences: dict[int, int] = {}  # by partition: the highest announced fence
        self.serving_until: dict[int, MonotonicTime] = {}  # by partition: expiry of the last announcement
        self.check_heap: list[
            tuple[MonotonicTime, str]
        ] = []  # heap of check times and limits; may contain outdated entries
        self.request_count = 0
        self.spent_units = self.unpaid_units = self.returned_units = 0.0  # units

    # ---- spending ----

    def try_spend(self, now: MonotonicTime, limit: str, units: float, anew: bool = True) -> bool:
        """Spends units if the held rights cover them; `prepare_request` is to be called next.

        `anew` is False for a spend that has waited for a reply: its demand is already recorded.

        The process may be suspended between this call and the action that the units pay for. The action then
        happens later, but its units count as spent at `now`.
        """
        if anew:
            self.record_demand(now, limit, units)
        if not self.can_spend(now, limit, units):
            return False
        self.spend(now, limit, units)
        return True

    def record_demand(self, now: MonotonicTime, limit: str, units: float) -> None:
        """Adds a new spend to the demand, which determines how many units are held in advance."""
        purse = self._get_holding(now, limit)
        fade = math.exp((purse.demand_at - now) / DEMAND_DECAY_S)
        purse.demand, purse.demand_at = purse.demand * fade + units, now
        purse.largest_spend = max(units, purse.largest_spend * fade)

    def can_spend(self, now: MonotonicTime, limit: str, units: float, lasting: float = 0.0) -> bool:
        """Whether the held rights cover the units; if not, `prepare_request` requests more."""
        purse = self._get_holding(now, limit)
        # Each spend sets its own duration. With that of another one, its use could outlast the right that
        # pays for it.
        purse.use_duration_s = lasting if purse.is_concurrency else 0.0
        if purse.spendable_units(now) >= units - UNIT_EPSILON:
            return True
        purse.lacking_units = max(purse.lacking_units, units)
        self.unpaid_units += units
        return False

    def spend(self, now: MonotonicTime, limit: str, units: float) -> Payment:
        """Spends units after `can_spend` was true for them; returns the payment for `release`."""
        purse, left, out = self._get_holding(now, limit), units, []
        self.spent_units += units
        for lot in purse.rights:
            if now + purse.use_duration_s < lot.expires_at and (paid := min(lot.units, left)) > 0:
                lot.units, left = lot.units - paid, left - paid
                lot.units_in_use += paid if purse.is_concurrency else 0.0
                out.append((lot, paid))
        purse.lacking_units = 0.0
        return out

    def release(self, now: MonotonicTime, limit: str, paid: Payment) -> None:
        """The use of these units has ended: they may be spent again until their right expires."""
        for lot, units in paid:
            lot.units_in_use -= units
            lot.units += units
        if (purse := self.holdings.get(limit)) is not None:
            self._schedule_check(now, purse)

    def _get_holding(self, now: MonotonicTime, limit: str) -> LimitHolding:
        if (found := self.holdings.get(limit)) is None:
            found = self.holdings[limit] = LimitHolding(
                limit, partition_of(limit, self.partitions), demand_at=now
            )
        return found

    # ---- requests ----

    def handle_announcement(self, now: MonotonicTime, part: int, fence: int, left: float) -> bool:
        """Processes an announcement of an allocator; False if a newer allocator is known."""
        # An announcement of an earlier allocator may arrive late. Requests would go to an allocator that can
        # no longer grant anything.
        if fence < self.fences.get(part, 0):
            return False
        if fence > self.fences.get(part, 0):
            self.fences[part] = fence
            for purse in self._holdings_of(part):
                purse.pending, purse.retry_at = None, 0.0
                purse.returned.clear()  # the new allocator does not know these rights
                purse.report_returns_at = NEVER_DUE
                self._schedule_check(now, purse)
        self.serving_until[part] = now + left
        return True

    def tick(self, now: MonotonicTime) -> list[RightsRequest]:
        """Requests that are due: new ones, and resends of those without a reply."""
        out = []
        while self.check_heap and self.check_heap[0][0] <= now:
            _, limit = heapq.heappop(self.check_heap)
            purse = self.holdings.get(limit)
            if purse is None or purse.check_at > now:
                continue  # it has been checked since, or dropped
            purse.check_at = NEVER_DUE
            if now - purse.demand_at >= IDLE_TIMEOUT_S and not purse.pending:
                del self.holdings[limit]  # its rights expire at the allocator
            elif ask := self.prepare_request(now, limit):
                out.append(ask)
        return out

    def prepare_request(self, now: MonotonicTime, limit: str) -> RightsRequest | None:
        """The request to send now for one limit, if any: new or resent."""
        purse = self.holdings.get(limit)
        if purse is None:
            return None
        self._return_rights(now, purse)
        ask = self._build_request(now, purse)
        self._schedule_check(now, purse)
        return ask

    def _build_request(self, now: MonotonicTime, purse: LimitHolding) -> RightsRequest | None:
        fence = self.fences.get(purse.partition, 0)
        if not fence or now >= self.serving_until.get(purse.partition, 0.0):
            return None  # no allocator is known; rights that are not returned expire
        if purse.pending is not None:
            return self._retry_request(now, purse, purse.pending)
        want, least = self._compute_demand(now, purse)
        want, least = (0.0, 0.0) if now < purse.retry_at else (want, least)
        if not want and now < purse.report_returns_at:
            return None
        closed = tuple(purse.returned[:MAX_RETURNED_PER_REQUEST])
        del purse.returned[:MAX_RETURNED_PER_REQUEST]
        purse.report_returns_at = now if purse.returned else NEVER_DUE
        self.request_count += 1
        ask = RightsRequest(
            purse.partition, fence, self.number, self.request_count, purse.limit, want, least, closed
        )
        purse.pending = PendingRequest(ask, now, now + self.times.answer)
        return ask

    def _retry_request(
        self, now: MonotonicTime, purse: LimitHolding, waiting: PendingRequest
    ) -> RightsRequest | None:
        if now >= waiting.first_sent_at + self.times.reply_timeout_s:
            purse.pending = None  # a right granted for it expires unused
            purse.retry_at = now + self.times.answer
            return None
        if now < waiting.resend_at:
            return None
        waiting.tries += 1
        waiting.resend_at = now + self.times.answer * 2 ** (waiting.tries - 1)
        return waiting.request

    def _compute_demand(self, now: MonotonicTime, purse: LimitHolding) -> tuple[float, float]:
        """The units to request, and the minimum that is of use."""
        ahead = (
            purse.demand * math.exp((purse.demand_at - now) / DEMAND_DECAY_S) / DEMAND_DECAY_S * PREFETCH_S
        )
        if purse.is_concurrency:  # units in use will be released and can be spent again
            ahead = min(ahead, SPARE_CONCURRENCY_RATIO * purse.count_units_in_use(now))
        ahead = (
            ahead if ahead >= purse.largest_spend else 0.0
        )  # at low demand units are requested for each spend
        target, there = max(ahead, purse.lacking_units), purse.spendable_units(now)
        if there >= (purse.lacking_units if purse.lacking_units else target * REFILL_RATIO):
            return 0.0, 0.0
        least = max(0.0, (purse.lacking_units or purse.largest_spend) - there)
        return max(least, target - there), least

    # ---- replies and time ----

    def handle_reply(self, now: MonotonicTime, given: RightsReply) -> bool:
        """Processes a reply; True if it brought units."""
        purse = self.holdings.get(given.limit)
        waiting = purse.pending if purse is not None else None
        if purse is None or waiting is None or given.request_number != waiting.request.request_number:
            return False  # a late or repeated reply would add the same units twice
        purse.pending = None
        purse.lacking_units = 0.0
        if given.retry_after_ms:
            purse.retry_at = now + given.retry_after_ms / 1000
        # An allocator with a shorter lease in its settings expires a right earlier than this process would by
        # its own settings. Units would be spent that it has granted to another holder.
        holds = (
            given.holder_lease_s
            if purse.is_concurrency
            else min(self.times.holder_lease_s, given.holder_lease_s)
        )
        if given.units > 0:
            until = waiting.first_sent_at + holds
            keep = min(holds, self.times.holder_lease_s) * self.times.keep
            purse.rights.append(HeldRight(given.right_id, given.units, until, waiting.first_sent_at + keep))
        self._schedule_check(now, purse)
        return given.units > 0

    def _return_rights(self, now: MonotonicTime, purse: LimitHolding) -> None:
        """Stops spending rights that are used up or held for too long, and queues them to be returned."""
        kept = []
        for lot in purse.rights:
            if now >= lot.expires_at:
                continue  # it expires at the allocator as well
            if purse.is_concurrency:
                if lot.units > UNIT_EPSILON and now >= lot.return_at:
                    self._return_right(now, purse, lot)
                    lot.units = 0.0
                # Units in use are released here later and have to be returned then. A right that is dropped
                # now would never return them.
                if lot.units > UNIT_EPSILON or lot.units_in_use > UNIT_EPSILON:
                    kept.append(lot)
                continue
            if lot.units > UNIT_EPSILON and now < lot.return_at:
                kept.append(lot)
                continue
            self._return_right(now, purse, lot)
        purse.rights = kept

    def _return_right(self, now: MonotonicTime, purse: LimitHolding, lot: HeldRight) -> None:
        if lot.right_id.fence != self.fences.get(purse.partition):
            return  # the allocator that granted it no longer serves
        self.returned_units += lot.units
        purse.returned.append(ReturnedRight(lot.right_id, lot.units))
        # A right with no units left can wait for the next request: the limit only refills a little less.
        patience = 0.0 if lot.units > UNIT_EPSILON else MAX_RETURN_DELAY_RATIO * self.times.lease
        patience = (
            self.times.answer if purse.is_concurrency else patience
        )  # one message for requests that end together
        purse.report_returns_at = min(purse.report_returns_at, now + patience)

    def next_check_at(self) -> MonotonicTime:
        """The next time at which `tick` may have something to do."""
        return self.check_heap[0][0] if self.check_heap else NEVER_DUE

    def _schedule_check(self, now: MonotonicTime, purse: LimitHolding) -> None:
        """Schedules a check of a limit: the cost of a spend may not grow with the number of limits."""
        due = min(self._check_times(purse))
        if now >= self.serving_until.get(purse.partition, 0.0):
            due = max(due, now + UNSERVED_CHECK_INTERVAL_S)
        due = max(due, now + MIN_CHECK_INTERVAL_S)
        if due < purse.check_at:
            purse.check_at = due
            heapq.heappush(self.check_heap, (due, purse.limit))

    def _check_times(self, purse: LimitHolding) -> Iterator[MonotonicTime]:
        yield purse.demand_at + IDLE_TIMEOUT_S
        if purse.pending is not None:
            yield min(purse.pending.resend_at, purse.pending.first_sent_at + self.times.reply_timeout_s)
        else:
            yield purse.report_returns_at
            if purse.lacking_units:
                yield purse.retry_at
        # A right whose units are all in use has nothing to return before it expires.
        yield from (
            lot.expires_at if purse.is_concurrency and lot.units <= UNIT_EPSILON else lot.return_at
            for lot in purse.rights
        )

    def _holdings_of(self, part: int) -> Iterator[LimitHolding]:
        return (purse for purse in self.holdings.values() if purse.partition == part)


def customer_limit_name(plan: str, customer: str) -> str:
    """The name of a customer's own limit.

    Long customer keys are hashed, as a request has to fit a datagram.
    """
    if len(name := f"{plan}/{customer}") <= MAX_LIMIT_NAME_BYTES // 2:
        return name
    return f"{plan[:32]}/{hashlib.blake2b(customer.encode(), digest_size=16).hexdigest()}"


def partition_of(limit: str, parts: int) -> int:
    """The partition of a limit; it has to be the same at every instance and in every version."""
    return int.from_bytes(hashlib.blake2b(limit.encode(), digest_size=4).digest(), "big") % parts
