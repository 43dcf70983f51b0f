"""A request as the core takes it from any edge, and the place where its one answer goes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class Slot(Protocol):
    """Where the final answer of one command goes; an edge has one for each."""

    request: str | None  # the id of a request that is still open

    def answer(self, reply: bytes) -> None:
        """Give the answer, as RESP. All but the first are ignored."""


@dataclass(slots=True)
class Command:
    """A request as it came; all but the time left is passed on unchanged."""

    head: bytes  # encoded: command, customer, id
    before: bytes  # of the attributes, what stands before the time left
    after: bytes
    body: bytes  # encoded: what follows the attributes
    length: int  # arguments in all
    id: str
    customer: str
    request_class: str
    plan: str
    wait: float  # how long the client waits, in milliseconds
    units: float
    spread: int
    first: int
    repeat: bool

    def encode(self, wait: int) -> bytes:
        """The command with the time left that a backend is told."""
        left = b"%d" % wait
        size = len(self.before) + len(left) + len(self.after)
        return b"*%d\r\n%b$%d\r\n%b%b%b\r\n%b" % (
            self.length,
            self.head,
            size,
            self.before,
            left,
            self.after,
            self.body,
        )
