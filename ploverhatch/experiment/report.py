"""Figures and plots of placement runs, as Markdown, JSON and PNG."""

import json
from dataclasses import asdict
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - the backend is chosen first

from ploverhatch.experiment.placement_run import (  # noqa: E402 - after the backend
    WINDOW_S,
    Outcome,
    Scenario,
)

HEADER = (
    "| strategy | imbalance, quiet | least possible | imbalance after hot key | "
    "after loss | keys moved on loss | after join | keys moved on join | keys moved else, per min |"
)


def _mean(values: list[float]) -> float:
    return sum(values) / max(len(values), 1)


def table_row(scenario: Scenario, outcome: Outcome) -> str:
    """Return the Markdown table row of a strategy."""

    def imbalance(start_s: int, end_s: int) -> float:
        return _mean(outcome.between(outcome.imbalance, start_s, end_s, WINDOW_S))

    quiet_end = scenario.hot_key_s
    floor = _mean(outcome.between(outcome.floor, scenario.settle_s, quiet_end, WINDOW_S))
    loss = sum(outcome.moved[scenario.loss_s - 1 : scenario.loss_s + 10])
    join = sum(outcome.moved[scenario.join_s - 1 : scenario.join_s + 30])
    calm = sum(outcome.moved[scenario.settle_s : quiet_end])
    calm_minutes = (quiet_end - scenario.settle_s) / 60
    cells = [
        outcome.strategy,
        f"{imbalance(scenario.settle_s, quiet_end):.2f}",
        f"{floor:.2f}",
        f"{imbalance(scenario.hot_key_s + 10, scenario.loss_s):.2f}",
        f"{imbalance(scenario.loss_s + 10, scenario.join_s):.2f}",
        f"{100 * loss:.1f}%",
        f"{imbalance(scenario.join_s + 30, scenario.duration_s):.2f}",
        f"{100 * join:.1f}%",
        f"{100 * calm / calm_minutes:.1f}%",
    ]
    return "| " + " | ".join(cells) + " |"


def markdown(scenario: Scenario, outcomes: list[Outcome]) -> str:
    """Return the Markdown section of a scenario."""
    ideal_loss = 100 / scenario.servers
    rows = [
        f"## {scenario.name}",
        "",
        f"{scenario.servers} servers, {scenario.slices} slices, {scenario.keys} keys, "
        f"Zipf {scenario.skew:g}, {scenario.rate:g} requests/s, seed {scenario.seed}. "
        f"Least possible churn: about {ideal_loss:.1f}% of the keys on a loss, "
        f"{100 / scenario.servers:.1f}% on the join.",
        "",
        HEADER,
        "|" + "---|" * 9,
        *[table_row(scenario, outcome) for outcome in outcomes],
        "",
    ]
    return "\n".join(rows)


def plot(scenario: Scenario, outcomes: list[Outcome], path: Path) -> None:
    """Plot imbalance and moved keys over time, with the events of the scenario."""
    figure, axes = pyplot.subplots(2, 1, figsize=(9, 6), sharex=True)
    for outcome in outcomes:
        times = [(number + 1) * WINDOW_S for number in range(len(outcome.imbalance))]
        axes[0].plot(times, outcome.imbalance, label=outcome.strategy)
        axes[1].plot(range(1, len(outcome.moved) + 1), [100 * value for value in outcome.moved])
    axes[0].plot(times, outcomes[0].floor, "k:", label="least possible")
    for moment, label in (
        (scenario.hot_key_s, "hot key"),
        (scenario.loss_s, "loss"),
        (scenario.join_s, "join"),
    ):
        axes[0].axvline(moment, color="grey", linewidth=0.5)
        axes[0].annotate(label, (moment, axes[0].get_ylim()[1]), fontsize=8, va="top")
    axes[0].set_ylabel("busiest over mean")
    axes[0].legend(fontsize=7, loc="upper center", ncol=5, bbox_to_anchor=(0.5, 1.16))
    axes[1].set_yscale("symlog", linthresh=0.1)
    axes[1].set_ylabel("keys moved, % per s")
    axes[1].set_xlabel("seconds")
    figure.suptitle(scenario.name)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def as_json(scenario: Scenario, outcomes: list[Outcome]) -> str:
    """Return scenario and outcomes as JSON."""
    return json.dumps(
        {"scenario": asdict(scenario), "outcomes": [asdict(outcome) for outcome in outcomes]}
    )
