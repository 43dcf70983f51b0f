"""Says from the ledgers which rules held, with figures. No clock, no socket, no file.

The five rules are those that every gateway is held to; `protocol` is a sixth: nobody sent what the protocol
pages don't allow. Every time limit is wider by the time for which the gateway or the machine demonstrably
stood still, and a request on a link that the timeline disturbed is not held against the gateway: it is
counted as excused instead.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from mintford import interface as api

from .answers import PARTIAL_ANSWER
from .ledger import MACHINE, MIN_NEW_CONNECTION_MS, Attempt, BackendNotice, ClientRequest, Ledger
from .terms import Terms

SOCKET_MS = 50.0  # each time limit is this much longer on sockets
CEILING_MS = 150.0  # the slack of a ceiling is wider by what its rate gives in this time
TOLD_MS = 6_000.0  # what discovery has to tell counts as told after this, whether or not it arrived
TO_BLAME = 2 / 3  # of the work that felled a cold node must come from gateways that were told of its start
COLD_SLACK = 4.0  # requests of mean work over the budget of a cold node: chance
LATE_MS = 100.0  # the machine stood still for this long in all: the run was late
# A process ends at most this long after the end of its last connection, which this process may see late.
PROCESS_END_MS = 1_000.0
SHOWN = 12  # breaches that are kept in words; all are counted


@dataclass
class Rule:
    """One rule of a verdict: its breaches in words, and its figures."""

    name: str
    breaches: int = 0
    words: list[str] = field(default_factory=list)  # of the first breaches
    figures: dict[str, float] = field(default_factory=dict)

    @property
    def ok(self) -> bool:
        """Whether the rule holds."""
        return not self.breaches

    def breach(self, words: str) -> None:
        """Add a breach."""
        self.breaches += 1
        if len(self.words) < SHOWN:
            self.words.append(words)

    def to_json(self) -> dict[str, Any]:
        """The rule as `roadpulley dev --ledger` writes it."""
        return {"ok": self.ok, "breaches": self.breaches, "words": self.words, **self.figures}


@dataclass
class Verdict:
    """All rules, and for how long the machine stood still."""

    rules: dict[str, Rule]
    late_ms: float  # for which the machine stood still

    @property
    def ok(self) -> bool:
        """Whether all rules hold."""
        return all(rule.ok for rule in self.rules.values())

    @property
    def late(self) -> bool:
        """Whether the machine stood still for so long that the run was late."""
        return self.late_ms >= LATE_MS

    def lines(self) -> Iterable[str]:
        """The verdict in words."""
        for rule in self.rules.values():
            figures = ", ".join(f"{name} {value:g}" for name, value in rule.figures.items())
            yield f"{'held  ' if rule.ok else 'BROKEN'} {rule.name:<9} {figures}"
            yield from (f"         {words}" for words in rule.words)
        if self.late:
            yield (
                f"late: the machine stood still for {self.late_ms:.0f} ms; time limits were widened by that, "
                "and no gateway is blamed for it"
            )


class Bucket:
    """An exact store of units: starts full, fills at a rate a second, holds its burst at most."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst, self.level, self.at = rate, burst, burst, now

    def fill(self, now: float) -> float:
        self.level = min(self.burst, self.level + max(0.0, now - self.at) / 1000 * self.rate)
        self.at = max(self.at, now)
        return self.level


class Case:
    """The ledgers, sorted for questions."""

    def __init__(self, ledger: Ledger, terms: Terms) -> None:
        self.ledger, self.terms = ledger, terms
        self.by_id: dict[str, list[Attempt]] = defaultdict(list)  # those that came whole, in their order
        for attempt in ledger.attempts:
            if attempt.last_at is not None:
                self.by_id[attempt.id].append(attempt)
        for attempts in self.by_id.values():
            attempts.sort(key=came)
        self.told: dict[tuple[str, str], list[BackendNotice]] = defaultdict(list)
        for told in sorted(ledger.told, key=self.told_at):
            self.told[told.gateway, told.node].append(told)

    def told_at(self, told: BackendNotice) -> float:
        """When it counts as told: at once, or, on a disturbed link, at the latest moment that counts."""
        link = f"{told.gateway}>discovery"
        return told.at + TOLD_MS if self.ledger.disturbed(link, told.at, told.at + TOLD_MS) else told.at

    def last_told(self, gateway: str, node: str, before: float) -> BackendNotice | None:
        """The last notice on a node that a gateway was given before a time."""
        found = None
        for told in self.told[gateway, node]:
            if self.told_at(told) > before:
                break
            found = told
        return found


