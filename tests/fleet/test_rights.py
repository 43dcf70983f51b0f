"""The state machines of allocator and holder: refused messages, expiry, returns, settings."""

from __future__ import annotations

import random

import pytest

from roadpulley.checks import Table, ValidationError
from roadpulley.fleet.rights.allocator import Allocator
from roadpulley.fleet.rights.holder import HeldRight, Holder, partition_of
from roadpulley.fleet.rights.messages import Limit, ReturnedRight, RightId, RightsReply, RightsRequest, Times
from roadpulley.fleet.rights.settings import read_rights_settings

TIMES = Times(lease=1.0, drift=0.0, answer=0.1)
LIMIT_NAME = "paid/acme"
FENCE = 7
HOLDER_LEASE_S = TIMES.holder_lease_s
FULL_AT_S = 10.0  # seconds; a limit that started at 0 is full then


def make_allocator(limit: Limit | None = None, fence: int = FENCE, started_at: float = 0.0) -> Allocator:
    return Allocator(fence, started_at, {"paid": limit or Limit(2.0, 10.0)}, TIMES, random.Random(1))


def make_request(
    number: int,
    wanted_units: float,
    *returned_rights: ReturnedRight,
    holder: int = 1,
    min_units: float = 0.0,
    fence: int = FENCE,
) -> RightsRequest:
    return RightsRequest(0, fence, holder, number, LIMIT_NAME, wanted_units, min_units, returned_rights)


def granted_units(reply: RightsReply | None) -> float:
    assert reply is not None
    return reply.units


def make_holder(now: float = 0.0) -> Holder:
    holder = Holder(1, 1, TIMES)
    holder.handle_announcement(now, 0, FENCE, 100.0)
    return holder


def make_holder_with_right(now: float = 0.0, units: float = 5.0) -> Holder:
    """A holder with a right to `units` units, requested at `now`."""
    holder = make_holder(now)
    assert not holder.try_spend(now, LIMIT_NAME, 1.0)
    request = holder.prepare_request(now, LIMIT_NAME)
    assert request is not None
    assert holder.handle_reply(
        now + 0.01,
        RightsReply(1, request.request_number, LIMIT_NAME, RightId(FENCE, 1), units, HOLDER_LEASE_S),
    )
    return holder


# ---- the allocator ----


def test_new_allocator_grants_nothing_until_earlier_rights_expire() -> None:
    allocator = make_allocator()
    assert granted_units(allocator.handle_request(0.9, make_request(1, 1.0))) == 0
    assert allocator.handle_request(0.9, make_request(1, 1.0)).retry_after_ms > 0  # type: ignore[union-attr]
    assert granted_units(allocator.handle_request(1.5, make_request(2, 5.0))) == pytest.approx(
        1.0
    )  # the refill of half a second, no burst


def test_repeated_request_gets_the_same_reply() -> None:
    allocator = make_allocator()
    first = allocator.handle_request(FULL_AT_S, make_request(1, 4.0))
    assert allocator.handle_request(FULL_AT_S + 0.1, make_request(1, 4.0)) == first
    assert (
        allocator.handle_request(FULL_AT_S + 0.1, make_request(1, 9.0, ReturnedRight(RightId(FENCE, 1), 4.0)))
        == first
    )  # the changed content is ignored
    assert allocator.ledgers[LIMIT_NAME].outstanding_units == pytest.approx(4.0)
    assert allocator.handle_request(FULL_AT_S + 0.2, make_request(2, 1.0)) is not None
    assert allocator.handle_request(FULL_AT_S + 0.3, make_request(1, 4.0)) is None  # outdated


def test_units_of_a_lost_reply_are_unavailable_until_the_right_expires() -> None:
    allocator = make_allocator(Limit(0.5, 10.0), started_at=-200.0)
    allocator.handle_request(0.0, make_request(1, 10.0))
    assert (
        granted_units(allocator.handle_request(0.5, make_request(2, 10.0))) == 0
    )  # all units are outstanding
    assert (
        granted_units(allocator.handle_request(1.0, make_request(3, 10.0))) == 0
    )  # the right expires only now
    assert granted_units(allocator.handle_request(3.0, make_request(4, 10.0))) == pytest.approx(
        1.0
    )  # the refill of two seconds


