"""Disconnected clients: no attempt begins for them, and the resources that they held are released.

A client writes and disconnects in one iteration of the event loop, or while its connection is not read, so
that only the kernel knows of it. `how`: a close, a reset, or a close behind bytes that the gateway does not
read yet.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from loopback import LOCAL, Backend, Reply, World, encode, in_loop, request, running, server_seen, until

from mintford import interface as api
from roadpulley.core import driver as driver_module
from roadpulley.core.backends import REUSE_DELAY_MS
from roadpulley.core.driver import Driver
from roadpulley.edges import connection, resp_server
from roadpulley.edges.connection import ClientConnection
from roadpulley.edges.resp_server import RespServer
from roadpulley.testbed.counter import Counter

SERVED = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
HOW = ["closed", "reset", "closed behind bytes"]


class DisconnectingClient:
    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection((LOCAL, port))

    def write(self, data: bytes) -> None:
        self.socket.sendall(data)

    def disconnect(self, how: str) -> None:
        if how == "reset":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if how == "closed behind bytes":
            self.write(b"*")
        self.socket.close()


class Scene:
    def __init__(self, world: World, server: RespServer, driver: Driver) -> None:
        self.world, self.server, self.driver = world, server, driver

    async def wait_for_connection(self) -> ClientConnection:
        await until(lambda: self.server.connections)
        (found,) = self.server.connections
        return found

    def has_released_everything(self) -> bool:
        attempts, held = self.driver.gateway.attempts, self.server.body_budget.reserved
        out = [b.open_attempts for b in self.driver.gateway.fleet.backends.values()]
        customers = [c.open_attempts for c in self.driver.gateway.quotas.customers.values()]
        return not (
            self.server.connections
            or self.driver.requests
            or self.driver.attempts
            or attempts.requests
            or attempts.in_flight
            or any(out)
            or any(customers)
            or held
        )


def run_scenario(
    scenario: Callable[[Scene], Awaitable[None]], *backends: Backend, counter: Counter | None = None
) -> None:
    async def run() -> None:
        drivers: list[Driver] = []
        with server_seen() as seen:
            world = World(*(backends or (Backend(),)), counter=counter)
            async with running(world, attach=drivers.append):
                await scenario(Scene(world, seen[0], drivers[0]))

    in_loop(run)


def encode_keyed(id: bytes, body: bytes | None = None) -> bytes:
    verb, customer, _, listed, *rest = request(id, name=b"keyed", body=body)
    return encode(verb, customer, id, listed + b",k=" + id, *rest)


async def silent(command: list[bytes]) -> Reply:
    return None


# ---- before an attempt ----


@pytest.mark.parametrize("how", HOW)
def test_a_request_that_waited_for_the_counter_is_not_forwarded_after_a_disconnect(how: str) -> None:
    """The client connection is blocked, so it is not read when the counter call times out.

    An idle backend connection is ready, so an attempt would be sent at once.
    """

    async def scenario(scene: Scene) -> None:
        warm = await scene.world.client()
        assert await scene.world.ask(warm, customer=b"%016x" % 7) == b"value"
        warm.close()
        await until(lambda: not scene.server.connections)
        await asyncio.sleep(2 * REUSE_DELAY_MS / 1000)
        client = DisconnectingClient(scene.world.port)
        client.write(encode(*request(b"waits", plan=b"basic")))
        accepted = await scene.wait_for_connection()
        await until(lambda: scene.driver.requests)
        assert not scene.driver.attempts
        accepted.pending_bytes = connection.MAX_PENDING_COMMAND_BYTES + 1
        accepted._update_reading()
        client.disconnect(how)
        await until(scene.has_released_everything)
        assert len(scene.world.backends[0].got) == 1

    run_scenario(scenario, counter=Counter(silent))


@pytest.mark.parametrize("how", HOW)
@pytest.mark.parametrize("blocked_by", ["pipelined", "held"])
def test_no_further_attempt_begins_after_a_disconnect_that_was_not_read(how: str, blocked_by: str) -> None:
    """The first backend closes its connection after the client disconnected; a retry would be wasted."""
    go_on = asyncio.Event()

    async def hangs_up(command: list[bytes]) -> Reply:
        await go_on.wait()
        return b""

    async def scenario(scene: Scene) -> None:
        client = DisconnectingClient(scene.world.port)
        if blocked_by == "pipelined":
            client.write(
                b"".join(encode(*request(b"%d" % n)) for n in range(2 * connection.MAX_PENDING_COMMANDS))
            )
        else:
            client.write(b"".join(encode_keyed(b"%d" % n, b"x" * 60_000) for n in range(4)))
        accepted = await scene.wait_for_connection()
        await until(lambda: accepted.slots and not accepted.is_reading and not scene.driver.is_handling)
        await until(lambda: sum(len(b.got) for b in scene.world.backends) == len(scene.driver.attempts))
        before = [len(b.got) for b in scene.world.backends]
        client.disconnect(how)
        go_on.set()  # attempts fail from here on
        await until(scene.has_released_everything)
        assert [len(b.got) for b in scene.world.backends] == before

    run_scenario(scenario, Backend(hangs_up), Backend(hangs_up))


@pytest.mark.parametrize("how", HOW)
def test_nothing_is_sent_for_a_client_that_disconnected_while_the_loop_was_late(how: str) -> None:
    """Its command and its end are both in the kernel, and the command is read first."""

    async def scenario(scene: Scene) -> None:
        client = DisconnectingClient(scene.world.port)
        accepted = await scene.wait_for_connection()
        client.write(encode(*request(b"late")))
        client.disconnect(how)
        scene.driver.next_lag_check_at = driver_module.now_ms() - 150  # the event loop seems this late
        accepted._on_readable()
        assert not scene.driver.attempts and not scene.driver.requests
        await until(scene.has_released_everything)
        assert not scene.world.backends[0].got

    run_scenario(scenario)


# ---- while an attempt waits for its backend connection ----


@pytest.mark.parametrize("how", HOW)
def test_a_new_backend_connection_sends_nothing_for_a_disconnected_client(how: str) -> None:
    async def scenario(scene: Scene) -> None:
        client = DisconnectingClient(scene.world.port)
        accepted = await scene.wait_for_connection()
        client.write(encode(*request(b"late")))
        accepted._on_readable()  # the attempt begins: its backend connection is being established
        assert scene.driver.attempts
        # The end is not read before that connection is established.
        scene.server.loop.remove_reader(accepted.fd)
        client.disconnect(how)
        await until(scene.has_released_everything)
        assert not scene.world.backends[0].got
        assert not scene.driver.backends.connections

    run_scenario(scenario)


# ---- released resources ----


@pytest.mark.parametrize("how", HOW)
def test_resources_of_a_blocked_client_are_released_without_any_event(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nothing is read and nothing answered: only the sweep queries the kernel."""
    monkeypatch.setattr(resp_server, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario(scene: Scene) -> None:
        client = DisconnectingClient(scene.world.port)
        count = 2 * connection.MAX_PENDING_COMMANDS
        client.write(b"".join(encode(*request(b"%d" % n)) for n in range(count)))
        accepted = await scene.wait_for_connection()
        await until(lambda: accepted.slots and not accepted.is_reading)
        client.disconnect(how)
        await until(scene.has_released_everything)

    run_scenario(scenario, Backend(silent))


@pytest.mark.parametrize("how", HOW)
def test_a_pending_memory_request_of_a_disconnected_client_is_withdrawn(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(resp_server, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario(scene: Scene) -> None:
        scene.server.body_budget.reserved = scene.server.body_budget.capacity  # reserved by others
        client = DisconnectingClient(scene.world.port)
        client.write(encode_keyed(b"long", b"x" * 100_000)[:400])
        accepted = await scene.wait_for_connection()
        await until(lambda: accepted.reader.wanted_body_bytes)
        client.disconnect(how)
        await until(lambda: not scene.server.connections)
        assert not scene.server.body_budget.waiters
        scene.server.body_budget.reserved = 0

    run_scenario(scenario)


def test_an_attempt_sent_after_its_request_ended_is_ended_under_its_own_number() -> None:
    """Under another number the decision module would count it as open for ever, for backend and customer."""

    async def scenario(scene: Scene) -> None:
        client = DisconnectingClient(scene.world.port)
        client.write(encode(*request(b"gone")))
        await until(lambda: scene.driver.attempts)
        owner = scene.driver.requests["gone"]
        # The client disconnects while the decision module sends the request again; the send is executed after
        # that.
        scene.driver.is_handling = True
        client.disconnect("closed")
        scene.driver.on_client_gone("gone")
        scene.driver.is_handling = False
        gateway: Any = scene.driver.gateway
        request_ = gateway.attempts.requests.get("gone")
        out: list[api.Action] = []
        other = gateway.fleet.backends[list(gateway.fleet.backends)[1]]
        gateway.attempts.send(driver_module.now_ms(), request_, other, out)
        assert owner.attempt_count == 1 and [a.attempt for a in out if isinstance(a, api.Send)] == [1]
        for action in out:
            scene.driver.action_handlers[type(action)](action)
        await until(scene.has_released_everything)

    run_scenario(scenario, Backend(silent), Backend(silent))
