"""`roadpulley check FILE ...`: judges any configuration of this project, whichever it is."""

from __future__ import annotations

import argparse
import json
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from mintford import interface as api
from mintford.reading import FIELDS, in_words, read_settings
from roadpulley.checks import Bad, Table
from roadpulley.core.discovery import STATES
from roadpulley.core.settings import parse_address
from roadpulley.testbed import scenario

MOST_POLICY_LINES = 1_200  # that are not blank, all policy files together
SCENARIO_KEYS = {"fault", "load", "node", "counter", "discovery", "gateways", "nodes", "seconds", "about"}
DEPLOY_KEYS = {"run", "sim", "policy", "build"}


def add(commands: Any) -> None:
    parser: argparse.ArgumentParser = commands.add_parser(
        "check", help="judge a configuration file", description=__doc__
    )
    parser.add_argument("files", nargs="+", metavar="FILE")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    bad = 0
    for name in args.files:
        try:
            print(f"{name}: a good {judge(Path(name))}")
        except Bad as error:
            bad += 1
            print(f"{name}: {error}", file=sys.stderr)
    return 1 if bad else 0


def judge(path: Path) -> str:
    """What kind of file it is, in words. Raises Bad for one that is not right."""
    raw = parsed(path)
    if path.suffix == ".json":
        gateway(raw)
        offered = in_words(read_settings(raw["settings"]))
        return "configuration of a gateway\n" + "\n".join(f"    {line}" for line in offered)
    if DEPLOY_KEYS & set(raw) and not SCENARIO_KEYS & set(raw) - {"node"}:
        deploy(raw, path.resolve().parent.parent)
        return "deploy file"
    scenario.read(raw, path.stem)
    return "scenario"


def parsed(path: Path) -> Any:
    readers: dict[str, Callable[[str], Any]] = {".json": json.loads, ".toml": tomllib.loads}
    if path.suffix not in readers:
        raise Bad("", f"its name ends in {path.suffix or 'nothing'}", "give a file in .toml or .json")
    try:
        return readers[path.suffix](path.read_text())
    except OSError as error:
        raise Bad("", f"can't be read ({error.strerror})", "name a file that is there") from error
    except ValueError as error:  # both kinds of syntax errors are, and bytes that are no UTF-8
        raise Bad("", f"is no {path.suffix[1:].upper()} ({error})", "mend that place") from error


# ---- what a gateway is told ----


def gateway(raw: object) -> None:
    top = Table(raw)
    top.text("name", "")
    top.text("seed", "0")
    for key in ("listen", "discovery", "counter", "admin"):
        address(top, key, required=key not in ("counter", "admin"))
    limits = top.table("limits")
    limits.number("cores", 1.0, 0.01)
    limits.whole("memory_mb", 64, 16)
    limits.whole("sockets", 1024, 64)
    limits.done()
    hosts(top.table("known"))
    if not top.has("settings"):
        raise Bad("settings", "is missing", "give the table of classes, packages and rules")
    settings(top.table("settings"))
    top.done()


def address(t: Table, key: str, required: bool = True) -> None:
    text = t.text(key, *(() if required else ("",)))
    if not text and not required:
        return
    try:
        _, port = parse_address(text)
        good = 0 <= port <= 65535
    except ValueError:
        good = False
    if not good:
        raise Bad(t.at(key), f"is {text!r}", "give HOST:PORT, such as 127.0.0.1:6379")


def hosts(known: Table) -> None:
    known.whole("seq", 0)
    known.take("whole", True, "give true or false")
    for host in known.tables("hosts"):
        host.text("host")
        host.text("health", ..., STATES)
        address(host, "dial")
        host.number("born_ms", 0.0, 0)


def settings(t: Table) -> None:
    """Only what a gateway reads is judged: the platform's settings hold more."""
    gateways = t.whole("groupSize", 1, 1)
    t.whole("selfIndex", 0, 0, gateways - 1)
    caps = t.table("caps")
    caps.whole("maxAttempts", 1, 1, 100)
    caps.whole("maxOpen", 10_000, 1)
    caps.number("connectTimeout", 250.0, 1)
    caps.number("keepalive", 15_000.0, 1)
    rules = t.table("rules")
    for key in ("drainGrace", "startCapacity", "warmWithin", "fallMultiple"):
        rules.number(key, 0.0, 0)
    info = t.table("familyInfo")
    info.number("countWait", 0.0, 0)
    info.number("unitsTop", 1.0, 0.001)
    info.number("countFee", 0.0, 0)
    offers(t)
    classes, plans = t.tables("classes"), t.tables("packages")
    for kind in classes:
        request_class(kind)
    for plan in plans:
        plan.text("name")
        for key in (
            "rate",
            "mostAtOnce",
            "beyondEarns",
            "overrunCost",
            "neverOverRate",
            "hardBurst",
            "capSlack",
        ):
            plan.number(key, 0.0, 0)
        plan.whole("open", 0)
    for key, tables in (("classes", classes), ("packages", plans)):
        distinct(t.at(key), [each.raw["name"] for each in tables])


def offers(t: Table) -> None:
    """What the deployment tells and charges beyond its rules."""
    prices, telemetry = t.table("prices"), t.table("telemetry")
    for key in ("waste", "lateFail", "crossZone", "probe"):
        prices.number(key, 0.0, 0)
    how = telemetry.text("how", "none", ("answers", "probe", "none"))
    names = telemetry.take("names", [], "give a list of names")
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise Bad(telemetry.at("names"), f"is {names!r}", f"give a list of {', '.join(FIELDS)}")
    if how != "none" and not names:
        raise Bad(telemetry.at("names"), "is empty", "name what the reports hold, or say how = none")


def request_class(t: Table) -> None:
    t.text("name")
    deadline = t.number("deadline", ..., 1, 3_600_000)
    t.number("aim", deadline, 1, deadline)
    t.text("effect", ..., [e.value for e in api.Effect])
    t.text("group", "all", [g.value for g in api.Group])
    t.number("repeatWindow", 0.0, 0)
    t.number("importance", 0.0, 0)


def distinct(path: str, names: list[str]) -> None:
    if not names:
        raise Bad(path, "is empty", "give one at least")
    twice = next((name for name in names if names.count(name) > 1), None)
    if twice is not None:
        raise Bad(path, f"names {twice!r} twice", "give each name once")


# ---- deploy/balancer.toml ----


def deploy(raw: object, root: Path) -> None:
    top = Table(raw)
    for key in ("build", "run", "sim"):
        top.text(key)
    policy, node = top.texts("policy"), top.texts("node")
    packages = top.take("packages", [], "give a list of Debian packages")
    if not isinstance(packages, list) or not all(isinstance(p, str) for p in packages):
        raise Bad("packages", f"is {packages!r}", "give a list of Debian packages")
    top.done()
    lines = 0
    for key, names in (("policy", policy), ("node", node)):
        for number, name in enumerate(names):
            if not (root / name).exists():
                raise Bad(f"{key}[{number}]", f"is {name!r}, which is not there", f"give a path below {root}")
            if key == "policy":
                text = (root / name).read_text()
                lines += sum(1 for line in text.splitlines() if line.strip())
    if lines > MOST_POLICY_LINES:
        raise Bad("policy", f"holds {lines} lines", f"keep to {MOST_POLICY_LINES}")
