"""The line format of the operators' calls, of their answers and of the metrics. No state."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

MAX_CALL_BYTES = 64  # with the line end; the longest call has seven bytes


class Call(Enum):
    """A call as an operator writes it."""

    STATUS = "STATUS"
    METRICS = "METRICS"
    PAUSE = "PAUSE"
    RESUME = "RESUME"


class UnknownCallError(Exception):
    """The line is not a call. The text lists the calls."""


CALL_NAMES = ", ".join(call.value for call in Call)


def read_call(line: bytes) -> Call:
    """Parse a line without its end, in upper or lower case. Raises UnknownCallError."""
    try:
        return Call(line.strip(b" \t\r").decode("ascii").upper())
    except ValueError:  # includes UnicodeDecodeError, for bytes that are not ASCII
        raise UnknownCallError(f"unknown call; the calls are {CALL_NAMES}") from None


def format_ok(text: str = "") -> bytes:
    """The answer to a call that succeeded."""
    return f"OK {text}".rstrip().encode() + b"\n"


def format_error(text: str) -> bytes:
    """The answer to a call that failed or is unknown."""
    return b"ERR " + text.encode() + b"\n"


def format_metrics(metrics: Iterable[tuple[str, int]]) -> bytes:
    """The metrics, one a line, followed by the line END."""
    return b"".join(b"edge_lb.%b=%d\n" % (name.encode(), value) for name, value in metrics) + b"END\n"
