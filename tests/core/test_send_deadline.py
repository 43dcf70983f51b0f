"""The last byte of a repeat leaves before its window ends, or never: an effect must not run twice."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from loopback import LOCAL, SETTINGS, Backend, Reply, World, encode, in_loop, request, running, until
from test_backends import SERVED, pool

from mintford.interface import BackendState, Outcome
from roadpulley.core.backends import BackendPools
from roadpulley.core.clock import now_ms
from roadpulley.core.connection import Attempt
from roadpulley.core.outcomes import EndReason

BODY = memoryview(bytes(4 * 1024 * 1024) + b"\r\n")
HEAD = encode(*request(name=b"keyed", body=b""))
WINDOW_MS = 150.0
RECEIVE_BUFFER_BYTES = 64 * 1024
SHORT_BODY = memoryview(bytes(RECEIVE_BUFFER_BYTES * 8) + b"\r\n")  # the kernel would take all of it


class SlowPeer:
    """A backend that takes bytes only when the test reads them, over segments as of a usual link."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.listener.bind((LOCAL, 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.received = 0
        self.connection: socket.socket | None = None

    async def accept(self) -> None:
        self.connection, _ = await asyncio.get_running_loop().sock_accept(self.listener)

    async def read(self, count: int) -> bool:
        """Read up to `count` bytes; returns whether more may come."""
        assert self.connection is not None
        try:
            piece = await asyncio.get_running_loop().sock_recv(self.connection, count)
        except ConnectionResetError:
            return False
        self.received += len(piece)
        return bool(piece)

    async def read_to_end(self) -> int:
        while await self.read(1024 * 1024):
            pass
        return self.received

    def answer(self) -> None:
        assert self.connection is not None
        self.connection.send(SERVED)

    def close_connection(self) -> None:
        """End the connection, and forget what came on it."""
        assert self.connection is not None
        self.connection.close()
        self.connection, self.received = None, 0

    def close(self) -> None:
        for each in (self.listener, self.connection):
            if each is not None:
                each.close()


class Play:
    """One attempt with a long body at a peer that reads slowly."""

    def __init__(self, pools: BackendPools, latest_ms: float = WINDOW_MS) -> None:
        self.peer, self.pools = SlowPeer(), pools
        self.outcomes: list[Outcome] = []
        self.attempt = Attempt(0, lambda _: HEAD, now_ms() + 5_000, self.on_end, ("id", 1), body=BODY)
        self.attempt.latest_send_at = now_ms() + latest_ms
        self.size = len(HEAD) + len(BODY)
        pools.update(0, (LOCAL, self.peer.port), BackendState.READY)

    def on_end(self, attempt: Attempt, outcome: Outcome, value: bytes) -> None:
        self.outcomes.append(outcome)

    async def start(self) -> None:
        self.pools.send(self.attempt)
        await self.peer.accept()


def run_play(scenario: Callable[[Play], Awaitable[None]], **given: float) -> None:
    async def play() -> None:
        async with pool() as pools:
            played = Play(pools, **given)
            try:
                await scenario(played)
            finally:
                played.peer.close()

    in_loop(play)


def test_a_repeat_is_ended_at_its_window_while_its_peer_reads_slowly() -> None:
    """Guards against an effect that runs twice, as the last byte of its repeat comes after the window."""

    async def scenario(play: Play) -> None:
        await play.start()
        while not play.outcomes and await play.peer.read(8_000):
            await asyncio.sleep(0.002)
        assert play.outcomes == [Outcome.IGNORED]  # it certainly never ran
        assert 0 <= now_ms() - play.attempt.latest_send_at < 100
        assert await play.peer.read_to_end() < play.size

    run_play(scenario)


def test_a_repeat_is_not_continued_after_a_pause_of_the_process_across_its_window() -> None:
    """The loop reports the socket as writable before any timer is due."""

    async def scenario(play: Play) -> None:
        await play.start()
        await until(lambda: play.attempt.connection is not None and play.attempt.connection.unsent)
        await play.peer.read(RECEIVE_BUFFER_BYTES)
        time.sleep(WINDOW_MS / 1000 + 0.05)  # this process stands still, and the gateway with it
        assert await play.peer.read_to_end() < play.size
        assert play.outcomes == [Outcome.IGNORED]

    run_play(scenario)


def test_bytes_that_the_kernel_holds_at_the_end_of_the_window_never_reach_the_peer() -> None:
    """The last byte has left the process, and its peer takes no more until the window is over."""

    async def scenario(play: Play) -> None:
        play.attempt.body, play.attempt.latest_send_at = SHORT_BODY, float("inf")
        await play.start()
        connection = play.attempt.connection
        assert connection is not None
        await until(lambda: not connection.unsent and connection.has_unsent_in_kernel())
        play.attempt.limit_sending(now_ms() + WINDOW_MS)
        await until(lambda: play.outcomes)
        assert play.outcomes == [Outcome.CANCELLED]  # it may have run, as far as this process knows
        assert await play.peer.read_to_end() < len(HEAD) + len(SHORT_BODY)

    run_play(scenario)


