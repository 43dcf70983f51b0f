"""Allocator and holder by themselves: what each refuses, and what the hard cases of a transfer come to."""

from __future__ import annotations

import random

import pytest

from roadpulley.checks import Table, ValidationError
from roadpulley.fleet.rights.allocator import Allocator
from roadpulley.fleet.rights.holder import HeldRight, Holder, partition_of
from roadpulley.fleet.rights.messages import Limit, ReturnedRight, RightId, RightsReply, RightsRequest, Times
from roadpulley.fleet.rights.settings import read_rights_settings

TIMES = Times(lease=1.0, drift=0.0, answer=0.1)
KEY = "paid/acme"
FENCE = 7
HOLDS = TIMES.holder_lease_s
FULL = 10.0  # when a limit that began at 0 is full


def allocator(limit: Limit | None = None, fence: int = FENCE, began: float = 0.0) -> Allocator:
    return Allocator(fence, began, {"paid": limit or Limit(2.0, 10.0)}, TIMES, random.Random(1))


def ask(
    number: int, want: float, *closed: ReturnedRight, holder: int = 1, least: float = 0.0, fence: int = FENCE
) -> RightsRequest:
    return RightsRequest(0, fence, holder, number, KEY, want, least, closed)


def units(given: RightsReply | None) -> float:
    assert given is not None
    return given.units


def holder(now: float = 0.0) -> Holder:
    made = Holder(1, 1, TIMES)
    made.handle_announcement(now, 0, FENCE, 100.0)
    return made


def filled(now: float = 0.0, amount: float = 5.0) -> Holder:
    """One that holds some units, asked for at that time."""
    made = holder(now)
    assert not made.try_spend(now, KEY, 1.0)
    asked = made.prepare_request(now, KEY)
    assert asked is not None
    assert made.handle_reply(
        now + 0.01, RightsReply(1, asked.request_number, KEY, RightId(FENCE, 1), amount, HOLDS)
    )
    return made


# ---- the allocator ----


def test_a_new_allocator_gives_out_nothing_until_rights_of_earlier_ones_have_ended() -> None:
    new = allocator()
    assert units(new.handle_request(0.9, ask(1, 1.0))) == 0
    assert new.handle_request(0.9, ask(1, 1.0)).retry_after_ms > 0  # type: ignore[union-attr]
    assert units(new.handle_request(1.5, ask(2, 5.0))) == pytest.approx(1.0)  # half a second's rate, no burst


def test_a_message_that_comes_again_is_answered_as_before() -> None:
    new = allocator()
    first = new.handle_request(FULL, ask(1, 4.0))
    assert new.handle_request(FULL + 0.1, ask(1, 4.0)) == first
    assert (
        new.handle_request(FULL + 0.1, ask(1, 9.0, ReturnedRight(RightId(FENCE, 1), 4.0))) == first
    )  # nothing of it counts
    assert new.ledgers[KEY].outstanding_units == pytest.approx(4.0)
    assert new.handle_request(FULL + 0.2, ask(2, 1.0)) is not None
    assert new.handle_request(FULL + 0.3, ask(1, 4.0)) is None  # of the past


def test_a_lost_answer_costs_its_units_until_they_have_ended_and_no_longer() -> None:
    new = allocator(Limit(0.5, 10.0), began=-200.0)
    new.handle_request(0.0, ask(1, 10.0))
    assert units(new.handle_request(0.5, ask(2, 10.0))) == 0  # all is out
    assert units(new.handle_request(1.0, ask(3, 10.0))) == 0  # and ends only now
    assert units(new.handle_request(3.0, ask(4, 10.0))) == pytest.approx(1.0)  # what two seconds gave back


def test_rights_that_have_ended_make_room_from_then_on_only() -> None:
    """All ends after a second; a look long after must not find it filled since the last look."""
    new = allocator(Limit(10.0, 10.0), began=-20.0)
    assert units(new.handle_request(0.0, ask(1, 10.0))) == 10.0
    assert units(new.handle_request(1.1, ask(2, 10.0))) == pytest.approx(1.0)


def test_rights_in_a_circle_come_to_the_same_units() -> None:
    """From one holder to the next and round again, each time given up unused."""
    new = allocator(Limit(0.0, 10.0), began=-20.0)
    new.ledgers.clear()
    new.set_limits(-5.0, {"paid": Limit(0.0, 10.0)})
    book = new.get_ledger(KEY)
    assert book is not None
    book.level = 10.0  # with no rate a level stays what it was
    given = new.handle_request(0.0, ask(1, 10.0, holder=0))
    for turn in range(1, 30):
        assert given is not None
        back = ReturnedRight(given.right_id, given.units)
        before = turn - 1
        assert units(new.handle_request(0.01 * turn, ask(turn + 1, 0.0, back, holder=before % 3))) == 0
        given = new.handle_request(0.01 * turn, ask(turn + 1, 10.0, holder=turn % 3))
        assert units(given) == pytest.approx(10.0)
        assert book.level + book.outstanding_units == pytest.approx(10.0)


