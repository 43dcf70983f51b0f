"""Clients that have left: no attempt begins for them, however hidden that is, and what they held comes back.

A client writes and leaves in one turn of the loop, or while its connection is not read, so that only the
kernel knows of it; `how` is a close, a reset, or a close behind bytes that must wait.
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


class Leaver:
    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection((LOCAL, port))

    def write(self, data: bytes) -> None:
        self.socket.sendall(data)

    def leave(self, how: str) -> None:
        if how == "reset":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if how == "closed behind bytes":
            self.write(b"*")
        self.socket.close()


class Scene:
    def __init__(self, world: World, server: RespServer, driver: Driver) -> None:
        self.world, self.server, self.driver = world, server, driver

    async def one(self) -> ClientConnection:
        await until(lambda: self.server.connections)
        (found,) = self.server.connections
        return found

    def nothing_is_held(self) -> bool:
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


def played(
    scenario: Callable[[Scene], Awaitable[None]], *backends: Backend, counter: Counter | None = None
) -> None:
    async def run() -> None:
        drivers: list[Driver] = []
        with server_seen() as seen:
            world = World(*(backends or (Backend(),)), counter=counter)
            async with running(world, attach=drivers.append):
                await scenario(Scene(world, seen[0], drivers[0]))

    in_loop(run)


def keyed(id: bytes, body: bytes | None = None) -> bytes:
    verb, customer, _, listed, *rest = request(id, name=b"keyed", body=body)
    return encode(verb, customer, id, listed + b",k=" + id, *rest)


async def silent(command: list[bytes]) -> Reply:
    return None


# ---- before the first attempt ----


@pytest.mark.parametrize("how", HOW)
def test_a_request_that_waits_for_the_counter_is_not_sent_on_after_its_client_left(how: str) -> None:
    """Its connection is stuck, and so not read, as the counter's time is up; its backend has an idle one."""

    async def scenario(scene: Scene) -> None:
        warm = await scene.world.client()
        assert await scene.world.ask(warm, customer=b"%016x" % 7) == b"value"
        warm.close()
        await until(lambda: not scene.server.connections)
        await asyncio.sleep(2 * REUSE_DELAY_MS / 1000)
        client = Leaver(scene.world.port)
        client.write(encode(*request(b"waits", plan=b"basic")))
        one = await scene.one()
        await until(lambda: scene.driver.requests)
        assert not scene.driver.attempts
        one.pending_bytes = connection.MAX_PENDING_COMMAND_BYTES + 1
        one._update_reading()
        client.leave(how)
        await until(scene.nothing_is_held)
        assert len(scene.world.backends[0].got) == 1

    played(scenario, counter=Counter(silent))


@pytest.mark.parametrize("how", HOW)
@pytest.mark.parametrize("stuck", ["pipelined", "held"])
def test_a_further_attempt_is_not_sent_for_a_client_that_left_unread(how: str, stuck: str) -> None:
    """The first backend hangs up once the client has gone: the next attempt would be for nobody."""
    go_on = asyncio.Event()

    async def hangs_up(command: list[bytes]) -> Reply:
        await go_on.wait()
        return b""

    async def scenario(scene: Scene) -> None:
        client = Leaver(scene.world.port)
        if stuck == "pipelined":
            client.write(
                b"".join(encode(*request(b"%d" % n)) for n in range(2 * connection.MAX_PENDING_COMMANDS))
            )
        else:
            client.write(b"".join(keyed(b"%d" % n, b"x" * 60_000) for n in range(4)))
        one = await scene.one()
        await until(lambda: one.slots and not one.is_reading and not scene.driver.is_handling)
        await until(lambda: sum(len(b.got) for b in scene.world.backends) == len(scene.driver.attempts))
        before = [len(b.got) for b in scene.world.backends]
        client.leave(how)
        go_on.set()  # attempts fail from here on
        await until(scene.nothing_is_held)
        assert [len(b.got) for b in scene.world.backends] == before

    played(scenario, Backend(hangs_up), Backend(hangs_up))


@pytest.mark.parametrize("how", HOW)
def test_nothing_is_sent_for_a_client_that_left_while_the_loop_stood_still(how: str) -> None:
    """Its command and its end lie in the kernel together, and the command is read first."""

    async def scenario(scene: Scene) -> None:
        client = Leaver(scene.world.port)
        one = await scene.one()
        client.write(encode(*request(b"late")))
        client.leave(how)
        scene.driver.next_lag_check_at = driver_module.now_ms() - 150  # the loop is late by so much
        one._on_readable()
        assert not scene.driver.attempts and not scene.driver.requests
        await until(scene.nothing_is_held)
        assert not scene.world.backends[0].got

    played(scenario)


# ---- while an attempt waits for its connection ----


@pytest.mark.parametrize("how", HOW)
def test_a_connection_that_comes_up_late_carries_nothing_for_a_client_that_left(how: str) -> None:
    async def scenario(scene: Scene) -> None:
        client = Leaver(scene.world.port)
        one = await scene.one()
        client.write(encode(*request(b"late")))
        one._on_readable()  # it is sent on in this call: the connection to the backend is under way
        assert scene.driver.attempts
        scene.server.loop.remove_reader(one.fd)  # its end is not seen by the loop before that is up
        client.leave(how)
        await until(scene.nothing_is_held)
        assert not scene.world.backends[0].got
        assert not scene.driver.backends.connections

    played(scenario)


# ---- what it held ----


@pytest.mark.parametrize("how", HOW)
def test_what_a_stuck_client_held_comes_back_without_any_event(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nothing is read, nothing answered: only the sweep asks the kernel."""
    monkeypatch.setattr(resp_server, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario(scene: Scene) -> None:
        client = Leaver(scene.world.port)
        count = 2 * connection.MAX_PENDING_COMMANDS
        client.write(b"".join(encode(*request(b"%d" % n)) for n in range(count)))
        one = await scene.one()
        await until(lambda: one.slots and not one.is_reading)
        client.leave(how)
        await until(scene.nothing_is_held)

    played(scenario, Backend(silent))


@pytest.mark.parametrize("how", HOW)
def test_the_wish_for_room_of_a_client_that_left_goes_with_it(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(resp_server, "SWEEP_INTERVAL_MS", 10.0)

    async def scenario(scene: Scene) -> None:
        scene.server.body_budget.reserved = scene.server.body_budget.capacity  # by others
        client = Leaver(scene.world.port)
        client.write(keyed(b"long", b"x" * 100_000)[:400])
        one = await scene.one()
        await until(lambda: one.reader.wanted_body_bytes)
        client.leave(how)
        await until(lambda: not scene.server.connections)
        assert not scene.server.body_budget.waiters
        scene.server.body_budget.reserved = 0

    played(scenario)


def test_an_attempt_of_a_request_that_has_gone_ends_under_its_own_number() -> None:
    """Under another one the module would count it as out for ever, at its backend and for its customer."""

    async def scenario(scene: Scene) -> None:
        client = Leaver(scene.world.port)
        client.write(encode(*request(b"gone")))
        await until(lambda: scene.driver.attempts)
        owner = scene.driver.requests["gone"]
        # Its client leaves in the turn in which the module sends it again: the send is acted on after that.
        scene.driver.is_handling = True
        client.leave("closed")
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
        await until(scene.nothing_is_held)

    played(scenario, Backend(silent), Backend(silent))
