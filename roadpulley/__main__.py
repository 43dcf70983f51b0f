"""Runs one gateway: `python -m roadpulley`, told by LB_CONFIG what to do."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Callable

import uvloop

from mintford.interface import ListScope

from .backends import Backends
from .clients import ClientServer
from .clock import Timers
from .config import Config, ConfigError, load_config
from .counter import Counter
from .discovery import Discovery, DiscoveryError, read_list
from .driver import Driver

log = logging.getLogger("roadpulley")

CLIENT_SHARE, BACKEND_SHARE = 0.5, 0.25  # of the descriptors; the rest is headroom
STILL_COMING_S = 0.45  # after SIGTERM, connections go on coming for this long
LAST_ANSWER_S = 3.4  # after SIGTERM: what is open then is failed, before SIGKILL would lose it
CLOSING_S = 0.1


async def serve(config: Config, stop: asyncio.Event, ready: Callable[[int], None] | None = None) -> None:
    """Serve until `stop` is set, then drain. `ready` is told the port once clients may come."""
    loop = asyncio.get_running_loop()
    timers = Timers(loop)
    backends = Backends(
        loop,
        timers,
        config.connect_timeout,
        config.keepalive,
        config.settings.rules.drain_grace,
        int(config.sockets * BACKEND_SHARE),
    )
    counter = Counter(loop, timers, config.counter, config.settings.count_wait) if config.counter else None
    driver = Driver(config.settings, config.seed, timers, backends, counter, config.max_open)

    version = None
    if config.known:
        known = read_list(config.known)
        version = known.version
        driver.members(ListScope.SAVED, known.members)
    discovery = Discovery(config.discovery, version, driver.members)
    watch = loop.create_task(discovery.run())
    server = ClientServer(driver, int(config.sockets * CLIENT_SHARE))
    port = await server.listen(*config.listen)
    gc.collect()
    gc.freeze()  # what was loaded stays: no pause to look at it again
    log.info("%s serves at %s:%d", config.name, config.listen[0], port)
    if ready is not None:
        ready(port)

    stopped = loop.create_task(stop.wait())
    await asyncio.wait({stopped, watch}, return_when=asyncio.FIRST_COMPLETED)
    if watch.done():
        stopped.cancel()
        watch.result()  # it never ends but by a fault: better a crash that is seen than a list that is stale
    log.info("draining")
    started = loop.time()
    await asyncio.sleep(STILL_COMING_S)
    server.drain()
    try:
        async with asyncio.timeout_at(started + LAST_ANSWER_S):
            await server.empty.wait()
    except TimeoutError:
        log.warning("%d requests open at the end", len(driver.requests))
        driver.fail_all()
        await asyncio.sleep(CLOSING_S)
    watch.cancel()
    backends.close()
    if counter is not None:
        counter.close()


async def run(config: Config) -> None:
    stop = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signum, stop.set)
    await serve(config, stop)


def main() -> int:
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    path = os.environ.get("LB_CONFIG")
    if not path:
        print("roadpulley: LB_CONFIG is not set", file=sys.stderr)
        return 2
    try:
        uvloop.run(run(load_config(path)))
    except (ConfigError, DiscoveryError) as error:
        print(f"roadpulley: bad configuration: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
