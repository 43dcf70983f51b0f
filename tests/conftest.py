from __future__ import annotations

import os

import pytest
from hypothesis import settings
from known_red import COLLECTED, LIST, read

settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")


@pytest.fixture(autouse=True)
def quick_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    """Gateways in tests have no front that still sends them connections."""
    monkeypatch.setattr("roadpulley.__main__.drain_times", lambda settings: (0.01, 3.4))


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark what needs the cores for itself, and what is known to fail.

    Where compiled code is expected, skip what reaches inside it.
    """
    config.stash[COLLECTED] = {item.nodeid for item in items}
    red = {entry.test: entry for entry in (read(LIST.read_text()) if LIST.exists() else ())}
    for item in items:
        if entry := red.get(item.nodeid):  # it runs, and its end is printed below
            item.add_marker(pytest.mark.xfail(reason=f"{entry.cause}, {entry.issue}", strict=False))
        if "workers" in item.path.parts:  # a stalled machine breaks what several processes owe each other
            item.add_marker(pytest.mark.alone)
    if os.environ.get("ROADPULLEY_EXPECT") != "compiled":
        return
    from mintford import rules
    from roadpulley.core import driver

    for module in (rules, driver):
        assert str(module.__file__).endswith(".so"), f"{module.__file__} is not compiled"
    for item in items:
        if item.get_closest_marker("patches_inside"):
            item.add_marker(pytest.mark.skip(reason="replaces parts that are fixed where compiled"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for how, word in (("xfailed", "failed"), ("xpassed", "passed")):
        for report in terminalreporter.stats.get(how, []):
            reason = report.wasxfail.removeprefix("reason: ")
            terminalreporter.line(f"known red: {report.nodeid} {word}: {reason}")
