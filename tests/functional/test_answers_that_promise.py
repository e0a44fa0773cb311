"""Answers of servers whose status alone would tell callers that a request has not run."""

import logging
from contextlib import suppress
from dataclasses import dataclass

import msgspec
import pytest
from gevent.server import StreamServer
from hypothesis import given, settings
from hypothesis import strategies as st

from ploverhatch.cli.explain_request import explain, read_lines
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.messages import CallerRequest, ForwardingNode
from ploverhatch.gateway.peer_forwarding import ForwardedRequest
from ploverhatch.routing.gateway_attempts import NextStep
from ploverhatch.routing.planned_stop import PlannedStop
from ploverhatch.transport.http_connection import HostPort
from tests.functional.test_forwarder import KEYED, PLAIN, Bench, field
from tests.standin.upstream import RawUpstream

PROMISING = (408, 421, 429, 503)  # statuses that callers take for "has not run and never will"


@pytest.fixture
def bench():
    return Bench()


def add_holder(bench, upstream):
    """Add a server that gets each request of either service."""
    bench.add(upstream, "u1", service=PLAIN)
    bench.own_keys(bench.add(upstream, "u2", service=KEYED))


def answer(status, *fields):
    """Return the bytes of an answer to request ``r1``."""
    rows = [b"HTTP/1.1 %d Answer" % status, b"Request-Id: r1", *fields, b"Content-Length: 2"]
    return b"\r\n".join(rows) + b"\r\n\r\nno"


def ask_once(bench, path):
    return bench.ask(path, b"POST", headers=[(b"Shard-Key", b"7")], body=b"x")


# Callers were told 408, 429 or 503 for requests that a server had run and failed, and paid twice.
@pytest.mark.parametrize("path", [b"/once/", b"/keyonce/"])
@pytest.mark.parametrize("status", PROMISING)
def test_a_failure_of_what_ran_is_not_told_as_not_run(bench, path, status):
    upstream = RawUpstream(answer(status, b"Response-Seal: s"), answer(200, b"Response-Seal: s"))
    add_holder(bench, upstream)
    reply = ask_once(bench, path)
    assert reply.status not in PROMISING
    assert len(upstream.received) == 1  # It isn't sent again: it ran.
    # Nothing of the server's answer is left that would fit the status it had.
    assert (reply.status, reply.body) == (502, b"")
    assert field(reply, b"ploverhatch-result") == [b"3006"]
    assert field(reply, b"response-seal") == field(reply, b"retry-after") == []


# The same failures of repeatable requests were final, where another server could have answered.
@pytest.mark.parametrize("status", PROMISING)
def test_a_repeatable_request_that_a_server_failed_so_is_sent_again(bench, status):
    upstream = RawUpstream(answer(status, b"Response-Seal: s"), answer(200, b"Response-Seal: s"))
    add_holder(bench, upstream)
    assert bench.ask(b"/key/", headers=[(b"Shard-Key", b"7")]).status == 200


# A decision that forgets an attempt made the gateway promise what no server had stated.
def test_no_decision_can_promise_for_a_send_without_proof(bench, monkeypatch, caplog):
    add_holder(bench, RawUpstream(None))
    monkeypatch.setattr(bench.forwarder, "_decide", lambda *_: NextStep.REFUSE)
    reply = ask_once(bench, b"/once/")
    assert (reply.status, field(reply, b"ploverhatch-result")) == (502, [b"3001"])
    assert any("Promise withheld" in text for text in caplog.messages)


# A node promised for a request of another node's caller, which that node had sent to a server.
@pytest.mark.parametrize(("may_have_run", "status"), [(True, 502), (False, 503)])
@pytest.mark.parametrize("stopping", [False, True])
def test_a_node_promises_only_if_the_one_before_it_may(bench, may_have_run, status, stopping):
    if stopping:
        bench.forwarder.planned_stop = PlannedStop(elapsed_ms() - 3000.0, 4000.0)
    sender = ForwardingNode(1, True, may_have_run)
    fields = [(b"Host", b"h.example"), (b"Request-Id", b"r1")]
    request = CallerRequest(b"POST", b"/once/", fields, b"x", elapsed_ms(), forwarded_by=sender)
    assert bench.forwarder.handle(request).status == status


# A request that servers of two nodes had declined was answered as one that may have run.
def test_a_request_that_servers_of_two_nodes_declined_is_refused_as_not_run(bench):
    add_holder(bench, RawUpstream(answer(503, b"Not-Executed: 1")))
    fields = [(b"Host", b"h.example"), (b"Request-Id", b"r1"), (b"Shard-Key", b"7")]
    sent_on = ForwardedRequest(b"POST", b"/keyonce/", fields, b"x", b"", 0.0, 1, 1, True, False)
    request = CallerRequest(
        b"POST", b"/keyonce/", fields, b"x", elapsed_ms(), forwarded_by=sent_on.sender
    )
    assert bench.forwarder.handle(request).status == 503


