"""How far quotas and ceilings can be off when links fail: bounds by event, from a plan's terms. Pure.

`over`: units that all gateways together can send on beyond what one exact store would have let in, from the
event on. `less`: units of its due that a customer can be refused, if all its requests come to one gateway.

Where the bounds come from (the module's rules: docs/design/fleet-limits.md). A gateway that has read a total
may spend all that the store holds, if the others have sent on next to nothing lately; so `gateways` of them
can each spend one whole store, and fill it at the whole rate, until their leases end unheard. After that each
has an even part of rate and burst. Only what is beyond the one store counts as over.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from mintford import interface as api
from mintford.ceilings import compute_shared_ratio
from mintford.guards import LEASE_MS
from mintford.quotas import MAX_SETTLEMENT_RATIO, SPARSE_BURST_RATIO, UNREPORTED_BURST_RATIO


@dataclass(frozen=True)
class Scenario:
    """One plan and one event. `gateways`: that a customer's requests come to; `unit`: the largest request;
    `seconds`: of the event; `parted`: gateways that it happens to; `lease`: seconds for which one lasts."""

    plan: api.Plan
    gateways: int
    largest_request_units: float = 1.0
    duration_s: float = 60.0
    affected_gateways: int = 1
    lease_s: float = LEASE_MS / 1000

    @property
    def leased_s(self) -> float:
        """Seconds of the event in which leases hold still."""
        return min(self.duration_s, self.lease_s)

    @property
    def max_uncounted_units(self) -> float:
        """Units that one gateway may have sent on and not told yet; where units are scarce, one request."""
        return (
            self.largest_request_units
            if self.is_sparse
            else max(self.largest_request_units, UNREPORTED_BURST_RATIO * self.plan.burst)
        )

    @property
    def is_sparse(self) -> bool:
        return self.plan.burst / self.gateways < SPARSE_BURST_RATIO * self.largest_request_units

    @property
    def even_burst(self) -> float:
        """Units that a gateway that knows of no total holds, whether they are there or not."""
        return max(self.largest_request_units, self.plan.burst / self.gateways)


@dataclass(frozen=True)
class Bound:
    excess_units: float
    shortfall_units: float


def bound_simultaneous_burst(case: Scenario) -> Bound:
    """Nothing fails, and all gateways are asked for everything at once after a calm time: each has read that
    all is there. Until it reads again it sends on what may stay untold, and as much while that is told."""
    return Bound((case.gateways - 1) * 2 * case.max_uncounted_units, 0.0)


def bound_silent_counter(case: Scenario) -> Bound:
    """The counter answers nobody: each spends its lease, then its even part."""
    plan, more = case.plan, case.gateways - 1
    after = case.duration_s - case.leased_s
    return Bound(
        more * (plan.burst + plan.rate * case.leased_s),
        more / case.gateways * (plan.burst + plan.rate * after),
    )


def bound_partitioned_counter(case: Scenario) -> Bound:
    """The counter answers only some: the rest spend their leases, then even parts that those don't miss."""
    plan, cut = case.plan, min(case.affected_gateways, case.gateways)
    if cut == case.gateways:
        return bound_silent_counter(case)
    after = case.duration_s - case.leased_s
    over = cut * (plan.burst + plan.rate * case.leased_s) + cut / case.gateways * plan.rate * after
    over += (
        (case.gateways - cut - 1) * 2 * case.max_uncounted_units
    )  # the others may be asked all at once: `surge`
    return Bound(over, bound_silent_counter(case).shortfall_units)


def bound_emptied_counter(case: Scenario) -> Bound:
    """The counter comes back with nothing: what the others told before is not in its totals.

    Right after a period's edge little was told under the new number. A total that falls by no more than
    `GIVEN_BACK` requests looks like a settlement: so much that was spent before the event seems to be there.
    """
    return Bound(
        (case.gateways - 1) * case.plan.burst + MAX_SETTLEMENT_RATIO * case.largest_request_units,
        case.plan.burst,
    )


