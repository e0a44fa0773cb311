"""Nodes respect servers that announce their leaving or ask for backoff.

Guards against nodes that forward such an answer to the caller without recording what it says of the
server, so that nothing is checked before the next request is sent. A leaving server was known from
its entry in the store only, and a rejection was forgotten with its request. Two nodes sent requests
to a leaving server 2.0 and 2.1 s after each had forwarded an answer that announced its leaving,
while the store was unable to accept the server's entry. Four of fourteen servers that rejected
requests and asked for 3 s of backoff received up to 20 requests per second, each tried twice at the
same server.
"""

import gevent
import pytest

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.simulation.keys.violations import find_violations
from tests.standin.notice_checks import DRAIN_S, ignored_backoffs, late_to_leaving
from tests.standin.scenario import Scenario
from tests.standin.site import KEYED, PLAIN, RECORD_REMOVAL_S, StandinSite

GATEWAYS = 4
KEYED_UPSTREAMS = PLAIN_UPSTREAMS = 4
LOAD_S = 6.0
SERVED = 0.99
KEYED_SERVED = 0.9  # The keys of one of four holders wait until they have moved.
BACKOFF_S = 3.0
AT_ONCE_S = 0.1
KEYS_MOVED_S = 3.0
LEASE_EXPIRY_S = 5.0  # lease of a holder that crashed without notice, and its detection
MEASURED_S = 4.0
STORE_RECOVERY_S = 4.0
BACKOFF_RESULT = b"ploverhatch-result: 2112"


@pytest.fixture
def scenario():
    running_scenario = Scenario(StandinSite(GATEWAYS, KEYED_UPSTREAMS, PLAIN_UPSTREAMS))
    running_scenario.begin()
    yield running_scenario
    running_scenario.close()


def now_s():
    return elapsed_ms() / 1000


def test_one_that_says_that_it_leaves_gets_nothing_more(scenario):
    """The store doesn't show that the servers leave; the keys of the keyed one move to others."""
    start_s = now_s()
    leaving = scenario.busiest()
    for upstream in leaving:
        upstream.behaviour.leaving = True
    gevent.sleep(LOAD_S)
    scenario.stop_callers()
    assert all(upstream.leaving_answers for upstream in leaving)
    assert late_to_leaving(scenario.site, scenario.sent) == []
    for service in (PLAIN, KEYED):
        assert scenario.served(service, start_s) >= SERVED
        assert scenario.served(service, start_s + DRAIN_S) == 1.0


def test_one_that_asks_for_rest_gets_it(scenario):
    start_s = now_s()
    backing_off = scenario.busiest()
    for upstream in backing_off:
        upstream.behaviour.backoff_s = BACKOFF_S
    gevent.sleep(LOAD_S)
    scenario.stop_callers()
    assert all(len(upstream.rejected) >= GATEWAYS / 2 for upstream in backing_off)
    assert ignored_backoffs(scenario.site, scenario.sent) == []
    assert scenario.served(PLAIN, start_s) >= SERVED
    assert scenario.served(KEYED, start_s) >= KEYED_SERVED


