"""Entry point of a worker process: a gateway that sends heartbeats. Only the supervisor starts it.

The worker writes one message per line into a pipe to the supervisor:

| message        | when                                                                     |
| -------------- | ------------------------------------------------------------------------ |
| `serves PORT`  | once, when it serves                                                     |
| a heartbeat    | from then on, at a fixed interval: see `messages`                        |
| `closes`       | once, when it no longer accepts connections                              |
| `values COUNT` | again and again, while only long values under way keep it from its end;  |
|                | a supervisor of an earlier release ignores it                            |

The event loop that answers requests also writes the messages. If the loop is blocked, the heartbeats stop; if
it runs without ending its requests, they report for how long one of them is overdue. The supervisor binds the
socket that the worker accepts from, and shares it among all workers.
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

from .messages import encode_heartbeat

if TYPE_CHECKING:
    from roadpulley.fleet.agent_link import AgentLink
    from roadpulley.fleet.orders.client import OrderClient
    from roadpulley.usage.meter import Meter, PlanVersionLookup


# Environment variables by which the gateway's supervisor configures its workers for a fleet.
AGENT_SOCKET_ENV = "ROADPULLEY_BESIDE"  # path of the socket of the local fleet instance
RIGHTS_ENV = "ROADPULLEY_RIGHTS_TOLD"  # JSON: the fleet's ceilings, and the ratio of them spent by rights
COUNTER_ENV = "ROADPULLEY_COUNTS"  # set if the worker uses the replicated counter of the fleet
VERDICT_INTERVAL_ENV = "ROADPULLEY_VERDICTS"  # seconds between two reports of attempts; unset for none
ORDERS_ENV = "ROADPULLEY_ORDERS"  # JSON: settings of the follower of operators' orders; unset for none


def apply_rights(settings: dict[str, Any], fleet_rights: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of a gateway that spends a ratio of its ceilings by rights.

    Raises ValueError if a ceiling differs from the one in the fleet's file. If a ceiling were lowered only in
    the gateway's file, the rights granted by the fleet would exceed it.
    """
    for plan in settings.get("packages") or ():
        gateway_ceiling = [float(plan.get("neverOverRate") or 0), float(plan.get("hardBurst") or 0)]
        fleet_ceiling = fleet_rights["limits"].get(str(plan["name"]), [0.0, 0.0])
        if gateway_ceiling != fleet_ceiling:
            remedy = "configure the same ceiling in both files"
            raise ValueError(
                f"the ceiling of {plan['name']} is {gateway_ceiling}, "
                f"in the fleet's file {fleet_ceiling}; {remedy}"
            )
    return {**settings, "rights": fleet_rights["part"]}


def load_gateway_config() -> GatewayConfig:
    """Return the gateway's configuration, extended by the index of this worker. Raises ConfigError.

    The supervisor writes what it has accepted to the standard input. The file may have changed since then.
    """
    path = os.environ["LB_CONFIG"]
    try:
        raw: Any = json.loads(sys.stdin.buffer.read())
        worker_settings = {
            "worker": int(os.environ["ROADPULLEY_WORKER"]),
            "workers": int(os.environ["ROADPULLEY_WORKERS"]),
        }
        if fleet_rights := os.environ.get(RIGHTS_ENV):
            raw["settings"] = apply_rights(raw["settings"], json.loads(fleet_rights))
        # Only one process can serve the admin address. Which worker received a command would be random.
        return replace(parse_config({**raw, **worker_settings}), admin=None)
    except (OSError, ValueError, TypeError) as error:
        raise ConfigError(f"{path}: {error}") from error


