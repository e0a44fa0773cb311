"""A caller that sent a complete request gets a complete answer, also around a planned stop.

Guards against requests that a process has read and sent to servers, and that then end with a
closed connection. This comes about where a process that stops keeps accepting connections
until its grace time is over (see ``CODE_VARIABLE`` for how to run code that did), where a
caller that ended its sending side is taken for disconnected, where pipelined requests are
dropped after the answer that closes their connection, and where an error that ends a request
interrupts its answer.
"""

import gevent
import gevent.event
import pytest
from gevent import socket

from ploverhatch.admission import groups
from ploverhatch.admission.groups import GroupName
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.messages import CallerReply
from ploverhatch.simulation.keys.server import SAMPLE_KEYS
from tests.functional.test_gateway import Site, start_site, until
from tests.standin.clients import ConnectionMode, End, Load
from tests.standin.site import GRACE_S, PLAIN, StandinSite

GATEWAYS = 4
CLIENTS = 48
START_LIMIT_S = 15.0
BEFORE_S = 1.0  # of traffic before the stop
AFTER_S = 1.0  # of traffic after the last process has ended
LARGE_BODY = 8 << 20  # bytes; more than the buffers of both sockets hold


@pytest.fixture
def standin():
    made = StandinSite(gateways=GATEWAYS, keyed=4, plain=3)
    with gevent.Timeout(START_LIMIT_S):
        while not all(gateway.started() for gateway in made.gateways):
            gevent.sleep(0.1)
    yield made
    made.close()


class LoadWithModes(Load):
    """Clients of some modes only, which prefer processes that stop."""

    def __init__(self, site, modes):
        super().__init__(site, "habits")
        self.modes = modes

    def mode(self, number):
        return self.modes[number % len(self.modes)]


def dispatcher_of(site):
    """Return the gateway that dispatches the queue of the service without keys."""
    zones = {f"127.0.0.1:{gateway.internal[0]}": "z1" for gateway in site.gateways}
    address = groups.dispatcher_of(GroupName(PLAIN, ""), zones, ())
    return next(g for g in site.gateways if f"127.0.0.1:{g.internal[0]}" == address)


def one(site):
    """Return a gateway that is neither leader nor dispatcher, if there is one."""
    duties = site.leader(), dispatcher_of(site)
    return [gateway for gateway in site.gateways if gateway not in duties][:1]


def leader_and_dispatcher(site):
    return list(
        {
            site.leader().name: site.leader(),
            dispatcher_of(site).name: dispatcher_of(site),
        }.values()
    )


def all_but_one(site):
    return site.gateways[:-1]


def whole_zone(site):
    return site.gateways


def serve_around_stop(site, modes, chosen):
    """Run clients while some processes stop; return the load with its requests."""
    load = LoadWithModes(site, modes)
    with gevent.Timeout(START_LIMIT_S):
        while not all(
            load.ask(gateway, key) == 200
            for gateway in site.gateways
            for key in (SAMPLE_KEYS[0], None)
        ):
            gevent.sleep(0.2)
    tasks = [gevent.spawn(load.run, number) for number in range(CLIENTS)]
    gevent.sleep(BEFORE_S)
    stopping = chosen(site)
    for gateway in stopping:
        gateway.incarnation.stop()
    gevent.joinall([gevent.spawn(gateway.incarnation.finish) for gateway in stopping])
    gevent.sleep(AFTER_S if len(stopping) < len(site.gateways) else 0.0)
    assert not any(gateway.incarnation.killed_after_grace for gateway in stopping)
    gevent.killall(tasks)
    return load


def unanswered(site, load):
    """Return the requests that got no complete answer although a server received them."""
    arrived = {name for name, _, _ in site.arrivals()}
    ended = [sent for sent in load.requests if sent.end is not None]
    return [
        f"{sent.name} {sent.mode.value} {sent.end_s - (sent.incarnation.stop_s or 0.0):+.2f} s"
        for sent in ended
        if sent.end is not End.ANSWERED and sent.name in arrived
    ]


def cut_short(ended):
    """Return the requests that got no complete answer, whether a server received them or not."""
    return [
        f"{sent.name} {sent.end.value} {sent.sent_s - (sent.incarnation.stop_s or 0.0):+.2f}"
        f" to {sent.end_s - (sent.incarnation.stop_s or 0.0):+.2f} s, kept: {sent.kept}"
        for sent in ended
        if sent.end is not End.ANSWERED
    ]


