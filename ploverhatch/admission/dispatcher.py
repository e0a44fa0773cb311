"""The slots of one group of servers and the requests that wait for them, at its dispatcher.

A slot is granted as a lease, so that it becomes free by itself if its node died or the message
that releases it was lost. The *objective* of a request is its route's target answer time. Waiting
requests are ordered by whether they can still meet their objective, then by priority, then by
arrival; :mod:`ploverhatch.admission.objective_rule` tells who may wait, and
:mod:`ploverhatch.admission.return_schedule` when rejected callers may come back. Requests of nodes
that don't tell their objective are ordered by priority first, and wait for as long as a slot is of
use.

No guarantee to callers depends on this module. Two nodes may keep the queue of one group for a
while, and nodes without a reachable dispatcher decide by themselves: the server then queues the
requests in excess of its slots. This module does no I/O and reads no clock.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from ploverhatch.admission.expected_wait import ServerPace
from ploverhatch.admission.kind_shares import KindShares
from ploverhatch.admission.objective_rule import ObjectiveRule, ServersView
from ploverhatch.admission.request_rate import NO_BOUND, RequestRate, ServerBounds
from ploverhatch.admission.return_schedule import MIN_RETRY_AFTER_MS, Outlook, ReturnSchedule
from ploverhatch.admission.server_slots import (
    Lease,
    RequestEnd,
    ServerSlots,
    expected_ms,
    is_too_late,
)
from ploverhatch.admission.slot_requests import (
    NoKnownServer,
    Requester,
    SlotGranted,
    SlotQueued,
    SlotRejected,
    SlotRequest,
    SlotResult,
)
from ploverhatch.admission.wait_queue import Rank, WaitQueue
from ploverhatch.state.servers import ServerRecord

DEFAULT_SERVICE_MS = 150.0  # used until a server of the group has answered
QUEUE_PLACES_PER_SLOT = 32
CLEARLY_FASTER_FRACTION = 0.55  # a clearly faster server needs less than this part of the time


@dataclass(slots=True)
class Group:
    """State of one group at its dispatcher."""

    _servers: dict[str, ServerSlots] = field(default_factory=dict)
    _leases: dict[Requester, Lease] = field(default_factory=dict)
    _waiting: WaitQueue = field(default_factory=WaitQueue)
    # No slot is granted before this time, or before the slots granted by other dispatchers are
    # known; minus infinity if they are.
    _learning_until_ms: float = -math.inf
    # By server; shared with the node's other groups that have the same servers.
    rates: dict[str, RequestRate] = field(default_factory=dict)
    shares: KindShares = field(default_factory=KindShares)
    _rule: ObjectiveRule = field(default_factory=ObjectiveRule)
    _returns: ReturnSchedule = field(default_factory=ReturnSchedule)
    _last_view: ServersView | None = None

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

    @property
    def promises(self) -> int:
        """Number of rejected callers that were told when to come back and haven't yet."""
        return self._returns.promises

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
                server = ServerSlots(
                    record.server_id, record.slots, record.zone, rate, bounds, now_ms
                )
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
        return [*results, self._admit(request, self._view(now_ms))]

    def _admit(self, request: SlotRequest, servers: ServersView) -> SlotResult:
        """Grant a slot to a new request, queue it or reject it."""
        request = self._note_arrival(request, servers)
        ahead = self._waiting.ahead_of(request, lambda other: self._rank(other, servers))
        # A request with excluded servers does not block those behind it from its other servers.
        rivals = [other for other in ahead if not other.excluded]
        may_go_first = not request.objective_ms or self._rule.is_in_time(request, servers)
        may_use_slot = may_go_first or (not self._waiting and self._rule.has_room(request, servers))
        if not rivals and (may_use_slot or self._may_wait(request, len(ahead), servers)):
            server_id = self._choose_server(request, servers.now_ms)
            if server_id is not None:
                return self._grant(request, server_id, servers.now_ms)
        if not self._may_wait(request, len(ahead), servers):
            if not (may_go_first and self.shares.is_due(request.kind)):
                return self._rejected(request, len(ahead), servers)
            self.shares.note_grant(request.kind)
            request = replace(request, guaranteed=True)
        if len(self._waiting) >= self._capacity:
            return self._rejected(request, len(ahead), servers)
        self._waiting.add(request)
        return SlotQueued(request.requester)

    def _note_arrival(self, request: SlotRequest, servers: ServersView) -> SlotRequest:
        """Count a request; return it with what is known of its caller's earlier attempts."""
        if not request.objective_ms:
            return request
        request = self._returns.admit(request, servers.now_ms)
        if self._rule.is_in_time(request, servers):
            self._rule.arrivals.note(request.priority, servers.now_ms)
            self.shares.note_arrival(request.kind)
        return request

    def _may_wait(self, request: SlotRequest, ahead: int, servers: ServersView) -> bool:
        """Return whether a request may wait behind so many others."""
        if servers.now_ms < self._learning_until_ms:
            return True  # The wait is unknown until the slots of other dispatchers are.
        if servers.forecast.wait_ms(ahead) > request.expires_ms - servers.now_ms:
            return False
        if not request.objective_ms:
            return True
        if self._rule.is_in_time(request, servers) and self._rule.may_queue(
            request, ahead, servers
        ):
            return True
        return self._rule.may_be_late(request, ahead, servers)

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
        self._waiting.remove({requester})
        lease = self._leases.pop(requester, None)
        server = self._servers.get(lease.server_id) if lease else None
        if lease is not None and server is not None:
            started_ms = server.note_free(requester, now_ms)
            end = RequestEnd(service_ms, failed, unanswered, started_ms)
            relative = server.note_end(requester, lease, end, now_ms)
            if relative is not None:
                self._rule.service_times.add(relative)
                if not lease.queued:
                    self._rule.note_way(now_ms - lease.granted_ms - service_ms)
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
        self._waiting.remove({requester})
        if known is not None and known.server_id in self._servers:
            self._servers[known.server_id].note_free(requester, now_ms)
        queued = server.in_use >= server.slots
        self._leases[requester] = Lease(server_id, now_ms, now_ms + left_ms, queued)
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
        return self._waiting.clear()

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
        if self._waiting:
            results += self._reject(self._hopeless(now_ms), now_ms)
        return results

    def _hopeless(self, now_ms: float) -> list[SlotRequest]:
        """Return the waiting requests that would be late and for which there is no room."""
        servers = self._view(now_ms)
        late = [other for other in self._waiting if not self._rule.is_in_time(other, servers)]
        if not late or now_ms < self._learning_until_ms:
            return []
        in_time = len(self._waiting) - len(late)
        return [
            request
            for index, request in enumerate(late)
            if (
                not self._rule.may_be_late(request, in_time + index, servers)
                if request.objective_ms
                else in_time
            )
        ]

    def _grant_free_slots(self, now_ms: float) -> list[SlotResult]:
        """Grant free slots in order; a request whose free servers are excluded blocks no other."""
        results: list[SlotResult] = []
        if now_ms < self._learning_until_ms:
            return results
        if not self._waiting:
            return results
        servers = self._view(now_ms)
        self._waiting.sort(lambda request: self._rank(request, servers))
        for request in self._waiting:
            server_id = self._choose_server(request, now_ms)
            if server_id is not None:
                self._waiting.remove({request.requester})
                results.append(self._grant(request, server_id, now_ms))
            elif not request.excluded:
                break
        return results

    def _reject(self, requests: list[SlotRequest], now_ms: float) -> list[SlotResult]:
        if not requests:
            return []
        self._waiting.remove({request.requester for request in requests})
        servers = self._view(now_ms)
        return [self._rejected(request, len(self._waiting), servers) for request in requests]

    def _rejected(self, request: SlotRequest, ahead: int, servers: ServersView) -> SlotRejected:
        wait_ms = servers.forecast.wait_ms(ahead)
        if request.objective_ms:
            arrivals_per_ms = self._rule.arrivals.per_ms(servers.now_ms)
            outlook = Outlook(wait_ms, servers.forecast.per_ms(), arrivals_per_ms)
            after_ms = self._returns.retry_after_ms(request, outlook, servers.now_ms)
        else:
            after_ms = max(wait_ms, MIN_RETRY_AFTER_MS)
        return SlotRejected(request.requester, after_ms)

    def _rank(self, request: SlotRequest, servers: ServersView) -> Rank:
        late = not self._rule.is_in_time(request, servers)
        return Rank(
            late and bool(request.objective_ms),
            not request.guaranteed,
            request.priority,
            late,
            request.standing,
        )

    # ---- decisions ----------------------------------------------------------------------

    def _grant(self, request: SlotRequest, server_id: str, now_ms: float) -> SlotGranted:
        server = self._servers[server_id]
        if request.objective_ms and not request.guaranteed:
            self.shares.note_grant(request.kind)
        queued = server.in_use >= server.slots
        until_ms = now_ms + request.lease_ms
        self._leases[request.requester] = Lease(
            server_id, now_ms, until_ms, queued, bool(request.objective_ms)
        )
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
            and server.accepts_request(server.places, now_ms)
            and not is_too_late(server, request, mean_ms, now_ms)
        ]
        if request.objective_ms:
            free = self._worth_a_place(free, request, now_ms)
        sound = [
            item
            for item in free
            if not item[1].is_failing(request.requester.node, now_ms) and item[0] != request.avoid
        ]
        best = min(
            sound or free,
            key=lambda item: expected_ms(item[1], request, mean_ms, now_ms),
            default=None,
        )
        return best[0] if best else None

    def _worth_a_place(
        self, free: list[tuple[str, ServerSlots]], request: SlotRequest, now_ms: float
    ) -> list[tuple[str, ServerSlots]]:
        """Return the servers with a free slot, or with a place behind their slots that is of use.

        A place is of use where it hides a long way, and at a server that is clearly faster than all
        that have a free slot.
        """
        mean_ms = self._mean_service_ms
        places = self._rule.places_per_server(len(self._servers), mean_ms)
        times_ms = [expected_ms(server, request, mean_ms, now_ms) for _, server in free]
        idle_ms = [
            time_ms
            for time_ms, (_, server) in zip(times_ms, free, strict=True)
            if server.in_use < server.slots
        ]
        limit_ms = CLEARLY_FASTER_FRACTION * min(idle_ms, default=0.0)
        return [
            item
            for time_ms, item in zip(times_ms, free, strict=True)
            if item[1].in_use < item[1].slots + places or time_ms < limit_ms
        ]

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
        forecast = self._view(now_ms).forecast
        return [
            request
            for ahead, request in enumerate(self._waiting)
            if forecast.wait_ms(ahead) > request.expires_ms - now_ms
        ]

    def _view(self, now_ms: float) -> ServersView:
        """Return the state of the servers, computed once for all decisions on one event."""
        if self._last_view is None or self._last_view.now_ms != now_ms:
            self._last_view = ServersView(
                now_ms, self._mean_service_ms, lambda: self._paces(now_ms)
            )
        return self._last_view

    def _paces(self, now_ms: float) -> list[ServerPace]:
        mean_ms = self._mean_service_ms
        return [server.pace(mean_ms, now_ms) for server in self._servers.values()]
