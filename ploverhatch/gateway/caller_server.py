"""HTTP/1.1 server for callers at one address, with one task for each connection.

gevent's own WSGI server is not used: it costs 6 MB more per process and hides the
connection (docs/decisions/0007-gateway-on-a-platform.md).
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
# Callers send within a round trip of connecting. A connection without a request after this
# time is idle.
FIRST_REQUEST_S = 0.5

Handler = Callable[[CallerRequest], CallerReply]


@dataclass(slots=True)
class StopCounts:
    """Counts of connections and requests since a planned stop began."""

    opened: int = 0  # connections that were accepted
    first: int = 0  # requests that were the first ones of their connections
    later: int = 0  # requests on connections that had served one before
    closed: int = 0  # idle connections that were closed
    crossed: int = 0  # closed idle connections on which a request arrived after the close


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
        """Prepare to serve; :meth:`start` begins to listen.

        :param handler: called with each request; returns its reply.
        :param limits: returns the limits of requests that are in force.
        :param rejected: called with the status of each request that can't be read.
        :param max_connections: connections beyond this number are closed at once.
        :param keep_alive_s: longest idle time of a connection that answers announce;
            0: none is announced.
        """
        self.handler = handler
        self.keep_alive_s = keep_alive_s
        self._max_connections = max_connections
        self.limits = limits
        self.rejected = rejected
        self.draining = False  # a planned stop has begun: answers close connections
        self.ending = False  # the last answers are sent: no connection is kept
        self.stop_counts = StopCounts()
        self.answers = AnswerRecord()
        self._connections: set[CallerConnection] = set()
        self._opened_ms = elapsed_ms()  # when a connection was accepted last
        self._server = StreamServer(tuple(address), self._accepted, backlog=BACKLOG)

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening; open connections and those in the backlog are still served."""
        if not self._server.closed:
            self._accept_backlog()
        self._server.close()
        gevent.sleep(0)  # lets the tasks of connections just accepted begin and be counted

    def _accept_backlog(self) -> None:
        """Accept the connections in the backlog: closing the listener would reset them."""
        self._server.stop_accepting()
        for _ in range(BACKLOG):
            try:
                waiting = self._server.do_read()
            except OSError as error:
                LOG.warning("Connection not accepted.", cause=repr(error))
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
        """Time since a connection was last accepted."""
        return elapsed_ms() - self._opened_ms

    @property
    def busy(self) -> int:
        """Number of requests being served."""
        return sum(connection.busy for connection in self._connections)

    def log_open_requests(self) -> None:
        """Log the outcome of the requests whose connections the end of the process closes."""
        for connection in list(self._connections):
            connection.record_answers()
            connection.log_unanswered("process-ends")
        self.answers.flush()

    def count_request(self, first: bool) -> None:
        """Count a request if a planned stop has begun.

        :param first: whether it is the first one of its connection.
        """
        if self.draining:
            self.stop_counts.first += first
            self.stop_counts.later += not first

    def close_idle(self, idle_s: float = 0.0) -> None:
        """Close idle connections.

        :param idle_s: how long they must have been idle. A connection that was just opened
            counts as idle although its first request may be on its way.
        """
        for connection in list(self._connections):
            connection.close_if_idle(idle_s)

    def _accepted(self, sock: Any, address: tuple[str, int]) -> None:
        if len(self._connections) >= self._max_connections:
            # Nothing was read, so the caller knows that no request ran.
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
