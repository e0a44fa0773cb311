"""Control calls to a server that breaks connections: when a renewal may go to another life."""

import pytest

from ploverhatch.gateway import server_control
from ploverhatch.gateway.dialect import GrantCall
from ploverhatch.gateway.server_control import CONFIRM_MS, ServerControl
from ploverhatch.platform.dialect import PlatformDialect
from ploverhatch.sharding.keymap import Holder
from ploverhatch.sharding.messages import CallOutcome
from ploverhatch.state.standing import ServerNotice
from tests.standin.upstream import RawUpstream

DONE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
LEAVING = b"HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
CALL = GrantCall(0, 9, 1, 4000.0)


class Clock:
    """Elapsed time that a test moves."""

    def __init__(self):
        self.now_ms = 1_000_000.0

    def __call__(self):
        return self.now_ms


@pytest.fixture
def clock(monkeypatch):
    made = Clock()
    monkeypatch.setattr(server_control, "elapsed_ms", made)
    return made


def control_of(upstream, heard=lambda server_id, notice: None):
    holder = Holder("i-1", upstream.address.host, upstream.address.port)
    return ServerControl(holder, PlatformDialect(), heard)


def grant(control):
    return control.grant(CALL, lambda: True)


def test_a_connection_that_lasts_proves_the_same_life(clock):
    upstream = RawUpstream(DONE, DONE)
    control = control_of(upstream)
    assert [grant(control), grant(control)] == [CallOutcome.DONE] * 2
    assert not control.may_be_reborn


def test_one_that_the_server_broke_does_not_for_a_while(clock):
    upstream = RawUpstream(DONE, None)
    control = control_of(upstream)
    grant(control)
    assert grant(control) is CallOutcome.NO_ANSWER
    assert control.may_be_reborn
    clock.now_ms += CONFIRM_MS
    assert not control.may_be_reborn


def test_a_dead_port_tells_so_each_time(clock):
    upstream = RawUpstream(DONE)
    control = control_of(upstream)
    upstream.close()
    for _ in range(3):
        assert grant(control) is CallOutcome.NO_ANSWER
        assert control.may_be_reborn
        clock.now_ms += CONFIRM_MS - 1.0


def test_a_server_that_keeps_no_connection_gets_its_renewals_in_between(clock):
    upstream = RawUpstream(DONE, *[None] * 20)
    control = control_of(upstream)
    grant(control)
    let_through = 0
    for _ in range(40):
        grant(control)
        let_through += not control.may_be_reborn
        clock.now_ms += 250.0
    assert let_through >= 10


def test_what_an_answer_says_of_its_server_is_heard(clock):
    heard = []
    control = control_of(RawUpstream(LEAVING), lambda *word: heard.append(word))
    grant(control)
    assert heard == [("i-1", ServerNotice(leaving=True))]
