"""The memory budget, with drawn sequences of acquiring, releasing and cancelling."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpulley.core.budget import MemoryBudget

steps = st.lists(st.tuples(st.sampled_from(["ask", "give", "leave"]), st.integers(1, 10)), max_size=60)


@given(steps)
def test_never_over_in_order_and_nobody_waits_for_ever(steps: list[tuple[str, int]]) -> None:
    budget, has, granted = MemoryBudget(10), dict[int, int](), list[int]()
    asked: list[int] = []

    def ask(who: int, size: int) -> None:
        def go() -> None:
            has[who] = size
            granted.append(who)

        asked.append(who)
        if budget.acquire(who, size, go):
            go()

    for number, (what, size) in enumerate(steps):
        if what == "ask":
            ask(number, size)
        elif what == "give" and has:
            budget.release(has.pop(next(iter(has))))
        elif what == "leave" and budget.waiters:
            gone = next(iter(budget.waiters))
            budget.cancel_wait(gone)
            asked.remove(gone)  # type: ignore[arg-type]
        assert budget.reserved == sum(has.values()) <= budget.capacity
        first = next(iter(budget.waiters.values()), None)
        assert first is None or budget.reserved + first[0] > budget.capacity, (
            "whoever is first and fits has it"
        )
    while has:
        budget.release(has.pop(next(iter(has))))
    assert not budget.waiters and granted == asked


def test_more_than_the_capacity_raises_value_error() -> None:
    with pytest.raises(ValueError):
        MemoryBudget(10).acquire("who", 11, lambda: None)
