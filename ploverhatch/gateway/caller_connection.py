"""One caller's HTTP/1.1 connection, on gevent and the parser of httptools.

Its task reads whole requests, has them answered in order, and notices when the caller
disconnects meanwhile.
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
from ploverhatch.common.in_flight import ProcessEndsError
from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway.answer_record import SentAnswer
from ploverhatch.gateway.disconnect import CONTINUE, DisconnectWatch
from ploverhatch.gateway.messages import (
    CallerGoneError,
    CallerReply,
    CallerRequest,
    DeadlineOverError,
    HeaderList,
)
from ploverhatch.transport.buffers import (
    FIELD_BYTES,
    MESSAGE_BYTES,
    PROCESS_BUFFERS,
    BuffersFullError,
    exceeds_framing,
)
from ploverhatch.transport.turns import MAX_PARTS, give_turn
from ploverhatch.transport.unacknowledged import unacknowledged_bytes

if TYPE_CHECKING:
    from ploverhatch.gateway.caller_server import CallerServer

LOG = PartLogger("callers")

READ_BYTES = 65_536
# Parsed at a time, so that a caller of many small requests takes no longer turn than others.
PARSE_BYTES = 2048
WRITE_TIMEOUT_S = 10.0
LINGER_S = 1.0
LINGER_PAUSE_S = 0.01  # between reads, so that a caller that goes on sending costs little
LARGE_BODY_BYTES = 32_768  # a longer body is sent without a copy
# With no memory left for a request, until others have been answered.
RETRY_AFTER_NO_MEMORY = b"0.250"
# Callers are told this fraction of the idle timeout, so that a request that they send until then
# still arrives before the close.
KEEP_ALIVE_FRACTION = 0.8
# A request that a caller sent before it saw the close arrives within this time, a round trip.
CROSSING_S = 0.05
_CLOSED_WHILE_IDLE = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
_PEEK = stdlib_socket.MSG_PEEK | stdlib_socket.MSG_DONTWAIT

HTTP_1_0 = "1.0"
CONNECT = b"CONNECT"

REASONS = {int(status): status.phrase.encode() for status in HTTPStatus}


class RequestRejectedError(Exception):
    """A request is malformed or exceeds a limit; the connection closes after the answer."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@dataclass(slots=True)
class _Incoming:
    """A request while it is being read."""

    received_ms: float
    target: bytes = b""
    headers: HeaderList = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    body_parts: int = 0  # in which the parser has passed the body on
    held_bytes: int = 0  # of the connection's buffer
    header_bytes: int = 0
    method: bytes = b""
    headers_done: bool = False
    keep_alive: bool = False
    accepts_interim: bool = False  # whether interim answers may be sent: since HTTP/1.1
    expects_continue: bool = False


