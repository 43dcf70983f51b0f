"""The file format of a batch: a header line, one line for each row, and the SHA-256 of all preceding lines.

{"format":1,"gateway":"n0","life":"5f...","number":7,"made_at":1796135433513,"rows":2}
["00000000b4d65521","basic",3,0,"view",498926,12,18500,4]
...
sha256 5a1c...

A row is customer, plan, version, override, class, hour, tries, thousandths of units, and settled tries.
`life` identifies the process.
"""

from __future__ import annotations

import hashlib
import json
from typing import Any

from roadpulley.checks import Table, ValidationError

from .accumulator import MAX_BATCH_ROWS, Batch, UsageKey, UsageTotals

FORMAT = 1
MAX_BATCH_BYTES = 4 * 2**20
MAX_INTEGER = 2**53
DIGEST_PREFIX = b"sha256 "


def encode_batch(batch: Batch) -> bytes:
    """Rows are sorted: the same batch gives the same bytes."""
    head = {
        "format": FORMAT,
        "gateway": batch.gateway,
        "life": batch.process_id,
        "number": batch.number,
        "made_at": batch.created_at_ms,
        "rows": len(batch.rows),
    }
    lines: list[Any] = [head]
    for row, totals in sorted(batch.rows.items()):
        key = [row.customer, row.plan, row.version, row.override, row.request_class, row.hour]
        lines.append([*key, totals.tries, totals.units, totals.settled])
    body = b"".join(json.dumps(line, separators=(",", ":")).encode() + b"\n" for line in lines)
    return body + DIGEST_PREFIX + hashlib.sha256(body).hexdigest().encode() + b"\n"


def decode_batch(data: bytes) -> Batch:
    """Raises ValidationError for a truncated or altered batch. Nothing of it may be used."""
    if len(data) > MAX_BATCH_BYTES:
        raise ValidationError("", f"has {len(data):,} bytes", f"a batch has {MAX_BATCH_BYTES:,} at most")
    body, prefix, digest = data.rpartition(DIGEST_PREFIX)
    if not prefix or digest != hashlib.sha256(body).hexdigest().encode() + b"\n":
        raise ValidationError(
            "",
            "its digest does not fit",
            "it was truncated or changed; its gateway writes it again if it can",
        )
    try:
        head, *rows = [json.loads(line) for line in body.splitlines()]
    except (ValueError, RecursionError) as error:
        raise ValidationError("", "is not a batch", "give lines of JSON") from error
    table = Table(head, "line 1")
    if table.read_int("format") != FORMAT:
        raise ValidationError("line 1.format", f"is {head['format']}", f"this program reads format {FORMAT}")
    batch = Batch(
        table.read_text("gateway"),
        table.read_text("life"),
        table.read_int("number", minimum=1, maximum=MAX_INTEGER),
        table.read_int("made_at", maximum=MAX_INTEGER),
        dict(decode_row(row, f"line {line_number}") for line_number, row in enumerate(rows, 2)),
    )
    if table.read_int("rows", maximum=MAX_BATCH_ROWS) != len(batch.rows) or len(rows) != len(batch.rows):
        raise ValidationError(
            "line 1.rows",
            f"is {head['rows']}, but {len(batch.rows)} different rows follow",
            "give each row once",
        )
    table.reject_unknown_keys()
    return batch


def decode_row(raw: Any, location: str) -> tuple[UsageKey, UsageTotals]:
    """Raises ValidationError with `location`."""
    if not isinstance(raw, list) or len(raw) != 9:
        raise ValidationError(location, "is not a row", "give nine values")
    texts = [raw[0], raw[1], raw[4]]
    numbers = [raw[2], raw[3], raw[5], raw[6], raw[8]]
    if not all(isinstance(t, str) and 0 < len(t) <= 64 for t in texts):
        raise ValidationError(
            location, "has invalid names", "give customer, plan and class as texts of at most 64 characters"
        )
    if not all(isinstance(n, int) and not isinstance(n, bool) and 0 <= n <= MAX_INTEGER for n in numbers):
        raise ValidationError(location, "has invalid numbers", "give whole numbers that are not negative")
    if not isinstance(raw[7], int) or isinstance(raw[7], bool) or abs(raw[7]) > MAX_INTEGER:
        raise ValidationError(location, "has invalid units", "give a whole number of thousandths")
    return UsageKey(raw[0], raw[1], raw[2], raw[3], raw[4], raw[5]), UsageTotals(raw[6], raw[7], raw[8])