def came(attempt: Attempt) -> float:
    """When the last byte of an attempt came to its node."""
    assert attempt.last_at is not None
    return attempt.last_at


def sent(attempt: Attempt) -> float:
    """When its gateway had sent it. A link that is cut may deliver it much later."""
    return attempt.departed_at if attempt.departed_at is not None else came(attempt)


def may_have_run(attempt: Attempt) -> bool:
    """Whether the node may have run it: all but those that it turned away."""
    return attempt.how != "busy"


# ---- rule 1: every request answered, once, in time, with what was made for it ----


def answered(case: Case, rule: Rule) -> None:
    """Each request has one whole answer in time, made for it."""
    made = {(a.node, a.serial): a.id for a in case.ledger.attempts if a.serial}
    ends = [judge_request(case, rule, ask, made) for ask in case.ledger.asks]
    for odd in case.ledger.oddities:
        if odd.link.startswith("clients>") and not case.ledger.disturbed(odd.link, odd.at, odd.at):
            rule.breach(f"{odd.link}: {odd.what}")
    rule.figures.update(
        asked=len(ends),
        late=ends.count("late"),
        lost=ends.count("lost"),
        excused=ends.count("excused"),
        pending=ends.count("pending"),
        undelivered=sum(ask.how == "undelivered" for ask in case.ledger.asks),
        over_deadline_ms=max((over_deadline_ms(ask) for ask in case.ledger.asks), default=0.0),
    )


def over_deadline_ms(ask: ClientRequest) -> float:
    """By how much the answer was later than the client had said that it waits; 0 if it was not."""
    if ask.answered_at is None or ask.how not in ("served", "refused", "failed"):
        return 0.0
    return max(0.0, ask.answered_at - ask.sent_at - ask.wait)


def judge_request(case: Case, rule: Rule, ask: ClientRequest, made: dict[tuple[str, int], str]) -> str:
    """How a request counts: held, late, lost, excused or pending. Late and lost ones are breaches.

    `made` has the id of the request for which a node made each value.
    """
    ledger = case.ledger
    if ask.how in ("unreachable", "left"):
        return "held"
    if ask.how == "undelivered":
        if not was_closed_early(ledger, ask):
            return "held"
        rule.breach(f"{ask.id} at {ask.gateway}: its new connection was closed after {ask.unused_ms:.0f} ms")
        return "lost"
    allowed_ms = ask.wait + case.terms.answer_slack + SOCKET_MS
    limit = ledger.due_at(ask.gateway, ask.sent_at + ask.held_ms, allowed_ms)
    wrong = fault_of(case, ask, limit, made)
    if ask.how == "open" and limit > ledger.closed_at:
        return "pending"  # nobody looked until its time was up
    if not wrong:
        return "held"
    # A connection of a gateway that is dead by now may still be written to for a moment.
    was_killed = ledger.killed(ask.gateway, ask.sent_at - SOCKET_MS, limit)
    if was_killed or ledger.disturbed(f"clients>{ask.gateway}", ask.sent_at, limit):
        return "excused"
    rule.breach(f"{ask.id} at {ask.gateway}: {wrong}")
    return "late" if wrong.startswith("late") else "lost"


def was_closed_early(ledger: Ledger, ask: ClientRequest) -> bool:
    """Whether a gateway that serves on closed a new connection sooner than its client could have used it."""
    if ask.unused_ms >= MIN_NEW_CONNECTION_MS or ask.answered_at is None:
        return False
    since, until = ask.answered_at - PROCESS_END_MS, ask.answered_at + PROCESS_END_MS
    has_ended = ledger.finished(ask.gateway, since, until) or ledger.killed(ask.gateway, since, until)
    return not has_ended and not ledger.disturbed(f"clients>{ask.gateway}", ask.sent_at, ask.answered_at)


