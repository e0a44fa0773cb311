"""A caller's request while a node serves it."""

from dataclasses import dataclass, field
from zlib import crc32

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.messages import CallerRequest, RequestFacts
from ploverhatch.gateway.request_log import RequestTrace
from ploverhatch.quarantine.fingerprint import Fingerprint, fingerprint, short_digest
from ploverhatch.routing.gateway_attempts import AttemptHistory
from ploverhatch.routing.route_table import Route


@dataclass(slots=True)
class Call:
    """A request after it was matched to a route; times are elapsed milliseconds.

    :param offer_by_ms: when a request that no server can take is refused.
    :param move_by_ms: when a request whose key changes holders is refused.
    :param first_attempt_ms: when the caller made its first attempt, as far as can be known.
    """

    request: CallerRequest
    facts: RequestFacts
    route: Route
    service: str
    partitioned: bool
    deadline_ms: float
    offer_by_ms: float
    move_by_ms: float
    first_attempt_ms: float
    trace: RequestTrace
    token: int = 0  # The fencing token of the key's range at the last lookup.
    _short_digest: bytes = field(default=b"", init=False)
    _fingerprint: Fingerprint | None = field(default=None, init=False)

    @property
    def earlier_attempts(self) -> AttemptHistory:
        """The attempts of the node that sent the request on; none for a caller's own request."""
        sender = self.request.forwarded_by
        if sender is None:
            return AttemptHistory()
        return AttemptHistory(sender.arrivals, sender.may_have_run)

    @property
    def remaining_ms(self) -> float:
        """Milliseconds until the earlier of the caller's deadline and the route's timeout."""
        return self.deadline_ms - elapsed_ms()

    @property
    def in_time_ms(self) -> float:
        """Milliseconds left of the objective, which counts from the caller's first attempt."""
        return self.first_attempt_ms + self.route.objective_ms - elapsed_ms()

    @property
    def stated_left_ms(self) -> float:
        """Milliseconds left of the deadline that the caller stated; 0 if it stated none."""
        if self.facts.deadline_ms is None:
            return 0.0
        return self.request.received_ms + self.facts.deadline_ms - elapsed_ms()

    @property
    def content_digest(self) -> int:
        """A cheap digest of what is asked for and of the caller's address."""
        key = -1 if self.facts.shard_key is None else self.facts.shard_key
        return crc32(b"%b %d %b" % (self.short_digest, key, self.request.caller))

    @property
    def short_digest(self) -> bytes:
        """A cheap digest that few other requests share; computed on first use."""
        if not self._short_digest:
            self._short_digest = short_digest(self.request.target, self.request.body)
        return self._short_digest

    @property
    def fingerprint(self) -> Fingerprint:
        """The digests that identify the request and its caller; computed on first use."""
        if self._fingerprint is None:
            request, facts = self.request, self.facts
            key = b"" if facts.shard_key is None else b"%d" % facts.shard_key
            content = (request.method, facts.host, request.target, key, request.body)
            self._fingerprint = fingerprint(
                self.short_digest, content, (request.caller, facts.credentials)
            )
        return self._fingerprint
