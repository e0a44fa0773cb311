"""Table and plot of the runs of `keys_world`."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - the backend is chosen first

from ploverhatch.experiment.keys_world import KeyTally  # noqa: E402 - after the backend


@dataclass(frozen=True, slots=True)
class KeyRow:
    """The result of one run."""

    situation: str
    variant: str
    tally: KeyTally

    @property
    def credit(self) -> float:
        """Fraction of the possible credit that was earned."""
        return self.tally.credit / max(self.tally.requests, 1)

    def credit_of(self, second: int) -> float:
        """Return the fraction of the credit earned by the requests of one second."""
        ended = self.tally.by_second.get(second, [])
        return sum(ended) / len(ended) if ended else 0.0


def _credit_at(second: int, row: KeyRow) -> float:
    return row.credit_of(second)


def _mean(rows: Sequence[KeyRow], read: Callable[[KeyRow], float]) -> float:
    return sum(map(read, rows)) / len(rows)


def markdown(rows: Sequence[KeyRow]) -> str:
    """Return a table of the credit by situation and variant, as means over the seeds."""
    variants = list(dict.fromkeys(row.variant for row in rows))
    lines = [
        "Part of the credit earned; in brackets late, turned away and lost, in 1,000, and moves.",
        "",
        "| situation | " + " | ".join(variants) + " |",
        "|" + "---|" * (1 + len(variants)),
    ]
    for situation in dict.fromkeys(row.situation for row in rows):
        found = [row for row in rows if row.situation == situation]
        cells = [_cell([row for row in found if row.variant == variant]) for variant in variants]
        lines.append(f"| {situation} | " + " | ".join(cells) + " |")
    return "\n".join([*lines, ""])


def _cell(rows: Sequence[KeyRow]) -> str:
    if not rows:
        return "-"
    parts = [
        1000 * _mean(rows, lambda row: row.tally.late / max(row.tally.requests, 1)),
        1000 * _mean(rows, lambda row: row.tally.rejected / max(row.tally.requests, 1)),
        1000 * _mean(rows, lambda row: row.tally.unanswered / max(row.tally.requests, 1)),
        _mean(rows, lambda row: row.tally.moves),
    ]
    return (
        f"{_mean(rows, lambda row: row.credit):.3f} (" + ", ".join(f"{p:.0f}" for p in parts) + ")"
    )


def plot(rows: Sequence[KeyRow], path: Path) -> None:
    """Plot the credit of each second, with a line per variant and a panel per situation."""
    situations = list(dict.fromkeys(row.situation for row in rows))
    figure, axes = pyplot.subplots(
        len(situations), 1, figsize=(8, 2 * len(situations)), squeeze=False, sharey=True
    )
    for panel, situation in zip(axes[:, 0], situations, strict=True):
        for variant in dict.fromkeys(row.variant for row in rows):
            found = [row for row in rows if (row.situation, row.variant) == (situation, variant)]
            seconds = sorted({second for row in found for second in row.tally.by_second})
            values = [_mean(found, partial(_credit_at, second)) for second in seconds]
            panel.plot(seconds, values, label=variant)
        panel.set_title(situation, fontsize=8)
        panel.set_ylim(0.0, 1.0)
    axes[-1, 0].set_xlabel("seconds")
    axes[0, 0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)
