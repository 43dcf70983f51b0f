"""Settings like those of the users' deployments, within the ranges that their pages give."""

from __future__ import annotations

from typing import Any


def settings(classes: list[dict[str, Any]], plans: list[dict[str, Any]], **caps: Any) -> dict[str, Any]:
    """The settings of the only gateway of a small deployment."""
    return {
        "az": "hall-a",
        "areas": ["hall-a", "hall-b"],
        "selfIndex": 0,
        "groupSize": 1,
        "discovery": "push",
        "classes": classes,
        "packages": plans,
        "caps": {
            "cancelling": True,
            "connectTimeout": 250.0,
            "keepalive": 8000.0,
            "maxAttempts": 4,
            "maxOpen": 2000,
            "maxRetryAfter": 500.0,
            "maxStreams": 32,
            "mayDuplicate": False,
            "retryAfter": True,
            **caps,
        },
        "familyInfo": {"mayCount": True, "countWait": 80.0, "unitsTop": 1, "countFee": 0.01},
        "rules": {
            "answerSlack": 8.0,
            "askEvery": 10000.0,
            "drainGrace": 1000.0,
            "fall": 1000.0,
            "fallMultiple": 2.0,
            "startCapacity": 0.2,
            "warmWithin": 12000.0,
        },
        "prices": {"waste": 0.08, "lateFail": 0.03, "crossZone": 0.005},
        "telemetry": {"how": "none", "names": []},
    }


def request_class(
    name: str, aim: float, deadline: float, effect: str, worth: float, **more: Any
) -> dict[str, Any]:
    return {"name": name, "aim": aim, "deadline": deadline, "effect": effect, "importance": worth, **more}


# Wide quotas: no case is about them.
PLANS = [{"name": "basic", "rate": 500.0, "mostAtOnce": 2000.0, "overrunCost": 1.2, "worthFactor": 1.0}]


def naas_road() -> dict[str, Any]:
    classes = [
        request_class("quote", 1500.0, 4000.0, "pure", 1.0),
        request_class("book", 1200.0, 4000.0, "token", 3.0, group="cell", repeatWindow=4000.0),
        request_class("payout", 1200.0, 4000.0, "side_effect", 3.0),
    ]
    return settings(classes, PLANS, maxAttempts=6)


def quay_parcels() -> dict[str, Any]:
    classes = [
        request_class("track", 500.0, 1300.0, "pure", 1.0),
        request_class("label", 600.0, 1500.0, "token", 3.0, group="all", repeatWindow=500.0),
        request_class("dispatch", 700.0, 1600.0, "side_effect", 8.0),
    ]
    return settings(classes, PLANS, connectTimeout=200.0)


def lagos_main() -> dict[str, Any]:
    classes = [
        request_class("parcel-view", 1500.0, 4000.0, "pure", 2.0),
        request_class("search-order", 1500.0, 4000.0, "token", 6.0, group="all", repeatWindow=4000.0),
    ]
    return settings(classes, PLANS)


def alpine_tickets() -> dict[str, Any]:
    classes = [
        request_class("seat-plan", 900.0, 2500.0, "pure", 1.0),
        request_class("hold", 1400.0, 3500.0, "token", 4.0, group="zone", repeatWindow=1200.0),
        request_class("pay", 2500.0, 6000.0, "side_effect", 12.0),
    ]
    return settings(classes, PLANS)
