"""One node's share of a retry budget that covers all nodes.

The budget: in any window, the number of attempts beyond the first of each
request is at most ``ratio`` x requests + ``slack``. Each node limits itself to
the ratio of its own requests and to its share of the slack, so the total holds
without messages between the nodes.

This module does no I/O and reads no clock.
"""

from dataclasses import dataclass, field

EARNED_FRACTION = 0.8  # of the ratio: tokens earned per request
MAX_SAVED_FRACTION = 0.6  # of a node's share of the slack: the most tokens it may accumulate
REFILL_FRACTION = 0.2  # of a node's share of the slack: tokens refilled per window


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_ms: float


@dataclass
class SharedRetryBudget:
    """Token bucket per service, filled by requests and slowly refilled from the slack."""

    ratio: float
    slack: float
    window_s: float
    nodes: int = 1
    _buckets: dict[str, _Bucket] = field(default_factory=dict)

    @property
    def share(self) -> float:
        """This node's share of the slack, in tokens per window."""
        return self.slack / max(self.nodes, 1)

    @property
    def ceiling(self) -> float:
        """The most tokens that a service may accumulate: at least one, since a retry costs one."""
        return max(1.0, self.share * MAX_SAVED_FRACTION)

    def earn(self, service: str, now_ms: float) -> None:
        """Add tokens for the first attempt of a request."""
        bucket = self._refilled_bucket(service, now_ms)
        bucket.tokens = min(self.ceiling, bucket.tokens + self.ratio * EARNED_FRACTION)

    def spend(self, service: str, now_ms: float) -> bool:
        """Take a token for another attempt and return whether there was one."""
        bucket = self._refilled_bucket(service, now_ms)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _refilled_bucket(self, service: str, now_ms: float) -> _Bucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            # A new bucket is half full, so that restarts within a window don't exceed the slack.
            bucket = _Bucket(self.share * MAX_SAVED_FRACTION / 2, now_ms)
            self._buckets[service] = bucket
        windows = (now_ms - bucket.filled_ms) / 1000 / self.window_s
        bucket.filled_ms = now_ms
        refilled = bucket.tokens + windows * self.share * REFILL_FRACTION
        bucket.tokens = min(self.ceiling, refilled)
        return bucket
