"""Orders by their machines, one at a time: what each refuses; settings; what a module is told of them."""

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


def book(fence: int, number: int, *orders: Order) -> OrderBook:
    return OrderBook(Version(fence, number), orders)


def ready(fence: int = 7) -> Publisher:
    """It has read two voters whose memory is whole, and both took its book."""
    made = Publisher(fence, initial_config(VOTERS), OrderBook(), 0.1)
    for voter in ("v0", "v1"):
        made.handle_voter_reply(voter, VoterReply(fence, Version(0, 0), True), OrderBook())
    took(made, "v0", "v1")
    assert made.state is PublisherState.READY
    return made


def took(made: Publisher, *voters: str) -> None:
    for voter in voters:
        made.handle_voter_reply(voter, VoterReply(made.fence, made.book.version, True), None)


def test_a_change_is_acknowledged_once_a_majority_took_it_and_once_only() -> None:
    made = ready()
    wish = ChangeRequest("t1", BLOCK, False)
    assert made.submit(wish) is None
    took(made, "v0")
    assert made.published is not None and not made.published.orders
    took(made, "v2")
    assert made.published is not None and made.published.orders == (BLOCK,)
    number = made.book.version.number
    assert made.submit(wish) == made.change_outcomes["t1"]  # it comes again
    assert made.book.version.number == number


def test_the_next_publisher_goes_on_from_what_one_voter_has_and_knows_the_call_again() -> None:
    """The one before had a single voter take it, and died; whoever asked asks again."""
    left = book(7, 3, BLOCK)
    made = Publisher(9, initial_config(VOTERS), OrderBook(), 0.1)
    made.handle_voter_reply("v1", VoterReply(9, Version(7, 2), True), book(7, 2))
    made.handle_voter_reply("v0", VoterReply(9, left.version, True), None)
    assert made.state is PublisherState.READING  # its sheets are on their way
    made.handle_voter_reply("v0", VoterReply(9, left.version, True), left)
    assert made.state is PublisherState.REPLICATING and made.published is None
    took(made, "v1", "v2")
    assert made.published == book(9, 4, BLOCK)
    outcome = made.submit(ChangeRequest("t1", BLOCK, False))
    assert outcome is not None and outcome.error == ""
    assert made.book.version == Version(9, 4)


def test_a_higher_fence_ends_it_and_an_answer_to_an_earlier_one_is_no_reading() -> None:
    made = Publisher(9, initial_config(VOTERS), OrderBook(), 0.1)
    made.handle_voter_reply("v0", VoterReply(8, Version(0, 0), True), OrderBook())
    assert not made.read_voters
    made.handle_voter_reply("v1", VoterReply(10, Version(0, 0), True), OrderBook())
    assert made.state is PublisherState.SUPERSEDED and made.tick(0.0, 0) == []


def test_voters_without_a_memory_are_made_up_for_by_asking_all_or_by_an_operator() -> None:
    made = Publisher(9, initial_config(VOTERS), OrderBook(), 0.1)
    made.handle_voter_reply("v0", VoterReply(9, Version(0, 0), False), OrderBook())
    made.handle_voter_reply("v1", VoterReply(9, Version(0, 0), True), OrderBook())
    assert made.state is PublisherState.READING
    assert "v2" in made.describe_wait()
    made.force()
    assert made.state is PublisherState.READING  # who follows may know more
    made.tick(0.0, 0)
    made.handle_voter_reply("o0", VoterReply(9, Version(7, 5), False), book(7, 5, BLOCK))
    made.tick(1.0, 0)
    assert made.book.orders == (BLOCK,)
    assert made.state is PublisherState.REPLICATING and made.lost_memory_count == 1


def test_other_voters_have_to_take_the_book_before_more_is_published() -> None:
    made = ready()
    roll = VoterConfig(VoterConfigId(1, 8), {**VOTERS, "v3": "", "v4": ""}, VOTERS)
    made.set_voter_config(roll)
    assert made.state is PublisherState.REPLICATING
    took(made, "v0", "v1")
    assert made.state is PublisherState.REPLICATING  # of five, three
    took(made, "v3")
    assert made.state is PublisherState.READY


def test_orders_end_by_a_book_without_them() -> None:
    made = ready()
    made.submit(ChangeRequest("t1", Order("shed", "class", "view", ends_ms=5_000), False))
    took(made, "v0", "v1")
    made.tick(0.0, 4_999)
    assert len(made.book.orders) == 1
    made.tick(0.0, 5_000)
    assert made.book.orders == () and made.state is PublisherState.REPLICATING


