"""Leases and deadlines expire on time, also while the machine is suspended.

Guards against two failures after a suspension of some seconds: a leader leads on though
another one has replaced it, and requests under way wait although their deadlines have passed.
Both come about where elapsed time is read from a clock that does not count suspensions, or
where only timers end a wait. The tests advance only the clock that counts suspensions, as a
suspension does.
"""

import gevent
import pytest

from ploverhatch.common import clock
from ploverhatch.leadership.election import AUTHORITY_MS
from ploverhatch.routing.planned_stop import READINESS_DETECTION_MS
from tests.functional.test_gateway import Site, ask, start_site, until
from tests.standin.suspension import Suspension

NOTICED_WITHIN_S = 0.5


@pytest.fixture
def machine(monkeypatch):
    return Suspension(monkeypatch)


@pytest.fixture
def site():
    made = Site()
    yield made
    made.close()


def test_elapsed_time_counts_a_suspension(machine):
    before_ms = clock.elapsed_ms()
    machine.suspend(5.0)
    assert 5000 <= clock.elapsed_ms() - before_ms < 5500


def test_a_leader_that_was_suspended_for_long_leads_no_more(machine, site):
    (gateway,) = start_site(site)
    assert gateway.leads
    machine.suspend(AUTHORITY_MS / 1000)
    assert not gateway.leads
    assert not gateway.directory.keymaps_trusted
    until(lambda: ask(gateway, b"/k/a", 1)[0] == 200)
    assert gateway.leads


def test_requests_under_way_are_answered_when_their_time_has_passed(machine, site):
    (gateway,) = start_site(site)
    site.upstreams["u3"].behaviour.hang = True
    asked = gevent.spawn(ask, gateway, b"/p/a")
    until(lambda: site.upstreams["u3"].arrived)
    machine.suspend(5.0)
    status, _ = asked.get(timeout=NOTICED_WITHIN_S)
    assert status == 504


def test_a_planned_stop_that_is_suspended_ends_in_the_time_that_the_platform_gives(machine, site):
    (gateway,) = start_site(site)
    begun_ms = clock.elapsed_ms()
    stopped = gevent.spawn(gateway.drain)
    gevent.sleep(0.2)
    machine.suspend(READINESS_DETECTION_MS / 1000)
    stopped.get(timeout=2 * NOTICED_WITHIN_S)
    assert clock.elapsed_ms() - begun_ms < gateway.settings.grace_s * 1000


def test_what_waits_for_the_store_asks_again(machine, site):
    (gateway,) = start_site(site)
    gevent.sleep(0.3)
    before = len(site.store.calls)
    machine.suspend(5.0)
    gevent.sleep(NOTICED_WITHIN_S)
    kinds_asked = {kind for _, kind, _, _ in site.store.calls[before:]}
    assert {"config", "servers", "leases"} <= kinds_asked
    # The lease is renewed.
    assert any(method == "PUT" for method, *_ in site.store.calls[before:])


def test_a_short_rest_of_the_process_is_no_suspension(machine, site):
    (gateway,) = start_site(site)
    before = len(site.store.calls)
    machine.suspend(0.001)
    gevent.sleep(0.2)
    assert len(site.store.calls) - before < 8
