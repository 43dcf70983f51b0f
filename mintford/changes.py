"""Changes of plans in service. What a customer owes stays owed, whatever its plan is.

A customer owes the units that it has taken and that the refill has not returned yet. Its plan sets how much
it may owe at once (the burst) and how fast that is returned (the rate). So a change moves only the burst: the
store moves by the difference, and each gateway's tokens by its even share of it. An upgrade gives no second
burst, a downgrade waits for the refill, and a change and its reversal leave everything as it was. Each
gateway applies a change on its own, in any order with its spending.
"""

from __future__ import annotations

from . import interface as api
from .ceilings import Ceiling
from .quotas import Customer, Quotas


def apply_plan_change(quotas: Quotas, now: float, event: api.PlanChanged) -> None:
    """Apply the new terms of a plan, or of one customer, from the next request on."""
    if event.customer:
        if event.plan is None:
            quotas.customer_plans.pop(event.customer, None)
        else:
            quotas.customer_plans[event.customer] = event.plan
    elif event.plan is not None:
        quotas.plans[event.plan.name] = event.plan
    changed_customer = quotas.customers.get(event.customer)
    for record in (
        [changed_customer] if changed_customer else [] if event.customer else list(quotas.customers.values())
    ):
        plan = quotas.get_plan(record.key, record.plan_name)
        if plan is not record.plan:
            change_plan(quotas, now, record, plan)


def apply_settings(quotas: Quotas, now: float, old: api.Settings, new: api.Settings) -> None:
    """Apply the changed plans of new settings, and remove the plans that they no longer contain."""
    # A plan that the settings leave unchanged is skipped. Otherwise new settings would undo a change that
    # another source has made to it in service.
    old_plans = {plan.name: plan for plan in old.plans}
    quotas.settings = new
    quotas.max_price_factor = max((p.price_factor for p in new.plans), default=1.0)
    for plan in new.plans:
        if old_plans.pop(plan.name, None) != plan:
            apply_plan_change(quotas, now, api.PlanChanged(plan))
    for name in old_plans:
        quotas.plans.pop(name, None)


def change_plan(quotas: Quotas, now: float, customer: Customer, plan: api.Plan) -> None:
    """Move a customer to other terms. Its debts stay as they are."""
    quotas.refill(now, customer)  # up to now at the old rate
    old, old_ceiling = customer.plan, customer.ceiling
    added_burst = plan.burst - old.burst
    has_counted_quota = quotas.settings.has_counter and plan.rate > 0
    customer.apply_plan(plan)
    customer.store += added_burst
    # The next estimate has the new burst. Compared with an estimate of the old one, it would move the store
    # by the difference a second time.
    customer.first_estimate += added_burst
    # Over all gateways this adds up to the difference, however uneven their leases are.
    customer.tokens += added_burst * customer.even_share
    customer.fresh_until = now  # the lease was sized for the old plan, so the next call sizes it again
    if not old.rate:
        # No gateway calls the counter under a plan without a quota, so what the others have spent since the
        # last reading is unknown. This gateway keeps to the even share until its next reading.
        customer.tokens = min(customer.tokens, plan.burst * customer.even_share)
    # Units spent without a ceiling were not counted. So a new ceiling starts empty, as after a restart,
    # otherwise it could be exceeded.
    customer.ceiling = Ceiling(
        plan, customer.even_share, has_counted_quota, 0.0, customer.max_units, quotas.settings.rights_ratio
    )
    customer.ceiling.set_gateway_share(quotas.gateway_share.current, 1.0)
    if old.ceiling_rate:
        customer.ceiling.carry_over_debt(old_ceiling)
