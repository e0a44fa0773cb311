"""``ploverhatch bench``: measures how the costs of the control plane grow with its size."""

import json
from dataclasses import asdict

import click

from ploverhatch.bench.slopes import MEASUREMENTS
from ploverhatch.simulation.availability import EVENTS, measure


@click.group()
def bench() -> None:
    """Measure costs on this machine."""


@bench.command()
@click.argument("names", nargs=-1, type=click.Choice(sorted(MEASUREMENTS)))
@click.option("--json", "as_json", is_flag=True, help="Print JSON in place of a table.")
def slopes(names: tuple[str, ...], as_json: bool) -> None:
    """Fit a line to each control cost over at least four sizes."""
    fits = []
    for name in names or MEASUREMENTS:
        click.echo(f"measuring {name}", err=True)
        fits += MEASUREMENTS[name]()
    if as_json:
        click.echo(json.dumps([asdict(item) for item in fits], indent=1))
        return
    click.echo("| cost | slope | base | largest miss | sizes | values |")
    click.echo("|---|---|---|---|---|---|")
    for item in fits:
        sizes = " ".join(str(size) for size in item.sizes)
        values = " ".join(f"{value:g}" for value in item.values)
        click.echo(
            f"| {item.name} | {item.slope:.4g} {item.unit} per {item.per} | {item.base:.4g} "
            f"| {100 * item.error:.0f}% | {sizes} | {values} |"
        )


@bench.command()
@click.option("--seeds", default=20, show_default=True, help="Runs per event.")
def availability(seeds: int) -> None:
    """Measure how long keys are unavailable after an event, in virtual time."""
    click.echo("| event | keys | requests failed | median ms | 99 in 100 ms | worst ms |")
    click.echo("|---|---|---|---|---|---|")
    for event in EVENTS:
        found = measure(event, range(seeds))
        click.echo(
            f"| {found.event} | {found.keys} | {found.failed} | {found.median:g} "
            f"| {found.p99:g} | {found.worst:g} |"
        )
