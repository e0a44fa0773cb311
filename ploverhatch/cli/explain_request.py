"""``ploverhatch explain-request``: explains one request from the logs of all nodes."""

import re
import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import click

from ploverhatch.common.results import RESULTS

FIELD = re.compile(r"(\w+)=(\S+)")
CONTEXT_PARTS = ("[leader]", "[elector]", "[directory]", "[feed]")
MAX_CONTEXT_LINES = 12
ANSWERS_TAKEN = re.compile(r"\[callers\] Answers taken\. requests=(\S+)")


@dataclass(frozen=True)
class LogLine:
    """A parsed log line; ``position`` is its index in the log."""

    position: int
    text: str
    fields: dict[str, str]


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Parse the lines of a log."""
    return [
        LogLine(position, text.rstrip("\n"), dict(FIELD.findall(text)))
        for position, text in enumerate(texts)
    ]


def explain(request_id: str, lines: list[LogLine]) -> list[str]:
    """Return an explanation of a request in lines; empty if no log line names it."""
    rows = []
    for line in lines:
        if line.fields.get("request") == request_id:
            describe = next(
                (found for mark, found in DESCRIPTIONS.items() if mark in line.text),
                _describe_answer,
            )
            rows += [line.text, *describe(line)]
            rows += ["what the nodes believed around then:"]
            rows += [f"  {other.text}" for other in _context(line, lines)]
        elif (status := _taken_status(request_id, line.text)) is not None:
            rows += [line.text.partition(" requests=")[0]]
            rows += [f"  answer: {status}, taken by the caller while the process was stopping"]
    return rows


def _taken_status(request_id: str, text: str) -> str | None:
    """Return the status of a request that an "Answers taken." line lists, else ``None``."""
    found = ANSWERS_TAKEN.search(text)
    statuses = dict(entry.rsplit(":", 1) for entry in found[1].split("|")) if found else {}
    return statuses.get(request_id)


Description = Callable[[LogLine], list[str]]
DESCRIPTIONS: dict[str, Description] = {}  # by a text that the line contains


def description(mark: str) -> Callable[[Description], Description]:
    """Register a function that describes the lines that contain a text."""

    def register(describe: Description) -> Description:
        DESCRIPTIONS[mark] = describe
        return describe

    return register


@description("[callers] Answer not taken.")
def _describe_untaken(line: LogLine) -> list[str]:
    fields = line.fields
    return [
        f"  answer: {fields.get('status')}, written whole; {fields.get('unacknowledged')} of "
        f"{fields.get('size')} bytes weren't acknowledged when the connection was closed"
    ]


@description("[callers] Request without answer.")
def _describe_unanswered(line: LogLine) -> list[str]:
    cause = line.text.partition(" cause=")[2].rpartition(" took_ms=")[0]
    return [f"  no whole answer left, after {line.fields.get('took_ms')} ms: {cause}"]


def _describe_answer(line: LogLine) -> list[str]:
    fields = line.fields
    result = RESULTS.get(int(fields.get("result", "0")))
    rows = [f"  answer: {fields.get('status')} after {fields.get('took_ms')} ms"]
    if result is not None:
        rows.append(
            f"  result {result.code} {result.name}: {result.title} ({result.outcome.value})"
        )
    rows.append(
        f"  route {fields.get('route')} of configuration {fields.get('version')}, "
        f"service {fields.get('service')}, key {fields.get('key')}"
    )
    attempts = _tries(fields.get("attempts", "-"))
    sent_on = _tries(fields.get("via", "-"))
    if not attempts and not sent_on:
        rows.append("  no attempt reached a server")
    rows += [
        f"  attempt {number}: {text}{_answered(fields, number)}"
        for number, text in enumerate(attempts, 1)
    ]
    rows += [f"  sent on to another node: {text}" for text in sent_on]
    return rows


def _answered(fields: dict[str, str], number: int) -> str:
    """Return what the answer to an attempt was and proves; empty if there was none."""
    answers = fields.get("answers", "-").split("|")
    answer = answers[number - 1] if number <= len(answers) else "-"
    if answer == "-":
        return ""
    status, _, proof = answer.partition("/")
    return f", answered {status} (proof: {proof})"


def _tries(notes: str) -> list[str]:
    """Return sentences on the attempts, or on the nodes that a request was sent on to."""
    found = []
    for note in notes.split("|") if notes != "-" else []:
        name, outcome, times = note.rsplit(":", 2)
        start, _, took = times.partition("+")
        found.append(f"{name} after {start} ms, {outcome} in {took} ms")
    return found


def _context(line: LogLine, lines: list[LogLine]) -> list[LogLine]:
    """Return the last lines before ``line`` about its service, its servers or leadership."""
    attempts = line.fields.get("attempts", "-")
    servers = {part.partition("@")[0] for part in attempts.split("|")} - {"-"}
    service = line.fields.get("service", "-")
    near = [
        other
        for other in lines[: line.position]
        if any(part in other.text for part in CONTEXT_PARTS)
        and (
            other.fields.get("service") == service
            or servers & {other.fields.get("server"), other.fields.get("to")}
            or "Leadership" in other.text
        )
    ]
    return near[-MAX_CONTEXT_LINES:]


@click.command("explain-request")
@click.argument("request_id")
@click.argument("logs", nargs=-1, required=True, type=click.File("r"))
def explain_request(request_id: str, logs: tuple[Iterable[str], ...]) -> None:
    """Explain a request: its answer, each attempt, and what the nodes knew at the time.

    LOGS are the logs of the nodes, each in order of time. Exit code 1 when no
    line names the request: it was served without incident, or never read.
    """
    rows = [row for log in logs for row in explain(request_id, read_lines(log))]
    if not rows:
        click.echo("no line names this request: it was ordinary, or was never read", err=True)
        sys.exit(1)
    click.echo("\n".join(rows))
