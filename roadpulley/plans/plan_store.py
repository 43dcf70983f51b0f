"""The book on disk: versions in the project's store, and the feed beside it."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from roadpulley.checks import ValidationError
from roadpulley.store import ConflictError, Record, Store

from . import feed, records
from .catalog import PlanCatalog, Version, VersionConflictError
from .reservations import Rejection, Reservation, ReservationLedger, TermsTimeline


class PlanStore:
    """Stores plan versions and reservations, and publishes the feed.

    Only one process at a time can open the store (see `roadpulley.store.LockedError`). A version or
    reservation that a method returned is on disk.
    """

    def __init__(
        self,
        store: Store,
        feed_file: Path,
        now: Callable[[], int],
        pool: float = 0.0,
        publishes_on_write: bool = True,
    ) -> None:
        """`pool`: units a second that may be promised on top of plans, all customers together.

        `shows`: whether each change is published at once; False where another process does that.
        """
        self.publishes_on_write = publishes_on_write
        self.store, self.feed_file, self.now, self.catalog = store, feed_file, now, PlanCatalog()
        for prefix in records.VERSION_PREFIXES:
            for record in store.scan(prefix):
                self.catalog.apply(records.load(record.key, record.value))
        self.reservations = ReservationLedger(pool, self.get_terms_timeline)
        for record in store.scan(records.RESERVATION_PREFIX):
            self.reservations.apply(records.load_reservation(record.key, record.value))
        self.reservations.expire(now())

    def get_terms_timeline(self, customer: str, since: int) -> TermsTimeline:
        """What a customer's plan gives from a time on."""
        times = [since, *self.catalog.get_change_times(customer, since)]
        return tuple((at, self.catalog.get_effective_terms(customer, "", at).terms) for at in times)

    def reserve(self, r: Reservation) -> Reservation | Rejection:
        """Promise it, on disk and to the gateways, or say why not. Asked again, it gives the same promise."""
        answer = self.reservations.admit(self.now(), r)
        if isinstance(answer, Rejection) or r.id in self.reservations.by_id:
            return answer
        return self._write_reservation(answer, None)

    def cancel(self, id: str) -> Reservation:
        known = self.store.entry(records.build_reservation_key(id))
        return self._write_reservation(self.reservations.cancel(self.now(), id), known)

    def _write_reservation(self, r: Reservation, known: Record | None) -> Reservation:
        try:
            expect = (
                known.version if known else 0
            )  # Danger: an id that was used before would be promised twice
            self.store.put(records.build_reservation_key(r.id), records.dump_reservation(r), expect=expect)
        except ConflictError as error:
            raise ValidationError("id", f"{r.id!r} is another reservation's", "give each its own") from error
        self.reservations.apply(r)
        self._publish_if_enabled()
        return r

    def write(self, version: Version) -> Version:
        """To the store, to the book, to the gateways, in that order. Raises Stale, StoreError, OSError."""
        at = records.build_key(version)
        expect = 0  # Danger: a version that another process made would be written over
        if version.cancelled_at:
            known = self.store.entry(at)
            if known is None or known.value != records.dump(replace(version, cancelled_at=0)):
                raise VersionConflictError(version.subject, version.number)
            expect = known.version
        try:
            self.store.put(at, records.dump(version), expect=expect)
        except ConflictError as error:
            raise VersionConflictError(version.subject, version.number) from error
        self.catalog.apply(version)
        self._publish_if_enabled()
        return version

    def _publish_if_enabled(self) -> None:
        if self.publishes_on_write:
            self.publish()

    def publish(self, fence: int | None = None) -> feed.Document:
        """Replace the feed whole; `fence`: of the holding that does it, else the one that the feed has.

        Danger: a gateway that met half a document would drop the terms of the rest; a rename shows it the old
        one or the new. It comes after the store is synced: what gateways go by is never lost with the disk.
        """
        standing = self._read_feed()
        if fence is None:
            fence = standing.fence if standing else 0
        doc = feed.build_document(
            self.catalog, self.now(), self.store.version, self.reservations.get_on_top_rates, fence
        )
        data = feed.dump(doc)
        part = self.feed_file.with_name(self.feed_file.name + ".part")
        with part.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        part.replace(self.feed_file)
        return doc

    def needs_publishing(self, fence: int) -> bool:
        """Whether the feed lacks something of the book, was published by another, or holds what is over."""
        standing = self._read_feed()
        if standing is None or standing.seq < self.store.version or standing.fence != fence:
            return True
        lists = (*standing.plans.values(), *standing.customers.values())
        return any(len(rows) > 1 and rows[1].effective_from <= self.now() for rows in lists)

    def _read_feed(self) -> feed.Document | None:
        """The feed as it is, None where there is none that can be read."""
        try:
            return feed.load(self.feed_file.read_bytes())
        except (OSError, ValidationError):
            return None

    def publish_if_behind(self) -> bool:
        """Publish where the feed is behind the store: a crash came between the two. Gives whether it was."""
        standing = self._read_feed()
        behind = standing is None or standing.seq < self.store.version
        if behind:
            self.publish()
        return behind
