"""Secrets: made here, kept as hashes, two of them holding while one is rotated, and nothing told by time."""

from __future__ import annotations

import dataclasses
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpulley.tenants import credentials as module
from roadpulley.tenants.credentials import MOST_OVERLAP_MS, Credentials, Hash, authenticate, first


def test_the_secret_fits_and_no_other() -> None:
    made, secret = first()
    other, another = first()
    assert made.fit(secret, 0) and not made.fit(another, 0) and other.fit(another, 0)
    assert secret != another and len(secret) > 40 and secret.startswith("rp1_")
    for wrong in ("", secret[:-1], secret + "x", secret.upper(), made.current.digest, "\udcff"):
        assert not made.fit(wrong, 0)


def test_what_is_kept_holds_no_secret_and_two_of_one_secret_differ() -> None:
    made, secret = first()
    assert secret not in json.dumps(dataclasses.asdict(made)) and secret not in repr(made)
    assert Hash.of(secret) != Hash.of(secret)


def test_both_hold_while_one_is_rotated_and_only_the_new_one_after() -> None:
    made, old = first()
    rotated, new = made.rotate(now=1_000.0, overlap_ms=500.0)
    assert rotated.fit(new, 1_000) and rotated.fit(old, 1_499) and not rotated.fit(old, 1_500)
    assert rotated.fit(new, 1e15)
    again, newest = rotated.rotate(now=1_100.0, overlap_ms=500.0)
    assert again.fit(newest, 1_100) and again.fit(new, 1_100) and not again.fit(old, 1_100)  # never three
    at_once, last = again.rotate(now=1_200.0, overlap_ms=0.0)
    assert at_once.fit(last, 1_200) and not at_once.fit(newest, 1_200)


@pytest.mark.parametrize("overlap", [-1.0, MOST_OVERLAP_MS + 1, float("nan")])
def test_an_overlap_that_is_none_is_told(overlap: float) -> None:
    with pytest.raises(ValueError, match="an overlap of .* ms: give 0 to 6.048e.08 .seven days."):
        first()[0].rotate(0.0, overlap)


@given(st.text(), st.text())
def test_anything_may_be_said_and_only_the_right_pair_passes(name: str, secret: str) -> None:
    made, right = first()
    known = {"t1": made}
    assert authenticate(known, "t1", right, 0)
    assert authenticate(known, name, secret, 0) == (name == "t1" and secret == right)


def test_a_tenant_that_is_not_there_costs_as_many_hashes_as_one_that_is(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made, right = first()
    rotated: Credentials = made.rotate(0.0, 1_000.0)[0]
    counted: list[int] = []
    real = module.digest

    def digest(salt: bytes, secret: str) -> str:
        counted[-1] += 1
        return real(salt, secret)

    monkeypatch.setattr(module, "digest", digest)
    for known, name, secret in (
        ({}, "t", right), ({"t": made}, "t", right), ({"t": made}, "t", "no"), ({"t": rotated}, "t", right),
    ):  # fmt: skip
        counted.append(0)
        authenticate(known, name, secret, 0.0)
    assert set(counted) == {2}
    # Danger: an unknown tenant is compared with a secret that nobody has; were it known, it would let all in.
    assert not authenticate({}, "t", right, 0)
