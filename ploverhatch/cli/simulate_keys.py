"""``ploverhatch simulate-keys``: runs fault schedules of key ownership in virtual time."""

import sys

import click

from ploverhatch.simulation.keys.faults import FAULTS, KeyVerdict, run_schedule, run_seed


@click.command("simulate-keys")
@click.option("--seeds", default="0:20", show_default=True, help="FIRST:LAST, last excluded.")
@click.option("--fault", multiple=True, type=click.Choice(sorted(FAULTS)), help="Only these.")
def simulate_keys(seeds: str, fault: tuple[str, ...]) -> None:
    """Run one schedule of faults per seed in virtual time.

    A failing seed can be replayed exactly. Exit code 1 when two servers held a key
    at once, a token did not rise, or a key was not served again.
    """
    first, _, last = seeds.partition(":")
    numbers = range(int(first), int(last))
    unclean = requests = 0
    with click.progressbar(numbers, label="schedules", file=sys.stderr) as bar:
        for seed in bar:
            verdict = run_schedule(seed, fault) if fault else run_seed(seed)
            requests += verdict.requests
            if not verdict.clean:
                unclean += 1
                _report(verdict)
    click.echo(f"schedules {len(numbers)}, unclean {unclean}, requests {requests}")
    sys.exit(1 if unclean else 0)


def _report(verdict: KeyVerdict) -> None:
    click.echo(f"seed {verdict.seed}: {', '.join(verdict.faults)}")
    for sentence in verdict.violations[:5]:
        click.echo(f"  {sentence}")
    if verdict.unserved:
        click.echo(f"  keys not served again: {len(verdict.unserved)}")
