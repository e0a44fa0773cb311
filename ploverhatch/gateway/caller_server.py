"""HTTP/1.1 server for callers: one address, one task for each connection.

gevent's own WSGI server is not used here: it costs 6 MB more per process and hides
the connection (docs/decisions/0007-gateway-on-a-platform.md).
"""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway.answer_record import AnswerRecord
from ploverhatch.gateway.caller_connection import CallerConnection
from ploverhatch.gateway.messages import CallerReply, CallerRequest
from ploverhatch.routing.route_table import ClientLimits
from ploverhatch.transport.http_connection import HostPort

LOG = PartLogger("callers")

BACKLOG = 1024
MAX_CONNECTIONS = 2048
FIRST_REQUEST_S = 0.5  # callers send within a round trip of connecting; then one is at rest

Handler = Callable[[CallerRequest], CallerReply]


@dataclass(slots=True)
class StopCounts:
    """What came in, and what was closed, since a planned stop began."""

    opened: int = 0  # connections that were taken
    first: int = 0  # requests that were the first ones of their connections
    later: int = 0  # requests on connections that had served one before
    closed: int = 0  # connections that were closed at rest
    crossed: int = 0  # of these, the ones on which a request was already under way


class CallerServer:
    """Listens at one address and serves connections."""

    def __init__(
        self,
        address: HostPort,
        handler: Handler,
        limits: Callable[[], ClientLimits],
        rejected: Callable[[int], None] = lambda status: None,
        max_connections: int = MAX_CONNECTIONS,
        keep_alive_s: int = 0,
    ) -> None:
        """Prepare to serve.

        :param keep_alive_s: how long callers are told to rest on a connection at most;
            0: nothing is told.
        """
        self.handler = handler
        self.keep_alive_s = keep_alive_s
        self._max_connections = max_connections
        self.limits = limits
        self.rejected = rejected
        self.draining = False  # the process stops: answers close connections
        self.ending = False  # the last answers leave: no connection goes on
        self.stop_counts = StopCounts()
        self.answers = AnswerRecord()
        self._connections: set[CallerConnection] = set()
        self._opened_ms = elapsed_ms()  # when a connection was taken last
        self._server = StreamServer(tuple(address), self._accepted, backlog=BACKLOG)

    def start(self) -> None:
        """Start to listen."""
        self._server.start()

    def stop(self) -> None:
        """Stop to listen; open connections go on, also those that wait to be taken."""
        if not self._server.closed:
            self._take_waiting()
        self._server.close()
        gevent.sleep(0)  # the tasks of what was just taken begin, and are counted

    def _take_waiting(self) -> None:
        """Take the connections that wait: closing the listener would reset them."""
        self._server.stop_accepting()
        for _ in range(BACKLOG):
            try:
                waiting = self._server.do_read()
            except OSError as error:
                LOG.warning("Connection not taken.", cause=repr(error))
                return
            if not waiting:
                return
            self._server.do_handle(*waiting)

    @property
    def port(self) -> int:
        """Port that is listened on."""
        return int(self._server.server_port)

    @property
    def open_connections(self) -> int:
        """Number of connections."""
        return len(self._connections)

    @property
    def quiet_ms(self) -> float:
        """Time since a connection was taken last."""
        return elapsed_ms() - self._opened_ms

    @property
    def busy(self) -> int:
        """Number of requests being served."""
        return sum(connection.busy for connection in self._connections)

    def log_open_requests(self) -> None:
        """Tell what became of the requests whose connections the end of the process closes."""
        for connection in list(self._connections):
            connection.record_answers()
            connection.log_unanswered("process-ends")
        self.answers.flush()

    def count_request(self, first: bool) -> None:
        """Count a request, if it came after a planned stop began.

        :param first: whether it is the first one of its connection.
        """
        if self.draining:
            self.stop_counts.first += first
            self.stop_counts.later += not first

    def close_idle(self, rest_s: float = 0.0) -> None:
        """Close the connections on which nothing is under way.

        :param rest_s: how long they must have been at rest. A connection that was
            just opened is: its first request is on its way.
        """
        for connection in list(self._connections):
            connection.close_if_idle(rest_s)

    def _accepted(self, sock: Any, address: tuple[str, int]) -> None:
        if len(self._connections) >= self._max_connections:
            # Nothing was read: the caller knows that nothing ran.
            sock.close()
            return
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stop_counts.opened += self.draining
        self._opened_ms = elapsed_ms()
        connection = CallerConnection(sock, self, address[0].encode())
        self._connections.add(connection)
        try:
            connection.serve()
        finally:
            self._connections.discard(connection)
