"""Puts an installation together, runs a scenario on it and has it judged."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from roadpulley.core.clock import now_ms

from . import terms
from .arrivals import Arrival, arrivals
from .auditor import Verdict, judge
from .catalogue import Host
from .counter import Counter
from .discovery import Discovery
from .ledger import MACHINE, BackendNotice, Ledger, Pause
from .load_generator import LoadGenerator, Result
from .node import Node
from .node_machine import Seen
from .processes import GatewayExitError, GatewayProcess
from .relay import Relay
from .scenario import MIN_VOTERS, Scenario, gateway_names, node_names
from .server import LOCAL, DatagramPort, Origins, Port, Server
from .stats import Stats

READY_S = 15.0
OPEN_LEASE = 1.25  # times the longest deadline: rights to have a request open outlast it
LAG_STEP_MS = 10.0  # between looks at the event loop
MIN_LAG_MS = 40.0  # a shorter delay of the event loop is no pause
MAX_VOTERS = 5  # of a fleet; the other gateways have no vote
SEED_BASE = 0x8C1F30D27A5BE964


class SetupError(Exception):
    """The installation could not be started. The text is one line."""


@dataclass
class Outcome:
    """What a run brought."""

    scenario: Scenario
    terms: terms.Terms
    ledger: Ledger
    stats: Stats
    verdict: Verdict

    def to_json(self) -> dict[str, object]:
        """The figures and rules, as `roadpulley dev` prints them."""
        return {
            "scenario": self.scenario.name,
            "seed": self.scenario.seed,
            "seconds": self.scenario.seconds,
            **self.stats.to_json(),
            "ok": self.verdict.ok,
            "late": self.verdict.late,
            "late_ms": round(self.verdict.late_ms, 1),
            "rules": {name: rule.to_json() for name, rule in self.verdict.rules.items()},
        }


Say = Callable[[str], None]


def fleet_settings(scenario: Scenario, promised: terms.Terms, addresses: dict[str, str]) -> str:
    """The gateways as instances of a fleet that counts, or gives out rights to a part of the ceilings.

    `addresses` has the datagram address of each gateway by its name.
    """
    names = gateway_names(scenario.gateways)
    votes = MAX_VOTERS if len(names) >= MAX_VOTERS else MIN_VOTERS
    lines = ['installation = "testbed"', 'control = "fleet"', "[voters]"]
    lines += [f'{name} = "{addresses[name]}"' for name in names[:votes]]
    lines += ["[others]", *(f'{name} = "{addresses[name]}"' for name in names[votes:])]
    lines += ["[lease]", "seconds = 2.0"]
    lines += ["[counts]"] if scenario.counts else []
    lines += ["[verdicts]"] if scenario.verdicts else []
    if scenario.orders:
        longest = max(kind.deadline for kind in promised.classes.values()) / 1000
        lines += ["[orders]", f"open_lease_s = {longest * OPEN_LEASE:g}"]
    if not scenario.rights:
        return "\n".join(lines) + "\n"
    lines += ["[rights]", f"ceilings = {scenario.rights}"]
    for plan in promised.plans.values():
        if plan.ceiling_rate:
            lines += [f"[rights.limits.{plan.name}]", f"rate = {plan.ceiling_rate}"]
            lines += [f"burst = {plan.ceiling_burst}"]
    return "\n".join(lines) + "\n"


class Installation:
    """All parts of one scenario, on loopback. `say` is told of events in words."""

    def __init__(
        self,
        scenario: Scenario,
        say: Say | None = None,
        folder: Path | None = None,
        program: Sequence[str] | None = None,
    ) -> None:
        """`program`: module and arguments of the gateways, in place of the product's own."""
        self.scenario, self.say = scenario, say or (lambda words: None)
        self.program = program or ("roadpulley",)
        self.ledger, self.origins, self.stats = Ledger(), Origins(), Stats()
        self.deployment = terms.DEPLOYMENTS[scenario.deployment]
        self.terms = terms.Terms.read(self.deployment.settings(0, scenario.gateways))
        self.kept = None if folder else tempfile.TemporaryDirectory(prefix="roadpulley-")
        self.folder = folder or Path(self.kept.name if self.kept else ".")
        self.counter = Counter(kind=scenario.counter, ledger=self.ledger, origins=self.origins)
        self.discovery = Discovery(
            scenario.discovery,
            self.ledger,
            self.origins,
            self.dial,
            random.Random(f"{scenario.seed}:discovery"),
        )
        marks = self.deployment.marks_retries
        self.load_generator = LoadGenerator(
            scenario.load, self.ledger, scenario.seed, self.on_done, marks_retries=marks
        )
        self.nodes: dict[str, Node] = {}
        self.at: dict[str, str] = {}  # the node whose address another's relays lead to, by its name
        self.fleet: Path | None = None  # the settings of the gateways as instances of one
        self.seen: dict[str, Seen] = {}  # by the group of nodes that drops repeats
        self.gateways: dict[str, GatewayProcess] = {}
        self.forced_ends: list[str] = []  # gateways that had not ended by themselves when SIGKILL was due
        self.relays: dict[str, Relay] = {}
        self.ports: list[Port | DatagramPort] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.failed: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.started_at = 0.0  # of the load

    # ---- parts ----

    def dial(self, gateway: str, host: str) -> str:
        """The address at which a gateway reaches a host."""
        relay = self.relays.get(f"{gateway}>{self.at.get(host, host)}")
        return relay.port.address if relay else ""

    def new_node(self, name: str, place: int) -> Node:
        """A node at a place, which decides its zone and cell."""
        zone, cell = terms.ZONES[place % len(terms.ZONES)], place // terms.CELL
        window = max(c.repeat_window for c in self.terms.classes.values())
        seen = self.seen.setdefault(self.deployment.group(zone, cell), Seen(window))
        node = Node(
            name,
            self.scenario.node,
            self.ledger,
            self.origins,
            seen,
            str(self.scenario.seed),
            zone,
            cell,
            self.deployment,
        )
        self.nodes[name] = node
        return node

    def relay(self, name: str, origin: str, target: Callable[[], int]) -> Relay:
        """A relay for a new link."""
        made = self.relays[name] = Relay(name, origin, self.origins, target)
        return made

    def new_port(self) -> Port:
        """For an operators' address; kept until the end."""
        port = Port()
        self.ports.append(port)
        return port

    def reserve_peer_addresses(self) -> dict[str, str]:
        """A datagram address for each gateway, kept until the end."""
        reserved = {name: DatagramPort() for name in gateway_names(self.scenario.gateways)}
        self.ports.extend(reserved.values())
        return {name: port.address for name, port in reserved.items()}

    def relays_to(self, other: str) -> list[Relay]:
        """The relays of all links that lead to one part."""
        return [r for name, r in self.relays.items() if name.endswith(f">{other}")]

    def host(self, node: Node, **values: object) -> Host:
        """The entry of a node in the catalogue."""
        return Host(node.name, node.zone, "m2", node.cell, **values)  # type: ignore[arg-type]

    # ---- start ----

    async def __aenter__(self) -> Installation:
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start all parts and wait until every gateway serves. Raises SetupError."""
        for place, name in enumerate(node_names(self.scenario.nodes)):
            node = self.new_node(name, place)
            await node.start(warm=True)
        await self.counter.start()
        await self.discovery.start()
        for name in gateway_names(self.scenario.gateways):
            self.wire(name)
        for node in self.nodes.values():
            self.discovery.put(self.host(node))
        for relay in self.relays.values():
            await relay.listen()
        parts = self.scenario.rights, self.scenario.counts, self.scenario.orders, self.scenario.verdicts
        if any(parts):
            self.fleet = self.folder / "fleet.toml"
            self.fleet.write_text(fleet_settings(self.scenario, self.terms, self.reserve_peer_addresses()))
        for index, name in enumerate(gateway_names(self.scenario.gateways)):
            await self.add_gateway(index, name)
        self.spawn(self.watch_lag())
        await self.until_ready()

    def wire(self, gateway: str) -> None:
        """The links of one gateway, each through a relay of its own."""
        for name, node in self.nodes.items():
            self.relay(f"{gateway}>{name}", gateway, lambda node=node: node.port)  # type: ignore[misc]
        self.relay(f"{gateway}>counter", gateway, lambda: self.counter.port)
        self.relay(f"{gateway}>discovery", gateway, lambda: self.discovery.port)

    async def add_gateway(self, index: int, name: str) -> None:
        """Start a gateway with links of its own. Raises SetupError."""
        port = Port()
        config = {
            "name": name,
            "listen": port.address,
            "discovery": self.relays[f"{name}>discovery"].port.address,
            "counter": self.relays[f"{name}>counter"].port.address,
            "seed": f"{(SEED_BASE + self.scenario.seed * 7919 + index) % 2**64:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.catalogue.whole(lambda host: self.dial(name, host)),
            "settings": self.deployment.settings(index, self.scenario.gateways),
        }
        listener = None
        if not self.scenario.workers:
            config["admin"] = self.new_port().address
            if any(fault.kind == "upgrade" for fault in self.scenario.faults):
                listener = port.listener()
        workers = self.scenario.workers
        more = ["--fleet", str(self.fleet), "--name", name] if self.fleet else []
        process = GatewayProcess(
            name, self.folder, config, port, self.ledger, workers, listener, more, self.program
        )
        self.gateways[name] = process
        relay = self.relay(f"clients>{name}", "", lambda: port.number)
        await relay.listen()
        self.load_generator.add(name, relay, lambda: process.running)
        self.note_known(name)
        try:
            await process.start()
        except OSError as error:
            raise SetupError(f"gateway {name} could not be started: {error.strerror}") from error
        process.crashed.add_done_callback(self.on_crash)
        self.spawn(self.load_generator.watch(self.load_generator.gates[index]))

    def note_known(self, name: str) -> None:
        """A gateway that starts knows the list of its configuration."""
        for host in self.discovery.catalogue.hosts.values():
            self.ledger.told.append(BackendNotice(name, host.host, now_ms(), host.health, host.born_ms))

    def on_crash(self, crashed: asyncio.Future[str]) -> None:
        """Note the first gateway that ended though nobody had ended it."""
        if not crashed.cancelled() and not self.failed.done():
            self.say(crashed.result())
            self.failed.set_result(crashed.result())

    async def until_ready(self) -> None:
        """Wait until the load balancer has taken all gateways in. Raises SetupError."""
        end = now_ms() + READY_S * 1000
        while not all(gate.taken_in for gate in self.load_generator.gates):
            if self.failed.done():
                raise SetupError(self.failed.result())
            if now_ms() > end:
                missing = [g.name for g in self.load_generator.gates if not g.taken_in]
                raise SetupError(f"not ready after {READY_S:g} s: {', '.join(missing)}")
            await asyncio.sleep(0.01)

    def spawn(self, work: object) -> asyncio.Task[None]:
        """Run work in the background until the installation stops."""
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def watch_lag(self) -> None:
        """Note when this process stood still: then the machine did, or was too busy to judge by."""
        while True:
            before = now_ms()
            await asyncio.sleep(LAG_STEP_MS / 1000)
            now = now_ms()
            if now - before - LAG_STEP_MS > MIN_LAG_MS:
                self.ledger.pauses.append(Pause(MACHINE, before, now))

    async def open_door(self, port: int) -> None:
        """Let outside clients reach the first gateway at a port of their choice. Raises SetupError."""
        first = self.gateways[gateway_names(1)[0]]
        relay = Relay("clients>door", "", self.origins, lambda: first.port.number)
        relay.port.free()
        try:
            relay.port = Port(port)
            await relay.listen()
        except OSError as error:
            raise SetupError(
                f"port {port} on {LOCAL} can't be had: {error.strerror}; give another"
            ) from error
        self.relays[relay.name] = relay

    # ---- the run ----

    async def run(self, stop: asyncio.Event | None = None) -> Outcome:
        """Play the load and the timeline, wait for the last answers, and judge.

        `stop` ends the load early. Raises GatewayExitError where a gateway ended that nobody had ended.
        """
        from .timeline import Timeline

        stop = stop or asyncio.Event()
        self.ledger.begun_at = self.started_at = now_ms()
        timeline = Timeline(self)
        playing = self.spawn(timeline.play())
        load = self.spawn(self.offer(stop))
        ends: set[asyncio.Future[object]] = {load, self.failed}  # type: ignore[arg-type]
        await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        if self.failed.done():
            raise GatewayExitError(self.failed.result())
        load.result()
        if not stop.is_set():
            await self.load_generator.finish()
            await playing
        await timeline.end(at_once=stop.is_set())
        self.ledger.closed_at = now_ms()
        verdict = judge(self.ledger, self.terms)
        return Outcome(self.scenario, self.terms, self.ledger, self.stats, verdict)

    async def offer(self, stop: asyncio.Event) -> None:
        """Start each request at its time; late is better than never, and shows as lag."""
        for arrival in arrivals(self.scenario):
            if not await self.wait_until(arrival, stop):
                return
            self.load_generator.start(arrival)
        rest = self.started_at + self.scenario.seconds * 1000 - now_ms()
        try:
            async with asyncio.timeout(max(0.0, rest) / 1000):
                await stop.wait()
        except TimeoutError:
            return

    async def wait_until(self, arrival: Arrival, stop: asyncio.Event) -> bool:
        """Wait for the time of an arrival; False if the load is stopped before."""
        while (wait := self.started_at + arrival.at - now_ms()) > 0:
            await asyncio.sleep(min(wait, 200.0) / 1000)
            if stop.is_set():
                return False
        return not stop.is_set()

    def on_done(self, result: Result) -> None:
        """Count how a request of a client ended."""
        arrival = result.arrival
        self.stats.add(arrival.kind, arrival.customer.plan, result.how, result.ms)

    # ---- the end ----

    async def stop(self) -> None:
        """End everything at once; what is still open is not waited for."""
        self.load_generator.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*(g.stop() for g in self.gateways.values()))
        for relay in self.relays.values():
            await relay.stop()
        for node in self.nodes.values():
            await node.stop()
        servers: list[Server] = [self.counter, self.discovery]
        for server in servers:
            await server.stop()
        for port in [*self.ports, *(gateway.port for gateway in self.gateways.values())]:
            port.free()
        if self.kept is not None:
            self.kept.cleanup()


def stand_still(seconds: float) -> None:
    """Hold this whole process up, as a machine that stalls does."""
    time.sleep(seconds)


__all__ = ["LOCAL", "Installation", "Outcome", "SetupError"]
