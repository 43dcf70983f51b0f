"""The last unusual events of this process, in memory, written to the log when something breaks.

A request that is answered in its first attempt leaves no event. Every other end, retry, refusal and close
does, with its reason, under the id of its request. The ring is bounded, so it costs the same however long a
process runs; the log gets the events of one request when that request breaks, at a bounded rate.
"""

from __future__ import annotations

import logging
from collections import deque
from dataclasses import dataclass
from enum import Enum

from .clock import now_ms

log = logging.getLogger(__name__)

MAX_EVENTS = 2_000
REPORT_INTERVAL_MS = 1_000.0
MAX_REPORTS_PER_INTERVAL = 10
MAX_EVENTS_PER_REPORT = 20  # the last ones


class EventKind(Enum):
    """What happened. The values stand in the log."""

    ATTEMPT_ENDED = "attempt ended"  # without a value
    RETRIED = "sent again"
    VALUE_BEGAN = "long value began"
    VALUE_HELD = "long value held"
    VALUE_PASSED_ON = "long value passed on"
    REFUSED = "refused"
    FAILED = "failed"
    CLIENT_CLOSED = "client connection closed"
    OVERDUE = "overdue"


@dataclass(frozen=True, slots=True)
class Event:
    """One event. `details` are joined for the log only, as most events are never written."""

    at_ms: float  # a time of `now_ms`
    kind: EventKind
    request: str  # its id, or "" where the event belongs to no request
    details: tuple[object, ...]

    def describe(self, now: float) -> str:
        """The event in words, with its age."""
        details = " ".join(str(detail) for detail in self.details)
        return f"{now - self.at_ms:.0f} ms ago {self.kind.value}: {details}"


class EventRing:
    """Keeps the last `MAX_EVENTS` events, and writes those of a request when it breaks."""

    def __init__(self) -> None:
        self.events: deque[Event] = deque(maxlen=MAX_EVENTS)
        self.interval_began_at = 0.0
        self.reports_in_interval = 0
        self.suppressed_reports = 0

    def record(self, kind: EventKind, request: str, *details: object) -> None:
        """Keeps an event."""
        self.events.append(Event(now_ms(), kind, request, details))

    def report(self, request: str, headline: str) -> None:
        """Writes a warning with the events of a request, unless too many were written just now."""
        now = now_ms()
        if not self._may_report(now):
            self.suppressed_reports += 1
            return
        if self.suppressed_reports:
            log.warning("%d reports of broken requests were left out", self.suppressed_reports)
            self.suppressed_reports = 0
        found = [event for event in self.events if event.request == request] if request else []
        history = "; ".join(event.describe(now) for event in found[-MAX_EVENTS_PER_REPORT:])
        log.warning("request %s: %s; events: %s", request or "-", headline, history or "none")

    def _may_report(self, now: float) -> bool:
        if now - self.interval_began_at >= REPORT_INTERVAL_MS:
            self.interval_began_at, self.reports_in_interval = now, 0
        self.reports_in_interval += 1
        return self.reports_in_interval <= MAX_REPORTS_PER_INTERVAL
