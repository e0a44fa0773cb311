"""HTTP client that sends each request once and reports whether bytes of it were sent.

It uses the connection pool and response parser of geventhttpclient, but not its
``HTTPClient``, which sends a request again when a pooled connection breaks, so that a
server may execute the request twice.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from http.client import HTTPException
from typing import Any

import gevent
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse
from typing_extensions import override

from ploverhatch.transport.http_connection import STATUSES
from ploverhatch.transport.peers import set_no_delay


class NotSentError(ConnectionError):
    """No byte of the request was sent, for example because no connection was available."""


class AnswerLostError(ConnectionError):
    """Bytes of the request may have been sent, but no complete answer was received.

    ``timed_out`` is true when the time limit passed, and false when the connection broke.
    """

    def __init__(self, cause: str, timed_out: bool = False) -> None:
        super().__init__(cause)
        self.timed_out = timed_out


@dataclass(frozen=True)
class HttpAnswer:
    """A complete answer; header names are in lower case, and repeated fields are kept."""

    status: int
    fields: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def headers(self) -> dict[str, str]:
        """Header fields by name; a repeated field has its last value."""
        return dict(self.fields)

    def json(self) -> Any:
        """Parse the body as JSON."""
        return json.loads(self.body)


class _Response(HTTPSocketResponse):
    """A response whose status has to be one of HTTP."""

    @override
    def _on_headers_complete(self) -> int | bool | None:
        if self.status_code not in STATUSES:
            raise HTTPParseError(f"not an answer: status {self.status_code:03}")
        return super()._on_headers_complete()


class _NoDelayPool(ConnectionPool):
    """Connection pool that disables Nagle's algorithm."""

    @override
    def after_connect(self, sock: Any) -> None:
        set_no_delay(sock)


def _encode_head(method: str, target: str, headers: Mapping[str, str], length: int) -> bytes:
    rows = [f"{method} {target} HTTP/1.1"]
    rows += [f"{name}: {value}" for name, value in headers.items()]
    if length or method in {"POST", "PUT", "PATCH"}:
        rows.append(f"Content-Length: {length}")
    return ("\r\n".join(rows) + "\r\n\r\n").encode("latin-1")


class HttpClient:
    """Client with persistent connections to one address.

    A connection is reused only after its answer was read to the end.
    """

    def __init__(
        self, host: str, port: int, connections: int, connect_timeout_s: float = 1.0
    ) -> None:
        self._host_header = f"{host}:{port}"
        self._pool = _NoDelayPool(
            host,
            port,
            host,
            port,
            size=connections,
            connection_timeout=connect_timeout_s,
            network_timeout=None,
            disable_ipv6=":" not in host,
        )

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def exchange(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 5.0,
    ) -> HttpAnswer:
        """Send a request once and read the complete answer.

        :raises NotSentError: when no connection was made in time, the head can't be
            encoded, or the client is closed (the pool raises ``RuntimeError`` then).
        :raises AnswerLostError: when bytes may have been sent and no
            complete answer was received in time.
        """
        sent = False
        sock = None
        try:
            with gevent.Timeout(timeout_s):
                sock = self._pool.get_socket()
                head = {"Host": self._host_header, **(headers or {})}
                data = _encode_head(method, target, head, len(body)) + body
                sent = True
                sock.sendall(data)
                answer = self._read_answer(sock, method)
        except gevent.Timeout as error:
            self._discard(sock)
            if sent:
                raise AnswerLostError("no answer in time", timed_out=True) from error
            raise NotSentError("no connection in time") from error
        except (OSError, ValueError, HTTPException, RuntimeError) as error:
            self._discard(sock)
            if sent:
                raise AnswerLostError(str(error)) from error
            raise NotSentError(str(error)) from error
        except BaseException:
            self._discard(sock)
            raise
        return answer

    def _read_answer(self, sock: Any, method: str) -> HttpAnswer:
        response = _Response(sock, method=method)
        body = bytes(response.read())
        fields = tuple((name.lower(), value) for name, value in response.items())
        answer = HttpAnswer(response.status_code, fields, body)
        if response.should_close():
            self._pool.release_socket(sock)
        else:
            self._pool.return_socket(sock)
        return answer

    def _discard(self, sock: Any) -> None:
        if sock is not None:
            self._pool.release_socket(sock)
