"""Runs the orders of one instance: as a voter, as a follower, and as the publisher while it has that duty."""

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

TICK_INTERVAL_S = 0.02
ANNOUNCE_INTERVAL_S = 0.5
CALL_RETRY_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 20.0
MAX_CALLS = 64
MAX_AGE_SAMPLES = 4_096  # ages of the followed book; older samples are dropped

log = structlog.get_logger("roadpulley.fleet.orders")


class OperatorCall:
    """A call of an operator at this instance, retried until its outcome is known."""

    def __init__(self, change: ChangeRequest, now: MonotonicTime) -> None:
        self.change, self.started_at, self.retry_at = change, now, now
        self.outcome: ChangeOutcome | None = None


class OrderService:
    """`route_to_voter` returns the route to a voter, `peer_routes` those to all other instances.

    `on_change` is called when the active orders change; `call_in_loop` may be called from any thread.
    """

    def __init__(
        self,
        settings: OrderSettings,
        voter: Voter,
        name: str,
        local_processes: WorkerSocket,
        works: Mapping[str, Any],
        clock: Clock,
        retry_interval_s: float,
        send: Callable[[Route, Any], None],
        route_to_voter: Callable[[str], Route | None],
        peer_routes: Callable[[], Iterable[Route]],
        get_voter_config: Callable[[], VoterConfig],
        call_in_loop: Callable[[Callable[[], None]], None],
        on_change: Callable[[], None],
    ) -> None:
        self.settings, self.voter, self.name, self.local_processes = settings, voter, name, local_processes
        self.clock = clock
        self.retry_interval_s = retry_interval_s
        self.send = send
        self.route_to_voter = route_to_voter
        self.peer_routes = peer_routes
        self.get_voter_config = get_voter_config
        self.call_in_loop = call_in_loop
        self.on_change = on_change
        self.follower = Follower(settings.follower_settings)
        self.duty: HeldDuty | None = None
        self.publisher: Publisher | None = None
        # The last known publisher. It may consider this instance dead and send it nothing, so that orders
        # would expire here. Polls therefore go to it until a later publisher is known.
        self.publisher_route: Route | None = None
        self.incoming_books: dict[Route, PageAssembler] = {}  # books that this voter is to accept
        self.voter_pages: dict[str, PageAssembler] = {}  # pages of the voters' books
        self.voter_replies: dict[str, tuple[VoterReply, OrderBook | None]] = {}
        self.calls: dict[str, OperatorCall] = {}
        self.outcome_routes: dict[str, Route] = {}  # by ticket: the instance that waits for the outcome
        self.ages: deque[float] = deque(maxlen=MAX_AGE_SAMPLES)
        self.counts: Counter[str] = Counter()
        self.was_fresh = False
        self.active_orders: tuple[Order, ...] = ()  # applied at this instance
        self.announce_at: MonotonicTime = 0.0
        self.query_all_at: MonotonicTime = 0.0  # next query of all instances during the read
        self.task: asyncio.Task[None] | None = None
        self.work = next((work for work in works.values() if isinstance(work, PublisherWork)), None)
        if self.work is not None:
            self.work.on_start = self._on_duty_started
            self.work.highest_fence = lambda: max(
                self.follower.book.version.fence, self.follower.highest_fence
            )

    # ---- lifecycle ----

    def open(self) -> None:
        """Starts the periodic tick."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stops the periodic tick."""
        if self.task is not None:
            self.task.cancel()

    async def _run(self) -> None:
        while True:
            self._tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _tick(self) -> None:
        now = self.clock.now()
        if publisher := self._active_publisher():
            self._run_publisher(now, publisher)
        if poll := self.follower.tick(now):
            self._send_poll(now, poll)
        for call in list(self.calls.values()):
            self._try_call(now, call)
        self._update_active_orders(now)

    def _update_active_orders(self, now: MonotonicTime) -> None:
        """Updates the active orders, which also change when orders end or the lease expires."""
        fresh_now, book = self.follower.is_fresh(now), self.follower.current_book(now)
        current_orders = book.orders_for_follower(wall_ms())
        if fresh_now != self.was_fresh and self.follower.book.version != NO_VERSION:
            event = "orders are followed" if fresh_now else "no publisher of orders responds"
            policy = "kept" if self.settings.follower_settings.keep else "let go"
            log.info(
                event,
                id=list(book.version),
                orders=len(current_orders),
                **({} if fresh_now else {"they_are": policy}),
            )
        self.ages.extend(self.follower.ages)
        self.follower.ages.clear()
        self.was_fresh = fresh_now
        if current_orders != self.active_orders:
            self.active_orders = current_orders
            log.info("orders", id=list(book.version), orders=len(current_orders))
            self.on_change()

    # ---- publisher ----

    def _on_duty_started(self, duty: HeldDuty) -> None:
        """Called in the thread of the duty's work."""
        self.call_in_loop(lambda: self._start_publisher(duty))

    def _start_publisher(self, duty: HeldDuty) -> None:
        newest_book = max(self.follower.book, self.voter.state.book, key=lambda b: b.version)
        self.duty = duty
        self.publisher = Publisher(duty.fence, self.get_voter_config(), newest_book, self.retry_interval_s)
        self.voter_pages, self.voter_replies, self.outcome_routes = {}, {}, {}
        log.info("publishes orders", fence=duty.fence, knows=list(newest_book.version))

    def _active_publisher(self) -> Publisher | None:
        """The publisher, while this instance holds the duty.

        The duty may end right after this check. A former publisher's messages carry its fence: voters that
        have promised a higher one refuse them, and so do followers that know a higher one.
        """
        if self.duty is None or not self.duty.is_still_held() or self.publisher is None:
            self.publisher = None
            return None
        return self.publisher

    def _run_publisher(self, now: MonotonicTime, publisher: Publisher) -> None:
        if publisher.voter_config.id != self.get_voter_config().id:
            publisher.set_voter_config(self.get_voter_config())
        for voter in publisher.tick(now, wall_ms()):
            for request in self._voter_requests(publisher):
                self._send_to_voter(voter, request)
        if publisher.state is PublisherState.READING and now >= self.query_all_at:
            self.query_all_at = now + self.retry_interval_s
            for route in self.peer_routes():
                self.send(route, PrepareRequest(publisher.fence))
        if publisher.published is not None and now >= self.announce_at:
            self.announce_at = now + ANNOUNCE_INTERVAL_S
            self._announce(publisher, publisher.published.version)

    def _voter_requests(self, publisher: Publisher) -> list[PrepareRequest | BookPage]:
        if publisher.state is PublisherState.READING:
            return [PrepareRequest(publisher.fence)]
        return list(split_into_pages(publisher.book, to_store=True))

    def _announce(self, publisher: Publisher, book_version: Version) -> None:
        for route in self.peer_routes():
            self.send(route, PublisherAnnouncement(publisher.fence, book_version))

    def _send_to_voter(self, voter: str, request: PrepareRequest | BookPage) -> None:
        if voter == self.name:
            asyncio.get_running_loop().call_soon(self._handle_own_request, request)
        elif route := self.route_to_voter(voter):
            self.send(route, request)

    def _handle_own_request(self, request: PrepareRequest | BookPage) -> None:
        for reply in self._handle_publisher_request(("", 0), request):
            self._handle_voter_message(self.name, reply)

    def _handle_voter_message(self, voter: str, message: VoterReply | BookPage) -> None:
        """Processes a reply or a page of a voter; the last page may arrive after the reply."""
        publisher = self._active_publisher()
        if publisher is None:
            return
        if isinstance(message, BookPage):
            book = self.voter_pages.setdefault(voter, PageAssembler()).add(message)
            reply = self.voter_replies[voter][0] if voter in self.voter_replies else None
            if book is None or reply is None:
                return
            self.voter_replies[voter] = reply, book
        else:
            book = self.voter_replies[voter][1] if voter in self.voter_replies else None
            self.voter_replies[voter] = message, book
        previous = publisher.published
        publisher.handle_voter_reply(voter, *self.voter_replies[voter])
        if publisher.state is PublisherState.SUPERSEDED:
            log.warning("a higher fence publishes orders", fence=publisher.fence, voter=voter)
            if self.work is not None:
                self.work.promised_fence = publisher.higher_fence
        elif publisher.published is not None and publisher.published is not previous:
            self._handle_published(publisher, publisher.published)

    def _handle_published(self, publisher: Publisher, book: OrderBook) -> None:
        lost = publisher.lost_memory_count  # voters without memory, if the read had no majority with memory
        log.info("orders are acknowledged", id=list(book.version), orders=len(book.orders), lost=lost)
        self.follower.handle_announcement(self.clock.now(), publisher.fence, book.version)
        self._announce(publisher, book.version)
        for ticket in list(self.calls):
            if outcome := publisher.change_outcomes.get(ticket):
                self._record_outcome(outcome)
        for ticket, route in list(self.outcome_routes.items()):
            if outcome := publisher.change_outcomes.get(ticket):
                del self.outcome_routes[ticket]
                self.send(route, outcome)  # if this is lost, the operator's instance asks again

    # ---- voter ----

    def _handle_publisher_request(
        self, route: Route, request: PrepareRequest | BookPage
    ) -> list[VoterReply | BookPage]:
        if isinstance(request, PrepareRequest):
            reply = self.voter.prepare(request.fence)
            if reply is None:
                return []
            # The followed book is acknowledged. It may be newer than the voter's own if that lost its memory.
            newest_book = max(self.voter.state.book, self.follower.book, key=lambda b: b.version)
            return [
                VoterReply(reply.promised, newest_book.version, reply.whole),
                *split_into_pages(newest_book),
            ]
        book = self.incoming_books.setdefault(route, PageAssembler()).add(request)
        if book is None:
            return []
        del self.incoming_books[route]
        reply = self.voter.accept(book)
        return [reply] if reply else []

    # ---- follower ----

    def _send_poll(self, now: MonotonicTime, poll: Poll) -> None:
        if self._active_publisher() is not None:
            self._answer_poll(now, poll, self.name, lambda message: self._handle_poll_message(message))
        elif self.publisher_route is not None:
            self.send(self.publisher_route, poll)

    def _answer_poll(
        self, now: MonotonicTime, poll: Poll, name: str, send_message: Callable[[PollReply | BookPage], None]
    ) -> None:
        """Replies to a follower's poll, if this instance is the publisher."""
        publisher = self._active_publisher()
        if publisher is None or publisher.published is None:
            return
        publisher.record_poll(now, name, poll.version)
        book = publisher.published
        send_message(
            PollReply(
                poll.holder, poll.number, publisher.fence, book.version, self.settings.follower_settings.holds
            )
        )
        if poll.version != book.version:
            for page in split_into_pages(book):
                send_message(page)

    def _handle_poll_message(self, message: PollReply | BookPage) -> None:
        now = self.clock.now()
        if isinstance(message, PollReply):
            is_changed = self.follower.handle_reply(now, message)
        else:
            is_changed = self.follower.handle_page(now, message)
        if is_changed:
            self._update_active_orders(now)

    # ---- messages between instances ----

    def handle_peer_message(self, route: Route, name: str, message: Body) -> None:
        """Processes a message of the instance `name`."""
        now = self.clock.now()
        match message:
            case PublisherAnnouncement():
                if self.follower.handle_announcement(now, message.fence, message.version):
                    self.publisher_route = route
                else:
                    self.counts["words of an earlier publisher"] += 1
            case Poll():
                self._answer_poll(now, message, name, lambda reply: self.send(route, reply))
            case PollReply():
                self._handle_poll_message(message)
            case ChangeRequest():
                if outcome := self._submit_to_publisher(message):
                    self.send(route, outcome)
                else:
                    self.outcome_routes[message.ticket] = route
            case ChangeOutcome():
                self._record_outcome(message)
            case VoterReply():
                self._handle_voter_message(name, message)
            case PrepareRequest():
                for reply in self._handle_publisher_request(route, message):
                    self.send(route, reply)
            case BookPage():
                self._handle_page(route, name, message)

    def _handle_page(self, route: Route, name: str, page: BookPage) -> None:
        if page.store:
            for reply in self._handle_publisher_request(route, page):
                self.send(route, reply)
            return
        if self.publisher is not None:
            self._handle_voter_message(name, page)
        self._handle_poll_message(page)

    # ---- local processes ----

    def handle_local_poll(self, poll: Poll) -> None:
        """Replies to a local process; its lease ends no later than that of this instance."""
        now, book = self.clock.now(), self.follower.current_book(self.clock.now())
        remaining_lease_s = self.follower.remaining_lease(now)
        reply = PollReply(poll.holder, poll.number, book.version.fence, book.version, remaining_lease_s)
        self.local_processes.send_to(poll.holder, reply)
        if poll.version != book.version:
            for page in split_into_pages(book):
                self.local_processes.send_to(poll.holder, page)

    # ---- operators ----

    def submit(self, order: Order, lift: bool) -> dict[str, Any]:
        """Starts an operator's call; `status` returns its outcome."""
        now, ticket = self.clock.now(), secrets.token_hex(8)
        self.calls = {t: c for t, c in self.calls.items() if now - c.started_at < 2 * CALL_TIMEOUT_S}
        if len(self.calls) >= MAX_CALLS:
            return {"error": "too many calls at once: try again"}
        fields = {name: getattr(order, name) for name in order.__struct_fields__}
        self.calls[ticket] = OperatorCall(
            ChangeRequest(ticket, Order(**(fields | {"ticket": ticket})), lift), now
        )
        self._tick()
        return self.status(ticket)

    def status(self, ticket: str) -> dict[str, Any]:
        """The state of an operator's call, by its ticket."""
        call = self.calls.get(ticket)
        if call is None:
            return {"step": "unknown", "ticket": ticket, "why": "it is not known here any more"}
        if call.outcome is None:
            is_timed_out = self.clock.now() - call.started_at > CALL_TIMEOUT_S
            why = (
                "no publisher answers; whether it is ordered is not known"
                if is_timed_out
                else self._describe_wait()
            )
            return {"step": "failed" if is_timed_out else "waiting", "ticket": ticket, "why": why}
        outcome = call.outcome
        step = "failed" if outcome.error else "done"
        return {"step": step, "ticket": ticket, "why": outcome.error, "id": list(outcome.version)}

    def _describe_wait(self) -> str:
        if self.publisher is not None:
            return f"{self.publisher.state.value} {self.publisher.describe_wait()}".strip()
        return "for the publisher" if self.publisher_route else "for a publisher: none was heard"

    def _try_call(self, now: MonotonicTime, call: OperatorCall) -> None:
        if call.outcome is not None or now < call.retry_at or now - call.started_at > CALL_TIMEOUT_S:
            return
        call.retry_at = now + CALL_RETRY_INTERVAL_S
        if self._active_publisher() is not None:
            if outcome := self._submit_to_publisher(call.change):
                self._record_outcome(outcome)
        elif self.publisher_route is not None:
            self.send(self.publisher_route, call.change)

    def _submit_to_publisher(self, requested_change: ChangeRequest) -> ChangeOutcome | None:
        publisher = self._active_publisher()
        if publisher is None:
            return None
        outcome = publisher.submit(requested_change)
        self._run_publisher(self.clock.now(), publisher)
        return outcome

    def _record_outcome(self, outcome: ChangeOutcome) -> None:
        if call := self.calls.get(outcome.ticket):
            call.outcome = call.outcome or outcome

    def force(self) -> dict[str, Any]:
        """Makes the publisher continue without the missing voters, if it is this instance."""
        publisher = self._active_publisher()
        if publisher is not None:
            publisher.force()
        return {"done": publisher is not None, "instance": self.name}

    def report(self) -> dict[str, Any]:
        """The followed book and, at the publisher, its state, for operators."""
        now, follower = self.clock.now(), self.follower
        book, wall_time_ms = follower.current_book(now), wall_ms()
        result: dict[str, Any] = {
            "id": list(book.version),
            "known": "newest" if follower.is_fresh(now) else "not heard lately",
            "age_s": round(now - follower.requested_at, 2) if follower.requested_at > 0 else None,
            "cut_off": "keep" if self.settings.follower_settings.keep else "let-go",
            "orders": [format_order(order, wall_time_ms) for order in book.orders_for_follower(wall_time_ms)],
            "counts": dict(self.counts),
        }
        if publisher := self._active_publisher():
            up_to_date, active_count = publisher.count_followers(now)
            result["publishes"] = {
                "fence": publisher.fence,
                "step": publisher.state.value,
                "waits_for": publisher.describe_wait(),
                "id": list(publisher.book.version),
                "follow_it": up_to_date,
                "polled_lately": active_count,
            }
        return result


def format_order(order: Order, wall_time_ms: int) -> dict[str, Any]:
    """Formats an order for the report to operators."""
    if order.kind == "rate":
        details = f"{order.rate:g}/s, burst {order.burst:g}"
    elif order.kind == "open":
        details = f"{order.most} open"
    else:
        details = ""
    remaining_s = f"{(order.ends_ms - wall_time_ms) / 1000:.0f}" if order.ends_ms else ""
    return {
        "order": order.kind,
        "of": f"{order.scope} {order.subject}",
        "what": details,
        "left_s": remaining_s,
        "who": order.who,
        "why": order.why,
    }
