"""Reads what the metadata store answers: objects, pages of them, and changes.

An object may come from any writer. One that cannot be read keeps its name and revision and
has no content, so that it is taken for what it is and the others on the page hold.
"""

import json
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from ploverhatch.common.logs import PartLogger
from ploverhatch.store.objects import ChangeBatch, ObjectChange, StoreCallError, VersionedObject

LOG = PartLogger("store")

T = TypeVar("T")
# What a parser raises on bytes of any kind; nesting beyond its depth is the last one.
UNREADABLE = (ValueError, OverflowError, RecursionError)


class _Metadata(msgspec.Struct):
    name: str = ""
    revision: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: Any = None
    status: Any = None


class _Named(msgspec.Struct):
    metadata: _Metadata


class _Page(msgspec.Struct):
    items: list[msgspec.Raw]
    at: int
    more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    gone: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    at: int


@dataclass(frozen=True, slots=True)
class Page:
    """Some objects of a kind; ``revision`` is the store's when they were read."""

    items: list[VersionedObject]
    revision: int
    more: bool


def read_object(body: bytes) -> VersionedObject:
    """Read one object.

    :raises StoreCallError: when it has no name.
    """
    try:
        return _object(body)
    except UNREADABLE as error:
        raise StoreCallError(f"not the expected form: {error}") from error


def read_page(body: bytes) -> Page:
    """Read a page of a listing.

    :raises StoreCallError: when the page itself has another form.
    """
    page = _decode(body, _Page)
    return Page(_readable(page.items), page.at, page.more)


def read_changes(body: bytes) -> ChangeBatch:
    """Read what a watch reports.

    :raises StoreCallError: when the report itself has another form.
    """
    batch = _decode(body, _Events)
    changes = [
        ObjectChange(item, event.gone)
        for event in batch.events
        for item in _readable([event.object])
    ]
    return ChangeBatch(tuple(changes), batch.at)


def _readable(rows: list[msgspec.Raw]) -> list[VersionedObject]:
    """Return the objects that can be named at least."""
    found = []
    for row in rows:
        try:
            found.append(_object(row))
        except UNREADABLE as error:
            LOG.error("Object without a name left out.", cause=error)
    return found


def _object(data: bytes | msgspec.Raw) -> VersionedObject:
    """Read an object; one that other nodes could not be told of has no content.

    :raises ValueError: when it has no name.
    """
    try:
        item = msgspec.json.decode(data, type=_Object)
        msgspec.msgpack.encode((item.spec, item.status))
    except UNREADABLE as error:
        named = msgspec.json.decode(data, type=_Named).metadata
        LOG.error("Object not understood.", name=named.name, cause=error)
        return VersionedObject(named.name, named.revision, None)
    return VersionedObject(item.metadata.name, item.metadata.revision, item.spec, item.status)


def _decode(body: bytes, form: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=form)
    except UNREADABLE as error:
        cause = error
    try:
        return msgspec.json.decode(_mended(body), type=form)
    except (*UNREADABLE, AttributeError, TypeError, KeyError):
        raise StoreCallError(f"not the expected form: {cause}") from cause


def _mended(body: bytes) -> bytes:
    """Return a body that strict parsers refuse as a whole, without what they refuse.

    Text that is no text, and numbers that are none, make an object's content unreadable.
    """
    document = json.loads(body.decode("utf-8", "surrogateescape"), strict=False)
    for event in document.get("events", ()):
        event["object"] = _clean(event["object"])
    if "items" in document:
        document["items"] = [_clean(item) for item in document["items"]]
    return json.dumps(document).encode()


def _clean(item: dict[str, object]) -> dict[str, object]:
    try:
        json.dumps(item, ensure_ascii=False, allow_nan=False).encode()
    except ValueError as error:
        LOG.error("Object not understood.", name=item["metadata"], cause=error)
        return {"metadata": item["metadata"]}
    return item
