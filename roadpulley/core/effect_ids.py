"""Decides whether a request with effects may be sent on under its id, by what may have run before.

`recent_requests` remembers; this module knows the classes, and for how long an id may come again.
"""

from __future__ import annotations

from enum import Enum

from mintford import interface as api

from .clock import now_ms
from .recent_requests import RecentRequests
from .request import Request

# How long after its time a request that was sent again may still come: the way to a new connection.
RESEND_MARGIN_MS = 500.0


class Admission(Enum):
    """Whether a request may be sent on. The values are reasons in the log."""

    ADMITTED = "admitted"
    MAY_HAVE_RUN = "its id may have run before"
    TOO_MANY_IDS = "too many ids are remembered"


class EffectIds:
    """The ids of requests of classes with effects."""

    def __init__(self, recent_requests: RecentRequests, settings: api.Settings) -> None:
        self.recent_requests = recent_requests
        self.apply_settings(settings)

    def apply_settings(self, settings: api.Settings) -> None:
        """Uses the classes of other settings from now on."""
        self.classes = {kind.name: kind for kind in settings.classes}

    def has_effects(self, request_class: str) -> bool:
        """Whether a second run of a request of this class may change something."""
        kind = self.classes.get(request_class)
        return kind is not None and kind.effect is not api.Effect.SAFE

    def may_have_run(self, request: str) -> bool:
        """Whether an earlier request of this id may have run, so that a refusal would promise too much."""
        return self.recent_requests.may_have_run(request, now_ms())

    def admit(self, request: str) -> Admission:
        """Whether a request with effects may be sent on under this id."""
        now = now_ms()
        if self.recent_requests.may_have_run(request, now):
            return Admission.MAY_HAVE_RUN
        return Admission.TOO_MANY_IDS if self.recent_requests.is_full(now) else Admission.ADMITTED

    def record_sent(self, owner: Request) -> None:
        """The last byte of an attempt has been written: it may run from now on."""
        owner.possible_runs += 1
        now, kind = now_ms(), self.classes.get(owner.command.request_class)
        deadline, window = (kind.deadline, kind.repeat_window) if kind is not None else (0.0, 0.0)
        latest_return = max(owner.expires_at, owner.received_at + deadline, now + window)
        self.recent_requests.add(owner.command.id, now, latest_return + RESEND_MARGIN_MS)

    def record_not_run(self, owner: Request) -> None:
        """An attempt that was sent certainly didn't run, as its backend refused it."""
        owner.possible_runs -= 1
        if not owner.possible_runs:
            self.recent_requests.discard(owner.command.id)
