"""The book on disk: versions in the project's store, and the feed beside it."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from roadpulley.checks import ValidationError
from roadpulley.store import ConflictError, Record, Store

from . import feed, records
from .book import Book, Stale, Version
from .reserve import Bounds, Desk, No, Reservation


class Shelf:
    """One process at a time has it (`roadpulley.store.LockedError`). A version that was given back is on
    disk.
    """

    def __init__(
        self, store: Store, feed_file: Path, now: Callable[[], int], pool: float = 0.0, shows: bool = True
    ) -> None:
        """`pool`: units a second that may be promised on top of plans, all customers together.

        `shows`: whether each change is published at once; False where another process does that.
        """
        self.shows = shows
        self.store, self.feed_file, self.now, self.book = store, feed_file, now, Book()
        for prefix in records.PREFIXES:
            for record in store.scan(prefix):
                self.book.take(records.load(record.key, record.value))
        self.desk = Desk(pool, self.bounds)
        for record in store.scan(records.RESERVED):
            self.desk.take(records.load_reservation(record.key, record.value))
        self.desk.expire(now())

    def bounds(self, customer: str, since: int) -> Bounds:
        """What a customer's plan gives from a time on."""
        times = [since, *self.book.edges(customer, since)]
        return tuple((at, self.book.holding(customer, "", at).terms) for at in times)

    def reserve(self, r: Reservation) -> Reservation | No:
        """Promise it, on disk and to the gateways, or say why not. Asked again, it gives the same promise."""
        answer = self.desk.ask(self.now(), r)
        if isinstance(answer, No) or r.id in self.desk.by_id:
            return answer
        return self._promise(answer, None)

    def cancel(self, id: str) -> Reservation:
        known = self.store.entry(records.reservation_key(id))
        return self._promise(self.desk.cancel(self.now(), id), known)

    def _promise(self, r: Reservation, known: Record | None) -> Reservation:
        try:
            expect = (
                known.version if known else 0
            )  # Danger: an id that was used before would be promised twice
            self.store.put(records.reservation_key(r.id), records.dump_reservation(r), expect=expect)
        except ConflictError as error:
            raise ValidationError("id", f"{r.id!r} is another reservation's", "give each its own") from error
        self.desk.take(r)
        self._show()
        return r

    def write(self, version: Version) -> Version:
        """To the store, to the book, to the gateways, in that order. Raises Stale, StoreError, OSError."""
        at = records.key(version)
        expect = 0  # Danger: a version that another process made would be written over
        if version.called_off:
            known = self.store.entry(at)
            if known is None or known.value != records.dump(replace(version, called_off=0)):
                raise Stale(version.subject, version.number)
            expect = known.version
        try:
            self.store.put(at, records.dump(version), expect=expect)
        except ConflictError as error:
            raise Stale(version.subject, version.number) from error
        self.book.take(version)
        self._show()
        return version

    def _show(self) -> None:
        if self.shows:
            self.publish()

    def publish(self, fence: int | None = None) -> feed.Document:
        """Replace the feed whole; `fence`: of the holding that does it, else the one that the feed has.

        Danger: a gateway that met half a document would drop the terms of the rest; a rename shows it the old
        one or the new. It comes after the store is synced: what gateways go by is never lost with the disk.
        """
        standing = self._standing()
        if fence is None:
            fence = standing.fence if standing else 0
        doc = feed.document(self.book, self.now(), self.store.version, self.desk.on_top, fence)
        data = feed.dump(doc)
        part = self.feed_file.with_name(self.feed_file.name + ".part")
        with part.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        part.replace(self.feed_file)
        return doc

    def behind(self, fence: int) -> bool:
        """Whether the feed lacks something of the book, was published by another, or holds what is over."""
        standing = self._standing()
        if standing is None or standing.seq < self.store.version or standing.fence != fence:
            return True
        lists = (*standing.plans.values(), *standing.customers.values())
        return any(len(rows) > 1 and rows[1].holds_from <= self.now() for rows in lists)

    def _standing(self) -> feed.Document | None:
        """The feed as it is, None where there is none that can be read."""
        try:
            return feed.load(self.feed_file.read_bytes())
        except (OSError, ValidationError):
            return None

    def mend(self) -> bool:
        """Publish where the feed is behind the store: a crash came between the two. Gives whether it was."""
        standing = self._standing()
        behind = standing is None or standing.seq < self.store.version
        if behind:
            self.publish()
        return behind
