"""The state machines of orders: publisher, voter and follower; settings; events for the decision module."""

from __future__ import annotations

from pathlib import Path

import pytest

from mintford import interface as api
from roadpulley.checks import Table, ValidationError
from roadpulley.core.discovery import hash_host_name
from roadpulley.fleet.duties.voter_config import VoterConfig, VoterConfigId, initial_config
from roadpulley.fleet.orders.client import to_orders_changed
from roadpulley.fleet.orders.even_shares import EvenShares
from roadpulley.fleet.orders.follower import Follower, FollowerSettings
from roadpulley.fleet.orders.messages import (
    MAX_ORDERS,
    MAX_REASON_BYTES,
    ChangeRequest,
    Order,
    OrderBook,
    PageAssembler,
    PollReply,
    Version,
    VoterReply,
    split_into_pages,
    validate_order,
)
from roadpulley.fleet.orders.publisher import Publisher, PublisherState
from roadpulley.fleet.orders.settings import read_order_settings
from roadpulley.fleet.orders.voter import Voter
from roadpulley.fleet.peers.envelope import Codec

VOTERS = {"v0": "", "v1": "", "v2": ""}
BLOCK = Order("block", "customer", "acme", ticket="t1")


def make_book(fence: int, number: int, *orders: Order) -> OrderBook:
    return OrderBook(Version(fence, number), orders)


def make_ready_publisher(fence: int = 7) -> Publisher:
    """A publisher that has read two voters with memory, which have accepted its book."""
    publisher = Publisher(fence, initial_config(VOTERS), OrderBook(), 0.1)
    for voter in ("v0", "v1"):
        publisher.handle_voter_reply(voter, VoterReply(fence, Version(0, 0), True), OrderBook())
    accept_at(publisher, "v0", "v1")
    assert publisher.state is PublisherState.READY
    return publisher


def accept_at(publisher: Publisher, *voters: str) -> None:
    for voter in voters:
        publisher.handle_voter_reply(voter, VoterReply(publisher.fence, publisher.book.version, True), None)


def test_change_is_acknowledged_once_when_a_majority_has_accepted_it() -> None:
    publisher = make_ready_publisher()
    change = ChangeRequest("t1", BLOCK, False)
    assert publisher.submit(change) is None
    accept_at(publisher, "v0")
    assert publisher.published is not None and not publisher.published.orders
    accept_at(publisher, "v2")
    assert publisher.published is not None and publisher.published.orders == (BLOCK,)
    number = publisher.book.version.number
    assert publisher.submit(change) == publisher.change_outcomes["t1"]  # the call is repeated
    assert publisher.book.version.number == number


def test_next_publisher_recovers_a_book_from_one_voter_and_recognizes_the_call() -> None:
    """The previous publisher failed when one voter had accepted the change, and the call is repeated."""
    unfinished_book = make_book(7, 3, BLOCK)
    publisher = Publisher(9, initial_config(VOTERS), OrderBook(), 0.1)
    publisher.handle_voter_reply("v1", VoterReply(9, Version(7, 2), True), make_book(7, 2))
    publisher.handle_voter_reply("v0", VoterReply(9, unfinished_book.version, True), None)
    assert publisher.state is PublisherState.READING  # its pages have not arrived
    publisher.handle_voter_reply("v0", VoterReply(9, unfinished_book.version, True), unfinished_book)
    assert publisher.state is PublisherState.REPLICATING and publisher.published is None
    accept_at(publisher, "v1", "v2")
    assert publisher.published == make_book(9, 4, BLOCK)
    outcome = publisher.submit(ChangeRequest("t1", BLOCK, False))
    assert outcome is not None and outcome.error == ""
    assert publisher.book.version == Version(9, 4)


def test_higher_fence_supersedes_a_publisher_and_replies_to_a_lower_one_are_ignored() -> None:
    publisher = Publisher(9, initial_config(VOTERS), OrderBook(), 0.1)
    publisher.handle_voter_reply("v0", VoterReply(8, Version(0, 0), True), OrderBook())
    assert not publisher.read_voters
    publisher.handle_voter_reply("v1", VoterReply(10, Version(0, 0), True), OrderBook())
    assert publisher.state is PublisherState.SUPERSEDED and publisher.tick(0.0, 0) == []


