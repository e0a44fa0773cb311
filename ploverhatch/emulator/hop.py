"""Baseline for benchmarks: an HTTP proxy without policy, tokens, limits or records.

The cost of the router is given as a ratio to the cost of this proxy in the same run.
"""

from ploverhatch.common.problem import HttpReply
from ploverhatch.emulator.service import Service
from ploverhatch.transport.http_client import HttpClient
from ploverhatch.transport.wsgi import (
    Environ,
    read_body,
    request_headers,
    request_target,
)

CONNECTIONS = 100
MAX_BODY_BYTES = 1 << 20
TIMEOUT_S = 10.0
_HOP_HEADERS = frozenset({"host", "connection", "content-length", "transfer-encoding", "date"})


class BaselineProxy(Service):
    """Forwards every request to one target address."""

    def __init__(self, address: tuple[str, int], target: tuple[str, int]) -> None:
        self._client = HttpClient(*target, CONNECTIONS)
        super().__init__(address, self._handle)

    def _handle(self, environ: Environ) -> HttpReply:
        path, query = request_target(environ)
        headers = {
            name: value
            for name, value in request_headers(environ).items()
            if name not in _HOP_HEADERS
        }
        answer = self._client.exchange(
            environ["REQUEST_METHOD"],
            f"{path}?{query}" if query else path,
            headers,
            read_body(environ, MAX_BODY_BYTES),
            TIMEOUT_S,
        )
        fields = tuple(item for item in answer.fields if item[0] not in _HOP_HEADERS)
        length = ("Content-Length", str(len(answer.body)))
        return HttpReply(answer.status, (*fields, length), answer.body)
