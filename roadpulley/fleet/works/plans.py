"""Publishing the feed of plans as a duty: what commands write into the book, one instance shows to
gateways."""

from __future__ import annotations

import logging

from roadpulley.checks import ValidationError
from roadpulley.fleet.clock import wall_ms
from roadpulley.fleet.duties.registers import FileRegister
from roadpulley.fleet.duties.work import HeldDuty, WorkError
from roadpulley.plans.settings import PlanSettings
from roadpulley.plans.shelf import Shelf
from roadpulley.store import Locked, Store, StoreError

log = logging.getLogger(__name__)


class PlanPublisher:
    """Its registers: a fence beside the feed, and the followers, which turn an older one down."""

    def __init__(self, name: str, settings: PlanSettings) -> None:
        self.name, self.settings = name, settings
        self.register = FileRegister(settings.feed.with_name(settings.feed.name + ".fence"))

    def claim(self, fence: int, owner: str) -> int | None:
        try:
            return self.register.claim(fence, owner)
        except OSError as error:
            raise WorkError(str(error)) from error

    def act(self, duty: HeldDuty) -> float | None:
        """Where the feed is behind the book, is of another holding, or holds what is past."""
        try:
            with Store.open(self.settings.store) as store:
                shelf = Shelf(store, self.settings.feed, wall_ms, self.settings.pool)
                if not shelf.behind(duty.fence) or not duty.is_still_held():
                    return None
                with self.register.guard(duty.fence):
                    doc = shelf.publish(duty.fence)
        except Locked:
            return 0.05  # a command writes just now; what it changed is shown once it is done
        except (StoreError, ValidationError, OSError) as error:
            raise WorkError(f"the book of plans: {error}") from error
        log.info("%s: the feed is at %d under %d", self.name, doc.seq, doc.fence)
        return None
