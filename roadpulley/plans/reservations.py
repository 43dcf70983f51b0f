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

from .catalog import START_TOLERANCE_MS
from .step_function import StepFunction
from .terms import Terms

MICRO = 1_000_000  # rates are whole millionths of a unit a second, so that sums are exact
MIN_SPAN_MS, MAX_SPAN_MS = (
    1_000,
    400 * 24 * 3_600_000,
)  # of a span: shorter ones are a burst; longer ones a plan
MAX_UNITS = 10**12
MAX_OPEN_PER_CUSTOMER = 10_000  # reservations that one customer has and that have not ended
NO_PLAN_LIMIT = -1  # where nothing is known of a customer, so that nothing can be promised
MAX_START_CANDIDATES = 16  # places that are looked at for the nearest that fits: bounds the work of a refusal


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
    def rate_micro(self) -> int:
        """Millionths of a unit a second."""
        return -(-self.units * MICRO * 1000 // (self.end - self.start))

    @property
    def effective_end(self) -> int:
        return min(self.end, max(self.start, self.ended_at)) if self.ended_at else self.end


@dataclass(frozen=True)
class Rejection:
    """Why not, and the nearest that fits: fewer units in that span, or as many in the next with room."""

    reason: str
    limit: str  # which bound was met: "plan", "ceiling", "pool"; "none": it has no plan
    exceeded_at: int  # the first time at which it is
    available_units: int  # the most that fits in the span; 0: none
    next_start: int | None  # the earliest start from which all of it fits; None: none was found


# The rates of a customer from a time on, in the order of time: what its plan gives and what its ceiling does.
TermsTimeline = tuple[tuple[int, Terms | None], ...]


@dataclass
class CustomerReservations:
    plan_rates: StepFunction = field(default_factory=StepFunction)
    on_top_rates: StepFunction = field(default_factory=StepFunction)
    open: dict[str, Reservation] = field(default_factory=dict)


class ReservationLedger:
    """`bounds` gives a customer's terms from a time on: the book knows them. `pool` is in units a second."""

    def __init__(self, pool: float, get_terms_timeline: Callable[[str, int], TermsTimeline]) -> None:
        self.pool_limit_micro, self.bounds = int(pool * MICRO), get_terms_timeline
        self.pool = StepFunction()
        self.customers: dict[str, CustomerReservations] = {}
        self.by_id: dict[str, Reservation] = {}

    # ---- what was written ----

    def apply(self, r: Reservation) -> None:
        """A reservation from the store, or one just written to it; one that is known already is replaced."""
        customer_reservations = self.customers.setdefault(r.customer, CustomerReservations())
        if known := self.by_id.get(r.id):
            self._add(customer_reservations, known, -known.rate_micro)
        self._add(customer_reservations, r, r.rate_micro)
        self.by_id[r.id] = customer_reservations.open[r.id] = r

    def expire(self, now: int) -> list[Reservation]:
        """Those that have ended by now; their steps are dropped, so that memory follows what is to come."""
        over = [r for r in self.by_id.values() if r.effective_end <= now]
        for r in over:
            del self.by_id[r.id], self.customers[r.customer].open[r.id]
            if not self.customers[r.customer].open:
                del self.customers[r.customer]
        for customer_reservations in self.customers.values():
            customer_reservations.plan_rates.drop_before(now)
            customer_reservations.on_top_rates.drop_before(now)
        self.pool.drop_before(now)
        return over

    # ---- commands ----

    def admit(self, now: int, r: Reservation) -> Reservation | Rejection:
        """What is to be written and then taken, or why not.

        Raises ValidationError for what could never be promised.
        """
        validate_reservation(now, r)
        known = self.by_id.get(r.id)
        if known is not None:
            if replace(known, made_at=0, ended_at=0) == replace(r, made_at=0, ended_at=0):
                return known  # asked again: one promise, however often its answer was lost
            raise ValidationError("id", f"{r.id!r} is another reservation's", "give each its own")
        customer_reservations = self.customers.get(r.customer, CustomerReservations())
        if len(customer_reservations.open) >= MAX_OPEN_PER_CUSTOMER:
            raise ValidationError(
                "customer",
                f"has {len(customer_reservations.open):,} reservations",
                f"{MAX_OPEN_PER_CUSTOMER:,} is the most",
            )
        found = self._find_exceeded_limit(customer_reservations, r, r.start, r.end, r.rate_micro)
        if found is None:
            return replace(r, made_at=now)
        limit, at = found
        why = {
            "none": "no plan is assigned to it at that time",
            "plan": "its plan's rate is promised already",
            "ceiling": "its hard ceiling leaves no more",
            "pool": "the installation's pool is promised already",
        }[limit]
        return Rejection(
            why,
            limit,
            at,
            self._get_max_units(customer_reservations, r),
            self._find_next_start(customer_reservations, r),
        )

    def cancel(self, now: int, id: str) -> Reservation:
        """Ends now, or never begins; its place is free from now on, what was spent from it stays spent."""
        r = self.by_id.get(id)
        if r is None:
            raise ValidationError(
                "id", f"{id!r} is no reservation that is open", "look at `roadpulley reserve list`"
            )
        return r if r.ended_at else replace(r, ended_at=now)

    def find_overcommitted(self, now: int) -> Iterable[tuple[str, int]]:
        """Customers whose promises their plan, lowered since, does not bear any more, and from when."""
        for customer, customer_reservations in self.customers.items():
            for start, end, room in self._get_limits(customer, now, now + MAX_SPAN_MS, False):
                if found := customer_reservations.plan_rates.find_first_above(start, end, room):
                    yield customer, found[0]
                    break

    def get_on_top_rates(self, customer: str) -> list[tuple[int, int, int]]:
        """What promises on top add to a customer's rate: from, until before, millionths a second."""
        customer_reservations = self.customers.get(customer)
        return (
            [
                (r.start, r.effective_end, r.rate_micro)
                for r in customer_reservations.open.values()
                if r.on_top
            ]
            if customer_reservations
            else []
        )

    # ---- inside ----

    def _add(self, customer_reservations: CustomerReservations, r: Reservation, rate: int) -> None:
        if r.effective_end <= r.start:
            return
        if r.on_top:
            customer_reservations.on_top_rates.add(r.start, r.effective_end, rate)
            self.pool.add(r.start, r.effective_end, rate)
        else:
            customer_reservations.plan_rates.add(r.start, r.effective_end, rate)

    def _get_limits(self, customer: str, start: int, end: int, on_top: bool) -> list[tuple[int, int, int]]:
        """What a customer's own terms leave for promises: from, until before, millionths a second."""
        rows = self.bounds(customer, start)
        out = []
        for number, (since, terms) in enumerate(rows):
            until = rows[number + 1][0] if number + 1 < len(rows) else end
            low, high = max(since, start), min(until, end)
            if low < high:
                out.append((low, high, get_limit(terms, on_top)))
        return out

    def _find_exceeded_limit(
        self, customer_reservations: CustomerReservations, r: Reservation, start: int, end: int, rate: int
    ) -> tuple[str, int] | None:
        """The first bound that a rate over a span would exceed, and when."""
        own, limit = (
            (customer_reservations.on_top_rates, "ceiling")
            if r.on_top
            else (customer_reservations.plan_rates, "plan")
        )
        for low, high, most in self._get_limits(r.customer, start, end, r.on_top):
            if found := own.find_first_above(low, high, most - rate):
                return limit if most > NO_PLAN_LIMIT else "none", found[0]
        if r.on_top and (found := self.pool.find_first_above(start, end, self.pool_limit_micro - rate)):
            return "pool", found[0]
        return None

    def _get_max_units(self, customer_reservations: CustomerReservations, r: Reservation) -> int:
        """The most units that fit into the span."""
        own = customer_reservations.on_top_rates if r.on_top else customer_reservations.plan_rates
        left = [
            m - own.get_max(low, high)
            for low, high, m in self._get_limits(r.customer, r.start, r.end, r.on_top)
        ]
        if r.on_top:
            left.append(self.pool_limit_micro - self.pool.get_max(r.start, r.end))
        return max(0, min(left, default=0)) * (r.end - r.start) // (MICRO * 1000)

    def _find_next_start(self, customer_reservations: CustomerReservations, r: Reservation) -> int | None:
        """The earliest later start from which all of it fits, among the next places where room begins."""
        start, span, rate = r.start, r.end - r.start, r.rate_micro
        own = customer_reservations.on_top_rates if r.on_top else customer_reservations.plan_rates
        for _ in range(MAX_START_CANDIDATES):
            if start > r.start + MAX_SPAN_MS:
                return None
            ends = []
            for low, high, most in self._get_limits(r.customer, start, start + span, r.on_top):
                if end := own.find_last_end_above(low, high, most - rate):
                    ends.append(end)
            if r.on_top and (
                end := self.pool.find_last_end_above(start, start + span, self.pool_limit_micro - rate)
            ):
                ends.append(end)
            if not ends:
                return start
            start = max(ends)  # any start before that has this place in its span
        return None


def get_limit(terms: Terms | None, on_top: bool) -> int:
    if terms is None:
        return NO_PLAN_LIMIT
    if not on_top:
        return int(terms.rate * MICRO)
    if not terms.ceiling_rate:
        return 10**18
    return int((terms.ceiling_rate - terms.rate) * MICRO)


def validate_reservation(now: int, r: Reservation) -> None:
    if not 1 <= r.units <= MAX_UNITS:
        raise ValidationError("units", f"is {r.units}", f"give a whole number from 1 to {MAX_UNITS:,}")
    if not MIN_SPAN_MS <= r.end - r.start <= MAX_SPAN_MS:
        raise ValidationError(
            "until", f"is {(r.end - r.start) / 1000:,.1f} s after its start", "give from 1 s to 400 days"
        )
    if not now - START_TOLERANCE_MS <= r.start <= now + MAX_SPAN_MS:
        raise ValidationError(
            "from", f"is {(r.start - now) / 1000:+,.1f} s from now", "give a time from now on"
        )
