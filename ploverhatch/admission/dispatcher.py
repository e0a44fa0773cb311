"""One group's slots and the requests that wait for them. Pure.

A slot is given for a stated time, so that one whose node died, or whose return
was lost, comes free by itself. Requests wait in order of priority, then those
first that can still be answered within their objective, then in order of arrival.
None waits beyond the time for which a slot is of use to it: one that cannot be
expected to get a slot by then is told so at once, and one that will be late is
told while others wait that can be in time.

Nothing here is needed for a promise to callers. Two nodes may keep the queue of
one group for a while, and nodes that hear of no dispatcher decide by themselves:
the server then queues what is beyond its slots.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ploverhatch.admission.request_rate import NO_BOUND, RequestRate, ServerBounds
from ploverhatch.state.servers import ServerRecord

QUEUED_AT_SERVER_FRACTION = (
    0.5  # of the slots: hides the way of a returned slot to the next request
)
DEFAULT_SERVICE_MS = 150.0  # of a server that has answered nothing yet
SERVICE_TIME_WEIGHT = 0.15  # of a new answer time
FAILING_MS = 1000.0  # a server that failed is given to nobody for so long, while others are there
UNRESPONSIVE_AFTER_REQUESTS = (
    2  # requests in a row that got no answer: the server gets one at a time
)
# Times a server's work: so long without one answer while all its slots are in use, it is
# taken to be silent before the requests themselves run out of time. Work varies: all of
# three requests take four times the mean in 4 of 10,000 draws (work of a spread of 0.8, at
# a pace that is three times slower for a fifth of the time).
UNRESPONSIVE_FACTOR = 4.0
COLD_FACTOR = 2.0  # a server that has just started works about so much slower
OTHER_ZONE_FACTOR = 1.6  # bytes between zones cost money: a server there has to be faster by it
MIN_RETRY_AFTER_MS = 50.0  # what a request that is turned away is told at least
QUEUE_PLACES_PER_SLOT = 32  # places in the queue


class Requester(NamedTuple):
    """A request: the address of its node and its number there."""

    node: tuple[str, int]
    number: int


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """What a request asks for; times are elapsed milliseconds of this node."""

    requester: Requester
    priority: int
    useful_until_ms: float  # a slot that is given by then lets the answer be in time
    expires_ms: float  # a slot is of no use later
    lease_ms: float
    avoid: str = ""
    zone: str = ""  # of the node that asks
    excluded: frozenset[str] = frozenset()  # servers that the node may not use


@dataclass(frozen=True, slots=True)
class SlotGranted:
    """A slot of a server."""

    requester: Requester
    server_id: str


@dataclass(frozen=True, slots=True)
class SlotQueued:
    """A place in the queue."""

    requester: Requester


@dataclass(frozen=True, slots=True)
class SlotRejected:
    """No slot can be expected in time, but perhaps after a while."""

    requester: Requester
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class NoKnownServer:
    """This node knows no server of the group: the request's node decides by itself."""

    requester: Requester


SlotResult = SlotGranted | SlotQueued | SlotRejected | NoKnownServer


@dataclass(slots=True)
class _Server:
    """A member of the group."""

    server_id: str
    slots: int
    zone: str
    rate: RequestRate
    bounds: ServerBounds
    service_ms: float = 0.0  # 0: unknown
    failing_until_ms: float = 0.0
    in_use: int = 0
    unanswered: int = 0  # requests in a row that got no answer
    last_answer_ms: float = -math.inf  # last answer, or the first request after an idle time

    @property
    def capacity(self) -> int:
        """Most slots given at once."""
        return self.slots + math.floor(self.slots * QUEUED_AT_SERVER_FRACTION)

    def per_s(self, now_ms: float) -> float:
        """Return how many requests a second it may be given now."""
        return self.bounds.per_s(self.server_id, now_ms)

    def note_end(self, unanswered: bool, said_something: bool, now_ms: float) -> None:
        """A request ended there; one that tells nothing of the server changes nothing."""
        if unanswered:
            self.unanswered += 1
        elif said_something:
            self.unanswered = 0
            self.last_answer_ms = now_ms

    def is_unresponsive(self, now_ms: float) -> bool:
        """Whether it seems to answer nobody: one request at a time then shows if it does."""
        if self.unanswered >= UNRESPONSIVE_AFTER_REQUESTS:
            return True
        full = self.service_ms > 0 and self.in_use >= self.slots
        return full and now_ms - self.last_answer_ms > UNRESPONSIVE_FACTOR * self.service_ms

    def accepts_request(self, now_ms: float) -> bool:
        """Whether a request may be given to it now."""
        room = 1 if self.is_unresponsive(now_ms) else self.capacity
        if self.in_use >= room:
            return False
        self.rate.set_rate(self.per_s(now_ms), now_ms)
        return self.rate.per_s == NO_BOUND or self.rate.has_token(now_ms)

    def note_grant(self, now_ms: float) -> None:
        """A request is given to it."""
        if not self.in_use:
            self.last_answer_ms = now_ms
        self.in_use += 1
        self.rate.set_rate(self.per_s(now_ms), now_ms)
        if self.rate.per_s < NO_BOUND:
            self.rate.take_token(now_ms)