def test_there_are_so_many_orders_at_most_and_the_largest_book_fits_into_datagrams() -> None:
    made = ready()
    wide = [
        Order(
            "rate", "customer", f"{n:064d}", 1e6, 1e6, 0, 2**52, "o" * 32, "w" * MAX_REASON_BYTES, f"{n:016x}"
        )
        for n in range(MAX_ORDERS + 1)
    ]
    for order in wide:
        made.submit(ChangeRequest(order.ticket, order, False))
        took(made, "v0", "v1")
    assert len(made.book.orders) == MAX_ORDERS
    assert "lift one" in made.change_outcomes[wide[-1].ticket].error
    codec, gathering = Codec("x" * 32, "y" * 32, 2**53 - 1, b"k" * 32), PageAssembler()
    found = [gathering.add(sheet) for sheet in reversed(split_into_pages(made.book))]
    assert found[-1] == made.book and set(found[:-1]) == {None}
    for data in codec.pack(2**53 - 1, [codec.encode_body(sheet) for sheet in split_into_pages(made.book)]):
        assert len(data) <= 1_200


def test_a_keeper_remembers_what_it_promised_and_took_where_it_has_a_disk(tmp_path: Path) -> None:
    keeper = Voter(tmp_path, "v0")
    assert keeper.prepare(9) == VoterReply(9, Version(0, 0), False)
    assert keeper.accept(book(8, 1)) == VoterReply(
        9, Version(0, 0), False
    )  # of a lower fence than it promised
    keeper.accept(book(9, 1, BLOCK))
    again = Voter(tmp_path, "v0")
    assert again.state == keeper.state and again.state.whole
    assert again.accept(book(9, 1)).version == Version(9, 1) and again.state.book.orders == (BLOCK,)
    (tmp_path / "v0.orders").write_bytes(b'{"book": 1')
    with pytest.raises(ValidationError, match=r"v0\.orders.*bring it back"):
        Voter(tmp_path, "v0")


def test_a_keeper_that_cannot_write_says_nothing(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    keeper = Voter(tmp_path / "file" / "state", "v0")
    assert keeper.prepare(9) is None and keeper.accept(book(9, 1)) is None
    assert keeper.state.promised == 0


def followed(keep: bool) -> Follower:
    made = Follower(FollowerSettings(0.3, 2.0, keep, 0.0))
    poll = made.tick(10.0)
    assert poll is not None
    assert not made.handle_reply(10.4, PollReply(0, poll.number, 7, Version(7, 2), 2.0))
    assert made.handle_page(10.4, split_into_pages(book(7, 2, BLOCK))[0])
    return made


@pytest.mark.parametrize("keep", [True, False])
def test_a_book_holds_from_when_it_was_asked_for_and_after_that_as_set(keep: bool) -> None:
    made = followed(keep)
    assert made.is_fresh(11.99) and not made.is_fresh(12.0)
    assert made.current_book(11.99).orders == (BLOCK,)
    assert bool(made.current_book(12.0).orders) is keep


def test_news_of_a_lower_fence_and_answers_that_are_late_change_nothing() -> None:
    made = followed(False)
    assert not made.handle_announcement(10.5, 6, Version(6, 9))
    poll = made.tick(10.5)
    assert poll is not None
    assert not made.handle_reply(10.5, PollReply(0, poll.number, 6, Version(7, 2), 2.0))
    for now in (10.9, 11.3, 11.7):
        made.tick(now)
    assert not made.handle_reply(11.7, PollReply(0, poll.number, 7, Version(7, 2), 2.0))
    assert made.fresh_until == 12.0


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
def test_orders_that_are_none_are_turned_down(order: Order, right: str) -> None:
    assert right in validate_order(order)
    outcome = ready().submit(ChangeRequest("t", order, False))
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
def test_settings_that_cannot_be_taken_name_the_key(raw: dict[str, object], right: str) -> None:
    with pytest.raises(ValidationError, match=right):
        read_order_settings(Table(raw, "orders"), 0.02)


def test_a_module_is_told_limits_by_scope_and_the_rest_by_subject() -> None:
    rate = Order("rate", "pool", "zone-a", 5.0, 5.0)
    most = Order("open", "pool", "zone-a", most=3)
    others = BLOCK, Order("shed", "class", "view"), Order("keep-off", "backend", "t3")
    assert to_orders_changed((rate, most, *others)) == api.OrdersChanged(
        {("pool", "zone-a"): (rate.limit_name, most.limit_name)},
        ("zone-a",),
        frozenset({"acme"}),
        frozenset({"view"}),
        frozenset({hash_host_name("t3")}),
    )


def test_even_parts_begin_with_nothing_and_an_order_given_anew_brings_none_back() -> None:
    order = Order("rate", "class", "view", 10.0, 10.0)
    parts = EvenShares(0.4, 4)  # 1 a second, 1 at once
    parts.set_orders(0.0, [order])
    assert not parts.try_take(0.9, order.limit_name, 1.0)
    assert parts.try_take(5.0, order.limit_name, 1.0) and not parts.try_take(5.0, order.limit_name, 1.0)
    parts.set_orders(5.1, [])
    parts.set_orders(5.2, [order])
    assert not parts.try_take(5.9, order.limit_name, 1.0)
    assert parts.try_take(6.1, order.limit_name, 1.0)
    parts.put_back(order.limit_name, 1.0)
    parts.set_orders(6.1, [Order("rate", "class", "view", 10.0, 5.0)])
    assert not parts.try_take(60.0, order.limit_name, 1.0)  # half a request at once is none
