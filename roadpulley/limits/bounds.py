"""Bounds on the error of quotas and ceilings under failures, by event, from the terms of a plan. No I/O.

The reference is one exact token bucket that all gateways share. The excess is the number of units that all
gateways together can admit beyond it, from the event on. The shortfall is the number of units of its quota
that a customer can be refused, if all its requests come to one gateway.

The bounds follow from the rules of the decision module (docs/design/fleet-limits.md). A gateway that has read
a total may spend the whole bucket if the other gateways admitted next to nothing lately. So each of
`gateways` can spend one whole bucket, refilled at the full rate, until its lease expires without an answer of
the counter. After that each gateway has an even share of rate and burst.
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
    """One plan and one event.

    `gateways`: those that receive requests of the customer. `duration_s`: length of the event.
    `affected_gateways`: how many gateways the event concerns. `lease_s`: validity of a counter reading.
    """

    plan: api.Plan
    gateways: int
    largest_request_units: float = 1.0
    duration_s: float = 60.0
    affected_gateways: int = 1
    lease_s: float = LEASE_MS / 1000

    @property
    def leased_s(self) -> float:
        """Seconds of the event in which leases are still valid."""
        return min(self.duration_s, self.lease_s)

    @property
    def max_uncounted_units(self) -> float:
        """Units that one gateway may have admitted without having added them to the counter yet.

        If units are scarce, one request.
        """
        return (
            self.largest_request_units
            if self.is_sparse
            else max(self.largest_request_units, UNREPORTED_BURST_RATIO * self.plan.burst)
        )

    @property
    def is_sparse(self) -> bool:
        """Whether a gateway's even share of the burst holds only a few requests."""
        return self.plan.burst / self.gateways < SPARSE_BURST_RATIO * self.largest_request_units

    @property
    def even_burst(self) -> float:
        """Units that a gateway may spend before it knows a total, whether or not the bucket holds them."""
        return max(self.largest_request_units, self.plan.burst / self.gateways)


@dataclass(frozen=True)
class Bound:
    """The largest possible error of a limit in one event."""

    excess_units: float
    shortfall_units: float


def bound_simultaneous_burst(scenario: Scenario) -> Bound:
    """Nothing fails; after an idle time, all gateways receive more requests than the quota at once.

    Each has read that the bucket is full. Until its next reading, it admits what may stay uncounted, and as
    much again while that is being added to the counter.
    """
    return Bound((scenario.gateways - 1) * 2 * scenario.max_uncounted_units, 0.0)


def bound_silent_counter(scenario: Scenario) -> Bound:
    """The counter answers no gateway: each spends under its lease, then its even share."""
    plan, other_gateways = scenario.plan, scenario.gateways - 1
    unleased_s = scenario.duration_s - scenario.leased_s
    return Bound(
        other_gateways * (plan.burst + plan.rate * scenario.leased_s),
        other_gateways / scenario.gateways * (plan.burst + plan.rate * unleased_s),
    )


def bound_partitioned_counter(scenario: Scenario) -> Bound:
    """The counter answers only some gateways.

    The others spend under their leases, then their even shares, which those that it answers do not set aside.
    """
    plan, cut_off = scenario.plan, min(scenario.affected_gateways, scenario.gateways)
    if cut_off == scenario.gateways:
        return bound_silent_counter(scenario)
    unleased_s = scenario.duration_s - scenario.leased_s
    excess = (
        cut_off * (plan.burst + plan.rate * scenario.leased_s)
        + cut_off / scenario.gateways * plan.rate * unleased_s
    )
    # The connected gateways may receive requests all at once, as in `bound_simultaneous_burst`.
    excess += (scenario.gateways - cut_off - 1) * 2 * scenario.max_uncounted_units
    return Bound(excess, bound_silent_counter(scenario).shortfall_units)


def bound_emptied_counter(scenario: Scenario) -> Bound:
    """The counter restarts empty: its totals lack what other gateways added before.

    Right after the start of a period, little was added to the new total. A total that falls by no more than
    `MAX_SETTLEMENT_RATIO` requests looks like a settlement, so that many units spent before the event seem to
    be available again.
    """
    return Bound(
        (scenario.gateways - 1) * scenario.plan.burst + MAX_SETTLEMENT_RATIO * scenario.largest_request_units,
        scenario.plan.burst,
    )


