"""Requests at a node that is cut from the servers, which another node serves."""

from dataclasses import replace

import gevent
import msgspec
import pytest
from gevent import socket
from gevent.server import StreamServer

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway import peer_forwarding
from ploverhatch.gateway.caller_server import CallerServer
from ploverhatch.gateway.forwarder import Forwarder
from ploverhatch.gateway.messages import CallerReply, CallerRequest
from ploverhatch.gateway.peer_connections import PeerConnections
from ploverhatch.gateway.peer_forwarding import (
    ForwardedReply,
    ForwardedRequest,
    ForwardedRequests,
    PeerForwarder,
)
from ploverhatch.gateway.peer_server import PeerServer
from ploverhatch.gateway.quarantine import Quarantine
from ploverhatch.platform.dialect import PlatformDialect
from ploverhatch.routing.route_table import RouteTable, Service
from ploverhatch.routing.shared_retry_budget import SharedRetryBudget
from ploverhatch.sharding.keymap import LAST_KEY
from ploverhatch.transport.http_connection import HostPort
from tests.functional.test_forwarder import KEYED, PLAIN, ROUTES, Bench, field, route
from tests.standin.linked_nodes import LinkedNode, Network, until
from tests.standin.links import LinkState
from tests.standin.site import free_port
from tests.standin.upstream import CRASHES_SERVER, Upstream

FOUND_S = 1.5  # for a cut; two rounds of probes
TABLE_VERSION = 7
LONG = route("long", PLAIN, repeatable=False, timeout_ms=5000.0, objective_ms=4000.0)
KEY = [(b"Shard-Key", b"5")]
QUARANTINED = [b"2111"]


class CountingBudget(SharedRetryBudget):
    """A retry budget that counts the requests that it is told of, and the retries."""

    earned = 0
    spent = 0

    def earn(self, service, now_ms):
        self.earned += 1
        super().earn(service, now_ms)

    def spend(self, service, now_ms):
        may_spend = super().spend(service, now_ms)
        self.spent += may_spend
        return may_spend


class Node(Bench):
    """A node with a forwarder, and a server for what other nodes send on to it."""

    def __init__(self, network, zone="z1"):
        super().__init__()
        self.zone = zone
        self.budget = CountingBudget(ratio=0.2, slack=50.0, window_s=10.0)
        port = free_port()
        self.linked = LinkedNode(network, ("127.0.0.1", port), self.pool)
        self.links = self.linked.monitor
        self.accepts = True
        self.taken = []  # requests that other nodes sent on
        self.peers = PeerForwarder(self.links, self._zones, zone, PeerConnections())
        self.quarantine = Quarantine(
            f"node-{port}", self.linked.other_nodes, lambda message, to: None, links=self.links
        )
        self.quarantine.mark_synced()
        self.forwarder = Forwarder(
            self.directory,
            self.pool,
            PlatformDialect(),
            self.budget,
            quarantine=self.quarantine,
            links=self.links,
            peers=self.peers,
        )
        self.set_version(TABLE_VERSION)
        self._forwarded = ForwardedRequests(
            self.forwarder.handle,
            lambda: self.directory.table.version,
            lambda: self.accepts and not self.links.is_cut_off,
        )
        self.answer = self._forwarded.answer  # replaced by nodes that fail
        self._server = PeerServer(
            HostPort("127.0.0.1", port), {peer_forwarding.PATH_PART: self._take}
        )
        self._server.start()
        self.callers = CallerServer(
            HostPort("127.0.0.1", 0), self.forwarder.handle, self.directory.client_limits
        )
        self.callers.start()
        self.linked.run()
        self.linked.bench = self

    def _zones(self):
        others = [node for node in self.linked.network.nodes if node is not self.linked]
        return {node.address: node.bench.zone for node in others}

    def set_version(self, version):
        services = {PLAIN: Service(PLAIN, False, 100), KEYED: Service(KEYED, True, 100)}
        table = RouteTable(version, {b"h.example": (*ROUTES, LONG)}, services)
        self.directory.apply_table(table)

    def _take(self, request):
        self.taken.append(request)
        return self.answer(request)

    def serve_forwarded(self, request):
        """Serve a request of another node as usual."""
        return self._forwarded.answer(request)

    def lose_answers(self):
        """Break the connection once the request was served."""

        def lose(request):
            self.serve_forwarded(request)
            raise ConnectionResetError

        self.answer = lose

    def link(self, upstream, service=PLAIN):
        record = self.linked.link(upstream, service)
        self.directory.put_server(record)
        if service == KEYED:
            self.own_keys(record)

    def cut(self, state=LinkState.REFUSED):
        """Cut the links to all servers; return once the node knows."""
        upstream_id = next(iter(self.linked.ports))
        self.pool.get(upstream_id).close()
        self.linked.cut(state)
        self.links.note_unreached(self.pool.get(upstream_id), refused=state is LinkState.REFUSED)
        until(lambda: self.links.is_cut_off, FOUND_S)

    def close(self):
        self._server.stop()
        self.callers.stop()


