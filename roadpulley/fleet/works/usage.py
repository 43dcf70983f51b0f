"""Billing as duties: pushing files to the sink, and closing periods once they are over."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterator
from contextlib import contextmanager

from roadpulley.checks import ValidationError
from roadpulley.fleet.clock import wall_ms
from roadpulley.fleet.duties.work import HeldDuty, WorkError
from roadpulley.store import Locked, Store, StoreError, fences
from roadpulley.usage.books import Books
from roadpulley.usage.closing import HOUR_S, due
from roadpulley.usage.periods import Periods
from roadpulley.usage.settings import UsageSettings
from roadpulley.usage.spool import collect

log = logging.getLogger(__name__)

ROUND_S = 20.0  # that one round may go on waiting for a sink that does not answer


@contextmanager
def opened(settings: UsageSettings) -> Iterator[Store]:
    """The books' store, for one round: between rounds commands may have it. Raises WorkError."""
    try:
        settings.store.parent.mkdir(parents=True, exist_ok=True)
        with Store.open(settings.store) as store:
            yield store
    except Locked as error:
        raise WorkError(str(error)) from error
    except (StoreError, ValidationError, OSError) as error:
        raise WorkError(f"the books: {error}") from error


class BillingPusher:
    """Its registers: the books, by a record of the duty, and the sink, which keeps the highest fence
    it saw."""

    def __init__(self, name: str, settings: UsageSettings) -> None:
        if not settings.sink:
            raise ValidationError(
                "sink.url", "is missing in the settings of usage", "name where billing files are put"
            )
        self.name, self.settings = name, settings

    def claim(self, fence: int, owner: str) -> int | None:
        with opened(self.settings) as store:
            return fences.claim(store, self.name, fence, owner)

    def act(self, duty: HeldDuty) -> float | None:
        import httpx

        from roadpulley.usage.pushing import Pushing

        headers = {}
        if self.settings.token is not None:
            headers["Authorization"] = f"Bearer {self.settings.token.read_text().strip()}"
        end = time.monotonic() + ROUND_S

        def pause(ms: int) -> bool:
            """Danger: a push after the time of the holding is out would rest on the fence alone."""
            duty.ended.wait(min(ms / 1000, max(0.0, end - time.monotonic())))
            return duty.is_still_held() and time.monotonic() < end

        with opened(self.settings) as store:
            fenced = fences.Fenced(store, self.name, duty.fence)
            fenced.check()
            books = Books(fenced)
            with httpx.Client(
                base_url=self.settings.sink, headers=headers, timeout=self.settings.timeout_s
            ) as client:
                pushing = Pushing(books, client, self.name, wall_ms, pause, duty.fence, duty.is_still_held)
                done = pushing.run()
        if done.pushed or done.parked:
            log.info(
                "%s: %d files pushed, %d parked, %d left", self.name, done.pushed, done.parked, done.left
            )
        return None


class PeriodCloser:
    """Takes batches in, and closes each period once it is over. Its register: the books."""

    def __init__(self, name: str, settings: UsageSettings) -> None:
        if settings.calendar is None:
            right = "give every = 'day' or 'month' and the first hour, as from = '2027-01-01T00'"
            raise ValidationError("close", "is missing in the settings of usage", right)
        self.name, self.settings, self.calendar = name, settings, settings.calendar

    def claim(self, fence: int, owner: str) -> int | None:
        with opened(self.settings) as store:
            return fences.claim(store, self.name, fence, owner)

    def act(self, duty: HeldDuty) -> float | None:
        with opened(self.settings) as store:
            books = Books(fences.Fenced(store, self.name, duty.fence))
            collect(self.settings.spool, books)
            periods = Periods(books)
            closed = max((p.end for p in periods.all()), default=0)
            for each in due(self.calendar, closed, wall_ms() // 1000 // HOUR_S):
                if not duty.is_still_held():
                    break
                made = periods.close(each.name, each.start, each.end, wall_ms() // 1000 // HOUR_S, wall_ms())
                log.info("%s: closed %s with %d lines", self.name, made.name, made.lines)
        return None
