"""Interfaces of the node that the administration API uses."""

from typing import Any, Protocol

from ploverhatch.policy.table import PolicyTable
from ploverhatch.state.configuration import ServerSpec
from ploverhatch.state.replicated import ReplicatedState
from ploverhatch.store.interface import PlatformStore
from ploverhatch.transport import wire


class View(Protocol):
    """A node's view of the cell."""

    @property
    def ready(self) -> bool:
        """Whether the node can route requests."""

    @property
    def policy(self) -> PolicyTable | None:
        """The policy in force, or ``None`` before the first configuration."""

    @property
    def servers(self) -> dict[str, ServerSpec]:
        """The configured servers by name."""

    @property
    def state(self) -> ReplicatedState:
        """The replicated state."""


class RouterQueues(Protocol):
    """The router of the node."""

    def queues(self) -> Any:
        """Return the queues by server."""


class RenderedMetrics(Protocol):
    """The metrics of the node."""

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""


class AdministeredNode(Protocol):
    """The node that the administration API serves."""

    @property
    def view(self) -> View:
        """The node's view of the cell."""

    @property
    def store(self) -> PlatformStore:
        """The platform's store."""

    @property
    def router(self) -> RouterQueues:
        """The router."""

    @property
    def metrics(self) -> RenderedMetrics:
        """The metrics."""

    @property
    def leaving(self) -> bool:
        """Whether the node is stopping."""

    def report(self) -> wire.ClusterReport:
        """Return the node's report on its cell."""

    def update_gauges(self) -> None:
        """Update the gauges before the metrics are rendered."""
