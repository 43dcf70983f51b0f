"""A long response that is held until it is whole: not overdue, not final, and replaced if it breaks."""

from __future__ import annotations

import pytest
from helpers import World, sends

from mintford import interface as api


def begin(world: World, send: api.Send, is_held: bool) -> list[api.Action]:
    return world.give(api.ResponseStarted(send.request, send.attempt, send.backend, is_held))


def final_answers(actions: list[api.Action]) -> list[api.Action]:
    return [a for a in actions if isinstance(a, api.Refuse | api.Fail)]


def test_an_attempt_whose_response_is_held_is_not_overdue_and_ends_with_its_request() -> None:
    world = World(has_counter=False)
    (send,) = sends(world.ask())
    assert not begin(world, send, is_held=True)
    actions = world.pass_time(2_900)
    assert not sends(actions) and not final_answers(actions)
    actions = world.pass_time(200)
    assert len(final_answers(actions)) == 1
    assert [a.attempt for a in actions if isinstance(a, api.Cancel)] == [0]


@pytest.mark.parametrize("name", ["view", "wipe"])
def test_a_held_response_that_breaks_is_replaced_only_if_the_request_may_run_again(name: str) -> None:
    world = World(has_counter=False)
    (send,) = sends(world.ask(name))
    begin(world, send, is_held=True)
    world.pass_time(50)
    actions = world.end(send, api.Outcome.RESET)
    assert len(sends(actions)) == (name == "view")
    assert len(final_answers(actions)) == (name == "wipe")


def test_a_held_response_that_is_whole_ends_the_request() -> None:
    world = World(has_counter=False)
    (send,) = sends(world.ask())
    begin(world, send, is_held=True)
    world.end(send)
    assert not world.gateway.attempts.requests and not world.gateway.attempts.in_flight
    assert not final_answers(world.pass_time(4_000))


def test_a_response_that_is_streamed_is_final() -> None:
    world = World(has_counter=False)
    (send,) = sends(world.ask())
    begin(world, send, is_held=False)
    assert not world.gateway.attempts.requests
    actions = world.end(send, api.Outcome.RESET)
    assert not sends(actions) and not final_answers(actions)


def test_a_held_response_that_is_sent_after_all_is_final() -> None:
    world = World(has_counter=False)
    (send,) = sends(world.ask())
    begin(world, send, is_held=True)
    world.pass_time(1_000)
    assert not begin(world, send, is_held=False)
    assert not world.gateway.attempts.requests
    assert not final_answers(world.pass_time(4_000))
    assert not sends(world.end(send, api.Outcome.RESET)) and not world.gateway.attempts.in_flight


@pytest.mark.parametrize("name", ["view", "wipe"])
def test_a_held_response_that_stops_is_overdue_only_if_the_request_may_run_again(name: str) -> None:
    """An unsafe request has no other attempt, and its backend may go on."""
    world = World(has_counter=False)
    (send,) = sends(world.ask(name))
    begin(world, send, is_held=True)
    world.pass_time(100)
    actions = world.give(api.ResponseStalled(send.request, send.attempt))
    assert [a.attempt for a in actions if isinstance(a, api.Cancel)] == ([0] if name == "view" else [])
    assert not final_answers(actions)
    if name == "view":
        assert len(sends(world.end(send, api.Outcome.CANCELLED))) == 1


def test_a_report_on_a_response_that_has_ended_changes_nothing() -> None:
    world = World(has_counter=False)
    (send,) = sends(world.ask())
    begin(world, send, is_held=True)
    world.end(send)
    assert not world.give(api.ResponseStalled(send.request, send.attempt))
    assert not world.give(api.ResponseStalled("unknown", 0))
