"""The judge of joined histories, on histories that were made up; and scenarios that are refused."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from roadpulley.checks import ValidationError
from roadpulley.testbed import fleet_scenario
from roadpulley.testbed.holders import Belief, beliefs, judge, read_lines
from roadpulley.testbed.register import Act, Register


def line(event: str, at: float, boot: int, fence: int, **more: Any) -> dict[str, Any]:
    return {"event": event, "true_s": at, "duty": "d", "boot": boot, "fence": fence, **more}


def held(process: str, fence: int, since: float, until: float) -> Belief:
    return Belief(process, "d", fence, since, until)


def act(at: float, fence: int, taken: bool = True) -> Act:
    return Act(at, "d", fence, f"p.{at}", taken)


def test_a_process_believes_until_it_stops_or_its_time_is_out() -> None:
    events = [
        line("renews", 0.9, 1, 5, until=2.0),
        line("holds", 1.0, 1, 5),
        line("renews", 1.5, 1, 5, until=3.0),
        line("stops", 9.0, 1, 5),  # it was stopped by a signal, and wrote that only when it woke up
        line("holds", 10.0, 1, 7),
        line("stops", 10.5, 1, 7),
        line("renews", 10.9, 2, 8, until=12.0),
        line("holds", 11.0, 2, 8),  # and was killed
    ]
    found = beliefs("a", events)
    assert [(b.fence, b.since, b.until) for b in found] == [(5, 1.0, 3.0), (7, 10.0, 10.5), (8, 11.0, 12.0)]
    assert found[2].process == "a.2"


@pytest.mark.parametrize(
    ("rows", "words"),
    [
        ([held("a.1", 5, 0, 4), held("b.1", 6, 4, 8)], ""),
        ([held("a.1", 5, 0, 4), held("b.1", 6, 3.9, 8)], "two holders at once"),
        ([held("a.1", 5, 0, 9), held("a.1", 6, 1, 2), held("b.1", 7, 3, 4)], "two holders at once"),
        ([held("a.1", 5, 0, 4), held("a.2", 6, 3, 8)], "two holders at once"),  # two processes of one name
        ([held("a.1", 5, 0, 4), held("b.1", 5, 5, 8)], "did not rise"),
        ([held("a.1", 5, 0, 4), held("b.1", 4, 5, 8)], "did not rise"),
    ],
)
def test_overlaps_and_fences_that_fall_are_found(rows: list[Belief], words: str) -> None:
    found = judge(rows, [])
    assert bool(found.broken) is bool(words)
    assert all(words in each for each in found.broken[:1])


def test_acts_under_a_lower_fence_are_found_and_refused_ones_are_not_blamed() -> None:
    found = judge([], [act(1, 5), act(2, 6), act(3, 5, taken=False), act(9, 6)], least_gap=5.0)
    assert (found.broken, found.acts, found.refused) == ([], 3, 1)
    assert found.gaps == {"d": [(2, 9)]}
    assert judge([], [act(1, 6), act(2, 5)]).broken


def test_a_careless_register_is_found_out() -> None:
    """What would be refused is taken: the judge sees it by the acts alone."""
    for careless in (False, True):
        register = Register(careless=careless)
        register.take("claim", "d", 5, "a")
        register.take("claim", "d", 6, "b")
        register.take("act", "d", 6, "b.1")
        register.take("act", "d", 5, "a.1")
        assert bool(judge([], register.acts).broken) is careless


def test_a_log_that_ends_in_the_middle_of_a_line_is_read_up_to_it() -> None:
    whole = json.dumps(line("holds", 1.0, 1, 5)).encode()
    assert len(read_lines([whole, b"Traceback", whole[:20]])) == 1


def test_scenarios_that_ship_are_taken_and_bad_ones_name_their_key(tmp_path: Path) -> None:
    for path in fleet_scenario.shipped().values():
        assert fleet_scenario.load(path).name == path.stem
    bad = tmp_path / "bad.toml"
    for text, key in (
        ("[fleet]\nvoters = 4", "fleet.voters"),
        ('[fleet]\n[[fault]]\nat = 1\nkind = "stopp"', "did you mean stop"),
        ('[fleet]\n[[fault]]\nat = 1\nkind = "stop"\ntarget = "v9"', "target"),
        ('[fleet]\n[[fault]]\nat = 99\nkind = "stop"', "from 0 to 10"),
    ):
        bad.write_text(f'name = "x"\n{text}\n')
        with pytest.raises(ValidationError, match=key.replace(".", r"\.")):
            fleet_scenario.load(bad)
