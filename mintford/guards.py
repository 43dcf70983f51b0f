"""Stateless checks of the rules: effects never repeat, refusals do no harm, cold backends are spared."""

from __future__ import annotations

from . import interface as api

LEASE_MS = 15_000.0  # length of a quota lease, and the longest decay time of a backend's health marks
EXPIRY_MARGIN_MS = 50.0  # a request gets its final answer this long before it expires
NOT_RUN_OUTCOMES = {api.Outcome.FULL, api.Outcome.CONNECT, api.Outcome.IGNORED}
CANCELLED_OUTCOMES = {api.Outcome.TIMED_OUT, api.Outcome.CANCELLED}


def can_repeat(
    kind: api.RequestClass, first: api.BackendEntry, sent_at: float, to: api.BackendEntry, now: float
) -> bool:
    """Whether a request may be sent to `to`, as its earliest attempt that may have run went to `first` then.

    Without this check an effect could happen twice. An unsafe request is never sent again once it may have
    run. A keyed one is sent again only to backends that drop the repeat, and only until shortly before they
    forget the first attempt.
    """
    if kind.effect is api.Effect.SAFE or now >= get_repeat_deadline(kind, sent_at):
        return kind.effect is api.Effect.SAFE
    same_zone = first.zone == to.zone and (kind.dedup is not api.DedupScope.CELL or first.cell == to.cell)
    return kind.dedup is api.DedupScope.ALL or same_zone


def get_repeat_deadline(kind: api.RequestClass, sent_at: float) -> float:
    """Until when a request that may have run, first sent at that time, may be sent again.

    For a keyed request this is a margin before the backends forget it.
    """
    remaining = {api.Effect.KEYED: kind.repeat_window - EXPIRY_MARGIN_MS, api.Effect.UNSAFE: 0.0}
    return sent_at + remaining.get(kind.effect, float("inf"))


def is_refusal_safe(kind: api.RequestClass, may_have_run: bool) -> bool:
    """Whether this request may be refused, because a new try of it would do no harm."""
    keyed_by_all = kind.effect is api.Effect.KEYED and kind.dedup is api.DedupScope.ALL
    return not may_have_run or kind.effect is api.Effect.SAFE or keyed_by_all


def compute_warmth(rules: api.SafetyRules, started: float, now: float) -> float:
    """The ratio of its full capacity that a backend started at that time is sure to have.

    A start time of 0 means long ago.
    """
    age = max(0.0, now - started) / max(1.0, rules.warmup_time) if started > 0 else 1.0
    return min(1.0, rules.start_capacity + (1 - rules.start_capacity) * age)


def compute_cold_share(rules: api.SafetyRules, warm: float) -> float:
    """The ratio of an even share of requests that a cold backend receives.

    A cold backend collapses if all gateways together send more than it can process. So each gateway sends it
    an even share of its own requests, multiplied by less than the backend's least capacity. The sum over all
    gateways then stays below that ratio of a warm backend's load. Warmth is a factor twice, because one long
    request is a large part of a cold backend's load.
    """
    return warm * min(1.0, warm * rules.overload_multiple / 2)
