"""The lines of operators and of figures."""

from __future__ import annotations

import pytest

from roadpulley.core.request_stats import RequestStats
from roadpulley.operations.calls import Call, UnknownCallError, format_metrics, read_call


@pytest.mark.parametrize("call", Call)
def test_a_call_is_read_in_either_case_and_with_either_end(call: Call) -> None:
    for line in (call.value, f"{call.value}\r", f" {call.value.lower()} "):
        assert read_call(line.encode()) is call


@pytest.mark.parametrize("line", [b"", b"PAUSES", b"\xff", b"PAUSE NOW", b"S" * 200])
def test_what_is_no_call_is_told_which_there_are(line: bytes) -> None:
    with pytest.raises(UnknownCallError, match="STATUS, METRICS, PAUSE, RESUME"):
        read_call(line)


def test_figures_are_one_a_line_and_end_with_a_line() -> None:
    assert format_metrics([("a.b", 1), ("c", 0)]) == b"edge_lb.a.b=1\nedge_lb.c=0\nEND\n"


def test_an_answer_is_counted_by_what_it_says_to_the_client() -> None:
    tallies = RequestStats()
    tallies.add_class("view")
    for reply in (b"$1\r\nx\r\n", b"-BUSY\r\n", b"-BUSY 20\r\n", b"-ERR failed\r\n"):
        tallies.record_answer("view", reply)
    tallies.add_class("view")  # known again: nothing is lost
    assert tallies.answers == {"view": [1, 2, 1]}
