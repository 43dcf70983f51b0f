"""A gateway's shell round the follower: a file that is looked at, and a timer for what begins by itself."""

from __future__ import annotations

import logging
from pathlib import Path

from roadpulley.checks import ValidationError
from roadpulley.core.clock import Timers, now_ms
from roadpulley.core.driver import Driver

from . import feed
from .follow import Follower

log = logging.getLogger(__name__)


class Watch:
    """Looks every `look_ms`. A feed that cannot be read leaves what holds, and is told of once."""

    def __init__(self, path: Path, look_ms: float, driver: Driver, timers: Timers) -> None:
        self.path, self.look_ms, self.driver, self.timers = path, look_ms, driver, timers
        self.follower = Follower({p.name: p for p in driver.settings.plans})
        self.seen: tuple[int, int, int] | None = None
        self.complaint = ""
        self.closed = False

    def look(self) -> None:
        if self.closed:
            return
        try:
            self._read()
            self.complaint = ""
        except (OSError, ValidationError) as error:
            if str(error) != self.complaint:
                self.complaint = str(error)
                log.error("plans stay as they are: %s: %s", self.path, error)
        self.begin()
        self.timers.call_at(min(now_ms() + self.look_ms, max(now_ms(), self.follower.next_at())), self.look)

    def begin(self) -> None:
        for change in self.follower.tick(int(now_ms())):
            self.driver.handle_event(change)

    def _read(self) -> None:
        stat = self.path.stat()
        mark = (stat.st_ino, stat.st_mtime_ns, stat.st_size)
        if mark == self.seen:
            return
        doc = feed.load(self.path.read_bytes())
        self.seen = mark
        if doc.fence < self.follower.doc.fence:
            log.error(
                "plans stay as they are: %s is of fence %d, and %d was seen",
                self.path,
                doc.fence,
                self.follower.doc.fence,
            )
        elif doc.seq < self.follower.doc.seq:
            log.error(
                "plans stay as they are: %s is at %d, and %d was seen",
                self.path,
                doc.seq,
                self.follower.doc.seq,
            )
        for change in self.follower.take(int(now_ms()), doc):
            self.driver.handle_event(change)
        log.info("plans follow %s at %d", self.path, self.follower.doc.seq)

    def close(self) -> None:
        self.closed = True
