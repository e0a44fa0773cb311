"""The list of known failures: each entry has a test, a command, an observation and an issue."""

import re

import pytest

from tests.conftest import KNOWN_RED, MAX_LINE_LENGTH, ROOT, KnownRed, read_known_red

LINE = "tests/unit/test_a.py::test_b; run SITE --seed 7; it fails, with commas; issue 7"


def test_lines_name_test_command_what_was_seen_and_issue():
    found = read_known_red(f"# comment\n\n{LINE}\n")
    test = "tests/unit/test_a.py::test_b"
    assert found == {test: KnownRed(test, "run SITE --seed 7", "it fails, with commas", 7)}


@pytest.mark.parametrize("missing", range(4))
def test_a_line_that_leaves_something_out_is_refused(missing):
    parts = LINE.split(";")
    for text in (";".join(parts[:missing] + parts[missing + 1 :]), LINE.replace(parts[1], " ")):
        with pytest.raises(ValueError):
            read_known_red(text)


def test_long_lines_and_a_test_named_twice_are_refused():
    for text in (LINE.replace("fails", "f" * MAX_LINE_LENGTH), f"{LINE}\n{LINE}"):
        with pytest.raises(ValueError):
            read_known_red(text)


def test_each_listed_test_is_there():
    """A line whose test doesn't exist hides that no test covers its fault."""
    for test in read_known_red(KNOWN_RED.read_text()):
        path, name = test.split("::", 1)
        source = (ROOT / path).read_text()
        assert re.search(rf"^def {re.escape(name.partition('[')[0])}\(", source, re.MULTILINE), test
