"""Tests of the back ends' client against the emulator."""

from types import SimpleNamespace

import gevent
import pytest
from gevent.server import StreamServer

from ploverhatch.backend.http_backend import HttpBackend
from ploverhatch.backend.interface import (
    BackendAnswerLostError,
    BackendRequest,
    BackendUnreachableError,
    Refusal,
)
from ploverhatch.common.keyspace import MAX_HASH, SliceRange
from ploverhatch.emulator.backend import BackendBehaviour, BackendEmulator, clock_ms
from ploverhatch.node.metrics import NodeMetrics
from ploverhatch.node.router import Router
from ploverhatch.node.view import StateView
from ploverhatch.ownership.messages import Grant, SyncRequest
from ploverhatch.settings.model import LimitsSection

TOKEN = (3 << 48) | 9
WHOLE_RANGE = SliceRange("g", 0, MAX_HASH)


@pytest.fixture
def server():
    service = BackendEmulator("s", ("127.0.0.1", 0), BackendBehaviour(slots=1, queue=1))
    yield service
    service.close()


@pytest.fixture
def client(server):
    backend = HttpBackend("127.0.0.1", server.port, 8)
    request = SyncRequest(
        epoch=1, term=1, sequence=1, boot_id=server.book.boot_id,
        expires_clock_ms=clock_ms() + 60_000, full=True, grants=(Grant(WHOLE_RANGE, TOKEN),),
    )  # fmt: skip
    assert backend.sync(request, 1.0).accepted
    yield backend
    backend.close()


def request(request_id="r", **changes):
    values = {
        "request_id": request_id, "method": "POST", "target": "/x?y=1",
        "headers": (("echo", "e"),), "body": b"abc", "group": "g", "key_hash": MAX_HASH - 5,
        "token": TOKEN, "not_after_ms": 0.0, "budget_ms": 1000.0,
    }  # fmt: skip
    return BackendRequest(**(values | changes))


def test_whole_answer_comes_back(client):
    reply = client.send(request())
    assert reply.refusal is Refusal.NONE
    assert b'"body_bytes": 3' in reply.body
    assert abs(reply.clock_ms - clock_ms()) < 1000


REFUSALS = [
    ({"token": TOKEN - 1}, Refusal.STALE_TOKEN),
    ({"group": "h"}, Refusal.NOT_OWNER),
    ({"not_after_ms": 1.0}, Refusal.TOO_LATE),
]


@pytest.mark.parametrize(("changes", "refusal"), REFUSALS)
def test_request_is_refused_before_it_runs(server, client, changes, refusal):
    assert client.send(request(**changes)).refusal is refusal
    assert server.executions == []


def test_lapsed_lease_is_refused(server, client):
    server.book.expires_ms = clock_ms() - 1
    assert client.send(request()).refusal is Refusal.LAPSED


def test_full_server_sheds(server, client):
    server.behaviour.service_ms = 200
    running = [gevent.spawn(client.send, request(f"r{n}")) for n in range(3)]
    refusals = sorted(task.get().refusal.value for task in running)
    assert refusals == ["", "", "busy"]


def test_cancelled_request_never_runs(server, client):
    assert client.cancel("late", 1.0)
    assert client.send(request("late")).refusal is Refusal.CANCELLED
    client.send(request("done"))
    assert not client.cancel("done", 1.0)


def test_deadline_while_running_is_not_called_unsent(server, client):
    server.behaviour.service_ms = 500
    with pytest.raises(BackendAnswerLostError) as caught:
        client.send(request(budget_ms=80.0))
    assert caught.value.timed_out


def test_stopped_server_is_unreachable(server, client):
    fresh = HttpBackend("127.0.0.1", server.port, 8)
    server.close()
    with pytest.raises(BackendUnreachableError):
        fresh.send(request())


def test_connection_with_an_unread_answer_is_not_reused(server, client):
    server.behaviour.service_ms = 150
    with pytest.raises(BackendAnswerLostError):
        client.send(request("slow", budget_ms=50.0))
    server.behaviour.service_ms = 1
    replies = [client.send(request(f"n{n}", headers=(("echo", f"n{n}"),))) for n in range(5)]
    assert [f'"n{n}"'.encode() in reply.body for n, reply in enumerate(replies)] == [True] * 5


class DyingServer:
    """Answers one control call and stops listening; the next call breaks the connection."""

    PROBE = b'{"healthy": true, "load": 0, "clock_ms": 1}'

    def __init__(self):
        self._listener = StreamServer(("127.0.0.1", 0), self._serve)
        self._listener.start()
        self.port = self._listener.server_port

    def _serve(self, sock, _address):
        sock.recv(65536)
        self._listener.close()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.PROBE)
        sock.sendall(head + self.PROBE)
        sock.recv(65536)


def test_a_server_whose_control_connection_breaks_last_is_seen_to_have_ended():
    """Guards against missed crashes of back ends that were killed under a request.

    On a busy machine the router missed two of four crashes. It inferred a crash from the
    failure of the call that cancels the request. On a persistent connection, which may break
    slightly later than the request's own, this call fails because the connection is closed and
    not because a connection is refused; each missed crash had this cause. A new connection
    shows whether a process still listens.
    """
    backend = HttpBackend("127.0.0.1", DyingServer().port, 1)
    assert backend.probe(1.0).healthy
    router = Router(StateView("n"), None, LimitsSection(), None, NodeMetrics().router)
    ended = []
    router._crash_guard = SimpleNamespace(
        note_crash=lambda request, server, sent_ms: ended.append(server)
    )
    upstream = SimpleNamespace(client=backend, spec=SimpleNamespace(name="s1"))
    error = BackendAnswerLostError("connection closed", timed_out=False)
    router._after_loss(SimpleNamespace(guarded=None), upstream, request(), error, 0.0)
    assert ended == ["s1"]
    backend.close()


def test_a_server_that_listens_has_not_ended(server, client):
    assert not client.has_ended(1.0)
    server.close()
    assert client.has_ended(1.0)
