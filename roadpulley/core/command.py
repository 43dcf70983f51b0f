"""The interface between the core and the protocol edges: a client's request and where its answer goes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class Source(Protocol):
    """The sender of a streamed value, with flow control."""

    def pause(self) -> None:
        """Stops sending until `resume`; data that was already read may still follow."""

    def resume(self) -> None:
        """Continues sending after `pause`."""
        ...


class Sink(Protocol):
    """The receiver of a streamed value. The stream ends with exactly one call of `finish` or `abort`."""

    def feed(self, data: bytes | memoryview) -> None:
        """Accepts the next piece of the value."""
        ...

    def free_bytes(self) -> int:
        """How many bytes it can accept now; always above 0."""

    def finish(self) -> None:
        """The value is complete, and its terminator was received."""

    def abort(self) -> None:
        """The value was cut off, and the client must be able to notice that."""


class HeldSink(Sink, Protocol):
    """The receiver of a value that is not sent to the client yet."""

    def release(self) -> None:
        """Returns the memory of a value that nobody waits for any more. Later calls have no effect."""


class ReplySlot(Protocol):
    """Receives the final answer of one command. An edge creates one for each command."""

    request: str | None  # the id while the request is open

    def answer(self, reply: bytes) -> None:
        """Sends the answer, encoded as RESP. Only the first call has an effect."""

    def is_client_gone(self, probe: bool) -> bool:
        """Whether the client has disconnected, without waiting for the next read event.

        `probe`: also ask the kernel, because an end of the connection may not have been read yet.
        """

    def has_commands_behind(self) -> bool:
        """Whether a streamed value that breaks would take the answers of other commands with it."""

    def begin_streaming(self, length: int, source: Source) -> Sink:
        """Starts a streamed answer of `length` bytes in place of a call of `answer`."""

    def get_stream_deadline(self) -> float:
        """When a streamed answer ends unless its client takes a byte before, in Unix milliseconds."""

    def close_connection(self) -> None:
        """Ends the client's connection at once, as its answer can't go on."""

    def hold_value(self, length: int, source: Source) -> HeldSink:
        """Starts to receive a value of `length` bytes that is not sent yet."""

    def pass_on(self, value: HeldSink) -> None:
        """Sends a value from `hold_value` as it comes from now on, in place of a call of `answer`."""

    def answer_held(self, value: HeldSink) -> None:
        """Sends a whole value from `hold_value` as the answer. Only the first answer has an effect."""


@dataclass(slots=True)
class Command:
    """A parsed request. It is forwarded unchanged except for its remaining time."""

    head: bytes  # encoded: command, customer and id
    attributes_before: bytes  # the part of the attributes before the remaining time
    attributes_after: bytes
    body: bytes  # encoded: the arguments after the attributes
    argument_count: int  # including the command's name
    id: str
    customer: str
    request_class: str
    plan: str
    timeout_ms: float  # how long the client waits for an answer
    units: float  # the units that the client states in advance
    spread: int
    first: int
    repeat: bool
    # A long body with its terminator, which is sent after the encoded part.
    long_body: memoryview | None = None

    def encode(self, remaining_ms: int) -> bytes:
        """The command as sent to a backend, with the remaining time of the request."""
        remaining = b"%d" % remaining_ms
        size = len(self.attributes_before) + len(remaining) + len(self.attributes_after)
        return b"*%d\r\n%b$%d\r\n%b%b%b\r\n%b" % (
            self.argument_count,
            self.head,
            size,
            self.attributes_before,
            remaining,
            self.attributes_after,
            self.body,
        )
