"""The usage ledger: adds each batch to the store exactly once. Pure except for the store.

    use/row/HOUR/CUSTOMER/PLAN/VERSION/OVERRIDE/CLASS    the totals of a row, fixed once its hour is closed
    use/adjust/HOUR/...                                  usage that arrived after its hour was closed
    use/life/GATEWAY/PROCESS                             the number of the last batch added of that process
    use/closed                                           all hours before this one are closed

The totals of a batch and its number are written in one atomic batch of the store, so that a crash leaves both
or neither. A batch that arrives again has a known number and changes nothing.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from urllib.parse import quote, unquote

from roadpulley.checks import ValidationError
from roadpulley.store import Store, Write
from roadpulley.store.fences import FencedStore

from .accumulator import Batch, UsageKey, UsageTotals

CLOSED_KEY = b"use/closed"


@dataclass(frozen=True)
class IngestResult:
    """`is_new` is False if the batch was in the ledger already.

    `late_rows` counts the rows of closed hours, which were added to the adjustments.
    """

    is_new: bool
    late_rows: int = 0


class UsageLedger:
    """The ledger in an open store. Methods raise StoreError if a write fails; nothing is added then."""

    def __init__(self, store: Store | FencedStore) -> None:
        self.store = store

    def ingest(self, batch: Batch) -> IngestResult:
        """Adds a batch, unless it was added already.

        Raises ValidationError for a gap: the previous batch of the process has to be added first.
        """
        process_key = encode_process_key(batch)
        last = int(self.store.get(process_key) or b"0")
        if batch.number <= last:
            return IngestResult(False)
        if batch.number != last + 1:
            process = f"{batch.gateway} {batch.process_id}"
            raise ValidationError(
                process, f"batch {batch.number} came, and {last + 1} has not", "add them in order"
            )
        closed, late, writes = self.closed_until(), 0, [Write(process_key, b"%d" % batch.number)]
        for row, delta in batch.rows.items():
            # The rows of a closed hour are sealed and must not change. Late usage has its own rows.
            key = encode_row_key(row, b"adjust" if row.hour < closed else b"row")
            late += row.hour < closed
            total = self._read_totals(key)
            total.add(delta)
            writes.append(Write(key, json.dumps([total.tries, total.units, total.settled]).encode()))
        self.store.batch(writes)
        return IngestResult(True, late)

    def closed_until(self) -> int:
        """Returns the first hour that is not closed, in hours since 1970, or 0."""
        return int(self.store.get(CLOSED_KEY) or b"0")

    def close_hours(self, hour: int) -> None:
        """Closes all hours before this one: their rows no longer change.

        Raises ValidationError if this would reopen hours.
        """
        if hour < self.closed_until():
            raise ValidationError(
                "hour", f"is {hour}, and all before {self.closed_until()} are closed", "give a later one"
            )
        self.store.put(CLOSED_KEY, b"%d" % hour)

    def rows(
        self, kind: bytes = b"row", start: int = 0, end: int = 10**8
    ) -> Iterator[tuple[UsageKey, UsageTotals]]:
        """Yields the rows of the hours from `start` up to and excluding `end`, in the order of their keys."""
        prefix = b"use/" + kind + b"/"
        for record in self.store.scan(prefix, prefix + b"%08d" % start, prefix + b"%08d" % end):
            tries, units, settled = json.loads(record.value)
            yield decode_row_key(record.key), UsageTotals(tries, units, settled)

    def _read_totals(self, key: bytes) -> UsageTotals:
        value = self.store.get(key)
        return UsageTotals(*json.loads(value)) if value else UsageTotals()


def encode_process_key(batch: Batch) -> bytes:
    """Names are quoted, as they may contain a slash."""
    return f"use/life/{quote(batch.gateway, safe='')}/{quote(batch.process_id, safe='')}".encode()


def encode_row_key(row: UsageKey, kind: bytes) -> bytes:
    """`kind` is `row` or `adjust`. Numbers are zero-padded, so that keys sort by hour."""
    names = (
        f"{row.customer}/{row.plan}/{row.version:08d}/{row.override:08d}/{quote(row.request_class, safe='')}"
    )
    return b"use/%b/%08d/%b" % (kind, row.hour, names.encode())


def decode_row_key(key: bytes) -> UsageKey:
    """The inverse of `encode_row_key`."""
    _, _, hour, customer, plan, version, override, kind = key.decode().split("/")
    return UsageKey(customer, plan, int(version), int(override), unquote(kind), int(hour))
