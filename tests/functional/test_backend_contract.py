"""Contract of the back end adapter against the emulator."""

import gevent
import pytest

from ploverhatch.backend.http_backend import HttpBackend
from ploverhatch.backend.interface import (
    BackendAnswerLostError,
    BackendRequest,
    BackendUnreachableError,
    Refusal,
)
from ploverhatch.common.keyspace import MAX_HASH, SliceRange
from ploverhatch.emulator.backend import BackendBehaviour, BackendEmulator, clock_ms
from ploverhatch.ownership.messages import Grant, SyncRequest

TOKEN = (3 << 48) | 9
WHOLE = SliceRange("g", 0, MAX_HASH)


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
        expires_clock_ms=clock_ms() + 60_000, full=True, grants=(Grant(WHOLE, TOKEN),),
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