class Site:
    """Nodes that all reach the same upstreams, each by links of its own."""

    def __init__(self, monkeypatch):
        self.network = Network(monkeypatch)
        self.nodes = []
        self.upstreams = []

    def add_nodes(self, count, *upstreams, service=PLAIN):
        self.upstreams += upstreams
        for _ in range(count):
            node = Node(self.network)
            for upstream in upstreams:
                node.link(upstream, service)
            self.nodes.append(node)
        for upstream in upstreams:
            upstream.on_crash = self.network.end_upstream
        for node in self.nodes:
            for upstream in upstreams:
                assert node.linked.connect(upstream)
        return self.nodes

    def arrivals(self):
        return sum(len(upstream.arrived) for upstream in self.upstreams)

    def taken(self):
        return [len(node.taken) for node in self.nodes]

    def close(self):
        for node in self.nodes:
            node.close()
        self.network.close()
        for upstream in self.upstreams:
            upstream.close()


@pytest.fixture
def site(monkeypatch):
    made = Site(monkeypatch)
    yield made
    made.close()


def decoded(request):
    return msgspec.msgpack.decode(request.body, type=ForwardedRequest)


def declined(_request):
    return CallerReply(200, body=msgspec.msgpack.encode(ForwardedReply(declined=True)))


def not_found(_request):
    """Answer like a node of a version that knows no such path."""
    return CallerReply(404)


def in_order(node, *others):
    """Have a node ask others in a given order."""
    addresses = [other.linked.address for other in others]
    candidates = node.peers._candidates
    node.peers._candidates = lambda: sorted(candidates(), key=addresses.index)


# ---- a request that another node serves --------------------------------------------------------


# Guards against callers of a cut node that get nothing, or something else than the server's answer.
@pytest.mark.parametrize("state", [LinkState.REFUSED, LinkState.SILENT])
def test_a_request_at_a_cut_node_is_answered_by_the_server(site, state):
    upstream = Upstream("u1")
    cut, other = site.add_nodes(2, upstream)
    expected = other.ask(b"/once/a", b"POST")
    upstream.arrived.clear()
    cut.cut(state)
    assert cut.ask(b"/once/a", b"POST") == expected
    assert (expected.status, expected.body) == (200, b"answer of u1")
    assert len(upstream.arrived) == 1
    assert site.taken() == [0, 1]


# Guards against a request that the second node changes, such as one that lost its query or key.
def test_a_request_arrives_once_and_as_the_caller_sent_it(site):
    upstream = Upstream("u1")
    cut, _ = site.add_nodes(2, upstream)
    cut.cut()
    sent = [
        (b"X-Odd", b"1"),
        (b"x-odd", b"2"),
        (b"Cookie", b"a=b; c=\xff"),
        (b"Shard-Key", b"5"),
        (b"Authorization", b"Basic eA=="),
    ]
    body = bytes(range(256))
    assert cut.ask(b"/once/a%2F?b=%20&c", b"PUT", sent, body).status == 200
    (arrived,) = upstream.arrived
    assert (arrived.method, arrived.target, arrived.body) == (b"PUT", b"/once/a%2F?b=%20&c", body)
    assert field(arrived, b"request-id") == [b"r1"]
    assert field(arrived, b"host") == [b"h.example:80"]
    assert [item for item in arrived.headers if item in sent] == sent


