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

    def handle(self) -> None:
        """Serve requests of one connection until it closes."""
        set_no_delay(self.socket)
        server: HttpServer = self.server
        server.connections.add(self)
        try:
            super().handle()
        finally:
            server.connections.discard(self)

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
        server.busy += 1
        try:
            super().handle_one_response()
        finally:
            server.busy -= 1
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
        self.busy = 0
        self.draining = False

    @property
    def port(self) -> int:
        """Port that is listened on."""
        return int(self.server_port)

    def abort(self) -> None:
        """Stop at once and cut open connections, as a crash would."""
        self.stop(timeout=0)
        for handler in list(self.connections):
            sock = getattr(handler, "socket", None)
            if sock is not None:
                cut(sock)

    def drain(self, limit_s: float, linger_s: float) -> bool:
        """Stop accepting, and wait for open requests.

        Idle connections stay for ``linger_s``, since a request may be on its
        way; its answer closes the connection.

        :returns: whether every request ended within ``limit_s``.
        """
        self.draining = True
        self.stop_accepting()
        self.close()
        end_s = gevent.get_hub().loop.now() + limit_s
        idle_end_s = gevent.get_hub().loop.now() + linger_s
        while gevent.get_hub().loop.now() < end_s:
            lingering = self.connections and gevent.get_hub().loop.now() < idle_end_s
            if not self.busy and not lingering:
                return True
            gevent.sleep(0.02)
            gevent.get_hub().loop.update_now()
        return not self.busy
