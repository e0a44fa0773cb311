"""Settings of a gateway process, independent of the platform's form of them."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field

from ploverhatch.admission.kind_shares import DEFAULT_LEAST_SHARE
from ploverhatch.transport.http_connection import HostPort

RELAY_FRACTION = 0.65  # of the time within which a change must be in force
LEADER_CORES = 0.5  # processor time that leading some hundreds of machines takes, in cores
LEADER_LINK_MBPS = 50.0
CALLERS_FRACTION = 0.6  # of the file descriptors
BUFFER_FRACTION = 0.55  # of the memory, for messages that are read or held
MAX_LEAST_SHARE = 0.5  # more for each of two routes is more than there is
MAX_CONNECTED = 8  # connected servers told in a request for a slot


class SettingsError(ValueError):
    """The settings cannot be read or are invalid; the message names the place."""


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """How requests are admitted to servers that are asked for more than they can run.

    :param by_objective: whether a request is rejected at once if it can't be served in time and
        no room is left for late ones; otherwise requests wait in the order of their arrival.
    :param least_share: part of the requests of each route that is served whatever more urgent
        routes ask for.
    """

    by_objective: bool = True
    least_share: float = DEFAULT_LEAST_SHARE

    def __post_init__(self) -> None:
        if not 0.0 <= self.least_share <= MAX_LEAST_SHARE:
            raise SettingsError(f"least_share must be from 0 to {MAX_LEAST_SHARE:g}")


DEFAULT_ADMISSION = AdmissionSettings()


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Addresses, names and limits of one gateway. Addresses are numeric IP addresses."""

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
    # Time until an evacuated zone is sent nothing; 0: zones are never evacuated.
    evacuate_ms: float = 0.0
    zone_regions: Mapping[str, str] = field(default_factory=dict)  # the region of each zone
    max_descriptors: int = 4096
    cores: float = 1.0  # processor time that the machine provides, in cores
    link_mbps: float = 1000.0
    memory_mb: float = 256.0  # that the process may use
    admission: AdmissionSettings = DEFAULT_ADMISSION
    # Servers with an idle connection that a request for a slot tells, so that dispatchers prefer
    # them; 0: dispatchers choose servers without regard to connections.
    max_connected: int = MAX_CONNECTED
    # Whether the speeds of servers are learned, and keys are placed by them.
    learn_speeds: bool = True

    @property
    def max_caller_connections(self) -> int:
        """Largest number of callers' connections.

        The other descriptors are for connections to servers and for files.
        """
        return max(1, int(self.max_descriptors * CALLERS_FRACTION))

    @property
    def buffer_bytes(self) -> int:
        """Memory for messages that are read or held, in bytes."""
        return int(self.memory_mb * BUFFER_FRACTION) << 20

    @property
    def strength(self) -> float:
        """Share of the resources needed to lead that this machine has, 0 to 1."""
        return min(self.cores / LEADER_CORES, self.link_mbps / LEADER_LINK_MBPS, 1.0)

    @property
    def relay_limit_ms(self) -> float:
        """Longest age of the leader's view at which other nodes rely on it.

        It is a fraction of the shortest time within which a change must be in force, so that
        a node that asks the store itself after it is still in time.
        """
        return min(self.drain_ms, self.config_apply_ms) * RELAY_FRACTION


class SettingsSource(ABC):
    """Source of the settings."""

    @abstractmethod
    def read(self) -> GatewaySettings:
        """Read and validate the settings.

        :raises SettingsError: when they cannot be read or are invalid.
        """

    @abstractmethod
    def changed(self) -> bool:
        """Whether the settings have changed since they were last read."""
