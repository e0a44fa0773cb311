"""Ends of servers that show after their requests have ended: by a dead port, or the entry."""

import gevent
import pytest
from gevent import GreenletExit

from tests.functional.test_quarantine import ENDS, QuarantineBench
from tests.standin.upstream import Upstream


@pytest.fixture
def bench():
    return QuarantineBench()


def leave(bench, upstream, path=b"/once/a"):
    """Have a caller leave while a server works on its request."""
    upstream.behaviour.work_s = 0.2
    asked = gevent.spawn(bench.ask, path)
    gevent.sleep(0.03)
    asked.kill(GreenletExit)


def remove(bench, upstream):
    bench.directory.remove_server(upstream.server_id)
    bench.pool.sync(bench.directory.servers.records)


def test_a_dead_port_tells_that_a_server_ended_after_its_caller_had_left(bench):
    upstream = bench.add_life()
    leave(bench, upstream)
    upstream.crash()
    assert bench.ask(b"/once/b").status == 503
    assert bench.quarantine.crashes == 1


def test_another_server_at_the_address_tells_that_the_one_before_ended(bench):
    upstream = bench.add_life()
    upstream.crashed = lambda life: Upstream("next", port=life.address.port)
    assert bench.ask(b"/once/a", headers=ENDS).status == 502
    assert bench.quarantine.crashes == 0
    bench.ask(b"/once/b")
    assert bench.quarantine.crashes == 1


def test_a_server_that_goes_on_after_a_caller_has_left_did_not_end_of_it(bench):
    upstream = bench.add_life()
    leave(bench, upstream)
    upstream.behaviour.work_s = 0.0
    gevent.sleep(0.35)
    assert bench.ask(b"/once/b").status == 200
    remove(bench, upstream)
    assert bench.quarantine.crashes == 0


def test_a_server_that_said_that_it_leaves_did_not_end_of_a_request(bench):
    upstream = bench.add_life()
    leave(bench, upstream)
    bench.directory.note_leaving({upstream.server_id: 0.0}, "a-test")
    bench.pool.sync(bench.directory.servers.records)
    remove(bench, upstream)
    assert bench.quarantine.crashes == 0


def test_an_end_long_after_a_caller_has_left_is_not_held_against_its_request(bench, monkeypatch):
    monkeypatch.setattr("ploverhatch.gateway.quarantine.UNRESOLVED_KEPT_MS", 50.0)
    upstream = bench.add_life()
    leave(bench, upstream)
    gevent.sleep(0.06)
    remove(bench, upstream)
    assert bench.quarantine.crashes == 0
    bench.quarantine._expire_unresolved()
    assert not bench.quarantine._unresolved


def test_few_open_questions_are_kept_of_a_server(bench):
    upstream = bench.add_life()
    for number in range(20):
        leave(bench, upstream, b"/once/%d" % number)
    assert len(bench.quarantine._unresolved[upstream.server_id]) == 16
