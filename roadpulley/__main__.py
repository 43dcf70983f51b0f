"""Runs one gateway: `python -m roadpulley`, told by LB_CONFIG what to do."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import random
import resource
import signal
import socket
import sys
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import uvloop

from mintford.interface import ListScope, Settings

from .core.backends import BackendPools
from .core.clock import Timers, now_ms
from .core.counter import CounterClient
from .core.discovery import DiscoveryClient, DiscoveryError, parse_member_list
from .core.driver import Driver
from .core.request_stats import RequestStats
from .core.settings import ConfigError, GatewayConfig, load_config, load_replacement
from .edges.request_parser import RequestParser
from .edges.resp_server import RespServer
from .operations.address import OperatorAddress
from .operations.life import Life
from .operations.lifecycle import Event, Lifecycle, Times
from .operations.listening import listening

if TYPE_CHECKING:
    from .operations.link import Link

log = logging.getLogger("roadpulley")

CLIENT_DESCRIPTORS_RATIO, BACKEND_DESCRIPTORS_RATIO = 0.5, 0.25  # of the descriptors; the rest is headroom
BUFFER_MEMORY_RATIO = 0.2  # of the memory, for answers that are not whole, and again for those not yet taken
MIN_DRAIN_S = 0.45  # after SIGTERM, new connections go on coming for this long
MAX_DEADLINE_S = 3.0  # the longest deadline that SIGKILL waits for, and 0.7 s more
FINAL_ANSWER_MARGIN_S = 0.4  # of these 0.7 s: what is open then is failed, before SIGKILL would lose it
FIRST_LIST_TIMEOUT_S = 0.5  # at the start, for the agent on this machine, which answers at once or is silent
CLOSE_TIMEOUT_S = 0.2  # of the rest: for clients to take the last answers and see the end
GC_THRESHOLDS = (10_000, 20, 20)  # a request leaves no cycles behind, so there is seldom anything to collect


class ReloadTrigger:
    """A wish to read the configuration again, kept until somebody can fulfil it."""

    def __init__(self) -> None:
        self.wanted = False
        self.act: Callable[[], None] | None = None

    def __call__(self) -> None:
        self.wanted = self.act is None
        if self.act is not None:
            self.act()

    def ready(self, act: Callable[[], None]) -> None:
        self.act = act
        if self.wanted:
            self()


class ConfigReloader:
    """One gateway's configuration in service: another takes its place whole, or not at all."""

    def __init__(
        self,
        config: GatewayConfig,
        load: Callable[[GatewayConfig], GatewayConfig],
        life: Life,
        discovery: DiscoveryClient,
        counter: CounterClient | None,
    ) -> None:
        self.config, self.load, self.life = config, load, life
        self.discovery, self.counter = discovery, counter

    def __call__(self) -> None:
        try:
            config = self.load(self.config)
        except ConfigError as error:
            self.life.configurations[1] += 1
            return log.error("not reloaded, the old configuration stands: %s", error)
        self.take(config)
        self.life.configurations[0] += 1
        log.info("reloaded: classes %s", ", ".join(c.name for c in config.settings.classes))

    def take(self, config: GatewayConfig) -> None:
        """In one turn of the loop: no request is judged by a mixture.

        The address for clients, the operators' and the limits belong to the process and stay.
        """
        standing, self.config = self.config, config
        if config.listen != standing.listen or config.admin != standing.admin:
            log.warning("listen and admin are taken up at a restart only")
        driver, settings = self.life.driver, config.settings
        if config.raw_settings != standing.raw_settings:
            self.life.server.set_parser(RequestParser(settings, config.workers))
            driver.backends.set_timeouts(
                config.connect_timeout_ms, config.keepalive_ms, settings.rules.drain_grace
            )
            driver.apply_settings(settings, config.max_open_requests)
            self.life.machine.times = lifecycle_times(settings)
        if config.discovery != self.discovery.address:
            self.discovery.move(config.discovery)
        if self.counter is not None and config.counter is not None:
            self.counter.timeout_ms = settings.counter_timeout
            self.counter.move(config.counter)


