"""Turns documents of the feed into plan changes for the decision module of one gateway. Pure."""

from __future__ import annotations

import heapq
import math

from mintford import interface as api

from .feed import Document, Entry


class Follower:
    """Tracks which entries of the feed are effective.

    `base_plans` are the deployment's plans by name. They apply to everything that the feed doesn't contain.
    """

    def __init__(self, base_plans: dict[str, api.Plan]) -> None:
        self.deployment_plans = base_plans
        self.document = Document(0, 0, {}, {})
        # The last plans sent to the decision module, by kind ("plan" or "customer") and name.
        self.last_sent: dict[tuple[str, str], api.Plan | None] = {}
        self.active_entries: dict[tuple[str, str], Entry] = {}
        # A heap of scheduled entries: start, kind, name, index of the entry.
        self.pending: list[tuple[int, str, str, int]] = []

    def apply(self, now: int, new_document: Document) -> list[api.PlanChanged]:
        """Apply a new document and return the changes. One with a lower `seq` or fence is ignored.

        A lower `seq` comes from a store that was restored from a backup. Going back to it would revoke an
        upgrade that was confirmed to a customer who pays for it. A lower fence comes from a publisher that
        was paused and wrote after its successor.
        """
        if new_document.seq < self.document.seq or new_document.fence < self.document.fence:
            return []
        self.document, self.pending = new_document, []
        out: list[api.PlanChanged] = []
        for kind, table in (("plan", new_document.plans), ("customer", new_document.customers)):
            for name, entries in table.items():
                self._advance_entry(now, kind, name, entries, 0, out)
        known = {("plan", name) for name in new_document.plans} | {
            ("customer", name) for name in new_document.customers
        }
        for kind, name in [each for each in self.last_sent if each not in known]:
            self._emit_change(kind, name, None, out)  # no longer in the feed
        return out

    def advance(self, now: int) -> list[api.PlanChanged]:
        """Return the changes that are due; call it at the time of `get_next_change_ms`."""
        out: list[api.PlanChanged] = []
        while self.pending and self.pending[0][0] <= now:
            _, kind, name, number = heapq.heappop(self.pending)
            table = self.document.plans if kind == "plan" else self.document.customers
            self._advance_entry(now, kind, name, table[name], number, out)
        return out

    def get_next_change_ms(self) -> float:
        """Return the time of the next scheduled change, infinity if there is none."""
        return self.pending[0][0] if self.pending else math.inf

    def get_versions(self, customer: str, named: str) -> tuple[str, int, int]:
        """Return the plan, its version and the override under which a try is billed.

        The numbers are 0 if the deployment's settings apply.
        """
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
        """Move from entry `number` to the last effective one, and schedule the next."""
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
            plan_name = name if kind == "plan" else entry.plan
            plan = entry.terms.to_decision_plan(self.deployment_plans.get(plan_name) or api.Plan(plan_name))
        elif kind == "plan":
            plan = self.deployment_plans.get(name) or api.Plan(name)
        if (kind, name) in self.last_sent and self.last_sent[kind, name] == plan:
            return
        self.last_sent[kind, name] = plan
        if entry is None:
            del self.last_sent[kind, name]
        out.append(api.PlanChanged(plan, name if kind == "customer" else ""))
