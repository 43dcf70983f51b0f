"""Runs one gateway: `python -m roadpulley`, with the configuration that LB_CONFIG names."""

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
from collections.abc import Callable, Coroutine
from functools import partial
from typing import TYPE_CHECKING, Any

import uvloop

from mintford.interface import ListScope, Settings

from .core.backends import BackendPools
from .core.clock import Timers, now_ms
from .core.counter import CounterClient
from .core.discovery import DiscoveryClient, DiscoveryError, parse_member_list
from .core.driver import Driver
from .core.memory_limits import compute_memory_limits
from .core.request_stats import RequestStats
from .core.settings import ConfigError, GatewayConfig, load_config, load_replacement
from .edges.request_parser import RequestParser
from .edges.resp_server import RespServer
from .operations.controller import LifecycleController
from .operations.drain_times import CLOSE_TIMEOUT_S, compute_drain_times, to_drain_times
from .operations.lifecycle import DrainTimes, Event, Lifecycle
from .operations.listen_retry import listen_with_retries
from .operations.operator_server import OperatorServer
from .operations.overdue_watch import OverdueWatch

if TYPE_CHECKING:
    from .operations.link import Link

log = logging.getLogger("roadpulley")

CLIENT_DESCRIPTORS_RATIO = 0.5  # of the file descriptors
BACKEND_DESCRIPTORS_RATIO = 0.25  # of the file descriptors; the rest is headroom
VALUE_CHECK_INTERVAL_S = 0.1  # between two looks at the long values that a process waits for
FIRST_LIST_TIMEOUT_S = 0.5  # at the start; the local agent answers at once or is silent
GC_THRESHOLDS = (10_000, 20, 20)  # high, because requests leave no reference cycles


class ReloadTrigger:
    """A request to reload the configuration. It is remembered until a callback is set."""

    def __init__(self) -> None:
        self.is_pending = False
        self.callback: Callable[[], None] | None = None

    def __call__(self) -> None:
        self.is_pending = self.callback is None
        if self.callback is not None:
            self.callback()

    def set_callback(self, callback: Callable[[], None]) -> None:
        """Set the function that reloads, and call it if a request is pending."""
        self.callback = callback
        if self.is_pending:
            self()


class ConfigReloader:
    """Replaces the configuration of a running gateway, completely or not at all."""

    def __init__(
        self,
        config: GatewayConfig,
        load: Callable[[GatewayConfig], GatewayConfig],
        controller: LifecycleController,
        discovery: DiscoveryClient,
        counter: CounterClient | None,
    ) -> None:
        self.config, self.load, self.controller = config, load, controller
        self.discovery, self.counter = discovery, counter

    def __call__(self) -> None:
        try:
            config = self.load(self.config)
        except ConfigError as error:
            self.controller.reload_counts[1] += 1
            return log.error("not reloaded, the old configuration stands: %s", error)
        self.apply(config)
        self.controller.reload_counts[0] += 1
        log.info("reloaded: classes %s", ", ".join(c.name for c in config.settings.classes))

    def apply(self, config: GatewayConfig) -> None:
        """Apply a configuration within one loop iteration, so that no request sees a mixture of two.

        The addresses for clients and operators and the resource limits belong to the process and stay.
        """
        previous, self.config = self.config, config
        if config.listen != previous.listen or config.admin != previous.admin:
            log.warning("changes of listen and admin take effect only after a restart")
        driver, settings = self.controller.driver, config.settings
        if config.raw_settings != previous.raw_settings:
            self.controller.server.set_parser(RequestParser(settings, config.workers))
            driver.backends.set_timeouts(
                config.connect_timeout_ms, config.keepalive_ms, settings.rules.drain_grace
            )
            driver.apply_settings(settings, config.max_open_requests)
            self.controller.change_drain_times(lifecycle_times(settings))
        if config.discovery != self.discovery.address:
            self.discovery.move(config.discovery)
        if self.counter is not None and config.counter is not None:
            self.counter.timeout_ms = settings.counter_timeout
            self.counter.move(config.counter)


def lifecycle_times(settings: Settings) -> DrainTimes:
    """The times of a drain, in milliseconds."""
    return to_drain_times(*compute_drain_times(settings))