def test_read_without_enough_memory_waits_for_all_voters_or_is_forced() -> None:
    publisher = Publisher(9, initial_config(VOTERS), OrderBook(), 0.1)
    publisher.handle_voter_reply("v0", VoterReply(9, Version(0, 0), False), OrderBook())
    publisher.handle_voter_reply("v1", VoterReply(9, Version(0, 0), True), OrderBook())
    assert publisher.state is PublisherState.READING
    assert "v2" in publisher.describe_wait()
    publisher.force()
    assert publisher.state is PublisherState.READING  # followers may know a newer book
    publisher.tick(0.0, 0)
    publisher.handle_voter_reply("o0", VoterReply(9, Version(7, 5), False), make_book(7, 5, BLOCK))
    publisher.tick(1.0, 0)
    assert publisher.book.orders == (BLOCK,)
    assert publisher.state is PublisherState.REPLICATING and publisher.lost_memory_count == 1


def test_new_voters_have_to_accept_the_book_before_the_next_change() -> None:
    publisher = make_ready_publisher()
    voter_config = VoterConfig(VoterConfigId(1, 8), {**VOTERS, "v3": "", "v4": ""}, VOTERS)
    publisher.set_voter_config(voter_config)
    assert publisher.state is PublisherState.REPLICATING
    accept_at(publisher, "v0", "v1")
    assert publisher.state is PublisherState.REPLICATING  # a majority of five is three
    accept_at(publisher, "v3")
    assert publisher.state is PublisherState.READY


def test_publisher_ends_expired_orders_by_a_new_book() -> None:
    publisher = make_ready_publisher()
    publisher.submit(ChangeRequest("t1", Order("shed", "class", "view", ends_ms=5_000), False))
    accept_at(publisher, "v0", "v1")
    publisher.tick(0.0, 4_999)
    assert len(publisher.book.orders) == 1
    publisher.tick(0.0, 5_000)
    assert publisher.book.orders == () and publisher.state is PublisherState.REPLICATING


def test_orders_are_limited_and_the_largest_book_fits_into_datagrams() -> None:
    publisher = make_ready_publisher()
    large_orders = [
        Order(
            "rate", "customer", f"{n:064d}", 1e6, 1e6, 0, 2**52, "o" * 32, "w" * MAX_REASON_BYTES, f"{n:016x}"
        )
        for n in range(MAX_ORDERS + 1)
    ]
    for order in large_orders:
        publisher.submit(ChangeRequest(order.ticket, order, False))
        accept_at(publisher, "v0", "v1")
    assert len(publisher.book.orders) == MAX_ORDERS
    assert "lift one" in publisher.change_outcomes[large_orders[-1].ticket].error
    codec, assembler = Codec("x" * 32, "y" * 32, 2**53 - 1, b"k" * 32), PageAssembler()
    assembled = [assembler.add(page) for page in reversed(split_into_pages(publisher.book))]
    assert assembled[-1] == publisher.book and set(assembled[:-1]) == {None}
    for datagram in codec.pack(
        2**53 - 1, [codec.encode_body(page) for page in split_into_pages(publisher.book)]
    ):
        assert len(datagram) <= 1_200


def test_voter_with_a_disk_restores_its_promise_and_its_book(tmp_path: Path) -> None:
    voter = Voter(tmp_path, "v0")
    assert voter.prepare(9) == VoterReply(9, Version(0, 0), False)
    assert voter.accept(make_book(8, 1)) == VoterReply(
        9, Version(0, 0), False
    )  # its fence is below the promised one
    voter.accept(make_book(9, 1, BLOCK))
    restored = Voter(tmp_path, "v0")
    assert restored.state == voter.state and restored.state.whole
    assert restored.accept(make_book(9, 1)).version == Version(9, 1) and restored.state.book.orders == (
        BLOCK,
    )
    (tmp_path / "v0.orders").write_bytes(b'{"book": 1')
    with pytest.raises(ValidationError, match=r"v0\.orders.*bring it back"):
        Voter(tmp_path, "v0")


