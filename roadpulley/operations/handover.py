"""The messages between two processes of one gateway: one JSON object a line, bounded and strictly checked.

The peer may run another version of this program, or be an unrelated process that found the socket. Every
value is checked, because a value such as NaN would spread through all leases.
"""

from __future__ import annotations

import json
import math
from dataclasses import asdict
from typing import Any

from mintford import interface as api

VERSION = 1
MAX_MESSAGE_BYTES = 2 * 1024 * 1024  # enough for some thousand customers
MAX_CUSTOMERS = 4_000
MAX_BACKENDS = 1_000
HELLO = "hello"  # from the new process, when it connects
SERVING = "serving"  # from the new process, once it accepts clients
PARTIAL_STATE = "gives"  # from the old process, in reply to HELLO
REMAINING_STATE = "left"  # from the old process, when it exits
RECENT_IDS = "ids"  # from both, while both serve; see `id_exchange.py`
CARRIES_STATE = {HELLO: False, SERVING: False, PARTIAL_STATE: True, REMAINING_STATE: True}

# Fields of a lease by type. All others are numbers.
BOOLEAN_FIELDS = {"heard", "ended"}
PERIOD_FIELDS = {"totals", "unsure"}  # mappings from the number of a period to a number
INTEGER_FIELDS = {"wants_told"}
TIME_FIELDS = {"lease_end", "read_at", "asked_at"}  # in ms by the sender's clock


class MessageError(Exception):
    """A message does not have the required form. The text says which part of it."""


def encode_message(
    kind: str,
    gateway: str,
    state: api.HandoverState | None = None,
    wall_offset_ms: float = 0.0,
    ids: list[tuple[str, float]] | None = None,
) -> bytes:
    """Encode a message as a line. `wall_offset_ms` is that of the sender, see `core.clock`.

    `ids`: those that the sender remembers, and so that it takes such ids.

    If there are more than MAX_CUSTOMERS customers, only those with the most recent demand are sent. The
    receiver then treats the others as after a crash of this process.
    """
    message: dict[str, Any] = {"v": VERSION, "kind": kind, "gateway": gateway}
    if ids is not None:
        message["ids"] = ids
    if state is not None:
        by_demand_time = sorted(state.customers, key=lambda snapshot: -snapshot.lease["asked_at"])
        customers = [asdict(snapshot) for snapshot in by_demand_time[:MAX_CUSTOMERS]]
        for snapshot in customers:
            estimate = snapshot["lease"]["left"]  # NaN once the counter's readings are used; JSON has no NaN
            snapshot["lease"]["left"] = None if math.isnan(estimate) else estimate
        is_complete = len(by_demand_time) <= MAX_CUSTOMERS
        message["estate"] = {
            "since": state.complete_since if is_complete else None,
            "clock": wall_offset_ms,
            "customers": customers,
            "backends": [asdict(health) for health in state.backends[:MAX_BACKENDS]],
            "typical": state.typical,
            "recent": state.recent,
        }
    return json.dumps(message, separators=(",", ":"), allow_nan=False).encode() + b"\n"


def decode_message(
    line: bytes, kind: str, gateway: str, now: float, wall_offset_ms: float = 0.0
) -> api.HandoverState | None:
    """Check a message that arrived at `now`. Return its state, or None for a kind that carries none.

    The times of the state are those of the receiver's clock, whose `wall_offset_ms` is given.
    Raises MessageError if the message is malformed or has another version, kind or gateway.
    """
    message = parse_message(line, gateway)
    if message.get("kind") != kind:
        raise MessageError(f"kind is {str(message.get('kind'))[:40]!r}, not {kind!r}")
    return decode_state(message.get("estate"), now, wall_offset_ms) if CARRIES_STATE[kind] else None


def parse_message(line: bytes, gateway: str) -> dict[str, Any]:
    """The message in a line, of any kind. Raises MessageError for another version or gateway."""
    try:
        message = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise MessageError(f"not valid JSON ({error})") from error
    if not isinstance(message, dict):
        raise MessageError("not a JSON object")
    for key, expected in (("v", VERSION), ("gateway", gateway)):
        if message.get(key) != expected:
            raise MessageError(f"{key} is {str(message.get(key))[:40]!r}, not {expected!r}")
    return message


