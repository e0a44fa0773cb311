"""Control calls to a server that closes connections.

A renewal must not reach another incarnation of the server than the one that was granted keys.
"""

from contextlib import suppress

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway import server_control
from ploverhatch.gateway.dialect import GrantCall, ReleaseCall
from ploverhatch.gateway.server_control import ServerControl
from ploverhatch.platform.dialect import PlatformDialect
from ploverhatch.sharding.keymap import Holder
from ploverhatch.sharding.messages import CallOutcome
from ploverhatch.state.server_notices import ServerNotice
from ploverhatch.transport.http_connection import HostPort, HttpConnection
from tests.standin.upstream import RawUpstream, RepeatingUpstream

DONE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
LEAVING = b"HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
CLOSING = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
SHORT_KEEP_ALIVE = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n"
CALL = GrantCall(0, 9, 1, 4000.0)


def control_of(upstream, on_notice=lambda server_id, notice: None):
    holder = Holder("i-1", upstream.address.host, upstream.address.port)
    return ServerControl(holder, PlatformDialect(), on_notice)


def grant(control, renewal=False):
    return control.grant(CALL, lambda: True, renewal)


def until_broken(control):
    with gevent.Timeout(2.0):
        while control.grant(CALL, lambda: False, renewal=True) is CallOutcome.NOT_SENT:
            gevent.sleep(0.01)


def test_renewals_go_out_while_the_connection_lasts():
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


def test_a_close_that_the_server_announced_is_no_break():
    """Otherwise a server that keeps no idle connections would get new grants all the time."""
    upstream = RawUpstream(SHORT_KEEP_ALIVE, close=True)
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
    notices = []
    control = control_of(RawUpstream(LEAVING), lambda *arguments: notices.append(arguments))
    grant(control)
    assert notices == [("i-1", ServerNotice(leaving=True))]


class Incarnation:
    """One incarnation of a server at a port, which can stop answering."""

    def __init__(self, port=0):
        self.unresponsive = False
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
                if not self.unresponsive:
                    sock.sendall(DONE)

    def end(self):
        """Close the listener and all connections."""
        self._server.stop()
        for sock in self._sockets:
            with suppress(OSError):  # ended already
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


@pytest.fixture
def short_calls(monkeypatch):
    monkeypatch.setattr(server_control, "GRANT_TIMEOUT_S", 0.1)


def test_a_renewal_after_a_call_without_an_answer_reaches_no_later_incarnation(short_calls):
    """Guards against a restarted server that holds keys at the token of its previous incarnation.

    The node itself had closed the connection of the unanswered call, and sent the next renewal
    over a new connection. A server that restarted at its address within its lease accepted it.
    """
    server = Incarnation()
    control = control_of(server)
    assert grant(control) is CallOutcome.DONE
    server.unresponsive = True
    assert grant(control, renewal=True) is CallOutcome.NO_ANSWER
    server.end()
    later = Incarnation(server.address.port)
    gevent.sleep(0.02)
    assert grant(control, renewal=True) is CallOutcome.UNPROVEN
    assert later.calls == 0
    assert control.pop_connection_break()
    assert grant(control) is CallOutcome.DONE  # a new grant, at a higher token
    assert grant(control, renewal=True) is CallOutcome.DONE


def test_a_renewal_after_a_silent_link_reaches_no_later_incarnation(short_calls, monkeypatch):
    """Guards against a renewal to a later incarnation whose predecessor ended behind a cut link.

    The end of the unanswered call's connection was lost with the link, and the call's bytes were
    never acknowledged. The next renewal connected to the later incarnation, which took it.
    """
    server = Incarnation()
    control = control_of(server)
    grant(control)
    server.unresponsive = True
    assert grant(control, renewal=True) is CallOutcome.NO_ANSWER
    monkeypatch.setattr(HttpConnection, "closed_by_peer", lambda self: False)
    monkeypatch.setattr(HttpConnection, "has_unacknowledged", property(lambda self: True))
    server.end()
    later = Incarnation(server.address.port)
    assert grant(control, renewal=True) is CallOutcome.NOT_SENT
    assert later.calls == 0
    assert control.pop_connection_break()
    monkeypatch.setattr(HttpConnection, "has_unacknowledged", property(lambda self: False))
    assert grant(control) is CallOutcome.DONE  # a new grant, at a higher token


