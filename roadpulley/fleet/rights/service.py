"""Runs the allocators of one instance, and forwards requests for other partitions to their allocators.

An instance keeps no state for the local holders: a right concerns a holder and an allocator only. If the
instance fails, its local holders can spend their rights until these expire.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import structlog

from roadpulley.fleet.clock import Clock
from roadpulley.fleet.duties.terms import LeaseTimes, MonotonicTime
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
ANNOUNCEMENT_LIFETIME_S = 1.0
HANDOVER_RETRY_INTERVAL_S = 0.05  # between two offers
HANDOVER_TIMEOUT_S = 0.3  # the duty is then released without a handover
SNAPSHOT_DELIVERY_S = 0.05  # time for the snapshots to arrive before the duty is released

log = structlog.get_logger("roadpulley.fleet.rights")


@dataclass
class Handover:
    """A partition whose ledgers are offered to the candidates for its duty."""

    candidates: Sequence[Route]
    requested_by: dict[int, str] = field(default_factory=dict)  # addresses by boot
    requested: asyncio.Event = field(default_factory=asyncio.Event)  # by all candidates

    def remaining_candidates(self) -> list[Route]:
        """The candidates that have not requested the ledgers yet."""
        return [(address, boot) for address, boot in self.candidates if boot not in self.requested_by]

    def add_request(self, route: Route) -> None:
        """Records that a candidate has requested the ledgers, and gets them."""
        address, boot = route
        self.requested_by[boot] = address
        if not self.remaining_candidates():
            self.requested.set()


class RightsService:
    """`send` sends a message to another instance; `peer_routes` returns the routes to all others.

    `call_in_loop` runs a function in the event loop; it may be called from any thread.
    """

    def __init__(
        self,
        settings: RightsSettings,
        lease_times: LeaseTimes,
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
        # By partition: fence, route and expiry of the announced allocator.
        self.announced: dict[int, tuple[int, Route, MonotonicTime]] = {}
        self.counts: Counter[str] = Counter()
        self.announce_timer: asyncio.TimerHandle | None = None
        self.handovers: dict[int, Handover] = {}  # by partition, while it is handed over
        self.inherited: dict[int, InheritedLedgers] = {}
        # Later a voter could have forgotten a holding in between, and have voted for this one.
        self.max_inherited_age_s = lease_times.min_silence
        self.limits: dict[str, Limit] = dict(settings.allocated_limits)
        for work in works.values():
            if isinstance(work, AllocatorWork):
                work.on_start = self._on_duty_started

    # ---- lifecycle ----

    def open(self) -> None:
        """Starts the periodic announcements."""
        self._announce_periodically()

    def close(self) -> None:
        """Stops the periodic announcements."""
        if self.announce_timer is not None:
            self.announce_timer.cancel()

    # ---- allocation ----

    def _on_duty_started(self, partition: int, duty: HeldDuty) -> None:
        """Called in the thread of the duty's work."""
        self.call_in_loop(lambda: self._start_allocator(partition, duty))

    def _start_allocator(self, partition: int, duty: HeldDuty) -> None:
        # The waiting period for the rights of earlier allocators starts here. It would be too short if one of
        # them could still grant rights, so this may run only after the duty has been acquired.
        now, inherited_ledgers = self.clock.now(), self.inherited.pop(partition, None)
        snapshots = (
            inherited_ledgers.usable_snapshots(now, duty.fence, duty.previous_fence, self.max_inherited_age_s)
            if inherited_ledgers is not None
            else {}
        )
        allocator = Allocator(duty.fence, now, self.limits, self.settings.times, self.rng, snapshots)
        self.allocators[partition] = duty, allocator
        log.info("gives out rights", part=partition, fence=duty.fence, books=len(snapshots))
        self._announce()

    # ---- handover ----

    async def hand_over(self, partition: int, candidates: Sequence[Route]) -> None:
        """Transfers the ledgers to all candidates for the duty, as any may acquire it once it is released.

        A successor that has not requested them waits as after a failure.
        """
        allocator = self.active_allocator(partition)
        if allocator is None or not candidates:
            return
        handover = self.handovers[partition] = Handover(candidates)
        deadline = self.clock.now() + HANDOVER_TIMEOUT_S
        while not handover.requested.is_set() and self.clock.now() < deadline:
            for route in handover.remaining_candidates():
                self.send(route, HandoverOffer(partition, allocator.fence))
            try:
                async with asyncio.timeout(HANDOVER_RETRY_INTERVAL_S):
                    await handover.requested.wait()
            except TimeoutError:
                continue
        del self.handovers[partition]
        addresses = sorted(handover.requested_by.values())
        log.info("offered the ledgers", part=partition, offered=len(candidates), requested_by=addresses)
        if handover.requested_by:
            await asyncio.sleep(SNAPSHOT_DELIVERY_S)

    def _handle_handover_offer(self, route: Route, offer: HandoverOffer) -> None:
        inherited_ledgers = self.inherited.get(offer.partition)
        if inherited_ledgers is None or inherited_ledgers.fence < offer.fence:
            # Snapshots are valid from the first request on, as that one may have sealed the ledgers. A later
            # time would accept them after another allocator has granted their units.
            self.inherited[offer.partition] = InheritedLedgers(offer.fence, self.clock.now())
        elif inherited_ledgers.fence > offer.fence:
            return
        self.send(route, HandoverRequest(offer.partition, offer.fence))

    def _handle_handover_request(self, route: Route, request: HandoverRequest) -> None:
        # After its holding has expired another allocator may have granted units: no snapshot is sent then.
        allocator = self.active_allocator(request.partition)
        handover = self.handovers.get(request.partition)
        if allocator is None or allocator.fence != request.fence or handover is None:
            return
        for snapshot in allocator.seal(self.clock.now(), request.partition):
            self.send(route, snapshot)
        handover.add_request(route)

    def _handle_snapshot(self, snapshot: LedgerSnapshot) -> None:
        if (inherited_ledgers := self.inherited.get(snapshot.partition)) is not None:
            inherited_ledgers.add(self.clock.now(), snapshot)

    def set_order_limits(self, limits: Mapping[str, Limit]) -> None:
        """Applies the limits of operators' orders, in addition to those of the settings."""
        self.limits = {**self.settings.allocated_limits, **limits}
        for _, allocator in self.allocators.values():
            allocator.set_limits(self.clock.now(), self.limits)

    def active_allocator(self, partition: int) -> Allocator | None:
        """The allocator of a partition, while this instance holds its duty."""
        duty, allocator = self.allocators.get(partition, (None, None))
        if duty is None:
            return None
        if not duty.is_still_held():
            del self.allocators[partition]
            return None
        return allocator

    def handle_request(self, request: RightsRequest) -> RightsReply | None:
        """The reply to a request; None if this instance is not the allocator, or there is no reply."""
        allocator = self.active_allocator(request.partition)
        if allocator is None:
            self.counts["asked of one that does not serve"] += 1
            return None
        self.counts["asks"] += 1
        return allocator.handle_request(self.clock.now(), request)

    def _announce_periodically(self) -> None:
        self._announce()
        self.announce_timer = asyncio.get_running_loop().call_later(
            ANNOUNCE_INTERVAL_S, self._announce_periodically
        )

    def _announce(self) -> None:
        for partition in list(self.allocators):
            allocator = self.active_allocator(partition)
            if allocator is not None:
                announcement = AllocatorAnnouncement(
                    partition, allocator.fence, int(ANNOUNCEMENT_LIFETIME_S * 1000)
                )
                for route in self.peer_routes():
                    self.send(route, announcement)
                self.local_processes.send_to_all(announcement)

    # ---- messages between instances ----

    def handle_peer_message(self, route: Route, message: Body) -> None:
        """Processes a message of another instance."""
        if isinstance(message, AllocatorAnnouncement):
            self._handle_announcement(route, message)
        elif isinstance(message, RightsReply):
            self.local_processes.send_to(message.holder, message)
        elif isinstance(message, HandoverOffer):
            self._handle_handover_offer(route, message)
        elif isinstance(message, HandoverRequest):
            self._handle_handover_request(route, message)
        elif isinstance(message, LedgerSnapshot):
            self._handle_snapshot(message)
        elif (reply := self.handle_request(message)) is not None:
            self.send(route, reply)

    def _handle_announcement(self, route: Route, announcement: AllocatorAnnouncement) -> None:
        now = self.clock.now()
        fence, _, expires_at = self.announced.get(announcement.partition, (0, route, 0.0))
        if announcement.fence < fence:
            self.counts["words of an earlier allocator"] += 1
            return
        self.announced[announcement.partition] = (
            announcement.fence,
            route,
            now + announcement.lifetime_ms / 1000,
        )
        self.local_processes.send_to_all(announcement)

    # ---- local processes ----

    def handle_local_message(self, message: FromHolder) -> None:
        """Processes a message of a local holder: replies, or forwards it to the allocator."""
        if isinstance(message, Hello):
            return self._welcome(message.holder)
        if len(message.limit.encode()) > MAX_LIMIT_NAME_BYTES:
            self.counts["too long a name"] += 1
            return
        if (
            reply := self.handle_request(message) if message.partition in self.allocators else None
        ) is not None:
            return self.local_processes.send_to(message.holder, reply)
        fence, route, expires_at = self.announced.get(message.partition, (0, ("", 0), 0.0))
        if fence == message.fence and self.clock.now() < expires_at:
            self.counts["passed on"] += 1
            self.send(route, message)

    def _welcome(self, holder: int) -> None:
        self.local_processes.send_to(holder, Welcome(self.settings.partitions, self.settings.times))
        for partition in list(self.allocators):
            if allocator := self.active_allocator(partition):
                self.local_processes.send_to(
                    holder,
                    AllocatorAnnouncement(partition, allocator.fence, int(ANNOUNCEMENT_LIFETIME_S * 1000)),
                )
        now = self.clock.now()
        for partition, (fence, _, expires_at) in self.announced.items():
            if partition not in self.allocators and now < expires_at:
                self.local_processes.send_to(
                    holder, AllocatorAnnouncement(partition, fence, int((expires_at - now) * 1000))
                )

    # ---- reporting ----

    def report(self) -> dict[str, Any]:
        """The limits that this instance allocates, and the known allocators of all partitions."""
        now, rows, partition_rows = self.clock.now(), [], []
        for partition in range(self.settings.partitions):
            allocator = self.active_allocator(partition)
            fence, route, expires_at = self.announced.get(partition, (0, ("", 0), 0.0))
            if allocator is None:
                address = route[0] if now < expires_at else ""
                partition_rows.append(
                    {"part": partition, "fence": fence, "given_out_by": address or "nobody seen"}
                )
                continue
            waits = [ledger.ready_at for ledger in allocator.ledgers.values()] or [allocator.ready_at]
            wait_s = round(max(0.0, max(waits) - now), 2)
            partition_rows.append(
                {
                    "part": partition,
                    "fence": allocator.fence,
                    "given_out_by": "this instance",
                    "waits_s": wait_s,
                }
            )
            for name, ledger in allocator.ledgers.items():
                allocator.refill(now, ledger)
                rows.append(
                    {
                        "limit": name,
                        "rate": ledger.limit.rate,
                        "burst": ledger.limit.burst,
                        "left": round(ledger.level, 2),
                        "out": round(ledger.outstanding_units, 2),
                        "holders": len({right.holder for right in ledger.outstanding.values()}),
                    }
                )
        return {
            "parts": partition_rows,
            "limits": rows,
            "beside": len(self.local_processes.worker_paths),
            "counts": dict(self.counts + self.local_processes.counters),
        }
