"""Taking batches into the store, each once. Pure but for the store it is handed.

    use/row/HOUR/CUSTOMER/PLAN/VERSION/OVERRIDE/CLASS    the sums of an hour that is open
    use/adjust/HOUR/...                                  what came for an hour after it was closed
    use/life/GATEWAY/LIFE                                the last batch taken in of that process
    use/closed                                           the hours before this one are closed

A batch's sums and its number are written as one batch of the store: both are there after a crash, or neither.
One that comes again has a number that is known, and changes nothing.
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
    """`new` False: it was known already. `late`: rows that went to adjustments, as their hour is closed."""

    is_new: bool
    late_rows: int = 0


class UsageLedger:
    """The one that has the store open. Raises StoreError where it cannot write; nothing is taken in then."""

    def __init__(self, store: Store | FencedStore) -> None:
        self.store = store

    def ingest(self, batch: Batch) -> IngestResult:
        """Raises ValidationError for a gap: a batch before this one has not come, so this one has to wait."""
        life = life_key(batch)
        last = int(self.store.get(life) or b"0")
        if batch.number <= last:
            return IngestResult(False)
        if batch.number != last + 1:
            place = f"{batch.gateway} {batch.process_id}"
            raise ValidationError(
                place, f"batch {batch.number} came, and {last + 1} has not", "take them in order"
            )
        closed, late, writes = self.closed_until(), 0, [Write(life, b"%d" % batch.number)]
        for row, more in batch.rows.items():
            # Danger: a closed hour is sealed and billed. What comes for it now is a line of its own.
            at = encode_row_key(row, b"adjust" if row.hour < closed else b"row")
            late += row.hour < closed
            total = self._sum(at)
            total.add(more)
            writes.append(Write(at, json.dumps([total.tries, total.units, total.settled]).encode()))
        self.store.batch(writes)
        return IngestResult(True, late)

    def closed_until(self) -> int:
        return int(self.store.get(CLOSED_KEY) or b"0")

    def close_hours(self, hour: int) -> None:
        """No hour before this one changes any more.

        Raises ValidationError for one that would open hours again.
        """
        if hour < self.closed_until():
            raise ValidationError(
                "hour", f"is {hour}, and all before {self.closed_until()} are closed", "give a later one"
            )
        self.store.put(CLOSED_KEY, b"%d" % hour)

    def rows(
        self, kind: bytes = b"row", start: int = 0, end: int = 10**8
    ) -> Iterator[tuple[UsageKey, UsageTotals]]:
        """In the order of their keys: of hours from `start` until before `end`."""
        prefix = b"use/" + kind + b"/"
        for record in self.store.scan(prefix, prefix + b"%08d" % start, prefix + b"%08d" % end):
            tries, units, settled = json.loads(record.value)
            yield read_key(record.key), UsageTotals(tries, units, settled)

    def _sum(self, at: bytes) -> UsageTotals:
        value = self.store.get(at)
        return UsageTotals(*json.loads(value)) if value else UsageTotals()


def life_key(batch: Batch) -> bytes:
    return f"use/life/{quote(batch.gateway, safe='')}/{quote(batch.process_id, safe='')}".encode()


def encode_row_key(row: UsageKey, kind: bytes) -> bytes:
    names = (
        f"{row.customer}/{row.plan}/{row.version:08d}/{row.override:08d}/{quote(row.request_class, safe='')}"
    )
    return b"use/%b/%08d/%b" % (kind, row.hour, names.encode())


def read_key(key: bytes) -> UsageKey:
    _, _, hour, customer, plan, version, override, kind = key.decode().split("/")
    return UsageKey(customer, plan, int(version), int(override), unquote(kind), int(hour))
