"""Settings of a gateway process, in the product's own terms."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field

from ploverhatch.transport.http_connection import HostPort

RELAY_PART = 0.65  # of the time within which a change must be in force
LEADER_CORES = 0.5  # what leading some hundreds of machines takes
LEADER_LINK_MBPS = 50.0
CALLERS_PART = 0.6  # of the descriptors


class SettingsError(ValueError):
    """The settings cannot be read, or are wrong; the text says where."""


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Where a gateway runs, whom it serves and which bounds it keeps.

    Times end in their unit; addresses are IP numbers.
    """

    node: str
    zone: str
    ip: str
    callers: HostPort
    readiness: HostPort
    peer_port: int  # for messages between nodes, UDP
    store: HostPort
    drain_ms: float = 2000.0
    grace_s: float = 6.0
    config_apply_ms: float = 2000.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    lease_max_ms: float = 10_000.0
    evacuate_ms: float = 0.0  # until an evacuated zone gets nothing; 0: none is ever evacuated
    zone_regions: Mapping[str, str] = field(default_factory=dict)  # the region of each zone
    max_descriptors: int = 4096
    cores: float = 1.0  # share of a core that the machine gives
    link_mbps: float = 1000.0

    @property
    def max_caller_connections(self) -> int:
        """How many callers may be connected; the other descriptors are for servers and files."""
        return max(1, int(self.max_descriptors * CALLERS_PART))

    @property
    def strength(self) -> float:
        """How much of what leading takes this machine has: 0 to 1."""
        return min(self.cores / LEADER_CORES, self.link_mbps / LEADER_LINK_MBPS, 1.0)

    @property
    def relay_limit_ms(self) -> float:
        """How old the leader's view may be while others rely on it.

        A part of the shortest time within which a change must be in force, so
        that a node that then asks the store itself is still in time.
        """
        return min(self.drain_ms, self.config_apply_ms) * RELAY_PART


class SettingsSource(ABC):
    """Where settings come from."""

    @abstractmethod
    def read(self) -> GatewaySettings:
        """Read and check the settings.

        :raises SettingsError: when they are wrong.
        """

    @abstractmethod
    def changed(self) -> bool:
        """Whether they have changed since they were read."""
