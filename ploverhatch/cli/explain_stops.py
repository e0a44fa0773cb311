"""``ploverhatch explain-stops``: what planned stops left behind, from the logs of all nodes."""

import re
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field

import click

FIELD = re.compile(r"(\w+)=(\S+)")
NODE = re.compile(r"(\S+) [IWE] \[gateway\]")
STOPPING, STOPPED, STARTED = "[gateway] Stopping.", "[gateway] Stopped.", "[gateway] Started."
CUT_AT_THE_END = "[callers] Request without answer."
PROCESS_ENDS = "cause=process-ends"
SHOWN = ("took_ms", "busy", "given_up", "taken", "untaken", "unknown", "crossed", "quiet_ms")


@dataclass
class Stops:
    """What the logs tell of planned stops."""

    ended: list[tuple[str, dict[str, str]]] = field(default_factory=list)  # node, figures
    unfinished: set[str] = field(default_factory=set)  # nodes that stop, and may have been killed
    killed: list[str] = field(default_factory=list)  # nodes that began to stop and started anew
    cut: list[str] = field(default_factory=list)  # requests that the end of a process cut

    @property
    def busy(self) -> list[str]:
        """Nodes that ended with requests under way."""
        return [node for node, figures in self.ended if figures.get("busy", "0") != "0"]

    @property
    def clean(self) -> bool:
        """Whether every stop answered all that it had taken, in its time."""
        return not (self.busy or self.cut or self.killed)

    def take(self, text: str) -> None:
        """Take a log line."""
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
        elif CUT_AT_THE_END in text and PROCESS_ENDS in text:
            self.cut.append(dict(FIELD.findall(text)).get("request", "-"))


def read_stops(logs: Iterable[Iterable[str]]) -> Stops:
    """Read the logs of nodes, each in order of time."""
    stops = Stops()
    for log in logs:
        for text in log:
            stops.take(text)
    return stops


@click.command("explain-stops")
@click.argument("logs", nargs=-1, required=True, type=click.File("r"))
def explain_stops(logs: tuple[Iterable[str], ...]) -> None:
    """Tell what each planned stop left behind.

    LOGS are the logs of the nodes. Exit code 1 when one ended with requests under way, cut
    one, or was killed before it ended.
    """
    stops = read_stops(logs)
    for node, figures in stops.ended:
        click.echo(" ".join([node, *(f"{name}={figures.get(name, '-')}" for name in SHOWN)]))
    click.echo(
        f"{len(stops.ended)} stops ended, {len(stops.busy)} of them busy; "
        f"{len(stops.killed)} were killed before; {len(stops.cut)} requests cut at the end"
    )
    if not stops.clean:
        sys.exit(1)
