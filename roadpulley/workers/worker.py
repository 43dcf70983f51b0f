"""One worker: the gateway's program with a heartbeat. Started by the supervisor alone.

Its beats go down a pipe, one line each: `serves PORT` once, then `beat MILLISECONDS` with the age of the
oldest request that is open, and `closes` once it accepts no more. The loop that answers requests writes them:
a loop that stands still does not beat, and one that turns without answering shows it by that age. The socket
that it accepts from is the supervisor's, bound by that and shared with the other workers.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import socket
import sys
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import uvloop

from roadpulley.__main__ import serve
from roadpulley.core.driver import Driver
from roadpulley.core.settings import ConfigError, GatewayConfig, parse_config

if TYPE_CHECKING:
    from roadpulley.fleet.agent_link import AgentLink
    from roadpulley.usage.meter import Meter, PlanVersionLookup


AGENT_SOCKET_ENV = "ROADPULLEY_BESIDE"  # the socket of the instance of a fleet
RIGHTS_ENV = "ROADPULLEY_RIGHTS_TOLD"  # the ceilings that its rights are of
COUNTER_ENV = "ROADPULLEY_COUNTS"  # set where it counts
VERDICT_INTERVAL_ENV = "ROADPULLEY_VERDICTS"  # seconds between two words of what is seen, where it is rights
ORDERS_ENV = "ROADPULLEY_ORDERS"  # how orders of operators are followed, where they are


def apply_rights(settings: dict[str, Any], fleet_rights: dict[str, Any]) -> dict[str, Any]:
    """The settings of a gateway that spends a part of its ceilings by rights. Raises ValueError.

    Danger: where a ceiling was lowered here and not in the fleet's file, its rights would go beyond it.
    """
    for plan in settings.get("packages") or ():
        gateway_ceiling = [float(plan.get("neverOverRate") or 0), float(plan.get("hardBurst") or 0)]
        fleet_ceiling = fleet_rights["limits"].get(str(plan["name"]), [0.0, 0.0])
        if gateway_ceiling != fleet_ceiling:
            remedy = "give both files the same"
            raise ValueError(
                f"the ceiling of {plan['name']} is {gateway_ceiling}, "
                f"in the fleet's file {fleet_ceiling}; {remedy}"
            )
    return {**settings, "rights": fleet_rights["part"]}


def load_gateway_config() -> GatewayConfig:
    """The gateway's configuration with this worker's place. Raises ConfigError."""
    path = os.environ["LB_CONFIG"]
    try:
        raw: Any = json.loads(Path(path).read_text())
        worker_index = {
            "worker": int(os.environ["ROADPULLEY_WORKER"]),
            "workers": int(os.environ["ROADPULLEY_WORKERS"]),
        }
        if fleet_rights := os.environ.get(RIGHTS_ENV):
            raw["settings"] = apply_rights(raw["settings"], json.loads(fleet_rights))
        # An operators' address belongs to one process; which worker would hear a call is chance.
        return replace(parse_config({**raw, **worker_index}), admin=None)
    except (OSError, ValueError, TypeError) as error:
        raise ConfigError(f"{path}: {error}") from error


class Heartbeat:
    def __init__(self, fd: int, interval_s: float) -> None:
        self.fd, self.interval_s = fd, interval_s
        self.driver: Driver | None = None
        os.set_blocking(fd, False)

    def write_message(self, message: str) -> None:
        try:
            os.write(self.fd, f"{message}\n".encode())
        except BlockingIOError:
            pass  # nobody reads: the supervisor itself hangs
        except OSError:
            os.kill(os.getpid(), signal.SIGTERM)  # it is gone: nobody would start this one again

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self.interval_s)
            if self.driver is not None:
                self.write_message(f"beat {self.driver.get_oldest_request_age_ms():.0f}")


def follow_plans(settings: str, driver: Driver) -> PlanVersionLookup:
    """Go by the feed of plans from now on; gives what holds for whom. Raises ConfigError."""
    from roadpulley.checks import ValidationError
    from roadpulley.plans.feed_watcher import FeedWatcher
    from roadpulley.plans.settings import read_settings

    try:
        found = read_settings(Path(settings))
    except ValidationError as error:
        raise ConfigError(str(error)) from error
    watch = FeedWatcher(found.feed, found.poll_interval_ms, driver, driver.timers)
    watch.poll()
    return watch.follower.get_versions


def start_metering(settings: str, name: str, driver: Driver, versions: PlanVersionLookup | None) -> Meter:
    """Count what is sent on from now on. Raises ConfigError."""
    from roadpulley.checks import ValidationError
    from roadpulley.usage.meter import Meter, look_up_unversioned
    from roadpulley.usage.settings import read_settings

    try:
        meter = Meter(
            read_settings(Path(settings)).spool, name, driver.timers, versions or look_up_unversioned
        )
    except (ValidationError, OSError) as error:
        raise ConfigError(str(error)) from error
    driver.meter = meter
    return meter


async def connect_agent(socket_path: str) -> AgentLink:
    """The way to the instance of the fleet on this machine. Raises ConfigError."""
    from roadpulley.fleet.agent_link import AgentLink

    found = AgentLink(Path(socket_path))
    try:
        await found.open()
    except OSError as error:
        raise ConfigError(f"{socket_path}: {error}") from error
    return found


def use_fleet(agent_link: AgentLink, driver: Driver) -> None:
    """Spend rights of its limits, and count with it, as the supervisor said."""
    if fleet_rights := os.environ.get(RIGHTS_ENV):
        from roadpulley.fleet.orders.client import LimitSpender
        from roadpulley.fleet.orders.even_shares import EvenShares
        from roadpulley.fleet.rights.client import RightsClient

        even_shares = EvenShares(1.0 - json.loads(fleet_rights)["part"], driver.settings.gateways)
        driver.rights = LimitSpender(RightsClient(agent_link), even_shares)
    if interval_s := os.environ.get(VERDICT_INTERVAL_ENV):
        from roadpulley.fleet.verdicts.client import VerdictClient

        driver.attempt_observer = VerdictClient(agent_link, driver, float(interval_s))
    if follower_settings := os.environ.get(ORDERS_ENV):
        follow_orders(agent_link, driver, json.loads(follower_settings))
    if os.environ.get(COUNTER_ENV):
        from roadpulley.fleet.counts.client import ReplicatedCounter

        driver.counter = ReplicatedCounter(agent_link, driver.timers, driver.settings.counter_timeout)


def follow_orders(agent_link: AgentLink, driver: Driver, follower_settings: dict[str, Any]) -> None:
    from roadpulley.fleet.orders.client import LimitSpender, OrderClient, to_orders_changed
    from roadpulley.fleet.orders.follower import FollowerSettings
    from roadpulley.fleet.orders.messages import Order

    def handle_orders_changed(orders: tuple[Order, ...]) -> None:
        if isinstance(driver.rights, LimitSpender):
            driver.rights.set_orders(orders)
        driver.handle_event(to_orders_changed(orders))

    OrderClient(agent_link, FollowerSettings(**follower_settings), handle_orders_changed)


async def run() -> None:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)  # the supervisor's
    config = load_gateway_config()
    meters: list[Meter] = []
    agent_link = await connect_agent(path) if (path := os.environ.get(AGENT_SOCKET_ENV)) else None
    heartbeat = Heartbeat(int(os.environ["ROADPULLEY_BEAT_FD"]), float(os.environ["ROADPULLEY_BEAT_S"]))
    heartbeat_task = loop.create_task(heartbeat.send_heartbeats())

    def attach(driver: Driver) -> None:
        heartbeat.driver = driver
        if agent_link is not None:
            use_fleet(agent_link, driver)
        plans, usage = os.environ.get("ROADPULLEY_PLANS"), os.environ.get("ROADPULLEY_USAGE")
        versions = follow_plans(plans, driver) if plans else None
        if usage:
            meters.append(
                start_metering(usage, f"{config.name}.{os.environ['ROADPULLEY_WORKER']}", driver, versions)
            )

    listener = socket.socket(fileno=int(os.environ["ROADPULLEY_LISTEN_FD"]))
    await serve(
        config,
        stop,
        ready=lambda port: heartbeat.write_message(f"serves {port}"),
        attach=attach,
        listener=listener,
        closing=lambda: heartbeat.write_message("closes"),
    )
    for meter in meters:
        await meter.close()
    if agent_link is not None:
        agent_link.close()
    heartbeat_task.cancel()


def main() -> int:
    log_format = (
        "%(asctime)s %(levelname)s %(name)s[" + os.environ.get("ROADPULLEY_WORKER", "?") + "]: %(message)s"
    )
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format=log_format)
    try:
        uvloop.run(run())
    except ConfigError as error:
        print(f"roadpulley: bad configuration: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
