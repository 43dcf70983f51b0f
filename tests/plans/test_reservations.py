"""Compares reservations with a plain sum over every second, and the step function with a plain list."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from roadpulley.checks import ValidationError
from roadpulley.plans import step_function
from roadpulley.plans.reservations import MICRO, Rejection, Reservation, ReservationLedger, TermsTimeline
from roadpulley.plans.step_function import StepFunction
from roadpulley.plans.terms import Terms

A, B, S = "00000000000000aa", "00000000000000bb", 1_000
TERMS = {A: Terms(rate=10, burst=10, ceiling_rate=16, ceiling_burst=20), B: Terms(rate=6, burst=10)}
LOWER = Terms(rate=4, burst=10, ceiling_rate=16, ceiling_burst=20)
SPAN = 20  # seconds within which a plan may be lowered


def make_ledger(lowered: list[int] | None = None) -> ReservationLedger:
    """Return a ledger in which A's plan is lowered from each of these seconds on."""

    def bounds(customer: str, since: int) -> TermsTimeline:
        rows: list[tuple[int, Terms | None]] = [(0, TERMS[customer])]
        rows += [(at * S, LOWER) for at in (lowered or []) if customer == A]
        return tuple(rows)

    return ReservationLedger(8.0, bounds)


@given(
    steps_=st.lists(st.tuples(st.integers(0, 60), st.integers(0, 60), st.integers(-5, 9)), max_size=60),
    block=st.integers(1, 4),
    asked=st.tuples(st.integers(0, 60), st.integers(0, 60), st.integers(-9, 40)),
)
@settings(max_examples=300, deadline=None)
def test_step_function_matches_a_plain_list(
    steps_: list[Any], block: int, asked: tuple[int, int, int]
) -> None:
    """The blocks are so small that they are split often."""
    plain, default_block_steps = [0] * 61, step_function.BLOCK_STEPS
    step_function.BLOCK_STEPS = block
    try:
        fast = StepFunction()
        for start, end, amount in steps_:
            fast.add(start, end, amount)
            for at in range(start, end):
                plain[at] += amount
        low, high, limit = asked
        assert fast.get_max(low, high) == max(plain[low:high], default=0)
        over = next((at for at in range(low, high) if plain[at] > limit), None)
        found = fast.find_first_above(low, high, limit)
        assert (found[0] if found else None) == over
        if found:
            assert found[1] == next((at for at in range(found[0], high) if plain[at] <= limit), high)
        beyond = [at + 1 for at in range(low, high) if plain[at] > limit]
        assert fast.find_last_end_above(low, high, limit) == (beyond[-1] if beyond else None)
        fast.drop_before(low)
        assert fast.get_max(low, 61) == max(plain[low:], default=0)
    finally:
        step_function.BLOCK_STEPS = default_block_steps


ASK = st.tuples(
    st.just("ask"),
    st.sampled_from((A, B)),
    st.integers(0, 12),
    st.integers(1, 8),
    st.integers(1, 60),
    st.booleans(),
)
DO = st.one_of(
    ASK,
    ASK,
    st.tuples(st.just("cancel"), st.integers(0, 30)),
    st.tuples(st.just("lower"), st.integers(0, SPAN)),
    st.tuples(st.just("wait"), st.integers(1, 4)),
)


def sum_rates(reservations: list[Reservation], at: int, on_top: bool, who: str | None = None) -> int:
    rows = (r for r in reservations if r.on_top == on_top and who in (None, r.customer))
    return sum(r.rate_micro for r in rows if r.start <= at * S < r.effective_end)


