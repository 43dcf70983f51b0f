"""Room for what has to be held whole, over drawn orders of asking, leaving and giving back."""

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
        if budget.ask(who, size, go):
            go()

    for number, (what, size) in enumerate(steps):
        if what == "ask":
            ask(number, size)
        elif what == "give" and has:
            budget.give_back(has.pop(next(iter(has))))
        elif what == "leave" and budget.waiting:
            gone = next(iter(budget.waiting))
            budget.leave(gone)
            asked.remove(gone)  # type: ignore[arg-type]
        assert budget.held == sum(has.values()) <= budget.most
        first = next(iter(budget.waiting.values()), None)
        assert first is None or budget.held + first[0] > budget.most, "whoever is first and fits has it"
    while has:
        budget.give_back(has.pop(next(iter(has))))
    assert not budget.waiting and granted == asked


def test_more_than_there_is_in_all_is_refused_at_once() -> None:
    with pytest.raises(ValueError):
        MemoryBudget(10).ask("who", 11, lambda: None)
