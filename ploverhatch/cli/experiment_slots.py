"""``ploverhatch experiment-slots``: compares shared slots with other policies of server choice."""

from dataclasses import replace
from pathlib import Path

import click

from ploverhatch.experiment import slots_report
from ploverhatch.experiment.slots_patterns import PATTERNS
from ploverhatch.experiment.slots_policies import POLICIES
from ploverhatch.experiment.slots_report import PatternRow, SlotRow
from ploverhatch.experiment.slots_world import SlotScenario, Tally, World

LOADS = (0.5, 0.7, 0.85, 1.0, 1.2)
SIZES = {10: 4, 100: 34, 1000: 343}  # servers by nodes, in the ratio of the large deployment
# The "cheapest" policies keep a view of each server in each node, which takes too long to
# simulate with more nodes than this.
MAX_NODES_CHEAPEST = 100
PATTERN_SEEDS = 3


@click.command("experiment-slots")
@click.option("--nodes", type=click.Choice([str(size) for size in SIZES]), multiple=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--patterns", is_flag=True, help="Patterns of load beyond the servers' capacity.")
@click.option("--out", type=click.Path(file_okay=False), help="Folder for report and plot.")
def experiment_slots(nodes: tuple[str, ...], seed: int, patterns: bool, out: str | None) -> None:
    """Simulate the load of the large deployment under each policy and print a table."""
    if patterns:
        _play_patterns(seed, out)
        return
    rows = [
        _run(replace(SlotScenario(), nodes=size, servers=SIZES[size], load=load, seed=seed), name)
        for size in (map(int, nodes) if nodes else SIZES)
        for load in LOADS
        for name in POLICIES
        if size <= MAX_NODES_CHEAPEST or not name.startswith("cheapest")
    ]
    table = slots_report.markdown(rows)
    click.echo(table)
    if out is not None:
        slots_report.plot(rows, _folder(out) / "slots.png")
        (_folder(out) / "report.md").write_text(f"{table}\n![slots](slots.png)\n", encoding="utf-8")


def _play_patterns(seed: int, out: str | None) -> None:
    rows = [
        row
        for pattern, scenario in PATTERNS.items()
        for policy in POLICIES
        for row in _run_pattern(pattern, scenario, policy, range(seed, seed + PATTERN_SEEDS))
    ]
    table = slots_report.markdown_patterns(rows)
    click.echo(table)
    if out is not None:
        slots_report.plot_patterns(rows, _folder(out) / "patterns.png")
        text = f"{table}\n![patterns](patterns.png)\n"
        (_folder(out) / "patterns.md").write_text(text, encoding="utf-8")


def _folder(out: str) -> Path:
    folder = Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    return folder


def _run_pattern(
    pattern: str, scenario: SlotScenario, policy: str, seeds: range
) -> list[PatternRow]:
    """Return a row for each kind of requests, with the counts of all seeds."""
    worlds = [World(replace(scenario, seed=seed)) for seed in seeds]
    for world in worlds:
        world.run(POLICIES[policy](world).handle)
    busy = sum(world.busy for world in worlds) / len(worlds)
    return [
        PatternRow(
            pattern,
            kind.name,
            policy,
            sum((world.tallies[kind.name] for world in worlds), Tally()),
            busy,
        )
        for kind in scenario.all_kinds
    ]


def _run(scenario: SlotScenario, name: str) -> SlotRow:
    world = World(scenario)
    tally = world.run(POLICIES[name](world).handle)
    return SlotRow(scenario, name, tally)
