"""Reservations of units for a customer over a time span: admission, expiry and cancellation. Pure.

A reservation of U units over a span is a rate over that span: U divided by the length of the span, rounded up
to a millionth of a unit per second. At no time may the sum of reservations exceed these limits:

    per customer, out of its plan:  the plan's rate at that time;
    per customer, on top of it:     the hard ceiling minus the plan's rate, if there is a ceiling;
    all customers, on top:          the pool of the installation.

A plan that is lowered later revokes no reservation. Reservations that were granted stay, and no further ones
are granted until they fit again. Spans include their start but not their end, so a span may start in the
millisecond in which another ends.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from roadpulley.checks import ValidationError

from .catalog import START_TOLERANCE_MS
from .step_function import StepFunction
from .terms import Terms

# Rates are whole millionths of a unit per second, so that sums are exact.
MICRO = 1_000_000
MIN_SPAN_MS = 1_000  # a shorter span is a burst
MAX_SPAN_MS = 400 * 24 * 3_600_000  # a longer span is a plan
MAX_UNITS = 10**12
MAX_OPEN_PER_CUSTOMER = 10_000  # reservations that have not ended
NO_PLAN_LIMIT = -1  # the limit of a customer without a plan; no reservation fits under it
# Start times that are examined for the next span with room; this bounds the work of a rejection.
MAX_START_CANDIDATES = 16


@dataclass(frozen=True)
class Reservation:
    """Units that are reserved for a customer over a time span.

    With `on_top` they are added to the plan and taken from the pool, at a price. `kind` and `batch` are the
    class of requests and the batch token, "" for any.
    """

    id: str
    customer: str
    units: int
    start: int
    end: int
    on_top: bool = False
    kind: str = ""
    batch: str = ""
    made_at: int = 0
    ended_at: int = 0  # time of cancellation, which frees the rest; 0: not cancelled

    @property
    def rate_micro(self) -> int:
        """The rate in millionths of a unit per second."""
        return -(-self.units * MICRO * 1000 // (self.end - self.start))

    @property
    def effective_end(self) -> int:
        """The end, or the time of cancellation if that is earlier."""
        return min(self.end, max(self.start, self.ended_at)) if self.ended_at else self.end


@dataclass(frozen=True)
class Rejection:
    """Why a reservation is rejected, and what would fit: fewer units, or the same units later."""

    reason: str
    limit: str  # the exceeded limit: "plan", "ceiling" or "pool"; "none": no plan
    exceeded_at: int  # the first time at which the limit is exceeded
    available_units: int  # units that fit in the requested span; 0: none
    next_start: int | None  # the earliest start at which all units fit; None: not found


# The terms of a customer in the order of their start times. None: no plan is assigned.
TermsTimeline = tuple[tuple[int, Terms | None], ...]


@dataclass
class CustomerReservations:
    """The reservations of one customer: summed rates out of the plan and on top of it, and those by id."""

    plan_rates: StepFunction = field(default_factory=StepFunction)
    on_top_rates: StepFunction = field(default_factory=StepFunction)
    open: dict[str, Reservation] = field(default_factory=dict)


class ReservationLedger:
    """Admits reservations within the limits and tracks those that have not ended.

    `get_terms_timeline` returns a customer's terms from a time on. `pool` is in units per second.
    """

    def __init__(self, pool: float, get_terms_timeline: Callable[[str, int], TermsTimeline]) -> None:
        self.pool_limit_micro, self.terms_source = int(pool * MICRO), get_terms_timeline
        self.pool = StepFunction()
        self.customers: dict[str, CustomerReservations] = {}
        self.by_id: dict[str, Reservation] = {}

    # ---- stored reservations ----

    def apply(self, r: Reservation) -> None:
        """Add a reservation that is in the store. It replaces one with the same id."""
        customer_reservations = self.customers.setdefault(r.customer, CustomerReservations())
        if known := self.by_id.get(r.id):
            self._add(customer_reservations, known, -known.rate_micro)
        self._add(customer_reservations, r, r.rate_micro)
        self.by_id[r.id] = customer_reservations.open[r.id] = r

    def expire(self, now: int) -> list[Reservation]:
        """Remove and return the reservations that have ended. Past steps are dropped to bound memory."""
        ended = [r for r in self.by_id.values() if r.effective_end <= now]
        for r in ended:
            del self.by_id[r.id], self.customers[r.customer].open[r.id]
            if not self.customers[r.customer].open:
                del self.customers[r.customer]
        for customer_reservations in self.customers.values():
            customer_reservations.plan_rates.drop_before(now)
            customer_reservations.on_top_rates.drop_before(now)
        self.pool.drop_before(now)
        return ended

    # ---- commands ----

    def admit(self, now: int, r: Reservation) -> Reservation | Rejection:
        """Return the reservation that the caller writes and then applies, or why it is rejected.

        Raises ValidationError for a request that could never be granted.
        """
        validate_reservation(now, r)
        known = self.by_id.get(r.id)
        if known is not None:
            if replace(known, made_at=0, ended_at=0) == replace(r, made_at=0, ended_at=0):
                return known  # a repeated request, for example after its answer was lost, counts once
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
        reason = {
            "none": "no plan is assigned to it at that time",
            "plan": "its plan's rate is promised already",
            "ceiling": "its hard ceiling leaves no more",
            "pool": "the installation's pool is promised already",
        }[limit]
        return Rejection(
            reason,
            limit,
            at,
            self._get_max_units(customer_reservations, r),
            self._find_next_start(customer_reservations, r),
        )

    def cancel(self, now: int, id: str) -> Reservation:
        """End a reservation now, or before its start. The rest is free again; spent units stay spent.

        Raises ValidationError for an id that is not open.
        """
        r = self.by_id.get(id)
        if r is None:
            raise ValidationError(
                "id", f"{id!r} is no reservation that is open", "look at `roadpulley reserve list`"
            )
        return r if r.ended_at else replace(r, ended_at=now)

    def find_overcommitted(self, now: int) -> Iterable[tuple[str, int]]:
        """Yield customers whose reservations exceed their lowered plan, and the first time of that."""
        for customer, customer_reservations in self.customers.items():
            for start, end, limit in self._get_limits(customer, now, now + MAX_SPAN_MS, False):
                if found := customer_reservations.plan_rates.find_first_above(start, end, limit):
                    yield customer, found[0]
                    break

    def get_on_top_rates(self, customer: str) -> list[tuple[int, int, int]]:
        """Return what reservations on top add to a customer's rate, as (start, end, rate_micro)."""
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

    # ---- internal ----

    def _add(self, customer_reservations: CustomerReservations, r: Reservation, rate: int) -> None:
        if r.effective_end <= r.start:
            return
        if r.on_top:
            customer_reservations.on_top_rates.add(r.start, r.effective_end, rate)
            self.pool.add(r.start, r.effective_end, rate)
        else:
            customer_reservations.plan_rates.add(r.start, r.effective_end, rate)

    def _get_limits(self, customer: str, start: int, end: int, on_top: bool) -> list[tuple[int, int, int]]:
        """Return the customer's limits over a span, as (start, end, limit in millionths per second)."""
        rows = self.terms_source(customer, start)
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
        """Return the first limit that an added rate over a span would exceed, and when."""
        own, limit = (
            (customer_reservations.on_top_rates, "ceiling")
            if r.on_top
            else (customer_reservations.plan_rates, "plan")
        )
        for low, high, limit_micro in self._get_limits(r.customer, start, end, r.on_top):
            if found := own.find_first_above(low, high, limit_micro - rate):
                return limit if limit_micro > NO_PLAN_LIMIT else "none", found[0]
        if r.on_top and (found := self.pool.find_first_above(start, end, self.pool_limit_micro - rate)):
            return "pool", found[0]
        return None

    def _get_max_units(self, customer_reservations: CustomerReservations, r: Reservation) -> int:
        """Return how many units fit into the span."""
        own = customer_reservations.on_top_rates if r.on_top else customer_reservations.plan_rates
        free = [
            m - own.get_max(low, high)
            for low, high, m in self._get_limits(r.customer, r.start, r.end, r.on_top)
        ]
        if r.on_top:
            free.append(self.pool_limit_micro - self.pool.get_max(r.start, r.end))
        return max(0, min(free, default=0)) * (r.end - r.start) // (MICRO * 1000)

    def _find_next_start(self, customer_reservations: CustomerReservations, r: Reservation) -> int | None:
        """Return the earliest later start at which all units fit, among the next ends of full stretches."""
        start, span, rate = r.start, r.end - r.start, r.rate_micro
        own = customer_reservations.on_top_rates if r.on_top else customer_reservations.plan_rates
        for _ in range(MAX_START_CANDIDATES):
            if start > r.start + MAX_SPAN_MS:
                return None
            ends = []
            for low, high, limit_micro in self._get_limits(r.customer, start, start + span, r.on_top):
                if end := own.find_last_end_above(low, high, limit_micro - rate):
                    ends.append(end)
            if r.on_top and (
                end := self.pool.find_last_end_above(start, start + span, self.pool_limit_micro - rate)
            ):
                ends.append(end)
            if not ends:
                return start
            start = max(ends)  # the span of any earlier start would include this full stretch
        return None


def get_limit(terms: Terms | None, on_top: bool) -> int:
    """Return the limit that terms set for reservations, in millionths of a unit per second."""
    if terms is None:
        return NO_PLAN_LIMIT
    if not on_top:
        return int(terms.rate * MICRO)
    if not terms.ceiling_rate:
        return 10**18
    return int((terms.ceiling_rate - terms.rate) * MICRO)


def validate_reservation(now: int, r: Reservation) -> None:
    """Raise ValidationError for a reservation that could never be granted."""
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
