from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpulley.checks import ValidationError
from roadpulley.cli import main
from roadpulley.cli.check import deploy, judge
from roadpulley.core.validation import validate_gateway_config
from roadpulley.testbed import terms
from roadpulley.testbed.scenario import shipped

ROOT = Path(__file__).parents[2]
GOOD: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:6379",
    "discovery": "127.0.0.1:8500",
    "counter": "127.0.0.1:6400",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"seq": 1, "whole": True, "hosts": [{"host": "t0", "dial": "127.0.0.1:1", "health": "up"}]},
    "settings": terms.settings(0, 2) | {"prices": {}, "telemetry": {"how": "answers", "names": ["util"]}},
}


def changed(path: str, value: Any) -> dict[str, Any]:
    """The good configuration with the value at a path changed, or without it where the value is `...`."""
    raw = copy.deepcopy(GOOD)
    at: Any = raw
    *way, last = path.replace("[", ".").replace("]", "").split(".")
    for step in way:
        at = at[int(step) if step.isdigit() else step]
    key = int(last) if last.isdigit() else last
    if value is ...:
        del at[key]
    else:
        at[key] = value
    return raw


def test_what_the_project_ships_is_good(capsys: pytest.CaptureFixture[str]) -> None:
    files = [ROOT / "deploy/balancer.toml", *shipped().values()]
    assert main(["check", *map(str, files)]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == len(files) and "good deploy file" in lines[0] and "good scenario" in lines[1]


def test_a_good_gateway_s_configuration_is_found_so(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(GOOD))
    said = judge(file).splitlines()
    assert said[0] == "configuration of a gateway"
    assert "    load reports: answers (util)" in said and "    probes: not allowed" in said


@pytest.mark.parametrize(("deadline", "is_cut"), [(3_000, False), (3_001, True), (6_000, True)])
def test_a_deadline_that_a_stop_cuts_short_is_a_warning_with_class_key_and_remedy(
    tmp_path: Path, deadline: int, is_cut: bool
) -> None:
    file = tmp_path / "config.json"
    raw = changed("settings.classes[1].deadline", deadline)
    raw["settings"]["classes"][1]["aim"] = 500
    file.write_text(json.dumps(raw))
    warnings = [line for line in judge(file).splitlines() if "warning: settings.classes[1]" in line]
    name = GOOD["settings"]["classes"][1]["name"]
    assert warnings == is_cut * [
        f"    warning: settings.classes[1].deadline: {name} has {deadline} ms, and a stop waits for 3000: "
        "what is open for longer fails then; give 3000 or less"
    ]


def test_what_a_deployment_offers_is_said_in_words(tmp_path: Path) -> None:
    raw = copy.deepcopy(GOOD)
    raw["settings"]["telemetry"] = {"how": "answers", "names": ["cpu_share", "pending", "new_one"]}
    raw["settings"]["prices"] = {"crossZone": 0.02, "waste": 0.16, "lateFail": 0.06, "probe": 0.0079}
    raw["settings"]["caps"]["probes"] = True
    raw["settings"]["familyInfo"].update(costAfter=True, unitsTop=8)
    file = tmp_path / "config.json"
    file.write_text(json.dumps(raw))
    said = judge(file)
    assert "load reports: answers (util, queue)" in said and "probes: allowed, 0.0079 each" in said
    assert "units: a guess, settled by the answer, 8 at most" in said and "crossing zones 0.02" in said


@pytest.mark.parametrize(
    ("path", "value", "words"),
    [
        ("listen", ..., "give a text"),
        ("listen", "here", "give HOST:PORT"),
        ("counter", "127.0.0.1:70000", "give HOST:PORT"),
        ("listn", "x", "did you mean listen?"),
        ("settings.prices.waste", -1, "from 0"),
        ("settings.telemetry.how", "sometimes", "give one of answers, none, probe"),
        ("settings.telemetry.names", "util", "give a list of inflight"),
        ("settings.telemetry.names", [], "name what the reports hold"),
        ("limits.sockets", 3, "from 64"),
        ("limits.memory_mb", "much", "give a whole number"),
        ("known.hosts[0].health", "fine", "give one of draining, removed, up"),
        ("known.hosts[0].dial", "nowhere", "give HOST:PORT"),
        ("settings", ..., "give the table of classes"),
        ("settings.selfIndex", 2, "from 0 to 1"),
        ("settings.classes", [], "give one at least"),
        ("settings.classes[0].effect", "safe", "give one of pure, side_effect, token"),
        ("settings.classes[1].deadline", -1, "give a number from 1"),
        ("settings.classes[1].aim", 9_000.0, "from 1 to 4000"),
        ("settings.classes[1].name", "tile-view", "give each name once"),
        ("settings.packages[2].rate", "fast", "give a number from 0"),
        ("settings.packages[2].open", -2, "give a whole number from 0"),
        ("settings.caps.maxAttempts", 0, "from 1 to 100"),
        ("settings.rules.drainGrace", None, "give a number from 0"),
    ],
)
def test_a_bad_key_is_named_by_its_path_with_what_would_be_right(path: str, value: Any, words: str) -> None:
    with pytest.raises(ValidationError) as caught:
        validate_gateway_config(changed(path, value)).reject_unknown_keys()
    named = path if not path.endswith("[1].name") else "settings.classes"
    assert caught.value.path == named and words in str(caught.value)


@pytest.mark.parametrize(
    ("name", "text", "words"),
    [
        ("a.toml", "nodes = 0", "a.toml: nodes: is 0; give a whole number from 1 to 500"),
        ("a.toml", "= 3", "is no TOML"),
        ("a.json", "{", "is no JSON"),
        ("a.json", "[]", "the file: is []; give a table"),
        ("a.yaml", "a: b", "give a file in .toml or .json"),
        ("a.toml", None, "can't be read"),
    ],
)
def test_a_bad_file_is_one_line_and_exit_code_1(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], name: str, text: str | None, words: str
) -> None:
    if text is not None:
        (tmp_path / name).write_text(text)
    assert main(["check", str(tmp_path / name)]) == 1
    said = capsys.readouterr().err
    assert words in said and said.count("\n") == 1


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"run": ""}, "run"),
        ({"policy": []}, "policy"),
        ({"policy": ["mintford/none.py"]}, "policy[0]"),
        ({"node": ["roadpulley", "gone"]}, "node[1]"),
        ({"packages": "curl"}, "packages"),
        ({"polcy": []}, "polcy"),
    ],
)
def test_a_bad_deploy_file_is_named_by_its_path(change: dict[str, Any], path: str) -> None:
    good = {"build": "true", "run": "a", "sim": "b", "policy": ["mintford/rules.py"], "node": ["roadpulley"]}
    deploy(good, ROOT)
    with pytest.raises(ValidationError) as caught:
        deploy({**good, **change}, ROOT)
    assert caught.value.path == path