def reserve_descriptors(requested: int) -> int:
    """The number of file descriptors this process may use: as requested, and at most what the kernel allows.

    Raises the soft limit if necessary. Clients get a share of the result. If the shares were computed from
    more than the limit, hundreds of idle clients would leave no descriptors for discovery, the counter and
    the backends.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= requested:
        return requested
    if hard == resource.RLIM_INFINITY or hard > soft:
        soft = requested if hard == resource.RLIM_INFINITY else min(requested, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    if soft < requested:
        log.warning("%d descriptors are configured, but only %d are allowed", requested, soft)
    return soft


def take_inherited_listener() -> socket.socket | None:
    """The listening socket that the platform keeps open across restarts, or None. Raises ConfigError."""
    descriptor = os.environ.get("LB_ACCEPT_FD")
    if not descriptor:
        return None
    correction = "give the number of a descriptor that is a listening TCP socket over IPv4"
    try:
        listener = socket.socket(fileno=int(descriptor))
    except (ValueError, OSError) as error:
        raise ConfigError(f"LB_ACCEPT_FD is {descriptor!r} ({error}); {correction}") from error
    is_tcp_socket = listener.family == socket.AF_INET and listener.type == socket.SOCK_STREAM
    if not is_tcp_socket or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()
        raise ConfigError(f"LB_ACCEPT_FD is {descriptor}, which does not listen; {correction}")
    return listener


async def serve(
    config: GatewayConfig,
    stop: asyncio.Event,
    ready: Callable[[int], None] | None = None,
    reload_trigger: ReloadTrigger | None = None,
    load: Callable[[GatewayConfig], GatewayConfig] | None = None,
    attach: Callable[[Driver], object] | None = None,
    listener: socket.socket | None = None,
    closing: Callable[[], None] | None = None,
    link: bool = False,
    wait_for_state: Callable[[], Coroutine[Any, Any, None]] | None = None,
    finishing: Callable[[int], None] | None = None,
) -> None:
    """Serve until `stop` is set, then drain.

    `ready` is called with the port once clients can connect. `reload_trigger` reloads the configuration with
    `load`, which gets the current one. `attach` gets the driver before clients can connect. `listener` is a
    socket that is already bound. `closing` is called once no more connections are accepted. `link`: another
    process may accept from the same listener, and the two hand their state over. `wait_for_state` is started
    after `attach`; clients can connect once it has ended, and it bounds its own time. `finishing` is called
    again and again with the number of long values that keep a process from its end.
    """
    loop, started_at = asyncio.get_running_loop(), now_ms()
    timers = Timers(loop)
    stats = RequestStats()
    memory_limits = compute_memory_limits(config.memory_mb)
    descriptor_limit = reserve_descriptors(config.max_descriptors)
    backends = BackendPools(
        loop,
        timers,
        config.connect_timeout_ms,
        config.keepalive_ms,
        config.settings.rules.drain_grace,
        int(descriptor_limit * BACKEND_DESCRIPTORS_RATIO),
        memory_limits.buffer_bytes,
        stats,
    )
    counter = (
        CounterClient(loop, timers, config.counter, config.settings.counter_timeout)
        if config.counter
        else None
    )
    driver = Driver(
        config.settings,
        config.seed,
        timers,
        backends,
        counter,
        config.max_open_requests,
        memory_limits,
    )

    version = None
    if config.saved_members:
        saved_list = parse_member_list(config.saved_members)
        version = saved_list.version
        driver.update_members(ListScope.SAVED, saved_list.members, now_ms())
    discovery = DiscoveryClient(config.discovery, version, driver.update_members, random.Random(config.seed))
    server = RespServer(
        loop,
        timers,
        driver,
        RequestParser(config.settings, config.workers),
        int(descriptor_limit * CLIENT_DESCRIPTORS_RATIO),
        memory_limits.buffer_bytes,
        stats,
    )
    if attach is not None:
        attach(driver)
    state_received = loop.create_task(wait_for_state()) if wait_for_state is not None else None
    controller = LifecycleController(Lifecycle(lifecycle_times(config.settings)), timers, driver, server)
    link_to_peer = await open_link(config, driver, controller) if link else None
    stopped = loop.create_task(stop.wait())
    operators = OperatorServer(loop, controller.answer_call)
    if config.admin is not None:
        await listen_with_retries("admin", config.admin, partial(operators.listen, config.admin), stopped)
    watch = loop.create_task(discovery.run())
    if reload_trigger is not None and load is not None:
        reload_trigger.set_callback(ConfigReloader(config, load, controller, discovery, counter))
    # The agent's list is in effect from the start, and the saved list may be outdated.
    list_received = loop.create_task(discovery.initial_list_received.wait())
    await asyncio.wait(
        {list_received, stopped}, timeout=FIRST_LIST_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
    )
    list_received.cancel()
    log.info("list %s after %.0f ms", "heard" if list_received.done() else "not heard", now_ms() - started_at)
    if state_received is not None:
        await asyncio.wait({state_received, stopped}, return_when=asyncio.FIRST_COMPLETED)
        state_received.cancel()
    port = await listen_with_retries(
        "listen", config.listen, partial(server.listen, *config.listen, listener), stopped
    )
    if port is None:
        controller.dispatch_event(Event.STOP_REQUESTED)  # before any client could connect
    else:
        driver.start_lag_monitor()
        OverdueWatch(timers, driver, server).start()
        gc.collect()
        gc.freeze()  # exempts the loaded modules from garbage collection pauses
        gc.set_threshold(*GC_THRESHOLDS)
        controller.dispatch_event(Event.STARTUP_COMPLETED)
        if link_to_peer is not None:
            await link_to_peer.announce_serving()
        log.info(
            "%s serves at %s:%d after %.0f ms", config.name, config.listen[0], port, now_ms() - started_at
        )
        if ready is not None:
            ready(port)
        await asyncio.wait({stopped, watch}, return_when=asyncio.FIRST_COMPLETED)
        if watch.done():
            stopped.cancel()
            # The watch ends only by an exception. A visible crash is better than a stale list.
            watch.result()
        controller.dispatch_event(Event.STOP_REQUESTED)
    await wait_for_drain(controller, server, driver, closing)
    stopped.cancel()
    if link_to_peer is not None:
        await link_to_peer.close()  # a process that only finishes values needs none of its share
    await finish_values(controller, server, finishing)
    watch.cancel()
    backends.close()
    if counter is not None:
        counter.close()
    operators.close()


async def wait_for_drain(
    controller: LifecycleController, server: RespServer, driver: Driver, closing: Callable[[], None] | None
) -> None:
    """Wait until the accepted connections have ended, and fail the requests that are still open by then."""
    await controller.accepting_ended.wait()
    if closing is not None:
        closing()
    drained = asyncio.ensure_future(server.all_closed.wait())
    requests_ended = asyncio.ensure_future(controller.requests_ended.wait())
    await asyncio.wait({drained, requests_ended}, return_when=asyncio.FIRST_COMPLETED)
    controller.dispatch_event(Event.CLIENTS_DISCONNECTED if drained.done() else Event.TIMER_FIRED)
    drained.cancel()
    requests_ended.cancel()
    if failed_count := driver.fail_all():
        log.warning("%d requests still open at shutdown", failed_count)
    server.finish()


async def finish_values(
    controller: LifecycleController, server: RespServer, report: Callable[[int], None] | None
) -> None:
    """Wait until the long values under way have ended, then until clients have seen the end of connection."""
    closed = asyncio.ensure_future(server.all_closed.wait())
    if value_count := server.count_moving_values(now_ms()):
        log.info("this process ends after %d long values that are under way", value_count)
    while value_count:
        if report is not None:
            report(value_count)
        await asyncio.wait({closed}, timeout=VALUE_CHECK_INTERVAL_S)
        value_count = server.count_moving_values(now_ms())
    controller.dispatch_event(Event.VALUES_ENDED)
    await asyncio.wait({closed}, timeout=CLOSE_TIMEOUT_S)
    closed.cancel()


async def open_link(config: GatewayConfig, driver: Driver, controller: LifecycleController) -> Link:
    """Open the link to the preceding and the next process, and take over the state of the preceding one."""
    from .operations.link import Link

    def on_takeover(serves: bool) -> None:
        controller.dispatch_event(Event.SUCCESSOR_STARTED if serves else Event.SUCCESSOR_LOST)

    link = Link(f"{config.name}@{config.listen[0]}:{config.listen[1]}", driver, on_takeover)
    await link.take_over()
    return link


async def run(path: str) -> None:
    """Run the gateway with the configuration at `path` until SIGTERM or SIGINT. Raises ConfigError."""
    loop, stop, reload_trigger = asyncio.get_running_loop(), asyncio.Event(), ReloadTrigger()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    # Without a handler SIGHUP would end the process and lose its open requests.
    loop.add_signal_handler(signal.SIGHUP, reload_trigger)
    load = partial(load_replacement, path)
    config, listener = load_config(path), take_inherited_listener()
    await serve(
        config, stop, reload_trigger=reload_trigger, load=load, listener=listener, link=listener is not None
    )


def main() -> int:
    """Run the gateway; returns the exit code."""
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
