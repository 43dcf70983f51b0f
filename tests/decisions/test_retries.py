"""A client's further tries join the chances of its first: what is late already takes what is to spare."""

from __future__ import annotations

from helpers import BASIC, Counter, World, entry, refusals, sends

from mintford import interface as api
from mintford.attempts import TOLD_MS, Attempts
from mintford.quotas import PRESSED


def ask(world: World, counter: Counter, life: float, customer: str = "c") -> list[api.Action]:
    return counter.play(world, world.ask(customer=customer, life=life))


def test_how_long_ago_a_first_try_began_is_told_by_how_little_patience_is_left() -> None:
    attempts, kind = Attempts(World().gateway.settings), World().gateway.classes["view"]
    assert attempts.gone(kind, 1800) == 0, "the first of a class: its own measure"
    assert attempts.gone(kind, 1800 - TOLD_MS + 1) == 0, "the way here may have taken that"
    assert attempts.gone(kind, 1000) == 2000
    assert attempts.gone(kind, 2500) == 0, "a longer patience is the new measure"
    assert attempts.gone(kind, 1800) == 1200
    other = World().gateway.classes["order"]
    assert attempts.gone(other, 900) == 0, "by class"


def test_a_try_that_is_late_already_does_not_take_the_last_units_of_a_store() -> None:
    world, counter = World([entry(n) for n in range(40)]), Counter()  # so that quotas alone refuse
    assert sends(ask(world, counter, life=2000))
    c = world.gateway.quotas.customers["c"]
    while c.store >= PRESSED * BASIC.burst:
        assert sends(ask(world, counter, life=2000))
    late = ask(world, counter, life=1500)  # 1.5 s after its first try began; the aim was 1 s
    assert refusals(late) and not sends(late)
    assert sends(ask(world, counter, life=2000)), "a fresh one gets the unit"


def test_a_late_try_is_served_where_nobody_else_wants_what_it_takes() -> None:
    world, counter = World(), Counter()
    ask(world, counter, life=2000)
    assert sends(ask(world, counter, life=1500, customer="idle"))


def test_a_late_try_is_refused_while_the_backends_are_busy() -> None:
    world, counter = World(), Counter()
    for n in range(8):  # out, with nothing answered: well over what three backends always may hold
        ask(world, counter, life=2000, customer=f"c{n}")
    late = ask(world, counter, life=1500, customer="idle")
    assert refusals(late) and not sends(late)