def test_what_is_given_up_late_twice_by_another_or_under_another_fence_adds_nothing() -> None:
    new = allocator(Limit(0.001, 10.0), began=-20_000.0)
    given = new.handle_request(0.0, ask(1, 6.0))
    assert given is not None
    level = new.ledgers[KEY].level
    for number, (right, by) in enumerate(
        [(RightId(FENCE - 1, given.right_id.number), 1), (given.right_id, 2), (RightId(FENCE, 99), 1)], 2
    ):
        new.handle_request(0.1, ask(number, 0.0, ReturnedRight(right, 6.0), holder=by))
        assert new.ledgers[KEY].level == pytest.approx(level, abs=0.01)
    new.handle_request(0.2, ask(8, 0.0, ReturnedRight(given.right_id, 2.5)))
    assert new.ledgers[KEY].level == pytest.approx(level + 2.5, abs=0.01)
    new.handle_request(0.3, ask(9, 0.0, ReturnedRight(given.right_id, 2.5)))
    assert new.ledgers[KEY].level == pytest.approx(level + 2.5, abs=0.01)
    late = new.handle_request(0.4, ask(10, 3.0))
    assert late is not None
    new.handle_request(1.5, ask(11, 0.0, ReturnedRight(late.right_id, 3.0)))  # after its end
    assert new.ledgers[KEY].level == pytest.approx(level + 2.5 - 3.0, abs=0.01)


def test_an_ask_meant_for_an_earlier_allocator_is_not_taken_up() -> None:
    new = allocator()
    assert (
        new.handle_request(FULL, ask(1, 1.0, ReturnedRight(RightId(FENCE - 1, 1), 5.0), fence=FENCE - 1))
        is None
    )
    assert new.ledgers == {}


def test_a_limit_lowered_below_what_is_out_gives_out_nothing_until_that_has_come_back() -> None:
    new = allocator(Limit(2.0, 10.0))
    new.handle_request(FULL, ask(1, 9.0))
    new.set_limits(FULL, {"paid": Limit(2.0, 3.0)})
    assert new.ledgers[KEY].level < 0
    assert units(new.handle_request(FULL + 0.9, ask(2, 1.0))) == 0
    assert units(new.handle_request(FULL + 6.0, ask(3, 9.0))) == pytest.approx(3.0)
    new.set_limits(FULL + 6.0, {"paid": Limit(2.0, 4.0)})
    assert units(new.handle_request(FULL + 6.0, ask(4, 9.0))) == pytest.approx(1.0)  # the difference, no more


def test_a_limit_that_is_gone_or_never_was_is_not_answered() -> None:
    new = allocator()
    assert new.handle_request(FULL, RightsRequest(0, FENCE, 1, 1, "other/acme", 1.0, 0.0)) is None
    new.handle_request(FULL, ask(1, 1.0))
    new.set_limits(FULL, {})
    assert new.handle_request(FULL, ask(2, 1.0)) is None


def test_a_limit_that_comes_back_is_not_full_beside_rights_of_before() -> None:
    new = allocator()
    new.handle_request(FULL, ask(1, 9.0))
    new.set_limits(FULL, {})
    assert new.handle_request(FULL, ask(2, 1.0)) is None
    new.set_limits(FULL + 0.1, {"paid": Limit(2.0, 10.0)})
    assert units(new.handle_request(FULL + 0.1, ask(3, 10.0))) <= 1.0 + 1e-9


def test_after_a_longer_lease_a_new_allocator_waits_for_that() -> None:
    times = Times(lease=1.0, drift=0.0, answer=0.1, clear=4.0)
    new = Allocator(FENCE, 0.0, {"paid": Limit(2.0, 10.0)}, times, random.Random(1))
    assert units(new.handle_request(3.9, ask(1, 1.0))) == 0
    assert units(new.handle_request(5.0, ask(2, 9.0))) == pytest.approx(2.0)
    with pytest.raises(ValueError, match="longest lease"):
        Times(lease=1.0, clear=0.5)


