"""A request as the core takes it from any edge, and the place where its one answer goes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class Source(Protocol):
    """Where the pieces of a long value come from."""

    def pause(self) -> None:
        """Bring no more until `resume`; what is on its way may still come."""

    def resume(self) -> None: ...


class Sink(Protocol):
    """Where the pieces of a long value go. Exactly one of `done` and `broken` ends it."""

    def feed(self, data: bytes | memoryview) -> None: ...

    def free_bytes(self) -> int:
        """How many bytes it has room for now; above 0."""

    def finish(self) -> None:
        """All of it has come, and its end with it."""

    def abort(self) -> None:
        """No more of it will come, and the client must be able to tell."""


class ReplySlot(Protocol):
    """Where the final answer of one command goes; an edge has one for each."""

    request: str | None  # the id of a request that is still open

    def answer(self, reply: bytes) -> None:
        """Give the answer, as RESP. All but the first are ignored."""

    def is_client_gone(self, ask: bool) -> bool:
        """Whether its client has left, which is told of at once then.

        `ask`: the kernel, as an end that came by now may not have been read.
        """

    def begin_streaming(self, length: int, source: Source) -> Sink:
        """Begin the answer with a value of so many bytes, which come in pieces. It is the only answer."""


@dataclass(slots=True)
class Command:
    """A request as it came; all but the time left is passed on unchanged."""

    head: bytes  # encoded: command, customer, id
    attributes_before: bytes  # of the attributes, what stands before the time left
    attributes_after: bytes
    body: bytes  # encoded: what follows the attributes
    argument_count: int  # arguments in all
    id: str
    customer: str
    request_class: str
    plan: str
    timeout_ms: float  # how long the client waits, in milliseconds
    units: float
    spread: int
    first: int
    repeat: bool
    long_body: memoryview | None = None  # a long body with its end, which goes behind what is encoded

    def encode(self, wait: int) -> bytes:
        """The command with the time left that a backend is told."""
        left = b"%d" % wait
        size = len(self.attributes_before) + len(left) + len(self.attributes_after)
        return b"*%d\r\n%b$%d\r\n%b%b%b\r\n%b" % (
            self.argument_count,
            self.head,
            size,
            self.attributes_before,
            left,
            self.attributes_after,
            self.body,
        )
