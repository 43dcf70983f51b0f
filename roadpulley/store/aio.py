"""The store for an event loop: no call here waits for a disk on it.
 Writes are taken by one thread, which writes and syncs all that wait together, and reads by a few others. A
write that is cancelled may still be done: whether it was is told by reading. Segments that are mostly dead
are compacted in a thread of their own, by themselves.
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

READER_THREADS = 4  # threads: a read that waits for the disk holds up only those behind it
SCAN_PAGE_RECORDS = 512  # records of a scan that are read at a time
T = TypeVar("T")


class AsyncStore:
    """Open one with `AsyncStore.open`; close it with `await close()`."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.loop = asyncio.get_running_loop()
        self.writer = ThreadPoolExecutor(1, "store-writer")
        self.readers = ThreadPoolExecutor(READER_THREADS, "store-reader")
        self.compactor = ThreadPoolExecutor(1, "store-keeper")
        self.is_flushing = self.is_compacting = self.is_closing = False

    @classmethod
    async def open(cls, folder: Path | str | Files, options: Options | None = None) -> AsyncStore:
        """Raises as `Store.open`."""
        loop = asyncio.get_running_loop()
        return cls(await loop.run_in_executor(None, Store.open, folder, options))

    # ---- writing ----

    async def put(self, key: bytes, value: bytes, expect: int | None = None) -> int:
        """As `Store.put`: returns once it is synced."""
        return await self.batch([Write(key, value, expect)])

    async def delete(self, key: bytes, expect: int | None = None) -> int:
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
        if not self.is_flushing:
            self.is_flushing = True
            self.writer.submit(self._write)

    def _write(self) -> None:
        """In the writer's thread: all that waits, and what comes meanwhile."""
        try:
            self.store.flush()
        finally:
            self.loop.call_soon_threadsafe(self._on_flushed)

    def _on_flushed(self) -> None:
        self.is_flushing = False
        if self.store.queue:
            self._flush()
        elif not self.is_compacting and not self.is_closing and self.store.should_compact():
            self.is_compacting = True
            self.compactor.submit(self._compact)

    def _compact(self) -> None:
        """In the keeper's thread. What fails is tried again after a later write, and harms nothing."""
        try:
            self.store.compact(everything=False, stop=lambda: self.is_closing)
        except (OSError, StoreError) as error:
            log.warning("compaction was given up: %s", error)
        finally:
            self.loop.call_soon_threadsafe(self._on_compacted)

    def _on_compacted(self) -> None:
        self.is_compacting = False

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
        return await self._read(partial(self.store.get, key))

    async def entry(self, key: bytes) -> Record | None:
        return await self._read(partial(self.store.entry, key))

    async def scan(
        self,
        prefix: bytes = b"",
        start: bytes = b"",
        end: bytes | None = None,
        limit: int = SCAN_PAGE_RECORDS,
    ) -> list[Record]:
        """At most so many records; go on with `start` = the last key + a zero byte."""
        return await self._read(partial(read_page, self.store, prefix, start, end, limit))

    async def snapshot(self) -> Snapshot:
        """Its own calls wait for the disk: hand it to a thread (a backup, say)."""
        return await self._read(self.store.snapshot)

    async def _read(self, call: partial[T] | object) -> T:
        return await self.loop.run_in_executor(self.readers, call)  # type: ignore[arg-type]

    # ---- care ----

    async def compact(self, everything: bool = True) -> bool:
        return await self._read(partial(self.store.compact, everything))

    async def stat(self) -> StoreStats:
        return await self._read(self.store.stat)

    async def close(self) -> None:
        """Write what waits, and let go of the folder. A compaction that runs is stopped."""
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
    found: list[Record] = []
    for record in store.scan(prefix, start, end):
        if len(found) >= limit:
            break
        found.append(record)
    return found
