"""Types shared by the modules of the store: queued batches, segments, options and statistics."""

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
# A sealed segment is compacted once more than this fraction of its bytes is dead.
DEFAULT_DEAD_RATIO = 0.5
MANIFEST = "MANIFEST"


@dataclass(frozen=True)
class Write:
    """One write of a batch: a value, or None to delete the key.

    `expect` makes the whole batch conditional on the key's version; 0 means that the key must not exist.
    """

    key: bytes
    value: bytes | None
    expect: int | None = None


@dataclass(eq=False)
class PendingBatch:
    """A batch in the write queue."""

    writes: tuple[Write, ...]
    on_done: Callable[[PendingBatch], None] | None = None  # called once, in the thread that wrote it
    version: int = 0
    error: Exception | None = None
    is_done: bool = False
    wakeup: threading.Event | None = None  # wakes the waiting thread

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
                    # The other batches of the group are written too. Without this their callbacks would not
                    # be called.
                    log.exception("the completion callback of version %d failed", self.version)
            if self.wakeup is not None:
                self.wakeup.set()


@dataclass(eq=False)
class Segment:
    """An open segment file and its accounting."""

    number: int
    file: File
    salt: int
    length: int  # bytes in use; later bytes in the file are ignored
    first: int = 0
    last: int = 0
    live_bytes: int = 0  # bytes of records that the index refers to
    active_reads: int = 0
    retired: bool = False
    is_pinned: bool = False  # by open snapshots
    hint: format.Hint = field(default_factory=format.Hint)  # of a segment being written

    @property
    def dead_ratio(self) -> float:
        room = self.length - format.SEGMENT_HEADER.size
        return 1 - self.live_bytes / room if room > 0 else 0.0


@dataclass(frozen=True)
class Options:
    """Settings of a store."""

    segment_bytes: int = DEFAULT_SEGMENT_BYTES
    dead_ratio: float = DEFAULT_DEAD_RATIO
    new_salt: Callable[[], int] = field(default=lambda: secrets.randbits(32))  # tests pass a fixed sequence


@dataclass(frozen=True)
class StoreStats:
    """Sizes of a store, and bytes written since it was opened."""

    keys: int
    version: int
    segments: int
    bytes_on_disk: int  # total size of the segments
    bytes_live: int
    written_bytes: int  # to segments since opening, by batches and by compaction
    user_bytes: int  # of keys and values in batches since opening


def validate_batch(pending: PendingBatch) -> None:
    """Check the sizes and conditions of a batch. Raises ValueError naming the invalid write."""
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
