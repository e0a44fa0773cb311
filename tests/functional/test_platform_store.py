"""Tests of the metadata store's adapter against the stand-in store."""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from ploverhatch.gateway.feeds import Feed, FeedTask
from ploverhatch.platform.store import PlatformObjectStore
from ploverhatch.store import kinds
from ploverhatch.store.objects import (
    HistoryDroppedError,
    OutcomeUnknownError,
    RevisionConflictError,
    StoreCallError,
)
from ploverhatch.transport.http_connection import HostPort
from tests.standin.metadata_store import StoreServer
from tests.standin.relay import NoRelay
from tests.standin.upstream import RawUpstream

KIND = kinds.KEYMAPS


@pytest.fixture
def standin():
    server = StoreServer()
    yield server
    server.close()


@pytest.fixture
def store(standin, monkeypatch):
    monkeypatch.setattr("ploverhatch.platform.store.CALL_TIMEOUT_S", 0.3)
    return PlatformObjectStore(standin.address)


def test_a_listing_takes_all_pages(standin, store):
    standin.store.page = 3
    for number in range(8):
        standin.store.put(KIND, f"n{number}", {"number": number})
    listing = store.list_all(KIND)
    assert [item.spec["number"] for item in listing.items] == list(range(8))
    assert listing.revision == 8
    assert len(standin.store.calls) == 3


class SilentProxy:
    """Passes calls on to a store until its open connections go silent; new ones work."""

    def __init__(self, address):
        self._address = address
        self._links = []
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = HostPort("127.0.0.1", self._server.server_port)

    def silence(self):
        gevent.killall(self._links)

    def close(self):
        self._server.stop(timeout=0)
        self.silence()

    def _serve(self, near, _address):
        far = socket.create_connection(tuple(self._address))
        pumps = [gevent.spawn(_pass_on, near, far), gevent.spawn(_pass_on, far, near)]
        self._links += pumps
        gevent.sleep(30.0)  # both sockets stay open


def _pass_on(source, target):
    while data := source.recv(65536):
        target.sendall(data)


@pytest.fixture
def proxy(standin):
    made = SilentProxy(standin.address)
    yield made
    made.close()


# Guards against a time limit for each connection that went silent together with the first one.
@pytest.mark.parametrize("first", ["get", "watch", "create"])
def test_one_call_without_an_answer_shows_that_open_connections_are_silent(
    standin, proxy, monkeypatch, first
):
    monkeypatch.setattr("ploverhatch.platform.store.CALL_TIMEOUT_S", 0.3)
    monkeypatch.setattr("ploverhatch.platform.store.WATCH_SLACK_S", 0.3)
    store = PlatformObjectStore(proxy.address)
    calls = {
        "get": lambda: store.get(KIND, "n"),
        "watch": lambda: store.watch(KIND, 0, 0.05),
        "create": lambda: store.create(KIND, "n", {}),
    }
    other_kind = kinds.SERVERS
    gevent.joinall([gevent.spawn(store.get, KIND, "n") for _ in range(3)])
    store.watch(other_kind, 0, 0.01)
    store.watch(KIND, 0, 0.01)
    proxy.silence()
    with pytest.raises((StoreCallError, OutcomeUnknownError)):
        calls[first]()
    with gevent.Timeout(0.2):
        store.list_all(KIND)
        store.get(KIND, "n")
        store.watch(other_kind, 0, 0.01)


def test_a_call_without_an_answer_leaves_connections_that_answered_since(
    standin, proxy, monkeypatch
):
    monkeypatch.setattr("ploverhatch.platform.store.CALL_TIMEOUT_S", 0.3)
    store = PlatformObjectStore(proxy.address)
    store.get(KIND, "n")
    proxy.silence()
    waiting = gevent.spawn(store.get, KIND, "n")
    gevent.sleep(0.05)
    store.get(KIND, "n")  # on a new connection
    (answered,) = store._idle
    with pytest.raises(StoreCallError):
        waiting.get()
    assert store._idle == [answered]
    store.get(KIND, "n")
    assert store._idle == [answered]


