"""Stored form of versions and reservations: one JSON object per key. Unknown fields are rejected.

Keys are plan/NAME/NUMBER, customer/ID/NUMBER and reserve/ID. Numbers have eight digits, so that keys sort
by them.
"""

from __future__ import annotations

import json
import re
from dataclasses import asdict
from typing import Any

from roadpulley.checks import Table, ValidationError

from .catalog import CustomerVersion, PlanVersion, Version
from .reservations import MAX_UNITS, Reservation
from .terms import TERM_NAMES, read_terms, terms_to_dict, validate_customer_id, validate_plan_name

MAX_TIME_MS = 2**53
RESERVATION_PREFIX = b"reserve/"
RESERVATION_ID_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,64}")
VERSION_PREFIXES = (b"plan/", b"customer/")
MAX_NOTE_CHARS = 200


def build_key(version: Version) -> bytes:
    """Return the store key of a version."""
    if isinstance(version, PlanVersion):
        return b"plan/%b/%08d" % (version.plan.encode(), version.number)
    return b"customer/%b/%08d" % (version.customer.encode(), version.number)


def dump(version: Version) -> bytes:
    """Encode a version; the names of fields are those of stored records."""
    raw: dict[str, Any] = {
        "from": version.effective_from,
        "made_at": version.made_at,
        "note": version.note,
        "called_off": version.cancelled_at,
    }
    if isinstance(version, PlanVersion):
        raw["terms"] = terms_to_dict(version.terms)
    elif version.assigned_plan is not None:
        raw["assigns"] = version.assigned_plan
    else:
        raw["until"], raw["changes"] = version.until, dict(version.changes)
    return json.dumps(raw, separators=(",", ":"), sort_keys=True).encode()


def load(at: bytes, value: bytes) -> Version:
    """Decode a version. Raises ValidationError with the key for a malformed record."""
    path = at.decode(errors="backslashreplace")
    parts = path.split("/")
    if len(parts) != 3 or parts[0] not in ("plan", "customer") or not parts[2].isdecimal():
        raise ValidationError(
            path, "is no key of a version", "look at the store with `roadpulley store dump`"
        )
    kind, name, number = parts[0], parts[1], int(parts[2])
    try:
        table = Table(json.loads(value), path)
    except (ValueError, RecursionError) as error:
        raise ValidationError(
            path, "is no JSON", "look at the store with `roadpulley store verify`"
        ) from error
    start, made = table.read_int("from", maximum=MAX_TIME_MS), table.read_int("made_at", maximum=MAX_TIME_MS)
    note, cancelled_at = table.read_text("note", ""), table.read_int("called_off", 0, maximum=MAX_TIME_MS)
    version: Version
    if kind == "plan":
        terms = read_terms(table.read_table("terms"), whole=True)
        version = PlanVersion(validate_plan_name(name, path), number, start, terms, made, note, cancelled_at)
    elif table.has("assigns"):
        plan = table.read_text("assigns", "")
        if plan:
            validate_plan_name(plan, table.path_of("assigns"))
        version = CustomerVersion(
            validate_customer_id(name, path), number, start, 0, made, plan, (), note, cancelled_at
        )
    else:
        until, changes = (
            table.read_int("until", 0, maximum=MAX_TIME_MS),
            read_changes(table.read_table("changes")),
        )
        listed = tuple(sorted(changes.items()))
        version = CustomerVersion(
            validate_customer_id(name, path), number, start, until, made, None, listed, note, cancelled_at
        )
    table.reject_unknown_keys()
    return version


def read_changes(table: Table) -> dict[str, float | int | str]:
    """Read the terms of an override, each within its range. Raises ValidationError."""
    # An override may set a rate without a burst, or the reverse, because the plan has the other one. Each
    # term is validated with placeholders for the terms that it requires.
    named = {name: table.raw[name] for name in TERM_NAMES if table.has(name)}
    for name in table.raw:
        if name not in TERM_NAMES:
            raise ValidationError(table.path_of(name), "is no term", f"the terms are {', '.join(TERM_NAMES)}")
    changes: dict[str, float | int | str] = {}
    for name, value in named.items():
        required = {"rate": {"burst": 1e9}, "burst": {"rate": 1e-9}}.get(name, {})
        required |= {"ceiling_rate": {"ceiling_burst": 1.0}, "ceiling_burst": {"ceiling_rate": 1.0}}.get(
            name, {}
        )
        required = required if value else {}
        changes[name] = getattr(read_terms(Table({name: value, **required}, table.path)), name)
    return changes


def build_reservation_key(id: str) -> bytes:
    """Return the store key of a reservation."""
    return RESERVATION_PREFIX + id.encode()


def dump_reservation(r: Reservation) -> bytes:
    """Encode a reservation under the names of its fields."""
    return json.dumps(asdict(r), separators=(",", ":"), sort_keys=True).encode()


def load_reservation(at: bytes, value: bytes) -> Reservation:
    """Decode a reservation. Raises ValidationError with the key for a malformed record."""
    path = at.decode(errors="backslashreplace")
    try:
        table = Table(json.loads(value), path)
    except (ValueError, RecursionError) as error:
        raise ValidationError(
            path, "is no JSON", "look at the store with `roadpulley store verify`"
        ) from error
    r = Reservation(
        validate_reservation_id(table.read_text("id")),
        validate_customer_id(table.read_text("customer"), table.path_of("customer")),
        table.read_int("units", minimum=1, maximum=MAX_UNITS),
        table.read_int("start", maximum=MAX_TIME_MS),
        table.read_int("end", maximum=MAX_TIME_MS),
        table.read_value("on_top", ..., "give true or false") is True,
        table.read_text("kind", ""),
        table.read_text("batch", ""),
        table.read_int("made_at", maximum=MAX_TIME_MS),
        table.read_int("ended_at", maximum=MAX_TIME_MS),
    )
    table.reject_unknown_keys()
    if build_reservation_key(r.id) != at or r.end <= r.start:
        right = "look at the store with `roadpulley store dump`"
        raise ValidationError(path, f"holds {r.id!r} from {r.start} to {r.end}", right)
    return r


def validate_reservation_id(text: str) -> str:
    """Return the id. Raises ValidationError if it is malformed."""
    if not RESERVATION_ID_PATTERN.fullmatch(text):
        raise ValidationError("id", f"is {text!r}", "give 1 to 64 letters, digits, '-' and '_'")
    return text
