"""State of one voter for the orders, and its file. Pure except for the file, see `messages.py`."""

from __future__ import annotations

from pathlib import Path

import msgspec
import structlog

from roadpulley.checks import ValidationError
from roadpulley.fleet.duties.fence_store import write_atomically

from .messages import OrderBook, VoterReply

log = structlog.get_logger("roadpulley.fleet.orders")


class VoterState(msgspec.Struct, frozen=True):
    """Stored state of a voter. `prepare` and `accept` return the next state, `self` if nothing changes.

    `promised` is the highest fence of a `PrepareRequest`; `whole`: it has accepted a book and not lost its
    memory since.
    """

    book: OrderBook = OrderBook()
    promised: int = 0
    whole: bool = False

    def prepare(self, fence: int) -> VoterState:
        """Promises to accept nothing below this fence."""
        return VoterState(self.book, fence, self.whole) if fence > self.promised else self

    def accept(self, book: OrderBook) -> VoterState:
        """Accepts a book of a publisher, unless that has a lower fence or an older version."""
        # A publisher that was suspended would undo orders given under a higher fence in the meantime.
        if book.version.fence < self.promised or (self.whole and book.version <= self.book.version):
            return self
        # A voter that has lost its memory accepts any version, as the publisher has read a majority of voters
        # with memory before. It stores the newer one of both books.
        return VoterState(max(book, self.book, key=lambda b: b.version), book.version.fence, True)

    def make_reply(self) -> VoterReply:
        """Creates the reply to a publisher."""
        return VoterReply(self.promised, self.book.version, self.whole)


class Voter:
    """Keeps the state in a file in `folder`; with None, only in memory.

    Raises ValidationError if the file can't be read.
    """

    def __init__(self, folder: Path | None, name: str) -> None:
        self.path = folder / f"{name}.orders" if folder is not None else None
        self.state = VoterState()
        if self.path is not None and self.path.exists():
            try:
                self.state = msgspec.json.decode(self.path.read_bytes(), type=VoterState)
            except (OSError, msgspec.DecodeError) as error:
                remedy = "bring it back, or remove it: then it counts as one that lost its memory"
                raise ValidationError(str(self.path), f"can't be read ({error})", remedy) from error

    def store(self, new_state: VoterState) -> bool:
        """Replaces the state after writing it to disk; False if that failed.

        A promise that is sent before it is on disk could be broken after a restart.
        """
        if new_state is not self.state and self.path is not None:
            try:
                self.path.parent.mkdir(parents=True, exist_ok=True)
                write_atomically(self.path, msgspec.json.encode(new_state))
            except OSError as error:
                log.error("cannot store the orders of this voter", path=str(self.path), why=str(error))
                return False
        self.state = new_state
        return True

    def prepare(self, fence: int) -> VoterReply | None:
        """Returns the reply; None if the state could not be stored, so that no reply may be sent."""
        return self.state.make_reply() if self.store(self.state.prepare(fence)) else None

    def accept(self, book: OrderBook) -> VoterReply | None:
        """Returns the reply; None if the state could not be stored, so that no reply may be sent."""
        return self.state.make_reply() if self.store(self.state.accept(book)) else None
