"""The state table of the watch, its maximum delays with drawn agents, and the same orders on sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import random
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback import LOCAL, host, in_loop, until

from mintford.interface import ListScope
from roadpulley.core import discovery as module
from roadpulley.core import discovery_watch
from roadpulley.core.clock import now_ms
from roadpulley.core.discovery import DiscoveryError, JsonObjectSplitter, Member
from roadpulley.core.discovery_watch import (
    ANSWER_TIMEOUT_MS,
    BACKOFF_MS,
    CHANGE_DEADLINE_MS,
    SILENCE_TIMEOUT_MS,
    CloseCall,
    DiscoveryWatch,
    OpenCall,
    WatchState,
)

OLD_ADDRESS, NEW_ADDRESS = ("127.0.0.1", 1), ("127.0.0.1", 2)


def create_watch(state: WatchState) -> DiscoveryWatch:
    watch = DiscoveryWatch(OLD_ADDRESS, 41, random.Random(1))
    if state is not WatchState.WAITING:
        watch.on_time(0)
    if state is WatchState.FOLLOWING:
        watch.on_head(0, watch.call_number)
    return watch


# ---- the table ----


@pytest.mark.parametrize("state", WatchState)
def test_every_event_in_every_state(state: WatchState) -> None:
    def after(act: Callable[[DiscoveryWatch], object]) -> tuple[object, WatchState]:
        watch = create_watch(state)
        return act(watch), watch.state

    early = state is WatchState.WAITING
    headed = WatchState.FOLLOWING if state is WatchState.CALLING else state
    assert after(lambda w: w.on_head(1, w.call_number)) == (None, headed)
    assert after(lambda w: w.on_line(1, w.call_number)) == (state is WatchState.FOLLOWING, state)
    ended, now = after(lambda w: w.on_end(1, w.call_number, "reset"))
    assert now is WatchState.WAITING and isinstance(ended, type(None) if early else CloseCall)
    moved, now = after(lambda w: w.on_move(1, NEW_ADDRESS))
    assert now is WatchState.CALLING and isinstance(moved, OpenCall)
    assert (moved.address, moved.version) == (NEW_ADDRESS, None)  # versions of another address may differ
    timed, now = after(lambda w: w.on_time(1e9))
    assert (type(timed), now) == (
        (OpenCall, WatchState.CALLING) if early else (CloseCall, WatchState.WAITING)
    )


@pytest.mark.parametrize("state", [WatchState.CALLING, WatchState.FOLLOWING])
def test_events_of_a_closed_call_change_nothing(state: WatchState) -> None:
    """A line of the old address could otherwise be applied after the move, together with its version."""
    watch = create_watch(state)
    old = watch.call_number
    watch.on_move(5, NEW_ADDRESS)
    was = (watch.state, watch.deadline, watch.version, watch.call_number)
    watch.on_head(6, old)
    assert not watch.on_line(7, old)
    assert watch.on_end(8, old, "reset") is None
    assert (watch.state, watch.deadline, watch.version, watch.call_number) == was
    watch.on_head(9, watch.call_number)  # the new call is being followed
    assert not watch.on_line(10, old) and watch.deadline == 9 + SILENCE_TIMEOUT_MS


def test_the_first_line_of_a_call_takes_effect_from_the_previous_line() -> None:
    """Changes take effect even if no watch is open, and the agent may end a watch without sending them."""
    watch = create_watch(WatchState.FOLLOWING)
    # The process has just started.
    assert watch.on_line(100, watch.call_number) and watch.effective_since == -math.inf
    assert watch.on_line(1_500, watch.call_number) and watch.effective_since == 1_500
    watch.on_end(1_900, watch.call_number, "reset")
    for failed in (2_200, 2_900):  # calls without a line don't make the list more recent
        watch.on_time(failed)
        watch.on_head(failed, watch.call_number)
        watch.on_end(failed, watch.call_number, "ended")
    watch.on_time(3_600)
    watch.on_head(3_600, watch.call_number)
    assert watch.on_line(3_601, watch.call_number) and watch.effective_since == 1_500
    assert watch.on_line(5_000, watch.call_number) and watch.effective_since == 5_000
    watch.on_move(6_000, NEW_ADDRESS)
    watch.on_head(6_001, watch.call_number)
    assert watch.on_line(6_002, watch.call_number) and watch.effective_since == 5_000


def test_a_full_list_is_followed_at_once_and_a_cut_off_one_after_a_pause() -> None:
    for clean, kind in ((True, OpenCall), (False, CloseCall)):
        watch = DiscoveryWatch(OLD_ADDRESS, None, random.Random(1))
        watch.on_time(0)
        watch.on_head(1, watch.call_number)
        assert watch.on_line(1, watch.call_number)
        watch.version = 7
        assert isinstance(watch.on_end(2, watch.call_number, "ended", clean=clean), kind)


# ---- the maximum delays ----


def test_the_maximum_delays_hold_for_the_constants() -> None:
    first, longest = BACKOFF_MS
    assert SILENCE_TIMEOUT_MS + first + ANSWER_TIMEOUT_MS + 2 * first == 5_100
    assert SILENCE_TIMEOUT_MS + ANSWER_TIMEOUT_MS + 2 * longest == 5_700 < CHANGE_DEADLINE_MS
    assert 2 * (ANSWER_TIMEOUT_MS + longest) == 4_200
    assert ANSWER_TIMEOUT_MS + first == 1_700 < 4_000
    assert SILENCE_TIMEOUT_MS > 2_000  # an empty line comes every 2 s


class Agent:
    """An agent in virtual time that is silent until `back`; `broken`: how calls fail after that."""

    def __init__(self, watch: DiscoveryWatch, back: float, broken: list[str]) -> None:
        self.watch, self.back, self.broken = watch, back, broken
        self.updated_at = None  # when the watch was up to date

    def answer(self, now: float, call: int) -> None:
        """Responds to a call that is opened at `now`."""
        if now < self.back:
            return  # never answered, because it was opened during the outage
        how = self.broken.pop() if self.broken else "well"
        if how == "refused":
            self.act(now, self.watch.on_end(now, call, "refused"))
        elif how == "head":
            self.watch.on_head(now, call)
        elif how == "well":
            self.watch.on_head(now, call)
            assert self.watch.on_line(now, call)
            self.updated_at = now

    def act(self, now: float, action: object) -> None:
        if isinstance(action, OpenCall):
            self.answer(now, action.call)

    def run(self, now: float) -> float:
        while self.updated_at is None:
            now = max(now, self.watch.deadline)
            self.act(now, self.watch.on_time(now))
        return self.updated_at


@settings(max_examples=300)
@given(
    seed=st.integers(0, 2**32),
    phase=st.floats(0, 30_000),
    broken=st.sampled_from([[], ["silent"], ["refused"], ["head"], ["refused"] * 2]),
)
def test_after_any_silence_a_change_is_known_in_time(seed: int, phase: float, broken: list[str]) -> None:
    """Calls fail through a silence of any length; the one after the return may fail once more."""
    agent = Agent(DiscoveryWatch(OLD_ADDRESS, 41, random.Random(seed)), phase, list(broken))
    assert agent.run(0) - phase < CHANGE_DEADLINE_MS


@settings(max_examples=300)
@given(
    seed=st.integers(0, 2**32),
    heard=st.floats(0, 10_000),
    broken=st.sampled_from([[], ["silent"], ["refused"], ["head"]]),
)
def test_an_open_watch_that_falls_silent_is_opened_anew_in_time(
    seed: int, heard: float, broken: list[str]
) -> None:
    """Only the watch is dead, in the moment after a line: the agent can be reached all the time."""
    agent = Agent(DiscoveryWatch(OLD_ADDRESS, 41, random.Random(seed)), 0, [])
    assert agent.run(0) == 0
    assert agent.watch.on_line(heard, agent.watch.call_number)
    agent.updated_at, agent.broken = None, list(broken)
    # After a head without a line the second watch became silent too.
    bound = CHANGE_DEADLINE_MS + (SILENCE_TIMEOUT_MS if broken == ["head"] else 0)
    assert agent.run(heard) - heard < bound


def test_only_complete_lines_restart_the_silence_timeout() -> None:
    watch = create_watch(WatchState.FOLLOWING)
    assert watch.on_line(1_000, watch.call_number)
    assert watch.deadline == 1_000 + SILENCE_TIMEOUT_MS
    watch.on_head(2_000, watch.call_number)  # a second one
    assert watch.deadline == 1_000 + SILENCE_TIMEOUT_MS


# ---- objects ----

LIST = {"seq": 7, "whole": True, "hosts": [host('h{"}0\\', 1), host("h1", 2)]}


@pytest.mark.parametrize("indent", [None, 0, 1, 4, "\t"])
@pytest.mark.parametrize("end", [b"\n", b"\r\n"])
@pytest.mark.parametrize("step", [1, 7, 100_000])
def test_objects_are_split_independently_of_their_layout(indent: Any, end: bytes, step: int) -> None:
    text = json.dumps(LIST, indent=indent).encode().replace(b"\n", end)
    stream = end + text + end + end + text + end
    objects, got = JsonObjectSplitter(), list[bytes]()
    for place in range(0, len(stream), step):
        got += objects.feed(stream[place : place + step])
    assert [json.loads(one) if one else None for one in got] == [None, LIST, None, LIST]


def test_only_the_end_of_the_response_completes_the_last_line() -> None:
    text = json.dumps(LIST, indent=1).encode()
    objects = JsonObjectSplitter()
    assert objects.feed(text) == []
    assert [json.loads(one) for one in objects.feed(b"", last=True)] == [LIST]


def test_an_endless_object_raises_discovery_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MAX_OBJECT_BYTES", 1_000)
    for piece in (b"x", b'{"a":\n'):
        objects = JsonObjectSplitter()
        with pytest.raises(DiscoveryError):
            for _ in range(1_001):
                objects.feed(piece)


# ---- on sockets ----

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class AgentCall:
    def __init__(self, target: str, writer: asyncio.StreamWriter) -> None:
        self.target, self.writer = target, writer

    def say(self, data: bytes) -> None:
        if not self.writer.transport.is_closing():
            self.writer.write(data)

    def put(self, data: bytes) -> None:
        """Writes to the socket directly, so that the data is in the kernel before the loop reads it."""
        os.write(self.writer.get_extra_info("socket").fileno(), data)

    def reset(self) -> None:
        raw = self.writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class ScriptedAgent:
    """A fake agent that a test controls byte by byte, and the reports of its client."""

    def __init__(self) -> None:
        self.calls: list[AgentCall] = []
        self.reports: list[tuple[ListScope, list[int]]] = []
        self.since: list[float] = []
        self.ended = 0

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.calls.append(AgentCall(head.split()[1].decode(), writer))
        with contextlib.suppress(ConnectionError):
            await reader.read()
        self.ended += 1
        writer.close()

    def record(self, scope: ListScope, members: tuple[Member, ...], since: float) -> None:
        self.reports.append((scope, [m.address[1] for m in members]))
        self.since.append(since)

    async def called(self, count: int) -> AgentCall:
        await until(lambda: len(self.calls) >= count)
        return self.calls[count - 1]


Scenario = Callable[[ScriptedAgent, module.DiscoveryClient], Awaitable[None]]


def run_scenario(scenario: Scenario, version: int | None = 41) -> None:
    async def run() -> None:
        agent = ScriptedAgent()
        server = await asyncio.start_server(agent.talk, LOCAL, 0)
        port = server.sockets[0].getsockname()[1]
        client = module.DiscoveryClient((LOCAL, port), version, agent.record, random.Random(1))
        task = asyncio.create_task(client.run())
        try:
            await scenario(agent, client)
        finally:
            task.cancel()
            await asyncio.wait({task})
            server.close()

    in_loop(run)


def change(seq: int, port: int, indent: int | None = None, whole: bool = False) -> bytes:
    document = {"seq": seq, "whole": whole, "hosts": [host("h0", port)]}
    return json.dumps(document, indent=indent).encode() + b"\n"


def use_short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_watch, "SILENCE_TIMEOUT_MS", 300.0)
    monkeypatch.setattr(discovery_watch, "ANSWER_TIMEOUT_MS", 300.0)
    monkeypatch.setattr(discovery_watch, "BACKOFF_MS", (1.0, 1.0))


def test_incomplete_lines_do_not_keep_a_watch_alive(monkeypatch: pytest.MonkeyPatch) -> None:
    use_short_timeouts(monkeypatch)

    async def scenario(agent: ScriptedAgent, client: module.DiscoveryClient) -> None:
        call = await agent.called(1)
        call.say(CHUNKED)
        while len(agent.calls) < 2:  # without the timeout this would never end
            call.say(chunk(b" "))
            await asyncio.sleep(0.02)

    run_scenario(scenario)


def test_a_missing_response_head_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_watch, "SILENCE_TIMEOUT_MS", 1e9)
    monkeypatch.setattr(discovery_watch, "ANSWER_TIMEOUT_MS", 50.0)
    monkeypatch.setattr(discovery_watch, "BACKOFF_MS", (1.0, 1.0))

    async def scenario(agent: ScriptedAgent, client: module.DiscoveryClient) -> None:
        await agent.called(2)

    run_scenario(scenario)


def test_an_unread_line_after_a_stall_is_not_a_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After a stall the timers fire immediately, before the loop has read its sockets."""
    use_short_timeouts(monkeypatch)

    async def scenario(agent: ScriptedAgent, client: module.DiscoveryClient) -> None:
        call = await agent.called(1)
        call.say(CHUNKED + chunk(b"\n"))
        await until(lambda: client.initial_list_received.is_set())
        due = client.watch.deadline
        while module.now_ms() < due + 50:
            pass  # blocks the event loop
        call.put(chunk(b"\n"))
        client.on_time()  # the timer, before any socket
        await asyncio.sleep(0.05)
        assert len(agent.calls) == 1 and client.watch.state is WatchState.FOLLOWING

    run_scenario(scenario)


