"""The rate at which requests arrive at a group, by priority; times are elapsed milliseconds.

It tells how much room servers have beyond the requests that go first. This module does no I/O
and reads no clock.
"""

import math
from dataclasses import dataclass, field

# Long enough to count several requests, and short enough that a burst shows while it lasts.
MEMORY_MS = 500.0
FORGOTTEN_MS = 10 * MEMORY_MS


@dataclass(slots=True)
class _Count:
    """An exponentially forgotten count of arrivals, as of a time."""

    value: float
    at_ms: float

    def decayed(self, now_ms: float) -> float:
        return self.value * math.exp(-(now_ms - self.at_ms) / MEMORY_MS)


@dataclass(slots=True)
class ArrivalRates:
    """Recent arrivals per millisecond, by priority."""

    _counts: dict[int, _Count] = field(default_factory=dict)

    def note(self, priority: int, now_ms: float) -> None:
        """Count an arrival."""
        known = self._counts.get(priority)
        value = 1.0 + (known.decayed(now_ms) if known else 0.0)
        self._counts[priority] = _Count(value, now_ms)
        if len(self._counts) > 1:
            self._counts = {
                name: count
                for name, count in self._counts.items()
                if now_ms - count.at_ms < FORGOTTEN_MS
            }

    def per_ms(self, now_ms: float, before: float = math.inf) -> float:
        """Return the rate of the arrivals that are more urgent than a priority."""
        counts = (
            count.decayed(now_ms) for priority, count in self._counts.items() if priority < before
        )
        return sum(counts) / MEMORY_MS
