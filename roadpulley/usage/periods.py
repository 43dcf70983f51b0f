"""Billing periods: closed once, sealed by a digest, corrected by signed adjustments. Pure but for the store.

    use/period/NAME              {"start", "end", "lines", "digest", "closed_at"}: hours; `end` is exclusive
    use/adjustment/NAME/NUMBER   {"made_at", "lines": [...], "signature"}: 1, 2, ... without gaps

The lines of a period are the totals of its hours, in the order of their keys. As these hours are closed, the
lines are always the same, byte for byte, which the digest proves. Late usage is moved from `use/adjust` into
an adjustment in one atomic write, so that each correction is in exactly one adjustment.
"""

from __future__ import annotations

import csv
import hashlib
import hmac
import io
import json
import re
from collections.abc import Iterable
from dataclasses import asdict, dataclass

from roadpulley.checks import ValidationError
from roadpulley.store import Write

from .accumulator import MILLIUNITS_PER_UNIT, UsageKey, UsageTotals
from .ledger import CLOSED_KEY, UsageLedger, encode_row_key

PERIOD_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,31}")
CSV_HEADER = ("hour", "customer", "plan", "version", "override", "class", "tries", "units")
MIN_KEY_BYTES = 32  # of the signing key


@dataclass(frozen=True)
class Period:
    """A closed period. `start` and the exclusive `end` are in hours since 1970."""

    name: str
    start: int
    end: int
    lines: int
    digest: str  # SHA-256 of its lines, as `encode_csv` writes them
    closed_at: int


@dataclass(frozen=True)
class Adjustment:
    """Signed corrections of a period: usage that arrived after the period was closed."""

    period: str
    number: int
    created_at_ms: int
    lines: tuple[tuple[str, ...], ...]
    signature: str  # HMAC-SHA256 of period, number, time and lines, in hexadecimal


class BillingPeriods:
    """The closed periods in the store of a ledger."""

    def __init__(self, ledger: UsageLedger) -> None:
        self.ledger, self.store = ledger, ledger.store

    def list_all(self) -> list[Period]:
        """Returns the closed periods in the order of their hours."""
        rows = self.store.scan(b"use/period/")
        found = [Period(r.key.decode().rpartition("/")[2], **json.loads(r.value)) for r in rows]
        return sorted(found, key=lambda p: p.start)

    def find(self, name: str) -> Period:
        """Raises ValidationError if no closed period has this name."""
        for period in self.list_all():
            if period.name == name:
                return period
        known = ", ".join(p.name for p in self.list_all()) or "none yet"
        raise ValidationError("period", f"{name!r} is not closed", f"the closed ones are: {known}")

    def close(self, name: str, start: int, end: int, now_hour: int, now_ms: int) -> Period:
        """Closes the hours of a period and seals it. Closing it again returns the same period.

        The hours are closed and the seal is stored in one write: a crash between two writes would let a late
        batch change what is sealed. Raises ValidationError, StoreError.
        """
        for known in self.list_all():
            if known.name == name and (known.start, known.end) == (start, end):
                return known
            if known.name == name or (start < known.end and known.start < end):
                conflict = (
                    f"{name!r} from hour {start} to {end} meets {known.name!r}, {known.start} to {known.end}"
                )
                raise ValidationError(
                    "period", conflict, "each hour belongs to one period, and each name to one"
                )
        if not PERIOD_NAME.fullmatch(name):
            raise ValidationError("period", f"is {name!r}", "give 1 to 32 of a-z, 0-9 and '-'")
        if not start < end <= now_hour:
            raise ValidationError(
                "period", f"runs from hour {start} to {end}, and it is {now_hour}", "close it once it is over"
            )
        lines = self._lines(start, end)
        period = Period(name, start, end, len(lines), compute_digest(lines), now_ms)
        value = {k: v for k, v in asdict(period).items() if k != "name"}
        writes = [Write(b"use/period/" + name.encode(), json.dumps(value).encode(), expect=0)]
        if end > self.ledger.closed_until():
            writes.append(Write(CLOSED_KEY, b"%d" % end))
        self.store.batch(writes)
        return period

    def read_lines(self, period: Period) -> list[tuple[str, ...]]:
        """Returns the lines of a period, verified against its digest.

        Raises ValidationError if they differ, as something else has changed the store.
        """
        lines = self._lines(period.start, period.end)
        if len(lines) != period.lines or compute_digest(lines) != period.digest:
            hint = "restore the store from a backup; nothing is exported"
            raise ValidationError(f"period {period.name}", "its lines are not those that were sealed", hint)
        return lines

    def create_adjustment(self, period: Period, key: bytes, now_ms: int) -> Adjustment | None:
        """Moves late usage of the period into a new adjustment. Returns None if there is none.

        Raises ValidationError for a short key, StoreError.
        """
        rows = list(self.ledger.rows(b"adjust", period.start, period.end))
        if not rows:
            return None
        number = len(self.list_adjustments(period)) + 1
        lines = tuple(format_line(row, total) for row, total in rows)
        adjustment = Adjustment(
            period.name, number, now_ms, lines, sign(key, period.name, number, now_ms, lines)
        )
        value = {"made_at": now_ms, "lines": lines, "signature": adjustment.signature}
        adjustment_key = b"use/adjustment/%b/%08d" % (period.name.encode(), number)
        moved = [Write(encode_row_key(row, b"adjust"), None) for row, _ in rows]
        self.store.batch([Write(adjustment_key, json.dumps(value).encode(), expect=0), *moved])
        return adjustment

    def list_adjustments(self, period: Period) -> list[Adjustment]:
        """Returns the adjustments of a period by number."""
        found = []
        for record in self.store.scan(b"use/adjustment/" + period.name.encode() + b"/"):
            raw, number = json.loads(record.value), int(record.key.rpartition(b"/")[2])
            lines = tuple(tuple(each) for each in raw["lines"])
            found.append(Adjustment(period.name, number, raw["made_at"], lines, raw["signature"]))
        return found

    def _lines(self, start: int, end: int) -> list[tuple[str, ...]]:
        return [format_line(row, total) for row, total in self.ledger.rows(b"row", start, end)]


