from __future__ import annotations

import itertools
import json
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from roadpulley.checks import Table, ValidationError, read_toml
from roadpulley.testbed import scenario as module
from roadpulley.testbed.arrivals import arrivals, customers
from roadpulley.testbed.scenario import Fault, Scenario, find, load, read, shipped


def one(fault: dict[str, Any]) -> dict[str, Any]:
    """A scenario with one fault."""
    return {"fault": [{"at": 1, **fault}]}


@pytest.mark.parametrize(
    ("raw", "path", "right"),
    [
        ({"secnds": 3}, "secnds", "did you mean seconds?"),
        ({"seconds": "long"}, "seconds", "give a number from 1 to 86400"),
        ({"seconds": True}, "seconds", "give a number"),
        ({"gateways": 0}, "gateways", "give a whole number from 1 to 64"),
        ({"nodes": 2.5}, "nodes", "give a whole number"),
        ({"load": 3}, "load", "give a table"),
        ({"load": {"rate": -1}}, "load.rate", "from 0.1"),
        ({"load": {"writes": 0.8, "filings": 0.4}}, "load.writes", "shares"),
        ({"node": {"cancel": "som"}}, "node.cancel", "give one of all, none, queued"),
        ({"fault": {}}, "fault", "give an array of tables"),
        ({"fault": [{"kind": "kill", "target": "n0"}]}, "fault[0].at", "give a number"),
        (one({"kind": "kil", "target": "n0"}), "fault[0].kind", "did you mean kill?"),
        (one({"kind": "kill", "target": "n9"}), "fault[0].target", "there are n0, n1, n2"),
        (one({"kind": "kill"}), "fault[0].target", "name a gateway, such as n0"),
        ({"fault": [{"at": 30, "kind": "stall", "for": 1}]}, "fault[0].at", "under 20"),
        (one({"kind": "stall", "for": 9}), "fault[0].for", "up to 2"),
        (one({"kind": "stall", "target": "n0"}), "fault[0].target", "leave it out"),
        (one({"kind": "rush", "target": "gold", "factor": 2}), "fault[0].target", "basic"),
        (one({"kind": "rush", "target": "basic"}), "fault[0].factor", "rush needs it"),
        (one({"kind": "delay", "target": "n0>t1"}), "fault[0].ms", "delay needs it"),
        (one({"kind": "drip", "target": "n0>t1"}), "fault[0].rate", "drip needs it"),
        (one({"kind": "cut", "target": "n0>t99"}), "fault[0].target", "clients>n0"),
        (one({"kind": "half-open", "target": "n0>t1"}), "fault[0].direction", "there or back"),
        (one({"kind": "node-kill", "target": "t1", "for": 2}), "fault[0].for", "leave it out"),
        (one({"kind": "node-replace", "target": "t1"}), "fault[0].by", "takes the address over"),
        ([], "", "give a table"),
    ],
)  # fmt: skip
def test_a_bad_scenario_is_named_by_path_with_what_would_be_right(raw: Any, path: str, right: str) -> None:
    with pytest.raises(ValidationError) as caught:
        read(raw)
    assert caught.value.path == path and right in str(caught.value)


def test_a_timeline_in_python_goes_through_the_same_checks() -> None:
    with pytest.raises(ValidationError, match=r"fault\[1\]\.target"):
        Scenario(faults=(Fault(1, "kill", "n0"), Fault(2, "hang", "n7")))
    fine = Scenario(faults=(Fault(2, "hang", "n1", seconds=1),))
    with pytest.raises(ValidationError, match=r"fault\[0\]\.target"):
        fine.with_(gateways=1)


def test_a_file_s_faults_are_named_with_the_file(tmp_path: Path) -> None:
    bad = tmp_path / "bad.toml"
    bad.write_text("seconds = 3\nnodes = 0\n")
    with pytest.raises(ValidationError) as caught:
        load(bad)
    assert str(caught.value) == f"{bad}: nodes: is 0; give a whole number from 1 to 500"
    bad.write_text("seconds = \n")
    with pytest.raises(ValidationError, match="is no TOML"):
        load(bad)
    with pytest.raises(ValidationError, match="can't be read"):
        load(tmp_path / "none.toml")
    with pytest.raises(ValidationError, match="give a file or one of"):
        find("calmer")


