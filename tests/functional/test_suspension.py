"""What a machine promises for a time ends with that time, also where it was suspended.

Seen: nothing yet; the platform's machines may be suspended for seconds from now on.

How it would come about: a leader stands still for nine seconds, and another one has taken
its place. Its own clock shows that no time has passed since it renewed its lease, so it
leads on; requests that were under way wait for the rest of a time that is over.

Cause: elapsed time was read from a clock that doesn't count the time in which the machine
is suspended. Timers don't count it either.

Proof: these tests move the counting clock alone, as a suspension does.
"""

import gevent
import pytest

from ploverhatch.common import clock
from ploverhatch.leadership.election import AUTHORITY_MS
from ploverhatch.routing.planned_stop import READINESS_DETECTION_MS
from tests.functional.test_gateway import Site, ask, start_site, until
from tests.standin.suspension import Suspension

NOTICED_S = 0.5


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
    gevent.sleep(0.1)
    machine.suspend(5.0)
    status, _ = asked.get(timeout=NOTICED_S)
    assert status == 504


def test_a_planned_stop_that_is_suspended_ends_in_the_time_that_the_platform_gives(machine, site):
    (gateway,) = start_site(site)
    begun_ms = clock.elapsed_ms()
    stopped = gevent.spawn(gateway.drain)
    gevent.sleep(0.2)
    machine.suspend(READINESS_DETECTION_MS / 1000)
    stopped.get(timeout=2 * NOTICED_S)
    assert clock.elapsed_ms() - begun_ms < gateway.settings.grace_s * 1000


def test_what_waits_for_the_store_asks_again(machine, site):
    (gateway,) = start_site(site)
    gevent.sleep(0.3)
    before = len(site.store.calls)
    machine.suspend(5.0)
    gevent.sleep(NOTICED_S)
    kinds_asked = {kind for _, kind, _, _ in site.store.calls[before:]}
    assert {"config", "servers", "leases"} <= kinds_asked
    assert any(method == "PUT" for method, *_ in site.store.calls[before:])  # the lease


def test_a_short_rest_of_the_process_is_no_suspension(machine, site):
    (gateway,) = start_site(site)
    before = len(site.store.calls)
    machine.suspend(0.001)
    gevent.sleep(0.2)
    assert len(site.store.calls) - before < 8
