"""``ploverhatch experiment``: compares slice placement with baselines and writes a report."""

from pathlib import Path

import click

from ploverhatch.experiment.placement_run import Scenario, run_scenario
from ploverhatch.experiment.report import as_json, markdown, plot

SCENARIOS = {
    "stock": Scenario("Gauteng East, stock lookup", 20, 4, 80, 50_000, 1.0, 2000.0),
    "stock-mild": Scenario("Gauteng East, stock lookup, Zipf 0.8", 20, 4, 80, 50_000, 0.8, 2000.0),
    "weights": Scenario("Uplands, weight feed", 15, 2, 60, 20_000, 1.0, 1500.0),
    "weights-mild": Scenario("Uplands, weight feed, Zipf 0.8", 15, 2, 60, 20_000, 0.8, 1500.0),
}


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(sorted(SCENARIOS)))
@click.option("--out", type=click.Path(file_okay=False), help="Folder for report and plots.")
def experiment(names: tuple[str, ...], out: str | None) -> None:
    """Run placement scenarios in virtual time and print their tables."""
    folder = Path(out) if out else None
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
    sections = []
    for name in names or sorted(SCENARIOS):
        click.echo(f"running {name}", err=True)
        scenario = SCENARIOS[name]
        outcomes = run_scenario(scenario)
        section = markdown(scenario, outcomes)
        click.echo(section)
        if folder is not None:
            plot(scenario, outcomes, folder / f"{name}.png")
            (folder / f"{name}.json").write_text(as_json(scenario, outcomes), encoding="utf-8")
            sections.append(f"{section}\n![{name}]({name}.png)\n")
    if folder is not None:
        (folder / "report.md").write_text("\n".join(sections), encoding="utf-8")
