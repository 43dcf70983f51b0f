"""The list of known failures is short, names real tests, and lets nothing else pass."""

from __future__ import annotations

import pytest
from known_red import COLLECTED, LIST, BadList, Entry, read, unmatched

pytest_plugins = ["pytester"]
GOOD = "tests/a/test_b.py::test_c | the cause | issue 7"


def test_the_list_as_it_stands(request: pytest.FixtureRequest) -> None:
    entries = read(LIST.read_text())
    root = LIST.parent
    assert not [e.test for e in entries if not (root / e.test.partition("::")[0]).is_file()]
    assert not unmatched(entries, request.config.stash[COLLECTED])


def test_an_entry_is_a_test_a_cause_and_an_issue() -> None:
    assert read("# what this is\n\n" + GOOD) == [Entry("tests/a/test_b.py::test_c", "the cause", "issue 7")]


@pytest.mark.parametrize(
    "text",
    [
        "tests/a/test_b.py::test_c",
        "tests/a/test_b.py::test_c | the cause",
        "tests/a/test_b.py::test_c | | issue 7",
        "tests/a/test_b.py::test_c | the cause | ",
        "tests/a/test_b.py::test_c | the cause | some day",
        "tests/a/test_b.py | the cause | issue 7",
        "* | the cause | issue 7",
        GOOD + "\n" + GOOD,
        "\n".join(GOOD.replace("test_c", f"test_{n}") for n in range(4)),
    ],
)
def test_anything_else_is_refused(text: str) -> None:
    with pytest.raises(BadList):
        read(text)


def test_an_entry_that_is_no_test_is_found_where_its_file_is_collected() -> None:
    entries = read(GOOD)
    assert unmatched(entries, {"tests/a/test_b.py::test_d"}) == ["tests/a/test_b.py::test_c"]
    assert unmatched(entries, {"tests/a/test_b.py::test_c"}) == []
    assert unmatched(entries, {"tests/a/test_z.py::test_z"}) == []


def test_what_is_listed_runs_and_is_printed_and_what_is_not_still_fails(pytester: pytest.Pytester) -> None:
    root = LIST.parent
    for name in ("known_red.py", "conftest.py"):
        text = (root / "tests" / name).read_text()
        (pytester.path / "tests").mkdir(exist_ok=True)
        (pytester.path / "tests" / name).write_text(text)
    (pytester.path / "KNOWN-RED.txt").write_text("tests/test_x.py::test_red | a cause | issue 7\n")
    (pytester.path / "tests/test_x.py").write_text(
        "def test_red():\n    assert False\n\ndef test_other():\n    assert False\n"
    )
    (pytester.path / "pytest.ini").write_text("[pytest]\npythonpath = tests\nmarkers = patches_inside: x\n")
    result = pytester.runpytest_subprocess("-p", "no:cacheprovider", "tests")
    result.assert_outcomes(failed=1, xfailed=1)
    result.stdout.fnmatch_lines(["*known red: tests/test_x.py::test_red failed: a cause, issue 7*"])
