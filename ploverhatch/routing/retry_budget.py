"""One node's part of a retry budget that all nodes share. Pure.

The budget is: in any window, arrivals beyond the first of each request may be
at most ``ratio`` x the requests + ``slack``. Each node keeps to the ratio of
its own requests and to its part of the slack, so the sum holds without the
nodes hearing of each other.
"""

from dataclasses import dataclass, field

SAFETY = 0.8  # part of the allowance that is used


@dataclass
class SharedRetryBudget:
    """Tokens per service, earned by requests and refilled slowly from the slack."""

    ratio: float
    slack: float
    window_s: float
    nodes: int = 1
    _tokens: dict[str, float] = field(default_factory=dict)
    _filled_ms: dict[str, float] = field(default_factory=dict)

    @property
    def ceiling(self) -> float:
        """Most tokens a node may hold for a service."""
        return max(1.0, self.slack * SAFETY / max(self.nodes, 1))

    def earn(self, service: str, now_ms: float) -> None:
        """Count a first attempt."""
        self._refill(service, now_ms)
        self._tokens[service] = min(self.ceiling, self._tokens[service] + self.ratio * SAFETY)

    def spend(self, service: str, now_ms: float) -> bool:
        """Take a token for a further attempt; false when there is none."""
        self._refill(service, now_ms)
        if self._tokens[service] < 1.0:
            return False
        self._tokens[service] -= 1.0
        return True

    def _refill(self, service: str, now_ms: float) -> None:
        # A bucket starts half full: a restart within a window must not double it.
        tokens = self._tokens.get(service)
        if tokens is None:
            self._tokens[service] = self.ceiling / 2
            self._filled_ms[service] = now_ms
            return
        elapsed_s = (now_ms - self._filled_ms[service]) / 1000
        self._filled_ms[service] = now_ms
        refill = elapsed_s * self.ceiling / (2 * self.window_s)
        self._tokens[service] = min(self.ceiling, tokens + refill)
