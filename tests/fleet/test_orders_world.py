"""The book of orders in drawn histories: one line of books, nobody stale; and the mistakes that they find."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace

import pytest

from roadpulley.fleet.orders import publisher as publishing
from roadpulley.fleet.orders.follower import Follower
from roadpulley.fleet.orders.messages import OrderBook, PollReply, VoterReply
from roadpulley.fleet.orders.publisher import Publisher, PublisherState
from roadpulley.fleet.orders.voter import VoterState
from roadpulley.testbed.orders_world import Draw, World

USUAL = Draw()
# Five voters and short holdings: the next publisher often comes in the middle of a change.
HASTY = Draw(voters=5, others=0, holding=1.0, wishes=4.0, loss=0.25, late=0.25, restarts=0.01)
FORGETFUL = Draw(disk=0.0, restarts=0.04, holding=2.0, wishes=3.0)
SEEDS = 25


@pytest.mark.parametrize("draw", [USUAL, HASTY, FORGETFUL], ids=["usual", "hasty", "forgetful"])
def test_books_form_one_line_and_who_goes_by_them_is_not_stale(draw: Draw) -> None:
    """Where memories are lost, an acknowledged order may be gone only with all voters that had it."""
    worlds = [World(draw, seed).run() for seed in range(SEEDS)]
    assert sum(world.outcomes for world in worlds) > 5 * SEEDS
    assert all(len(world.reached) > 1 for world in worlds)
    for world in worlds:
        assert not world.broken or (draw is FORGETFUL and world.read_blank), (world.seed, world.broken[0])


def test_a_publisher_goes_on_without_the_memory_of_some_only_where_all_were_asked() -> None:
    found = [World(FORGETFUL, seed).run() for seed in range(SEEDS)]
    assert sum(world.read_blank for world in found) > SEEDS / 4


def lower_fence(patch: pytest.MonkeyPatch) -> None:
    def told(self: VoterState, book: OrderBook) -> VoterState:
        return VoterState(book, max(self.promised, book.version.fence), True)

    patch.setattr(VoterState, "accept", told)


def lost_and_counts(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(VoterState, "make_reply", lambda self: VoterReply(self.promised, self.book.version, True))


def not_taken_anew(patch: pytest.MonkeyPatch) -> None:
    real = Publisher._advance

    def look(self: Publisher) -> None:
        reading = self.state is PublisherState.READING
        real(self)
        if reading and self.state is PublisherState.REPLICATING:
            self.state, self.published = PublisherState.READY, self.book

    patch.setattr(Publisher, "_advance", look)


def without_its_book(patch: pytest.MonkeyPatch) -> None:
    real = Publisher.handle_voter_reply

    def kept(self: Publisher, voter: str, keeps: VoterReply, book: OrderBook | None) -> None:
        if self.state is PublisherState.READING and keeps.promised == self.fence:
            keeps = VoterReply(keeps.promised, min(keeps.version, self.book.version), keeps.whole)
        real(self, voter, keeps, book)

    patch.setattr(Publisher, "handle_voter_reply", kept)


def one_is_enough(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(publishing, "majority_size", lambda voters: 1)


def back_to_a_lower_book(patch: pytest.MonkeyPatch) -> None:
    real = Follower.handle_reply

    def standing(self: Follower, now: float, said: PollReply) -> bool:
        before, self.book = self.book, OrderBook()
        changed = real(self, now, said)
        self.book = self.book if changed or self.pending_reply is said else before
        return changed

    patch.setattr(Follower, "handle_reply", standing)


def any_answer_counts(patch: pytest.MonkeyPatch) -> None:
    real = Follower.handle_reply

    def standing(self: Follower, now: float, said: PollReply) -> bool:
        self.open_polls.setdefault(said.number, now)
        return real(self, now, said)

    patch.setattr(Follower, "handle_reply", standing)


def holds_for_ever(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Follower, "is_fresh", lambda self, now: self.fresh_until > -math.inf)


@pytest.mark.parametrize(
    ("mistake", "draw"),
    [
        (lower_fence, HASTY),
        (lost_and_counts, FORGETFUL),
        (not_taken_anew, replace(HASTY, holding=0.4, loss=0.5, wishes=10.0)),
        (without_its_book, HASTY),
        (one_is_enough, HASTY),
        (back_to_a_lower_book, HASTY),
        (any_answer_counts, replace(USUAL, holds=1.3, stops=0.2, late=0.5)),
        (holds_for_ever, USUAL),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_a_mistake_is_found(
    mistake: Callable[[pytest.MonkeyPatch], None], draw: Draw, monkeypatch: pytest.MonkeyPatch
) -> None:
    """By a history that is not broken without it: where memories are lost, some are."""

    def finds(seed: int) -> bool:
        with monkeypatch.context() as patch:
            mistake(patch)
            broken = World(draw, seed).run().broken
        return bool(broken) and not World(draw, seed).run().broken

    found = next((seed for seed in range(300) if finds(seed)), None)
    assert found is not None
    print(f"{mistake.__name__}: history {found}")
