"""Applies the feed on a gateway: polls the feed file and runs scheduled changes by a timer."""

from __future__ import annotations

import logging
from pathlib import Path

from roadpulley.checks import ValidationError
from roadpulley.core.clock import Timers, now_ms
from roadpulley.core.driver import Driver

from . import feed
from .follower import Follower

log = logging.getLogger(__name__)


class FeedWatcher:
    """Polls the feed file. After a read error the current plans stay, and the error is logged once."""

    def __init__(self, path: Path, poll_interval_ms: float, driver: Driver, timers: Timers) -> None:
        self.path, self.interval_ms, self.driver, self.timers = path, poll_interval_ms, driver, timers
        self.follower = Follower({p.name: p for p in driver.settings.plans})
        self.last_stamp: tuple[int, int, int] | None = None
        self.last_error = ""
        self.closed = False

    def poll(self) -> None:
        """Read a changed feed, apply all due changes and schedule the next poll."""
        if self.closed:
            return
        try:
            self._read_feed()
            self.last_error = ""
        except (OSError, ValidationError) as error:
            if str(error) != self.last_error:
                self.last_error = str(error)
                log.error("plans stay as they are: %s: %s", self.path, error)
        self.apply_due_changes()
        self.timers.call_at(
            min(now_ms() + self.interval_ms, max(now_ms(), self.follower.get_next_change_ms())),
            self.poll,
        )

    def apply_due_changes(self) -> None:
        """Pass the changes that are due to the driver."""
        for change in self.follower.advance(int(now_ms())):
            self.driver.handle_event(change)

    def _read_feed(self) -> None:
        stat = self.path.stat()
        stamp = (stat.st_ino, stat.st_mtime_ns, stat.st_size)
        if stamp == self.last_stamp:
            return
        new_document = feed.load(self.path.read_bytes())
        self.last_stamp = stamp
        if new_document.fence < self.follower.document.fence:
            log.error(
                "plans stay as they are: %s has fence %d, which is below %d",
                self.path,
                new_document.fence,
                self.follower.document.fence,
            )
        elif new_document.seq < self.follower.document.seq:
            log.error(
                "plans stay as they are: %s has sequence number %d, which is below %d",
                self.path,
                new_document.seq,
                self.follower.document.seq,
            )
        for change in self.follower.apply(int(now_ms()), new_document):
            self.driver.handle_event(change)
        log.info("plans follow %s at %d", self.path, self.follower.document.seq)

    def close(self) -> None:
        """Stop polling; a poll that is already scheduled does nothing."""
        self.closed = True