# Guards against a server that works beyond the caller's deadline, since the second node restarts
# the time. The caller's request was read 250 ms ago; its route allows 600 ms.
@pytest.mark.parametrize(
    ("headers", "limit_ms"), [([(b"Request-Deadline-Ms", b"400")], 400), ([], 600)]
)
def test_the_deadline_counts_from_the_first_byte_at_the_cut_node(site, headers, limit_ms):
    upstream = Upstream("u1")
    cut, _ = site.add_nodes(2, upstream)
    cut.cut()
    fields = [(b"Host", b"h.example"), (b"Request-Id", b"r1"), *headers]
    request = CallerRequest(b"POST", b"/once/a", fields, b"", elapsed_ms() - 250.0)
    assert cut.forwarder.handle(request).status == 200
    (arrived,) = upstream.arrived
    assert 0 < int(field(arrived, b"request-deadline-ms")[0]) <= limit_ms - 250


# Guards against a silent server that holds the caller for longer at a cut node than elsewhere.
def test_at_its_deadline_a_request_is_answered_as_one_that_may_have_run(site):
    upstream = Upstream("u1")
    upstream.behaviour.hang = True
    cut, _ = site.add_nodes(2, upstream)
    cut.cut()
    start_ms = elapsed_ms()
    reply = cut.ask(b"/once/a", b"POST", [(b"Request-Deadline-Ms", b"300")])
    assert (reply.status, field(reply, b"ploverhatch-result")) == (504, [b"3002"])
    assert elapsed_ms() - start_ms < 300 + 150
    assert len(upstream.arrived) == 1


# Guards against bodies that only fit in one datagram, or in one read.
def test_large_bodies_pass_in_both_directions(site):
    class Echo(Upstream):
        def _request(self, request, headers):
            reply = super()._request(request, headers)
            return replace(reply, body=request.body[::-1])

    upstream = Echo("u1")
    cut, _ = site.add_nodes(2, upstream)
    cut.cut()
    body = bytes(range(256)) * 4096
    reply = cut.ask(b"/long/a", b"POST", body=body)
    assert len(body) == 1 << 20
    assert (reply.status, reply.body == body[::-1]) == (200, True)
    assert [item.body == body for item in upstream.arrived] == [True]


# Guards against a server that goes on working for a caller that has left the cut node.
def test_a_caller_that_leaves_ends_the_work_at_the_server(site):
    upstream = Upstream("u1")
    upstream.behaviour.work_s = 3.0
    cut, other = site.add_nodes(2, upstream)
    cut.cut()
    caller = socket.create_connection(("127.0.0.1", cut.callers.port), timeout=5.0)
    caller.sendall(b"GET /long/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n\r\n")
    until(lambda: upstream.work)
    gevent.sleep(0.1)
    assert upstream.work[0].end_s is None
    left_s = elapsed_ms() / 1000
    caller.close()
    until(lambda: upstream.work[0].end_s is not None, 2.0)
    assert upstream.work[0].end_s - left_s < 0.5
    until(lambda: cut.callers.busy == other._server.busy == 0)
    assert other.pool.get("u1").in_flight == 0
    assert len(upstream.arrived) == 1


# Guards against requests that reuse a connection which a node closed.
def test_a_connection_between_nodes_is_used_again_while_it_is_open(site):
    upstream = Upstream("u1")
    cut, other = site.add_nodes(2, upstream)
    cut.cut()
    for _ in range(3):
        assert cut.ask(b"/once/a", b"POST").status == 200
    assert other._server._server.open_connections == 1
    for connection in list(other._server._server._connections):
        connection._socket.shutdown(socket.SHUT_RDWR)
    gevent.sleep(0.05)
    assert cut.ask(b"/once/a", b"POST").status == 200
    assert len(upstream.arrived) == 4


