"""Handover between two processes of one gateway.

Ceilings are exact: their rates, bursts and tokens are divided between the two. To the counter the processes
are two gateways, and the new one continues from the readings of the old one.
"""

from __future__ import annotations

from . import interface as api
from .load import Fleet
from .quotas import Quotas


def split_off(quotas: Quotas, fleet: Fleet, now: float, new_share: float) -> api.HandoverState:
    """Serve only this share of the gateway from now on. Return the state that this process gives up."""
    snapshots = []
    complete_since = quotas.gateway_share.get_complete_since()
    kept_ratio = quotas.gateway_share.change(now, new_share)
    for customer in quotas.customers.values():
        quotas.refill(now, customer)
        lease = {name: getattr(customer, attribute) for name, attribute in api.LEASE_FIELDS.items()}
        # This process will report its unreported units, and the other one will read them in the total. A
        # process that ends hands them over instead.
        lease["store"] += customer.unreported_units
        held = max(0.0, customer.tokens), customer.ceiling.own_tokens, customer.ceiling.shared_allowance
        amounts = (
            *(amount * (1 - kept_ratio) for amount in held),
            0.0 if new_share else customer.unreported_units,
        )
        snapshots.append(
            api.CustomerSnapshot(
                customer.key, customer.plan_name, round(1 / customer.even_share), lease, *amounts
            )
        )
        customer.tokens -= amounts[0]
        customer.unreported_units -= amounts[3]
        customer.ceiling.set_gateway_share(new_share, kept_ratio)
    health = (api.BackendSnapshot(b.id, b.started, b.marks) for b in fleet.backends.values() if b.marks)
    return api.HandoverState(
        complete_since, tuple(snapshots), tuple(health), fleet.typical_latency, fleet.recent_latency
    )


def apply(quotas: Quotas, fleet: Fleet, now: float, state: api.HandoverState) -> None:
    """Continue with the state of the other process. For customers known here, only the amounts are added."""
    # A customer that is not listed has sent no request since this time. So its ceiling has refilled since
    # then, and for no longer. Otherwise the ceiling could be exceeded.
    quotas.started_at = state.complete_since
    quotas.gateway_share.restart(state.complete_since)
    for snapshot in state.customers:
        record = quotas.customers.get(snapshot.customer)
        if record is None:
            record = quotas.add_customer(snapshot.customer, snapshot.plan, snapshot.spread, now)
            record.ceiling.set_gateway_share(quotas.gateway_share.current, 0.0)
            for name, value in snapshot.lease.items():
                setattr(record, api.LEASE_FIELDS[name], value)
            record.tokens = 0.0
        record.tokens += snapshot.tokens
        quotas.charge(record, snapshot.unsaid)
        record.ceiling.own_tokens += snapshot.own
        record.ceiling.shared_allowance += snapshot.unused
    for saved in state.backends:
        if (backend_record := fleet.backends.get(saved.backend)) and backend_record.started == saved.started:
            backend_record.marks.update(saved.marks)
    if state.typical and not fleet.latency_samples:
        fleet.typical_latency = state.typical
        fleet.latency_samples = 1.0
        fleet.recent_latency = state.recent
        fleet.recent_latency_at = now
