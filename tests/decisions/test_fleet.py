"""A fleet in virtual time, by a small fixed part of `benchmarks/fleet.py`.

The bounds are below the worst result of six seeds. The module without subsets served 0.05 to 0.15 less.
"""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "benchmarks"))

from fleet import once  # noqa: E402

GATEWAYS = 20
DURATION_S = 18.0
SEED = 1


@pytest.mark.parametrize(
    ("trouble", "served", "worst"),
    [("none", 0.8, 0.76), ("release", 0.76, 0.68), ("zone", 0.74, 0.68), ("replace", 0.7, 0.62)],
)
def test_fleet_keeps_serving_through_each_fault(trouble: str, served: float, worst: float) -> None:
    print("seed", SEED)
    _, figures = once(((GATEWAYS, trouble), SEED, DURATION_S))
    assert figures["served"] > served and figures["worst"] > worst, figures
    assert figures["opened"] < 0.2, figures
    assert figures["beyond"] < 0.1, figures
    assert figures["cold"] < 1.6, "more of the coldest backend's budget than the longest request alone takes"