def test_a_restart_while_a_renewal_connects_is_noticed(short_calls):
    server = Incarnation()
    control = control_of(server)
    grant(control)
    server.unresponsive = True
    grant(control, renewal=True)
    restarted = []

    def may_send():
        server.end()
        restarted.append(Incarnation(server.address.port))
        gevent.sleep(0.02)
        return True

    assert control.grant(CALL, may_send, renewal=True) is CallOutcome.NOT_SENT
    assert restarted[0].calls == 0
    assert grant(control, renewal=True) is CallOutcome.UNPROVEN


def test_a_server_that_was_unresponsive_for_a_while_is_renewed_at_its_token(short_calls):
    """A new grant at a higher token would make its keys unavailable after each lost answer."""
    server = Incarnation()
    control = control_of(server)
    grant(control)
    for _ in range(3):
        server.unresponsive = True
        assert grant(control, renewal=True) is CallOutcome.NO_ANSWER
        assert grant(control, renewal=True) is CallOutcome.NO_ANSWER
        server.unresponsive = False
        assert grant(control, renewal=True) is CallOutcome.DONE
        assert not control.pop_connection_break()
    server.end()
    gevent.sleep(0.02)
    assert grant(control, renewal=True) is CallOutcome.UNPROVEN


def test_close_leaves_no_connection(short_calls):
    server = Incarnation()
    control = control_of(server)
    grant(control)
    server.unresponsive = True
    grant(control, renewal=True)
    grant(control, renewal=True)
    control.close()
    gevent.sleep(0.05)
    assert control._kept is None and control._unanswered is None


HELD_BACK_S = 0.2  # time until a server is done with keys that it releases
RELEASED = b"HTTP/1.1 200 OK\r\nHandover: h-1\r\nContent-Length: 0\r\n\r\n"
REFUSED = b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"


def test_a_release_is_not_answered_by_a_copy_of_an_earlier_answer():
    """Keys were granted to another server while their last holder was at work on them.

    The copy of the answer to a renewal was read as the answer to the release that followed.
    """

    def answer(_name, number):
        if number < 2:
            return DONE
        gevent.sleep(HELD_BACK_S)
        return RELEASED

    upstream = RepeatingUpstream(answer, repeats=lambda number: number == 1)
    control = control_of(upstream)
    assert grant(control) is CallOutcome.DONE
    assert grant(control, renewal=True) is CallOutcome.DONE
    start_ms = elapsed_ms()
    outcome = control.release(ReleaseCall(0, 9, 2), lambda: True)
    assert outcome == (CallOutcome.DONE, "h-1")
    assert elapsed_ms() - start_ms >= HELD_BACK_S * 1000


def test_a_copy_of_a_release_s_answer_is_no_answer_to_a_grant():
    upstream = RepeatingUpstream(
        lambda name, number: (DONE, RELEASED, REFUSED)[number], repeats=lambda number: number == 1
    )
    control = control_of(upstream)
    assert grant(control) is CallOutcome.DONE
    assert control.release(ReleaseCall(0, 9, 2), lambda: True)[0] is CallOutcome.DONE
    assert grant(control) is CallOutcome.REFUSED


def test_a_copy_of_a_refusal_refuses_no_later_grant():
    """A grant that the server had taken counted as refused."""
    upstream = RepeatingUpstream(
        lambda name, number: DONE if number else REFUSED, repeats=lambda number: number == 0
    )
    control = control_of(upstream)
    assert grant(control) is CallOutcome.REFUSED
    assert grant(control) is CallOutcome.DONE


def test_a_release_leaves_the_kept_connection_alone():
    """The kept connection shows that the server still is the incarnation that was granted keys."""
    upstream = RepeatingUpstream(
        lambda name, number: RELEASED if number == 1 else DONE, repeats=lambda number: False
    )
    control = control_of(upstream)
    assert grant(control) is CallOutcome.DONE
    control.release(ReleaseCall(0, 4, 2), lambda: True)
    assert grant(control, renewal=True) is CallOutcome.DONE
    assert not control.pop_connection_break()


def test_a_release_that_is_reset_is_no_break():
    """A full server resets new connections; its keys were granted anew at each such release."""
    control = control_of(RawUpstream(DONE, None, DONE))
    assert grant(control) is CallOutcome.DONE
    assert control.release(ReleaseCall(0, 4, 2), lambda: True)[0] is CallOutcome.NO_ANSWER
    assert not control.pop_connection_break()
    assert grant(control, renewal=True) is CallOutcome.DONE


def test_a_release_that_is_reset_is_a_break_where_no_connection_shows_the_server():
    control = control_of(RawUpstream(None))
    assert control.release(ReleaseCall(0, 4, 2), lambda: True)[0] is CallOutcome.NO_ANSWER
    assert control.pop_connection_break()
