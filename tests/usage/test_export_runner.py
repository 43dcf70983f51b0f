"""Each file is applied exactly once, despite lost, late and partial answers and a crash at each step."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import httpx
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from roadpulley.cli import main
from roadpulley.store import Store
from roadpulley.testbed.sink import LATE_S, MOODS, Sink
from roadpulley.usage.accumulator import Batch, UsageKey, UsageTotals
from roadpulley.usage.export_runner import ExportResult, ExportRunner, parse_receipt
from roadpulley.usage.exporter import LEASE_DURATION_MS
from roadpulley.usage.ledger import UsageLedger
from roadpulley.usage.periods import BillingPeriods, encode_csv

KEY = b"k" * 32


class Crash(BaseException):
    """Raised where the simulated process ends. A BaseException, so that no handler treats it as an error."""


def make_periods(folder: Path) -> dict[str, bytes]:
    """Closes two periods, one with an adjustment. Returns the files that the sink has to apply, by path."""
    with Store.open(folder) as store:
        periods = BillingPeriods(UsageLedger(store))
        for number, hour in enumerate((1, 4, 1), 1):
            if number == 3:
                first = periods.close("p0", 0, 3, 12, 1)
                second = periods.close("p1", 3, 6, 12, 1)
            row = UsageKey("00000000000000aa", "basic", 1, 0, "view", hour)
            periods.ledger.ingest(Batch("n0", "a", number, 0, {row: UsageTotals(1, 5_000 * number, 0)}))
        late = periods.create_adjustment(first, KEY, 7)
        assert late is not None
        return {
            "/p0.csv": encode_csv(periods.read_lines(first)),
            "/p0.adjustment-1.csv": encode_csv(late.lines),
            "/p1.csv": encode_csv(periods.read_lines(second)),
        }


class Clock:
    def __init__(self) -> None:
        self.now = 1_000_000

    def sleep(self, ms: int) -> bool:
        self.now += ms
        return True


def push(folder: Path, sink: Sink, clock: Clock, holder: str = "x", wrap: Any = None) -> ExportResult:
    with Store.open(folder) as store, httpx.Client(base_url=sink.url, timeout=LATE_S / 3) as client:
        runner = ExportRunner(UsageLedger(store), client, holder, lambda: clock.now, clock.sleep)
        if wrap is not None:
            wrap(runner)
        return runner.run()


def applied(sink: Sink) -> dict[str, bytes]:
    """Returns the applied files by path. Fails if a path was applied under two keys."""
    paths = [path for path, _ in sink.applied.values()]
    assert len(paths) == len(set(paths)), "applied twice"
    return dict(sink.applied.values())


@given(moods=st.lists(st.sampled_from([m for m in MOODS if m not in ("422", "late")]), max_size=8))
@settings(max_examples=30, deadline=None)
def test_each_file_is_applied_once_whatever_the_sink_answers(moods: list[str], tmp_path_factory: Any) -> None:
    folder = tmp_path_factory.mktemp("push")
    expected, clock = make_periods(folder), Clock()
    with Sink() as sink:
        sink.moods.extend(moods)
        assert push(folder, sink, clock) == ExportResult(pushed=3)
        assert applied(sink) == expected
        before = sink.pushes
        assert push(folder, sink, clock) == ExportResult() and sink.pushes == before


def test_late_answer_is_retried_and_rejected_file_is_parked(tmp_path: Path) -> None:
    expected, clock = make_periods(tmp_path), Clock()
    with Sink() as sink:
        sink.moods.extend(["late", "well", "422"])
        assert push(tmp_path, sink, clock) == ExportResult(pushed=2, parked=1)
        del expected["/p0.adjustment-1.csv"]
        assert applied(sink) == expected
    with Store.open(tmp_path) as store:
        assert b"no such customer" in (store.get(b"use/parked/p0.adjustment-1") or b"")


def crashing(at: int, after: bool) -> Callable[[ExportRunner], None]:
    """Ends the process at its `at`th push or write, before or after it is done."""

    def wrap(runner: ExportRunner) -> None:
        count = 0

        def counted(real: Callable[..., Any]) -> Callable[..., Any]:
            def step(*args: Any, **kwargs: Any) -> Any:
                nonlocal count
                count += 1
                if count == at and not after:
                    raise Crash
                result = real(*args, **kwargs)
                if count == at:
                    raise Crash
                return result

            return step

        runner.client.put = counted(runner.client.put)  # type: ignore[method-assign]
        runner.store.batch = counted(runner.store.batch)  # type: ignore[method-assign]

    return wrap


def test_crash_at_each_step_loses_nothing_and_applies_nothing_twice(tmp_path: Path) -> None:
    """There are seven steps: a lease, then a push and a receipt for each file. A second crash follows."""
    crashes = 0
    for first in range(1, 8):
        for after in (False, True):
            folder, clock = tmp_path / f"{first}{after}", Clock()
            expected = make_periods(folder)
            with Sink() as sink:
                for number, wrap in enumerate([crashing(first, after), crashing(2, not after), None]):
                    try:
                        push(folder, sink, clock, f"x{number}", wrap)
                    except Crash:
                        crashes += 1
                assert applied(sink) == expected
                with Store.open(folder) as store:
                    assert len(list(store.scan(b"use/receipt/"))) == 3
    assert crashes > 20


@pytest.mark.parametrize("finishes", [True, False])
def test_delayed_exporter_writes_nothing_under_its_expired_lease(finishes: bool, tmp_path: Path) -> None:
    expected, clock = make_periods(tmp_path), Clock()

    def delay_push(runner: ExportRunner) -> None:
        real = runner.client.put

        def put(*args: Any, **kwargs: Any) -> httpx.Response:
            answer = real(*args, **kwargs)
            runner.client.put = real  # type: ignore[method-assign]
            # Meanwhile another exporter takes over, and pushes everything or nothing.
            clock.now += LEASE_DURATION_MS
            sink.moods.extend([] if finishes else ["500"])
            sleep = clock.sleep if finishes else lambda ms: False
            other = ExportRunner(runner.ledger, runner.client, "y", lambda: clock.now, sleep)
            assert other.run() == (ExportResult(pushed=3) if finishes else ExportResult(remaining=3))
            return answer

        runner.client.put = put  # type: ignore[method-assign]

    with Sink() as sink:
        assert push(tmp_path, sink, clock, "x", delay_push) == ExportResult(pushed=0 if finishes else 3)
        assert applied(sink) == expected and sink.fence == (2 if finishes else 3)
    with Store.open(tmp_path) as store:  # none under the expired lease
        assert {json.loads(r.value)["fence"] for r in store.scan(b"use/receipt/")} == {sink.fence}


def test_push_command_sends_its_token_and_prints_the_remaining_count(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    make_periods(tmp_path / "books")
    (tmp_path / "token").write_text("secret\n")
    with Sink() as sink:
        words = f'store = "books"\nspool = "spool"\n[sink]\nurl = "{sink.url}"\ntoken = "token"\n'
        (tmp_path / "usage.toml").write_text(words)
        command = ["usage", "--settings", str(tmp_path / "usage.toml"), "push"]
        sink.moods.append("500")
        assert main([*command, "--for=0"]) == 1
        assert "0 files pushed, 0 parked, 3 left" in capsys.readouterr().out
    assert sink.tokens == {"Bearer secret"}
    (tmp_path / "usage.toml").write_text(words.replace("http:", "ftp:"))
    assert main(command) == 2
    assert "sink.url: is 'ftp:" in capsys.readouterr().err


@given(data=st.binary(max_size=40))
def test_parse_receipt_returns_none_for_anything_else(data: bytes) -> None:
    assert parse_receipt(data) is None
    assert parse_receipt(b'{"key": 1, "digest": "a"}') is None
