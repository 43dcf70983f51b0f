"""The judge of fleet histories, on constructed histories; and errors in fleet scenarios."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from roadpulley.checks import ValidationError
from roadpulley.testbed import fleet_scenario
from roadpulley.testbed.holders import Belief, beliefs, judge, read_lines
from roadpulley.testbed.register import Act, Register


def log_event(event: str, at: float, boot: int, fence: int, **fields: Any) -> dict[str, Any]:
    return {"event": event, "true_s": at, "duty": "d", "boot": boot, "fence": fence, **fields}


def make_belief(process: str, fence: int, since: float, until: float) -> Belief:
    return Belief(process, "d", fence, since, until)


def make_act(at: float, fence: int, taken: bool = True) -> Act:
    return Act(at, "d", fence, f"p.{at}", taken)


def test_belief_ends_with_the_stop_or_the_expiry() -> None:
    events = [
        log_event("renews", 0.9, 1, 5, until=2.0),
        log_event("holds", 1.0, 1, 5),
        log_event("renews", 1.5, 1, 5, until=3.0),
        log_event("stops", 9.0, 1, 5),  # it was paused by a signal, and logged this after the pause
        log_event("holds", 10.0, 1, 7),
        log_event("stops", 10.5, 1, 7),
        log_event("renews", 10.9, 2, 8, until=12.0),
        log_event("holds", 11.0, 2, 8),  # it was killed
    ]
    found = beliefs("a", events)
    assert [(b.fence, b.since, b.until) for b in found] == [
        (5, 1.0, 3.0),
        (7, 10.0, 10.5),
        (8, 11.0, 12.0),
    ]
    assert found[2].process == "a.2"


@pytest.mark.parametrize(
    ("rows", "words"),
    [
        ([make_belief("a.1", 5, 0, 4), make_belief("b.1", 6, 4, 8)], ""),
        ([make_belief("a.1", 5, 0, 4), make_belief("b.1", 6, 3.9, 8)], "two holders at once"),
        (
            [make_belief("a.1", 5, 0, 9), make_belief("a.1", 6, 1, 2), make_belief("b.1", 7, 3, 4)],
            "two holders at once",
        ),
        # Two processes of one name.
        ([make_belief("a.1", 5, 0, 4), make_belief("a.2", 6, 3, 8)], "two holders at once"),
        ([make_belief("a.1", 5, 0, 4), make_belief("b.1", 5, 5, 8)], "did not rise"),
        ([make_belief("a.1", 5, 0, 4), make_belief("b.1", 4, 5, 8)], "did not rise"),
    ],
)
def test_judge_finds_overlapping_holdings_and_fences_that_do_not_rise(rows: list[Belief], words: str) -> None:
    judgement = judge(rows, [])
    assert bool(judgement.broken) is bool(words)
    assert all(words in each for each in judgement.broken[:1])


def test_judge_finds_acts_under_stale_fences_and_accepts_rejected_ones() -> None:
    judgement = judge(
        [], [make_act(1, 5), make_act(2, 6), make_act(3, 5, taken=False), make_act(9, 6)], least_gap=5.0
    )
    assert (judgement.broken, judgement.acts, judgement.refused) == ([], 3, 1)
    assert judgement.gaps == {"d": [(2, 9)]}
    assert judge([], [make_act(1, 6), make_act(2, 5)]).broken


def test_judge_finds_a_register_that_accepts_stale_fences() -> None:
    """A register that accepts stale fences: the judge finds it from the acts alone."""
    for careless in (False, True):
        register = Register(careless=careless)
        register.take("claim", "d", 5, "a")
        register.take("claim", "d", 6, "b")
        register.take("act", "d", 6, "b.1")
        register.take("act", "d", 5, "a.1")
        assert bool(judge([], register.acts).broken) is careless


def test_truncated_log_is_read_up_to_the_last_whole_line() -> None:
    whole = json.dumps(log_event("holds", 1.0, 1, 5)).encode()
    assert len(read_lines([whole, b"Traceback", whole[:20]])) == 1


def test_shipped_scenarios_are_valid_and_errors_name_the_key(tmp_path: Path) -> None:
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
