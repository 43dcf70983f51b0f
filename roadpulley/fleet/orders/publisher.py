"""State machine of a publisher of orders, for one holding of the duty. Pure, see `messages.py`.

It takes the replies of voters, operators' changes and the time, and returns the voters to be sent requests.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from roadpulley.fleet.duties.terms import MonotonicTime
from roadpulley.fleet.duties.voter_config import VoterConfig, majority_size

from .messages import (
    MAX_ORDERS,
    ChangeOutcome,
    ChangeRequest,
    Order,
    OrderBook,
    Version,
    VoterReply,
    validate_order,
)

MAX_QUEUED_CHANGES = 64  # changes that wait while another one is replicated
MAX_REMEMBERED_OUTCOMES = 256  # stored to reply to repeated calls
# Followers have this many retry intervals to reply if too few voters have their memory.
FULL_READ_TIMEOUT_RATIO = 3.0
READY_RETRY_RATIO = 5.0  # retry intervals between two tries at a voter whose vote is not needed
FOLLOWER_TIMEOUT_S = 3.0  # after its last poll a follower counts as lost


class PublisherState(Enum):
    """The values are shown to operators."""

    READING = "reading"  # it reads the books of a majority of voters
    REPLICATING = "having it taken"  # it sends the newest book to a majority of voters
    READY = "ready"
    SUPERSEDED = "overtaken"  # a voter has replied with a higher fence


@dataclass(slots=True)
class FollowerStatus:
    """The version and time of a follower's last poll."""

    version: Version
    polled_at: MonotonicTime