def test_expired_rights_leave_room_to_refill_only_from_their_expiry() -> None:
    """The right expires after a second. The time before that must not be refilled later."""
    allocator = make_allocator(Limit(10.0, 10.0), started_at=-20.0)
    assert granted_units(allocator.handle_request(0.0, make_request(1, 10.0))) == 10.0
    assert granted_units(allocator.handle_request(1.1, make_request(2, 10.0))) == pytest.approx(1.0)


def test_rights_returned_unused_preserve_the_total_units() -> None:
    """Rights go from one holder to the next in turn, and are returned unused each time."""
    allocator = make_allocator(Limit(0.0, 10.0), started_at=-20.0)
    allocator.ledgers.clear()
    allocator.set_limits(-5.0, {"paid": Limit(0.0, 10.0)})
    book = allocator.get_ledger(LIMIT_NAME)
    assert book is not None
    book.level = 10.0  # without a rate the level does not change
    reply = allocator.handle_request(0.0, make_request(1, 10.0, holder=0))
    for turn in range(1, 30):
        assert reply is not None
        returned_right = ReturnedRight(reply.right_id, reply.units)
        before = turn - 1
        assert (
            granted_units(
                allocator.handle_request(
                    0.01 * turn, make_request(turn + 1, 0.0, returned_right, holder=before % 3)
                )
            )
            == 0
        )
        reply = allocator.handle_request(0.01 * turn, make_request(turn + 1, 10.0, holder=turn % 3))
        assert granted_units(reply) == pytest.approx(10.0)
        assert book.level + book.outstanding_units == pytest.approx(10.0)


def test_invalid_returns_add_no_units() -> None:
    allocator = make_allocator(Limit(0.001, 10.0), started_at=-20_000.0)
    reply = allocator.handle_request(0.0, make_request(1, 6.0))
    assert reply is not None
    level = allocator.ledgers[LIMIT_NAME].level
    for number, (right, by) in enumerate(
        [(RightId(FENCE - 1, reply.right_id.number), 1), (reply.right_id, 2), (RightId(FENCE, 99), 1)], 2
    ):
        allocator.handle_request(0.1, make_request(number, 0.0, ReturnedRight(right, 6.0), holder=by))
        assert allocator.ledgers[LIMIT_NAME].level == pytest.approx(level, abs=0.01)
    allocator.handle_request(0.2, make_request(8, 0.0, ReturnedRight(reply.right_id, 2.5)))
    assert allocator.ledgers[LIMIT_NAME].level == pytest.approx(level + 2.5, abs=0.01)
    allocator.handle_request(0.3, make_request(9, 0.0, ReturnedRight(reply.right_id, 2.5)))
    assert allocator.ledgers[LIMIT_NAME].level == pytest.approx(level + 2.5, abs=0.01)
    late = allocator.handle_request(0.4, make_request(10, 3.0))
    assert late is not None
    allocator.handle_request(
        1.5, make_request(11, 0.0, ReturnedRight(late.right_id, 3.0))
    )  # after its expiry
    assert allocator.ledgers[LIMIT_NAME].level == pytest.approx(level + 2.5 - 3.0, abs=0.01)


def test_request_to_an_earlier_allocator_is_ignored() -> None:
    allocator = make_allocator()
    assert (
        allocator.handle_request(
            FULL_AT_S, make_request(1, 1.0, ReturnedRight(RightId(FENCE - 1, 1), 5.0), fence=FENCE - 1)
        )
        is None
    )
    assert allocator.ledgers == {}


def test_limit_lowered_below_outstanding_units_grants_nothing_until_they_expire() -> None:
    allocator = make_allocator(Limit(2.0, 10.0))
    allocator.handle_request(FULL_AT_S, make_request(1, 9.0))
    allocator.set_limits(FULL_AT_S, {"paid": Limit(2.0, 3.0)})
    assert allocator.ledgers[LIMIT_NAME].level < 0
    assert granted_units(allocator.handle_request(FULL_AT_S + 0.9, make_request(2, 1.0))) == 0
    assert granted_units(allocator.handle_request(FULL_AT_S + 6.0, make_request(3, 9.0))) == pytest.approx(
        3.0
    )
    allocator.set_limits(FULL_AT_S + 6.0, {"paid": Limit(2.0, 4.0)})
    assert granted_units(allocator.handle_request(FULL_AT_S + 6.0, make_request(4, 9.0))) == pytest.approx(
        1.0
    )  # the difference, no more


