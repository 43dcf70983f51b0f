"""One gateway as two processes. Ceilings are exact: rates, bursts and what is in them are divided. To the
counter the two are two gateways; the new one goes on from the readings of the old one."""

from __future__ import annotations

from . import interface as api
from .load import Fleet
from .quotas import Quotas


def split_off(quotas: Quotas, fleet: Fleet, now: float, part: float) -> api.HandoverState:
    """From now on this process has such a part of its gateway; gives what it holds no more."""
    given, kept = [], min(1.0, part / (quotas.gateway_share or part or 1.0))
    for c in quotas.customers.values():
        quotas.refill(now, c)
        lease = {name: getattr(c, attribute) for name, attribute in api.LEASE_FIELDS.items()}
        lease["store"] += (
            c.unreported_units
        )  # this process will tell that, and the other read it; but not at its end
        held = max(0.0, c.tokens), c.ceiling.own_tokens, c.ceiling.shared_allowance
        amounts = (*(amount * (1 - kept) for amount in held), 0.0 if part else c.unreported_units)
        given.append(api.CustomerSnapshot(c.key, c.plan_name, round(1 / c.even_share), lease, *amounts))
        c.tokens, c.unreported_units = c.tokens - amounts[0], c.unreported_units - amounts[3]
        c.ceiling.set_gateway_share(part, kept)
    quotas.gateway_share = part
    seen = (api.BackendSnapshot(b.id, b.started, b.marks) for b in fleet.backends.values() if b.marks)
    return api.HandoverState(
        quotas.started_at, tuple(given), tuple(seen), fleet.typical_latency, fleet.recent_latency
    )


def apply(quotas: Quotas, fleet: Fleet, now: float, estate: api.HandoverState) -> None:
    """Go on from what the other process held; of a customer that is known here, the amounts alone."""
    # Danger: who is not named was not met since then: its ceiling has filled since then, and for no longer.
    quotas.started_at = estate.complete_since
    for held in estate.customers:
        c = quotas.customers.get(held.customer)
        if c is None:
            c = quotas.add_customer(held.customer, held.plan, held.spread, now, now, 0.0)
            for name, value in held.lease.items():
                setattr(c, api.LEASE_FIELDS[name], value)
            c.tokens = 0.0
        c.tokens += held.tokens
        quotas.charge(c, held.unsaid)
        c.ceiling.own_tokens, c.ceiling.shared_allowance = (
            c.ceiling.own_tokens + held.own,
            c.ceiling.shared_allowance + held.unused,
        )
    for seen in estate.backends:
        if (b := fleet.backends.get(seen.backend)) and b.started == seen.started:
            b.marks.update(seen.marks)
    if estate.typical and not fleet.latency_samples:
        fleet.typical_latency, fleet.latency_samples, fleet.recent_latency, fleet.recent_latency_at = (
            estate.typical,
            1.0,
            estate.recent,
            now,
        )
