"""Datagrams between instances: what is dropped and why.

Fleet settings: what is refused, with which message.
"""

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


def pack_datagrams(sender: Codec, count: int = 1, receiver_boot: int = 9) -> list[bytes]:
    return sender.pack(
        receiver_boot,
        [sender.encode_body(Prepare(f"d{n}", Ballot(5, ProcessId("a", 1)), (0, 0))) for n in range(count)],
    )


def test_a_datagram_is_decoded_as_sent_and_accepted_once() -> None:
    [data] = pack_datagrams(codec("a"))
    receiver = codec("b", 2)
    envelope = receiver.unpack(data)
    assert isinstance(envelope, Envelope) and (
        envelope.sender,
        envelope.sender_boot,
        envelope.receiver_boot,
    ) == (
        "a",
        1,
        9,
    )
    assert receiver.unpack(data) is DropReason.REPLAYED


def test_many_bodies_are_packed_into_few_datagrams_of_bounded_size() -> None:
    datagrams = pack_datagrams(codec("a"), 64)
    assert len(datagrams) <= 4 and max(map(len, datagrams)) <= MAX_DATAGRAM_BYTES
    receiver = codec("b", 2)
    envelopes = [receiver.unpack(d) for d in datagrams]
    assert sum(len(f.bodies) for f in envelopes if isinstance(f, Envelope)) == 64
    with pytest.raises(ValueError, match="fit into a datagram"):
        sender = codec("a")
        sender.pack(1, [sender.encode_body("x" * 1100)])


@pytest.mark.parametrize(
    ("change", "cause"),
    [
        (lambda d: d + b"x" * MAX_DATAGRAM_BYTES, DropReason.OVERSIZED),
        (lambda d: d[:-1] + bytes([d[-1] ^ 1]), DropReason.INVALID_MAC),
        (lambda d: d[:10], DropReason.INVALID_MAC),
        (lambda d: b"", DropReason.INVALID_MAC),
        (lambda d: pack_datagrams(codec("a", key=b"z" * 32))[0], DropReason.INVALID_MAC),
        (lambda d: pack_datagrams(codec("a", key=None))[0], DropReason.INVALID_MAC),
        (lambda d: pack_datagrams(codec("a", installation="y"))[0], DropReason.OTHER_INSTALLATION),
        (lambda d: pack_datagrams(codec("b", 2))[0], DropReason.OWN_DATAGRAM),
        (lambda d: pack_datagrams(codec("a", boot=-1))[0], DropReason.MALFORMED),
    ],
)
def test_an_invalid_datagram_is_dropped_with_its_reason(
    change: Callable[[bytes], bytes], cause: DropReason
) -> None:
    [data] = pack_datagrams(codec("a"))
    assert codec("b", 2).unpack(change(data)) is cause


@given(data=st.binary(max_size=300))
def test_arbitrary_bytes_never_raise(data: bytes) -> None:
    result = codec("b", 2, key=None).unpack(data)
    assert isinstance(result, DropReason | Envelope)


def test_truncated_or_corrupted_datagrams_without_mac_are_decoded_or_dropped() -> None:
    [data] = pack_datagrams(codec("a", key=None))
    for position in range(len(data)):
        for corrupted in (
            data[:position],
            data[:position] + bytes([data[position] ^ 0xFF]) + data[position + 1 :],
        ):
            result = codec("b", 2, key=None).unpack(corrupted)
            assert isinstance(result, DropReason | Envelope)
            assert len(corrupted) == len(data) or result is DropReason.MALFORMED


@given(sequences=st.lists(st.integers(1, 3 * REPLAY_WINDOW_SIZE), max_size=60), seed=st.integers(0, 9))
def test_each_sequence_number_is_accepted_once(sequences: list[int], seed: int) -> None:
    window, accepted, highest = ReplayWindow(), set[int](), 0
    random.Random(seed).shuffle(sequences)
    for sequence in sequences:
        reason = window.accept(sequence)
        if reason is None:
            assert sequence not in accepted
            accepted.add(sequence)
        else:
            assert sequence in accepted or sequence <= highest - REPLAY_WINDOW_SIZE
        highest = max(highest, sequence)


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
def test_invalid_settings_are_refused_with_file_key_and_remedy(
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


def test_the_shipped_example_settings_are_valid(capsys: pytest.CaptureFixture[str]) -> None:
    example = Path(__file__).parents[2] / "deploy" / "fleet.toml"
    assert main(["fleet", "--settings", str(example), "check"]) == 0
    assert "3 voters" in capsys.readouterr().out
    assert main(["fleet", "--settings", str(example), "members"]) == 2
    assert "no instance answers" in capsys.readouterr().err
