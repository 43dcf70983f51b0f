"""The fast paths of parsing give the same results as the slow paths."""

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
    """Attributes in their usual form, and slightly invalid ones."""
    parts = [b"c=" + draw(WORD), b"t=" + draw(WORD), b"d=" + draw(NUMBER)]
    if draw(st.booleans()):
        parts.append(b"k=" + draw(st.sampled_from([b"5c0f", b"a=b", b"", b"k" * 65, b"a b"])))
    parts += [b"units=" + draw(NUMBER), b"spread=" + draw(NUMBER), b"first=" + draw(NUMBER)]
    if draw(st.booleans()):
        parts.append(b"r=" + draw(st.sampled_from([b"1", b"0", b""])))
    if draw(st.booleans()):
        parts = draw(st.permutations(parts))
    return b",".join(parts)


def parse_or_error(parser: RequestParser, args: list[bytes]) -> Any:
    try:
        return parser.parse(args)
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
def test_cached_attributes_give_the_same_result_as_the_slow_path(
    listed: bytes, verb: bytes, customer: bytes, request: bytes
) -> None:
    parser = RequestParser(read_settings(SETTINGS))
    args = [verb, customer, request, listed]
    with mock.patch.object(module, "ATTRIBUTES_PATTERN", mock.Mock(fullmatch=lambda listed: None)):
        expected = parse_or_error(parser, args)
    assert not parser.known_attributes
    assert parse_or_error(parser, args) == expected == parse_or_error(parser, args)


def test_validated_attributes_take_the_fast_path_and_the_cache_is_bounded() -> None:
    parser = RequestParser(read_settings(SETTINGS))
    args = [b"API.READ", b"00000000b4d65521", b"r1", GOOD]
    parser.parse(args)
    assert len(parser.known_attributes) == 1
    with mock.patch.object(module, "parse_decimal", side_effect=AssertionError("slow path taken")):
        assert parser.parse(args).timeout_ms == 480.0
    with mock.patch.object(module, "MAX_CACHED_ATTRIBUTES", 1):
        parser.parse([b"API.READ", b"00000000b4d65521", b"r1", GOOD.replace(b"free", b"basic")])
    assert len(parser.known_attributes) == 1


ARGUMENT = st.one_of(st.binary(max_size=30), st.sampled_from([b"", b"\r\n", b"a\r\n$1\r\nb", b"x" * 600]))


def read_commands(data: bytes, cuts: list[int], fast: int) -> list[Any]:
    """All commands of the data, fed in pieces; the last entry is the error or the count of unparsed bytes."""
    commands: list[Any] = []
    reader = CommandReader()
    bounds = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    with mock.patch.object(resp, "FAST_PATH_BYTES", fast):
        try:
            for start, end in zip(bounds, bounds[1:], strict=False):
                reader.feed(data[start:end])
                while (args := reader.next_command()) is not None:
                    commands.append(args)
            commands.append(reader.buffered_bytes)
        except MalformedError as error:
            commands.append(str(error))
    return commands


@given(
    st.lists(st.lists(ARGUMENT, min_size=1, max_size=5), max_size=5),
    st.lists(st.integers(0, 5_000), max_size=4),
    st.binary(max_size=8),
)
def test_fast_and_slow_path_parse_the_same_commands(
    commands: list[list[bytes]], cuts: list[int], rest: bytes
) -> None:
    data = b"".join(encode(*args) for args in commands) + rest
    fast, slow = read_commands(data, cuts, 1_024), read_commands(data, cuts, 0)
    assert fast == slow
    assert fast[: len(commands)] == commands or isinstance(fast[-1], str)


@given(st.integers(0, 12), st.binary(min_size=1, max_size=1), st.integers(0, 200))
def test_a_corrupted_header_gives_the_same_result_on_both_paths(place: int, byte: bytes, cut: int) -> None:
    data = bytearray(encode(b"API.READ", b"00000000b4d65521", b"r1", GOOD))
    data[place % len(data)] = byte[0]
    assert read_commands(bytes(data), [cut], 1_024) == read_commands(bytes(data), [cut], 0)