class Heartbeat:
    """Writes messages to the supervisor's pipe, and heartbeats at a fixed interval in seconds."""

    def __init__(self, fd: int, interval_s: float) -> None:
        self.fd, self.interval_s = fd, interval_s
        self.driver: Driver | None = None
        os.set_blocking(fd, False)

    def write_message(self, message: str) -> None:
        """Write one line to the pipe, without blocking."""
        try:
            os.write(self.fd, f"{message}\n".encode())
        except BlockingIOError:
            pass  # the pipe is full because the supervisor does not read it
        except OSError:
            # The supervisor has exited, so no process would restart this worker.
            os.kill(os.getpid(), signal.SIGTERM)

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled, once the driver is attached."""
        while True:
            await asyncio.sleep(self.interval_s)
            if self.driver is not None:
                self.write_message(encode_heartbeat(self.driver.get_overdue_ms()))


def follow_plans(settings: str, driver: Driver) -> PlanVersionLookup:
    """Follow the feed of plans and return a lookup of the versions in force. Raises ConfigError."""
    from roadpulley.checks import ValidationError
    from roadpulley.plans.feed_watcher import FeedWatcher
    from roadpulley.plans.settings import read_settings

    try:
        plans_settings = read_settings(Path(settings))
    except ValidationError as error:
        raise ConfigError(str(error)) from error
    watcher = FeedWatcher(plans_settings.feed, plans_settings.poll_interval_ms, driver, driver.timers)
    watcher.poll()
    return watcher.follower.get_versions


def start_metering(settings: str, name: str, driver: Driver, versions: PlanVersionLookup | None) -> Meter:
    """Meter forwarded requests from now on. Raises ConfigError."""
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
    """Connect to the fleet instance on this machine. Raises ConfigError."""
    from roadpulley.fleet.agent_link import AgentLink

    agent_link = AgentLink(Path(socket_path))
    try:
        await agent_link.open()
    except OSError as error:
        raise ConfigError(f"{socket_path}: {error}") from error
    return agent_link


def use_fleet(agent_link: AgentLink, driver: Driver) -> OrderClient | None:
    """Use the services of the fleet that the environment variables of the supervisor enable.

    Return the follower of operators' orders, if there is one.
    """
    if fleet_rights := os.environ.get(RIGHTS_ENV):
        from roadpulley.fleet.orders.client import LimitSpender
        from roadpulley.fleet.orders.even_shares import EvenShares
        from roadpulley.fleet.rights.client import RightsClient

        even_shares = EvenShares(1.0 - json.loads(fleet_rights)["part"], driver.settings.gateways)
        driver.rights = LimitSpender(RightsClient(agent_link), even_shares)
    if interval_s := os.environ.get(VERDICT_INTERVAL_ENV):
        from roadpulley.fleet.verdicts.client import VerdictClient

        driver.attempt_observer = VerdictClient(agent_link, driver, float(interval_s))
    if os.environ.get(COUNTER_ENV):
        from roadpulley.fleet.counts.client import ReplicatedCounter

        driver.counter = ReplicatedCounter(agent_link, driver.timers, driver.settings.counter_timeout)
    if follower_settings := os.environ.get(ORDERS_ENV):
        return follow_orders(agent_link, driver, json.loads(follower_settings))
    return None


def follow_orders(agent_link: AgentLink, driver: Driver, follower_settings: dict[str, Any]) -> OrderClient:
    """Apply operators' orders to the driver and its rights from now on."""
    from roadpulley.fleet.orders.client import LimitSpender, OrderClient, to_orders_changed
    from roadpulley.fleet.orders.follower import FollowerSettings
    from roadpulley.fleet.orders.messages import Order

    def handle_orders_changed(orders: tuple[Order, ...]) -> None:
        if isinstance(driver.rights, LimitSpender):
            driver.rights.set_orders(orders)
        driver.handle_event(to_orders_changed(orders))

    return OrderClient(agent_link, FollowerSettings(**follower_settings), handle_orders_changed)


async def run() -> None:
    """Serve until SIGTERM or SIGINT. Raises ConfigError."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)  # only the supervisor handles SIGHUP
    config = load_gateway_config()
    meters: list[Meter] = []
    order_client: OrderClient | None = None
    agent_link = await connect_agent(path) if (path := os.environ.get(AGENT_SOCKET_ENV)) else None
    heartbeat = Heartbeat(int(os.environ["ROADPULLEY_BEAT_FD"]), float(os.environ["ROADPULLEY_BEAT_S"]))
    heartbeat_task = loop.create_task(heartbeat.send_heartbeats())

    def attach(driver: Driver) -> None:
        nonlocal order_client
        heartbeat.driver = driver
        if agent_link is not None:
            order_client = use_fleet(agent_link, driver)
        plans, usage = os.environ.get("ROADPULLEY_PLANS"), os.environ.get("ROADPULLEY_USAGE")
        versions = follow_plans(plans, driver) if plans else None
        if usage:
            meters.append(
                start_metering(usage, f"{config.name}.{os.environ['ROADPULLEY_WORKER']}", driver, versions)
            )

    async def wait_for_state() -> None:
        if order_client is not None:
            await order_client.wait_for_book()

    listener = socket.socket(fileno=int(os.environ["ROADPULLEY_LISTEN_FD"]))
    await serve(
        config,
        stop,
        ready=lambda port: heartbeat.write_message(f"serves {port}"),
        attach=attach,
        listener=listener,
        closing=lambda: heartbeat.write_message("closes"),
        finishing=lambda value_count: heartbeat.write_message(f"values {value_count}"),
        wait_for_state=wait_for_state,
    )
    for meter in meters:
        await meter.close()
    if agent_link is not None:
        agent_link.close()
    heartbeat_task.cancel()


def main() -> int:
    """Run a worker and return its exit code: 0 after a stop, 2 for an invalid configuration."""
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
