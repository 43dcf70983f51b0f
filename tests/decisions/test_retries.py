"""Further tries of a client are judged by its first try, and units go to the most important requests."""

from __future__ import annotations

import pytest
from helpers import BASIC, KEYED, SAFE, Counter, World, entry, refusals, sends

from mintford import interface as api
from mintford.attempts import MAX_TRANSIT_DIFFERENCE_MS, Attempts
from mintford.quotas import LOW_STORE_RATIO
from mintford.reading import read_worst_class
from mintford.shedding import MAX_RESERVED_BURST_RATIO

MANY = [entry(n) for n in range(40)]  # so many that only quotas refuse


def ask(world: World, life: float, repeat: bool, customer: str = "c") -> list[api.Action]:
    """Send a request of the most important class, so that no units are reserved for another class."""
    world.serial += 1
    event = api.RequestArrived(
        f"r{world.serial}", KEYED.name, "basic", customer, world.now + life, 1.0, 2, 0, repeat
    )
    return Counter().play(world, world.give(event))


def test_elapsed_time_since_the_first_try_follows_from_a_repeat_s_wait() -> None:
    attempts, kind = Attempts(World().gateway.settings), World().gateway.classes["view"]
    assert attempts.estimate_elapsed(kind, 1800, True) == 0, "no first try is known yet"
    assert attempts.estimate_elapsed(kind, 1800, False) == 0
    assert attempts.estimate_elapsed(kind, 1800 - MAX_TRANSIT_DIFFERENCE_MS + 1, True) == 0, (
        "as long as a first try, so nothing can be concluded"
    )
    assert attempts.estimate_elapsed(kind, 1000, True) == 2000, "the rest of the deadline"
    assert attempts.estimate_elapsed(kind, 2500, True) == 500, "a last try gets the rest of the deadline"
    assert attempts.estimate_elapsed(kind, 1000, False) == 0, "a client that waits only a short time"
    other = World().gateway.classes["order"]
    assert attempts.estimate_elapsed(other, 900, True) == 0, "by class"


def test_late_try_does_not_take_the_last_units_of_a_store() -> None:
    world = World(MANY, has_counter=False)
    world.pass_time(10_000)
    assert sends(ask(world, 2000, False))
    c = world.gateway.quotas.customers["c"]
    c.store = LOW_STORE_RATIO * c.plan.burst - 1
    late = ask(world, 1500, True)  # 1.5 s after its first try, with a latency target of 1 s
    assert refusals(late) and not sends(late)
    assert sends(ask(world, 2600, True)), "a retry that can be in time gets the unit"


def test_late_try_is_served_from_spare_quota_and_capacity() -> None:
    world = World(MANY)
    ask(world, 2000, False)
    assert sends(ask(world, 1500, True, customer="idle"))


def test_late_try_is_refused_while_the_backends_are_busy() -> None:
    world = World()
    for n in range(4):  # open and unanswered: almost the free attempts of three backends
        assert sends(ask(world, 2000, False, customer=f"c{n}"))
    late = ask(world, 1500, True, customer="idle")
    assert refusals(late) and not sends(late)


@pytest.mark.parametrize(("goal", "part"), [({}, 1.0), (dict(whole=0.9, worstClass=0.1), 0.5)])
def test_less_important_class_leaves_units_to_more_important_ones(
    goal: dict[str, float], part: float
) -> None:
    """The safe class is worth a quarter of the keyed one and leaves three quarters of the reserved units.

    Less is reserved where the class with the worst result counts on its own.
    """
    world, counter = (
        World(MANY, capabilities=api.Capabilities(worst_class_weight=read_worst_class(goal))),
        Counter(),
    )
    world.pass_time(10_000)
    reserved = part * MAX_RESERVED_BURST_RATIO * (1 - SAFE.importance / KEYED.importance) * BASIC.burst

    def through(name: str) -> int:
        return sum(len(sends(counter.play(world, world.ask(name, spread=1)))) for _ in range(40))

    through(SAFE.name)
    c = world.gateway.quotas.customers["c"]
    assert c.is_store_known() and reserved <= c.store < reserved + 1
    remaining = int(c.store)
    assert remaining >= 1 and through(KEYED.name) == remaining
