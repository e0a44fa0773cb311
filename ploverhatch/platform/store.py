"""Implements :class:`ObjectStore` with the HTTP API of the platform's metadata store."""

import math
from dataclasses import replace
from typing import Any
from urllib.parse import quote

import gevent
import msgspec
from typing_extensions import override

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.platform import names, pages
from ploverhatch.store import kinds, revisions
from ploverhatch.store.objects import (
    ChangeBatch,
    HistoryDroppedError,
    Listing,
    ObjectChange,
    ObjectStore,
    OutcomeUnknownError,
    RevisionConflictError,
    StoreCallError,
    VersionedObject,
    WatchInterruptedError,
)
from ploverhatch.transport.http_connection import (
    AnswerCutError,
    HostPort,
    HttpConnection,
    NotConnectedError,
    WireAnswer,
)

LOG = PartLogger("store")

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 1.5
WATCH_SLACK_S = 1.5
MAX_IDLE = 3
MAX_ANSWER_BYTES = 8 << 20  # pages hold about 1 MB, and a watch reports few changes at a time
UNKNOWN_ERA = -1  # until an answer states an era
MAX_ERA_DIGITS = 6  # an era counts restores, so a longer number is malformed
NEW_ERA_MS = 10_000.0  # within this time of a restore, a stale read may predate the restore
_KIND_PATHS = {
    kinds.CONFIGURATION: names.KIND_CONFIG,
    kinds.SERVERS: names.KIND_SERVERS,
    kinds.EVACUATIONS: names.KIND_EVACUATIONS,
}


