"""How a platform's objects become the product's model."""

from abc import ABC, abstractmethod

from ploverhatch.routing.route_table import RouteTable
from ploverhatch.state.servers import ServerRecord
from ploverhatch.store.objects import VersionedObject


class Translation(ABC):
    """Reads the objects that operators and servers write."""

    readiness_path: bytes

    @abstractmethod
    def configuration(self, item: VersionedObject) -> RouteTable | None:
        """Return the configuration, or ``None`` when the object is something else."""

    @abstractmethod
    def server(self, item: VersionedObject) -> ServerRecord | None:
        """Return a server's record, or ``None`` when it can't be read."""
