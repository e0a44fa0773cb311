"""Table and plot of the runs of `slots_world`."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - the backend is chosen first

from ploverhatch.experiment.slots_world import SlotScenario, Tally  # noqa: E402 - after the backend


@dataclass(frozen=True, slots=True)
class SlotRow:
    """The result of one run."""

    scenario: SlotScenario
    policy: str
    tally: Tally

    @property
    def credit(self) -> float:
        """Fraction of the possible credit that was earned."""
        return self.tally.credit / max(self.tally.requests, 1)

    @property
    def goodput(self) -> float:
        """Credit relative to the capacity of all servers."""
        return self.credit * self.scenario.load


@dataclass(frozen=True, slots=True)
class PatternRow:
    """What became of the requests of one kind in a pattern of load."""

    pattern: str
    kind: str
    policy: str
    tally: Tally
    busy: float  # fraction of the slots' time in use

    @property
    def in_time(self) -> float:
        """Fraction of the callers answered within their objective, from the first attempt."""
        return self.tally.in_time / max(self.tally.requests, 1)


def markdown(rows: Sequence[SlotRow]) -> str:
    """Return a table of the credit and of unserved requests by nodes, load and policy."""
    policies = list(dict.fromkeys(row.policy for row in rows))
    lines = [
        "Part of the credit earned; in brackets turned away and never answered, in 1,000.",
        "",
        "| nodes | servers | load | " + " | ".join(policies) + " |",
        "|" + "---|" * (3 + len(policies)),
    ]
    for scenario in dict.fromkeys(row.scenario for row in rows):
        found = {row.policy: row for row in rows if row.scenario == scenario}
        cells = [_cell(found.get(policy)) for policy in policies]
        head = f"| {scenario.nodes} | {scenario.servers} | {scenario.load:g} | "
        lines.append(head + " | ".join(cells) + " |")
    return "\n".join([*lines, ""])


def _cell(row: SlotRow | None) -> str:
    if row is None:
        return "-"
    requests = max(row.tally.requests, 1)
    rejected = 1000 * row.tally.rejected / requests
    lost = 1000 * row.tally.never_answered / requests
    return f"{row.credit:.3f} ({rejected:.0f}, {lost:.0f})"


def plot(rows: Sequence[SlotRow], path: Path) -> None:
    """Plot goodput over load, with a line per policy and a panel per number of nodes."""
    sizes = list(dict.fromkeys(row.scenario.nodes for row in rows))
    figure, axes = pyplot.subplots(1, len(sizes), figsize=(4 * len(sizes), 4), sharey=True)
    panels = [axes] if len(sizes) == 1 else list(axes)
    for panel, size in zip(panels, sizes, strict=True):
        for policy in dict.fromkeys(row.policy for row in rows):
            points = [row for row in rows if (row.scenario.nodes, row.policy) == (size, policy)]
            if points:
                loads = [row.scenario.load for row in points]
                panel.plot(loads, [row.goodput for row in points], marker="o", label=policy)
        panel.set_title(f"{size} nodes")
        panel.set_xlabel("load")
    panels[0].set_ylabel("credit over capacity")
    panels[0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def markdown_patterns(rows: Sequence[PatternRow]) -> str:
    """Return a table of what became of the callers of each pattern."""
    lines = [
        "Parts of the callers; answers count from a caller's first attempt. Unanswered includes "
        "answers after the deadline. Held rejections took over an eighth of the objective.",
        "",
        "| pattern | kind | policy | in time | late | rejected at last | unanswered "
        "| returned: in time, served | held rejections | servers busy |",
        "|" + "---|" * 10,
    ]
    for row in rows:
        tally, count = row.tally, max(row.tally.requests, 1)
        unanswered = tally.requests - tally.in_time - tally.late - tally.rejected
        returned = max(tally.returned, 1)
        served = (tally.returned_in_time + tally.returned_late) / returned
        lines.append(
            f"| {row.pattern} | {row.kind} | {row.policy} | {row.in_time:.3f} "
            f"| {tally.late / count:.3f} | {tally.rejected / count:.3f} | {unanswered / count:.3f} "
            f"| {tally.returned_in_time / returned:.3f}, {served:.2f} "
            f"| {tally.held / max(tally.rejections, 1):.2f} | {row.busy:.2f} |"
        )
    return "\n".join([*lines, ""])


def plot_patterns(rows: Sequence[PatternRow], path: Path) -> None:
    """Plot the fraction in time as bars, a group for each pattern and kind."""
    groups = list(dict.fromkeys((row.pattern, row.kind) for row in rows))
    policies = list(dict.fromkeys(row.policy for row in rows))
    figure, axes = pyplot.subplots(figsize=(10, 5))
    for number, policy in enumerate(policies):
        found = {(row.pattern, row.kind): row.in_time for row in rows if row.policy == policy}
        height = 0.8 / len(policies)
        places = [index + number * height for index in range(len(groups))]
        axes.barh(places, [found[group] for group in groups], height, label=policy)
    axes.set_yticks(
        [index + 0.4 for index in range(len(groups))], [": ".join(group) for group in groups]
    )
    axes.invert_yaxis()
    axes.set_xlabel("answered within the objective")
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
