"""``ploverhatch gateway``: run one gateway process by hand."""

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
    """Run one gateway: it serves callers, and may lead.

    SIGTERM stops it as planned; SIGHUP reads the settings again.
    """
    try:
        if check:
            click.echo(repr(read_settings(settings)))
            return
        run(settings)
    except SettingsFileError as error:
        click.echo(f"settings: {error}", err=True)
        sys.exit(EXIT_WRONG_SETTINGS)
