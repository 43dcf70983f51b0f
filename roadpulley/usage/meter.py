"""Meters the usage of a gateway process: counts tries for the driver and writes batches in a thread."""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable
from pathlib import Path

from roadpulley.core.clock import Timers, now_ms
from roadpulley.core.command import Command

from . import spool
from .accumulator import FLUSH_INTERVAL_MS, Batch, UsageAccumulator, UsageKey

log = logging.getLogger(__name__)

PlanVersionLookup = Callable[[str, str], tuple[str, int, int]]  # customer, plan -> plan, version, override


def look_up_unversioned(customer: str, plan: str) -> tuple[str, int, int]:
    """Used without versioned plans: plans of the deployment's settings have version and override 0."""
    return plan, 0, 0


class Meter:
    """Counts tries and writes them to the spool.

    Counts stay in memory for FLUSH_INTERVAL_MS and the time of a write. SIGKILL can lose these and no more.
    """

    def __init__(
        self,
        folder: Path,
        gateway: str,
        timers: Timers,
        look_up_versions: PlanVersionLookup = look_up_unversioned,
    ) -> None:
        self.folder, self.timers, self.look_up_versions = folder, timers, look_up_versions
        self.accumulator = UsageAccumulator(gateway, secrets.token_hex(8))
        self.loop = asyncio.get_running_loop()
        self.pending_write: asyncio.Future[int] | None = None
        self.last_error = ""
        self.reported_drops = 0
        folder.mkdir(parents=True, exist_ok=True)
        self._flush_if_due()

    def record_sent(self, command: Command) -> UsageKey | None:
        """Counts a try that is being sent. Returns the key to settle it with, or None if it was dropped."""
        plan_version = self.look_up_versions(command.customer, command.plan)
        return self.accumulator.count_sent(
            now_ms(), command.customer, plan_version, command.request_class, command.units
        )

    def record_settled(self, row: UsageKey, command: Command, actual_units: float) -> None:
        """Corrects the units of a try to those that its answer stated."""
        self.accumulator.count_settled(now_ms(), row, command.units, actual_units)

    def _flush_if_due(self) -> None:
        if self.pending_write is None and (
            self.accumulator.unwritten_batches or self.accumulator.is_due(now_ms())
        ):
            self._start_write(self.accumulator.close_batch(now_ms()))
        self.timers.call_at(now_ms() + FLUSH_INTERVAL_MS / 4, self._flush_if_due)

    def _start_write(self, batches: list[Batch]) -> None:
        self.pending_write = self.loop.run_in_executor(None, write_batches, self.folder, batches)
        self.pending_write.add_done_callback(self._on_written)

    def _on_written(self, future: asyncio.Future[int]) -> None:
        self.pending_write = None
        if future.cancelled():
            return
        error = future.exception()
        if error is None:
            self.accumulator.confirm_written(future.result())
        if (message := str(error or "")) != self.last_error:
            self.last_error = message
            log.error("use cannot be written, and is kept: %s", message) if message else log.info(
                "use is written again"
            )
        if self.accumulator.dropped_tries > self.reported_drops:
            log.error(
                "use of %d tries was dropped: too many batches could not be written",
                self.accumulator.dropped_tries - self.reported_drops,
            )
            self.reported_drops = self.accumulator.dropped_tries

    async def close(self) -> None:
        """Writes all counts. Called once no more requests are sent. Raises OSError."""
        while self.pending_write is not None:
            await asyncio.wait({self.pending_write})
            await asyncio.sleep(0)
        if batches := self.accumulator.close_batch(now_ms()):
            self.accumulator.confirm_written(
                await self.loop.run_in_executor(None, write_batches, self.folder, batches)
            )


def write_batches(folder: Path, batches: list[Batch]) -> int:
    """Writes batches in order. Returns the number of the last on disk. Raises OSError if there is none."""
    last = 0
    for batch in batches:
        try:
            spool.write(folder, batch)
        except OSError:
            if not last:
                raise
            break
        last = batch.number
    return last
