"""`roadpulley check FILE ...`: judges any configuration of this project, whichever it is."""

from __future__ import annotations

import argparse
import json
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from mintford.reading import describe_settings, read_settings
from roadpulley.checks import Table, ValidationError
from roadpulley.core.validation import validate_gateway_config
from roadpulley.operations.drain_times import list_stop_warnings
from roadpulley.testbed import scenario

from . import frame
from .frame import argument

SCENARIO_KEYS = {"fault", "load", "node", "counter", "discovery", "gateways", "nodes", "seconds", "about"}
FLEET_KEYS = {"voters", "fleet"}
DEPLOY_KEYS = {"run", "sim", "policy", "build"}


def command() -> click.Command:
    files = argument("files", nargs=-1, required=True, metavar="FILE...")
    return frame.command("check", run, "Judge a configuration file.", [files])


def run(args: argparse.Namespace) -> int:
    bad = 0
    for name in args.files:
        try:
            print(f"{name}: a good {judge(Path(name))}")
        except ValidationError as error:
            bad += 1
            print(f"{name}: {error}", file=sys.stderr)
    return 1 if bad else 0


def judge(path: Path) -> str:
    """What kind of file it is, in words. Raises ValidationError for one that is not right."""
    raw = parsed(path)
    if path.suffix == ".json":
        validate_gateway_config(raw).reject_unknown_keys()
        settings = read_settings(raw["settings"])
        lines = [*describe_settings(settings), *(f"warning: {w}" for w in list_stop_warnings(settings))]
        return "configuration of a gateway\n" + "\n".join(f"    {line}" for line in lines)
    if DEPLOY_KEYS & set(raw) and not SCENARIO_KEYS & set(raw) - {"node"}:
        deploy(raw, path.resolve().parent.parent)
        return "deploy file"
    if FLEET_KEYS & set(raw):
        return of_a_fleet(path, raw)
    scenario.read(raw, path.stem)
    return "scenario"


def of_a_fleet(path: Path, raw: dict[str, Any]) -> str:
    """Settings of a fleet, or a scenario that is played by one.

    Raises ValidationError with the place in the file.
    """
    try:
        from roadpulley.fleet.settings import parse_fleet_settings
        from roadpulley.testbed import fleet_scenario
    except ImportError as error:
        raise ValidationError("", f"needs {error.name}", "install roadpulley[fleet]") from error
    if "fleet" in raw:
        fleet_scenario.read(Table(raw))
        return "scenario of a fleet"
    parse_fleet_settings(Table(raw), path.parent)
    return "settings of a fleet"


def parsed(path: Path) -> Any:
    readers: dict[str, Callable[[str], Any]] = {".json": json.loads, ".toml": tomllib.loads}
    if path.suffix not in readers:
        raise ValidationError(
            "", f"its name ends in {path.suffix or 'nothing'}", "give a file in .toml or .json"
        )
    try:
        return readers[path.suffix](path.read_text())
    except OSError as error:
        raise ValidationError("", f"can't be read ({error.strerror})", "name a file that is there") from error
    except ValueError as error:  # both kinds of syntax errors are, and bytes that are no UTF-8
        raise ValidationError("", f"is no {path.suffix[1:].upper()} ({error})", "mend that place") from error


# ---- deploy/balancer.toml ----


def deploy(raw: object, root: Path) -> None:
    top = Table(raw)
    for key in ("build", "run", "sim"):
        top.read_text(key)
    policy, node = top.read_texts("policy"), top.read_texts("node")
    packages = top.read_value("packages", [], "give a list of Debian packages")
    if not isinstance(packages, list) or not all(isinstance(p, str) for p in packages):
        raise ValidationError("packages", f"is {packages!r}", "give a list of Debian packages")
    top.reject_unknown_keys()
    for key, names in (("policy", policy), ("node", node)):
        for number, name in enumerate(names):
            if not (root / name).exists():
                raise ValidationError(
                    f"{key}[{number}]", f"is {name!r}, which is not there", f"give a path below {root}"
                )
