"""Shared by commands that run until a signal: logging, readiness, signals."""

import gc
import json
import signal
import sys
from collections.abc import Callable

import click
import gevent
from absl import flags, logging
from gevent.event import Event

YOUNG_OBJECTS = 20_000


def start_logging(verbose: bool) -> None:
    """Log to standard error; the ready line alone goes to standard output."""
    flags.FLAGS.mark_as_parsed()  # click parses the command line, not absl
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO if verbose else logging.WARNING)
    logging.set_stderrthreshold("info" if verbose else "warning")


def tune_collector() -> None:
    """Keep full garbage collections rare: they pause all requests.

    What exists after start-up lives on and is not looked at again.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, 20, 100)


def say_ready(**fields: object) -> None:
    """Print one JSON line that tells ports and identities; start-up is over."""
    tune_collector()
    click.echo(json.dumps({"ready": True, **fields}))
    sys.stdout.flush()


def run_until_signal(on_stop: Callable[[], bool]) -> None:
    """Wait for SIGTERM or SIGINT, stop as planned, and exit.

    Exit code 0 when the stop was clean, else 1.
    """
    stopping = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopping.set)
    stopping.wait()
    sys.exit(0 if on_stop() else 1)
