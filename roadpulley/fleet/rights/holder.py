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
PREFETCH_S = 0.25  # units for the demand of this time are held in advance
REFILL_RATIO = 0.5  # more units are requested if less than this ratio of the target is held
SPARE_CONCURRENCY_RATIO = 0.5  # units of a concurrency limit held in advance, for each unit in use
MAX_RETURN_DELAY_RATIO = 0.3  # part of the lease after which a used-up right is reported by itself
UNSERVED_CHECK_INTERVAL_S = 0.25  # minimum interval of the checks of a limit without a known allocator
MIN_CHECK_INTERVAL_S = 0.002
IDLE_TIMEOUT_S = 10.0  # a limit without demand is dropped after this time


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
    report_returns_at: MonotonicTime = NEVER_DUE  # another request may report them earlier
    pending: PendingRequest | None = None
    demand: float = 0.0  # units of recent spends; an exponentially decaying sum
    demand_at: MonotonicTime = 0.0
    largest_spend: float = 0.0  # units; decays as well
    lacking_units: float = 0.0  # units of a spend that the rights don't cover: requested at once
    retry_at: MonotonicTime = 0.0  # the allocator refuses units until then
    check_at: MonotonicTime = NEVER_DUE
    use_duration_s: float = 0.0  # how long the units of the current spend may be in use

    @property
    def is_concurrency(self) -> bool:
        """Whether this is a concurrency limit."""
        return is_concurrency_limit(self.limit)

    def spendable_units(self, now: MonotonicTime) -> float:
        """Units that can be spent now, from rights that outlast the use.

        A unit whose use outlasts its right would be granted to another holder while it is still in use.
        """
        return sum(right.units for right in self.rights if now + self.use_duration_s < right.expires_at)

    def count_units_in_use(self, now: MonotonicTime) -> float:
        """Units in use of unexpired rights."""
        return sum(right.units_in_use for right in self.rights if now < right.expires_at)


