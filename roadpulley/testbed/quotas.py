"""What customers were let in beside what an exact quota would have given them. No clock, no socket.

The yardstick is one bucket a customer, kept in one place without delay, before which every request that was
asked is led in its order. What many gateways or workers together give differs from it by their leases' error.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from .auditor import Bucket
from .ledger import Ledger
from .terms import Terms


@dataclass
class Use:
    """Of the customers of one plan together; units."""

    asked: float = 0.0  # first tries
    due: float = 0.0  # what an exact quota gives, further tries of the refused included
    let_in: float = 0.0  # what reached a node at all

    @property
    def share(self) -> float:
        """Of what was due; 1 where nothing was."""
        return self.let_in / self.due if self.due else 1.0


def uses(ledger: Ledger, terms: Terms, since: float = 0.0) -> dict[str, Use]:
    """By plan, of the requests that were first asked `since` milliseconds after the load began, or later.

    Buckets are filled from the beginning, so that a stretch does not begin with a burst that was used up.
    """
    made = {name: Use() for name in terms.plans}
    reached = {attempt.id for attempt in ledger.attempts if attempt.last_at is not None}
    buckets: dict[str, Bucket] = {}
    done: dict[str, set[str]] = defaultdict(set)  # requests that were due, and let in
    first: dict[str, float] = {}
    for ask in sorted(ledger.asks, key=lambda a: a.sent_at):
        plan = terms.plans[ask.plan]
        counts = first.setdefault(ask.root, ask.sent_at) >= ledger.begun_at + since
        use = made[ask.plan] if counts else Use()
        if ask.id == ask.root:
            use.asked += ask.units
        if ask.root not in done["due"]:
            bucket = buckets.get(ask.customer)
            if bucket is None:
                bucket = buckets[ask.customer] = Bucket(plan.rate, plan.burst, ledger.begun_at)
            if not plan.rate or bucket.fill(ask.sent_at) >= ask.units:
                bucket.level -= ask.units
                done["due"].add(ask.root)
                use.due += ask.units
        if ask.id in reached and ask.root not in done["let in"]:
            done["let in"].add(ask.root)
            use.let_in += ask.units
    return made