def bound_old_copy(scenario: Scenario) -> Bound:
    """The counter restarts from an old copy.

    Totals that are too low act like an empty counter; totals that are too high look like units spent
    elsewhere.
    """
    return Bound(bound_emptied_counter(scenario).excess_units, 2 * scenario.plan.burst)


def bound_late_answers(scenario: Scenario) -> Bound:
    """The counter adds, but answers too late.

    The gateways learn no more than from a silent counter, and its totals are correct once they arrive again.
    """
    return bound_silent_counter(scenario)


def bound_higher_totals(scenario: Scenario) -> Bound:
    """The counter restarts from a copy whose totals are higher than the current ones.

    The difference looks like units spent elsewhere, down to an empty bucket. The bucket refills with time,
    and the total of the next period is not in the copy.
    """
    return Bound(0.0, scenario.plan.burst)


def bound_half_emptied_counter(scenario: Scenario) -> Bound:
    """Half of the counter's partitions restart empty: for a customer on one of them, as if all had."""
    return bound_emptied_counter(scenario)


def bound_gateway_restarts(scenario: Scenario) -> Bound:
    """Gateways restart while the counter answers.

    What they had not added to the counter is lost. A total does not say when its units were spent, so a
    restarted gateway assumes that its even share of the burst is available. At the start of a period, one
    request is admitted by the first of two totals before the second one is read.
    """
    restarted = min(scenario.affected_gateways, scenario.gateways)
    return Bound(
        restarted * (scenario.max_uncounted_units + scenario.even_burst + scenario.largest_request_units),
        scenario.plan.burst,
    )


def bound_restarts_without_counter(scenario: Scenario) -> Bound:
    """All gateways restart while the counter does not answer: each begins with its even share."""
    plan = scenario.plan
    initial_units = scenario.gateways * scenario.even_burst
    shortfall = (scenario.gateways - 1) / scenario.gateways * (plan.burst + plan.rate * scenario.duration_s)
    return Bound(
        initial_units
        + (scenario.gateways - 1) * plan.burst
        + scenario.gateways * scenario.max_uncounted_units,
        shortfall,
    )


# Keys are printed by `roadpulley quota-error`.
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
    """The bound of several events in sequence: the sum of their bounds."""
    return Bound(sum(b.excess_units for b in bounds), sum(b.shortfall_units for b in bounds))


def compute_lone_ceiling_ratio(scenario: Scenario, rights: float = 0.0) -> float:
    """The share of a hard ceiling that one gateway can spend alone, whatever fails.

    `rights`: the share of the ceiling that is allocated as rights. A ceiling is never exceeded.
    """
    even_share = 1 / max(1, scenario.gateways)
    shared_ratio = (
        compute_shared_ratio(scenario.plan, even_share, scenario.largest_request_units)
        if even_share < 1 and not rights
        else 0.0
    )
    return (1 - shared_ratio) * even_share * (1 - rights)


CHANGES: dict[str, Callable[[Scenario], Scenario]] = {
    "burst a tenth lower": lambda c: replace(c, plan=replace(c.plan, burst=0.9 * c.plan.burst)),
    "rate a tenth lower": lambda c: replace(c, plan=replace(c.plan, rate=0.9 * c.plan.rate)),
    "one gateway fewer": lambda c: replace(c, gateways=max(1, c.gateways - 1)),
    "a lease of half the time": lambda c: replace(c, lease_s=c.lease_s / 2),
    "an event of half the time": lambda c: replace(c, duration_s=c.duration_s / 2),
}


def compute_sensitivity(event: Callable[[Scenario], Bound], scenario: Scenario) -> dict[str, float]:
    """The relative change of the excess under each of `CHANGES`."""
    base = event(scenario).excess_units
    return {
        name: round((event(change(scenario)).excess_units - base) / base, 3) if base else 0.0
        for name, change in CHANGES.items()
    }
