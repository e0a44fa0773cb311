"""Description of a whole deployment, for the demo, load and experiments.

It names zones, back ends by group and the policy file; the emulators and the
load tool are set up from it. Nodes themselves do not read it. The delays and
``connection_ms`` describe a site; the emulators do not impose them yet.
"""

from pydantic import Field

from ploverhatch.settings.model import Section


class UpstreamSection(Section):
    """Back ends of one kind, spread over the zones in turn."""

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
    path: str  # with {key}
    rate: float = Field(gt=0)
    keys: int = Field(ge=1)
    skew: float = Field(default=1.0, ge=0)
    once: bool = False


class Deployment(Section):
    """One deployment."""

    name: str
    zones: tuple[str, ...]
    nodes_per_zone: int = Field(default=2, ge=1)
    zone_delay_ms: float = Field(ge=0)
    client_delay_ms: float = Field(ge=0)
    policy_file: str
    upstream: tuple[UpstreamSection, ...]
    traffic: tuple[TrafficSection, ...] = ()
