"""Validates a gateway's configuration before any of it is applied. Errors name the key and a valid value.

`roadpulley check` and a reload by SIGHUP reject an invalid configuration. At the start there is no previous
configuration to keep: values that can't be parsed end the process, and other invalid values are only logged.
"""

from __future__ import annotations

from typing import Any

from mintford import interface as api
from mintford.reading import REPORT_FIELDS
from roadpulley.checks import Table, ValidationError, format_key, format_value

from .discovery import BACKEND_STATES
from .settings import parse_address

MAX_NESTING_DEPTH = 12  # of tables within tables


def validate_gateway_config(raw: object) -> Table:
    """Validates a configuration. Returns its table, so that the caller can reject unknown keys.

    Raises ValidationError.
    """
    table = Table(raw)
    table.read_text("name", "")
    table.read_text("seed", "0")
    for key in ("listen", "discovery", "counter", "admin"):
        validate_address(table, key, required=key not in ("counter", "admin"))
    limits = table.read_table("limits")
    limits.read_number("cores", 1.0, 0.01)
    limits.read_int("memory_mb", 64, 16)
    limits.read_int("sockets", 1024, 64)
    limits.reject_unknown_keys()
    validate_saved_hosts(table.read_table("known"))
    if not table.has("settings"):
        raise ValidationError("settings", "is missing", "give the table of classes, packages and rules")
    validate_settings(table.read_table("settings"))
    return table


def validate_address(table: Table, key: str, required: bool = True) -> None:
    """Validates a HOST:PORT value. Raises ValidationError."""
    text = table.read_text(key, *(() if required else ("",)))
    if not text and not required:
        return
    try:
        _, port = parse_address(text)
        is_valid = 0 <= port <= 65535
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValidationError(table.path_of(key), f"is {text!r}", "give HOST:PORT, such as 127.0.0.1:6379")


def validate_saved_hosts(known: Table) -> None:
    """Validates the saved list of backends. Raises ValidationError."""
    known.read_int("seq", 0)
    known.read_value("whole", True, "give true or false")
    for host in known.read_tables("hosts"):
        host.read_text("host")
        host.read_text("health", ..., BACKEND_STATES)
        validate_address(host, "dial")
        host.read_number("born_ms", 0.0, 0)


def validate_settings(table: Table) -> None:
    """Validates the settings that a gateway reads; the platform's settings contain more.

    Raises ValidationError.
    """
    gateways = table.read_int("groupSize", 1, 1)
    table.read_int("selfIndex", 0, 0, gateways - 1)
    caps = table.read_table("caps")
    caps.read_int("maxAttempts", 1, 1, 100)
    caps.read_int("maxOpen", 10_000, 1)
    caps.read_number("connectTimeout", 250.0, 1)
    caps.read_number("keepalive", 15_000.0, 1)
    rules = table.read_table("rules")
    for key in ("drainGrace", "startCapacity", "warmWithin", "fallMultiple"):
        rules.read_number(key, 0.0, 0)
    info = table.read_table("familyInfo")
    info.read_number("countWait", 0.0, 0)
    info.read_number("unitsTop", 1.0, 0.001)
    info.read_number("countFee", 0.0, 0)
    validate_prices_and_telemetry(table)
    classes, plans = table.read_tables("classes"), table.read_tables("packages")
    for class_table in classes:
        validate_request_class(class_table)
    for plan_table in plans:
        plan_table.read_text("name")
        for key in (
            "rate",
            "mostAtOnce",
            "beyondEarns",
            "overrunCost",
            "neverOverRate",
            "hardBurst",
            "capSlack",
        ):
            plan_table.read_number(key, 0.0, 0)
        plan_table.read_int("open", 0)
    for key, tables in (("classes", classes), ("packages", plans)):
        require_unique_names(table.path_of(key), [item.raw["name"] for item in tables])


def validate_prices_and_telemetry(table: Table) -> None:
    """Validates the prices and the load reports of the deployment. Raises ValidationError."""
    prices, telemetry = table.read_table("prices"), table.read_table("telemetry")
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


def validate_request_class(table: Table) -> None:
    """Validates one class of requests. Raises ValidationError."""
    table.read_text("name")
    deadline = table.read_number("deadline", ..., 1, 3_600_000)
    table.read_number("aim", deadline, 1, deadline)
    table.read_text("effect", ..., [e.value for e in api.Effect])
    table.read_text("group", "all", [g.value for g in api.DedupScope])
    table.read_number("repeatWindow", 0.0, 0)
    table.read_number("importance", 0.0, 0)


def require_unique_names(path: str, names: list[str]) -> None:
    """Raises ValidationError for an empty list, or for a name that occurs twice."""
    if not names:
        raise ValidationError(path, "is empty", "give one at least")
    duplicate = next((name for name in names if names.count(name) > 1), None)
    if duplicate is not None:
        raise ValidationError(path, f"names {duplicate!r} twice", "give each name once")


# ---- comparison with the current configuration ----


def require_existing_keys(new: Any, current: Any, path: str = "settings", depth: int = 0) -> None:
    """Raises ValidationError for a key that the current settings have and the new ones lack.

    A file without such a key was truncated or is being edited, and a default in place of the value would
    change a rule unnoticed. Each table of an array (classes, packages) needs the keys that all its current
    tables have.
    """
    if depth > MAX_NESTING_DEPTH or not isinstance(current, dict):
        return
    if not isinstance(new, dict):
        raise ValidationError(path, f"is {format_value(new)}", "give a table")
    for key, current_value in current.items():
        at = f"{path}.{format_key(key)}"
        if key not in new:
            raise ValidationError(
                at,
                "is missing",
                f"give it, as in the current configuration ({format_value(current_value)})",
            )
        if (
            isinstance(current_value, list)
            and current_value
            and all(isinstance(item, dict) for item in current_value)
        ):
            required = dict.fromkeys(set.intersection(*(set(item) for item in current_value)))
            for index, item in enumerate(new[key] if isinstance(new[key], list) else ()):
                require_existing_keys(item, required, f"{at}[{index}]", depth + 1)
        else:
            require_existing_keys(new[key], current_value, at, depth + 1)