def fault_of(case: Case, ask: ClientRequest, limit: float, made: dict[tuple[str, int], str]) -> str:
    """What is wrong with the end of a request, in words; empty if nothing is."""
    if ask.crossed_at is not None:
        by = [a for a in case.by_id.get(ask.id, ()) if a.gateway == ask.crossed_by]
        if any(came(a) < ask.crossed_at for a in by):
            return "its connection was closed though the request had been read and sent on"
    if ask.how == "open":
        return "never answered"
    if ask.note == PARTIAL_ANSWER and any(a.how == "broken" for a in case.by_id.get(ask.id, ())):
        return (
            ""  # a node broke this value off, and its client can tell; what is behind it has no such excuse
        )
    if ask.how in ("lost", "spoilt"):
        return ask.note or "its connection ended without a whole answer"
    written_at = ask.relayed_at if ask.relayed_at is not None else ask.answered_at
    if written_at is not None and written_at > limit:
        return f"late by {written_at - limit:.0f} ms"
    if ask.how == "served" and made.get((ask.node, ask.serial)) != ask.id:
        return f"served with value {ask.serial} of {ask.node or '?'}, which was not made for it"
    return ""


# ---- rule 2: effects never repeat ----


def effects(case: Case, rule: Rule) -> None:
    """No effect happens twice, and no attempt is made that its class forbids."""
    repeats = overlaps = refusals = twice = 0
    for id, attempts in case.by_id.items():
        kind = case.terms.classes.get(attempts[0].kind)
        if kind is None:
            continue
        runs = sum(a.ran for a in attempts)
        if kind.effect is not api.Effect.SAFE and runs > 1:
            twice += 1
            rule.breach(f"{id} ({kind.name}): its effect happened {runs} times")
        in_order = sorted(attempts, key=sent)
        for number, attempt in enumerate(in_order[1:], 1):
            if words := forbidden(case, kind, in_order[:number], attempt):
                repeats += 1
                rule.breach(f"{id} ({kind.name}): {words}")
        for number, attempt in enumerate(attempts[1:], 1):
            earlier = attempts[:number]
            if not case.terms.may_duplicate and any(still_out(case, a, attempt) for a in earlier):
                overlaps += 1
                rule.breach(f"{id} ({kind.name}): sent to {attempt.node} while an earlier attempt was out")
    for ask in case.ledger.asks:
        kind = case.terms.classes.get(ask.kind)
        if ask.how != "refused" or kind is None or ask.answered_at is None or harmless(kind):
            continue
        if any(may_have_run(a) and came(a) <= ask.answered_at for a in case.by_id.get(ask.id, ())):
            refusals += 1
            rule.breach(f"{ask.id} ({kind.name}): refused though it may have run")
    rule.figures.update(repeats=repeats, overlaps=overlaps, refusals=refusals, ran_twice=twice)


def harmless(kind: api.RequestClass) -> bool:
    """Whether a request may be sent again anywhere at any time."""
    by_all = kind.effect is api.Effect.KEYED and kind.dedup is api.DedupScope.ALL
    return kind.effect is api.Effect.SAFE or by_all