class Publisher:
    """`highest_known` is the newest book of this instance.

    `retry_interval_s`: seconds between two tries at a voter.
    """

    def __init__(
        self, fence: int, voter_config: VoterConfig, highest_known: OrderBook, retry_interval_s: float
    ) -> None:
        self.fence = fence
        self.voter_config = voter_config
        self.book = highest_known
        self.retry_interval_s = retry_interval_s
        self.state = PublisherState.READING
        # Voters whose book has been read, and whether they have their memory.
        self.read_voters: dict[str, bool] = {}
        self.accepted_by: set[str] = set()  # voters that have accepted `book`
        self.retry_at: dict[str, MonotonicTime] = {}
        # End of the wait for the replies of followers; set by the first tick.
        self.full_read_until: MonotonicTime | None = None
        self.is_full_read_over = False  # followers have had time to reply
        self.forced = False  # by an operator, to continue without the missing voters
        self.current_change: ChangeRequest | None = None
        self.queued_changes: deque[ChangeRequest] = deque()
        self.change_outcomes: dict[str, ChangeOutcome] = {}
        self.followers: dict[str, FollowerStatus] = {}
        self.higher_fence = 0
        self.published: OrderBook | None = None  # the last book acknowledged under this fence
        self.lost_memory_count = 0  # voters, if the read had no majority with memory

    # ---- voters ----

    def set_voter_config(self, voter_config: VoterConfig) -> None:
        """Changes the voters; a new one has not accepted any book yet."""
        self.voter_config = voter_config
        if self.state is PublisherState.READY:
            # The majority that has accepted the book may not be a majority of the new voters: the book could
            # be lost with the former ones.
            self._propose(self.book.orders)

    def handle_voter_reply(self, voter: str, reply: VoterReply, book: OrderBook | None) -> None:
        """Processes the reply of a voter, or of a follower that does not vote.

        `book`: once all its pages arrived.
        """
        if reply.promised > self.fence or reply.version.fence > self.fence:
            self.state = PublisherState.SUPERSEDED
            self.higher_fence = max(reply.promised, reply.version.fence)
            return
        if self.state is PublisherState.READING:
            if reply.version > self.book.version:
                if book is None or book.version != reply.version:
                    return  # without its book, a newer one than ours would be undone
                self.book = book
            if reply.promised == self.fence:
                self.read_voters[voter] = reply.whole
        elif reply.version == self.book.version and reply.whole:
            self.accepted_by.add(voter)
        self._advance()

    def _advance(self) -> None:
        if self.state is PublisherState.READING and self._has_read_enough():
            self.lost_memory_count = (
                0 if self._has_majority(self._voters_with_memory()) else self._count_lost_memory()
            )
            self._propose(self.book.orders)
        elif self.state is PublisherState.REPLICATING and self._has_majority(self.accepted_by):
            self.state, self.published = PublisherState.READY, self.book
            if self.current_change is not None:
                self.lost_memory_count = 0
                self._finish_change(self.current_change, "")
            self._start_next_change()

    def _has_read_enough(self) -> bool:
        if self._has_majority(self._voters_with_memory()):
            return True
        # If some voters have lost their memory, an unreachable one may be the only one that knows the newest
        # book. So all voters have to reply; followers get time to reply too, as they know acknowledged books.
        return self.is_full_read_over and (self.all_voters() <= set(self.read_voters) or self._can_force())

    def _can_force(self) -> bool:
        return self.forced and self._has_majority(set(self.read_voters))

    def _voters_with_memory(self) -> set[str]:
        return {voter for voter, has_memory in self.read_voters.items() if has_memory}

    def _count_lost_memory(self) -> int:
        return len(self.all_voters() & set(self.read_voters) - self._voters_with_memory())

    def _has_majority(self, voter_names: set[str]) -> bool:
        electorates: tuple[Mapping[str, str], ...] = (
            self.voter_config.previous_voters,
            self.voter_config.voters,
        )
        return all(len(voter_names & set(voters)) >= majority_size(voters) for voters in electorates)

    def all_voters(self) -> set[str]:
        """The voters, and the former ones while the voters change."""
        return {*self.voter_config.previous_voters, *self.voter_config.voters}

    def force(self) -> None:
        """Continues although too few voters have their memory.

        Books that only missing voters have are lost.
        """
        self.forced = True
        self._advance()

    # ---- books ----

    def _propose(self, orders: tuple[Order, ...]) -> None:
        # The count continues from the previous book: if it restarted, two books could have the same version.
        self.book = OrderBook(Version(self.fence, self.book.version.number + 1), orders)
        self.state, self.accepted_by, self.retry_at = PublisherState.REPLICATING, set(), {}

    def submit(self, change: ChangeRequest) -> ChangeOutcome | None:
        """Queues an operator's change; returns its outcome if that is known."""
        if known_outcome := self.change_outcomes.get(change.ticket):
            return known_outcome
        if not change.lift and (error := validate_order(change.order)):
            return self._finish_change(change, error)
        if len(self.queued_changes) >= MAX_QUEUED_CHANGES:
            return ChangeOutcome(change.ticket, self.book.version, "too many calls wait; try again")
        waiting_changes = [*self.queued_changes, *([self.current_change] if self.current_change else [])]
        if all(change.ticket != other.ticket for other in waiting_changes):
            self.queued_changes.append(change)
        self._start_next_change()
        return self.change_outcomes.get(change.ticket)

    def _start_next_change(self) -> None:
        while self.queued_changes and self.state is PublisherState.READY:
            self.current_change = change = self.queued_changes.popleft()
            other_orders = tuple(o for o in self.book.orders if o.key != change.order.key)
            if any(o.ticket == change.ticket for o in self.book.orders):
                self._finish_change(change, "")  # the previous publisher replicated it, but could not reply
            elif change.lift and len(other_orders) == len(self.book.orders):
                self._finish_change(change, "there is no such order")
            elif not change.lift and len(other_orders) >= MAX_ORDERS:
                self._finish_change(change, f"there are {MAX_ORDERS} orders already; lift one")
            else:
                self._propose(other_orders if change.lift else (*other_orders, change.order))

    def _finish_change(self, change: ChangeRequest, error: str) -> ChangeOutcome:
        if self.current_change is change:
            self.current_change = None
        outcome = self.change_outcomes[change.ticket] = ChangeOutcome(change.ticket, self.book.version, error)
        while len(self.change_outcomes) > MAX_REMEMBERED_OUTCOMES:
            del self.change_outcomes[next(iter(self.change_outcomes))]
        return outcome

    # ---- followers ----

    def record_poll(self, now: MonotonicTime, name: str, book_version: Version) -> None:
        """Stores the version that a follower has polled with."""
        self.followers[name] = FollowerStatus(book_version, now)

    def count_followers(self, now: MonotonicTime) -> tuple[int, int]:
        """Counts the followers with the newest book, and those that have polled recently."""
        active_followers = [
            follower for follower in self.followers.values() if now - follower.polled_at < FOLLOWER_TIMEOUT_S
        ]
        return sum(follower.version == self.book.version for follower in active_followers), len(
            active_followers
        )

    # ---- time ----

    def tick(self, now: MonotonicTime, wall_ms: int) -> list[str]:
        """Returns the voters to send a request: to prepare while reading, otherwise to accept the book."""
        if self.state is PublisherState.SUPERSEDED:
            return []
        if not self.is_full_read_over:
            self.full_read_until = (
                self.full_read_until or now + FULL_READ_TIMEOUT_RATIO * self.retry_interval_s
            )
            self.is_full_read_over = now >= self.full_read_until
            self._advance()
        if self.state is PublisherState.READY:
            unexpired = self.book.unexpired_orders(wall_ms)
            if len(unexpired) < len(self.book.orders):
                self._propose(unexpired)
        finished_voters = set(self.read_voters) if self.state is PublisherState.READING else self.accepted_by
        retry_delay_s = self.retry_interval_s * (
            READY_RETRY_RATIO if self.state is PublisherState.READY else 1.0
        )
        due_voters = [
            voter
            for voter in sorted(self.all_voters() - finished_voters)
            if now >= self.retry_at.get(voter, 0.0)
        ]
        self.retry_at |= dict.fromkeys(due_voters, now + retry_delay_s)
        return due_voters

    def describe_wait(self) -> str:
        """Describes to operators which voters the read waits for; empty after the read."""
        if self.state is not PublisherState.READING:
            return ""
        missing = sorted(self.all_voters() - set(self.read_voters))
        lost = self._count_lost_memory()
        if not lost:
            return f"a majority of {', '.join(sorted(self.all_voters()))}"
        return f"{', '.join(missing)}: {lost} voters have lost their memory, and these may know a newer book"
