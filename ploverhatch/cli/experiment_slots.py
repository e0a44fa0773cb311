"""``ploverhatch experiment-slots``: compares shared slots with other policies of server choice."""

from dataclasses import replace
from pathlib import Path

import click

from ploverhatch.experiment.slots_policies import POLICIES
from ploverhatch.experiment.slots_report import SlotRow, markdown, plot
from ploverhatch.experiment.slots_world import SlotScenario, World

LOADS = (0.5, 0.7, 0.85, 1.0, 1.2)
SIZES = {10: 4, 100: 34, 1000: 343}  # servers by nodes, in the ratio of the large deployment
# The "cheapest" policies keep a view of each server in each node, which takes too long to
# simulate with more nodes than this.
MAX_NODES_CHEAPEST = 100


@click.command("experiment-slots")
@click.option("--nodes", type=click.Choice([str(size) for size in SIZES]), multiple=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--out", type=click.Path(file_okay=False), help="Folder for report and plot.")
def experiment_slots(nodes: tuple[str, ...], seed: int, out: str | None) -> None:
    """Simulate the load of the large deployment under each policy and print a table."""
    rows = [
        _run(replace(SlotScenario(), nodes=size, servers=SIZES[size], load=load, seed=seed), name)
        for size in (map(int, nodes) if nodes else SIZES)
        for load in LOADS
        for name in POLICIES
        if size <= MAX_NODES_CHEAPEST or not name.startswith("cheapest")
    ]
    table = markdown(rows)
    click.echo(table)
    if out is not None:
        folder = Path(out)
        folder.mkdir(parents=True, exist_ok=True)
        plot(rows, folder / "slots.png")
        (folder / "report.md").write_text(f"{table}\n![slots](slots.png)\n", encoding="utf-8")


def _run(scenario: SlotScenario, name: str) -> SlotRow:
    world = World(scenario)
    tally = world.run(POLICIES[name](world).handle)
    return SlotRow(scenario, name, tally)
