"""KNOWN-RED.txt: failures of real faults that are not mended yet.

One line an entry, with ` | ` between its four fields:

    test NODE ID | COMMAND | EXPECTED FAILURE | ISSUE
    case NAME | COMMAND | WHAT WAS SEEN | ISSUE

A test runs with all others. Only the expected failure, a regular expression that is searched in the text of
the assertion, is passed over; any other failure of that test counts, and so does a skip. A test may stand in
several lines, one for each of its faults. A case is too long or too large for CI: it is printed as not run.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest

COLLECTED = pytest.StashKey[set[str]]()  # of a session: all tests that were found, also those left out later
ENTRIES = pytest.StashKey[list["Entry"]]()
LIST_PATH = Path(__file__).parents[1] / "KNOWN-RED.txt"
FIELDS = 4
NODE_ID = re.compile(r"tests/[\w/]+\.py::\w+(?:\[.+\])?")
ISSUE = re.compile(r"issue \d+")
MAX_PRINTED_LINES = 12  # of an assertion


@dataclass(frozen=True)
class Entry:
    """One known failure. `name`: a test's node id, or a case's name; `seen`: a test's is a pattern."""

    name: str
    command: str
    seen: str
    issue: str
    is_test: bool = True

    @property
    def file(self) -> str:
        return self.name.partition("::")[0]

    def expects(self, failure: str) -> bool:
        return re.search(self.seen, failure) is not None


class KnownRedError(Exception):
    """An entry that is not one. The text names its line and what would be right."""


def parse_list(text: str) -> list[Entry]:
    """The entries of a list; lines that begin with # are comments. Raises KnownRedError."""
    entries: list[Entry] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        entry = parse_entry(line, f"line {number}")
        if entry in entries:
            raise KnownRedError(f"line {number}: {entry.name} stands here twice with one failure")
        entries.append(entry)
    return entries


def parse_entry(line: str, place: str) -> Entry:
    fields = [field.strip() for field in line.split(" | ")]
    if len(fields) != FIELDS or not all(fields):
        raise KnownRedError(f"{place}: give KIND NAME | COMMAND | FAILURE | ISSUE, none of them empty")
    kind, _, name = fields[0].partition(" ")
    entry = Entry(name, *fields[1:], is_test=kind == "test")
    if kind not in ("test", "case") or not name:
        raise KnownRedError(f"{place}: {fields[0]!r} is neither; give test NODE ID or case NAME")
    if not ISSUE.fullmatch(entry.issue):
        raise KnownRedError(f"{place}: {entry.issue!r} is no issue; give issue and its number")
    if entry.is_test:
        check_test(entry, place)
    return entry


def check_test(entry: Entry, place: str) -> None:
    if not NODE_ID.fullmatch(entry.name):
        raise KnownRedError(f"{place}: {entry.name!r} is no test; give tests/FILE.py::NAME")
    if entry.file not in entry.command:
        raise KnownRedError(f"{place}: the command does not run {entry.file}; give one that does")
    try:
        pattern = re.compile(entry.seen)
    except re.error as error:
        raise KnownRedError(f"{place}: {entry.seen!r} is no pattern: {error}") from error
    if pattern.search(""):
        raise KnownRedError(f"{place}: {entry.seen!r} matches any failure; name the expected one")


def find_missing_tests(entries: Iterable[Entry], collected: set[str]) -> list[str]:
    """Listed tests that are none of those collected, where any test of their file is."""
    files = {name.partition("::")[0] for name in collected}
    return [e.name for e in entries if e.is_test and e.file in files and e.name not in collected]


def apply_entries(report: pytest.TestReport, entries: Iterable[Entry], failure: str) -> None:
    """Change the report of a listed test. `failure`: the text of its assertion, "" where it passed."""
    listed = [entry for entry in entries if entry.is_test and entry.name == report.nodeid]
    if not listed or hasattr(report, "wasxfail"):
        return
    if report.skipped:
        report.outcome = "failed"
        report.longrepr = f"{report.nodeid} is listed in KNOWN-RED.txt and was skipped; it has to run"
    elif report.when == "call" and report.passed:
        report.wasxfail = f"passed this time ({', '.join(entry.issue for entry in listed)})"
    elif report.when == "call":
        expected = [entry for entry in listed if entry.expects(failure)]
        if expected:
            report.outcome = "skipped"
            report.wasxfail = f"failed as listed ({expected[0].issue}): {failure}"
        else:
            words = "listed in KNOWN-RED.txt, but this is another failure than the one that is expected"
            report.sections.append(("KNOWN-RED.txt", words))


def summary_lines(reports: Iterable[pytest.TestReport], entries: Iterable[Entry]) -> Iterable[str]:
    """What a run says of known failures: each listed test with its own assertion, each case as not run."""
    for report in reports:
        first, *more = str(report.wasxfail).splitlines()[:MAX_PRINTED_LINES]
        yield f"known red: {report.nodeid} {first}"
        yield from (f"    {line}" for line in more)
    for entry in entries:
        if not entry.is_test:
            yield f"known red: case {entry.name} not run ({entry.issue}): {entry.command}"
