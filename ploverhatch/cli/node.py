"""``ploverhatch node``: runs one node."""

import sys

import click

from ploverhatch.admin.tokens import TokenFileError
from ploverhatch.cli.running import print_ready, run_until_signal, start_logging
from ploverhatch.node.process import Node
from ploverhatch.settings.loader import SettingsError, load_settings


@click.command()
@click.option("--settings", type=click.Path(dir_okay=False), help="TOML file with settings.")
@click.option("--name", help="Overrides node.name.")
@click.option("--zone", help="Overrides node.zone.")
@click.option("--host", help="Overrides node.host.")
@click.option("--port", type=int, help="Overrides node.port (between nodes).")
@click.option("--http-port", type=int, help="Overrides node.http_port (callers).")
@click.option("--admin-port", type=int, help="Overrides node.admin_port (operators).")
@click.option("--platform", help="Overrides platform.url.")
@click.option("--seed", multiple=True, help="Overrides cell.seeds: host:port, repeatable.")
@click.option("--tokens-file", help="Overrides admin.tokens_file.")
@click.option("--verbose", is_flag=True, help="Log ordinary events.")
def node(
    settings: str | None,
    name: str | None,
    zone: str | None,
    host: str | None,
    port: int | None,
    http_port: int | None,
    admin_port: int | None,
    platform: str | None,
    seed: tuple[str, ...],
    tokens_file: str | None,
    verbose: bool,
) -> None:
    """Run one node, which routes requests and may become a voter of its cell.

    SIGTERM starts a planned stop: other nodes take over its duties, and requests in
    flight are answered first.
    """
    start_logging(verbose)
    overrides = {
        "node.name": name,
        "node.zone": zone,
        "node.host": host,
        "node.port": port,
        "node.http_port": http_port,
        "node.admin_port": admin_port,
        "platform.url": platform,
        "cell.seeds": list(seed) or None,
        "admin.tokens_file": tokens_file,
    }
    try:
        running = Node(load_settings(settings, overrides))
    except (SettingsError, TokenFileError, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    running.start()
    print_ready(
        node=running.node_id,
        port=running.member.port,
        http_port=running.member.http_port,
        admin_port=running.admin_http.port,
    )
    run_until_signal(running.drain)
