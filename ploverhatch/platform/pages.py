"""Parses answers of the metadata store: objects, pages of a listing, and reports of a watch.

An object may come from a *foreign writer*, which is any writer of the store other than a gateway.
A malformed object keeps its name and revision and loses its content, so that its readers reject it
and the other objects of the answer are used.
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
# Raised by the parsers on malformed input; RecursionError means that the nesting is too deep.
PARSE_ERRORS = (ValueError, OverflowError, RecursionError)
# Depth limit of the parser that isn't recursive: an object nested more deeply loses its content.
# That parser is used when a recursive one rejects its whole input, which happens at some 900
# levels, and at fewer when the caller's stack is deep.
MAX_LEVELS = 200
SPARE_LEVELS = 100  # other nodes may parse the object on a deeper stack


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
    """A page of a listing; ``revision`` is that of the store at the time of the read."""

    items: list[VersionedObject]
    revision: int
    more: bool


def read_object(body: bytes) -> VersionedObject:
    """Parse one object.

    :raises StoreCallError: when the object's metadata is missing or malformed.
    """
    try:
        return _parse_object(body)
    except PARSE_ERRORS as error:
        raise StoreCallError(f"not the expected form: {error}") from error


def read_page(body: bytes) -> Page:
    """Parse a page of a listing.

    :raises StoreCallError: when the page itself is malformed.
    """
    page = _decode(body, _Page)
    return Page(_named_objects(page.items), page.at, page.more)


def read_changes(body: bytes) -> ChangeBatch:
    """Parse the report of a watch.

    :raises StoreCallError: when the report itself is malformed.
    """
    batch = _decode(body, _Events)
    changes = [
        ObjectChange(item, event.gone)
        for event in batch.events
        for item in _named_objects([event.object])
    ]
    return ChangeBatch(tuple(changes), batch.at)


def _named_objects(rows: list[msgspec.Raw]) -> list[VersionedObject]:
    """Return the objects whose metadata is readable; log the others."""
    found = []
    for row in rows:
        try:
            found.append(_parse_object(row))
        except PARSE_ERRORS as error:
            LOG.error("Object without a name ignored.", cause=error)
    return found


def _parse_object(data: bytes | msgspec.Raw) -> VersionedObject:
    """Parse an object; it loses its content if it is malformed or can't be encoded for other nodes.

    :raises ValueError: when the object's metadata is missing or malformed.
    """
    try:
        item = msgspec.json.decode(data, type=_Object)
        msgspec.msgpack.encode(_nested((item.spec, item.status), SPARE_LEVELS))
    except PARSE_ERRORS as error:
        named = _metadata_of(bytes(data))
        LOG.error("Object is malformed.", name=named.name, cause=error)
        return VersionedObject(named.name, named.revision, None)
    return VersionedObject(item.metadata.name, item.metadata.revision, item.spec, item.status)


def _nested(value: object, levels: int) -> object:
    for _ in range(levels):
        value = [value]
    return value


def _metadata_of(data: bytes) -> _Metadata:
    """Return the metadata of an object with malformed content.

    :raises ValueError: when the metadata is missing or malformed.
    """
    try:
        return msgspec.json.decode(data, type=_Named).metadata
    except RecursionError:
        return msgspec.convert(_parse_shallow(data), _Named).metadata


def _decode(body: bytes, form: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=form)
    except PARSE_ERRORS as error:
        cause = error
    try:
        return msgspec.json.decode(_repaired(body), type=form)
    except (*PARSE_ERRORS, AttributeError, TypeError, KeyError):
        raise StoreCallError(f"not the expected form: {cause}") from cause


def _repaired(body: bytes) -> bytes:
    """Return the body without the content of the objects that the strict parser rejects.

    An object loses its content if it contains invalid Unicode, NaN, infinity, a number out of
    range or deep nesting.
    """
    try:
        document = json.loads(body.decode("utf-8", "surrogateescape"), strict=False)
    except RecursionError:
        document = _parse_shallow(body)
    for event in document.get("events", ()):
        event["object"] = _clean(event["object"])
    if "items" in document:
        document["items"] = [_clean(item) for item in document["items"]]
    return json.dumps(document).encode()


def _clean(item: dict[str, object]) -> dict[str, object]:
    try:
        json.dumps(item, ensure_ascii=False, allow_nan=False).encode()
    except PARSE_ERRORS as error:
        LOG.error("Object is malformed.", name=item["metadata"], cause=error)
        return {"metadata": item["metadata"]}
    return item


def _parse_shallow(body: bytes) -> Any:
    """Parse a body of any depth; NaN replaces each value nested more deeply than ``MAX_LEVELS``.

    The parser isn't recursive. It is imported on first use, to save the memory of nodes that
    never need it.

    :raises ValueError: when the body isn't JSON.
    """
    import ijson  # noqa: PLC0415

    builder, level = ijson.ObjectBuilder(), 0
    text = _NON_FINITE.sub(_replace_non_finite, body.decode("utf-8", "replace").encode())
    try:
        for event, value in ijson.basic_parse(io.BytesIO(text)):
            level -= event in _ENDS
            if level < MAX_LEVELS:
                builder.event(event, float(value) if isinstance(value, Decimal) else value)
            elif level == MAX_LEVELS and event in _STARTS:
                builder.event("number", math.nan)
            level += event in _STARTS
    except ijson.JSONError as error:
        raise ValueError(str(error)) from error
    return builder.value


def _replace_non_finite(found: re.Match[bytes]) -> bytes:
    """Return a number that overflows to infinity in place of NaN or Infinity; keep strings.

    The parser accepts neither NaN nor Infinity.
    """
    return found[0] if found[0].startswith(b'"') else b"1e999"


_NON_FINITE = re.compile(rb'"(?:[^"\\]|\\.)*"|-?(?:NaN|Infinity)', re.DOTALL)
_STARTS = frozenset({"start_map", "start_array"})
_ENDS = frozenset({"end_map", "end_array"})
