"""Kept TCP connections to other nodes, and the calls on them.

Each call has a number that its answer repeats, so that no answer is taken for that of another
call, whatever bytes arrive on a kept connection.
"""

import itertools
from collections.abc import Callable

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.transport.answer_match import AnswerMatch, match_answer
from ploverhatch.transport.http_connection import (
    MAX_CONTROL_BODY_BYTES,
    HostPort,
    HttpConnection,
    WireAnswer,
)

CONNECT_TIMEOUT_S = 0.1
MAX_IDLE = 8  # Idle connections that are kept to each node.
IDLE_LIMIT_S = 5.0  # Shorter than nodes keep idle connections open.

CALL_FIELD = b"ploverhatch-call"  # header field with the number of a call, in calls and answers

Node = tuple[str, int]  # Address of a node.


class PeerConnections:
    """Connections to the servers of other nodes, kept between calls.

    :param clock: returns elapsed milliseconds.
    """

    def __init__(self, clock: Callable[[], float] = elapsed_ms) -> None:
        self._clock = clock
        self._idle: dict[Node, list[HttpConnection]] = {}
        self._numbers = itertools.count(1)

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

    def exchange(
        self,
        connection: HttpConnection,
        path_part: bytes,
        body: bytes,
        max_body_bytes: int = MAX_CONTROL_BODY_BYTES,
    ) -> WireAnswer:
        """Send a call and return its answer; the caller limits the time by ``gevent.Timeout``.

        :raises AnswerCutError: without a complete answer that is certainly the call's own.
        """
        number = b"%d" % next(self._numbers)
        earlier = frozenset(connection.request_ids)
        connection.request_ids.append(number)

        def match(answer: WireAnswer) -> AnswerMatch:
            answered = answer.get(CALL_FIELD) or b""
            if not answered and _is_last(answer):
                return AnswerMatch.OWN  # The node rejects the call before it reads the number.
            return match_answer(number, answered, earlier)

        head = b"POST /%b HTTP/1.1\r\n%b: %b\r\nContent-Length: %d\r\n\r\n"
        answer = connection.exchange(
            b"POST",
            head % (path_part, CALL_FIELD, number, len(body)),
            match=match,
            body=body,
            max_body_bytes=max_body_bytes,
        )
        if answer.get(CALL_FIELD) is None:
            connection.reusable = False
        return answer

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


def _is_last(answer: WireAnswer) -> bool:
    return (answer.get(b"connection") or b"").lower() == b"close"
