"""A machine that is suspended: its steady clock, and all timers, stand still meanwhile.

The clock that counts the time goes on, as do those of all other machines; so stand-ins
measure with it too. Nothing is stopped for real: the world is seen to have moved on.
"""

import time


class Suspension:
    """Replaces the clocks of this process."""

    def __init__(self, monkeypatch):
        self.suspended_s = 0.0
        self._steady = time.monotonic
        monkeypatch.setattr(time, "clock_gettime", self._read)

    def _read(self, clock):
        assert clock in {time.CLOCK_BOOTTIME, time.CLOCK_MONOTONIC}
        return self._steady() + (self.suspended_s if clock == time.CLOCK_BOOTTIME else 0.0)

    def suspend(self, seconds):
        """Have the machine stand still for a time that ends now."""
        self.suspended_s += seconds
