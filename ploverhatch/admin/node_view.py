"""What the administration API needs of the node it serves."""

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
        """Whether requests can be routed."""

    @property
    def policy(self) -> PolicyTable | None:
        """The policy in force."""

    @property
    def servers(self) -> dict[str, ServerSpec]:
        """Configured servers."""

    @property
    def state(self) -> ReplicatedState:
        """The replicated state."""


class RouterQueues(Protocol):
    """The router's part."""

    def queues(self) -> Any:
        """Return the queues by server."""


class RenderedMetrics(Protocol):
    """The node's figures."""

    def render(self) -> bytes:
        """Return all figures as text."""


class AdministeredNode(Protocol):
    """One node, as its administration API sees it."""

    @property
    def view(self) -> View:
        """The node's view."""

    @property
    def store(self) -> PlatformStore:
        """The platform's store."""

    @property
    def router(self) -> RouterQueues:
        """The router."""

    @property
    def metrics(self) -> RenderedMetrics:
        """The figures."""

    @property
    def leaving(self) -> bool:
        """Whether the node is stopping."""

    def report(self) -> wire.ClusterReport:
        """Return what the node knows of its cell."""

    def update_gauges(self) -> None:
        """Refresh gauges before they are read."""
