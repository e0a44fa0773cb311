"""Reads what the metadata store answers: objects, pages of them, and changes.

An object may come from any writer. One that cannot be read keeps its name and revision and
has no content, so that it is taken for what it is and the others on the page hold.
"""

import io
import json
import math
import re
from dataclasses import dataclass
from decimal import Decimal
from typing import Any, TypeVar

import msgspec

from ploverhatch.common.logs import PartLogger
from ploverhatch.store.objects import ChangeBatch, ObjectChange, StoreCallError, VersionedObject

LOG = PartLogger("store")

T = TypeVar("T")
# What a parser raises on bytes of any kind; nesting beyond its depth is the last one.
UNREADABLE = (ValueError, OverflowError, RecursionError)
# An object that is nested more deeply has no content. Parsers that recurse go to some 900
# levels, fewer where their caller's stack is deep, and then refuse all that they were given.
MOST_LEVELS = 200
SPARE_LEVELS = 100  # other nodes read it from deeper in their stacks than this one


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
        msgspec.msgpack.encode(_deeper((item.spec, item.status), SPARE_LEVELS))
    except UNREADABLE as error:
        named = _named(bytes(data))
        LOG.error("Object not understood.", name=named.name, cause=error)
        return VersionedObject(named.name, named.revision, None)
    return VersionedObject(item.metadata.name, item.metadata.revision, item.spec, item.status)


def _deeper(value: object, levels: int) -> object:
    for _ in range(levels):
        value = [value]
    return value


def _named(data: bytes) -> _Metadata:
    """Return the name of an object whose content is of no use.

    :raises ValueError: when it has none.
    """
    try:
        return msgspec.json.decode(data, type=_Named).metadata
    except RecursionError:
        return msgspec.convert(_shallow(data), _Named).metadata


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

    Text that is no text, numbers that are none and deep nesting make an object's content
    unreadable.
    """
    try:
        document = json.loads(body.decode("utf-8", "surrogateescape"), strict=False)
    except RecursionError:
        document = _shallow(body)
    for event in document.get("events", ()):
        event["object"] = _clean(event["object"])
    if "items" in document:
        document["items"] = [_clean(item) for item in document["items"]]
    return json.dumps(document).encode()


def _clean(item: dict[str, object]) -> dict[str, object]:
    try:
        json.dumps(item, ensure_ascii=False, allow_nan=False).encode()
    except UNREADABLE as error:
        LOG.error("Object not understood.", name=item["metadata"], cause=error)
        return {"metadata": item["metadata"]}
    return item


def _shallow(body: bytes) -> Any:
    """Read a body of any nesting; in place of what lies deeper there is no number.

    The parser doesn't recurse. It is loaded where it is needed only: memory is priced.

    :raises ValueError: when it isn't JSON.
    """
    import ijson  # noqa: PLC0415

    builder, level = ijson.ObjectBuilder(), 0
    text = _NO_NUMBER.sub(_infinite, body.decode("utf-8", "replace").encode())
    try:
        for event, value in ijson.basic_parse(io.BytesIO(text)):
            level -= event in _ENDS
            if level < MOST_LEVELS:
                builder.event(event, float(value) if isinstance(value, Decimal) else value)
            elif level == MOST_LEVELS and event in _STARTS:
                builder.event("number", math.nan)
            level += event in _STARTS
    except ijson.JSONError as error:
        raise ValueError(str(error)) from error
    return builder.value


def _infinite(found: re.Match[bytes]) -> bytes:
    """Return what the parser takes in place of a number that is none; strings stay."""
    return found[0] if found[0].startswith(b'"') else b"1e999"


_NO_NUMBER = re.compile(rb'"(?:[^"\\]|\\.)*"|-?(?:NaN|Infinity)', re.DOTALL)
_STARTS = frozenset({"start_map", "start_array"})
_ENDS = frozenset({"end_map", "end_array"})
