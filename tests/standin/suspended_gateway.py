"""Runs a gateway for which each stop by SIGSTOP looks like a suspension of its machine.

The monotonic clock of the process doesn't count the time for which it was stopped. Timers of the
event loop do count it, since the kernel runs them.
"""

import time

from ploverhatch.cli.platform_gateway import main

SUSPENSION_S = 0.4  # a running process reads its clocks more often


class _SuspendableClock:
    def __init__(self):
        self._read = time.monotonic
        self._last_s = self._read()
        self._suspended_s = 0.0

    def read(self):
        now_s = self._read()
        if now_s - self._last_s > SUSPENSION_S:
            self._suspended_s += now_s - self._last_s
        self._last_s = now_s
        return now_s - self._suspended_s


def _replace_clocks():
    suspendable, read = _SuspendableClock(), time.clock_gettime
    time.monotonic = suspendable.read
    time.clock_gettime = lambda clock: (
        suspendable.read() if clock == time.CLOCK_MONOTONIC else read(clock)
    )


if __name__ == "__main__":
    _replace_clocks()
    main()
