"""Makes the faults of a scenario happen, and heals those that have an end."""

from __future__ import annotations

import asyncio
import fnmatch
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING

from roadpulley.core.clock import now_ms

from . import operator
from .ledger import LinkFault
from .node import Node
from .processes import GatewayProcess
from .relay import LinkDisturbance, Relay
from .scenario import KINDS, Fault
from .server import LOCAL

if TYPE_CHECKING:
    from .installation import Installation

DEFAULT_DISTURBANCE_S = 1.0  # how long a reset or garbage goes on where the timeline does not say
RESTART_GAP_S = 0.5  # of a restart, between the end and the new start
MAX_SHUTDOWN_S = 3.7  # after SIGTERM: the longest deadline that is waited for, and 0.7 s
SIGNAL_GAP_S = 0.05  # between the signals of a series
NODE_DRAIN_S = 2.0  # that a node goes on for after it was told to drain
REMOVAL_HEARD_S = 2.0  # at most, until the gateways are told that a drained node is removed

Heal = Callable[[], Awaitable[None]]


class Timeline:
    """Plays the faults of a scenario on one installation."""

    def __init__(self, world: Installation) -> None:
        self.world = world
        self.healing: dict[asyncio.Task[None], Heal] = {}
        self.restarting: set[asyncio.Task[None]] = set()
        self.draining: dict[str, asyncio.Task[None]] = {}  # by the node's name

    async def play(self) -> None:
        """Begin each fault at its time."""
        for fault in self.world.scenario.faults:
            wait = self.world.started_at + fault.at * 1000 - now_ms()
            if wait > 0:
                await asyncio.sleep(wait / 1000)
            self.world.say(fault.words())
            heal = await self.act(fault)
            if heal is not None:
                seconds = fault.seconds or self.world.scenario.seconds
                if fault.kind in ("reset", "garbage"):
                    seconds = fault.seconds or DEFAULT_DISTURBANCE_S
                task = self.world.spawn(self.heal_later(fault, seconds, heal))
                self.healing[task] = heal

    async def heal_later(self, fault: Fault, seconds: float, heal: Heal) -> None:
        """End a fault after its time."""
        await asyncio.sleep(seconds)
        await heal()
        task = asyncio.current_task()
        if task is not None:
            self.healing.pop(task, None)
        self.world.say(f"over: {fault.kind} {fault.target}".rstrip())

    async def end(self, at_once: bool = False) -> None:
        """Heal what still lasts, and wait for gateways that are on their way back unless all ends at once."""
        for task, heal in list(self.healing.items()):
            task.cancel()
            await heal()
        self.healing.clear()
        if self.restarting and not at_once:
            await asyncio.wait(self.restarting)

    # ---- what each kind does ----

    async def act(self, fault: Fault) -> Heal | None:
        """Begin a fault; returns what ends it, if anything does."""
        what = KINDS[fault.kind]
        if what == "link":
            return await self.link(fault)
        if what == "gateway":
            names = fnmatch.filter(self.world.gateways, fault.target)
            heals = [await self.gateway(fault, self.world.gateways[name]) for name in names]
            return together(heals)
        if what == "node":
            names = fnmatch.filter(self.world.nodes, fault.target)
            heals = [await self.node(fault, self.world.nodes[name]) for name in names]
            return together(heals)
        if what == "counter":
            return await self.counter(fault)
        if what == "discovery":
            self.world.discovery.hush(True)
            return partial(self.unhush)
        if what == "machine":
            await self.stall(fault.seconds)
        return None  # a rush is the arrivals'

    async def link(self, fault: Fault) -> Heal:
        """Disturb links."""
        relays = [r for name, r in self.world.relays.items() if fnmatch.fnmatchcase(name, fault.target)]
        disturbance = LinkDisturbance(fault.kind, fault.direction, fault.ms, fault.after, fault.rate)
        record = LinkFault(fault.target, fault.kind, now_ms())
        self.world.ledger.link_faults.append(record)
        for relay in relays:
            await relay.disturb(disturbance)
        return partial(self.heal_link, relays, disturbance, record)

    async def heal_link(self, relays: list[Relay], disturbance: LinkDisturbance, record: LinkFault) -> None:
        """End the disturbance of links."""
        for relay in relays:
            await relay.heal(disturbance)
        record.until = now_ms()

    async def gateway(self, fault: Fault, process: GatewayProcess) -> Heal | None:
        """Act on a gateway."""
        if fault.kind == "hang":
            process.hang()

            async def resume() -> None:
                process.resume()

            return resume
        if fault.kind == "crowd":
            return await self.crowd(process, fault.after)
        if fault.kind == "pause":
            return await self.pause(process)
        if fault.kind == "retune":
            return self.retune(process)
        if fault.kind == "upgrade":
            task = self.world.spawn(self.upgrade(process))
            self.restarting.add(task)
            task.add_done_callback(self.restarting.discard)
            return None
        task = self.world.spawn(self.restart(process, fault))
        self.restarting.add(task)
        task.add_done_callback(self.restarting.discard)
        return None

    async def crowd(self, process: GatewayProcess, count: int) -> Heal:
        """Clients that connect and ask nothing."""
        writers: list[asyncio.StreamWriter] = []

        async def connect() -> None:
            with suppress(OSError):
                _, writer = await asyncio.open_connection(LOCAL, process.port.number)
                writers.append(writer)

        await asyncio.gather(*(connect() for _ in range(count)))

        async def leave() -> None:
            for writer in writers:
                writer.transport.abort()

        return leave

    async def pause(self, process: GatewayProcess) -> Heal:
        """An operator drains it; the load balancer learns it by the next PING."""
        gate = next(g for g in self.world.load_generator.gates if g.name == process.name)
        await operator.told(process, "PAUSE")
        leaving = self.world.spawn(self.world.load_generator.leave(gate))

        async def resume() -> None:
            await leaving
            await operator.told(process, "RESUME")
            self.world.load_generator.back(gate)

        return resume

    def retune(self, process: GatewayProcess) -> Heal:
        """Other settings, then half a file, which has to change nothing; at the end the first settings."""
        before = process.config["settings"]
        operator.retune(process, operator.retuned(before))

        async def back() -> None:
            operator.retune(process, process.config["settings"], cut=True)
            while not (await operator.figures(process))["edge_lb.cfg_invalid"]:
                await asyncio.sleep(operator.LOOK_S)
            operator.retune(process, before)

        return back

    async def upgrade(self, process: GatewayProcess) -> None:
        """Replace a gateway by its next process."""
        await operator.upgrade(process, self.world.new_port().address)
        self.world.say(f"upgraded: {process.name}")

    async def restart(self, process: GatewayProcess, fault: Fault) -> None:
        """Planned (SIGTERM, and SIGKILL for what does not end in time) or by force; under the same name."""
        gate = next(g for g in self.world.load_generator.gates if g.name == process.name)
        if fault.kind == "kill":
            process.kill()
        else:
            process.terminate()
            settings = process.config["settings"]
            if fault.kind == "signals":
                self.world.spawn(self.signal_again(process))
            elif fault.kind == "stop-reload":
                self.world.spawn(self.reload_while_stopping(process, fault.ms / 1000))
            leaving = self.world.spawn(self.world.load_generator.leave(gate))
            if not await process.ended(MAX_SHUTDOWN_S):
                self.world.forced_ends.append(process.name)
                process.signal(signal.SIGKILL)  # its requests are lost, and that is its own doing
            await leaving
            process.config["settings"] = settings
        await process.ended(MAX_SHUTDOWN_S)
        await asyncio.sleep(fault.seconds or RESTART_GAP_S)
        process.config["known"] = self.world.discovery.catalogue.whole(
            lambda host: self.world.dial(process.name, host)
        )
        self.world.note_known(process.name)
        await process.start()
        self.world.load_generator.back(gate)
        self.world.say(f"started again: {process.name}")

    async def reload_while_stopping(self, process: GatewayProcess, delay_s: float) -> None:
        """Bring other settings and SIGHUP some time after SIGTERM, if the process still runs."""
        await asyncio.sleep(delay_s)
        if process.running:
            operator.retune(process, operator.with_shorter_aims(process.config["settings"]))

    async def signal_again(self, process: GatewayProcess) -> None:
        """After SIGTERM, while it drains: SIGHUP twice and SIGTERM once more."""
        for number in (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM):
            await asyncio.sleep(SIGNAL_GAP_S)
            process.signal(number)

    async def node(self, fault: Fault, node: Node) -> Heal | None:
        """Act on a node."""
        kind, discovery = fault.kind, self.world.discovery
        if kind == "node-hang":
            node.hang(True)
            return partial(self.later, partial(node.hang, False))
        if kind == "node-fail":
            node.failing = True
            return partial(self.later, partial(setattr, node, "failing", False))
        if kind == "node-slow":
            node.slow(fault.factor)
            return partial(self.later, partial(node.slow, 1.0))
        if kind == "node-kill":
            await self.down(node)
            discovery.update(node.name, health="removed")
        elif kind == "node-drain":
            discovery.update(node.name, health="draining")
            self.draining[node.name] = self.world.spawn(self.drain(node, fault.seconds or NODE_DRAIN_S))
        elif kind == "node-start":
            await self.up(node)
        elif kind == "node-replace":
            await self.replace(node, fault.by)
        return None

    async def later(self, call: Callable[[], None]) -> None:
        """Call a function, as an end of a fault."""
        call()

    async def down(self, node: Node) -> None:
        """End a node at once; its address refuses connections."""
        node.kill()
        for relay in self.world.relays_to(self.world.at.get(node.name, node.name)):
            await relay.refuse()

    async def up(self, node: Node) -> None:
        """Start a node's process, cold, and list it; one that drains is removed first."""
        draining = self.draining.pop(node.name, None)
        if draining is not None:
            await asyncio.wait([draining])
        if node.up:
            await self.down(node)
        await node.start(warm=False)
        for relay in self.world.relays_to(self.world.at.get(node.name, node.name)):
            await relay.listen()
        self.world.discovery.put(self.world.host(node, born_ms=node.machine.started))

    async def drain(self, node: Node, seconds: float) -> None:
        """Drain a node, end it, and wait until the gateways are told that it is removed."""
        await asyncio.sleep(seconds)
        node.drain()
        await asyncio.sleep(seconds)
        await self.down(node)
        self.world.discovery.update(node.name, health="removed")
        with suppress(TimeoutError):
            async with asyncio.timeout(REMOVAL_HEARD_S):
                await self.world.discovery.removal_heard(node.name)

    async def replace(self, node: Node, by: str) -> None:
        """Another node, with a name of its own, takes over the address."""
        await self.down(node)
        port, node.kept = node.kept, None
        other = self.world.new_node(by, list(self.world.nodes).index(node.name))
        self.world.at[by] = self.world.at.get(node.name, node.name)
        await other.start(warm=False, port=port)
        for relay in self.world.relays_to(self.world.at[by]):
            relay.target = lambda: other.port
            await relay.listen()
        self.world.discovery.update(node.name, health="removed")
        self.world.discovery.put(self.world.host(other, born_ms=other.machine.started))

    async def counter(self, fault: Fault) -> Heal:
        """Act on the counter."""
        counter = self.world.counter
        if fault.kind == "counter-slow":
            counter.slower_ms = fault.ms
            return self.counter_back
        if fault.kind == "counter-full":
            counter.machine.full = True
            return self.counter_back
        counter.lose()
        for relay in self.world.relays_to("counter"):
            await relay.refuse()
        return self.counter_back

    async def counter_back(self) -> None:
        """End all that is wrong with the counter."""
        counter = self.world.counter
        counter.slower_ms, counter.machine.full = 0.0, False
        if counter.server is None:
            await counter.start()
            for relay in self.world.relays_to("counter"):
                await relay.listen()

    async def unhush(self) -> None:
        """Let discovery answer again."""
        self.world.discovery.hush(False)

    async def stall(self, seconds: float) -> None:
        """Everything on the machine stands still, this process too."""
        from .installation import stand_still

        running = [p for p in self.world.gateways.values() if p.running and p.pause is None]
        for process in running:
            process.signal(signal.SIGSTOP)
        stand_still(seconds)
        for process in running:
            process.signal(signal.SIGCONT)


def together(heals: list[Heal | None]) -> Heal | None:
    """One end for several, or None if there is nothing to end."""
    wanted = [heal for heal in heals if heal is not None]
    if not wanted:
        return None

    async def all_of_them() -> None:
        for heal in wanted:
            await heal()

    return all_of_them
