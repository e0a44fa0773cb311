"""One caller's HTTP/1.1 connection, on gevent and httptools' parser.

Its task reads whole requests, has each answered in turn, and notices when the
caller leaves meanwhile.
"""

import socket as stdlib_socket
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import gevent
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.common.under_way import ProcessEndsError
from ploverhatch.gateway.answer_record import SentAnswer, unacknowledged_bytes
from ploverhatch.gateway.disconnect import CONTINUE, DisconnectWatch
from ploverhatch.gateway.messages import (
    CallerGoneError,
    CallerReply,
    CallerRequest,
    DeadlineOverError,
    HeaderList,
)

if TYPE_CHECKING:
    from ploverhatch.gateway.caller_server import CallerServer

LOG = PartLogger("callers")

READ_SIZE = 65_536
WRITE_TIMEOUT_S = 10.0
LINGER_S = 1.0
REST_PART = 0.8  # of the idle time: what callers send until then still comes in time
CROSSING_S = 0.05  # from our close until all that crossed it has come: a round trip to callers
_CLOSED_AT_REST = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
_PEEK = stdlib_socket.MSG_PEEK | stdlib_socket.MSG_DONTWAIT

HTTP_1_0 = "1.0"

REASONS = {int(status): status.phrase.encode() for status in HTTPStatus}


