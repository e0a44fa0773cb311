"""The slots of one group of servers and the requests that wait for them, at its dispatcher.

A slot is granted as a lease, so that it becomes free by itself if its node died or the message
that releases it was lost. The *objective* of a request is its route's target answer time. Waiting
requests are ordered by priority, then by whether they can still meet their objective, then by
arrival. No request waits longer than a slot is of use to it: it is rejected at once if no slot is
expected by then, and a request that will miss its objective is rejected while others wait that
can meet theirs.

No guarantee to callers depends on this module. Two nodes may keep the queue of one group for a
while, and nodes without a reachable dispatcher decide by themselves: the server then queues the
requests in excess of its slots. This module does no I/O and reads no clock.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ploverhatch.admission.expected_wait import ServerPace, WaitForecast
from ploverhatch.admission.request_rate import NO_BOUND, RequestRate, ServerBounds
from ploverhatch.admission.silence import Node, ServerSilence
from ploverhatch.state.servers import ServerRecord

# Requests granted in excess of a server's slots, as a fraction of these. They wait at the server,
# which hides the delay from the release of a slot to the arrival of the next request.
QUEUED_AT_SERVER_FRACTION = 0.5
DEFAULT_SERVICE_MS = 150.0  # used until a server of the group has answered
SERVICE_TIME_WEIGHT = 0.15  # of a new service time in the moving average
FAILING_MS = 1000.0  # how long a server that failed is avoided while others are free
# In multiples of the mean service time. A server whose slots are all in use, and that has answered
# nothing for this long, counts as unresponsive before the requests themselves time out. Service
# times vary: all of three requests take four times the mean in 4 of 10,000 draws (spread of
# 0.8, at a pace that is three times slower for a fifth of the time).
UNRESPONSIVE_FACTOR = 4.0
COLD_FACTOR = 2.0  # how much slower a server is that has just started
OTHER_ZONE_FACTOR = 1.6  # traffic between zones costs money, so a server there must be this faster
MIN_RETRY_AFTER_MS = 50.0
QUEUE_PLACES_PER_SLOT = 32


class Requester(NamedTuple):
    """Identifies a request by the address of its node and its number there."""

    node: Node
    number: int


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A node's request for a slot; times are elapsed milliseconds of the dispatcher."""

    requester: Requester
    priority: int
    useful_until_ms: float  # a slot granted later can't meet the objective
    expires_ms: float  # a slot granted later is of no use
    lease_ms: float
    avoid: str = ""  # the server that failed the request before
    zone: str = ""  # of the node that sent the request
    excluded: frozenset[str] = frozenset()  # servers that the node may not use
    deadline_ms: float = math.inf  # a later answer is of no use


@dataclass(frozen=True, slots=True)
class SlotGranted:
    """A slot of a server is granted."""

    requester: Requester
    server_id: str


@dataclass(frozen=True, slots=True)
class SlotQueued:
    """The request has a place in the queue."""

    requester: Requester


@dataclass(frozen=True, slots=True)
class SlotRejected:
    """No slot is expected in time; a retry may succeed after ``retry_after_ms``."""

    requester: Requester
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class NoKnownServer:
    """The dispatcher knows no server of the group: the requester's node decides by itself."""

    requester: Requester


SlotResult = SlotGranted | SlotQueued | SlotRejected | NoKnownServer


@dataclass(frozen=True, slots=True)
class _Lease:
    """A slot in use."""

    server_id: str
    granted_ms: float
    until_ms: float
    queued: bool  # all slots of the server were in use when this one was granted


@dataclass(frozen=True, slots=True)
class _RequestEnd:
    """What the end of a request shows of its server; see :meth:`Group.release`."""

    service_ms: float
    failed: bool
    unanswered: bool


