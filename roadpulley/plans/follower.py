"""One gateway follows the feed: documents and the time go in, events for the module come out. Pure."""

from __future__ import annotations

import heapq
import math

from mintford import interface as api

from .feed import Document, Entry


class Follower:
    """`base`: the deployment's own plans, by name; what the feed does not know of stays as they say."""

    def __init__(self, base_plans: dict[str, api.Plan]) -> None:
        self.base = base_plans
        self.document = Document(0, 0, {}, {})
        self.last_sent: dict[tuple[str, str], api.Plan | None] = {}  # what the module was told last
        self.active_entries: dict[tuple[str, str], Entry] = {}
        self.pending: list[tuple[int, str, str, int]] = []  # when, kind, whose, which entry

    def apply(self, now: int, doc: Document) -> list[api.PlanChanged]:
        """A new document. One with a lower `seq` is passed over: a store that was restored knows less.

        Danger: going back to it would take back an upgrade that a customer was told of and pays for. One with
        a lower fence is of a holder that stood still, and wrote after the one that followed it.
        """
        if doc.seq < self.document.seq or doc.fence < self.document.fence:
            return []
        self.document, self.pending = doc, []
        out: list[api.PlanChanged] = []
        for kind, table in (("plan", doc.plans), ("customer", doc.customers)):
            for name, entries in table.items():
                self._advance_entry(now, kind, name, entries, 0, out)
        known = {("plan", name) for name in doc.plans} | {("customer", name) for name in doc.customers}
        for kind, name in [each for each in self.last_sent if each not in known]:
            self._emit_change(kind, name, None, out)  # in the feed no more
        return out

    def advance(self, now: int) -> list[api.PlanChanged]:
        """What has begun since; call it at `next_at`."""
        out: list[api.PlanChanged] = []
        while self.pending and self.pending[0][0] <= now:
            _, kind, name, number = heapq.heappop(self.pending)
            table = self.document.plans if kind == "plan" else self.document.customers
            self._advance_entry(now, kind, name, table[name], number, out)
        return out

    def get_next_change_ms(self) -> float:
        return self.pending[0][0] if self.pending else math.inf

    def get_versions(self, customer: str, named: str) -> tuple[str, int, int]:
        """Plan, its version and the override that a try is counted under; 0: the deployment's settings."""
        entry = self.active_entries.get(("customer", customer)) or self.active_entries.get(("plan", named))
        return (entry.plan, entry.version, entry.override) if entry else (named, 0, 0)

    # ---- inside ----

    def _advance_entry(
        self,
        now: int,
        kind: str,
        name: str,
        entries: tuple[Entry, ...],
        number: int,
        out: list[api.PlanChanged],
    ) -> None:
        """From an entry to the last that holds by now, and await the next."""
        while number + 1 < len(entries) and entries[number + 1].effective_from <= now:
            number += 1
        entry = entries[number]
        if entry.effective_from <= now:
            self._emit_change(kind, name, entry, out)
            number += 1
        if number < len(entries):
            heapq.heappush(self.pending, (entries[number].effective_from, kind, name, number))

    def _emit_change(self, kind: str, name: str, entry: Entry | None, out: list[api.PlanChanged]) -> None:
        plan = None
        if entry is not None and entry.terms is not None:
            self.active_entries[kind, name] = entry
        else:
            self.active_entries.pop((kind, name), None)
        if entry is not None and entry.terms is not None:
            called = name if kind == "plan" else entry.plan
            plan = entry.terms.to_decision_plan(self.base.get(called) or api.Plan(called))
        elif kind == "plan":
            plan = self.base.get(name) or api.Plan(name)
        if (kind, name) in self.last_sent and self.last_sent[kind, name] == plan:
            return
        self.last_sent[kind, name] = plan
        if entry is None:
            del self.last_sent[kind, name]
        out.append(api.PlanChanged(plan, name if kind == "customer" else ""))