def test_what_ships_is_right_and_keeps_its_order_when_it_is_shortened() -> None:
    assert len(shipped()) >= 6
    for name, path in shipped().items():
        whole = load(path)
        assert whole.name == name and whole.about
        short = whole.scaled(4.0)
        assert [f.kind for f in short.faults] == [f.kind for f in whole.faults]
        assert all(0 <= f.at < 4 for f in short.faults)


def test_every_kind_of_fault_has_words() -> None:
    targets = {"link": "n0>t1", "gateway": "n0", "node": "t1", "plan": "basic"}
    for kind, what in module.KINDS.items():
        fault = Fault(1, kind, targets.get(what, ""), seconds=1, factor=2.0)
        assert kind in fault.words() and targets.get(what, "") in fault.words()


# ---- arrivals ----

BUSY = Scenario(seconds=30, seed=7, faults=(Fault(10, "rush", "basic", seconds=10, factor=5.0),))


def test_the_same_seed_gives_the_same_arrivals_and_another_gives_others() -> None:
    assert list(arrivals(BUSY)) == list(arrivals(BUSY))
    assert customers(BUSY) == customers(BUSY)
    assert list(arrivals(BUSY)) != list(arrivals(BUSY.with_(seed=8)))


def test_arrivals_come_in_order_at_the_rate_asked_and_a_rush_multiplies_its_plan_alone() -> None:
    asked = list(arrivals(BUSY))
    assert all(a.at <= b.at for a, b in itertools.pairwise(asked))
    assert len({a.root for a in asked}) == len(asked)
    during = Counter(a.customer.plan for a in asked if 10_000 <= a.at < 20_000)
    before = Counter(a.customer.plan for a in asked if a.at < 10_000)
    assert 3.5 < during["basic"] / before["basic"] < 7
    for plan in ("business", "enterprise"):
        assert 0.6 < during[plan] / before[plan] < 1.6
    assert 0.75 < sum(before.values()) / (BUSY.load.rate * 10) < 1.25


def test_only_keyed_requests_have_a_key_and_sets_lie_among_the_gateways() -> None:
    for arrival in arrivals(BUSY):
        assert bool(arrival.key) == (arrival.kind == "tile-order")
        assert 0 <= arrival.customer.first < BUSY.gateways
        assert 0 <= arrival.place < arrival.customer.spread <= BUSY.gateways


# ---- checks ----


@given(st.dictionaries(st.text(max_size=8), st.one_of(st.none(), st.booleans(), st.integers(), st.text())))
@example({"\n": None})
def test_whatever_a_table_holds_is_taken_or_named(raw: dict[str, Any]) -> None:
    table = Table(raw, "top")
    try:
        table.read_int("a", 1, 0, 10)
        table.read_text("b", "x")
        table.reject_unknown_keys()
    except ValidationError as error:
        assert error.path.startswith("top.") and "\n" not in str(error)
    else:
        assert set(raw) <= {"a", "b"}


@pytest.mark.parametrize(
    ("key", "shown"),
    [("a\nb", r'"a\nb"'), ('a.b: "c"; d', r'"a.b: \"c\"; d"'), ("", '""'), ("a-b_1", "a-b_1")],
)
def test_error_quotes_a_key_that_is_not_bare(key: str, shown: str, tmp_path: Path) -> None:
    file = tmp_path / "file.toml"
    file.write_text(f"[top]\n{json.dumps(key)} = 1\n")

    def parse(raw: dict[str, Any]) -> None:
        Table(raw).read_table("top").read_text(key)

    with pytest.raises(ValidationError) as caught:
        read_toml(file, parse)
    assert str(caught.value) == f"{file}: top.{shown}: is 1; give a text that is not empty"
