"""Control calls to a server that breaks connections: when a renewal may go to another life."""

import gevent

from ploverhatch.gateway.dialect import GrantCall
from ploverhatch.gateway.server_control import ServerControl
from ploverhatch.platform.dialect import PlatformDialect
from ploverhatch.sharding.keymap import Holder
from ploverhatch.sharding.messages import CallOutcome
from ploverhatch.state.standing import ServerNotice
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
    assert not control.take_break()


def test_nothing_is_renewed_once_the_server_has_ended_a_connection():
    upstream = RawUpstream(DONE, close=True)
    control = control_of(upstream)
    grant(control)
    until_broken(control)
    upstream.answers += [DONE] * 3
    assert grant(control, renewal=True) is CallOutcome.UNPROVEN
    assert control.take_break()
    assert not control.take_break()
    assert grant(control, renewal=True) is CallOutcome.DONE


def test_an_end_that_the_server_has_stated_is_none():
    """Else one that keeps no connection at rest between renewals would be granted all anew."""
    upstream = RawUpstream(RESTS_SHORTLY, close=True)
    control = control_of(upstream)
    grant(control)
    gevent.sleep(0.6)
    assert not control.take_break()
    upstream.answers += [DONE]
    assert grant(control, renewal=True) is CallOutcome.DONE


def test_an_answer_that_is_cut_and_a_dead_port_are_ends_too():
    upstream = RawUpstream(None)
    control = control_of(upstream)
    assert grant(control) is CallOutcome.NO_ANSWER
    assert control.take_break()
    upstream.close()
    assert grant(control) is CallOutcome.NO_ANSWER
    assert control.take_break()


def test_a_connection_that_an_answer_closes_is_made_again_at_once():
    upstream = RawUpstream(CLOSING, DONE)
    control = control_of(upstream)
    assert grant(control) is CallOutcome.DONE
    assert grant(control, renewal=True) is CallOutcome.DONE
    assert not control.take_break()


def test_what_an_answer_says_of_its_server_is_heard():
    heard = []
    control = control_of(RawUpstream(LEAVING), lambda *word: heard.append(word))
    grant(control)
    assert heard == [("i-1", ServerNotice(leaving=True))]
