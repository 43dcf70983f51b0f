"""Plans that change in service: what a customer owes stays owed, whatever plan it has.

A customer owes the units that it took and that time has not given back yet. Its plan says how much may be
owed at once (the burst) and how fast it is given back (the rate). So at a change only the burst moves: the
stores go up or down by the difference, each gateway's own by its even part of it. An upgrade gives no second
burst, a downgrade waits until time has paid, and a change there and back leaves everything as it was. All
gateways do the same by themselves, in any order with what they spend.
"""

from __future__ import annotations

from . import interface as api
from .ceilings import Ceiling
from .quotas import Customer, Quotas


def apply_plan_change(quotas: Quotas, now: float, event: api.PlanChanged) -> None:
    """A plan's new terms, or those of one customer; from the next request on."""
    if event.customer:
        if event.plan is None:
            quotas.customer_plans.pop(event.customer, None)
        else:
            quotas.customer_plans[event.customer] = event.plan
    elif event.plan is not None:
        quotas.plans[event.plan.name] = event.plan
    one = quotas.customers.get(event.customer)
    for c in [one] if one else [] if event.customer else list(quotas.customers.values()):
        plan = quotas.get_plan(c.key, c.plan_name)
        if plan is not c.plan:
            change_plan(quotas, now, c, plan)


def apply_settings(quotas: Quotas, now: float, old: api.Settings, new: api.Settings) -> None:
    """Other settings: each plan that they change has its new terms; what they drop has no requests more."""
    # Danger: a plan that another source has changed in service is not to be set back by settings as before.
    before = {plan.name: plan for plan in old.plans}
    quotas.settings = new
    quotas.max_price_factor = max((p.price_factor for p in new.plans), default=1.0)
    for plan in new.plans:
        if before.pop(plan.name, None) != plan:
            apply_plan_change(quotas, now, api.PlanChanged(plan))
    for name in before:
        quotas.plans.pop(name, None)


def change_plan(quotas: Quotas, now: float, c: Customer, plan: api.Plan) -> None:
    quotas.refill(now, c)  # what time gave back until now, at the old rate
    more, old, old_ceiling = plan.burst - c.plan.burst, c.plan, c.ceiling
    counted = quotas.settings.has_counter and plan.rate > 0
    c.apply_plan(plan)
    c.store += more
    c.tokens += (
        more * c.even_share
    )  # all gateways together: the difference, however unevenly they hold leases
    c.fresh_until = now  # the lease was sized for the old plan: the next call sizes it anew
    if not old.rate:
        # Danger: nothing was charged under a plan without a quota, at any gateway: its wants and totals say
        # nothing, so this one follows the store from its next reading on, and holds the even share till then.
        c.heard = False
        c.tokens = min(c.tokens, plan.burst * c.even_share)
    # Danger: what was sent on under no ceiling was counted nowhere. As after a restart, nothing of a new one
    # is there until time has given it.
    c.ceiling = Ceiling(plan, c.even_share, counted, 0.0, c.max_units, quotas.settings.rights_ratio)
    c.ceiling.set_gateway_share(quotas.gateway_share, 1.0)
    if old.ceiling_rate:
        c.ceiling.carry_over_debt(old_ceiling)
