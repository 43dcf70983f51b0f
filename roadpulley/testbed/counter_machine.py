"""How the counter works: names with a life on parts that serve calls in turn. Pure; times in milliseconds."""

from __future__ import annotations

import re
import zlib
from dataclasses import dataclass

from .scenario import CounterKind

MAX_LIFE_MS = 60_000.0
MAX_AMOUNT = 1e9
CALL = re.compile(rb"tally ([!-~]{1,64}) (-?\d{1,10}(?:\.\d{1,9})?) (\d{1,9})")


class InvalidCallError(Exception):
    """A line that is no call of the protocol."""


@dataclass(frozen=True, slots=True)
class Call:
    name: bytes
    amount: float
    life: float  # of a new name


def read_call(line: bytes) -> Call:
    """A line without its CRLF. Raises InvalidCallError."""
    got = CALL.fullmatch(line)
    if got is None:
        raise InvalidCallError("not `tally NAME AMOUNT LIFE`")
    amount, life = float(got[2]), int(got[3])
    if abs(amount) > MAX_AMOUNT:
        raise InvalidCallError("an amount over 1e9")
    if life < 1:
        raise InvalidCallError("a life under 1 ms")
    return Call(got[1], amount, min(float(life), MAX_LIFE_MS))


def write_total(total: float) -> bytes:
    """Seven digits of it are exact."""
    return b"ok %s\r\n" % f"{total:.7g}".encode()


class CounterMachine:
    def __init__(self, kind: CounterKind) -> None:
        self.kind = kind
        self.free_at = [0.0] * kind.parts  # when a part has served all that waits
        self.names: dict[bytes, tuple[float, float]] = {}  # total, end of its life
        self.full = False  # turns everything away
        self.swept_at = 0.0

    def serve_at(self, call: Call, now: float) -> float | None:
        """When a call will have had its turn; None: turned away, nothing is added."""
        part = zlib.crc32(call.name) % self.kind.parts
        begin = max(now, self.free_at[part])
        if self.full or begin - now > self.kind.queue_ms:
            return None
        self.free_at[part] = begin + 1000 / self.kind.per_s
        return self.free_at[part] + self.kind.ms

    def add(self, call: Call, now: float) -> float:
        """Take a call's turn; gives the total."""
        if now - self.swept_at > MAX_LIFE_MS / 4:
            self.names = {n: v for n, v in self.names.items() if v[1] > now}
            self.swept_at = now
        total, until = self.names.get(call.name, (0.0, 0.0))
        if until <= now:
            total, until = 0.0, now + call.life
        self.names[call.name] = (total + call.amount, until)
        return total + call.amount

    def forget(self) -> None:
        """Come back empty."""
        self.names.clear()
        self.free_at = [0.0] * self.kind.parts
