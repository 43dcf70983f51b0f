"""Operators' orders for the whole fleet, and the messages that replicate them.

All orders are in one book. The publisher, which is the holder of a duty, makes each book from the one before.
The version of a book is the publisher's fence and a count; the higher version supersedes the lower.

Invariants:
1. Acknowledged books form one sequence: each was made from the one before, and none is lost or undone.
2. No follower applies a book for longer than `holds` after it polled the publisher for the newest one, unless
   it is set to keep its orders while it is cut off; its report then says so.

| role      | remembers                                      | refuses                                       |
| --------- | ---------------------------------------------- | --------------------------------------------- |
| voter     | the highest fence that it has promised and the | a book under a lower fence, or whose version  |
|           | last accepted book, both on disk if it has     | is not above its own; to count as one with    |
|           | one; whether its memory is whole               | memory until it has accepted a book again     |
| publisher | the last book that it made, which voters have  | to publish before it has read a majority and  |
|           | accepted it, and the queued changes            | replicated the last book under its own fence; |
|           |                                                | to reply when it may have lost the duty       |
| follower  | its book, the end of its lease by its own      | a lower version; a reply to a poll that is no |
| (all)     | clock, and its open polls                      | longer open; announcements of a lower fence   |

Why 1 holds: a book is acknowledged once a majority of the voters has accepted it, and while the voters
change, a majority of the former voters as well. The next publisher reads the same majorities, which promise
to accept nothing under a lower fence, continues from the highest book among their replies, and replicates
that under its own fence before any change. Two majorities share a voter. A voter that has lost its memory
might have accepted and promised anything, so it counts for neither majority until it has accepted a book
again. If too few voters have their memory, the publisher waits for the replies of all voters, as no one else
could know a newer book, or an operator forces it to continue. After Lamport, "Paxos made simple" (2001),
with the fence as the ballot; Burrows, "The Chubby lock service" (2006), on caches with leases.
"""

from __future__ import annotations

import hashlib
import math
from typing import NamedTuple, TypeAlias

import msgspec

from roadpulley.fleet.rights.messages import CONCURRENCY_PREFIX, MAX_LIMIT_NAME_BYTES, Limit

MAX_ORDERS = 64
MAX_SUBJECT_BYTES = 64
MAX_REASON_BYTES = 96
MAX_AUTHOR_BYTES = 32
MAX_ORDERS_PER_PAGE = 3  # a page has to fit into a datagram
MAX_DURATION_S = 366 * 86_400.0
MAX_CLOCK_SKEW_MS = 5_000  # difference of wall clocks; a follower that is cut off ends orders this much later

# The scopes of each kind of order. A pool is a zone of backends; discovery names zones and backends.
SCOPES_BY_KIND = {
    "rate": ("class", "customer", "plan", "pool"),
    "open": ("class", "customer", "plan", "pool"),
    "block": ("customer",),
    "shed": ("class",),
    "keep-off": ("backend",),
}


class Version(NamedTuple):
    """Version of a book; the higher one supersedes the lower."""

    fence: int
    number: int


NO_VERSION = Version(0, 0)


class Order(msgspec.Struct, array_like=True, frozen=True):
    """One order: a limit (`rate` a second and `burst`, or `most` open at once), a block, or a keep-off.

    `ends_ms` is by the wall clock, 0 for never. `ticket` identifies the operator's call, so that a repeated
    call is not processed as another one.
    """

    kind: str
    scope: str
    subject: str
    rate: float = 0.0
    burst: float = 0.0
    most: int = 0
    ends_ms: int = 0
    who: str = ""
    why: str = ""
    ticket: str = ""

    @property
    def key(self) -> tuple[str, str, str]:
        """A later order replaces an earlier one with the same key."""
        return self.kind, self.scope, self.subject

    @property
    def is_limit(self) -> bool:
        """Whether the order limits a rate or the number of open requests."""
        return self.kind in ("rate", "open")

    @property
    def limit_name(self) -> str:
        """The name of its limit in requests for rights.

        A long name is hashed, as a request has to fit a datagram.
        """
        name = f"{CONCURRENCY_PREFIX if self.kind == 'open' else '@rate:'}{self.scope}:{self.subject}"
        if len(name.encode()) <= MAX_LIMIT_NAME_BYTES // 2:
            return name
        return f"{name[:12]}{hashlib.blake2b(name.encode(), digest_size=16).hexdigest()}"

    def to_limit(self, rate_ratio: float, open_lease_s: float) -> Limit:
        """The limit that allocators grant: the ratio `rate_ratio` of a rate, or a whole concurrency limit."""
        if self.kind == "open":
            return Limit(0.0, float(self.most), open_lease_s)
        return Limit(rate_ratio * self.rate, rate_ratio * self.burst)