# Guards against a node that stays asked after its links are up again.
def test_after_the_cut_a_node_serves_its_callers_itself(site):
    upstream = Upstream("u1")
    cut, _ = site.add_nodes(2, upstream)
    cut.cut()
    assert cut.ask(b"/once/a").status == 200
    cut.linked.heal()
    until(lambda: not cut.links.is_cut_off, FOUND_S)
    assert cut.ask(b"/once/a").status == 200
    assert site.taken() == [0, 1]


# Guards against keys that a node doesn't serve since its link to their holder alone is cut.
def test_a_key_whose_holder_only_others_reach_is_served_through_them(site):
    holder, plain = Upstream("u1", sharded=True), Upstream("u2")
    holder.granted_ranges[0, LAST_KEY] = (1, float("inf"))
    cut, other = site.add_nodes(2, holder, service=KEYED)
    for node in (cut, other):
        node.link(plain)
    cut.linked.cut(LinkState.REFUSED, holder)
    cut.pool.get("u1").close()
    replies = [cut.ask(b"/keyonce/a", b"POST", KEY) for _ in range(3)]
    assert [reply.status for reply in replies] == [200] * 3
    assert [len(holder.ran), len(other.taken)] == [3, 3]
    assert cut.ask(b"/once/a").status == 200  # by its own link
    assert site.taken() == [0, 3]
    plain.close()


# ---- at most once --------------------------------------------------------------------------------


# Guards against unsafe requests that run twice, since the node that ran one gave no answer.
@pytest.mark.parametrize("path", [b"/once/a", b"/long/a"])
def test_an_unsafe_request_whose_node_breaks_off_is_not_sent_again(site, path):
    upstream = Upstream("u1")
    cut, *others = site.add_nodes(3, upstream)
    cut.cut()
    for other in others:
        other.lose_answers()
    reply = cut.ask(path, b"POST")
    assert (reply.status, field(reply, b"ploverhatch-result")) == (502, [b"3001"])
    assert not field(reply, b"retry-after")
    assert len(upstream.ran) == 1
    assert sum(site.taken()) == 1


# Guards against the same where the other node stays silent until the deadline.
def test_an_unsafe_request_whose_node_stays_silent_is_not_sent_again(site):
    upstream = Upstream("u1")
    cut, *others = site.add_nodes(3, upstream)
    cut.cut()
    for other in others:
        other.answer = lambda request, other=other: (
            other.serve_forwarded(request) and gevent.sleep(3)
        )
    start_ms = elapsed_ms()
    reply = cut.ask(b"/once/a", b"POST")
    assert (reply.status, field(reply, b"ploverhatch-result")) == (504, [b"3002"])
    assert elapsed_ms() - start_ms < 600 + 200
    assert len(upstream.ran) == 1
    assert sum(site.taken()) == 1


# Guards against the same where the answer can't be read.
@pytest.mark.parametrize("body", [b"", b"\xc1", msgspec.msgpack.encode([200, "no list"])])
def test_an_unsafe_request_whose_answer_is_malformed_is_not_sent_again(site, body):
    upstream = Upstream("u1")
    cut, *others = site.add_nodes(3, upstream)
    cut.cut()
    for other in others:
        other.answer = lambda request: CallerReply(200, body=body)
    assert cut.ask(b"/once/a", b"POST").status == 502
    assert sum(site.taken()) == 1


# Guards against retries beyond the route's attempts: a node that breaks off may have made them all.
def test_a_safe_request_whose_node_breaks_off_is_not_sent_again(site):
    upstream = Upstream("u1")
    cut, *others = site.add_nodes(4, upstream)
    cut.cut()
    for other in others:
        other.lose_answers()
    reply = cut.ask(b"/read/a")
    assert (reply.status, field(reply, b"ploverhatch-result")) == (502, [b"3001"])
    assert not field(reply, b"retry-after")
    assert len(upstream.ran) == 1
    assert sum(site.taken()) == 1
    assert decoded(next(node for node in others if node.taken).taken[0]).arrivals == 0


