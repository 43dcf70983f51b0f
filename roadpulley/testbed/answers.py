"""Reads a gateway's answers as a client sees them: strict, so that a spoilt one shows. Pure."""

from __future__ import annotations

import re
from dataclasses import dataclass

PARTIAL_ANSWER = "an answer that is not whole"  # what a client notes of a connection that ends within one
LARGEST = 16 * 1024 * 1024
LINE = re.compile(rb"([+\-:])([^\r\n]{0,4096})\r\n")
BULK = re.compile(rb"\$(\d{1,8})\r\n")
BEGUN = re.compile(rb"[+\-:][^\r\n]{0,4096}\r?|\$\d{0,8}\r?")
REFUSED = re.compile(rb"BUSY(?: (\d{1,9}))?")
VALUE = re.compile(rb"tile (\S{1,64}) (\S{1,64}) (\d{1,12}) \.*")


class CorruptAnswerError(Exception):
    """Bytes that are no answer of the protocol."""


@dataclass(frozen=True, slots=True)
class Answer:
    how: str  # served, refused, failed, or said: a plain line such as +PONG
    value: bytes = b""
    retry_after: float | None = None  # milliseconds

    def made_by(self) -> tuple[str, str, int] | None:
        """Request, node and serial that a value names; None if it is no node's."""
        got = VALUE.fullmatch(self.value)
        return (got[1].decode(), got[2].decode(), int(got[3])) if got else None


class AnswerReader:
    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def next(self) -> Answer | None:
        """The next whole answer, if there is one. Raises CorruptAnswerError."""
        data = self.buffer
        if got := LINE.match(data):
            kind, text = bytes(got[1]), bytes(got[2])
            del data[: got.end()]
            if kind != b"-":
                return Answer("said", text)
            refused = REFUSED.fullmatch(text)
            if refused is None:
                return Answer("failed", text)
            return Answer("refused", text, float(refused[1]) if refused[1] else None)
        if got := BULK.match(data):
            size, start = int(got[1]), got.end()
            if size > LARGEST:
                raise CorruptAnswerError(f"a value of {size} bytes")
            if len(data) < start + size + 2:
                return None
            if data[start + size : start + size + 2] != b"\r\n":
                raise CorruptAnswerError("a value without its end")
            value = bytes(data[start : start + size])
            del data[: start + size + 2]
            return Answer("served", value)
        if data and not BEGUN.fullmatch(data[:4200]):
            raise CorruptAnswerError(f"not an answer: {bytes(data[:24])!r}")
        return None
