"""Answers whose status is none of HTTP, on every kind of connection.

Guards against statuses below 100, which were taken for interim answers, so that callers waited for
their whole deadline, and statuses above 599, which callers got as they were.
"""

import gevent
import pytest

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.dialect import GrantCall, ReleaseCall
from ploverhatch.gateway.peer_connections import CALL_FIELD, PeerConnections
from ploverhatch.gateway.peer_objects import SnapshotClient
from ploverhatch.gateway.server_control import ServerControl
from ploverhatch.platform.dialect import PlatformDialect
from ploverhatch.platform.store import PlatformObjectStore
from ploverhatch.sharding.keymap import Holder
from ploverhatch.sharding.messages import CallOutcome
from ploverhatch.store import kinds
from ploverhatch.store.objects import OutcomeUnknownError, StoreCallError
from ploverhatch.transport.http_client import AnswerLostError, HttpClient
from ploverhatch.transport.http_connection import AnswerCutError, HttpConnection
from tests.functional.test_forwarder import KEYED, Bench
from tests.standin.upstream import RawUpstream, Upstream

STATUSES = (b"000", b"001", b"099", b"600", b"777", b"999")
PROMPT_MS = 200.0  # well below all time limits and deadlines here
REQUESTS = 8


def answer(status, *fields):
    """Return an answer that is sound but for its status."""
    rows = [b"HTTP/1.1 %b Odd" % status, *fields, b"Content-Length: 2"]
    return b"\r\n".join(rows) + b"\r\n\r\nok"


def sealed(status):
    return answer(status, b"Request-Id: r1", b"Response-Seal: s")


class Stopwatch:
    def __enter__(self):
        self._start_ms = elapsed_ms()

    def __exit__(self, *error):
        assert elapsed_ms() - self._start_ms < PROMPT_MS


@pytest.fixture
def promptly():
    return Stopwatch()


@pytest.fixture
def bench():
    return Bench()


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("method", [b"POST", b"HEAD"])
def test_a_request_that_may_not_be_repeated_is_answered_502_at_once(
    bench, promptly, status, method
):
    bench.add(RawUpstream(sealed(status)), "u1")
    with promptly:
        reply = bench.ask(b"/once/", method)
    assert reply.status == 502
    assert b"response-seal" not in {name.lower() for name, _ in reply.headers}


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
def test_a_request_that_may_be_repeated_is_served_by_another_server(
    bench, promptly, status, method
):
    odd, sound = RawUpstream(*[sealed(status)] * REQUESTS), Upstream("u2")
    bench.add(odd, "u1")
    bench.add(sound)
    for _ in range(REQUESTS):
        with promptly:
            assert bench.ask(b"/read/", method).status == 200
    assert sound.ran


@pytest.mark.parametrize("status", STATUSES)
def test_a_keyed_request_is_answered_502_at_once(bench, promptly, status):
    bench.own_keys(bench.add(RawUpstream(sealed(status)), "u1", KEYED))
    with promptly:
        assert bench.ask(b"/keyonce/", b"POST", [(b"Shard-Key", b"7")]).status == 502


@pytest.mark.parametrize("status", STATUSES)
def test_the_connection_is_not_used_again(promptly, status):
    server = RawUpstream(answer(status), answer(b"200"))
    connection = HttpConnection(server.address)
    connection.open(1.0)
    with promptly, pytest.raises(AnswerCutError), gevent.Timeout(1.0):
        connection.exchange(b"GET", b"GET / HTTP/1.1\r\n\r\n")
    assert not connection.is_usable()


@pytest.mark.parametrize("status", STATUSES)
def test_grants_and_releases_count_as_unanswered_at_once(promptly, status):
    upstream = RawUpstream(answer(status), answer(status))
    control = ServerControl(
        Holder("i-1", *upstream.address), PlatformDialect(), lambda server_id, notice: None
    )
    with promptly:
        assert control.grant(GrantCall(0, 9, 1, 4000.0), lambda: True) is CallOutcome.NO_ANSWER
    with promptly:
        outcome, _ = control.release(ReleaseCall(0, 9, 2), lambda: True)
    assert outcome is CallOutcome.NO_ANSWER
    control.close()


@pytest.mark.parametrize("status", STATUSES)
def test_calls_to_the_store_fail_at_once(promptly, status):
    store = PlatformObjectStore(RawUpstream(*[answer(status)] * 3, close=True).address)
    calls = (
        (StoreCallError, lambda: store.get(kinds.LEASES, "x")),
        (StoreCallError, lambda: store.watch(kinds.SERVERS, 1, 0.3)),
        (OutcomeUnknownError, lambda: store.create(kinds.LEASES, "x", {})),
    )
    for error, call in calls:
        with promptly, pytest.raises(error):
            call()


@pytest.mark.parametrize("status", STATUSES)
def test_calls_to_another_node_fail_at_once(promptly, status):
    node = RawUpstream(answer(status, CALL_FIELD + b": 1"), answer(status))
    peers = PeerConnections()
    connection = peers.take(node.address)
    with promptly, pytest.raises(AnswerCutError), gevent.Timeout(1.0):
        peers.exchange(connection, b"forward", b"x")
    host, port = node.address
    with promptly:
        assert SnapshotClient(lambda: f"{host}:{port}", "127.0.0.1:1").fetch(kinds.SERVERS) is None


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_a_call_of_the_node_program_is_lost_at_once(promptly, status, method):
    client = HttpClient(*RawUpstream(answer(status)).address, 1)
    with promptly, pytest.raises(AnswerLostError) as lost:
        client.exchange(method, "/", timeout_s=1.0)
    assert not lost.value.timed_out


# Guards against a bound that is too narrow.
@pytest.mark.parametrize("status", [b"200", b"299", b"404", b"499", b"500", b"599"])
def test_all_statuses_of_http_are_passed_on(bench, status):
    bench.add(RawUpstream(sealed(status)), "u1")
    assert bench.ask(b"/once/", b"POST").status == int(status)
    client = HttpClient(*RawUpstream(answer(status)).address, 1)
    assert client.exchange("GET", "/", timeout_s=1.0).status == int(status)
