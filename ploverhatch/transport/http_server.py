"""gevent's WSGI server, set up for small answers and strict requests.

Differences from the default: segments are sent without delay; requests whose
length is ambiguous are refused (they could be split differently by another
party); parse errors are answered with a problem document; open connections
are counted, so that a planned stop can wait for them.
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
    """Raised by an application to end the connection without an answer."""


class AmbiguousLengthError(ValueError):
    """The header fields do not state one length of the body."""


def cut(sock: Any) -> None:
    """Close a connection at once, though its reader still refers to it."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def has_unread(sock: Any) -> bool:
    """Whether bytes came that nobody has read."""
    try:
        return bool(sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def check_framing(lengths: list[str], encodings: list[str]) -> None:
    """Refuse header fields from which two parties could read two lengths.

    :raises AmbiguousLengthError: on repeated or malformed fields.
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
        """Read a request's first line; until its first byte the connection is idle."""
        self.idle = True
        self.idle = not self.rfile.peek(1)
        line = super().read_requestline()
        self.idle = not line
        return line

    def close_if_idle(self) -> None:
        """Close the connection unless a request is there; one that crosses is not taken."""
        sock = getattr(self, "socket", None)
        if sock is not None and self.idle and not has_unread(sock):
            cut(sock)

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802 - name of the base class
        """Parse header fields and check the framing they state."""
        headers = super().MessageClass(*args)
        check_framing(
            headers.get_all("content-length") or [], headers.get_all("transfer-encoding") or []
        )
        return headers

    def get_environ(self) -> dict[str, Any]:
        """Add the request target as it was sent; ``PATH_INFO`` is decoded."""
        environ: dict[str, Any] = super().get_environ()
        environ[TARGET_KEY] = self.path
        return environ

    def run_application(self) -> None:
        """Run the application; it may abort the connection."""
        try:
            super().run_application()
        except AbortConnectionError:
            self.close_connection = True
            cut(self.socket)

    def handle_one_response(self) -> None:
        """Serve one request, and note that the connection is busy."""
        server: HttpServer = self.server
        self.serving = True
        try:
            super().handle_one_response()
        finally:
            self.serving = False
            if server.draining:
                self.close_connection = True

    def finalize_headers(self) -> None:
        """Announce that a draining server closes the connection."""
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
    """Server with a planned stop."""

    handler_class = StrictHandler

    def __init__(self, address: tuple[str, int], application: Any) -> None:
        super().__init__(address, application, log=None, error_log=None)
        self.connections: set[StrictHandler] = set()
        self.draining = False

    @property
    def busy(self) -> int:
        """Number of requests being served."""
        return sum(handler.serving for handler in self.connections)

    @property
    def port(self) -> int:
        """Port that is listened on."""
        return int(self.server_port)

    def abort(self) -> None:
        """Stop at once and cut open connections, as a crash would."""
        self.stop(timeout=0)
        for handler in list(self.connections):
            self._cut(handler)

    def drain(self, limit_s: float, linger_s: float) -> bool:
        """Stop accepting, wait for open requests, and take no others.

        Idle connections stay for ``linger_s``, since a request may be on its
        way; its answer closes the connection. After that no connection is left
        on which a request could begin, but those whose head is being read: one
        that comes to its end late is begun late, and may be cut at the limit.

        :returns: whether every request ended within ``limit_s``.
        """
        self.draining = True
        self._accept_waiting()
        self.close()
        gevent.sleep(0)  # what was accepted last is counted from its first turn
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
        """Wait until no request is being served; false where some are when the time is over."""
        with gevent.Timeout(limit_s, False):
            while self.busy:
                gevent.sleep(0.01)
        return not self.busy

    def _accept_waiting(self) -> None:
        """Accept what the kernel has set up: closing the listener would reset it."""
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
        """Close connections whose request is still not whole."""
        for handler in list(self.connections):
            if not handler.serving:
                self._cut(handler)

    def _cut(self, handler: StrictHandler) -> None:
        sock = getattr(handler, "socket", None)
        if sock is not None:
            cut(sock)
