"""The discovery client, over loopback sockets."""

from __future__ import annotations

import asyncio
import os
import random
import time
from typing import Any

import pytest
from loopback import LOCAL, SETTINGS, Backend, Discovery, World, host, in_loop, request, running, until

from mintford.interface import BackendState, ListScope
from roadpulley.core import discovery as module
from roadpulley.core import discovery_watch
from roadpulley.core.clock import now_ms
from roadpulley.core.connection import Connection
from roadpulley.core.discovery import DiscoveryError, Member, hash_host_name, parse_member_list
from roadpulley.core.driver import Driver

GRACE_MS = 200.0
Reports = list[tuple[ListScope, list[tuple[int, BackendState]]]]


class RunningClient:
    """A running discovery client, connected to a fake service, and the changes it reported."""

    def __init__(self, version: int | None = 41) -> None:
        self.service, self.version, self.reports = Discovery(), version, Reports()

    def record(self, scope: ListScope, members: tuple[Member, ...], since: float) -> None:
        self.reports.append((scope, [(m.entry.backend, m.entry.state) for m in members]))

    async def __aenter__(self) -> RunningClient:
        await self.service.start()
        address = (LOCAL, self.service.port)
        self.client = module.DiscoveryClient(address, self.version, self.record)
        self.task = asyncio.create_task(self.client.run())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.task.cancel()
        await asyncio.wait({self.task})
        await self.service.stop()

    async def watched(self, count: int) -> None:
        await until(lambda: len(self.service.watches) >= count)


def test_changes_are_applied_from_the_known_version_on() -> None:
    async def scenario() -> None:
        async with RunningClient() as watch:
            await watch.watched(1)
            assert watch.service.requests == ["/catalog/members?stream=1&index=41"]
            watch.service.tell(b"")
            watch.service.change(42, host("h0", 1, "draining"))
            watch.service.change(43, host("h1", 1), whole=True)
            await until(lambda: len(watch.reports) == 2)
            assert watch.reports == [
                (ListScope.CHANGES, [(hash_host_name("h0"), BackendState.DRAINING)]),
                (ListScope.FULL, [(hash_host_name("h1"), BackendState.READY)]),
            ]

    in_loop(scenario)


def test_without_a_known_list_the_full_one_is_read_first() -> None:
    async def scenario() -> None:
        async with RunningClient(version=None) as watch:
            watch.service.whole = {"seq": 7, "whole": True, "hosts": [host("h0", 1)]}
            await watch.watched(1)
            assert watch.service.requests[0] == "/catalog/members"
            assert watch.service.requests[1] == "/catalog/members?stream=1&index=7"
            assert [scope for scope, _ in watch.reports] == [ListScope.FULL]

    in_loop(scenario)


def test_a_watch_that_ends_is_resumed_at_its_version() -> None:
    async def scenario() -> None:
        async with RunningClient() as watch:
            await watch.watched(1)
            watch.service.change(50, host("h0", 1))
            await until(lambda: watch.reports)
            watch.service.hang_up()
            await watch.watched(2)
            assert watch.service.requests[-1] == "/catalog/members?stream=1&index=50"

    in_loop(scenario)


def test_a_silent_watch_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    """If the agent's machine is unreachable, the watch is silent and the list would never change again."""
    monkeypatch.setattr(discovery_watch, "SILENCE_TIMEOUT_MS", 50.0)

    async def scenario() -> None:
        async with RunningClient() as watch:
            await watch.watched(2)

    in_loop(scenario)


def test_a_malformed_change_causes_a_read_of_the_full_list() -> None:
    async def scenario() -> None:
        async with RunningClient() as watch:
            await watch.watched(1)
            watch.service.change(42, {"host": "h0"})
            await until(lambda: "/catalog/members" in watch.service.requests)
            await watch.watched(2)
            assert [scope for scope, _ in watch.reports] == [] or watch.reports[0][0] is ListScope.FULL

    in_loop(scenario)


def test_an_exception_in_the_listener_does_not_end_the_watch() -> None:
    async def scenario() -> None:
        async with RunningClient() as watch:
            await watch.watched(1)
            record, faults = watch.record, [RuntimeError("not now")]

            def faulty(scope: ListScope, members: tuple[Member, ...], since: float) -> None:
                if faults:
                    raise faults.pop()
                record(scope, members, since)

            watch.client.listener = faulty
            watch.service.whole = {"seq": 43, "whole": True, "hosts": [host("h1", 1)]}
            watch.service.change(42, host("h0", 1))
            await watch.watched(2)
            assert watch.reports == [(ListScope.FULL, [(hash_host_name("h1"), BackendState.READY)])]

    in_loop(scenario)


@pytest.mark.parametrize(
    "raw",
    [
        [],
        {},
        {"seq": "x"},
        {"seq": 1, "hosts": [{"host": "h", "dial": "nowhere", "health": "up"}]},
        {"seq": 1, "hosts": [{"host": "h", "dial": "127.0.0.1:1", "health": "odd"}]},
        {"seq": 1, "hosts": [3]},
    ],
)
def test_a_malformed_list_raises_discovery_error(raw: Any) -> None:
    with pytest.raises(DiscoveryError):
        parse_member_list(raw)


