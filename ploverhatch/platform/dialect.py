"""The platform's header fields and control calls."""

import math

import msgspec
from typing_extensions import override

from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway.dialect import (
    Dialect,
    GrantCall,
    GrantRefusedError,
    MalformedRequestError,
    OtherInstanceError,
    ReleaseCall,
)
from ploverhatch.gateway.messages import CallerRequest, HeaderList, RequestFacts
from ploverhatch.platform import names
from ploverhatch.routing.attempt_outcome import AttemptResult
from ploverhatch.state.incarnations import registered_name
from ploverhatch.state.server_notices import NO_LIMIT, NO_NOTICE, ServerNotice
from ploverhatch.transport.http_connection import WireAnswer

LOG = PartLogger("platform")

KEY_LIMIT = 65_536
LEAVING_YES = b"1"
MOST_MISREAD = 16  # values of a field that are logged, each once
_SINGLE_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
_REPLACED = frozenset({names.DEADLINE, names.EXPECT_INSTANCE})
_SERVER_FAULTS = frozenset({500, 502, 504})


class PlatformDialect(Dialect):
    """Header fields as PROTOCOL.md states them."""

    def __init__(self) -> None:
        self._misread: set[bytes] = set()

    @override
    def facts(self, request: CallerRequest) -> RequestFacts:
        found: dict[bytes, bytes] = {}
        for name, value in request.headers:
            found.setdefault(name.lower(), value)
        return RequestFacts(
            host=_bare_host(found.get(b"host", b"")),
            request_id=found.get(names.REQUEST_ID, b""),
            deadline_ms=_number(found.get(names.DEADLINE), "deadline"),
            shard_key=_key(found.get(names.SHARD_KEY)),
            credentials=found.get(names.API_KEY) or found.get(names.AUTHORIZATION, b""),
        )

    @override
    def encode_request(self, request: CallerRequest, server_id: str, remaining_ms: float) -> bytes:
        dropped = _SINGLE_HOP | _REPLACED | _named_by_connection(request.headers)
        rows = [request.method + b" " + request.target + b" HTTP/1.1"]
        rows += [
            name + b": " + value for name, value in request.headers if name.lower() not in dropped
        ]
        rows.append(b"Request-Deadline-Ms: %d" % max(1, int(remaining_ms)))
        rows.append(b"Expect-Instance: " + _instance(server_id))
        if request.body or request.method in {b"POST", b"PUT", b"PATCH"}:
            rows.append(b"Content-Length: %d" % len(request.body))
        return b"\r\n".join(rows) + b"\r\n\r\n" + request.body

    @override
    def classify_answer(
        self, facts: RequestFacts, server_id: str, answer: WireAnswer
    ) -> AttemptResult:
        status = answer.status
        answered_id = answer.get(names.REQUEST_ID)
        if answered_id is not None and answered_id != facts.request_id:
            return AttemptResult.LOST  # an answer to some other request
        if status == 421:
            return self._judge_misdirected(server_id, answer)
        if answer.get(names.NOT_EXECUTED) is not None:
            return AttemptResult.DECLINED
        if 200 <= status < 300:
            sealed = answer.get(names.SEAL) is not None and answered_id is not None
            return AttemptResult.ANSWERED if sealed else AttemptResult.LOST
        if answer.get(names.SEAL) is None or answered_id is None:
            return AttemptResult.LOST
        if status in _SERVER_FAULTS:
            return AttemptResult.SERVER_ERROR
        return AttemptResult.ANSWERED

    def _judge_misdirected(self, server_id: str, answer: WireAnswer) -> AttemptResult:
        instance = answer.get(names.INSTANCE)
        if instance is not None and instance != _instance(server_id):
            return AttemptResult.WRONG_INSTANCE
        return AttemptResult.NOT_HOLDER

    @override
    def notice(self, request_id: bytes, server_id: str, answer: WireAnswer) -> ServerNotice:
        answered_id = answer.get(names.REQUEST_ID)
        if answered_id is not None and answered_id != request_id:
            return NO_NOTICE
        instance = answer.get(names.INSTANCE)
        if instance is not None and instance != _instance(server_id):
            return NO_NOTICE
        leaving = answer.get(names.LEAVING)
        rest_s = 0.0
        if answer.status == 503:
            asked = [value for name, value in answer.headers if name.lower() == names.RETRY_AFTER]
            rest_s = max(map(self._rest_s, asked), default=0.0)
        says_it_leaves = leaving is not None and leaving.strip() == LEAVING_YES
        return ServerNotice(says_it_leaves, rest_s * 1000, self._limit_per_s(answered_id, answer))

    def _rest_s(self, value: bytes) -> float:
        """Read ``Retry-After``: seconds, fractions included; 0 where it is anything else."""
        return self._quantity(value, "Rest not understood.") or 0.0

    def _limit_per_s(self, answered_id: bytes | None, answer: WireAnswer) -> float | None:
        """Read ``Server-Limit``: requests a second; the least of several counts.

        Only the answer to a request that ran shows that its server names no limit. One with a
        value that can't be read tells nothing, so that the limit named before holds.
        """
        named = [value for name, value in answer.headers if name.lower() == names.LIMIT]
        if not named:
            ran = answered_id is not None and answer.get(names.SEAL) is not None
            return NO_LIMIT if ran else None
        values = [part for value in named for part in value.split(b",")]
        read = [self._quantity(value, "Limit not understood.") for value in values]
        return min((per_s for per_s in read if per_s is not None), default=None)

    def _quantity(self, value: bytes, complaint: str) -> float | None:
        """Read a decimal number of 0 or more; anything else is logged, each value once."""
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if math.isfinite(number) and number >= 0:
            return number
        if value not in self._misread and len(self._misread) < MOST_MISREAD:
            self._misread.add(value)
            LOG.warning(complaint, value=value[:40].decode("latin-1"))
        return None

    @override
    def reply_headers(self, answer: WireAnswer) -> HeaderList:
        dropped = _SINGLE_HOP | _named_by_connection(answer.headers)
        return [(name, value) for name, value in answer.headers if name.lower() not in dropped]

    @override
    def refusal_headers(
        self, facts: RequestFacts | None, retry_after_s: float | None
    ) -> HeaderList:
        headers: HeaderList = []
        if facts is not None and facts.request_id:
            headers.append((b"Request-Id", facts.request_id))
        if retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % retry_after_s))
        return headers

    @override
    def encode_grant(self, call: GrantCall, server_id: str, host: str) -> bytes:
        document: dict[str, object] = {
            "from": call.first,
            "target_version": call.last,
            "fence": call.token,
            "hold_ms": int(call.hold_ms),
        }
        if call.handover:
            document["handover"] = call.handover
        return _post(names.GRANT_PATH, server_id, host, document)

    @override
    def encode_release(self, call: ReleaseCall, server_id: str, host: str) -> bytes:
        document = {"from": call.first, "target_version": call.last, "fence": call.token}
        return _post(names.RELEASE_PATH, server_id, host, document)

    @override
    def read_grant(self, answer: WireAnswer) -> None:
        _check_instance(answer)
        if answer.status == 409:
            raise GrantRefusedError
        if answer.status != 200:
            raise ValueError(f"status {answer.status}")

    @override
    def read_release(self, answer: WireAnswer) -> str:
        _check_instance(answer)
        if answer.status != 200:
            raise ValueError(f"status {answer.status}")
        return (answer.get(names.HANDOVER) or b"").decode("latin-1")


