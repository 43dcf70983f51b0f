"""What operators order of the whole fleet, and what instances say to each other about it.

All orders stand in one book. The holder of a duty makes each next book from the last; its number is the fence
of that holding and a count, and the higher one supersedes.

Invariants:
1. Books that were acknowledged form one line: each was made from the one before, none is lost or undone.
2. Nobody goes by a book for longer than `holds` after it asked the publisher for the newest one, unless it
   was told to keep its orders while it hears nothing; then it says so.

| role      | remembers                                     | refuses                                        |
| --------- | --------------------------------------------- | ---------------------------------------------- |
| keeper    | the highest fence that looked at it, the book | a book under a lower fence, or not above its   |
| (a voter) | that it took last, both on disk where it has  | own; to count as one whose memory is whole,    |
|           | one; whether its memory is whole              | until it has taken a book since it lost it     |
| publisher | the last book that it made, who took it, what | to publish before a majority was read and has  |
|           | it has still to make                          | taken the last book under the new fence; to    |
|           |                                               | answer once it may hold the duty no more       |
| follower  | the book that it goes by, until when by its   | a lower book; an answer to an ask that is no   |
| (all)     | own clock; the ask that is open               | longer open; news of a lower fence             |

Why 1 holds: a book is acknowledged once majorities of the voters, and of those before them while they change,
have taken it. The next publisher reads as many that promise to take nothing of a lower fence, goes on from
the highest book among them, and has it taken under its own fence before anything else. Two majorities share a
voter. A voter that lost its memory might have taken and promised anything, so it counts for neither until a
publisher has had it take a book; where too few are whole, all voters are waited for, as then nothing is left
that could know better, or an operator says to go on without. After Lamport, "Paxos made simple" (2001), with
the fence as the ballot; Burrows, "The Chubby lock service" (2006), on caches with leases.
"""

from __future__ import annotations

import hashlib
import math
from typing import NamedTuple, TypeAlias

import msgspec

from roadpulley.fleet.rights.messages import CONCURRENCY_PREFIX, MAX_LIMIT_NAME_BYTES, Limit

MAX_ORDERS = 64
MAX_SUBJECT_BYTES, MAX_REASON_BYTES, MAX_AUTHOR_BYTES = 64, 96, 32  # bytes
MAX_ORDERS_PER_PAGE = 3  # orders in one sheet, so that it fits into a datagram
MAX_DURATION_S = 366 * 86_400.0
MAX_CLOCK_SKEW_MS = 5_000  # that wall clocks may be apart: so late an order ends where no publisher is heard

# What each kind may be ordered of. A pool is a zone of backends; zones and backends as discovery names them.
SCOPES_BY_KIND = {
    "rate": ("class", "customer", "plan", "pool"),
    "open": ("class", "customer", "plan", "pool"),
    "block": ("customer",),
    "shed": ("class",),
    "keep-off": ("backend",),
}


class Version(NamedTuple):
    """Of a book; the higher one supersedes."""

    fence: int
    number: int


NO_VERSION = Version(0, 0)


