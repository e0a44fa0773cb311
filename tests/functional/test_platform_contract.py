"""Contract of the adapter to the platform's store, including its failures."""

import gevent
import pytest

from ploverhatch.admin.changes import ChangeApplier
from ploverhatch.common import results
from ploverhatch.emulator.platform import PlatformEmulator, PlatformFaults
from ploverhatch.store.http_store import HttpPlatformStore
from ploverhatch.store.interface import (
    ChangeUnknownError,
    HistoryCompactedError,
    StoreUnavailableError,
    VersionConflictError,
)


@pytest.fixture
def platform():
    service = PlatformEmulator(("127.0.0.1", 0))
    yield service
    service.close()


@pytest.fixture
def store(platform):
    return HttpPlatformStore(platform.url, timeout_s=0.5)


def test_objects_are_created_changed_and_deleted_by_version(store):
    first = store.put("server", "a/b", {"port": 1}, 0, "op1")
    assert store.get("server", "a/b") == first
    second = store.put("server", "a/b", {"port": 2}, first.version, "op2")
    assert second.version > first.version
    with pytest.raises(VersionConflictError) as caught:
        store.put("server", "a/b", {"port": 3}, first.version, "op3")
    assert caught.value.current == second
    assert store.delete("server", "a/b", second.version, "op4") > second.version
    assert store.get("server", "a/b") is None


def test_watch_delivers_changes_and_bookmarks(store):
    first = store.put("server", "a", {}, 0, "")
    assert store.watch(first.version, 0.05).items == ()
    waiting = gevent.spawn(store.watch, first.version, 2.0)
    gevent.sleep(0.05)
    second = store.put("server", "b", {}, 0, "")
    seen = waiting.get(timeout=1)
    assert (seen.revision, seen.items) == (second.version, (second,))


FAULTS = [
    ({"down": True}, StoreUnavailableError, StoreUnavailableError),
    ({"delay_ms": 1500}, StoreUnavailableError, ChangeUnknownError),
    ({"lose_answers": 1}, None, ChangeUnknownError),
]


@pytest.mark.parametrize(("faults", "read_error", "write_error"), FAULTS)
def test_fault_is_told_apart(platform, store, faults, read_error, write_error):
    for name, value in faults.items():
        setattr(platform.faults, name, value)
    if read_error:
        with pytest.raises(read_error):
            store.list()
    with pytest.raises(write_error) as caught:
        store.put("server", "a", {}, 0, "op")
    assert type(caught.value) is write_error


def test_compacted_watch_asks_for_a_new_list(platform, store):
    store.put("server", "a", {}, 0, "")
    store.put("server", "b", {}, 0, "")
    platform.store.history.clear()
    with pytest.raises(HistoryCompactedError):
        store.watch(1, 0.1)


def test_readers_are_limited(platform, store):
    platform.faults.max_readers = 0
    with pytest.raises(StoreUnavailableError):
        store.watch(0, 0.1)


def test_lost_answer_is_resolved_by_reading_back(platform, store):
    platform.faults.lose_answers = 1
    outcome = ChangeApplier(store).put("server", "a", {"port": 1}, 0)
    assert outcome.result is results.CHANGE_ACCEPTED
    assert outcome.version == store.get("server", "a").version
    assert len(platform.store.history) == 1


class DownOnceLost(PlatformFaults):
    """Faults under which the store goes down as soon as it loses an answer."""

    def __setattr__(self, name, value):
        lost = name == "lose_answers" and value < getattr(self, name, 0)
        super().__setattr__(name, value)
        if lost:
            super().__setattr__("down", True)


def test_operator_is_told_when_the_outcome_stays_unknown(platform, store):
    platform.faults = DownOnceLost(lose_answers=1)
    outcome = ChangeApplier(store).put("server", "a", {"port": 1}, 0)
    assert outcome.result is results.CHANGE_UNKNOWN
    assert platform.store.items


def test_racing_operators_get_a_conflict(store):
    applier = ChangeApplier(store)
    version = applier.put("server", "a", {"port": 1}, 0).version
    outcomes = [
        task.get()
        for task in [
            gevent.spawn(applier.put, "server", "a", {"port": number}, version) for number in (2, 3)
        ]
    ]
    names = sorted(outcome.result.name for outcome in outcomes)
    assert names == ["CHANGE_ACCEPTED", "CHANGE_CONFLICT"]