def test_the_last_bytes_of_a_repeat_stay_in_the_process_until_the_peer_takes_those_before() -> None:
    """A kernel that has all of them sends them when the peer reads, also while this process is suspended."""

    async def scenario(play: Play) -> None:
        play.attempt.body = SHORT_BODY
        await play.start()
        connection = play.attempt.connection
        assert connection is not None
        await until(connection.has_unsent_in_kernel)
        assert len(connection.unsent) > len(SHORT_BODY) // 2

    run_play(scenario, latest_ms=1_000.0)


def test_a_repeat_that_came_whole_in_time_is_answered_after_its_window() -> None:
    async def scenario(play: Play) -> None:
        await play.start()
        while play.peer.received < play.size:
            await play.peer.read(1024 * 1024)
        await asyncio.sleep((play.attempt.latest_send_at - now_ms()) / 1000 + 0.05)
        assert not play.outcomes
        play.peer.answer()
        await until(lambda: play.outcomes)
        assert play.outcomes == [Outcome.OK]

    run_play(scenario, latest_ms=1_000.0)


def test_an_attempt_is_limited_by_the_window_of_a_later_one() -> None:
    """Guards against a first attempt that comes whole after the group has forgotten the second one."""

    async def scenario(play: Play) -> None:
        play.attempt.latest_send_at = float("inf")
        await play.start()
        await until(lambda: play.attempt.connection is not None and play.attempt.connection.unsent)
        play.attempt.limit_sending(now_ms() + WINDOW_MS)
        await until(lambda: play.outcomes)
        assert play.outcomes == [Outcome.IGNORED]
        assert await play.peer.read_to_end() < play.size

    run_play(scenario)


@pytest.mark.parametrize("reason", [EndReason.ABANDONED, EndReason.ATTEMPT_TIMEOUT])
def test_an_attempt_that_is_given_up_is_not_sent_on_by_the_kernel(reason: EndReason) -> None:
    """Guards against a backend that begins a request which was given up, and its repeat with it."""

    async def scenario(play: Play) -> None:
        play.attempt.body, play.attempt.latest_send_at = SHORT_BODY, float("inf")
        await play.start()
        connection = play.attempt.connection
        assert connection is not None
        await until(lambda: not connection.unsent and connection.has_unsent_in_kernel())
        play.pools.cancel_attempt(play.attempt, reason)
        assert await play.peer.read_to_end() < len(HEAD) + len(SHORT_BODY)

    run_play(scenario)


def test_a_keyed_request_does_not_run_again_at_a_backend_that_reads_its_repeat_slowly() -> None:
    """The whole gateway: the first backend runs the request and resets, the second reads past the window."""

    class ShortWindow(World):
        def config(self) -> dict[str, Any]:
            view, keyed, wipe = SETTINGS["classes"]
            keyed = {**keyed, "repeatWindow": 400.0, "group": "all"}
            return {**super().config(), "settings": {**SETTINGS, "classes": [view, keyed, wipe]}}

        def hosts(self) -> list[dict[str, Any]]:
            hosts = super().hosts()
            hosts[1]["dial"] = f"{LOCAL}:{slow.port}"
            return hosts

    slow = SlowPeer()

    async def scenario() -> None:
        runs: list[list[bytes]] = []

        async def script(command: list[bytes]) -> Reply:
            runs.append(command)
            return b""  # the connection ends without an answer

        async with running(ShortWindow(Backend(script), Backend())) as world:
            accepted = asyncio.create_task(slow.accept())
            while not runs:  # the first attempt of a request may go to either
                peer = await world.client()
                verb, customer, id, attributes, body = request(b"k1", name=b"keyed", body=bytes(BODY[:-2]))
                peer.send(verb, customer, id, attributes + b",k=k1", body)
                await until(lambda: runs or slow.connection is not None)
                if not runs:
                    peer.close()
                    await accepted
                    slow.close_connection()
                    accepted = asyncio.create_task(slow.accept())
            await accepted
            began = now_ms()
            answer = asyncio.create_task(peer.receive())
            while await slow.read(8_000):
                await asyncio.sleep(0.001)
            assert slow.received < len(BODY) and now_ms() - began < 450
            assert "BUSY" in str(await answer) or "ERR failed" in str(await answer)
            assert len(runs) == 1

    try:
        in_loop(scenario)
    finally:
        slow.close()
