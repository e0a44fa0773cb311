"""Kept TCP connections to other nodes."""

from collections.abc import Callable

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.transport.http_connection import HostPort, HttpConnection

CONNECT_TIMEOUT_S = 0.1
MAX_IDLE = 8  # Idle connections that are kept to each node.
IDLE_LIMIT_S = 5.0  # Shorter than nodes keep idle connections open.

Node = tuple[str, int]  # Address of a node.


class PeerConnections:
    """Connections to the servers of other nodes, kept between calls.

    :param clock: returns elapsed milliseconds.
    """

    def __init__(self, clock: Callable[[], float] = elapsed_ms) -> None:
        self._clock = clock
        self._idle: dict[Node, list[HttpConnection]] = {}

    def take(self, node: Node) -> HttpConnection:
        """Return an idle connection to a node, or open a new one.

        :raises NotConnectedError: when no connection can be made.
        """
        idle = self._idle.get(node, [])
        while idle:
            connection = idle.pop()
            if self._is_fresh(connection) and connection.is_usable():
                return connection
            connection.close()
        connection = HttpConnection(HostPort(*node))
        connection.open(CONNECT_TIMEOUT_S)
        return connection

    def keep(self, node: Node, connection: HttpConnection) -> None:
        """Keep a connection for the next call if it may be reused."""
        idle = self._idle.setdefault(node, [])
        if not connection.reusable or len(idle) >= MAX_IDLE:
            connection.close()
            return
        connection.idle_since_s = self._clock() / 1000
        idle.append(connection)

    def close_idle(self) -> None:
        """Close connections that have been idle for longer than they are used."""
        for node, idle in list(self._idle.items()):
            kept = [connection for connection in idle if self._is_fresh(connection)]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            self._idle[node] = kept
            if not kept:
                del self._idle[node]

    def _is_fresh(self, connection: HttpConnection) -> bool:
        return self._clock() / 1000 - connection.idle_since_s < IDLE_LIMIT_S