class RequestRejectedError(Exception):
    """A request that can't be read; the connection closes after the answer."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@dataclass(slots=True)
class _Incoming:
    """A request while it is being read."""

    received_ms: float
    target: bytes = b""
    headers: HeaderList = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    body_bytes: int = 0
    header_bytes: int = 0
    method: bytes = b""
    headers_done: bool = False
    keep_alive: bool = False
    takes_interim: bool = False  # answers before the final one: since HTTP/1.1
    expects_continue: bool = False


class CallerConnection:
    """One caller's connection."""

    def __init__(self, sock: Any, server: "CallerServer", caller: bytes) -> None:
        self._socket = sock
        self._caller = caller
        self._server = server
        self._limits = server.limits
        self._ready: deque[_Incoming] = deque()
        self._incoming: _Incoming | None = None
        self._parser = HttpRequestParser(self)
        self._rejected: RequestRejectedError | None = None  # nothing after it can be read
        self._request: CallerRequest | None = None  # that is being served or answered
        self._answers: list[SentAnswer] = []  # since the process was told to stop
        self._closing = False
        self._lingering = False
        self._served = 0
        self._used_ms = elapsed_ms()

    @property
    def busy(self) -> bool:
        """Whether a request is being served or answered."""
        return self._request is not None

    # ---- parser callbacks -----------------------------------------------------------

    def on_message_begin(self) -> None:
        """A request begins."""
        self._incoming = _Incoming(received_ms=elapsed_ms())

    def _current(self) -> _Incoming:
        if self._incoming is None:
            raise RequestRejectedError(400)
        return self._incoming

    def on_url(self, url: bytes) -> None:
        """A part of the target came."""
        incoming = self._current()
        incoming.target += url
        self._count_header(incoming, len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header field came, or a trailer."""
        incoming = self._current()
        self._count_header(incoming, len(name) + len(value) + 4)
        if incoming.headers_done:
            return  # a trailer
        incoming.headers.append((name, value))
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            incoming.expects_continue = True

    def _count_header(self, incoming: _Incoming, size: int) -> None:
        incoming.header_bytes += size
        if incoming.header_bytes > self._limits().header_bytes:
            raise RequestRejectedError(431)

    def on_headers_complete(self) -> None:
        """The header fields are whole."""
        incoming = self._current()
        incoming.headers_done = True
        incoming.method = self._parser.get_method()
        incoming.keep_alive = self._parser.should_keep_alive()
        incoming.takes_interim = self._parser.get_http_version() != HTTP_1_0

    def on_body(self, body: bytes) -> None:
        """A part of the body came."""
        incoming = self._current()
        incoming.body.append(body)
        incoming.body_bytes += len(body)
        if incoming.body_bytes > self._limits().body_bytes:
            raise RequestRejectedError(413)

    def on_message_complete(self) -> None:
        """The request is whole."""
        incoming = self._current()
        self._incoming = None
        self._ready.append(incoming)

    # ---- serving --------------------------------------------------------------------

    def serve(self) -> None:
        """Serve requests until the connection closes."""
        try:
            self._serve_all()
        except CallerGoneError:
            pass  # told with the request
        except (OSError, DeadlineOverError, ProcessEndsError, gevent.Timeout) as error:
            self._tell_broken(error)
        except Exception as error:  # a fault of ours: the connection ends, the process goes on
            LOG.error("Connection failed.", cause=repr(error))
            self._tell_broken(error)
        finally:
            self.record_answers()
            with suppress(OSError):
                self._socket.close()

    def _serve_all(self) -> None:
        try:
            while (incoming := self._next_request()) is not None:
                if not self._serve_one(incoming):
                    return
        except RequestRejectedError as error:
            self._server.rejected(error.status)
            self._send(CallerReply(error.status), b"", close=True)
            self._linger()

    def _tell_broken(self, error: BaseException) -> None:
        """Tell whose answer the end of the connection cost; resting ones may end as they like."""
        if self._request is not None:
            self.log_unanswered(repr(error))
        elif self._incoming is not None or self._ready:
            LOG.info("Request not read.", whole=len(self._ready), cause=repr(error))

    def log_unanswered(self, cause: str) -> None:
        """Tell that the request which is being served, if there is one, gets no whole answer."""
        if self._request is not None:
            name, took_ms = self._request.request_id, elapsed_ms() - self._request.received_ms
            LOG.warning(
                "Request without answer.", request=name, cause=cause, took_ms=round(took_ms)
            )

    def record_answers(self) -> None:
        """Tell whether the answers of a process that stops were taken."""
        answers, self._answers = self._answers, []
        if answers:
            self._server.answers.note(answers, unacknowledged_bytes(self._socket))

    def _serve_one(self, incoming: _Incoming) -> bool:
        request = CallerRequest(
            method=incoming.method,
            target=incoming.target,
            headers=incoming.headers,
            body=b"".join(incoming.body),
            received_ms=incoming.received_ms,
            caller=self._caller,
        )
        self._served += 1
        self._server.count_request(first=self._served == 1)
        self._request = request
        try:
            with DisconnectWatch(self._socket, incoming.takes_interim):
                reply = self._server.handler(request)
            close = not incoming.keep_alive or self._closes_with_answer()
            self._deliver(reply, incoming.method, close)
            self._request = None
        finally:
            self._used_ms = elapsed_ms()
        if close:
            self._linger()
        return not close

    def _closes_with_answer(self) -> bool:
        """Whether the process stops and this answer is the last one here.

        It is not while more requests have come: they would be dropped behind it, and their
        caller couldn't tell whether they ran.
        """
        if not self._server.draining:
            return False
        more = self._ready or self._incoming or self._rejected or self._has_unread()
        return self._server.ending or not more

    def _deliver(self, reply: CallerReply, method: bytes, close: bool) -> None:
        size = self._send(reply, method, close)
        if self._server.draining and self._request is not None:
            self._answers.append(SentAnswer(self._request.request_id, reply.status, size))

    def _next_request(self) -> _Incoming | None:
        """Return the next whole request; ``None`` when the connection is over.

        :raises RequestRejectedError: when what comes next can't be read.
        """
        while not self._ready:
            if self._rejected is not None:
                raise self._rejected
            limit_s = self._read_limit_s()
            self._socket.settimeout(limit_s)
            try:
                data = self._socket.recv(READ_SIZE)
            except TimeoutError as error:
                if self._incoming is None:
                    return None  # idle for as long as is allowed
                raise RequestRejectedError(408) from error
            if self._closing:
                self._leave_untaken(bool(data))
                return None
            if not data:
                return None
            self._feed(data)
        return self._ready.popleft()

    def _read_limit_s(self) -> float:
        limits = self._limits()
        incoming = self._incoming
        if incoming is None:
            return limits.idle_timeout_ms / 1000
        if incoming.headers_done:
            if incoming.expects_continue:
                incoming.expects_continue = False
                self._socket.sendall(CONTINUE)
            return limits.idle_timeout_ms / 1000
        left_ms = incoming.received_ms + limits.header_timeout_ms - elapsed_ms()
        return max(left_ms / 1000, 0.001)

    def _feed(self, data: bytes) -> None:
        """Parse bytes; what can't be read is rejected in its turn, after what was whole."""
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self._ready.pop()  # the request that asks for it, which is whole
            self._rejected = RequestRejectedError(400)
        except HttpParserError as error:
            cause = error.__context__
            if not isinstance(cause, RequestRejectedError):
                cause = RequestRejectedError(400)
            self._rejected = cause

    def _send(self, reply: CallerReply, method: bytes, close: bool) -> int:
        """Write an answer; return its bytes."""
        rows = [b"HTTP/1.1 %d %s" % (reply.status, _reason(reply.status))]
        rows += [name + b": " + value for name, value in reply.headers]
        if reply.status not in {204, 304}:
            rows.append(b"Content-Length: %d" % len(reply.body))
        if close:
            rows.append(b"Connection: close")
        elif rest_s := self._rest_s():
            rows.append(b"Connection: keep-alive")
            rows.append(b"Keep-Alive: timeout=%d" % rest_s)
        head = b"\r\n".join(rows) + b"\r\n\r\n"
        self._socket.settimeout(WRITE_TIMEOUT_S)
        payload = head if method == b"HEAD" else head + reply.body
        self._socket.sendall(payload)
        return len(payload)

    def _rest_s(self) -> int:
        """Return how long the caller may rest on the connection, in whole seconds."""
        idle_s = self._limits().idle_timeout_ms / 1000
        return min(self._server.keep_alive_s, int(idle_s * REST_PART))

    def _linger(self) -> None:
        """Let the caller read the last answer: unread bytes would reset it."""
        self._lingering = True
        with suppress(OSError), gevent.Timeout(LINGER_S, False):
            self._socket.shutdown(stdlib_socket.SHUT_WR)
            while self._socket.recv(READ_SIZE):
                pass

    def close_if_idle(self, rest_s: float) -> None:
        """Close a connection that has been at rest for some time."""
        if (
            self._closing
            or self._lingering
            or self.busy
            or self._incoming is not None
            or self._ready
        ):
            return
        if elapsed_ms() - self._used_ms < rest_s * 1000 or self._has_unread():
            return
        self._closing = True
        self._server.stop_counts.closed += 1
        with suppress(OSError):
            # A request that crosses the close finds this as its answer: not run, and it may
            # be sent again (RFC 9110, 15.5.9). Callers at rest drop a connection that speaks.
            self._socket._sock.send(_CLOSED_AT_REST, stdlib_socket.MSG_DONTWAIT)
            self._socket.shutdown(stdlib_socket.SHUT_WR)
        gevent.spawn_later(CROSSING_S, self._end_closing)

    def _end_closing(self) -> None:
        """End a close at rest that nothing has crossed."""
        if not self._lingering:
            with suppress(OSError):
                self._socket.shutdown(stdlib_socket.SHUT_RDWR)

    def _leave_untaken(self, came: bool) -> None:
        """Leave what crossed the close unread by us, and let its caller read why."""
        if came:
            self._server.stop_counts.crossed += 1
            self._linger()

    def _has_unread(self) -> bool:
        try:
            return bool(self._socket._sock.recv(1, _PEEK))
        except OSError:
            return False


def _reason(status: int) -> bytes:
    return REASONS.get(status, b"Unknown")
