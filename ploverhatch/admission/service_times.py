"""The distribution of service times of a group's servers, learned from its answers.

The load that this answers: a request should wait only as long as its answer is still likely to
come in time, and a mean tells nothing of that. Service times are counted relative to the mean of
the server that ran the request, so that the shape is known soon although servers differ in speed.
This module does no I/O and reads no clock.
"""

import math
from dataclasses import dataclass, field

STEPS_PER_OCTAVE = 4
OCTAVES = 4  # on either side of the mean
BUCKETS = 2 * OCTAVES * STEPS_PER_OCTAVE
# Samples are forgotten so that about this many count.
MEMORY_SAMPLES = 200.0
# The distribution before any answer: lognormal, with this deviation of the logarithm.
ASSUMED_SAMPLES = 20.0
ASSUMED_SIGMA = 0.5


def _assumed_counts() -> list[float]:
    """Return counts of a lognormal distribution whose mean is 1."""
    median_log2 = -(ASSUMED_SIGMA**2) / 2 / math.log(2)
    sigma_log2 = ASSUMED_SIGMA / math.log(2)
    ends = [
        0.5 * (1 + math.erf((_upper_log2(index) - median_log2) / sigma_log2 / math.sqrt(2)))
        for index in range(BUCKETS)
    ]
    ends[-1] = 1.0
    starts = [0.0, *ends[:-1]]
    return [ASSUMED_SAMPLES * (end - start) for start, end in zip(starts, ends, strict=True)]


def _upper_log2(index: int) -> float:
    """Return the binary logarithm of a bucket's upper bound."""
    return (index + 1) / STEPS_PER_OCTAVE - OCTAVES


@dataclass(slots=True)
class ServiceTimes:
    """Relative service times: 1 is the mean of the server that ran the request."""

    _counts: list[float] = field(default_factory=_assumed_counts)
    _total: float = ASSUMED_SAMPLES

    def add(self, relative: float) -> None:
        """Count one service time, relative to the mean of its server."""
        if not 0 < relative < math.inf:
            return
        index = math.floor((math.log2(relative) + OCTAVES) * STEPS_PER_OCTAVE)
        self._counts[min(max(index, 0), BUCKETS - 1)] += 1.0
        self._total += 1.0
        if self._total > 2 * MEMORY_SAMPLES:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def chance_within(self, relative: float) -> float:
        """Return the part of service times that are no longer than this, from 0 to 1."""
        if relative <= 0:
            return 0.0
        position = (math.log2(relative) + OCTAVES) * STEPS_PER_OCTAVE
        if position <= 0:
            return 0.0
        whole = min(math.floor(position), BUCKETS)
        below = sum(self._counts[:whole])
        if whole < BUCKETS:
            below += self._counts[whole] * (position - whole)
        return below / self._total

    def quantile(self, chance: float) -> float:
        """Return the relative time within which this part of the requests is served."""
        left = min(max(chance, 0.0), 1.0) * self._total
        for index, count in enumerate(self._counts):
            if left <= count and count > 0:
                return float(2.0 ** (_upper_log2(index - 1) + left / count / STEPS_PER_OCTAVE))
            left -= count
        return float(2.0**OCTAVES)
