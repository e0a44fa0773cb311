"""Tests of the metadata store's adapter across a restore from a snapshot."""

import pytest

from ploverhatch.platform.store import PlatformObjectStore
from ploverhatch.store import kinds
from ploverhatch.store.objects import (
    HistoryDroppedError,
    OutcomeUnknownError,
    RevisionConflictError,
    StoreCallError,
)
from ploverhatch.store.revisions import split
from tests.standin.metadata_store import StoreServer

KIND = kinds.LEASES


@pytest.fixture
def server():
    running_server = StoreServer()
    yield running_server
    running_server.close()


@pytest.fixture
def store(server):
    return PlatformObjectStore(server.address)


def write(server, name, count=1):
    for number in range(count):
        server.store.put("leases", name, {"n": number})


def restored(server, store, lost=3):
    """Restore the store from a snapshot that lacks ``lost`` writes.

    :returns: the revision before the restore.
    """
    write(server, "a", 5)
    snapshot = server.store.copy()
    write(server, "a", lost)
    before = store.list_all(KIND).revision
    server.store.restore(snapshot)
    return before


def test_a_listing_after_a_restore_is_later(server, store):
    before = restored(server, store)
    after = store.list_all(KIND)
    assert after.revision > before
    assert after.items[0].revision > before
    assert split(after.revision) == (1, 5)


# A watch that continues from a revision which was issued again misses the changes before it.
def test_a_watch_from_before_a_restore_is_not_answered_with_later_changes(server, store):
    before = restored(server, store)
    write(server, "b", 10)
    with pytest.raises(HistoryDroppedError):
        store.watch(KIND, before, 0.1)
    calls = len(server.store.calls)
    with pytest.raises(HistoryDroppedError):
        store.watch(KIND, before, 0.1)
    assert len(server.store.calls) == calls  # The store was not called: the new era is known.


def test_a_watch_goes_on_from_what_was_listed_after_a_restore(server, store):
    restored(server, store)
    listed = store.list_all(KIND)
    write(server, "b")
    batch = store.watch(KIND, listed.revision, 0.5)
    assert [change.object.name for change in batch.changes] == ["b"]
    assert batch.revision == batch.changes[0].object.revision == listed.revision + 1


# The condition of a write holds by accident: its revision was issued again for another change.
def test_a_write_over_a_revision_that_was_issued_again_has_an_unknown_outcome(server, store):
    restored(server, store, lost=1)
    lost = 6  # revision of the write that the snapshot lacks
    write(server, "a")  # Another writer's change gets the same revision.
    fresh = PlatformObjectStore(server.address)
    with pytest.raises(OutcomeUnknownError):
        fresh.replace(KIND, "a", {"n": "mine"}, lost)


def test_a_condition_from_before_a_restore_is_not_sent(server, store):
    before = restored(server, store)
    store.list_all(KIND)
    with pytest.raises(RevisionConflictError) as caught:
        store.replace(KIND, "a", {"n": "mine"}, before)
    assert caught.value.current.revision > before
    assert all(method != "PUT" for method, *_ in server.store.calls)


def test_conflicts_and_writes_tell_revisions_of_the_era(server, store):
    restored(server, store)
    listed = store.list_all(KIND)
    written = store.replace(KIND, "a", {"n": "mine"}, listed.items[0].revision)
    assert split(written.revision) == (1, 6)
    with pytest.raises(RevisionConflictError) as caught:
        store.replace(KIND, "a", {"n": "mine"}, listed.items[0].revision)
    assert caught.value.current.revision == written.revision
    assert store.get(KIND, "a").revision == written.revision


def test_a_stale_read_right_after_a_restore_is_read_anew(server, store):
    restored(server, store)
    store.list_all(KIND, stale=True)
    assert "stale" in server.store.calls[-2][3]
    assert "stale" not in server.store.calls[-1][3]


def test_pages_of_two_eras_are_no_listing(server, store):
    server.store.page = 1
    for name in ("a", "b", "c"):
        write(server, name)
    handle = server.store.handle

    def restore_between(request):
        reply = handle(request)
        if b"after=" in request.target:
            server.store.era += 1
        return reply

    server.store.handle = restore_between
    with pytest.raises(StoreCallError):
        store.list_all(KIND)


@pytest.mark.parametrize("value", [b"", b"-1", b"x", b"1.5", b"12345678"])
def test_a_malformed_era_counts_as_the_last_known_one(server, store, value):
    restored(server, store)
    listed = store.list_all(KIND)
    handle = server._server.handler

    def with_malformed_era(request):
        reply = handle(request)
        reply.headers = [(name, value if name == b"Store-Era" else v) for name, v in reply.headers]
        return reply

    server._server.handler = with_malformed_era
    assert store.list_all(KIND).revision == listed.revision
