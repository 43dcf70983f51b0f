"""Drains and figures on sockets: a gateway in the loop, clients, and an operator."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import Counter as Tally

import pytest
from loopback import LOCAL, Backend, Peer, Reply, World, encode, in_loop, request, running, server_seen, until

from roadpulley.edges import connection, resp_server
from roadpulley.edges.resp_server import RespServer
from roadpulley.operations import operator_server
from roadpulley.operations.controller import OUTCOMES


def free_port() -> int:
    with socket.create_server((LOCAL, 0)) as free:
        return int(free.getsockname()[1])


class Operated(World):
    """A world whose gateway has an operators' address."""

    def __init__(self, *backends: Backend) -> None:
        super().__init__(*backends)
        self.admin = free_port()

    def config(self) -> dict[str, object]:
        return {**super().config(), "admin": f"{LOCAL}:{self.admin}"}

    async def call(self, line: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(LOCAL, self.admin)
        writer.write(line + b"\n")
        try:
            return await reader.read()
        finally:
            writer.close()

    async def figures(self) -> dict[str, int]:
        *lines, end = (await self.call(b"METRICS")).decode().split()
        assert end == "END"
        return {name.removeprefix("edge_lb."): int(value) for name, value in (x.split("=") for x in lines)}


class Gate:
    """A backend's script that answers while it is open."""

    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.reply: bytes = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"

    async def __call__(self, command: list[bytes]) -> Reply:
        await self.open.wait()
        return self.reply


def test_a_paused_gateway_says_no_serves_the_last_moments_and_closes_what_rests() -> None:
    async def scenario() -> None:
        gate = Gate()
        async with running(Operated(Backend(gate))) as world:
            busy, idle, front = [await world.client() for _ in range(3)]
            for peer in (busy, idle, front):
                peer.send(b"PING")
                assert await peer.receive() == b"PONG"
            busy.send(*request(b"open", name=b"wipe"))
            await until(lambda: world.backends[0].got)
            assert await world.call(b"PAUSE") == b"OK paused\n"
            assert await world.call(b"STATUS") == b"ERR paused\n"
            assert await idle.receive() is None
            late = await world.client()
            late.send(b"PING")
            assert "takes no clients" in str(await late.receive())
            assert await late.receive() is None
            last = await world.client()
            last.send(*request(b"last"))
            await until(lambda: len(world.backends[0].got) == 2)
            gate.open.set()
            assert await busy.receive() == b"value" and await busy.receive() is None
            assert await last.receive() == b"value" and await last.receive() is None

    in_loop(scenario)


def test_a_resume_takes_clients_at_once_and_calls_that_repeat_are_harmless() -> None:
    async def scenario() -> None:
        async with running(Operated(Backend())) as world:
            for _ in range(2):
                assert await world.call(b"PAUSE") == b"OK paused\n"
            for _ in range(2):
                assert await world.call(b"RESUME") == b"OK serving\n"
            peer = await world.client()
            assert await world.ask(peer) == b"value"
            peer.send(b"PING")  # the connection is kept again
            assert await peer.receive() == b"PONG"

    in_loop(scenario)


def test_what_comes_long_after_a_pause_is_refused_by_the_module(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("roadpulley.operations.lifecycle.PAUSE_NOTICE_MS", 0.0)

    async def scenario() -> None:
        async with running(Operated(Backend())) as world:
            await world.call(b"PAUSE")
            peer = await world.client()
            assert str(await world.ask(peer)).startswith("BUSY")
            assert await peer.receive() is None
            assert not world.backends[0].got

    in_loop(scenario)


def test_a_command_that_has_begun_to_come_is_waited_for_in_a_drain() -> None:
    """Closed in its middle it would be turned back unheard."""

    async def scenario() -> None:
        async with running(Operated(Backend())) as world:
            peer = await world.client()
            assert await world.ask(peer) == b"value"
            peer.writer.write(b"*4\r\n$8\r\nAPI.")
            await peer.writer.drain()
            other = await world.client()
            assert await world.ask(other, id=b"other") == b"value"  # what was written before it has come
            await world.call(b"PAUSE")
            assert await other.receive() is None
            rest = b"READ\r\n$16\r\n00000000b4d65521\r\n$4\r\nlate\r\n"
            listed = request()[3]
            peer.writer.write(rest + b"$%d\r\n%b\r\n" % (len(listed), listed))
            assert await peer.receive() == b"value"
            assert await peer.receive() is None

    in_loop(scenario)


def test_figures_are_what_clients_counted() -> None:
    async def scenario() -> None:
        gate = Gate()
        gate.open.set()
        async with running(Operated(Backend(gate))) as world:
            seen: Tally[str] = Tally()
            peer = await world.client()

            async def ask(id: bytes, **given: object) -> None:
                got = await world.ask(peer, id=id, **given)
                seen["served" if got == b"value" else str(got).split()[0]] += 1

            for number in range(5):
                await ask(b"v%d" % number)
            for number in range(4):  # a burst of two
                await ask(b"q%d" % number, plan=b"basic", customer=b"00000000b4d65522")
            await ask(b"unknown", plan=b"gold")
            gate.reply = b"-ERR failed\r\n"
            await ask(b"w", name=b"wipe")
            found = await world.figures()
            view = [found[f"operations.view.{name}"] for name in ("fulfilled", "throttled", "faulted")]
            wipe = [found[f"operations.wipe.{name}"] for name in ("fulfilled", "throttled", "faulted")]
            assert view == [seen["served"], seen["BUSY"], 1] and wipe == [0, 0, 1]
            # How many of the four the quota pays for hangs on the counter's time; each is counted either way.
            assert seen.total() == 11 and seen["ERR"] == 2 and seen["BUSY"] > 0
            assert seen["served"] + 1 == found["relayed"]  # and the one that failed
            assert found["relayed"] == len(world.backends[0].got) and found["open_requests"] == 0
            assert found["registry_entries"] == 1 and found["cfg_accepted"] == found["cfg_invalid"] == 0

    in_loop(scenario)


def test_callers_that_never_finish_do_not_keep_others_out() -> None:
    async def scenario() -> None:
        async with running(Operated(Backend())) as world:
            silent = [await asyncio.open_connection(LOCAL, world.admin) for _ in range(40)]
            silent[0][1].write(b"STAT")
            assert await world.call(b"STATUS") == b"OK serving\n"
            assert (await world.call(b"x" * 5000)).startswith(b"ERR unknown call; the calls are STATUS")
            for _, writer in silent:
                writer.close()
            assert len(silent) > operator_server.MAX_CONNECTIONS

    in_loop(scenario)


def test_what_is_open_and_what_is_avoided_is_asked_when_it_is_read() -> None:
    async def scenario() -> None:
        gate = Gate()
        async with running(Operated(Backend(gate), Backend(gate))) as world:
            peer = await world.client()
            peer.send(*request(name=b"wipe"))
            await until(lambda: world.backends[0].got or world.backends[1].got)
            assert (await world.figures())["open_requests"] == 1
            hosts = world.hosts()
            world.discovery.change(2, {**hosts[0], "health": "draining"})
            while (await world.figures())["out_of_rotation"] != 1:
                pass
            assert (await world.figures())["registry_entries"] == 2
            gate.open.set()
            assert await peer.receive() == b"value"
            assert (await world.figures())["open_requests"] == 0

    in_loop(scenario)


def test_figures_stay_true_when_clients_leave() -> None:
    async def scenario() -> None:
        gate = Gate()
        async with running(Operated(Backend(gate))) as world:
            stays, leaves = await world.client(), await world.client()
            leaves.send(*request(b"leaves", name=b"wipe"))
            await until(lambda: world.backends[0].got)
            leaves.close()
            while (await world.figures())["open_requests"]:
                pass
            gate.open.set()
            assert await world.ask(stays, id=b"stays", name=b"wipe") == b"value"
            found = await world.figures()
            assert found["operations.wipe.fulfilled"] == 1 and found["relayed"] == 2
            assert found["operations.wipe.throttled"] == found["operations.wipe.faulted"] == 0

    in_loop(scenario)


def test_figures_come_in_the_middle_of_a_burst() -> None:
    """A caller is answered before what came with it is worked off, and not after."""

    async def scenario() -> None:
        async with running(Operated(Backend())) as world:
            peers = [await world.client() for _ in range(20)]
            for number, peer in enumerate(peers):
                for serial in range(100):
                    peer.send(*request(b"%d-%d" % (number, serial)))
            answered = 0

            async def drain(peer: Peer) -> None:
                nonlocal answered
                for _ in range(100):
                    assert await peer.receive() is not None
                    answered += 1

            burst = asyncio.gather(*map(drain, peers))
            found = await world.figures()
            # Counted where they are answered: the rest was still to come.
            assert sum(found[f"operations.view.{name}"] for name in OUTCOMES) < 2_000
            await burst
            after = await world.figures()
            assert sum(after[f"operations.view.{name}"] for name in OUTCOMES) == 2_000

    in_loop(scenario)


def test_a_request_that_came_as_its_connection_is_closed_is_served() -> None:
    """It lies unread in the kernel when the drain closes what rests; closed over, it would be turned back."""

    async def scenario() -> None:
        with server_seen() as servers:
            async with running(Operated(Backend())) as world:
                await crosses(world, servers[0])

    async def crosses(world: Operated, server: RespServer) -> None:
        own = socket.create_connection((LOCAL, world.port))
        peer = Peer(*await asyncio.open_connection(sock=own))
        assert await world.ask(peer) == b"value"
        fd = peer.writer.get_extra_info("socket").fileno()
        os.write(fd, encode(*request(b"crosses")))  # past the loop, which has not read it yet
        server.set_admission(answers_ping=False, accepts=True, keeps_idle=False)
        assert await peer.receive() == b"value"
        assert await peer.receive() is None
        peer.close()

    in_loop(scenario)


def test_a_head_in_single_bytes_is_waited_for_as_long_as_a_client_may_take(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert (
        connection.COMMAND_TIMEOUT_MS > 2_000
        and connection.COMMAND_TIMEOUT_MS + 2 * resp_server.SWEEP_INTERVAL_MS < 3_000
    )
    monkeypatch.setattr(connection, "COMMAND_TIMEOUT_MS", 1_500.0)
    monkeypatch.setattr(resp_server, "SWEEP_INTERVAL_MS", 20.0)

    async def scenario() -> None:
        async with running(Operated(Backend())) as world:
            peer = await world.client()
            for byte in encode(*request()):
                peer.writer.write(bytes([byte]))
                await asyncio.sleep(0.002)
            assert await peer.receive() == b"value"
            other = await world.client()
            other.writer.write(b"*4\r\n$8\r\nAPI.")
            assert "protocol error" in str(await other.receive())  # and no longer

    in_loop(scenario)
