"""Entry point of the ``ploverhatch`` command."""

import click

from ploverhatch import __version__
from ploverhatch.cli.bench import bench
from ploverhatch.cli.ctl import ctl
from ploverhatch.cli.demo import demo
from ploverhatch.cli.emulator import emulator
from ploverhatch.cli.experiment import experiment
from ploverhatch.cli.experiment_keys import experiment_keys
from ploverhatch.cli.experiment_slots import experiment_slots
from ploverhatch.cli.explain_request import explain_request
from ploverhatch.cli.explain_stops import explain_stops
from ploverhatch.cli.gateway import gateway
from ploverhatch.cli.load import load
from ploverhatch.cli.node import node
from ploverhatch.cli.policy import policy
from ploverhatch.cli.simulate import simulate
from ploverhatch.cli.simulate_keys import simulate_keys


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def main() -> None:
    """Route requests to back ends that own keys exclusively.

    Exit codes: 0 success, 1 failure, 2 wrong use or settings, 3 conflict,
    4 outcome unknown.
    """


COMMANDS = (
    node,
    gateway,
    policy,
    ctl,
    emulator,
    load,
    demo,
    simulate,
    simulate_keys,
    experiment,
    experiment_keys,
    experiment_slots,
    bench,
    explain_request,
    explain_stops,
)

for command in COMMANDS:
    main.add_command(command)
