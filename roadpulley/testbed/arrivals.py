"""Who asks what and when: drawn from the scenario and its seed alone, the same each time."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator
from dataclasses import dataclass

from . import terms
from .scenario import Fault, Scenario, rushes

CALM_USE = (0.15, 0.5)  # of the quota, by customers that are not heavy
CUSTOMERS = 2**33


@dataclass(frozen=True, slots=True)
class Customer:
    id: str  # 16 hex digits
    plan: str
    rate: float  # requests a second
    first: int  # of its set of gateways
    spread: int
    weights: tuple[float, ...]  # of these gateways


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's first try, and what all of its tries have in common."""

    at: float  # milliseconds from the start
    root: str  # 16 hex digits; the id of the first try
    customer: Customer
    kind: str
    key: str  # "" where the class has none
    place: int  # in the customer's set: the gateway of the first try
    patience: float  # for all tries together, milliseconds
    units: float = 1.0  # as the request says


def customers(scenario: Scenario) -> list[Customer]:
    """Enough of each plan that all together ask the scenario's rate."""
    rng = random.Random(f"{scenario.seed}:customers")
    made: list[Customer] = []
    numbers: set[int] = set()
    deployment = terms.DEPLOYMENTS[scenario.deployment]
    for plan in deployment.plans:
        wanted, load = scenario.load.rate * deployment.shares[plan["name"]], 0.0
        quota = plan["rate"] / deployment.mean_units  # in requests
        while load < wanted:
            heavy = rng.random() < scenario.load.heavy
            use = scenario.load.heavy_x if heavy else rng.uniform(*CALM_USE)
            rate = min(quota * use, wanted - load) if made else min(quota * use, wanted)
            load += quota * use
            number = rng.randrange(CUSTOMERS)
            while number in numbers:
                number = rng.randrange(CUSTOMERS)
            numbers.add(number)
            spread = min(scenario.load.spread, scenario.gateways)
            weights = tuple(rng.uniform(0.2, 1.0) ** 2 for _ in range(spread))
            first = rng.randrange(scenario.gateways)
            made.append(Customer(f"{number:016x}", plan["name"], rate, first, spread, weights))
    return made


def factor(faults: list[Fault], plan: str, at: float) -> float:
    """How many times its usual load a plan asks at a moment (milliseconds)."""
    times = 1.0
    for f in faults:
        end = f.at + f.seconds if f.seconds else float("inf")
        if f.target in (plan, "*") and f.at <= at / 1000 < end:
            times *= f.factor
    return times


def of_customer(scenario: Scenario, customer: Customer) -> Iterator[Arrival]:
    """One customer's requests, as a Poisson stream thinned to its rate of the moment."""
    rng = random.Random(f"{scenario.seed}:{customer.id}")
    rush, deployment = rushes(scenario.faults), terms.DEPLOYMENTS[scenario.deployment]
    most = max([1.0] + [f.factor for f in rush])
    at, end = 0.0, scenario.seconds * 1000
    while True:
        at += rng.expovariate(customer.rate * most) * 1000
        if at >= end:
            return
        kept = rng.random() * most <= factor(rush, customer.plan, at)
        draw, root, key = rng.random(), rng.getrandbits(64), rng.getrandbits(64)
        place = rng.choices(range(customer.spread), customer.weights)[0]
        if not kept:
            continue
        kind = pick_kind(scenario, draw)
        shape = next(c for c in deployment.classes if c["name"] == kind)
        units = draw_units(rng, deployment)
        keyed = shape["effect"] == "token"
        patience = float(shape["deadline"])
        name = f"{key:016x}" if keyed else ""
        yield Arrival(at, f"{root:016x}", customer, kind, name, place, patience, units)


def draw_units(rng: random.Random, deployment: terms.Deployment) -> float:
    """What a request says that it takes: whole units, few of them many."""
    if deployment.max_request_units == 1:
        return 1.0
    over = rng.expovariate(1 / (deployment.mean_units - 1))
    return float(min(deployment.max_request_units, 1 + round(over)))


def pick_kind(scenario: Scenario, draw: float) -> str:
    load = scenario.load
    for kind, share in terms.DEPLOYMENTS[scenario.deployment].mix.items():
        if draw < share:
            return kind
        draw -= share
    if draw < load.writes:
        return "tile-order"
    return "deed-filing" if draw < load.writes + load.filings else "tile-view"


def arrivals(scenario: Scenario) -> Iterator[Arrival]:
    """All requests in the order of their times."""
    streams = [of_customer(scenario, customer) for customer in customers(scenario)]
    return heapq.merge(*streams, key=lambda arrival: (arrival.at, arrival.root))
