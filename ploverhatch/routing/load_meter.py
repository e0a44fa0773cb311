"""Request rates by slice and by hot key, from the router's own counts.

Hot keys are found by a sketch of bounded size (the frequent items sketch of
Apache DataSketches), so memory does not depend on the number of keys.
"""

import math
from collections import Counter

import datasketches

SKETCH_SIZE_LOG2 = 10
HOT_KEYS_REPORTED = 64
SMOOTHING_MS = 8000.0  # time constant of the rates
MIN_RATE_PER_S = 0.05  # lower rates are dropped

Rates = dict[tuple[str, int], float]  # (group, hash) -> requests per second


class LoadMeter:
    """Counts requests and computes exponentially smoothed rates."""

    def __init__(self, now_ms: float) -> None:
        self._since_ms = now_ms
        self._counts: Counter[tuple[str, int]] = Counter()
        self._sketch = datasketches.frequent_strings_sketch(SKETCH_SIZE_LOG2)
        self._slices: Rates = {}
        self._keys: Rates = {}

    def count(self, group: str, slice_first: int, key_hash: int) -> None:
        """Count one request by its slice and its key."""
        if self._sketch is None:
            return
        self._counts[(group, slice_first)] += 1
        self._sketch.update(f"{key_hash:016x}{group}")

    def close(self) -> None:
        """Free the sketch, which must not outlive the library that is loaded in the process."""
        self._sketch = None

    def roll(self, now_ms: float) -> tuple[Rates, Rates]:
        """Close the current window and return the smoothed rates by slice and by key."""
        if self._sketch is None:
            return {}, {}
        span_s = max(now_ms - self._since_ms, 1.0) / 1000
        hot = self._sketch.get_frequent_items(
            datasketches.frequent_items_error_type.NO_FALSE_POSITIVES
        )
        keys = {
            (str(item[0])[16:], int(str(item[0])[:16], 16)): item[1] / span_s
            for item in hot[:HOT_KEYS_REPORTED]
        }
        slices = {identity: count / span_s for identity, count in self._counts.items()}
        weight = smoothing_weight(span_s * 1000)
        self._slices = _smooth(self._slices, slices, weight)
        self._keys = _smooth(self._keys, keys, weight)
        self._counts.clear()
        self._sketch = datasketches.frequent_strings_sketch(SKETCH_SIZE_LOG2)
        self._since_ms = now_ms
        return self._slices, self._keys


def smoothing_weight(span_ms: float) -> float:
    """Return the weight of a new sample that covers ``span_ms``."""
    return 1 - math.exp(-span_ms / SMOOTHING_MS)


def _smooth(old: Rates, new: Rates, weight: float) -> Rates:
    mixed = {
        identity: old.get(identity, 0.0) * (1 - weight) + new.get(identity, 0.0) * weight
        for identity in set(old) | set(new)
    }
    return {identity: rate for identity, rate in mixed.items() if rate >= MIN_RATE_PER_S}
