"""The interface that converts a platform's stored objects to the gateway's model."""

from abc import ABC, abstractmethod

from ploverhatch.routing.route_table import RouteTable
from ploverhatch.state.servers import ServerRecord
from ploverhatch.store.objects import VersionedObject


class Translation(ABC):
    """Converts the objects that operators and servers write to the store."""

    readiness_path: bytes

    @abstractmethod
    def configuration(self, item: VersionedObject) -> RouteTable | None:
        """Return the configuration, or ``None`` when the object isn't a configuration."""

    @abstractmethod
    def server(self, item: VersionedObject) -> ServerRecord | None:
        """Return a server's record, or ``None`` when the object is malformed."""
