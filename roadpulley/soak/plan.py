"""Draws one installation and one timeline from a seed. Pure: the same seed gives the same plan.

Each gateway has at most one fault of its process and each node at most one, so that the timeline never asks
for what can't be done (to restart a process that is down). Faults of links, counter, discovery and machine
are drawn freely, and half of all faults begin while another one or its recovery is under way.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import asdict, replace

from roadpulley.testbed.scenario import (
    CounterKind,
    DiscoveryKind,
    Fault,
    Load,
    Scenario,
    gateway_names,
    node_names,
)

DEFAULT_SECONDS = 12.0
MIN_SECONDS = 8.0
CALM_S = 1.0  # before the first fault
LAST_PART = 0.7  # of the play: later no fault begins, so that recovery is seen
RECOVERY_S = 1.5  # after a fault, for which another one counts as overlapping
MAX_FAILED_NODES_RATIO = 0.4
CEILING_PLAYS_RATIO = 0.3  # of the plays: customers are refused by their ceilings, not by their quotas
CEILING_LOAD_FACTOR = 6.0  # times its quota, asked by a heavy customer of such a play
STOP_RELOAD_RATIO = (
    0.6  # of the faults below, of single processes: a stop, with other settings before its end
)
STOP_RELOAD_ORIGINS = ("restart", "signals", "hang")
LONG_VALUE_PLAYS_RATIO = 0.4  # of the plays: some values are long
LONG_VALUE_RATIO = 0.1  # of the values of such a play
BREAK_RATIO = 0.25  # of its long values: their connection ends half-way
RESET_RATIO = 0.5  # of these: it is reset right behind what was written
LONG_VALUE_PIPELINE = 4  # requests that a client of such a play may have open on one connection
MIN_FAULTS = 3
MAX_FAULTS = 6

SINGLE_PROCESS_FAULTS = ("kill", "restart", "signals", "hang", "crowd", "pause", "retune", "upgrade")
WORKER_FAULTS = ("kill", "restart", "signals", "hang", "crowd")
NODE_FAULTS = ("node-hang", "node-slow", "node-fail", "node-kill", "node-drain")
OTHER_FAULTS = (
    "delay",
    "cut",
    "half-open",
    "drip",
    "reset",
    "blackhole",
    "counter-lost",
    "counter-slow",
    "counter-full",
    "discovery-silent",
    "stall",
    "rush",
)


def draw_plan(seed: int, seconds: float = DEFAULT_SECONDS) -> Scenario:
    """The installation, the load and the timeline of one seed."""
    rng = random.Random(f"soak:{seed}")
    gateways, nodes = rng.randint(2, 4), rng.randint(5, 10)
    usual_deployment = rng.choice(("tiles", "tiles", "transfers"))
    # Drawn apart, so that the other plans of a seed stay as they are.
    presses_ceilings = random.Random(f"soak:{seed}:ceilings").random() < CEILING_PLAYS_RATIO
    deployment = "beyond" if presses_ceilings else usual_deployment
    scenario = Scenario(
        name=f"soak-{seed}",
        seconds=seconds,
        seed=seed,
        gateways=gateways,
        nodes=nodes,
        deployment=deployment,
        workers=rng.choice(("", "", "1", "2")),
        discovery=DiscoveryKind(notice_ms=rng.choice((0.0, 300.0, 1_000.0))),
        counter=CounterKind(per_s=rng.choice((150.0, 500.0)), parts=rng.randint(1, 3)),
        load=Load(
            rate=float(rng.randint(40, 100)),
            spread=rng.randint(1, gateways),
            retries=rng.randint(0, 2),
            pipeline=rng.choice((1, 1, 4)),
            heavy=rng.choice((0.1, 0.3)),
            filings=rng.choice((0.05, 0.2)),
            heavy_x=CEILING_LOAD_FACTOR if presses_ceilings else Load.heavy_x,
        ),
    )
    faults = list(draw_reloads(seed, draw_faults(rng, scenario), bool(scenario.workers)))
    faults.sort(key=lambda fault: fault.at)
    return replace(draw_long_values(seed, scenario), faults=tuple(faults))


def draw_reloads(seed: int, faults: Iterable[Fault], has_workers: bool) -> Iterator[Fault]:
    """Turn some faults into stops whose settings change after SIGTERM. Drawn apart, as the ceilings are."""
    rng = random.Random(f"soak:{seed}:reloads")
    for fault in faults:
        is_drawn = fault.kind in STOP_RELOAD_ORIGINS and rng.random() < STOP_RELOAD_RATIO
        if is_drawn and not has_workers:
            yield replace(fault, kind="stop-reload", seconds=0.0, ms=round(rng.uniform(50.0, 1_200.0)))
        else:
            yield fault


def draw_long_values(seed: int, scenario: Scenario) -> Scenario:
    """Give some plays long values, which nodes may break off, and requests behind them. Drawn apart."""
    if random.Random(f"soak:{seed}:long values").random() >= LONG_VALUE_PLAYS_RATIO:
        return scenario
    node = replace(
        scenario.node, long_ratio=LONG_VALUE_RATIO, break_ratio=BREAK_RATIO, reset_ratio=RESET_RATIO
    )
    return replace(scenario, node=node, load=replace(scenario.load, pipeline=LONG_VALUE_PIPELINE))


def draw_faults(rng: random.Random, scenario: Scenario) -> Iterator[Fault]:
    gateways, nodes = gateway_names(scenario.gateways), node_names(scenario.nodes)
    free_gateways = rng.sample(gateways, len(gateways) - 1)  # one process is left alone
    free_nodes = rng.sample(nodes, int(MAX_FAILED_NODES_RATIO * len(nodes)))
    begun: list[Fault] = []
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        at = draw_time(rng, begun, scenario.seconds)
        family = rng.choice(("gateway", "node", "other"))
        if family == "gateway" and free_gateways:
            drawn = draw_gateway_fault(rng, at, free_gateways.pop(), bool(scenario.workers))
        elif family == "node" and free_nodes:
            drawn = draw_node_fault(rng, at, free_nodes.pop())
        else:
            drawn = draw_other_fault(rng, at, scenario)
        for fault in drawn:
            fitted = fit(fault, scenario.seconds)
            begun.append(fitted)
            yield fitted


def draw_time(rng: random.Random, begun: list[Fault], seconds: float) -> float:
    """Half of the faults begin within another one or its recovery."""
    latest = LAST_PART * seconds
    if begun and rng.random() < 0.5:
        other = rng.choice(begun)
        return round(min(latest, other.at + rng.uniform(0.05, other.seconds + RECOVERY_S)), 2)
    return round(rng.uniform(CALM_S, latest), 2)


def fit(fault: Fault, seconds: float) -> Fault:
    """A fault that lasts ends a second before the load does."""
    return replace(fault, seconds=round(min(fault.seconds, seconds - 1.0 - fault.at), 2))


def draw_gateway_fault(rng: random.Random, at: float, gateway: str, workers: bool) -> list[Fault]:
    kind = rng.choice(WORKER_FAULTS if workers else SINGLE_PROCESS_FAULTS)
    seconds = {
        "hang": rng.choice((0.15, 0.5, 2.0)),
        "crowd": rng.uniform(1.0, 4.0),
        "pause": rng.uniform(1.0, 3.0),
        "retune": rng.uniform(1.0, 3.0),
    }.get(kind, 0.0)
    connections = rng.choice((100, 400)) if kind == "crowd" else 0
    return [Fault(at, kind, gateway, seconds=seconds, after=connections)]


def draw_node_fault(rng: random.Random, at: float, node: str) -> list[Fault]:
    kind = rng.choice(NODE_FAULTS)
    if kind == "node-kill":
        return [Fault(at, kind, node), Fault(round(at + rng.uniform(0.5, 2.0), 2), "node-start", node)]
    if kind == "node-drain":
        return [Fault(at, kind, node)]
    factor = rng.choice((3.0, 10.0)) if kind == "node-slow" else 1.0
    return [Fault(at, kind, node, seconds=rng.uniform(0.5, 4.0), factor=factor)]


def draw_other_fault(rng: random.Random, at: float, scenario: Scenario) -> list[Fault]:
    kind = rng.choice(OTHER_FAULTS)
    seconds = rng.choice((0.15, rng.uniform(0.5, 3.0)))
    if kind == "stall":
        return [Fault(at, kind, seconds=rng.choice((0.15, 0.5, 1.0)))]
    if kind == "rush":
        plan = rng.choice(sorted(RUSHED[scenario.deployment]))
        return [Fault(at, kind, plan, seconds=max(seconds, 1.0), factor=rng.choice((2.0, 4.0)))]
    if kind in ("counter-lost", "counter-full", "discovery-silent"):
        return [Fault(at, kind, seconds=max(seconds, 0.5))]
    if kind == "counter-slow":
        return [Fault(at, kind, seconds=max(seconds, 0.5), ms=rng.choice((20.0, 100.0)))]
    return [draw_link_fault(rng, at, kind, max(seconds, 0.15), scenario)]


RUSHED = {
    "tiles": ("basic", "business", "enterprise"),
    "transfers": ("branch", "counter", "network"),
    "beyond": ("firm",),
}


def draw_link_fault(rng: random.Random, at: float, kind: str, seconds: float, scenario: Scenario) -> Fault:
    gateway = rng.choice((*gateway_names(scenario.gateways), "n*"))
    other = rng.choice((*node_names(scenario.nodes), "t*", "counter", "discovery"))
    more: dict[str, Callable[[], dict[str, float | int | str]]] = {
        "delay": lambda: {"ms": rng.choice((5.0, 50.0, 300.0))},
        "drip": lambda: {"rate": rng.choice((200.0, 2_000.0))},
        "reset": lambda: {"after": rng.choice((0, 40, 400))},
        "half-open": lambda: {"direction": rng.choice(("there", "back"))},
    }
    given = more.get(kind, dict)()
    return Fault(at, kind, f"{gateway}>{other}", seconds=seconds, **given)  # type: ignore[arg-type]


def plan_lines(scenario: Scenario) -> Iterator[str]:
    """The plan in words, byte for byte the same for a seed."""
    s = scenario
    processes = f"{s.workers} workers each" if s.workers else "one process each"
    yield (
        f"seed {s.seed}: {s.gateways} gateways ({processes}), {s.nodes} nodes, {s.deployment}, "
        f"{s.load.rate:g} requests a second for {s.seconds:g} s"
    )
    load = ", ".join(f"{name}={value:g}" for name, value in sorted(asdict(s.load).items()))
    yield f"  load {load}"
    yield (
        f"  discovery tells within {s.discovery.notice_ms:g} ms; counter of {s.counter.parts} parts, "
        f"{s.counter.per_s:g} calls a second each"
    )
    if s.node.long_ratio:
        yield f"  long values: {s.node.long_ratio:g} of all, {s.node.break_ratio:g} of them broken off"
    yield from (f"  {fault.at:6.2f} s  {fault.words()}" for fault in s.faults)
