"""How late the tasks of this process run; all times are milliseconds.

A process that has to wait for a core reads replies late, and takes other nodes for unresponsive
that have answered in time. What it waits for others is prolonged by as much. This module does no
I/O and reads no clock.
"""

from dataclasses import dataclass

DECAY_PER_TICK = 0.9
MAX_LATENESS_MS = 150.0  # a longer one is a suspension, which is over
# Of a process that has just started, which doesn't know yet.
INITIAL_LATENESS_MS = 30.0


@dataclass(slots=True)
class RecentLateness:
    """The greatest recent delay of a periodic task."""

    _lateness_ms: float = INITIAL_LATENESS_MS

    @property
    def ms(self) -> float:
        """The greatest delay, where earlier ones count less and less."""
        return self._lateness_ms

    def note_tick(self, late_ms: float) -> None:
        """Record by how much the task woke up too late."""
        decayed_ms = self._lateness_ms * DECAY_PER_TICK
        self._lateness_ms = min(MAX_LATENESS_MS, max(late_ms, decayed_ms, 0.0))
