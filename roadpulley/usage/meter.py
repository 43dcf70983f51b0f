"""A gateway's shell round its tally: the driver tells it of tries, a thread writes its batches."""

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

PlanVersionLookup = Callable[[str, str], tuple[str, int, int]]  # of a customer and the plan its request names


def look_up_unversioned(customer: str, plan: str) -> tuple[str, int, int]:
    """Without a book of plans: those of the deployment's settings, which have no versions."""
    return plan, 0, 0


class Meter:
    """Counts stay in memory for FLUSH_MS and the time of a write: so much SIGKILL can lose, and no more."""

    def __init__(
        self, folder: Path, gateway: str, timers: Timers, versions: PlanVersionLookup = look_up_unversioned
    ) -> None:
        self.folder, self.timers, self.versions = folder, timers, versions
        self.tally = UsageAccumulator(gateway, secrets.token_hex(8))
        self.loop = asyncio.get_running_loop()
        self.writing: asyncio.Future[int] | None = None
        self.failing = ""
        self.told = 0
        folder.mkdir(parents=True, exist_ok=True)
        self._tick()

    def record_sent(self, command: Command) -> UsageKey | None:
        versions = self.versions(command.customer, command.plan)
        return self.tally.count_sent(
            now_ms(), command.customer, versions, command.request_class, command.units
        )

    def record_settled(self, row: UsageKey, command: Command, true: float) -> None:
        self.tally.count_settled(now_ms(), row, command.units, true)

    def _tick(self) -> None:
        if self.writing is None and (self.tally.unwritten_batches or self.tally.is_due(now_ms())):
            self._write(self.tally.close_batch(now_ms()))
        self.timers.call_at(now_ms() + FLUSH_INTERVAL_MS / 4, self._tick)

    def _write(self, batches: list[Batch]) -> None:
        self.writing = self.loop.run_in_executor(None, written, self.folder, batches)
        self.writing.add_done_callback(self._wrote)

    def _wrote(self, done: asyncio.Future[int]) -> None:
        self.writing = None
        if done.cancelled():
            return
        error = done.exception()
        if error is None:
            self.tally.confirm_written(done.result())
        if (said := str(error or "")) != self.failing:
            self.failing = said
            log.error("use cannot be written, and is kept: %s", said) if said else log.info(
                "use is written again"
            )
        if self.tally.dropped_tries > self.told:
            log.error(
                "use of %d tries was dropped: no batch could be written", self.tally.dropped_tries - self.told
            )
            self.told = self.tally.dropped_tries

    async def close(self) -> None:
        """Write what is counted; called once nothing more is sent on."""
        while self.writing is not None:
            await asyncio.wait({self.writing})
            await asyncio.sleep(0)
        if batches := self.tally.close_batch(now_ms()):
            self.tally.confirm_written(await self.loop.run_in_executor(None, written, self.folder, batches))


def written(folder: Path, batches: list[Batch]) -> int:
    """The number of the last that is on disk for sure. Raises OSError if not even the first is."""
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
