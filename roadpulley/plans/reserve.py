"""Reservations: units that a customer is promised from a time to another. Pure: admission, ends, cancelling.

A promise of U units over a span is a rate over that span: U by its length, rounded up to a millionth of a
unit a second. At no time may the promises together exceed

    what a customer has:  those out of its plan, the plan's rate at that time;
                          those on top, what its hard ceiling leaves over the plan's rate (where it has one);
    what all have:        those on top of all customers, the installation's pool.

A plan that is lowered later breaks no promise: what was promised stays, the rest of the plan's rate is what
is left, and nothing more is promised until there is room again. Spans include their start and not their end,
so one may begin in the very millisecond in which another ends.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from roadpulley.checks import ValidationError

from .book import LATE_MS
from .steps import Steps
from .terms import Terms

MICRO = 1_000_000  # rates are whole millionths of a unit a second, so that sums are exact
LEAST_MS, MOST_MS = 1_000, 400 * 24 * 3_600_000  # of a span: shorter ones are a burst; longer ones a plan
MOST_UNITS = 10**12
MOST_OF_ONE = 10_000  # reservations that one customer has and that have not ended
NOTHING = -1  # where nothing is known of a customer, so that nothing can be promised
LOOKS = 16  # places that are looked at for the nearest that fits: bounds the work of a refusal


@dataclass(frozen=True)
class Reservation:
    """`on_top`: beyond the plan, from the pool, by price. `kind`, `batch`: its class and token; "": any."""

    id: str
    customer: str
    units: int
    start: int
    end: int
    on_top: bool = False
    kind: str = ""
    batch: str = ""
    made_at: int = 0
    ended_at: int = 0  # cancelled, from when on its place is free; 0: it runs to its end

    @property
    def rate(self) -> int:
        """Millionths of a unit a second."""
        return -(-self.units * MICRO * 1000 // (self.end - self.start))

    @property
    def until(self) -> int:
        return min(self.end, max(self.start, self.ended_at)) if self.ended_at else self.end


@dataclass(frozen=True)
class No:
    """Why not, and the nearest that fits: fewer units in that span, or as many in the next with room."""

    why: str
    limit: str  # which bound was met: "plan", "ceiling", "pool"; "none": it has no plan
    at: int  # the first time at which it is
    units: int  # the most that fits in the span; 0: none
    start: int | None  # the earliest start from which all of it fits; None: none was found


# The rates of a customer from a time on, in the order of time: what its plan gives and what its ceiling does.
Bounds = tuple[tuple[int, Terms | None], ...]


@dataclass
class Mine:
    plan: Steps = field(default_factory=Steps)
    top: Steps = field(default_factory=Steps)
    open: dict[str, Reservation] = field(default_factory=dict)


class Desk:
    """`bounds` gives a customer's terms from a time on: the book knows them. `pool` is in units a second."""

    def __init__(self, pool: float, bounds: Callable[[str, int], Bounds]) -> None:
        self.pool_rate, self.bounds = int(pool * MICRO), bounds
        self.pool = Steps()
        self.customers: dict[str, Mine] = {}
        self.by_id: dict[str, Reservation] = {}

    # ---- what was written ----

    def take(self, r: Reservation) -> None:
        """A reservation from the store, or one just written to it; one that is known already is replaced."""
        mine = self.customers.setdefault(r.customer, Mine())
        if known := self.by_id.get(r.id):
            self._add(mine, known, -known.rate)
        self._add(mine, r, r.rate)
        self.by_id[r.id] = mine.open[r.id] = r

    def expire(self, now: int) -> list[Reservation]:
        """Those that have ended by now; their steps are dropped, so that memory follows what is to come."""
        over = [r for r in self.by_id.values() if r.until <= now]
        for r in over:
            del self.by_id[r.id], self.customers[r.customer].open[r.id]
            if not self.customers[r.customer].open:
                del self.customers[r.customer]
        for mine in self.customers.values():
            mine.plan.forget(now)
            mine.top.forget(now)
        self.pool.forget(now)
        return over

    # ---- commands ----

    def ask(self, now: int, r: Reservation) -> Reservation | No:
        """What is to be written and then taken, or why not.

        Raises ValidationError for what could never be promised.
        """
        check(now, r)
        known = self.by_id.get(r.id)
        if known is not None:
            if replace(known, made_at=0, ended_at=0) == replace(r, made_at=0, ended_at=0):
                return known  # asked again: one promise, however often its answer was lost
            raise ValidationError("id", f"{r.id!r} is another reservation's", "give each its own")
        mine = self.customers.get(r.customer, Mine())
        if len(mine.open) >= MOST_OF_ONE:
            raise ValidationError(
                "customer", f"has {len(mine.open):,} reservations", f"{MOST_OF_ONE:,} is the most"
            )
        found = self._over(mine, r, r.start, r.end, r.rate)
        if found is None:
            return replace(r, made_at=now)
        limit, at = found
        why = {
            "none": "no plan is assigned to it at that time",
            "plan": "its plan's rate is promised already",
            "ceiling": "its hard ceiling leaves no more",
            "pool": "the installation's pool is promised already",
        }[limit]
        return No(why, limit, at, self._fewer(mine, r), self._later(mine, r))

    def cancel(self, now: int, id: str) -> Reservation:
        """Ends now, or never begins; its place is free from now on, what was spent from it stays spent."""
        r = self.by_id.get(id)
        if r is None:
            raise ValidationError(
                "id", f"{id!r} is no reservation that is open", "look at `roadpulley reserve list`"
            )
        return r if r.ended_at else replace(r, ended_at=now)

    def short(self, now: int) -> Iterable[tuple[str, int]]:
        """Customers whose promises their plan, lowered since, does not bear any more, and from when."""
        for customer, mine in self.customers.items():
            for start, end, room in self._rooms(customer, now, now + MOST_MS, False):
                if found := mine.plan.over(start, end, room):
                    yield customer, found[0]
                    break

    def on_top(self, customer: str) -> list[tuple[int, int, int]]:
        """What promises on top add to a customer's rate: from, until before, millionths a second."""
        mine = self.customers.get(customer)
        return [(r.start, r.until, r.rate) for r in mine.open.values() if r.on_top] if mine else []

    # ---- inside ----

    def _add(self, mine: Mine, r: Reservation, rate: int) -> None:
        if r.until <= r.start:
            return
        if r.on_top:
            mine.top.add(r.start, r.until, rate)
            self.pool.add(r.start, r.until, rate)
        else:
            mine.plan.add(r.start, r.until, rate)

    def _rooms(self, customer: str, start: int, end: int, on_top: bool) -> list[tuple[int, int, int]]:
        """What a customer's own terms leave for promises: from, until before, millionths a second."""
        rows = self.bounds(customer, start)
        out = []
        for number, (since, terms) in enumerate(rows):
            until = rows[number + 1][0] if number + 1 < len(rows) else end
            low, high = max(since, start), min(until, end)
            if low < high:
                out.append((low, high, room(terms, on_top)))
        return out

    def _over(self, mine: Mine, r: Reservation, start: int, end: int, rate: int) -> tuple[str, int] | None:
        """The first bound that a rate over a span would exceed, and when."""
        own, limit = (mine.top, "ceiling") if r.on_top else (mine.plan, "plan")
        for low, high, most in self._rooms(r.customer, start, end, r.on_top):
            if found := own.over(low, high, most - rate):
                return limit if most > NOTHING else "none", found[0]
        if r.on_top and (found := self.pool.over(start, end, self.pool_rate - rate)):
            return "pool", found[0]
        return None

    def _fewer(self, mine: Mine, r: Reservation) -> int:
        """The most units that fit into the span."""
        own = mine.top if r.on_top else mine.plan
        left = [m - own.most(low, high) for low, high, m in self._rooms(r.customer, r.start, r.end, r.on_top)]
        if r.on_top:
            left.append(self.pool_rate - self.pool.most(r.start, r.end))
        return max(0, min(left, default=0)) * (r.end - r.start) // (MICRO * 1000)

    def _later(self, mine: Mine, r: Reservation) -> int | None:
        """The earliest later start from which all of it fits, among the next places where room begins."""
        start, span, rate = r.start, r.end - r.start, r.rate
        own = mine.top if r.on_top else mine.plan
        for _ in range(LOOKS):
            if start > r.start + MOST_MS:
                return None
            ends = []
            for low, high, most in self._rooms(r.customer, start, start + span, r.on_top):
                if end := own.last_over(low, high, most - rate):
                    ends.append(end)
            if r.on_top and (end := self.pool.last_over(start, start + span, self.pool_rate - rate)):
                ends.append(end)
            if not ends:
                return start
            start = max(ends)  # any start before that has this place in its span
        return None


def room(terms: Terms | None, on_top: bool) -> int:
    if terms is None:
        return NOTHING
    if not on_top:
        return int(terms.rate * MICRO)
    if not terms.ceiling_rate:
        return 10**18
    return int((terms.ceiling_rate - terms.rate) * MICRO)


def check(now: int, r: Reservation) -> None:
    if not 1 <= r.units <= MOST_UNITS:
        raise ValidationError("units", f"is {r.units}", f"give a whole number from 1 to {MOST_UNITS:,}")
    if not LEAST_MS <= r.end - r.start <= MOST_MS:
        raise ValidationError(
            "until", f"is {(r.end - r.start) / 1000:,.1f} s after its start", "give from 1 s to 400 days"
        )
    if not now - LATE_MS <= r.start <= now + MOST_MS:
        raise ValidationError(
            "from", f"is {(r.start - now) / 1000:+,.1f} s from now", "give a time from now on"
        )
