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

    right: RightId
    units: float
    until: MonotonicTime
    keep: MonotonicTime
    used: float = 0.0


Payment = list[tuple[HeldRight, float]]  # of one payment: from which rights how much


@dataclass(slots=True)
class PendingRequest:
    """The ask that waits for its answer."""

    ask: RightsRequest
    first_at: MonotonicTime
    again_at: MonotonicTime
    tries: int = 1


@dataclass(slots=True)
class LimitHolding:
    """Of one limit."""

    limit: str
    part: int
    lots: list[HeldRight] = field(default_factory=list)  # the oldest first
    closed: list[ReturnedRight] = field(default_factory=list)  # to be told
    tell_at: MonotonicTime = NEVER_DUE  # at the latest; with the next ask before that
    open: PendingRequest | None = None
    wanted: float = 0.0  # lately: a fading sum
    wanted_at: MonotonicTime = 0.0
    largest: float = 0.0  # of late wishes
    lacks: float = 0.0  # units of a wish that can't be paid: asked for at once
    rest_until: MonotonicTime = 0.0  # it was told to wait
    planned: MonotonicTime = NEVER_DUE  # when it is looked at next
    lasting: float = 0.0  # of the wish looked at last: seconds for which its units may be in use

    @property
    def returns(self) -> bool:
        return is_concurrency_limit(self.limit)

    def there(self, now: MonotonicTime) -> float:
        """What can be spent now.

        Danger: on something that outlasts its right, a unit would be in use twice.
        """
        return sum(lot.units for lot in self.lots if now + self.lasting < lot.until)

    def in_use(self, now: MonotonicTime) -> float:
        return sum(lot.used for lot in self.lots if now < lot.until)


