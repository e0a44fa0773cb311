"""Simulates the suspension of the machine, during which its monotonic clock and timers stop.

The elapsed clock counts the suspension, as do the clocks of all other machines, so stand-ins
measure with it too. The process isn't stopped: only its clock readings show a suspension.
"""

import time


class Suspension:
    """Replaces the clock readings of this process."""

    def __init__(self, monkeypatch):
        self.suspended_s = 0.0
        self._monotonic = time.monotonic
        monkeypatch.setattr(time, "clock_gettime", self._read)

    def _read(self, clock):
        assert clock in {time.CLOCK_BOOTTIME, time.CLOCK_MONOTONIC}
        return self._monotonic() + (self.suspended_s if clock == time.CLOCK_BOOTTIME else 0.0)

    def suspend(self, seconds):
        """Simulate a suspension that ends now."""
        self.suspended_s += seconds