def test_voter_that_cannot_write_sends_no_reply(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    voter = Voter(tmp_path / "file" / "state", "v0")
    assert voter.prepare(9) is None and voter.accept(make_book(9, 1)) is None
    assert voter.state.promised == 0


def make_follower_with_book(keep: bool) -> Follower:
    follower = Follower(FollowerSettings(0.3, 2.0, keep, 0.0))
    poll = follower.tick(10.0)
    assert poll is not None
    assert not follower.handle_reply(10.4, PollReply(0, poll.number, 7, Version(7, 2), 2.0))
    assert follower.handle_page(10.4, split_into_pages(make_book(7, 2, BLOCK))[0])
    return follower


@pytest.mark.parametrize("keep", [True, False])
def test_lease_of_a_book_starts_at_the_poll_and_ends_as_configured(keep: bool) -> None:
    follower = make_follower_with_book(keep)
    assert follower.is_fresh(11.99) and not follower.is_fresh(12.0)
    assert follower.current_book(11.99).orders == (BLOCK,)
    assert bool(follower.current_book(12.0).orders) is keep


def test_announcements_of_a_lower_fence_and_late_replies_change_nothing() -> None:
    follower = make_follower_with_book(False)
    assert not follower.handle_announcement(10.5, 6, Version(6, 9))
    poll = follower.tick(10.5)
    assert poll is not None
    assert not follower.handle_reply(10.5, PollReply(0, poll.number, 6, Version(7, 2), 2.0))
    for now in (10.9, 11.3, 11.7):
        follower.tick(now)
    assert not follower.handle_reply(11.7, PollReply(0, poll.number, 7, Version(7, 2), 2.0))
    assert follower.fresh_until == 12.0


@pytest.mark.parametrize(
    ("order", "right"),
    [
        (Order("hide", "class", "view"), "rate, open, block"),
        (Order("block", "class", "view"), "give customer"),
        (Order("shed", "class", ""), "1 to 64 bytes"),
        (Order("rate", "class", "view", rate=-1.0, burst=5.0), "0 or more"),
        (Order("rate", "class", "view", rate=float("nan"), burst=5.0), "0 or more"),
        (Order("rate", "class", "view", rate=1.0, burst=0.5), "burst of 1"),
        (Order("open", "pool", "a"), "or block it"),
        (Order("block", "customer", "a", why="w" * 97), "at most 96 bytes"),
    ],
)
def test_invalid_orders_are_rejected(order: Order, right: str) -> None:
    assert right in validate_order(order)
    outcome = make_ready_publisher().submit(ChangeRequest("t", order, False))
    assert outcome is not None and right in outcome.error


@pytest.mark.parametrize(
    ("raw", "right"),
    [
        ({"poll_s": 1.0, "holds_s": 3.0}, r"orders\.holds_s: is 3.*give 4 or more"),
        ({"cut_off": "panic"}, r"orders\.cut_off.*keep"),
        ({"open_lease_s": 0}, r"orders\.open_lease_s"),
        ({"pol_s": 1.0}, "pol_s"),
    ],
)
def test_invalid_settings_name_the_key(raw: dict[str, object], right: str) -> None:
    with pytest.raises(ValidationError, match=right):
        read_order_settings(Table(raw, "orders"), 0.02)


def test_orders_are_converted_to_limits_by_scope_and_the_rest_by_subject() -> None:
    rate_order = Order("rate", "pool", "zone-a", 5.0, 5.0)
    open_order = Order("open", "pool", "zone-a", most=3)
    other_orders = BLOCK, Order("shed", "class", "view"), Order("keep-off", "backend", "t3")
    assert to_orders_changed((rate_order, open_order, *other_orders)) == api.OrdersChanged(
        {("pool", "zone-a"): (rate_order.limit_name, open_order.limit_name)},
        ("zone-a",),
        frozenset({"acme"}),
        frozenset({"view"}),
        frozenset({hash_host_name("t3")}),
    )


def test_even_shares_start_empty_and_a_repeated_order_restores_none() -> None:
    order = Order("rate", "class", "view", 10.0, 10.0)
    shares = EvenShares(0.4, 4)  # rate 1, burst 1
    shares.set_orders(0.0, [order])
    assert not shares.try_take(0.9, order.limit_name, 1.0)
    assert shares.try_take(5.0, order.limit_name, 1.0) and not shares.try_take(5.0, order.limit_name, 1.0)
    shares.set_orders(5.1, [])
    shares.set_orders(5.2, [order])
    assert not shares.try_take(5.9, order.limit_name, 1.0)
    assert shares.try_take(6.1, order.limit_name, 1.0)
    shares.put_back(order.limit_name, 1.0)
    shares.set_orders(6.1, [Order("rate", "class", "view", 10.0, 5.0)])
    assert not shares.try_take(60.0, order.limit_name, 1.0)  # a burst of half a request allows none
