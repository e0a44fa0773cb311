"""Description of a whole deployment, for the demo, the load generator and experiments.

It names the zones, the back ends of each group and the policy file. The emulators and the load
generator are configured from it; nodes do not read it. The delays and ``connection_ms`` describe
a site; the emulators do not impose them.
"""

from pydantic import Field

from ploverhatch.settings.model import Section


class UpstreamSection(Section):
    """Back ends of one kind, assigned to the zones in turn."""

    name: str
    count: int = Field(ge=1, le=10_000)
    slots: int = Field(ge=1, le=10_000)
    connections: int = Field(ge=1, le=100_000)
    labels: dict[str, str] = {}
    service_ms: float = Field(default=2.0, ge=0)
    connection_ms: float = Field(default=1.0, ge=0)
    probe_ms: float = Field(default=0.0, ge=0)


class TrafficSection(Section):
    """Synthetic requests of one route."""

    method: str
    path: str  # contains "{key}"
    rate: float = Field(gt=0)
    keys: int = Field(ge=1)
    skew: float = Field(default=1.0, ge=0)
    once: bool = False


class Deployment(Section):
    """A whole deployment."""

    name: str
    zones: tuple[str, ...]
    nodes_per_zone: int = Field(default=2, ge=1)
    zone_delay_ms: float = Field(ge=0)
    client_delay_ms: float = Field(ge=0)
    policy_file: str
    upstream: tuple[UpstreamSection, ...]
    traffic: tuple[TrafficSection, ...] = ()
