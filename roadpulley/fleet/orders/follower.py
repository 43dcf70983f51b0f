"""Who goes by orders: an instance, or a process beside one. Pure. See `terms.py`."""

from __future__ import annotations

import math
from dataclasses import dataclass

from roadpulley.fleet.duties.terms import MonotonicTime

from .messages import NO_VERSION, BookPage, OrderBook, PageAssembler, Poll, PollReply, Version

REPLY_TIMEOUT_POLLS = 2.0  # polls: after so long an answer counts no more


@dataclass(frozen=True)
class FollowerSettings:
    """Seconds. `poll`: between two asks; `holds`: for which an answer counts. `keep`: also after that."""

    poll: float = 0.3
    holds: float = 5.0
    keep: bool = True
    drift: float = 0.02

    @property
    def max_lease_s(self) -> float:
        """For which an answer counts by our own clock, whatever it is told: a slow one must not go beyond."""
        return self.holds * (1 - self.drift)


class Follower:
    """`holder`: of a process beside an instance, 0 for an instance."""

    def __init__(self, settings: FollowerSettings, holder: int = 0) -> None:
        self.settings, self.holder = settings, holder
        self.book = OrderBook()
        self.fresh_until: MonotonicTime = -math.inf  # for which the book is known to be the newest, or nearly
        self.requested_at: MonotonicTime = -math.inf  # when what we go by was asked for
        self.highest_fence = 0  # the highest that was heard to publish
        self.poll_number = 0
        self.open_polls: dict[
            int, MonotonicTime
        ] = {}  # asks that may still be answered, and when they were made
        self.pending_reply: PollReply | None = None  # whose book has not come whole yet
        self.assembler = PageAssembler()
        self.poll_at: MonotonicTime = 0.0
        self.stale_reported = False
        self.ages: list[float] = []  # of what was gone by, when it was superseded or confirmed

    # ---- to ask ----

    def tick(self, now: MonotonicTime) -> Poll | None:
        if now < self.poll_at:
            return None
        self.poll_at = now + self.settings.poll
        self.poll_number += 1
        since = now - REPLY_TIMEOUT_POLLS * self.settings.poll
        self.open_polls = {n: at for n, at in self.open_polls.items() if at >= since} | {
            self.poll_number: now
        }
        return Poll(self.holder, self.poll_number, self.book.version)

    def handle_announcement(self, now: MonotonicTime, fence: int, id: Version) -> bool:
        """Somebody says that it publishes; whether it is to be asked."""
        if fence < self.highest_fence:
            return False
        self.highest_fence = fence
        if id > self.book.version:
            self.poll_at = min(self.poll_at, now)
        return True

    # ---- answers ----

    def handle_reply(self, now: MonotonicTime, said: PollReply) -> bool:
        """Whether we go by another book now, or again by ours."""
        # Danger: an answer that was long on its way would make an old book count from now.
        if (
            said.number not in self.open_polls
            or said.fence < self.highest_fence
            or said.version < self.book.version
        ):
            return False
        self.highest_fence = said.fence
        self.pending_reply = said
        return self._adopt(now)

    def handle_page(self, now: MonotonicTime, sheet: BookPage) -> bool:
        book = self.assembler.add(sheet)
        if book is not None and self.pending_reply is not None and book.version == self.pending_reply.version:
            return self._adopt(now, book)
        return False

    def _adopt(self, now: MonotonicTime, book: OrderBook | None = None) -> bool:
        said = self.pending_reply
        if said is None or said.number not in self.open_polls:
            return False
        book = book or self.book
        if book.version != said.version:
            return False  # its sheets are on their way
        asked_at = self.open_polls.pop(said.number)
        self.pending_reply = None
        before, was_fresh = self.book.version, self.is_fresh(now)
        if self.requested_at > -math.inf:
            self.ages.append(now - self.requested_at)
        self.book, self.requested_at = book, asked_at
        self.fresh_until = max(self.fresh_until, asked_at + min(said.lease_s, self.settings.max_lease_s))
        return before != book.version or not was_fresh

    # ---- what holds ----

    def is_fresh(self, now: MonotonicTime) -> bool:
        return now < self.fresh_until

    def current_book(self, now: MonotonicTime) -> OrderBook:
        """The book that holds here, now."""
        return self.book if self.is_fresh(now) or self.settings.keep else OrderBook(NO_VERSION)

    def remaining_lease(self, now: MonotonicTime) -> float:
        """For which an answer to a process beside may say that it holds."""
        return max(0.0, self.fresh_until - now)
