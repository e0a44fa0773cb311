"""WSGI helpers of the HTTP services."""

import http.client
import json
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import urlsplit

from ploverhatch.common.problem import HttpReply
from ploverhatch.transport.http_server import TARGET_KEY

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]


class BodyTooLargeError(ValueError):
    """The body is longer than the limit."""


def send_reply(reply: HttpReply, start_response: StartResponse) -> Iterable[bytes]:
    """Start a WSGI response and return its body."""
    reason = http.client.responses.get(reply.status, "Unknown")
    start_response(f"{reply.status} {reason}", list(reply.headers))
    return [reply.body]


def read_body(environ: Environ, limit: int) -> bytes:
    """Read a whole body.

    :raises BodyTooLargeError: when the body is longer than ``limit`` bytes.
    """
    length = environ.get("CONTENT_LENGTH")
    if length and int(length) > limit:
        raise BodyTooLargeError(length)
    if not length and environ.get("HTTP_TRANSFER_ENCODING", "").lower() != "chunked":
        return b""
    body: bytes = environ["wsgi.input"].read(limit + 1)
    if len(body) > limit:
        raise BodyTooLargeError(str(len(body)))
    return body


def read_json(environ: Environ, limit: int = 4 << 20) -> Any:
    """Parse a JSON body; an empty body is read as an empty object.

    :raises BodyTooLargeError: when the body is longer than ``limit`` bytes.
    :raises ValueError: when the body is not JSON.
    """
    body = read_body(environ, limit)
    return json.loads(body) if body else {}


def request_headers(environ: Environ) -> dict[str, str]:
    """Return the header fields with names in lower case."""
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    for name in ("CONTENT_TYPE", "CONTENT_LENGTH"):
        if environ.get(name):
            headers[name.replace("_", "-").lower()] = environ[name]
    return headers


def request_target(environ: Environ) -> tuple[str, str]:
    """Return path and query as they were sent, still percent-encoded."""
    target = str(environ[TARGET_KEY])
    if not target.startswith("/"):
        parts = urlsplit(target)
        return parts.path or "/", parts.query
    path, _, query = target.partition("?")
    return path, query


def as_application(handler: Callable[[Environ], HttpReply]) -> Application:
    """Return a WSGI application that answers with the reply of ``handler``."""

    def application(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        return send_reply(handler(environ), start_response)

    return application