def decode_state(raw: Any, now: float, wall_offset_ms: float) -> api.HandoverState:
    """Check the state in a message. Raises MessageError."""
    try:
        # If the wall clock was set forward between the starts of the two processes, ceilings would seem to
        # have refilled for that long. A sender of an earlier version does not tell its clock.
        clock_shift_ms = wall_offset_ms - check_number(raw.get("clock", wall_offset_ms))
        since = now if raw["since"] is None else check_number(raw["since"]) + clock_shift_ms
        customers = tuple(
            decode_customer(snapshot, clock_shift_ms)
            for snapshot in check_size(raw["customers"], list, MAX_CUSTOMERS)
        )
        backends = tuple(
            decode_backend(health, clock_shift_ms)
            for health in check_size(raw["backends"], list, MAX_BACKENDS)
        )
        return api.HandoverState(
            min(since, now), customers, backends, check_number(raw["typical"]), check_number(raw["recent"])
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MessageError(f"estate: {type(error).__name__}: {error}") from error


def decode_customer(raw: Any, clock_shift_ms: float) -> api.CustomerSnapshot:
    """Check one customer's state. Raises KeyError, TypeError, ValueError or AttributeError."""
    lease = raw["lease"]
    if set(lease) != set(api.LEASE_FIELDS):
        raise ValueError(f"a lease has the wrong fields: {sorted(lease)}")
    return api.CustomerSnapshot(
        check_name(raw["customer"]),
        check_name(raw["plan"]),
        max(1, int(check_number(raw["spread"]))),
        {name: decode_lease_field(name, lease[name], clock_shift_ms) for name in api.LEASE_FIELDS},
        check_number(raw["tokens"]),
        check_number(raw["own"]),
        check_number(raw["unused"]),
        check_number(raw["unsaid"]),
    )


def decode_lease_field(name: str, value: Any, clock_shift_ms: float) -> Any:
    """Check a field of a lease by its type. Raises ValueError."""
    if name in BOOLEAN_FIELDS:
        if not isinstance(value, bool):
            raise ValueError(f"{name} is {value!r}")
        return value
    if name in PERIOD_FIELDS:
        return {int(period): check_number(units) for period, units in check_size(value, dict, 8).items()}
    if name == "left" and value is None:
        return math.nan
    if name in TIME_FIELDS:
        return check_number(value) + clock_shift_ms
    return int(check_number(value)) if name in INTEGER_FIELDS else check_number(value)


def decode_backend(raw: Any, clock_shift_ms: float) -> api.BackendSnapshot:
    """Check one backend's health. Raises KeyError, TypeError, ValueError or AttributeError."""
    marks = {
        check_name(name): tuple(map(check_number, mark))
        for name, mark in check_size(raw["marks"], dict, 64).items()
    }
    if any(len(mark) != 2 for mark in marks.values()):
        raise ValueError("a mark is not a level and a time")
    if type(raw["backend"]) is not int:  # not converted, because a float would lose the last digits
        raise ValueError("a backend is not an integer")
    shifted_marks = {name: (level, at + clock_shift_ms) for name, (level, at) in marks.items()}
    return api.BackendSnapshot(raw["backend"], check_number(raw["started"]), shifted_marks)


def check_number(value: Any) -> float:
    """The value as a float. Raises ValueError unless it is a finite number."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{str(value)[:40]!r} is not a finite number")
    return float(value)


def check_name(value: Any) -> str:
    """The value itself. Raises ValueError unless it is a string of 1 to 256 characters."""
    if not isinstance(value, str) or not 0 < len(value) <= 256:
        raise ValueError(f"{str(value)[:40]!r} is not a name")
    return value


def check_size(value: Any, kind: type[list[Any]] | type[dict[str, Any]], max_size: int) -> Any:
    """The value itself. Raises ValueError unless it is of this type and has at most `max_size` items."""
    if not isinstance(value, kind) or len(value) > max_size:
        raise ValueError(f"not a {kind.__name__} of at most {max_size} items")
    return value