@dataclass(frozen=True, slots=True)
class _Lease:
    """A slot in use; ``queued``: all slots of the server were in use when it was given."""

    server_id: str
    until_ms: float
    queued: bool


@dataclass(slots=True)
class Group:
    """State of one group at its dispatcher."""

    _servers: dict[str, _Server] = field(default_factory=dict)
    _leases: dict[Requester, _Lease] = field(default_factory=dict)
    _waiting: list[SlotRequest] = field(
        default_factory=list
    )  # in the order in which slots are given
    # Until when the slots that other dispatchers gave are asked for; none is given before.
    _learning_until_ms: float = -math.inf
    # By server; shared with other groups that this node keeps of the same servers.
    rates: dict[str, RequestRate] = field(default_factory=dict)

    @property
    def in_use(self) -> int:
        """Slots that are given."""
        return len(self._leases)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    def set_members(
        self, records: Sequence[ServerRecord], now_ms: float, bounds: ServerBounds | None = None
    ) -> None:
        """Take the servers that may get requests; what is known of others is kept for none."""
        bounds = bounds or ServerBounds()
        ids = {record.server_id for record in records}
        for server_id in [known for known in self._servers if known not in ids]:
            del self._servers[server_id]
        for record in records:
            if record.server_id not in self._servers:
                rate = self.rates.setdefault(record.server_id, RequestRate(NO_BOUND, now_ms))
                server = _Server(record.server_id, record.slots, record.zone, rate, bounds)
                server.in_use = sum(
                    lease.server_id == record.server_id for lease in self._leases.values()
                )
                self._servers[record.server_id] = server
            server = self._servers[record.server_id]
            server.bounds = bounds

    # ---- events -------------------------------------------------------------------------

    def request_slot(self, wish: SlotRequest, now_ms: float) -> list[SlotResult]:
        """A request asks for a slot; an answer that was lost is repeated."""
        answers = self.expire(now_ms)
        if self._servers.keys() <= wish.excluded:
            return [*answers, NoKnownServer(wish.requester)]
        held = self._leases.get(wish.requester)
        if held is not None:
            return [*answers, SlotGranted(wish.requester, held.server_id)]
        if any(other.requester == wish.requester for other in self._waiting):
            return [*answers, SlotQueued(wish.requester)]
        ahead = sum(other.priority <= wish.priority for other in self._waiting)
        # One that waits for servers that it may not use yet keeps nobody from the others.
        rivals = [other for other in self._waiting[:ahead] if not other.excluded]
        server_id = None if rivals else self._choose_server(wish, now_ms)
        if server_id is not None:
            return [*answers, self._grant(wish, server_id, now_ms)]
        wait_ms = self._expected_wait_ms(ahead, now_ms)
        if now_ms < self._learning_until_ms:
            wait_ms = 0.0  # how many slots are in use is told before
        if wait_ms > wish.expires_ms - now_ms or len(self._waiting) >= self._capacity:
            return [*answers, SlotRejected(wish.requester, max(wait_ms, MIN_RETRY_AFTER_MS))]
        self._waiting.insert(ahead, wish)
        return [*answers, SlotQueued(wish.requester)]

    def release(
        self,
        asker: Requester,
        took_ms: float,
        failed: bool,
        now_ms: float,
        unanswered: bool = False,
    ) -> list[SlotResult]:
        """A request needs its slot, or its place in the queue, no more.

        :param unanswered: whether the server gave no answer at all.
        """
        self._waiting = [wish for wish in self._waiting if wish.requester != asker]
        lease = self._leases.pop(asker, None)
        server = self._servers.get(lease.server_id) if lease else None
        if server is not None:
            server.in_use -= 1
            server.note_end(unanswered, took_ms > 0 or failed, now_ms)
            if failed:
                server.failing_until_ms = now_ms + FAILING_MS
            elif took_ms > 0 and lease is not None and not lease.queued:
                before_ms = server.service_ms or took_ms
                server.service_ms = before_ms + SERVICE_TIME_WEIGHT * (took_ms - before_ms)
        return self.expire(now_ms)

    @property
    def is_learning(self) -> bool:
        """Whether nothing is given until other dispatchers' slots are known."""
        return self._learning_until_ms > -math.inf

    def start_learning(self, until_ms: float) -> None:
        """Give nothing until the slots are known that other dispatchers gave, or a time."""
        self._learning_until_ms = until_ms

    def adopt(self, asker: Requester, server_id: str, left_ms: float, now_ms: float) -> None:
        """Count a slot that another dispatcher gave."""
        server = self._servers.get(server_id)
        if server is None or asker in self._leases:
            return
        queued = server.in_use >= server.slots
        self._leases[asker] = _Lease(server_id, now_ms + left_ms, queued)
        server.in_use += 1

    def finish_learning(self, now_ms: float) -> list[SlotResult]:
        """Give what is free, and turn away those who waited and can't be in time."""
        self._learning_until_ms = -math.inf
        answers = self.expire(now_ms)
        hopeless = [
            wish
            for ahead, wish in enumerate(self._waiting)
            if self._expected_wait_ms(ahead, now_ms) > wish.expires_ms - now_ms
        ]
        return answers + self._reject(hopeless, now_ms)

    def set_bounds(self, bounds: ServerBounds) -> None:
        """Take what bounds the servers from now on."""
        for server in self._servers.values():
            server.bounds = bounds

    def grants_nothing(self, now_ms: float) -> bool:
        """Whether no server may be given a request, however long one waits here."""
        return all(server.per_s(now_ms) <= 0 for server in self._servers.values())

    def clear_queue(self) -> list[Requester]:
        """Empty the queue, since another node keeps it from now on; return who waited."""
        askers = [wish.requester for wish in self._waiting]
        self._waiting = []
        return askers

    def expire(self, now_ms: float) -> list[SlotResult]:
        """Take back slots whose time is over, and give what is free to those who wait."""
        if -math.inf < self._learning_until_ms <= now_ms:
            return self.finish_learning(now_ms)
        for asker in [asker for asker, held in self._leases.items() if held.until_ms <= now_ms]:
            server = self._servers.get(self._leases.pop(asker).server_id)
            if server is not None:
                server.in_use -= 1
        hopeless = self._all_are_unresponsive(now_ms)
        over = [wish for wish in self._waiting if hopeless or wish.expires_ms <= now_ms]
        answers = self._reject(over, now_ms)
        answers += self._grant_free_slots(now_ms)
        if any(wish.useful_until_ms > now_ms for wish in self._waiting):
            late = [wish for wish in self._waiting if wish.useful_until_ms <= now_ms]
            answers += self._reject(late, now_ms)
        return answers

    def _grant_free_slots(self, now_ms: float) -> list[SlotResult]:
        """Give free slots in order; one that may not use what is free holds nobody up."""
        answers: list[SlotResult] = []
        if now_ms < self._learning_until_ms:
            return answers
        self._waiting.sort(key=lambda wish: (wish.priority, wish.useful_until_ms <= now_ms))
        for wish in list(self._waiting):
            server_id = self._choose_server(wish, now_ms)
            if server_id is not None:
                self._waiting.remove(wish)
                answers.append(self._grant(wish, server_id, now_ms))
            elif not wish.excluded:
                break
        return answers

    def _reject(self, wishes: list[SlotRequest], now_ms: float) -> list[SlotResult]:
        gone = {wish.requester for wish in wishes}
        self._waiting = [wish for wish in self._waiting if wish.requester not in gone]
        after_ms = max(self._expected_wait_ms(len(self._waiting), now_ms), MIN_RETRY_AFTER_MS)
        return [SlotRejected(wish.requester, after_ms) for wish in wishes]

    # ---- decisions ----------------------------------------------------------------------

    def _grant(self, wish: SlotRequest, server_id: str, now_ms: float) -> SlotGranted:
        server = self._servers[server_id]
        queued = server.in_use >= server.slots
        self._leases[wish.requester] = _Lease(server_id, now_ms + wish.lease_ms, queued)
        server.note_grant(now_ms)
        return SlotGranted(wish.requester, server_id)

    def _choose_server(self, wish: SlotRequest, now_ms: float) -> str | None:
        """Return the server that will answer first, of those with room."""
        if now_ms < self._learning_until_ms:
            return None
        usual_ms = self._mean_service_ms
        free = [
            (server_id, server)
            for server_id, server in self._servers.items()
            if server_id not in wish.excluded and server.accepts_request(now_ms)
        ]
        sound = [
            item for item in free if item[1].failing_until_ms <= now_ms and item[0] != wish.avoid
        ]
        best = min(
            sound or free,
            key=lambda item: _expected_ms(item[1], wish.zone, usual_ms, now_ms),
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
        """Whether all servers are silent: those who wait are told so rather than kept."""
        return all(
            server.is_unresponsive(now_ms) and server.in_use for server in self._servers.values()
        )

    def _expected_wait_ms(self, ahead: int, now_ms: float) -> float:
        """Return how long a request waits that has so many before it."""
        usual_ms = self._mean_service_ms
        per_ms = sum(_per_ms(server, usual_ms, now_ms) for server in self._servers.values())
        return (ahead + 1) / per_ms if per_ms else math.inf


def _per_ms(server: _Server, usual_ms: float, now_ms: float) -> float:
    """Return how many requests a server runs in a millisecond."""
    if server.is_unresponsive(now_ms):
        return 0.0
    return min(server.per_s(now_ms) / 1000, server.slots / (server.service_ms or usual_ms))


def _expected_ms(server: _Server, zone: str, usual_ms: float, now_ms: float) -> float:
    """Return how long a request would take there, with a preference for its own zone."""
    work_ms = server.service_ms or usual_ms
    cold = COLD_FACTOR if server.bounds.is_cold(server.server_id, now_ms) else 1.0
    far = OTHER_ZONE_FACTOR if server.zone != zone else 1.0
    return work_ms * cold * far * max(1.0, (server.in_use + 1) / server.slots)