# Guards against a lost node that made all attempts itself, and is counted as a single one.
def test_attempts_of_a_node_that_breaks_off_count_too(site):
    failing, slow = Upstream("u1"), Upstream("u2")
    cut, first, second = site.add_nodes(3, failing, slow)
    failing.behaviour.status = 500
    slow.behaviour.status = 500
    cut.cut()
    in_order(cut, first, second)
    first.lose_answers()
    assert cut.ask(b"/read/a").status in {500, 502}
    assert site.arrivals() <= 2  # the route's number of attempts


# Guards against a retry of a request for which there is no retry budget.
def test_a_lost_request_is_not_sent_again_without_budget(site):
    upstream = Upstream("u1")
    cut, *others = site.add_nodes(3, upstream)
    cut.budget.slack = 0.0
    cut.cut()
    for other in others:
        other.lose_answers()
    assert cut.ask(b"/read/a").status == 502
    assert len(upstream.ran) == 1


# Guards against callers who are told that a request hasn't run after it ended its server. The
# second node may find that the first lost the server, and a third that it can't connect.
def test_a_request_that_may_have_run_is_never_refused_as_not_run(site):
    holder, plain = Upstream("u1", sharded=True), Upstream("u2")
    holder.granted_ranges[0, LAST_KEY] = (1, float("inf"))
    cut, *others = site.add_nodes(3, holder, service=KEYED)
    site.upstreams.append(plain)
    for node in site.nodes:
        node.link(plain)
        assert node.linked.connect(plain)
    cut.cut()
    reply = cut.ask(b"/key/a", headers=[*KEY, (CRASHES_SERVER, b"1")])
    assert len(holder.ran) == 1
    assert (reply.status, field(reply, b"ploverhatch-result")) == (502, [b"3001"])
    assert not field(reply, b"retry-after")
    assert sum(len(node.taken) for node in others) == 1


# ---- nodes that don't take a request ------------------------------------------------------------


def cut_off(node):
    node.cut()


def stopping(node):
    node.accepts = False


def older_configuration(node):
    node.directory._table = replace(node.directory.table, version=TABLE_VERSION - 1)


def earlier_version(node):
    node.answer = not_found


def not_listening(node):
    node._server.stop()


# Guards against requests that fail since the first node asked is of no use.
@pytest.mark.parametrize(
    "unfit", [cut_off, stopping, older_configuration, earlier_version, not_listening]
)
def test_a_node_that_takes_no_requests_is_skipped_and_the_next_one_asked(site, unfit):
    upstream = Upstream("u1")
    cut, first, second = site.add_nodes(3, upstream)
    cut.cut()
    unfit(first)
    in_order(cut, first, second)
    asked = []
    for _ in range(3):
        asked.append(cut.ask(b"/once/a", b"POST").status)
    assert asked == [200] * 3
    assert len(upstream.ran) == 3
    assert len(second.taken) == 3
    assert len(first.taken) <= 1  # skipped for a time once it has declined


# Guards against a newer configuration that keeps nodes from helping each other while it spreads.
def test_a_node_with_a_newer_configuration_takes_requests(site):
    upstream = Upstream("u1")
    cut, other = site.add_nodes(2, upstream)
    other.set_version(TABLE_VERSION + 1)
    cut.cut()
    assert cut.ask(b"/once/a", b"POST").status == 200


# Guards against traffic between zones that a node of the same zone would save.
def test_a_node_of_the_same_zone_is_asked_first(site):
    upstream = Upstream("u1")
    cut, far, near = site.add_nodes(3, upstream)
    far.zone = "z2"
    cut.cut()
    until(lambda: len(cut.links.reaching_nodes()) == 2)
    assert [cut.ask(b"/once/a", b"POST").status for _ in range(5)] == [200] * 5
    assert site.taken() == [0, 0, 5]
    near.accepts = False
    assert cut.ask(b"/once/a", b"POST").status == 200
    assert site.taken() == [0, 1, 6]


