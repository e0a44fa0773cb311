"""The platform's header fields and control calls."""

import math

import msgspec
from typing_extensions import override

from ploverhatch.common.logs import PartLogger
from ploverhatch.common.results import NOT_RUN_STATUSES
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
from ploverhatch.routing.execution import ExecutionProof
from ploverhatch.routing.gateway_attempts import AttemptResult
from ploverhatch.state.incarnations import registered_name
from ploverhatch.state.server_notices import NO_LIMIT, NO_NOTICE, ServerNotice
from ploverhatch.transport.http_connection import WireAnswer

LOG = PartLogger("platform")

KEY_LIMIT = 65_536
LEAVING_VALUE = b"1"
PACE_FIELD = 3  # of Server-Load, after the requests running and waiting and the slots
MAX_LOGGED_VALUES = 16  # distinct malformed values that are logged, each once
_HOP_BY_HOP = frozenset(
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
_SERVER_ERRORS = frozenset({500, 502, 504})
_DENIALS = frozenset({b"", b"0", b"false", b"no"})  # values of a field that deny what it states


class PlatformDialect(Dialect):
    """Reads and writes header fields and control calls as PROTOCOL.md defines them."""

    def __init__(self) -> None:
        self._logged_values: set[bytes] = set()

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
    def encode_head(self, request: CallerRequest, server_id: str, remaining_ms: float) -> bytes:
        dropped = _HOP_BY_HOP | _REPLACED | _named_by_connection(request.headers)
        rows = [request.method + b" " + request.target + b" HTTP/1.1"]
        rows += [
            name + b": " + value for name, value in request.headers if name.lower() not in dropped
        ]
        rows.append(b"Request-Deadline-Ms: %d" % max(1, int(remaining_ms)))
        rows.append(b"Expect-Instance: " + _instance(server_id))
        if request.body or request.method in {b"POST", b"PUT", b"PATCH"}:
            rows.append(b"Content-Length: %d" % len(request.body))
        return b"\r\n".join(rows) + b"\r\n\r\n"

    @override
    def answered_id(self, answer: WireAnswer) -> bytes:
        return answer.get(names.REQUEST_ID) or b""

    @override
    def execution_proof(
        self, facts: RequestFacts, server_id: str, answer: WireAnswer
    ) -> ExecutionProof:
        answered_id = answer.get(names.REQUEST_ID)
        sealed = answer.get(names.SEAL) is not None
        if answered_id is not None and answered_id != facts.request_id:
            return ExecutionProof.NONE  # The answer belongs to another request.
        other_server = answer.status == 421 and _is_of_other_instance(server_id, answer)
        if other_server or _states_not_executed(answer):
            # Only a run yields a seal or a success, so such an answer contradicts itself.
            if sealed or answer.status < 400:
                return ExecutionProof.NONE
            return ExecutionProof.OTHER_SERVER if other_server else ExecutionProof.NOT_RUN
        if sealed and answered_id is not None:
            return ExecutionProof.RAN
        return ExecutionProof.NONE

    @override
    def classify_answer(
        self, facts: RequestFacts, server_id: str, answer: WireAnswer
    ) -> AttemptResult:
        proof = self.execution_proof(facts, server_id, answer)
        if proof is ExecutionProof.OTHER_SERVER:
            return AttemptResult.WRONG_INSTANCE
        if proof is ExecutionProof.NOT_RUN:
            return AttemptResult.NOT_HOLDER if answer.status == 421 else AttemptResult.DECLINED
        if proof is ExecutionProof.NONE:
            return AttemptResult.LOST
        failed = answer.status in _SERVER_ERRORS or answer.status in NOT_RUN_STATUSES
        return AttemptResult.SERVER_ERROR if failed else AttemptResult.ANSWERED

    @override
    def notice(self, request_id: bytes, server_id: str, answer: WireAnswer) -> ServerNotice:
        answered_id = answer.get(names.REQUEST_ID)
        if answered_id is not None and answered_id != request_id:
            return NO_NOTICE
        instance = answer.get(names.INSTANCE)
        if instance is not None and instance != _instance(server_id):
            return NO_NOTICE
        leaving = answer.get(names.LEAVING)
        backoff_s = 0.0
        if answer.status == 503:
            values = [value for name, value in answer.headers if name.lower() == names.RETRY_AFTER]
            backoff_s = max(map(self._backoff_s, values), default=0.0)
        is_leaving = leaving is not None and leaving.strip() == LEAVING_VALUE
        return ServerNotice(
            is_leaving,
            backoff_s * 1000,
            self._limit_per_s(answered_id, answer),
            self._pace(answer),
        )

    def _pace(self, answer: WireAnswer) -> float | None:
        """Return the fourth figure of ``Server-Load``, ``None`` where it is missing."""
        figures = (answer.get(names.LOAD) or b"").split(b",")
        if len(figures) <= PACE_FIELD:
            return None
        return self._quantity(figures[PACE_FIELD], "Server-Load field of a server is malformed.")

    def _backoff_s(self, value: bytes) -> float:
        """Return the seconds of a ``Retry-After`` value, which may have a fraction.

        A value that is not a number of 0 or more counts as 0.
        """
        return self._quantity(value, "Retry-After field of a server is malformed.") or 0.0

    def _limit_per_s(self, answered_id: bytes | None, answer: WireAnswer) -> float | None:
        """Return the limit of ``Server-Limit`` in requests per second, or the lowest of several.

        If the answer to a request that ran lacks the field, its server announces no rate limit,
        and ``NO_LIMIT`` is returned. If any other answer lacks the field, or no value is
        well-formed, ``None`` is returned: the limit announced before stays in force.
        """
        announced = [value for name, value in answer.headers if name.lower() == names.LIMIT]
        if not announced:
            ran = answered_id is not None and answer.get(names.SEAL) is not None
            return NO_LIMIT if ran else None
        values = [part for value in announced for part in value.split(b",")]
        limits = [
            self._quantity(value, "Server-Limit field of a server is malformed.")
            for value in values
        ]
        return min((per_s for per_s in limits if per_s is not None), default=None)

    def _quantity(self, value: bytes, message: str) -> float | None:
        """Read a finite number of 0 or more, in any form that ``float`` accepts.

        For any other value, ``message`` is logged, once per value, and ``None`` is returned.
        """
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if math.isfinite(number) and number >= 0:
            return number
        if value not in self._logged_values and len(self._logged_values) < MAX_LOGGED_VALUES:
            self._logged_values.add(value)
            LOG.warning(message, value=value[:40].decode("latin-1"))
        return None

    @override
    def reply_headers(self, answer: WireAnswer) -> HeaderList:
        dropped = _HOP_BY_HOP | _named_by_connection(answer.headers)
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


def _states_not_executed(answer: WireAnswer) -> bool:
    value = answer.get(names.NOT_EXECUTED)
    return value is not None and value.strip().lower() not in _DENIALS


def _is_of_other_instance(server_id: str, answer: WireAnswer) -> bool:
    instance = answer.get(names.INSTANCE)
    return instance is not None and instance != _instance(server_id)


def _instance(server_id: str) -> bytes:
    """Return the id under which the platform registers the server of an incarnation."""
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
    # int() refuses text of more than 4,300 digits; float() accepts any length.
    if not value.isdigit() or float(value) >= KEY_LIMIT:
        raise MalformedRequestError("key is not a number below 65536")
    return int(float(value))


def _named_by_connection(headers: HeaderList) -> frozenset[bytes]:
    listed: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            listed.update(part.strip().lower() for part in value.split(b","))
    return frozenset(listed) if listed else _NO_NAMES


_NO_NAMES: frozenset[bytes] = frozenset()