def test_request_for_a_removed_or_unknown_limit_gets_no_reply() -> None:
    allocator = make_allocator()
    assert allocator.handle_request(FULL_AT_S, RightsRequest(0, FENCE, 1, 1, "other/acme", 1.0, 0.0)) is None
    allocator.handle_request(FULL_AT_S, make_request(1, 1.0))
    allocator.set_limits(FULL_AT_S, {})
    assert allocator.handle_request(FULL_AT_S, make_request(2, 1.0)) is None


def test_limit_added_again_accounts_for_outstanding_rights() -> None:
    allocator = make_allocator()
    allocator.handle_request(FULL_AT_S, make_request(1, 9.0))
    allocator.set_limits(FULL_AT_S, {})
    assert allocator.handle_request(FULL_AT_S, make_request(2, 1.0)) is None
    allocator.set_limits(FULL_AT_S + 0.1, {"paid": Limit(2.0, 10.0)})
    assert granted_units(allocator.handle_request(FULL_AT_S + 0.1, make_request(3, 10.0))) <= 1.0 + 1e-9


def test_new_allocator_waits_for_the_longest_lease_in_use() -> None:
    times = Times(lease=1.0, drift=0.0, answer=0.1, clear=4.0)
    allocator = Allocator(FENCE, 0.0, {"paid": Limit(2.0, 10.0)}, times, random.Random(1))
    assert granted_units(allocator.handle_request(3.9, make_request(1, 1.0))) == 0
    assert granted_units(allocator.handle_request(5.0, make_request(2, 9.0))) == pytest.approx(2.0)
    with pytest.raises(ValueError, match="longest lease"):
        Times(lease=1.0, clear=0.5)


def test_concurrent_requests_share_the_level_and_respect_the_minimum() -> None:
    allocator = make_allocator(Limit(2.0, 12.0), started_at=-20.0)
    assert granted_units(allocator.handle_request(0.0, make_request(1, 1.0, holder=1))) == pytest.approx(1.0)
    assert (
        granted_units(allocator.handle_request(0.1, make_request(1, 30.0, holder=2))) <= 6.0
    )  # half of the level
    left = allocator.ledgers[LIMIT_NAME].level
    assert granted_units(
        allocator.handle_request(0.1, make_request(1, 30.0, holder=3, min_units=left))
    ) == pytest.approx(left)
    assert granted_units(allocator.handle_request(0.1, make_request(1, 30.0, holder=4, min_units=2.0))) == 0


def test_invalid_requests_get_no_reply() -> None:
    allocator = make_allocator()
    for wanted_units, min_units in ((-1.0, 0.0), (float("inf"), 0.0), (1.0, 2.0), (float("nan"), 0.0)):
        assert allocator.handle_request(FULL_AT_S, make_request(1, wanted_units, min_units=min_units)) is None
    assert (
        granted_units(
            allocator.handle_request(
                FULL_AT_S, make_request(1, 1.0, ReturnedRight(RightId(FENCE, 1), float("nan")))
            )
        )
        == 1.0
    )


def test_unused_ledger_is_dropped_and_recreated_full() -> None:
    allocator = make_allocator(Limit(5.0, 10.0))
    allocator.handle_request(FULL_AT_S, make_request(1, 4.0))
    allocator.handle_request(FULL_AT_S + 20, RightsRequest(0, FENCE, 2, 1, "paid/other", 1.0, 0.0))
    assert LIMIT_NAME not in allocator.ledgers
    assert granted_units(allocator.handle_request(FULL_AT_S + 20, make_request(2, 20.0))) == pytest.approx(
        10.0
    )


# ---- the holder ----


def test_holder_lease_starts_at_the_first_request() -> None:
    holder = make_holder()
    holder.try_spend(0.0, LIMIT_NAME, 1.0)
    first = holder.prepare_request(0.0, LIMIT_NAME)
    assert first is not None
    assert holder.tick(0.11) == [first]  # the same request is resent
    holder.handle_reply(
        0.2, RightsReply(1, first.request_number, LIMIT_NAME, RightId(FENCE, 1), 3.0, HOLDER_LEASE_S)
    )
    assert holder.try_spend(0.99, LIMIT_NAME, 1.0)
    assert not holder.try_spend(1.0, LIMIT_NAME, 1.0)