def test_a_policy_of_any_length_is_taken_and_a_missing_file_of_it_is_not(tmp_path: Path) -> None:
    (tmp_path / "long.py").write_text("x = 1\n\n" * 1_201)
    raw = {"build": "true", "run": "a", "sim": "b", "policy": ["long.py"], "node": ["long.py"]}
    deploy(raw, tmp_path)
    with pytest.raises(ValidationError, match=r"policy\[1\]: is 'gone.py', which is not there"):
        deploy({**raw, "policy": ["long.py", "gone.py"]}, tmp_path)


JUNK = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=6)),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=3),
    max_leaves=6,
)
PLACES = ["listen", "limits", "known", "known.hosts", "settings", "settings.classes", "settings.packages[0]",
          "settings.caps", "settings.rules", "settings.familyInfo", "settings.groupSize"]  # fmt: skip


@given(st.sampled_from(PLACES), JUNK)
def test_whatever_stands_in_a_place_it_is_taken_or_named(path: str, junk: Any) -> None:
    try:
        validate_gateway_config(changed(path, junk))
    except ValidationError as error:
        assert "\n" not in str(error)


def test_files_of_a_fleet_are_known_for_what_they_are(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    root = Path(__file__).parents[2]
    stalls = root / "roadpulley/testbed/fleets/holder-stalls.toml"
    assert main(["check", str(root / "deploy/fleet.toml"), str(stalls)]) == 0
    said = capsys.readouterr().out
    assert "a good settings of a fleet" in said and "a good scenario of a fleet" in said
    bad = tmp_path / "fleet.toml"
    bad.write_text((root / "deploy/fleet.toml").read_text().replace("7403", "7402"))
    assert main(["check", str(bad)]) == 1
    assert f"{bad}: voters.gw3: is at 127.0.0.1:7402, as gw2 is" in capsys.readouterr().err
