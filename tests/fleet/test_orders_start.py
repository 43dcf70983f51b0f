"""A gateway that starts: it takes no client before it follows the orders, or its wait for them is over."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
from loopback import Backend, World, in_loop, until

from roadpulley.__main__ import serve
from roadpulley.core.driver import Driver
from roadpulley.core.settings import parse_config
from roadpulley.fleet.orders.client import OrderClient, to_orders_changed
from roadpulley.fleet.orders.follower import MAX_START_WAIT_S, FollowerSettings
from roadpulley.fleet.orders.messages import (
    Order,
    OrderBook,
    Poll,
    PollReply,
    Version,
    split_into_pages,
)

CUSTOMER = b"%016x" % 7
BOOK = OrderBook(Version(3, 1), (Order("block", "customer", CUSTOMER.decode()),))
LEASE_S = 5.0


class StubLink:
    """In place of the link to the local instance: `answer` says what it replies to a poll."""

    worker_id = 7

    def __init__(self) -> None:
        self.listeners: list[Callable[[Any], None]] = []
        self.polls = 0
        self.answer: Callable[[Poll], list[Any]] = lambda _: []

    def send(self, poll: Poll) -> None:
        self.polls += 1
        for message in self.answer(poll):
            for listener in self.listeners:
                listener(message)


def reply_with(book: OrderBook, lease_s: float) -> Callable[[Poll], list[Any]]:
    def answer(poll: Poll) -> list[Any]:
        reply = PollReply(poll.holder, poll.number, book.version.fence, book.version, lease_s)
        return [reply, *(split_into_pages(book) if poll.version != book.version else [])]

    return answer


class StartingGateway:
    def __init__(self, settings: FollowerSettings) -> None:
        self.settings, self.link = settings, StubLink()
        self.world = World(Backend())
        self.ready: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.task: asyncio.Task[None] | None = None
        self.client: OrderClient | None = None

    def attach(self, driver: Driver) -> None:
        self.client = OrderClient(
            self.link,  # type: ignore[arg-type]
            self.settings,
            lambda orders: driver.handle_event(to_orders_changed(orders)),
        )

    async def wait_for_state(self) -> None:
        assert self.client is not None
        await self.client.wait_for_book()

    async def ask(self) -> Any:
        self.world.port = await self.ready
        return await self.world.ask(await self.world.client(), customer=CUSTOMER)


@asynccontextmanager
async def starting(settings: FollowerSettings) -> AsyncIterator[StartingGateway]:
    gateway = StartingGateway(settings)
    world = gateway.world
    servers = [*world.backends, world.counter, world.discovery]
    for server in servers:
        await server.start()
    gateway.task = asyncio.create_task(
        serve(
            parse_config(world.config()),
            world.stop,
            gateway.ready.set_result,
            attach=gateway.attach,
            wait_for_state=gateway.wait_for_state,
        )
    )
    try:
        yield gateway
    finally:
        for peer in world.peers:
            peer.close()
        world.stop.set()
        await gateway.task
        assert gateway.client is not None
        gateway.client.close()
        for server in servers:
            await server.stop()


@pytest.mark.parametrize("keep", [True, False])
def test_no_client_is_served_before_the_orders_are_followed(keep: bool) -> None:
    async def scenario() -> None:
        async with starting(FollowerSettings(poll=0.02, holds=LEASE_S, keep=keep)) as gateway:
            await until(lambda: gateway.link.polls > 20)  # no publisher is known yet
            assert not gateway.ready.done()
            gateway.link.answer = reply_with(OrderBook(), 0.0)  # the instance does not follow either
            polls = gateway.link.polls
            await until(lambda: gateway.link.polls > polls + 10)
            assert not gateway.ready.done()
            gateway.link.answer = reply_with(BOOK, LEASE_S)
            assert "BUSY" in str(await gateway.ask())

    in_loop(scenario)


def test_gateway_serves_without_orders_once_the_wait_is_over(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        async with starting(FollowerSettings(poll=0.02, holds=0.2, keep=False)) as gateway:
            assert await gateway.ask() == b"value"
            assert "no orders were received within 0.2 s" in caplog.text
            gateway.link.answer = reply_with(BOOK, LEASE_S)
            await until(lambda: gateway.client is not None and gateway.client.active_orders)
            assert "BUSY" in str(await gateway.ask())

    with caplog.at_level(logging.WARNING, "roadpulley.orders"):
        in_loop(scenario)


@pytest.mark.parametrize(("keep", "reply"), [(True, "BUSY"), (False, "value")])
def test_worker_of_a_cut_off_instance_starts_with_what_the_instance_keeps(keep: bool, reply: str) -> None:
    """The instance holds a book whose lease is over, and gives it to its workers only if orders are kept."""

    async def scenario() -> None:
        async with starting(FollowerSettings(poll=0.02, holds=0.2, keep=keep)) as gateway:
            gateway.link.answer = reply_with(BOOK if keep else OrderBook(), 0.0)
            assert reply in str(await gateway.ask())

    in_loop(scenario)


def test_stop_ends_the_wait_for_orders() -> None:
    async def scenario() -> None:
        async with starting(FollowerSettings(poll=0.02)) as gateway:
            await until(lambda: gateway.link.polls > 5)
            gateway.world.stop.set()
            assert gateway.task is not None
            async with asyncio.timeout(MAX_START_WAIT_S / 2):
                await asyncio.wait({gateway.task})
            assert not gateway.ready.done()

    in_loop(scenario)


@pytest.mark.parametrize(
    ("keep", "holds", "wait"), [(True, 5.0, 8.0), (True, 60.0, 8.0), (False, 5.0, 5.0), (False, 60.0, 8.0)]
)
def test_wait_leaves_time_to_be_ready_within_ten_seconds(keep: bool, holds: float, wait: float) -> None:
    assert FollowerSettings(holds=holds, keep=keep).start_wait_s == wait < 10.0
