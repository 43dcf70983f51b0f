"""Usage that a gateway has counted and not yet written to the spool. Pure: counts go in, batches come out.

A try is counted when it is sent, under the plan version that its customer has at that time. The correction
on settlement goes to the same row, possibly in a later batch. Units are whole thousandths, so that sums are
exact.
"""

from __future__ import annotations

from dataclasses import dataclass, field

HOUR_MS = 3_600_000
MILLIUNITS_PER_UNIT = 1_000
FLUSH_INTERVAL_MS = 1_000.0  # age at which a batch is closed; bounds what SIGKILL can lose
MAX_BATCH_ROWS = 5_000  # a batch of this size is closed at once; bounds memory and loss
MAX_UNWRITTEN_BATCHES = 64  # if more could not be written, new rows are dropped and the tries counted


@dataclass(frozen=True, slots=True, order=True)
class UsageKey:
    """The key that usage is billed by.

    `version` and `override` are 0 if the plan is from the deployment's settings, which have no versions.
    """

    customer: str
    plan: str
    version: int
    override: int
    request_class: str
    hour: int  # in which the try was sent, in hours since 1970


@dataclass(slots=True)
class UsageTotals:
    """Sums of one row."""

    tries: int = 0
    units: int = 0  # in thousandths; estimates, replaced by actual units as tries are settled
    settled: int = 0  # tries whose actual units are known

    def add(self, other: UsageTotals) -> None:
        """Adds `other` in place."""
        self.tries += other.tries
        self.units += other.units
        self.settled += other.settled


@dataclass(frozen=True)
class Batch:
    """Rows that are written to the spool as one file.

    `gateway`, `process_id` and `number` identify it permanently. Numbers are 1, 2, ... without gaps for each
    process. `process_id` is random and differs after each restart.
    """

    gateway: str
    process_id: str
    number: int
    created_at_ms: int
    rows: dict[UsageKey, UsageTotals]


@dataclass
class UsageAccumulator:
    """Adds up the usage of one gateway process and splits it into batches."""

    gateway: str
    process_id: str
    last_batch_number: int = 0
    rows: dict[UsageKey, UsageTotals] = field(default_factory=dict)
    opened_at_ms: float = 0.0  # when the first of the current `rows` was added
    # Closed batches whose write is not confirmed, oldest first.
    unwritten_batches: list[Batch] = field(default_factory=list)
    dropped_tries: int = 0  # not counted, as too many batches were unwritten, for example on a full disk

    def count_sent(
        self,
        now_ms: float,
        customer: str,
        plan_version: tuple[str, int, int],
        request_class: str,
        units: float,
    ) -> UsageKey | None:
        """Counts a try that is being sent. Returns the key to settle it with, or None if it was dropped."""
        row = UsageKey(customer, *plan_version, request_class, int(now_ms // HOUR_MS))
        return row if self._add(now_ms, row, UsageTotals(1, round(units * MILLIUNITS_PER_UNIT))) else None

    def count_settled(
        self, now_ms: float, row: UsageKey, estimated_units: float, actual_units: float
    ) -> None:
        """Corrects the units of a try that was counted with an estimate."""
        self._add(
            now_ms,
            row,
            UsageTotals(
                0, round(actual_units * MILLIUNITS_PER_UNIT) - round(estimated_units * MILLIUNITS_PER_UNIT), 1
            ),
        )

    def is_due(self, now_ms: float) -> bool:
        """Whether the open batch is old or large enough to be closed."""
        return bool(self.rows) and (
            now_ms - self.opened_at_ms >= FLUSH_INTERVAL_MS or len(self.rows) >= MAX_BATCH_ROWS
        )

    def close_batch(self, now_ms: float) -> list[Batch]:
        """Closes the open batch. Returns all batches that have to be written, oldest first.

        A batch whose write failed may be on disk nevertheless. It is written again under the same number with
        the same rows. If it were merged into the next batch, its rows could be billed twice.
        """
        if self.rows and len(self.unwritten_batches) < MAX_UNWRITTEN_BATCHES:
            self.last_batch_number += 1
            self.unwritten_batches.append(
                Batch(self.gateway, self.process_id, self.last_batch_number, int(now_ms), self.rows)
            )
            self.rows = {}
        return list(self.unwritten_batches)

    def confirm_written(self, number: int) -> None:
        """Forgets the batches up to this number, which are on disk."""
        self.unwritten_batches = [b for b in self.unwritten_batches if b.number > number]

    def _add(self, now_ms: float, row: UsageKey, delta: UsageTotals) -> bool:
        totals = self.rows.get(row)
        if totals is None:
            if len(self.rows) >= MAX_BATCH_ROWS:
                if len(self.unwritten_batches) >= MAX_UNWRITTEN_BATCHES:
                    self.dropped_tries += delta.tries
                    return False
                self.close_batch(now_ms)
            if not self.rows:
                self.opened_at_ms = now_ms
            totals = self.rows[row] = UsageTotals()
        totals.add(delta)
        return True
