"""Answers of the store: a malformed object of another writer never hides the other objects."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ploverhatch.platform import pages
from ploverhatch.platform.documents import PlatformTranslation
from ploverhatch.store.objects import StoreCallError, VersionedObject

VALID = b'{"metadata":{"name":"sound","revision":4},"spec":{"x":1}}'
MALFORMED_SPECS = [
    b'"\xff\xfe"', b'"\\ud800"', b"1e999", b"NaN", b"-Infinity", b"1" * 40, b"[" * 90 + b"]" * 90,
    b'"\x01"', b"null", b"[]", b'""', b"true",
]  # fmt: skip
INFO = {"service": "x", "version": "v1", "zone": "z", "slots": 2}
STATUS = {"state": "ready", "call_seq": 3, "cold_remaining_ms": 10}
ENTRY = {"address": "10.0.0.1:80", "info": INFO, "status": STATUS, "born": 1764730000000}

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=6,
)


def malformed(spec):
    return b'{"metadata":{"name":"odd","revision":3},"spec":%s}' % spec


@pytest.mark.parametrize("spec", MALFORMED_SPECS)
def test_a_page_with_a_malformed_object_is_read(spec):
    page = pages.read_page(b'{"items":[%s,%s],"at":9,"more":true}' % (malformed(spec), VALID))
    assert (page.revision, page.more) == (9, True)
    assert [item.name for item in page.items] == ["odd", "sound"]
    assert page.items[1].spec == {"x": 1}
    assert PlatformTranslation().server(page.items[0]) is None
    msgspec.msgpack.encode(page.items[0].spec)  # the leader can relay it to other nodes


@pytest.mark.parametrize("spec", MALFORMED_SPECS)
def test_a_report_with_a_malformed_object_is_read(spec):
    rows = b'{"gone":false,"object":%s},{"gone":true,"object":%s}' % (malformed(spec), VALID)
    batch = pages.read_changes(b'{"events":[%s],"at":9}' % rows)
    assert [(item.object.name, item.gone) for item in batch.changes] == [
        ("odd", False),
        ("sound", True),
    ]


@pytest.mark.parametrize("levels", [600, 905, 930, 970, 3000, 300_000])
@pytest.mark.parametrize("part", [b"[%s]", b'{"a":%s}', b'"x",%s'])
def test_an_object_that_is_nested_deeply_leaves_the_others(levels, part):
    """Recursive parsers reject their whole input at some 900 levels."""
    opening, closing = part.split(b"%s")
    if part.startswith(b'"'):
        opening, closing = b'["x",', b"]"
    spec = opening * levels + b"1" + closing * levels
    page = pages.read_page(b'{"items":[%s,%s],"at":9,"more":true}' % (malformed(spec), VALID))
    assert (page.revision, page.more) == (9, True)
    assert [item.name for item in page.items] == ["odd", "sound"]
    assert page.items[1].spec == {"x": 1}
    assert levels < 900 or page.items[0].spec is None
    msgspec.msgpack.encode([[[page.items[0].spec]]])
    rows = b'{"gone":false,"object":%s},{"gone":true,"object":%s}' % (malformed(spec), VALID)
    batch = pages.read_changes(b'{"events":[%s],"at":9}' % rows)
    assert [(item.object.name, item.gone) for item in batch.changes] == [
        ("odd", False),
        ("sound", True),
    ]
    found = pages.read_object(malformed(spec))
    assert (found.name, found.revision) == ("odd", 3)


def test_numbers_and_texts_beside_a_nested_object_stay_what_they_are():
    values = b'{"a":1.5,"b":12345678901234567890,"c":"t\\u00e9","d":[true,null,-0.25]}'
    valid = b'{"metadata":{"name":"sound","revision":4},"spec":%s}' % values
    deep = malformed(b"[" * 3000 + b"]" * 3000)
    (_, item) = pages.read_page(b'{"items":[%s,%s],"at":9}' % (deep, valid)).items
    assert item.spec == json.loads(values)
    assert type(item.spec["a"]) is float


def test_a_nested_object_and_invalid_text_leave_the_others():
    deep = malformed(b"[" * 3000 + b"]" * 3000)
    page = pages.read_page(b'{"items":[%s,%s,%s],"at":9}' % (deep, malformed(b'"\xff"'), VALID))
    assert page.items[2].spec == {"x": 1}


def test_a_nested_object_and_nan_leave_the_others():
    """Guards against a page that is rejected as a whole: each parser rejects one of the two."""
    deep = malformed(b"[" * 3000 + b"]" * 3000)
    page = pages.read_page(b'{"items":[%s,%s,%s],"at":9}' % (deep, malformed(b"NaN"), VALID))
    assert page.items[2].spec == {"x": 1}


def test_text_that_contains_nan_or_infinity_is_unchanged():
    deep = malformed(b"[" * 3000 + b"]" * 3000)
    named = b'{"metadata":{"name":"NaN","revision":2},"spec":{"x":"a \\" -Infinity"}}'
    page = pages.read_page(b'{"items":[%s,%s],"at":9}' % (deep, named))
    assert (page.items[1].name, page.items[1].spec) == ("NaN", {"x": 'a " -Infinity'})


@pytest.mark.parametrize("item", [b"{}", b"[]", b"7", b'{"metadata":{"name":7}}', b"null"])
def test_an_object_without_a_name_is_left_out(item):
    page = pages.read_page(b'{"items":[%s,%s],"at":9}' % (item, VALID))
    assert [found.name for found in page.items] == ["sound"]


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"items":7,"at":1}', b'{"items":[]}'])
def test_what_is_no_page_is_a_failed_call(body):
    with pytest.raises(StoreCallError):
        pages.read_page(body)
    with pytest.raises(StoreCallError):
        pages.read_changes(body)


@given(VALUES, VALUES)
def test_any_entry_is_a_server_or_none(spec, status):
    PlatformTranslation().server(VersionedObject("s", 1, spec, status))


PATHS = [
    ("address",), ("info",), ("status",), ("born",), *(("info", name) for name in INFO),
    *(("status", name) for name in STATUS),
]  # fmt: skip


@given(st.sampled_from(PATHS), VALUES)
def test_a_field_of_another_form_is_left_out_or_sound(path, value):
    entry = json.loads(json.dumps(ENTRY))
    part = entry
    for name in path[:-1]:
        part = part[name]
    part[path[-1]] = value
    record = PlatformTranslation().server(VersionedObject("s", 1, entry))
    if record is None:
        return
    assert 0 < record.port < 65536 and 0 < record.slots <= 100_000 and record.warmup_ms >= 0
    assert isinstance(record.service, str) and isinstance(record.zone, str) and record.service
    assert not record.draining or value == "draining"


@pytest.mark.parametrize("path", [path for path in PATHS if path != ("born",)])
def test_a_missing_field_names_no_server(path):
    entry = json.loads(json.dumps(ENTRY))
    part = entry
    for name in path[:-1]:
        part = part[name]
    del part[path[-1]]
    assert PlatformTranslation().server(VersionedObject("s", 1, entry)) is None
    assert PlatformTranslation().server(VersionedObject("s", 1, ENTRY)) is not None
