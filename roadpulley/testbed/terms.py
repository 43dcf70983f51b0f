"""What an installation of the testbed promises: its classes, plans and rules, in the platform's own form."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from mintford import interface as api
from mintford.reading import read_class, read_plan
from roadpulley.checks import Bad

ZONES = ("hall-a", "hall-b")
CELL = 4  # nodes that share a block number
CLASSES: list[dict[str, Any]] = [
    {
        "name": "parcel-view",
        "aim": 1500.0,
        "deadline": 4000.0,
        "effect": "pure",
        "group": "all",
        "importance": 2.0,
        "repeatWindow": 5000.0,
    },
    {
        "name": "search-order",
        "aim": 1500.0,
        "deadline": 4000.0,
        "effect": "token",
        "group": "all",
        "importance": 6.0,
        "repeatWindow": 4000.0,
    },
    # Not one of the users' classes: without it no test could see an effect that must never happen twice.
    {
        "name": "deed-filing",
        "aim": 1500.0,
        "deadline": 4000.0,
        "effect": "side_effect",
        "group": "all",
        "importance": 4.0,
    },
]
PLANS: list[dict[str, Any]] = [
    {"name": "basic", "rate": 1.0, "mostAtOnce": 5.0, "overrunCost": 1.2},
    {"name": "business", "rate": 2.5, "mostAtOnce": 12.0, "overrunCost": 0.5},
    {
        "name": "enterprise",
        "rate": 8.0,
        "mostAtOnce": 24.0,
        "overrunCost": 0.6,
        "neverOverRate": 16.0,
        "hardBurst": 48.0,
        "capSlack": 5.0,
    },
]
RULES: dict[str, float] = {
    "answerSlack": 8.0,
    "drainGrace": 1000.0,
    "fall": 1000.0,
    "fallMultiple": 2.0,
    "startCapacity": 0.2,
    "warmWithin": 8000.0,
}
CAPS: dict[str, Any] = {
    "cancelling": True,
    "connectTimeout": 250.0,
    "keepalive": 15000.0,
    "maxAttempts": 4,
    "maxOpen": 2000,
    "maxRetryAfter": 500.0,
    "mayDuplicate": False,
    "retryAfter": True,
}


def settings(index: int, gateways: int) -> dict[str, Any]:
    """The `settings` of one gateway's LB_CONFIG."""
    return {
        "az": ZONES[index % len(ZONES)],
        "groupSize": gateways,
        "selfIndex": index,
        "caps": CAPS,
        "classes": CLASSES,
        "packages": PLANS,
        "familyInfo": {"mayCount": True, "countWait": 80.0, "unitsTop": 1},
        "rules": RULES,
    }


@dataclass(frozen=True)
class Terms:
    """What the auditor holds an installation to. Times are milliseconds."""

    classes: dict[str, api.RequestClass]
    plans: dict[str, api.Plan]
    ceiling_slack: dict[str, float]  # units, by plan
    drain_grace: float
    answer_slack: float
    fall_ms: float
    fall_multiple: float
    may_duplicate: bool = False

    @classmethod
    def read(cls, raw: dict[str, Any]) -> Terms:
        """Raises Bad where the settings miss what a rule needs."""
        rules = raw.get("rules") or {}
        for name in ("drainGrace", "answerSlack", "fall", "fallMultiple"):
            if not isinstance(rules.get(name), int | float):
                raise Bad(f"settings.rules.{name}", f"is {rules.get(name)!r}", "give a number")
        return cls(
            classes={c["name"]: read_class(c) for c in raw["classes"]},
            plans={p["name"]: read_plan(p) for p in raw["packages"]},
            ceiling_slack={p["name"]: float(p.get("capSlack") or 0) for p in raw["packages"]},
            drain_grace=float(rules["drainGrace"]),
            answer_slack=float(rules["answerSlack"]),
            fall_ms=float(rules["fall"]),
            fall_multiple=float(rules["fallMultiple"]),
            may_duplicate=bool((raw.get("caps") or {}).get("mayDuplicate")),
        )