def format_line(row: UsageKey, total: UsageTotals) -> tuple[str, ...]:
    """Returns the columns of CSV_HEADER. Units have three decimals, formatted without floats."""
    units = (
        f"{'-' if total.units < 0 else ''}{abs(total.units) // MILLIUNITS_PER_UNIT}"
        f".{abs(total.units) % MILLIUNITS_PER_UNIT:03d}"
    )
    return (
        str(row.hour),
        row.customer,
        row.plan,
        str(row.version),
        str(row.override),
        row.request_class,
        str(total.tries),
        units,
    )


def encode_csv(lines: Iterable[tuple[str, ...]]) -> bytes:
    """Returns CSV (RFC 4180) with a header. The same lines always give the same bytes."""
    out = io.StringIO(newline="")
    writer = csv.writer(out)
    writer.writerow(CSV_HEADER)
    writer.writerows(lines)
    return out.getvalue().encode()


def compute_digest(lines: list[tuple[str, ...]]) -> str:
    """Returns the SHA-256 of the CSV, in hexadecimal."""
    return hashlib.sha256(encode_csv(lines)).hexdigest()


def sign(key: bytes, period: str, number: int, made_at: int, lines: tuple[tuple[str, ...], ...]) -> str:
    """Returns the HMAC-SHA256 of an adjustment, in hexadecimal. Raises ValidationError for a short key."""
    if len(key) < MIN_KEY_BYTES:
        raise ValidationError(
            "key", f"has {len(key)} bytes", f"give {MIN_KEY_BYTES} or more, such as `openssl rand 32` makes"
        )
    head = f"{period}\n{number}\n{made_at}\n".encode()
    return hmac.new(key, head + encode_csv(lines), hashlib.sha256).hexdigest()


def is_signature_valid(key: bytes, adjustment: Adjustment) -> bool:
    """Compares in constant time. Raises ValidationError for a short key."""
    return hmac.compare_digest(
        adjustment.signature,
        sign(key, adjustment.period, adjustment.number, adjustment.created_at_ms, adjustment.lines),
    )
