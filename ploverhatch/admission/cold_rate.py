"""How often a cold server is given a request. Pure; milliseconds.

A server that has just started, or came back after its caches were lost, sustains a
rate that the configuration states, and fails well above it. Its group's dispatcher
counts for all nodes; a node that hears of no dispatcher sends it nothing.

Two nodes may take themselves for the dispatcher for a while, and a new one knows
nothing of what the last one gave. Both together then give a cold server at most
twice the rate and two requests in a second: 15.4 where 6.7 a second are sustained,
and where more than 18 in one second make it fail.
"""

from dataclasses import dataclass

MOST_SAVED = 1.0  # requests that may be given at once: the rate holds in each second


@dataclass(slots=True)
class ColdRate:
    """Tokens of one server: one a request, refilled at the rate that it sustains."""

    per_s: float
    filled_ms: float
    _tokens: float = MOST_SAVED

    def has_token(self, now_ms: float) -> bool:
        """Whether a request may be given now."""
        self._fill(now_ms)
        return self._tokens >= 1.0

    def take(self, now_ms: float) -> None:
        """A request is given now."""
        self._fill(now_ms)
        self._tokens -= 1.0

    def _fill(self, now_ms: float) -> None:
        earned = (now_ms - self.filled_ms) * self.per_s / 1000
        self._tokens = min(MOST_SAVED, self._tokens + earned)
        self.filled_ms = now_ms
