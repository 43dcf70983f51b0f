"""The billing works: `usage-push` pushes files to the sink, `usage-close` closes ended periods."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterator
from contextlib import contextmanager

from roadpulley.checks import ValidationError
from roadpulley.fleet.clock import wall_ms
from roadpulley.fleet.duties.work import HeldDuty, WorkError
from roadpulley.store import LockedError, Store, StoreError, fences
from roadpulley.usage.billing_calendar import HOUR_S, list_due_periods
from roadpulley.usage.ledger import UsageLedger
from roadpulley.usage.periods import BillingPeriods
from roadpulley.usage.settings import UsageSettings
from roadpulley.usage.spool import collect

log = logging.getLogger(__name__)

MAX_ROUND_S = 20.0  # a round waits no longer for a sink that doesn't respond


@contextmanager
def open_books(settings: UsageSettings) -> Iterator[Store]:
    """Opens the store of the books for one round; commands may use it between rounds. Raises WorkError."""
    try:
        settings.store.parent.mkdir(parents=True, exist_ok=True)
        with Store.open(settings.store) as store:
            yield store
    except LockedError as error:
        raise WorkError(str(error)) from error
    except (StoreError, ValidationError, OSError) as error:
        raise WorkError(f"the books: {error}") from error


class BillingPusher:
    """Pushes billing files. Registers: a record in the books, and the sink, with the highest fence."""

    def __init__(self, name: str, settings: UsageSettings) -> None:
        if not settings.sink:
            raise ValidationError(
                "sink.url", "is missing in the settings of usage", "name where billing files are put"
            )
        self.name, self.settings = name, settings

    def claim(self, fence: int, owner: str) -> int | None:
        """Claims the fence in the books. Raises WorkError."""
        with open_books(self.settings) as store:
            return fences.claim_fence(store, self.name, fence, owner)

    def act(self, duty: HeldDuty) -> float | None:
        """Pushes the files that are due, for one round. Raises StaleFenceError, WorkError."""
        import httpx

        from roadpulley.usage.export_runner import ExportRunner

        headers = {}
        if self.settings.token is not None:
            headers["Authorization"] = f"Bearer {self.settings.token.read_text().strip()}"
        deadline = time.monotonic() + MAX_ROUND_S

        def pause(ms: int) -> bool:
            """Waits, and returns whether pushing may go on.

            After the holding's expiry only the fence would protect against a second pusher.
            """
            duty.ended.wait(min(ms / 1000, max(0.0, deadline - time.monotonic())))
            return duty.is_still_held() and time.monotonic() < deadline

        with open_books(self.settings) as store:
            fenced = fences.FencedStore(store, self.name, duty.fence)
            fenced.check()
            books = UsageLedger(fenced)
            with httpx.Client(
                base_url=self.settings.sink, headers=headers, timeout=self.settings.timeout_s
            ) as client:
                pushing = ExportRunner(
                    books, client, self.name, wall_ms, pause, duty.fence, duty.is_still_held
                )
                done = pushing.run()
        if done.pushed or done.parked:
            log.info(
                "%s: %d files pushed, %d parked, %d left", self.name, done.pushed, done.parked, done.remaining
            )
        return None


class PeriodCloser:
    """Collects usage batches and closes each ended period. Register: a record in the books."""

    def __init__(self, name: str, settings: UsageSettings) -> None:
        if settings.calendar is None:
            hint = "give every = 'day' or 'month' and the first hour, as from = '2027-01-01T00'"
            raise ValidationError("close", "is missing in the settings of usage", hint)
        self.name, self.settings, self.calendar = name, settings, settings.calendar

    def claim(self, fence: int, owner: str) -> int | None:
        """Claims the fence in the books. Raises WorkError."""
        with open_books(self.settings) as store:
            return fences.claim_fence(store, self.name, fence, owner)

    def act(self, duty: HeldDuty) -> float | None:
        """Collects batches and closes ended periods. Raises StaleFenceError, WorkError."""
        with open_books(self.settings) as store:
            books = UsageLedger(fences.FencedStore(store, self.name, duty.fence))
            collect(self.settings.spool, books)
            periods = BillingPeriods(books)
            closed_until = max((p.end for p in periods.list_all()), default=0)
            for period in list_due_periods(self.calendar, closed_until, wall_ms() // 1000 // HOUR_S):
                if not duty.is_still_held():
                    break
                closed_period = periods.close(
                    period.name, period.start, period.end, wall_ms() // 1000 // HOUR_S, wall_ms()
                )
                log.info("%s: closed %s with %d lines", self.name, closed_period.name, closed_period.lines)
        return None
