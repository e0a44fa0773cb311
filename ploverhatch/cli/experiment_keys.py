"""``ploverhatch experiment-keys``: key placement on noisy servers, in virtual time."""

from pathlib import Path

import click

from ploverhatch.experiment.keys_report import KeyRow, markdown, plot
from ploverhatch.experiment.keys_situations import SITUATIONS, VARIANTS
from ploverhatch.experiment.keys_world import KeyWorld


@click.command("experiment-keys")
@click.option(
    "--seeds", default=2, show_default=True, help="Runs of each situation, with different seeds."
)
@click.option("--situation", type=click.Choice(sorted(SITUATIONS)), multiple=True)
@click.option("--out", type=click.Path(file_okay=False), help="Folder for report and plot.")
def experiment_keys(seeds: int, situation: tuple[str, ...], out: str | None) -> None:
    """Simulate the load of the shifted deployment under several strategies of key placement."""
    rows = [
        KeyRow(name, variant, KeyWorld(change(SITUATIONS[name], seed)).run())
        for name in (situation or SITUATIONS)
        for variant, change in VARIANTS.items()
        for seed in range(1, seeds + 1)
    ]
    table = markdown(rows)
    click.echo(table)
    if out is not None:
        folder = Path(out)
        folder.mkdir(parents=True, exist_ok=True)
        plot(rows, folder / "keys.png")
        (folder / "report.md").write_text(f"{table}\n![keys](keys.png)\n", encoding="utf-8")