@pytest.mark.parametrize("indent", [None, 2])
def test_changes_are_parsed_independently_of_their_indentation(indent: int | None) -> None:
    async def scenario(agent: ScriptedAgent, client: module.DiscoveryClient) -> None:
        call = await agent.called(1)
        assert call.target == "/catalog/members?stream=1&index=41"
        text = change(42, 1, indent) + b"\n" + change(43, 2, indent)
        call.say(CHUNKED + chunk(text[:50]))
        call.say(chunk(text[50:]))
        await until(lambda: len(agent.reports) == 2)
        assert agent.reports == [(ListScope.CHANGES, [1]), (ListScope.CHANGES, [2])]
        call.reset()
        assert (await agent.called(2)).target.endswith("index=43")

    run_scenario(scenario)


@pytest.mark.parametrize("length", [True, False])
def test_a_full_list_ends_with_its_response_and_is_followed_at_once(
    length: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery_watch, "BACKOFF_MS", (1e9, 1e9))

    async def scenario(agent: ScriptedAgent, client: module.DiscoveryClient) -> None:
        call = await agent.called(1)
        assert call.target == "/catalog/members"
        body = change(7, 1, indent=2, whole=True)[:-1]
        length_header = b"Content-Length: %d\r\n" % len(body) if length else b""
        call.say(b"HTTP/1.1 200 OK\r\n" + length_header + b"\r\n" + body)
        if not length:
            call.writer.write_eof()
        assert (await agent.called(2)).target == "/catalog/members?stream=1&index=7"
        assert agent.reports == [(ListScope.FULL, [1])]

    run_scenario(scenario, version=None)


