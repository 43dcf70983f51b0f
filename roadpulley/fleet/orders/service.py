"""The shell of orders at one instance: keeps for the publisher, publishes if that is its duty, follows."""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import structlog

from roadpulley.fleet.clock import Clock, wall_ms
from roadpulley.fleet.duties.terms import MonotonicTime
from roadpulley.fleet.duties.voter_config import VoterConfig
from roadpulley.fleet.duties.work import HeldDuty
from roadpulley.fleet.peers.service import Route
from roadpulley.fleet.worker_socket import WorkerSocket

from .follower import Follower
from .messages import (
    NO_VERSION,
    Body,
    BookPage,
    ChangeOutcome,
    ChangeRequest,
    Order,
    OrderBook,
    PageAssembler,
    Poll,
    PollReply,
    PrepareRequest,
    PublisherAnnouncement,
    Version,
    VoterReply,
    split_into_pages,
)
from .publisher import Publisher, PublisherState
from .settings import OrderSettings
from .voter import Voter
from .work import PublisherWork

TICK_INTERVAL_S = 0.02  # between two looks at what is due
ANNOUNCE_INTERVAL_S = 0.5  # between two words of a publisher that it publishes
CALL_RETRY_INTERVAL_S = 0.25  # after which a publisher is told a call again
CALL_TIMEOUT_S = 20.0  # for which a call is tried
MAX_CALLS = 64
MAX_AGE_SAMPLES = 4_096  # of what was gone by, the latest

log = structlog.get_logger("roadpulley.fleet.orders")


class OperatorCall:
    """One call of an operator at this instance, until its outcome is known."""

    def __init__(self, wish: ChangeRequest, now: MonotonicTime) -> None:
        self.wish, self.began, self.due = wish, now, now
        self.outcome: ChangeOutcome | None = None