class Holder:
    """`number` is the random ID of this process.

    The limits are split into `partitions`, each with its allocator.
    """

    def __init__(self, number: int, partitions: int, times: Times) -> None:
        self.number, self.partitions, self.times = number, partitions, times
        self.holdings: dict[str, LimitHolding] = {}
        self.fences: dict[int, int] = {}  # by partition: the highest announced fence
        self.serving_until: dict[int, MonotonicTime] = {}  # by partition: expiry of the last announcement
        # Heap of check times and limits; may contain outdated entries.
        self.check_heap: list[tuple[MonotonicTime, str]] = []
        self.request_count = 0
        self.spent_units = self.unpaid_units = self.returned_units = 0.0

    # ---- spending ----

    def try_spend(self, now: MonotonicTime, limit: str, units: float, is_new: bool = True) -> bool:
        """Spends units if the held rights cover them; `prepare_request` is to be called next.

        `is_new` is False for a spend that has waited for a reply: its demand is already recorded.

        The process may be suspended between this call and the action that the units pay for. The action then
        happens later, but its units count as spent at `now`.
        """
        if is_new:
            self.record_demand(now, limit, units)
        if not self.can_spend(now, limit, units):
            return False
        self.spend(now, limit, units)
        return True

    def record_demand(self, now: MonotonicTime, limit: str, units: float) -> None:
        """Adds a new spend to the demand, which determines how many units are held in advance."""
        holding = self._get_holding(now, limit)
        decay = math.exp((holding.demand_at - now) / DEMAND_DECAY_S)
        holding.demand, holding.demand_at = holding.demand * decay + units, now
        holding.largest_spend = max(units, holding.largest_spend * decay)

    def can_spend(self, now: MonotonicTime, limit: str, units: float, duration_s: float = 0.0) -> bool:
        """Whether the held rights cover the units; if not, `prepare_request` requests more."""
        holding = self._get_holding(now, limit)
        # Each spend sets its own duration. With that of another one, its use could outlast the right that
        # pays for it.
        holding.use_duration_s = duration_s if holding.is_concurrency else 0.0
        if holding.spendable_units(now) >= units - UNIT_EPSILON:
            return True
        holding.lacking_units = max(holding.lacking_units, units)
        self.unpaid_units += units
        return False

    def spend(self, now: MonotonicTime, limit: str, units: float) -> Payment:
        """Spends units after `can_spend` was true for them; returns the payment for `release`."""
        holding, remaining, payment = self._get_holding(now, limit), units, []
        self.spent_units += units
        for right in holding.rights:
            if now + holding.use_duration_s < right.expires_at and (paid := min(right.units, remaining)) > 0:
                right.units, remaining = right.units - paid, remaining - paid
                right.units_in_use += paid if holding.is_concurrency else 0.0
                payment.append((right, paid))
        holding.lacking_units = 0.0
        return payment

    def release(self, now: MonotonicTime, limit: str, payment: Payment) -> None:
        """The use of these units has ended: they may be spent again until their right expires."""
        for right, units in payment:
            right.units_in_use -= units
            right.units += units
        if (holding := self.holdings.get(limit)) is not None:
            self._schedule_check(now, holding)

    def _get_holding(self, now: MonotonicTime, limit: str) -> LimitHolding:
        if (holding := self.holdings.get(limit)) is None:
            holding = self.holdings[limit] = LimitHolding(
                limit, partition_of(limit, self.partitions), demand_at=now
            )
        return holding

    # ---- requests ----

    def handle_announcement(
        self, now: MonotonicTime, partition_id: int, fence: int, lifetime_s: float
    ) -> bool:
        """Processes an announcement of an allocator; False if a newer allocator is known."""
        # An announcement of an earlier allocator may arrive late. Requests would go to an allocator that can
        # no longer grant anything.
        if fence < self.fences.get(partition_id, 0):
            return False
        if fence > self.fences.get(partition_id, 0):
            self.fences[partition_id] = fence
            for holding in self._holdings_of(partition_id):
                holding.pending, holding.retry_at = None, 0.0
                holding.returned.clear()  # the new allocator does not know these rights
                holding.report_returns_at = NEVER_DUE
                self._schedule_check(now, holding)
        self.serving_until[partition_id] = now + lifetime_s
        return True

    def tick(self, now: MonotonicTime) -> list[RightsRequest]:
        """Requests that are due: new ones, and resends of those without a reply."""
        requests = []
        while self.check_heap and self.check_heap[0][0] <= now:
            _, limit = heapq.heappop(self.check_heap)
            holding = self.holdings.get(limit)
            if holding is None or holding.check_at > now:
                continue  # it has been checked since, or dropped
            holding.check_at = NEVER_DUE
            if now - holding.demand_at >= IDLE_TIMEOUT_S and not holding.pending:
                del self.holdings[limit]  # its rights expire at the allocator
            elif request := self.prepare_request(now, limit):
                requests.append(request)
        return requests

    def prepare_request(self, now: MonotonicTime, limit: str) -> RightsRequest | None:
        """The request to send now for one limit, if any: new or resent."""
        holding = self.holdings.get(limit)
        if holding is None:
            return None
        self._return_rights(now, holding)
        request = self._build_request(now, holding)
        self._schedule_check(now, holding)
        return request

    def _build_request(self, now: MonotonicTime, holding: LimitHolding) -> RightsRequest | None:
        fence = self.fences.get(holding.partition, 0)
        if not fence or now >= self.serving_until.get(holding.partition, 0.0):
            return None  # no allocator is known; rights that are not returned expire
        if holding.pending is not None:
            return self._retry_request(now, holding, holding.pending)
        wanted_units, min_units = self._compute_demand(now, holding)
        wanted_units, min_units = (0.0, 0.0) if now < holding.retry_at else (wanted_units, min_units)
        if not wanted_units and now < holding.report_returns_at:
            return None
        returned_rights = tuple(holding.returned[:MAX_RETURNED_PER_REQUEST])
        del holding.returned[:MAX_RETURNED_PER_REQUEST]
        holding.report_returns_at = now if holding.returned else NEVER_DUE
        self.request_count += 1
        request = RightsRequest(
            holding.partition,
            fence,
            self.number,
            self.request_count,
            holding.limit,
            wanted_units,
            min_units,
            returned_rights,
        )
        holding.pending = PendingRequest(request, now, now + self.times.answer)
        return request

    def _retry_request(
        self, now: MonotonicTime, holding: LimitHolding, pending_request: PendingRequest
    ) -> RightsRequest | None:
        if now >= pending_request.first_sent_at + self.times.reply_timeout_s:
            holding.pending = None  # a right granted for it expires unused
            holding.retry_at = now + self.times.answer
            return None
        if now < pending_request.resend_at:
            return None
        pending_request.tries += 1
        pending_request.resend_at = now + self.times.answer * 2 ** (pending_request.tries - 1)
        return pending_request.request

    def _compute_demand(self, now: MonotonicTime, holding: LimitHolding) -> tuple[float, float]:
        """The units to request, and the minimum that is of use."""
        prefetch_units = (
            holding.demand
            * math.exp((holding.demand_at - now) / DEMAND_DECAY_S)
            / DEMAND_DECAY_S
            * PREFETCH_S
        )
        if holding.is_concurrency:  # units in use will be released and can be spent again
            prefetch_units = min(prefetch_units, SPARE_CONCURRENCY_RATIO * holding.count_units_in_use(now))
        # At low demand units are requested for each spend.
        prefetch_units = prefetch_units if prefetch_units >= holding.largest_spend else 0.0
        target_units, available_units = (
            max(prefetch_units, holding.lacking_units),
            holding.spendable_units(now),
        )
        if available_units >= (
            holding.lacking_units if holding.lacking_units else target_units * REFILL_RATIO
        ):
            return 0.0, 0.0
        min_units = max(0.0, (holding.lacking_units or holding.largest_spend) - available_units)
        return max(min_units, target_units - available_units), min_units

    # ---- replies and time ----

    def handle_reply(self, now: MonotonicTime, reply: RightsReply) -> bool:
        """Processes a reply; True if it brought units."""
        holding = self.holdings.get(reply.limit)
        pending_request = holding.pending if holding is not None else None
        if (
            holding is None
            or pending_request is None
            or reply.request_number != pending_request.request.request_number
        ):
            return False  # a late or repeated reply would add the same units twice
        holding.pending = None
        holding.lacking_units = 0.0
        if reply.retry_after_ms:
            holding.retry_at = now + reply.retry_after_ms / 1000
        # An allocator with a shorter lease in its settings expires a right earlier than this process would by
        # its own settings. Units would be spent that it has granted to another holder.
        lease_s = (
            reply.holder_lease_s
            if holding.is_concurrency
            else min(self.times.holder_lease_s, reply.holder_lease_s)
        )
        if reply.units > 0:
            expires_at = pending_request.first_sent_at + lease_s
            return_delay_s = min(lease_s, self.times.holder_lease_s) * self.times.keep
            holding.rights.append(
                HeldRight(
                    reply.right_id, reply.units, expires_at, pending_request.first_sent_at + return_delay_s
                )
            )
        self._schedule_check(now, holding)
        return reply.units > 0

    def _return_rights(self, now: MonotonicTime, holding: LimitHolding) -> None:
        """Stops spending rights that are used up or held for too long, and queues them to be returned."""
        remaining = []
        for right in holding.rights:
            if now >= right.expires_at:
                continue  # it expires at the allocator as well
            if holding.is_concurrency:
                if right.units > UNIT_EPSILON and now >= right.return_at:
                    self._return_right(now, holding, right)
                    right.units = 0.0
                # Units in use are released here later and have to be returned then. A right that is dropped
                # now would never return them.
                if right.units > UNIT_EPSILON or right.units_in_use > UNIT_EPSILON:
                    remaining.append(right)
                continue
            if right.units > UNIT_EPSILON and now < right.return_at:
                remaining.append(right)
                continue
            self._return_right(now, holding, right)
        holding.rights = remaining

    def _return_right(self, now: MonotonicTime, holding: LimitHolding, right: HeldRight) -> None:
        if right.right_id.fence != self.fences.get(holding.partition):
            return  # the allocator that granted it no longer serves
        self.returned_units += right.units
        holding.returned.append(ReturnedRight(right.right_id, right.units))
        # A right with no units left can wait for the next request: the limit only refills a little less. The
        # units of requests that end at about the same time are returned in one message.
        delay_s = 0.0 if right.units > UNIT_EPSILON else MAX_RETURN_DELAY_RATIO * self.times.lease
        delay_s = self.times.answer if holding.is_concurrency else delay_s
        holding.report_returns_at = min(holding.report_returns_at, now + delay_s)

    def next_check_at(self) -> MonotonicTime:
        """The next time at which `tick` may have something to do."""
        return self.check_heap[0][0] if self.check_heap else NEVER_DUE

    def _schedule_check(self, now: MonotonicTime, holding: LimitHolding) -> None:
        """Schedules a check of a limit: the cost of a spend may not grow with the number of limits."""
        next_check = min(self._check_times(holding))
        if now >= self.serving_until.get(holding.partition, 0.0):
            next_check = max(next_check, now + UNSERVED_CHECK_INTERVAL_S)
        next_check = max(next_check, now + MIN_CHECK_INTERVAL_S)
        if next_check < holding.check_at:
            holding.check_at = next_check
            heapq.heappush(self.check_heap, (next_check, holding.limit))

    def _check_times(self, holding: LimitHolding) -> Iterator[MonotonicTime]:
        yield holding.demand_at + IDLE_TIMEOUT_S
        if holding.pending is not None:
            yield min(holding.pending.resend_at, holding.pending.first_sent_at + self.times.reply_timeout_s)
        else:
            yield holding.report_returns_at
            if holding.lacking_units:
                yield holding.retry_at
        # A right whose units are all in use has nothing to return before it expires.
        yield from (
            right.expires_at if holding.is_concurrency and right.units <= UNIT_EPSILON else right.return_at
            for right in holding.rights
        )

    def _holdings_of(self, partition_id: int) -> Iterator[LimitHolding]:
        return (holding for holding in self.holdings.values() if holding.partition == partition_id)


def customer_limit_name(plan: str, customer: str) -> str:
    """The name of a customer's own limit.

    Long customer keys are hashed, as a request has to fit a datagram.
    """
    if len(name := f"{plan}/{customer}") <= MAX_LIMIT_NAME_BYTES // 2:
        return name
    return f"{plan[:32]}/{hashlib.blake2b(customer.encode(), digest_size=16).hexdigest()}"


def partition_of(limit: str, partitions: int) -> int:
    """The partition of a limit; it has to be the same at every instance and in every version."""
    return int.from_bytes(hashlib.blake2b(limit.encode(), digest_size=4).digest(), "big") % partitions
