from __future__ import annotations

import pytest
from hypothesis import settings

settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")


@pytest.fixture(autouse=True)
def quick_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    """Gateways in tests have no front that still sends them connections."""
    monkeypatch.setattr("roadpulley.__main__.drain_times", lambda settings: (0.01, 3.4))
