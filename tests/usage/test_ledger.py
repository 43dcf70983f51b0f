"""Usage is billed exactly once despite crashes. Generated histories are compared with a plain count."""

from __future__ import annotations

import shutil
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from roadpulley.checks import ValidationError
from roadpulley.store import Store
from roadpulley.usage import accumulator, batch_format, spool
from roadpulley.usage.accumulator import HOUR_MS, Batch, UsageAccumulator, UsageKey, UsageTotals
from roadpulley.usage.ledger import UsageLedger

CUSTOMER = "00000000000000aa"
NOW = 498_926 * HOUR_MS


class Crash(Exception):
    """Raised where the simulated process ends."""


class Steps:
    """Ends the process at a given step on the disk, before or after the step is done."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.left, self.done = 10**9, True
        for owner, name in (
            (spool.os, "fsync"),
            (Path, "replace"),
            (Path, "unlink"),
            (UsageLedger, "ingest"),
        ):
            monkeypatch.setattr(owner, name, self.counted(getattr(owner, name)))

    def counted(self, real: Any) -> Any:
        def step(*args: Any, **kwargs: Any) -> Any:
            self.left -= 1
            if self.left == 0 and not self.done:
                raise Crash
            result = real(*args, **kwargs)
            if self.left == 0:
                raise Crash
            return result

        return step


STEP = st.one_of(
    st.tuples(st.just("count"), st.integers(0, 3), st.integers(1, 9)),
    st.tuples(st.just("settle"), st.integers(0, 9), st.integers(0, 40)),
    st.tuples(st.just("flush"), st.integers(0, 8), st.booleans()),
    st.tuples(st.just("collect"), st.integers(0, 12), st.booleans()),
    st.tuples(st.just("kill")),
    st.tuples(st.just("again"), st.integers(0, 9)),
)


@given(history=st.lists(STEP, max_size=40))
@settings(max_examples=150, deadline=None)
def test_billed_usage_equals_counted_usage_less_what_killed_gateways_had_in_memory(
    history: list[Any],
) -> None:
    with TemporaryDirectory() as directory, pytest.MonkeyPatch.context() as patch:
        folder, spooled_files = Path(directory) / "spool", dict[str, bytes]()
        folder.mkdir()
        steps, counted, processes = Steps(patch), Counter[UsageKey](), 1
        gateway, sent = UsageAccumulator("n0", "1"), list[tuple[UsageKey, float]]()

        def remember_files() -> None:
            spooled_files.update({f.name: f.read_bytes() for f in folder.glob("*.use")})

        def flush(limit: int, done: bool) -> None:
            steps.left, steps.done = limit or 10**9, done
            try:
                for batch in gateway.close_batch(NOW):
                    spool.write(folder, batch)
                    gateway.confirm_written(batch.number)
            except Crash:
                pass  # the gateway treats this as a disk error and writes again later
            finally:
                steps.left = 10**9
                remember_files()

        def collect(limit: int, done: bool) -> None:
            steps.left, steps.done = limit or 10**9, done
            try:
                with Store.open(Path(directory) / "store") as store:
                    spool.collect(folder, UsageLedger(store))
            except Crash:
                pass
            finally:
                steps.left = 10**9

        for step in history:
            if step[0] == "count":
                row = gateway.count_sent(
                    NOW + step[1] * HOUR_MS, CUSTOMER, ("basic", 1, 0), "view", float(step[2])
                )
                assert row is not None
                counted[row] += step[2] * 1_000
                sent.append((row, float(step[2])))
            elif step[0] == "settle" and sent:
                row, estimate = sent.pop(step[1] % len(sent))
                gateway.count_settled(NOW, row, estimate, step[2] / 4)
                counted[row] += step[2] * 250 - round(estimate * 1_000)
            elif step[0] == "flush":
                flush(*step[1:])
            elif step[0] == "collect":
                collect(*step[1:])
            elif step[0] == "again" and spooled_files:  # a file arrives a second time
                name = sorted(spooled_files)[step[1] % len(spooled_files)]
                (folder / name).write_bytes(spooled_files[name])
            elif step[0] == "kill":
                lost = [
                    b
                    for b in gateway.unwritten_batches
                    if f"n0-{gateway.process_id}-{b.number:012d}.use" not in spooled_files
                ]
                for rows in [gateway.rows, *(b.rows for b in lost)]:
                    for row, s in rows.items():
                        counted[row] -= s.units
                processes += 1
                gateway, sent = UsageAccumulator("n0", str(processes)), []
        flush(0, True)
        collect(0, True)
        with Store.open(Path(directory) / "store") as store:
            billed = {row: s.units for row, s in UsageLedger(store).rows()}
        assert {r: u for r, u in billed.items() if u} == {r: u for r, u in counted.items() if u}
        shutil.rmtree(folder)


def batch(number: int, hour: int = 10, units: int = 5_000) -> Batch:
    return Batch(
        "n0", "a", number, NOW, {UsageKey(CUSTOMER, "basic", 1, 0, "view", hour): UsageTotals(1, units, 0)}
    )


def test_usage_of_a_closed_hour_is_stored_as_an_adjustment(tmp_path: Path) -> None:
    with Store.open(tmp_path) as store:
        books = UsageLedger(store)
        books.ingest(batch(1))
        books.close_hours(11)
        assert (
            books.ingest(batch(2, units=-2_000)).late_rows == 1
            and books.ingest(batch(3, hour=11)).late_rows == 0
        )
        assert [s.units for _, s in books.rows(b"row", 10, 11)] == [5_000]
        assert [s.units for _, s in books.rows(b"adjust")] == [-2_000]
        assert [r.hour for r, _ in books.rows(b"row", 11)] == [11]
        with pytest.raises(ValidationError, match="all before 11 are closed"):
            books.close_hours(10)


def test_collect_leaves_a_batch_after_a_gap_and_renames_a_damaged_file(tmp_path: Path) -> None:
    folder = tmp_path / "spool"
    folder.mkdir()
    spool.write(folder, batch(2))
    with Store.open(tmp_path / "store") as store:
        books = UsageLedger(store)
        assert spool.collect(folder, books) == (0, 0, 0) and len(list(folder.iterdir())) == 1
        spool.write(folder, batch(1))
        (folder / "n0-b-000000000001.use").write_bytes(batch_format.encode_batch(batch(1))[:-9])
        assert spool.collect(folder, books) == (2, 0, 1)
        assert [f.suffix for f in folder.iterdir()] == [".bad"]
        assert sum(s.units for _, s in books.rows()) == 10_000


def test_accumulator_bounds_memory_and_counts_drops_when_writes_fail(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(accumulator, "MAX_BATCH_ROWS", 3)
    monkeypatch.setattr(accumulator, "MAX_UNWRITTEN_BATCHES", 2)
    gateway = UsageAccumulator("n0", "a")
    rows = [gateway.count_sent(NOW, f"{n:016x}", ("basic", 1, 0), "view", 1.0) for n in range(12)]
    assert [r is not None for r in rows] == [True] * 9 + [False] * 3 and gateway.dropped_tries == 3
    assert sum(len(b.rows) for b in gateway.unwritten_batches) + len(gateway.rows) == 9
    gateway.confirm_written(1)
    assert [b.number for b in gateway.unwritten_batches] == [2]
    assert gateway.count_sent(NOW, f"{99:016x}", ("basic", 1, 0), "view", 1.0) is not None


@given(data=st.binary(max_size=80), cut=st.integers(0, 200), flip=st.integers(0, 400))
@settings(max_examples=200, deadline=None)
def test_decode_batch_rejects_truncated_and_altered_batches(data: bytes, cut: int, flip: int) -> None:
    good = batch_format.encode_batch(batch(1))
    assert batch_format.decode_batch(good) == batch(1)
    flipped = bytearray(good)
    flipped[flip % len(good)] ^= 1
    for bad in (data, good[: min(cut, len(good) - 1)], bytes(flipped), good + data if data else b""):
        with pytest.raises(ValidationError):
            batch_format.decode_batch(bad)
