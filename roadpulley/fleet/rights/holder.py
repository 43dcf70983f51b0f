"""What one process may spend: its rights, what it asks for, and what it gives up. Pure. See `terms.py`."""

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
DEMAND_DECAY_S = 1.0  # of what is wanted: for how long a wish counts
PREFETCH_S = 0.25  # of what is wanted: so much is held before it is needed
REFILL_RATIO = 0.5  # of that: under this more is asked for
SPARE_CONCURRENCY_RATIO = 0.5  # of what is in use: so much more is held of a limit on what is open at once
MAX_RETURN_DELAY_RATIO = 0.3  # of a lease: after which a right that is used up is told of by itself
UNSERVED_CHECK_INTERVAL_S, MIN_CHECK_INTERVAL_S = (
    0.25,
    0.002,
)  # between two looks at one limit at least, the first where nobody serves
IDLE_TIMEOUT_S = 10.0  # without a wish: then a limit is forgotten


@dataclass(slots=True)
class HeldRight:
    """A right that is held. By our own clock: `until` it may be spent, after `keep` it is given up.

    `used`: units that come back once what they were spent on has ended.
    """

    right_id: RightId
    units: float
    expires_at: MonotonicTime
    return_at: MonotonicTime
    units_in_use: float = 0.0


Payment = list[tuple[HeldRight, float]]  # of one payment: from which rights how much


@dataclass(slots=True)
class PendingRequest:
    """The ask that waits for its answer."""

    request: RightsRequest
    first_sent_at: MonotonicTime
    resend_at: MonotonicTime
    tries: int = 1


@dataclass(slots=True)
class LimitHolding:
    """Of one limit."""

    limit: str
    partition: int
    rights: list[HeldRight] = field(default_factory=list)  # the oldest first
    returned: list[ReturnedRight] = field(default_factory=list)  # to be told
    report_returns_at: MonotonicTime = NEVER_DUE  # at the latest; with the next ask before that
    pending: PendingRequest | None = None
    demand: float = 0.0  # lately: a fading sum
    demand_at: MonotonicTime = 0.0
    largest_spend: float = 0.0  # of late wishes
    lacking_units: float = 0.0  # units of a wish that can't be paid: asked for at once
    retry_at: MonotonicTime = 0.0  # it was told to wait
    check_at: MonotonicTime = NEVER_DUE  # when it is looked at next
    use_duration_s: float = 0.0  # of the wish looked at last: seconds for which its units may be in use

    @property
    def is_concurrency(self) -> bool:
        return is_concurrency_limit(self.limit)

    def spendable_units(self, now: MonotonicTime) -> float:
        """What can be spent now.

        Danger: on something that outlasts its right, a unit would be in use twice.
        """
        return sum(lot.units for lot in self.rights if now + self.use_duration_s < lot.expires_at)

    def count_units_in_use(self, now: MonotonicTime) -> float:
        return sum(lot.units_in_use for lot in self.rights if now < lot.expires_at)


