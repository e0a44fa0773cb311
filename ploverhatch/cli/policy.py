"""``ploverhatch policy``: checks, prints and explains policies without a running cell."""

import sys
from pathlib import Path

import click

from ploverhatch.policy.compiler import Compilation, compile_policy
from ploverhatch.policy.diagnostics import PolicyError
from ploverhatch.policy.parser import parse_policy
from ploverhatch.policy.printer import print_policy
from ploverhatch.policy.table import extract_key


@click.group()
def policy() -> None:
    """Work with policy files."""


def _compile(path: str) -> Compilation:
    source = Path(path).read_text(encoding="utf-8")
    try:
        return compile_policy(source)
    except PolicyError as error:
        for finding in error.diagnostics:
            click.echo(finding.render(source, path), err=True)
        sys.exit(1)


@policy.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
def check(path: str) -> None:
    """Report every error of a policy file."""
    compiled = _compile(path)
    groups, routes = len(compiled.table.groups), len(compiled.table.routes)
    click.echo(f"{path}: {groups} groups, {routes} routes, no errors")


@policy.command("compile")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
def compile_command(path: str) -> None:
    """Print the canonical form with every default filled in."""
    _compile(path)
    click.echo(print_policy(parse_policy(Path(path).read_text(encoding="utf-8"))), nl=False)


@policy.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.argument("method")
@click.argument("target")
def explain(path: str, method: str, target: str) -> None:
    """Show the route, group and key that a request would match."""
    bare, _, query = target.partition("?")
    match = _compile(path).table.match(method.upper(), bare)
    if match is None:
        click.echo(f"no route for {method} {bare}")
        sys.exit(1)
    route = match.route
    key = extract_key(match, query, {})
    mode = "at most once" if route.once else "repeatable"
    click.echo(f"route   {route.method} {route.pattern} (line {route.position.line})")
    click.echo(f"group   {route.group}")
    click.echo(f"key     {key!r} from {route.key_source} {route.key_name}")
    click.echo(f"runs    {mode}, deadline {route.deadline_ms} ms, wait {route.wait_ms} ms")
