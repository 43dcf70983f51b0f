"""The line formats of operators' calls and of the metrics."""

from __future__ import annotations

import pytest

from roadpulley.core.request_stats import RequestStats
from roadpulley.operations.calls import Call, UnknownCallError, format_metrics, read_call


@pytest.mark.parametrize("call", Call)
def test_call_is_read_in_either_case_and_with_either_line_end(call: Call) -> None:
    for line in (call.value, f"{call.value}\r", f" {call.value.lower()} "):
        assert read_call(line.encode()) is call


@pytest.mark.parametrize("line", [b"", b"PAUSES", b"\xff", b"PAUSE NOW", b"S" * 200])
def test_unknown_call_raises_an_error_that_lists_the_calls(line: bytes) -> None:
    with pytest.raises(UnknownCallError, match="STATUS, METRICS, PAUSE, RESUME"):
        read_call(line)


def test_metrics_are_one_a_line_and_followed_by_end() -> None:
    assert format_metrics([("a.b", 1), ("c", 0)]) == b"edge_lb.a.b=1\nedge_lb.c=0\nEND\n"


def test_answer_is_counted_by_its_kind() -> None:
    stats = RequestStats()
    stats.add_class("view")
    for reply in (b"$1\r\nx\r\n", b"-BUSY\r\n", b"-BUSY 20\r\n", b"-ERR failed\r\n"):
        stats.record_answer("view", reply)
    stats.add_class("view")  # adding a known class again keeps its counts
    assert stats.answers == {"view": [1, 2, 1]}
