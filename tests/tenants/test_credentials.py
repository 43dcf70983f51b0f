"""Secrets of tenants: generation, hashes, rotation with an overlap, and constant time of checks."""

from __future__ import annotations

import dataclasses
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpulley.tenants import credentials as credentials_module
from roadpulley.tenants.credentials import (
    MAX_OVERLAP_MS,
    Credentials,
    SecretHash,
    authenticate,
    create_credentials,
)


def test_only_the_generated_secret_is_valid() -> None:
    credentials, secret = create_credentials()
    other, another = create_credentials()
    assert (
        credentials.is_valid(secret, 0)
        and not credentials.is_valid(another, 0)
        and other.is_valid(another, 0)
    )
    assert secret != another and len(secret) > 40 and secret.startswith("rp1_")
    for wrong in ("", secret[:-1], secret + "x", secret.upper(), credentials.current.digest, "\udcff"):
        assert not credentials.is_valid(wrong, 0)


def test_stored_credentials_hold_no_secret_and_hashes_are_salted() -> None:
    credentials, secret = create_credentials()
    assert secret not in json.dumps(dataclasses.asdict(credentials)) and secret not in repr(credentials)
    assert SecretHash.from_secret(secret) != SecretHash.from_secret(secret)


def test_rotation_keeps_both_secrets_valid_until_the_overlap_ends() -> None:
    credentials, old = create_credentials()
    rotated, new = credentials.rotate(now=1_000.0, overlap_ms=500.0)
    assert rotated.is_valid(new, 1_000) and rotated.is_valid(old, 1_499) and not rotated.is_valid(old, 1_500)
    assert rotated.is_valid(new, 1e15)
    again, newest = rotated.rotate(now=1_100.0, overlap_ms=500.0)
    assert (
        again.is_valid(newest, 1_100) and again.is_valid(new, 1_100) and not again.is_valid(old, 1_100)
    )  # at most two
    at_once, last = again.rotate(now=1_200.0, overlap_ms=0.0)
    assert at_once.is_valid(last, 1_200) and not at_once.is_valid(newest, 1_200)


@pytest.mark.parametrize("overlap", [-1.0, MAX_OVERLAP_MS + 1, float("nan")])
def test_invalid_overlap_is_rejected(overlap: float) -> None:
    with pytest.raises(ValueError, match="an overlap of .* ms: give 0 to 6.048e.08 .seven days."):
        create_credentials()[0].rotate(0.0, overlap)


@given(st.text(), st.text())
def test_only_the_correct_name_and_secret_authenticate(name: str, secret: str) -> None:
    credentials, right = create_credentials()
    known = {"t1": credentials}
    assert authenticate(known, "t1", right, 0)
    assert authenticate(known, name, secret, 0) == (name == "t1" and secret == right)


def test_unknown_tenant_costs_as_many_hashes_as_a_known_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    credentials, right = create_credentials()
    rotated: Credentials = credentials.rotate(0.0, 1_000.0)[0]
    counted: list[int] = []
    real = credentials_module.hash_secret

    def hash_secret(salt: bytes, secret: str) -> str:
        counted[-1] += 1
        return real(salt, secret)

    monkeypatch.setattr(credentials_module, "hash_secret", hash_secret)
    for known, name, secret in (
        ({}, "t", right), ({"t": credentials}, "t", right),
        ({"t": credentials}, "t", "no"), ({"t": rotated}, "t", right),
    ):  # fmt: skip
        counted.append(0)
        authenticate(known, name, secret, 0.0)
    assert set(counted) == {2}
    # An unknown tenant is compared with a dummy hash. If its secret were known, it would admit any tenant.
    assert not authenticate({}, "t", right, 0)
