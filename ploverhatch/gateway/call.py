"""A caller's request on its way through a node."""

from dataclasses import dataclass, field

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.messages import CallerRequest, RequestFacts
from ploverhatch.gateway.request_log import RequestTrace
from ploverhatch.quarantine.fingerprint import Fingerprint, fingerprint, hint
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
    _short_digest: bytes = field(default=b"", init=False)
    _fingerprint: Fingerprint | None = field(default=None, init=False)

    @property
    def remaining_ms(self) -> float:
        """Time until the caller's deadline or the route's timeout."""
        return self.deadline_ms - elapsed_ms()

    @property
    def short_digest(self) -> bytes:
        """What few other requests share; cheap, and made when it is first asked for."""
        if not self._short_digest:
            self._short_digest = hint(self.request.target, self.request.body)
        return self._short_digest

    @property
    def fingerprint(self) -> Fingerprint:
        """What tells the same request apart; made when it is first asked for."""
        if self._fingerprint is None:
            request, facts = self.request, self.facts
            key = b"" if facts.shard_key is None else b"%d" % facts.shard_key
            content = (request.method, facts.host, request.target, key, request.body)
            self._fingerprint = fingerprint(
                self.short_digest, content, (request.caller, facts.credentials)
            )
        return self._fingerprint