def lifecycle_times(settings: Settings) -> Times:
    keep, last = compute_drain_times(settings)
    return Times(keep * 1000, last * 1000)


def compute_drain_times(settings: Settings) -> tuple[float, float]:
    """Seconds after SIGTERM until clients' connections are closed, and until what is open is failed.

    The place of this gateway is empty until it is back, so it serves on those that it has for as long as an
    answer within its aim can still come before SIGKILL.
    """
    longest = min(MAX_DEADLINE_S, max((c.deadline for c in settings.classes), default=3_000.0) / 1000)
    aim = max((c.latency_target for c in settings.classes), default=3_000.0) / 1000
    return max(MIN_DRAIN_S, longest + FINAL_ANSWER_MARGIN_S - aim), longest + FINAL_ANSWER_MARGIN_S


def reserve_descriptors(told: int) -> int:
    """How many this process may hold: what the platform tells, and no more than the kernel allows.

    Danger: clients take their share of these. Shares of more than there are leave none for discovery, the
    counter and backends once idle clients have come by hundreds.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= told:
        return told
    if hard == resource.RLIM_INFINITY or hard > soft:
        soft = told if hard == resource.RLIM_INFINITY else min(told, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    if soft < told:
        log.warning("%d descriptors are told and %d allowed", told, soft)
    return soft


def take_inherited_listener() -> socket.socket | None:
    """The listening socket that the platform holds for every process of this gateway. Raises ConfigError."""
    told = os.environ.get("LB_ACCEPT_FD")
    if not told:
        return None
    right = "give the number of a descriptor that is a listening TCP socket over IPv4"
    try:
        found = socket.socket(fileno=int(told))
    except (ValueError, OSError) as error:
        raise ConfigError(f"LB_ACCEPT_FD is {told!r} ({error}); {right}") from error
    listens = found.family == socket.AF_INET and found.type == socket.SOCK_STREAM
    if not listens or not found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        found.detach()
        raise ConfigError(f"LB_ACCEPT_FD is {told}, which does not listen; {right}")
    return found


async def serve(
    config: GatewayConfig,
    stop: asyncio.Event,
    ready: Callable[[int], None] | None = None,
    again: ReloadTrigger | None = None,
    load: Callable[[GatewayConfig], GatewayConfig] | None = None,
    attach: Callable[[Driver], object] | None = None,
    listener: socket.socket | None = None,
    closing: Callable[[], None] | None = None,
    link: bool = False,
) -> None:
    """Serve until `stop` is set, then drain. `ready` is told the port once clients may come.

    A `listener` that is given is bound already; `closing` is called once nothing more is accepted. A call
    of `again` brings a new configuration from `load`, which is given the one that stands; `attach` is handed
    the driver before that. `link`: another process may accept from the
    listener beside this one; what both stand for is handed over.
    """
    loop, begun = asyncio.get_running_loop(), now_ms()
    timers = Timers(loop)
    tallies = RequestStats()
    memory, sockets = (
        int(config.memory_mb * BUFFER_MEMORY_RATIO * 2**20),
        reserve_descriptors(config.max_descriptors),
    )
    backends = BackendPools(
        loop,
        timers,
        config.connect_timeout_ms,
        config.keepalive_ms,
        config.settings.rules.drain_grace,
        int(sockets * BACKEND_DESCRIPTORS_RATIO),
        memory,
        tallies,
    )
    counter = (
        CounterClient(loop, timers, config.counter, config.settings.counter_timeout)
        if config.counter
        else None
    )
    driver = Driver(config.settings, config.seed, timers, backends, counter, config.max_open_requests)

    version = None
    if config.saved_members:
        known = parse_member_list(config.saved_members)
        version = known.version
        driver.update_members(ListScope.SAVED, known.members, now_ms())
    discovery = DiscoveryClient(config.discovery, version, driver.update_members, random.Random(config.seed))
    server = RespServer(
        loop,
        timers,
        driver,
        RequestParser(config.settings, config.workers),
        int(sockets * CLIENT_DESCRIPTORS_RATIO),
        memory,
        tallies,
    )
    life = Life(Lifecycle(lifecycle_times(config.settings)), timers, driver, server)
    ends = await open_link(config, driver, life) if link else None
    stopped = loop.create_task(stop.wait())
    operators = OperatorAddress(loop, life.answer)
    if config.admin is not None:
        await listening("admin", config.admin, partial(operators.listen, config.admin), stopped)
    watch = loop.create_task(discovery.run())
    if again is not None and load is not None:
        again.ready(ConfigReloader(config, load, life, discovery, counter))
    # Danger: what the agent has counts as told from the first moment on, and what is known may be old.
    told = loop.create_task(discovery.initial_list_received.wait())
    await asyncio.wait({told, stopped}, timeout=FIRST_LIST_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
    told.cancel()
    log.info("list %s after %.0f ms", "heard" if told.done() else "not heard", now_ms() - begun)
    port = await listening("listen", config.listen, partial(server.listen, *config.listen, listener), stopped)
    if port is None:
        life.give(Event.STOP)  # before anybody could come
    else:
        driver.start_lag_monitor()
        if attach is not None:
            attach(driver)
        gc.collect()
        gc.freeze()  # what was loaded stays: no pause to look at it again
        gc.set_threshold(*GC_THRESHOLDS)
        life.give(Event.READY)
        if ends is not None:
            await ends.serves()
        log.info("%s serves at %s:%d after %.0f ms", config.name, config.listen[0], port, now_ms() - begun)
        if ready is not None:
            ready(port)
        await asyncio.wait({stopped, watch}, return_when=asyncio.FIRST_COMPLETED)
        if watch.done():
            stopped.cancel()
            # It never ends but by a fault: better a crash that is seen than a list that is stale.
            watch.result()
        life.give(Event.STOP)
    await wait_for_drain(life, server, driver, closing)
    stopped.cancel()
    if ends is not None:
        await ends.close()
    watch.cancel()
    backends.close()
    if counter is not None:
        counter.close()
    operators.close()


async def wait_for_drain(
    life: Life, server: RespServer, driver: Driver, closing: Callable[[], None] | None
) -> None:
    """Wait for the end of what was taken; what is open at the last time is failed, and nothing more taken."""
    await life.left.wait()
    if closing is not None:
        closing()
    empty = asyncio.ensure_future(server.all_closed.wait())
    ended = asyncio.ensure_future(life.ended.wait())
    await asyncio.wait({empty, ended}, return_when=asyncio.FIRST_COMPLETED)
    life.give(Event.EMPTY if empty.done() else Event.TIME)
    ended.cancel()
    if driver.requests:
        log.warning("%d requests open at the end", len(driver.requests))
        driver.fail_all()
    server.finish()
    await asyncio.wait({empty}, timeout=CLOSE_TIMEOUT_S)
    empty.cancel()


async def open_link(config: GatewayConfig, driver: Driver, life: Life) -> Link:
    """The link to the process before and after this one, with what the first gave."""
    from .operations.link import Link

    def succeeded(serves: bool) -> None:
        life.give(Event.SUCCEEDED if serves else Event.ALONE)

    link = Link(f"{config.name}@{config.listen[0]}:{config.listen[1]}", driver, succeeded)
    await link.inherit()
    return link


async def run(path: str) -> None:
    loop, stop, again = asyncio.get_running_loop(), asyncio.Event(), ReloadTrigger()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    # Danger: without a handler SIGHUP ends the process, and all requests that are open in it.
    loop.add_signal_handler(signal.SIGHUP, again)
    load = partial(load_replacement, path)
    config, listener = load_config(path), take_inherited_listener()
    await serve(config, stop, again=again, load=load, listener=listener, link=listener is not None)


def main() -> int:
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    path = os.environ.get("LB_CONFIG")
    if not path:
        print("roadpulley: LB_CONFIG is not set", file=sys.stderr)
        return 2
    try:
        uvloop.run(run(path))
    except (ConfigError, DiscoveryError) as error:
        print(f"roadpulley: bad configuration: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