@pytest.mark.parametrize("cut", [1, 40, -2, -1])
def test_a_list_cut_off_by_a_reset_is_ignored(cut: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Without a content length only an orderly end of the connection completes a response."""
    monkeypatch.setattr(discovery_watch, "BACKOFF_MS", (1.0, 1.0))

    async def scenario(agent: ScriptedAgent, client: module.DiscoveryClient) -> None:
        call = await agent.called(1)
        call.say(b"HTTP/1.1 200 OK\r\n\r\n" + change(7, 1, whole=True)[:cut])
        await until(lambda: client.watch.state is WatchState.FOLLOWING)
        call.reset()
        assert (await agent.called(2)).target == "/catalog/members"
        assert agent.reports == []

    run_scenario(scenario, version=None)


@pytest.mark.parametrize("how", ["before", "middle", "after"])
def test_a_watch_that_is_reset_is_resumed_at_its_version(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """After a complete notice the watch continues behind it; after a part of one it requests it again."""
    monkeypatch.setattr(discovery_watch, "BACKOFF_MS", (1.0, 1.0))

    async def scenario(agent: ScriptedAgent, client: module.DiscoveryClient) -> None:
        call = await agent.called(1)
        line = change(42, 1)
        document = {"before": b"", "middle": chunk(line)[:60], "after": chunk(line)}[how]
        call.say(CHUNKED + document)
        await until(lambda: client.watch.state is WatchState.FOLLOWING)
        if how == "after":
            await until(lambda: agent.reports)
        call.reset()
        again = await agent.called(2)
        assert again.target.endswith("index=42" if how == "after" else "index=41")
        again.say(CHUNKED + chunk(change(42, 1)))
        await until(lambda: agent.reports)
        assert agent.reports[0] == (ListScope.CHANGES, [1])

    run_scenario(scenario)


@pytest.mark.parametrize("begun", [False, True])
def test_an_incomplete_first_line_is_awaited_at_the_start(begun: bool) -> None:
    """Its changes are in effect from the start. An agent without changes may send only a head."""

    async def scenario(agent: ScriptedAgent, client: module.DiscoveryClient) -> None:
        call, line = await agent.called(1), chunk(change(42, 1))
        call.say(CHUNKED + (line[:40] if begun else b""))
        await until(lambda: client.watch.state is WatchState.FOLLOWING)
        headed = now_ms()
        if not begun:
            await client.initial_list_received.wait()
        await until(lambda: now_ms() > headed + 2_000 * module.FIRST_LINE_TIMEOUT_S)
        assert client.initial_list_received.is_set() != begun
        call.say(line[40:] if begun else line)
        await client.initial_list_received.wait()
        await until(lambda: agent.reports)

    run_scenario(scenario)


def test_nothing_from_the_old_address_is_applied_after_a_move() -> None:
    """The old watch's last line is unread in the kernel when the address changes."""

    async def scenario(agent: ScriptedAgent, client: module.DiscoveryClient) -> None:
        old = await agent.called(1)
        old.say(CHUNKED + chunk(b"\n"))
        await until(lambda: client.initial_list_received.is_set())
        old.put(chunk(change(99, 9)))
        client.move(client.address)
        new = await agent.called(2)
        assert new.target == "/catalog/members"
        assert not agent.reports and client.watch.version is None
        await until(lambda: agent.ended)  # the old call is closed

    run_scenario(scenario)


def test_a_move_during_a_connect_leaves_no_second_call() -> None:
    async def scenario(agent: ScriptedAgent, client: module.DiscoveryClient) -> None:
        opening = []
        for _ in range(3):
            client.move(client.address)
            opening.append(client.connecting)
            await asyncio.sleep(0)
        # A connect that is never answered would hold its descriptor until the kernel gives up.
        await until(lambda: all(task is not None and task.cancelled() for task in opening[:-1]))
        await until(lambda: agent.calls)
        await until(lambda: len(agent.calls) == agent.ended + 1)
        last = agent.calls[-1]
        last.say(CHUNKED + chunk(change(50, 5, whole=True)))
        await until(lambda: agent.reports)
        assert agent.reports == [(ListScope.FULL, [5])]

    run_scenario(scenario)