def test_slowest_holder_stops_before_the_fastest_allocator_expires_the_right() -> None:
    """If the request arrives at once, both leases start together: the holder's has to end first."""
    for drift in (0.0, 0.02, 0.25):
        times = Times(lease=2.0, drift=drift)
        assert times.holder_lease_s / (1 - drift) <= times.lease / (1 + drift) + 1e-9


def test_holder_observes_a_shorter_lease_of_the_allocator() -> None:
    """Holder and allocator have different settings, as during a rollout."""
    holder = make_holder()
    holder.try_spend(0.0, LIMIT_NAME, 1.0)
    request = holder.prepare_request(0.0, LIMIT_NAME)
    assert request is not None
    holder.handle_reply(
        0.01, RightsReply(1, request.request_number, LIMIT_NAME, RightId(FENCE, 1), 3.0, HOLDER_LEASE_S / 4)
    )
    assert holder.try_spend(0.24, LIMIT_NAME, 1.0)
    assert not holder.try_spend(0.25, LIMIT_NAME, 1.0)


def test_cost_of_a_spend_is_independent_of_the_number_of_limits() -> None:
    holder = make_holder()
    for n in range(2_000):
        holder.try_spend(0.0, f"paid/{n}", 1.0)
        holder.prepare_request(0.0, f"paid/{n}")
    checked_limits: list[str] = []
    real = holder.prepare_request

    def record_check(now: float, limit: str) -> RightsRequest | None:
        checked_limits.append(limit)
        return real(now, limit)

    holder.prepare_request = record_check  # type: ignore[method-assign]
    holder.try_spend(0.01, "paid/7", 1.0)
    assert holder.tick(0.01) == []
    assert checked_limits == []
    assert holder.next_check_at() >= 0.01
    holder.tick(0.2)
    assert len(checked_limits) == 2_000  # each limit is checked once
    holder.tick(60.0)
    holder.tick(120.0)
    assert holder.holdings == {}


def test_suspended_process_resumes_with_expired_rights() -> None:
    holder = make_holder_with_right()
    assert not holder.try_spend(20.0, LIMIT_NAME, 1.0)
    assert not any(right.unused_units for sent in holder.tick(20.0) for right in sent.returned)


def test_repeated_or_late_replies_add_no_units() -> None:
    holder = make_holder_with_right(units=2.0)
    repeated = RightsReply(1, 1, LIMIT_NAME, RightId(FENCE, 1), 2.0, HOLDER_LEASE_S)
    assert not holder.handle_reply(0.02, repeated)
    assert holder.try_spend(0.03, LIMIT_NAME, 2.0)
    assert not holder.handle_reply(0.04, repeated)
    assert not holder.try_spend(0.05, LIMIT_NAME, 1.0)
    request = holder.prepare_request(0.05, LIMIT_NAME)
    assert request is not None
    for now in (0.2, 0.4, 0.6):
        holder.tick(now)
    assert not holder.handle_reply(
        0.6, RightsReply(1, request.request_number, LIMIT_NAME, RightId(FENCE, 2), 2.0, HOLDER_LEASE_S)
    )  # that request has been abandoned


def test_right_held_for_long_is_returned_once_and_not_spent() -> None:
    holder = make_holder_with_right(units=5.0)
    holder.try_spend(0.1, LIMIT_NAME, 1.0)
    requests = holder.tick(0.75)
    assert [right for sent in requests for right in sent.returned] == [ReturnedRight(RightId(FENCE, 1), 4.0)]
    assert not holder.try_spend(0.76, LIMIT_NAME, 1.0)
    assert holder.tick(0.77) == []


def test_new_fence_drops_returns_and_late_announcements_are_ignored() -> None:
    holder = make_holder_with_right(units=5.0)
    assert holder.handle_announcement(0.1, 0, FENCE + 1, 100.0)
    assert not holder.handle_announcement(0.2, 0, FENCE, 100.0)
    assert holder.try_spend(
        0.3, LIMIT_NAME, 1.0
    )  # it is still valid, as the new allocator waits for its expiry
    assert all(not sent.returned for sent in holder.tick(0.8))
    holder.try_spend(0.9, LIMIT_NAME, 9.0)
    request = holder.prepare_request(0.9, LIMIT_NAME)
    assert request is not None
    assert request.fence == FENCE + 1


