"""A batch as bytes: a line that names it, one line a row, and a last line with the digest of all before.

{"format":1,"gateway":"n0","life":"5f...","number":7,"made_at":1796135433513,"rows":2}
["00000000b4d65521","basic",3,0,"view",498926,12,18500,4]        tries, thousandths of units, settled
...
sha256 5a1c...
"""

from __future__ import annotations

import hashlib
import json
from typing import Any

from roadpulley.checks import Table, ValidationError

from .accumulator import MAX_BATCH_ROWS, Batch, UsageKey, UsageTotals

FORMAT = 1
MOST_BYTES = 4 * 2**20
MOST_NUMBER = 2**53
TAIL = b"sha256 "


def encode_batch(batch: Batch) -> bytes:
    head = {
        "format": FORMAT,
        "gateway": batch.gateway,
        "life": batch.process_id,
        "number": batch.number,
        "made_at": batch.created_at_ms,
        "rows": len(batch.rows),
    }
    lines: list[Any] = [head]
    for row, s in sorted(batch.rows.items()):
        key = [row.customer, row.plan, row.version, row.override, row.request_class, row.hour]
        lines.append([*key, s.tries, s.units, s.settled])
    body = b"".join(json.dumps(line, separators=(",", ":")).encode() + b"\n" for line in lines)
    return body + TAIL + hashlib.sha256(body).hexdigest().encode() + b"\n"


def decode_batch(data: bytes) -> Batch:
    """Raises ValidationError with the place for what is not whole; nothing of it may be counted."""
    if len(data) > MOST_BYTES:
        raise ValidationError("", f"has {len(data):,} bytes", f"a batch has {MOST_BYTES:,} at most")
    body, tail, digest = data.rpartition(TAIL)
    if not tail or digest != hashlib.sha256(body).hexdigest().encode() + b"\n":
        raise ValidationError(
            "", "its digest does not fit", "it was cut off or changed; its gateway writes it again if it can"
        )
    try:
        head, *rows = [json.loads(line) for line in body.splitlines()]
    except (ValueError, RecursionError) as error:
        raise ValidationError("", "is no batch", "give lines of JSON") from error
    table = Table(head, "line 1")
    if table.read_int("format") != FORMAT:
        raise ValidationError("line 1.format", f"is {head['format']}", f"this program reads format {FORMAT}")
    batch = Batch(
        table.read_text("gateway"),
        table.read_text("life"),
        table.read_int("number", minimum=1, maximum=MOST_NUMBER),
        table.read_int("made_at", maximum=MOST_NUMBER),
        dict(read_row(row, f"line {place}") for place, row in enumerate(rows, 2)),
    )
    if table.read_int("rows", maximum=MAX_BATCH_ROWS) != len(batch.rows) or len(rows) != len(batch.rows):
        raise ValidationError(
            "line 1.rows", f"is {head['rows']}, and {len(batch.rows)} are there", "each row stands once"
        )
    table.reject_unknown_keys()
    return batch


def read_row(raw: Any, at: str) -> tuple[UsageKey, UsageTotals]:
    if not isinstance(raw, list) or len(raw) != 9:
        raise ValidationError(at, "is no row", "give nine values")
    texts = [raw[0], raw[1], raw[4]]
    numbers = [raw[2], raw[3], raw[5], raw[6], raw[8]]
    if not all(isinstance(t, str) and 0 < len(t) <= 64 for t in texts):
        raise ValidationError(
            at, "has no names", "give customer, plan and class as texts of at most 64 characters"
        )
    if not all(isinstance(n, int) and not isinstance(n, bool) and 0 <= n <= MOST_NUMBER for n in numbers):
        raise ValidationError(at, "has bad numbers", "give whole numbers that are not negative")
    if not isinstance(raw[7], int) or isinstance(raw[7], bool) or abs(raw[7]) > MOST_NUMBER:
        raise ValidationError(at, "has bad units", "give a whole number of thousandths")
    return UsageKey(raw[0], raw[1], raw[2], raw[3], raw[4], raw[5]), UsageTotals(raw[6], raw[7], raw[8])