def bound_old_copy(case: Scenario) -> Bound:
    """It comes back with an old copy. Lower numbers are as none; higher ones look as if spent elsewhere."""
    return Bound(bound_emptied_counter(case).excess_units, 2 * case.plan.burst)


def bound_late_answers(case: Scenario) -> Bound:
    """It adds and answers too late: whoever asked knows no more than from a silent one, and its totals are
    right when they are heard again."""
    return bound_silent_counter(case)


def bound_higher_totals(case: Scenario) -> Bound:
    """An old copy whose numbers are higher than those of now: the difference looks spent elsewhere, until
    nothing is left of the store. Time fills it again; the next period's number is not in the copy."""
    return Bound(0.0, case.plan.burst)


def bound_half_emptied_counter(case: Scenario) -> Bound:
    """Half of its parts come back empty: of a customer whose number was there, as if all had."""
    return bound_emptied_counter(case)


def bound_gateway_restarts(case: Scenario) -> Bound:
    """Gateways restart while the counter answers: what they had not told is lost, and a total from before
    their start tells when nothing of it was spent: they take their even part of the burst for there. At a
    period's edge one request is let in by the first of two totals, before the other one is read."""
    number = min(case.affected_gateways, case.gateways)
    return Bound(
        number * (case.max_uncounted_units + case.even_burst + case.largest_request_units), case.plan.burst
    )


def bound_restarts_without_counter(case: Scenario) -> Bound:
    """All gateways restart while the counter is away: each begins with its even part."""
    plan = case.plan
    begins = case.gateways * case.even_burst
    less = (case.gateways - 1) / case.gateways * (plan.burst + plan.rate * case.duration_s)
    return Bound(begins + (case.gateways - 1) * plan.burst + case.gateways * case.max_uncounted_units, less)


EVENTS: dict[str, Callable[[Scenario], Bound]] = {
    "nothing fails, all at once": bound_simultaneous_burst,
    "the counter is silent": bound_silent_counter,
    "the counter is cut off from some": bound_partitioned_counter,
    "the counter comes back empty": bound_emptied_counter,
    "the counter comes back as an old copy": bound_old_copy,
    "the counter comes back with higher numbers": bound_higher_totals,
    "half of the counter's parts come back empty": bound_half_emptied_counter,
    "the counter adds and answers too late": bound_late_answers,
    "some gateways restart": bound_gateway_restarts,
    "all restart, the counter is away": bound_restarts_without_counter,
}


def add_bounds(bounds: list[Bound]) -> Bound:
    """Of events one after the other: each can give what it gives alone, and no more."""
    return Bound(sum(b.excess_units for b in bounds), sum(b.shortfall_units for b in bounds))


def compute_lone_ceiling_ratio(case: Scenario, rights: float = 0.0) -> float:
    """The part of a ceiling that one gateway can spend alone, whatever fails. Over it: never anything."""
    even = 1 / max(1, case.gateways)
    shared = (
        compute_shared_ratio(case.plan, even, case.largest_request_units) if even < 1 and not rights else 0.0
    )
    return (1 - shared) * even * (1 - rights)


CHANGES: dict[str, Callable[[Scenario], Scenario]] = {
    "burst a tenth lower": lambda c: replace(c, plan=replace(c.plan, burst=0.9 * c.plan.burst)),
    "rate a tenth lower": lambda c: replace(c, plan=replace(c.plan, rate=0.9 * c.plan.rate)),
    "one gateway fewer": lambda c: replace(c, gateways=max(1, c.gateways - 1)),
    "a lease of half the time": lambda c: replace(c, lease_s=c.lease_s / 2),
    "an event of half the time": lambda c: replace(c, duration_s=c.duration_s / 2),
}


def compute_sensitivity(event: Callable[[Scenario], Bound], case: Scenario) -> dict[str, float]:
    """By how much of itself each change moves what can be over; the lease is the module's own constant."""
    whole = event(case).excess_units
    return {
        name: round((event(change(case)).excess_units - whole) / whole, 3) if whole else 0.0
        for name, change in CHANGES.items()
    }
