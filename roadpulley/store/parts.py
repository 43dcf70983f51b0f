"""What a store is made of: writes that wait, segments, settings and figures."""

from __future__ import annotations

import logging
import secrets
import threading
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from . import format
from .files import File

log = logging.getLogger(__name__)

DEFAULT_SEGMENT_BYTES = 64 * 1024 * 1024
DEFAULT_DEAD_RATIO = 0.5  # of a sealed segment's bytes, from which on it is worth writing the rest again
MANIFEST = "MANIFEST"


@dataclass(frozen=True)
class Write:
    """One part of a batch: a value, or None to delete the key.

    `expect` makes the whole batch conditional: the key's version, 0 for a key that must not be there.
    """

    key: bytes
    value: bytes | None
    expect: int | None = None


@dataclass(eq=False)
class PendingBatch:
    """A batch that waits to be written."""

    writes: tuple[Write, ...]
    on_done: Callable[[PendingBatch], None] | None = None  # called once, by the thread that wrote it
    version: int = 0
    error: Exception | None = None
    is_done: bool = False
    wakeup: threading.Event | None = None  # of a thread that sleeps until it is over, or its turn to write

    @property
    def size_bytes(self) -> int:
        return sum(len(w.key) + len(w.value or b"") + format.RECORD_HEADER.size for w in self.writes)

    def finish(self, error: Exception | None = None) -> None:
        if not self.is_done:
            self.error, self.is_done = error, True
            if self.on_done is not None:
                try:
                    self.on_done(self)
                except Exception:
                    # Danger: others of its group are written too, and must be told so.
                    log.exception("whoever wrote version %d could not be told", self.version)
            if self.wakeup is not None:
                self.wakeup.set()


@dataclass(eq=False)
class Segment:
    number: int
    file: File
    salt: int
    length: int  # bytes that count
    first: int = 0
    last: int = 0
    live_bytes: int = 0  # bytes of records that count
    active_reads: int = 0
    retired: bool = False
    is_pinned: bool = False  # by readers of an older state
    hint: format.Hint = field(default_factory=format.Hint)  # of one that is being written

    @property
    def dead_ratio(self) -> float:
        room = self.length - format.SEGMENT_HEADER.size
        return 1 - self.live_bytes / room if room > 0 else 0.0


@dataclass(frozen=True)
class Options:
    segment_bytes: int = DEFAULT_SEGMENT_BYTES
    dead_ratio: float = DEFAULT_DEAD_RATIO
    new_salt: Callable[[], int] = field(default=lambda: secrets.randbits(32))  # a test gives known ones


@dataclass(frozen=True)
class StoreStats:
    keys: int
    version: int
    segments: int
    bytes_on_disk: int  # of the segments
    bytes_live: int
    written_bytes: int  # bytes of segments since it was opened, by batches and by compaction
    user_bytes: int  # bytes of keys and values that were put since then


def validate_batch(pending: PendingBatch) -> None:
    """Raises ValueError, naming the place."""
    if not pending.writes:
        raise ValueError("a batch of nothing: give at least one write")
    for number, write in enumerate(pending.writes):
        where = f"write {number}" if len(pending.writes) > 1 else "the write"
        if len(write.key) > format.MAX_KEY_BYTES:
            raise ValueError(f"{where}: its key has {len(write.key)} bytes, {format.MAX_KEY_BYTES} at most")
        if write.value is not None and len(write.value) > format.MAX_VALUE_BYTES:
            most = format.MAX_VALUE_BYTES
            raise ValueError(f"{where}: its value has {len(write.value)} bytes, {most} at most")
    if pending.size_bytes > format.MAX_BATCH_BYTES:
        raise ValueError(f"the batch has {pending.size_bytes} bytes, {format.MAX_BATCH_BYTES} at most")
    keys: dict[bytes, int] = defaultdict(int)
    for write in pending.writes:
        keys[write.key] += 1
        if keys[write.key] > 1 and write.expect is not None:
            raise ValueError(f"{write.key!r} is written twice: expect its version where it is written first")
