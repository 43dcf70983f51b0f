"""One gateway follows the feed: documents and the time go in, events for the module come out. Pure."""

from __future__ import annotations

import heapq
import math

from mintford import interface as api

from .feed import Document, Entry


class Follower:
    """`base`: the deployment's own plans, by name; what the feed does not know of stays as they say."""

    def __init__(self, base: dict[str, api.Plan]) -> None:
        self.base = base
        self.doc = Document(0, 0, {}, {})
        self.given: dict[tuple[str, str], api.Plan | None] = {}  # what the module was told last
        self.holds: dict[tuple[str, str], Entry] = {}
        self.due: list[tuple[int, str, str, int]] = []  # when, kind, whose, which entry

    def take(self, now: int, doc: Document) -> list[api.PlanChanged]:
        """A new document. One with a lower `seq` is passed over: a store that was restored knows less.

        Danger: going back to it would take back an upgrade that a customer was told of and pays for. One with
        a lower fence is of a holder that stood still, and wrote after the one that followed it.
        """
        if doc.seq < self.doc.seq or doc.fence < self.doc.fence:
            return []
        self.doc, self.due = doc, []
        out: list[api.PlanChanged] = []
        for kind, table in (("plan", doc.plans), ("customer", doc.customers)):
            for name, entries in table.items():
                self._go_on(now, kind, name, entries, 0, out)
        known = {("plan", name) for name in doc.plans} | {("customer", name) for name in doc.customers}
        for kind, name in [each for each in self.given if each not in known]:
            self._tell(kind, name, None, out)  # in the feed no more
        return out

    def tick(self, now: int) -> list[api.PlanChanged]:
        """What has begun since; call it at `next_at`."""
        out: list[api.PlanChanged] = []
        while self.due and self.due[0][0] <= now:
            _, kind, name, number = heapq.heappop(self.due)
            table = self.doc.plans if kind == "plan" else self.doc.customers
            self._go_on(now, kind, name, table[name], number, out)
        return out

    def next_at(self) -> float:
        return self.due[0][0] if self.due else math.inf

    def versions(self, customer: str, named: str) -> tuple[str, int, int]:
        """Plan, its version and the override that a try is counted under; 0: the deployment's settings."""
        entry = self.holds.get(("customer", customer)) or self.holds.get(("plan", named))
        return (entry.plan, entry.version, entry.override) if entry else (named, 0, 0)

    # ---- inside ----

    def _go_on(
        self,
        now: int,
        kind: str,
        name: str,
        entries: tuple[Entry, ...],
        number: int,
        out: list[api.PlanChanged],
    ) -> None:
        """From an entry to the last that holds by now, and await the next."""
        while number + 1 < len(entries) and entries[number + 1].holds_from <= now:
            number += 1
        entry = entries[number]
        if entry.holds_from <= now:
            self._tell(kind, name, entry, out)
            number += 1
        if number < len(entries):
            heapq.heappush(self.due, (entries[number].holds_from, kind, name, number))

    def _tell(self, kind: str, name: str, entry: Entry | None, out: list[api.PlanChanged]) -> None:
        plan = None
        if entry is not None and entry.terms is not None:
            self.holds[kind, name] = entry
        else:
            self.holds.pop((kind, name), None)
        if entry is not None and entry.terms is not None:
            called = name if kind == "plan" else entry.plan
            plan = entry.terms.plan(self.base.get(called) or api.Plan(called))
        elif kind == "plan":
            plan = self.base.get(name) or api.Plan(name)
        if (kind, name) in self.given and self.given[kind, name] == plan:
            return
        self.given[kind, name] = plan
        if entry is None:
            del self.given[kind, name]
        out.append(api.PlanChanged(plan, name if kind == "customer" else ""))
