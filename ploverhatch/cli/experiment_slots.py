"""``ploverhatch experiment-slots``: shared slots against other ways to choose a server."""

from dataclasses import replace
from pathlib import Path

import click

from ploverhatch.experiment.slots_policies import POLICIES
from ploverhatch.experiment.slots_report import SlotRow, markdown, plot
from ploverhatch.experiment.slots_world import SlotScenario, World

LOADS = (0.5, 0.7, 0.85, 1.0, 1.2)
SIZES = {10: 4, 100: 34, 1000: 343}  # nodes and servers, as on the large deployment
LARGEST_CHEAPEST = 100  # nodes: beyond it, a view a node and server takes too long here


@click.command("experiment-slots")
@click.option("--nodes", type=click.Choice([str(size) for size in SIZES]), multiple=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--out", type=click.Path(file_okay=False), help="Folder for report and plot.")
def experiment_slots(nodes: tuple[str, ...], seed: int, out: str | None) -> None:
    """Play claims of the large deployment in virtual time and print a table."""
    rows = [
        _play(replace(SlotScenario(), nodes=size, servers=SIZES[size], load=load, seed=seed), name)
        for size in (map(int, nodes) if nodes else SIZES)
        for load in LOADS
        for name in POLICIES
        if size <= LARGEST_CHEAPEST or not name.startswith("cheapest")
    ]
    table = markdown(rows)
    click.echo(table)
    if out is not None:
        folder = Path(out)
        folder.mkdir(parents=True, exist_ok=True)
        plot(rows, folder / "slots.png")
        (folder / "report.md").write_text(f"{table}\n![slots](slots.png)\n", encoding="utf-8")


def _play(scenario: SlotScenario, name: str) -> SlotRow:
    world = World(scenario)
    tally = world.run(POLICIES[name](world).handle)
    return SlotRow(scenario, name, tally)
