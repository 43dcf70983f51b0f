"""The `plans-publish` work: one instance publishes the plans that commands write, as a feed for gateways."""

from __future__ import annotations

import logging

from roadpulley.checks import ValidationError
from roadpulley.fleet.clock import wall_ms
from roadpulley.fleet.duties.registers import FileRegister
from roadpulley.fleet.duties.work import HeldDuty, WorkError
from roadpulley.plans.plan_store import PlanStore
from roadpulley.plans.settings import PlanSettings
from roadpulley.store import LockedError, Store, StoreError

log = logging.getLogger(__name__)


class PlanPublisher:
    """Publishes the feed. Registers: a file next to the feed, and followers, which reject older fences."""

    def __init__(self, name: str, settings: PlanSettings) -> None:
        self.name, self.settings = name, settings
        self.register = FileRegister(settings.feed.with_name(settings.feed.name + ".fence"))

    def claim(self, fence: int, owner: str) -> int | None:
        """Claims the fence at the file register. Raises WorkError."""
        try:
            return self.register.claim(fence, owner)
        except OSError as error:
            raise WorkError(str(error)) from error

    def act(self, duty: HeldDuty) -> float | None:
        """Publishes if the feed is out of date, was published under another fence, or has expired entries."""
        try:
            with Store.open(self.settings.store) as store:
                plan_store = PlanStore(store, self.settings.feed, wall_ms, self.settings.pool)
                if not plan_store.needs_publishing(duty.fence) or not duty.is_still_held():
                    return None
                with self.register.guard(duty.fence):
                    doc = plan_store.publish(duty.fence)
        except LockedError:
            return 0.05  # a command is writing: its changes are published once it is done
        except (StoreError, ValidationError, OSError) as error:
            raise WorkError(f"the book of plans: {error}") from error
        log.info("%s: the feed is at %d under %d", self.name, doc.seq, doc.fence)
        return None
