"""Control calls to a server that breaks connections: when a renewal may go to another life."""

from contextlib import suppress

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from ploverhatch.gateway import server_control
from ploverhatch.gateway.dialect import GrantCall
from ploverhatch.gateway.server_control import ServerControl
from ploverhatch.platform.dialect import PlatformDialect
from ploverhatch.sharding.keymap import Holder
from ploverhatch.sharding.messages import CallOutcome
from ploverhatch.state.server_notices import ServerNotice
from ploverhatch.transport.http_connection import HostPort
from tests.standin.upstream import RawUpstream

DONE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
LEAVING = b"HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
CLOSING = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
RESTS_SHORTLY = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n"
CALL = GrantCall(0, 9, 1, 4000.0)


def control_of(upstream, heard=lambda server_id, notice: None):
    holder = Holder("i-1", upstream.address.host, upstream.address.port)
    return ServerControl(holder, PlatformDialect(), heard)


def grant(control, renewal=False):
    return control.grant(CALL, lambda: True, renewal)


def until_broken(control):
    with gevent.Timeout(2.0):
        while control.grant(CALL, lambda: False, renewal=True) is CallOutcome.NOT_SENT:
            gevent.sleep(0.01)


def test_a_connection_that_lasts_proves_the_same_life():
    control = control_of(RawUpstream(DONE, DONE, DONE))
    assert grant(control) is CallOutcome.DONE
    assert [grant(control, renewal=True) for _ in range(2)] == [CallOutcome.DONE] * 2
    assert not control.pop_connection_break()


def test_nothing_is_renewed_once_the_server_has_ended_a_connection():
    upstream = RawUpstream(DONE, close=True)
    control = control_of(upstream)
    grant(control)
    until_broken(control)
    upstream.answers += [DONE] * 3
    assert grant(control, renewal=True) is CallOutcome.UNPROVEN
    assert control.pop_connection_break()
    assert not control.pop_connection_break()
    assert grant(control, renewal=True) is CallOutcome.DONE


def test_an_end_that_the_server_has_stated_is_none():
    """Else one that keeps no connection at rest between renewals would be granted all anew."""
    upstream = RawUpstream(RESTS_SHORTLY, close=True)
    control = control_of(upstream)
    grant(control)
    gevent.sleep(0.6)
    assert not control.pop_connection_break()
    upstream.answers += [DONE]
    assert grant(control, renewal=True) is CallOutcome.DONE


def test_an_answer_that_is_cut_and_a_dead_port_are_ends_too():
    upstream = RawUpstream(None)
    control = control_of(upstream)
    assert grant(control) is CallOutcome.NO_ANSWER
    assert control.pop_connection_break()
    upstream.close()
    assert grant(control) is CallOutcome.NO_ANSWER
    assert control.pop_connection_break()


def test_a_connection_that_an_answer_closes_is_made_again_at_once():
    upstream = RawUpstream(CLOSING, DONE)
    control = control_of(upstream)
    assert grant(control) is CallOutcome.DONE
    assert grant(control, renewal=True) is CallOutcome.DONE
    assert not control.pop_connection_break()


def test_what_an_answer_says_of_its_server_is_heard():
    heard = []
    control = control_of(RawUpstream(LEAVING), lambda *word: heard.append(word))
    grant(control)
    assert heard == [("i-1", ServerNotice(leaving=True))]


class Life:
    """One life of a server at a port; it may fall silent, and ends with its connections."""

    def __init__(self, port=0):
        self.silent = False
        self.calls = 0
        self._sockets = []
        self._server = StreamServer(("127.0.0.1", port), self._serve)
        self._server.start()
        self.address = HostPort("127.0.0.1", self._server.server_port)

    def _serve(self, sock, _address):
        self._sockets.append(sock)
        with suppress(ConnectionResetError):
            while sock.recv(65536):
                self.calls += 1
                if not self.silent:
                    sock.sendall(DONE)

    def end(self):
        self._server.stop()
        for sock in self._sockets:
            with suppress(OSError):  # ended already
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


@pytest.fixture
def short_calls(monkeypatch):
    monkeypatch.setattr(server_control, "GRANT_TIMEOUT_S", 0.1)


def test_a_renewal_after_a_call_without_an_answer_reaches_no_later_life(short_calls):
    """It went over a new connection unasked, since the node itself had ended the one before.

    A server that fell silent and was back at its address within its lease took it, and held
    the keys at the token of the life before.
    """
    life = Life()
    control = control_of(life)
    assert grant(control) is CallOutcome.DONE
    life.silent = True
    assert grant(control, renewal=True) is CallOutcome.NO_ANSWER
    life.end()
    later = Life(life.address.port)
    gevent.sleep(0.02)
    assert grant(control, renewal=True) is CallOutcome.UNPROVEN
    assert later.calls == 0
    assert control.pop_connection_break()
    assert grant(control) is CallOutcome.DONE  # anew, at a higher token
    assert grant(control, renewal=True) is CallOutcome.DONE


def test_a_life_that_ends_while_a_renewal_connects_is_noticed(short_calls):
    life = Life()
    control = control_of(life)
    grant(control)
    life.silent = True
    grant(control, renewal=True)
    ended = []

    def may_send():
        life.end()
        ended.append(Life(life.address.port))
        gevent.sleep(0.02)
        return True

    assert control.grant(CALL, may_send, renewal=True) is CallOutcome.NOT_SENT
    assert ended[0].calls == 0
    assert grant(control, renewal=True) is CallOutcome.UNPROVEN


def test_a_life_that_was_silent_for_a_while_is_renewed_at_its_token(short_calls):
    """A raised token would take its keys out of service for each answer that is lost."""
    life = Life()
    control = control_of(life)
    grant(control)
    for _ in range(3):
        life.silent = True
        assert grant(control, renewal=True) is CallOutcome.NO_ANSWER
        assert grant(control, renewal=True) is CallOutcome.NO_ANSWER
        life.silent = False
        assert grant(control, renewal=True) is CallOutcome.DONE
        assert not control.pop_connection_break()
    life.end()
    gevent.sleep(0.02)
    assert grant(control, renewal=True) is CallOutcome.UNPROVEN


def test_closed_for_good_it_leaves_no_connection(short_calls):
    life = Life()
    control = control_of(life)
    grant(control)
    life.silent = True
    grant(control, renewal=True)
    grant(control, renewal=True)
    control.close()
    gevent.sleep(0.05)
    assert control._kept is None and control._unanswered is None
