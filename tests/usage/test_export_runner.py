"""Pushing to a sink that loses, delays and halves, with a crash at each step in turn: once as it sees it."""

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
    """The process ends here; nothing below may take it for an error."""


def made(folder: Path) -> dict[str, bytes]:
    """Two closed periods, one with an adjustment; gives what is to be applied, by path."""
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
        pushing = ExportRunner(UsageLedger(store), client, holder, lambda: clock.now, clock.sleep)
        if wrap is not None:
            wrap(pushing)
        return pushing.run()


def applied(sink: Sink) -> dict[str, bytes]:
    """By path; fails where a path was applied under two keys."""
    paths = [path for path, _ in sink.applied.values()]
    assert len(paths) == len(set(paths)), "applied twice"
    return dict(sink.applied.values())


@given(moods=st.lists(st.sampled_from([m for m in MOODS if m not in ("422", "late")]), max_size=8))
@settings(max_examples=30, deadline=None)
def test_whatever_the_sink_does_each_file_is_applied_once(moods: list[str], tmp_path_factory: Any) -> None:
    folder = tmp_path_factory.mktemp("push")
    due, clock = made(folder), Clock()
    with Sink() as sink:
        sink.moods.extend(moods)
        assert push(folder, sink, clock) == ExportResult(pushed=3)
        assert applied(sink) == due
        before = sink.pushes
        assert push(folder, sink, clock) == ExportResult() and sink.pushes == before


def test_a_late_answer_and_a_refusal(tmp_path: Path) -> None:
    due, clock = made(tmp_path), Clock()
    with Sink() as sink:
        sink.moods.extend(["late", "well", "422"])
        assert push(tmp_path, sink, clock) == ExportResult(pushed=2, parked=1)
        del due["/p0.adjustment-1.csv"]
        assert applied(sink) == due
    with Store.open(tmp_path) as store:
        assert b"no such customer" in (store.get(b"use/parked/p0.adjustment-1") or b"")


def crashing(at: int, after: bool) -> Callable[[ExportRunner], None]:
    """The process ends at its `at`th step outwards, before it is done or after."""

    def wrap(pushing: ExportRunner) -> None:
        count = 0

        def counted(real: Callable[..., Any]) -> Callable[..., Any]:
            def step(*args: Any, **more: Any) -> Any:
                nonlocal count
                count += 1
                if count == at and not after:
                    raise Crash
                result = real(*args, **more)
                if count == at:
                    raise Crash
                return result

            return step

        pushing.client.put = counted(pushing.client.put)  # type: ignore[method-assign]
        pushing.store.batch = counted(pushing.store.batch)  # type: ignore[method-assign]

    return wrap


def test_a_crash_at_each_step_in_turn_loses_and_repeats_nothing(tmp_path: Path) -> None:
    """A lease, then a push and a receipt for each file: seven steps; then the same with a second crash."""
    crashes = 0
    for first in range(1, 8):
        for after in (False, True):
            folder, clock = tmp_path / f"{first}{after}", Clock()
            due = made(folder)
            with Sink() as sink:
                for number, wrap in enumerate([crashing(first, after), crashing(2, not after), None]):
                    try:
                        push(folder, sink, clock, f"x{number}", wrap)
                    except Crash:
                        crashes += 1
                assert applied(sink) == due
                with Store.open(folder) as store:
                    assert len(list(store.scan(b"use/receipt/"))) == 3
    assert crashes > 20


@pytest.mark.parametrize("finishes", [True, False])
def test_an_exporter_that_was_held_up_writes_nothing_under_its_old_lease(
    finishes: bool, tmp_path: Path
) -> None:
    due, clock = made(tmp_path), Clock()

    def held_up(pushing: ExportRunner) -> None:
        real = pushing.client.put

        def put(*args: Any, **more: Any) -> httpx.Response:
            answer = real(*args, **more)
            pushing.client.put = real  # type: ignore[method-assign]
            clock.now += (
                LEASE_DURATION_MS  # and meanwhile another has taken over, and does all of it or gets nowhere
            )
            sink.moods.extend([] if finishes else ["500"])
            sleep = clock.sleep if finishes else lambda ms: False
            other = ExportRunner(pushing.ledger, pushing.client, "y", lambda: clock.now, sleep)
            assert other.run() == (ExportResult(pushed=3) if finishes else ExportResult(remaining=3))
            return answer

        pushing.client.put = put  # type: ignore[method-assign]

    with Sink() as sink:
        assert push(tmp_path, sink, clock, "x", held_up) == ExportResult(pushed=0 if finishes else 3)
        assert applied(sink) == due and sink.fence == (2 if finishes else 3)
    with Store.open(tmp_path) as store:  # none under the lease that was lost
        assert {json.loads(r.value)["fence"] for r in store.scan(b"use/receipt/")} == {sink.fence}


def test_the_command_pushes_with_its_token_and_says_what_is_left(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    made(tmp_path / "books")
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
def test_what_is_no_receipt_is_none(data: bytes) -> None:
    assert parse_receipt(data) is None
    assert parse_receipt(b'{"key": 1, "digest": "a"}') is None
