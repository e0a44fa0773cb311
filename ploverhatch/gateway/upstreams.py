"""Connections to servers, and what this node learned of each while using it."""

import math
from collections import deque
from collections.abc import Callable, Collection
from contextlib import AbstractContextManager

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.slots import SlotQueue
from ploverhatch.routing.answer_time import AnswerTime
from ploverhatch.routing.balancer import ServerLoad
from ploverhatch.state.servers import ServerRecord
from ploverhatch.transport.http_connection import HostPort, HttpConnection, NotConnectedError

MAX_ANSWER_TIMES = 16  # answer times kept of one server until they are reported
DEFAULT_IDLE_S = 4.0  # where a server does not state how long it keeps idle connections
IDLE_MARGIN_S = 1.0
FAILING_MS = 1000.0
STALE_MS = 3000.0  # unused for so long, an old answer time counts half
MIN_LIMIT = 1.0
QUEUED_FACTOR = 2.5  # an answer so much slower than typical had to queue
QUEUED_FRACTION = 0.5  # of the objective: faster answers are good whatever they waited
LIMIT_STEP = 0.25
REJECTED_FRACTION = 0.2  # of a typical answer time: a request that runs does not end so soon


class Upstream:
    """One life of a server, as this node uses it."""

    def __init__(self, record: ServerRecord, same_zone: bool) -> None:
        self.record = record
        self.same_zone = same_zone
        self.answer_time = AnswerTime()
        self.failing_until_ms = 0.0
        self.limit = float(max(2, record.slots))
        self._recovering = False  # from a rest: requests come one by one at first
        self._max_limit = float(record.slots * 2)
        self._queue = SlotQueue(lambda: self.limit, record.slots, elapsed_ms)
        self._used_ms = elapsed_ms()
        self._idle: list[HttpConnection] = []
        self._recent_ms: deque[int] = deque(maxlen=MAX_ANSWER_TIMES)
        self.last_answer_ms = -math.inf  # when it last answered this node anything

    @property
    def address(self) -> HostPort:
        """Where it takes requests."""
        return HostPort(self.record.host, self.record.port)

    # ---- admission ------------------------------------------------------------------

    @property
    def in_flight(self) -> int:
        """Requests that this node has under way at the server."""
        return self._queue.in_use

    def slot(self, priority: int, wait_s: float) -> AbstractContextManager[None]:
        """Hold one of this node's slots at the server.

        :raises NoSlotError: when none came free in time.
        """
        return self._queue.hold(priority, wait_s)

    def granted_slot(self) -> AbstractContextManager[None]:
        """Hold a slot that all nodes share, which was given to a request of this node."""
        return self._queue.hold_granted()

    @property
    def recovering(self) -> bool:
        """Whether it has not yet answered as many requests since a rest as it has slots for."""
        return self._recovering

    @property
    def has_capacity(self) -> bool:
        """Whether a slot that all nodes share may be used; not all at once after a rest.

        Else each node would send whatever waits there in the moment at which the rest ends.
        """
        return not self._recovering or self.in_flight < max(1, int(self.limit))

    # ---- what was learned -----------------------------------------------------------

    def note_answer(self, took_ms: float, objective_ms: float) -> None:
        """A whole answer came; adapt to whether it had to queue."""
        self.answer_time.add(took_ms)
        self._recent_ms.append(round(took_ms))
        queued = took_ms > QUEUED_FACTOR * self.answer_time.typical_ms
        if queued and took_ms > QUEUED_FRACTION * objective_ms:
            self.limit = max(MIN_LIMIT, self.limit - LIMIT_STEP)
        else:
            self.limit = min(self._max_limit, self.limit + 1.0 / max(self.limit, 1.0))
        if self.limit >= self.record.slots:
            self._recovering = False
        self.failing_until_ms = 0.0
        self._used_ms = elapsed_ms()

    def collect_answer_times(self) -> list[int]:
        """Return the latest answer times since the last call."""
        times = list(self._recent_ms)
        self._recent_ms.clear()
        return times

    def suggests_rejection(self, took_ms: float) -> bool:
        """Whether a connection that broke so soon was broken by a server that is full."""
        return took_ms < REJECTED_FRACTION * self.answer_time.typical_ms

    def note_overload(self) -> None:
        """The server refused for want of room, or did not answer in time."""
        self.limit = max(MIN_LIMIT, self.limit / 2)

    def note_backoff(self) -> None:
        """The server turned a request away and wants none for a while."""
        self.limit = MIN_LIMIT
        self._recovering = True

    def note_failure(self) -> None:
        """No connection, or a broken one."""
        self.failing_until_ms = elapsed_ms() + FAILING_MS

    def load(self, usual_ms: float, cold: bool = False) -> ServerLoad:
        """Return what the balancer needs to know."""
        now_ms = elapsed_ms()
        mean_ms = self.answer_time.mean_ms if self.answer_time.count else usual_ms
        if now_ms - self._used_ms > STALE_MS:
            mean_ms = (mean_ms + usual_ms) / 2
        return ServerLoad(
            server_id=self.record.server_id,
            slots=self.record.slots,
            in_flight=self._queue.in_use + self._queue.waiting,
            mean_ms=mean_ms,
            oldest_ms=self._queue.oldest_ms,
            same_zone=self.same_zone,
            cold=cold,
            failing=now_ms < self.failing_until_ms,
        )

    # ---- connections ----------------------------------------------------------------

    def connection(self, timeout_s: float) -> HttpConnection:
        """Return a connection without a request on it.

        :raises NotConnectedError: when none can be made.
        """
        now_s = elapsed_ms() / 1000
        while self._idle:
            connection = self._idle.pop()
            limit_s = (connection.idle_limit_s or DEFAULT_IDLE_S) - IDLE_MARGIN_S
            if now_s - connection.idle_since_s < limit_s and connection.is_quiet():
                return connection
            connection.close()
        connection = HttpConnection(self.address)
        connection.open(timeout_s)
        return connection

    def has_ended(self, timeout_s: float) -> bool:
        """Ask by a connection whether the process at the address is gone.

        A dead port refuses it. A full server, a lost answer, a reset or a cut link
        don't; a connection that is made is kept for the next request.
        """
        connection = HttpConnection(self.address)
        try:
            connection.open(timeout_s)
        except NotConnectedError as error:
            return error.refused
        connection.reusable = True
        self.release(connection)
        return False

    def release(self, connection: HttpConnection) -> None:
        """Keep a connection for the next request if it may be reused."""
        if not connection.reusable:
            connection.close()
            return
        connection.idle_since_s = elapsed_ms() / 1000
        self._idle.append(connection)

    def close(self) -> None:
        """Close idle connections."""
        while self._idle:
            self._idle.pop().close()


