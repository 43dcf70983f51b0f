"""Datagrams: what is dropped and why; settings: what is refused and how it is said."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpulley.checks import ValidationError
from roadpulley.cli import main
from roadpulley.fleet.duties.terms import Ballot, Prepare, ProcessId
from roadpulley.fleet.peers.envelope import (
    MAX_DATAGRAM_BYTES,
    REPLAY_WINDOW_SIZE,
    Codec,
    DropReason,
    Envelope,
    ReplayWindow,
)
from roadpulley.fleet.settings import read_settings

KEY = b"k" * 32


def codec(name: str, boot: int = 1, key: bytes | None = KEY, installation: str = "x") -> Codec:
    return Codec(installation, name, boot, key)


def packed(of: Codec, count: int = 1, to_boot: int = 9) -> list[bytes]:
    return of.pack(
        to_boot,
        [of.encode_body(Prepare(f"d{n}", Ballot(5, ProcessId("a", 1)), (0, 0))) for n in range(count)],
    )


def test_a_datagram_comes_as_it_was_sent_and_once() -> None:
    [data] = packed(codec("a"))
    here = codec("b", 2)
    found = here.unpack(data)
    assert isinstance(found, Envelope) and (found.sender, found.sender_boot, found.receiver_boot) == (
        "a",
        1,
        9,
    )
    assert here.unpack(data) is DropReason.REPLAYED


def test_many_bodies_go_into_few_datagrams_none_of_them_too_long() -> None:
    out = packed(codec("a"), 64)
    assert len(out) <= 4 and max(map(len, out)) <= MAX_DATAGRAM_BYTES
    here = codec("b", 2)
    found = [here.unpack(d) for d in out]
    assert sum(len(f.bodies) for f in found if isinstance(f, Envelope)) == 64
    with pytest.raises(ValueError, match="fit into a datagram"):
        one = codec("a")
        one.pack(1, [one.encode_body("x" * 1100)])


@pytest.mark.parametrize(
    ("change", "cause"),
    [
        (lambda d: d + b"x" * MAX_DATAGRAM_BYTES, DropReason.OVERSIZED),
        (lambda d: d[:-1] + bytes([d[-1] ^ 1]), DropReason.INVALID_MAC),
        (lambda d: d[:10], DropReason.INVALID_MAC),
        (lambda d: b"", DropReason.INVALID_MAC),
        (lambda d: packed(codec("a", key=b"z" * 32))[0], DropReason.INVALID_MAC),
        (lambda d: packed(codec("a", key=None))[0], DropReason.INVALID_MAC),
        (lambda d: packed(codec("a", installation="y"))[0], DropReason.OTHER_INSTALLATION),
        (lambda d: packed(codec("b", 2))[0], DropReason.OWN_DATAGRAM),
        (lambda d: packed(codec("a", boot=-1))[0], DropReason.MALFORMED),
    ],
)
def test_what_is_wrong_is_dropped_and_named(change: Callable[[bytes], bytes], cause: DropReason) -> None:
    [data] = packed(codec("a"))
    assert codec("b", 2).unpack(change(data)) is cause


@given(data=st.binary(max_size=300))
def test_no_bytes_break_the_reader(data: bytes) -> None:
    found = codec("b", 2, key=None).unpack(data)
    assert isinstance(found, DropReason | Envelope)


def test_every_cut_and_every_changed_byte_of_an_unsigned_datagram_is_read_or_named() -> None:
    [data] = packed(codec("a", key=None))
    for at in range(len(data)):
        for bad in (data[:at], data[:at] + bytes([data[at] ^ 0xFF]) + data[at + 1 :]):
            found = codec("b", 2, key=None).unpack(bad)
            assert isinstance(found, DropReason | Envelope)
            assert len(bad) == len(data) or found is DropReason.MALFORMED


@given(numbers=st.lists(st.integers(1, 3 * REPLAY_WINDOW_SIZE), max_size=60), seed=st.integers(0, 9))
def test_each_number_is_taken_once(numbers: list[int], seed: int) -> None:
    window, taken, highest = ReplayWindow(), set[int](), 0
    random.Random(seed).shuffle(numbers)
    for number in numbers:
        cause = window.accept(number)
        if cause is None:
            assert number not in taken
            taken.add(number)
        else:
            assert number in taken or number <= highest - REPLAY_WINDOW_SIZE
        highest = max(highest, number)


GOOD = """
installation = "x"
control = "run"
[voters]
a = "127.0.0.1:7001"
b = "127.0.0.1:7002"
c = "127.0.0.1:7003"
"""


@pytest.mark.parametrize(
    ("text", "key", "right"),
    [
        (GOOD.replace('c = "127.0.0.1:7003"', ""), "voters", "an odd number"),
        (GOOD.replace('b = "127.0.0.1:7002"\nc = "127.0.0.1:7003"', ""), "voters", "an odd number"),
        (GOOD.replace("7003", "7002"), "voters.c", "its own address"),
        (GOOD + '[others]\na = "127.0.0.1:7009"', "others.a", "once"),
        (GOOD.replace("127.0.0.1:7003", "10.0.0.1:7003"), "voters.c", "key file"),
        (GOOD.replace("127.0.0.1:7003", "0.0.0.0:7003"), "voters.c", "address of one machine"),
        (GOOD.replace("127.0.0.1:7003", "224.0.0.1:7003"), "voters.c", "address of one machine"),
        (GOOD.replace("127.0.0.1:7003", "example:7003"), "voters.c", "address of one machine"),
        (GOOD.replace("127.0.0.1:7003", "127.0.0.1:0"), "voters.c", "port from 1"),
        (GOOD + "[lease]\nseconds = 0.5", "lease.seconds", "or more"),
        (GOOD + "[lease]\nseconds = 4\nsilence_s = 1", "lease.seconds", "longest lease"),
        (GOOD + "[lease]\ndrift = 0.5", "lease.drift", "from 0 to 0.25"),
        (GOOD + "[members]\nperiod_s = 0.1\nanswer_s = 0.1", "members.answer_s", "at most"),
        (GOOD.replace("control", 'key = "none"\ncontrol'), "key", "openssl rand 32"),
        (GOOD.replace("control", 'key = "short"\ncontrol'), "key", "32 to 64"),
        (GOOD.replace("control", 'key = "open"\ncontrol'), "key", "chmod 600"),
        (GOOD + '[duties.d]\nwork = "prob"', "duties.d.work", "did you mean probe"),
        (GOOD + '[duties.d]\nwork = "probe"', "duties.d.address", "register"),
        (GOOD + '[duties.d]\nwork = "usage-push"', "duties.d.settings", "file with the settings"),
        (GOOD + '[duties.d]\nwork = "probe"\naddress = "x:1"\nprefer = ["q"]', "duties.d.prefer", "a, b, c"),
        (
            GOOD + '[duties.d]\nwork = "probe"\naddress = "x:1"\nprefer = ["a"]\namong = ["b"]',
            "duties.d.prefer",
            "add it to among",
        ),
        (GOOD + "[dutys]", "dutys", "did you mean duties"),
    ],
)
def test_bad_settings_name_file_key_and_what_would_be_right(
    tmp_path: Path, text: str, key: str, right: str, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "short").write_bytes(b"x" * 31)
    (tmp_path / "open").write_bytes(KEY)
    (tmp_path / "short").chmod(0o600)
    (tmp_path / "open").chmod(0o644)
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    with pytest.raises(ValidationError) as bad:
        read_settings(path)
    words = str(bad.value)
    assert words.startswith(f"{path}: {key}: ") and right in words
    assert main(["fleet", "--settings", str(path), "check"]) == 2
    assert right in capsys.readouterr().err


def test_the_example_is_taken_as_it_ships(capsys: pytest.CaptureFixture[str]) -> None:
    example = Path(__file__).parents[2] / "deploy" / "fleet.toml"
    assert main(["fleet", "--settings", str(example), "check"]) == 0
    assert "3 voters" in capsys.readouterr().out
    assert main(["fleet", "--settings", str(example), "members"]) == 2
    assert "no instance answers" in capsys.readouterr().err
