"""Logging, the ready line and signals of the commands that run until they are stopped."""

import gc
import json
import signal
import sys
from collections.abc import Callable

import click
import gevent
from absl import flags, logging
from gevent.event import Event

YOUNG_GENERATION_THRESHOLD = 20_000  # allocations before a collection of the youngest generation


def start_logging(verbose: bool) -> None:
    """Log to standard error; only the ready line goes to standard output."""
    flags.FLAGS.mark_as_parsed()  # click, not absl, parses the command line.
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO if verbose else logging.WARNING)
    logging.set_stderrthreshold("info" if verbose else "warning")


def tune_collector() -> None:
    """Make full garbage collections rare, since they pause all requests.

    Objects that exist after start-up are exempt from later collections.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_GENERATION_THRESHOLD, 20, 100)


def print_ready(**fields: object) -> None:
    """Print the ready line: a JSON object with ``fields``, such as ports and ids."""
    tune_collector()
    click.echo(json.dumps({"ready": True, **fields}))
    sys.stdout.flush()


def run_until_signal(on_stop: Callable[[], bool]) -> None:
    """Wait for SIGTERM or SIGINT, call ``on_stop``, and exit the process.

    The exit code is 0 if ``on_stop`` returns true, else 1.
    """
    stopping = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopping.set)
    stopping.wait()
    sys.exit(0 if on_stop() else 1)