def test_a_stale_listing_says_so(standin, store):
    store.list_all(KIND, stale=True)
    assert standin.store.calls[0][3] == {"stale": "1"}


def test_the_products_kinds_have_the_platforms_names(standin, store):
    standin.store.put("config", "main", {"version": "01"})
    assert store.get(kinds.CONFIGURATION, "main").spec == {"version": "01"}


def test_create_get_replace(store):
    created = store.create(KIND, "a/b c", {"x": 1})
    assert store.get(KIND, "a/b c") == created
    replaced = store.replace(KIND, "a/b c", {"x": 2}, created.revision)
    assert replaced.revision > created.revision
    assert store.get(KIND, "none") is None


def test_conditions_decide(store):
    created = store.create(KIND, "a", 1)
    with pytest.raises(RevisionConflictError) as conflict:
        store.create(KIND, "a", 2)
    assert conflict.value.current == created
    store.replace(KIND, "a", 2, created.revision)
    with pytest.raises(RevisionConflictError) as conflict:
        store.replace(KIND, "a", 3, created.revision)
    assert conflict.value.current.spec == 2
    with pytest.raises(RevisionConflictError) as conflict:
        store.replace(KIND, "absent", 3, 5)
    assert conflict.value.current is None


def test_a_watch_tells_changes_and_removals(standin, store):
    start = standin.store.revision
    gevent.spawn_later(0.05, standin.store.put, KIND, "a", 1)
    batch = store.watch(KIND, start, 2.0)
    assert [(change.object.name, change.gone) for change in batch.changes] == [("a", False)]
    standin.store.remove(KIND, "a")
    batch = store.watch(KIND, batch.revision, 2.0)
    assert [(change.object.name, change.gone) for change in batch.changes] == [("a", True)]


def test_a_watch_without_changes_ends_empty(standin, store):
    assert store.watch(KIND, standin.store.revision, 0.05).changes == ()


def test_dropped_history_is_an_error(standin, store):
    standin.store.put(KIND, "a", 1)
    standin.store.compact()
    with pytest.raises(HistoryDroppedError):
        store.watch(KIND, 0, 0.5)


@pytest.mark.parametrize("status", [429, 503, 400])
def test_refused_calls_fail(standin, store, status):
    standin.store.faults.refuse = status
    with pytest.raises(StoreCallError):
        store.list_all(KIND)
    with pytest.raises(StoreCallError) as failure:
        store.create(KIND, "a", 1)
    assert not isinstance(failure.value, OutcomeUnknownError)


# A key map was taken as not stored, and not read back, after an answer that doesn't say so.
@pytest.mark.parametrize("status", [500, 502, 504, 204, 302])
def test_only_what_the_store_states_proves_a_change_not_made(standin, store, status):
    standin.store.faults.refuse = status
    with pytest.raises(OutcomeUnknownError):
        store.create(KIND, "a", 1)
    with pytest.raises(OutcomeUnknownError):
        store.replace(KIND, "a", 1, 1)
    with pytest.raises(StoreCallError) as failure:
        store.list_all(KIND)
    assert not isinstance(failure.value, OutcomeUnknownError)


# The same after a success whose body can't be read: the change was made.
@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"metadata": 5}'])
def test_an_unreadable_success_leaves_the_outcome_of_a_change_unknown(body):
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    upstream = RawUpstream(answer)
    with pytest.raises(OutcomeUnknownError):
        PlatformObjectStore(upstream.address).create(KIND, "a", 1)
    upstream.close()


def test_a_lost_answer_to_a_change_is_unknown(standin, store):
    standin.store.faults.lose_answers = 1
    with pytest.raises(OutcomeUnknownError):
        store.create(KIND, "a", 1)
    assert store.get(KIND, "a").spec == 1


