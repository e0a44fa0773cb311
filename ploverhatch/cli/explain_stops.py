"""``ploverhatch explain-stops``: unanswered work of planned stops, from the logs of all nodes."""

import re
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field

import click

FIELD = re.compile(r"(\w+)=(\S+)")
NODE = re.compile(r"(\S+) [IWE] \[gateway\]")
STOPPING, STOPPED, STARTED = "[gateway] Stopping.", "[gateway] Stopped.", "[gateway] Started."
REQUEST_WITHOUT_ANSWER = "[callers] Request without answer."
PROCESS_ENDS = "cause=process-ends"
SHOWN = ("took_ms", "busy", "given_up", "taken", "untaken", "unknown", "crossed", "quiet_ms")


@dataclass
class Stops:
    """Planned stops that the logs show."""

    ended: list[tuple[str, dict[str, str]]] = field(default_factory=list)  # node, log fields
    unfinished: set[str] = field(default_factory=set)  # nodes whose stop has no end in the log
    killed: list[str] = field(default_factory=list)  # nodes that started again without such an end
    cut: list[str] = field(default_factory=list)  # requests in flight when a process exited

    @property
    def busy(self) -> list[str]:
        """Nodes that stopped with requests in flight."""
        return [node for node, fields in self.ended if fields.get("busy", "0") != "0"]

    @property
    def clean(self) -> bool:
        """Whether every stop finished in time and answered all accepted requests."""
        return not (self.busy or self.cut or self.killed)

    def add_line(self, text: str) -> None:
        """Count a log line; the lines of a node must come in order of time."""
        found = NODE.search(text)
        node = found[1] if found else "-"
        if STOPPING in text:
            self.unfinished.add(node)
        elif STOPPED in text:
            self.unfinished.discard(node)
            self.ended.append((node, dict(FIELD.findall(text))))
        elif STARTED in text and node in self.unfinished:
            self.unfinished.discard(node)
            self.killed.append(node)
        elif REQUEST_WITHOUT_ANSWER in text and PROCESS_ENDS in text:
            self.cut.append(dict(FIELD.findall(text)).get("request", "-"))


def read_stops(logs: Iterable[Iterable[str]]) -> Stops:
    """Read the logs of nodes, each in order of time."""
    stops = Stops()
    for log in logs:
        for text in log:
            stops.add_line(text)
    return stops


@click.command("explain-stops")
@click.argument("logs", nargs=-1, required=True, type=click.File("r"))
def explain_stops(logs: tuple[Iterable[str], ...]) -> None:
    """Report on the planned stops of nodes.

    LOGS are the logs of the nodes, each in order of time. Exit code 1 when a stop ended with
    requests in flight, cut a request, or was killed before it ended.
    """
    stops = read_stops(logs)
    for node, fields in stops.ended:
        click.echo(" ".join([node, *(f"{name}={fields.get(name, '-')}" for name in SHOWN)]))
    click.echo(
        f"{len(stops.ended)} stops ended, {len(stops.busy)} of them busy; "
        f"{len(stops.killed)} were killed before; {len(stops.cut)} requests cut at the end"
    )
    if not stops.clean:
        sys.exit(1)
