"""One gateway as two processes. Ceilings are exact: rates, bursts and what is in them are divided. To the
counter the two are two gateways; the new one goes on from the readings of the old one."""

from __future__ import annotations

from . import interface as api
from .load import Fleet
from .quotas import Quotas


def take_part(quotas: Quotas, fleet: Fleet, now: float, part: float) -> api.HandoverState:
    """From now on this process has such a part of its gateway; gives what it holds no more."""
    given, kept = [], min(1.0, part / (quotas.part or part or 1.0))
    for c in quotas.customers.values():
        quotas.fill(now, c)
        lease = {name: getattr(c, name) for name in api.LEASE_FIELDS}
        lease["store"] += c.unsaid  # this process will tell that, and the other read it; but not at its end
        held = max(0.0, c.tokens), c.ceiling.own, c.ceiling.unused
        amounts = (*(amount * (1 - kept) for amount in held), 0.0 if part else c.unsaid)
        given.append(api.CustomerSnapshot(c.key, c.named, round(1 / c.even), lease, *amounts))
        c.tokens, c.unsaid = c.tokens - amounts[0], c.unsaid - amounts[3]
        c.ceiling.take_part(part, kept)
    quotas.part = part
    seen = (api.BackendSnapshot(b.id, b.started, b.marks) for b in fleet.backends.values() if b.marks)
    return api.HandoverState(quotas.since, tuple(given), tuple(seen), fleet.typical, fleet.recent)


def apply(quotas: Quotas, fleet: Fleet, now: float, estate: api.HandoverState) -> None:
    """Go on from what the other process held; of a customer that is known here, the amounts alone."""
    # Danger: who is not named was not met since then: its ceiling has filled since then, and for no longer.
    quotas.since = estate.complete_since
    for held in estate.customers:
        c = quotas.customers.get(held.customer)
        if c is None:
            c = quotas.meet(held.customer, held.plan, held.spread, now, now, 0.0)
            for name, value in held.lease.items():
                setattr(c, name, value)
            c.tokens = 0.0
        c.tokens += held.tokens
        quotas.charge(c, held.unsaid)
        c.ceiling.own, c.ceiling.unused = c.ceiling.own + held.own, c.ceiling.unused + held.unused
    for seen in estate.backends:
        if (b := fleet.backends.get(seen.backend)) and b.started == seen.started:
            b.marks.update(seen.marks)
    if estate.typical and not fleet.samples:
        fleet.typical, fleet.samples, fleet.recent, fleet.recent_at = estate.typical, 1.0, estate.recent, now
