"""``ploverhatch demo``: runs a whole deployment in one process, under load."""

import secrets
import sys
import tempfile
from pathlib import Path

import click
import gevent

from ploverhatch.bench.load import LoadGenerator
from ploverhatch.bench.summary import (
    describe_load,
    double_runs,
    imbalance,
    ownership_overlaps,
    unavailable_ms,
)
from ploverhatch.cli.running import start_logging
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.emulator.deployment import LOOPBACK, EmulatedDeployment, start_deployment
from ploverhatch.node.process import Node
from ploverhatch.settings.deployment import Deployment
from ploverhatch.settings.loader import SettingsError, load_model, validate
from ploverhatch.settings.model import Settings

READY_LIMIT_S = 20.0


def start_nodes(emulated: EmulatedDeployment, tokens_file: str) -> list[Node]:
    """Start the nodes of a deployment; the first node is the seed of the others."""
    deployment = emulated.deployment
    nodes: list[Node] = []
    for number in range(deployment.nodes_per_zone * len(deployment.zones)):
        zone = deployment.zones[number % len(deployment.zones)]
        document = {
            "node": {"name": f"{zone}-{number // len(deployment.zones) + 1}", "zone": zone},
            "platform": {"url": emulated.platform.url},
            "cell": {"seeds": [f"{LOOPBACK}:{node.member.port}" for node in nodes[:1]]},
            "admin": {"tokens_file": tokens_file},
        }
        node = Node(validate(Settings, document, "demo"))
        node.start()
        nodes.append(node)
    return nodes


def wait_until_serving(nodes: list[Node], groups: int, limit_s: float = READY_LIMIT_S) -> bool:
    """Wait until all nodes route, the cell has all voters, and all slices have owners.

    :returns: false if ``limit_s`` passes first.
    """
    end_ms = elapsed_ms() + limit_s * 1000
    while elapsed_ms() < end_ms:
        if all(_serving(node, groups) for node in nodes):
            return True
        gevent.sleep(0.05)
    return False


def _serving(node: Node, groups: int) -> bool:
    state = node.view.state
    owned = all(item.server for item in state.assignments)
    wanted = node.settings.cell.voters
    complete = len(state.assignments.groups()) == groups and owned
    return node.view.ready and complete and len(state.membership.voters) == wanted


@click.command()
@click.option("--settings", required=True, type=click.Path(dir_okay=False))
@click.option("--duration", default=8.0, show_default=True, help="Seconds of load.")
@click.option("--scale", default=1.0, show_default=True, help="Factor on all rates.")
@click.option("--verbose", is_flag=True)
def demo(settings: str, duration: float, scale: float, verbose: bool) -> None:
    """Run a deployment under load and print a summary.

    While the load runs, one back end leaves as planned and one fails.
    """
    start_logging(verbose)
    try:
        deployment = load_model(Deployment, settings)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    with tempfile.NamedTemporaryFile("w", suffix=".tokens") as tokens:
        tokens.write(f"operate {secrets.token_hex(16)}\n")
        tokens.flush()
        emulated = start_deployment(deployment, Path(settings).parent)
        nodes = start_nodes(emulated, tokens.name)
    if not wait_until_serving(nodes, len(deployment.upstream)):
        click.echo("the deployment did not become ready", err=True)
        sys.exit(1)
    click.echo(f"{deployment.name}: {len(nodes)} nodes, {len(emulated.backends)} back ends ready")
    code = _run(deployment, emulated, nodes, duration, scale)
    for node in nodes:
        node.stop()
    emulated.close()
    sys.exit(code)


def _run(
    deployment: Deployment,
    emulated: EmulatedDeployment,
    nodes: list[Node],
    duration: float,
    scale: float,
) -> int:
    first = deployment.upstream[0].name
    leaving, failing = emulated.backends[f"{first}-1"], emulated.backends[f"{first}-2"]
    gevent.spawn_later(duration * 0.3, setattr, leaving.behaviour, "draining", True)
    gevent.spawn_later(duration * 0.6, failing.close)
    changes_before = nodes[0].view.slices_reassigned
    routers = [(LOOPBACK, node.member.http_port) for node in nodes]
    result = LoadGenerator(routers, deployment.traffic).run(duration, scale)
    executions = [item for backend in emulated.backends.values() for item in backend.executions]
    servers = {
        f"{upstream.name}-{number + 1}": (upstream.name, upstream.slots)
        for upstream in deployment.upstream
        for number in range(upstream.count)
    }
    for line in describe_load(result):
        click.echo(line)
    spread = ", ".join(
        f"{group} {value:.2f}" for group, value in imbalance(executions, servers).items()
    )
    click.echo(f"imbalance (busiest over mean): {spread}")
    click.echo(f"ownership changes: {nodes[0].view.slices_reassigned - changes_before}")
    click.echo(f"longest time to an answer, failure included: {result.percentile_ms(100):.0f} ms")
    gaps = unavailable_ms(executions)
    if gaps:
        middle = gaps[len(gaps) // 2]
        click.echo(
            f"unavailable time per key ({len(gaps)} busy keys): "
            f"median {middle:.0f} ms, worst {gaps[-1]:.0f} ms"
        )
    doubled, overlaps = double_runs(executions), ownership_overlaps(executions)
    click.echo(f"requests run twice: {len(doubled)}; keys with two owners: {len(overlaps)}")
    return 1 if doubled or overlaps or result.results["crossed-answer"] else 0
