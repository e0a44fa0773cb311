"""Connections to servers, and what this node has observed of each server."""

import enum
import heapq
import math
from collections import Counter, deque
from collections.abc import Callable, Collection
from contextlib import AbstractContextManager

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.settings import MAX_CONNECTED
from ploverhatch.gateway.slots import SlotQueue
from ploverhatch.routing.answer_time import AnswerTime
from ploverhatch.routing.balancer import ServerLoad
from ploverhatch.sharding.server_speeds import MAX_PACE, USUAL_PACE
from ploverhatch.state.servers import ServerRecord
from ploverhatch.transport.http_connection import (
    MAX_BODY_BYTES,
    HostPort,
    HttpConnection,
    NotConnectedError,
)

MAX_ANSWER_TIMES = 16  # The number of answer times kept per server until they are reported.
DEFAULT_IDLE_S = 4.0  # Used if a server doesn't state how long it keeps idle connections.
# A connection is not reused this shortly before its server closes it. A request that crosses the
# close is lost. The margin covers one retransmission and a delay of this process in reading.
IDLE_MARGIN_S = 0.5
FAILING_MS = 1000.0
STALE_MS = 3000.0  # After this long without requests, the mean answer time counts half.
MIN_LIMIT = 1.0
QUEUED_FACTOR = 2.5  # An answer that takes this many times the typical time had to queue.
# Answers within this share of the objective are fast enough, even if they had to queue.
QUEUED_FRACTION = 0.5
LIMIT_STEP = 0.25
# After an answer that may have no end, a server's answers are read no further than this for a time.
# Reading 64 MiB takes a tenth of a second of processor time.
CAUTIOUS_BODY_BYTES = 1 << 20
CAUTIOUS_MS = 5000.0
# A shorter answer for which there was no memory left is not taken for one without end.
SUSPICIOUS_BODY_BYTES = 16 << 20
# A request that runs doesn't end within this share of the typical answer time.
REJECTED_FRACTION = 0.2


class ConnectionUse(enum.StrEnum):
    """How a connection to a server was obtained, and why one had to be opened."""

    REUSED = "reused"
    NO_IDLE = "opened-no-idle"  # There was none, or all were in use.
    EXPIRED = "opened-expired"  # The idle ones were too old to be reused.
    CLOSED = "opened-closed"  # The server had closed the idle ones.
    SAME_REQUEST = "opened-same-request"  # The idle ones carried an attempt of the request.
    PROBE = "opened-probe"
    REUSED_LOST = "reused-lost"  # A reused connection broke before the answer.