@dataclass(slots=True)
class _Server:
    """A server of the group."""

    server_id: str
    slots: int
    zone: str
    rate: RequestRate
    bounds: ServerBounds
    last_answer_ms: float  # last answer, or the first request after an idle time
    service_ms: float = 0.0  # 0: unknown
    # When the requests there began to run, in the order of their grants; infinite while one waits
    # at the server.
    started_ms: dict[Requester, float] = field(default_factory=dict)
    silence: ServerSilence = field(default_factory=ServerSilence)

    @property
    def in_use(self) -> int:
        """Number of slots granted and not released."""
        return len(self.started_ms)

    @property
    def capacity(self) -> int:
        """Maximum of slots granted at the same time."""
        return self.slots + math.floor(self.slots * QUEUED_AT_SERVER_FRACTION)

    def per_s(self, now_ms: float) -> float:
        """Return the bound on its requests per second now."""
        return self.bounds.per_s(self.server_id, now_ms)

    def is_unresponsive(self, now_ms: float) -> bool:
        """Return whether it seems to answer no requests; it then gets one at a time as a probe."""
        if self.silence.is_silent(now_ms):
            return True
        silence_ms = now_ms - self.last_answer_ms
        if not self.service_ms or silence_ms <= UNRESPONSIVE_FACTOR * self.service_ms:
            return False
        # Requests of a node whose link is cut don't arrive, so they get no answer in any case.
        sent = sum(not self.silence.is_cut(held.node, now_ms) for held in self.started_ms)
        return sent >= self.slots

    def note_end(
        self, requester: Requester, lease: _Lease, end: _RequestEnd, now_ms: float
    ) -> None:
        """Record the end of a request; a broken connection isn't a silence of the server."""
        if end.failed or end.unanswered:
            self.silence.note_failure(requester.node, end.unanswered, lease.granted_ms, now_ms)
        elif end.service_ms > 0:
            self.silence.note_answer(requester.node, now_ms)
            if not lease.queued:
                before_ms = self.service_ms or end.service_ms
                self.service_ms = before_ms + SERVICE_TIME_WEIGHT * (end.service_ms - before_ms)
        else:
            return
        if not end.unanswered:
            self.last_answer_ms = now_ms

    def is_failing(self, node: Node, now_ms: float) -> bool:
        """Return whether a node should avoid it while others are free."""
        return now_ms - self.silence.failed_ms(node) < FAILING_MS

    def pace(self, mean_ms: float, now_ms: float) -> ServerPace:
        """Return what to expect of it, with a service time to assume while its own is unknown."""
        silence_ms = now_ms - self.last_answer_ms if self.is_unresponsive(now_ms) else 0.0
        per_ms = min(self.per_s(now_ms) / 1000, self.slots / (self.service_ms or mean_ms))
        return ServerPace(silence_ms, per_ms)

    def accepts_request(self, now_ms: float) -> bool:
        """Return whether a request may be sent to it now."""
        capacity = 1 if self.is_unresponsive(now_ms) else self.capacity
        if self.in_use >= capacity:
            return False
        self.rate.set_rate(self.per_s(now_ms), now_ms)
        return self.rate.per_s == NO_BOUND or self.rate.has_token(now_ms)

    def expected_end_ms(self, mean_ms: float, now_ms: float) -> float:
        """Return when a request that is sent now is expected to be answered, at the earliest.

        :param mean_ms: the service time to assume while its own is unknown.
        """
        service_ms = self.service_ms or mean_ms
        ahead = self.in_use - self.slots
        if ahead < 0:
            return now_ms + service_ms
        ends_ms = sorted(max(now_ms, at_ms + service_ms) for at_ms in self.started_ms.values())
        return ends_ms[ahead] + service_ms

    def note_in_use(self, requester: Requester, now_ms: float) -> None:
        """Count a slot in use; a probe of an unresponsive server doesn't end its silence."""
        if not self.in_use and not self.silence.is_silent(now_ms):
            self.last_answer_ms = now_ms
        self.started_ms[requester] = now_ms if self.in_use < self.slots else math.inf

    def note_free(self, requester: Requester, now_ms: float) -> None:
        """Count a slot as free; the next request that waits at the server begins to run."""
        del self.started_ms[requester]
        waiting = [other for other, at_ms in self.started_ms.items() if at_ms == math.inf]
        if waiting and self.in_use - len(waiting) < self.slots:
            self.started_ms[waiting[0]] = now_ms

    def note_grant(self, requester: Requester, now_ms: float) -> None:
        """Count a slot granted now."""
        self.note_in_use(requester, now_ms)
        self.rate.set_rate(self.per_s(now_ms), now_ms)
        if self.rate.per_s < NO_BOUND:
            self.rate.take_token(now_ms)


