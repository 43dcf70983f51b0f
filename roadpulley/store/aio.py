"""Asynchronous access to a store: no call blocks the event loop on the disk.

One thread writes and syncs all queued batches together, and a few others read. A cancelled write may still
take effect; read the key to find out. Mostly dead segments are compacted automatically in a separate thread.
Writes wait for a running compaction while the store takes far more space than its live data.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import TypeVar

from .errors import StoreError
from .files import Files
from .format import Record
from .parts import Options, PendingBatch, StoreStats, Write
from .store import Snapshot, Store

log = logging.getLogger(__name__)

# With several threads, a read that blocks on the disk does not delay all others.
READER_THREADS = 4
# Default maximum of records that one `scan` call returns.
SCAN_PAGE_RECORDS = 512
# Writes wait for a running compaction beyond this ratio of the live data, and this number of segments more.
# Without one, segments take up to twice the live data, and a running one writes as much as that again.
MAX_DISK_RATIO = 3.0
MAX_SURPLUS_SEGMENTS = 2
T = TypeVar("T")


class AsyncStore:
    """A store for an event loop, opened with `AsyncStore.open` and closed with `await close()`."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.loop = asyncio.get_running_loop()
        self.writer = ThreadPoolExecutor(1, "store-writer")
        self.readers = ThreadPoolExecutor(READER_THREADS, "store-reader")
        self.compactor = ThreadPoolExecutor(1, "store-keeper")
        self.is_flushing = self.is_compacting = self.is_closing = False

    @classmethod
    async def open(cls, folder: Path | str | Files, options: Options | None = None) -> AsyncStore:
        """Open a store. Raises as `Store.open`."""
        loop = asyncio.get_running_loop()
        return cls(await loop.run_in_executor(None, Store.open, folder, options))

    # ---- writing ----

    async def put(self, key: bytes, value: bytes, expect: int | None = None) -> int:
        """Same as `Store.put`. Returns once the write is synced."""
        return await self.batch([Write(key, value, expect)])

    async def delete(self, key: bytes, expect: int | None = None) -> int:
        """Same as `Store.delete`."""
        return await self.batch([Write(key, None, expect)])

    async def batch(self, writes: Sequence[Write]) -> int:
        """Same as `Store.batch`, without blocking the event loop.

        Raises ConflictError, WriteFailedError, StoreFailedError, ClosedError, ValueError.
        """
        done: asyncio.Future[int] = self.loop.create_future()
        self.store.enqueue(writes, partial(self._on_batch_done, done))
        self._flush()
        return await done

    def _flush(self) -> None:
        if not self.is_flushing and not self._must_wait_for_compaction():
            self.is_flushing = True
            self.writer.submit(self._write)

    def _must_wait_for_compaction(self) -> bool:
        """Whether a compaction is running and falls behind the writes."""
        if not self.is_compacting or self.is_closing:
            return False
        stats = self.store.stat()
        surplus = MAX_SURPLUS_SEGMENTS * self.store.options.segment_bytes
        return stats.bytes_on_disk > MAX_DISK_RATIO * stats.bytes_live + surplus

    def _write(self) -> None:
        """Write all queued batches, including those queued meanwhile. Runs in the writer thread."""
        try:
            self.store.flush()
        finally:
            self.loop.call_soon_threadsafe(self._on_flushed)

    def _on_flushed(self) -> None:
        self.is_flushing = False
        if not self.is_compacting and not self.is_closing and self.store.should_compact():
            self.is_compacting = True
            self.compactor.submit(self._compact)
        if self.store.queue:
            self._flush()

    def _compact(self) -> None:
        """Compact in the compactor thread. A failure changes no data, and a later write tries again."""
        try:
            self.store.compact(everything=False, stop=lambda: self.is_closing)
        except (OSError, StoreError) as error:
            log.warning("compaction failed; a later write starts it again: %s", error)
        finally:
            self.loop.call_soon_threadsafe(self._on_compacted)

    def _on_compacted(self) -> None:
        self.is_compacting = False
        if self.store.queue and not self.is_closing:
            self._flush()

    def _on_batch_done(self, done: asyncio.Future[int], pending: PendingBatch) -> None:
        self.loop.call_soon_threadsafe(self._resolve_future, done, pending)

    @staticmethod
    def _resolve_future(done: asyncio.Future[int], pending: PendingBatch) -> None:
        if done.done():
            return
        if pending.error is not None:
            done.set_exception(pending.error)
        else:
            done.set_result(pending.version)

    # ---- reading ----

    async def get(self, key: bytes) -> bytes | None:
        """Same as `Store.get`."""
        return await self._read(partial(self.store.get, key))

    async def entry(self, key: bytes) -> Record | None:
        """Same as `Store.entry`."""
        return await self._read(partial(self.store.entry, key))

    async def scan(
        self,
        prefix: bytes = b"",
        start: bytes = b"",
        end: bytes | None = None,
        limit: int = SCAN_PAGE_RECORDS,
    ) -> list[Record]:
        """Return at most `limit` records. Continue with `start` = the last key + a zero byte."""
        return await self._read(partial(read_page, self.store, prefix, start, end, limit))

    async def snapshot(self) -> Snapshot:
        """Same as `Store.snapshot`. The snapshot's own methods block on the disk: use them in a thread."""
        return await self._read(self.store.snapshot)

    async def _read(self, call: partial[T] | object) -> T:
        return await self.loop.run_in_executor(self.readers, call)  # type: ignore[arg-type]

    # ---- maintenance ----

    async def compact(self, everything: bool = True) -> bool:
        """Same as `Store.compact`."""
        return await self._read(partial(self.store.compact, everything))

    async def stat(self) -> StoreStats:
        """Same as `Store.stat`."""
        return await self._read(self.store.stat)

    async def close(self) -> None:
        """Write all queued batches, stop a running compaction and release the folder."""
        self.is_closing = True
        await self.loop.run_in_executor(None, self.compactor.shutdown)
        await self.loop.run_in_executor(self.writer, self._flush_and_close)
        self.writer.shutdown(wait=False)
        self.readers.shutdown(wait=False)

    def _flush_and_close(self) -> None:
        self.store.flush()
        self.readers.shutdown(wait=True)
        self.store.close()


def read_page(store: Store, prefix: bytes, start: bytes, end: bytes | None, limit: int) -> list[Record]:
    """Return at most `limit` records of a scan."""
    records: list[Record] = []
    for record in store.scan(prefix, start, end):
        if len(records) >= limit:
            break
        records.append(record)
    return records
