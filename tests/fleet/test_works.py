"""Registers of the works reject a holder that was paused while another process acquired the duty."""

from __future__ import annotations

import math
import time
from dataclasses import replace
from pathlib import Path

import pytest

from roadpulley.checks import ValidationError
from roadpulley.cli import main
from roadpulley.fences import StaleFenceError
from roadpulley.fleet.duties.registers import FileRegister
from roadpulley.fleet.duties.work import HeldDuty, WorkError
from roadpulley.fleet.works.plans import PlanPublisher
from roadpulley.fleet.works.store_maintenance import MaintenanceSettings, StoreMaintenance
from roadpulley.fleet.works.usage import BillingPusher, PeriodCloser
from roadpulley.plans import feed
from roadpulley.plans.follower import Follower
from roadpulley.plans.plan_store import PlanStore
from roadpulley.plans.settings import PlanSettings
from roadpulley.plans.terms import Terms
from roadpulley.store import Store, Write, fences
from roadpulley.testbed.sink import Sink
from roadpulley.usage.accumulator import Batch, UsageKey, UsageTotals
from roadpulley.usage.billing_calendar import Calendar, find_period, list_due_periods
from roadpulley.usage.ledger import UsageLedger
from roadpulley.usage.periods import BillingPeriods
from roadpulley.usage.settings import UsageSettings, read_settings


def make_held_duty(fence: int, held: bool = True) -> HeldDuty:
    """A duty that counts as held forever, like in a process that was paused after its check, or never."""
    return HeldDuty("duty", fence, lambda: math.inf if held else -math.inf, time.monotonic)


def make_usage_settings(folder: Path, sink: str = "", calendar: Calendar | None = None) -> UsageSettings:
    return UsageSettings(folder / "books", folder / "spool", None, sink, None, 2.0, None, calendar)


def close_periods(settings: UsageSettings, *names: str) -> None:
    settings.store.parent.mkdir(exist_ok=True)
    with Store.open(settings.store) as store:
        periods = BillingPeriods(UsageLedger(store))
        done = len(periods.list_all())
        for number, name in enumerate(names, done):
            row = UsageKey("00000000000000aa", "basic", 1, 0, "view", number)
            periods.ledger.ingest(Batch("n0", "a", number + 1, 0, {row: UsageTotals(1, 5_000, 0)}))
            periods.close(name, number, number + 1, 1000, 1)


def test_fenced_write_is_rejected_after_a_higher_claim(tmp_path: Path) -> None:
    with Store.open(tmp_path) as store:
        assert fences.claim_fence(store, "d", 5, "a") is None
        fenced_store = fences.FencedStore(store, "d", 5)
        fenced_store.put(b"k", b"1")
        assert fences.claim_fence(store, "d", 5, "a") is None  # its own claim, repeated
        assert fences.claim_fence(store, "d", 5, "b") == 5  # another holding with the same fence
        assert fences.claim_fence(store, "d", 4, "a") == 5
        fenced_store.put(b"k", b"2")
        assert fences.claim_fence(store, "d", 9, "b") is None
        with pytest.raises(StaleFenceError) as low:
            fenced_store.put(b"k", b"3")
        assert low.value.highest == 9
        assert store.get(b"k") == b"2"