# Guards against requests that wait for their deadline where no node can help.
def test_without_a_node_that_takes_it_a_request_is_refused_at_once(site):
    upstream = Upstream("u1")
    cut, *others = site.add_nodes(3, upstream)
    cut.cut()
    for other in others:
        other.answer = declined
    start_ms = elapsed_ms()
    reply = cut.ask(b"/once/a", b"POST")
    assert reply.status == 503
    assert field(reply, b"retry-after")
    assert elapsed_ms() - start_ms < 200
    assert all(taken <= 1 for taken in site.taken())
    assert upstream.arrived == []


# Guards against requests that go round between nodes which are all cut.
def test_a_request_is_sent_on_once_only(site):
    upstream = Upstream("u1")
    first, second = site.add_nodes(2, upstream)
    for node in (first, second):
        node.links.note_node(("10.0.0.9", 7000), reaches_servers=True)
        node.cut()
        node._forwarded._accepts = lambda: True  # as before it learns that it is cut off
    for node in (first, second):  # as before they learn of each other's cuts
        node.links.note_node(("10.0.0.9", 7000), reaches_servers=True)
        node.links.note_node(node.linked.other_nodes()[0], reaches_servers=True)
    assert first.links.is_cut_off and second.links.is_cut_off
    reply = first.ask(b"/once/a", b"POST")
    assert (reply.status, bool(field(reply, b"retry-after"))) == (503, True)
    assert site.taken() == [0, 1]
    assert upstream.arrived == []


# Guards against connections that a broken node keeps from the callers of a cut one.
def test_a_malformed_request_of_another_node_is_rejected(site):
    (node,) = site.add_nodes(1, Upstream("u1"))
    for body in (b"", b"\xc1", msgspec.msgpack.encode([b"GET"]), b"\x91" * 100_000):
        assert node.answer(CallerRequest(b"POST", b"/requests", [], body, 0.0)).status == 400


# ---- refusals of the other node ---------------------------------------------------------------


# Guards against another copy of a request that crashes servers, sent by the cut node's callers.
def test_a_request_that_the_other_node_quarantined_is_refused_unchanged(site):
    crashing = [Upstream(f"u{number}") for number in range(1, 4)]
    for upstream in crashing:
        upstream.behaviour.crash_after_s = 0.01
    sound = Upstream("u9")
    cut, other = site.add_nodes(2, sound, *crashing)
    cut.cut()
    headers = [(CRASHES_SERVER, b"1")]
    other.pool.get("u9").note_failure()  # So the others are tried first.
    statuses = [other.ask(b"/once/a", b"POST", headers).status for _ in range(3)]
    assert statuses == [502] * 3
    expected = other.ask(b"/once/a", b"POST", headers)
    assert field(expected, b"ploverhatch-result") == QUARANTINED
    reply = cut.ask(b"/once/a", b"POST", headers)
    assert (reply.status, field(reply, b"ploverhatch-result")) == (503, QUARANTINED)
    left_s = [float(field(item, b"retry-after")[0]) for item in (expected, reply)]
    assert left_s[0] - 1.0 < left_s[1] <= left_s[0]
    assert sound.arrived == []
    assert len(other.taken) == 1


# Guards against a delay asked for by servers that callers of a cut node don't learn of.
def test_servers_that_ask_for_a_backoff_are_left_alone_through_other_nodes_too(site):
    upstream = Upstream("u1")
    upstream.behaviour.backoff_s = 5.0
    cut, other = site.add_nodes(2, upstream)
    cut.cut()
    assert other.ask(b"/once/a", b"POST").status == 503
    expected, reply = other.ask(b"/once/b", b"POST"), cut.ask(b"/once/b", b"POST")
    assert reply.status == expected.status == 503
    assert field(reply, b"ploverhatch-result") == field(expected, b"ploverhatch-result")
    assert 4.0 < float(field(reply, b"retry-after")[0]) < 5.5
    assert len(upstream.arrived) == 1
    assert len(other.taken) == 1


