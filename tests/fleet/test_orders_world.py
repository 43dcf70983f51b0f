"""Random histories of orders: books form one sequence, no follower is stale, mistakes are found."""

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
# Five voters and short holdings of the duty: publishers often change in the middle of a change.
HASTY = Draw(voters=5, others=0, holding=1.0, wishes=4.0, loss=0.25, late=0.25, restarts=0.01)
FORGETFUL = Draw(disk=0.0, restarts=0.04, holding=2.0, wishes=3.0)
SEEDS = 25


@pytest.mark.parametrize("draw", [USUAL, HASTY, FORGETFUL], ids=["usual", "hasty", "forgetful"])
def test_books_form_one_sequence_and_followers_are_not_stale(draw: Draw) -> None:
    """If voters lose their memory, an acknowledged order may be lost only with all voters that had it."""
    worlds = [World(draw, seed).run() for seed in range(SEEDS)]
    assert sum(world.outcomes for world in worlds) > 5 * SEEDS
    assert all(len(world.reached) > 1 for world in worlds)
    for world in worlds:
        assert not world.broken or (draw is FORGETFUL and world.read_blank), (world.seed, world.broken[0])


def test_publisher_continues_without_a_majority_with_memory() -> None:
    found = [World(FORGETFUL, seed).run() for seed in range(SEEDS)]
    assert sum(world.read_blank for world in found) > SEEDS / 4


def accept_lower_fences(patch: pytest.MonkeyPatch) -> None:
    def told(self: VoterState, book: OrderBook) -> VoterState:
        return VoterState(book, max(self.promised, book.version.fence), True)

    patch.setattr(VoterState, "accept", told)


def count_voters_without_memory(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(VoterState, "make_reply", lambda self: VoterReply(self.promised, self.book.version, True))


def publish_without_replicating(patch: pytest.MonkeyPatch) -> None:
    real = Publisher._advance

    def look(self: Publisher) -> None:
        reading = self.state is PublisherState.READING
        real(self)
        if reading and self.state is PublisherState.REPLICATING:
            self.state, self.published = PublisherState.READY, self.book

    patch.setattr(Publisher, "_advance", look)


def read_without_the_book(patch: pytest.MonkeyPatch) -> None:
    real = Publisher.handle_voter_reply

    def kept(self: Publisher, voter: str, keeps: VoterReply, book: OrderBook | None) -> None:
        if self.state is PublisherState.READING and keeps.promised == self.fence:
            keeps = VoterReply(keeps.promised, min(keeps.version, self.book.version), keeps.whole)
        real(self, voter, keeps, book)

    patch.setattr(Publisher, "handle_voter_reply", kept)


def accept_any_majority(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(publishing, "majority_size", lambda voters: 1)


def follow_lower_versions(patch: pytest.MonkeyPatch) -> None:
    real = Follower.handle_reply

    def standing(self: Follower, now: float, said: PollReply) -> bool:
        before, self.book = self.book, OrderBook()
        changed = real(self, now, said)
        self.book = self.book if changed or self.pending_reply is said else before
        return changed

    patch.setattr(Follower, "handle_reply", standing)


def accept_any_reply(patch: pytest.MonkeyPatch) -> None:
    real = Follower.handle_reply

    def standing(self: Follower, now: float, said: PollReply) -> bool:
        self.open_polls.setdefault(said.number, now)
        return real(self, now, said)

    patch.setattr(Follower, "handle_reply", standing)


def never_expire(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Follower, "is_fresh", lambda self, now: self.fresh_until > -math.inf)


@pytest.mark.parametrize(
    ("mistake", "draw"),
    [
        (accept_lower_fences, HASTY),
        (count_voters_without_memory, FORGETFUL),
        (publish_without_replicating, replace(HASTY, holding=0.4, loss=0.5, wishes=10.0)),
        (read_without_the_book, HASTY),
        (accept_any_majority, HASTY),
        (follow_lower_versions, HASTY),
        (accept_any_reply, replace(USUAL, holds=1.3, stops=0.2, late=0.5)),
        (never_expire, USUAL),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_planted_mistake_is_found(
    mistake: Callable[[pytest.MonkeyPatch], None], draw: Draw, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The history must be correct without the mistake, as some are not if voters lose their memory."""

    def finds(seed: int) -> bool:
        with monkeypatch.context() as patch:
            mistake(patch)
            broken = World(draw, seed).run().broken
        return bool(broken) and not World(draw, seed).run().broken

    found = next((seed for seed in range(300) if finds(seed)), None)
    assert found is not None
    print(f"{mistake.__name__}: history {found}")