class Upstream:
    """One incarnation of a server, as this node uses it.

    :param uses: counts the connections of this node to all servers.
    :param pace_of: returns the pace of a server's machine at its last answer, in percent.
    """

    def __init__(
        self,
        record: ServerRecord,
        same_zone: bool,
        uses: Counter[str] | None = None,
        pace_of: Callable[[str], float] = lambda server_id: USUAL_PACE,
    ) -> None:
        self.record = record
        self._pace_of = pace_of
        self.same_zone = same_zone
        self.answer_time = AnswerTime()
        self.failing_until_ms = 0.0
        self.limit = float(max(2, record.slots))
        self._recovering = False  # From a backoff: requests are sent one by one at first.
        self._max_limit = float(record.slots * 2)
        self._queue = SlotQueue(lambda: self.limit, record.slots, elapsed_ms)
        self._used_ms = elapsed_ms()
        self._idle: list[HttpConnection] = []  # The one used last is the last.
        self._uses = Counter() if uses is None else uses
        self._recent_ms: deque[int] = deque(maxlen=MAX_ANSWER_TIMES)
        self._recent_paces: deque[int] = deque(maxlen=MAX_ANSWER_TIMES)  # of the same answers
        self.last_answer_ms = -math.inf  # When this node last received an answer.
        self._cautious_until_ms = -math.inf

    @property
    def address(self) -> HostPort:
        """The address at which the server takes requests."""
        return HostPort(self.record.host, self.record.port)

    # ---- admission ------------------------------------------------------------------

    @property
    def in_flight(self) -> int:
        """The number of requests that this node has in flight at the server."""
        return self._queue.in_use

    @property
    def oldest_in_flight_ms(self) -> float:
        """For how long this node's oldest request has been in flight there; 0 without any."""
        return self._queue.oldest_ms

    def slot(self, priority: int, wait_s: float) -> AbstractContextManager[None]:
        """Hold one of this node's slots at the server.

        :raises NoSlotError: when no slot became free in time.
        """
        return self._queue.hold(priority, wait_s)

    def granted_slot(self) -> AbstractContextManager[None]:
        """Hold a shared slot that a dispatcher granted to a request of this node."""
        return self._queue.hold_granted()

    @property
    def recovering(self) -> bool:
        """Whether the limit, reduced by a backoff, is still below the server's slots.

        Each answer that didn't have to queue raises the limit.
        """
        return self._recovering

    @property
    def has_capacity(self) -> bool:
        """Whether a shared slot may be used now.

        After a backoff the number in use is limited. Otherwise each node would send all its
        waiting requests at the moment at which the backoff ends.
        """
        return not self._recovering or self.in_flight < max(1, int(self.limit))

    # ---- observations ---------------------------------------------------------------

    def note_answer(self, took_ms: float, objective_ms: float) -> None:
        """Note a complete answer, and adapt the limit to whether the request had to queue."""
        self.answer_time.add(took_ms)
        self._recent_ms.append(round(took_ms))
        self._recent_paces.append(round(min(self._pace_of(self.record.server_id), MAX_PACE)))
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
        """Return the latest answer times in milliseconds since the last call."""
        times = list(self._recent_ms)
        self._recent_ms.clear()
        return times

    def collect_paces(self) -> list[int]:
        """Return the paces of the server at its latest answers, unless all are usual.

        They belong to the answer times that :meth:`collect_answer_times` returns at this moment.
        """
        paces = list(self._recent_paces)
        self._recent_paces.clear()
        return paces if any(pace != USUAL_PACE for pace in paces) else []

    def suggests_rejection(self, took_ms: float) -> bool:
        """Whether a connection was closed so soon that the server was probably full.

        :param took_ms: time until the connection was closed.
        """
        return took_ms < REJECTED_FRACTION * self.answer_time.typical_ms

    def note_overload(self) -> None:
        """Note that the server rejected a request as full, or didn't answer in time."""
        self.limit = max(MIN_LIMIT, self.limit / 2)

    def note_backoff(self) -> None:
        """Note that the server rejected a request and asked for a backoff."""
        self.limit = MIN_LIMIT
        self._recovering = True

    def note_failure(self) -> None:
        """Note that no connection could be made, or that it broke."""
        self.failing_until_ms = elapsed_ms() + FAILING_MS

    def load(self, usual_ms: float, cold: bool = False) -> ServerLoad:
        """Return the server's load for the balancer.

        :param usual_ms: answer time to assume where this node has none of the server.
        """
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

    @property
    def max_body_bytes(self) -> int:
        """The longest body of an answer that is read."""
        return CAUTIOUS_BODY_BYTES if elapsed_ms() < self._cautious_until_ms else MAX_BODY_BYTES

    def note_too_long(self, body_bytes: int) -> None:
        """Note that an answer was given up since it is too long.

        :param body_bytes: length of its body by then.
        """
        if body_bytes >= min(self.max_body_bytes, SUSPICIOUS_BODY_BYTES):
            self._cautious_until_ms = elapsed_ms() + CAUTIOUS_MS

    # ---- connections ----------------------------------------------------------------

    def connection(self, timeout_s: float, request_id: bytes | None = None) -> HttpConnection:
        """Return an idle connection, or open a new one.

        A connection on which an earlier attempt of the request was sent is not returned, since
        the server's answers to the two could not be told apart. For the same reason a request
        without an id has a connection of its own.

        :param request_id: id of the request to send, empty if it has none; ``None`` for no
            request in particular.
        :raises NotConnectedError: when no connection can be made.
        """
        now_s = elapsed_ms() / 1000
        use = ConnectionUse.NO_IDLE
        for connection in reversed(self._idle.copy()):
            if request_id is not None and (not request_id or request_id in connection.request_ids):
                use = ConnectionUse.SAME_REQUEST
                continue
            self._idle.remove(connection)
            fresh = _is_fresh(connection, now_s)
            if fresh and connection.is_usable():
                self._uses[ConnectionUse.REUSED] += 1
                return connection
            connection.close()
            use = ConnectionUse.CLOSED if fresh else ConnectionUse.EXPIRED
        return self._open(timeout_s, use)

    def _open(self, timeout_s: float, use: ConnectionUse) -> HttpConnection:
        connection = HttpConnection(self.address)
        connection.open(timeout_s)
        self._uses[use] += 1
        return connection

    @property
    def idle_since_s(self) -> float:
        """When its latest reusable connection was last used; minus infinity without any."""
        latest = self._idle[-1] if self._idle else None
        if latest is None or not _is_fresh(latest, elapsed_ms() / 1000):
            return -math.inf
        return latest.idle_since_s

    @property
    def has_idle_connection(self) -> bool:
        """Whether an idle connection seems to be usable."""
        return any(connection.is_usable() for connection in self._idle)

    def probe(self, timeout_s: float) -> None:
        """Open a connection, which is kept for the next request unless others are.

        :raises NotConnectedError: when no connection can be made.
        """
        connection = self._open(timeout_s, ConnectionUse.PROBE)
        connection.reusable = not self.has_idle_connection
        self.release(connection)

    def refuses_connections(self, timeout_s: float) -> bool:
        """Return whether a new connection is refused, by a dead port or by the link to it.

        A full server, a lost answer or a silent link don't refuse it.
        """
        try:
            self.probe(timeout_s)
        except NotConnectedError as error:
            return error.refused
        return False

    def release(self, connection: HttpConnection) -> None:
        """Keep a connection for the next request if it may be reused."""
        if not connection.reusable or b"" in connection.request_ids:
            connection.close()
            return
        connection.idle_since_s = elapsed_ms() / 1000
        self._idle.append(connection)

    def note_lost(self, connection: HttpConnection) -> None:
        """Note that a connection broke before the answer to its request."""
        if not connection.is_new:
            self._uses[ConnectionUse.REUSED_LOST] += 1

    def close(self) -> None:
        """Close idle connections."""
        while self._idle:
            self._idle.pop().close()


