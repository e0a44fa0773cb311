"""HTTP/1.1 client connection that carries one request at a time.

Its exceptions state whether bytes of the request were sent, which decides whether
the request may be repeated. The parser is llhttp, by way of ``httptools``.
"""

import itertools
import select
import socket as stdlib_socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import gevent
from gevent import socket
from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from ploverhatch.transport.answer_match import AnswerMatch
from ploverhatch.transport.buffers import (
    FIELD_BYTES,
    PROCESS_BUFFERS,
    Buffer,
    BuffersFullError,
    exceeds_framing,
)
from ploverhatch.transport.turns import give_turn
from ploverhatch.transport.unacknowledged import unacknowledged_bytes

READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536  # of an answer and all interim answers before it
MAX_BODY_BYTES = 64 << 20
MAX_CONTROL_BODY_BYTES = 65_536  # of an answer that carries no data of callers
STATUSES = range(100, 600)  # RFC 9110, section 15; below 200 the final answer follows
KEPT_IDS = 16  # latest requests on a connection that answers are told apart from
LARGE_PAYLOAD_BYTES = 32_768  # a longer request is sent by a second task while its answer is read
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_numbers = itertools.count(1)


class HostPort(NamedTuple):
    """A TCP address."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "HostPort":
        """Read ``host:port``.

        :raises ValueError: when the text has another form.
        """
        host, _, port = text.rpartition(":")
        if not host:
            raise ValueError(f"no port in {text!r}")
        return cls(host, int(port))


class NotConnectedError(ConnectionError):
    """No connection was made, so no byte of the request was sent.

    ``refused`` is true when the address refused the connection.
    """

    def __init__(self, cause: str, refused: bool = False) -> None:
        super().__init__(cause)
        self.refused = refused


class AnswerCutError(ConnectionError):
    """Bytes may have been sent, but no complete answer was received."""


@dataclass(slots=True)
class WireAnswer:
    """A complete answer, with its header fields as they were received."""

    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    # Accounts for the memory of the answer while it exists.
    buffer: Buffer | None = field(default=None, compare=False, repr=False)

    def get(self, name: bytes) -> bytes | None:
        """Return the value of the first field with a name, or ``None``.

        ``name`` is in lower case.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class ForeignAnswerError(AnswerCutError):
    """An answer arrived that may belong to another request."""


class AnswerTooLongError(AnswerCutError):
    """An answer exceeds a limit; it may have no end.

    ``body_bytes`` is the length of the body that had arrived.
    """

    def __init__(self, cause: str, body_bytes: int) -> None:
        super().__init__(cause)
        self.body_bytes = body_bytes


MatchAnswer = Callable[[WireAnswer], AnswerMatch]


def _match_by_order(_answer: WireAnswer) -> AnswerMatch:
    return AnswerMatch.OWN