class CallerConnection:
    """One caller's connection."""

    def __init__(self, sock: Any, server: "CallerServer", caller: bytes) -> None:
        self._socket = sock
        self._caller = caller
        self._server = server
        self._limits = server.limits
        self._ready: deque[_Incoming] = deque()
        self._unparsed = b""  # Read, but not parsed yet.
        self._incoming: _Incoming | None = None
        self._buffer = PROCESS_BUFFERS.open()  # for all requests of the connection
        self._received_bytes = 0  # since the last complete request
        self._parser: Any = HttpRequestParser(self)
        self._rejected: RequestRejectedError | None = None  # later bytes can't be parsed
        self._request: CallerRequest | None = None  # the one that is being served or answered
        self._answers: list[SentAnswer] = []  # sent since a planned stop began
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
        self._hold(self._incoming, MESSAGE_BYTES)

    def _hold(self, incoming: _Incoming, size: int) -> None:
        self._buffer.grow(size)
        incoming.held_bytes += size

    def _current(self) -> _Incoming:
        if self._incoming is None:
            raise RequestRejectedError(400)
        return self._incoming

    def on_url(self, url: bytes) -> None:
        """A part of the target has arrived."""
        incoming = self._current()
        incoming.target += url
        self._count_header(incoming, len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header field or a trailer field has arrived."""
        incoming = self._current()
        self._count_header(incoming, len(name) + len(value) + 4)
        if incoming.headers_done:
            return  # a trailer
        incoming.headers.append((name, value))
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            incoming.expects_continue = True

    def _count_header(self, incoming: _Incoming, size: int) -> None:
        self._hold(incoming, size + FIELD_BYTES)
        incoming.header_bytes += size
        if incoming.header_bytes > self._limits().header_bytes:
            raise RequestRejectedError(431)

    def on_headers_complete(self) -> None:
        """The header fields are complete."""
        incoming = self._current()
        incoming.headers_done = True
        incoming.method = self._parser.get_method()
        incoming.keep_alive = self._parser.should_keep_alive()
        incoming.accepts_interim = self._parser.get_http_version() != HTTP_1_0

    def on_body(self, body: bytes) -> None:
        """A part of the body has arrived."""
        incoming = self._current()
        if len(incoming.body) + len(body) > self._limits().body_bytes:
            raise RequestRejectedError(413)
        self._hold(incoming, len(body))
        incoming.body += body
        incoming.body_parts += 1

    def on_message_complete(self) -> None:
        """The request is complete."""
        incoming = self._current()
        self._incoming = None
        self._received_bytes = 0
        self._ready.append(incoming)

    # ---- serving --------------------------------------------------------------------

    def serve(self) -> None:
        """Serve requests until the connection closes."""
        try:
            self._serve_all()
        except CallerGoneError:
            pass  # logged with the request
        except (OSError, DeadlineOverError, ProcessEndsError, gevent.Timeout) as error:
            self._log_broken(error)
        except Exception as error:  # a programming error: only this connection ends
            LOG.error("Connection failed.", cause=repr(error))
            self._log_broken(error)
        finally:
            self.record_answers()
            with suppress(OSError):
                self._socket.close()
            # The parser refers to this object; without it, the memory is free at once.
            self._parser = self._incoming = None
            self._ready.clear()
            self._unparsed = b""
            self._buffer.close()

    def _serve_all(self) -> None:
        try:
            while (incoming := self._next_request()) is not None:
                if not self._serve_one(incoming):
                    return
                self._buffer.shrink(incoming.held_bytes)
                gevent.sleep(0)  # A caller may have sent many at once; others need their turn.
            return
        except RequestRejectedError as error:
            status = error.status
        # The exception is gone here, and with its traceback the references to what was read.
        self._reject(status)

    def _reject(self, status: int) -> None:
        """Answer a request that can't be read, and close the connection."""
        self._server.rejected(status)
        headers = [(b"Retry-After", RETRY_AFTER_NO_MEMORY)] if status == 503 else []
        self._incoming = self._rejected = None
        self._unparsed = b""
        self._buffer.close()
        self._send(CallerReply(status, headers), b"", close=True)
        self._linger()

    def _log_broken(self, error: BaseException) -> None:
        """Log the requests that the end of the connection leaves without an answer, if any."""
        if self._request is not None:
            self.log_unanswered(repr(error))
        elif self._incoming is not None or self._ready:
            LOG.info("Request not served.", whole=len(self._ready), cause=repr(error))

    def log_unanswered(self, cause: str) -> None:
        """Log that the request which is being served, if any, gets no complete answer."""
        if self._request is not None:
            name, took_ms = self._request.request_id, elapsed_ms() - self._request.received_ms
            LOG.warning(
                "Request without answer.", request=name, cause=cause, took_ms=round(took_ms)
            )

    def record_answers(self) -> None:
        """Record whether the caller acknowledged the answers sent during a planned stop."""
        answers, self._answers = self._answers, []
        if answers:
            self._server.answers.note(answers, unacknowledged_bytes(self._socket))

    def _serve_one(self, incoming: _Incoming) -> bool:
        request = CallerRequest(
            method=incoming.method,
            target=incoming.target,
            headers=incoming.headers,
            body=bytes(incoming.body),
            received_ms=incoming.received_ms,
            caller=self._caller,
        )
        incoming.body = bytearray()
        self._served += 1
        self._server.count_request(first=self._served == 1)
        self._request = request
        try:
            with DisconnectWatch(self._socket, incoming.accepts_interim) as watch:
                self._await_first_probe(watch)
                reply = self._server.handler(request)
            close = not incoming.keep_alive or self._closes_with_answer()
            self._deliver(reply, incoming.method, close)
            self._request = None
        finally:
            self._used_ms = elapsed_ms()
        if close:
            self._linger()
        return not close

    def _await_first_probe(self, watch: DisconnectWatch) -> None:
        try:
            watch.await_first_probe()
        except CallerGoneError:
            LOG.info("Request not served.", whole=1, cause="caller-gone")
            raise

    def _closes_with_answer(self) -> bool:
        """Whether a planned stop has begun and this answer is the connection's last.

        It is not the last while further requests have arrived: they would be dropped after it,
        and their caller couldn't tell whether they ran.
        """
        if not self._server.draining:
            return False
        read = self._ready or self._incoming or self._rejected or self._unparsed
        more = bool(read) or self._has_unread()
        return self._server.ending or not more

    def _deliver(self, reply: CallerReply, method: bytes, close: bool) -> None:
        size = self._send(reply, method, close)
        if self._server.draining and self._request is not None:
            self._answers.append(SentAnswer(self._request.request_id, reply.status, size))

    def _next_request(self) -> _Incoming | None:
        """Return the next complete request; ``None`` when the connection is over.

        :raises RequestRejectedError: when the next request can't be read.
        """
        while not self._ready:
            if self._rejected is not None:
                raise self._rejected
            if not self._unparsed and not self._read():
                return None
            parts = self._feed_read()
            if not self._ready and self._rejected is None:
                self._check_head_time()
                give_turn(parts)  # More bytes may be there at once; others need their turn.
        return self._ready.popleft()

    def _read(self) -> bool:
        """Read further bytes; return whether the connection goes on."""
        limit_s = self._read_limit_s()
        self._socket.settimeout(limit_s)
        try:
            data = self._socket.recv(READ_BYTES)
        except TimeoutError as error:
            if self._incoming is None:
                return False  # idle for as long as is allowed
            raise RequestRejectedError(408) from error
        if self._closing:
            self._drop_crossing(bool(data))
            return False
        self._unparsed = data
        return bool(data)

    def _feed_read(self) -> int:
        """Parse what was read until a request is complete, or until others need their turn.

        :returns: the parts of the body of an incomplete request that were parsed.
        """
        data, start = self._unparsed, 0
        first_part = self._incoming.body_parts if self._incoming else 0
        while start < len(data) and not self._ready and self._rejected is None:
            self._feed(data[start : start + PARSE_BYTES])
            start += PARSE_BYTES
            if self._incoming and self._incoming.body_parts - first_part > MAX_PARTS:
                break
        self._unparsed = data[start:]
        return self._incoming.body_parts - first_part if self._incoming else 0

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
        return max(self._head_left_ms(incoming) / 1000, 0.001)

    def _head_left_ms(self, incoming: _Incoming) -> float:
        return incoming.received_ms + self._limits().header_timeout_ms - elapsed_ms()

    def _check_head_time(self) -> None:
        """Reject a head that goes on after its time, though what had arrived by then was read."""
        incoming = self._incoming
        if incoming and not incoming.headers_done and self._head_left_ms(incoming) <= 0:
            raise RequestRejectedError(408)

    def _feed(self, data: bytes) -> None:
        """Parse bytes; a malformed request is rejected after the complete ones before it."""
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade as upgrade:
            self._decline_upgrade(data[upgrade.args[0] :])
        except HttpParserError as error:
            # A new exception, since the traceback of the cause refers to what was read.
            self._rejected = RequestRejectedError(_rejection_status(error.__context__))
        else:
            self._check_framing()

    def _decline_upgrade(self, rest: bytes) -> None:
        """Read a request that asks for another protocol as one that doesn't (RFC 9110, 7.8).

        The parser takes such a request as complete with its head, whatever body follows.

        :param rest: bytes that follow the head.
        """
        asking = self._ready.pop()
        self._buffer.shrink(asking.held_bytes)
        if asking.method == CONNECT:  # What follows it isn't HTTP.
            self._rejected = RequestRejectedError(400)
            return
        self._parser = HttpRequestParser(self)
        self._feed(_head_without_upgrade(asking))
        if self._incoming or self._ready:
            (self._incoming or self._ready[-1]).received_ms = asking.received_ms
        if rest and self._rejected is None:
            self._feed(rest)

    def _check_framing(self) -> None:
        """Reject a head, or what surrounds a body, that may have no end."""
        incoming = self._incoming
        body_bytes, body_parts = (len(incoming.body), incoming.body_parts) if incoming else (0, 0)
        head_bytes = self._limits().header_bytes + READ_BYTES
        if exceeds_framing(self._received_bytes, body_bytes, body_parts, head_bytes):
            self._rejected = RequestRejectedError(431)

    def _send(self, reply: CallerReply, method: bytes, close: bool) -> int:
        """Write an answer; return its size in bytes."""
        rows = [b"HTTP/1.1 %d %s" % (reply.status, _reason(reply.status))]
        rows += [name + b": " + value for name, value in reply.headers]
        if reply.status not in {204, 304}:
            rows.append(b"Content-Length: %d" % len(reply.body))
        if close:
            rows.append(b"Connection: close")
        elif keep_alive_s := self._keep_alive_s():
            rows.append(b"Connection: keep-alive")
            rows.append(b"Keep-Alive: timeout=%d" % keep_alive_s)
        head = b"\r\n".join(rows) + b"\r\n\r\n"
        body = b"" if method == b"HEAD" else reply.body
        self._socket.settimeout(WRITE_TIMEOUT_S)
        if len(body) <= LARGE_BODY_BYTES:
            self._socket.sendall(head + body)
        else:
            self._socket.sendall(head)
            self._socket.sendall(body)
        return len(head) + len(body)

    def _keep_alive_s(self) -> int:
        """Return the idle time to announce to the caller, in whole seconds; 0: none."""
        idle_s = self._limits().idle_timeout_ms / 1000
        return min(self._server.keep_alive_s, int(idle_s * KEEP_ALIVE_FRACTION))

    def _linger(self) -> None:
        """Let the caller read the last answer before the close.

        Bytes that are unread at the close would reset the connection and lose the answer.
        """
        self._lingering = True
        with suppress(OSError), gevent.Timeout(LINGER_S, False):
            self._socket.shutdown(stdlib_socket.SHUT_WR)
            while self._socket.recv(READ_BYTES):
                gevent.sleep(LINGER_PAUSE_S)

    def close_if_idle(self, idle_s: float) -> None:
        """Close the connection if it has been idle for at least ``idle_s``."""
        if (
            self._closing
            or self._lingering
            or self.busy
            or self._incoming is not None
            or self._ready
            or self._unparsed
        ):
            return
        if elapsed_ms() - self._used_ms < idle_s * 1000 or self._has_unread():
            return
        self._closing = True
        self._server.stop_counts.closed += 1
        with suppress(OSError):
            # A request that crosses the close finds this as its answer: it did not run and may
            # be sent again (RFC 9110, 15.5.9). Callers without a request under way drop a
            # connection on which an answer arrives.
            self._socket._sock.send(_CLOSED_WHILE_IDLE, stdlib_socket.MSG_DONTWAIT)
            self._socket.shutdown(stdlib_socket.SHUT_WR)
        gevent.spawn_later(CROSSING_S, self._end_closing)

    def _end_closing(self) -> None:
        """Complete the close of an idle connection that no request has crossed."""
        if not self._lingering:
            with suppress(OSError):
                self._socket.shutdown(stdlib_socket.SHUT_RDWR)

    def _drop_crossing(self, arrived: bool) -> None:
        """Drop a request that crossed the close, and let its caller read the reason."""
        if arrived:
            self._server.stop_counts.crossed += 1
            self._linger()

    def _has_unread(self) -> bool:
        try:
            return bool(self._socket._sock.recv(1, _PEEK))
        except OSError:
            return False


def _head_without_upgrade(request: _Incoming) -> bytes:
    version = b"1.1" if request.accepts_interim else b"1.0"
    rows = [request.method + b" " + request.target + b" HTTP/" + version]
    rows += [name + b": " + value for name, value in request.headers if name.lower() != b"upgrade"]
    return b"\r\n".join(rows) + b"\r\n\r\n"


def _rejection_status(cause: BaseException | None) -> int:
    """Return the status for an error of the parser, by what a callback of it raised, if any."""
    if isinstance(cause, RequestRejectedError):
        return cause.status
    return 503 if isinstance(cause, BuffersFullError) else 400


def _reason(status: int) -> bytes:
    return REASONS.get(status, b"Unknown")
