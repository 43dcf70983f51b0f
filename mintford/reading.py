"""Reads a deployment's settings of a gateway. The simulator's wire and the socket program share this reader.

Unknown keys are ignored, and a missing key means that the deployment lacks the feature. Values that can't be
read raise ValueError, TypeError or KeyError. `roadpulley check` finds them beforehand and names the key.
"""

from __future__ import annotations

from typing import Any

from . import interface as api

# The fields of a load report, by their names in the simulator's pages and on this wire.
REPORT_FIELDS = {
    "inflight": "inflight", "busy_reqs": "inflight",
    "queue": "queue", "pending": "queue",
    "util": "util", "cpu_share": "util",
    "latency_ms": "latency_ms", "svc_ms": "latency_ms",
    "qps": "qps", "served_ps": "qps",
    "eps": "eps", "failed_ps": "eps",
}  # fmt: skip


def read_settings(raw: dict[str, Any]) -> api.Settings:
    """Read all settings of a gateway. Raises ValueError, TypeError or KeyError."""
    caps, info, rules = raw.get("caps") or {}, raw.get("familyInfo") or {}, raw.get("rules") or {}
    return api.Settings(
        index=int(raw.get("selfIndex") or 0),
        gateways=int(raw.get("groupSize") or 1),
        zone=str(raw.get("az") or ""),
        classes=tuple(read_class(c) for c in raw.get("classes") or ()),
        plans=tuple(read_plan(p) for p in raw.get("packages") or ()),
        rules=api.SafetyRules(
            drain_grace=float(rules.get("drainGrace") or 0),
            start_capacity=float(rules.get("startCapacity") or 0),
            warmup_time=float(rules.get("warmWithin") or 0),
            overload_multiple=float(rules.get("fallMultiple") or 0),
        ),
        max_attempts=int(caps.get("maxAttempts") or 1),
        may_duplicate=bool(caps.get("mayDuplicate")),
        can_cancel=bool(caps.get("cancelling")),
        has_counter=bool(info.get("mayCount")),
        must_subscribe_backends=raw.get("discovery") == "ask",
        max_retry_after=float(caps.get("maxRetryAfter") or 0),
        counter_timeout=float(info.get("countWait") or 0),
        max_request_units=float(info.get("unitsTop") or 1),
        rights_ratio=float(raw.get("rights") or 0),
        capabilities=read_capabilities(raw),
    )


def read_class(raw: dict[str, Any]) -> api.RequestClass:
    """Read a class of requests. Without a latency target its deadline is the target."""
    return api.RequestClass(
        name=str(raw["name"]),
        latency_target=float(raw.get("aim") or raw["deadline"]),
        deadline=float(raw["deadline"]),
        importance=float(raw.get("importance") or 0),
        effect=api.Effect(raw["effect"]),
        dedup=api.DedupScope(raw.get("group") or "all"),
        repeat_window=float(raw.get("repeatWindow") or 0),
    )


def read_plan(raw: dict[str, Any]) -> api.Plan:
    """Read a plan. Limits that are missing are 0, which means none."""
    return api.Plan(
        name=str(raw["name"]),
        rate=float(raw.get("rate") or 0),
        burst=float(raw.get("mostAtOnce") or 0),
        open_limit=int(raw.get("open") or 0),
        overage_earnings=float(raw.get("beyondEarns") or 0),
        overage_cost=float(raw.get("overrunCost") or 0),
        ceiling_rate=float(raw.get("neverOverRate") or 0),
        ceiling_burst=float(raw.get("hardBurst") or 0),
        price_factor=float(raw.get("worthFactor") or 1),
    )


def read_capabilities(raw: dict[str, Any]) -> api.Capabilities:
    """Read the optional features and the prices of a deployment."""
    caps, info, prices = raw.get("caps") or {}, raw.get("familyInfo") or {}, raw.get("prices") or {}
    telemetry, habits = raw.get("telemetry") or {}, raw.get("clientHabits") or {}
    channel = str(telemetry.get("how") or "none")
    names = () if channel == "none" else tuple(telemetry.get("names") or ())
    return api.Capabilities(
        load_reports=channel if names else "none",
        report_fields=tuple(REPORT_FIELDS[name] for name in names if name in REPORT_FIELDS),
        allows_probes=bool(caps.get("probes")),
        settles_units=bool(info.get("costAfter")),
        marks_retries=bool(habits.get("marksRetry")),
        price_waste=float(prices.get("waste") or 0),
        price_late=float(prices.get("lateFail") or 0),
        price_crossing=float(prices.get("crossZone") or 0),
        price_probe=float(prices.get("probe") or 0),
        price_count=float(info.get("countFee") or 0),
        worst_class_weight=read_worst_class(raw.get("goal") or {}),
    )


def read_worst_class(goal: dict[str, Any]) -> float:
    """Return the weight of the class with the worst result among all parts of the goal, 0 without a goal."""
    parts = [float(goal.get(name) or 0) for name in ("worstClass", "whole", "worstTenant", "worstWindow")]
    return parts[0] / sum(parts) if parts[0] > 0 else 0.0


def describe_settings(settings: api.Settings) -> list[str]:
    """Describe the features and rules of a deployment for its operators, one line each."""
    features, plans = settings.capabilities, settings.plans
    limited_plans = [p.name for p in plans if p.ceiling_rate], [p.name for p in plans if p.open_limit]
    keyed = [f"{c.name} (by {c.dedup.value}, {c.repeat_window:g} ms)" for c in settings.classes
             if c.effect is api.Effect.KEYED]  # fmt: skip
    return [
        f"gateway {settings.index} of {settings.gateways}, zone {settings.zone or 'not told'}",
        f"load reports: {features.load_reports}"
        + (f" ({', '.join(features.report_fields)})" if features.report_fields else ""),
        f"probes: {f'allowed, {features.price_probe:g} each' if features.allows_probes else 'not allowed'}",
        f"units: {'a guess, settled by the answer' if features.settles_units else 'as the request says'},"
        f" {settings.max_request_units:g} at most",
        "counter: "
        f"{f'yes, {features.price_count:g} for one call a request' if settings.has_counter else 'none'}",
        f"retries of clients: {'marked' if features.marks_retries else 'not marked'}; told to come back after"
        f" {settings.max_retry_after:g} ms at most",
        f"attempts: {settings.max_attempts} at most, {'two' if settings.may_duplicate else 'one'} at a time,"
        f" {'may' if settings.can_cancel else 'may not'} be called off",
        f"repeated only inside a group: {', '.join(keyed) or 'no class'}",
        f"hard ceilings: {', '.join(limited_plans[0]) or 'no plan'};"
        f" limits on open attempts: {', '.join(limited_plans[1]) or 'no plan'}",
        f"prices: waste {features.price_waste:g}, late failures {features.price_late:g},"
        f" crossing zones {features.price_crossing:g}",
        f"the class that fares worst decides {features.worst_class_weight:.0%} of the result",
    ]
