"""The list of known failures: few, each with its cause and issue."""

import pytest

from tests.conftest import read_known_red


def test_lines_name_test_cause_and_issue():
    text = "# comment\n\ntests/unit/test_a.py::test_b, it fails, with commas, issue 7\n"
    assert read_known_red(text) == {"tests/unit/test_a.py::test_b": "it fails"}


def test_a_line_without_cause_or_issue_is_refused():
    with pytest.raises(ValueError):
        read_known_red("tests/unit/test_a.py::test_b, it fails\n")


def test_more_than_three_are_refused():
    with pytest.raises(AssertionError):
        read_known_red("t, cause, issue\n" * 4)
