"""One program for all deployments: it contains none of their names. Errors name the key and a valid value."""

from __future__ import annotations

import copy
import json
import logging
import re
import tomllib
from pathlib import Path
from typing import Any

import pytest
from loopback import LOCAL, SETTINGS, Backend, World, in_loop, refused_start, running

from roadpulley.core.settings import load_config

ROOT = Path(__file__).parents[1]
SITES = sorted((ROOT / "deploy/sites").glob("*.toml"))
PROGRAM = [p for top in ("mintford", "roadpulley") for p in (ROOT / top).rglob("*.*") if p.suffix != ".pyc"]
CUSTOMER_NAMES = "plotline brennan lagos turku naas parcel-view search-order space-query map-fleet".split()


def names(site: Path) -> list[str]:
    raw = tomllib.loads(site.read_text())
    listed_names = [each["name"] for kind in ("class", "tier", "tenant") for each in raw[kind]]
    return [raw["name"], *listed_names]


@pytest.mark.parametrize("site", SITES, ids=lambda site: site.stem)
def test_the_program_contains_no_name_of_a_deployment(site: Path) -> None:
    # Whole words in quotes: `track` is English, and a class's name only where something is compared with it.
    quoted = re.compile("|".join(rf"""["']{re.escape(name)}["']""" for name in names(site)))
    found = [(path.name, got[0]) for path in PROGRAM if (got := quoted.search(path.read_text()))]
    assert not found


@pytest.mark.parametrize("name", CUSTOMER_NAMES)
def test_the_program_contains_no_name_of_a_customer(name: str) -> None:
    assert not [path.name for path in PROGRAM if name in path.read_text().lower()]


def site_settings(site: Path) -> dict[str, Any]:
    """The settings of a gateway of a deployment: its classes, plans and rules."""
    raw = tomllib.loads(site.read_text())
    effects = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}
    return {
        **SETTINGS,
        "az": raw["net"]["zones"][0] if len(raw["net"]["zones"]) > 1 else "",
        "classes": [
            {
                "name": c["name"],
                "aim": float(c["aim_ms"]),
                "deadline": float(c["deadline_ms"]),
                "effect": effects[c["effect"]],
                "group": c.get("group", "all"),
                "repeatWindow": float(c.get("window_ms", 0)),
                "importance": float(c["worth"]),
            }
            for c in raw["class"]
        ],
        "packages": [
            {"name": tenant["name"], "rate": plan["rate"][1] * 10, "mostAtOnce": 50.0, "overrunCost": 1.0}
            for tenant, plan in zip(raw["tenant"], raw["fam"]["plan"], strict=True)
        ],
        "rules": {**SETTINGS["rules"], "drainGrace": float(raw["rules"]["drain_grace_ms"])},
    }


@pytest.mark.parametrize("site", SITES, ids=lambda site: site.stem)
def test_every_class_and_plan_of_each_deployment_is_served(site: Path) -> None:
    settings = site_settings(site)

    class SiteWorld(World):
        def config(self) -> dict[str, Any]:
            return {**super().config(), "settings": settings}

    async def scenario() -> None:
        async with running(SiteWorld(Backend())) as world:
            peer = await world.client()
            for class_index, class_settings in enumerate(settings["classes"]):
                for plan_index, plan in enumerate(settings["packages"]):
                    verb = b"API.READ" if class_settings["effect"] == "pure" else b"API.WRITE"
                    customer, id = (
                        b"%016x" % (class_index * 10 + plan_index),
                        b"%d-%d" % (class_index, plan_index),
                    )
                    attributes = (
                        f"c={class_settings['name']},t={plan['name']},d={int(class_settings['deadline'])}"
                    )
                    key = ",k=one" if class_settings["effect"] == "token" else ""
                    attributes += f"{key},units=1,spread=1,first=0"
                    peer.send(verb, customer, id, attributes.encode())
                    assert await peer.receive() == b"value", (class_settings["name"], plan["name"])

    in_loop(scenario)


def config() -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": f"{LOCAL}:1",
        "discovery": f"{LOCAL}:2",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": copy.deepcopy(SETTINGS),
    }


@pytest.mark.parametrize(
    ("path", "words"),
    [
        (("listen",), "listen: is missing; give"),
        (("discovery",), "discovery: is missing; give"),
        (("settings",), "settings: is missing; give the table"),
        (("settings", "classes", 0, "deadline"), "classes[0].deadline: is missing; give a number from 1"),
        (("settings", "classes", 1, "effect"), "settings.classes[1].effect: is missing; give one of"),
        (("settings", "classes", 2, "name"), "settings.classes[2].name: is missing; give"),
        (("settings", "packages", 1, "name"), "settings.packages[1].name: is missing; give"),
    ],
    ids=str,
)
def test_a_missing_key_is_named_with_a_valid_value(tmp_path: Path, path: tuple[Any, ...], words: str) -> None:
    raw = config()
    table: Any = raw
    for key in path[:-1]:
        table = table[key]
    del table[path[-1]]
    file = tmp_path / "config.json"
    file.write_text(json.dumps(raw))
    assert words in refused_start(file)


@pytest.mark.parametrize(
    ("key", "value", "words"),
    [
        ("deadline", "soon", "settings.classes[0].deadline: is 'soon'; give a number from 1"),
        ("deadline", [], "settings.classes[0].deadline: is []; give a number from 1"),
        ("effect", "perhaps", "settings.classes[0].effect: is 'perhaps'; give one of"),
        ("group", "hall", "settings.classes[0].group: is 'hall'; did you mean all?"),
    ],
)
def test_an_invalid_value_is_named_with_a_valid_one(
    tmp_path: Path, key: str, value: object, words: str
) -> None:
    raw = config()
    raw["settings"]["classes"][0][key] = value
    file = tmp_path / "config.json"
    file.write_text(json.dumps(raw))
    assert words in refused_start(file)


@pytest.mark.parametrize(
    ("key", "value", "words"),
    [("deadline", -5, "deadline: is -5"), ("aim", 9e9, "aim: is 9000000000"), ("repeatWindow", -1, "is -1")],
)
def test_values_out_of_range_are_logged_and_used_at_the_start(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, key: str, value: object, words: str
) -> None:
    """At the start there is no previous configuration to keep."""
    raw = config()
    raw["settings"]["classes"][0][key] = value
    file = tmp_path / "config.json"
    file.write_text(json.dumps(raw))
    with caplog.at_level(logging.WARNING):
        assert load_config(str(file)).settings.classes[0].name == "view"
    assert words in caplog.text