class Holder:
    """`number`: of this process, drawn by chance. `parts`: of all limits, by which allocators share them."""

    def __init__(self, number: int, partitions: int, times: Times) -> None:
        self.number, self.partitions, self.times = number, partitions, times
        self.holdings: dict[str, LimitHolding] = {}
        self.fences: dict[int, int] = {}  # by part: the highest that an allocator was heard to serve under
        self.serving_until: dict[int, MonotonicTime] = {}  # by part: for which it serves, as far as we know
        self.check_heap: list[
            tuple[MonotonicTime, str]
        ] = []  # a heap: when to look at which; some are out of date
        self.request_count = 0
        self.spent_units = self.unpaid_units = self.returned_units = 0.0  # units

    # ---- to spend ----

    def try_spend(self, now: MonotonicTime, limit: str, units: float, anew: bool = True) -> bool:
        """Spend so much, if rights are held: look at the clock and spend in one go. `ask_now` comes next.

        `anew`: it is not a wish that has waited for an answer.

        Danger: between this and the act the process may be stopped. What is sent on then counts from here.
        """
        if anew:
            self.record_demand(now, limit, units)
        if not self.can_spend(now, limit, units):
            return False
        self.spend(now, limit, units)
        return True

    def record_demand(self, now: MonotonicTime, limit: str, units: float) -> None:
        """A new wish: what comes lately says how much to hold."""
        purse = self._get_holding(now, limit)
        fade = math.exp((purse.demand_at - now) / DEMAND_DECAY_S)
        purse.demand, purse.demand_at = purse.demand * fade + units, now
        purse.largest_spend = max(units, purse.largest_spend * fade)

    def can_spend(self, now: MonotonicTime, limit: str, units: float, lasting: float = 0.0) -> bool:
        """Whether rights that are held can pay; if not, `ask_now` asks for more."""
        purse = self._get_holding(now, limit)
        # Danger: of wishes that wait each has its own; by another's it could outlast the right that pays.
        purse.use_duration_s = lasting if purse.is_concurrency else 0.0
        if purse.spendable_units(now) >= units - UNIT_EPSILON:
            return True
        purse.lacking_units = max(purse.lacking_units, units)
        self.unpaid_units += units
        return False

    def spend(self, now: MonotonicTime, limit: str, units: float) -> Payment:
        """Spend what `can` has found just before; gives what `ended` takes back where units come back."""
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
        """What units were spent on has ended: they may be spent again, while their right lasts."""
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

    # ---- to ask ----

    def handle_announcement(self, now: MonotonicTime, part: int, fence: int, left: float) -> bool:
        """An allocator says that it serves; whether it is to be asked."""
        # Danger: one that was followed by another may say so late. It could give out nothing that counts, but
        # asks would go to it in vain.
        if fence < self.fences.get(part, 0):
            return False
        if fence > self.fences.get(part, 0):
            self.fences[part] = fence
            for purse in self._holdings_of(part):
                purse.pending, purse.retry_at = None, 0.0
                purse.returned.clear()  # the new one does not know these rights
                purse.report_returns_at = NEVER_DUE
                self._schedule_check(now, purse)
        self.serving_until[part] = now + left
        return True

    def tick(self, now: MonotonicTime) -> list[RightsRequest]:
        """Asks that are due: new ones, and those that were not answered."""
        out = []
        while self.check_heap and self.check_heap[0][0] <= now:
            _, limit = heapq.heappop(self.check_heap)
            purse = self.holdings.get(limit)
            if purse is None or purse.check_at > now:
                continue  # it was looked at since, or is gone
            purse.check_at = NEVER_DUE
            if now - purse.demand_at >= IDLE_TIMEOUT_S and not purse.pending:
                del self.holdings[limit]  # the allocator finds out what of it has ended
            elif ask := self.prepare_request(now, limit):
                out.append(ask)
        return out

    def prepare_request(self, now: MonotonicTime, limit: str) -> RightsRequest | None:
        """What is to be asked of one limit: for a wish that waits, or as its time has come."""
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
            return None  # nobody serves, as far as we know: what was given up ends by itself
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
            purse.pending = None  # whatever was given for it ends by itself
            purse.retry_at = now + self.times.answer
            return None
        if now < waiting.resend_at:
            return None
        waiting.tries += 1
        waiting.resend_at = now + self.times.answer * 2 ** (waiting.tries - 1)
        return waiting.request

    def _compute_demand(self, now: MonotonicTime, purse: LimitHolding) -> tuple[float, float]:
        """Units to ask for, and the least that is of use."""
        ahead = (
            purse.demand * math.exp((purse.demand_at - now) / DEMAND_DECAY_S) / DEMAND_DECAY_S * PREFETCH_S
        )
        if purse.is_concurrency:  # what is in use comes back and is spent again
            ahead = min(ahead, SPARE_CONCURRENCY_RATIO * purse.count_units_in_use(now))
        ahead = ahead if ahead >= purse.largest_spend else 0.0  # so few wishes: each is asked for as it comes
        target, there = max(ahead, purse.lacking_units), purse.spendable_units(now)
        if there >= (purse.lacking_units if purse.lacking_units else target * REFILL_RATIO):
            return 0.0, 0.0
        least = max(0.0, (purse.lacking_units or purse.largest_spend) - there)
        return max(least, target - there), least

    # ---- answers, and time ----

    def handle_reply(self, now: MonotonicTime, given: RightsReply) -> bool:
        """An answer; whether there is more to spend now."""
        purse = self.holdings.get(given.limit)
        waiting = purse.pending if purse is not None else None
        if purse is None or waiting is None or given.request_number != waiting.request.request_number:
            return False  # Danger: a late or repeated answer would count the same units twice
        purse.pending = None
        purse.lacking_units = 0.0
        if given.retry_after_ms:
            purse.retry_at = now + given.retry_after_ms / 1000
        # Danger: an allocator that goes by a shorter lease takes a right for ended before this process does.
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
        """What is used up or has been held for long is given up, before that is told."""
        kept = []
        for lot in purse.rights:
            if now >= lot.expires_at:
                continue  # the allocator will find that it has ended
            if purse.is_concurrency:
                if lot.units > UNIT_EPSILON and now >= lot.return_at:
                    self._return_right(now, purse, lot)
                    lot.units = 0.0
                # Danger: what is in use of it comes back here, and has to be told when it does.
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
            return  # nobody is left who gave it out
        self.returned_units += lot.units
        purse.returned.append(ReturnedRight(lot.right_id, lot.units))
        # What was all spent is told with the next ask: until then the limit has a little less room.
        patience = 0.0 if lot.units > UNIT_EPSILON else MAX_RETURN_DELAY_RATIO * self.times.lease
        patience = (
            self.times.answer if purse.is_concurrency else patience
        )  # one message for what ends together
        purse.report_returns_at = min(purse.report_returns_at, now + patience)

    def next_check_at(self) -> MonotonicTime:
        """When `tick` may have something to do, unless a wish comes before."""
        return self.check_heap[0][0] if self.check_heap else NEVER_DUE

    def _schedule_check(self, now: MonotonicTime, purse: LimitHolding) -> None:
        """Look at it when something of it is due. The work of a wish does not grow with the limits in use."""
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
        # Of a right that is all in use nothing is to be given up yet.
        yield from (
            lot.expires_at if purse.is_concurrency and lot.units <= UNIT_EPSILON else lot.return_at
            for lot in purse.rights
        )

    def _holdings_of(self, part: int) -> Iterator[LimitHolding]:
        return (purse for purse in self.holdings.values() if purse.partition == part)


def customer_limit_name(plan: str, customer: str) -> str:
    """The name of a customer's own limit; keys may be long, and datagrams are short."""
    if len(name := f"{plan}/{customer}") <= MAX_LIMIT_NAME_BYTES // 2:
        return name
    return f"{plan[:32]}/{hashlib.blake2b(customer.encode(), digest_size=16).hexdigest()}"


def partition_of(limit: str, parts: int) -> int:
    """Which allocator gives out the rights of a limit; the same at every instance and in every version."""
    return int.from_bytes(hashlib.blake2b(limit.encode(), digest_size=4).digest(), "big") % parts
