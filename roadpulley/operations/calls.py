"""The operators' calls as lines: bytes to calls, and figures to bytes. No state."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

LONGEST_CALL = 64  # bytes, with its end; the longest call has seven


class Call(Enum):
    STATUS = "STATUS"
    METRICS = "METRICS"
    PAUSE = "PAUSE"
    RESUME = "RESUME"


class Unknown(Exception):
    """The line is none of the calls; the text says which there are."""


KNOWN = ", ".join(call.value for call in Call)


def read_call(line: bytes) -> Call:
    """The call that a line makes, without its end. Raises Unknown."""
    try:
        return Call(line.strip(b" \t\r").decode("ascii").upper())
    except ValueError:  # bytes that are no ASCII are among these
        raise Unknown(f"unknown call; the calls are {KNOWN}") from None


def ok(text: str = "") -> bytes:
    return f"OK {text}".rstrip().encode() + b"\n"


def error(text: str) -> bytes:
    return b"ERR " + text.encode() + b"\n"


def figures(named: Iterable[tuple[str, int]]) -> bytes:
    """The figures, one a line, and the line that ends them."""
    return b"".join(b"edge_lb.%b=%d\n" % (name.encode(), value) for name, value in named) + b"END\n"
