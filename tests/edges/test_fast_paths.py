"""The short ways through a command give what the long ways give, and nothing more."""

from __future__ import annotations

from typing import Any
from unittest import mock

from hypothesis import example, given
from hypothesis import strategies as st
from loopback import SETTINGS, encode

from mintford.reading import read_settings
from roadpulley.core import resp
from roadpulley.core.resp import CommandReader, MalformedError
from roadpulley.edges import request_parser as module
from roadpulley.edges.request_parser import RequestParser

WORD = st.sampled_from([b"view", b"keyed", b"wipe", b"free", b"basic", b"", b"x", b"view,", b"a=b", b"\xff"])
NUMBER = st.sampled_from([b"1", b"0", b"2", b"480", b"1.0", b"-1", b"9999999", b"1e3", b"", b" 1", b"00"])


@st.composite
def attributes(draw: st.DrawFn) -> bytes:
    """Attributes as clients write them, and near misses."""
    parts = [b"c=" + draw(WORD), b"t=" + draw(WORD), b"d=" + draw(NUMBER)]
    if draw(st.booleans()):
        parts.append(b"k=" + draw(st.sampled_from([b"5c0f", b"a=b", b"", b"k" * 65, b"a b"])))
    parts += [b"units=" + draw(NUMBER), b"spread=" + draw(NUMBER), b"first=" + draw(NUMBER)]
    if draw(st.booleans()):
        parts.append(b"r=" + draw(st.sampled_from([b"1", b"0", b""])))
    if draw(st.booleans()):
        parts = draw(st.permutations(parts))
    return b",".join(parts)


def outcome(terms: RequestParser, args: list[bytes]) -> Any:
    try:
        return terms.parse(args)
    except ValueError as error:
        return str(error)


GOOD = b"c=view,t=free,d=480,units=1,spread=1,first=0"


@given(
    attributes(),
    st.sampled_from([b"API.READ", b"api.write", b"API.WRITE"]),
    st.sampled_from([b"00000000b4d65521", b"00000000B4D65521", b"ffffffffffffffff", b"short"]),
    st.sampled_from([b"9b1f03aa", b"", b"a b", b"x" * 65]),
)
@example(GOOD, b"API.READ", b"00000000b4d65521", b"r1")
def test_attributes_seen_before_are_judged_as_the_first_time(
    listed: bytes, verb: bytes, customer: bytes, request: bytes
) -> None:
    terms = RequestParser(read_settings(SETTINGS))
    args = [verb, customer, request, listed]
    with mock.patch.object(module, "ATTRIBUTES_PATTERN", mock.Mock(fullmatch=lambda listed: None)):
        long = outcome(terms, args)
    assert not terms.known_attributes
    assert outcome(terms, args) == long == outcome(terms, args)


def test_what_was_right_once_takes_the_short_way_and_is_bounded() -> None:
    terms = RequestParser(read_settings(SETTINGS))
    args = [b"API.READ", b"00000000b4d65521", b"r1", GOOD]
    terms.parse(args)
    assert len(terms.known_attributes) == 1
    with mock.patch.object(module, "parse_decimal", side_effect=AssertionError("the long way")):
        assert terms.parse(args).timeout_ms == 480.0
    with mock.patch.object(module, "MAX_CACHED_ATTRIBUTES", 1):
        terms.parse([b"API.READ", b"00000000b4d65521", b"r1", GOOD.replace(b"free", b"basic")])
    assert len(terms.known_attributes) == 1


ARGUMENT = st.one_of(st.binary(max_size=30), st.sampled_from([b"", b"\r\n", b"a\r\n$1\r\nb", b"x" * 600]))


def read(data: bytes, cuts: list[int], fast: int) -> list[Any]:
    """All commands of the bytes as they come in pieces; the last entry names a fault."""
    got: list[Any] = []
    reader = CommandReader()
    edges = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    with mock.patch.object(resp, "FAST_PATH_BYTES", fast):
        try:
            for start, end in zip(edges, edges[1:], strict=False):
                reader.feed(data[start:end])
                while (args := reader.next_command()) is not None:
                    got.append(args)
            got.append(reader.buffered_bytes)
        except MalformedError as error:
            got.append(str(error))
    return got


@given(
    st.lists(st.lists(ARGUMENT, min_size=1, max_size=5), max_size=5),
    st.lists(st.integers(0, 5_000), max_size=4),
    st.binary(max_size=8),
)
def test_commands_are_cut_alike_in_one_go_and_piece_by_piece(
    commands: list[list[bytes]], cuts: list[int], rest: bytes
) -> None:
    data = b"".join(encode(*args) for args in commands) + rest
    short, long = read(data, cuts, 1_024), read(data, cuts, 0)
    assert short == long
    assert short[: len(commands)] == commands or isinstance(short[-1], str)


@given(st.integers(0, 12), st.binary(min_size=1, max_size=1), st.integers(0, 200))
def test_a_spoilt_header_is_refused_on_both_ways(place: int, byte: bytes, cut: int) -> None:
    data = bytearray(encode(b"API.READ", b"00000000b4d65521", b"r1", GOOD))
    data[place % len(data)] = byte[0]
    assert read(bytes(data), [cut], 1_024) == read(bytes(data), [cut], 0)
