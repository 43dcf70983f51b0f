"""A backend's name is taken over by another process while a request of the old one may have run."""

from __future__ import annotations

import dataclasses

import pytest
from helpers import KEYED, World, backends, entry, sends

from mintford import interface as api

WAIT_MS = 3_000


def plays(seed: int) -> tuple[World, api.Send]:
    """Two cells of three backends, and one keyed request that is out in one of them."""
    world = World([entry(n, cell=n % 2) for n in range(6)], seed=seed, classes=(KEYED,), has_counter=False)
    (sent,) = sends(world.ask(name=KEYED.name, plan="free", spread=1, life=WAIT_MS))
    return world, sent


# Report c39a3a, picture (e): a repeat followed the backend's name into another group, where it runs again.
@pytest.mark.parametrize("seed", range(12))
def test_a_repeat_stays_in_the_group_in_which_its_first_attempt_may_have_run(seed: int) -> None:
    world, sent = plays(seed)
    old_cell = sent.backend % 2
    others = [n for n in range(6) if n != sent.backend]
    moved = dataclasses.replace(entry(sent.backend), cell=1 - old_cell, started=world.now)
    world.give(backends(*(entry(n, cell=n % 2) for n in others), moved))
    repeats = sends(world.end(sent, api.Outcome.RESET))
    assert all(repeat.backend in others and repeat.backend % 2 == old_cell for repeat in repeats)
    assert repeats, "two backends of its group are left"
