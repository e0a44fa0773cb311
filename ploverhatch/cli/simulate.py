"""``ploverhatch simulate``: runs fault schedules in virtual time."""

import sys
from collections import Counter

import click

from ploverhatch.simulation.faults import FAULTS, Verdict, run_faults, run_seed


@click.command()
@click.option("--seeds", default="0:20", show_default=True, help="FIRST:LAST, last excluded.")
@click.option("--fault", multiple=True, type=click.Choice(sorted(FAULTS)), help="Only these.")
def simulate(seeds: str, fault: tuple[str, ...]) -> None:
    """Run one schedule of faults per seed; a failing seed can be replayed exactly.

    Exit code 1 when an invariant was violated or a key was not served again.
    """
    first, _, last = seeds.partition(":")
    outcomes: Counter[str] = Counter()
    unclean = runs = 0
    numbers = range(int(first), int(last))
    with click.progressbar(numbers, label="schedules", file=sys.stderr) as bar:
        for seed in bar:
            verdict = run_faults(seed, fault) if fault else run_seed(seed)
            outcomes.update(verdict.outcomes)
            runs += verdict.runs
            if not verdict.clean:
                unclean += 1
                _report(verdict)
    click.echo(f"schedules {len(numbers)}, unclean {unclean}, executions {runs}")
    for name, count in sorted(outcomes.items()):
        click.echo(f"  {name}: {count}")
    sys.exit(1 if unclean else 0)


def _report(verdict: Verdict) -> None:
    click.echo(f"seed {verdict.seed}:")
    for sentence in verdict.violations[:5]:
        click.echo(f"  {sentence}")
    for group, key_hash in verdict.unserved:
        click.echo(f"  not served again: {group}/{key_hash:016x}")