def test_those_who_want_at_once_share_and_none_gets_less_than_is_of_use() -> None:
    new = allocator(Limit(2.0, 12.0), began=-20.0)
    assert units(new.handle_request(0.0, ask(1, 1.0, holder=1))) == pytest.approx(1.0)
    assert units(new.handle_request(0.1, ask(1, 30.0, holder=2))) <= 6.0  # half of what is there
    left = new.ledgers[KEY].level
    assert units(new.handle_request(0.1, ask(1, 30.0, holder=3, least=left))) == pytest.approx(left)
    assert units(new.handle_request(0.1, ask(1, 30.0, holder=4, least=2.0))) == 0


def test_nonsense_is_not_answered() -> None:
    new = allocator()
    for want, least in ((-1.0, 0.0), (float("inf"), 0.0), (1.0, 2.0), (float("nan"), 0.0)):
        assert new.handle_request(FULL, ask(1, want, least=least)) is None
    assert units(new.handle_request(FULL, ask(1, 1.0, ReturnedRight(RightId(FENCE, 1), float("nan"))))) == 1.0


def test_what_says_nothing_any_more_is_forgotten_and_comes_back_as_it_was() -> None:
    new = allocator(Limit(5.0, 10.0))
    new.handle_request(FULL, ask(1, 4.0))
    new.handle_request(FULL + 20, RightsRequest(0, FENCE, 2, 1, "paid/other", 1.0, 0.0))
    assert KEY not in new.ledgers
    assert units(new.handle_request(FULL + 20, ask(2, 20.0))) == pytest.approx(10.0)


# ---- the holder ----


def test_time_counts_from_the_first_ask_and_not_from_its_answer() -> None:
    made = holder()
    made.try_spend(0.0, KEY, 1.0)
    first = made.prepare_request(0.0, KEY)
    assert first is not None
    assert made.tick(0.11) == [first]  # the same once more
    made.handle_reply(0.2, RightsReply(1, first.request_number, KEY, RightId(FENCE, 1), 3.0, HOLDS))
    assert made.try_spend(0.99, KEY, 1.0)
    assert not made.try_spend(1.0, KEY, 1.0)


def test_the_slowest_holder_stops_before_the_fastest_allocator_gives_its_units_to_another() -> None:
    """Both count from the same moment, when the ask came: by true time the holder has to be through first."""
    for drift in (0.0, 0.02, 0.25):
        times = Times(lease=2.0, drift=drift)
        assert times.holder_lease_s / (1 - drift) <= times.lease / (1 + drift) + 1e-9


def test_a_right_lasts_no_longer_than_its_allocator_takes_it_for() -> None:
    """The two go by other settings, as in the middle of a change."""
    made = holder()
    made.try_spend(0.0, KEY, 1.0)
    asked = made.prepare_request(0.0, KEY)
    assert asked is not None
    made.handle_reply(0.01, RightsReply(1, asked.request_number, KEY, RightId(FENCE, 1), 3.0, HOLDS / 4))
    assert made.try_spend(0.24, KEY, 1.0)
    assert not made.try_spend(0.25, KEY, 1.0)


def test_the_work_of_a_wish_does_not_grow_with_the_limits_in_use() -> None:
    made = holder()
    for n in range(2_000):
        made.try_spend(0.0, f"paid/{n}", 1.0)
        made.prepare_request(0.0, f"paid/{n}")
    looked: list[str] = []
    real = made.prepare_request

    def seen(now: float, limit: str) -> RightsRequest | None:
        looked.append(limit)
        return real(now, limit)

    made.prepare_request = seen  # type: ignore[method-assign]
    made.try_spend(0.01, "paid/7", 1.0)
    assert made.tick(0.01) == []
    assert looked == []
    assert made.next_check_at() >= 0.01
    made.tick(0.2)
    assert len(looked) == 2_000  # each asks once more
    made.tick(60.0)
    made.tick(120.0)
    assert made.holdings == {}


def test_a_process_that_was_stopped_wakes_with_rights_that_have_ended() -> None:
    made = filled()
    assert not made.try_spend(20.0, KEY, 1.0)
    assert not any(closed.unused_units for each in made.tick(20.0) for closed in each.returned)


def test_answers_that_come_again_late_or_to_another_ask_add_nothing() -> None:
    made = filled(amount=2.0)
    again = RightsReply(1, 1, KEY, RightId(FENCE, 1), 2.0, HOLDS)
    assert not made.handle_reply(0.02, again)
    assert made.try_spend(0.03, KEY, 2.0)
    assert not made.handle_reply(0.04, again)
    assert not made.try_spend(0.05, KEY, 1.0)
    asked = made.prepare_request(0.05, KEY)
    assert asked is not None
    for now in (0.2, 0.4, 0.6):
        made.tick(now)
    assert not made.handle_reply(
        0.6, RightsReply(1, asked.request_number, KEY, RightId(FENCE, 2), 2.0, HOLDS)
    )  # it was let go of


