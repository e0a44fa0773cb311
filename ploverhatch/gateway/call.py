"""A caller's request on its way through a node."""

from dataclasses import dataclass

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.messages import CallerRequest, RequestFacts
from ploverhatch.gateway.request_log import RequestTrace
from ploverhatch.routing.route_table import Route


@dataclass(slots=True)
class Call:
    """A request after matching; times are elapsed milliseconds."""

    request: CallerRequest
    facts: RequestFacts
    route: Route
    service: str
    partitioned: bool
    deadline_ms: float
    offer_by_ms: float
    move_by_ms: float
    trace: RequestTrace
    token: int = 0  # of the key's range, when it was looked up

    @property
    def left_ms(self) -> float:
        """Time until the caller's deadline or the route's timeout."""
        return self.deadline_ms - elapsed_ms()
