"""Compares the plan catalog with a plain model, and a gateway that follows its feed with both."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mintford import interface as api
from roadpulley.checks import ValidationError
from roadpulley.plans import feed, records
from roadpulley.plans.catalog import PlanCatalog, Version, VersionConflictError
from roadpulley.plans.follower import Follower
from roadpulley.plans.terms import Terms

PLANS, CUSTOMERS = ("basic", "firm"), ("00000000000000aa", "00000000000000bb")
BASE = {"basic": api.Plan("basic", rate=1, burst=4, overage_cost=1)}


class Model:
    """The commands as plain lists, which each query searches in full."""

    def __init__(self) -> None:
        self.plans: list[tuple[str, int, int, float]] = []  # plan, from, order, rate
        self.assigned: list[tuple[str, int, int, str]] = []
        # customer, from, until, order, rate
        self.overrides: list[tuple[str, int, int, int, float | None]] = []

    def rate(self, plan: str, at: int) -> float | None:
        started = [
            (start, order, rate) for name, start, order, rate in self.plans if name == plan and start <= at
        ]
        return max(started)[2] if started else None

    def own(self, customer: str, at: int) -> tuple[str, float] | None:
        started = [
            (start, order, plan)
            for who, start, order, plan in self.assigned
            if who == customer and start <= at
        ]
        plan = max(started)[2] if started else ""
        rate = self.rate(plan, at)
        if rate is None:
            return None
        over = [
            (start, order, changed)
            for who, start, until, order, changed in self.overrides
            if who == customer and start <= at and (not until or at < until)
        ]
        changed = max(over)[2] if over else None
        return plan, rate if changed is None else changed


TIMES = st.integers(0, 5_000)
STEP = st.one_of(
    st.tuples(st.just("plan"), st.sampled_from(PLANS), TIMES, st.integers(1, 9)),
    st.tuples(st.just("assign"), st.sampled_from(CUSTOMERS), TIMES, st.sampled_from((*PLANS, ""))),
    st.tuples(st.just("override"), st.sampled_from(CUSTOMERS), TIMES, st.integers(0, 9), TIMES),
    st.tuples(st.just("off"), st.integers(0, 20)),
    st.tuples(st.just("wait"), st.integers(1, 4_000)),
    st.tuples(st.just("publish"), st.just(0)),
)


@given(steps=st.lists(STEP, max_size=25))
@settings(max_examples=200, deadline=None)
def test_follower_matches_model_at_every_time(steps: list[Any]) -> None:
    """Versions and documents are encoded and decoded. A follower that starts later has the same plans."""
    catalog, model, now, order, seq = PlanCatalog(), Model(), 1_000_000, 0, 0
    made: list[tuple[Version, tuple[list[Any], Any]]] = []
    follower, sent_plans = Follower(BASE), dict[tuple[str, str], api.Plan | None]()

    def take(events: list[api.PlanChanged]) -> None:
        for event in events:
            named = (
                ("customer", event.customer) if event.customer else ("plan", event.plan and event.plan.name)
            )
            sent_plans[named] = event.plan  # type: ignore[index]

    def publish() -> None:
        nonlocal seq
        seq += 1
        take(follower.apply(now, feed.load(feed.dump(feed.build_document(catalog, now, seq)))))

    def write(version: Version) -> Version:
        again = records.load(records.build_key(version), records.dump(version))
        assert again == version
        catalog.apply(again)
        return again

    for step in steps:
        order += 1
        kind, who = step[0], step[1]
        try:
            if kind == "plan":
                row = (who, now + step[2], order, float(step[3]))
                terms = Terms(rate=row[3], burst=10.0)
                made.append((write(catalog.schedule(now, who, terms, now + step[2])), (model.plans, row)))
                model.plans.append(row)
            elif kind == "assign":
                made.append((write(catalog.assign(now, who, step[3], now + step[2])), (model.assigned, 0)))
                given_ = (who, now + step[2], order, step[3])
                made[-1] = (made[-1][0], (model.assigned, given_))
                model.assigned.append(given_)
            elif kind == "override":
                until = now + step[2] + step[4] if step[4] else 0
                changes: dict[str, float | int | str] = {"rate": float(step[3])} if step[3] else {}
                version = write(catalog.override(now, who, changes, now + step[2], until))
                over = (who, now + step[2], until, order, float(step[3]) if step[3] else None)
                made.append((version, (model.overrides, over)))
                model.overrides.append(over)
            elif kind == "off" and made:
                version, (rows, entry) = made.pop(who % len(made))
                write(catalog.cancel_version(now, version))
                rows.remove(entry)
            elif kind == "wait":
                until_ = now + who
                while follower.get_next_change_ms() <= until_:
                    now = max(now, int(follower.get_next_change_ms()))
                    take(follower.advance(now))
                    check_sent_plans(model, sent_plans, now, seq, catalog)
                now = until_
            if kind != "wait":
                publish()
        except ValidationError:
            continue  # a rejected command isn't in the model either
        check_sent_plans(model, sent_plans, now, seq, catalog)
    late = Follower(BASE)
    events = late.apply(now, feed.build_document(catalog, now, seq + 1))
    fresh = {e.customer: e.plan for e in events if e.customer}
    for customer in CUSTOMERS:
        assert fresh.get(customer) == sent_plans.get(("customer", customer))


def check_sent_plans(
    model: Model, sent_plans: dict[Any, api.Plan | None], now: int, seq: int, catalog: PlanCatalog
) -> None:
    if not seq:
        return
    for name in PLANS:
        rate, plan = model.rate(name, now), sent_plans.get(("plan", name))
        version = catalog.get_version_at(name, now)
        assert (version.terms.rate if version else None) == rate
        assert (plan.rate if plan else None) == (rate if rate is not None or plan is None else plan.rate)
    for customer in CUSTOMERS:
        own, plan = model.own(customer, now), sent_plans.get(("customer", customer))
        assert (plan and (plan.name, plan.rate)) == own, (customer, now)


def test_effective_version_and_conflicting_command_are_rejected() -> None:
    catalog = PlanCatalog()
    first = catalog.schedule(1_000, "basic", Terms(rate=1, burst=4))
    catalog.apply(first)
    with pytest.raises(ValidationError, match="has begun"):
        catalog.cancel_version(1_000, first)
    with pytest.raises(VersionConflictError, match="is at version 1"):
        catalog.schedule(2_000, "basic", Terms(rate=2, burst=4), expect=0)
    with pytest.raises(ValidationError, match="from: is -2 s from now"):
        catalog.schedule(1_002_000, "basic", Terms(rate=2, burst=4), at=1_000_000)
    assert catalog.plans == {"basic": [first]}
    with pytest.raises(ValidationError, match="no plan assigned"):
        catalog.override(2_000, CUSTOMERS[0], {"rate": 5})
    with pytest.raises(ValidationError, match="does not hold at that time"):
        catalog.assign(2_000, CUSTOMERS[0], "firm")


@pytest.mark.parametrize(
    ("terms", "place"),
    [
        (Terms(rate=1), "terms: rate is 1 and burst 0"),
        (Terms(rate=1, burst=0.5), "terms.burst"),
        (Terms(ceiling_rate=1), "terms: ceiling_rate is 1"),
        (Terms(rate=5, burst=5, ceiling_rate=4, ceiling_burst=9), "terms.ceiling_rate: is 4; give 5"),
    ],
)
def test_contradictory_terms_are_rejected_with_their_path(terms: Terms, place: str) -> None:
    with pytest.raises(ValidationError, match=place.replace(".", r"\.")):
        PlanCatalog().schedule(0, "basic", terms)


def test_document_of_a_restored_store_is_ignored() -> None:
    catalog, follower = PlanCatalog(), Follower(BASE)
    catalog.apply(catalog.schedule(1_000, "basic", Terms(rate=1, burst=4)))
    yesterday = feed.build_document(catalog, 1_000, 1)
    catalog.apply(catalog.schedule(2_000, "basic", Terms(rate=9, burst=4)))
    (event,) = follower.apply(2_000, feed.build_document(catalog, 2_000, 2))
    assert event.plan == replace(BASE["basic"], rate=9.0)
    assert follower.apply(3_000, yesterday) == [] and follower.document.seq == 2


RAW = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)


@given(data=st.binary(max_size=60), raw=RAW, at=st.sampled_from(["plans", "customers", "format", "seq"]))
@settings(max_examples=300, deadline=None)
def test_malformed_feeds_and_records_are_rejected(data: bytes, raw: Any, at: str) -> None:
    import json

    good: dict[str, Any] = {"format": 1, "seq": 1, "made_at": 1, "plans": {}, "customers": {}}
    for given_ in (data, json.dumps({**good, at: raw}).encode()):
        try:
            feed.load(given_)
        except ValidationError as error:
            assert str(error)
    for key in (b"plan/basic/00000001", b"customer/00000000000000aa/00000001", data):
        for value in (data, json.dumps(raw).encode()):
            with pytest.raises(ValidationError):
                records.load(key, value)
