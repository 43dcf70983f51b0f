"""Judges a gateway's configuration before anything of it is taken: the bad key, and what would be right.

At `roadpulley check` and at SIGHUP what is bad is refused. At the start there is no other one to go by:
what can't be read ends the process with these words, and what is odd is said and served with.
"""

from __future__ import annotations

from typing import Any

from mintford import interface as api
from mintford.reading import REPORT_FIELDS
from roadpulley.checks import Table, ValidationError, format_value

from .discovery import BACKEND_STATES
from .settings import parse_address

MAX_NESTING_DEPTH = 12  # levels of tables within tables


def validate_gateway_config(raw: object) -> Table:
    """Judge what a gateway is told; gives the table, for the caller to ask what else is in it.

    Raises ValidationError.
    """
    top = Table(raw)
    top.read_text("name", "")
    top.read_text("seed", "0")
    for key in ("listen", "discovery", "counter", "admin"):
        validate_address(top, key, required=key not in ("counter", "admin"))
    limits = top.read_table("limits")
    limits.read_number("cores", 1.0, 0.01)
    limits.read_int("memory_mb", 64, 16)
    limits.read_int("sockets", 1024, 64)
    limits.reject_unknown_keys()
    validate_saved_hosts(top.read_table("known"))
    if not top.has("settings"):
        raise ValidationError("settings", "is missing", "give the table of classes, packages and rules")
    validate_settings(top.read_table("settings"))
    return top


def validate_address(t: Table, key: str, required: bool = True) -> None:
    text = t.read_text(key, *(() if required else ("",)))
    if not text and not required:
        return
    try:
        _, port = parse_address(text)
        good = 0 <= port <= 65535
    except ValueError:
        good = False
    if not good:
        raise ValidationError(t.path_of(key), f"is {text!r}", "give HOST:PORT, such as 127.0.0.1:6379")


def validate_saved_hosts(known: Table) -> None:
    known.read_int("seq", 0)
    known.read_value("whole", True, "give true or false")
    for host in known.read_tables("hosts"):
        host.read_text("host")
        host.read_text("health", ..., BACKEND_STATES)
        validate_address(host, "dial")
        host.read_number("born_ms", 0.0, 0)


def validate_settings(t: Table) -> None:
    """Only what a gateway reads is judged: the platform's settings hold more."""
    gateways = t.read_int("groupSize", 1, 1)
    t.read_int("selfIndex", 0, 0, gateways - 1)
    caps = t.read_table("caps")
    caps.read_int("maxAttempts", 1, 1, 100)
    caps.read_int("maxOpen", 10_000, 1)
    caps.read_number("connectTimeout", 250.0, 1)
    caps.read_number("keepalive", 15_000.0, 1)
    rules = t.read_table("rules")
    for key in ("drainGrace", "startCapacity", "warmWithin", "fallMultiple"):
        rules.read_number(key, 0.0, 0)
    info = t.read_table("familyInfo")
    info.read_number("countWait", 0.0, 0)
    info.read_number("unitsTop", 1.0, 0.001)
    info.read_number("countFee", 0.0, 0)
    validate_prices_and_telemetry(t)
    classes, plans = t.read_tables("classes"), t.read_tables("packages")
    for kind in classes:
        validate_request_class(kind)
    for plan in plans:
        plan.read_text("name")
        for key in (
            "rate",
            "mostAtOnce",
            "beyondEarns",
            "overrunCost",
            "neverOverRate",
            "hardBurst",
            "capSlack",
        ):
            plan.read_number(key, 0.0, 0)
        plan.read_int("open", 0)
    for key, tables in (("classes", classes), ("packages", plans)):
        require_unique_names(t.path_of(key), [each.raw["name"] for each in tables])


def validate_prices_and_telemetry(t: Table) -> None:
    """What the deployment tells and charges beyond its rules."""
    prices, telemetry = t.read_table("prices"), t.read_table("telemetry")
    for key in ("waste", "lateFail", "crossZone", "probe"):
        prices.read_number(key, 0.0, 0)
    how = telemetry.read_text("how", "none", ("answers", "probe", "none"))
    names = telemetry.read_value("names", [], "give a list of names")
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ValidationError(
            telemetry.path_of("names"), f"is {names!r}", f"give a list of {', '.join(REPORT_FIELDS)}"
        )
    if how != "none" and not names:
        raise ValidationError(
            telemetry.path_of("names"), "is empty", "name what the reports hold, or say how = none"
        )


def validate_request_class(t: Table) -> None:
    t.read_text("name")
    deadline = t.read_number("deadline", ..., 1, 3_600_000)
    t.read_number("aim", deadline, 1, deadline)
    t.read_text("effect", ..., [e.value for e in api.Effect])
    t.read_text("group", "all", [g.value for g in api.DedupScope])
    t.read_number("repeatWindow", 0.0, 0)
    t.read_number("importance", 0.0, 0)


def require_unique_names(path: str, names: list[str]) -> None:
    if not names:
        raise ValidationError(path, "is empty", "give one at least")
    twice = next((name for name in names if names.count(name) > 1), None)
    if twice is not None:
        raise ValidationError(path, f"names {twice!r} twice", "give each name once")


# ---- beside the configuration that stands ----


def require_existing_keys(new: Any, standing: Any, path: str = "settings", level: int = 0) -> None:
    """Raises ValidationError for a key that the standing settings have and the new ones lack.

    What a deployment tells is known from what it has told: a file that is short of a key is cut or half
    edited, and a default in its place would change a rule unseen. Of tables in an array (classes, packages),
    each needs the keys that all the standing ones have.
    """
    if level > MAX_NESTING_DEPTH or not isinstance(standing, dict):
        return
    if not isinstance(new, dict):
        raise ValidationError(path, f"is {format_value(new)}", "give a table")
    for key, old in standing.items():
        at = f"{path}.{key}"
        if key not in new:
            raise ValidationError(
                at, "is missing", f"give it, as in the configuration that stands ({format_value(old)})"
            )
        if isinstance(old, list) and old and all(isinstance(each, dict) for each in old):
            needed = dict.fromkeys(set.intersection(*(set(each) for each in old)))
            for number, each in enumerate(new[key] if isinstance(new[key], list) else ()):
                require_existing_keys(each, needed, f"{at}[{number}]", level + 1)
        else:
            require_existing_keys(new[key], old, at, level + 1)
