"""Routes by host and path prefix, with their limits.

This module does no I/O and reads no clock.
"""

from dataclasses import dataclass, field
from functools import cached_property


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that receives a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route; times are in milliseconds. ``objective_ms`` is the target answer time."""

    name: str
    path_prefix: bytes
    shares: tuple[ServiceShare, ...]
    repeatable: bool
    timeout_ms: float
    objective_ms: float
    max_attempts: int
    priority: int
    regions: frozenset[str] = frozenset()  # regions whose servers may be used; empty: all


@dataclass(frozen=True, slots=True)
class Service:
    """Configuration of one service."""

    name: str
    partitioned: bool
    max_connections: int
    cold_ms: float = 0.0  # how long a server is cold after it started under traffic
    cold_per_s: float = 0.0  # requests per second that a cold server sustains; 0: no limit


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size of a client's requests and on the time it takes to send them."""

    header_bytes: int = 16_384
    body_bytes: int = 64 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True)
class RouteTable:
    """One version of the complete configuration."""

    version: int
    hosts: dict[bytes, tuple[Route, ...]]
    services: dict[str, Service]
    limits: ClientLimits = field(default_factory=ClientLimits)

    @cached_property
    def _longest_first(self) -> dict[bytes, tuple[Route, ...]]:
        return {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in self.hosts.items()
        }

    def match(self, host: bytes, path: bytes) -> Route | None:
        """Return the route with the longest prefix of ``path``, or ``None``."""
        for route in self._longest_first.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class ShareSplitter:
    """Divides a route's requests among its services in exact proportion.

    This is smooth weighted round robin: each request adds every service's weight
    to the credit of that service, and the service with the highest credit is
    chosen. Any run of consecutive requests is thus divided almost by the weights.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of ``route``."""
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        known = self._credits.get(route.name, {})
        credits = {
            share.service: known.get(share.service, 0.0) + share.weight for share in route.shares
        }
        chosen = max(credits, key=lambda service: credits[service])
        credits[chosen] -= total
        self._credits[route.name] = credits
        return chosen