@given(todo=st.lists(DO, max_size=30))
@settings(max_examples=200, deadline=None)
def test_reservations_stay_within_limits_and_offers_fit(todo: list[Any]) -> None:
    lowered: list[int] = []
    ledger, made, now = make_ledger(lowered), list[Reservation](), 0

    def fits(r: Reservation) -> bool:
        for at in range(r.start // S, min(r.end // S, 400)):
            terms = LOWER if r.customer == A and any(t <= at for t in lowered) else TERMS[r.customer]
            most = terms.ceiling_rate - terms.rate if r.on_top else terms.rate
            if terms.ceiling_rate or not r.on_top:
                if sum_rates(made, at, r.on_top, r.customer) + r.rate_micro > most * MICRO:
                    return False
            if r.on_top and sum_rates(made, at, True) + r.rate_micro > 8 * MICRO:
                return False
        return True

    for number, what in enumerate(todo):
        if what[0] == "wait":
            now += what[1]
            over = ledger.expire(now * S)
            assert {r.id for r in over} == {r.id for r in made if r.effective_end <= now * S}
            made = [r for r in made if r.effective_end > now * S]
        elif what[0] == "lower":
            lowered[:] = [min([what[1], *lowered])]
        elif what[0] == "cancel" and made:
            r = ledger.cancel(now * S, made[what[1] % len(made)].id)
            ledger.apply(r)
            made = [r if r.id == one.id else one for one in made]
        elif what[0] == "ask":
            _, who, ahead, length, units, on_top = what
            start = (now + ahead) * S
            r = Reservation(f"r{number}", who, units, start, start + length * S, on_top)
            answer = ledger.admit(now * S, r)
            assert isinstance(answer, Reservation) == fits(r), (answer, r)
            if isinstance(answer, Rejection):
                check_offer(answer, r, fits)
                continue
            ledger.apply(answer)
            made.append(answer)
            assert ledger.admit(now * S, r) == answer  # repeated, as after a lost answer


def check_offer(no: Rejection, r: Reservation, fits: Any) -> None:
    """The offered units and start fit, and neither more units nor an earlier start would."""
    from dataclasses import replace

    if no.available_units:
        assert no.available_units < r.units and fits(replace(r, units=no.available_units))
    assert not fits(replace(r, units=no.available_units + 1))
    assert r.start <= no.exceeded_at < r.end
    if no.next_start is not None:
        shift = no.next_start - r.start
        assert shift > 0 and fits(replace(r, start=no.next_start, end=r.end + shift))
        for sooner in range(S, shift, S):
            assert not fits(replace(r, start=r.start + sooner, end=r.end + sooner))


def test_reservation_may_start_when_another_ends() -> None:
    ledger = make_ledger()
    for number in range(10):
        r = Reservation(f"r{number}", A, 20, 1_001 + number * 2_000, 3_001 + number * 2_000)
        answer = ledger.admit(0, r)
        assert isinstance(answer, Reservation)
        ledger.apply(answer)
    no = ledger.admit(0, Reservation("x", A, 20, 2_000, 4_000))
    assert isinstance(no, Rejection) and (no.limit, no.available_units, no.next_start) == ("plan", 0, 21_001)


def test_lowered_plan_keeps_its_reservations_and_is_reported() -> None:
    lowered: list[int] = []
    ledger = make_ledger(lowered)
    answer = ledger.admit(0, Reservation("r", A, 80, 0, 10_000))
    assert isinstance(answer, Reservation)
    ledger.apply(answer)
    assert list(ledger.find_overcommitted(0)) == []
    lowered.append(5)
    assert list(ledger.find_overcommitted(0)) == [(A, 5_000)]
    no = ledger.admit(0, Reservation("s", A, 1, 6_000, 8_000))
    assert isinstance(no, Rejection) and no.limit == "plan"
    ledger.apply(ledger.cancel(3_000, "r"))
    assert list(ledger.find_overcommitted(0)) == []
    assert isinstance(ledger.admit(0, Reservation("s", A, 1, 6_000, 8_000)), Reservation)


@pytest.mark.parametrize(
    ("r", "place"),
    [
        (Reservation("r", A, 0, 0, 5_000), "units"),
        (Reservation("r", A, 1, 0, 999), "until"),
        (Reservation("r", A, 1, 9_000, 5_000), "until"),
        (Reservation("r", A, 1, -1_001, 5_000), "from"),
    ],
)
def test_impossible_reservation_is_rejected_with_its_field(r: Reservation, place: str) -> None:
    with pytest.raises(ValidationError, match=place):
        make_ledger().admit(0, r)
    with pytest.raises(ValidationError, match="no reservation that is open"):
        make_ledger().cancel(0, "r")
