"""The plan catalog and the reservations on disk, in a store, and the publication of the feed."""

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
        """Load all records. Raises ValidationError for a malformed one.

        `pool` is the rate in units per second that all customers together may reserve on top of their plans.
        With `publishes_on_write`, each change is published at once; otherwise another process publishes.
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
        """Return a customer's terms from a time on, each with its start."""
        times = [since, *self.catalog.get_change_times(customer, since)]
        return tuple((at, self.catalog.get_effective_terms(customer, "", at).terms) for at in times)

    def reserve(self, r: Reservation) -> Reservation | Rejection:
        """Write and publish a reservation, or return why it is rejected. Repeats return the same reservation.

        Raises ValidationError, StoreError and OSError.
        """
        answer = self.reservations.admit(self.now(), r)
        if isinstance(answer, Rejection) or r.id in self.reservations.by_id:
            return answer
        return self._write_reservation(answer, None)

    def cancel(self, id: str) -> Reservation:
        """Cancel a reservation from now on. Raises ValidationError, StoreError and OSError."""
        known = self.store.entry(records.build_reservation_key(id))
        return self._write_reservation(self.reservations.cancel(self.now(), id), known)

    def _write_reservation(self, r: Reservation, known: Record | None) -> Reservation:
        try:
            # Without the expected version, an id that was used before would be granted a second time.
            expect = known.version if known else 0
            self.store.put(records.build_reservation_key(r.id), records.dump_reservation(r), expect=expect)
        except ConflictError as error:
            raise ValidationError("id", f"{r.id!r} is another reservation's", "give each its own") from error
        self.reservations.apply(r)
        self._publish_if_enabled()
        return r

    def write(self, version: Version) -> Version:
        """Write a version to the store, apply it to the catalog and publish the feed, in this order.

        Raises VersionConflictError, StoreError and OSError.
        """
        at = records.build_key(version)
        # Without the expected version, the write could overwrite a version that another process created.
        expect = 0
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
        """Replace the feed. `fence` is the fence of the publishing duty; None keeps that of the current feed.

        A gateway that read a partly written document would drop the terms that are missing from it. The
        rename makes either the old or the new document visible. The feed is published after the store is
        synced, so that gateways never apply a version that a crash removes from the store.
        """
        current = self._read_feed()
        if fence is None:
            fence = current.fence if current else 0
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
        """Return whether the feed is older than the store, has another fence, or has superseded entries."""
        current = self._read_feed()
        if current is None or current.seq < self.store.version or current.fence != fence:
            return True
        lists = (*current.plans.values(), *current.customers.values())
        return any(len(rows) > 1 and rows[1].effective_from <= self.now() for rows in lists)

    def _read_feed(self) -> feed.Document | None:
        """Return the current feed, None if it is missing or malformed."""
        try:
            return feed.load(self.feed_file.read_bytes())
        except (OSError, ValidationError):
            return None

    def publish_if_behind(self) -> bool:
        """Publish if the feed is older than the store, and return whether it was.

        A crash between the write to the store and the publication leaves such a feed.
        """
        current = self._read_feed()
        behind = current is None or current.seq < self.store.version
        if behind:
            self.publish()
        return behind
