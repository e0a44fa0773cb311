"""One node's part of a retry budget that all nodes share. Pure.

The budget is: in any window, arrivals beyond the first of each request may be
at most ``ratio`` x the requests + ``slack``. Each node keeps to the ratio of
its own requests and to its part of the slack, so the sum holds without the
nodes hearing of each other.
"""

from dataclasses import dataclass, field

EARNED_FRACTION = 0.8  # of the ratio that is used
MAX_SAVED_FRACTION = 0.6  # of a node's part of the slack: most that it may save up
REFILL_FRACTION = 0.2  # of a node's part of the slack: what comes back in a window


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_ms: float


@dataclass
class SharedRetryBudget:
    """Tokens per service, earned by requests and refilled slowly from the slack."""

    ratio: float
    slack: float
    window_s: float
    nodes: int = 1
    _buckets: dict[str, _Bucket] = field(default_factory=dict)

    @property
    def share(self) -> float:
        """This node's part of the slack."""
        return self.slack / max(self.nodes, 1)

    @property
    def ceiling(self) -> float:
        """Most tokens that are saved up for a service; one at least, to be of use."""
        return max(1.0, self.share * MAX_SAVED_FRACTION)

    def earn(self, service: str, now_ms: float) -> None:
        """Count a first attempt."""
        bucket = self._filled(service, now_ms)
        bucket.tokens = min(self.ceiling, bucket.tokens + self.ratio * EARNED_FRACTION)

    def spend(self, service: str, now_ms: float) -> bool:
        """Take a token for a further attempt; false when there is none."""
        bucket = self._filled(service, now_ms)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _filled(self, service: str, now_ms: float) -> _Bucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            # Half full, so that restarts within a window do not add up.
            bucket = _Bucket(self.share * MAX_SAVED_FRACTION / 2, now_ms)
            self._buckets[service] = bucket
        windows = (now_ms - bucket.filled_ms) / 1000 / self.window_s
        bucket.filled_ms = now_ms
        refilled = bucket.tokens + windows * self.share * REFILL_FRACTION
        bucket.tokens = min(self.ceiling, refilled)
        return bucket
