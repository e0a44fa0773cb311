"""Routes by host and path prefix, and what they allow. Pure."""

from dataclasses import dataclass, field
from functools import cached_property


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route; times in milliseconds."""

    name: str
    path_prefix: bytes
    shares: tuple[ServiceShare, ...]
    repeatable: bool
    timeout_ms: float
    objective_ms: float
    max_attempts: int
    priority: int
    regions: frozenset[str] = frozenset()  # whose servers may be sent requests; empty: all


@dataclass(frozen=True, slots=True)
class Service:
    """What the configuration says of one service."""

    name: str
    partitioned: bool
    max_connections: int
    cold_ms: float = 0.0  # how long a server is cold after a start during traffic
    cold_per_s: float = 0.0  # requests a second that a cold server sustains; 0: no bound


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send, and how long it may take (milliseconds)."""

    header_bytes: int = 16_384
    body_bytes: int = 64 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True)
class RouteTable:
    """One complete configuration."""

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

    Smooth weighted round robin: each service gains its weight per request and
    the one with most is chosen, so that every span of requests is divided
    closely.
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
