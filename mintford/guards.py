"""Guards of the rules: effects never repeat, refusals are true, cold backends are spared. Without state."""

from __future__ import annotations

from . import interface as api

LEASE_MS = 15_000.0  # the design's lease; a backend that is met seldom is remembered no longer
EXPIRY_MARGIN_MS = 50.0  # a request is ended this long before it expires; small beside any aim
NOT_RUN_OUTCOMES = {api.Outcome.FULL, api.Outcome.CONNECT, api.Outcome.IGNORED}
CANCELLED_OUTCOMES = {api.Outcome.TIMED_OUT, api.Outcome.CANCELLED}


def can_repeat(
    kind: api.RequestClass, first: api.BackendEntry, sent_at: float, to: api.BackendEntry, now: float
) -> bool:
    """May a request whose earliest attempt that may have run went to `first` at `sent_at` go to another now?

    Danger: an effect happening twice. Unsafe work is never sent again once it may have run, keyed work only
    inside the group that drops the repeat, and a little before that group forgets.
    """
    if kind.effect is api.Effect.SAFE or now >= get_repeat_deadline(kind, sent_at):
        return kind.effect is api.Effect.SAFE
    same_zone = first.zone == to.zone and (kind.dedup is not api.DedupScope.CELL or first.cell == to.cell)
    return kind.dedup is api.DedupScope.ALL or same_zone


def get_repeat_deadline(kind: api.RequestClass, sent_at: float) -> float:
    """Until when what may have run, first sent then, may be sent again: a little before it is forgotten."""
    left = {api.Effect.KEYED: kind.repeat_window - EXPIRY_MARGIN_MS, api.Effect.UNSAFE: 0.0}
    return sent_at + left.get(kind.effect, float("inf"))


def is_refusal_safe(kind: api.RequestClass, may_have_run: bool) -> bool:
    """Whether a refusal is true: a new try of this request would do no harm."""
    keyed_by_all = kind.effect is api.Effect.KEYED and kind.dedup is api.DedupScope.ALL
    return not may_have_run or kind.effect is api.Effect.SAFE or keyed_by_all


def compute_warmth(rules: api.SafetyRules, started: float, now: float) -> float:
    """The least part of its capacity that a backend started at that time surely has; 0 started: long ago."""
    age = (now - started) / max(1.0, rules.warmup_time) if started > 0 else 1.0
    return min(1.0, rules.start_capacity + (1 - rules.start_capacity) * age)


def compute_cold_share(rules: api.SafetyRules, warm: float) -> float:
    """The part of an even share of requests that a cold backend is sent.

    Danger: sent more than it can do by all gateways together, a cold backend falls over. Each gateway gives
    it an even part of its own requests times less than the least it can do, so that the sum over all
    gateways stays under that part of a warm one's load; twice, as one long request is much of it.
    """
    return warm * min(1.0, warm * rules.overload_multiple / 2)
