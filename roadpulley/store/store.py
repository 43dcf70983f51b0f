"""The store: a log of batches on disk with an in-memory index. See docs/design/store.md.

A write is acknowledged once its bytes are synced. Batches that queue up during a sync are written and synced
together (group commit). All calls are thread-safe and block on the disk; on an event loop use
`roadpulley.store.aio`.
"""

from __future__ import annotations

import logging
import threading
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from pathlib import Path

from . import format
from .compaction import choose_segments, compact
from .errors import ClosedError, ConflictError, DamagedError, LockedError, StoreFailedError, WriteFailedError
from .files import DiskFiles, Files
from .format import DELETE, PUT, Manifest, Record, SealedSegment, UnreadableError, hint_name, segment_name
from .index import Index, end_of_prefix, pack_location, unpack_location
from .opening import StoreOpener
from .parts import MANIFEST, Options, PendingBatch, Segment, StoreStats, Write, validate_batch
from .recovery import Damage, RecoveryPlan

log = logging.getLogger(__name__)

# Maximum size of a group commit. Further batches go into the next group.
MAX_GROUP_BYTES = 8 * 1024 * 1024


class Store:
    """A store, opened with `Store.open`. Only one process at a time can open a folder."""

    def __init__(self, files: Files, options: Options) -> None:
        self.files, self.options = files, options
        self.lock = threading.Lock()  # protects the index, the accounting of segments and the queue
        self.committing = threading.Lock()  # held by the thread that writes to the log
        self.compacting = threading.Lock()
        self.queue: deque[PendingBatch] = deque()
        self.segments: dict[int, Segment] = {}
        self.sealed: dict[int, SealedSegment] = {}
        self.index = Index()
        self.version = self.next_number = 0
        self.sealed_version = 0  # the last version before the active segment
        self.failure: str | None = None
        self.closed = False
        self.recovery_plan: RecoveryPlan | None = None  # of the opening of this store
        self.written_bytes = self.user_bytes = 0

    # ---- opening and closing ----

    @classmethod
    def open(cls, folder: Path | str | Files, options: Options | None = None) -> Store:
        """Open the store in a folder, or create one.

        Raises LockedError, FormatVersionError, DamagedError (the files are unchanged) and OSError.
        """
        files: Files = DiskFiles(folder) if isinstance(folder, str | Path) else folder
        store = cls(files, options or Options())
        files.make()
        if not files.lock():
            raise LockedError(f"{folder} is open in another process; one at a time may have it")
        try:
            StoreOpener(store).load()
        except BaseException:
            store._release()
            raise
        return store

    def close(self) -> None:
        """Wait for the running write, fail queued batches and release the folder. May be called twice."""
        with self.compacting, self.exclusive_writes(), self.lock:
            if self.closed:
                return
            self.closed = True
            waiting, self.queue = list(self.queue), deque()
        for pending in waiting:
            pending.finish(ClosedError("the store was closed before this was written"))
        self._release()

    def _release(self) -> None:
        for segment in self.segments.values():
            segment.file.close()
        self.segments.clear()
        self.closed = True
        self.files.unlock()

    def __enter__(self) -> Store:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    # ---- writing ----

    def put(self, key: bytes, value: bytes, expect: int | None = None) -> int:
        """Write one key and return its new version.

        Raises ConflictError, WriteFailedError, StoreFailedError, ClosedError, ValueError.
        """
        return self.batch([Write(key, value, expect)])

    def delete(self, key: bytes, expect: int | None = None) -> int:
        """Delete one key, which need not exist, and return the deletion's version. Raises as `put`."""
        return self.batch([Write(key, None, expect)])

    def batch(self, writes: Sequence[Write]) -> int:
        """Write a batch atomically and return its version. The last write of a key wins. Raises as `put`."""
        pending = self.enqueue(writes)
        while not pending.is_done:
            if self.committing.acquire(blocking=False):
                self._commit_until_done(pending)
            elif pending.wakeup is None:
                pending.wakeup = (
                    threading.Event()
                )  # try again first, as the lock may have been released before the event existed
            else:
                pending.wakeup.wait()
                pending.wakeup.clear()
        if pending.error is not None:
            raise pending.error
        return pending.version

    def _commit_until_done(self, pending: PendingBatch) -> None:
        """Write queued batches until this one is done. The caller holds `committing`; it is released here."""
        try:
            while not pending.is_done:
                self._commit()
        finally:
            self._release_committing()

    def _release_committing(self) -> None:
        """Release `committing` and wake the thread of the first queued batch to take it.

        A thread that finds the lock taken sleeps. Without this nothing would wake it.
        """
        self.committing.release()
        with self.lock:
            first = self.queue[0] if self.queue else None
        if first is not None and first.wakeup is not None:
            first.wakeup.set()

    @contextmanager
    def exclusive_writes(self) -> Iterator[None]:
        """Hold exclusive write access to the log."""
        self.committing.acquire()
        try:
            yield
        finally:
            self._release_committing()

    def enqueue(
        self, writes: Sequence[Write], done: Callable[[PendingBatch], None] | None = None
    ) -> PendingBatch:
        """Queue a batch for `flush`. Raises ValueError, ClosedError."""
        pending = PendingBatch(tuple(writes), done)
        validate_batch(pending)
        with self.lock:
            if self.closed:
                raise ClosedError("the store is closed")
            self.queue.append(pending)
        return pending

    def flush(self) -> None:
        """Write all queued batches. Each one completes with its version or its error."""
        with self.exclusive_writes():
            while self.queue:
                self._commit()

    def _take_group(self) -> list[PendingBatch]:
        group: list[PendingBatch] = []
        size = 0
        with self.lock:
            while self.queue and (not group or size + self.queue[0].size_bytes <= MAX_GROUP_BYTES):
                size += self.queue[0].size_bytes
                group.append(self.queue.popleft())
        return group

    def _commit(self) -> None:
        """Write, sync and acknowledge one group of queued batches. The caller holds `committing`."""
        group = self._take_group()
        try:
            self._write_group(group)
        except BaseException as error:
            for pending in group:
                pending.finish(error if isinstance(error, Exception) else StoreFailedError(repr(error)))
            if not isinstance(error, Exception):
                raise
        finally:
            for pending in group:
                pending.finish(
                    StoreFailedError("it was not written")
                )  # no effect on batches already completed

    def _write_group(self, group: list[PendingBatch]) -> None:
        if self.failure is not None:
            raise StoreFailedError(self.failure)
        data: list[bytes] = []
        written: list[tuple[PendingBatch, bytes]] = []
        versions: dict[bytes, int] = {}  # of keys written by earlier batches of the group; 0: deleted
        version = self.version
        for pending in group:
            try:
                self._check_expected(pending, versions)
            except Exception as error:
                pending.finish(error)
                continue
            version += 1
            pending.version = version
            records = [
                Record(DELETE if w.value is None else PUT, w.key, w.value or b"", version)
                for w in pending.writes
            ]
            versions.update((w.key, 0 if w.value is None else version) for w in pending.writes)
            frame = format.pack_frame(records, version, self.version, self.active.salt)
            data.append(frame)
            written.append((pending, frame))
        if not written:
            return
        self._append(b"".join(data))
        for pending, frame in written:
            self._index_frame(self.active, frame, pending.version)
            self.user_bytes += sum(len(w.key) + len(w.value or b"") for w in pending.writes)
        self.version = version
        self._append_durable_mark()
        for pending, _ in written:
            pending.finish()
        if self.active.length >= self.options.segment_bytes and self.failure is None:
            self._rotate()

    def _check_expected(self, pending: PendingBatch, versions: dict[bytes, int]) -> None:
        for write in pending.writes:
            if write.expect is None:
                continue
            found = versions.get(write.key)
            if found is None:
                record = self._read(write.key, None)
                found = record.version if record else 0
            if found != write.expect:
                raise ConflictError(write.key, write.expect, found)

    def _append(self, data: bytes) -> None:
        """Append to the active segment and sync it. Raises WriteFailedError, StoreFailedError."""
        segment = self.active
        try:
            segment.file.write(segment.length, data)
        except OSError as error:
            self._truncate_partial_write(segment)
            raise WriteFailedError(f"{segment_name(segment.number)}: {error.strerror or error}") from error
        try:
            segment.file.sync()
        except OSError as error:
            self.failure = f"{segment_name(segment.number)} could not be synced: {error.strerror or error}"
            raise StoreFailedError(self.failure) from error
        self.written_bytes += len(data)

    def _truncate_partial_write(self, segment: Segment) -> None:
        """Truncate a partial write, so that later frames do not follow unreadable bytes."""
        try:
            segment.file.truncate(segment.length)
        except OSError as error:
            name = segment_name(segment.number)
            self.failure = f"{name}: a part could not be taken back: {error.strerror or error}"

    def _index_frame(self, segment: Segment, frame: bytes, version: int) -> None:
        """Add the records of a synced frame at the segment's end to the index."""
        head = format.read_frame_header(frame[: format.FRAME_HEADER.size], segment.salt)
        at = segment.length + format.FRAME_HEADER.size
        records = format.unpack_metadata(head, frame[format.FRAME_HEADER.size :], at, segment.salt)
        with self.lock:
            for metadata in records:
                new = (
                    pack_location(segment.number, metadata.offset, metadata.size)
                    if metadata.kind == PUT
                    else None
                )
                old = self.index.set(metadata.key, new, version)
                if old is not None:
                    number, _, size = unpack_location(old)
                    if number in self.segments:
                        self.segments[number].live_bytes -= size
                segment.live_bytes += metadata.size if new is not None else 0
                segment.hint.add(metadata)
            segment.length += len(frame)
            segment.first, segment.last = segment.first or version, version

    def _append_durable_mark(self) -> None:
        """Append a mark that all versions up to now are durable. The mark itself is not synced.

        Without it, recovery could not distinguish the last acknowledged batch before a crash from an
        unacknowledged one, and damage to that batch would pass for a torn write.
        """
        segment, mark = self.active, format.pack_mark(self.version, self.active.salt)
        try:
            segment.file.write(segment.length, mark)
        except OSError:
            return self._truncate_partial_write(segment)
        segment.length += len(mark)
        self.written_bytes += len(mark)

    # ---- segments ----

    def _new_segment(self) -> Segment:
        """Create a segment and sync its header and its folder entry.

        Raises OSError. The next opening removes what a failed call leaves behind.
        """
        number, salt = self.next_number, self.options.new_salt()
        file = self.files.open(segment_name(number), create=True)
        self.next_number += 1
        header = format.pack_header(number, salt)
        try:
            file.write(0, header)
            file.sync()
            self.files.sync_folder()
        except BaseException:
            file.close()
            self._unlink_best_effort(segment_name(number))
            raise
        segment = Segment(number, file, salt, len(header))
        with self.lock:
            self.segments[number] = segment
        return segment

    def _unlink_best_effort(self, name: str) -> None:
        try:
            self.files.unlink(name)
        except OSError:
            pass  # the manifest does not name the file, so the next opening removes it

    def _rotate(self) -> None:
        """Seal the active segment and start a new one. If that fails, a later write tries again."""
        with suppress(OSError, StoreFailedError):
            self._seal(self.active, None)

    def _seal(self, old: Segment, segment: Segment | None) -> None:
        """Seal the active segment `old` and continue in another one, by default a new one.

        Raises OSError if nothing changed, and StoreFailedError if it is unknown whether anything changed.
        """
        try:
            old.file.sync()  # includes the last mark: a sealed segment is completely synced
        except OSError as error:
            self.failure = f"{segment_name(old.number)} could not be synced: {error.strerror or error}"
            raise StoreFailedError(self.failure) from error
        segment = segment or self._new_segment()
        before = self.sealed_version
        self.sealed_version = max(before, old.last)
        if old.last:  # otherwise the segment is empty and is removed
            self.sealed[old.number] = SealedSegment(old.number, old.length, old.first, old.last)
        self.active = segment
        try:
            self._write_manifest()
        except OSError:
            self.sealed.pop(old.number, None)
            self.active, self.sealed_version = old, before
            with self.lock:
                del self.segments[segment.number]
            segment.file.close()
            self._unlink_best_effort(segment_name(segment.number))
            raise
        if old.last:
            self._write_hint(old.number, old.length, old.hint)
            old.hint = format.Hint()
            return
        with self.lock:
            old.retired = True
            self._close_if_unused(old)
        self._unlink_best_effort(segment_name(old.number))

    def _write_manifest(self) -> None:
        """Replace the manifest atomically: write, sync, rename, sync the folder.

        Raises OSError if the old manifest is still in place, and StoreFailedError if it is unknown which is.
        """
        manifest = Manifest(
            tuple(self.sealed.values()), self.active.number, self.next_number, self.sealed_version
        )
        temporary = MANIFEST + ".tmp"
        if temporary in self.files.names():
            self.files.unlink(temporary)
        file = self.files.open(temporary, create=True)
        try:
            file.write(0, manifest.pack())
            file.sync()
        finally:
            file.close()
        try:
            self.files.rename(temporary, MANIFEST)
            self.files.sync_folder()
        except OSError as error:
            # Either manifest may be on disk. Both name all data written so far, but later writes would be in
            # segments that only one of them names, so the store accepts no more.
            self.failure = f"{MANIFEST} could not be replaced: {error.strerror or error}"
            raise StoreFailedError(self.failure) from error

    def _write_hint(self, number: int, length: int, hint: format.Hint) -> None:
        """Write a sealed segment's hint file, unsynced. It only speeds up opening, so errors are ignored."""
        name = hint_name(number)
        try:
            if name in self.files.names():
                self.files.unlink(name)
            file = self.files.open(name, create=True)
        except OSError:
            return
        try:
            file.write(0, hint.pack(number, length))
        except OSError:
            self._unlink_best_effort(name)
        finally:
            file.close()

    # ---- reading ----

    def get(self, key: bytes) -> bytes | None:
        """Return a key's value, or None. Raises DamagedError, ClosedError, OSError."""
        record = self._read(key, None)
        return record.value if record else None

    def entry(self, key: bytes) -> Record | None:
        """Return a key's record with its version, or None. Raises as `get`."""
        return self._read(key, None)

    def scan(self, prefix: bytes = b"", start: bytes = b"", end: bytes | None = None) -> Iterator[Record]:
        """Iterate over records in key order: those with a prefix, in [start, end).

        Each record is read when it is reached. For a consistent view of all use a snapshot.
        """
        return self._scan(prefix, start, end, None)

    def snapshot(self) -> Snapshot:
        """Take a snapshot of all keys. The segments it needs stay on disk until it is closed."""
        with self.lock:
            if self.closed:
                raise ClosedError("the store is closed")
            self.index.add_snapshot(self.version)
            return Snapshot(self, self.version)

    def _scan(self, prefix: bytes, start: bytes, end: bytes | None, version: int | None) -> Iterator[Record]:
        at: bytes | None = max(start, prefix)
        last = end_of_prefix(prefix)
        stop = min(last, end) if last is not None and end is not None else last if end is None else end
        while at is not None:
            with self.lock:
                self._check_open()
                keys, at = self.index.read_chunk(at, stop, version)
            for key, _ in keys:
                if (record := self._read(key, version)) is not None:
                    yield record

    def _check_open(self) -> None:
        if self.closed:
            raise ClosedError("the store is closed")

    def _read(self, key: bytes, version: int | None) -> Record | None:
        with self.lock:
            self._check_open()
            location = self.index.get(key, version)
            if location is None:
                return None
            number, offset, size = unpack_location(location)
            segment = self.segments[number]
            segment.active_reads += 1
        with self._pinned(segment):
            data = segment.file.read(offset, size)
        try:
            record = format.read_record(data, segment.salt)
            if record.key != key:
                raise UnreadableError("the record there has another key")
            return record
        except UnreadableError as error:
            lost = f"the value of {key!r} is lost"
            raise DamagedError([Damage(segment_name(number), offset, str(error), lost)]) from error

    @contextmanager
    def _pinned(self, segment: Segment) -> Iterator[None]:
        try:
            yield
        finally:
            with self.lock:
                segment.active_reads -= 1
                self._close_if_unused(segment)

    def _close_if_unused(self, segment: Segment) -> None:
        """Close the file of a retired segment that no read or snapshot uses. The caller holds `lock`."""
        if segment.retired and not segment.active_reads and not segment.is_pinned and not self.closed:
            segment.file.close()
            self.segments.pop(segment.number, None)

    def _release_snapshot(self, version: int) -> None:
        with self.lock:
            if self.index.remove_snapshot(version):
                for segment in list(self.segments.values()):
                    segment.is_pinned = False
                    self._close_if_unused(segment)

    # ---- maintenance ----

    def compact(self, everything: bool = True, stop: Callable[[], bool] = lambda: False) -> bool:
        """Copy the live records of sealed segments into new ones and remove the old. Return whether it did.

        Without `everything` only mostly dead segments and surplus small ones are compacted. `stop` is called
        for each record; once it returns True, compaction ends and no data has changed.

        Raises OSError, WriteFailedError, DamagedError.
        """
        with self.compacting:
            return compact(self, everything, stop)

    def should_compact(self) -> bool:
        """Return whether `compact(everything=False)` has segments to compact."""
        return bool(choose_segments(self, everything=False))

    def stat(self) -> StoreStats:
        with self.lock:
            current = [s for s in self.segments.values() if not s.retired]
            return StoreStats(
                len(self.index.locations),
                self.version,
                len(current),
                sum(s.length for s in current),
                sum(s.live_bytes for s in current),
                self.written_bytes,
                self.user_bytes,
            )


class Snapshot:
    """A consistent view of a store at one version. It is a context manager."""

    def __init__(self, store: Store, version: int) -> None:
        self.store, self.version, self.open = store, version, True

    def get(self, key: bytes) -> bytes | None:
        self._check()
        record = self.store._read(key, self.version)
        return record.value if record else None

    def scan(self, prefix: bytes = b"", start: bytes = b"", end: bytes | None = None) -> Iterator[Record]:
        self._check()
        return self.store._scan(prefix, start, end, self.version)

    def _check(self) -> None:
        if not self.open:
            raise ClosedError("the snapshot is closed")

    def close(self) -> None:
        if self.open:
            self.open = False
            self.store._release_snapshot(self.version)

    def __enter__(self) -> Snapshot:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
