"""How often a server is given a request where its rate is bounded. Pure; milliseconds.

A server that has just started, or came back after its caches were lost, sustains a
rate that the configuration states, and fails well above it; one in need names a limit
itself. Its group's dispatcher counts for all nodes; a node that hears of no dispatcher
sends it nothing.

Two nodes may take themselves for the dispatcher for a while, and a new one knows
nothing of what the last one gave. Both together then give a cold server at most
twice the rate and two requests in a second: 15.4 where 6.7 a second are sustained,
and where more than 18 in one second make it fail. Of a limit that a server names a
node that ranks behind a living dispatcher gives half (:class:`ServerBounds`).
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ploverhatch.state.server_notices import MIN_LIMIT_PER_S

MAX_SAVED_REQUESTS = 1.0  # requests that may be given at once: the rate holds in each second
# Queued requests are served at a fixed tick: a smaller burst would cap rates at one a tick.
SAVED_S = 0.02
NO_BOUND = math.inf


@dataclass(frozen=True, slots=True)
class ServerBounds:
    """What bounds the requests a second of a service's servers, counted over all nodes.

    ``cold_until_ms`` holds by server until when each is cold; ``cold_per_s`` is how many
    requests a second one sustains meanwhile, 0 where it is not bounded. ``limit_per_s``
    holds the limits that servers named; ``share`` is the part of these that this node gives.
    """

    cold_until_ms: Mapping[str, float] = field(default_factory=dict)
    cold_per_s: float = 0.0
    limit_per_s: Mapping[str, float] = field(default_factory=dict)
    share: float = 1.0

    def is_cold(self, server_id: str, now_ms: float) -> bool:
        """Whether a server is slow since it has just started, or come back."""
        return now_ms < self.cold_until_ms.get(server_id, -math.inf)

    def per_s(self, server_id: str, now_ms: float) -> float:
        """Return how many requests a second a server is given at most."""
        bound = NO_BOUND
        if self.cold_per_s > 0 and self.is_cold(server_id, now_ms):
            bound = self.cold_per_s
        limit = self.limit_per_s.get(server_id, NO_BOUND)
        if limit < NO_BOUND:
            bound = min(bound, max(limit, MIN_LIMIT_PER_S) * self.share)
        return bound


@dataclass(slots=True)
class RequestRate:
    """Tokens of one server: one a request, refilled at the rate that binds."""

    per_s: float
    filled_ms: float
    _tokens: float = MAX_SAVED_REQUESTS

    def set_rate(self, per_s: float, now_ms: float) -> None:
        """Take the rate that binds from now on; nothing is saved while none does."""
        if per_s == self.per_s:
            return
        if self.per_s < NO_BOUND:
            self._fill(now_ms)
        self.filled_ms = now_ms
        self.per_s = per_s

    def has_token(self, now_ms: float) -> bool:
        """Whether a request may be given now."""
        self._fill(now_ms)
        return self._tokens >= 1.0

    def take_token(self, now_ms: float) -> None:
        """A request is given now."""
        self._fill(now_ms)
        self._tokens -= 1.0

    def _fill(self, now_ms: float) -> None:
        earned = (now_ms - self.filled_ms) * self.per_s / 1000
        self._tokens = min(max(MAX_SAVED_REQUESTS, self.per_s * SAVED_S), self._tokens + earned)
        self.filled_ms = now_ms
