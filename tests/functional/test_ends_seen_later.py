"""Crashes found after the requests have ended: by a closed port, or by the server's entry."""

import gevent
import pytest
from gevent import GreenletExit

from tests.functional.test_quarantine import CRASHES, QuarantineBench
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


def test_a_closed_port_shows_a_crash_after_the_caller_has_left(bench):
    upstream = bench.add_server()
    leave(bench, upstream)
    upstream.crash()
    assert bench.ask(b"/once/b").status == 503
    assert bench.quarantine.crashes == 1


def test_another_server_at_the_address_shows_a_crash_of_the_one_before(bench):
    upstream = bench.add_server()
    upstream.on_crash = lambda crashed: Upstream("next", port=crashed.address.port)
    assert bench.ask(b"/once/a", headers=CRASHES).status == 502
    assert bench.quarantine.crashes == 0
    bench.ask(b"/once/b")
    assert bench.quarantine.crashes == 1


def test_a_server_that_answers_after_a_caller_has_left_did_not_crash_under_its_request(bench):
    upstream = bench.add_server()
    leave(bench, upstream)
    upstream.behaviour.work_s = 0.0
    gevent.sleep(0.35)
    assert bench.ask(b"/once/b").status == 200
    remove(bench, upstream)
    assert bench.quarantine.crashes == 0


def test_a_server_that_announced_leaving_did_not_crash(bench):
    upstream = bench.add_server()
    leave(bench, upstream)
    bench.directory.note_leaving({upstream.server_id: 0.0}, "a-test")
    bench.pool.sync(bench.directory.servers.records)
    remove(bench, upstream)
    assert bench.quarantine.crashes == 0


def test_a_crash_long_after_a_caller_has_left_does_not_count_against_its_request(
    bench, monkeypatch
):
    monkeypatch.setattr("ploverhatch.gateway.quarantine.UNRESOLVED_KEPT_MS", 50.0)
    upstream = bench.add_server()
    leave(bench, upstream)
    gevent.sleep(0.06)
    remove(bench, upstream)
    assert bench.quarantine.crashes == 0
    bench.quarantine._expire_unresolved()
    assert not bench.quarantine._unresolved


def test_the_unresolved_copies_kept_of_a_server_are_bounded(bench):
    upstream = bench.add_server()
    for number in range(20):
        leave(bench, upstream, b"/once/%d" % number)
    assert len(bench.quarantine._unresolved[upstream.server_id]) == 16
