"""``ploverhatch gateway``: runs one gateway process from the command line."""

import sys

import click

from ploverhatch.cli.platform_gateway import EXIT_WRONG_SETTINGS, run
from ploverhatch.platform.names import SETTINGS_VARIABLE
from ploverhatch.platform.settings import SettingsFileError, read_settings


@click.command()
@click.option(
    "--settings",
    envvar=SETTINGS_VARIABLE,
    required=True,
    type=click.Path(dir_okay=False),
    help="The platform's settings file.",
)
@click.option("--check", is_flag=True, help="Only check the settings.")
def gateway(settings: str, check: bool) -> None:
    """Run one gateway, which serves callers and may become the leader.

    SIGTERM starts a planned stop; SIGHUP reads the settings again.
    """
    try:
        if check:
            click.echo(repr(read_settings(settings)))
            return
        run(settings)
    except SettingsFileError as error:
        click.echo(f"settings: {error}", err=True)
        sys.exit(EXIT_WRONG_SETTINGS)
