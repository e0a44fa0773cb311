"""``ploverhatch emulator``: emulators of the platform and the back ends."""

import click

from ploverhatch.cli.running import print_ready, run_until_signal, start_logging
from ploverhatch.emulator.backend import BackendBehaviour, BackendEmulator
from ploverhatch.emulator.hop import BaselineProxy
from ploverhatch.emulator.platform import PlatformEmulator


@click.group()
def emulator() -> None:
    """Run emulators for trials and tests."""


@emulator.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0: any free port.")
def platform(host: str, port: int) -> None:
    """Run the platform's object API and machine list."""
    start_logging(False)
    service = PlatformEmulator((host, port))
    print_ready(port=service.server.port)
    run_until_signal(service.close)


@emulator.command()
@click.option("--name", required=True)
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0: any free port.")
@click.option("--slots", default=2, show_default=True)
@click.option("--service-ms", default=2.0, show_default=True)
@click.option("--cold-ms", default=0.0, show_default=True, help="Extra time while cold.")
def backend(name: str, host: str, port: int, slots: int, service_ms: float, cold_ms: float) -> None:
    """Run one back end with an execution log."""
    start_logging(False)
    behaviour = BackendBehaviour(slots=slots, service_ms=service_ms, cold_ms=cold_ms)
    service = BackendEmulator(name, (host, port), behaviour)
    print_ready(name=name, port=service.port)
    run_until_signal(service.close)


@emulator.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0: any free port.")
@click.option("--target-port", type=int, required=True)
def hop(host: str, port: int, target_port: int) -> None:
    """Run a hop without any routing, the baseline of `benchmarks/hop.py`."""
    start_logging(False)
    service = BaselineProxy((host, port), (host, target_port))
    print_ready(port=service.port)
    run_until_signal(service.close)
