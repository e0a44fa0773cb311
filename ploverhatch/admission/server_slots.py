"""The slots of one server at its group's dispatcher, and what to expect of the server.

Times are elapsed milliseconds. This module does no I/O and reads no clock.
"""

import math
from dataclasses import dataclass, field

from ploverhatch.admission.expected_wait import ServerPace
from ploverhatch.admission.request_rate import NO_BOUND, RequestRate, ServerBounds
from ploverhatch.admission.silence import Node, ServerSilence
from ploverhatch.admission.slot_requests import Requester, SlotRequest

# Requests granted in excess of a server's slots, as a fraction of these. They wait at the server,
# which hides the delay from the release of a slot to the arrival of the next request.
QUEUED_AT_SERVER_FRACTION = 0.5
SERVICE_TIME_WEIGHT = 0.15  # of a new service time in the moving average
FAILING_MS = 1000.0  # how long a server that failed is avoided while others are free
# In multiples of the mean service time. A server whose slots are all in use, and that has answered
# nothing for this long, counts as unresponsive before the requests themselves time out. Service
# times vary: all of three requests take four times the mean in 4 of 10,000 draws (spread of
# 0.8, at a pace that is three times slower for a fifth of the time).
UNRESPONSIVE_FACTOR = 4.0
COLD_FACTOR = 2.0  # how much slower a server is that has just started
# The expected time at a server to which the requesting node has an idle connection counts less by
# this factor, since a new connection costs a round trip and occupies a slot. The estimates of
# equally fast servers differ by as much.
CONNECTED_FACTOR = 0.8
OTHER_ZONE_FACTOR = 1.6  # traffic between zones costs money, so a server there must be this faster


@dataclass(frozen=True, slots=True)
class Lease:
    """A slot in use."""

    server_id: str
    granted_ms: float
    until_ms: float
    queued: bool  # all slots of the server were in use when this one was granted
    by_objective: bool = False  # whether the request told its objective


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """What the end of a request shows of its server; see :meth:`.Group.release`."""

    service_ms: float
    failed: bool
    unanswered: bool
    started_ms: float  # when it began to run; infinite if it was still waiting at the server


@dataclass(slots=True)
class ServerSlots:
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
    def places(self) -> int:
        """Number of requests that may wait at the server if nobody measures the way there."""
        return math.floor(self.slots * QUEUED_AT_SERVER_FRACTION)

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
        self, requester: Requester, lease: Lease, end: RequestEnd, now_ms: float
    ) -> float | None:
        """Record the end of a request; a broken connection isn't a silence of the server.

        :returns: the service time relative to the mean before; ``None`` if it isn't known.
        """
        relative = None
        if end.failed or end.unanswered:
            self.silence.note_failure(requester.node, end.unanswered, lease.granted_ms, now_ms)
        elif end.service_ms > 0:
            self.silence.note_answer(requester.node, now_ms)
            # One that waited at the server began to run with the end of another.
            service_ms = end.service_ms
            if lease.queued:
                service_ms = now_ms - end.started_ms if lease.by_objective else 0.0
            if service_ms > 0:
                before_ms = self.service_ms or service_ms
                # The first answer shows nothing of the distribution around a mean.
                relative = service_ms / before_ms if self.service_ms else None
                self.service_ms = before_ms + SERVICE_TIME_WEIGHT * (service_ms - before_ms)
        else:
            return None
        if not end.unanswered:
            self.last_answer_ms = now_ms
        return relative

    def is_failing(self, node: Node, now_ms: float) -> bool:
        """Return whether a node should avoid it while others are free."""
        return now_ms - self.silence.failed_ms(node) < FAILING_MS

    def pace(self, mean_ms: float, now_ms: float) -> ServerPace:
        """Return what to expect of it, with a service time to assume while its own is unknown."""
        silence_ms = now_ms - self.last_answer_ms if self.is_unresponsive(now_ms) else 0.0
        per_ms = min(self.per_s(now_ms) / 1000, self.slots / (self.service_ms or mean_ms))
        return ServerPace(silence_ms, per_ms)

    def accepts_request(self, places: int, now_ms: float) -> bool:
        """Return whether a request may be sent to it now.

        :param places: number of requests that may wait at the server.
        """
        capacity = 1 if self.is_unresponsive(now_ms) else self.slots + places
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

    def note_free(self, requester: Requester, now_ms: float) -> float:
        """Count a slot as free; the next request that waits at the server begins to run.

        :returns: when the request that used the slot began to run.
        """
        started_ms = self.started_ms.pop(requester)
        waiting = [other for other, at_ms in self.started_ms.items() if at_ms == math.inf]
        if waiting and self.in_use - len(waiting) < self.slots:
            self.started_ms[waiting[0]] = now_ms
        return started_ms

    def note_grant(self, requester: Requester, now_ms: float) -> None:
        """Count a slot granted now."""
        self.note_in_use(requester, now_ms)
        self.rate.set_rate(self.per_s(now_ms), now_ms)
        if self.rate.per_s < NO_BOUND:
            self.rate.take_token(now_ms)


def is_too_late(server: ServerSlots, request: SlotRequest, mean_ms: float, now_ms: float) -> bool:
    """Return whether a request that would wait at a full server misses its deadline there.

    It then waits for a slot that is free instead, and is rejected if it gets none in time. A
    server doesn't notice that a request that waits there has ended, and runs it for nobody.
    """
    full = server.in_use >= server.slots
    return full and server.expected_end_ms(mean_ms, now_ms) > request.deadline_ms


def expected_ms(server: ServerSlots, request: SlotRequest, mean_ms: float, now_ms: float) -> float:
    """Return the expected time of a request there, weighted in favor of its node.

    Servers in the node's zone are preferred, and free ones to which it has an idle connection.
    """
    service_ms = server.service_ms or mean_ms
    cold = COLD_FACTOR if server.bounds.is_cold(server.server_id, now_ms) else 1.0
    far = OTHER_ZONE_FACTOR if server.zone != request.zone else 1.0
    free = server.in_use < server.slots
    near = CONNECTED_FACTOR if free and server.server_id in request.connected else 1.0
    return service_ms * cold * far * near * max(1.0, (server.in_use + 1) / server.slots)