def _is_fresh(connection: HttpConnection, now_s: float) -> bool:
    """Return whether an idle connection will stay open for long enough to be reused."""
    limit_s = (connection.idle_timeout_s or DEFAULT_IDLE_S) - IDLE_MARGIN_S
    return now_s - connection.idle_since_s < limit_s


class UpstreamPool:
    """All servers that this node knows, by id; ``on_removed`` is called with removed ones.

    :param max_connected: the largest number of servers that :meth:`connected` returns.
    :param pace_of: returns the pace of a server's machine at its last answer, in percent.
    """

    def __init__(
        self,
        zone: str,
        max_connected: int = MAX_CONNECTED,
        pace_of: Callable[[str], float] = lambda server_id: USUAL_PACE,
    ) -> None:
        self._zone = zone
        self._pace_of = pace_of
        self.max_connected = max_connected
        self.uses: Counter[str] = Counter()
        self._upstreams: dict[str, Upstream] = {}
        self.on_removed: Callable[[Upstream], None] = lambda upstream: None

    def sync(self, records: dict[str, ServerRecord]) -> None:
        """Add, update and remove servers to match the present records."""
        for server_id in [known for known in self._upstreams if known not in records]:
            gone = self._upstreams.pop(server_id)
            gone.close()
            self.on_removed(gone)
        for server_id, record in records.items():
            known = self._upstreams.get(server_id)
            if known is not None and known.address != (record.host, record.port):
                known.close()  # The address changed, so no connection or observation applies.
                known = None
            if known is None:
                self._upstreams[server_id] = Upstream(
                    record, record.zone == self._zone, self.uses, self._pace_of
                )
            else:
                known.record = record

    def get(self, server_id: str) -> Upstream | None:
        """Return a server's state, or ``None`` when it is not known."""
        return self._upstreams.get(server_id)

    def connected(self, service: str) -> tuple[str, ...]:
        """Return servers of a service with an idle connection, the one used last first.

        Only the latest are returned, since a request for a slot has to fit in a datagram.
        """
        idle = [
            (since_s, server_id)
            for server_id, upstream in self._upstreams.items()
            if upstream.record.service == service and (since_s := upstream.idle_since_s) > -math.inf
        ]
        return tuple(server_id for _, server_id in heapq.nlargest(self.max_connected, idle))

    @property
    def server_ids(self) -> frozenset[str]:
        """The known servers."""
        return frozenset(self._upstreams)

    def oldest_in_flight_ms(self) -> float:
        """Return for how long the oldest request in flight has been sent; 0 without any."""
        return max(
            (upstream.oldest_in_flight_ms for upstream in self._upstreams.values()), default=0.0
        )

    def collect_answer_times(self, services: Collection[str]) -> dict[str, list[int]]:
        """Return the answer times since the last call by server, for servers of some services."""
        taken = {
            server_id: upstream.collect_answer_times()
            for server_id, upstream in self._upstreams.items()
            if upstream.record.service in services
        }
        return {server_id: times for server_id, times in taken.items() if times}

    def collect_paces(self, services: Collection[str]) -> dict[str, list[int]]:
        """Return the paces that belong to the answer times, of servers that are disturbed."""
        taken = {
            server_id: upstream.collect_paces()
            for server_id, upstream in self._upstreams.items()
            if upstream.record.service in services
        }
        return {server_id: paces for server_id, paces in taken.items() if paces}
