"""The commands that order: what they refuse before anything is asked, and what they say of it."""

from __future__ import annotations

from pathlib import Path

import pytest

from roadpulley.checks import ValidationError
from roadpulley.cli import main
from roadpulley.cli.fleet_orders import seconds

VOTERS = '[voters]\na = "127.0.0.1:7411"\nb = "127.0.0.1:7412"\nc = "127.0.0.1:7413"\n'


@pytest.mark.parametrize(("text", "length"), [("30s", 30.0), ("1.5m", 90.0), ("2h", 7_200.0)])
def test_times_are_read_with_their_unit(text: str, length: float) -> None:
    assert seconds(text) == length


@pytest.mark.parametrize("text", ["10", "10x", "-5m", "0s", "400d", ""])
def test_times_that_are_none_are_turned_down(text: str) -> None:
    with pytest.raises(ValidationError, match="--for: is .*; give a time such as"):
        seconds(text)


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (["limit", "class", "view"], "neither --rate and --open; give one of them"),
        (["limit", "class", "view", "--rate", "5", "--open", "5"], "both --rate and --open"),
        (["limit", "class", "view", "--rate", "-5"], "0 or more a second"),
        (["limit", "zone", "a", "--rate", "5"], "'zone' is not one of"),
        (["block", "x" * 65], "1 to 64 bytes"),
        (["shed", "view", "--for", "soon"], "--for: is 'soon'"),
        (["lift", "rate", "class", "view"], "no instance answers there"),
    ],
)
def test_orders_that_are_none_end_with_2_and_what_would_be_right(
    words: list[str], said: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    settings = tmp_path / "fleet.toml"
    settings.write_text(f'installation = "x"\ncontrol = "run"\n{VOTERS}[orders]\n')
    assert main(["fleet", "--settings", str(settings), *words]) == 2
    assert said in capsys.readouterr().err
