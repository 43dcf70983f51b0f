"""Counters of answers, attempts and closed connections since the start, and the last unusual events."""

from __future__ import annotations

from .event_ring import EventRing

SERVED = 0
REFUSED = 1
FAILED = 2


class RequestStats:
    """Final answers by class and outcome, the attempts that were sent completely, and unusual events.

    A class is never removed: its counts remain valid when the settings drop it.
    """

    def __init__(self) -> None:
        self.answers: dict[str, list[int]] = {}  # by class: served, refused, failed
        self.attempts_sent = 0
        self.events = EventRing()
        self.overdue: dict[str, int] = {}  # what the overdue watch ended, by its kind
        self.unanswered_at_close: dict[str, int] = {}  # commands and unread replies, by reason of the close

    def add_class(self, request_class: str) -> None:
        """Starts the counters of a class, if it has none yet."""
        self.answers.setdefault(request_class, [0, 0, 0])

    def record_answer(self, request_class: str, reply: bytes) -> None:
        """Counts a final answer; its outcome is taken from the RESP reply."""
        outcome = SERVED if reply[:1] != b"-" else REFUSED if reply[:5] == b"-BUSY" else FAILED
        self.answers[request_class][outcome] += 1

    def record_unanswered(self, reason: str, count: int) -> None:
        """Counts what was unanswered on a client's connection that is closed for a reason."""
        self.unanswered_at_close[reason] = self.unanswered_at_close.get(reason, 0) + count
