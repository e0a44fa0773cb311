"""gevent's WSGI server, configured for small answers and strict parsing of requests.

Differences from the default: Nagle's algorithm is disabled; requests whose
length is ambiguous are rejected, since another HTTP implementation could split
them differently (request smuggling); parse errors are answered with a problem
document; open connections are tracked, so that a planned stop (a graceful
shutdown) can wait for them.
"""

import contextlib
import http.client
import socket
from typing import Any

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from ploverhatch.common import results
from ploverhatch.common.problem import problem_body
from ploverhatch.transport.peers import set_no_delay

TARGET_KEY = "ploverhatch.target"


class AbortConnectionError(Exception):
    """Raised by an application to close the connection without an answer."""


class AmbiguousLengthError(ValueError):
    """The header fields do not state one unambiguous length of the body."""


def shut_down(sock: Any) -> None:
    """Close a connection at once, even while another task reads from it."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def has_unread(sock: Any) -> bool:
    """Return whether the socket has received bytes that are still unread."""
    try:
        return bool(sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def check_framing(lengths: list[str], encodings: list[str]) -> None:
    """Check that header fields state at most one length of the body.

    ``lengths`` and ``encodings`` are the values of ``Content-Length`` and
    ``Transfer-Encoding``.

    :raises AmbiguousLengthError: for repeated, contradicting or malformed fields.
    """
    if len(lengths) > 1 or len(encodings) > 1 or (lengths and encodings):
        raise AmbiguousLengthError("more than one length")
    if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
        raise AmbiguousLengthError("length is not a number")
    if encodings and encodings[0].lower() != "chunked":
        raise AmbiguousLengthError("unknown transfer encoding")


class StrictHandler(WSGIHandler):
    """Handler of one connection."""

    idle = True  # no request is being read or served
    serving = False  # a request is being served

    def handle(self) -> None:
        """Serve requests of one connection until it closes."""
        set_no_delay(self.socket)
        server: HttpServer = self.server
        server.connections.add(self)
        try:
            super().handle()
        finally:
            server.connections.discard(self)

    def read_requestline(self) -> Any:
        """Read the first line of a request; the connection is idle until its first byte."""
        self.idle = True
        self.idle = not self.rfile.peek(1)
        line = super().read_requestline()
        self.idle = not line
        return line

    def close_if_idle(self) -> None:
        """Close the connection unless bytes of a request have arrived.

        A request that arrives at the same time is not served.
        """
        sock = getattr(self, "socket", None)
        if sock is not None and self.idle and not has_unread(sock):
            shut_down(sock)

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802 - name of the base class
        """Parse header fields and check the framing they state."""
        headers = super().MessageClass(*args)
        check_framing(
            headers.get_all("content-length") or [], headers.get_all("transfer-encoding") or []
        )
        return headers

    def get_environ(self) -> dict[str, Any]:
        """Add the request target as it was sent, since ``PATH_INFO`` is decoded."""
        environ: dict[str, Any] = super().get_environ()
        environ[TARGET_KEY] = self.path
        return environ

    def run_application(self) -> None:
        """Run the application, which may abort the connection."""
        try:
            super().run_application()
        except AbortConnectionError:
            self.close_connection = True
            shut_down(self.socket)

    def handle_one_response(self) -> None:
        """Serve one request; ``serving`` is true meanwhile."""
        server: HttpServer = self.server
        self.serving = True
        try:
            super().handle_one_response()
        finally:
            self.serving = False
            if server.draining:
                self.close_connection = True

    def finalize_headers(self) -> None:
        """Announce in the answer that a draining server closes the connection."""
        if self.server.draining:
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        too_large = isinstance(ex, http.client.HTTPException) or "too long" in str(ex).lower()
        result = results.HEADERS_TOO_LARGE if too_large else results.BAD_REQUEST
        body = problem_body(result, detail=type(ex).__name__)
        reason = http.client.responses[result.status]
        head = (
            f"HTTP/1.1 {result.status} {reason}\r\nConnection: close\r\n"
            f"Content-Type: application/problem+json\r\n"
            f"Ploverhatch-Result: {result.code}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return str(result.status), head.encode("latin-1") + body


class HttpServer(WSGIServer):
    """WSGI server that supports a planned stop."""

    handler_class = StrictHandler

    def __init__(self, address: tuple[str, int], application: Any) -> None:
        super().__init__(address, application, log=None, error_log=None)
        self.connections: set[StrictHandler] = set()
        self.draining = False

    @property
    def busy(self) -> int:
        """Number of requests that are being served."""
        return sum(handler.serving for handler in self.connections)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return int(self.server_port)

    def abort(self) -> None:
        """Stop at once and close all connections, as a crash would."""
        self.stop(timeout=0)
        for handler in list(self.connections):
            self._shut_down(handler)

    def drain(self, limit_s: float, linger_s: float) -> bool:
        """Stop accepting connections and wait for open requests.

        Idle connections stay open for ``linger_s`` seconds, since a request may
        be in transit; its answer closes the connection. After that, only
        connections with a partly received request remain open. Such a request is
        served once it is complete, and aborted if it is still incomplete at the limit.

        :returns: whether every request was answered within ``limit_s`` seconds.
        """
        self.draining = True
        self._accept_waiting()
        self.close()
        gevent.sleep(0)  # A connection is tracked once its task has run.
        loop = gevent.get_hub().loop
        end_s = loop.now() + limit_s
        idle_end_s = loop.now() + linger_s
        while self.connections and loop.now() < end_s:
            if loop.now() >= idle_end_s:
                self._close_idle()
            gevent.sleep(0.02)
            loop.update_now()
        self._close_not_served()
        return not self.busy

    def await_answers(self, limit_s: float) -> bool:
        """Wait up to ``limit_s`` seconds until no request is being served.

        :returns: whether all requests were answered by then.
        """
        with gevent.Timeout(limit_s, False):
            while self.busy:
                gevent.sleep(0.01)
        return not self.busy

    def _accept_waiting(self) -> None:
        """Accept the connections in the listen backlog; closing the listener would reset them."""
        with contextlib.suppress(OSError):
            for _ in range(self.backlog):
                accepted = self.do_read()
                if not accepted:
                    return
                self.do_handle(*accepted)

    def _close_idle(self) -> None:
        for handler in list(self.connections):
            handler.close_if_idle()

    def _close_not_served(self) -> None:
        """Close connections that serve no request, also those with an incomplete one."""
        for handler in list(self.connections):
            if not handler.serving:
                self._shut_down(handler)

    def _shut_down(self, handler: StrictHandler) -> None:
        sock = getattr(handler, "socket", None)
        if sock is not None:
            shut_down(sock)
