"""Snapshots of all objects of a kind, from the leader to nodes that start or missed changes.

The leader knows all objects and how current its view is, so a node need not read them from
the store, where each call is priced and some nodes may be rejected. Snapshots are too long
for a datagram, so they are sent over a TCP connection to the leader.
"""

from collections.abc import Callable

import gevent
import msgspec

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway.messages import CallerReply, CallerRequest
from ploverhatch.relay.messages import Snapshot
from ploverhatch.transport.http_connection import (
    AnswerCutError,
    HostPort,
    HttpConnection,
    NotConnectedError,
)

LOG = PartLogger("peer")

PATH_PART = b"objects"
PATH = b"/%s/" % PATH_PART
TIMEOUT_S = 0.6
MAX_SNAPSHOT_BYTES = 16 << 20
CONNECT_TIMEOUT_S = 0.2
ASK_AGAIN_MS = 1000.0  # wait after a leader did not answer


class Snapshots:
    """Answers other nodes' requests for snapshots.

    :param snapshot: returns the objects of a kind, or ``None`` where this node doesn't lead or
        its view of the kind isn't current.
    """

    def __init__(self, snapshot: Callable[[str], Snapshot | None]) -> None:
        self._snapshot = snapshot

    def answer(self, request: CallerRequest) -> CallerReply:
        """Answer a request for the snapshot of a kind."""
        snapshot = self._snapshot(request.path[len(PATH) :].decode("latin-1"))
        if snapshot is None:
            return CallerReply(503)
        return CallerReply(200, body=msgspec.msgpack.encode(snapshot))


class SnapshotClient:
    """Fetches snapshots from the leader.

    :param leader: returns the leader's address, empty when none is known.
    :param own: this node's address.
    """

    def __init__(self, leader: Callable[[], str], own: str) -> None:
        self._leader = leader
        self._own = own
        self._failed: dict[str, float] = {}  # when a fetch failed last, by kind

    def may_ask(self, kind: str) -> bool:
        """Whether another node leads, and did not just fail to answer for the kind."""
        leader = self._leader()
        waited = elapsed_ms() - self._failed.get(kind, -1e12) >= ASK_AGAIN_MS
        return bool(leader) and leader != self._own and waited

    def fetch(self, kind: str) -> Snapshot | None:
        """Return all objects of a kind as the leader knows them; ``None`` after a failure."""
        connection = HttpConnection(HostPort.parse(self._leader()))
        payload = b"GET %s%s HTTP/1.1\r\nConnection: close\r\n\r\n" % (PATH, kind.encode())
        try:
            connection.open(CONNECT_TIMEOUT_S)
            with gevent.Timeout(TIMEOUT_S):
                answer = connection.exchange(b"GET", payload, max_body_bytes=MAX_SNAPSHOT_BYTES)
            if answer.status == 200:
                return msgspec.msgpack.decode(answer.body, type=Snapshot)
        except (
            NotConnectedError,
            AnswerCutError,
            gevent.Timeout,
            ValueError,
            RecursionError,
        ) as error:
            LOG.info("No snapshot received from the leader.", kind=kind, cause=error)
        finally:
            connection.close()
        self._failed[kind] = elapsed_ms()
        return None
