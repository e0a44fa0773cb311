"""Running estimates of how fast a server answers. Pure; milliseconds."""

from dataclasses import dataclass

MEAN_WEIGHT = 0.15  # of a new reading
RISE = 0.01  # how far the typical time rises on a slower answer
FALL = 0.05  # how far it falls on a faster one


@dataclass(slots=True)
class AnswerTime:
    """Mean and *typical* answer time of one server.

    The typical time follows about the fastest sixth of the answers. It tells
    how fast the server works and hardly how long its queue is, so servers can
    be compared by it while one of them is overloaded.
    """

    mean_ms: float = 0.0
    typical_ms: float = 0.0
    count: int = 0

    def add(self, took_ms: float) -> None:
        """Take one answer."""
        self.count += 1
        if self.count == 1:
            self.mean_ms = took_ms
            self.typical_ms = took_ms
            return
        self.mean_ms += MEAN_WEIGHT * (took_ms - self.mean_ms)
        if took_ms > self.typical_ms:
            self.typical_ms *= 1 + RISE
        else:
            self.typical_ms *= 1 - FALL
