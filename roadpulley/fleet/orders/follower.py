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
    def most(self) -> float:
        """For which an answer counts by our own clock, whatever it is told: a slow one must not go beyond."""
        return self.holds * (1 - self.drift)


class Follower:
    """`holder`: of a process beside an instance, 0 for an instance."""

    def __init__(self, terms: FollowerSettings, holder: int = 0) -> None:
        self.terms, self.holder = terms, holder
        self.book = OrderBook()
        self.until: MonotonicTime = -math.inf  # for which the book is known to be the newest, or nearly
        self.asked_at: MonotonicTime = -math.inf  # when what we go by was asked for
        self.fence = 0  # the highest that was heard to publish
        self.number = 0
        self.open: dict[int, MonotonicTime] = {}  # asks that may still be answered, and when they were made
        self.answered: PollReply | None = None  # whose book has not come whole yet
        self.gathering = PageAssembler()
        self.due: MonotonicTime = 0.0
        self.stale_said = False
        self.ages: list[float] = []  # of what was gone by, when it was superseded or confirmed

    # ---- to ask ----

    def tick(self, now: MonotonicTime) -> Poll | None:
        if now < self.due:
            return None
        self.due = now + self.terms.poll
        self.number += 1
        since = now - REPLY_TIMEOUT_POLLS * self.terms.poll
        self.open = {n: at for n, at in self.open.items() if at >= since} | {self.number: now}
        return Poll(self.holder, self.number, self.book.id)

    def news(self, now: MonotonicTime, fence: int, id: Version) -> bool:
        """Somebody says that it publishes; whether it is to be asked."""
        if fence < self.fence:
            return False
        self.fence = fence
        if id > self.book.id:
            self.due = min(self.due, now)
        return True

    # ---- answers ----

    def standing(self, now: MonotonicTime, said: PollReply) -> bool:
        """Whether we go by another book now, or again by ours."""
        # Danger: an answer that was long on its way would make an old book count from now.
        if said.number not in self.open or said.fence < self.fence or said.id < self.book.id:
            return False
        self.fence = said.fence
        self.answered = said
        return self._go_by(now)

    def sheet(self, now: MonotonicTime, sheet: BookPage) -> bool:
        book = self.gathering.add(sheet)
        if book is not None and self.answered is not None and book.id == self.answered.id:
            return self._go_by(now, book)
        return False

    def _go_by(self, now: MonotonicTime, book: OrderBook | None = None) -> bool:
        said = self.answered
        if said is None or said.number not in self.open:
            return False
        book = book or self.book
        if book.id != said.id:
            return False  # its sheets are on their way
        asked_at = self.open.pop(said.number)
        self.answered = None
        before, was_fresh = self.book.id, self.fresh(now)
        if self.asked_at > -math.inf:
            self.ages.append(now - self.asked_at)
        self.book, self.asked_at = book, asked_at
        self.until = max(self.until, asked_at + min(said.holds, self.terms.most))
        return before != book.id or not was_fresh

    # ---- what holds ----

    def fresh(self, now: MonotonicTime) -> bool:
        return now < self.until

    def goes_by(self, now: MonotonicTime) -> OrderBook:
        """The book that holds here, now."""
        return self.book if self.fresh(now) or self.terms.keep else OrderBook(NO_VERSION)

    def left(self, now: MonotonicTime) -> float:
        """For which an answer to a process beside may say that it holds."""
        return max(0.0, self.until - now)