@pytest.mark.parametrize("chosen", [one, leader_and_dispatcher, all_but_one, whole_zone])
def test_no_request_that_a_server_got_is_left_without_its_answer(standin, chosen):
    load = serve_around_stop(standin, [ConnectionMode.ONCE, ConnectionMode.KEEPS], chosen)
    assert unanswered(standin, load) == []
    assert sum(sent.status == 200 for sent in load.requests) > 100
    busy = [
        gateway.busy_at_stops() for gateway in standin.gateways if gateway.incarnations[0].stop_s
    ]
    assert busy == [[0]] * len(busy)


def test_a_caller_that_ends_its_sending_side_gets_its_answer(standin):
    """Guards against closing its connection at once.

    The end of the caller's bytes was taken for a disconnect.
    """
    load = serve_around_stop(standin, [ConnectionMode.ENDS_SENDING], one)
    ended = [sent for sent in load.requests if sent.end is not None]
    assert cut_short(ended) == []
    assert sum(sent.status == 200 for sent in ended) > 100


def test_requests_that_are_sent_at_once_are_answered_by_a_process_that_stops(standin):
    """Guards against dropping the second request after the answer that closes the connection.

    The dropped request reached no server, but its caller can't know that.
    """
    load = serve_around_stop(standin, [ConnectionMode.PAIRS], one)
    stopped = next(gateway for gateway in standin.gateways if gateway.incarnations[0].stop_s)
    first, ended = stopped.incarnations[0], [sent for sent in load.requests if sent.end is not None]
    under_stop = [sent for sent in ended if sent.incarnation is first and sent.end_s > first.stop_s]
    assert len(under_stop) > 20
    assert cut_short(ended) == []


# ---- errors that end a request, thrown when it has just ended ------------------------------


@pytest.fixture
def site():
    made = Site()
    yield made
    made.close()


def large_answer_while(gateway, end):
    """Return the bytes of an answer that is decided just before ``end`` ends all requests."""
    forwarder, decided = gateway._forwarder, gevent.event.Event()

    def run(_call):
        decided.wait()
        return CallerReply(200, [], b"x" * LARGE_BODY)

    forwarder._run = run
    with socket.create_connection(tuple(gateway.settings.callers), timeout=5.0) as caller:
        caller.sendall(b"GET /p/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n\r\n")
        until(lambda: forwarder._in_flight)
        decided.set()  # in the same iteration of the event loop, before the request's task runs
        end(forwarder)
        gevent.sleep(0.1)
        data = b""
        while len(data) < LARGE_BODY and (part := caller.recv(65536)):
            data += part
    return data


def end_overdue(forwarder):
    for in_flight in forwarder._in_flight._requests:
        in_flight.deadline_ms = elapsed_ms()
    forwarder.end_overdue()


def test_an_answer_that_leaves_is_not_cut_by_what_ends_requests(site):
    """Guards against ending a task that is already sending its answer, without a log line.

    The error that ends requests, at the end of a process or of a suspension, is thrown into
    their tasks a moment later. Here the answer is decided in the same iteration of the event
    loop in which all requests are ended.
    """
    (gateway,) = start_site(site)
    for end in (lambda forwarder: forwarder.end_in_flight(), end_overdue):
        data = large_answer_while(gateway, end)
        assert data.startswith(b"HTTP/1.1 200")
        assert len(data) > LARGE_BODY


def test_a_process_that_ends_counts_the_requests_that_it_ends(site):
    (gateway,) = start_site(site)
    site.upstreams["u3"].behaviour.hang = True
    asked = gevent.spawn(large_request, gateway)
    until(lambda: site.upstreams["u3"].arrived)
    assert gateway._forwarder.end_in_flight() == 1
    assert asked.get(timeout=GRACE_S).startswith(b"HTTP/1.1 504")


def large_request(gateway):
    with socket.create_connection(tuple(gateway.settings.callers), timeout=5.0) as caller:
        caller.sendall(
            b"GET /p/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nConnection: close\r\n\r\n"
        )
        return caller.recv(65536)
