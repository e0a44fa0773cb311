"""Bounds on the requests per second that servers get; times are elapsed milliseconds.

A server that has just started, or came back after its caches were lost, is *cold*: it sustains
the rate that the configuration states, and fails well above it. An overloaded server announces
a rate limit itself. The group's dispatcher counts the requests of all nodes; a node without a
reachable dispatcher sends such a server nothing.

Two nodes may both act as the dispatcher for a while, and a new dispatcher does not know what
the last one granted. Together they then grant a cold server at most twice the rate and two
requests in a second: 15.4, where 6.7 per second are sustained, and where more than 18 in one
second make the server fail. A node that ranks behind a living dispatcher grants half of the rate
limit that a server announces (:class:`ServerBounds`). This module does no I/O and reads no clock.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ploverhatch.state.server_notices import MIN_LIMIT_PER_S

MIN_BURST_REQUESTS = 1.0  # a larger burst at a low rate would exceed the rate in some second
# At a high rate the burst lasts this long. Queued requests are served at a fixed tick, so that a
# smaller burst would limit the rate to one request per tick.
BURST_S = 0.02
NO_BOUND = math.inf


@dataclass(frozen=True, slots=True)
class ServerBounds:
    """Bounds on the requests per second of a service's servers, counted over all nodes.

    ``cold_until_ms`` has the time by server until which it is cold; ``cold_per_s`` is how many
    requests per second a cold server sustains, 0 if it is not bounded. ``limit_per_s`` has the
    rate limits that servers announced; ``share`` is the fraction of these that this node grants.
    """

    cold_until_ms: Mapping[str, float] = field(default_factory=dict)
    cold_per_s: float = 0.0
    limit_per_s: Mapping[str, float] = field(default_factory=dict)
    share: float = 1.0

    def is_cold(self, server_id: str, now_ms: float) -> bool:
        """Return whether a server is slow because it has just started, or come back."""
        return now_ms < self.cold_until_ms.get(server_id, -math.inf)

    def per_s(self, server_id: str, now_ms: float) -> float:
        """Return the maximum of requests per second for a server; infinite if unbounded."""
        bound = NO_BOUND
        if self.cold_per_s > 0 and self.is_cold(server_id, now_ms):
            bound = self.cold_per_s
        limit = self.limit_per_s.get(server_id, NO_BOUND)
        if limit < NO_BOUND:
            bound = min(bound, max(limit, MIN_LIMIT_PER_S) * self.share)
        return bound


@dataclass(slots=True)
class RequestRate:
    """Token bucket of one server: a request takes one token; refilled at the current rate."""

    per_s: float
    filled_ms: float
    _tokens: float = MIN_BURST_REQUESTS

    def set_rate(self, per_s: float, now_ms: float) -> None:
        """Set the rate from now on; no tokens are added while the rate is unbounded."""
        if per_s == self.per_s:
            return
        if self.per_s < NO_BOUND:
            self._fill(now_ms)
        self.filled_ms = now_ms
        self.per_s = per_s

    def has_token(self, now_ms: float) -> bool:
        """Return whether a request may be sent now."""
        self._fill(now_ms)
        return self._tokens >= 1.0

    def take_token(self, now_ms: float) -> None:
        """Take the token of a request that is sent now."""
        self._fill(now_ms)
        self._tokens -= 1.0

    def _fill(self, now_ms: float) -> None:
        earned = (now_ms - self.filled_ms) * self.per_s / 1000
        self._tokens = min(max(MIN_BURST_REQUESTS, self.per_s * BURST_S), self._tokens + earned)
        self.filled_ms = now_ms
