"""The part of RESP2 that the protocol uses: the commands of clients and the answers of backends.

Peers are not trusted. Only the forms of the protocol are accepted, an invalid length is rejected at its
header, and the buffered part of an incomplete message is bounded. A general RESP reader accepts far more
(maps, sets, nested and endless arrays, values of gigabytes), and rejects a whole answer if an optional part
of it is malformed.
"""

from __future__ import annotations

import re
from typing import NamedTuple

MAX_VALUE_BYTES = 64 * 1024
# The value of a request. Above UNGRANTED_BODY_BYTES it is read only after a memory grant.
MAX_BODY_BYTES = 4 * 1024 * 1024
UNGRANTED_BODY_BYTES = 16 * 1024
BODY_ARGUMENT_INDEX = 4  # the position of the value among the arguments
MAX_COMMAND_BYTES = MAX_VALUE_BYTES + 4 * 1024  # all arguments together
MAX_ARGUMENTS = 16
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# A longer value is streamed, and the attempt's timeout covers only its first bytes.
LONG_VALUE_THRESHOLD_BYTES = 64 * 1024
# Once this much is received, a long value has begun, and its attempt is late only if the bytes stop. A wrong
# length is rarely followed by so much noise.
LONG_VALUE_EVIDENCE_BYTES = 2 * 1024
# Streaming starts once this much is received, or the hold is over. What breaks before can still be replaced
# by another attempt.
STREAMING_START_BYTES = 16 * 1024
MAX_ERROR_BYTES = 1024
MAX_EXTRA_BYTES = 4 * 1024  # the usage figures or the load report, as encoded

FAST_PATH_BYTES = 1024  # of the buffer that the fast path looks at
LENGTH_HEADERS = [b"$%d" % length for length in range(512)]
COUNT = re.compile(rb"\*(\d{1,6})\r\n")
LENGTH = re.compile(rb"\$(\d{1,7})\r\n")
PARTIAL_HEADER = {
    COUNT: re.compile(rb"\*(?:\d{0,6}|\d{1,6}\r)"),
    LENGTH: re.compile(rb"\$(?:\d{0,7}|\d{1,7}\r)"),
}
VALUE_HEADER = re.compile(rb"\*3\r\n\$(\d{1,7})\r\n")
EMPTY_VALUE_HEADER = b"*3\r\n$0\r\n"  # the beginning of an answer with an empty value
PARTIAL_VALUE_HEADER = re.compile(rb"\*(?:3(?:\r(?:\n(?:\$(?:\d{0,7}|\d{1,7}\r))?)?)?)?")
EXTRA = re.compile(rb"\$-1\r\n|:-?\d{1,18}\r\n|\$(\d{1,5})\r\n")
PARTIAL_EXTRA = re.compile(rb"\$(?:-1?|-1\r|\d{0,5}|\d{1,5}\r)|:-?(?:\d{0,18}|\d{1,18}\r)")


class MalformedError(Exception):
    """The data is not valid in the protocol. What follows it on the connection can't be parsed either."""