class PlatformObjectStore(ObjectStore):
    """Client with persistent connections; each watched kind has a connection of its own.

    A store that was restored from a snapshot issues the revisions after the snapshot a second
    time. The revisions that this class returns have the store's era as their upper bits: they
    increase monotonically, and no revision from before a restore equals one from after it.
    """

    def __init__(self, address: HostPort) -> None:
        self._address = address
        self._host = f"{address.host}:{address.port}"
        self._idle: list[HttpConnection] = []
        self._watching: set[HttpConnection] = set()
        self._watch_idle: dict[str, HttpConnection] = {}
        self._era = UNKNOWN_ERA
        self._logged_era = b""
        self._era_since_ms = -math.inf  # when an answer first stated a new era

    # ---- interface --------------------------------------------------------------

    @override
    def list_all(self, kind: str, stale: bool = False) -> Listing:
        items: list[VersionedObject] = []
        query = ["stale=1"] if stale else []
        first: tuple[int, int] | None = None
        after = ""
        while True:
            parts = [*query, f"after={quote(after, safe='')}"] if after else query
            answer = self._call("GET", _path(kind), parts)
            self._expect(answer, 200)
            page = pages.read_page(answer.body)
            era = self._era_of(answer)
            if first is None:
                first = era, page.revision
            items += [_in_era(item, era) for item in page.items]
            if era != first[0]:
                raise StoreCallError("store was restored from a snapshot between two pages")
            if stale and self._is_new(era):
                return self.list_all(kind)  # The stale answer may predate the restore.
            if not page.more or not page.items:
                # A watch from this revision reports changes made while later pages were read.
                return Listing(tuple(items), revisions.combine(*first))
            after = page.items[-1].name

    @override
    def get(self, kind: str, name: str) -> VersionedObject | None:
        answer = self._call("GET", _path(kind, name))
        if answer.status == 404:
            return None
        self._expect(answer, 200)
        return _in_era(pages.read_object(answer.body), self._era_of(answer))

    @override
    def watch(self, kind: str, after: int, wait_s: float) -> ChangeBatch:
        asked_era, revision = revisions.split(after)
        if asked_era < self._era:
            raise HistoryDroppedError(kind)
        parts = [f"watch={revision}", f"wait_ms={int(wait_s * 1000)}"]
        connection = self._watch_idle.pop(kind, None)
        if connection is not None and not connection.is_usable():
            connection.close()
            connection = None
        if connection is None:
            connection = self._open()
        self._watching.add(connection)
        try:
            answer = self._exchange(connection, "GET", _path(kind), parts, None, wait_s)
        except StoreCallError as error:
            if connection not in self._watching:
                raise WatchInterruptedError(kind) from error
            raise
        finally:
            self._watching.discard(connection)
        if connection.reusable:
            connection.idle_since_s = elapsed_ms() / 1000
            self._watch_idle[kind] = connection
        else:
            connection.close()
        if answer.status == 410:
            raise HistoryDroppedError(kind)
        self._expect(answer, 200)
        era = self._era_of(answer)
        if era != asked_era:
            raise HistoryDroppedError(kind)
        batch = pages.read_changes(answer.body)
        changes = [ObjectChange(_in_era(item.object, era), item.gone) for item in batch.changes]
        return ChangeBatch(tuple(changes), revisions.combine(era, batch.revision))

    @override
    def create(self, kind: str, name: str, spec: Any) -> VersionedObject:
        body = {"metadata": {"name": name}, "spec": spec}
        return self._change("POST", _path(kind), body)

    @override
    def replace(self, kind: str, name: str, spec: Any, revision: int) -> VersionedObject:
        expected_era, store_revision = revisions.split(revision)
        if expected_era < self._era:
            raise RevisionConflictError(self.get(kind, name))
        body = {"metadata": {"name": name, "revision": store_revision}, "spec": spec}
        item = self._change("PUT", _path(kind, name), body)
        if revisions.split(item.revision)[0] != expected_era:
            # The revision was issued again after the restore: this write replaced another change.
            raise OutcomeUnknownError("store was restored from a snapshot before the write")
        return item

    @override
    def interrupt(self) -> None:
        watching, self._watching = self._watching, set()
        for connection in watching:
            connection.abort()
        for connection in self._watch_idle.values():
            connection.abort()
        self._watch_idle.clear()
        while self._idle:
            self._idle.pop().abort()

    # ---- calls --------------------------------------------------------------------

    def _change(self, method: str, path: str, body: object) -> VersionedObject:
        answer = self._call(method, path, body=body)
        if answer.status == 409:
            current = pages.read_object(answer.body) if answer.body else None
            found = None if current is None else _in_era(current, self._era_of(answer))
            raise RevisionConflictError(found)
        if answer.status == 404:
            raise RevisionConflictError(None)
        if 400 <= answer.status < 500 or answer.status == 503:  # The store did nothing.
            raise StoreCallError(f"status {answer.status}")
        if answer.status not in {200, 201}:
            raise OutcomeUnknownError(f"status {answer.status}")
        try:
            return _in_era(pages.read_object(answer.body), self._era_of(answer))
        except StoreCallError as error:
            raise OutcomeUnknownError(str(error)) from error

    def _call(
        self, method: str, path: str, query: list[str] | None = None, body: object = None
    ) -> WireAnswer:
        connection = self._acquire_connection()
        answer = self._exchange(connection, method, path, query or [], body, 0.0)
        if connection.reusable and len(self._idle) < MAX_IDLE:
            connection.idle_since_s = elapsed_ms() / 1000
            self._idle.append(connection)
        else:
            connection.close()
        return answer

    def _acquire_connection(self) -> HttpConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable():
                return connection
            connection.close()
        return self._open()

    def _open(self) -> HttpConnection:
        connection = HttpConnection(self._address)
        try:
            connection.open(CONNECT_TIMEOUT_S)
        except NotConnectedError as error:
            raise StoreCallError(str(error)) from error
        return connection

    def _exchange(
        self,
        connection: HttpConnection,
        method: str,
        path: str,
        query: list[str],
        body: object,
        extra_s: float,
    ) -> WireAnswer:
        payload = self._encode(method, path, query, body)
        limit_s = extra_s + (WATCH_SLACK_S if extra_s else CALL_TIMEOUT_S)
        failure = StoreCallError if method == "GET" else OutcomeUnknownError
        sent_s = elapsed_ms() / 1000
        try:
            with gevent.Timeout(limit_s):
                answer = connection.exchange(
                    method.encode(), payload, max_body_bytes=MAX_ANSWER_BYTES
                )
            self._note_era(answer)
            return answer
        except gevent.Timeout as error:
            self._abort_idle_since(sent_s)
            raise failure("no answer in time") from error
        except AnswerCutError as error:
            raise failure(str(error)) from error

    def _abort_idle_since(self, sent_s: float) -> None:
        """Abort the connections that answered nothing since a call that got no answer was sent.

        All that were open may have gone silent together. Each one that is used again would take
        a whole time limit to show it, while new ones may work.
        """
        kept = [connection for connection in self._idle if connection.idle_since_s > sent_s]
        watching = {
            kind: connection
            for kind, connection in self._watch_idle.items()
            if connection.idle_since_s > sent_s
        }
        for connection in (*self._idle, *self._watch_idle.values()):
            if connection.idle_since_s <= sent_s:
                connection.abort()
        self._idle, self._watch_idle = kept, watching

    def _era_of(self, answer: WireAnswer) -> int:
        """Return the era of an answer, or the last known era if the answer states none."""
        value = answer.get(names.ERA) or b""
        era = int(value) if value.isdigit() and len(value) <= MAX_ERA_DIGITS else self._era
        return max(era, 0)

    def _is_new(self, era: int) -> bool:
        return era > 0 and elapsed_ms() - self._era_since_ms < NEW_ERA_MS

    def _note_era(self, answer: WireAnswer) -> None:
        """Update the store's era, the number of its restores from a snapshot."""
        value = answer.get(names.ERA)
        if value is None:
            return
        if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
            if value != self._logged_era:
                self._logged_era = value
                LOG.warning("Store-Era field is malformed.", value=value[:40].decode("latin-1"))
            return
        era = int(value)
        if era > self._era >= 0:
            LOG.warning("Store was restored from a snapshot.", era=era, before=self._era)
            self._era_since_ms = elapsed_ms()
        self._era = max(self._era, era)

    def _encode(self, method: str, path: str, query: list[str], body: object) -> bytes:
        target = f"{path}?{'&'.join(query)}" if query else path
        data = b"" if body is None else msgspec.json.encode(body)
        head = f"{method} {target} HTTP/1.1\r\nHost: {self._host}\r\n"
        if body is not None:
            head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
        return head.encode() + b"\r\n" + data

    def _expect(self, answer: WireAnswer, *statuses: int) -> None:
        if answer.status not in statuses:
            raise StoreCallError(f"status {answer.status}")


def _in_era(item: VersionedObject, era: int) -> VersionedObject:
    return replace(item, revision=revisions.combine(era, item.revision))


def _path(kind: str, name: str = "") -> str:
    path = f"{names.OBJECTS_PATH}/{_KIND_PATHS.get(kind, kind)}"
    return f"{path}/{quote(name, safe='')}" if name else path
