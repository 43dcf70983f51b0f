"""RESP2 as the protocol uses it: the commands of clients and the answers of backends.

Peers are not trusted. Only the protocol's own forms are read, a length out of range is refused at its
header, and what is kept of an unfinished message is bounded. A general RESP reader accepts far more (maps,
sets, nested and endless arrays, values of gigabytes) and rejects a whole answer for a spoilt part of it that
is not needed.
"""

from __future__ import annotations

import re
from typing import NamedTuple

MAX_VALUE_BYTES = 64 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024  # the value of a request; over MAX_VALUE_BYTES only once room is granted
BODY_ARGUMENT_INDEX = 4  # its place
MAX_COMMAND_BYTES = MAX_VALUE_BYTES + 4 * 1024  # all of its arguments together
MAX_ARGUMENTS = 16
MAX_ANSWER_BYTES = 4 * 1024 * 1024
LONG_VALUE_THRESHOLD_BYTES = 64 * 1024  # over this the first bytes are timed, and it is passed on as it comes
STREAMING_START_BYTES = (
    16 * 1024
)  # of such a value, until it is passed on: a wrong length seldom has so much behind
MAX_ERROR_BYTES = 1024
MAX_EXTRA_BYTES = 4 * 1024  # figures on use and load report, as they are on the wire

FAST_PATH_BYTES = 1024  # bytes in which a whole command is looked for, to be cut at once
LENGTH_HEADERS = [b"$%d" % length for length in range(512)]
COUNT = re.compile(rb"\*(\d{1,6})\r\n")
LENGTH = re.compile(rb"\$(\d{1,7})\r\n")
PARTIAL_HEADER = {
    COUNT: re.compile(rb"\*(?:\d{0,6}|\d{1,6}\r)"),
    LENGTH: re.compile(rb"\$(?:\d{0,7}|\d{1,7}\r)"),
}
VALUE_HEADER = re.compile(rb"\*3\r\n\$(\d{1,7})\r\n")
EMPTY_VALUE_HEADER = b"*3\r\n$0\r\n"  # how an answer with an empty value begins
PARTIAL_VALUE_HEADER = re.compile(rb"\*(?:3(?:\r(?:\n(?:\$(?:\d{0,7}|\d{1,7}\r))?)?)?)?")
EXTRA = re.compile(rb"\$-1\r\n|:-?\d{1,18}\r\n|\$(\d{1,5})\r\n")
PARTIAL_EXTRA = re.compile(rb"\$(?:-1?|-1\r|\d{0,5}|\d{1,5}\r)|:-?(?:\d{0,18}|\d{1,18}\r)")


class MalformedError(Exception):
    """What came is none of the protocol's forms; nothing after it can be understood either."""


def encode_bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


class CommandReader:
    """Cuts a client's bytes into commands: arrays of bulk strings."""

    __slots__ = ("_args", "_at", "_body", "_buffer", "_left", "_size", "_total", "wanted_body_bytes")

    def __init__(self) -> None:
        self._buffer, self._at = bytearray(), 0  # what is before `_at` has been taken
        self._args: list[bytes] = []  # of the command that has begun
        self._left, self._size = 0, -1  # arguments to come; length of the next one, -1 before its header
        self._total = 0
        self._body: bytearray | None = None  # a long one that is granted, and its end with it
        self.wanted_body_bytes = 0  # bytes of a long body: nothing is read until `grant`

    def grant_body(self) -> None:
        """The long body that it wants may come."""
        self._body, self.wanted_body_bytes = bytearray(), 0

    @property
    def is_reading_body(self) -> bool:
        """Whether a long body is under way."""
        return self._body is not None

    def take_body(self) -> bytearray | None:
        """The long body of the command that `next` has given, with its end; None where it had none."""
        body, self._body = self._body, None
        return body

    def feed(self, data: bytes | memoryview) -> None:
        if self._at:
            del self._buffer[: self._at]
            self._at = 0
        self._buffer += data

    @property
    def buffered_bytes(self) -> int:
        """Bytes that are kept of a command that is not whole; 0 between commands."""
        body = len(self._body) if self._body is not None else 0
        return len(self._buffer) - self._at + self._total + body + (1 if self._left else 0)

    def next_command(self) -> list[bytes] | None:
        """The next whole command, if there is one."""
        if self.wanted_body_bytes:
            return None
        if self._body is not None:
            return self._long()
        if not self._left and self._size < 0 and (args := self._cut()):
            return args
        while True:
            if self._size < 0:
                number = self._header(LENGTH if self._left else COUNT)
                if number is None:
                    return None
                if not self._left:
                    if not 0 < number <= MAX_ARGUMENTS:
                        raise MalformedError("number of arguments")
                    self._left, self._args, self._total = number, [], 0
                    continue
                if number > MAX_VALUE_BYTES and self._left == 1 and len(self._args) == BODY_ARGUMENT_INDEX:
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

    def _long(self) -> list[bytes] | None:
        """The arguments before a long body, once that has come with its end."""
        assert self._body is not None
        rest = self._size + 2 - len(self._body)
        self._body += memoryview(self._buffer)[self._at : self._at + rest]
        self._at = min(len(self._buffer), self._at + rest)
        if len(self._body) < self._size + 2:
            return None
        if not self._body.endswith(b"\r\n"):
            raise MalformedError("end of an argument")
        args, self._args, self._total, self._left, self._size = self._args, [], 0, 0, -1
        return args

    def _cut(self) -> list[bytes] | None:
        """A command of four arguments in its plainest form; None where only the long way can tell."""
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

    def _header(self, form: re.Pattern[bytes]) -> int | None:
        if got := form.match(self._buffer, self._at):
            self._at = got.end()
            return int(got[1])
        # A line that never ends, or that begins as no header does, is told by its first bytes.
        rest = self._buffer[self._at : self._at + 10]
        if rest and not PARTIAL_HEADER[form].fullmatch(rest):
            raise MalformedError("not an array of bulk strings")
        return None