def forbidden(case: Case, kind: api.RequestClass, earlier: list[Attempt], attempt: Attempt) -> str:
    """What the rule on repeats has against an attempt, in words; `earlier`: those sent before it."""
    ran = [a for a in earlier if may_have_run(a)]
    if not ran or kind.effect is api.Effect.SAFE:
        return ""
    if kind.effect is api.Effect.UNSAFE:
        return f"sent again to {attempt.node} though {ran[0].node} may have run it"
    first = ran[0]
    window = kind.repeat_window + SOCKET_MS
    window += case.ledger.paused(attempt.gateway, sent(first), sent(attempt))
    # The window counts between the sends: a gateway can't call back what a link has taken and holds up.
    if sent(attempt) - sent(first) > window:
        return f"sent again {sent(attempt) - sent(first):.0f} ms after the first, past the window"
    places = {s.node: (s.zone, s.cell) for s in case.ledger.started}
    one, other = places.get(first.node, ("", 0)), places.get(attempt.node, ("", 0))
    apart = one[0] != other[0] or (kind.dedup is api.DedupScope.CELL and one[1] != other[1])
    if kind.dedup is not api.DedupScope.ALL and apart:
        return f"sent again to {attempt.node}, outside the group of {first.node} that drops repeats"
    return ""


def still_out(case: Case, earlier: Attempt, later: Attempt) -> bool:
    """Whether an earlier attempt was out when a later one came."""
    if later.gone_at is not None and later.gone_at <= came(later):
        return False  # a link held it up until its gateway had given it up: it was never out
    ends = [at for at in (earlier.ended_at, earlier.gone_at) if at is not None]
    slack = SOCKET_MS + case.ledger.paused(later.gateway, came(earlier), came(later))
    return not ends or min(ends) > came(later) + slack


# ---- rule 3: drains honoured ----


def drains(case: Case, rule: Rule) -> None:
    """No attempt begins at a node later than the grace after its gateway was told that it drains."""
    judged, worst, excused = 0, 0.0, 0
    for attempt in case.ledger.attempts:
        told = case.last_told(attempt.gateway, attempt.node, attempt.first_at)
        if told is None or told.health == "up":
            continue
        judged += 1
        at = case.told_at(told)
        grace = case.terms.drain_grace + SOCKET_MS + case.ledger.paused(attempt.gateway, at, attempt.first_at)
        worst = max(worst, attempt.first_at - at)
        if attempt.first_at - at <= grace:
            continue
        link = f"{attempt.gateway}>{attempt.node}"
        if case.ledger.disturbed(link, at + case.terms.drain_grace, attempt.first_at):
            excused += 1  # the link may have held it up
            continue
        rule.breach(
            f"{attempt.id}: {attempt.gateway} began to send to {attempt.node} {attempt.first_at - at:.0f} ms "
            f"after it was told that it is {told.health}"
        )
    rule.figures.update(sent_after_told=judged, latest_ms=worst, excused=excused)


# ---- rule 4: cold nodes spared ----


def cold(case: Case, rule: Rule) -> None:
    """Work sent to a cold node within any window stays under multiple x present capacity x window."""
    by_node: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in case.ledger.attempts:
        if attempt.last_at is not None:
            by_node[attempt.node].append(attempt)
    works = [a.work for a in case.ledger.attempts if a.work]
    slack = COLD_SLACK * sum(works) / len(works) if works else 0.0
    fullest, overdriven, judged = 0.0, 0, 0
    for node, attempts in by_node.items():
        attempts.sort(key=came)
        window: deque[Attempt] = deque()
        for attempt in attempts:
            if not attempt.cold:
                window.clear()
                continue
            judged += 1
            window.append(attempt)
            while came(window[0]) < came(attempt) - case.terms.fall_ms:
                window.popleft()
            length = case.terms.fall_ms
            length += case.ledger.paused(MACHINE, came(attempt) - length, came(attempt))
            budget = case.terms.fall_multiple * attempt.capacity * length + slack
            load = sum(a.work for a in window)
            fullest = max(fullest, load / budget)
            if load <= budget:
                continue
            overdriven += 1
            knew = sum(a.work for a in window if knows_of_start(case, a))
            if knew >= TO_BLAME * load:
                rule.breach(f"{node}: {load:.0f} ms of work within {length:.0f} ms, {budget:.0f} allowed")
                window.clear()  # one burst is one breach
    rule.figures.update(sent_cold=judged, fullest=fullest, overdriven=overdriven)


