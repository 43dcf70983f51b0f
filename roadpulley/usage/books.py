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

from .tally import Batch, Row, Sum

CLOSED = b"use/closed"


@dataclass(frozen=True)
class Taken:
    """`new` False: it was known already. `late`: rows that went to adjustments, as their hour is closed."""

    new: bool
    late: int = 0


class Books:
    """The one that has the store open. Raises StoreError where it cannot write; nothing is taken in then."""

    def __init__(self, store: Store | FencedStore) -> None:
        self.store = store

    def take(self, batch: Batch) -> Taken:
        """Raises ValidationError for a gap: a batch before this one has not come, so this one has to wait."""
        life = life_key(batch)
        last = int(self.store.get(life) or b"0")
        if batch.number <= last:
            return Taken(False)
        if batch.number != last + 1:
            place = f"{batch.gateway} {batch.life}"
            raise ValidationError(
                place, f"batch {batch.number} came, and {last + 1} has not", "take them in order"
            )
        closed, late, writes = self.closed(), 0, [Write(life, b"%d" % batch.number)]
        for row, more in batch.rows.items():
            # Danger: a closed hour is sealed and billed. What comes for it now is a line of its own.
            at = row_key(row, b"adjust" if row.hour < closed else b"row")
            late += row.hour < closed
            total = self._sum(at)
            total.add(more)
            writes.append(Write(at, json.dumps([total.tries, total.units, total.settled]).encode()))
        self.store.batch(writes)
        return Taken(True, late)

    def closed(self) -> int:
        return int(self.store.get(CLOSED) or b"0")

    def close(self, hour: int) -> None:
        """No hour before this one changes any more.

        Raises ValidationError for one that would open hours again.
        """
        if hour < self.closed():
            raise ValidationError(
                "hour", f"is {hour}, and all before {self.closed()} are closed", "give a later one"
            )
        self.store.put(CLOSED, b"%d" % hour)

    def rows(self, kind: bytes = b"row", start: int = 0, end: int = 10**8) -> Iterator[tuple[Row, Sum]]:
        """In the order of their keys: of hours from `start` until before `end`."""
        prefix = b"use/" + kind + b"/"
        for record in self.store.scan(prefix, prefix + b"%08d" % start, prefix + b"%08d" % end):
            tries, units, settled = json.loads(record.value)
            yield read_key(record.key), Sum(tries, units, settled)

    def _sum(self, at: bytes) -> Sum:
        value = self.store.get(at)
        return Sum(*json.loads(value)) if value else Sum()


def life_key(batch: Batch) -> bytes:
    return f"use/life/{quote(batch.gateway, safe='')}/{quote(batch.life, safe='')}".encode()


def row_key(row: Row, kind: bytes) -> bytes:
    names = f"{row.customer}/{row.plan}/{row.version:08d}/{row.override:08d}/{quote(row.kind, safe='')}"
    return b"use/%b/%08d/%b" % (kind, row.hour, names.encode())


def read_key(key: bytes) -> Row:
    _, _, hour, customer, plan, version, override, kind = key.decode().split("/")
    return Row(customer, plan, int(version), int(override), unquote(kind), int(hour))
