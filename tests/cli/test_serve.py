from __future__ import annotations

import json
from pathlib import Path

import pytest

from roadpulley.cli import main
from roadpulley.cli.serve import workers
from roadpulley.core.settings import ConfigError, parse_config
from roadpulley.edges.request_parser import RequestParser
from roadpulley.testbed import terms

RAW = {
    "listen": "127.0.0.1:6379",
    "discovery": "127.0.0.1:8500",
    "settings": terms.settings(1, 3),
}


@pytest.mark.parametrize(
    ("args", "words"),
    [
        (["--workers", "0"], "--workers: is '0'; give a number from 1 to 256"),
        (["--workers", "many"], "--workers: is 'many' (No such file or directory); give a number or a file"),
        (["--config", "none.json"], "can't be read"),
    ],
)
def test_what_is_asked_wrongly_is_one_line_before_anything_starts(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], args: list[str], words: str
) -> None:
    config = tmp_path / "config.json"
    config.write_text(json.dumps(RAW))
    assert main(["serve", "--config", str(config), *args]) == 2
    said = capsys.readouterr().err
    assert words in said and said.count("\n") == 1


def test_without_a_configuration_it_says_so(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("LB_CONFIG", raising=False)
    assert main(["serve"]) == 2 and "--config: is missing" in capsys.readouterr().err


def test_the_number_of_workers_is_given_or_stands_in_a_file(tmp_path: Path) -> None:
    file = tmp_path / "workers"
    file.write_text(" 6\n")
    assert (workers("4"), workers(str(file))) == (4, 6)


def test_each_worker_is_a_gateway_of_its_own_and_sets_of_gateways_are_sets_of_workers() -> None:
    places = [parse_config({**RAW, "workers": 4, "worker": worker}).settings for worker in range(4)]
    assert [(s.index, s.gateways) for s in places] == [(4, 12), (5, 12), (6, 12), (7, 12)]
    of = RequestParser(places[0], workers=4)
    listed = b"c=tile-view,t=basic,d=480,units=1,spread=2,first=1"
    asked = of.parse([b"API.READ", b"00000000b4d65521", b"r1", listed])
    assert (asked.spread, asked.first) == (8, 4)
    assert of.parse([b"API.READ", b"00000000b4d65521", b"r2", listed]).spread == 8  # and on the short way
    with pytest.raises(ValueError, match="set out of range"):  # clients name gateways, not workers
        of.parse([b"API.READ", b"00000000b4d65521", b"r1", listed.replace(b"spread=2", b"spread=4")])


@pytest.mark.parametrize("place", [{"workers": 2, "worker": 2}, {"workers": 2, "worker": -1}])
def test_a_worker_beyond_their_number_is_refused(place: dict[str, int]) -> None:
    with pytest.raises(ConfigError, match="give a number from 0 to 1"):
        parse_config({**RAW, **place})
