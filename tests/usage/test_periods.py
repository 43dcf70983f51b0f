"""The sealed lines and the adjustments of periods add up to all counted usage."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from roadpulley.checks import ValidationError
from roadpulley.cli import main
from roadpulley.store import Store
from roadpulley.usage import spool
from roadpulley.usage.accumulator import Batch, UsageKey, UsageTotals
from roadpulley.usage.ledger import UsageLedger
from roadpulley.usage.periods import BillingPeriods, encode_csv, format_line, is_signature_valid

KEY = b"k" * 32
CUSTOMERS = ("00000000000000aa", "00000000000000bb")
STEP = st.one_of(
    st.tuples(st.just("batch"), st.integers(0, 11), st.integers(0, 1), st.integers(-900, 9_000)),
    st.tuples(st.just("batch"), st.integers(0, 11), st.integers(0, 1), st.integers(-900, 9_000)),
    st.tuples(st.just("close"), st.integers(0, 3)),
    st.tuples(st.just("adjust"), st.integers(0, 3)),
    st.tuples(st.just("reopen")),
)


def thousandths(lines: Any) -> Counter[tuple[str, str]]:
    total: Counter[tuple[str, str]] = Counter()
    for each in lines:
        total[each[0], each[1]] += int(each[7].replace(".", ""))
    return total


@given(history=st.lists(STEP, max_size=30))
@settings(max_examples=120, deadline=None)
def test_lines_and_adjustments_add_up_to_the_counted_usage(history: list[Any]) -> None:
    """Four periods of three hours. Batches for any of them arrive at any time."""
    with TemporaryDirectory() as directory:
        store, number = Store.open(directory), 0
        counted: Counter[tuple[str, str]] = Counter()
        exported = dict[str, bytes]()
        for step in history:
            periods = BillingPeriods(UsageLedger(store))
            if step[0] == "batch":
                number += 1
                row = UsageKey(CUSTOMERS[step[2]], "basic", 1, 0, "view", step[1])
                periods.ledger.ingest(Batch("n0", "a", number, 0, {row: UsageTotals(1, step[3], 0)}))
                counted[str(step[1]), row.customer] += step[3]
            elif step[0] == "close":
                try:
                    period = periods.close(f"p{step[1]}", 3 * step[1], 3 * step[1] + 3, 12, 1)
                except ValidationError:
                    continue
                data = encode_csv(periods.read_lines(period))
                assert exported.setdefault(period.name, data) == data
            elif step[0] == "adjust" and f"p{step[1]}" in exported:
                adjustment = periods.create_adjustment(periods.find(f"p{step[1]}"), KEY, 1)
                assert adjustment is None or is_signature_valid(KEY, adjustment)
            elif step[0] == "reopen":
                store.close()
                store = Store.open(directory)
        periods = BillingPeriods(UsageLedger(store))
        billed = thousandths(format_line(*each) for each in periods.ledger.rows(b"adjust"))
        for period in periods.list_all():
            assert (
                encode_csv(periods.read_lines(period)) == exported[period.name]
            )  # the same bytes, whatever arrived since
            billed.update(thousandths(periods.read_lines(period)))
            for number, each in enumerate(periods.list_adjustments(period), 1):
                assert each.number == number and is_signature_valid(KEY, each)
                for (hour, customer_id), units in thousandths(each.lines).items():
                    billed[hour, customer_id] += units
        done = {p.start for p in periods.list_all()}
        for row, total in periods.ledger.rows(b"row"):
            if row.hour // 3 * 3 not in done:
                billed[str(row.hour), row.customer] += total.units
        assert {k: v for k, v in billed.items() if v} == {k: v for k, v in counted.items() if v}
        store.close()


def test_changed_lines_are_not_exported_and_forged_adjustments_are_detected(tmp_path: Any) -> None:
    with Store.open(tmp_path) as store:
        periods = BillingPeriods(UsageLedger(store))
        row = UsageKey(CUSTOMERS[0], "basic", 1, 0, "view", 1)
        periods.ledger.ingest(Batch("n0", "a", 1, 0, {row: UsageTotals(1, 5_000, 0)}))
        period = periods.close("p0", 0, 3, 12, 1)
        assert encode_csv(periods.read_lines(period)).endswith(
            b"1,00000000000000aa,basic,1,0,view,1,5.000\r\n"
        )
        periods.ledger.ingest(Batch("n0", "a", 2, 0, {row: UsageTotals(0, -1_250, 1)}))
        adjustment = periods.create_adjustment(period, KEY, 7)
        assert (
            adjustment is not None
            and adjustment.lines[0][6:] == ("0", "-1.250")
            and is_signature_valid(KEY, adjustment)
        )
        assert periods.create_adjustment(period, KEY, 8) is None  # once only
        for forged in (
            replace(adjustment, number=2),
            replace(adjustment, lines=()),
            replace(adjustment, created_at_ms=8),
        ):
            assert not is_signature_valid(KEY, forged)
        assert not is_signature_valid(b"x" * 32, adjustment)
        key = next(record.key for record in store.scan(b"use/row/"))
        store.put(key, b"[1,9000,0]")
        with pytest.raises(ValidationError, match="not those that were sealed"):
            periods.read_lines(period)


@pytest.mark.parametrize(
    ("name", "start", "end", "message"),
    [
        ("p1", 2, 5, "'p1' from hour 2 to 5 meets 'p0', 0 to 3"),
        ("p0", 3, 6, "meets 'p0'"),
        ("P1", 3, 6, "is 'P1'; give 1 to 32"),
        ("p1", 6, 13, "and it is 12; close it once it is over"),
        ("p1", 6, 6, "runs from hour 6 to 6"),
    ],
)
def test_close_rejects_an_invalid_period(
    name: str, start: int, end: int, message: str, tmp_path: Any
) -> None:
    with Store.open(tmp_path) as store:
        periods = BillingPeriods(UsageLedger(store))
        first = periods.close("p0", 0, 3, 12, 1)
        assert periods.close("p0", 0, 3, 12, 99) == first  # again
        with pytest.raises(ValidationError, match=message):
            periods.close(name, start, end, 12, 1)
        with pytest.raises(ValidationError, match="the closed ones are: p0"):
            periods.find("p9")
        with pytest.raises(ValidationError, match="key: has 3 bytes"):
            periods.ledger.ingest(
                Batch("n0", "a", 1, 0, {UsageKey(CUSTOMERS[0], "b", 1, 0, "view", 1): UsageTotals(1, 1, 0)})
            )
            periods.create_adjustment(first, b"abc", 1)


def test_commands_close_adjust_export_and_verify_a_period(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "usage.toml").write_text('store = "books"\nspool = "spool"\nkey = "key"\n')
    (tmp_path / "key").write_bytes(KEY)
    (tmp_path / "spool").mkdir()

    def usage(*words: str) -> int:
        return main(["usage", "--settings", str(tmp_path / "usage.toml"), *words])

    row = UsageKey(CUSTOMERS[0], "basic", 3, 2, "view", 447_000)  # in December of 2020
    spool.write(tmp_path / "spool", Batch("n/0", "a", 1, 0, {row: UsageTotals(2, 5_500, 0)}))
    assert usage("collect") == 0
    span = "--from=2020-12-01T00", "--to=2021-01-01T00"
    assert usage("close", "2020-12", *span) == 0 == usage("export", "2020-12", "--to", str(tmp_path / "out"))
    first = {f.name: f.read_bytes() for f in (tmp_path / "out").iterdir()}
    assert first["2020-12.csv"].splitlines()[1:] == [b"447000,00000000000000aa,basic,3,2,view,2,5.500"]
    spool.write(tmp_path / "spool", Batch("n/0", "a", 2, 0, {row: UsageTotals(0, -500, 1)}))
    assert usage("collect") == 0 == usage("adjust", "2020-12")
    assert usage("export", "2020-12", "--to", str(tmp_path / "out")) == 0 == usage("verify", "2020-12")
    again = {f.name: f.read_bytes() for f in (tmp_path / "out").iterdir()}
    assert again["2020-12.csv"] == first["2020-12.csv"] and b"0,-0.500" in again["2020-12.adjustment-1.csv"]
    (tmp_path / "key").write_bytes(b"x" * 32)
    assert usage("verify", "2020-12") == 1
    assert usage("close", "2021", "--from=2021-01", "--to=2022-01-01T00") == 2
    assert "--from: is '2021-01'; give an hour in UTC" in capsys.readouterr().err
    assert usage("show", "--customer", CUSTOMERS[0]) == 0
    assert "3+2" in capsys.readouterr().out