def _instance(server_id: str) -> bytes:
    """Return the id by which the platform knows a life's server."""
    return registered_name(server_id).encode()


def _post(path: bytes, server_id: str, host: str, document: object) -> bytes:
    data = msgspec.json.encode(document)
    rows = [
        b"POST %s HTTP/1.1" % path,
        b"Host: %s" % host.encode(),
        b"Expect-Instance: %s" % _instance(server_id),
        b"Content-Type: application/json",
        b"Content-Length: %d" % len(data),
    ]
    return b"\r\n".join(rows) + b"\r\n\r\n" + data


def _check_instance(answer: WireAnswer) -> None:
    if answer.status == 421:
        raise OtherInstanceError


def _bare_host(value: bytes) -> bytes:
    return value.strip().lower().partition(b":")[0]


def _number(value: bytes | None, name: str) -> float | None:
    if value is None:
        return None
    if not value.isdigit():
        raise MalformedRequestError(f"{name} is not a number")
    return float(value)


def _key(value: bytes | None) -> int | None:
    if value is None:
        return None
    # Python reads no whole number of more than 4,300 digits; a float of any length is read.
    if not value.isdigit() or float(value) >= KEY_LIMIT:
        raise MalformedRequestError("key is not a number below 65536")
    return int(float(value))


def _named_by_connection(headers: HeaderList) -> frozenset[bytes]:
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return frozenset(named) if named else _NONE


_NONE: frozenset[bytes] = frozenset()
