"""The figures of an answer come from a peer: any bytes are possible, and only plain numbers are accepted."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpulley.core.resp import MalformedError, parse_answer
from roadpulley.core.usage_figures import parse_cost, parse_figures


@pytest.mark.parametrize(
    ("text", "cost"),
    [
        (b"used=37,cost=4", 4.0),
        (b"cost=2.5", 2.5),
        (b"cost=0", 0.0),
        (b"used=37", 0.0),
        (b"cost=-3", 0.0),
        (b"cost=1e9", 0.0),
        (b"cost=99999999999", 0.0),
        (b"cost=nan,used=1", 0.0),
        (b"cost=", 0.0),
        (b"cost=4,cost=5", 0.0),
        (b"accost=4", 0.0),
        (b"", 0.0),
    ],
)
def test_cost_is_parsed_only_from_a_plain_number(text: bytes, cost: float) -> None:
    assert parse_cost(text) == cost


NEARLY = st.from_regex(rb"([a-z]{1,4}=[0-9.eE+-]{0,6},?){0,9}", fullmatch=True)


@given(st.one_of(st.binary(max_size=200), NEARLY))
def test_any_bytes_give_few_numbers_that_are_not_negative_and_finite(text: bytes) -> None:
    figures = parse_figures(text)
    assert len(figures) <= 8 and all(0 <= value < 1e9 for value in figures.values())
    assert parse_cost(text) == figures.get("cost", 0.0)


EXTRAS = st.one_of(st.none(), st.integers(-5, 10**6), st.binary(max_size=60))


def encoded(extra: int | bytes | None) -> bytes:
    if extra is None:
        return b"$-1\r\n"
    return b":%d\r\n" % extra if isinstance(extra, int) else b"$%d\r\n%b\r\n" % (len(extra), extra)


@given(st.binary(max_size=80), EXTRAS, EXTRAS)
def test_what_stands_beside_a_value_is_cut_out_whole_wherever_the_bytes_break(
    value: bytes, use: int | bytes | None, report: int | bytes | None
) -> None:
    data = b"*3\r\n" + encoded(value) + encoded(use) + encoded(report)
    answer = parse_answer(bytearray(data))
    assert answer is not None and answer.value == value and answer.is_connection_reusable
    assert answer.usage == (use if isinstance(use, bytes) else b"")
    assert answer.report == (report if isinstance(report, bytes) else b"")
    assert all(parse_answer(bytearray(data[:cut])) is None for cut in range(1, len(data)))


@given(st.binary(max_size=60))
def test_noise_for_figures_never_spoils_the_value_nor_is_taken_for_figures(noise: bytes) -> None:
    data = bytearray(b"*3\r\n$2\r\nok\r\n" + noise + b"!" * 5000)
    try:
        answer = parse_answer(data)
    except MalformedError:
        return
    assert answer is not None and answer.value == b"ok" and not answer.is_connection_reusable