class Answer(NamedTuple):
    value: bytes | None  # None: an error line
    error: bytes
    is_connection_reusable: (
        bool  # the answer was whole and nothing followed it: the connection may be used again
    )
    usage: bytes = b""  # figures on use, and load report, as they came; b"": none, or none that can be read
    report: bytes = b""


def parse_long_value_header(data: bytearray) -> tuple[int, int] | None:
    """Length of a long value and where it begins, once so much of it is here that it may be passed on."""
    if len(data) < STREAMING_START_BYTES:
        return None
    head = VALUE_HEADER.match(data)
    if head is None or len(data) < head.end() + STREAMING_START_BYTES:
        return None
    return (
        (int(head[1]), head.end()) if LONG_VALUE_THRESHOLD_BYTES < int(head[1]) <= MAX_ANSWER_BYTES else None
    )


class LongValue:
    """What is left of a long answer: the rest of its value, then what an answer ends with."""

    __slots__ = ("remaining_bytes", "trailer")

    def __init__(self, length: int) -> None:
        self.remaining_bytes = length  # bytes of the value to come
        self.trailer = bytearray(EMPTY_VALUE_HEADER)  # and what the answer ends with

    def consume(self, data: memoryview) -> memoryview:
        """Take in what has come; gives what of it belongs to the value."""
        value, rest = data[: self.remaining_bytes], data[self.remaining_bytes :]
        self.remaining_bytes -= len(value)
        self.trailer += rest
        return value

    def is_complete(self) -> bool:
        """Whether the value's own end is here. Raises MalformedError for another end."""
        if self.remaining_bytes:
            return False
        end = bytes(self.trailer[len(EMPTY_VALUE_HEADER) : len(EMPTY_VALUE_HEADER) + 2])
        if not b"\r\n".startswith(end):
            raise MalformedError("end of the value")
        return len(end) == 2

    def parse_trailer(self) -> Answer | None:
        """The answer but for its value, once it is whole."""
        return parse_answer(self.trailer) if self.is_complete() else None


def parse_answer(data: bytearray) -> Answer | None:
    """The answer of a backend that `data` holds, None while it is not whole."""
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
            # The value is whole and followed by what belongs behind it; only that can't be read.
            return Answer(bytes(memoryview(data)[head.end() : end]), b"", False, *extras)
        begin = data.find(b"\n", at, after - 2) + 1  # behind the length of a string
        extras.append(bytes(data[begin : after - 2]) if begin else b"")
        at = after
    return Answer(bytes(memoryview(data)[head.end() : end]), b"", at == len(data), *extras)


def parse_extra(data: bytearray, at: int) -> int | None:
    """Where the figures or the report at a place end: None while not whole, -1 if they can't be read."""
    if got := EXTRA.match(data, at):
        if got[1] is None:
            return got.end()
        end = got.end() + int(got[1])
        if int(got[1]) > MAX_EXTRA_BYTES or not b"\r\n".startswith(data[end : end + 2]):
            return -1
        return end + 2 if len(data) >= end + 2 else None
    rest = data[at : at + 22]
    return None if not rest or PARTIAL_EXTRA.fullmatch(rest) else -1
