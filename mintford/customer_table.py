"""How many customers a gateway remembers, and which of them it may forget.

Each customer that sends a request gets a record, so a client that sends ever new names fills the memory. The
number of records is bounded. Forgetting must not lift a limit, so a record is forgotten only if a new one
would hold no more:

| the record                                        | when the table is full                   |
| ------------------------------------------------- | ---------------------------------------- |
| has a request, an attempt or a call under way     | kept                                     |
| its store or its ceiling is not full              | kept until it is                         |
| has units that the counter does not know          | reported, and kept until they are known  |
| none of these                                     | forgotten                                |

If none of those examined can be forgotten, the request of the new customer is refused: known customers come
before strangers. One whose plan has no limits is served all the same, without a record: there is nothing to
remember of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import interface as api

if TYPE_CHECKING:
    from .quotas import Customer, Quotas

# Records that are examined for one new customer, the least recently used or examined first. It bounds the
# cost of a request of a new customer.
MAX_EXAMINED_RECORDS = 8
MAX_FORGOTTEN_UNITS = 0.01  # what rounding may leave of an unreported amount
# Of the counter timeout: a request waits no longer than two of them before it is decided.
MIN_KEPT_TIMEOUTS = 3.0


ORDERED_FROM_RATIO = 0.5  # of a full table: below, nobody needs the order of use


def note_use(quotas: Quotas, customer: Customer) -> None:
    """Makes the record of a customer the last to be examined, as it is used now."""
    if quotas.max_customers is None or len(quotas.customers) < ORDERED_FROM_RATIO * quotas.max_customers:
        return
    del quotas.customers[customer.key]
    quotas.customers[customer.key] = customer


def make_room(now: float, quotas: Quotas, out: api.Actions) -> bool:
    """Whether a record may be added. Forgets one if the table is full and one of them may be forgotten."""
    customers = quotas.customers
    if quotas.max_customers is None or len(customers) < quotas.max_customers:
        return True
    for _ in range(min(MAX_EXAMINED_RECORDS, len(customers))):
        key = next(iter(customers))
        customer = customers.pop(key)
        if can_forget(now, customer, quotas, out):
            quotas.report_backlog.pop(key, None)
            return True
        customers[key] = customer  # examined again after all others
    return False


def has_no_limits(plan: api.Plan) -> bool:
    """Whether nothing that a customer of this plan does has to be remembered."""
    return not (plan.rate or plan.ceiling_rate or plan.open_limit)


def can_forget(now: float, customer: Customer, quotas: Quotas, out: api.Actions) -> bool:
    """Whether a new record of this customer would hold no more than this one. Reports its units if not."""
    settings = quotas.settings
    has_recent_request = now - customer.demand_at < MIN_KEPT_TIMEOUTS * settings.counter_timeout
    if customer.open_attempts or customer.is_calling or has_recent_request:
        return False
    quotas.refill(now, customer)
    if settings.has_counter and customer.plan.rate:
        if abs(customer.unreported_units) > MAX_FORGOTTEN_UNITS:
            quotas.report_spending(now, customer, out)
            return False
        if customer.unconfirmed_units:
            return False
    return customer.store >= customer.plan.burst and customer.ceiling.compute_full_after() <= 0