def validate_order(order: Order) -> str:
    """Returns what is wrong with an order and how to correct it; empty if the order is valid."""
    if order.kind not in SCOPES_BY_KIND:
        return f"{order.kind!r} is no order; give one of {', '.join(SCOPES_BY_KIND)}"
    if order.scope not in SCOPES_BY_KIND[order.kind]:
        return f"{order.kind} of a {order.scope!r}; give {' or '.join(SCOPES_BY_KIND[order.kind])}"
    if not 0 < len(order.subject.encode()) <= MAX_SUBJECT_BYTES:
        return f"the {order.scope} is {order.subject!r}; give 1 to {MAX_SUBJECT_BYTES} bytes"
    if order.kind == "rate" and not (0 <= order.rate < math.inf and 1 <= order.burst < math.inf):
        return f"rate {order.rate:g}, burst {order.burst:g}; give 0 or more a second, a burst of 1 or more"
    if order.kind == "open" and not 1 <= order.most <= 10**6:
        return f"at most {order.most} open; give 1 to 1,000,000, or block it"
    if len(order.why.encode()) > MAX_REASON_BYTES or len(order.who.encode()) > MAX_AUTHOR_BYTES:
        return f"too many words; give at most {MAX_REASON_BYTES} bytes of why and {MAX_AUTHOR_BYTES} of who"
    return ""


class OrderBook(msgspec.Struct, array_like=True, frozen=True):
    """All orders, under one version."""

    version: Version = NO_VERSION
    orders: tuple[Order, ...] = ()

    def orders_for_follower(self, wall_ms: int) -> tuple[Order, ...]:
        """The orders that a follower applies.

        The publisher ends orders by publishing a book without them. A follower that is cut off ends them
        itself, but only `MAX_CLOCK_SKEW_MS` later: with a fast clock it would end them before others do.
        """
        return self.unexpired_orders(wall_ms - MAX_CLOCK_SKEW_MS)

    def unexpired_orders(self, wall_ms: int) -> tuple[Order, ...]:
        """The orders that have not ended at this wall clock time."""
        return tuple(o for o in self.orders if not o.ends_ms or o.ends_ms > wall_ms)


# ---- messages ----


class PrepareRequest(msgspec.Struct, tag="o-look", array_like=True, frozen=True):
    """The publisher asks a voter to promise to accept nothing under a lower fence, and to send its book."""

    fence: int


class VoterReply(msgspec.Struct, tag="o-keeps", array_like=True, frozen=True):
    """Reply of a voter to a `PrepareRequest` or to the pages of a book.

    After a `PrepareRequest` the pages of its own book are sent as well. `whole`: the voter has accepted a
    book, and has not lost its memory since.
    """

    promised: int
    version: Version
    whole: bool


class BookPage(msgspec.Struct, tag="o-sheet", array_like=True, frozen=True):
    """One page of a book. `store`: the publisher asks a voter to accept the book."""

    version: Version
    page_count: int
    index: int
    orders: tuple[Order, ...]
    store: bool = False


class PublisherAnnouncement(msgspec.Struct, tag="o-news", array_like=True, frozen=True):
    """Announces the publisher, its fence and the version of the newest book."""

    fence: int
    version: Version


class Poll(msgspec.Struct, tag="o-poll", array_like=True, frozen=True):
    """A follower asks for the newest book. `holder` is the ID of a local process, 0 for an instance.

    `version` is that of its own book, which need not be sent again.
    """

    holder: int
    number: int
    version: Version


class PollReply(msgspec.Struct, tag="o-standing", array_like=True, frozen=True):
    """Reply to a `Poll`: the newest version, valid for `lease_s` seconds from when the poll was sent."""

    holder: int
    number: int
    fence: int
    version: Version
    lease_s: float


class ChangeRequest(msgspec.Struct, tag="o-wish", array_like=True, frozen=True):
    """An operator's call, sent to the publisher: adds this order, or lifts the order with the same key."""

    ticket: str
    order: Order
    lift: bool


class ChangeOutcome(msgspec.Struct, tag="o-outcome", array_like=True, frozen=True):
    """Result of a `ChangeRequest`: the version of the acknowledged book with the change, or the error."""

    ticket: str
    version: Version
    error: str


Body: TypeAlias = (
    PrepareRequest
    | VoterReply
    | BookPage
    | PublisherAnnouncement
    | Poll
    | PollReply
    | ChangeRequest
    | ChangeOutcome
)


def split_into_pages(book: OrderBook, to_store: bool = False) -> list[BookPage]:
    """Splits a book into pages that fit into a datagram each."""
    page_orders = [
        book.orders[n : n + MAX_ORDERS_PER_PAGE] for n in range(0, len(book.orders), MAX_ORDERS_PER_PAGE)
    ] or [()]
    return [
        BookPage(book.version, len(page_orders), n, group, to_store) for n, group in enumerate(page_orders)
    ]


class PageAssembler:
    """Assembles the pages of one sender to a book; pages of a higher version replace those of a lower one."""

    def __init__(self) -> None:
        self.version = NO_VERSION
        self.pages: dict[int, BookPage] = {}

    def add(self, page: BookPage) -> OrderBook | None:
        """Adds a page; returns the book if that completes it."""
        max_pages = math.ceil(MAX_ORDERS / MAX_ORDERS_PER_PAGE)
        if page.version < self.version or not 0 <= page.index < page.page_count <= max_pages:
            return None
        if page.version > self.version:
            self.version, self.pages = page.version, {}
        self.pages[page.index] = page
        if len(self.pages) < page.page_count:
            return None
        return OrderBook(
            self.version, tuple(order for n in range(page.page_count) for order in self.pages[n].orders)
        )