def test_used_up_right_is_not_reported_to_the_next_allocator() -> None:
    holder = make_holder_with_right(units=5.0)
    assert holder.try_spend(0.1, LIMIT_NAME, 5.0)
    assert holder.tick(0.1) == []  # reported with the next request
    holder.handle_announcement(0.2, 0, FENCE + 1, 100.0)
    holder.try_spend(0.3, LIMIT_NAME, 1.0)
    request = holder.prepare_request(0.3, LIMIT_NAME)
    assert request is not None
    assert request.returned == ()


def test_units_are_spent_from_unexpired_rights() -> None:
    holder = make_holder_with_right(now=0.0, units=5.0)
    holding = holder.holdings[LIMIT_NAME]
    holding.rights.append(HeldRight(RightId(FENCE, 2), 5.0, 9.0, 9.0))
    assert holder.try_spend(2.0, LIMIT_NAME, 5.0)  # the first has expired, the second pays
    assert not holder.try_spend(2.0, LIMIT_NAME, 5.0)


def test_no_request_without_an_allocator_or_during_the_retry_delay() -> None:
    holder = Holder(1, 1, TIMES)
    assert not holder.try_spend(0.0, LIMIT_NAME, 1.0)
    assert holder.prepare_request(0.0, LIMIT_NAME) is None
    holder.handle_announcement(0.0, 0, FENCE, 0.5)
    request = holder.prepare_request(0.1, LIMIT_NAME)
    assert request is not None
    holder.handle_reply(
        0.11, RightsReply(1, request.request_number, LIMIT_NAME, RightId(FENCE, 0), 0.0, HOLDER_LEASE_S, 200)
    )
    assert not holder.try_spend(0.2, LIMIT_NAME, 1.0)
    assert holder.prepare_request(0.2, LIMIT_NAME) is None
    assert holder.prepare_request(0.35, LIMIT_NAME) is not None
    assert holder.prepare_request(0.7, LIMIT_NAME) is None  # its announcement has expired


def test_frequent_spends_are_prefetched_and_rare_ones_are_not() -> None:
    holder = make_holder_with_right(units=1.0)
    assert holder.try_spend(0.05, LIMIT_NAME, 1.0)
    assert holder.prepare_request(0.05, LIMIT_NAME) is None  # a single spend is no demand to prefetch for
    for n in range(40):
        holder.try_spend(0.06 + n / 1000, LIMIT_NAME, 1.0)
    request = holder.prepare_request(0.11, LIMIT_NAME)
    assert request is not None
    assert request.wanted_units > 5.0


# ---- settings ----


@pytest.mark.parametrize(
    ("raw", "where", "right"),
    [
        ({"lease_s": 0.1, "limits": {}}, "rights.lease_s", "give 0.21 or more"),
        ({"parts": 0, "limits": {}}, "rights.parts", "1"),
        ({"limits": {"a/b": {"rate": 1, "burst": 1}}}, "rights.limits.a/b", "without '/'"),
        ({"limits": {"a": {"rate": 1}}}, "rights.limits.a.burst", "missing"),
        ({"limits": {"a": {"rate": -1, "burst": 1}}}, "rights.limits.a.rate", "0"),
        ({"limits": {"a": {"rate": 1, "burst": 1, "brust": 2}}}, "rights.limits.a", "brust"),
    ],
)
def test_invalid_settings_name_the_key_and_a_valid_value(
    raw: dict[str, object], where: str, right: str
) -> None:
    with pytest.raises(ValidationError) as settings:
        read_rights_settings(Table({"rights": raw}).read_table("rights"), drift=0.02)
    assert where in str(settings.value)
    assert right in str(settings.value)


def test_allocators_grant_only_the_part_that_is_not_split_evenly() -> None:
    raw = {"ceilings": 0.7, "limits": {"paid": {"rate": 10, "burst": 40}}}
    settings = read_rights_settings(Table({"rights": raw}).read_table("rights"), drift=0.02)
    assert settings.allocated_limits == {"paid": Limit(7.0, 28.0)}
    assert settings.limits == {"paid": Limit(10.0, 40.0)}


def test_partitions_are_even_and_stable() -> None:
    parts = [partition_of(f"paid/{n}", 4) for n in range(4_000)]
    assert all(900 < parts.count(part) < 1_100 for part in range(4))
    assert partition_of("paid/acme", 4) == partition_of("paid/acme", 4)
