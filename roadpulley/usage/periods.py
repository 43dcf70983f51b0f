"""Billing periods: closed once, sealed by a digest, corrected by signed adjustments. Pure but for the store.

    use/period/NAME              {"start", "end", "lines", "digest", "closed_at"}: hours, `end` is not in it
    use/adjustment/NAME/NUMBER   {"made_at", "lines": [...], "signature"}: 1, 2, ... without a gap

A period's lines are the sums of its hours, in the order of their keys; as their hours are closed they come
out the same, byte for byte, for ever, and the digest says so. What came too late is moved out of `use/adjust`
into an adjustment in one write of the store, so that each correction is in one adjustment and in one only.
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

NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,31}")
HEAD = ("hour", "customer", "plan", "version", "override", "class", "tries", "units")
KEY_BYTES = 32  # of the signing key at the least


@dataclass(frozen=True)
class Period:
    """Hours since 1970."""

    name: str
    start: int
    end: int
    lines: int
    digest: str  # SHA-256 of its lines as `table` writes them
    closed_at: int


@dataclass(frozen=True)
class Adjustment:
    period: str
    number: int
    created_at_ms: int
    lines: tuple[tuple[str, ...], ...]
    signature: str  # HMAC-SHA256 of period, number, time and lines


class BillingPeriods:
    def __init__(self, ledger: UsageLedger) -> None:
        self.ledger, self.store = ledger, ledger.store

    def list_all(self) -> list[Period]:
        rows = self.store.scan(b"use/period/")
        found = [Period(r.key.decode().rpartition("/")[2], **json.loads(r.value)) for r in rows]
        return sorted(found, key=lambda p: p.start)

    def find(self, name: str) -> Period:
        for period in self.list_all():
            if period.name == name:
                return period
        known = ", ".join(p.name for p in self.list_all()) or "none yet"
        raise ValidationError("period", f"{name!r} is not closed", f"the closed ones are: {known}")

    def close(self, name: str, start: int, end: int, now_hour: int, now: int) -> Period:
        """Close the hours of a period and seal it; again it gives the same. Raises ValidationError, and
        StoreError.

        Danger: a crash between closing the hours and the seal would let a late batch change what is sealed;
        both are one write.
        """
        for known in self.list_all():
            if known.name == name and (known.start, known.end) == (start, end):
                return known
            if known.name == name or (start < known.end and known.start < end):
                wrong = (
                    f"{name!r} from hour {start} to {end} meets {known.name!r}, {known.start} to {known.end}"
                )
                raise ValidationError(
                    "period", wrong, "each hour belongs to one period, and each name to one"
                )
        if not NAME.fullmatch(name):
            raise ValidationError("period", f"is {name!r}", "give 1 to 32 of a-z, 0-9 and '-'")
        if not start < end <= now_hour:
            raise ValidationError(
                "period", f"runs from hour {start} to {end}, and it is {now_hour}", "close it once it is over"
            )
        lines = self._lines(start, end)
        period = Period(name, start, end, len(lines), digest(lines), now)
        value = {k: v for k, v in asdict(period).items() if k != "name"}
        writes = [Write(b"use/period/" + name.encode(), json.dumps(value).encode(), expect=0)]
        if end > self.ledger.closed_until():
            writes.append(Write(CLOSED_KEY, b"%d" % end))
        self.store.batch(writes)
        return period

    def read_lines(self, period: Period) -> list[tuple[str, ...]]:
        """As they were when it was closed.

        Raises ValidationError if not: another hand has changed the store.
        """
        lines = self._lines(period.start, period.end)
        if len(lines) != period.lines or digest(lines) != period.digest:
            right = "restore the store from a backup; nothing is exported"
            raise ValidationError(f"period {period.name}", "its lines are not those that were sealed", right)
        return lines

    def create_adjustment(self, period: Period, key: bytes, now: int) -> Adjustment | None:
        """What came for its hours after it was closed, as a further adjustment; None where nothing did."""
        rows = list(self.ledger.rows(b"adjust", period.start, period.end))
        if not rows:
            return None
        number = len(self.list_adjustments(period)) + 1
        lines = tuple(format_line(row, total) for row, total in rows)
        made = Adjustment(period.name, number, now, lines, sign(key, period.name, number, now, lines))
        value = {"made_at": now, "lines": lines, "signature": made.signature}
        at = b"use/adjustment/%b/%08d" % (period.name.encode(), number)
        moved = [Write(encode_row_key(row, b"adjust"), None) for row, _ in rows]
        self.store.batch([Write(at, json.dumps(value).encode(), expect=0), *moved])
        return made

    def list_adjustments(self, period: Period) -> list[Adjustment]:
        found = []
        for record in self.store.scan(b"use/adjustment/" + period.name.encode() + b"/"):
            raw, number = json.loads(record.value), int(record.key.rpartition(b"/")[2])
            lines = tuple(tuple(each) for each in raw["lines"])
            found.append(Adjustment(period.name, number, raw["made_at"], lines, raw["signature"]))
        return found

    def _lines(self, start: int, end: int) -> list[tuple[str, ...]]:
        return [format_line(row, total) for row, total in self.ledger.rows(b"row", start, end)]


def format_line(row: UsageKey, total: UsageTotals) -> tuple[str, ...]:
    """Units as decimal digits with three places: the same text on every machine."""
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
    """CSV (RFC 4180) with a head; the same lines give the same bytes."""
    out = io.StringIO(newline="")
    writer = csv.writer(out)
    writer.writerow(HEAD)
    writer.writerows(lines)
    return out.getvalue().encode()


def digest(lines: list[tuple[str, ...]]) -> str:
    return hashlib.sha256(encode_csv(lines)).hexdigest()


def sign(key: bytes, period: str, number: int, made_at: int, lines: tuple[tuple[str, ...], ...]) -> str:
    if len(key) < KEY_BYTES:
        raise ValidationError(
            "key", f"has {len(key)} bytes", f"give {KEY_BYTES} or more, such as `openssl rand 32` makes"
        )
    head = f"{period}\n{number}\n{made_at}\n".encode()
    return hmac.new(key, head + encode_csv(lines), hashlib.sha256).hexdigest()


def is_signature_valid(key: bytes, a: Adjustment) -> bool:
    return hmac.compare_digest(a.signature, sign(key, a.period, a.number, a.created_at_ms, a.lines))