def encode_bulk(value: bytes) -> bytes:
    """Encodes a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


class CommandReader:
    """Splits the bytes of a client into commands, which are arrays of bulk strings."""

    __slots__ = (
        "_args",
        "_at",
        "_body",
        "_body_left",
        "_buffer",
        "_is_skipping",
        "_left",
        "_size",
        "_total",
        "wanted_body_bytes",
    )

    def __init__(self) -> None:
        self._buffer, self._at = bytearray(), 0  # the bytes before `_at` are consumed
        self._args: list[bytes] = []  # of the incomplete command
        self._left, self._size = 0, -1  # missing arguments; length of the next one, or -1 before its header
        self._total = 0
        self._body: bytearray | None = None  # a long body that was granted, with its terminator
        self._body_left = 0  # bytes of it that are missing
        self._is_skipping = False  # the body is discarded as it comes
        self.wanted_body_bytes = 0  # length of a long body that waits for `grant_body`

    def grant_body(self) -> None:
        """Permits the long body of `wanted_body_bytes` to be read."""
        self._body, self._body_left, self.wanted_body_bytes = bytearray(), self.wanted_body_bytes + 2, 0

    def skip_body(self) -> None:
        """Discards the long body of `wanted_body_bytes` as it comes, as there is no memory for it."""
        self.grant_body()
        self._is_skipping = True

    def take_skipped(self) -> bool:
        """Whether the body of the command returned by `next_command` was discarded. It is told once."""
        was_skipped, self._is_skipping = self._is_skipping, False
        return was_skipped

    @property
    def is_reading_body(self) -> bool:
        """Whether a long body is being received."""
        return self._body is not None

    def take_body(self) -> bytearray | None:
        """Removes and returns the long body, with its terminator, of the command returned by `next_command`.

        None if that command has no long body.
        """
        body, self._body = self._body, None
        return body

    def feed(self, data: bytes | memoryview) -> None:
        """Appends received bytes to the buffer."""
        if self._at:
            del self._buffer[: self._at]
            self._at = 0
        self._buffer += data

    @property
    def unparsed_bytes(self) -> int:
        """Bytes that were received and not parsed."""
        return len(self._buffer) - self._at

    @property
    def buffered_bytes(self) -> int:
        """Bytes of an incomplete command, plus one if an argument is missing; 0 between commands."""
        body = len(self._body) if self._body is not None else 0
        return len(self._buffer) - self._at + self._total + body + (1 if self._left else 0)

    def next_command(self) -> list[bytes] | None:
        """The arguments of the next complete command, or None. Raises MalformedError."""
        if self.wanted_body_bytes:
            return None
        if self._body is not None:
            return self._read_body()
        if not self._left and self._size < 0 and (args := self._parse_fast()):
            return args
        while True:
            if self._size < 0:
                number = self._parse_header(LENGTH if self._left else COUNT)
                if number is None:
                    return None
                if not self._left:
                    if not 0 < number <= MAX_ARGUMENTS:
                        raise MalformedError("number of arguments")
                    self._left, self._args, self._total = number, [], 0
                    continue
                is_body = self._left == 1 and len(self._args) == BODY_ARGUMENT_INDEX
                if is_body and number > UNGRANTED_BODY_BYTES:
                    if number > MAX_BODY_BYTES:
                        raise MalformedError("length of an argument")
                    self.wanted_body_bytes = self._size = number
                    return None
                self._total += number
                if number > MAX_VALUE_BYTES or self._total > MAX_COMMAND_BYTES:
                    raise MalformedError("length of an argument")
                self._size = number
            end = self._at + self._size
            if len(self._buffer) < end + 2:
                return None
            if self._buffer[end : end + 2] != b"\r\n":
                raise MalformedError("end of an argument")
            self._args.append(bytes(self._buffer[self._at : end]))
            self._at, self._size = end + 2, -1
            self._left -= 1
            if not self._left:
                args, self._args, self._total = self._args, [], 0
                return args

    def _read_body(self) -> list[bytes] | None:
        """The arguments before a long body, once the body and its terminator are complete."""
        assert self._body is not None
        piece = memoryview(self._buffer)[self._at : self._at + self._body_left]
        self._at += len(piece)
        self._body_left -= len(piece)
        if not self._is_skipping:
            self._body += piece
        piece.release()
        if self._body_left:
            return None
        if self._is_skipping:
            self._body = None
        elif not self._body.endswith(b"\r\n"):
            raise MalformedError("end of an argument")
        args, self._args, self._total, self._left, self._size = self._args, [], 0, 0, -1
        return args

    def _parse_fast(self) -> list[bytes] | None:
        """The fast path for a complete command of four short arguments. None: the general path decides."""
        data = bytes(self._buffer[self._at : self._at + FAST_PATH_BYTES])
        parts = data.split(b"\r\n", 9)
        if len(parts) < 10 or parts[0] != b"*4":
            return None
        _, h0, verb, h1, customer, h2, request, h3, listed, rest = parts
        if (
            len(verb) < 512 > len(customer)
            and len(request) < 512 > len(listed)
            and h0 == LENGTH_HEADERS[len(verb)]
            and h1 == LENGTH_HEADERS[len(customer)]
            and h2 == LENGTH_HEADERS[len(request)]
            and h3 == LENGTH_HEADERS[len(listed)]
        ):
            self._at += len(data) - len(rest)
            return [verb, customer, request, listed]
        return None

    def _parse_header(self, form: re.Pattern[bytes]) -> int | None:
        if matched := form.match(self._buffer, self._at):
            self._at = matched.end()
            return int(matched[1])
        # The first bytes show whether a line is endless or can't be a header.
        rest = self._buffer[self._at : self._at + 10]
        if rest and not PARTIAL_HEADER[form].fullmatch(rest):
            raise MalformedError("not an array of bulk strings")
        return None


class Answer(NamedTuple):
    """A parsed answer of a backend."""

    value: bytes | None  # None: the answer is an error line
    error: bytes
    is_connection_reusable: bool  # the answer is complete and nothing follows it
    usage: bytes = b""  # usage figures, and below the load report, as received; b"": missing or malformed
    report: bytes = b""


def parse_long_value_header(
    data: bytearray, min_value_bytes: int = STREAMING_START_BYTES
) -> tuple[int, int] | None:
    """Length and start of a long value, once `min_value_bytes` of it are received."""
    if len(data) < min_value_bytes:
        return None
    head = VALUE_HEADER.match(data)
    if head is None or len(data) < head.end() + min_value_bytes:
        return None
    return (
        (int(head[1]), head.end()) if LONG_VALUE_THRESHOLD_BYTES < int(head[1]) <= MAX_ANSWER_BYTES else None
    )


class LongValue:
    """The unread rest of a long answer: the remaining value and then the trailer."""

    __slots__ = ("remaining_bytes", "trailer")

    def __init__(self, length: int) -> None:
        self.remaining_bytes = length  # of the value
        self.trailer = bytearray(EMPTY_VALUE_HEADER)  # parsed as the answer to an empty value

    def consume(self, data: memoryview) -> memoryview:
        """Consumes received bytes. Returns the part that belongs to the value."""
        value, rest = data[: self.remaining_bytes], data[self.remaining_bytes :]
        self.remaining_bytes -= len(value)
        self.trailer += rest
        return value

    def is_complete(self) -> bool:
        """Whether the value and its terminator are received. Raises MalformedError for a wrong terminator."""
        if self.remaining_bytes:
            return False
        end = bytes(self.trailer[len(EMPTY_VALUE_HEADER) : len(EMPTY_VALUE_HEADER) + 2])
        if not b"\r\n".startswith(end):
            raise MalformedError("end of the value")
        return len(end) == 2

    def parse_trailer(self) -> Answer | None:
        """The answer without its value, once it is complete."""
        return parse_answer(self.trailer) if self.is_complete() else None


def parse_answer(data: bytearray) -> Answer | None:
    """The answer in `data`, or None while it is incomplete. Raises MalformedError."""
    if data.startswith(b"-"):
        end = data.find(b"\r\n", 0, MAX_ERROR_BYTES)
        if end >= 0:
            return Answer(None, bytes(data[1:end]), end + 2 == len(data))
        if len(data) >= MAX_ERROR_BYTES:
            raise MalformedError("an endless error")
        return None
    head = VALUE_HEADER.match(data)
    if head is None:
        if not PARTIAL_VALUE_HEADER.fullmatch(data[:20]):
            raise MalformedError("not an answer")
        return None
    end = head.end() + int(head[1])
    if int(head[1]) > MAX_ANSWER_BYTES:
        raise MalformedError("length of the value")
    if len(data) < end + 2:
        return None
    if data[end : end + 2] != b"\r\n":
        raise MalformedError("end of the value")
    at = end + 2
    extras: list[bytes] = []
    for _ in range(2):
        after = parse_extra(data, at)
        if after is None and len(data) - end <= MAX_EXTRA_BYTES:
            return None
        if after is None or after < 0:
            # The value is complete and usable. Only its figures or load report are malformed.
            return Answer(bytes(memoryview(data)[head.end() : end]), b"", False, *extras)
        begin = data.find(b"\n", at, after - 2) + 1  # after the length line of a bulk string
        extras.append(bytes(data[begin : after - 2]) if begin else b"")
        at = after
    return Answer(bytes(memoryview(data)[head.end() : end]), b"", at == len(data), *extras)


def parse_extra(data: bytearray, at: int) -> int | None:
    """The end of the figures or the load report at `at`: None while incomplete, -1 if malformed."""
    if matched := EXTRA.match(data, at):
        if matched[1] is None:
            return matched.end()
        end = matched.end() + int(matched[1])
        if int(matched[1]) > MAX_EXTRA_BYTES or not b"\r\n".startswith(data[end : end + 2]):
            return -1
        return end + 2 if len(data) >= end + 2 else None
    rest = data[at : at + 22]
    return None if not rest or PARTIAL_EXTRA.fullmatch(rest) else -1
