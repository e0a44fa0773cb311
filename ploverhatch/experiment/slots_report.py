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