class _AnswerReader:
    """Collects one answer from the callbacks of the parser.

    Answers to earlier requests are dropped. The limits hold for all bytes together that arrive
    for the request.
    """

    def __init__(self, method: bytes, match: MatchAnswer, max_body_bytes: int) -> None:
        self.answer = WireAnswer()
        self.complete = False
        self.excess = False  # bytes follow the answer, so the connection can't be reused
        self.keep_alive = False
        self.body_parts = 0  # in which the parser has passed the body on
        self._match = match
        self._head_only = method == b"HEAD"
        self._has_length = False
        self._headers_done = False
        self._max_body_bytes = max_body_bytes
        self._received_bytes = 0
        self._body_bytes = 0
        self._body = bytearray()
        self._buffer = PROCESS_BUFFERS.open()
        self._parser: Any = HttpResponseParser(self)

    @property
    def ends_with_connection(self) -> bool:
        """Whether the answer states no length, so that the connection's end completes it."""
        return self._headers_done and not self._has_length and not self.complete

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :raises AnswerCutError: when they are not an HTTP answer.
        :raises ForeignAnswerError: when they hold an answer that may be another request's.
        :raises AnswerTooLongError: when they exceed a limit.
        """
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade as error:
            raise AnswerCutError("switches protocols, which no request asked for") from error
        except HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, BuffersFullError):
                raise self._too_long(f"no memory for an answer of {cause}") from None
            if isinstance(cause, AnswerCutError):
                raise cause from None
            if not self.complete:
                raise AnswerCutError(f"not an answer: {error}") from error
            self.excess = True
        if not self.complete and exceeds_framing(
            self._received_bytes, self._body_bytes, self.body_parts, MAX_HEAD_BYTES
        ):
            raise self._too_long("head or framing of an answer is too long")

    def finish(self) -> None:
        """Complete the answer; the connection can't be reused.

        :raises ForeignAnswerError: unless it is certainly the request's own.
        """
        if self._match(self.answer) is not AnswerMatch.OWN:
            raise ForeignAnswerError("answer to another request")
        self._complete()
        self.keep_alive = False

    def close(self) -> None:
        """Free the memory of an incomplete answer.

        The parser refers to this object, so both would otherwise wait for the garbage collector.
        """
        self._parser = None
        if not self.complete:
            self._body = bytearray()
            self._buffer.close()

    def on_message_begin(self) -> None:
        if self.complete:
            self.excess = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete or self._headers_done:
            return
        if name.lower() in {b"content-length", b"transfer-encoding"}:
            self._has_length = True
        self._buffer.grow(len(name) + len(value) + FIELD_BYTES)
        self.answer.headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        version = self._parser.get_http_version()
        if not version.startswith("1."):
            raise AnswerCutError(f"not an answer: version {version}")
        status = self._parser.get_status_code()
        if status not in STATUSES:
            raise AnswerCutError(f"not an answer: status {status:03}")
        self.answer.status = status
        self.keep_alive = self._parser.should_keep_alive()
        self._headers_done = True
        if self._head_only and self.answer.status >= 200:
            self.finish()

    def on_body(self, body: bytes) -> None:
        if self.complete:
            return
        if self.answer.status < 200:
            raise AnswerCutError("not an answer: interim, with a body")
        self._body_bytes += len(body)
        self.body_parts += 1
        if self._body_bytes > self._max_body_bytes:
            raise self._too_long(f"body of over {self._max_body_bytes} bytes")
        self._buffer.grow(len(body))
        self._body += body

    def on_message_complete(self) -> None:
        if self.complete:
            return
        if self.answer.status < 200:  # an interim answer, which the final answer follows
            self._drop_answer()
            return
        match = self._match(self.answer)
        if match is AnswerMatch.EARLIER:
            self._drop_answer()
            return
        if match is AnswerMatch.UNKNOWN:
            raise ForeignAnswerError("answer to another request")
        self._complete()

    def _complete(self) -> None:
        self.answer.body = bytes(self._body)
        self.answer.buffer = self._buffer
        self._body = bytearray()
        self.complete = True

    def _too_long(self, cause: str) -> AnswerTooLongError:
        return AnswerTooLongError(cause, self._body_bytes)

    def _drop_answer(self) -> None:
        self.answer = WireAnswer()
        self._headers_done = self._has_length = False
        self._body = bytearray()
        self._buffer = PROCESS_BUFFERS.open()


_KEEPALIVE_OPTIONS = (
    (stdlib_socket.SOL_SOCKET, stdlib_socket.SO_KEEPALIVE, 1),
    (stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_KEEPIDLE, 1),  # seconds
    (stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_KEEPINTVL, 1),  # seconds
    (stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_KEEPCNT, 30),
)


class HttpConnection:
    """A connection to one address.

    ``reusable`` is true when the last exchange left the connection ready for another one.
    ``number`` identifies the connection within this process, and ``exchanges`` counts the
    requests that were sent on it. ``request_ids`` holds the ids of the latest ones.
    """

    def __init__(self, address: HostPort) -> None:
        self.address = address
        self.number = next(_numbers)
        self.exchanges = 0
        self.request_ids: deque[bytes] = deque(maxlen=KEPT_IDS)
        self.reusable = False
        self.idle_timeout_s = 0.0  # stated in Keep-Alive by the last answer; 0: not stated
        self.idle_since_s = 0.0
        self._socket: Any = None

    def open(self, timeout_s: float) -> None:
        """Connect.

        :raises NotConnectedError: when that fails or takes longer than ``timeout_s``.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = sock
        sock.settimeout(timeout_s)
        try:
            sock.connect(self.address)
        except OSError as error:
            self.abort()
            refused = isinstance(error, ConnectionRefusedError)
            raise NotConnectedError(str(error) or type(error).__name__, refused) from error
        except BaseException:
            self.abort()
            raise
        sock.settimeout(None)

    @property
    def is_new(self) -> bool:
        """Whether the connection has not been idle between two requests yet."""
        return not self.idle_since_s

    def is_usable(self) -> bool:
        """Return whether an idle connection is open and has no unread bytes.

        Bytes that arrive while no request is open belong to no request.
        """
        if self._socket is None:
            return False
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
        return not poll.poll(0)

    def closed_by_peer(self) -> bool:
        """Return whether the peer closed the connection, even if unread bytes remain."""
        if self._socket is None:
            return True
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def _was_reset(self) -> bool:
        """Return whether the connection was reset.

        The kernel reports a reset to one call only, which may have been that of the task that
        sends; to others it looks like an ordinary end. But the state of the connection shows it.
        """
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLHUP)
        return bool(poll.poll(0))

    @property
    def has_unacknowledged(self) -> bool:
        """Whether the peer's machine is known not to have acknowledged all that was sent."""
        return self._socket is not None and bool(unacknowledged_bytes(self._socket))

    def discard_after(self, limit_ms: float) -> None:
        """Have the kernel reset the connection rather than send bytes late.

        It does so when the connection is closed, also by the end of this process, and when sent
        bytes stay unacknowledged for ``limit_ms``, also while this process doesn't run.
        """
        linger = (stdlib_socket.SOL_SOCKET, stdlib_socket.SO_LINGER, _RESET_ON_CLOSE)
        timeout = (stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_USER_TIMEOUT, int(limit_ms))
        for level, option, value in (linger, timeout):
            with suppress(OSError):
                self._socket.setsockopt(level, option, value)

    def enable_keepalive(self) -> None:
        """Have the kernel send a keepalive probe every second.

        A machine that restarted answers the probe with a reset, which closes the connection. A
        machine that is down does not answer; the kernel closes the connection only after 30
        unanswered probes, or after the limit of :meth:`discard_after` while sent bytes are
        unacknowledged.
        """
        for level, option, value in _KEEPALIVE_OPTIONS:
            with suppress(OSError):
                self._socket.setsockopt(level, option, value)
        if not self.has_unacknowledged:
            # Any other value would decide when the probes give up, in place of their number.
            with suppress(OSError):
                self._socket.setsockopt(
                    stdlib_socket.IPPROTO_TCP, stdlib_socket.TCP_USER_TIMEOUT, 0
                )

    def exchange(
        self,
        method: bytes,
        payload: bytes,
        keep_open_on_timeout: bool = False,
        match: MatchAnswer = _match_by_order,
        body: bytes = b"",
        max_body_bytes: int = MAX_CONTROL_BODY_BYTES,
    ) -> WireAnswer:
        """Send one request and read its answer; the caller limits the time by ``gevent.Timeout``.

        Without a complete answer the connection is closed with a reset, so that
        bytes in transit cannot arrive later.

        :param keep_open_on_timeout: whether the connection stays open after a timeout. It is not
            used for further requests, but its closing shows that the peer's process ended.
        :param match: returns which request an answer belongs to. Answers to earlier requests are
            dropped; by default, each answer is taken for the request's own.
        :param body: sent after ``payload``, without a copy if it is large.
        :param max_body_bytes: the longest body of an answer.
        :raises AnswerTooLongError: when the answer exceeds a limit, or the memory that the
            process has left for it.
        :raises ForeignAnswerError: when an answer may belong to another request.
        :raises AnswerCutError: when no complete answer was received.
        """
        self.reusable = False
        self.exchanges += 1
        reader = _AnswerReader(method, match, max_body_bytes)
        try:
            all_sent = self._send_and_read(reader, payload, body)
        except OSError as error:
            self.abort()
            if isinstance(error, AnswerCutError):
                raise
            raise AnswerCutError(str(error)) from error
        except gevent.Timeout:
            if not keep_open_on_timeout:
                self.abort()
            raise
        except BaseException:
            self.abort()
            raise
        finally:
            reader.close()
        self.reusable = all_sent and reader.keep_alive and not reader.excess
        self._note_idle_timeout(reader.answer)
        return reader.answer

    def _send_and_read(self, reader: _AnswerReader, payload: bytes, body: bytes) -> bool:
        if len(payload) + len(body) <= LARGE_PAYLOAD_BYTES:
            self._socket.sendall(payload + body)
            self._read(reader)
            return True
        sender = gevent.spawn(self._send_ignoring_errors, payload, body)
        try:
            self._read(reader)
            return bool(sender.ready() and sender.value)
        finally:
            sender.kill(block=False)

    def _send_ignoring_errors(self, *parts: bytes) -> bool:
        with suppress(OSError):
            for part in parts:
                self._socket.sendall(part)
            return True
        return False

    def _read(self, reader: _AnswerReader) -> None:
        while not reader.complete:
            data = self._socket.recv(READ_BYTES)
            if data:
                first_part = reader.body_parts
                reader.feed(data)
                if not reader.complete:
                    # Bytes may be there at once, again and again: others need their turn, and so
                    # does the timeout of this exchange.
                    give_turn(reader.body_parts - first_part)
            elif reader.ends_with_connection and not self._was_reset():
                reader.finish()
            else:
                raise AnswerCutError("closed before a whole answer")

    def _note_idle_timeout(self, answer: WireAnswer) -> None:
        self.idle_timeout_s = 0.0
        value = answer.get(b"keep-alive") or b""
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.idle_timeout_s = float(number)

    def close(self) -> None:
        """Close the connection; bytes in transit may still arrive."""
        sock, self._socket = self._socket, None
        if sock is not None:
            with suppress(OSError):
                sock.close()

    def abort(self) -> None:
        """Close the connection with a reset, so that bytes in transit are dropped."""
        sock = self._socket
        if sock is not None:
            with suppress(OSError):
                sock.setsockopt(stdlib_socket.SOL_SOCKET, stdlib_socket.SO_LINGER, _RESET_ON_CLOSE)
        self.close()
