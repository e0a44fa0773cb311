"""Client of the platform's HTTP/JSON object API."""

import json
from typing import Any
from urllib.parse import quote, urlsplit

from typing_extensions import override

from ploverhatch.store.interface import (
    ChangeUnknownError,
    HistoryCompactedError,
    Machine,
    ObjectList,
    PlatformStore,
    StoredObject,
    StoreUnavailableError,
    VersionConflictError,
)
from ploverhatch.transport.http_client import (
    AnswerLostError,
    HttpAnswer,
    HttpClient,
    NotSentError,
)

CONNECTIONS = 8
CALL_TIMEOUT_S = 2.0
_REFUSED_STATUSES = frozenset({400, 404, 429, 503})


def _stored_object(item: dict[str, Any]) -> StoredObject:
    return StoredObject(
        kind=item["kind"],
        name=item["name"],
        version=int(item["version"]),
        body=item.get("body") or {},
        operation=item.get("operation", ""),
        deleted=bool(item.get("deleted", False)),
    )


class HttpPlatformStore(PlatformStore):
    """Client of the platform at one base URL."""

    def __init__(self, url: str, timeout_s: float = CALL_TIMEOUT_S) -> None:
        parts = urlsplit(url)
        self._client = HttpClient(parts.hostname or "", parts.port or 80, CONNECTIONS)
        self._timeout_s = timeout_s

    @override
    def get(self, kind: str, name: str) -> StoredObject | None:
        answer = self._read(_path(kind, name), accept=(200, 404))
        return None if answer.status == 404 else _stored_object(_document(answer))

    @override
    def list(self) -> ObjectList:
        return _object_list(_document(self._read("/v1/objects")))

    @override
    def put(
        self, kind: str, name: str, body: dict[str, Any], expected: int, operation: str
    ) -> StoredObject:
        payload = json.dumps({"operation": operation, "body": body}).encode()
        answer = self._change("PUT", _path(kind, name), expected, payload)
        return _stored_object(answer.json())

    @override
    def delete(self, kind: str, name: str, expected: int, operation: str) -> int:
        payload = json.dumps({"operation": operation}).encode()
        answer = self._change("DELETE", _path(kind, name), expected, payload)
        return int(answer.json()["revision"])

    @override
    def watch(self, after: int, wait_s: float) -> ObjectList:
        target = f"/v1/watch?after={after}&wait_ms={int(wait_s * 1000)}"
        answer = self._read(target, accept=(200, 410), extra_s=wait_s)
        if answer.status == 410:
            raise HistoryCompactedError
        return _object_list(_document(answer))

    @override
    def machines(self) -> tuple[Machine, ...]:
        rows = _document(self._read("/v1/machines"))["machines"]
        return tuple(
            Machine(row["name"], row["host"], int(row["port"]), row["state"] == "leaving")
            for row in rows
        )

    def _read(
        self, target: str, accept: tuple[int, ...] = (200,), extra_s: float = 0.0
    ) -> HttpAnswer:
        try:
            answer = self._client.exchange("GET", target, timeout_s=self._timeout_s + extra_s)
        except (NotSentError, AnswerLostError) as error:
            raise StoreUnavailableError(str(error)) from error
        if answer.status not in accept:
            raise StoreUnavailableError(f"status {answer.status}")
        return answer

    def _change(self, method: str, target: str, expected: int, payload: bytes) -> HttpAnswer:
        condition = {"If-Match": f'"{expected}"'} if expected else {"If-None-Match": "*"}
        headers = {"Content-Type": "application/json", **condition}
        try:
            answer = self._client.exchange(method, target, headers, payload, self._timeout_s)
        except NotSentError as error:
            raise StoreUnavailableError(str(error)) from error
        except AnswerLostError as error:
            raise ChangeUnknownError(str(error)) from error
        if answer.status == 412:
            current = answer.json().get("current")
            raise VersionConflictError(_stored_object(current) if current else None)
        if answer.status in _REFUSED_STATUSES:
            raise StoreUnavailableError(f"status {answer.status}")
        if answer.status != 200:
            # With any other status the change may have taken effect.
            raise ChangeUnknownError(f"status {answer.status}")
        return answer


def _path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _document(answer: HttpAnswer) -> dict[str, Any]:
    """Parse the answer to a read.

    :raises StoreUnavailableError: when the body is not a JSON object, or is nested too deeply
        for the parser.
    """
    try:
        return dict(answer.json())
    except (ValueError, TypeError, RecursionError) as error:
        raise StoreUnavailableError(f"not understood: {error}") from error


def _object_list(document: dict[str, Any]) -> ObjectList:
    items = tuple(_stored_object(item) for item in document["items"])
    return ObjectList(int(document["revision"]), items)
