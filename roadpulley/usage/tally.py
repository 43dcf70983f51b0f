"""What one gateway has counted and not yet handed over. Pure: counts go in, batches come out.

A try is counted when it is sent on, under the versions that hold for its customer then; its settled
correction goes to the same row, in whichever batch it comes. Units are whole thousandths: sums are exact.
"""

from __future__ import annotations

from dataclasses import dataclass, field

HOUR_MS = 3_600_000
MILLI = 1_000
FLUSH_MS = 1_000.0  # between batches: what SIGKILL can lose is no older
MOST_ROWS = 5_000  # of a batch: then it is handed over at once; bounds memory and the loss too
MOST_HELD = 64  # batches that could not be written yet; beyond, counts are dropped and the drops counted


@dataclass(frozen=True, slots=True, order=True)
class Row:
    """What use is billed by. `version` and `override` 0: the deployment's settings, not the book of plans."""

    customer: str
    plan: str
    version: int
    override: int
    kind: str  # the class of requests
    hour: int  # since 1970, of its sending


@dataclass(slots=True)
class Sum:
    tries: int = 0
    units: int = 0  # thousandths, as settled so far
    settled: int = 0  # tries among them whose true units are known

    def add(self, other: Sum) -> None:
        self.tries += other.tries
        self.units += other.units
        self.settled += other.settled


@dataclass(frozen=True)
class Batch:
    """`gateway` and `life` (one process) and `number` (1, 2, ... without a gap) are its identity for ever."""

    gateway: str
    life: str
    number: int
    made_at: int
    rows: dict[Row, Sum]


@dataclass
class Tally:
    gateway: str
    life: str
    number: int = 0
    rows: dict[Row, Sum] = field(default_factory=dict)
    began: float = 0.0  # when the first count of `rows` came
    held: list[Batch] = field(default_factory=list)  # made, and not written for sure yet, the oldest first
    dropped: int = 0  # tries that found no room: a disk that stays full

    def sent(
        self, now: float, customer: str, versions: tuple[str, int, int], kind: str, units: float
    ) -> Row | None:
        """Count a try that is sent on now; gives the row for its settlement, None if there was no room."""
        row = Row(customer, *versions, kind, int(now // HOUR_MS))
        return row if self._add(now, row, Sum(1, round(units * MILLI))) else None

    def settled(self, now: float, row: Row, guessed: float, true: float) -> None:
        """The true units of a try that was counted with a guess."""
        self._add(now, row, Sum(0, round(true * MILLI) - round(guessed * MILLI), 1))

    def due(self, now: float) -> bool:
        return bool(self.rows) and (now - self.began >= FLUSH_MS or len(self.rows) >= MOST_ROWS)

    def close(self, now: float) -> list[Batch]:
        """End the batch that is open; gives all that are to be written, the oldest first.

        Danger: a batch whose write failed may be there all the same. It is kept, and written again under the
        same number with the same rows, never merged into the next.
        """
        if self.rows and len(self.held) < MOST_HELD:
            self.number += 1
            self.held.append(Batch(self.gateway, self.life, self.number, int(now), self.rows))
            self.rows = {}
        return list(self.held)

    def written(self, number: int) -> None:
        """All up to this batch are on disk."""
        self.held = [b for b in self.held if b.number > number]

    def _add(self, now: float, row: Row, more: Sum) -> bool:
        known = self.rows.get(row)
        if known is None:
            if len(self.rows) >= MOST_ROWS:
                if len(self.held) >= MOST_HELD:
                    self.dropped += more.tries
                    return False
                self.close(now)
            if not self.rows:
                self.began = now
            known = self.rows[row] = Sum()
        known.add(more)
        return True
