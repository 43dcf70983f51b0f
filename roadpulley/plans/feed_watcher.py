"""A gateway's shell round the follower: a file that is looked at, and a timer for what begins by itself."""

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
    """Looks every `look_ms`. A feed that cannot be read leaves what holds, and is told of once."""

    def __init__(self, path: Path, poll_interval_ms: float, driver: Driver, timers: Timers) -> None:
        self.path, self.look_ms, self.driver, self.timers = path, poll_interval_ms, driver, timers
        self.follower = Follower({p.name: p for p in driver.settings.plans})
        self.last_stamp: tuple[int, int, int] | None = None
        self.last_error = ""
        self.closed = False

    def poll(self) -> None:
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
            min(now_ms() + self.look_ms, max(now_ms(), self.follower.get_next_change_ms())), self.poll
        )

    def apply_due_changes(self) -> None:
        for change in self.follower.advance(int(now_ms())):
            self.driver.handle_event(change)

    def _read_feed(self) -> None:
        stat = self.path.stat()
        mark = (stat.st_ino, stat.st_mtime_ns, stat.st_size)
        if mark == self.last_stamp:
            return
        doc = feed.load(self.path.read_bytes())
        self.last_stamp = mark
        if doc.fence < self.follower.document.fence:
            log.error(
                "plans stay as they are: %s is of fence %d, and %d was seen",
                self.path,
                doc.fence,
                self.follower.document.fence,
            )
        elif doc.seq < self.follower.document.seq:
            log.error(
                "plans stay as they are: %s is at %d, and %d was seen",
                self.path,
                doc.seq,
                self.follower.document.seq,
            )
        for change in self.follower.apply(int(now_ms()), doc):
            self.driver.handle_event(change)
        log.info("plans follow %s at %d", self.path, self.follower.document.seq)

    def close(self) -> None:
        self.closed = True