def knows_of_start(case: Case, attempt: Attempt) -> bool:
    """Whether the gateway of an attempt had been told of the start of its node."""
    starts = [s.at for s in case.ledger.started if s.node == attempt.node and s.at <= came(attempt)]
    if not starts or came(attempt) - max(starts) > TOLD_MS:
        return True
    told = case.last_told(attempt.gateway, attempt.node, came(attempt))
    return told is not None and told.born >= max(starts) - 1


# ---- rule 5: ceilings hold; and how far quotas did ----


def ceilings(case: Case, rule: Rule) -> None:
    """No customer gets more than its hard ceiling."""
    stores: dict[str, Bucket] = {}
    quotas: dict[str, Bucket] = {}
    charged: set[str] = set()
    lowest = 1.0
    inside: dict[str, float] = defaultdict(float)
    beyond: dict[str, float] = defaultdict(float)
    for now, first, settles in first_sends(case):
        plan = case.terms.plans.get(first.plan)
        if plan is None:
            continue
        begun = case.ledger.begun_at
        if settles:  # the difference, to the store that was charged; the ceiling goes by the guess
            if first.id in charged:
                quotas[first.customer].fill(now)
                quotas[first.customer].level -= settles - first.units
            continue
        if plan.rate:
            quota = quotas.setdefault(first.customer, Bucket(plan.rate, plan.burst, begun))
            if quota.fill(now) >= first.units:
                quota.level -= first.units
                charged.add(first.id)
                inside[plan.name] += first.units
            else:
                beyond[plan.name] += first.units
        if plan.ceiling_rate:
            store = stores.setdefault(first.customer, Bucket(plan.ceiling_rate, plan.ceiling_burst, begun))
            store.fill(now)
            store.level -= first.units
            lowest = min(lowest, store.level / plan.ceiling_burst)
            still = CEILING_MS + case.ledger.paused(MACHINE, now - 2 * LATE_MS, now)
            if store.level < -(case.terms.ceiling_slack[plan.name] + plan.ceiling_rate * still / 1000):
                rule.breach(f"{first.customer} ({plan.name}): its store stood at {store.level:.1f} units")
    rule.figures["lowest_store"] = lowest
    for name in case.terms.plans:
        total = inside[name] + beyond[name]
        rule.figures[f"beyond_quota_{name}"] = round(beyond[name] / total, 4) if total else 0.0


def first_sends(case: Case) -> list[tuple[float, Attempt, float]]:
    """In the order of time: the first send of each try (0), and the true units that its answer told."""
    firsts = [min(attempts, key=sent) for attempts in case.by_id.values()]
    events = [(sent(first), first, 0.0) for first in firsts]
    for attempts in case.by_id.values():
        told = next((a for a in attempts if a.cost and a.ended_at is not None), None)
        if told is not None and told.ended_at is not None:
            events.append((told.ended_at, attempts[0], told.cost))
    return sorted(events, key=lambda event: event[0])


# ---- the sixth: the protocol kept ----


def protocol(case: Case, rule: Rule) -> None:
    """No bytes that the protocol does not allow, and no process that ends uncalled."""
    seen = 0
    for odd in case.ledger.oddities:
        if odd.link.startswith("clients>"):
            continue  # the first rule's
        seen += 1
        if not case.ledger.disturbed(odd.link, odd.at, odd.at):
            rule.breach(f"{odd.link}: {odd.what}")
    for end in case.ledger.ended:
        if end.how == "crashed":
            rule.breach(f"{end.gateway}: its process ended uncalled")
    rule.figures.update(oddities=seen)


RULES: dict[str, Callable[[Case, Rule], None]] = {
    "answered": answered,
    "effects": effects,
    "drains": drains,
    "cold": cold,
    "ceilings": ceilings,
    "protocol": protocol,
}


def judge(ledger: Ledger, terms: Terms) -> Verdict:
    """The verdict on one run. `terms` must be those that its gateways ran under."""
    case, rules = Case(ledger, terms), {name: Rule(name) for name in RULES}
    for name, rule in rules.items():
        RULES[name](case, rule)
    late = ledger.paused(MACHINE, ledger.begun_at, min(ledger.closed_at, 1e18))
    return Verdict(rules, late)