class Holder:
    """`number`: of this process, drawn by chance. `parts`: of all limits, by which allocators share them."""

    def __init__(self, number: int, parts: int, times: Times) -> None:
        self.number, self.parts, self.times = number, parts, times
        self.purses: dict[str, LimitHolding] = {}
        self.fences: dict[int, int] = {}  # by part: the highest that an allocator was heard to serve under
        self.until: dict[int, MonotonicTime] = {}  # by part: for which it serves, as far as we know
        self.looks: list[
            tuple[MonotonicTime, str]
        ] = []  # a heap: when to look at which; some are out of date
        self.asks = 0
        self.spent = self.unpaid = self.given_up = 0.0  # units

    # ---- to spend ----

    def take(self, now: MonotonicTime, limit: str, units: float, anew: bool = True) -> bool:
        """Spend so much, if rights are held: look at the clock and spend in one go. `ask_now` comes next.

        `anew`: it is not a wish that has waited for an answer.

        Danger: between this and the act the process may be stopped. What is sent on then counts from here.
        """
        if anew:
            self.want(now, limit, units)
        if not self.can(now, limit, units):
            return False
        self.pay(now, limit, units)
        return True

    def want(self, now: MonotonicTime, limit: str, units: float) -> None:
        """A new wish: what comes lately says how much to hold."""
        purse = self._purse(now, limit)
        fade = math.exp((purse.wanted_at - now) / DEMAND_DECAY_S)
        purse.wanted, purse.wanted_at = purse.wanted * fade + units, now
        purse.largest = max(units, purse.largest * fade)

    def can(self, now: MonotonicTime, limit: str, units: float, lasting: float = 0.0) -> bool:
        """Whether rights that are held can pay; if not, `ask_now` asks for more."""
        purse = self._purse(now, limit)
        # Danger: of wishes that wait each has its own; by another's it could outlast the right that pays.
        purse.lasting = lasting if purse.returns else 0.0
        if purse.there(now) >= units - UNIT_EPSILON:
            return True
        purse.lacks = max(purse.lacks, units)
        self.unpaid += units
        return False

    def pay(self, now: MonotonicTime, limit: str, units: float) -> Payment:
        """Spend what `can` has found just before; gives what `ended` takes back where units come back."""
        purse, left, out = self._purse(now, limit), units, []
        self.spent += units
        for lot in purse.lots:
            if now + purse.lasting < lot.until and (paid := min(lot.units, left)) > 0:
                lot.units, left = lot.units - paid, left - paid
                lot.used += paid if purse.returns else 0.0
                out.append((lot, paid))
        purse.lacks = 0.0
        return out

    def ended(self, now: MonotonicTime, limit: str, paid: Payment) -> None:
        """What units were spent on has ended: they may be spent again, while their right lasts."""
        for lot, units in paid:
            lot.used -= units
            lot.units += units
        if (purse := self.purses.get(limit)) is not None:
            self._plan(now, purse)

    def _purse(self, now: MonotonicTime, limit: str) -> LimitHolding:
        if (found := self.purses.get(limit)) is None:
            found = self.purses[limit] = LimitHolding(limit, partition_of(limit, self.parts), wanted_at=now)
        return found

    # ---- to ask ----

    def serving(self, now: MonotonicTime, part: int, fence: int, left: float) -> bool:
        """An allocator says that it serves; whether it is to be asked."""
        # Danger: one that was followed by another may say so late. It could give out nothing that counts, but
        # asks would go to it in vain.
        if fence < self.fences.get(part, 0):
            return False
        if fence > self.fences.get(part, 0):
            self.fences[part] = fence
            for purse in self._of(part):
                purse.open, purse.rest_until = None, 0.0
                purse.closed.clear()  # the new one does not know these rights
                purse.tell_at = NEVER_DUE
                self._plan(now, purse)
        self.until[part] = now + left
        return True

    def tick(self, now: MonotonicTime) -> list[RightsRequest]:
        """Asks that are due: new ones, and those that were not answered."""
        out = []
        while self.looks and self.looks[0][0] <= now:
            _, limit = heapq.heappop(self.looks)
            purse = self.purses.get(limit)
            if purse is None or purse.planned > now:
                continue  # it was looked at since, or is gone
            purse.planned = NEVER_DUE
            if now - purse.wanted_at >= IDLE_TIMEOUT_S and not purse.open:
                del self.purses[limit]  # the allocator finds out what of it has ended
            elif ask := self.ask_now(now, limit):
                out.append(ask)
        return out

    def ask_now(self, now: MonotonicTime, limit: str) -> RightsRequest | None:
        """What is to be asked of one limit: for a wish that waits, or as its time has come."""
        purse = self.purses.get(limit)
        if purse is None:
            return None
        self._write_off(now, purse)
        ask = self._ask(now, purse)
        self._plan(now, purse)
        return ask

    def _ask(self, now: MonotonicTime, purse: LimitHolding) -> RightsRequest | None:
        fence = self.fences.get(purse.part, 0)
        if not fence or now >= self.until.get(purse.part, 0.0):
            return None  # nobody serves, as far as we know: what was given up ends by itself
        if purse.open is not None:
            return self._again(now, purse, purse.open)
        want, least = self._need(now, purse)
        want, least = (0.0, 0.0) if now < purse.rest_until else (want, least)
        if not want and now < purse.tell_at:
            return None
        closed = tuple(purse.closed[:MAX_RETURNED_PER_REQUEST])
        del purse.closed[:MAX_RETURNED_PER_REQUEST]
        purse.tell_at = now if purse.closed else NEVER_DUE
        self.asks += 1
        ask = RightsRequest(purse.part, fence, self.number, self.asks, purse.limit, want, least, closed)
        purse.open = PendingRequest(ask, now, now + self.times.answer)
        return ask

    def _again(
        self, now: MonotonicTime, purse: LimitHolding, waiting: PendingRequest
    ) -> RightsRequest | None:
        if now >= waiting.first_at + self.times.waits:
            purse.open = None  # whatever was given for it ends by itself
            purse.rest_until = now + self.times.answer
            return None
        if now < waiting.again_at:
            return None
        waiting.tries += 1
        waiting.again_at = now + self.times.answer * 2 ** (waiting.tries - 1)
        return waiting.ask

    def _need(self, now: MonotonicTime, purse: LimitHolding) -> tuple[float, float]:
        """Units to ask for, and the least that is of use."""
        ahead = (
            purse.wanted * math.exp((purse.wanted_at - now) / DEMAND_DECAY_S) / DEMAND_DECAY_S * PREFETCH_S
        )
        if purse.returns:  # what is in use comes back and is spent again
            ahead = min(ahead, SPARE_CONCURRENCY_RATIO * purse.in_use(now))
        ahead = ahead if ahead >= purse.largest else 0.0  # so few wishes: each is asked for as it comes
        target, there = max(ahead, purse.lacks), purse.there(now)
        if there >= (purse.lacks if purse.lacks else target * REFILL_RATIO):
            return 0.0, 0.0
        least = max(0.0, (purse.lacks or purse.largest) - there)
        return max(least, target - there), least

    # ---- answers, and time ----

    def heard(self, now: MonotonicTime, given: RightsReply) -> bool:
        """An answer; whether there is more to spend now."""
        purse = self.purses.get(given.limit)
        waiting = purse.open if purse is not None else None
        if purse is None or waiting is None or given.number != waiting.ask.number:
            return False  # Danger: a late or repeated answer would count the same units twice
        purse.open = None
        purse.lacks = 0.0
        if given.wait_ms:
            purse.rest_until = now + given.wait_ms / 1000
        # Danger: an allocator that goes by a shorter lease takes a right for ended before this process does.
        holds = given.holds if purse.returns else min(self.times.holds, given.holds)
        if given.units > 0:
            until = waiting.first_at + holds
            keep = min(holds, self.times.holds) * self.times.keep
            purse.lots.append(HeldRight(given.right, given.units, until, waiting.first_at + keep))
        self._plan(now, purse)
        return given.units > 0

    def _write_off(self, now: MonotonicTime, purse: LimitHolding) -> None:
        """What is used up or has been held for long is given up, before that is told."""
        kept = []
        for lot in purse.lots:
            if now >= lot.until:
                continue  # the allocator will find that it has ended
            if purse.returns:
                if lot.units > UNIT_EPSILON and now >= lot.keep:
                    self._close(now, purse, lot)
                    lot.units = 0.0
                # Danger: what is in use of it comes back here, and has to be told when it does.
                if lot.units > UNIT_EPSILON or lot.used > UNIT_EPSILON:
                    kept.append(lot)
                continue
            if lot.units > UNIT_EPSILON and now < lot.keep:
                kept.append(lot)
                continue
            self._close(now, purse, lot)
        purse.lots = kept

    def _close(self, now: MonotonicTime, purse: LimitHolding, lot: HeldRight) -> None:
        if lot.right.fence != self.fences.get(purse.part):
            return  # nobody is left who gave it out
        self.given_up += lot.units
        purse.closed.append(ReturnedRight(lot.right, lot.units))
        # What was all spent is told with the next ask: until then the limit has a little less room.
        patience = 0.0 if lot.units > UNIT_EPSILON else MAX_RETURN_DELAY_RATIO * self.times.lease
        patience = self.times.answer if purse.returns else patience  # one message for what ends together
        purse.tell_at = min(purse.tell_at, now + patience)

    def next_at(self) -> MonotonicTime:
        """When `tick` may have something to do, unless a wish comes before."""
        return self.looks[0][0] if self.looks else NEVER_DUE

    def _plan(self, now: MonotonicTime, purse: LimitHolding) -> None:
        """Look at it when something of it is due. The work of a wish does not grow with the limits in use."""
        due = min(self._dues(purse))
        if now >= self.until.get(purse.part, 0.0):
            due = max(due, now + UNSERVED_CHECK_INTERVAL_S)
        due = max(due, now + MIN_CHECK_INTERVAL_S)
        if due < purse.planned:
            purse.planned = due
            heapq.heappush(self.looks, (due, purse.limit))

    def _dues(self, purse: LimitHolding) -> Iterator[MonotonicTime]:
        yield purse.wanted_at + IDLE_TIMEOUT_S
        if purse.open is not None:
            yield min(purse.open.again_at, purse.open.first_at + self.times.waits)
        else:
            yield purse.tell_at
            if purse.lacks:
                yield purse.rest_until
        # Of a right that is all in use nothing is to be given up yet.
        yield from (
            lot.until if purse.returns and lot.units <= UNIT_EPSILON else lot.keep for lot in purse.lots
        )

    def _of(self, part: int) -> Iterator[LimitHolding]:
        return (purse for purse in self.purses.values() if purse.part == part)


def customer_limit_name(plan: str, customer: str) -> str:
    """The name of a customer's own limit; keys may be long, and datagrams are short."""
    if len(name := f"{plan}/{customer}") <= MAX_LIMIT_NAME_BYTES // 2:
        return name
    return f"{plan[:32]}/{hashlib.blake2b(customer.encode(), digest_size=16).hexdigest()}"


def partition_of(limit: str, parts: int) -> int:
    """Which allocator gives out the rights of a limit; the same at every instance and in every version."""
    return int.from_bytes(hashlib.blake2b(limit.encode(), digest_size=4).digest(), "big") % parts
