"""Signals to a gateway process that has just started."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from tests.functional.test_gateway import until
from tests.standin.site import PROGRAM, StandinSite

HANGUP_BIT = 1 << (signal.SIGHUP - 1)
# Of the time until a process serves; most of it goes to imports.
EARLY_FRACTION = 0.6


def handles_hangup(pid):
    """Return whether a process ignores or catches SIGHUP."""
    rows = dict(
        row.split(":\t", 1)
        for row in Path(f"/proc/{pid}/status").read_text().splitlines()
        if ":\t" in row
    )
    return bool((int(rows["SigIgn"], 16) | int(rows["SigCgt"], 16)) & HANGUP_BIT)


def test_a_hangup_while_a_process_starts_does_not_end_it():
    """No handler was set until the process served, so SIGHUP ended it."""
    site = StandinSite(gateways=1, keyed=1, plain=1, programs=(PROGRAM,))
    try:
        gateway = site.gateways[0]
        until(gateway.started, 15.0)
        gateway.kill()
        begin_s = time.monotonic()
        gateway.start()
        until(lambda: handles_hangup(gateway.process.pid), 15.0)
        handled_s = time.monotonic() - begin_s
        gateway.signal(signal.SIGHUP)
        until(gateway.started, 15.0)
        assert handled_s < EARLY_FRACTION * (time.monotonic() - begin_s)
    finally:
        site.close()


def test_the_handler_is_set_before_the_imports_that_take_time():
    code = "import sys, ploverhatch.cli.early_signals; print('gevent' in sys.modules)"
    command = [sys.executable, "-c", code]
    result = subprocess.run(command, capture_output=True, text=True, check=True, env=os.environ)
    assert result.stdout == "False\n"
