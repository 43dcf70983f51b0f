"""Changes of plans by command reach a running gateway; a feed that is older than its store is republished."""

from __future__ import annotations

import asyncio
import logging
import secrets
import time
from pathlib import Path

import pytest
from loopback import Backend, World, in_loop, running, until

from roadpulley.cli import main
from roadpulley.cli.plan import shown
from roadpulley.core.driver import Driver
from roadpulley.plans.catalog import VersionConflictError
from roadpulley.plans.feed import load
from roadpulley.plans.feed_watcher import FeedWatcher
from roadpulley.plans.plan_store import PlanStore
from roadpulley.plans.terms import Terms
from roadpulley.store import Store

SETTINGS = 'store = "book"\nfeed = "feed.json"\nlook_ms = 10\n'


def plan(folder: Path, *words: str) -> int:
    return main(["plan", "--settings", str(folder / "plans.toml"), *words])


async def wait_for_served(world: World, least: int) -> None:
    """Send requests until `least` of them were served; some may be rejected during a stall."""
    peer = await world.client()
    while least:
        least -= await world.ask(peer, id=secrets.token_hex(8).encode(), plan=b"basic") == b"value"


def test_upgrade_by_command_reaches_a_running_gateway(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    (tmp_path / "plans.toml").write_text(SETTINGS)

    async def scenario() -> None:
        seen: list[Driver] = []
        monkeypatch.setattr(Driver, "start_lag_monitor", lambda self: seen.append(self))
        async with running(World(Backend())) as world:
            watch = FeedWatcher(tmp_path / "feed.json", 10.0, seen[0], seen[0].timers)
            watch.poll()
            assert "plans stay as they are" in caplog.text  # no feed yet
            # The deployment's plan has a burst of 2 and a rate of 1 per second, at most 22 during this test.
            await wait_for_served(world, 1)
            loop = asyncio.get_running_loop()
            assert (
                await loop.run_in_executor(None, plan, tmp_path, "set", "basic", "--rate=1", "--burst=60")
                == 0
            )
            await until(lambda: watch.follower.document.seq)
            await wait_for_served(world, 40)
            (tmp_path / "feed.json").write_bytes(b'{"format": 1')
            await until(lambda: "is no JSON" in caplog.text)
            customer = "00000000b4d65521"
            words = ("assign", customer, "basic"), ("override", customer, "--burst=120", "--from=+300ms")
            for each in words:
                assert await loop.run_in_executor(None, plan, tmp_path, *each) == 0
            await until(lambda: seen[0].gateway.quotas.customer_plans.get(customer, None) is not None)
            # The override becomes effective by the gateway's clock.
            await until(lambda: seen[0].gateway.quotas.customer_plans[customer].burst == 120)
            await wait_for_served(world, 40)
            watch.close()

    in_loop(scenario)


def test_feed_is_republished_after_crash_and_conflicting_write_is_rejected(tmp_path: Path) -> None:
    file = tmp_path / "feed.json"
    with Store.open(tmp_path / "book") as store:
        plan_store = PlanStore(store, file, lambda: 5_000)
        version = plan_store.catalog.schedule(5_000, "basic", Terms(rate=1, burst=4))
        plan_store.publish = lambda: 1 / 0  # type: ignore[method-assign, assignment, return-value]
        with pytest.raises(ZeroDivisionError):
            plan_store.write(version)
    with Store.open(tmp_path / "book") as store:
        plan_store = PlanStore(store, file, lambda: 6_000)
        assert plan_store.catalog.plans == {"basic": [version]}  # acknowledged by the store
        assert plan_store.publish_if_behind() and not plan_store.publish_if_behind()
        assert load(file.read_bytes()).plans["basic"][0].terms == version.terms
        other = PlanStore(store, file, lambda: 6_000)
        plan_store.write(plan_store.catalog.schedule(6_000, "basic", Terms(rate=2, burst=4)))
        with pytest.raises(VersionConflictError):
            other.write(other.catalog.schedule(6_000, "basic", Terms(rate=3, burst=4)))


@pytest.mark.parametrize(
    ("words", "message"),
    [
        (("set", "Basic", "--rate=1", "--burst=2"), "plan: is 'Basic'; give 1 to 48 of"),
        (("set", "basic", "--rate=1"), "plan basic: rate is 1 and burst 0; give both"),
        (("set", "basic", "--rate=x"), "--rate: is 'x'; give a number"),
        (("set", "basic", "--price=1e3"), "price: is '1e3'; give decimal digits"),
        (("schedule", "basic", "--from=tomorrow"), "--from: is 'tomorrow'; give a time with its zone"),
        (("override", "b4d65521", "--rate=1"), "customer: is 'b4d65521'; give 16 hexadecimal digits"),
        (("history", "firm"), "firm: is no plan and no customer of the book; the plans are: none yet"),
    ],
)
def test_invalid_arguments_are_rejected_with_their_path(
    words: tuple[str, ...], message: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "plans.toml").write_text(SETTINGS)
    assert plan(tmp_path, *words) == 2
    assert message in capsys.readouterr().err
    assert load((tmp_path / "feed.json").read_bytes()).seq == 0


def test_unknown_setting_is_rejected_with_file_and_key(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "plans.toml").write_text(SETTINGS + "looks = 3\n")
    assert plan(tmp_path, "list") == 2
    assert "plans.toml: looks: is no key here; did you mean look_ms?" in capsys.readouterr().err


def reserve(folder: Path, *words: str) -> int:
    return main(["reserve", "--settings", str(folder / "plans.toml"), *words])


def test_reservation_on_top_raises_the_rate_for_its_span_and_is_stored(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "plans.toml").write_text(SETTINGS + "pool = 15\n")
    who = "00000000b4d65521"
    assert reserve(tmp_path, "make", who, "10", "--until=+10m") == 2
    assert "no plan is assigned to it at that time" in capsys.readouterr().err
    assert plan(tmp_path, "set", "basic", "--rate=10", "--burst=30") == 0
    assert plan(tmp_path, "assign", who, "basic") == 0
    start = (int(time.time()) + 86_400) * 1000  # tomorrow
    span = [f"--{name}={shown(at)}" for name, at in (("from", start), ("until", start + 600_000))]
    for _ in range(2):  # repeated, as after a lost answer
        assert reserve(tmp_path, "make", who, "6000", *span, "--on-top", "--id=a") == 0
    assert reserve(tmp_path, "make", who, "6000", *span, "--on-top", "--id=b") == 2
    assert "the installation's pool is promised already; 3,000 units fit" in capsys.readouterr().err
    entries = load((tmp_path / "feed.json").read_bytes()).customers[who]
    assert [(e.effective_from, e.terms and e.terms.rate) for e in entries][1:] == [
        (start, 20.0),
        (start + 600_000, 10.0),
    ]
    assert reserve(tmp_path, "list") == 0
    assert capsys.readouterr().out.count("10 a second on top of its plan") == 1
    assert (
        reserve(tmp_path, "cancel", "a")
        == 0
        == reserve(tmp_path, "make", who, "6000", *span, "--on-top", "--id=b")
    )
    assert reserve(tmp_path, "make", who, "1", *span, "--on-top", "--id=a") == 2
    assert "'a' is another reservation's" in capsys.readouterr().err
