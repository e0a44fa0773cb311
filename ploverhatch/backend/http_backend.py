"""Client of the back ends' HTTP protocol."""

import json
from typing import Any

from typing_extensions import override

from ploverhatch.backend.interface import (
    BackendAnswerLostError,
    BackendClient,
    BackendReply,
    BackendRequest,
    BackendUnreachableError,
    ProbeReply,
    Refusal,
)
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.keyspace import SliceRange
from ploverhatch.ownership.messages import SyncReply, SyncRequest
from ploverhatch.transport.http_client import (
    AnswerLostError,
    HttpAnswer,
    HttpClient,
    NotSentError,
)
from ploverhatch.transport.http_connection import HostPort, HttpConnection, NotConnectedError

CONTROL_CONNECTIONS = 2
HEADER_GROUP = "Slice-Group"
HEADER_HASH = "Slice-Key-Hash"
HEADER_TOKEN = "Slice-Token"
HEADER_NOT_AFTER = "Slice-Not-After"
HEADER_BUDGET = "Request-Budget-Ms"
HEADER_REQUEST_ID = "Request-Id"
HEADER_REFUSAL = "slice-refusal"
HEADER_CLOCK = "slice-clock"
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "proxy-authenticate",
        "proxy-authorization",
        "content-length",
        "host",
        "date",
        "server",
    }
)
_OWN_HEADERS = frozenset({HEADER_REFUSAL, HEADER_CLOCK})


def range_to_json(span: SliceRange) -> list[Any]:
    """Return a range as a JSON array; hashes are strings, to keep all 64 bits."""
    return [span.group, str(span.first), str(span.last)]


def range_from_json(row: list[Any]) -> SliceRange:
    """Return the range of a JSON array that ``range_to_json`` returned."""
    return SliceRange(row[0], int(row[1]), int(row[2]))


class HttpBackend(BackendClient):
    """Client of one back end; control calls and requests use separate connections."""

    def __init__(self, host: str, port: int, connections: int) -> None:
        self._address = HostPort(host, port)
        self._requests = HttpClient(host, port, connections)
        self._control = HttpClient(host, port, CONTROL_CONNECTIONS)

    @override
    def close(self) -> None:
        self._requests.close()
        self._control.close()

    @override
    def sync(self, request: SyncRequest, timeout_s: float) -> SyncReply:
        document = {
            "epoch": request.epoch,
            "term": request.term,
            "sequence": request.sequence,
            "boot_id": request.boot_id,
            "expires_clock_ms": request.expires_clock_ms,
            "full": request.full,
            "grants": [[*range_to_json(item.range), str(item.token)] for item in request.grants],
            "revokes": [range_to_json(span) for span in request.revokes],
        }
        reply = self._control_call("/control/sync", document, timeout_s)
        return SyncReply(
            accepted=bool(reply["accepted"]),
            boot_id=reply["boot_id"],
            clock_ms=float(reply["clock_ms"]),
            busy=tuple(range_from_json(row) for row in reply["busy"]),
            draining=bool(reply["draining"]),
        )

    @override
    def probe(self, timeout_s: float) -> ProbeReply:
        reply = self._control_call("/control/probe", {}, timeout_s)
        return ProbeReply(
            healthy=bool(reply["healthy"]),
            load=float(reply["load"]),
            clock_ms=float(reply["clock_ms"]),
            received_ms=elapsed_ms(),
        )

    @override
    def cancel(self, request_id: str, timeout_s: float) -> bool:
        reply = self._control_call("/control/cancel", {"request_id": request_id}, timeout_s)
        return bool(reply["never_ran"])

    @override
    def has_ended(self, timeout_s: float) -> bool:
        # Opens a new connection. A persistent one also breaks when the process ends, but possibly
        # later than other connections, and its failure doesn't show whether a process still
        # listens.
        connection = HttpConnection(self._address)
        try:
            connection.open(timeout_s)
        except NotConnectedError as error:
            return error.refused
        connection.close()
        return False

    def _control_call(self, path: str, document: dict[str, Any], timeout_s: float) -> Any:
        headers = {"Content-Type": "application/json"}
        payload = json.dumps(document).encode()
        answer = self._control.exchange("POST", path, headers, payload, timeout_s)
        if answer.status != 200:
            raise ConnectionError(f"status {answer.status}")
        return answer.json()

    @override
    def send(self, request: BackendRequest) -> BackendReply:
        headers = dict(request.headers)
        headers[HEADER_GROUP] = request.group
        headers[HEADER_HASH] = str(request.key_hash)
        headers[HEADER_TOKEN] = str(request.token)
        headers[HEADER_NOT_AFTER] = str(request.not_after_ms)
        headers[HEADER_BUDGET] = str(int(request.budget_ms))
        headers[HEADER_REQUEST_ID] = request.request_id
        try:
            answer = self._requests.exchange(
                request.method, request.target, headers, request.body, request.budget_ms / 1000
            )
        except NotSentError as error:
            raise BackendUnreachableError(str(error)) from error
        except AnswerLostError as error:
            raise BackendAnswerLostError(str(error), error.timed_out) from error
        return _reply(answer)


def _reply(answer: HttpAnswer) -> BackendReply:
    headers = answer.headers
    return BackendReply(
        refusal=Refusal(headers.get(HEADER_REFUSAL, "")),
        status=answer.status,
        headers=tuple(
            (name, value)
            for name, value in answer.fields
            if name not in HOP_HEADERS and name not in _OWN_HEADERS
        ),
        body=answer.body,
        clock_ms=float(headers.get(HEADER_CLOCK, "0")),
        received_ms=elapsed_ms(),
    )