@dataclass(slots=True)
class Group:
    """State of one group at its dispatcher."""

    _servers: dict[str, _Server] = field(default_factory=dict)
    _leases: dict[Requester, _Lease] = field(default_factory=dict)
    # In the order in which slots are granted.
    _waiting: list[SlotRequest] = field(default_factory=list)
    # No slot is granted before this time, or before the slots granted by other dispatchers are
    # known; minus infinity if they are.
    _learning_until_ms: float = -math.inf
    # By server; shared with the node's other groups that have the same servers.
    rates: dict[str, RequestRate] = field(default_factory=dict)

    @property
    def in_use(self) -> int:
        """Number of slots granted and not released."""
        return len(self._leases)

    @property
    def has_servers(self) -> bool:
        """Whether any server may get requests."""
        return bool(self._servers)

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    def set_members(
        self, records: Sequence[ServerRecord], now_ms: float, bounds: ServerBounds | None = None
    ) -> None:
        """Replace the servers that may get requests; the state of any others is dropped."""
        bounds = bounds or ServerBounds()
        ids = {record.server_id for record in records}
        for server_id in [known for known in self._servers if known not in ids]:
            del self._servers[server_id]
        for record in records:
            if record.server_id not in self._servers:
                rate = self.rates.setdefault(record.server_id, RequestRate(NO_BOUND, now_ms))
                server = _Server(record.server_id, record.slots, record.zone, rate, bounds, now_ms)
                for requester, lease in self._leases.items():
                    if lease.server_id == record.server_id:
                        server.note_in_use(requester, now_ms)
                self._servers[record.server_id] = server
            server = self._servers[record.server_id]
            server.bounds = bounds

    # ---- events -------------------------------------------------------------------------

    def request_slot(self, request: SlotRequest, now_ms: float) -> list[SlotResult]:
        """Grant a slot, queue the request or reject it; return all results due now.

        The result of a request that was sent before is returned again.
        """
        results = self.expire(now_ms)
        if self._servers.keys() <= request.excluded:
            return [*results, NoKnownServer(request.requester)]
        lease = self._leases.get(request.requester)
        if lease is not None:
            return [*results, SlotGranted(request.requester, lease.server_id)]
        if any(other.requester == request.requester for other in self._waiting):
            return [*results, SlotQueued(request.requester)]
        ahead = sum(other.priority <= request.priority for other in self._waiting)
        # A request with excluded servers does not block those behind it from its other servers.
        rivals = [other for other in self._waiting[:ahead] if not other.excluded]
        server_id = None if rivals else self._choose_server(request, now_ms)
        if server_id is not None:
            return [*results, self._grant(request, server_id, now_ms)]
        wait_ms = self._expected_wait_ms(ahead, now_ms)
        if now_ms < self._learning_until_ms:
            wait_ms = 0.0  # unknown until the slots of other dispatchers are
        if wait_ms > request.expires_ms - now_ms or len(self._waiting) >= self._capacity:
            return [*results, SlotRejected(request.requester, max(wait_ms, MIN_RETRY_AFTER_MS))]
        self._waiting.insert(ahead, request)
        return [*results, SlotQueued(request.requester)]

    def release(
        self,
        requester: Requester,
        service_ms: float,
        failed: bool,
        now_ms: float,
        unanswered: bool = False,
    ) -> list[SlotResult]:
        """Release a request's slot, or its place in the queue; return the results due now.

        :param service_ms: how long the server worked; 0 if that says nothing of the server.
        :param failed: whether the server was unreachable or did not answer as it should.
        :param unanswered: whether the server gave no answer at all.
        """
        self._waiting = [request for request in self._waiting if request.requester != requester]
        lease = self._leases.pop(requester, None)
        server = self._servers.get(lease.server_id) if lease else None
        if lease is not None and server is not None:
            server.note_free(requester, now_ms)
            server.note_end(requester, lease, _RequestEnd(service_ms, failed, unanswered), now_ms)
        return self.expire(now_ms)

    @property
    def is_learning(self) -> bool:
        """Whether no slot is granted until the slots granted by other dispatchers are known."""
        return self._learning_until_ms > -math.inf

    def start_learning(self, until_ms: float) -> None:
        """Grant no slot until :meth:`finish_learning` is called or a time has passed."""
        self._learning_until_ms = until_ms

    def adopt(self, requester: Requester, server_id: str, left_ms: float, now_ms: float) -> None:
        """Count a slot granted by another dispatcher, with the time left of its lease.

        It replaces what this dispatcher granted to the request, or its place in the queue.
        """
        server = self._servers.get(server_id)
        known = self._leases.get(requester)
        if server is None or (known is not None and known.server_id == server_id):
            return
        self._waiting = [request for request in self._waiting if request.requester != requester]
        if known is not None and known.server_id in self._servers:
            self._servers[known.server_id].note_free(requester, now_ms)
        queued = server.in_use >= server.slots
        self._leases[requester] = _Lease(server_id, now_ms, now_ms + left_ms, queued)
        server.note_in_use(requester, now_ms)

    def finish_learning(self, now_ms: float) -> list[SlotResult]:
        """Grant free slots, and reject waiting requests that can't get one in time."""
        self._learning_until_ms = -math.inf
        results = self.expire(now_ms)
        return results + self._reject(self._unservable(now_ms), now_ms)

    def set_bounds(self, bounds: ServerBounds) -> None:
        """Replace the rate bounds of all servers."""
        for server in self._servers.values():
            server.bounds = bounds

    def grants_nothing(self, now_ms: float) -> bool:
        """Return whether the rate bounds allow no requests to any server."""
        return all(server.per_s(now_ms) <= 0 for server in self._servers.values())

    def clear_queue(self) -> list[Requester]:
        """Empty the queue, which another node keeps from now on; return the requesters."""
        requesters = [request.requester for request in self._waiting]
        self._waiting = []
        return requesters

    def expire(self, now_ms: float) -> list[SlotResult]:
        """End expired leases, grant free slots and reject requests that are too late."""
        if -math.inf < self._learning_until_ms <= now_ms:
            return self.finish_learning(now_ms)
        for requester in [
            known for known, lease in self._leases.items() if lease.until_ms <= now_ms
        ]:
            server = self._servers.get(self._leases.pop(requester).server_id)
            if server is not None:
                server.note_free(requester, now_ms)
        over = [request for request in self._waiting if request.expires_ms <= now_ms]
        if self._all_are_unresponsive(now_ms):
            over = self._unservable(now_ms)
        results = self._reject(over, now_ms)
        results += self._grant_free_slots(now_ms)
        if any(request.useful_until_ms > now_ms for request in self._waiting):
            late = [request for request in self._waiting if request.useful_until_ms <= now_ms]
            results += self._reject(late, now_ms)
        return results

    def _grant_free_slots(self, now_ms: float) -> list[SlotResult]:
        """Grant free slots in order; a request whose free servers are excluded blocks no other."""
        results: list[SlotResult] = []
        if now_ms < self._learning_until_ms:
            return results
        self._waiting.sort(
            key=lambda request: (request.priority, request.useful_until_ms <= now_ms)
        )
        for request in list(self._waiting):
            server_id = self._choose_server(request, now_ms)
            if server_id is not None:
                self._waiting.remove(request)
                results.append(self._grant(request, server_id, now_ms))
            elif not request.excluded:
                break
        return results

    def _reject(self, requests: list[SlotRequest], now_ms: float) -> list[SlotResult]:
        gone = {request.requester for request in requests}
        self._waiting = [request for request in self._waiting if request.requester not in gone]
        after_ms = max(self._expected_wait_ms(len(self._waiting), now_ms), MIN_RETRY_AFTER_MS)
        return [SlotRejected(request.requester, after_ms) for request in requests]

    # ---- decisions ----------------------------------------------------------------------

    def _grant(self, request: SlotRequest, server_id: str, now_ms: float) -> SlotGranted:
        server = self._servers[server_id]
        queued = server.in_use >= server.slots
        until_ms = now_ms + request.lease_ms
        self._leases[request.requester] = _Lease(server_id, now_ms, until_ms, queued)
        server.note_grant(request.requester, now_ms)
        return SlotGranted(request.requester, server_id)

    def _choose_server(self, request: SlotRequest, now_ms: float) -> str | None:
        """Return the server with a free slot that is expected to answer first; ``None`` if none."""
        if now_ms < self._learning_until_ms:
            return None
        mean_ms = self._mean_service_ms
        free = [
            (server_id, server)
            for server_id, server in self._servers.items()
            if server_id not in request.excluded
            and server.accepts_request(now_ms)
            and not _is_too_late(server, request, mean_ms, now_ms)
        ]
        sound = [
            item
            for item in free
            if not item[1].is_failing(request.requester.node, now_ms) and item[0] != request.avoid
        ]
        best = min(
            sound or free,
            key=lambda item: _expected_ms(item[1], request.zone, mean_ms, now_ms),
            default=None,
        )
        return best[0] if best else None

    @property
    def _mean_service_ms(self) -> float:
        known = [server.service_ms for server in self._servers.values() if server.service_ms]
        return sum(known) / len(known) if known else DEFAULT_SERVICE_MS

    @property
    def _capacity(self) -> int:
        return QUEUE_PLACES_PER_SLOT * sum(server.slots for server in self._servers.values())

    def _all_are_unresponsive(self, now_ms: float) -> bool:
        """Return whether all servers are unresponsive and none gets another request."""
        return all(
            server.is_unresponsive(now_ms) and server.in_use for server in self._servers.values()
        )

    def _unservable(self, now_ms: float) -> list[SlotRequest]:
        """Return the waiting requests that can't expect a slot in time."""
        forecast = self._forecast(now_ms)
        return [
            request
            for ahead, request in enumerate(self._waiting)
            if forecast.wait_ms(ahead) > request.expires_ms - now_ms
        ]

    def _expected_wait_ms(self, ahead: int, now_ms: float) -> float:
        """Return the expected wait of a request that has so many ahead of it in the queue."""
        return self._forecast(now_ms).wait_ms(ahead)

    def _forecast(self, now_ms: float) -> WaitForecast:
        mean_ms = self._mean_service_ms
        return WaitForecast.of(server.pace(mean_ms, now_ms) for server in self._servers.values())


def _is_too_late(server: _Server, request: SlotRequest, mean_ms: float, now_ms: float) -> bool:
    """Return whether a request that would wait at a full server misses its deadline there.

    It then waits for a slot that is free instead, and is rejected if it gets none in time. A
    server doesn't notice that a request that waits there has ended, and runs it for nobody.
    """
    full = server.in_use >= server.slots
    return full and server.expected_end_ms(mean_ms, now_ms) > request.deadline_ms


def _expected_ms(server: _Server, zone: str, mean_ms: float, now_ms: float) -> float:
    """Return the expected time of a request there, weighted in favor of its own zone."""
    service_ms = server.service_ms or mean_ms
    cold = COLD_FACTOR if server.bounds.is_cold(server.server_id, now_ms) else 1.0
    far = OTHER_ZONE_FACTOR if server.zone != zone else 1.0
    return service_ms * cold * far * max(1.0, (server.in_use + 1) / server.slots)
