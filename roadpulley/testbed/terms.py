"""What an installation of the testbed promises: its classes, plans and rules, in the platform's own form."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from mintford import interface as api
from mintford.reading import read_class, read_plan
from roadpulley.checks import ValidationError

ZONES = ("zone-a", "zone-b")
CELL = 4  # nodes that share a block number
CLASSES: list[dict[str, Any]] = [
    {
        "name": "tile-view",
        "aim": 1500.0,
        "deadline": 4000.0,
        "effect": "pure",
        "group": "all",
        "importance": 2.0,
        "repeatWindow": 5000.0,
    },
    {
        "name": "tile-order",
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


@dataclass(frozen=True)
class Deployment:
    """What one installation offers and promises, and what its customers ask."""

    classes: list[dict[str, Any]]
    plans: list[dict[str, Any]]
    shares: dict[str, float]  # of the load, by plan
    mix: dict[str, float] = field(default_factory=dict)  # of the requests, by class; empty: as the load says
    max_request_units: int = 1
    mean_units: float = 1.0
    guess_cv: float = 0.0  # how far a guess of the units is off; 0: the request tells them truly
    reports: tuple[str, ...] = ()  # fields of the load reports in answers
    odd_reports: float = 0.0  # the share of these that are none
    marks_retries: bool = False
    prices: dict[str, float] = field(default_factory=dict)
    rules: dict[str, float] = field(default_factory=lambda: RULES)

    @property
    def keyed(self) -> frozenset[str]:
        return frozenset(c["name"] for c in self.classes if c["effect"] == "token")

    def group(self, zone: str, cell: int) -> str:
        """Which nodes drop the repeats that a node has run: those of one cell, or all."""
        by_cell = any(c.get("group") == "cell" for c in self.classes)
        return f"{zone}:{cell}" if by_cell else ""

    def settings(self, index: int, gateways: int) -> dict[str, Any]:
        """The `settings` of one gateway's LB_CONFIG."""
        raw: dict[str, Any] = {
            "az": ZONES[index % len(ZONES)],
            "groupSize": gateways,
            "selfIndex": index,
            "caps": CAPS,
            "classes": self.classes,
            "packages": self.plans,
            "familyInfo": {"mayCount": True, "countWait": 80.0, "unitsTop": self.max_request_units},
            "rules": self.rules,
        }
        if self.guess_cv:
            raw["familyInfo"]["costAfter"] = True
        if self.reports:
            raw["telemetry"] = {"how": "answers", "names": list(self.reports)}
        if self.marks_retries:
            raw["clientHabits"] = {"marksRetry": True}
        return {**raw, "prices": self.prices} if self.prices else raw


TILES = Deployment(CLASSES, PLANS, {"basic": 0.37, "business": 0.37, "enterprise": 0.26})
# Transfers of money: guessed units that answers settle, reports that may be nonsense, repeats inside a cell.
TRANSFERS = Deployment(
    [
        {"name": "quote", "aim": 1500.0, "deadline": 4000.0, "effect": "pure", "importance": 1.0},
        {"name": "book", "aim": 1200.0, "deadline": 4000.0, "effect": "token", "group": "cell",
         "importance": 3.0, "repeatWindow": 4000.0},
        {"name": "payout", "aim": 1200.0, "deadline": 4000.0, "effect": "side_effect", "importance": 3.0},
    ],
    [
        {"name": "counter", "rate": 1.6, "mostAtOnce": 16.0, "overrunCost": 0.8},
        {"name": "branch", "rate": 4.0, "mostAtOnce": 32.0, "overrunCost": 0.6, "neverOverRate": 8.0,
         "hardBurst": 64.0, "capSlack": 8.0},
        {"name": "network", "rate": 16.0, "mostAtOnce": 40.0, "overrunCost": 0.5},
    ],
    {"counter": 0.45, "branch": 0.35, "network": 0.2},
    mix={"quote": 0.59, "book": 0.21, "payout": 0.2},
    max_request_units=8,
    mean_units=2.2,
    guess_cv=0.5,
    reports=("util", "inflight", "queue"),
    odd_reports=0.05,
    marks_retries=True,
    prices={"waste": 0.16, "lateFail": 0.06, "crossZone": 0.02},
    rules={**RULES, "drainGrace": 2000.0, "fallMultiple": 3.0, "fall": 1500.0, "warmWithin": 8000.0},
)  # fmt: skip
# Where tries beyond a quota are worth more than they cost, so that ceilings are what refuses.
BEYOND = Deployment(
    CLASSES,
    [
        {"name": "firm", "rate": 4.0, "mostAtOnce": 8.0, "beyondEarns": 0.9, "overrunCost": 0.1,
         "neverOverRate": 8.0, "hardBurst": 16.0, "capSlack": 1.0},
    ],
    {"firm": 1.0},
)  # fmt: skip
DEPLOYMENTS = {"tiles": TILES, "transfers": TRANSFERS, "beyond": BEYOND}


def settings(index: int, gateways: int, deployment: str = "tiles") -> dict[str, Any]:
    return DEPLOYMENTS[deployment].settings(index, gateways)


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
        """Raises ValidationError where the settings miss what a rule needs."""
        rules = raw.get("rules") or {}
        for name in ("drainGrace", "answerSlack", "fall", "fallMultiple"):
            if not isinstance(rules.get(name), int | float):
                raise ValidationError(f"settings.rules.{name}", f"is {rules.get(name)!r}", "give a number")
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
