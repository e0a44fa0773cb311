"""How often a cold server is given a request. Pure; milliseconds.

A server that has just started, or came back after its caches were lost, bears few
requests a second and falls over well above that. Its group's dispatcher counts them
for all nodes; a node that hears of no dispatcher sends it nothing.

Two nodes may take themselves for the dispatcher for a while, and a new one knows
nothing of what the last one gave. Both together then give a cold server at most
twice the rate and two requests in a second, which a service that bears 6.7 a second
for sure, and 18 at most before it falls over, still bears.
"""

from dataclasses import dataclass

MOST_SAVED = 1.0  # requests that may be given at once: the rate holds in each second


@dataclass(slots=True)
class ColdRate:
    """Tokens of one server: one a request, refilled at what the server bears."""

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
