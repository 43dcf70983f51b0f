"""What one gateway has counted and not yet handed over. Pure: counts go in, batches come out.

A try is counted when it is sent on, under the versions that hold for its customer then; its settled
correction goes to the same row, in whichever batch it comes. Units are whole thousandths: sums are exact.
"""

from __future__ import annotations

from dataclasses import dataclass, field

HOUR_MS = 3_600_000
MILLIUNITS_PER_UNIT = 1_000
FLUSH_INTERVAL_MS = 1_000.0  # between batches: what SIGKILL can lose is no older
MAX_BATCH_ROWS = 5_000  # of a batch: then it is handed over at once; bounds memory and the loss too
MAX_UNWRITTEN_BATCHES = (
    64  # batches that could not be written yet; beyond, counts are dropped and the drops counted
)


@dataclass(frozen=True, slots=True, order=True)
class UsageKey:
    """What use is billed by. `version` and `override` 0: the deployment's settings, not the book of plans."""

    customer: str
    plan: str
    version: int
    override: int
    request_class: str  # the class of requests
    hour: int  # since 1970, of its sending


@dataclass(slots=True)
class UsageTotals:
    tries: int = 0
    units: int = 0  # thousandths, as settled so far
    settled: int = 0  # tries among them whose true units are known

    def add(self, other: UsageTotals) -> None:
        self.tries += other.tries
        self.units += other.units
        self.settled += other.settled


@dataclass(frozen=True)
class Batch:
    """`gateway` and `life` (one process) and `number` (1, 2, ... without a gap) are its identity for ever."""

    gateway: str
    process_id: str
    number: int
    created_at_ms: int
    rows: dict[UsageKey, UsageTotals]


@dataclass
class UsageAccumulator:
    gateway: str
    process_id: str
    number: int = 0
    rows: dict[UsageKey, UsageTotals] = field(default_factory=dict)
    began: float = 0.0  # when the first count of `rows` came
    unwritten_batches: list[Batch] = field(
        default_factory=list
    )  # made, and not written for sure yet, the oldest first
    dropped_tries: int = 0  # tries that found no room: a disk that stays full

    def count_sent(
        self, now: float, customer: str, versions: tuple[str, int, int], kind: str, units: float
    ) -> UsageKey | None:
        """Count a try that is sent on now; gives the row for its settlement, None if there was no room."""
        row = UsageKey(customer, *versions, kind, int(now // HOUR_MS))
        return row if self._add(now, row, UsageTotals(1, round(units * MILLIUNITS_PER_UNIT))) else None

    def count_settled(self, now: float, row: UsageKey, guessed: float, true: float) -> None:
        """The true units of a try that was counted with a guess."""
        self._add(
            now,
            row,
            UsageTotals(0, round(true * MILLIUNITS_PER_UNIT) - round(guessed * MILLIUNITS_PER_UNIT), 1),
        )

    def is_due(self, now: float) -> bool:
        return bool(self.rows) and (now - self.began >= FLUSH_INTERVAL_MS or len(self.rows) >= MAX_BATCH_ROWS)

    def close_batch(self, now: float) -> list[Batch]:
        """End the batch that is open; gives all that are to be written, the oldest first.

        Danger: a batch whose write failed may be there all the same. It is kept, and written again under the
        same number with the same rows, never merged into the next.
        """
        if self.rows and len(self.unwritten_batches) < MAX_UNWRITTEN_BATCHES:
            self.number += 1
            self.unwritten_batches.append(
                Batch(self.gateway, self.process_id, self.number, int(now), self.rows)
            )
            self.rows = {}
        return list(self.unwritten_batches)

    def confirm_written(self, number: int) -> None:
        """All up to this batch are on disk."""
        self.unwritten_batches = [b for b in self.unwritten_batches if b.number > number]

    def _add(self, now: float, row: UsageKey, more: UsageTotals) -> bool:
        known = self.rows.get(row)
        if known is None:
            if len(self.rows) >= MAX_BATCH_ROWS:
                if len(self.unwritten_batches) >= MAX_UNWRITTEN_BATCHES:
                    self.dropped_tries += more.tries
                    return False
                self.close_batch(now)
            if not self.rows:
                self.began = now
            known = self.rows[row] = UsageTotals()
        known.add(more)
        return True