def test_where_all_ask_for_backoff_callers_are_told_at_once_how_long(scenario):
    for upstream in scenario.site.upstreams.values():
        upstream.behaviour.backoff_s = BACKOFF_S
    gevent.sleep(0.6)
    start_s = now_s()
    gevent.sleep(BACKOFF_S - 1.2)
    end_s = now_s()
    scenario.stop_callers()
    assert ignored_backoffs(scenario.site, scenario.sent) == []
    for service in (PLAIN, KEYED):
        refused = scenario.asked(service, start_s, end_s)
        rejected = [request for request in refused if BACKOFF_RESULT in request.head]
        assert len(rejected) >= len(refused) * 0.9
        assert sorted(request.took_s for request in rejected)[len(rejected) * 9 // 10] < AT_ONCE_S
        for request in rejected:
            after_s = float(request.head.split(b"retry-after: ")[1].split()[0])
            assert 0 < after_s <= BACKOFF_S + 0.2


def test_when_a_backoff_ends_requests_come_one_by_one(scenario):
    """Few requests arrive in the first 100 ms, and soon after callers are served as before."""
    backing_off = scenario.busiest()
    for upstream in backing_off:
        upstream.behaviour.backoff_s = 2.0
    gevent.sleep(1.0)
    for upstream in backing_off:
        upstream.behaviour.backoff_s = 0.0
        upstream.behaviour.work_s = 0.2  # so that the requests of the first 100 ms overlap
    gevent.sleep(2.5)
    for upstream in backing_off:
        upstream.behaviour.work_s = 0.01
    gevent.sleep(2.0)
    start_s = now_s()
    gevent.sleep(1.0)
    scenario.stop_callers()
    assert ignored_backoffs(scenario.site, scenario.sent) == []
    for upstream in backing_off:
        first_rejected_s = min(at_s for _, at_s, _ in upstream.rejected)
        first_s = min(
            (w.start_s for w in upstream.work if w.start_s > first_rejected_s), default=None
        )
        if first_s is None:
            continue  # Its keys have moved to other servers and stay there.
        arrived = [w for w in upstream.work if first_s <= w.start_s < first_s + 0.1]
        assert len(arrived) <= GATEWAYS
    assert scenario.served(PLAIN, start_s) == scenario.served(KEYED, start_s) == 1.0


def leave_without_the_store(scenario, leaving):
    """Let servers leave while the store is unavailable, under 5 s of load; return the start."""
    scenario.site.store.faults.silent = True
    scenario.site.store.wake()
    gevent.sleep(0.5)
    for upstream in leaving:
        upstream.behaviour.leaving = True
    start_s = now_s()
    gevent.sleep(5.0)
    scenario.stop_callers()
    assert late_to_leaving(scenario.site, scenario.sent) == []
    assert scenario.served(PLAIN, start_s) >= SERVED
    return start_s


def assert_served_with_the_store(scenario):
    scenario.site.store.faults.silent = False
    gevent.sleep(6.0)
    callers = scenario.callers[KEYED]
    for gateway in scenario.site.gateways:
        assert [caller.ask(gateway).status for caller in callers] == [200] * len(callers)


def test_where_all_holders_leave_while_the_store_is_unavailable_callers_are_told_at_once(scenario):
    """No server can take over their keys; they are served again once the store is available."""
    start_s = leave_without_the_store(scenario, [scenario.busiest()[0], *scenario.upstreams(KEYED)])
    refused = [
        request for request in scenario.asked(KEYED, start_s + DRAIN_S) if request.status != 200
    ]
    assert {request.status for request in refused} == {503}
    assert sorted(request.took_s for request in refused)[len(refused) * 9 // 10] < AT_ONCE_S
    for _ in range(KEYED_UPSTREAMS):
        scenario.site.start_upstream(KEYED)
    assert_served_with_the_store(scenario)


def test_a_server_that_leaves_while_the_store_is_unavailable_gets_nothing_more(scenario):
    start_s = leave_without_the_store(scenario, scenario.busiest())
    assert scenario.served(KEYED, start_s + DRAIN_S) >= SERVED
    refused = [request for request in scenario.asked(KEYED, start_s) if request.status != 200]
    assert {request.status for request in refused} <= {503}
    assert_served_with_the_store(scenario)


def test_keys_of_a_leaving_server_are_served_while_the_store_is_unavailable(scenario):
    """Guards against refusing keys of a holder that left until the store is available again."""
    scenario.site.store.faults.silent = True
    scenario.site.store.wake()
    gevent.sleep(0.5)
    leaving = scenario.busiest()[1]
    leaving.behaviour.leaving = True
    start_s = now_s()
    gevent.sleep(DRAIN_S + KEYS_MOVED_S + 1.0)
    scenario.stop_callers()
    assert scenario.served(KEYED, start_s + DRAIN_S + KEYS_MOVED_S) >= SERVED


@pytest.mark.parametrize(("fault", "value"), [("silent", True), ("refuse", 503)])
def test_keys_of_a_crashed_server_are_served_while_the_store_is_unavailable(scenario, fault, value):
    """Guards against refusing keys of a crashed holder until the store is available again."""
    setattr(scenario.site.store.faults, fault, value)
    scenario.site.store.wake()
    gevent.sleep(0.5)
    crashed = scenario.busiest()[1]
    crashed.crash()
    gevent.spawn_later(RECORD_REMOVAL_S, scenario.site.drop_record, crashed)
    start_s = now_s()
    gevent.sleep(LEASE_EXPIRY_S + MEASURED_S)
    setattr(scenario.site.store.faults, fault, type(value)())
    gevent.sleep(STORE_RECOVERY_S)
    back_s = now_s()
    gevent.sleep(MEASURED_S)
    scenario.stop_callers()
    served = scenario.served(KEYED, start_s + LEASE_EXPIRY_S, start_s + LEASE_EXPIRY_S + MEASURED_S)
    assert served >= SERVED, scenario.unserved(
        KEYED, start_s + LEASE_EXPIRY_S, start_s + LEASE_EXPIRY_S + MEASURED_S
    )
    assert scenario.served(KEYED, back_s) >= SERVED, scenario.unserved(KEYED, back_s)
    assert find_violations(scenario.site.journal.holds) == []
