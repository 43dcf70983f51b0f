"""The messages of the link between two processes of one gateway: one JSON object a line, strict and bounded.

The other end is another version of this program, or something that found the path. Nothing is taken from it
that is not of the form below: a number that is none would spread through every lease.
"""

from __future__ import annotations

import json
import math
from dataclasses import asdict
from typing import Any

from mintford import interface as api

VERSION = 1
LONGEST = 2 * 1024 * 1024  # bytes of a message; some thousand customers
MOST_CUSTOMERS, MOST_BACKENDS = 4_000, 1_000
HELLO, SERVING, GIVES, LEFT = "hello", "serving", "gives", "left"
KINDS = {HELLO: False, SERVING: False, GIVES: True, LEFT: True}  # whether an estate goes with it

# What a lease's values are; all else is a number.
FLAGS = {"heard", "ended"}
BY_PERIOD = {"totals", "unsure"}
WHOLE = {"wants_told"}


class Garbled(Exception):
    """A message that is not of this form; the text says where."""


def write(kind: str, gateway: str, estate: api.HandoverState | None = None) -> bytes:
    """A message. Of many customers those that were met last are told; the rest starts as after a crash."""
    message: dict[str, Any] = {"v": VERSION, "kind": kind, "gateway": gateway}
    if estate is not None:
        told = sorted(estate.customers, key=lambda held: -held.lease["asked_at"])
        customers = [asdict(held) for held in told[:MOST_CUSTOMERS]]
        for held in customers:
            left = held["lease"]["left"]  # no number where the store is followed, which JSON can't say
            held["lease"]["left"] = None if math.isnan(left) else left
        whole = len(told) <= MOST_CUSTOMERS
        message["estate"] = {
            "since": estate.complete_since if whole else None,
            "customers": customers,
            "backends": [asdict(seen) for seen in estate.backends[:MOST_BACKENDS]],
            "typical": estate.typical,
            "recent": estate.recent,
        }
    return json.dumps(message, separators=(",", ":"), allow_nan=False).encode() + b"\n"


def read(line: bytes, kind: str, gateway: str, now: float) -> api.HandoverState | None:
    """What a message of this kind brings, which has come at a time. Raises Garbled."""
    try:
        message = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise Garbled(f"no JSON ({error})") from error
    if not isinstance(message, dict):
        raise Garbled("no object")
    for key, right in (("v", VERSION), ("kind", kind), ("gateway", gateway)):
        if message.get(key) != right:
            raise Garbled(f"{key} is {str(message.get(key))[:40]!r}, not {right!r}")
    return read_estate(message.get("estate"), now) if KINDS[kind] else None


def read_estate(raw: Any, now: float) -> api.HandoverState:
    try:
        since = now if raw["since"] is None else number(raw["since"])
        customers = tuple(read_holding(held) for held in bounded(raw["customers"], list, MOST_CUSTOMERS))
        backends = tuple(read_seen(seen) for seen in bounded(raw["backends"], list, MOST_BACKENDS))
        return api.HandoverState(
            min(since, now), customers, backends, number(raw["typical"]), number(raw["recent"])
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise Garbled(f"estate: {type(error).__name__}: {error}") from error


def read_holding(raw: Any) -> api.CustomerSnapshot:
    lease = raw["lease"]
    if set(lease) != set(api.LEASE_FIELDS):
        raise ValueError(f"a lease of {sorted(lease)}")
    return api.CustomerSnapshot(
        text(raw["customer"]),
        text(raw["plan"]),
        max(1, int(number(raw["spread"]))),
        {name: read_term(name, lease[name]) for name in api.LEASE_FIELDS},
        number(raw["tokens"]),
        number(raw["own"]),
        number(raw["unused"]),
        number(raw["unsaid"]),
    )


def read_term(name: str, value: Any) -> Any:
    if name in FLAGS:
        if not isinstance(value, bool):
            raise ValueError(f"{name} is {value!r}")
        return value
    if name in BY_PERIOD:
        return {int(period): number(total) for period, total in bounded(value, dict, 8).items()}
    if name == "left" and value is None:
        return math.nan
    return int(number(value)) if name in WHOLE else number(value)


def read_seen(raw: Any) -> api.BackendSnapshot:
    marks = {text(name): tuple(map(number, mark)) for name, mark in bounded(raw["marks"], dict, 64).items()}
    if any(len(mark) != 2 for mark in marks.values()):
        raise ValueError("a mark is a level and a time")
    if type(raw["backend"]) is not int:  # as it is: a float would lose its last digits
        raise ValueError("a backend is a whole number")
    return api.BackendSnapshot(raw["backend"], number(raw["started"]), marks)  # type: ignore[arg-type]


def number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{str(value)[:40]!r} is no number")
    return float(value)


def text(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= 256:
        raise ValueError(f"{str(value)[:40]!r} is no name")
    return value


def bounded(value: Any, kind: type[list[Any]] | type[dict[str, Any]], most: int) -> Any:
    if not isinstance(value, kind) or len(value) > most:
        raise ValueError(f"no {kind.__name__} of {most} at most")
    return value
