"""Counts of what has happened since the start of this process, each made where the thing happens."""

from __future__ import annotations

SERVED, REFUSED, FAILED = range(3)


class RequestStats:
    """Final answers by class and outcome, and attempts written whole.

    A class stays once it was known: what was counted of it stays true when the settings drop it.
    """

    def __init__(self) -> None:
        self.answers: dict[str, list[int]] = {}  # by class: served, refused, failed
        self.attempts_sent = 0

    def add_class(self, request_class: str) -> None:
        self.answers.setdefault(request_class, [0, 0, 0])

    def record_answer(self, request_class: str, reply: bytes) -> None:
        """One final answer, by what it says to the client."""
        outcome = SERVED if reply[:1] != b"-" else REFUSED if reply[:5] == b"-BUSY" else FAILED
        self.answers[request_class][outcome] += 1
