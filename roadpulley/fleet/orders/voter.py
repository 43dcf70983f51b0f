"""What one voter keeps of orders, and where. Pure but for the file. See `terms.py`."""

from __future__ import annotations

from pathlib import Path

import msgspec
import structlog

from roadpulley.checks import ValidationError
from roadpulley.fleet.duties.fence_store import write_atomically

from .messages import OrderBook, VoterReply

log = structlog.get_logger("roadpulley.fleet.orders")


class VoterState(msgspec.Struct, frozen=True):
    """Asked or told something, it gives what is kept by then: itself if nothing changes."""

    book: OrderBook = OrderBook()
    promised: int = 0
    whole: bool = False

    def prepare(self, fence: int) -> VoterState:
        return VoterState(self.book, fence, self.whole) if fence > self.promised else self

    def accept(self, book: OrderBook) -> VoterState:
        """A publisher has it take a book."""
        # Danger: a publisher that stood still would undo what was ordered under a higher fence since.
        if book.version.fence < self.promised or (self.whole and book.version <= self.book.version):
            return self
        # A voter that lost its memory takes what a publisher has; a majority that is whole stands behind it.
        return VoterState(max(book, self.book, key=lambda b: b.version), book.version.fence, True)

    def make_reply(self) -> VoterReply:
        return VoterReply(self.promised, self.book.version, self.whole)


class Voter:
    """`folder`: where it remembers, if anywhere. Raises ValidationError for a file that can't be read."""

    def __init__(self, folder: Path | None, name: str) -> None:
        self.path = folder / f"{name}.orders" if folder is not None else None
        self.state = VoterState()
        if self.path is not None and self.path.exists():
            try:
                self.state = msgspec.json.decode(self.path.read_bytes(), type=VoterState)
            except (OSError, msgspec.DecodeError) as error:
                right = "bring it back, or remove it: then it counts as one that lost its memory"
                raise ValidationError(str(self.path), f"can't be read ({error})", right) from error

    def store(self, kept: VoterState) -> bool:
        """From now on, once it is on disk; gives whether it is.

        Danger: what is answered and not kept could be broken after a restart.
        """
        if kept is not self.state and self.path is not None:
            try:
                self.path.parent.mkdir(parents=True, exist_ok=True)
                write_atomically(self.path, msgspec.json.encode(kept))
            except OSError as error:
                log.error("orders cannot be kept", path=str(self.path), why=str(error))
                return False
        self.state = kept
        return True

    def prepare(self, fence: int) -> VoterReply | None:
        """None: nothing is said, as it could not be kept."""
        return self.state.make_reply() if self.store(self.state.prepare(fence)) else None

    def accept(self, book: OrderBook) -> VoterReply | None:
        return self.state.make_reply() if self.store(self.state.accept(book)) else None