def test_a_host_name_has_a_stable_number() -> None:
    assert hash_host_name("s-5be2a07c") == hash_host_name("s-5be2a07c") != hash_host_name("s-5be2a07d")


def test_a_draining_backend_gets_no_new_requests_and_a_new_one_is_used() -> None:
    async def scenario() -> None:
        first, second = Backend(), Backend()
        world = World(first)
        await second.start()
        async with running(world):
            peer = await world.client()
            assert await world.ask(peer) == b"value"
            world.discovery.change(42, host("h0", first.port, "draining"), host("h9", second.port))
            await until(lambda: first.ended)  # the idle connection is closed when the change is received
            for number in range(3):
                assert await world.ask(peer, id=b"%d" % number) == b"value"
            assert len(first.got) == 1 and len(second.got) == 3
        await second.stop()

    in_loop(scenario)


class ShortGrace(World):
    """A short drain grace, and no other short timeouts."""

    def config(self) -> dict[str, Any]:
        config = super().config()
        config["settings"] = {
            **SETTINGS,
            "rules": {**SETTINGS["rules"], "drainGrace": GRACE_MS},
            "caps": {**SETTINGS["caps"], "connectTimeout": 5_000.0},
            "classes": [{**SETTINGS["classes"][0], "aim": 4_000.0}],
        }
        return config


@pytest.mark.patches_inside
@pytest.mark.parametrize("how", ["the watch ended instead", "it lay unread"])
def test_a_drain_received_late_still_stops_a_waiting_attempt(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A drain takes effect while no watch is open or the loop is blocked. Its grace may already be over."""
    monkeypatch.setattr(discovery_watch, "BACKOFF_MS", (1.0, 1.0))
    stuck: list[Connection] = []

    async def scenario() -> None:
        old, new = Backend(), Backend()
        world = ShortGrace(old)
        await new.start()
        drivers: list[Driver] = []
        async with running(world, attach=drivers.append):
            known, hosts = drivers[0].gateway.fleet.backends, drivers[0].backends.hosts
            world.discovery.change(42, host("h8", 1, "draining"))
            await until(lambda: hash_host_name("h8") in known)  # the client's list is current here
            received_at = now_ms()
            await until(lambda: now_ms() > received_at + GRACE_MS)
            with monkeypatch.context() as held:  # delay the established connection
                held.setattr(Connection, "_on_connected", lambda late: stuck.append(late))
                peer = await world.client()
                peer.send(*request())
                await until(lambda: stuck)
            document = world.discovery.listed(43, host("h0", old.port, "draining"), host("h9", new.port))
            if how == "it lay unread":
                line = b"%x\r\n%b\n\r\n" % (len(document) + 1, document)
                os.write(world.discovery.watches[-1].get_extra_info("socket").fileno(), line)
                time.sleep(GRACE_MS / 1000)
            else:
                world.discovery.hang_up()
                await until(lambda: len(world.discovery.watches) == 2)
                world.discovery.tell(document)
            await until(lambda: hash_host_name("h9") in hosts)
            stuck[0]._on_connected()
            assert await peer.receive() == b"value"
            assert not old.got and len(new.got) == 1
        await new.stop()

    in_loop(scenario)


def test_a_new_address_is_asked_for_the_full_list_first() -> None:
    async def scenario() -> None:
        async with RunningClient() as watch:
            await watch.watched(1)
            for turn in range(2):  # also a second time
                new = Discovery()
                new.whole = {"seq": 7, "whole": True, "hosts": [host(f"h{turn}", 1)]}
                await new.start()
                watch.client.move((LOCAL, new.port))
                await until(lambda: new.watches)  # noqa: B023
                assert new.requests == ["/catalog/members", "/catalog/members?stream=1&index=7"]
                assert watch.reports[-1] == (
                    ListScope.FULL,
                    [(hash_host_name(f"h{turn}"), BackendState.READY)],
                )
                await until(lambda: not watch.service.open)
                await watch.service.stop()
                watch.service = new

    in_loop(scenario)


def test_a_new_address_is_called_without_waiting_for_the_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_watch, "BACKOFF_MS", (100_000.0, 100_000.0))

    async def scenario() -> None:
        async with RunningClient() as watch:
            await watch.watched(1)
            watch.service.hang_up()
            await until(lambda: not watch.service.open)
            monkeypatch.setattr(discovery_watch, "BACKOFF_MS", (0.0, 0.0))
            watch.client.move((LOCAL, watch.service.port))
            await watch.watched(2)

    in_loop(scenario)


def test_gateways_that_lose_their_watches_together_retry_at_different_times() -> None:
    """If they called together, they would overload discovery, which would then refuse calls."""
    watches = [discovery_watch.DiscoveryWatch((LOCAL, 1), 1, random.Random(seed)) for seed in range(48)]
    for wait in discovery_watch.BACKOFF_MS:
        pauses = sorted(watch.draw_pause(wait) for watch in watches)
        assert wait * (1 - discovery_watch.JITTER_RATIO) <= pauses[0] and pauses[-1] <= wait
        in_step = max(sum(at <= other < at + wait / 10 for other in pauses) for at in pauses)
        assert in_step <= 16, "a third of them within a tenth of the wait"