class Order(msgspec.Struct, array_like=True, frozen=True):
    """One order. `rate` a second and `burst`, or `most` open at once; `ends_ms`: wall clock, 0 for never.

    `ticket`: of the call that gave it, so that one that is asked again is not taken for another.
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
        """Of orders with one key the later one stands alone."""
        return self.kind, self.scope, self.subject

    @property
    def is_limit(self) -> bool:
        return self.kind in ("rate", "open")

    @property
    def limit_name(self) -> str:
        """That of its limit, as rights to it are asked for. Subjects may be long, datagrams are short."""
        name = f"{CONCURRENCY_PREFIX if self.kind == 'open' else '@rate:'}{self.scope}:{self.subject}"
        if len(name.encode()) <= MAX_LIMIT_NAME_BYTES // 2:
            return name
        return f"{name[:12]}{hashlib.blake2b(name.encode(), digest_size=16).hexdigest()}"

    def to_limit(self, part: float, open_lease: float) -> Limit:
        """What allocators give out: `part` of a rate, all that may be open at once."""
        if self.kind == "open":
            return Limit(0.0, float(self.most), open_lease)
        return Limit(part * self.rate, part * self.burst)


def validate_order(order: Order) -> str:
    """What is wrong with an order, and what would be right; empty where it can be taken."""
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
    version: Version = NO_VERSION
    orders: tuple[Order, ...] = ()

    def orders_for_follower(self, wall_ms: int) -> tuple[Order, ...]:
        """Those that hold at a follower.

        Danger: by its own clock it would end them sooner than others. The publisher ends them, by a book
        without them; this is for who hears none.
        """
        return self.unexpired_orders(wall_ms - MAX_CLOCK_SKEW_MS)

    def unexpired_orders(self, wall_ms: int) -> tuple[Order, ...]:
        """Those that have not ended, by the publisher's clock."""
        return tuple(o for o in self.orders if not o.ends_ms or o.ends_ms > wall_ms)


# ---- messages ----


class PrepareRequest(msgspec.Struct, tag="o-look", array_like=True, frozen=True):
    """From the publisher of this fence: promise to take nothing of a lower one, and show what you keep."""

    fence: int


class VoterReply(msgspec.Struct, tag="o-keeps", array_like=True, frozen=True):
    """The answer of a keeper to a look or to sheets; what it keeps comes in sheets beside it.

    `whole`: it has taken a book since it last lost its memory, or never lost it.
    """

    promised: int
    version: Version
    whole: bool


class BookPage(msgspec.Struct, tag="o-sheet", array_like=True, frozen=True):
    """A part of a book. `take`: from the publisher to a keeper, which is to take it up."""

    version: Version
    page_count: int
    index: int
    orders: tuple[Order, ...]
    store: bool = False


class PublisherAnnouncement(msgspec.Struct, tag="o-news", array_like=True, frozen=True):
    """I publish under this fence; the newest book is this one."""

    fence: int
    version: Version


class Poll(msgspec.Struct, tag="o-poll", array_like=True, frozen=True):
    """What is the newest book? `holder`: of a process beside an instance, 0 between instances."""

    holder: int
    number: int
    version: Version


class PollReply(msgspec.Struct, tag="o-standing", array_like=True, frozen=True):
    """The newest book, which may be gone by for `holds` seconds from when it was asked for."""

    holder: int
    number: int
    fence: int
    version: Version
    lease_s: float


class ChangeRequest(msgspec.Struct, tag="o-wish", array_like=True, frozen=True):
    """An operator's call, for the publisher: give this order, or lift the one of its key."""

    ticket: str
    order: Order
    lift: bool


class ChangeOutcome(msgspec.Struct, tag="o-outcome", array_like=True, frozen=True):
    """What came of it: `id` of the acknowledged book with it, or why not."""

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


def split_into_pages(book: OrderBook, take: bool = False) -> list[BookPage]:
    parts = [
        book.orders[n : n + MAX_ORDERS_PER_PAGE] for n in range(0, len(book.orders), MAX_ORDERS_PER_PAGE)
    ] or [()]
    return [BookPage(book.version, len(parts), n, part, take) for n, part in enumerate(parts)]


class PageAssembler:
    """Sheets of one sender, until a book is whole; of several books, the highest."""

    def __init__(self) -> None:
        self.version = NO_VERSION
        self.pages: dict[int, BookPage] = {}

    def add(self, sheet: BookPage) -> OrderBook | None:
        """The book that this one makes whole."""
        most = math.ceil(MAX_ORDERS / MAX_ORDERS_PER_PAGE)
        if sheet.version < self.version or not 0 <= sheet.index < sheet.page_count <= most:
            return None
        if sheet.version > self.version:
            self.version, self.pages = sheet.version, {}
        self.pages[sheet.index] = sheet
        if len(self.pages) < sheet.page_count:
            return None
        return OrderBook(
            self.version, tuple(o for n in range(sheet.page_count) for o in self.pages[n].orders)
        )