# Guards against refusals that lose their status, delay or text, or are tried at a third node.
@pytest.mark.parametrize("status", [403, 429, 500, 502, 503, 504])
def test_what_another_node_answers_is_the_callers_answer(site, status):
    upstream = Upstream("u1")
    cut, *others = site.add_nodes(3, upstream)
    cut.cut()
    headers = [(b"Request-Id", b"r1"), (b"Retry-After", b"1.250"), (b"Ploverhatch-Result", b"2103")]
    body = b"slow down"
    encoded = msgspec.msgpack.encode(ForwardedReply(status, headers, body))
    for other in others:
        other.answer = lambda request: CallerReply(200, body=encoded)
    assert cut.ask(b"/read/a") == CallerReply(status, headers, body)
    assert sum(site.taken()) == 1


# ---- counted once ------------------------------------------------------------------------------


def counted(site):
    """Return how often requests were counted for retries, and keys for the load of their range."""
    keys = sum(len(keys) for node in site.nodes for keys in node.forwarder.sampled_keys.values())
    return sum(node.budget.earned for node in site.nodes), keys


def keyed_site(site, count):
    holder = Upstream("u1", sharded=True)
    holder.granted_ranges[0, LAST_KEY] = (1, float("inf"))
    return holder, site.add_nodes(count, holder, service=KEYED)


# Guards against a retry budget and a load of keys that grow with each node a request passes.
def test_a_request_sent_on_at_once_is_counted_once(site):
    holder, (cut, _) = keyed_site(site, 2)
    cut.cut()
    assert cut.ask(b"/keyonce/a", b"POST", KEY).status == 200
    assert counted(site) == (1, 1)
    assert len(holder.ran) == 1


# Guards against the same where the cut shows with this request only.
def test_a_request_sent_on_after_a_failed_connection_is_counted_once(site):
    holder, (cut, other) = keyed_site(site, 2)
    cut.linked.cut(LinkState.REFUSED)
    assert not cut.links.is_cut_off
    assert cut.ask(b"/keyonce/a", b"POST", KEY).status == 200
    assert len(other.taken) == 1
    assert counted(site) == (1, 1)
    assert len(holder.ran) == 1


# Guards against the same where one node declines, and where no node takes it.
@pytest.mark.parametrize("declining", [1, 2])
def test_a_request_that_nodes_declined_is_counted_once(site, declining):
    _, (cut, *others) = keyed_site(site, 3)
    cut.cut()
    in_order(cut, *others)
    for other in others[:declining]:
        other.answer = declined
    assert (cut.ask(b"/keyonce/a", b"POST", KEY).status == 200) is (declining == 1)
    assert counted(site) == (1, 1)


# Guards against the same where the other node breaks off after it counted the request.
def test_a_request_that_one_node_lost_is_counted_once(site):
    _, (cut, first, second) = keyed_site(site, 3)
    cut.cut()
    in_order(cut, first, second)
    first.lose_answers()
    assert cut.ask(b"/key/a", headers=KEY).status == 502
    assert counted(site) == (1, 1)
    assert sum(node.budget.spent for node in site.nodes) == 0


# ---- answers too many between nodes -------------------------------------------------------------


class RepeatingLink:
    """Passes calls on to a node, and the first answer again where the next one is due."""

    def __init__(self, node):
        self._node = node
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = ("127.0.0.1", self._server.server_port)

    def close(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, _address):
        first = b""
        with socket.create_connection(self._node.linked.address) as onward:
            while call := sock.recv(65536):
                onward.sendall(call)
                answer = onward.recv(65536)
                sock.sendall(first + answer)
                first = b"" if first else answer


# A caller of a cut node was told "not run" and its request ran: the copy of the answer to an
# earlier call on the connection between the nodes was read as the answer to its own.
def test_a_copy_of_a_nodes_refusal_is_not_the_answer_to_the_next_call(site):
    upstream = Upstream("u1")
    cut, other = site.add_nodes(2, upstream)
    link = RepeatingLink(other)
    cut.cut()
    cut.peers._nodes = lambda: {link.address: "z1"}
    upstream.behaviour.refuse = 1
    assert cut.ask(b"/once/a", b"POST").status == 503
    reply = cut.ask(b"/once/a", b"POST", body=b"another")
    link.close()
    assert [item.body for item in upstream.ran] == [b"another"]
    assert reply.status == 200