def test_claim_between_check_and_write_prevents_the_write(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with Store.open(tmp_path) as store:
        fences.claim_fence(store, "d", 5, "a")
        write = Store.batch

        def claim_then_write(self: Store, writes: tuple[Write, ...]) -> int:
            monkeypatch.setattr(Store, "batch", write)
            assert fences.claim_fence(store, "d", 6, "b") is None
            return write(self, writes)

        monkeypatch.setattr(Store, "batch", claim_then_write)
        with pytest.raises(StaleFenceError):
            fences.FencedStore(store, "d", 5).put(b"k", b"late")
        assert store.get(b"k") is None


def test_pusher_uses_the_fence_of_its_holding_and_a_lower_one_is_rejected(tmp_path: Path) -> None:
    with Sink() as sink:
        settings = make_usage_settings(tmp_path, sink.url)
        close_periods(settings, "p0")
        first, second = BillingPusher("push", settings), BillingPusher("push", settings)
        assert first.claim(7, "a") is None
        first.act(make_held_duty(7))
        assert sink.fences == [7]
        assert second.claim(8, "b") is None
        close_periods(settings, "p1")
        with pytest.raises(StaleFenceError) as low:
            first.act(make_held_duty(7))
        assert low.value.highest == 8
        second.act(make_held_duty(8))
        assert sorted(path for path, _ in sink.applied.values()) == ["/p0.csv", "/p1.csv"]
        assert sink.fences == [7, 8]


def test_sink_rejects_the_lower_fence_of_a_machine_with_separate_books(tmp_path: Path) -> None:
    """Separate books share no fence: after the voters lost their state, only the sink rejects a low fence."""
    with Sink() as sink:
        first_settings, second_settings = (
            make_usage_settings(tmp_path / "a", sink.url),
            make_usage_settings(tmp_path / "b", sink.url),
        )
        close_periods(first_settings, "p0")
        close_periods(second_settings, "p0", "p1")
        assert BillingPusher("push", first_settings).claim(500, "a") is None
        BillingPusher("push", first_settings).act(make_held_duty(500))
        other = BillingPusher("push", second_settings)
        assert other.claim(3, "b") is None  # its books have no fence yet
        with pytest.raises(StaleFenceError) as low:
            other.act(make_held_duty(3))
        assert low.value.highest == 500
        assert other.claim(501, "b") is None
        other.act(make_held_duty(501))
        assert sink.fences == [500, 501, 501]


def test_pusher_pushes_nothing_when_the_duty_is_not_held(tmp_path: Path) -> None:
    with Sink() as sink:
        settings = make_usage_settings(tmp_path, sink.url)
        close_periods(settings, "p0")
        work = BillingPusher("push", settings)
        work.claim(7, "a")
        work.act(make_held_duty(7, held=False))
        assert sink.pushes == 0


def test_closer_closes_periods_of_the_calendar_after_their_grace(tmp_path: Path) -> None:
    now = int(time.time()) // 3600
    _, day_end = find_period("day", now - 48)
    settings = make_usage_settings(tmp_path, calendar=Calendar("day", now - 48, 0))
    work = PeriodCloser("close", settings)
    assert work.claim(3, "a") is None
    work.act(make_held_duty(3))
    with Store.open(settings.store) as store:
        found = BillingPeriods(UsageLedger(store)).list_all()
    assert [p.start for p in found][0] == now - 48
    assert found[0].end == day_end
    assert found[-1].end <= now < found[-1].end + 24
    assert PeriodCloser("close", settings).claim(4, "b") is None
    with Store.open(settings.store) as store, pytest.raises(StaleFenceError):
        late = BillingPeriods(UsageLedger(fences.FencedStore(store, "close", 3)))
        late.close("late", found[-1].end, now + 1, now + 1, 1)
    with Store.open(settings.store) as store:
        assert BillingPeriods(UsageLedger(store)).list_all() == found


@pytest.mark.parametrize(
    ("every", "start", "now", "names"),
    [
        ("day", "2027-01-01T00", "2027-01-03T01", ["2027-01-01"]),  # the grace of the second day is not over
        ("day", "2027-01-01T05", "2027-01-03T02", ["2027-01-01", "2027-01-02"]),
        ("month", "2027-01-31T00", "2027-03-01T02", ["2027-01", "2027-02"]),
        ("month", "2028-02-01T00", "2028-03-01T01", []),
    ],
)
def test_calendar_lists_periods_that_are_due(every: str, start: str, now: str, names: list[str]) -> None:
    from datetime import UTC, datetime

    def hour(text: str) -> int:
        return int(datetime.strptime(text, "%Y-%m-%dT%H").replace(tzinfo=UTC).timestamp()) // 3600

    found = list_due_periods(Calendar(every, hour(start), 2), 0, hour(now))
    assert [d.name for d in found] == names
    assert all(a.end == b.start for a, b in zip(found, found[1:], strict=False))
    assert list_due_periods(Calendar(every, hour(start), 2), found[-1].end if found else 0, hour(now)) == []


def test_feed_of_a_paused_holder_is_rejected(tmp_path: Path) -> None:
    settings = PlanSettings(tmp_path / "plans", tmp_path / "plans.json", 200, 0.0)
    first, second = PlanPublisher("plans", settings), PlanPublisher("plans", settings)
    assert first.claim(5, "a") is None
    first.act(make_held_duty(5))
    old = settings.feed.read_bytes()
    assert second.claim(6, "b") is None
    with Store.open(settings.store) as store:
        plan_store = PlanStore(store, settings.feed, lambda: 1)
        plan_store.write(plan_store.catalog.schedule(1, "basic", Terms(rate=5.0, burst=5.0)))
    second.act(make_held_duty(6))
    new = feed.load(settings.feed.read_bytes())
    assert (new.fence, "basic" in new.plans) == (6, True)
    with Store.open(settings.store) as store:
        plan_store = PlanStore(store, settings.feed, lambda: 1)
        plan_store.write(plan_store.catalog.schedule(1, "basic", Terms(rate=6.0, burst=5.0)))
    with pytest.raises(StaleFenceError):
        first.act(make_held_duty(5))
    follower = Follower({})
    follower.apply(10, new)
    late = replace(feed.load(old), seq=new.seq + 5)  # based on a later book, but written late
    assert follower.apply(11, late) == []
    assert follower.document is new


def test_command_keeps_the_fence_of_the_feed(tmp_path: Path) -> None:
    settings = PlanSettings(tmp_path / "plans", tmp_path / "plans.json", 200, 0.0)
    work = PlanPublisher("plans", settings)
    work.claim(5, "a")
    work.act(make_held_duty(5))
    with Store.open(settings.store) as store:
        assert PlanStore(store, settings.feed, lambda: 1).publish().fence == 5


def test_copies_are_fenced_and_the_oldest_are_removed(tmp_path: Path) -> None:
    with Store.open(tmp_path / "store") as store:
        store.put(b"k", b"v")
    settings = MaintenanceSettings(tmp_path / "store", tmp_path / "copies", 2, 0.0)
    work = StoreMaintenance("care", settings)
    assert work.claim(5, "a") is None
    for n in range(3):
        work.make_copy(make_held_duty(5))
        work.list_copies()[-1].rename(settings.copies / f"2027010{n + 1}T000000.000000Z-5")
    work.make_copy(make_held_duty(5))
    assert len(work.list_copies()) == 2
    with Store.open(work.list_copies()[0]) as copy:
        assert copy.get(b"k") == b"v"
    assert StoreMaintenance("care", settings).claim(6, "b") is None
    before = work.list_copies()
    with pytest.raises(StaleFenceError):
        work.make_copy(make_held_duty(5))
    assert work.list_copies() == before
    StoreMaintenance("care", settings).make_copy(make_held_duty(6))
    assert not list(settings.copies.glob("part-*"))  # including that of the first holder


def test_file_register_guards_one_act_at_a_time(tmp_path: Path) -> None:
    register = FileRegister(tmp_path / "fence")
    assert register.claim(5, "a") is None
    with register.guard(5), pytest.raises(WorkError):
        FileRegister(tmp_path / "fence").claim(6, "b")
    assert register.claim(6, "b") is None
    assert register.claim(5, "a") == 6
    (tmp_path / "fence").write_text("who knows")
    with pytest.raises(WorkError):
        register.claim(7, "c")


def test_errors_in_settings_of_works_name_the_key(tmp_path: Path) -> None:
    path = tmp_path / "usage.toml"
    for text, key in (
        ('[close]\nevery = "week"\nfrom = "2027-01-01T00"', "close.every"),
        ('[close]\nevery = "day"\nfrom = "2027-01-01"', "close.from"),
        ('[close]\nevery = "day"\nfrom = "2027-01-01T00"\ngrace_h = -1', "close.grace_h"),
    ):
        path.write_text('store = "s"\nspool = "p"\n' + text)
        with pytest.raises(ValidationError, match=key.replace(".", r"\.")):
            read_settings(path)
    with pytest.raises(ValidationError, match="close"):
        PeriodCloser("c", make_usage_settings(tmp_path))
    with pytest.raises(ValidationError, match="sink.url"):
        BillingPusher("p", make_usage_settings(tmp_path))


def test_commands_leave_publishing_and_pushing_to_the_holder(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """With a fleet in their settings they change the book only, and neither publish nor push."""
    (tmp_path / "fleet.toml").write_text(
        'installation = "x"\ncontrol = "run"\n[voters]\n'
        + "".join(f'{n} = "127.0.0.1:{p}"\n' for n, p in (("a", 7001), ("b", 7002), ("c", 7003)))
        + '[duties.feed]\nwork = "plans-publish"\nsettings = "plans.toml"\n'
        + '[duties.billing]\nwork = "usage-push"\nsettings = "usage.toml"\n'
    )
    (tmp_path / "plans.toml").write_text('store = "plans"\nfeed = "plans.json"\nfleet = "fleet.toml"\n')
    command = ["plan", "--settings", str(tmp_path / "plans.toml")]
    assert main([*command, "set", "basic", "--rate", "5", "--burst", "5"]) == 0
    assert not (tmp_path / "plans.json").exists()
    assert "nobody on this machine knows who holds it" in capsys.readouterr().err
    with Sink() as sink:
        text = f'store = "books"\nspool = "spool"\nfleet = "fleet.toml"\n[sink]\nurl = "{sink.url}"\n'
        (tmp_path / "usage.toml").write_text(text)
        close_periods(make_usage_settings(tmp_path, sink.url), "p0")
        assert main(["usage", "--settings", str(tmp_path / "usage.toml"), "push"]) == 1
        assert sink.pushes == 0
    work = PlanPublisher("feed", PlanSettings(tmp_path / "plans", tmp_path / "plans.json", 200, 0.0))
    work.claim(5, "a")
    work.act(make_held_duty(5))
    assert "basic" in feed.load((tmp_path / "plans.json").read_bytes()).plans