class UpstreamPool:
    """All servers that this node knows, by id; ``on_removed`` is told of those that are gone."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._upstreams: dict[str, Upstream] = {}
        self.on_removed: Callable[[Upstream], None] = lambda upstream: None

    def sync(self, records: dict[str, ServerRecord]) -> None:
        """Take the present records."""
        for server_id in [known for known in self._upstreams if known not in records]:
            gone = self._upstreams.pop(server_id)
            gone.close()
            self.on_removed(gone)
        for server_id, record in records.items():
            known = self._upstreams.get(server_id)
            if known is not None and known.address != (record.host, record.port):
                known.close()  # it listens elsewhere now: nothing learned or open is of use
                known = None
            if known is None:
                self._upstreams[server_id] = Upstream(record, record.zone == self._zone)
            else:
                known.record = record

    def get(self, server_id: str) -> Upstream | None:
        """Return a server's state, or ``None`` when it is not known."""
        return self._upstreams.get(server_id)

    def collect_answer_times(self, services: Collection[str]) -> dict[str, list[int]]:
        """Return the answer times of servers of some services since the last call, by id."""
        taken = {
            server_id: upstream.collect_answer_times()
            for server_id, upstream in self._upstreams.items()
            if upstream.record.service in services
        }
        return {server_id: times for server_id, times in taken.items() if times}
