"""Documentation pages that must agree with the code."""

import re
from pathlib import Path

from ploverhatch.common.results import RESULTS

ROOT = Path(__file__).parents[2]


def test_result_codes_page_lists_exactly_the_codes():
    text = (ROOT / "docs" / "RESULT-CODES.md").read_text()
    rows = re.findall(
        r"^\| (\d+) \| (\w+) \| (\d+) \| ([\w-]+) \| (yes|no) \| (.+) \|$", text, re.M
    )
    expected = {
        (
            str(item.code),
            item.name,
            str(item.status),
            item.outcome.value,
            "yes" if item.retryable else "no",
            item.title,
        )
        for item in RESULTS.values()
    }
    assert set(rows) == expected
    assert len(rows) == len(expected)


def test_pages_name_only_commands_that_exist():
    from ploverhatch.cli.main import main

    known = set(main.commands)
    for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
        for command in re.findall(r"ploverhatch ([a-z]+)\b(?= [a-z`-]|`)", page.read_text()):
            assert command in known, f"{page.name}: ploverhatch {command}"


def test_links_between_pages_lead_somewhere():
    for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
            assert (page.parent / target).exists(), f"{page.name}: {target}"
