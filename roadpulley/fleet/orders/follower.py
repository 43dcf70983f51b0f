"""State machine of a follower of orders: an instance or a local process. Pure, see `messages.py`."""

from __future__ import annotations

import math
from dataclasses import dataclass

from roadpulley.fleet.duties.terms import MonotonicTime

from .messages import NO_VERSION, BookPage, OrderBook, PageAssembler, Poll, PollReply, Version

REPLY_TIMEOUT_POLLS = 2.0  # poll intervals after which a reply is ignored
MAX_START_WAIT_S = 8.0  # a restarted process must serve within 10 s


@dataclass(frozen=True)
class FollowerSettings:
    """`poll`: interval in seconds; `holds`: lease of a reply in seconds; `drift`: ratio of clock drift.

    `keep`: follow the orders even after the lease has expired.
    """

    poll: float = 0.3
    holds: float = 5.0
    keep: bool = True
    drift: float = 0.02

    @property
    def max_lease_s(self) -> float:
        """Longest lease of a reply by the follower's clock, in seconds.

        A slow clock must not exceed `holds`.
        """
        return self.holds * (1 - self.drift)

    @property
    def start_wait_s(self) -> float:
        """The longest time in seconds that a starting process waits for the orders before it serves.

        Without `keep`, running processes let the orders go after `holds` too.
        """
        return MAX_START_WAIT_S if self.keep else min(MAX_START_WAIT_S, self.holds)


class Follower:
    """`holder` is the ID of a local process, 0 for an instance."""

    def __init__(self, settings: FollowerSettings, holder: int = 0) -> None:
        self.settings, self.holder = settings, holder
        self.book = OrderBook()
        self.fresh_until: MonotonicTime = -math.inf  # end of the lease of `book`
        self.requested_at: MonotonicTime = -math.inf  # when the poll was sent whose reply confirmed `book`
        self.highest_fence = 0  # highest fence of a publisher
        self.poll_number = 0
        self.open_polls: dict[int, MonotonicTime] = {}  # by number: when the poll was sent
        self.pending_reply: PollReply | None = None  # reply whose book is not complete yet
        self.assembler = PageAssembler()
        self.poll_at: MonotonicTime = 0.0
        self.stale_reported = False
        self.ages: list[float] = []  # seconds; age of the book at each confirmation or change

    # ---- polling ----

    def tick(self, now: MonotonicTime) -> Poll | None:
        """Returns the poll to send now, if one is due."""
        if now < self.poll_at:
            return None
        self.poll_at = now + self.settings.poll
        self.poll_number += 1
        oldest_sent_at = now - REPLY_TIMEOUT_POLLS * self.settings.poll
        self.open_polls = {
            number: sent_at for number, sent_at in self.open_polls.items() if sent_at >= oldest_sent_at
        } | {self.poll_number: now}
        return Poll(self.holder, self.poll_number, self.book.version)

    def handle_announcement(self, now: MonotonicTime, fence: int, newest_version: Version) -> bool:
        """Processes an announcement of a publisher; False if one under a higher fence is known."""
        if fence < self.highest_fence:
            return False
        self.highest_fence = fence
        if newest_version > self.book.version:
            self.poll_at = min(self.poll_at, now)
        return True

    # ---- replies ----

    def handle_reply(self, now: MonotonicTime, reply: PollReply) -> bool:
        """Processes a reply to a poll; True if the book has changed or is fresh again."""
        # The lease starts when the poll was sent: a reply that was delayed for long would otherwise renew
        # an old book.
        if (
            reply.number not in self.open_polls
            or reply.fence < self.highest_fence
            or reply.version < self.book.version
        ):
            return False
        self.highest_fence = reply.fence
        self.pending_reply = reply
        return self._adopt(now)

    def handle_page(self, now: MonotonicTime, page: BookPage) -> bool:
        """Processes a page of a book; True if the book has changed or is fresh again."""
        book = self.assembler.add(page)
        if book is not None and self.pending_reply is not None and book.version == self.pending_reply.version:
            return self._adopt(now, book)
        return False

    def _adopt(self, now: MonotonicTime, book: OrderBook | None = None) -> bool:
        reply = self.pending_reply
        if reply is None or reply.number not in self.open_polls:
            return False
        book = book or self.book
        if book.version != reply.version:
            return False  # its pages have not all arrived
        sent_at = self.open_polls.pop(reply.number)
        self.pending_reply = None
        previous_version, was_fresh = self.book.version, self.is_fresh(now)
        if self.requested_at > -math.inf:
            self.ages.append(now - self.requested_at)
        self.book, self.requested_at = book, sent_at
        self.fresh_until = max(self.fresh_until, sent_at + min(reply.lease_s, self.settings.max_lease_s))
        return previous_version != book.version or not was_fresh

    # ---- current orders ----

    def is_fresh(self, now: MonotonicTime) -> bool:
        """Whether the lease of the book has not expired."""
        return now < self.fresh_until

    def current_book(self, now: MonotonicTime) -> OrderBook:
        """The book to follow now; empty if the lease has expired and `keep` is off."""
        return self.book if self.is_fresh(now) or self.settings.keep else OrderBook(NO_VERSION)

    def has_current_book(self, now: MonotonicTime) -> bool:
        """Whether there is a book to follow: a fresh one, or with `keep` any that was received."""
        return self.is_fresh(now) or (self.settings.keep and self.book.version != NO_VERSION)

    def remaining_lease(self, now: MonotonicTime) -> float:
        """Lease in seconds that a reply to a local process may state."""
        return max(0.0, self.fresh_until - now)
