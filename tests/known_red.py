"""KNOWN-RED.txt: tests that fail for a real fault not mended yet. They run, are printed, and stop nothing.

One line each: the test as pytest names it, the cause, the issue, with ` | ` between. Three at most.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import pytest

COLLECTED = pytest.StashKey[set[str]]()  # of a session: all tests that were found, also those left out later
LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"
MOST = 3
TEST = re.compile(r"tests/[\w/]+\.py::\w+(?:\[.+\])?")
ISSUE = re.compile(r"issue \d+")


class Entry(NamedTuple):
    test: str
    cause: str
    issue: str


class BadList(Exception):
    """An entry that is none, or one too many."""


def read(text: str) -> list[Entry]:
    """The entries of a list; lines that begin with # say nothing. Raises BadList with the line."""
    entries: list[Entry] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise BadList(f"line {number}: give TEST | CAUSE | ISSUE, none of them empty")
        entry = Entry(*parts)
        if not TEST.fullmatch(entry.test):
            raise BadList(f"line {number}: {entry.test!r} is no test; give tests/FILE.py::NAME")
        if not ISSUE.fullmatch(entry.issue):
            raise BadList(f"line {number}: {entry.issue!r} is no issue; give issue and its number")
        if any(entry.test == other.test for other in entries):
            raise BadList(f"line {number}: {entry.test} stands here twice")
        entries.append(entry)
    if len(entries) > MOST:
        raise BadList(f"{len(entries)} entries; {MOST} at most")
    return entries


def unmatched(entries: Iterable[Entry], collected: set[str]) -> list[str]:
    """Tests of the list that are none of those collected, where any test of their file is."""
    files = {name.partition("::")[0] for name in collected}
    return [e.test for e in entries if e.test.partition("::")[0] in files and e.test not in collected]