class OrderService:
    """`to` gives the route to a voter, `everybody` those to all others; `changed` hears of another book."""

    def __init__(
        self,
        settings: OrderSettings,
        keeper: Voter,
        name: str,
        beside: WorkerSocket,
        works: Mapping[str, Any],
        clock: Clock,
        answer: float,
        tell: Callable[[Route, Any], None],
        to: Callable[[str], Route | None],
        everybody: Callable[[], Iterable[Route]],
        roll: Callable[[], VoterConfig],
        soon: Callable[[Callable[[], None]], None],
        changed: Callable[[], None],
    ) -> None:
        self.settings, self.keeper, self.name, self.beside = settings, keeper, name, beside
        self.clock, self.answer, self.tell, self.to = clock, answer, tell, to
        self.everybody, self.roll, self.soon, self.changed = everybody, roll, soon, changed
        self.follower = Follower(settings.terms)
        self.duty: HeldDuty | None = None
        self.publisher: Publisher | None = None
        # The publisher that was heard last. Danger: it may take this instance for dead and tell it nothing.
        # It is asked all the same, until a later one is heard of.
        self.where: Route | None = None
        self.keeping: dict[Route, PageAssembler] = {}  # sheets that this keeper is to take
        self.shown: dict[str, PageAssembler] = {}  # sheets that voters show
        self.said: dict[str, tuple[VoterReply, OrderBook | None]] = {}
        self.calls: dict[str, OperatorCall] = {}
        self.askers: dict[str, Route] = {}  # by ticket, who waits for an outcome of this publisher
        self.ages: deque[float] = deque(maxlen=MAX_AGE_SAMPLES)
        self.counts: Counter[str] = Counter()
        self.fresh = False
        self.standing: tuple[Order, ...] = ()  # the orders that hold here
        self.news_at: MonotonicTime = 0.0
        self.ask_all_at: MonotonicTime = 0.0  # those who don't vote, too: while it reads
        self.task: asyncio.Task[None] | None = None
        self.work = next((work for work in works.values() if isinstance(work, PublisherWork)), None)
        if self.work is not None:
            self.work.begins = self._begins
            self.work.highest = lambda: max(self.follower.book.id.fence, self.follower.fence)

    # ---- life ----

    def open(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()

    async def _run(self) -> None:
        while True:
            self._tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _tick(self) -> None:
        now = self.clock.now()
        if publisher := self._publishing():
            self._publish(now, publisher)
        if poll := self.follower.tick(now):
            self._poll(now, poll)
        for call in list(self.calls.values()):
            self._try(now, call)
        self._look(now)

    def _look(self, now: MonotonicTime) -> None:
        """Whether other orders hold here now, also as some have ended or none are heard any more."""
        fresh, book = self.follower.fresh(now), self.follower.goes_by(now)
        standing = book.followed(wall_ms())
        if fresh != self.fresh and self.follower.book.id != NO_VERSION:
            words = "orders are followed" if fresh else "no publisher of orders is heard"
            kept = "kept" if self.settings.terms.keep else "let go"
            log.info(words, id=list(book.id), orders=len(standing), **({} if fresh else {"they_are": kept}))
        self.ages.extend(self.follower.ages)
        self.follower.ages.clear()
        self.fresh = fresh
        if standing != self.standing:
            self.standing = standing
            log.info("orders", id=list(book.id), orders=len(standing))
            self.changed()

    # ---- to publish ----

    def _begins(self, duty: HeldDuty) -> None:
        """From the thread of the work."""
        self.soon(lambda: self._begin(duty))

    def _begin(self, duty: HeldDuty) -> None:
        ours = max(self.follower.book, self.keeper.kept.book, key=lambda b: b.id)
        self.duty, self.publisher = duty, Publisher(duty.fence, self.roll(), ours, self.answer)
        self.shown, self.said, self.askers = {}, {}, {}
        log.info("publishes orders", fence=duty.fence, knows=list(ours.id))

    def _publishing(self) -> Publisher | None:
        """While the duty is ours.

        Danger: this may be out of date the moment after. What is sent then goes under our fence: voters that
        have promised a higher one refuse it, and followers that have heard of one.
        """
        if self.duty is None or not self.duty.is_still_held() or self.publisher is None:
            self.publisher = None
            return None
        return self.publisher

    def _publish(self, now: MonotonicTime, publisher: Publisher) -> None:
        if publisher.roll.id != self.roll().id:
            publisher.adopt(self.roll())
        for voter in publisher.tick(now, wall_ms()):
            for body in self._asks(publisher):
                self._to_voter(voter, body)
        if publisher.step is PublisherState.READING and now >= self.ask_all_at:
            self.ask_all_at = now + self.answer
            for route in self.everybody():
                self.tell(route, PrepareRequest(publisher.fence))
        if publisher.published is not None and now >= self.news_at:
            self.news_at = now + ANNOUNCE_INTERVAL_S
            self._news(publisher, publisher.published.id)

    def _asks(self, publisher: Publisher) -> list[PrepareRequest | BookPage]:
        if publisher.step is PublisherState.READING:
            return [PrepareRequest(publisher.fence)]
        return list(split_into_pages(publisher.book, take=True))

    def _news(self, publisher: Publisher, id: Version) -> None:
        for route in self.everybody():
            self.tell(route, PublisherAnnouncement(publisher.fence, id))

    def _to_voter(self, voter: str, body: PrepareRequest | BookPage) -> None:
        if voter == self.name:
            asyncio.get_running_loop().call_soon(self._ourselves, body)
        elif route := self.to(voter):
            self.tell(route, body)

    def _ourselves(self, body: PrepareRequest | BookPage) -> None:
        for answer in self._kept(("", 0), body):
            self._answered(self.name, answer)

    def _answered(self, voter: str, body: VoterReply | BookPage) -> None:
        """What a voter keeps; the last of its sheets may come after the word."""
        publisher = self._publishing()
        if publisher is None:
            return
        if isinstance(body, BookPage):
            book = self.shown.setdefault(voter, PageAssembler()).add(body)
            keeps = self.said[voter][0] if voter in self.said else None
            if book is None or keeps is None:
                return
            self.said[voter] = keeps, book
        else:
            book = self.said[voter][1] if voter in self.said else None
            self.said[voter] = body, book
        before = publisher.published
        publisher.kept(voter, *self.said[voter])
        if publisher.step is PublisherState.OVERTAKEN:
            log.warning("a higher fence publishes orders", fence=publisher.fence, voter=voter)
            if self.work is not None:
                self.work.low = publisher.overtaken_by
        elif publisher.published is not None and publisher.published is not before:
            self._published(publisher, publisher.published)

    def _published(self, publisher: Publisher, book: OrderBook) -> None:
        lost = publisher.recovered  # voters without a memory, where too few had theirs
        log.info("orders are acknowledged", id=list(book.id), orders=len(book.orders), lost=lost)
        self.follower.news(self.clock.now(), publisher.fence, book.id)
        self._news(publisher, book.id)
        for ticket in list(self.calls):
            if outcome := publisher.done.get(ticket):
                self._known(outcome)
        for ticket, route in list(self.askers.items()):
            if outcome := publisher.done.get(ticket):
                del self.askers[ticket]
                self.tell(route, outcome)  # lost, it is asked for again

    # ---- a voter ----

    def _kept(self, route: Route, body: PrepareRequest | BookPage) -> list[VoterReply | BookPage]:
        if isinstance(body, PrepareRequest):
            keeps = self.keeper.looked(body.fence)
            if keeps is None:
                return []
            # What this instance follows is acknowledged: it counts where voters have lost their memory.
            best = max(self.keeper.kept.book, self.follower.book, key=lambda b: b.id)
            return [VoterReply(keeps.promised, best.id, keeps.whole), *split_into_pages(best)]
        book = self.keeping.setdefault(route, PageAssembler()).add(body)
        if book is None:
            return []
        del self.keeping[route]
        keeps = self.keeper.told(book)
        return [keeps] if keeps else []

    # ---- to follow ----

    def _poll(self, now: MonotonicTime, poll: Poll) -> None:
        if self._publishing() is not None:
            self._standing(now, poll, self.name, lambda body: self._heard_standing(body))
        elif self.where is not None:
            self.tell(self.where, poll)

    def _standing(
        self, now: MonotonicTime, poll: Poll, name: str, say: Callable[[PollReply | BookPage], None]
    ) -> None:
        """Answer one who follows, as the publisher."""
        publisher = self._publishing()
        if publisher is None or publisher.published is None:
            return
        publisher.polled(now, name, poll.id)
        book = publisher.published
        say(PollReply(poll.holder, poll.number, publisher.fence, book.id, self.settings.terms.holds))
        if poll.id != book.id:
            for sheet in split_into_pages(book):
                say(sheet)

    def _heard_standing(self, body: PollReply | BookPage) -> None:
        now = self.clock.now()
        if isinstance(body, PollReply):
            changed = self.follower.standing(now, body)
        else:
            changed = self.follower.sheet(now, body)
        if changed:
            self._look(now)

    # ---- between instances ----

    def heard(self, route: Route, name: str, body: Body) -> None:
        """A body of another instance; `name` says which."""
        now = self.clock.now()
        match body:
            case PublisherAnnouncement():
                if self.follower.news(now, body.fence, body.id):
                    self.where = route
                else:
                    self.counts["words of an earlier publisher"] += 1
            case Poll():
                self._standing(now, body, name, lambda answer: self.tell(route, answer))
            case PollReply():
                self._heard_standing(body)
            case ChangeRequest():
                if outcome := self._wished(body):
                    self.tell(route, outcome)
                else:
                    self.askers[body.ticket] = route
            case ChangeOutcome():
                self._known(body)
            case VoterReply():
                self._answered(name, body)
            case PrepareRequest():
                for answer in self._kept(route, body):
                    self.tell(route, answer)
            case BookPage():
                self._sheet(route, name, body)

    def _sheet(self, route: Route, name: str, sheet: BookPage) -> None:
        if sheet.take:
            for answer in self._kept(route, sheet):
                self.tell(route, answer)
            return
        if self.publisher is not None:
            self._answered(name, sheet)
        self._heard_standing(sheet)

    # ---- the processes beside ----

    def beside_said(self, poll: Poll) -> None:
        """A process beside follows this instance, for no longer than this instance itself may."""
        now, book = self.clock.now(), self.follower.goes_by(self.clock.now())
        holds = self.follower.left(now)
        said = PollReply(poll.holder, poll.number, book.id.fence, book.id, holds)
        self.beside.send_to(poll.holder, said)
        if poll.id != book.id:
            for sheet in split_into_pages(book):
                self.beside.send_to(poll.holder, sheet)

    # ---- operators ----

    def call(self, order: Order, lift: bool) -> dict[str, Any]:
        """Begin an operator's call; `status` tells what came of it."""
        now, ticket = self.clock.now(), secrets.token_hex(8)
        self.calls = {t: c for t, c in self.calls.items() if now - c.began < 2 * CALL_TIMEOUT_S}
        if len(self.calls) >= MAX_CALLS:
            return {"error": "too many calls at once: try again"}
        fields = {name: getattr(order, name) for name in order.__struct_fields__}
        self.calls[ticket] = OperatorCall(
            ChangeRequest(ticket, Order(**(fields | {"ticket": ticket})), lift), now
        )
        self._tick()
        return self.status(ticket)

    def status(self, ticket: str) -> dict[str, Any]:
        call = self.calls.get(ticket)
        if call is None:
            return {"step": "unknown", "ticket": ticket, "why": "it is not known here any more"}
        if call.outcome is None:
            over = self.clock.now() - call.began > CALL_TIMEOUT_S
            why = "no publisher answers; whether it is ordered is not known" if over else self._waits()
            return {"step": "failed" if over else "waiting", "ticket": ticket, "why": why}
        outcome = call.outcome
        step = "failed" if outcome.why else "done"
        return {"step": step, "ticket": ticket, "why": outcome.why, "id": list(outcome.id)}

    def _waits(self) -> str:
        if self.publisher is not None:
            return f"{self.publisher.step.value} {self.publisher.missing()}".strip()
        return "for the publisher" if self.where else "for a publisher: none was heard"

    def _try(self, now: MonotonicTime, call: OperatorCall) -> None:
        if call.outcome is not None or now < call.due or now - call.began > CALL_TIMEOUT_S:
            return
        call.due = now + CALL_RETRY_INTERVAL_S
        if self._publishing() is not None:
            if outcome := self._wished(call.wish):
                self._known(outcome)
        elif self.where is not None:
            self.tell(self.where, call.wish)

    def _wished(self, wish: ChangeRequest) -> ChangeOutcome | None:
        publisher = self._publishing()
        if publisher is None:
            return None
        outcome = publisher.wish(wish)
        self._publish(self.clock.now(), publisher)
        return outcome

    def _known(self, outcome: ChangeOutcome) -> None:
        if call := self.calls.get(outcome.ticket):
            call.outcome = call.outcome or outcome

    def force(self) -> dict[str, Any]:
        """Have the publisher, if it is here, go on without the voters whose memory it waits for."""
        publisher = self._publishing()
        if publisher is not None:
            publisher.force()
        return {"done": publisher is not None, "instance": self.name}

    def report(self) -> dict[str, Any]:
        now, follower = self.clock.now(), self.follower
        book, wall = follower.goes_by(now), wall_ms()
        found: dict[str, Any] = {
            "id": list(book.id),
            "known": "newest" if follower.fresh(now) else "not heard lately",
            "age_s": round(now - follower.asked_at, 2) if follower.asked_at > 0 else None,
            "cut_off": "keep" if self.settings.terms.keep else "let-go",
            "orders": [format_order(order, wall) for order in book.followed(wall)],
            "counts": dict(self.counts),
        }
        if publisher := self._publishing():
            same, there = publisher.following(now)
            found["publishes"] = {
                "fence": publisher.fence,
                "step": publisher.step.value,
                "waits_for": publisher.missing(),
                "id": list(publisher.book.id),
                "follow_it": same,
                "polled_lately": there,
            }
        return found


def format_order(order: Order, wall: int) -> dict[str, Any]:
    """One order for people."""
    if order.kind == "rate":
        what = f"{order.rate:g}/s, burst {order.burst:g}"
    elif order.kind == "open":
        what = f"{order.most} open"
    else:
        what = ""
    left = f"{(order.ends_ms - wall) / 1000:.0f}" if order.ends_ms else ""
    return {
        "order": order.kind,
        "of": f"{order.scope} {order.subject}",
        "what": what,
        "left_s": left,
        "who": order.who,
        "why": order.why,
    }
