"""The stand-in of TCP links that a test cuts and heals, over sockets of this process."""

import gevent
import pytest
from gevent.server import StreamServer

from ploverhatch.transport import http_connection
from ploverhatch.transport.http_connection import (
    AnswerCutError,
    HostPort,
    HttpConnection,
    NotConnectedError,
)
from tests.standin.links import Links, LinkSocket, LinkState

CONNECT_TIMEOUT_S = 0.1
WAIT_S = 0.1
REQUEST = b"GET / HTTP/1.1\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Peer:
    """A server that records what it receives, and answers each request after a delay."""

    def __init__(self):
        self.delay_s = 0.0
        self.received = []
        self.ended = 0  # connections whose end it has seen
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = HostPort("127.0.0.1", self._server.server_port)

    def _serve(self, sock, _address):
        try:
            while data := sock.recv(65536):
                self.received.append(data)
                gevent.sleep(self.delay_s)
                sock.sendall(ANSWER)
        except ConnectionError:
            pass
        self.ended += 1

    def close(self):
        self._server.stop(timeout=0)


@pytest.fixture
def peer():
    made = Peer()
    yield made
    made.close()


@pytest.fixture
def links(monkeypatch):
    made = Links()
    monkeypatch.setattr(LinkSocket, "links", made)
    monkeypatch.setattr(http_connection.socket, "socket", LinkSocket)
    return made


def connect(peer):
    connection = HttpConnection(peer.address)
    connection.open(CONNECT_TIMEOUT_S)
    return connection


def exchange(connection, timeout_s=WAIT_S):
    with gevent.Timeout(timeout_s):
        return connection.exchange(b"GET", REQUEST).status


def cut(links, peer, state):
    links.set_states({peer.address.port: state})


# Guards against tests of cuts that pass since nothing was cut.
def test_a_silent_link_loses_what_is_sent_and_shows_no_event(peer, links):
    connection, idle = connect(peer), connect(peer)
    assert exchange(connection) == exchange(idle) == 200
    cut(links, peer, LinkState.SILENT)
    with pytest.raises(NotConnectedError) as caught:
        connect(peer)
    assert not caught.value.refused
    assert connection.is_usable() and not connection.closed_by_peer()
    with pytest.raises(gevent.Timeout):
        exchange(connection)
    gevent.sleep(WAIT_S)
    assert len(peer.received) == 2
    assert not peer.ended  # the peer doesn't learn that the connection was closed
    links.set_states({})
    assert idle.is_usable()
    assert exchange(idle) == 200
    assert len(peer.received) == 3
    assert peer.ended == 1


# Guards against cuts that only affect requests which are sent later.
def test_an_answer_that_is_under_way_arrives_once_a_silent_link_is_up_again(peer, links):
    peer.delay_s = WAIT_S
    connection = connect(peer)
    answer = gevent.spawn(exchange, connection, timeout_s=10 * WAIT_S)
    gevent.sleep(WAIT_S / 2)
    cut(links, peer, LinkState.SILENT)
    gevent.sleep(2 * WAIT_S)
    assert not answer.ready()
    assert connection.is_usable()
    links.set_states({})
    assert answer.get() == 200


# Guards against cuts that a pooled connection or a request under way survives.
def test_a_refused_link_resets_open_connections_and_refuses_new_ones(peer, links):
    idle, busy = connect(peer), connect(peer)
    assert exchange(idle) == 200
    peer.delay_s = WAIT_S
    answer = gevent.spawn(exchange, busy, timeout_s=10 * WAIT_S)
    gevent.sleep(WAIT_S / 2)
    cut(links, peer, LinkState.REFUSED)
    with pytest.raises(AnswerCutError):
        answer.get()
    assert not idle.is_usable()
    with pytest.raises(AnswerCutError):
        exchange(idle)
    with pytest.raises(NotConnectedError) as caught:
        connect(peer)
    assert caught.value.refused
    gevent.sleep(2 * WAIT_S)
    assert peer.ended == 2
    links.set_states({})
    peer.delay_s = 0.0
    assert exchange(connect(peer)) == 200


# Guards against a half-open link that is up or refused.
def test_a_half_open_link_refuses_new_connections_only(peer, links):
    connection = connect(peer)
    cut(links, peer, LinkState.HALF_OPEN)
    assert exchange(connection) == 200
    with pytest.raises(NotConnectedError) as caught:
        connect(peer)
    assert caught.value.refused


# Guards against cuts that reach the store or other gateways.
def test_links_to_other_ports_stay_up(peer, links):
    links.set_states({peer.address.port + 1: LinkState.SILENT})
    assert exchange(connect(peer)) == 200
