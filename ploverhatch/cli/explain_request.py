"""``ploverhatch explain-request``: one request, from the logs of all nodes."""

import re
import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import click

from ploverhatch.common.results import RESULTS

FIELD = re.compile(r"(\w+)=(\S+)")
BELIEF_PARTS = ("[leader]", "[elector]", "[directory]", "[feed]")
WINDOW_LINES = 12
TAKEN = re.compile(r"\[callers\] Answers taken\. requests=(\S+)")


@dataclass(frozen=True)
class LogLine:
    """One line; ``position`` is where it stands among all that were read."""

    position: int
    text: str
    fields: dict[str, str]


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Parse log lines, in the order they came."""
    return [
        LogLine(position, text.rstrip("\n"), dict(FIELD.findall(text)))
        for position, text in enumerate(texts)
    ]


def explain(request_id: str, lines: list[LogLine]) -> list[str]:
    """Return what is known of a request, or nothing."""
    told = []
    for line in lines:
        if line.fields.get("request") == request_id:
            tell = next((tell for mark, tell in STORIES.items() if mark in line.text), _story)
            told += [line.text, *tell(line)]
            told += ["what the nodes believed around then:"]
            told += [f"  {other.text}" for other in _beliefs(line, lines)]
        elif (status := _taken_status(request_id, line.text)) is not None:
            told += [line.text.partition(" requests=")[0]]
            told += [f"  answer: {status}, taken by the caller while the process was stopping"]
    return told


def _taken_status(request_id: str, text: str) -> str | None:
    """Return the status of a request that a line on many taken answers names."""
    found = TAKEN.search(text)
    statuses = dict(entry.rsplit(":", 1) for entry in found[1].split("|")) if found else {}
    return statuses.get(request_id)


Story = Callable[[LogLine], list[str]]
STORIES: dict[str, Story] = {}  # by what a line holds


def story(mark: str) -> Callable[[Story], Story]:
    """Register how a kind of line is told."""

    def register(tell: Story) -> Story:
        STORIES[mark] = tell
        return tell

    return register


@story("[callers] Answer not taken.")
def _untaken(line: LogLine) -> list[str]:
    fields = line.fields
    return [
        f"  answer: {fields.get('status')}, written whole; {fields.get('unacknowledged')} of "
        f"{fields.get('size')} bytes weren't acknowledged when the connection was closed"
    ]


@story("[callers] Request without answer.")
def _unanswered(line: LogLine) -> list[str]:
    cause = line.text.partition(" cause=")[2].rpartition(" took_ms=")[0]
    return [f"  no whole answer left, after {line.fields.get('took_ms')} ms: {cause}"]


def _story(line: LogLine) -> list[str]:
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
    attempts = fields.get("attempts", "-")
    if attempts == "-":
        rows.append("  no attempt reached a server")
    for number, attempt in enumerate(attempts.split("|") if attempts != "-" else [], 1):
        server, outcome, times = attempt.rsplit(":", 2)
        start, _, took = times.partition("+")
        rows.append(f"  attempt {number}: {server} after {start} ms, {outcome} in {took} ms")
    return rows


def _beliefs(line: LogLine, lines: list[LogLine]) -> list[LogLine]:
    """Return the nearest earlier lines about the servers and keys concerned."""
    attempts = line.fields.get("attempts", "-")
    servers = {part.partition("@")[0] for part in attempts.split("|")} - {"-"}
    service = line.fields.get("service", "-")
    near = [
        other
        for other in lines[: line.position]
        if any(part in other.text for part in BELIEF_PARTS)
        and (
            other.fields.get("service") == service
            or servers & {other.fields.get("server"), other.fields.get("to")}
            or "Leadership" in other.text
        )
    ]
    return near[-WINDOW_LINES:]


@click.command("explain-request")
@click.argument("request_id")
@click.argument("logs", nargs=-1, required=True, type=click.File("r"))
def explain_request(request_id: str, logs: tuple[Iterable[str], ...]) -> None:
    """Tell what happened to a request: who took it, what was believed, each attempt.

    LOGS are the logs of the nodes, each in order of time. Exit code 1 when no
    line names the request: then it went the ordinary way, or was never read.
    """
    told = [row for log in logs for row in explain(request_id, read_lines(log))]
    if not told:
        click.echo("no line names this request: it was ordinary, or was never read", err=True)
        sys.exit(1)
    click.echo("\n".join(told))
