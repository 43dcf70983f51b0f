"""The shell of rights at one instance: gives out those of the parts that it holds, passes the rest on.

An instance remembers nothing for the processes beside it: a right is between a holder and an allocator. If
the instance breaks, what is held can be spent until it ends.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import structlog

from roadpulley.fleet.clock import Clock
from roadpulley.fleet.duties.terms import MonotonicTime
from roadpulley.fleet.duties.work import HeldDuty
from roadpulley.fleet.peers.service import Route
from roadpulley.fleet.worker_socket import WorkerSocket

from .allocator import Allocator, InheritedLedgers
from .messages import (
    MAX_LIMIT_NAME_BYTES,
    AllocatorAnnouncement,
    Body,
    FromHolder,
    HandoverOffer,
    HandoverRequest,
    Hello,
    LedgerSnapshot,
    Limit,
    RightsReply,
    RightsRequest,
    Welcome,
)
from .settings import RightsSettings
from .work import AllocatorWork

ANNOUNCE_INTERVAL_S = 0.25  # between two words of an allocator that it serves
ANNOUNCEMENT_LIFETIME_S = 1.0  # for which one word counts
HANDOVER_RETRY_INTERVAL_S, HANDOVER_TIMEOUT_S = (
    0.05,
    0.3,
)  # between two words to an heir; for how long it is waited for at most
SNAPSHOT_DELIVERY_S = 0.05  # that books are left to reach it

log = structlog.get_logger("roadpulley.fleet.rights")


class RightsService:
    """`tell` sends a body to an instance; `everybody` gives the routes to all others."""

    def __init__(
        self,
        settings: RightsSettings,
        beside: WorkerSocket,
        works: Mapping[str, Any],
        clock: Clock,
        rng: random.Random,
        tell: Callable[[Route, Body], None],
        everybody: Callable[[], Iterable[Route]],
        soon: Callable[[Callable[[], None]], None],
    ) -> None:
        self.settings, self.beside, self.clock, self.rng = settings, beside, clock, rng
        self.tell, self.everybody, self.soon = tell, everybody, soon
        self.ours: dict[int, tuple[HeldDuty, Allocator]] = {}
        self.known: dict[int, tuple[int, Route, MonotonicTime]] = {}  # by part: fence, where, until when
        self.counts: Counter[str] = Counter()
        self.saying: asyncio.TimerHandle | None = None
        self.heirs: dict[int, asyncio.Event] = {}  # by part that is handed over: the next one has asked
        self.legacies: dict[int, InheritedLedgers] = {}
        self.limits: dict[str, Limit] = dict(settings.given_out)
        for work in works.values():
            if isinstance(work, AllocatorWork):
                work.begins = self._begins

    # ---- life ----

    def open(self) -> None:
        self._say()

    def close(self) -> None:
        if self.saying is not None:
            self.saying.cancel()

    # ---- to give out ----

    def _begins(self, part: int, duty: HeldDuty) -> None:
        """From the thread of the work."""
        self.soon(lambda: self._begin(part, duty))

    def _begin(self, part: int, duty: HeldDuty) -> None:
        # Danger: it counts what its forerunners gave out from its own beginning, which is not before theirs
        # ended: only who holds the duty comes here.
        settings = self.settings
        now, left = self.clock.now(), self.legacies.pop(part, None)
        books = left.books_for(now, duty.fence, settings.times) if left is not None else {}
        allocator = Allocator(duty.fence, now, self.limits, settings.times, self.rng, books)
        self.ours[part] = duty, allocator
        log.info("gives out rights", part=part, fence=duty.fence, books=len(books))
        self._announce()

    # ---- to hand over ----

    async def handing(self, part: int, heir: Route) -> None:
        """Pass the books on, before the duty is let go of. Where the next one is silent, it waits as ever."""
        _, allocator = self.ours.get(part, (None, None))
        if allocator is None or self.allocator(part) is not allocator:
            return
        asked = self.heirs[part] = asyncio.Event()
        end = self.clock.now() + HANDOVER_TIMEOUT_S
        while not asked.is_set() and self.clock.now() < end:
            self.tell(heir, HandoverOffer(part, allocator.fence))
            try:
                async with asyncio.timeout(HANDOVER_RETRY_INTERVAL_S):
                    await asked.wait()
            except TimeoutError:
                continue
        del self.heirs[part]
        if asked.is_set():
            await asyncio.sleep(SNAPSHOT_DELIVERY_S)

    def _heir(self, route: Route, heir: HandoverOffer) -> None:
        left = self.legacies.get(heir.part)
        if left is None or left.fence < heir.fence:
            # Danger: books count from when they were first asked for, whichever ask had them sealed.
            self.legacies[heir.part] = InheritedLedgers(heir.fence, self.clock.now())
        elif left.fence > heir.fence:
            return
        self.tell(route, HandoverRequest(heir.part, heir.fence))

    def _seal(self, route: Route, ask: HandoverRequest) -> None:
        duty, allocator = self.ours.get(ask.part, (None, None))
        if duty is None or allocator is None or allocator.fence != ask.fence or ask.part not in self.heirs:
            return
        for legacy in allocator.seal(self.clock.now(), ask.part):
            self.tell(route, legacy)
        self.heirs[ask.part].set()

    def _legacy(self, legacy: LedgerSnapshot) -> None:
        if (left := self.legacies.get(legacy.part)) is not None:
            left.take(self.clock.now(), legacy)

    def ordered(self, limits: Mapping[str, Limit]) -> None:
        """Operators have other limits now, beside those of the settings."""
        self.limits = {**self.settings.given_out, **limits}
        for _, allocator in self.ours.values():
            allocator.retune(self.clock.now(), self.limits)

    def allocator(self, part: int) -> Allocator | None:
        """Of a part that this instance gives out, now."""
        duty, allocator = self.ours.get(part, (None, None))
        if duty is None:
            return None
        if not duty.is_still_held():
            del self.ours[part]
            return None
        return allocator

    def asked(self, ask: RightsRequest) -> RightsReply | None:
        allocator = self.allocator(ask.part)
        if allocator is None:
            self.counts["asked of one that does not serve"] += 1
            return None
        self.counts["asks"] += 1
        return allocator.asked(self.clock.now(), ask)

    def _say(self) -> None:
        self._announce()
        self.saying = asyncio.get_running_loop().call_later(ANNOUNCE_INTERVAL_S, self._say)

    def _announce(self) -> None:
        for part in list(self.ours):
            allocator = self.allocator(part)
            if allocator is not None:
                serving = AllocatorAnnouncement(part, allocator.fence, int(ANNOUNCEMENT_LIFETIME_S * 1000))
                for route in self.everybody():
                    self.tell(route, serving)
                self.beside.send_to_all(serving)

    # ---- between instances ----

    def heard(self, route: Route, body: Body) -> None:
        """A body of another instance."""
        if isinstance(body, AllocatorAnnouncement):
            self._served(route, body)
        elif isinstance(body, RightsReply):
            self.beside.send_to(body.holder, body)
        elif isinstance(body, HandoverOffer):
            self._heir(route, body)
        elif isinstance(body, HandoverRequest):
            self._seal(route, body)
        elif isinstance(body, LedgerSnapshot):
            self._legacy(body)
        elif (given := self.asked(body)) is not None:
            self.tell(route, given)

    def _served(self, route: Route, serving: AllocatorAnnouncement) -> None:
        now = self.clock.now()
        fence, _, until = self.known.get(serving.part, (0, route, 0.0))
        if serving.fence < fence:
            self.counts["words of an earlier allocator"] += 1
            return
        self.known[serving.part] = serving.fence, route, now + serving.left_ms / 1000
        self.beside.send_to_all(serving)

    # ---- the processes beside ----

    def beside_said(self, body: FromHolder) -> None:
        """From a process beside this instance."""
        if isinstance(body, Hello):
            return self._welcome(body.holder)
        if len(body.limit.encode()) > MAX_LIMIT_NAME_BYTES:
            self.counts["too long a name"] += 1
            return
        if (given := self.asked(body) if body.part in self.ours else None) is not None:
            return self.beside.send_to(body.holder, given)
        fence, route, until = self.known.get(body.part, (0, ("", 0), 0.0))
        if fence == body.fence and self.clock.now() < until:
            self.counts["passed on"] += 1
            self.tell(route, body)

    def _welcome(self, holder: int) -> None:
        self.beside.send_to(holder, Welcome(self.settings.parts, self.settings.times))
        for part in list(self.ours):
            if allocator := self.allocator(part):
                self.beside.send_to(
                    holder, AllocatorAnnouncement(part, allocator.fence, int(ANNOUNCEMENT_LIFETIME_S * 1000))
                )
        now = self.clock.now()
        for part, (fence, _, until) in self.known.items():
            if part not in self.ours and now < until:
                self.beside.send_to(holder, AllocatorAnnouncement(part, fence, int((until - now) * 1000)))

    # ---- people ----

    def report(self) -> dict[str, Any]:
        """What this instance gives out, and who else does, as far as it knows."""
        now, rows, parts = self.clock.now(), [], []
        for part in range(self.settings.parts):
            allocator = self.allocator(part)
            fence, route, until = self.known.get(part, (0, ("", 0), 0.0))
            if allocator is None:
                where = route[0] if now < until else ""
                parts.append({"part": part, "fence": fence, "given_out_by": where or "nobody seen"})
                continue
            waits = [book.clear_at for book in allocator.books.values()] or [allocator.clear_at]
            full = round(max(0.0, max(waits) - now), 2)
            parts.append(
                {"part": part, "fence": allocator.fence, "given_out_by": "this instance", "waits_s": full}
            )
            for name, book in allocator.books.items():
                allocator.fill(now, book)
                rows.append(
                    {
                        "limit": name,
                        "rate": book.limit.rate,
                        "burst": book.limit.burst,
                        "left": round(book.level, 2),
                        "out": round(book.held, 2),
                        "holders": len({out.holder for out in book.out.values()}),
                    }
                )
        return {
            "parts": parts,
            "limits": rows,
            "beside": len(self.beside.worker_paths),
            "counts": dict(self.counts + self.beside.counters),
        }
