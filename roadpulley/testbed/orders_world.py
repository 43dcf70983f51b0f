"""Drawn histories of the book of orders in virtual time: all its machines beside exact books.

The duty is played by its own invariant: fences rise, and a holder has stopped before the next begins. All
else goes wrong: messages are lost, repeated and late, instances stand still or restart with nothing, a
publisher is followed by the next in the middle of a change, clocks run apart.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from roadpulley.fleet.duties.voter_config import initial_config
from roadpulley.fleet.orders.follower import Follower, FollowerSettings
from roadpulley.fleet.orders.messages import (
    ChangeRequest,
    Order,
    OrderBook,
    Poll,
    PollReply,
    PrepareRequest,
    PublisherAnnouncement,
    VoterReply,
    split_into_pages,
)
from roadpulley.fleet.orders.publisher import Publisher, PublisherState
from roadpulley.fleet.orders.voter import VoterState

STEP_S = 0.05
ANSWER_S = 0.1
SUBJECTS = ("a", "b", "c")


@dataclass(frozen=True)
class Draw:
    """Rates of what goes wrong; seconds."""

    seconds: float = 40.0
    voters: int = 3
    others: int = 2
    loss: float = 0.1
    repeats: float = 0.1
    late: float = 0.1  # share of the messages that take up to `latest`
    latest: float = 3.0
    restarts: float = 0.03  # a second and instance
    stops: float = 0.05
    longest_stop: float = 4.0
    holding: float = 4.0  # of the duty, on average
    wishes: float = 1.0  # a second
    disk: float = 0.5  # share of the instances that remember over a restart
    drift: float = 0.02
    holds: float = 2.0


@dataclass
class Instance:
    """One process, and what it has. `rate`: of its clock."""

    name: str
    rate: float
    disk: bool
    follower: Follower
    kept: VoterState = field(default_factory=VoterState)
    publisher: Publisher | None = None
    stopped_until: float = 0.0
    boot: int = 0
    said: dict[str, tuple[VoterReply, OrderBook | None]] = field(default_factory=dict)


@dataclass
class World:
    draw: Draw
    seed: int

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        draw, rng = self.draw, self.rng
        self.voters = [f"v{n}" for n in range(draw.voters)]
        names = self.voters + [f"o{n}" for n in range(draw.others)]
        self.terms = FollowerSettings(0.3, draw.holds, False, draw.drift)
        self.nodes: dict[str, Instance] = {}
        for name in names:
            rate, disk = 1 + rng.uniform(-1, 1) * draw.drift, rng.random() < draw.disk
            self.nodes[name] = Instance(name, rate, disk, Follower(self.terms))
        self.roll = initial_config(dict.fromkeys(self.voters, ""))
        self.now, self.fence, self.counter = 0.0, 0, itertools.count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.holder = ""
        self.broken: list[str] = []
        self.model: dict[tuple[str, str, str], Order] = {}  # of the last acknowledged book
        self.acknowledged: list[tuple[float, OrderBook]] = []
        self.reached: set[str] = set()  # instances that went by a newest book
        self.pending: list[ChangeRequest] = []  # asked for, and not known to be acknowledged
        self.outcomes = self.holdings = self.read_blank = 0

    # ---- what goes wrong ----

    def run(self) -> World:
        while self.now < self.draw.seconds:
            self.now += STEP_S
            self._mishaps()
            while self.queue and self.queue[0][0] <= self.now:
                heapq.heappop(self.queue)[2]()
            for node in self.nodes.values():
                if self.now >= node.stopped_until:
                    self._tick(node)
        return self

    def _mishaps(self) -> None:
        draw, rng = self.draw, self.rng
        for node in self.nodes.values():
            if rng.random() < draw.restarts * STEP_S:
                self._restart(node)
            elif rng.random() < draw.stops * STEP_S:
                node.stopped_until = self.now + rng.uniform(0.1, draw.longest_stop)
        if rng.random() < STEP_S / draw.holding:
            self.holder = rng.choice([*self.nodes, ""])
            self.fence += rng.randint(1, 3)
            if self.holder:
                self._hold(self.nodes[self.holder])

    def _restart(self, node: Instance) -> None:
        node.boot += 1
        node.follower, node.publisher, node.said = Follower(self.terms), None, {}
        node.kept = node.kept if node.disk else VoterState()
        if node.name == self.holder:
            self.holder = ""

    def _hold(self, node: Instance) -> None:
        ours = max(node.follower.book, node.kept.book, key=lambda b: b.version)
        node.publisher, node.said = Publisher(self.fence, self.roll, ours, ANSWER_S), {}
        self.holdings += 1

    def send(self, to: str, body: Any, sender: str) -> None:
        draw, rng = self.draw, self.rng
        for _ in range(2 if rng.random() < draw.repeats else 1):
            if rng.random() < draw.loss:
                continue
            way = rng.uniform(0.05, draw.latest) if rng.random() < draw.late else rng.uniform(0.0, 0.05)
            act = partial(self._deliver, self.nodes[to], self.nodes[to].boot, body, sender)
            self._at(self.now + way, act)

    def _at(self, due: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (due, next(self.counter), act))

    def _deliver(self, node: Instance, boot: int, body: Any, sender: str) -> None:
        if self.now < node.stopped_until:
            again = partial(self._deliver, node, boot, body, sender)
            self._at(node.stopped_until + 1e-6, again)
        elif node.boot == boot:
            self._heard(node, body, sender)

    # ---- the shell, as thin as the real one ----

    def _publishing(self, node: Instance) -> Publisher | None:
        """By the duty's invariant: who holds it still."""
        publisher = node.publisher
        return publisher if publisher and node.name == self.holder and publisher.fence == self.fence else None

    def _tick(self, node: Instance) -> None:
        now = self.now * node.rate
        if publisher := self._publishing(node):
            if publisher.state is PublisherState.READY and self.rng.random() < self.draw.wishes * STEP_S:
                self._wish(publisher)
            for voter in publisher.tick(now, 0):
                looks = publisher.state is PublisherState.READING
                self.send(
                    voter, PrepareRequest(publisher.fence) if looks else ("take", publisher.book), node.name
                )
            self._seen(publisher)
        if (poll := node.follower.tick(now)) and self.holder:
            self.send(self.holder, poll, node.name)
        self._judge_follower(node)

    def _wish(self, publisher: Publisher) -> None:
        subject, lift = self.rng.choice(SUBJECTS), self.rng.random() < 0.3
        ticket = f"{next(self.counter)}"
        wish = ChangeRequest(ticket, Order("block", "customer", subject, ticket=ticket), lift)
        if publisher.submit(wish) is None:
            self.pending.append(wish)

    def _heard(self, node: Instance, body: Any, sender: str) -> None:
        now = self.now * node.rate
        match body:
            case PrepareRequest():
                node.kept = node.kept.prepare(body.fence)
                self.send(sender, (node.kept.make_reply(), node.kept.book), node.name)
            case ("take", OrderBook() as book):
                node.kept = node.kept.accept(book)
                self.send(sender, (node.kept.make_reply(), None), node.name)
            case (VoterReply() as keeps, book):
                if publisher := self._publishing(node):
                    publisher.handle_voter_reply(sender, keeps, book)
                    self._seen(publisher)
            case PublisherAnnouncement():
                node.follower.handle_announcement(now, body.fence, body.version)
            case Poll():
                publisher = self._publishing(node)
                if publisher is not None and (book := publisher.published) is not None:
                    said = PollReply(0, body.number, publisher.fence, book.version, self.draw.holds)
                    self.send(sender, (said, book), node.name)
            case (PollReply() as said, OrderBook() as book):
                last = node.follower.book.version
                node.follower.handle_reply(now, said)
                for sheet in split_into_pages(book):
                    node.follower.handle_page(now, sheet)
                if node.follower.book.version < last:
                    self.broken.append(f"{node.name} goes back from {last} to {node.follower.book.version}")

    # ---- exact books ----

    def _seen(self, publisher: Publisher) -> None:
        book = publisher.published
        if book is None or (self.acknowledged and book.version <= self.acknowledged[-1][1].version):
            return
        self.read_blank += publisher.lost_memory_count > 0
        found = {order.key: order for order in book.orders}
        if found != self.model and not any(found == made for made in self._possible()):
            self.broken.append(f"{book.version} has {sorted(found)}, after {sorted(self.model)}")
        self.model = found
        for wish in list(self.pending):
            if wish.ticket in publisher.change_outcomes:
                self.outcomes += 1
                self.pending.remove(wish)
        self.acknowledged.append((self.now, book))
        for name in self.nodes:
            self.send(name, PublisherAnnouncement(publisher.fence, book.version), self.holder)

    def _possible(self) -> list[dict[tuple[str, str, str], Order]]:
        """The last book with one of the calls that are not known to be acknowledged."""
        made = []
        for wish in self.pending:
            others = {key: order for key, order in self.model.items() if key != wish.order.key}
            made.append(others if wish.lift else {**others, wish.order.key: wish.order})
        return made

    def _judge_follower(self, node: Instance) -> None:
        """Who goes by a book as the newest knows all that was acknowledged before it asked for it."""
        if not node.follower.is_fresh(self.now * node.rate):
            return
        self.reached.add(node.name)
        since = self.now - self.draw.holds
        known = [book.version for at, book in self.acknowledged if at < since - STEP_S]
        if known and node.follower.book.version < known[-1]:
            self.broken.append(f"{node.name} goes by {node.follower.book.version}, not by {known[-1]}")
