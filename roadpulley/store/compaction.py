"""Copies the live records of sealed segments into new segments. It can stop at any point without data loss.

The new segments are written and synced first. Then the manifest names them instead of the old ones, the index
is updated, and only then are the old files removed. A deletion is copied as long as any segment outside the
compaction may hold an older record of its key: without it the key would reappear at the next opening.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from . import format
from .errors import DamagedError, StoreFailedError
from .format import DELETE, PUT, Record, SealedSegment, hint_name, segment_name
from .index import pack_location, unpack_location
from .recovery import find_sealed_damage, scan_segment

if TYPE_CHECKING:
    from .parts import Segment
    from .store import Store

# A frame is written out once its records reach this size.
MAX_FRAME_BYTES = 1024 * 1024
# A segment below this fraction of `Options.segment_bytes` is small.
SMALL_SEGMENT_RATIO = 0.25
# Up to this many small segments are left alone, because each power failure may leave one behind.
MAX_SMALL_SEGMENTS = 8


@dataclass
class CompactionOutput:
    """A segment that compaction writes."""

    store: Store
    segment: Segment
    buffered: list[tuple[Record, int | None]] = field(default_factory=list)  # with its old location
    size: int = 0
    moved: list[tuple[bytes, int, int]] = field(default_factory=list)  # key, old location, new location
    versions: list[int] = field(default_factory=list)

    def add(self, record: Record, old: int | None) -> None:
        """Buffer a record with its old location; None for a deletion."""
        self.buffered.append((record, old))
        self.size += format.RECORD_HEADER.size + len(record.key) + len(record.value)
        if self.size >= MAX_FRAME_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write the buffered records as one frame, without syncing."""
        if not self.buffered:
            return
        records = [record for record, _ in self.buffered]
        highest = max(record.version for record in records)
        self.versions += [record.version for record in records]
        data = format.pack_frame(records, highest, highest, self.segment.salt)
        head = format.read_frame_header(data[: format.FRAME_HEADER.size], self.segment.salt)
        at = self.segment.length + format.FRAME_HEADER.size
        found = format.unpack_metadata(head, data[format.FRAME_HEADER.size :], at, self.segment.salt)
        self.segment.file.write(self.segment.length, data)
        self.segment.length += len(data)
        self.store.written_bytes += len(data)
        for place, (record, old) in zip(found, self.buffered, strict=True):
            self.segment.hint.add(place)
            if old is not None:
                new = pack_location(self.segment.number, place.offset, place.size)
                self.moved.append((record.key, old, new))
        self.buffered, self.size = [], 0


def choose_segments(store: Store, everything: bool) -> list[Segment]:
    """Choose the sealed segments to compact: mostly dead ones, and small ones once there are many."""
    with store.lock:
        sealed = [store.segments[number] for number in store.sealed]
    if everything:
        return sealed
    small = [s for s in sealed if s.length < store.options.segment_bytes * SMALL_SEGMENT_RATIO]
    few = small if len(small) > MAX_SMALL_SEGMENTS else []
    return [s for s in sealed if s.dead_ratio > store.options.dead_ratio or s in few]


def compact(store: Store, everything: bool, stop: Callable[[], bool]) -> bool:
    """Implement `Store.compact`. The caller holds `compacting`."""
    if everything:
        with store.exclusive_writes():
            store._check_open()
            if store.active.length > format.SEGMENT_HEADER.size and store.failure is None:
                store._seal(store.active, None)
    inputs = choose_segments(store, everything)
    if not inputs:
        return False
    outputs: list[CompactionOutput] = []
    try:
        if not copy_live_records(store, inputs, outputs, stop):
            return discard_outputs(store, outputs)
        for output in outputs:
            output.flush()
            output.segment.file.sync()
    except BaseException:
        discard_outputs(store, outputs)
        raise
    try:
        install_outputs(store, inputs, [o for o in outputs if o.versions])
    except OSError:
        discard_outputs(store, outputs)
        raise
    discard_outputs(store, [o for o in outputs if not o.versions])
    return True


def copy_live_records(
    store: Store, inputs: list[Segment], outputs: list[CompactionOutput], stop: Callable[[], bool]
) -> bool:
    """Copy the live records of the segments. Return False if stopped.

    Raises DamagedError, OSError.
    """
    numbers = {segment.number for segment in inputs}
    with store.lock:
        rest = [s for s in store.segments.values() if s.number not in numbers and not s.retired]
        oldest_outside = min((s.first for s in rest if s.first), default=None)
    deletions: dict[bytes, int] = {}  # the highest version by key
    for segment in inputs:
        sealed = store.sealed[segment.number]
        data = segment.file.read(0, sealed.length)
        found = scan_segment(data, segment.number)
        if problem := find_sealed_damage(sealed, found, segment.file.size()):
            raise DamagedError([problem])
        for place in (place for frame in found.frames for place in frame.record_metadata):
            if stop():
                return False
            old = pack_location(segment.number, place.offset, place.size)
            with store.lock:
                current = store.index.locations.get(place.key)
            if place.kind == PUT and current == old:
                raw = data[place.offset : place.offset + place.size]
                get_output(store, outputs).add(format.read_record(raw, segment.salt), old)
            elif place.kind == DELETE and current is None:
                deletions[place.key] = max(deletions.get(place.key, 0), place.version)
    for key, version in deletions.items():
        if oldest_outside is not None and oldest_outside < version:
            get_output(store, outputs).add(Record(DELETE, key, b"", version), None)
    return True


def get_output(store: Store, outputs: list[CompactionOutput]) -> CompactionOutput:
    """Return the last output, or a new one once it is full."""
    if not outputs or outputs[-1].segment.length + outputs[-1].size >= store.options.segment_bytes:
        if outputs:
            outputs[-1].flush()
        with store.exclusive_writes():
            outputs.append(CompactionOutput(store, store._new_segment()))
    return outputs[-1]


def install_outputs(store: Store, inputs: list[Segment], outputs: list[CompactionOutput]) -> None:
    """Switch the manifest and the index to the new segments, then remove the old files."""
    with store.exclusive_writes():
        before = dict(store.sealed)
        for segment in inputs:
            del store.sealed[segment.number]
        for o in outputs:
            number, first, last = o.segment.number, min(o.versions), max(o.versions)
            o.segment.first, o.segment.last = first, last
            store.sealed[number] = SealedSegment(number, o.segment.length, first, last)
            store._write_hint(number, o.segment.length, o.segment.hint)
            o.segment.hint = format.Hint()
        try:
            store._write_manifest()
        except (OSError, StoreFailedError):
            # After StoreFailedError either manifest may be on disk, so the files of neither may be removed.
            store.sealed = before
            raise
        with store.lock:
            for o in outputs:
                for key, old, new in o.moved:
                    if store.index.move(key, old, new):
                        o.segment.live_bytes += unpack_location(new)[2]
            for segment in inputs:
                segment.retired, segment.live_bytes = True, 0
                segment.is_pinned = bool(store.index.snapshots)
                store._close_if_unused(segment)
    for segment in inputs:
        store._unlink_best_effort(segment_name(segment.number))
        store._unlink_best_effort(hint_name(segment.number))


def discard_outputs(store: Store, outputs: list[CompactionOutput]) -> bool:
    """Remove the outputs and return False, the result of a compaction that was stopped."""
    for o in outputs:
        with store.lock:
            store.segments.pop(o.segment.number, None)
        o.segment.file.close()
        store._unlink_best_effort(segment_name(o.segment.number))
    return False
