"""Runs the allocators of one instance, and forwards requests for other partitions to their allocators.

An instance keeps no state for the local holders: a right concerns a holder and an allocator only. If the
instance fails, its local holders can spend their rights until these expire.
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

ANNOUNCE_INTERVAL_S = 0.25
ANNOUNCEMENT_LIFETIME_S = 1.0  # validity of one announcement
HANDOVER_RETRY_INTERVAL_S, HANDOVER_TIMEOUT_S = (
    0.05,
    0.3,
)  # retries of a handover offer, and the time after which it is abandoned
SNAPSHOT_DELIVERY_S = 0.05  # time for the snapshots to arrive before the duty is released

log = structlog.get_logger("roadpulley.fleet.rights")


class RightsService:
    """`send` sends a message to another instance; `peer_routes` returns the routes to all others.

    `call_in_loop` runs a function in the event loop; it may be called from any thread.
    """

    def __init__(
        self,
        settings: RightsSettings,
        local_processes: WorkerSocket,
        works: Mapping[str, Any],
        clock: Clock,
        rng: random.Random,
        send: Callable[[Route, Body], None],
        peer_routes: Callable[[], Iterable[Route]],
        call_in_loop: Callable[[Callable[[], None]], None],
    ) -> None:
        self.settings, self.local_processes, self.clock, self.rng = settings, local_processes, clock, rng
        self.send, self.peer_routes, self.call_in_loop = send, peer_routes, call_in_loop
        self.allocators: dict[int, tuple[HeldDuty, Allocator]] = {}
        self.announced: dict[
            int, tuple[int, Route, MonotonicTime]
        ] = {}  # by partition: fence, route and expiry of the announced allocator
        self.counts: Counter[str] = Counter()
        self.announce_timer: asyncio.TimerHandle | None = None
        self.handover_requests: dict[
            int, asyncio.Event
        ] = {}  # by partition: set when the successor has requested the ledgers
        self.inherited: dict[int, InheritedLedgers] = {}
        self.limits: dict[str, Limit] = dict(settings.allocated_limits)
        for work in works.values():
            if isinstance(work, AllocatorWork):
                work.on_start = self._on_duty_started

    # ---- lifecycle ----

    def open(self) -> None:
        self._announce_periodically()

    def close(self) -> None:
        if self.announce_timer is not None:
            self.announce_timer.cancel()

    # ---- allocation ----

    def _on_duty_started(self, part: int, duty: HeldDuty) -> None:
        """Called in the thread of the duty's work."""
        self.call_in_loop(lambda: self._start_allocator(part, duty))

    def _start_allocator(self, part: int, duty: HeldDuty) -> None:
        # The waiting period of the allocator starts here. Rights of earlier allocators could outlive it if
        # one of them still granted: this runs only after the duty has been acquired.
        settings = self.settings
        now, left = self.clock.now(), self.inherited.pop(part, None)
        books = left.usable_snapshots(now, duty.fence, settings.times) if left is not None else {}
        allocator = Allocator(duty.fence, now, self.limits, settings.times, self.rng, books)
        self.allocators[part] = duty, allocator
        log.info("gives out rights", part=part, fence=duty.fence, books=len(books))
        self._announce()

    # ---- handover ----

    async def hand_over(self, part: int, heir: Route) -> None:
        """Transfers the ledgers before the duty is released.

        If the successor does not respond, it waits as after a failure.
        """
        _, allocator = self.allocators.get(part, (None, None))
        if allocator is None or self.active_allocator(part) is not allocator:
            return
        asked = self.handover_requests[part] = asyncio.Event()
        end = self.clock.now() + HANDOVER_TIMEOUT_S
        while not asked.is_set() and self.clock.now() < end:
            self.send(heir, HandoverOffer(part, allocator.fence))
            try:
                async with asyncio.timeout(HANDOVER_RETRY_INTERVAL_S):
                    await asked.wait()
            except TimeoutError:
                continue
        del self.handover_requests[part]
        if asked.is_set():
            await asyncio.sleep(SNAPSHOT_DELIVERY_S)

    def _handle_handover_offer(self, route: Route, heir: HandoverOffer) -> None:
        left = self.inherited.get(heir.partition)
        if left is None or left.fence < heir.fence:
            # Snapshots are valid from the first request on, as that one may have sealed the ledgers. A later
            # time would accept them after another allocator has granted their units.
            self.inherited[heir.partition] = InheritedLedgers(heir.fence, self.clock.now())
        elif left.fence > heir.fence:
            return
        self.send(route, HandoverRequest(heir.partition, heir.fence))

    def _handle_handover_request(self, route: Route, ask: HandoverRequest) -> None:
        duty, allocator = self.allocators.get(ask.partition, (None, None))
        if (
            duty is None
            or allocator is None
            or allocator.fence != ask.fence
            or ask.partition not in self.handover_requests
        ):
            return
        for legacy in allocator.seal(self.clock.now(), ask.partition):
            self.send(route, legacy)
        self.handover_requests[ask.partition].set()

    def _handle_snapshot(self, legacy: LedgerSnapshot) -> None:
        if (left := self.inherited.get(legacy.partition)) is not None:
            left.add(self.clock.now(), legacy)

    def set_order_limits(self, limits: Mapping[str, Limit]) -> None:
        """Applies the limits of operators' orders, in addition to those of the settings."""
        self.limits = {**self.settings.allocated_limits, **limits}
        for _, allocator in self.allocators.values():
            allocator.set_limits(self.clock.now(), self.limits)

    def active_allocator(self, part: int) -> Allocator | None:
        """The allocator of a partition, while this instance holds its duty."""
        duty, allocator = self.allocators.get(part, (None, None))
        if duty is None:
            return None
        if not duty.is_still_held():
            del self.allocators[part]
            return None
        return allocator

    def handle_request(self, ask: RightsRequest) -> RightsReply | None:
        allocator = self.active_allocator(ask.partition)
        if allocator is None:
            self.counts["asked of one that does not serve"] += 1
            return None
        self.counts["asks"] += 1
        return allocator.handle_request(self.clock.now(), ask)

    def _announce_periodically(self) -> None:
        self._announce()
        self.announce_timer = asyncio.get_running_loop().call_later(
            ANNOUNCE_INTERVAL_S, self._announce_periodically
        )

    def _announce(self) -> None:
        for part in list(self.allocators):
            allocator = self.active_allocator(part)
            if allocator is not None:
                serving = AllocatorAnnouncement(part, allocator.fence, int(ANNOUNCEMENT_LIFETIME_S * 1000))
                for route in self.peer_routes():
                    self.send(route, serving)
                self.local_processes.send_to_all(serving)

    # ---- messages between instances ----

    def handle_peer_message(self, route: Route, body: Body) -> None:
        """Processes a message of another instance."""
        if isinstance(body, AllocatorAnnouncement):
            self._handle_announcement(route, body)
        elif isinstance(body, RightsReply):
            self.local_processes.send_to(body.holder, body)
        elif isinstance(body, HandoverOffer):
            self._handle_handover_offer(route, body)
        elif isinstance(body, HandoverRequest):
            self._handle_handover_request(route, body)
        elif isinstance(body, LedgerSnapshot):
            self._handle_snapshot(body)
        elif (given := self.handle_request(body)) is not None:
            self.send(route, given)

    def _handle_announcement(self, route: Route, serving: AllocatorAnnouncement) -> None:
        now = self.clock.now()
        fence, _, until = self.announced.get(serving.partition, (0, route, 0.0))
        if serving.fence < fence:
            self.counts["words of an earlier allocator"] += 1
            return
        self.announced[serving.partition] = serving.fence, route, now + serving.lifetime_ms / 1000
        self.local_processes.send_to_all(serving)

    # ---- local processes ----

    def handle_local_message(self, body: FromHolder) -> None:
        """Processes a message of a local holder: replies, or forwards it to the allocator."""
        if isinstance(body, Hello):
            return self._welcome(body.holder)
        if len(body.limit.encode()) > MAX_LIMIT_NAME_BYTES:
            self.counts["too long a name"] += 1
            return
        if (given := self.handle_request(body) if body.partition in self.allocators else None) is not None:
            return self.local_processes.send_to(body.holder, given)
        fence, route, until = self.announced.get(body.partition, (0, ("", 0), 0.0))
        if fence == body.fence and self.clock.now() < until:
            self.counts["passed on"] += 1
            self.send(route, body)

    def _welcome(self, holder: int) -> None:
        self.local_processes.send_to(holder, Welcome(self.settings.partitions, self.settings.times))
        for part in list(self.allocators):
            if allocator := self.active_allocator(part):
                self.local_processes.send_to(
                    holder, AllocatorAnnouncement(part, allocator.fence, int(ANNOUNCEMENT_LIFETIME_S * 1000))
                )
        now = self.clock.now()
        for part, (fence, _, until) in self.announced.items():
            if part not in self.allocators and now < until:
                self.local_processes.send_to(
                    holder, AllocatorAnnouncement(part, fence, int((until - now) * 1000))
                )

    # ---- reporting ----

    def report(self) -> dict[str, Any]:
        """The limits that this instance allocates, and the known allocators of all partitions."""
        now, rows, parts = self.clock.now(), [], []
        for part in range(self.settings.partitions):
            allocator = self.active_allocator(part)
            fence, route, until = self.announced.get(part, (0, ("", 0), 0.0))
            if allocator is None:
                where = route[0] if now < until else ""
                parts.append({"part": part, "fence": fence, "given_out_by": where or "nobody seen"})
                continue
            waits = [book.ready_at for book in allocator.ledgers.values()] or [allocator.ready_at]
            full = round(max(0.0, max(waits) - now), 2)
            parts.append(
                {"part": part, "fence": allocator.fence, "given_out_by": "this instance", "waits_s": full}
            )
            for name, book in allocator.ledgers.items():
                allocator.refill(now, book)
                rows.append(
                    {
                        "limit": name,
                        "rate": book.limit.rate,
                        "burst": book.limit.burst,
                        "left": round(book.level, 2),
                        "out": round(book.outstanding_units, 2),
                        "holders": len({out.holder for out in book.outstanding.values()}),
                    }
                )
        return {
            "parts": parts,
            "limits": rows,
            "beside": len(self.local_processes.worker_paths),
            "counts": dict(self.counts + self.local_processes.counters),
        }