def test_what_was_held_for_long_is_given_up_once_and_not_spent_any_more() -> None:
    made = filled(amount=5.0)
    made.try_spend(0.1, KEY, 1.0)
    asks = made.tick(0.75)
    assert [closed for each in asks for closed in each.returned] == [ReturnedRight(RightId(FENCE, 1), 4.0)]
    assert not made.try_spend(0.76, KEY, 1.0)
    assert made.tick(0.77) == []


def test_under_another_fence_nothing_of_the_old_one_is_given_up_and_late_words_are_not_followed() -> None:
    made = filled(amount=5.0)
    assert made.handle_announcement(0.1, 0, FENCE + 1, 100.0)
    assert not made.handle_announcement(0.2, 0, FENCE, 100.0)
    assert made.try_spend(0.3, KEY, 1.0)  # its time goes on: the new one waits for that
    assert all(not each.returned for each in made.tick(0.8))
    made.try_spend(0.9, KEY, 9.0)
    asked = made.prepare_request(0.9, KEY)
    assert asked is not None
    assert asked.fence == FENCE + 1


def test_what_was_used_up_under_an_earlier_fence_is_not_told_to_the_next() -> None:
    made = filled(amount=5.0)
    assert made.try_spend(0.1, KEY, 5.0)
    assert made.tick(0.1) == []  # told with the next ask
    made.handle_announcement(0.2, 0, FENCE + 1, 100.0)
    made.try_spend(0.3, KEY, 1.0)
    asked = made.prepare_request(0.3, KEY)
    assert asked is not None
    assert asked.returned == ()


def test_units_are_taken_from_rights_that_run_still() -> None:
    made = filled(now=0.0, amount=5.0)
    purse = made.holdings[KEY]
    purse.rights.append(HeldRight(RightId(FENCE, 2), 5.0, 9.0, 9.0))
    assert made.try_spend(2.0, KEY, 5.0)  # the first has ended, the second pays
    assert not made.try_spend(2.0, KEY, 5.0)


def test_nobody_is_asked_while_nobody_serves_and_what_it_is_told_to_wait_is_kept() -> None:
    made = Holder(1, 1, TIMES)
    assert not made.try_spend(0.0, KEY, 1.0)
    assert made.prepare_request(0.0, KEY) is None
    made.handle_announcement(0.0, 0, FENCE, 0.5)
    asked = made.prepare_request(0.1, KEY)
    assert asked is not None
    made.handle_reply(0.11, RightsReply(1, asked.request_number, KEY, RightId(FENCE, 0), 0.0, HOLDS, 200))
    assert not made.try_spend(0.2, KEY, 1.0)
    assert made.prepare_request(0.2, KEY) is None
    assert made.prepare_request(0.35, KEY) is not None
    assert made.prepare_request(0.7, KEY) is None  # it has not been heard since


def test_frequent_wishes_are_asked_for_ahead_and_rare_ones_as_they_come() -> None:
    made = filled(amount=1.0)
    assert made.try_spend(0.05, KEY, 1.0)
    assert made.prepare_request(0.05, KEY) is None  # one wish says nothing of the next
    for n in range(40):
        made.try_spend(0.06 + n / 1000, KEY, 1.0)
    asked = made.prepare_request(0.11, KEY)
    assert asked is not None
    assert asked.wanted_units > 5.0


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
def test_settings_that_cannot_hold_are_named_with_what_would_be_right(
    raw: dict[str, object], where: str, right: str
) -> None:
    with pytest.raises(ValidationError) as found:
        read_rights_settings(Table({"rights": raw}).read_table("rights"), drift=0.02)
    assert where in str(found.value)
    assert right in str(found.value)


def test_only_the_part_that_is_not_split_evenly_is_given_out() -> None:
    raw = {"ceilings": 0.7, "limits": {"paid": {"rate": 10, "burst": 40}}}
    found = read_rights_settings(Table({"rights": raw}).read_table("rights"), drift=0.02)
    assert found.allocated_limits == {"paid": Limit(7.0, 28.0)}
    assert found.limits == {"paid": Limit(10.0, 40.0)}


def test_parts_share_the_limits_evenly_and_the_same_everywhere() -> None:
    parts = [partition_of(f"paid/{n}", 4) for n in range(4_000)]
    assert all(900 < parts.count(part) < 1_100 for part in range(4))
    assert partition_of("paid/acme", 4) == partition_of("paid/acme", 4)