def test_a_node_of_an_earlier_version_may_have_sent_what_it_sends_on():
    old = msgspec.msgpack.encode([b"POST", b"/", [], b"", b"", 0.0, 1, 1, True])
    assert msgspec.msgpack.decode(old, type=ForwardedRequest).sender.may_have_run


NAMED = {"own": [b"Request-Id: r1"], "another": [b"Request-Id: r9"], "none": []}
NOT_EXECUTED = {"none": [], "stated": [b"Not-Executed: 1"], "denied": [b"Not-Executed: 0"]}
INSTANCE = {"none": [], "own": [b"Instance-Id: %b"], "another": [b"Instance-Id: u9"]}
STATUSES = (200, 400, 404, 408, 409, 421, 425, 429, 500, 502, 503, 504)
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"


@dataclass(frozen=True)
class ServerAnswer:
    """One answer of a server, described by the fields that it has."""

    status: int
    named: str
    sealed: bool
    not_executed: str
    instance: str
    interim: bool
    cut: bool

    def encode(self, server_id):
        fields = [*NAMED[self.named], *NOT_EXECUTED[self.not_executed]]
        fields += [item.replace(b"%b", server_id) for item in INSTANCE[self.instance]]
        fields += [b"Response-Seal: %d" % self.status] if self.sealed else []
        rows = [b"HTTP/1.1 %d Answer" % self.status, *fields, b"Content-Length: 2"]
        whole = (INTERIM if self.interim else b"") + b"\r\n".join(rows) + b"\r\n\r\nno"
        return whole[:-1] if self.cut else whole

    @property
    def proves_not_run(self):
        """Whether the server states of this request, without contradiction, that it won't run."""
        if self.cut or self.sealed or self.named == "another" or self.status < 400:
            return False
        misdirected = self.status == 421 and self.instance == "another"
        return self.not_executed == "stated" or misdirected


class AnsweringServer:
    """Answers each request with the next of some answers, on a connection of its own."""

    def __init__(self, server_id, answers):
        self.server_id = server_id
        self._answers = answers
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = HostPort("127.0.0.1", self._server.server_port)

    def close(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, _address):
        with suppress(OSError):
            if sock.recv(65536):
                sock.sendall(next(self._answers).encode(self.server_id.encode()))


def drawn(options):
    return st.sampled_from(sorted(options))


ANSWERS = st.builds(
    ServerAnswer,
    st.sampled_from(STATUSES),
    drawn(NAMED),
    st.booleans(),
    drawn(NOT_EXECUTED),
    drawn(INSTANCE),
    st.booleans(),
    st.booleans(),
)


# Whatever servers answer: nothing is sent again after an attempt that may have run, and callers
# are told a status that promises "not run" only if each attempt is proven not to have run.
@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(ANSWERS, min_size=4, max_size=4), st.booleans())
def test_only_proof_from_each_server_lets_a_gateway_promise_not_run(answers, keyed):
    waiting = iter(answers)
    servers = [AnsweringServer(name, waiting) for name in ("u1", "u2")]
    bench = Bench()
    for server in servers:
        record = bench.add(server, service=KEYED if keyed else PLAIN)
    if keyed:
        bench.own_keys(record)
    try:
        reply = ask_once(bench, b"/keyonce/" if keyed else b"/once/")
    finally:
        for server in servers:
            server.close()
    used = answers[: len(answers) - len(list(waiting))]
    assert used
    assert all(item.proves_not_run for item in used[:-1])
    if reply.status in PROMISING:
        assert used[-1].proves_not_run
    assert field(reply, b"response-seal") in ([], [b"%d" % reply.status])


# A promise that a server's failure made left no log line, so nothing told who had made it.
def test_a_status_that_promises_is_logged_with_what_the_answers_prove(bench, caplog):
    upstream = RawUpstream(answer(503, b"Not-Executed: 1"), answer(500, b"Response-Seal: s"))
    add_holder(bench, upstream)
    with caplog.at_level(logging.INFO, "absl"):
        ask_once(bench, b"/keyonce/")
    (line,) = [text for text in caplog.messages if "Request ended." in text]
    assert "answers=503/not-run|500/ran" in line
    explained = "\n".join(explain("r1", read_lines([line])))
    assert "answered 503 (proof: not-run)" in explained
    figures = bench.forwarder.metrics.text()
    assert b'server_errors_total{status="500",proof="ran"} 1' in figures
    assert b'server_errors_total{status="503",proof="not-run"} 1' in figures