def test_a_lost_answer_to_a_read_is_a_failure(standin, store):
    standin.store.faults.silent = True
    with pytest.raises(StoreCallError) as failure:
        store.get(KIND, "a")
    assert not isinstance(failure.value, OutcomeUnknownError)


def test_an_absent_store_fails(standin, store):
    standin.close()
    with pytest.raises(StoreCallError):
        store.get(KIND, "a")


def test_interrupt_breaks_a_waiting_watch_off(standin, store):
    waiting = gevent.spawn(lambda: pytest.raises(StoreCallError, store.watch, KIND, 0, 20.0))
    gevent.sleep(0.05)
    store.interrupt()
    assert waiting.get(timeout=1.0)


class FeedRecorder:
    """Records what a feed delivers."""

    def __init__(self):
        self.listed = []
        self.changes = []
        self.failures = 0

    def feed(self):
        return Feed(KIND, self.listed.append, self.changes.append)

    def failed(self):
        self.failures += 1


def run_feed(store):
    recorder = FeedRecorder()
    task = gevent.spawn(FeedTask(store, recorder.feed(), NoRelay(), recorder.failed).run)
    gevent.sleep(0.05)
    return recorder, task


def test_a_feed_lists_then_follows(standin, store):
    standin.store.put(KIND, "a", 1)
    recorder, task = run_feed(store)
    standin.store.put(KIND, "b", 2)
    gevent.sleep(0.05)
    task.kill()
    assert [item.name for item in recorder.listed[0]] == ["a"]
    assert [change.object.name for change in recorder.changes] == ["b"]


def test_a_feed_lists_again_when_history_was_dropped(standin, store):
    recorder, task = run_feed(store)
    standin.store.put(KIND, "a", 1)
    standin.store.compact()
    gevent.sleep(0.2)
    task.kill()
    assert [item.name for item in recorder.listed[-1]] == ["a"] or recorder.changes


def test_a_feed_goes_on_after_an_outage(standin, store):
    recorder, task = run_feed(store)
    standin.store.faults.refuse = 503
    standin.store.wake()
    store.interrupt()
    gevent.sleep(0.2)
    assert recorder.failures
    standin.store.faults.refuse = 0
    standin.store.put(KIND, "late", 1)
    gevent.sleep(0.8)
    task.kill()
    listed = [item.name for items in recorder.listed for item in items]
    assert listed + [change.object.name for change in recorder.changes] == ["late"]


def test_an_interrupted_feed_lists_at_once(standin, store):
    """Guards against a feed that receives nothing for 1.6 s after its process was suspended.

    After the suspension its watch went on waiting; an interrupted feed must list again at once.
    """
    recorder, task = run_feed(store)
    standin.store.put(KIND, "a", 1)
    gevent.sleep(0.02)
    store.interrupt()
    gevent.sleep(0.05)
    task.kill()
    assert len(recorder.listed) == 2
    assert recorder.failures == 0


def test_a_listing_tells_what_changed_since_the_last_revision(standin, store):
    for name in ("kept", "gone", "changed"):
        standin.store.put(KIND, name, 1)
    relay = NoRelay()
    recorder = FeedRecorder()
    task = gevent.spawn(FeedTask(store, recorder.feed(), relay, recorder.failed).run)
    gevent.sleep(0.05)
    base = standin.store.revision
    assert relay.published == []  # The first listing has no revision to compare with.
    store.interrupt()
    standin.store.remove(KIND, "gone")
    standin.store.put(KIND, "changed", 2)
    standin.store.put(KIND, "new", 1)
    gevent.sleep(0.1)
    task.kill()
    relayed = [(item.name, item.gone) for row in relay.published for item in row[3]]
    assert sorted(relayed) == [("changed", False), ("gone", True), ("new", False)]
    assert relay.published[0][1] == base
