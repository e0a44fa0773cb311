"""``ploverhatch load``: sends traffic to running routers for a bounded time."""

import ipaddress
import sys

import click

from ploverhatch.bench.load import LoadGenerator
from ploverhatch.bench.summary import describe_load
from ploverhatch.settings.deployment import Deployment
from ploverhatch.settings.loader import SettingsError, load_model

MAX_DURATION_S = 600.0


def _parse_router(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not ipaddress.ip_address(host).is_loopback:
        raise click.BadParameter(f"{host} is not a loopback address")
    return host, int(port)


@click.command()
@click.option("--settings", required=True, type=click.Path(dir_okay=False))
@click.option("--router", multiple=True, required=True, help="host:port, repeatable.")
@click.option("--duration", default=5.0, show_default=True, help="Seconds, 600 at most.")
@click.option("--scale", default=1.0, show_default=True, help="Factor on all rates.")
@click.option("--seed", default=1, show_default=True)
def load(settings: str, router: tuple[str, ...], duration: float, scale: float, seed: int) -> None:
    """Send a deployment's traffic and print a summary of the answers.

    Traffic goes to loopback addresses only.
    """
    try:
        deployment = load_model(Deployment, settings)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    routers = [_parse_router(text) for text in router]
    generator = LoadGenerator(routers, deployment.traffic, seed)
    result = generator.run(min(duration, MAX_DURATION_S), scale)
    for line in describe_load(result):
        click.echo(line)
    for failure in result.failures:
        click.echo(f"  {failure}")
    sys.exit(0 if result.answered == result.total else 1)
