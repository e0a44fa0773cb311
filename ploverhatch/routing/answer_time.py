"""Running estimates of the answer time of a server, in milliseconds.

This module does no I/O and reads no clock.
"""

from dataclasses import dataclass

MEAN_WEIGHT = 0.15  # weight of a new sample in the mean
RISE_FRACTION = 0.01  # relative increase of the typical time after a slower answer
FALL_FRACTION = 0.05  # relative decrease of the typical time after a faster answer


@dataclass(slots=True)
class AnswerTime:
    """Mean and *typical* answer time of one server.

    The typical time tracks about the fastest sixth of the answers. It depends
    on the speed of the server and hardly on the length of its queue, so servers
    can be compared by it while one of them is overloaded.
    """

    mean_ms: float = 0.0
    typical_ms: float = 0.0
    count: int = 0

    def add(self, took_ms: float) -> None:
        """Add the duration of one answer."""
        self.count += 1
        if self.count == 1:
            self.mean_ms = took_ms
            self.typical_ms = took_ms
            return
        self.mean_ms += MEAN_WEIGHT * (took_ms - self.mean_ms)
        if took_ms > self.typical_ms:
            self.typical_ms *= 1 + RISE_FRACTION
        else:
            self.typical_ms *= 1 - FALL_FRACTION
